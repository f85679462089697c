//! Tests that are known to fail because of a fault that is not fixed yet.

use std::{fs, io::ErrorKind};

use error_stack::{Report, ResultExt};

use crate::steps::TaskError;

const PATH: &str = "KNOWN-RED.txt";

/// Entries of `KNOWN-RED.txt`, one per line: the test's name, `|`, and details of the failure.
#[derive(Debug)]
pub(crate) struct KnownFailures {
    entries: Vec<Box<str>>,
}

impl KnownFailures {
    /// Reads the file in the repository root. If the file is missing, no failures are expected.
    pub(crate) fn read() -> Result<Self, Report<TaskError>> {
        let text = match fs::read_to_string(PATH) {
            Ok(text) => text,
            Err(error) if error.kind() == ErrorKind::NotFound => String::new(),
            Err(error) => return Err(Report::new(error).change_context(TaskError)).attach(PATH),
        };
        Ok(Self::parse(&text))
    }

    fn parse(text: &str) -> Self {
        let lines = text.lines().map(str::trim);
        let entries = lines.filter(|line| !line.is_empty() && !line.starts_with('#'));
        Self { entries: entries.map(Into::into).collect() }
    }

    /// Returns the entry of a test, if it is listed.
    pub(crate) fn find(&self, test: &str) -> Option<&str> {
        let mut entries = self.entries.iter().map(|entry| &**entry);
        entries.find(|entry| entry.split('|').next().map(str::trim) == Some(test))
    }
}
