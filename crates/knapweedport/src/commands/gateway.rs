//! `knapweedport gateway`.

use std::path::Path;

use error_stack::ResultExt;
use io_telemetry::{LogOutput, init_logging};

use crate::{
    commands::{
        CommandResult, block_on,
        check::{faults_report, read_gateway_settings},
    },
    exit::CommandError,
};

/// Runs a gateway until SIGTERM or SIGINT.
pub(super) fn run(path: &Path) -> CommandResult {
    let settings = read_gateway_settings(path)?.map_err(faults_report)?;
    init_logging(&settings.log, LogOutput::BoundedStandardOutput);
    block_on(async { platform::run_gateway(settings).await.change_context(CommandError::Failed) })
}
