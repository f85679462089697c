//! Renders the measured tables as Markdown and writes them to the page.

use std::{collections::BTreeSet, fmt::Write, fs, path::Path};

use error_stack::{Report, ResultExt};

use crate::{capacity::phases::PhaseResult, steps::TaskError};

const BEGIN_MARKER: &str = "<!-- measured by `cargo xtask capacity --write`: begin -->";
const END_MARKER: &str = "<!-- measured by `cargo xtask capacity --write`: end -->";

/// Renders both tables as Markdown.
pub(crate) fn render(results: &[PhaseResult]) -> String {
    let mut text = String::from(
        "| routers | phase | sent B/s, mean (highest) | received B/s | core %, mean (highest) | \
         resident MB, mean (highest) | platform calls/s | known to all, longest (events) |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for result in results {
        let propagation = result.known.map_or_else(
            || "-".to_owned(),
            |(seconds, events)| format!("{seconds:.2} s ({events})"),
        );
        let _ = writeln!(
            text,
            "| {} | {} | {:.0} ({:.0}) | {:.0} | {:.2} ({:.2}) | {:.1} ({:.1}) | {:.1} | {propagation} |",
            result.size,
            result.phase,
            result.sent.0,
            result.sent.1,
            result.received,
            result.processor.0,
            result.processor.1,
            result.memory.0,
            result.memory.1,
            result.calls,
        );
    }
    render_kinds(results, &mut text);
    text
}

fn render_kinds(results: &[PhaseResult], text: &mut String) {
    let kinds: BTreeSet<&String> = results.iter().flat_map(|result| result.kinds.keys()).collect();
    let names: Vec<&str> = kinds.iter().map(|kind| kind.as_str()).collect();
    let _ = writeln!(text, "\nSent bytes a second by kind, mean of the routers:\n");
    let _ = writeln!(text, "| routers | phase | {} |", names.join(" | "));
    let _ = writeln!(text, "| --- | --- |{}", " --- |".repeat(names.len()));
    for result in results {
        let cells = kinds.iter().map(|kind| result.kinds.get(*kind).copied().unwrap_or_default());
        let cells: Vec<String> = cells.map(|bytes| format!("{bytes:.0}")).collect();
        let _ = writeln!(text, "| {} | {} | {} |", result.size, result.phase, cells.join(" | "));
    }
}

/// Replaces the text between the markers in the page.
pub(crate) fn write_tables(page: &Path, tables: &str) -> Result<(), Report<TaskError>> {
    let text = fs::read_to_string(page).change_context(TaskError)?;
    let start = text.find(BEGIN_MARKER).map(|at| at + BEGIN_MARKER.len());
    let (Some(start), Some(end)) = (start, text.find(END_MARKER)) else {
        return Err(Report::new(TaskError).attach("the page has no markers for the tables"));
    };
    let text = format!("{}\n\n{tables}\n{}", &text[..start], &text[end..]);
    fs::write(page, text).change_context(TaskError)
}
