//! Journal that preserves the changes of a stand-in across kills, one JSON line per change.

use std::{
    fs::File,
    io::{BufRead, BufReader, Write},
    marker::PhantomData,
    path::Path,
    sync::{Mutex, PoisonError},
};

use error_stack::{Report, ResultExt};
use serde::{Serialize, de::DeserializeOwned};

use crate::serve::StandInError;

/// An append-only file of changes; without a path nothing is stored.
#[derive(Debug)]
pub(crate) struct ChangeJournal<T> {
    file: Option<Mutex<File>>,
    change: PhantomData<fn(T)>,
}

impl<T: Serialize + DeserializeOwned> ChangeJournal<T> {
    /// Opens a file and reads the changes that an earlier process appended.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be opened. Reading stops silently at the first line that cannot
    /// be read.
    pub(crate) fn open(path: Option<&Path>) -> Result<(Self, Vec<T>), Report<StandInError>> {
        let Some(path) = path else {
            return Ok((Self { file: None, change: PhantomData }, Vec::new()));
        };
        let file = File::options().create(true).append(true).read(true).open(path);
        let file = file.change_context(StandInError)?;
        let lines = BufReader::new(&file).lines();
        let changes = lines.map_while(Result::ok).filter_map(|line| parse(&line)).collect();
        Ok((Self { file: Some(Mutex::new(file)), change: PhantomData }, changes))
    }

    /// Appends a change; called before the change is answered.
    ///
    /// A failed write aborts the process, so that a change whose write failed is never answered. A
    /// change that cannot be serialized is skipped.
    pub(crate) fn append(&self, change: &T) {
        let Some(file) = &self.file else { return };
        let Ok(mut line) = serde_json::to_vec(change) else { return };
        line.push(b'\n');
        let mut file = file.lock().unwrap_or_else(PoisonError::into_inner);
        if let Err(error) = file.write_all(&line) {
            eprintln!("cannot append to the journal: {error}");
            std::process::abort();
        }
    }
}

/// Parses a line; one that a kill truncated is skipped, as its change was never answered.
fn parse<T: DeserializeOwned>(line: &str) -> Option<T> {
    serde_json::from_str(line).ok()
}
