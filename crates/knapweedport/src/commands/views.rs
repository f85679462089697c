//! `knapweedport explain`, `knapweedport audit` and `knapweedport status`.

use error_stack::Report;
use serde_json::Value;

use crate::{
    arguments::RemoteOptions,
    commands::{
        CommandResult,
        remote::{client, command_error},
    },
    exit::CommandError,
};

/// Prints the sentences that explain a request.
pub(super) async fn explain(options: &RemoteOptions, request: &str) -> CommandResult {
    let explained = client(options)?.read(&format!("explain/{request}")).await;
    let explained = explained.map_err(command_error)?;
    for sentence in explained["decisions"].as_array().into_iter().flatten() {
        println!("{}", sentence.as_str().unwrap_or_default());
    }
    Ok(())
}

/// Prints the audit trail, one entry a line.
pub(super) async fn audit(options: &RemoteOptions, row: Option<&str>) -> CommandResult {
    let path = row.map_or("audit".to_owned(), |row| format!("audit?row={row}"));
    let trail = client(options)?.read(&path).await.map_err(command_error)?;
    let Some(entries) = trail["entries"].as_array() else {
        return Err(Report::new(CommandError::Failed).attach("the answer holds no entries"));
    };
    for entry in entries {
        println!("{entry}");
    }
    Ok(())
}

/// Prints what a router shows of itself.
pub(super) async fn status(options: &RemoteOptions) -> CommandResult {
    let status = client(options)?.read("status").await.map_err(command_error)?;
    print_value("", &status);
    Ok(())
}

/// Prints a value as lines of `path value`; objects are paths, and so are items of arrays.
fn print_value(path: &str, value: &Value) {
    let join = |key: &str| if path.is_empty() { key.to_owned() } else { format!("{path}.{key}") };
    match value {
        Value::Object(fields) => {
            fields.iter().for_each(|(key, field)| print_value(&join(key), field));
        }
        Value::Array(items) => {
            items
                .iter()
                .enumerate()
                .for_each(|(index, item)| print_value(&join(&index.to_string()), item));
        }
        Value::String(text) => println!("{path} {text}"),
        value => println!("{path} {value}"),
    }
}
