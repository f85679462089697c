//! Stand-in of a runner: plain answers and streams of events, with slots and a queue.

use std::{
    net::{SocketAddr, TcpListener},
    sync::{
        Arc, Condvar, Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Conn, Head},
    record::Record,
};

/// How a runner works.
#[derive(Clone)]
pub struct RunnerRules {
    pub slots: usize,
    pub queue: usize,
    pub work: Duration,
    /// Events of a stream, and the pause before each.
    pub events: u64,
    pub pause: Duration,
    /// Bytes of text in each event.
    pub event_bytes: usize,
    /// While the runner is faulty, each answer with this number is sent a second time, late.
    pub copy_each: u64,
}

struct Places {
    running: usize,
    waiting: usize,
}

#[derive(Clone)]
pub struct Runner {
    pub id: String,
    pub address: SocketAddr,
    pub service: String,
    pub zone: String,
    pub version: String,
    pub born: u64,
    rules: RunnerRules,
    record: Record,
    /// Whether it sends copies of answers.
    pub faulty: Arc<AtomicBool>,
    /// Whether it says in all its answers that it leaves.
    pub leaving: Arc<AtomicBool>,
    /// Whether it is switched off: it takes no connection, and requests in progress get no answer.
    pub off: Arc<AtomicBool>,
    answers: Arc<AtomicU64>,
    places: Arc<(Mutex<Places>, Condvar)>,
    /// Streams in progress, the newest last, and until when each is preempted.
    streams: Arc<Mutex<Vec<(u64, Instant)>>>,
}

