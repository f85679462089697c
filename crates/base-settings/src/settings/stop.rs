//! How a router that is asked to stop takes its leave.

use std::time::Duration;

use crate::section::SettingsSection;

const LINGER_MS: u64 = 12_000;
const DRAIN_MS: u64 = 600_000;
const WAIT_MS_MAX: u64 = 86_400_000;

/// How a router that is asked to stop takes its leave.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StopSettings {
    /// Time for which callers may still come with an entry answer that names this router.
    pub linger: Duration,
    /// Time after which the requests that are left are cut off.
    pub drain: Duration,
}

impl StopSettings {
    pub(crate) fn read(root: &SettingsSection<'_, '_>) -> Self {
        let Some(section) = root.section("stop") else { return Self::default() };
        let wait = |name, default| Duration::from_millis(section.limit(name, default, WAIT_MS_MAX));
        let stop = Self { linger: wait("linger_ms", LINGER_MS), drain: wait("drain_ms", DRAIN_MS) };
        section.finish();
        stop
    }
}

impl Default for StopSettings {
    fn default() -> Self {
        Self { linger: Duration::from_millis(LINGER_MS), drain: Duration::from_millis(DRAIN_MS) }
    }
}
