//! TLS configuration of links, and the host name in a peer's certificate.

use std::sync::Arc;

use base_types::HostName;
use error_stack::{Report, ResultExt};
use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use rustls::{
    ClientConfig, RootCertStore, ServerConfig,
    pki_types::{CertificateDer, PrivateKeyDer, pem::PemObject},
    server::WebPkiClientVerifier,
};

use crate::{WireError, keys::FLEET_NAME};

/// ALPN identifier of the protocol; its number increases with each incompatible change.
pub(crate) const PROTOCOL: &[u8] = b"knapweedport/1";

/// Certificates and key that prove membership in a fleet, as PEM text.
#[derive(Clone)]
pub struct PeerCredentials {
    /// Certificate of the authority that issues the certificates of all hosts of the fleet.
    pub ca: Box<str>,
    /// Certificate of this host, issued by the authority.
    pub certificate: Box<str>,
    /// Private key that belongs to the host's certificate; must not be logged.
    pub key: Box<str>,
}

impl PeerCredentials {
    pub(crate) fn server_config(
        &self,
        protocol: &[u8],
    ) -> Result<QuicServerConfig, Report<WireError>> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let roots = Arc::new(self.roots()?);
        let verifier = WebPkiClientVerifier::builder_with_provider(roots, provider.clone())
            .build()
            .change_context(WireError::Keys)?;
        let mut config = ServerConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .change_context(WireError::Keys)?
            .with_client_cert_verifier(verifier)
            .with_single_cert(self.chain()?, self.private_key()?)
            .change_context(WireError::Keys)?;
        config.alpn_protocols = vec![protocol.to_vec()];
        QuicServerConfig::try_from(config).change_context(WireError::Keys)
    }

    pub(crate) fn client_config(
        &self,
        protocol: &[u8],
    ) -> Result<QuicClientConfig, Report<WireError>> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let mut config = ClientConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .change_context(WireError::Keys)?
            .with_root_certificates(self.roots()?)
            .with_client_auth_cert(self.chain()?, self.private_key()?)
            .change_context(WireError::Keys)?;
        config.alpn_protocols = vec![protocol.to_vec()];
        QuicClientConfig::try_from(config).change_context(WireError::Keys)
    }

    fn roots(&self) -> Result<RootCertStore, Report<WireError>> {
        let mut roots = RootCertStore::empty();
        for certificate in CertificateDer::pem_slice_iter(self.ca.as_bytes()) {
            let certificate = certificate.change_context(WireError::Keys)?;
            roots.add(certificate).change_context(WireError::Keys)?;
        }
        Ok(roots)
    }

    fn chain(&self) -> Result<Vec<CertificateDer<'static>>, Report<WireError>> {
        let chain: Result<Vec<_>, _> =
            CertificateDer::pem_slice_iter(self.certificate.as_bytes()).collect();
        chain.change_context(WireError::Keys)
    }

    fn private_key(&self) -> Result<PrivateKeyDer<'static>, Report<WireError>> {
        PrivateKeyDer::from_pem_slice(self.key.as_bytes()).change_context(WireError::Keys)
    }
}

/// Host name in the certificate of an established connection; `None` when there is none besides
/// [`FLEET_NAME`].
pub(crate) fn peer_host(connection: &quinn::Connection) -> Option<HostName> {
    let identity = connection.peer_identity()?;
    let chain = identity.downcast::<Vec<CertificateDer<'static>>>().ok()?;
    let certificate = webpki::EndEntityCert::try_from(chain.first()?).ok()?;
    let mut names = certificate.valid_dns_names();
    names.find(|name| *name != FLEET_NAME).map(HostName::new)
}
