//! `knapweedport explain`, `knapweedport audit` and `knapweedport status`.

use error_stack::Report;
use serde_json::Value;

use crate::{
    arguments::RemoteOptions,
    commands::{
        CommandResult,
        remote::{build_client, command_error},
    },
    exit::CommandError,
};

/// Prints a router's explanation of a request, one sentence per line.
pub(super) async fn explain(options: &RemoteOptions, request: &str) -> CommandResult {
    let response = build_client(options)?.read(&format!("explain/{request}")).await;
    let response = response.map_err(command_error)?;
    for sentence in response["decisions"].as_array().into_iter().flatten() {
        println!("{}", sentence.as_str().unwrap_or_default());
    }
    Ok(())
}

/// Prints the audit trail, one entry per line.
pub(super) async fn audit(options: &RemoteOptions, row: Option<&str>) -> CommandResult {
    let path = row.map_or("audit".to_owned(), |row| format!("audit?row={row}"));
    let response = build_client(options)?.read(&path).await.map_err(command_error)?;
    let Some(entries) = response["entries"].as_array() else {
        return Err(Report::new(CommandError::Failed).attach("the response has no `entries` array"));
    };
    for entry in entries {
        println!("{entry}");
    }
    Ok(())
}

/// Prints the status of a router.
pub(super) async fn status(options: &RemoteOptions) -> CommandResult {
    let status = build_client(options)?.read("status").await.map_err(command_error)?;
    print_value("", &status);
    Ok(())
}

/// Prints a JSON value as `path value` lines; object keys and array indices form a dotted path.
fn print_value(path: &str, value: &Value) {
    let child_path =
        |key: &str| if path.is_empty() { key.to_owned() } else { format!("{path}.{key}") };
    match value {
        Value::Object(fields) => {
            fields.iter().for_each(|(key, field)| print_value(&child_path(key), field));
        }
        Value::Array(items) => {
            items
                .iter()
                .enumerate()
                .for_each(|(index, item)| print_value(&child_path(&index.to_string()), item));
        }
        Value::String(text) => println!("{path} {text}"),
        value => println!("{path} {value}"),
    }
}
