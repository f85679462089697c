//! Set-up of the logger, and the text and JSON formats of log lines.

use std::io::Write;

use base_settings::{LogFormat, LogSettings};
use env_logger::{Builder, Target};
use log::{
    Record,
    kv::{Error, Key, Value, VisitSource},
};
use serde_json::Map;
use time::{OffsetDateTime, format_description::well_known::Rfc3339};

use crate::LineSink;

/// Destination of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogOutput {
    /// Standard error; a slow reader blocks the process.
    StandardError,
    /// Standard output without blocking; lines are dropped when the reader is slow or their rate is
    /// above a limit.
    BoundedStandardOutput,
}

/// Installs the process-wide logger; an already installed logger stays in use, and a warning is
/// logged through it.
pub fn init_logging(settings: &LogSettings, output: LogOutput) {
    let format = settings.format;
    let target = match output {
        LogOutput::StandardError => Target::Stderr,
        LogOutput::BoundedStandardOutput => {
            Target::Pipe(Box::new(LineSink::new(std::io::stdout())))
        }
    };
    let installed = Builder::new()
        .filter_level(settings.level)
        .target(target)
        .format(move |out, record| {
            let now = OffsetDateTime::now_utc().format(&Rfc3339).unwrap_or_default();
            writeln!(out, "{}", format_record(format, &now, record))
        })
        .try_init();
    if installed.is_err() {
        log::warn!("a logger is already installed; the new log settings are ignored");
    }
}

/// Formats a record as a single line without the line break; control characters in its message
/// and fields are escaped.
pub fn format_record(format: LogFormat, time: &str, record: &Record<'_>) -> String {
    let mut fields = FieldMap(Map::new());
    // `FieldMap::visit_pair` never returns an error.
    let _ = record.key_values().visit(&mut fields);
    match format {
        LogFormat::Json => json_line(time, record, fields.0),
        LogFormat::Text => text_line(time, record, &fields.0),
    }
}

struct FieldMap(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for FieldMap {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let number = value.to_u64().map(serde_json::Value::from);
        let scalar = number.or_else(|| value.to_bool().map(serde_json::Value::from));
        let value = scalar.unwrap_or_else(|| value.to_string().into());
        self.0.insert(key.as_str().to_owned(), value);
        Ok(())
    }
}

fn json_line(
    time: &str,
    record: &Record<'_>,
    mut fields: Map<String, serde_json::Value>,
) -> String {
    fields.insert("time".to_owned(), time.into());
    fields.insert("level".to_owned(), record.level().as_str().into());
    fields.insert("module".to_owned(), record.target().into());
    fields.insert("message".to_owned(), record.args().to_string().into());
    serde_json::Value::Object(fields).to_string()
}

fn text_line(time: &str, record: &Record<'_>, fields: &Map<String, serde_json::Value>) -> String {
    let message = record.args().to_string().escape_debug().to_string().replace("\\\"", "\"");
    let mut line = format!("{time} {} {} {message}", record.level(), record.target());
    for (key, value) in fields {
        line.push_str(&format!(" {key}={}", field_text(value)));
    }
    line
}

/// Values of letters, digits and `-_.:/` are written as they are; other text is quoted and escaped.
fn field_text(value: &serde_json::Value) -> String {
    let is_unquoted = |c: char| c.is_ascii_alphanumeric() || "-_.:/".contains(c);
    match value.as_str() {
        Some(text) if !text.is_empty() && text.chars().all(is_unquoted) => text.to_owned(),
        _ => value.to_string(),
    }
}
