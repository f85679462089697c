//! `knapweedport check`.

use std::{
    collections::BTreeMap,
    path::{Path, PathBuf},
};

use base_settings::{GatewaySettings, RouterSettings, SettingsError, TableDocument};
use base_types::{PoolName, RouteName};
use error_stack::Report;
use state_tables::{PoolRow, RouteRow, RowFault, check_rows};

use crate::{
    commands::CommandResult,
    exit::CommandError,
    files::{DiskFiles, read_text},
};

const ROUTE_ARRAY: &str = "route";
const POOL_ARRAY: &str = "pool";

/// Checks each settings file separately, and all table files together because rows refer to rows
/// of other files.
pub(super) fn run(settings: &[PathBuf], gateway: &[PathBuf], tables: &[PathBuf]) -> CommandResult {
    if settings.is_empty() && gateway.is_empty() && tables.is_empty() {
        return Err(Report::new(CommandError::Failed)
            .attach("no file given; pass at least one of --settings, --gateway and --tables"));
    }
    let mut lines = Vec::new();
    for path in settings {
        lines.extend(read_settings(path)?.err().unwrap_or_default());
    }
    for path in gateway {
        lines.extend(read_gateway_settings(path)?.err().unwrap_or_default());
    }
    lines.extend(check_tables(tables)?);
    if lines.is_empty() {
        println!("no faults");
        return Ok(());
    }
    Err(faults_report(lines))
}

/// Reads a settings file. The outer error means that the file is unreadable; the inner error has
/// one line per fault.
pub(super) fn read_settings(
    path: &Path,
) -> Result<Result<RouterSettings, Vec<String>>, Report<CommandError>> {
    let text = read_text(path)?;
    let parsed = RouterSettings::parse(&text, &DiskFiles::relative_to(path));
    Ok(parsed.map_err(|report| fault_lines(path, &report)))
}

/// Reads a gateway's settings file, with errors as for [`read_settings`].
pub(super) fn read_gateway_settings(
    path: &Path,
) -> Result<Result<GatewaySettings, Vec<String>>, Report<CommandError>> {
    let text = read_text(path)?;
    Ok(GatewaySettings::parse(&text).map_err(|report| fault_lines(path, &report)))
}

fn fault_lines(path: &Path, report: &Report<SettingsError>) -> Vec<String> {
    let faults = report.current_context().faults();
    faults.iter().map(|fault| fault.in_file(&path.display().to_string())).collect()
}

/// Builds a report with one attachment per line. Attaches them in reverse, as a report lists its
/// newest attachment first.
pub(super) fn faults_report(lines: Vec<String>) -> Report<CommandError> {
    lines.into_iter().rev().fold(Report::new(CommandError::FaultsFound), Report::attach)
}

fn check_tables(paths: &[PathBuf]) -> Result<Vec<String>, Report<CommandError>> {
    let texts: Vec<String> = paths.iter().map(|path| read_text(path)).collect::<Result<_, _>>()?;
    let mut files: Vec<CheckedFile<'_>> =
        paths.iter().zip(&texts).map(|(path, text)| CheckedFile::new(path, text)).collect();
    let mut all_rows = RowSet::default();
    files.iter_mut().for_each(|file| file.read_rows_into(&mut all_rows));
    for fault in check_rows(&all_rows.routes, &all_rows.pools) {
        let location = FaultLocation::from_fault(&fault);
        let Some(file) = files.iter_mut().find(|file| file.contains(&location)) else { continue };
        file.document.fault_in_entry(location.array, location.name, location.field, &fault.remedy);
    }
    Ok(files.into_iter().flat_map(CheckedFile::into_fault_lines).collect())
}

/// Rows of all checked files.
#[derive(Default)]
struct RowSet {
    routes: BTreeMap<RouteName, RouteRow>,
    pools: BTreeMap<PoolName, PoolRow>,
}

/// Row and field parsed from a fault's key. Row names may contain dots, field names may not.
struct FaultLocation<'a> {
    array: &'a str,
    name: &'a str,
    field: &'a str,
}

impl<'a> FaultLocation<'a> {
    fn from_fault(fault: &'a RowFault) -> Self {
        let (array, rest) = fault.key.split_once('.').unwrap_or((&fault.key, ""));
        let (name, field) = rest.rsplit_once('.').unwrap_or((rest, ""));
        Self { array, name, field }
    }
}

/// A table file with the names of its rows and the faults found so far.
struct CheckedFile<'a> {
    path: &'a Path,
    document: TableDocument<'a>,
    routes: Vec<RouteName>,
    pools: Vec<PoolName>,
}

impl<'a> CheckedFile<'a> {
    fn new(path: &'a Path, text: &'a str) -> Self {
        Self { path, document: TableDocument::new(text), routes: Vec::new(), pools: Vec::new() }
    }

    fn read_rows_into(&mut self, rows: &mut RowSet) {
        let (routes, pools) = self.document.read::<RouteRow, PoolRow>(ROUTE_ARRAY, POOL_ARRAY);
        for row in routes {
            self.routes.push(row.name.clone());
            let name = row.name.clone();
            if rows.routes.insert(row.name.clone(), row).is_some() {
                self.report_duplicate(ROUTE_ARRAY, name.as_str());
            }
        }
        for row in pools {
            self.pools.push(row.name.clone());
            let name = row.name.clone();
            if rows.pools.insert(row.name.clone(), row).is_some() {
                self.report_duplicate(POOL_ARRAY, name.as_str());
            }
        }
    }

    fn report_duplicate(&mut self, array: &str, name: &str) {
        let remedy = "another row has the same name; remove one of the two";
        self.document.fault_in_entry(array, name, "name", remedy);
    }

    fn contains(&self, location: &FaultLocation<'_>) -> bool {
        match location.array {
            ROUTE_ARRAY => self.routes.iter().any(|name| name.as_str() == location.name),
            POOL_ARRAY => self.pools.iter().any(|name| name.as_str() == location.name),
            _ => false,
        }
    }

    fn into_fault_lines(self) -> Vec<String> {
        let path = self.path.display().to_string();
        self.document.into_faults().iter().map(|fault| fault.in_file(&path)).collect()
    }
}
