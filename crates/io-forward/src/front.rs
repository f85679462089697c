//! The port that callers connect to.

use std::{cell::Cell, convert::Infallible, net::SocketAddr, rc::Rc, time::Duration};

use http::{HeaderValue, Request, Response, header};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

use crate::{AnswerBody, ForwardState, call::serve_call};

const BACKLOG: u32 = 1024;

/// Time that a connection may stay idle before a configuration says how long.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Bytes of a request's head before a configuration says how many; the library's least.
const HEAD_BYTES_MIN: usize = 8_192;

/// Pause after the listener could not accept, as when descriptors are used up.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// The listener of callers' connections and how many are open.
#[derive(Debug)]
pub struct CallerPort {
    listener: TcpListener,
    open: Rc<Cell<usize>>,
}

impl CallerPort {
    /// Binds the port.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub fn bind(address: SocketAddr) -> std::io::Result<Self> {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        Ok(Self { listener: socket.listen(BACKLOG)?, open: Rc::default() })
    }

    /// The address that is bound.
    ///
    /// # Errors
    ///
    /// Fails when the system does not tell it.
    pub fn address(&self) -> std::io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Counter of open connections.
    pub fn open_connections(&self) -> Rc<Cell<usize>> {
        self.open.clone()
    }
}

/// Serves callers until the process ends.
pub async fn serve_callers(state: ForwardState, port: CallerPort) {
    loop {
        match port.listener.accept().await {
            Ok((stream, _)) => {
                let state = state.clone();
                let open = OpenConnection::count(port.open.clone());
                tokio::task::spawn_local(async move {
                    serve_connection(state, stream).await;
                    drop(open);
                });
            }
            Err(error) => {
                log::warn!(error = error.to_string().as_str(); "a caller's connection was not accepted");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

struct OpenConnection(Rc<Cell<usize>>);

impl OpenConnection {
    fn count(open: Rc<Cell<usize>>) -> Self {
        open.set(open.get() + 1);
        Self(open)
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

async fn serve_connection(state: ForwardState, stream: TcpStream) {
    if let Err(error) = crate::connect::set_up(&stream) {
        log::debug!(error = error.to_string().as_str(); "a caller's socket was not set up");
    }
    let limits = state.with_core(|core, _| core.limits());
    let idle = limits.map_or(IDLE_TIMEOUT, |limits| limits.idle_timeout);
    let head_bytes = limits.map_or(HEAD_BYTES_MIN, |limits| limits.head_bytes_max);
    let mut leaving = state.leaving();
    let served = Rc::new(Cell::new(false));
    let begun = served.clone();
    let service = service_fn(move |request| {
        begun.set(true);
        let state = state.clone();
        // Boxed, as the library keeps room for the whole future on each idle connection.
        Box::pin(async move { Ok::<_, Infallible>(serve_request(state, request).await) })
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(head_bytes.max(HEAD_BYTES_MIN))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        _ = leaving.wait_for(|leaving| *leaving) => {
            // The library would close a connection on which nothing has come yet; the answer to
            // its first call ends it instead.
            if served.get() {
                connection.as_mut().graceful_shutdown();
            }
            connection.await
        }
    };
    if let Err(error) = ended {
        log::debug!(error = &*crate::upstream::describe(&error); "a caller's connection ended");
    }
}

/// Serves a request; its connection ends after a chunked one, and when the router is leaving.
///
/// A length beside the chunked coding is not shown by the library. What follows such a request on
/// its connection may have been smuggled past another reader, and is not read (RFC 9112, 6.1).
async fn serve_request(state: ForwardState, request: Request<Incoming>) -> Response<AnswerBody> {
    let chunked = request.headers().contains_key(header::TRANSFER_ENCODING);
    let mut answer = serve_call(state.clone(), request).await;
    if chunked || *state.leaving().borrow() {
        answer.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    answer
}
