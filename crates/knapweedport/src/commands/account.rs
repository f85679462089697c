//! `knapweedport explain --logs`.

use std::path::PathBuf;

use error_stack::Report;
use io_telemetry::CallHistory;

use crate::{commands::CommandResult, exit::CommandError, files::read_text};

/// Prints the history of one call, reconstructed from saved gateway logs.
pub(super) fn run(logs: &[PathBuf], call: &str) -> CommandResult {
    let log_texts: Vec<String> =
        logs.iter().map(|path| read_text(path)).collect::<Result<_, _>>()?;
    let history = CallHistory::from_logs(log_texts.iter().map(String::as_str), call);
    for sentence in &history.sentences {
        println!("{sentence}");
    }
    if history.unparsed_lines > 0 {
        println!("Skipped {} lines that are not log lines.", history.unparsed_lines);
    }
    if history.sentences.is_empty() {
        let report = Report::new(CommandError::NotFound);
        return Err(report.attach(format!("the logs contain no line for call `{call}`")));
    }
    Ok(())
}
