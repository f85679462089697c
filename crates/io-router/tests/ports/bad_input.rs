//! Bad input gets a numbered code or a closed connection, and no other caller notices.

use std::{io::Write, net::Shutdown, thread, time::Duration};

use base_types::test_cases;

use crate::fleet::{
    BODY_BYTES, FLEET, chat_is_whole, chat_request, connect, exchange, read_to_close, request,
};

/// Bytes that the router's limit and the system's socket buffers may take between them.
const TAKEN_BYTES_MAX: usize = 16 * 1024 * 1024;
const SENT_BYTES_MAX: usize = 64 * 1024 * 1024;
const TRICKLE: Duration = Duration::from_millis(50);

/// `code` is the result code of the answer; `None` accepts any refusal of HTTP, or a close.
fn check_bytes(bytes: &[u8], status: &str, code: Option<u16>) {
    let address = FLEET.plain.caller;
    let answer = exchange(address, bytes);
    assert!(answer.is_empty() || answer.starts_with(&format!("HTTP/1.1 {status}")), "{answer}");
    if let Some(code) = code {
        assert!(answer.contains(&format!("x-result-code: {code}\r\n")), "{answer}");
        assert!(answer.contains("x-request-id: "), "{answer}");
    }
    assert!(chat_is_whole(address));
}

test_cases! {
    check_bytes:
    no_http_at_all(b"\x00\x01\x02 nonsense\r\n\r\n", "4", None);
    a_tls_greeting(b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03", "4", None);
    a_version_that_is_none(b"GET / HTTP/9.9\r\n\r\n", "4", None);
    a_header_without_colon(b"GET / HTTP/1.1\r\nhost test\r\n\r\n", "4", None);
    two_lengths(b"POST /v1/chat HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nab", "4", None);
    a_length_that_is_none(b"POST /v1/chat HTTP/1.1\r\nhost: a\r\ncontent-length: -1\r\n\r\n", "4", None);
    a_length_that_overflows(
        b"POST /v1/chat HTTP/1.1\r\nhost: a\r\ncontent-length: 99999999999999999999999\r\n\r\n", "4", None,
    );
    a_chunk_that_is_none(
        b"POST /v1/chat HTTP/1.1\r\nhost: a\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n", "400", Some(1014),
    );
    a_header_larger_than_the_limit(
        &request("GET", "/v1/chat", &format!("x-large: {}\r\n", "a".repeat(64 * 1024)), b""), "431", None,
    );
    more_headers_than_the_limit(
        &request("GET", "/v1/chat", &"x-many: a\r\n".repeat(1000), b""), "431", None,
    );
    a_path_larger_than_the_limit(
        &request("GET", &format!("/{}", "a".repeat(64 * 1024)), "", b""), "4", None,
    );
    a_body_larger_than_the_limit(
        &request("POST", "/v1/chat", "", &vec![b'a'; BODY_BYTES + 1]), "413", Some(1015),
    );
    an_unknown_route(&request("GET", "/none", "", b""), "404", Some(1001));
    a_path_that_leaves_its_route(&request("GET", "/v1/chat/../../admin/v1/status", "", b""), "4", None);
    a_payment_without_its_key(&request("POST", "/pay", "", b"amount 1"), "400", Some(1007));
    a_payment_whose_key_is_no_text(
        b"POST /pay HTTP/1.1\r\nhost: a\r\nconnection: close\r\nidempotency-key: \xff\xfe\r\n\r\n", "400", Some(1007),
    );
    a_payment_whose_key_is_too_long(
        &request("POST", "/pay", &format!("idempotency-key: {}\r\n", "k".repeat(4096)), b""), "400", Some(1007),
    );
}

/// Sends far more than the limit without a length; the router must stop taking it.
#[test]
fn an_endless_body_is_refused_before_it_is_taken() {
    let address = FLEET.plain.caller;
    let mut stream = connect(address);
    stream
        .write_all(b"POST /v1/chat HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n")
        .unwrap();
    let piece = [&b"10000\r\n"[..], &[b'a'; 0x10000], b"\r\n"].concat();
    let mut sent = 0;
    while sent < SENT_BYTES_MAX && stream.write_all(&piece).is_ok() {
        sent += piece.len();
    }
    assert!(sent < TAKEN_BYTES_MAX, "the router took {sent} bytes");
    assert!(chat_is_whole(address));
}

/// Sends a byte at a time until the router closes the connection; `head` comes at once.
fn check_trickle(head: &[u8]) {
    let address = FLEET.plain.caller;
    let mut stream = connect(address);
    stream.write_all(head).unwrap();
    let mut reader = stream.try_clone().unwrap();
    let trickle = thread::spawn(move || {
        while stream.write_all(b"a").is_ok() {
            thread::sleep(TRICKLE);
        }
    });
    assert!(chat_is_whole(address));
    let answer = read_to_close(&mut reader);
    assert!(answer.is_empty() || answer.starts_with("HTTP/1.1 4"), "{answer}");
    let _ = reader.shutdown(Shutdown::Both);
    trickle.join().unwrap();
}

test_cases! {
    check_trickle:
    a_slow_request_line(b"G");
    a_slow_header(b"POST /v1/chat HTTP/1.1\r\nhost: a\r\nx-slow: ");
    a_slow_body(b"POST /v1/chat HTTP/1.1\r\nhost: a\r\ncontent-length: 60000\r\n\r\n");
}

#[test]
fn a_slow_body_is_answered_with_its_code() {
    let mut stream = connect(FLEET.plain.caller);
    stream.write_all(b"POST /v1/chat HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nab").unwrap();
    let answer = read_to_close(&mut stream);
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
    assert!(answer.contains("x-result-code: 1021"), "{answer}");
}

#[test]
fn an_idle_connection_is_closed() {
    let mut stream = connect(FLEET.plain.caller);
    assert_eq!(read_to_close(&mut stream), "");
}

/// A caller that closes its sending side gets its whole answer or a closed connection.
#[test]
fn a_half_closed_connection_ends() {
    let address = FLEET.plain.caller;
    let mut stream = connect(address);
    stream.write_all(&chat_request()).unwrap();
    stream.shutdown(Shutdown::Write).unwrap();
    let answer = read_to_close(&mut stream);
    assert!(
        !answer.contains("x-result-code: 2000") || answer.contains("[DONE]") || answer.is_empty()
    );
    assert!(chat_is_whole(address));
}

#[test]
fn a_request_cut_within_its_body_runs_nothing_and_harms_nobody() {
    let address = FLEET.plain.caller;
    for cut in [1, 20, 60, 100] {
        let request = chat_request();
        let mut stream = connect(address);
        stream.write_all(&request[..request.len() - cut]).unwrap();
        drop(stream);
    }
    assert!(chat_is_whole(address));
}

#[test]
fn many_slow_callers_do_not_keep_others_out() {
    let address = FLEET.plain.caller;
    let slow: Vec<_> = (0..200)
        .map(|_| {
            let mut stream = connect(address);
            stream.write_all(b"POST /v1/chat HTTP/1.1\r\nhost: a\r\n").unwrap();
            stream
        })
        .collect();
    assert!(chat_is_whole(address));
    for mut stream in slow {
        read_to_close(&mut stream);
    }
}
