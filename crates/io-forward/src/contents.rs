//! Requests the lists of cached prompt segments from engines.

use std::{io, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{HeaderValue, Request, header};
use http_body_util::{BodyExt, Full, Limited};
use tokio::time::timeout;

use crate::{
    ForwardState,
    call::RESPONSE_BYTES_MAX,
    upstream::{SendError, TargetConnection},
};

/// Timeout for one engine's list.
const SEGMENTS_TIMEOUT: Duration = Duration::from_millis(800);

/// Fetches the lists of the engines assigned to this router and shares them with its peers.
pub(crate) async fn fetch_cached_segments(state: &ForwardState) {
    let Some(path) = state.dialect().cached_segments_path() else { return };
    let engines = state.with_core(|core, now| core.engines_to_query(now));
    for engine in engines {
        let address = engine.address.to_string();
        let response = timeout(SEGMENTS_TIMEOUT, request_segments(engine.address, path)).await;
        let response = response.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()));
        match response.map(|body| state.dialect().read_cached_segments(&body)) {
            Ok(Some(segments)) => {
                log::info!(
                    engine = address.as_str(), parts = segments.len();
                    "cached segments fetched from engine"
                );
                state.with_core(|core, now| {
                    core.on_cached_segments(now, engine.engine_hash, segments)
                });
                state.heartbeat_wakeup().notify_one();
            }
            Ok(None) => {
                log::warn!(
                    engine = address.as_str();
                    "engine sent a malformed list of cached segments"
                )
            }
            Err(error) => {
                let error = error.to_string();
                log::info!(
                    engine = address.as_str(), error = error.as_str();
                    "fetching cached segments from engine failed"
                );
            }
        }
    }
}

async fn request_segments(address: SocketAddr, path: &str) -> io::Result<Bytes> {
    let mut connection = TargetConnection::connect(address).await?;
    let mut request = Request::new(Full::<Bytes>::default());
    *request.uri_mut() = path.parse().map_err(io::Error::other)?;
    let host = HeaderValue::from_str(&address.to_string()).map_err(io::Error::other)?;
    request.headers_mut().insert(header::HOST, host);
    let response = connection.send(request).await.map_err(|error| match error {
        SendError::Unsent(reason) | SendError::Lost(reason) => {
            io::Error::other(reason.into_string())
        }
    })?;
    if !response.status().is_success() {
        return Err(io::Error::other(format!("status {}", response.status().as_u16())));
    }
    let body = Limited::new(response.into_body(), RESPONSE_BYTES_MAX).collect().await;
    Ok(body.map_err(io::Error::other)?.to_bytes())
}