impl Runner {
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        version: &str,
        rules: RunnerRules,
        record: &Record,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for a runner");
        let runner = Self {
            id: id.to_owned(),
            address: listener.local_addr().expect("the runner's address"),
            service: service.to_owned(),
            zone: zone.to_owned(),
            version: version.to_owned(),
            born: record.unix_ms(),
            rules,
            record: record.clone(),
            faulty: Arc::default(),
            leaving: Arc::default(),
            off: Arc::default(),
            answers: Arc::default(),
            places: Arc::new((Mutex::new(Places { running: 0, waiting: 0 }), Condvar::new())),
            streams: Arc::default(),
        };
        let server = runner.clone();
        listener.set_nonblocking(true).expect("a listener that does not block");
        thread::spawn(move || {
            while !server.off.load(Ordering::Relaxed) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let server = server.clone();
                if stream.set_nonblocking(false).is_ok() {
                    thread::spawn(move || server.serve(Conn::new(stream)));
                }
            }
        });
        runner
    }

    /// The entry that it writes to the store.
    pub fn entry(&self, state: &str) -> String {
        let Self { service, address, zone, version, born, .. } = self;
        let slots = self.rules.slots;
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
             \"version\":\"{version}\",\"slots\":{slots},\"state\":\"{state}\",\"coldLeftMs\":0,\
             \"seq\":1,\"born\":{born}}}"
        )
    }

    fn places(&self) -> MutexGuard<'_, Places> {
        self.places.0.lock().unwrap_or_else(|error| error.into_inner())
    }

    /// Takes a slot, or waits in the queue; returns false when both are full.
    fn take_place(&self) -> bool {
        let mut places = self.places();
        if places.running >= self.rules.slots {
            if places.waiting >= self.rules.queue {
                return false;
            }
            places.waiting += 1;
            while places.running >= self.rules.slots {
                places = self.places.1.wait(places).unwrap_or_else(|error| error.into_inner());
            }
            places.waiting -= 1;
        }
        places.running += 1;
        true
    }

    fn leave_place(&self) {
        self.places().running -= 1;
        self.places.1.notify_one();
    }

    fn serve(&self, mut connection: Conn) {
        // An answer of which a second copy comes where the next answer is expected.
        let mut late_copy: Option<String> = None;
        while let Some((head, body)) = connection.read_request(Duration::from_secs(10)) {
            if let Some(copy) = late_copy.take() {
                self.record.line(&format!(
                    "runner {} sends a late second copy of an earlier answer before it answers {}",
                    self.id,
                    head.header("attempt-id").unwrap_or("-")
                ));
                if connection.send(copy.as_bytes()).is_err() {
                    return;
                }
            }
            let id = head.header("attempt-id").unwrap_or("").to_owned();
            if head.header("expect-runner").is_some_and(|expected| expected != self.id) {
                let answer = format!(
                    "HTTP/1.1 421 X\r\nAttempt-Id: {id}\r\nRunner-Id: {}\r\nNot-Executed: 1\r\n\
                     Content-Length: 0\r\n\r\n",
                    self.id
                );
                if connection.send(answer.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            if head.target() == "/api/kv-list" {
                let answer = "{\"epoch\":1,\"nextToken\":1,\"held\":[]}";
                let answer = format!(
                    "HTTP/1.1 200 X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{answer}",
                    answer.len()
                );
                if connection.send(answer.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            self.record.arrival(&id, self, &head);
            let answer = if self.take_place() {
                self.record.run(&id, self, body.len());
                let answer = self.run(&mut connection, &head, &id);
                self.leave_place();
                answer
            } else {
                self.record.line(&format!("runner {} is full and declines {id}", self.id));
                Some(format!(
                    "HTTP/1.1 503 X\r\nAttempt-Id: {id}\r\nNot-Executed: 1\r\n{}Content-Length: 0\r\n\r\n",
                    self.leaving_header()
                ))
            };
            let Some(answer) = answer.filter(|_| !self.off.load(Ordering::Relaxed)) else { return };
            if !answer.is_empty() {
                if connection.send(answer.as_bytes()).is_err() {
                    return;
                }
                let number = self.answers.fetch_add(1, Ordering::Relaxed) + 1;
                if self.faulty.load(Ordering::Relaxed) && number % self.rules.copy_each == 0 {
                    late_copy = Some(answer);
                }
            }
        }
    }

    /// Preempts the newest streams, which go on after a while.
    pub fn preempt(&self, count: usize, time: Duration) {
        let mut streams = self.streams.lock().unwrap_or_else(|error| error.into_inner());
        for (_, until) in streams.iter_mut().rev().take(count) {
            *until = Instant::now() + time;
        }
    }

    /// Waits until a stream is not preempted.
    fn wait_for_turn(&self, stream: u64) {
        loop {
            let streams = self.streams.lock().unwrap_or_else(|error| error.into_inner());
            let until = streams.iter().find(|(number, _)| *number == stream).map(|(_, until)| *until);
            drop(streams);
            let left = until.map(|until| until.saturating_duration_since(Instant::now()));
            match left.filter(|left| !left.is_zero()) {
                Some(left) => thread::sleep(left),
                None => return,
            }
        }
    }

    fn leaving_header(&self) -> &'static str {
        if self.leaving.load(Ordering::Relaxed) { "Server-Leaving: 1\r\n" } else { "" }
    }

    /// Runs a request. Returns a whole answer that is still to be sent, an empty text when it was
    /// sent, or `None` when the connection is broken.
    fn run(&self, connection: &mut Conn, head: &Head, id: &str) -> Option<String> {
        let signature = format!("Attempt-Id: {id}\r\nRunner-Signature: sig.{}\r\n", self.id);
        let leaving = self.leaving_header();
        if !head.target().starts_with("/stream/") {
            thread::sleep(self.rules.work);
            let body = format!("answer of {} to {id}", self.id);
            return Some(format!(
                "HTTP/1.1 200 OK\r\n{signature}{leaving}Content-Length: {}\r\n\r\n{body}",
                body.len()
            ));
        }
        let start = format!(
            "HTTP/1.1 200 OK\r\n{signature}{leaving}Content-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\n\r\n"
        );
        connection.send(start.as_bytes()).ok()?;
        let after = head.header("last-event-id").and_then(|id| id.parse::<u64>().ok());
        let stream = self.answers.fetch_add(1, Ordering::Relaxed);
        self.streams.lock().unwrap_or_else(|e| e.into_inner()).push((stream, Instant::now()));
        let sent = self.send_events(connection, id, stream, after.unwrap_or(0) + 1);
        self.streams.lock().unwrap_or_else(|e| e.into_inner()).retain(|(number, _)| *number != stream);
        sent?;
        connection.send(b"0\r\n\r\n").ok()?;
        Some(String::new())
    }

    fn send_events(&self, connection: &mut Conn, id: &str, stream: u64, first: u64) -> Option<()> {
        for number in first..=self.rules.events {
            thread::sleep(self.rules.pause);
            self.wait_for_turn(stream);
            let event = format!("id: {number}\ndata: {} part {number} {}\n\n", self.version, "x".repeat(self.rules.event_bytes));
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if connection.send(chunk.as_bytes()).is_err() {
                self.record.line(&format!("runner {} drops {id}: its connection closed", self.id));
                return None;
            }
        }
        Some(())
    }
}
