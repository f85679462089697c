//! Settings of a router process, and checks that span several keys.

mod files;
mod gateway;
mod limits;
mod logs;
mod orders;
mod peers;
mod stop;
mod tls;

use std::net::SocketAddr;

use base_types::{FailureDomainName, HostName};
use error_stack::Report;
use toml::de::DeTable;

pub use self::{
    files::FileReader,
    gateway::{CapacitySettings, FleetKeySettings, FleetSettings, GatewaySettings},
    limits::LimitSettings,
    logs::{LogFormat, LogSettings},
    orders::OrderSettings,
    peers::{PeerSettings, PeerTlsSettings},
    stop::ShutdownSettings,
    tls::TlsSettings,
};
use crate::{
    OperatorSettings, SettingsError,
    operators::read_operators,
    section::{FaultList, SettingsSection},
};

/// Keys of the addresses that the process binds over TCP.
const LISTEN_KEYS: [&str; 2] = ["caller_listen", "operator_listen"];

/// Settings of one router process, with every value checked, alone and against the others.
#[derive(Debug, Clone, PartialEq)]
pub struct RouterSettings {
    /// Name of this host, unique in the fleet.
    pub host: HostName,
    /// Failure domain that this host is in.
    pub failure_domain: FailureDomainName,
    /// Address at which the router accepts callers.
    pub caller_listen: SocketAddr,
    /// Address at which the router serves the administration API.
    pub operator_listen: SocketAddr,
    /// Address of the platform's API.
    pub platform: SocketAddr,
    /// Links to the other routers of the fleet.
    pub peers: PeerSettings,
    /// TLS of the callers' port; absent for plain HTTP.
    pub caller_tls: Option<TlsSettings>,
    /// TLS of the operators' port; absent for plain HTTP.
    pub operator_tls: Option<TlsSettings>,
    /// Limits on requests and connections, for the callers' and the operators' port each.
    pub limits: LimitSettings,
    /// Level and format of the log.
    pub log: LogSettings,
    /// Loading of models by engines.
    pub orders: OrderSettings,
    /// Time limits of a graceful shutdown.
    pub stop: ShutdownSettings,
    /// Operators who may use the administration API; may be empty.
    pub operators: Vec<OperatorSettings>,
}

impl RouterSettings {
    /// Parses and checks the TOML text of a settings file.
    ///
    /// `files` reads the certificate and key files that the settings name.
    ///
    /// # Errors
    ///
    /// Fails with all faults of the text and of the files that it names.
    pub fn parse(text: &str, files: &dyn FileReader) -> Result<Self, Report<SettingsError>> {
        parse_settings(text, &LISTEN_KEYS, |root| Self::read(root, files))
    }

    /// Reads all keys before it checks any result, so that all faults are reported.
    fn read(root: &SettingsSection<'_, '_>, files: &dyn FileReader) -> Option<Self> {
        let host = root.required_name("host");
        let failure_domain = root.required_name("failure_domain");
        let caller_listen = root.required_address("caller_listen");
        let operator_listen = root.required_address("operator_listen");
        let platform = root.required_address("platform");
        let peers = PeerSettings::read(root, files);
        let caller_tls = TlsSettings::read(root, "caller_tls", files);
        let operator_tls = TlsSettings::read(root, "operator_tls", files);
        let limits = LimitSettings::read(root);
        let log = LogSettings::read(root);
        let orders = OrderSettings::read(root);
        let stop = ShutdownSettings::read(root);
        let operators = read_operators(root);
        Some(Self {
            host: HostName::new(host?),
            failure_domain: FailureDomainName::new(failure_domain?),
            caller_listen: caller_listen?,
            operator_listen: operator_listen?,
            platform: platform?,
            peers: peers?,
            caller_tls,
            operator_tls,
            limits,
            log,
            orders,
            stop,
            operators,
        })
    }
}

/// Parses TOML text, reads its keys and checks the addresses under `listen_keys` for conflicts.
fn parse_settings<Settings>(
    text: &str,
    listen_keys: &[&'static str],
    read: impl FnOnce(&SettingsSection<'_, '_>) -> Option<Settings>,
) -> Result<Settings, Report<SettingsError>> {
    let (root, syntax) = DeTable::parse_recoverable(text);
    let faults = FaultList::new(text);
    faults.push_syntax(&syntax);
    let section = SettingsSection::root(root.get_ref(), &faults);
    let settings = read(&section);
    check_listen_addresses(&section, listen_keys);
    section.finish();
    let faults = faults.into_faults();
    match settings {
        Some(settings) if faults.is_empty() => Ok(settings),
        _ => Err(Report::new(SettingsError::new(faults))),
    }
}

/// Records a fault for every listen address that conflicts with an earlier one.
fn check_listen_addresses(root: &SettingsSection<'_, '_>, keys: &[&'static str]) {
    let addresses: Vec<(&str, SocketAddr)> =
        keys.iter().filter_map(|key| Some((*key, root.peek_string(key)?.parse().ok()?))).collect();
    for (index, (key, address)) in addresses.iter().enumerate() {
        let conflict =
            addresses[..index].iter().find(|(_, earlier)| addresses_overlap(*earlier, *address));
        let Some((earlier, _)) = conflict else { continue };
        root.report_fault(
            key,
            format!("binds the same address as `{earlier}`"),
            "use a different port for each",
        );
    }
}

/// Whether both addresses cannot be bound at once; an unspecified IP address overlaps every other.
fn addresses_overlap(left: SocketAddr, right: SocketAddr) -> bool {
    let any_unspecified = left.ip().is_unspecified() || right.ip().is_unspecified();
    left.port() == right.port() && (any_unspecified || left.ip() == right.ip())
}
