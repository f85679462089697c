//! Stand-in of a runner, which answers each call by a script or a rule.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    ops::RangeInclusive,
    sync::{Arc, Mutex},
    time::Duration,
};

use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    sync::{Semaphore, watch},
    time::Instant,
};

use super::{HttpConnection, HttpMessage};

/// What a runner does with one call.
///
/// The soak prints the names of the variants in its verdict lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reply {
    /// A complete answer.
    Whole,
    /// A complete answer of that many bytes.
    Padded(usize),
    /// A complete answer of that many chunks of one byte.
    Chunks(usize),
    /// A complete answer without a length, which ends when the connection closes.
    Unframed,
    /// An answer with this status and without a length, whose connection is reset before its end.
    UnframedReset(u16),
    /// A complete answer, followed by an answer to another call.
    Extra,
    /// A complete answer, and after a pause a copy of it.
    Copied(Duration),
    /// A complete answer with the attempt id of another call.
    Foreign,
    /// An answer with status 200 and without the runner's signature.
    Unsigned,
    /// A signed answer with this status after the runner executed the call; its text could be taken for an event.
    Signed(u16),
    /// The first bytes of such an answer's head, after which the connection closes.
    HeadCut(usize),
    /// Bytes that are no answer, after which the connection closes.
    Garbage,
    /// This text, in which `@ID` stands for the id of the call, after which the connection closes.
    Text(&'static str),
    /// A signed answer with status 500 after the runner executed the call.
    Failure,
    /// Status 503 and a header that says that the call was not executed.
    Declined,
    /// Such a refusal, and after a pause a copy of it; the second field says whether it names its call.
    DeclinedCopied(Duration, bool),
    /// Status 421: the address belongs to another runner, and the call was not executed.
    Misdirected,
    /// The connection closes before an answer.
    Cut,
    /// The connection closes in the middle of the answer.
    CutShort,
    /// No answer; the connection stays open.
    Silent,
    /// A complete answer after a silence.
    Late(Duration),
    /// A stream of all events up to a number, from the one after the call's `Last-Event-Id`.
    Events(u64),
    /// Such a stream whose events have that many bytes of data, without pauses.
    EventsPadded(u64, usize),
    /// Such a stream whose connection closes in the middle of the event after that number.
    EventsCut(u64),
    /// Such a stream with a pause before each event.
    EventsSlow(u64, Duration),
    /// Such a stream that stays open and sends one byte at a time of the event after that number.
    EventsTrickled(u64),
    /// Such a stream that stays open and sends only the start of the event after that number.
    EventsSilent(u64),
    /// A stream of all events up to `last` and the first bytes of the next one, which ends there as
    /// `framing` says.
    EventsEnded {
        /// Number of the last complete event.
        last: u64,
        /// Bytes of the next event that are sent.
        partial_bytes: usize,
        /// How the stream ends.
        framing: StreamFraming,
    },
    /// Bytes without end, until the connection closes.
    Endless(EndlessPart),
    /// The runner begins an answer and crashes: it breaks off all its answers and takes no further
    /// connections.
    Crash,
}

/// Part of an answer that has no end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndlessPart {
    /// The head.
    Head,
    /// Interim responses before the head.
    Interim,
    /// The size of a chunk, in zeros.
    ChunkSize,
    /// The blanks after the size of a chunk, once the caller of a stream has an event.
    ChunkBlanks,
    /// A body in chunks.
    Chunks,
    /// A body without a length or chunks.
    Body,
    /// The first event of a stream.
    Event,
}

/// How a runner marks the end of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamFraming {
    /// A length in the head, which covers all bytes that are sent.
    Length,
    /// A last chunk.
    Chunked,
    /// Neither a length nor chunks; the connection is closed.
    Close,
    /// Neither a length nor chunks; the connection is reset.
    Reset,
}

/// Stands for the id of the call in the text of an answer.
const ID_PLACE: &str = "@ID";

/// Pause between two bytes of a stream that trickles.
const TRICKLE_PAUSE: Duration = Duration::from_millis(300);

/// Number of repeated pieces in one write of an answer without end.
const ENDLESS_REPEATS: usize = 16_384;

/// Replies to the next calls, shared by all runners: whichever runner a call reaches takes the
/// next reply.
pub type ReplyScript = Arc<Mutex<VecDeque<Reply>>>;

