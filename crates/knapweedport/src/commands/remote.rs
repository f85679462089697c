//! Builds clients of a router's operator API from command-line options.

use std::fs;

use base_settings::SecretValue;
use error_stack::{Report, ResultExt};
use io_operator::{OperatorClient, OperatorError};

use crate::{arguments::RemoteOptions, exit::CommandError, files::read_text};

const TOKEN_ENV_VAR: &str = "KNAPWEEDPORT_TOKEN";

/// Builds a client for the router that the options specify.
pub(super) fn build_client(
    options: &RemoteOptions,
) -> Result<OperatorClient, Report<CommandError>> {
    let mut client = OperatorClient::new(options.router);
    if let Some(token) = read_token(options)? {
        client = client.with_token(token);
    }
    let Some(path) = &options.ca else { return Ok(client) };
    let authority = fs::read(path)
        .change_context(CommandError::Failed)
        .attach_with(|| format!("cannot read {}", path.display()))?;
    client
        .with_tls(&authority, &options.server_name)
        .change_context(CommandError::Failed)
        .attach_with(|| format!("{} contains no PEM certificate", path.display()))
}

/// Wraps a client error in the `CommandError` that determines the exit code.
pub(super) fn command_error(report: Report<OperatorError>) -> Report<CommandError> {
    let error = CommandError::from(*report.current_context());
    report.change_context(error)
}

/// Reads the operator's token from its file, or from the environment if no file is given.
fn read_token(
    options: &RemoteOptions,
) -> Result<Option<SecretValue<Box<str>>>, Report<CommandError>> {
    let text = match &options.token_file {
        Some(path) => Some(read_text(path)?),
        None => std::env::var(TOKEN_ENV_VAR).ok(),
    };
    Ok(text.map(|text| SecretValue::new(text.trim().into())))
}
