//! Settings of the links between routers.

use std::net::SocketAddr;

use crate::{
    FileReader, SecretValue,
    section::SettingsSection,
    settings::tls::{holds_certificate, holds_key, read_pem},
};

const CONTROL_BYTES: u64 = 3_000;
const CONTROL_BYTES_MAX: u64 = 100_000_000;

/// How a router meets the other routers of its fleet.
#[derive(Debug, Clone, PartialEq)]
pub struct PeerSettings {
    /// Address that other routers connect to, over UDP.
    pub listen: SocketAddr,
    /// Peer addresses of some other routers, asked when the platform cannot be reached.
    pub seeds: Vec<SocketAddr>,
    /// What makes this host a member of its fleet.
    pub tls: PeerTlsSettings,
    /// Bytes of control traffic that this router may send each second.
    pub control_bytes_per_second: u64,
}

/// What makes a host a member of its fleet, as PEM text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerTlsSettings {
    /// Certificate of the fleet's authority.
    pub ca: Box<[u8]>,
    /// Certificate of this host.
    pub certificate: Box<[u8]>,
    /// Private key of this host.
    pub key: SecretValue<Box<[u8]>>,
}

impl PeerSettings {
    pub(crate) fn read(root: &SettingsSection<'_, '_>, files: &dyn FileReader) -> Option<Self> {
        let listen = root.required_address("peer_listen");
        let seeds = root.addresses("peer_seeds");
        let bytes = root.limit("control_bytes_per_second", CONTROL_BYTES, CONTROL_BYTES_MAX);
        let tls = PeerTlsSettings::read(root, files);
        Some(Self { listen: listen?, seeds, tls: tls?, control_bytes_per_second: bytes })
    }
}

impl PeerTlsSettings {
    fn read(root: &SettingsSection<'_, '_>, files: &dyn FileReader) -> Option<Self> {
        let section = root.required_section("peer_tls")?;
        let ca = read_pem(&section, "ca", files, holds_certificate);
        let certificate = read_pem(&section, "certificate", files, holds_certificate);
        let key = read_pem(&section, "key", files, holds_key);
        section.finish();
        Some(Self { ca: ca?, certificate: certificate?, key: SecretValue::new(key?) })
    }
}