/// Determines a runner's reply from the call and a pseudo-random number.
pub type ReplyRule = fn(&HttpMessage, u64) -> Reply;

/// Source of a runner's replies: a shared script, or a rule and the seed of its numbers.
#[derive(Debug, Clone)]
enum ReplySource {
    Script(ReplyScript),
    Rule(ReplyRule, u64),
}

/// A call that reached a runner.
#[derive(Debug, Clone)]
pub struct ReceivedCall {
    /// The call as the runner read it.
    pub message: HttpMessage,
    /// The reply that the runner chose.
    pub reply: Reply,
    /// When the runner read the call.
    pub at: Instant,
}

/// What a runner does with a connection after a reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AfterReply {
    Reuse,
    Close,
    Reset,
}

/// Room of a runner for calls, further ones of which it declines.
#[derive(Debug, Clone)]
struct RunnerRoom {
    slots: u32,
    slots_free: Arc<Semaphore>,
    /// Calls that run or wait.
    held: u32,
    held_max: u32,
}

#[derive(Debug, Default)]
struct RunnerState {
    received: Vec<ReceivedCall>,
    early_close_count: u32,
    limit: Option<Box<str>>,
    leaving: Option<Box<str>>,
    rejection_limit: Option<Box<str>>,
    retry_after: Option<Box<str>>,
    room: Option<RunnerRoom>,
    software: Option<Box<str>>,
}

impl RunnerState {
    /// Headers that the runner adds to all its answers.
    fn notice_headers(&self) -> String {
        let notices =
            [("Server-Leaving", &self.leaving), ("Server-Brittle", &self.rejection_limit)];
        let lines = notices
            .into_iter()
            .filter_map(|(name, value)| value.as_ref().map(|value| format!("{name}: {value}\r\n")));
        lines.collect()
    }
}

/// The stand-in; once its script is empty it answers each call with a complete answer.
#[derive(Debug, Clone)]
pub struct RunnerStandIn {
    /// Name of the runner in the store and in signatures.
    pub id: Box<str>,
    /// Address on which the runner listens.
    pub address: SocketAddr,
    state: Arc<Mutex<RunnerState>>,
    replies: ReplySource,
    crashed: watch::Sender<bool>,
}

impl Reply {
    /// Whether the runner counts as having executed the call; only an explicit refusal says that it
    /// did not.
    pub fn ran(self) -> bool {
        !matches!(self, Self::Declined | Self::DeclinedCopied(..) | Self::Misdirected)
    }
}

impl RunnerStandIn {
    /// Starts a runner that replies by a shared script.
    pub async fn start(id: &str, script: &ReplyScript) -> Self {
        Self::start_with(id, ReplySource::Script(script.clone())).await
    }

    /// Starts a runner that replies by a rule, with pseudo-random numbers from a seed.
    pub async fn start_with_rule(id: &str, rule: ReplyRule, seed: u64) -> Self {
        Self::start_with(id, ReplySource::Rule(rule, seed)).await
    }

