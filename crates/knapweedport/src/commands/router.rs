//! `knapweedport router`.

use std::path::Path;

use error_stack::ResultExt;
use io_telemetry::{LogOutput, init_logging};

use crate::{
    commands::{
        CommandResult, block_on,
        check::{faults_report, read_settings},
    },
    exit::CommandError,
};

/// Runs a router until SIGTERM or SIGINT.
pub(super) fn run(path: &Path) -> CommandResult {
    let settings = read_settings(path)?.map_err(faults_report)?;
    init_logging(&settings.log, LogOutput::StandardError);
    block_on(async { io_router::run_router(settings).await.change_context(CommandError::Failed) })
}
