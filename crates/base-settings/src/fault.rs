//! Faults found in a settings file, and the error that holds all of them.

use std::fmt;

/// One fault of a settings file, with its position and a remedy.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct SettingsFault {
    /// Line in the file, counted from 1; absent for a key that is missing.
    pub line: Option<usize>,
    /// Path of the key, such as `caller_tls.key`; empty for a fault of the TOML syntax.
    pub key: Box<str>,
    /// What is wrong, as a phrase that follows the key, such as `is missing`.
    pub problem: Box<str>,
    /// How to correct the fault, as an imperative.
    pub remedy: Box<str>,
}

impl SettingsFault {
    /// The fault as one line of text, `FILE:LINE: KEY PROBLEM; REMEDY`; `file` is the path to show.
    pub fn in_file(&self, file: &str) -> String {
        let key = if self.key.is_empty() { String::new() } else { format!("`{}` ", self.key) };
        let line = self.line.map(|line| format!(":{line}")).unwrap_or_default();
        format!("{file}{line}: {key}{}; {}", self.problem, self.remedy)
    }
}

impl fmt::Display for SettingsFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(line) = self.line {
            write!(f, "line {line}: ")?;
        }
        if !self.key.is_empty() {
            write!(f, "`{}` ", self.key)?;
        }
        write!(f, "{}; {}", self.problem, self.remedy)
    }
}

/// Error for a settings file with faults; contains all of them in the order of their lines.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsError {
    faults: Vec<SettingsFault>,
}

impl SettingsError {
    pub(crate) fn new(mut faults: Vec<SettingsFault>) -> Self {
        faults.sort();
        Self { faults }
    }

    /// Every fault, in the order of their lines; those without a line come first.
    pub fn faults(&self) -> &[SettingsFault] {
        &self.faults
    }
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the settings have {} fault(s)", self.faults.len())?;
        for fault in &self.faults {
            write!(f, "\n{fault}")?;
        }
        Ok(())
    }
}

impl std::error::Error for SettingsError {}