    async fn start_with(id: &str, replies: ReplySource) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("cannot bind a port");
        let address = listener.local_addr().expect("the listener has no address");
        let crashed = watch::Sender::new(false);
        let runner = Self { id: id.into(), address, state: Arc::default(), replies, crashed };
        let server = runner.clone();
        tokio::spawn(async move {
            let mut crashed = server.crashed.subscribe();
            loop {
                tokio::select! {
                    accepted = listener.accept() => {
                        let Ok((stream, _)) = accepted else { return };
                        tokio::spawn(server.clone().serve(HttpConnection::new(stream)));
                    }
                    _ = crashed.wait_for(|crashed| *crashed) => return,
                }
            }
        });
        runner
    }

    /// Whether the runner crashed; it does not come back.
    pub fn has_crashed(&self) -> bool {
        *self.crashed.borrow()
    }

    /// The runner's entry for the store.
    pub fn entry(&self, service: &str) -> Value {
        let state = self.state.lock().expect("the state lock is poisoned");
        let version = state.software.as_deref().unwrap_or("v1");
        let slots = state.room.as_ref().map_or(8, |room| room.slots);
        json!({
            "service": service, "address": self.address.to_string(), "zone": "z", "version": version,
            "slots": slots, "state": "ready", "coldLeftMs": 0, "seq": 1, "born": 1_700_000_000_000u64,
        })
    }

    /// Calls that reached the runner.
    pub fn received_messages(&self) -> Vec<HttpMessage> {
        self.received_calls().into_iter().map(|call| call.message).collect()
    }

    /// Calls that reached the runner, with its replies.
    pub fn received_calls(&self) -> Vec<ReceivedCall> {
        self.state.lock().expect("the state lock is poisoned").received.clone()
    }

    /// Sets the limit on the rate of calls that the runner names in its signed answers.
    pub fn name_limit(&self, limit: Option<&str>) {
        self.state.lock().expect("the state lock is poisoned").limit = limit.map(Into::into);
    }

    /// Sets the announcement that the runner makes in all its answers; `1` says that it leaves.
    pub fn announce_leaving(&self, value: Option<&str>) {
        self.state.lock().expect("the state lock is poisoned").leaving = value.map(Into::into);
    }

    /// Sets the rejections a second that the runner says in all its answers that it bears.
    pub fn state_rejection_limit(&self, limit: Option<&str>) {
        let mut state = self.state.lock().expect("the state lock is poisoned");
        state.rejection_limit = limit.map(Into::into);
    }

    /// Sets the time for which the runner asks for a pause when it declines a call.
    pub fn ask_for_pause(&self, retry_after: Option<&str>) {
        let mut state = self.state.lock().expect("the state lock is poisoned");
        state.retry_after = retry_after.map(Into::into);
    }

    /// Limits the calls that the runner runs at once and those that wait for a slot; it declines all others.
    pub fn limit_room(&self, slots: u32, waiting_max: u32) {
        let slots_free = Arc::new(Semaphore::new(slots as usize));
        let room = RunnerRoom { slots, slots_free, held: 0, held_max: slots + waiting_max };
        self.state.lock().expect("the state lock is poisoned").room = Some(room);
    }

    /// Sets the software version in the runner's entry, and adds it to each event as a comment.
    pub fn run_software(&self, version: &str) {
        self.state.lock().expect("the state lock is poisoned").software = Some(version.into());
    }

    /// Number of connections that the router closed while a call on them had no complete answer.
    pub fn early_close_count(&self) -> u32 {
        self.state.lock().expect("the state lock is poisoned").early_close_count
    }

    async fn serve(self, mut connection: HttpConnection) {
        let mut crashed = self.crashed.subscribe();
        tokio::select! {
            () = self.serve_calls(&mut connection) => {}
            _ = crashed.wait_for(|crashed| *crashed) => {}
        }
    }

    async fn serve_calls(&self, connection: &mut HttpConnection) {
        while let Some(request) = connection.read(false).await {
            let slots_free = self.enter_room();
            let is_full = slots_free.as_ref().is_some_and(Option::is_none);
            let reply = self.record_call(&request, is_full);
            let slots_free = slots_free.flatten();
            let holds_room = slots_free.is_some();
            let slot = match slots_free {
                Some(slots_free) => slots_free.acquire_owned().await.ok(),
                None => None,
            };
            let after_reply = self.reply(connection, &request, reply).await;
            drop(slot);
            if holds_room {
                self.leave_room();
            }
            match after_reply {
                AfterReply::Reuse => {}
                AfterReply::Close => return,
                AfterReply::Reset => return connection.reset().await,
            }
        }
    }

    /// Takes room for a call; returns the slots that it waits for, `None` for these if there is no room, or `None` if
    /// room is not limited.
    fn enter_room(&self) -> Option<Option<Arc<Semaphore>>> {
        let mut state = self.state.lock().expect("the state lock is poisoned");
        let room = state.room.as_mut()?;
        if room.held >= room.held_max {
            return Some(None);
        }
        room.held += 1;
        Some(Some(room.slots_free.clone()))
    }

    fn leave_room(&self) {
        let mut state = self.state.lock().expect("the state lock is poisoned");
        if let Some(room) = state.room.as_mut() {
            room.held -= 1;
        }
    }

    /// Determines the reply to a call, which a full runner declines, and records both.
    fn record_call(&self, request: &HttpMessage, is_full: bool) -> Reply {
        let mut state = self.state.lock().expect("the state lock is poisoned");
        let reply = match &self.replies {
            _ if is_full => Some(Reply::Declined),
            ReplySource::Script(script) => {
                script.lock().expect("the script lock is poisoned").pop_front()
            }
            ReplySource::Rule(rule, seed) => {
                let random_number =
                    seed.wrapping_mul(1_000_003).wrapping_add(state.received.len() as u64);
                Some(rule(request, random_number))
            }
        };
        let reply = reply.unwrap_or(Reply::Whole);
        state.received.push(ReceivedCall { message: request.clone(), reply, at: Instant::now() });
        reply
    }

    /// Sends a reply; returns what happens to the connection.
    async fn reply(
        &self,
        connection: &mut HttpConnection,
        request: &HttpMessage,
        reply: Reply,
    ) -> AfterReply {
        let id = request.header("attempt-id").unwrap_or("").to_owned();
        let body = format!("answer to {id}");
        let complete = |id: &str| self.signed_answer(200, id, &format!("answer to {id}"));
        match reply {
            Reply::Whole => connection.send(complete(&id).as_bytes()).await,
            Reply::Padded(bytes) => {
                let answer = self.signed_answer(200, &id, &"x".repeat(bytes));
                connection.send(answer.as_bytes()).await;
            }
            Reply::Chunks(count) => {
                let head = self.signed_head(200, &id);
                let body = chunk("x").repeat(count) + "0\r\n\r\n";
                let answer = format!("{head}Transfer-Encoding: chunked\r\n\r\n{body}");
                connection.send(answer.as_bytes()).await;
            }
            Reply::Unframed => {
                let head = self.signed_head(200, &id);
                connection.send(format!("{head}Connection: close\r\n\r\n{body}").as_bytes()).await;
                return AfterReply::Close;
            }
            Reply::UnframedReset(status) => {
                let head = self.signed_head(status, &id);
                connection.send(format!("{head}\r\n{}", &body[..body.len() / 2]).as_bytes()).await;
                return AfterReply::Reset;
            }
            Reply::Extra => {
                let both = format!("{}{}", complete(&id), complete("feedfeedfeedfeed"));
                connection.send(both.as_bytes()).await;
            }
            Reply::Copied(pause) => {
                connection.send(complete(&id).as_bytes()).await;
                tokio::time::sleep(pause).await;
                connection.send(complete(&id).as_bytes()).await;
            }
            Reply::Foreign => connection.send(complete("feedfeedfeedfeed").as_bytes()).await,
            Reply::Unsigned => {
                let answer =
                    format!("HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\n{}", self.empty_body_head());
                connection.send(answer.as_bytes()).await;
            }
            Reply::Signed(status) => {
                let answer = self.signed_answer(status, &id, "error text\n\n");
                connection.send(answer.as_bytes()).await;
            }
            Reply::HeadCut(bytes) => {
                let head = self.event_stream_head(&id);
                connection.send(&head.as_bytes()[..bytes.min(head.len() - 1)]).await;
                return AfterReply::Close;
            }
            Reply::Garbage => {
                connection.send(b"\x16\x03\x01 no answer\n\n").await;
                return AfterReply::Close;
            }
            Reply::Text(text) => {
                connection.send(text.replace(ID_PLACE, &id).as_bytes()).await;
                return AfterReply::Close;
            }
            Reply::Failure => {
                connection.send(self.signed_answer(500, &id, "failed").as_bytes()).await
            }
            Reply::Declined => {
                let (pause, end) = (self.retry_after_header(), self.empty_body_head());
                let answer = format!("HTTP/1.1 503 X\r\nNot-Executed: 1\r\n{pause}{end}");
                connection.send(answer.as_bytes()).await;
            }
            Reply::DeclinedCopied(pause, has_id) => {
                let id = if has_id { format!("Attempt-Id: {id}\r\n") } else { String::new() };
                let answer =
                    format!("HTTP/1.1 503 X\r\n{id}Not-Executed: 1\r\n{}", self.empty_body_head());
                connection.send(answer.as_bytes()).await;
                tokio::time::sleep(pause).await;
                connection.send(answer.as_bytes()).await;
            }
            Reply::Misdirected => {
                let end = self.empty_body_head();
                let answer = format!("HTTP/1.1 421 X\r\nRunner-Id: other\r\n{end}");
                connection.send(answer.as_bytes()).await;
            }
            Reply::Cut => return AfterReply::Close,
            Reply::CutShort => {
                let head = self.signed_head(200, &id);
                connection
                    .send(format!("{head}Content-Length: 900\r\n\r\n{body}").as_bytes())
                    .await;
                return AfterReply::Close;
            }
            Reply::Silent => return self.wait_for_close(connection).await,
            Reply::Late(silence) => {
                tokio::time::sleep(silence).await;
                connection.send(complete(&id).as_bytes()).await;
            }
            Reply::Events(last) => self.send_events(connection, request, last, "").await,
            Reply::EventsSlow(last, pause) => {
                let head = self.event_stream_head(&id);
                connection.send(head.as_bytes()).await;
                for event in event_numbers(request, last) {
                    tokio::time::sleep(pause).await;
                    connection.send(chunk(&self.event_text(event)).as_bytes()).await;
                }
                connection.send(b"0\r\n\r\n").await;
            }
            Reply::EventsPadded(last, bytes) => {
                connection.send(self.event_stream_head(&id).as_bytes()).await;
                for event in event_numbers(request, last) {
                    let text = padded_event_text(event, bytes);
                    if connection.stream.write_all(chunk(&text).as_bytes()).await.is_err() {
                        return AfterReply::Close;
                    }
                }
                connection.send(b"0\r\n\r\n").await;
            }
            Reply::EventsTrickled(after) => {
                self.send_events(connection, request, after, "id").await;
                while connection.stream.write_all(chunk(" ").as_bytes()).await.is_ok() {
                    tokio::time::sleep(TRICKLE_PAUSE).await;
                }
                return AfterReply::Close;
            }
            Reply::EventsCut(after) => {
                let half = format!("id: {}\ndata: ev", after + 1);
                self.send_events(connection, request, after, &half).await;
                return AfterReply::Close;
            }
            Reply::EventsSilent(after) => {
                self.send_events(connection, request, after, "id").await;
                return self.wait_for_close(connection).await;
            }
            Reply::EventsEnded { last, partial_bytes, framing } => {
                let partial_event = &event_text(last + 1)[..partial_bytes];
                return self.end_events(connection, request, last, partial_event, framing).await;
            }
            Reply::Endless(part) => {
                self.send_without_end(connection, &id, part).await;
                return AfterReply::Close;
            }
            Reply::Crash => {
                self.send_events(connection, request, 1, "id").await;
                self.crashed.send_replace(true);
                return AfterReply::Close;
            }
        }
        AfterReply::Reuse
    }

    /// Sends events and a partial one, and ends the stream; returns what happens to the connection.
    async fn end_events(
        &self,
        connection: &mut HttpConnection,
        request: &HttpMessage,
        last: u64,
        partial_event: &str,
        framing: StreamFraming,
    ) -> AfterReply {
        let id = request.header("attempt-id").unwrap_or("");
        let events: String = event_numbers(request, last).map(event_text).collect();
        let body = format!("{events}{partial_event}");
        let (framing_header, body) = match framing {
            StreamFraming::Length => (format!("Content-Length: {}\r\n", body.len()), body),
            StreamFraming::Chunked => {
                ("Transfer-Encoding: chunked\r\n".to_owned(), chunk(&body) + "0\r\n\r\n")
            }
            StreamFraming::Close | StreamFraming::Reset => (String::new(), body),
        };
        let head = self.signed_head(200, id);
        let head = format!("{head}Content-Type: text/event-stream\r\n{framing_header}\r\n");
        connection.send(format!("{head}{body}").as_bytes()).await;
        match framing {
            StreamFraming::Length | StreamFraming::Chunked => AfterReply::Reuse,
            StreamFraming::Close => AfterReply::Close,
            StreamFraming::Reset => AfterReply::Reset,
        }
    }

    /// Sends bytes until the connection closes.
    async fn send_without_end(&self, connection: &mut HttpConnection, id: &str, part: EndlessPart) {
        let head = self.signed_head(200, id);
        let (start, piece) = match part {
            EndlessPart::Head => (head, "X-More: more\r\n".repeat(ENDLESS_REPEATS)),
            EndlessPart::Interim => {
                (String::new(), "HTTP/1.1 100 Continue\r\n\r\n".repeat(ENDLESS_REPEATS))
            }
            EndlessPart::ChunkSize => {
                let start = format!("{head}Transfer-Encoding: chunked\r\n\r\n");
                (start, "0".repeat(ENDLESS_REPEATS))
            }
            EndlessPart::ChunkBlanks => {
                let event = chunk(&event_text(1));
                let start = format!("{head}Transfer-Encoding: chunked\r\n\r\n{event}4");
                (start, " ".repeat(ENDLESS_REPEATS))
            }
            EndlessPart::Chunks => {
                let piece = chunk(&"x".repeat(ENDLESS_REPEATS));
                (format!("{head}Transfer-Encoding: chunked\r\n\r\n"), piece)
            }
            EndlessPart::Body => (format!("{head}\r\n"), "x".repeat(ENDLESS_REPEATS)),
            EndlessPart::Event => {
                let start = format!("{head}Content-Type: text/event-stream\r\n\r\nid: 1\ndata: ");
                (start, "x".repeat(ENDLESS_REPEATS))
            }
        };
        connection.send(start.as_bytes()).await;
        while connection.stream.write_all(piece.as_bytes()).await.is_ok() {}
    }

    /// Sends events; a stream with a partial event is left unfinished.
    async fn send_events(
        &self,
        connection: &mut HttpConnection,
        request: &HttpMessage,
        last: u64,
        partial_event: &str,
    ) {
        let id = request.header("attempt-id").unwrap_or("");
        connection.send(self.event_stream_head(id).as_bytes()).await;
        for event in event_numbers(request, last) {
            connection.send(chunk(&self.event_text(event)).as_bytes()).await;
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        if partial_event.is_empty() {
            connection.send(b"0\r\n\r\n").await;
        } else {
            connection.send(chunk(partial_event).as_bytes()).await;
        }
    }

    fn event_stream_head(&self, id: &str) -> String {
        let head = self.signed_head(200, id);
        format!("{head}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
    }

    /// Text of an event, with a comment on the software if it was set.
    fn event_text(&self, number: u64) -> String {
        let state = self.state.lock().expect("the state lock is poisoned");
        match &state.software {
            Some(version) => event_text(number).replace("\n\n", &format!("\n: {version}\n\n")),
            None => event_text(number),
        }
    }

    async fn wait_for_close(&self, connection: &mut HttpConnection) -> AfterReply {
        let mut byte = [0];
        let read = connection.stream.read(&mut byte).await;
        if !read.is_ok_and(|length| length > 0) {
            self.state.lock().expect("the state lock is poisoned").early_close_count += 1;
        }
        AfterReply::Close
    }

    fn signed_head(&self, status: u16, id: &str) -> String {
        let signature = format!("Runner-Signature: sig.{}\r\n", self.id);
        let state = self.state.lock().expect("the state lock is poisoned");
        let limit = state.limit.as_ref().map(|limit| format!("Server-Limit: {limit}\r\n"));
        let notices = limit.unwrap_or_default() + &state.notice_headers();
        format!(
            "HTTP/1.1 {status} X\r\nAttempt-Id: {id}\r\n{signature}{notices}Runner-Load: 1,0,8\r\n"
        )
    }

    fn retry_after_header(&self) -> String {
        let state = self.state.lock().expect("the state lock is poisoned");
        let value = state.retry_after.as_ref();
        value.map(|value| format!("Retry-After: {value}\r\n")).unwrap_or_default()
    }

    /// End of the head of an answer without a body.
    fn empty_body_head(&self) -> String {
        let state = self.state.lock().expect("the state lock is poisoned");
        format!("{}Content-Length: 0\r\n\r\n", state.notice_headers())
    }

    fn signed_answer(&self, status: u16, id: &str, body: &str) -> String {
        format!("{}Content-Length: {}\r\n\r\n{body}", self.signed_head(status, id), body.len())
    }
}

/// Headers of a call that resumes a stream after an event; `origin` is the call that delivered the first
/// one.
pub fn resume_headers(last_event: u64, origin: &str) -> String {
    format!("Last-Event-Id: {last_event}\r\nResumes: {origin}\r\n")
}

/// Text of an event, with the empty line that ends it.
pub fn event_text(number: u64) -> String {
    format!("id: {number}\ndata: event {number}\n\n")
}

/// Text of an event with that many bytes of data.
pub fn padded_event_text(number: u64, bytes: usize) -> String {
    format!("id: {number}\ndata: {}\n\n", "x".repeat(bytes))
}

/// Numbers of the events that answer a call, from the one after its `Last-Event-Id`.
fn event_numbers(request: &HttpMessage, last: u64) -> RangeInclusive<u64> {
    let after = request.header("last-event-id").and_then(|id| id.parse::<u64>().ok());
    after.unwrap_or(0) + 1..=last
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}
