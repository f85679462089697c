//! Orders to model engines.

use std::time::Duration;

use crate::section::SettingsSection;

const LOAD_EVERY_MS: u64 = 10_000;
const LOAD_EVERY_MS_MAX: u64 = 3_600_000;

/// Orders to model engines.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderSettings {
    /// Least time between two loads of engines, by the rate of the weight store. All routers of a
    /// fleet must have the same.
    pub load_every: Duration,
}

impl OrderSettings {
    pub(crate) fn read(root: &SettingsSection<'_, '_>) -> Self {
        let Some(section) = root.section("orders") else { return Self::default() };
        let load_every = section.limit("load_every_ms", LOAD_EVERY_MS, LOAD_EVERY_MS_MAX);
        section.finish();
        Self { load_every: Duration::from_millis(load_every) }
    }
}

impl Default for OrderSettings {
    fn default() -> Self {
        Self { load_every: Duration::from_millis(LOAD_EVERY_MS) }
    }
}
