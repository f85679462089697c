//! Tests that are known to fail for a fault that is not mended yet.

use std::{fs, io::ErrorKind};

use error_stack::{Report, ResultExt};

use crate::steps::TaskError;

const FILE: &str = "KNOWN-RED.txt";

/// The entries of `KNOWN-RED.txt`, one a line: the test's name, `|`, and what is known of it.
#[derive(Debug)]
pub(crate) struct KnownFailures {
    entries: Vec<Box<str>>,
}

impl KnownFailures {
    /// Reads the file at the root; without a file nothing may fail.
    pub(crate) fn read() -> Result<Self, Report<TaskError>> {
        let text = match fs::read_to_string(FILE) {
            Ok(text) => text,
            Err(error) if error.kind() == ErrorKind::NotFound => String::new(),
            Err(error) => return Err(Report::new(error).change_context(TaskError)).attach(FILE),
        };
        Ok(Self::parse(&text))
    }

    fn parse(text: &str) -> Self {
        let lines = text.lines().map(str::trim);
        let entries = lines.filter(|line| !line.is_empty() && !line.starts_with('#'));
        Self { entries: entries.map(Into::into).collect() }
    }

    /// The entry of a test.
    pub(crate) fn find(&self, test: &str) -> Option<&str> {
        let mut entries = self.entries.iter().map(|entry| &**entry);
        entries.find(|entry| entry.split('|').next().map(str::trim) == Some(test))
    }
}
