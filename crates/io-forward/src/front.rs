//! The HTTP server for callers.

use std::{cell::Cell, convert::Infallible, net::SocketAddr, rc::Rc, time::Duration};

use http::{HeaderValue, Request, Response, Version, header};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

use crate::{
    ForwardState, ResponseBody, call::serve_call, caller_stream::CallerStream,
    connect::configure_caller,
};

const LISTEN_BACKLOG: u32 = 1024;

/// Idle timeout of callers' connections while no configuration is loaded.
const CALLER_IDLE_TIMEOUT_DEFAULT: Duration = Duration::from_secs(15);

/// Limit on a request head's bytes while no configuration is loaded, and the lower bound of any
/// configured limit: hyper accepts no smaller buffer.
const HEAD_BYTES_MIN: usize = 8_192;

/// Backoff after a failed `accept`, such as when file descriptors are exhausted.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Listener for callers' connections, with a count of those that are open.
#[derive(Debug)]
pub struct CallerListener {
    listener: TcpListener,
    connection_count: Rc<Cell<usize>>,
}

impl CallerListener {
    /// Binds the listening socket.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub fn bind(address: SocketAddr) -> std::io::Result<Self> {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        Ok(Self { listener: socket.listen(LISTEN_BACKLOG)?, connection_count: Rc::default() })
    }

    /// The address that the socket is bound to, with the port chosen by the system if it was 0.
    ///
    /// # Errors
    ///
    /// Fails when the system does not return the address.
    pub fn address(&self) -> std::io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Shared counter of open connections, updated as they open and close.
    pub fn connection_count(&self) -> Rc<Cell<usize>> {
        self.connection_count.clone()
    }
}

/// Accepts and serves callers' connections until the process ends.
pub async fn serve_callers(state: ForwardState, callers: CallerListener) {
    loop {
        match callers.listener.accept().await {
            Ok((stream, _)) => {
                let state = state.clone();
                let guard = ConnectionGuard::new(callers.connection_count.clone());
                tokio::task::spawn_local(async move {
                    serve_connection(state, stream).await;
                    drop(guard);
                });
            }
            Err(error) => {
                log::warn!(
                    error = error.to_string().as_str();
                    "accepting a caller connection failed"
                );
                tokio::time::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

/// Counts a connection as open until dropped.
struct ConnectionGuard(Rc<Cell<usize>>);

impl ConnectionGuard {
    fn new(connection_count: Rc<Cell<usize>>) -> Self {
        connection_count.set(connection_count.get() + 1);
        Self(connection_count)
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

async fn serve_connection(state: ForwardState, stream: TcpStream) {
    let is_limited = state.is_memory_limited();
    if let Err(error) = configure_caller(&stream) {
        log::debug!(error = error.to_string().as_str(); "configuring a caller socket failed");
    }
    let limits = state.with_core(|core, _| core.limits());
    let idle_timeout = limits.map_or(CALLER_IDLE_TIMEOUT_DEFAULT, |limits| limits.idle_timeout);
    let head_bytes = limits.map_or(HEAD_BYTES_MIN, |limits| limits.head_bytes_max);
    let mut shutting_down = state.shutting_down();
    let last_request_version: Rc<Cell<Option<Version>>> = Rc::default();
    let request_version = last_request_version.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        request_version.set(Some(request.version()));
        let state = state.clone();
        // Boxed, because hyper reserves space for the entire future on each idle connection.
        Box::pin(async move { Ok::<_, Infallible>(serve_request(state, request).await) })
    });
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle_timeout)
        .max_buf_size(head_bytes.max(HEAD_BYTES_MIN))
        .serve_connection(TokioIo::new(CallerStream::new(stream, is_limited)), service);
    let result = tokio::select! {
        result = &mut connection => result,
        _ = shutting_down.wait_for(|shutting_down| *shutting_down) => {
            // A graceful shutdown would close a connection that has not carried a request yet. Such
            // a connection is closed by the response to its first request instead.
            if last_request_version.get().is_some() {
                std::pin::Pin::new(&mut connection).graceful_shutdown();
            }
            (&mut connection).await
        }
    };
    if let Err(error) = result {
        log::debug!(error = &*crate::upstream::error_chain(&error); "caller connection failed");
        // An HTTP/1.0 caller takes the close of its connection as the end of the response.
        if error.is_user() && last_request_version.get() < Some(Version::HTTP_11) {
            close_by_reset(connection.into_parts().io.into_inner().into_inner());
        }
    }
}

/// Closes a connection by a reset, which is not the end of a response.
fn close_by_reset(stream: TcpStream) {
    if let Err(error) = stream.set_zero_linger() {
        log::debug!(error = error.to_string().as_str(); "configuring a caller socket failed");
    }
}

/// Serves a request, and closes the connection after a chunked request or during the shutdown.
///
/// Hyper hides a `Content-Length` that accompanies `Transfer-Encoding: chunked`. Bytes after such a
/// request may have been smuggled past another HTTP parser, so they are not read (RFC 9112, 6.1).
async fn serve_request(state: ForwardState, request: Request<Incoming>) -> Response<ResponseBody> {
    let chunked = request.headers().contains_key(header::TRANSFER_ENCODING);
    let mut response = serve_call(state.clone(), request).await;
    if chunked || *state.shutting_down().borrow() {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}
