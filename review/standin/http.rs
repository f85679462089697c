//! HTTP/1.1 messages on plain sockets, for clients and servers of the cases.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// Head of a request or a response.
#[derive(Debug, Clone, Default)]
pub struct Head {
    pub start: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// A connection and the bytes read beyond the last message.
pub struct Conn {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Self {
        // Without this, small writes may wait for acknowledgements.
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        TcpStream::connect_timeout(&address, Duration::from_secs(1)).map(Self::new)
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Reads at most until `deadline`.
    fn fill(&mut self, deadline: Instant) -> io::Result<()> {
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        self.stream.set_read_timeout(Some(left))?;
        let mut bytes = [0; 16_384];
        let count = self.stream.read(&mut bytes)?;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.buffer.extend_from_slice(&bytes[..count]);
        Ok(())
    }

    pub fn read_head(&mut self, deadline: Instant) -> io::Result<Head> {
        let end = loop {
            if let Some(end) = find(&self.buffer, b"\r\n\r\n") {
                break end;
            }
            self.fill(deadline)?;
        };
        let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = text.split("\r\n");
        let start = lines.next().unwrap_or("").to_owned();
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers = headers.map(|(key, value)| (key.to_owned(), value.trim().to_owned()));
        Ok(Head { start, headers: headers.collect() })
    }

    pub fn read_exact(&mut self, length: usize, deadline: Instant) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            self.fill(deadline)?;
        }
        Ok(self.buffer.drain(..length).collect())
    }

    /// Reads one chunk of a chunked body; an empty one is the last.
    pub fn read_chunk(&mut self, deadline: Instant) -> io::Result<Vec<u8>> {
        let end = loop {
            if let Some(end) = find(&self.buffer, b"\r\n") {
                break end;
            }
            self.fill(deadline)?;
        };
        let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 2);
        let length = usize::from_str_radix(text.trim(), 16);
        let length = length.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        let chunk = self.read_exact(length, deadline)?;
        self.read_exact(2, deadline)?;
        Ok(chunk)
    }

    /// Reads the body of a message whose head has arrived, and passes it on piece by piece.
    /// Returns whether it is complete by its framing.
    pub fn read_body(
        &mut self,
        head: &Head,
        is_answer: bool,
        deadline: Instant,
        mut on_bytes: impl FnMut(&[u8]),
    ) -> bool {
        if head.header("transfer-encoding").is_some() {
            loop {
                match self.read_chunk(deadline) {
                    Ok(chunk) if chunk.is_empty() => return true,
                    Ok(chunk) => on_bytes(&chunk),
                    Err(_) => return false,
                }
            }
        }
        match head.header("content-length").and_then(|length| length.parse().ok()) {
            Some(length) => match self.read_exact(length, deadline) {
                Ok(body) => {
                    on_bytes(&body);
                    true
                }
                Err(_) => false,
            },
            None if !is_answer => true,
            None => loop {
                if !self.buffer.is_empty() {
                    on_bytes(&std::mem::take(&mut self.buffer));
                }
                match self.fill(deadline) {
                    Ok(()) => {}
                    Err(error) => break error.kind() == io::ErrorKind::UnexpectedEof,
                }
            },
        }
    }

    /// Reads a request with its body; `None` when the peer is gone.
    pub fn read_request(&mut self, idle: Duration) -> Option<(Head, Vec<u8>)> {
        let head = self.read_head(Instant::now() + idle).ok()?;
        let mut body = Vec::new();
        let deadline = Instant::now() + Duration::from_secs(20);
        self.read_body(&head, false, deadline, |bytes| body.extend_from_slice(bytes))
            .then_some((head, body))
    }
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|window| window == pattern)
}

/// Sends a GET request on a new connection; returns the status and the body of a complete answer.
pub fn get(address: SocketAddr, target: &str, timeout: Duration) -> Option<(u16, String)> {
    let deadline = Instant::now() + timeout;
    let mut connection = Conn::connect(address).ok()?;
    let request = format!("GET {target} HTTP/1.1\r\nHost: standin\r\nConnection: close\r\n\r\n");
    connection.send(request.as_bytes()).ok()?;
    let head = connection.read_head(deadline).ok()?;
    let mut body = Vec::new();
    let whole = connection.read_body(&head, true, deadline, |bytes| body.extend_from_slice(bytes));
    whole.then(|| (head.status(), String::from_utf8_lossy(&body).into_owned()))
}
