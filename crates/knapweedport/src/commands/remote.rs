//! Clients of a router, made from arguments.

use std::fs;

use base_settings::SecretValue;
use error_stack::{Report, ResultExt};
use io_operator::{OperatorClient, OperatorError};

use crate::{arguments::RemoteOptions, exit::CommandError, files::read_text};

const TOKEN_VARIABLE: &str = "KNAPWEEDPORT_TOKEN";

/// A client of the router that the options name.
pub(super) fn client(options: &RemoteOptions) -> Result<OperatorClient, Report<CommandError>> {
    let mut client = OperatorClient::new(options.router);
    if let Some(token) = token(options)? {
        client = client.token(token);
    }
    let Some(path) = &options.ca else { return Ok(client) };
    let authority = fs::read(path)
        .change_context(CommandError::Failed)
        .attach_with(|| format!("cannot read {}", path.display()))?;
    client
        .trusting(&authority, &options.server_name)
        .change_context(CommandError::Failed)
        .attach_with(|| format!("{} holds no certificate in PEM form", path.display()))
}

/// Turns an error of the client into the command's own, which has an exit code.
pub(super) fn command_error(report: Report<OperatorError>) -> Report<CommandError> {
    let error = CommandError::from(*report.current_context());
    report.change_context(error)
}

/// The token of the file, or else of the environment.
fn token(options: &RemoteOptions) -> Result<Option<SecretValue<Box<str>>>, Report<CommandError>> {
    let text = match &options.token_file {
        Some(path) => Some(read_text(path)?),
        None => std::env::var(TOKEN_VARIABLE).ok(),
    };
    Ok(text.map(|text| SecretValue::new(text.trim().into())))
}
