//! Settings of the orders that make engines load models.

use std::time::Duration;

use crate::section::SettingsSection;

const DEFAULT_LOAD_INTERVAL_MS: u64 = 10_000;
const LOAD_INTERVAL_MS_MAX: u64 = 3_600_000;

/// Settings of the orders that make engines load models.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderSettings {
    /// Shortest time between the starts of two model loads in the fleet, which limits the load on
    /// the weight store. All routers of a fleet must have the same value.
    pub load_interval: Duration,
}

impl OrderSettings {
    pub(crate) fn read(root: &SettingsSection<'_, '_>) -> Self {
        let Some(section) = root.section("orders") else { return Self::default() };
        let load_interval = section.positive_integer(
            "load_every_ms",
            DEFAULT_LOAD_INTERVAL_MS,
            LOAD_INTERVAL_MS_MAX,
        );
        section.finish();
        Self { load_interval: Duration::from_millis(load_interval) }
    }
}

impl Default for OrderSettings {
    fn default() -> Self {
        Self { load_interval: Duration::from_millis(DEFAULT_LOAD_INTERVAL_MS) }
    }
}
