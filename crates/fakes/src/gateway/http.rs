//! A small HTTP client and server on plain sockets, so that tests control every byte.

use std::time::Duration;

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{Instant, timeout, timeout_at},
};

const READ_TIMEOUT: Duration = Duration::from_secs(6);
/// Time for the peer to read what was sent before a reset.
const READ_BEFORE_RESET: Duration = Duration::from_millis(100);

/// A request or an answer as it was received.
#[derive(Debug, Clone, Default)]
pub struct HttpMessage {
    /// Request line or status line.
    pub start: Box<str>,
    /// Names and values of the headers, in order.
    pub headers: Vec<(Box<str>, Box<str>)>,
    /// The body, as far as it was received.
    pub body: Vec<u8>,
    /// Whether the body was received to its end.
    pub whole: bool,
}

impl HttpMessage {
    /// First value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| &**value)
    }

    /// Status of an answer; zero when the first line has none.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// Id of the runner that sent an answer, if the answer announces that it leaves.
    pub fn leaving_runner(&self) -> Option<&str> {
        self.header("server-leaving")?;
        self.header("runner-signature")?.strip_prefix("sig.")
    }

    /// The body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Path and query of a request.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    /// Method of a request.
    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }
}

/// An HTTP connection and the bytes read beyond the last message.
#[derive(Debug)]
pub struct HttpConnection {
    /// Socket of the connection, for reads and writes past the message level.
    pub stream: TcpStream,
    buffer: Vec<u8>,
    /// Time from which nothing more is read; messages that are incomplete then end there.
    read_until: Option<Instant>,
}

impl HttpConnection {
    /// Wraps a socket that was accepted or connected.
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, buffer: Vec::new(), read_until: None }
    }

    /// Has a message that is incomplete at a time end there, as if the connection had closed.
    pub fn stop_reading_at(&mut self, at: Instant) {
        self.read_until = Some(at);
    }

    /// Connects to an address.
    ///
    /// # Panics
    ///
    /// Panics when nothing listens there.
    pub async fn connect(address: std::net::SocketAddr) -> Self {
        Self::new(TcpStream::connect(address).await.expect("cannot connect"))
    }

    /// Sends a GET request on a new connection; returns an empty message when there is no answer.
    pub async fn get(address: std::net::SocketAddr, path: &str) -> HttpMessage {
        let Ok(stream) = TcpStream::connect(address).await else { return HttpMessage::default() };
        Self::new(stream).request(&format!("GET {path} HTTP/1.1\r\nHost: h\r\n\r\n")).await
    }

    /// Writes bytes as they are.
    pub async fn send(&mut self, bytes: &[u8]) {
        // The peer may have closed the connection; callers check the answer or its absence.
        let _ = self.stream.write_all(bytes).await;
    }

    /// Closes the connection by a reset, once the peer has had time to read what was sent: a reset
    /// discards bytes that the peer has not read.
    ///
    /// # Panics
    ///
    /// Panics when the socket cannot be configured.
    pub async fn reset(&self) {
        tokio::time::sleep(READ_BEFORE_RESET).await;
        self.stream.set_zero_linger().expect("cannot configure the socket");
    }

    /// Sends a request and reads the answer; an empty message when there is none.
    pub async fn request(&mut self, request: &str) -> HttpMessage {
        self.send(request.as_bytes()).await;
        self.read(true).await.unwrap_or_default()
    }

    /// Reads a message; none when the connection closes before the end of the head, or when the
    /// entire message does not arrive within `READ_TIMEOUT`.
    pub async fn read(&mut self, is_answer: bool) -> Option<HttpMessage> {
        timeout(READ_TIMEOUT, self.read_message(is_answer)).await.ok().flatten()
    }

    async fn read_message(&mut self, is_answer: bool) -> Option<HttpMessage> {
        let head_end = loop {
            if let Some(at) = find(&self.buffer, b"\r\n\r\n") {
                break at;
            }
            self.read_more().await?;
        };
        let head = String::from_utf8_lossy(&self.buffer[..head_end]).into_owned();
        self.buffer.drain(..head_end + 4);
        let mut lines = head.split("\r\n");
        let start = lines.next().unwrap_or("").into();
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers = headers.map(|(key, value)| (key.into(), value.trim().into()));
        let mut message =
            HttpMessage { start, headers: headers.collect(), body: Vec::new(), whole: false };
        let length = message.header("content-length").and_then(|length| length.parse().ok());
        let chunked = message.header("transfer-encoding").is_some();
        if chunked {
            message.whole = self.read_chunks(&mut message.body).await.is_some();
        } else if let Some(length) = length {
            message.whole = self.read_exact(length, &mut message.body).await.is_some();
        } else if is_answer {
            message.whole = self.read_until_close(&mut message.body).await;
        } else {
            message.whole = true;
        }
        Some(message)
    }

    async fn read_exact(&mut self, length: usize, body: &mut Vec<u8>) -> Option<()> {
        while self.buffer.len() < length {
            if self.read_more().await.is_none() {
                body.append(&mut self.buffer);
                return None;
            }
        }
        body.extend(self.buffer.drain(..length));
        Some(())
    }

    /// Reads until the peer closes the connection; returns false if the connection failed instead.
    async fn read_until_close(&mut self, body: &mut Vec<u8>) -> bool {
        body.append(&mut self.buffer);
        self.stream.read_to_end(body).await.is_ok()
    }

    async fn read_chunks(&mut self, body: &mut Vec<u8>) -> Option<()> {
        loop {
            let line_end = loop {
                if let Some(at) = find(&self.buffer, b"\r\n") {
                    break at;
                }
                self.read_more().await?;
            };
            let size = String::from_utf8_lossy(&self.buffer[..line_end]).into_owned();
            self.buffer.drain(..line_end + 2);
            let size = usize::from_str_radix(size.trim(), 16).ok()?;
            self.read_exact(size, body).await?;
            self.read_exact(2, &mut Vec::new()).await?;
            if size == 0 {
                return Some(());
            }
        }
    }

    async fn read_more(&mut self) -> Option<()> {
        let mut bytes = [0; 4096];
        let reading = self.stream.read(&mut bytes);
        let read = match self.read_until {
            Some(at) => timeout_at(at, reading).await.ok()?,
            None => reading.await,
        };
        let length = read.ok().filter(|length| *length > 0)?;
        self.buffer.extend_from_slice(&bytes[..length]);
        Some(())
    }
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|window| window == pattern)
}
