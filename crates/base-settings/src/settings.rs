//! The settings and their checks.

use std::{fmt, net::SocketAddr, path::PathBuf};

use base_types::{DomainName, HostName};
use error_stack::{Report, ResultExt};
use serde::Deserialize;

const DEFAULT_CONTROL_BYTES: u32 = 3_000;

/// Settings of one router process.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouterSettings {
    /// Name of the host.
    pub host: HostName,
    /// Failure domain of the host.
    pub failure_domain: DomainName,
    /// Address that callers connect to.
    pub caller_listen: SocketAddr,
    /// Address that operators connect to.
    pub operator_listen: SocketAddr,
    /// Address of the platform's API.
    pub platform: SocketAddr,
    /// Address that other routers connect to, over UDP.
    pub peer_listen: SocketAddr,
    /// Peer addresses of some other routers, asked when the platform cannot be reached.
    #[serde(default)]
    pub peer_seeds: Vec<SocketAddr>,
    /// Files that make this host a member of its fleet.
    pub peer_tls: PeerTlsSettings,
    /// Bytes of control traffic that this router may send each second.
    #[serde(default = "default_control_bytes")]
    pub control_bytes_per_second: u32,
}

/// Files that make a host a member of its fleet, in PEM.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerTlsSettings {
    /// Certificate of the fleet's authority.
    pub ca: PathBuf,
    /// Certificate of this host.
    pub certificate: PathBuf,
    /// Private key of this host.
    pub key: PathBuf,
}

/// The settings cannot be used.
#[derive(Debug)]
pub struct SettingsError;

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the settings cannot be used")
    }
}

impl std::error::Error for SettingsError {}

impl RouterSettings {
    /// Parses and checks the TOML text of a settings file.
    pub fn parse(text: &str) -> Result<Self, Report<SettingsError>> {
        let settings: Self = toml::from_str(text).change_context(SettingsError)?;
        if settings.caller_listen == settings.operator_listen {
            let report = Report::new(SettingsError);
            return Err(report.attach("`caller_listen` and `operator_listen` are the same address"));
        }
        Ok(settings)
    }
}

fn default_control_bytes() -> u32 {
    DEFAULT_CONTROL_BYTES
}
