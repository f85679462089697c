//! The sink of log lines never blocks, and counts the lines that it drops.

use std::{
    io::{Read, Write, pipe},
    time::{Duration, Instant},
};

use io_telemetry::{LineSink, dropped_lines};

/// A single test, because the counter of dropped lines is shared by the process.
#[test]
fn unread_lines_are_dropped_and_counted() {
    let (mut reader, writer) = pipe().expect("pipe is created");
    let mut sink = LineSink::new(writer);
    let line = format!("{}\n", "x".repeat(999));
    let start = Instant::now();
    let before = dropped_lines();
    for _ in 0..400 {
        sink.write_all(line.as_bytes()).expect("no error");
    }
    assert!(start.elapsed() < Duration::from_secs(1), "a stalled reader must not block the writer");
    let dropped = dropped_lines() - before;
    assert!((300..400).contains(&dropped), "{dropped} of 400 lines of 1,000 bytes");

    let mut bytes = vec![0; 1_000 * (400 - dropped as usize)];
    reader.read_exact(&mut bytes).expect("complete lines");
    assert!(
        bytes.chunks(1_000).all(|chunk| chunk == line.as_bytes()),
        "every line must be written in one piece"
    );

    let long = "y".repeat(20_000);
    sink.write_all(long.as_bytes()).expect("no error");
    let mut bytes = vec![0; 4_096];
    reader.read_exact(&mut bytes).expect("truncated line");
    assert_eq!(bytes[4_095], b'\n');

    let mut sink = LineSink::new(std::fs::File::options().write(true).open("/dev/null").unwrap());
    let before = dropped_lines();
    for _ in 0..5_000 {
        sink.write_all(b"z\n").expect("no error");
    }
    let dropped = dropped_lines() - before;
    assert!((3_000..3_801).contains(&dropped), "the rate is bounded: {dropped} of 5,000");
}
