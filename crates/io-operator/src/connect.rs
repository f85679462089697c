//! Connections to the administration port of a router, with or without TLS.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use error_stack::{Report, ResultExt};
use http::{Request, Response};
use http_body_util::Full;
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use rustls::{ClientConfig, RootCertStore};
use rustls_pki_types::{CertificateDer, ServerName, pem::PemObject};
use tokio::{
    io::{AsyncRead, AsyncWrite},
    net::TcpStream,
};
use tokio_rustls::TlsConnector;

use crate::OperatorError;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);

/// TLS configuration of the client: the trusted authorities and the expected server name.
#[derive(Clone)]
pub(crate) struct ClientTls {
    config: Arc<ClientConfig>,
    server_name: ServerName<'static>,
}

impl ClientTls {
    pub(crate) fn new(
        authority_pem: &[u8],
        server_name: &str,
    ) -> Result<Self, Report<OperatorError>> {
        let server_name = ServerName::try_from(server_name.to_owned())
            .change_context(OperatorError::Malformed)?;
        let mut roots = RootCertStore::empty();
        for certificate in CertificateDer::pem_slice_iter(authority_pem) {
            let certificate = certificate.change_context(OperatorError::Malformed)?;
            roots.add(certificate).change_context(OperatorError::Malformed)?;
        }
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let config = ClientConfig::builder_with_provider(provider)
            .with_safe_default_protocol_versions()
            .change_context(OperatorError::Malformed)?
            .with_root_certificates(roots)
            .with_no_client_auth();
        Ok(Self { config: Arc::new(config), server_name })
    }
}

/// Sends a request on a new connection.
///
/// A failure before the request is sent is [`OperatorError::Unreachable`].
pub(crate) async fn connect_and_send(
    address: SocketAddr,
    tls: Option<&ClientTls>,
    request: Request<Full<Bytes>>,
) -> Result<Response<Incoming>, Report<OperatorError>> {
    let connect = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    let stream = connect
        .await
        .change_context(OperatorError::Unreachable)?
        .change_context(OperatorError::Unreachable)?;
    let Some(tls) = tls else { return send_on(stream, request).await };
    let handshake = TlsConnector::from(tls.config.clone()).connect(tls.server_name.clone(), stream);
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, handshake)
        .await
        .change_context(OperatorError::Unreachable)?
        .change_context(OperatorError::Unreachable)?;
    send_on(stream, request).await
}

async fn send_on(
    stream: impl AsyncRead + AsyncWrite + Unpin + Send + 'static,
    request: Request<Full<Bytes>>,
) -> Result<Response<Incoming>, Report<OperatorError>> {
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.change_context(OperatorError::Unreachable)?;
    // An error of the connection task also fails `send_request`, so the task's result is dropped.
    tokio::spawn(connection);
    sender.send_request(request).await.change_context(OperatorError::Unanswered)
}
