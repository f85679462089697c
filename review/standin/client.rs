//! Clients: they ask a directory where to connect, keep connections, and obey `Retry-After`.

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicU64, Ordering},
    time::{Duration, Instant},
};

use crate::http::Conn;

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// A new `Attempt-Id`.
pub fn new_id() -> String {
    let number = NEXT_ID.fetch_add(1, Ordering::Relaxed);
    format!("{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

/// One client attempt.
pub struct Attempt<'text> {
    pub method: &'text str,
    pub target: &'text str,
    pub id: &'text str,
    pub headers: &'text str,
    pub body: &'text str,
    pub time_left: Duration,
}

#[derive(Debug, Default)]
pub struct Answer {
    pub status: u16,
    /// Whether the body arrived to its end.
    pub whole: bool,
    pub retry_after: Option<Duration>,
    pub closes: bool,
}

/// Sends an attempt and reads its answer; `on_bytes` gets the body as it arrives. `None` when the
/// connection broke before the head of an answer.
pub fn exchange(
    connection: &mut Conn,
    attempt: &Attempt,
    mut on_bytes: impl FnMut(&[u8]),
) -> Option<Answer> {
    let Attempt { method, target, id, headers, body, time_left } = attempt;
    let deadline = Instant::now() + *time_left;
    let text = format!(
        "{method} {target} HTTP/1.1\r\nHost: host.example\r\nAttempt-Id: {id}\r\n\
         Deadline-Ms: {}\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        time_left.as_millis(),
        body.len()
    );
    connection.send(text.as_bytes()).ok()?;
    let head = connection.read_head(deadline + Duration::from_millis(500)).ok()?;
    let whole = connection.read_body(&head, true, deadline, |piece| on_bytes(piece));
    let retry_after = head.header("retry-after").and_then(|value| value.parse::<f64>().ok());
    Some(Answer {
        status: head.status(),
        whole,
        retry_after: retry_after.map(Duration::from_secs_f64),
        closes: head.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close")),
    })
}

/// Picks an address; clients pick at random.
pub fn pick(addresses: &[SocketAddr], number: u64) -> Option<SocketAddr> {
    let mixed = number.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 33;
    (!addresses.is_empty()).then(|| addresses[mixed as usize % addresses.len()])
}
