//! Time limits of a graceful shutdown.

use std::time::Duration;

use crate::section::SettingsSection;

const DEFAULT_LINGER_MS: u64 = 12_000;
const DEFAULT_DRAIN_MS: u64 = 600_000;
const DURATION_MS_MAX: u64 = 86_400_000;

/// Time limits of a graceful shutdown, counted from the stop signal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShutdownSettings {
    /// Minimum time for which a draining router keeps running and accepting callers, because cached
    /// entry answers may still name it.
    pub linger: Duration,
    /// Time after which requests that are still in flight are aborted.
    pub drain: Duration,
}

impl ShutdownSettings {
    pub(crate) fn read(root: &SettingsSection<'_, '_>) -> Self {
        let Some(section) = root.section("stop") else { return Self::default() };
        let duration = |name, default| {
            Duration::from_millis(section.positive_integer(name, default, DURATION_MS_MAX))
        };
        let settings = Self {
            linger: duration("linger_ms", DEFAULT_LINGER_MS),
            drain: duration("drain_ms", DEFAULT_DRAIN_MS),
        };
        section.finish();
        settings
    }
}

impl Default for ShutdownSettings {
    fn default() -> Self {
        Self {
            linger: Duration::from_millis(DEFAULT_LINGER_MS),
            drain: Duration::from_millis(DEFAULT_DRAIN_MS),
        }
    }
}
