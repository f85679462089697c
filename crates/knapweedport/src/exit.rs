//! Exit codes and how errors are shown.

use std::{fmt, io::Write, process::ExitCode};

use error_stack::{AttachmentKind, FrameKind, Report};
use io_operator::OperatorError;

/// Why a command failed; each reason has its exit code.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CommandError {
    /// A file, a socket or the process itself failed.
    Failed,
    /// The settings or the tables are faulty.
    Faulty,
    /// The router could not be reached or cannot serve the command; an edit had no effect.
    Unreachable,
    /// The router refused the token.
    Refused,
    /// The row has another version.
    Conflict,
    /// There is no such thing.
    NotFound,
    /// Nobody answered whether an edit took effect.
    OutcomeUnknown,
}

/// Exit code of wrong arguments.
pub(crate) const USAGE_CODE: u8 = 2;

impl CommandError {
    fn code(self) -> u8 {
        match self {
            Self::Failed => 1,
            Self::Faulty => 3,
            Self::Unreachable => 4,
            Self::Refused => 5,
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
            Self::Faulty => "faults were found",
            Self::Unreachable => "the router cannot serve the command; nothing was changed",
            Self::Refused => "the router refused the token; name one with the right to do this",
            Self::Conflict => {
                "the row has another version; show it, make the edit anew and name that version"
            }
            Self::NotFound => "there is no such thing",
            Self::OutcomeUnknown => {
                "the router did not answer; an edit may have taken effect: show the row to see"
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
            OperatorError::Forbidden => Self::Refused,
            OperatorError::NotFound => Self::NotFound,
            OperatorError::Conflict => Self::Conflict,
            OperatorError::Invalid => Self::Faulty,
            OperatorError::Malformed => Self::Failed,
        }
    }
}

/// Shows how a command ended, on standard error, and returns its exit code.
pub(crate) fn report_end(end: Result<(), Report<CommandError>>) -> ExitCode {
    let Err(report) = end else { return ExitCode::SUCCESS };
    // Without a standard error there is nobody to tell.
    let _ = write!(std::io::stderr(), "{}", plain_words(&report));
    ExitCode::from(report.current_context().code())
}

/// The contexts and attachments of a report, outermost first, without places in the code.
fn plain_words(report: &Report<CommandError>) -> String {
    let mut lines = vec![format!("error: {}", report.current_context())];
    for frame in report.frames() {
        let words = match frame.kind() {
            FrameKind::Context(context) if context.is::<CommandError>() => continue,
            FrameKind::Context(context) => context.to_string(),
            FrameKind::Attachment(AttachmentKind::Printable(words)) => words.to_string(),
            FrameKind::Attachment(_) => continue,
        };
        lines.extend(words.lines().map(|line| format!("  {line}")));
    }
    lines.push(String::new());
    lines.join("\n")
}
