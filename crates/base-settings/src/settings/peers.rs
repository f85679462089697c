//! Settings of the links between routers.

use std::net::SocketAddr;

use crate::{
    FileReader, SecretValue,
    section::SettingsSection,
    settings::tls::{contains_certificate, contains_private_key, read_pem},
};

const DEFAULT_CONTROL_BYTES: u64 = 3_000;
const CONTROL_BYTES_MAX: u64 = 100_000_000;

/// How a router connects to the other routers of its fleet.
#[derive(Debug, Clone, PartialEq)]
pub struct PeerSettings {
    /// UDP address at which the router accepts links from other routers.
    pub listen: SocketAddr,
    /// Peer addresses of other routers, used when the platform cannot be reached; may be empty.
    pub seeds: Vec<SocketAddr>,
    /// Certificates and key for links to the other routers.
    pub tls: PeerTlsSettings,
    /// Largest rate of control traffic that this router sends, in bytes per second.
    pub control_bytes_per_second: u64,
}

/// Certificates and key that prove membership in a fleet, as PEM text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerTlsSettings {
    /// Certificate of the authority that issues the certificates of all hosts of the fleet.
    pub ca: Box<[u8]>,
    /// Certificate of this host, issued by the authority.
    pub certificate: Box<[u8]>,
    /// Private key that belongs to the host's certificate.
    pub key: SecretValue<Box<[u8]>>,
}

impl PeerSettings {
    pub(crate) fn read(root: &SettingsSection<'_, '_>, files: &dyn FileReader) -> Option<Self> {
        let listen = root.required_address("peer_listen");
        let seeds = root.addresses("peer_seeds");
        let control_bytes = root.positive_integer(
            "control_bytes_per_second",
            DEFAULT_CONTROL_BYTES,
            CONTROL_BYTES_MAX,
        );
        let tls = PeerTlsSettings::read(root, files);
        Some(Self { listen: listen?, seeds, tls: tls?, control_bytes_per_second: control_bytes })
    }
}

impl PeerTlsSettings {
    fn read(root: &SettingsSection<'_, '_>, files: &dyn FileReader) -> Option<Self> {
        let section = root.required_section("peer_tls")?;
        let ca = read_pem(&section, "ca", files, contains_certificate);
        let certificate = read_pem(&section, "certificate", files, contains_certificate);
        let key = read_pem(&section, "key", files, contains_private_key);
        section.finish();
        Some(Self { ca: ca?, certificate: certificate?, key: SecretValue::new(key?) })
    }
}
