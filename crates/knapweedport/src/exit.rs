//! Exit codes and error output.

use std::{fmt, io::Write, process::ExitCode};

use error_stack::{AttachmentKind, FrameKind, Report};
use io_operator::OperatorError;

/// Reason for a command's failure; each has its own exit code.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CommandError {
    /// An I/O error, an unusable argument or an internal error.
    Failed,
    /// The settings or the tables have faults, or the router rejected a row as invalid.
    FaultsFound,
    /// The router is unreachable or cannot serve the command; an edit had no effect.
    Unreachable,
    /// The router rejected the token, or the token lacks the required right.
    TokenRejected,
    /// The row has another version than the one given, or exists although it was to be created.
    Conflict,
    /// The row, request, call or shell does not exist.
    NotFound,
    /// No response arrived, so an edit may or may not have taken effect.
    OutcomeUnknown,
}

/// Exit code for invalid arguments.
pub(crate) const USAGE_ERROR_CODE: u8 = 2;

impl CommandError {
    fn exit_code(self) -> u8 {
        match self {
            Self::Failed => 1,
            Self::FaultsFound => 3,
            Self::Unreachable => 4,
            Self::TokenRejected => 5,
            Self::Conflict => 6,
            Self::NotFound => 7,
            Self::OutcomeUnknown => 8,
        }
    }
}

impl fmt::Display for CommandError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Failed => "the command failed",
            Self::FaultsFound => "faults were found",
            Self::Unreachable => "the router cannot serve the command; nothing was changed",
            Self::TokenRejected => {
                "the router rejected the token; use one that has the required right"
            }
            Self::Conflict => {
                "the row exists or has another version; show it, repeat the edit and pass its current \
                 version"
            }
            Self::NotFound => "not found",
            Self::OutcomeUnknown => {
                "the router did not answer; an edit may have taken effect: show the row to check"
            }
        })
    }
}

impl std::error::Error for CommandError {}

impl From<OperatorError> for CommandError {
    fn from(error: OperatorError) -> Self {
        match error {
            OperatorError::Unreachable | OperatorError::Unavailable => Self::Unreachable,
            OperatorError::Unanswered => Self::OutcomeUnknown,
            OperatorError::Forbidden => Self::TokenRejected,
            OperatorError::NotFound => Self::NotFound,
            OperatorError::Conflict => Self::Conflict,
            OperatorError::Invalid => Self::FaultsFound,
            OperatorError::Malformed => Self::Failed,
        }
    }
}

/// Prints a failed command's error to standard error and returns the exit code.
pub(crate) fn report_result(result: Result<(), Report<CommandError>>) -> ExitCode {
    let Err(report) = result else { return ExitCode::SUCCESS };
    // A failed write to standard error cannot be reported anywhere else.
    let _ = write!(std::io::stderr(), "{}", format_report(&report));
    ExitCode::from(report.current_context().exit_code())
}

/// Formats the contexts and attachments of a report, outermost first, without source locations.
fn format_report(report: &Report<CommandError>) -> String {
    let mut lines = vec![format!("error: {}", report.current_context())];
    for frame in report.frames() {
        let text = match frame.kind() {
            FrameKind::Context(context) if context.is::<CommandError>() => continue,
            FrameKind::Context(context) => context.to_string(),
            FrameKind::Attachment(AttachmentKind::Printable(text)) => text.to_string(),
            FrameKind::Attachment(_) => continue,
        };
        lines.extend(text.lines().map(|line| format!("  {line}")));
    }
    lines.push(String::new());
    lines.join("\n")
}
