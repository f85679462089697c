//! `knapweedport route` and `knapweedport pool`.

use std::path::Path;

use base_types::RowVersion;
use error_stack::{Report, ResultExt};
use io_operator::{EditCondition, RowTable};
use serde::{Serialize, de::DeserializeOwned};
use serde_json::Value;
use state_tables::{PoolRow, RouteRow, TableFile};

use crate::{
    arguments::RowCommand,
    commands::{
        CommandResult,
        remote::{build_client, command_error},
    },
    exit::CommandError,
    files::read_text,
};

/// Runs a row command against one of the tables.
pub(super) async fn run(table: RowTable, command: RowCommand) -> CommandResult {
    match command {
        RowCommand::List { remote_options } => {
            let rows =
                build_client(&remote_options)?.list_rows(table).await.map_err(command_error)?;
            for row in rows {
                println!("{}\tversion {}", row.name, row.version.0);
            }
        }
        RowCommand::Show { remote_options, name } => {
            let row = build_client(&remote_options)?.read_row(table, &name).await;
            let row = row.map_err(command_error)?;
            print!("# version {}\n{}", row.version.0, row_text(table, row.row)?);
        }
        RowCommand::Put { remote_options, file, if_version, reason } => {
            let (name, row) = read_row(table, &file)?;
            let condition = if_version.map_or(EditCondition::Absent, |version| {
                EditCondition::Version(RowVersion(version))
            });
            let client = build_client(&remote_options)?;
            let version = client.put_row(table, &name, condition, &reason, &row).await;
            println!("{name}\tversion {}", version.map_err(command_error)?.0);
        }
        RowCommand::Delete { remote_options, if_version, reason, name } => {
            let client = build_client(&remote_options)?;
            let result = client.delete_row(table, &name, RowVersion(if_version), &reason).await;
            result.map_err(command_error)?;
            println!("{name}\tdeleted");
        }
    }
    Ok(())
}

/// Reads a table file that must contain exactly one row, of `table`, and returns the row's name and
/// content.
fn read_row(table: RowTable, path: &Path) -> Result<(Box<str>, Value), Report<CommandError>> {
    let file = TableFile::parse(&read_text(path)?)
        .change_context(CommandError::FaultsFound)
        .attach_with(|| format!("in {}", path.display()))?;
    match (table, &*file.routes, &*file.pools) {
        (RowTable::Routes, [row], []) => Ok((row.name.as_str().into(), to_json(row)?)),
        (RowTable::Pools, [], [row]) => Ok((row.name.as_str().into(), to_json(row)?)),
        _ => {
            let array = table.path().trim_end_matches('s');
            let remedy =
                format!("{} must contain one [[{array}]] entry and nothing else", path.display());
            Err(Report::new(CommandError::FaultsFound).attach(remedy))
        }
    }
}

/// Formats a row as a TOML table file. Omits a pool's identity, which is assigned when the pool is
/// created and is absent in operators' files.
fn row_text(table: RowTable, row: Value) -> Result<String, Report<CommandError>> {
    let mut file = TableFile::default();
    match table {
        RowTable::Routes => file.routes.push(from_json::<RouteRow>(row)?),
        RowTable::Pools => {
            let row = from_json::<PoolRow>(row)?;
            file.pools.push(PoolRow { identity: None, ..row });
        }
    }
    toml::to_string(&file).change_context(CommandError::Failed)
}

fn to_json(row: &impl Serialize) -> Result<Value, Report<CommandError>> {
    serde_json::to_value(row).change_context(CommandError::Failed)
}

fn from_json<Row: DeserializeOwned>(row: Value) -> Result<Row, Report<CommandError>> {
    serde_json::from_value(row)
        .change_context(CommandError::Failed)
        .attach("cannot parse the row; the router may be newer than this command")
}
