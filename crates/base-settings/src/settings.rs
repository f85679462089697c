//! The settings and their checks.

use std::{fmt, net::SocketAddr};

use base_types::{DomainName, HostName};
use error_stack::{Report, ResultExt};
use serde::Deserialize;

use crate::{OperatorSettings, operators::check_operators};

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
    /// Operators who may use the administration API.
    #[serde(default, rename = "operator")]
    pub operators: Vec<OperatorSettings>,
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
        check_operators(&settings.operators)?;
        Ok(settings)
    }
}
