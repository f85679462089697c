//! Stand-in of a runner: it answers each call as its script says.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use serde_json::{Value, json};
use tokio::{io::AsyncReadExt, net::TcpListener, time::Instant};

use super::{HttpConnection, HttpMessage};

/// What a runner does with one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reply {
    /// A whole answer.
    Whole,
    /// A whole answer that ends with its connection.
    Unframed,
    /// A whole answer and one of another call behind it.
    Extra,
    /// A whole answer to another call.
    Foreign,
    /// A success without the runner's signature.
    Unsigned,
    /// A failure of its own after it ran the call.
    Failure,
    /// It says that it did not run the call.
    Declined,
    /// The address belongs to another runner.
    Misdirected,
    /// The connection ends before an answer.
    Cut,
    /// The connection ends in the middle of the answer.
    CutShort,
    /// No answer ever.
    Silent,
    /// A stream with all events up to a number, after the one that the call names.
    Events(u64),
    /// The same, which breaks off in the middle of the event after that one.
    EventsCut(u64),
    /// The same, which falls silent after an event.
    EventsSilent(u64),
}

/// What the runners do with the next calls, whichever of them a call reaches.
pub type SharedScript = Arc<Mutex<VecDeque<Reply>>>;

/// What a runner does with a call, from the call and a number drawn for it.
pub type ReplyRule = fn(&HttpMessage, u64) -> Reply;

/// Where a runner's replies come from.
#[derive(Debug, Clone)]
enum ReplySource {
    Script(SharedScript),
    Rule(ReplyRule, u64),
}

/// A call that reached a runner.
#[derive(Debug, Clone)]
pub struct ServedCall {
    /// The call.
    pub message: HttpMessage,
    /// What the runner did with it.
    pub reply: Reply,
    /// When it was read.
    pub at: Instant,
}

#[derive(Debug, Default)]
struct RunnerState {
    served: Vec<ServedCall>,
    closed_early: u32,
}

/// The stand-in; without a script it answers each call whole.
#[derive(Debug, Clone)]
pub struct RunnerStandIn {
    /// Its name.
    pub id: Box<str>,
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<Mutex<RunnerState>>,
    replies: ReplySource,
}

impl Reply {
    /// Whether the runner worked on the call.
    pub fn ran(self) -> bool {
        !matches!(self, Self::Declined | Self::Misdirected)
    }
}

impl RunnerStandIn {
    /// Starts a runner that does as the script says.
    pub async fn start(id: &str, script: &SharedScript) -> Self {
        Self::start_with(id, ReplySource::Script(script.clone())).await
    }

    /// Starts a runner that follows a rule, with numbers from a seed.
    pub async fn start_ruled(id: &str, rule: ReplyRule, seed: u64) -> Self {
        Self::start_with(id, ReplySource::Rule(rule, seed)).await
    }

