//! A target that answers each request with scripted bytes.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

/// Step of a scripted target's reaction to a request.
#[derive(Debug, Clone)]
pub(crate) enum TargetStep {
    /// Sends bytes; `{id}` stands for the request's id.
    Send(&'static str),
    /// Waits until the router has read what was sent.
    Pause,
    /// Closes the connection.
    Close,
    /// Sends events until the router closes the connection.
    Flood,
}

type Script = fn(request: &str, number: usize) -> Vec<TargetStep>;

const PAUSE: Duration = Duration::from_millis(50);
const FLOOD_CHUNK: [u8; 1024] = [b'x'; 1024];

/// Counters that tests check.
#[derive(Debug, Default)]
pub(crate) struct TargetCounts {
    pub(crate) requests: AtomicUsize,
    pub(crate) flood_bytes: AtomicUsize,
    pub(crate) disconnects: AtomicUsize,
}

/// Starts a target; `script` gets each request and its number, counted over all connections.
pub(crate) async fn start_target(address: SocketAddr, script: Script) -> Arc<TargetCounts> {
    let counts = Arc::new(TargetCounts::default());
    let listener = TcpListener::bind(address).await.unwrap();
    let shared = counts.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, script, shared.clone()));
        }
    });
    counts
}

/// Starts a target that answers as soon as the head of a request has arrived, and resets the connection while it is
/// sent the body.
pub(crate) async fn start_early_target(address: SocketAddr, answer: &'static str, pause: Duration) {
    let listener = TcpListener::bind(address).await.unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(answer_early(stream, answer, pause));
        }
    });
}

async fn answer_early(mut stream: TcpStream, answer: &str, pause: Duration) {
    let mut head = [0; 1_024];
    let Ok(length) = stream.peek(&mut head).await else { return };
    let head = String::from_utf8_lossy(&head[..length]).into_owned();
    let answer = answer.replace("{id}", header(&head, "x-request-id").unwrap_or_default());
    // The router may have left.
    let _ = stream.write_all(answer.as_bytes()).await;
    tokio::time::sleep(pause).await;
    stream.set_zero_linger().unwrap();
}

async fn serve(mut stream: TcpStream, script: Script, counts: Arc<TargetCounts>) {
    while let Some(request) = read_request(&mut stream).await {
        let number = counts.requests.fetch_add(1, Ordering::SeqCst);
        let id = header(&request, "x-request-id").unwrap_or_default().to_owned();
        for step in script(&request, number) {
            match step {
                TargetStep::Send(text) => {
                    let text = text.replace("{id}", &id);
                    if stream.write_all(text.as_bytes()).await.is_err() {
                        return;
                    }
                }
                TargetStep::Pause => tokio::time::sleep(PAUSE).await,
                TargetStep::Close => return,
                TargetStep::Flood => return flood(stream, &counts).await,
            }
        }
    }
}

async fn flood(mut stream: TcpStream, counts: &TargetCounts) {
    loop {
        let chunk = ["400\r\ndata: ", std::str::from_utf8(&FLOOD_CHUNK[8..]).unwrap(), "\n\n\r\n"];
        let chunk = chunk.concat();
        if stream.write_all(chunk.as_bytes()).await.is_err() {
            counts.disconnects.fetch_add(1, Ordering::SeqCst);
            return;
        }
        counts.flood_bytes.fetch_add(chunk.len(), Ordering::SeqCst);
    }
}

async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Some(end) = text.find("\r\n\r\n") {
            let length = header(&text, "content-length").map_or(0, |text| text.parse().unwrap());
            if bytes.len() >= end + 4 + length {
                return Some(text);
            }
        }
        let mut chunk = [0; 4096];
        let count = stream.read(&mut chunk).await.ok().filter(|count| *count > 0)?;
        bytes.extend_from_slice(&chunk[..count]);
    }
}

pub(crate) fn header<'a>(request: &'a str, name: &str) -> Option<&'a str> {
    let mut lines = request.lines().take_while(|line| !line.is_empty());
    lines.find_map(|line| {
        let (found, value) = line.split_once(": ")?;
        found.eq_ignore_ascii_case(name).then_some(value)
    })
}
