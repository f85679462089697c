//! Limits on what one caller may use of a router.

use std::time::Duration;

use crate::section::SettingsSection;

const BODY_BYTES: u64 = 4 * 1024 * 1024;
const BODY_BYTES_MAX: u64 = 256 * 1024 * 1024;
const HEADER_BYTES: u64 = 32 * 1024;
const HEADER_BYTES_MAX: u64 = 1024 * 1024;
const HEADER_WAIT_MS: u64 = 10_000;
const BODY_WAIT_MS: u64 = 30_000;
const WRITE_WAIT_MS: u64 = 60_000;
const WAIT_MS_MAX: u64 = 600_000;
const CONNECTIONS: u64 = 4096;
const CONNECTIONS_MAX: u64 = 1_000_000;

/// Limits on what one caller may use of a router.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LimitSettings {
    /// Bytes that the body of a request may have.
    pub body_bytes: usize,
    /// Bytes that the head of a request may have.
    pub header_bytes: usize,
    /// Time within which the head of a request must have come.
    pub header_wait: Duration,
    /// Time within which the body of a request must have come.
    pub body_wait: Duration,
    /// Time for which a caller may take no byte of its answer.
    pub write_wait: Duration,
    /// Connections of callers that are open at once.
    pub connections: usize,
}

impl LimitSettings {
    pub(crate) fn read(root: &SettingsSection<'_, '_>) -> Self {
        let Some(section) = root.section("limits") else { return Self::default() };
        let size = |name, default, max| {
            usize::try_from(section.limit(name, default, max)).unwrap_or(usize::MAX)
        };
        let wait = |name, default| Duration::from_millis(section.limit(name, default, WAIT_MS_MAX));
        let limits = Self {
            body_bytes: size("body_bytes", BODY_BYTES, BODY_BYTES_MAX),
            header_bytes: size("header_bytes", HEADER_BYTES, HEADER_BYTES_MAX),
            header_wait: wait("header_wait_ms", HEADER_WAIT_MS),
            body_wait: wait("body_wait_ms", BODY_WAIT_MS),
            write_wait: wait("write_wait_ms", WRITE_WAIT_MS),
            connections: size("connections", CONNECTIONS, CONNECTIONS_MAX),
        };
        section.finish();
        limits
    }
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            body_bytes: BODY_BYTES as usize,
            header_bytes: HEADER_BYTES as usize,
            header_wait: Duration::from_millis(HEADER_WAIT_MS),
            body_wait: Duration::from_millis(BODY_WAIT_MS),
            write_wait: Duration::from_millis(WRITE_WAIT_MS),
            connections: CONNECTIONS as usize,
        }
    }
}
