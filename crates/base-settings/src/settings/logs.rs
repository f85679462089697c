//! Level and format of the log.

use crate::section::SettingsSection;

/// Format of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum LogFormat {
    /// One line of text per record, with `key=value` fields after the message.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// Level and format of the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogSettings {
    /// Least severe level that is logged; `info` by default.
    pub level: log::LevelFilter,
    /// Format of log lines; text by default.
    pub format: LogFormat,
}

const FORMATS: [(&str, LogFormat); 2] = [("text", LogFormat::Text), ("json", LogFormat::Json)];

const LEVELS: [(&str, log::LevelFilter); 5] = [
    ("error", log::LevelFilter::Error),
    ("warn", log::LevelFilter::Warn),
    ("info", log::LevelFilter::Info),
    ("debug", log::LevelFilter::Debug),
    ("trace", log::LevelFilter::Trace),
];

impl LogSettings {
    pub(crate) fn read(root: &SettingsSection<'_, '_>) -> Self {
        let default = Self::default();
        let Some(section) = root.section("log") else { return default };
        let level = section.choice("level", default.level, &LEVELS);
        let format = section.choice("format", default.format, &FORMATS);
        section.finish();
        Self { level, format }
    }
}

impl Default for LogSettings {
    fn default() -> Self {
        Self { level: log::LevelFilter::Info, format: LogFormat::Text }
    }
}
