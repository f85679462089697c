//! The fleet configuration: routes by host and path, pools and client accounts.
//!
//! Plain data with look-ups. Versions are ordered; users must not replace a version by an older
//! one. How a configuration is encoded, stored and delivered is defined elsewhere.

mod accounts;
mod config;
mod routes;

pub use crate::{
    accounts::{AccountRule, KeyDigest},
    config::{CallerLimits, ColdRule, ConfigVersion, EngineRule, FleetConfig, PoolRule},
    routes::{RetryRule, RouteMatch, RouteRule, WeightedPool},
};
