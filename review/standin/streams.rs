//! Clients of resumable streams. A stream that breaks off is taken up again with `Last-Event-Id`, on a
//! new connection, until the client's deadline.

use std::{
    net::SocketAddr,
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use crate::{
    client::{Attempt, exchange, new_id},
    http::Conn,
    record::Record,
};

/// Pause of a client before it connects again.
const PAUSE: Duration = Duration::from_millis(250);

/// A stream as its client has received it, over all of its attempts.
#[derive(Debug, Default)]
pub struct Received {
    events: Vec<(u64, String)>,
    pending: String,
    pub ended: bool,
    /// The attempts, each with its address and whether its answer was complete.
    pub attempts: Vec<(SocketAddr, bool)>,
}

impl Received {
    fn push(&mut self, bytes: &[u8]) {
        self.pending += &String::from_utf8_lossy(bytes);
        while let Some(end) = self.pending.find("\n\n") {
            let event: String = self.pending.drain(..end + 2).collect();
            let field = |name: &str| {
                event.lines().find_map(|line| line.strip_prefix(name)).unwrap_or("").to_owned()
            };
            let version = field("data: ").split(' ').next().unwrap_or("").to_owned();
            if let Ok(number) = field("id: ").parse() {
                self.events.push((number, version));
            }
        }
    }

    fn last_id(&self) -> u64 {
        self.events.last().map_or(0, |(number, _)| *number)
    }

    /// The versions in the order in which they came, with the first number of each.
    pub fn pieces(&self) -> Vec<(u64, String)> {
        let mut pieces: Vec<(u64, String)> = Vec::new();
        for (number, version) in &self.events {
            if pieces.last().is_none_or(|(_, last)| last != version) {
                pieces.push((*number, version.clone()));
            }
        }
        pieces
    }
}

/// Begins streams at the same time, spread over the addresses.
pub fn begin_streams(
    record: &Record,
    addresses: Vec<SocketAddr>,
    count: u64,
    patience: Duration,
) -> Vec<JoinHandle<Received>> {
    let streams = (0..count).map(|number| {
        let (addresses, record) = (addresses.clone(), record.clone());
        thread::spawn(move || receive(&record, &addresses, number, patience))
    });
    streams.collect()
}

fn receive(record: &Record, addresses: &[SocketAddr], number: u64, patience: Duration) -> Received {
    let deadline = Instant::now() + patience;
    let mut received = Received::default();
    let mut next = number as usize;
    while !received.ended && Instant::now() < deadline {
        let address = addresses[next % addresses.len()];
        next += 1;
        let Ok(mut connection) = Conn::connect(address) else {
            thread::sleep(PAUSE);
            continue;
        };
        let id = new_id();
        let mut headers = format!(
            "Model: m\r\nToken-Usage: 1300,400\r\nPrefix-Hash: 5c1e07a2:512,{:x}:700\r\n",
            number + 1000
        );
        if received.last_id() > 0 {
            headers += &format!("Last-Event-Id: {}\r\n", received.last_id());
        }
        let attempt = Attempt {
            method: "POST",
            target: "/stream/quote",
            id: &id,
            headers: &headers,
            body: "quote a frame",
            time_left: deadline.saturating_duration_since(Instant::now()),
        };
        let last = received.last_id();
        record.line(&format!("client {number} sends {id} to {address}, it has events up to {last}"));
        let answer = exchange(&mut connection, &attempt, |bytes| received.push(bytes));
        received.pending.clear();
        let is_complete = answer.as_ref().is_some_and(|answer| answer.whole);
        received.attempts.push((address, is_complete));
        let Some(answer) = answer else {
            record.line(&format!("client {number} gets no answer to {id}"));
            thread::sleep(PAUSE);
            continue;
        };
        let (status, whole, last) = (answer.status, answer.whole, received.last_id());
        record.line(&format!(
            "client {number} gets {status} to {id}, complete: {whole}, events up to {last}"
        ));
        received.ended = status == 200 && whole;
        match answer.retry_after {
            Some(pause) => thread::sleep(pause.min(Duration::from_secs(1))),
            None if !received.ended => thread::sleep(PAUSE),
            None => {}
        }
    }
    received
}