    async fn start_with(id: &str, replies: ReplySource) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let runner = Self { id: id.into(), address, state: Arc::default(), replies };
        let serving = runner.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serving.clone().serve(HttpConnection::new(stream)));
            }
        });
        runner
    }

    /// What the runner says of itself in the store.
    pub fn entry(&self, service: &str) -> Value {
        json!({
            "service": service, "address": self.address.to_string(), "zone": "z", "version": "v1",
            "slots": 8, "state": "ready", "coldLeftMs": 0, "seq": 1, "born": 1_700_000_000_000u64,
        })
    }

    /// The calls that reached the runner.
    pub fn seen(&self) -> Vec<HttpMessage> {
        self.served().into_iter().map(|call| call.message).collect()
    }

    /// The calls that reached the runner and what it did with them.
    pub fn served(&self) -> Vec<ServedCall> {
        self.state.lock().expect("the state").served.clone()
    }

    /// Connections that the router closed while a call was on them.
    pub fn closed_early(&self) -> u32 {
        self.state.lock().expect("the state").closed_early
    }

    async fn serve(self, mut connection: HttpConnection) {
        while let Some(request) = connection.read(false).await {
            let reply = self.note(&request);
            if !self.reply(&mut connection, &request, reply).await {
                return;
            }
        }
    }

    /// Draws the reply to a call and records both.
    fn note(&self, request: &HttpMessage) -> Reply {
        let mut state = self.state.lock().expect("the state");
        let reply = match &self.replies {
            ReplySource::Script(script) => script.lock().expect("the script").pop_front(),
            ReplySource::Rule(rule, seed) => {
                let drawn = seed.wrapping_mul(1_000_003).wrapping_add(state.served.len() as u64);
                Some(rule(request, drawn))
            }
        };
        let reply = reply.unwrap_or(Reply::Whole);
        state.served.push(ServedCall { message: request.clone(), reply, at: Instant::now() });
        reply
    }

    /// Answers a call; returns whether the connection goes on.
    async fn reply(
        &self,
        connection: &mut HttpConnection,
        request: &HttpMessage,
        reply: Reply,
    ) -> bool {
        let id = request.header("attempt-id").unwrap_or("").to_owned();
        let body = format!("answer to {id}");
        let whole = |id: &str| self.answer(200, id, &format!("answer to {id}"));
        match reply {
            Reply::Whole => connection.send(whole(&id).as_bytes()).await,
            Reply::Unframed => {
                let head = self.head(200, &id);
                connection.send(format!("{head}Connection: close\r\n\r\n{body}").as_bytes()).await;
                return false;
            }
            Reply::Extra => {
                let both = format!("{}{}", whole(&id), whole("feedfeedfeedfeed"));
                connection.send(both.as_bytes()).await;
            }
            Reply::Foreign => connection.send(whole("feedfeedfeedfeed").as_bytes()).await,
            Reply::Unsigned => {
                let answer =
                    format!("HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nContent-Length: 0\r\n\r\n");
                connection.send(answer.as_bytes()).await;
            }
            Reply::Failure => connection.send(self.answer(500, &id, "failed").as_bytes()).await,
            Reply::Declined => {
                let answer = "HTTP/1.1 503 X\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
                connection.send(answer.as_bytes()).await;
            }
            Reply::Misdirected => {
                let answer = "HTTP/1.1 421 X\r\nRunner-Id: other\r\nContent-Length: 0\r\n\r\n";
                connection.send(answer.as_bytes()).await;
            }
            Reply::Cut => return false,
            Reply::CutShort => {
                let head = self.head(200, &id);
                connection
                    .send(format!("{head}Content-Length: 900\r\n\r\n{body}").as_bytes())
                    .await;
                return false;
            }
            Reply::Silent => return self.wait_for_close(connection).await,
            Reply::Events(last) => self.events(connection, request, last, "").await,
            Reply::EventsCut(after) => {
                let half = format!("id: {}\ndata: ev", after + 1);
                self.events(connection, request, after, &half).await;
                return false;
            }
            Reply::EventsSilent(after) => {
                self.events(connection, request, after, "id").await;
                return self.wait_for_close(connection).await;
            }
        }
        true
    }

    /// Sends events; a stream with a rest does not end.
    async fn events(
        &self,
        connection: &mut HttpConnection,
        request: &HttpMessage,
        last: u64,
        rest: &str,
    ) {
        let id = request.header("attempt-id").unwrap_or("");
        let head = self.head(200, id);
        let kind = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
        connection.send(format!("{head}{kind}").as_bytes()).await;
        let from = request.header("last-event-id").and_then(|id| id.parse::<u64>().ok());
        for event in from.unwrap_or(0) + 1..=last {
            connection
                .send(chunk(&format!("id: {event}\ndata: event {event}\n\n")).as_bytes())
                .await;
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        if rest.is_empty() {
            connection.send(b"0\r\n\r\n").await;
        } else {
            connection.send(chunk(rest).as_bytes()).await;
        }
    }

    async fn wait_for_close(&self, connection: &mut HttpConnection) -> bool {
        let mut byte = [0];
        let read = connection.stream.read(&mut byte).await;
        if !read.is_ok_and(|length| length > 0) {
            self.state.lock().expect("the state").closed_early += 1;
        }
        false
    }

    fn head(&self, status: u16, id: &str) -> String {
        let signature = format!("Runner-Signature: sig.{}\r\n", self.id);
        format!("HTTP/1.1 {status} X\r\nAttempt-Id: {id}\r\n{signature}Runner-Load: 1,0,8\r\n")
    }

    fn answer(&self, status: u16, id: &str, body: &str) -> String {
        format!("{}Content-Length: {}\r\n\r\n{body}", self.head(status, id), body.len())
    }
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}
