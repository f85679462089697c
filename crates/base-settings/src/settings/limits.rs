//! Limits on requests and connections, for the callers' and the operators' port each.

use std::time::Duration;

use crate::section::SettingsSection;

const DEFAULT_BODY_BYTES: u64 = 4 * 1024 * 1024;
const BODY_BYTES_MAX: u64 = 256 * 1024 * 1024;
const DEFAULT_HEADER_BYTES: u64 = 32 * 1024;
const HEADER_BYTES_MAX: u64 = 1024 * 1024;
const DEFAULT_HEADER_TIMEOUT_MS: u64 = 10_000;
const DEFAULT_BODY_TIMEOUT_MS: u64 = 30_000;
const DEFAULT_WRITE_TIMEOUT_MS: u64 = 60_000;
const TIMEOUT_MS_MAX: u64 = 600_000;
const DEFAULT_CONNECTIONS: u64 = 4096;
const CONNECTIONS_MAX: u64 = 1_000_000;

/// Limits on requests and connections, for the callers' and the operators' port each.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LimitSettings {
    /// Largest body of a request, in bytes.
    pub body_bytes_max: usize,
    /// Largest head (request line and headers) of a request, in bytes.
    pub header_bytes_max: usize,
    /// Time limit for receiving the head of a request, and for a TLS handshake.
    pub header_timeout: Duration,
    /// Time limit for receiving the body of a caller's request; an operator's request gets twice
    /// this.
    pub body_timeout: Duration,
    /// Time for which a caller may read nothing of its answer before its connection is closed.
    pub write_timeout: Duration,
    /// Largest number of open connections per port.
    pub connections_max: usize,
}

impl LimitSettings {
    pub(crate) fn read(root: &SettingsSection<'_, '_>) -> Self {
        let Some(section) = root.section("limits") else { return Self::default() };
        let size = |name, default, max| {
            usize::try_from(section.positive_integer(name, default, max)).unwrap_or(usize::MAX)
        };
        let timeout = |name, default| {
            Duration::from_millis(section.positive_integer(name, default, TIMEOUT_MS_MAX))
        };
        let limits = Self {
            body_bytes_max: size("body_bytes", DEFAULT_BODY_BYTES, BODY_BYTES_MAX),
            header_bytes_max: size("header_bytes", DEFAULT_HEADER_BYTES, HEADER_BYTES_MAX),
            header_timeout: timeout("header_wait_ms", DEFAULT_HEADER_TIMEOUT_MS),
            body_timeout: timeout("body_wait_ms", DEFAULT_BODY_TIMEOUT_MS),
            write_timeout: timeout("write_wait_ms", DEFAULT_WRITE_TIMEOUT_MS),
            connections_max: size("connections", DEFAULT_CONNECTIONS, CONNECTIONS_MAX),
        };
        section.finish();
        limits
    }
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            body_bytes_max: DEFAULT_BODY_BYTES as usize,
            header_bytes_max: DEFAULT_HEADER_BYTES as usize,
            header_timeout: Duration::from_millis(DEFAULT_HEADER_TIMEOUT_MS),
            body_timeout: Duration::from_millis(DEFAULT_BODY_TIMEOUT_MS),
            write_timeout: Duration::from_millis(DEFAULT_WRITE_TIMEOUT_MS),
            connections_max: DEFAULT_CONNECTIONS as usize,
        }
    }
}
