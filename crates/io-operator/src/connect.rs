//! Connections to a router's operators' port, with or without TLS.

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

/// The client's side of TLS, which trusts one authority and expects one name.
#[derive(Clone)]
pub(crate) struct ClientTls {
    config: Arc<ClientConfig>,
    name: ServerName<'static>,
}

impl ClientTls {
    pub(crate) fn new(authority_pem: &[u8], name: &str) -> Result<Self, Report<OperatorError>> {
        let name =
            ServerName::try_from(name.to_owned()).change_context(OperatorError::Malformed)?;
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
        Ok(Self { config: Arc::new(config), name })
    }
}

/// Sends a request on a connection of its own.
///
/// An error before the request was sent is [`OperatorError::Unreachable`].
pub(crate) async fn exchange(
    address: SocketAddr,
    tls: Option<&ClientTls>,
    request: Request<Full<Bytes>>,
) -> Result<Response<Incoming>, Report<OperatorError>> {
    let connect = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    let stream = connect
        .await
        .change_context(OperatorError::Unreachable)?
        .change_context(OperatorError::Unreachable)?;
    let Some(tls) = tls else { return send(stream, request).await };
    let handshake = TlsConnector::from(tls.config.clone()).connect(tls.name.clone(), stream);
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, handshake)
        .await
        .change_context(OperatorError::Unreachable)?
        .change_context(OperatorError::Unreachable)?;
    send(stream, request).await
}

async fn send(
    stream: impl AsyncRead + AsyncWrite + Unpin + Send + 'static,
    request: Request<Full<Bytes>>,
) -> Result<Response<Incoming>, Report<OperatorError>> {
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.change_context(OperatorError::Unreachable)?;
    // The connection's own error also shows at the sender.
    tokio::spawn(connection);
    sender.send_request(request).await.change_context(OperatorError::Unanswered)
}
