//! A rate-limited sink for log lines that drops lines instead of blocking.

use std::{
    io::{self, Write},
    os::fd::{AsFd, BorrowedFd},
    sync::atomic::{AtomicU64, Ordering},
    time::Instant,
};

use nix::poll::{PollFd, PollFlags, PollTimeout, poll};

/// Sustained rate of the sink. A router at its highest load decides about 200 calls per second and
/// logs three lines for each.
const LINES_PER_SECOND: f64 = 600.0;

/// Largest number of lines written in one burst after idle time.
const LINES_BURST: f64 = 1_200.0;

/// Longest line; a pipe that polls as writable accepts a write of up to this size atomically.
const LINE_BYTES_MAX: usize = 4_096;

static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Number of log lines dropped since the process started, because of the rate limit or because the
/// reader of the output was too slow.
pub fn dropped_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

/// Writes log lines to a file descriptor, each in one piece or not at all; one `write` call is one
/// line.
#[derive(Debug)]
pub struct LineSink<Out> {
    out: Out,
    rate_limiter: LineRateLimiter,
}

/// A token bucket with one token per line.
#[derive(Debug)]
struct LineRateLimiter {
    available_lines: f64,
    refilled_at: Instant,
}

impl<Out: AsFd + Write> LineSink<Out> {
    /// A sink for a file descriptor, with a full burst allowance.
    pub fn new(out: Out) -> Self {
        Self {
            out,
            rate_limiter: LineRateLimiter {
                available_lines: LINES_BURST,
                refilled_at: Instant::now(),
            },
        }
    }
}

impl<Out: AsFd + Write> Write for LineSink<Out> {
    /// Writes a line, truncated to the longest length, or drops and counts the line.
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if !self.rate_limiter.try_acquire(Instant::now()) || !is_writable(self.out.as_fd()) {
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
            return Ok(line.len());
        }
        if line.len() <= LINE_BYTES_MAX {
            self.out.write_all(line)?;
        } else {
            self.out.write_all(&line[..LINE_BYTES_MAX - 1])?;
            self.out.write_all(b"\n")?;
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        self.out.flush()
    }
}

impl LineRateLimiter {
    fn try_acquire(&mut self, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        self.available_lines = (self.available_lines + elapsed * LINES_PER_SECOND).min(LINES_BURST);
        if self.available_lines < 1.0 {
            return false;
        }
        self.available_lines -= 1.0;
        true
    }
}

/// Whether a line can be written without blocking on the reader.
fn is_writable(out: BorrowedFd<'_>) -> bool {
    let mut descriptors = [PollFd::new(out, PollFlags::POLLOUT)];
    let ready = poll(&mut descriptors, PollTimeout::ZERO);
    ready.is_ok_and(|ready| ready > 0)
        && descriptors[0].revents().is_some_and(|events| events.contains(PollFlags::POLLOUT))
}
