//! Settings of a router process, parsed from TOML into types and checked before anything is bound.
//!
//! All faults of a file are reported together, each with its line, its key and a remedy. The crate
//! reads no files itself: callers pass the text of the settings and a [`FileReader`] for the
//! certificate and key files that the settings name.

mod document;
mod fault;
mod operators;
mod secret;
mod section;
mod settings;

pub use crate::{
    document::TableDocument,
    fault::{SettingsError, SettingsFault},
    operators::{OperatorRight, OperatorSettings, TokenDigest},
    secret::SecretValue,
    settings::{
        CapacitySettings, FileReader, FleetKeySettings, FleetSettings, GatewaySettings,
        LimitSettings, LogFormat, LogSettings, OrderSettings, PeerSettings, PeerTlsSettings,
        RouterSettings, ShutdownSettings, TlsSettings,
    },
};
