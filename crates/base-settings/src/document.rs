//! Reading a TOML file that holds arrays of named tables, such as the rows of a table file.

use serde::de::DeserializeOwned;
use toml::de::DeTable;

use crate::{
    SettingsFault,
    section::{FaultList, SettingsSection},
};

/// A TOML file of named tables whose faults are collected with their lines.
#[derive(Debug)]
pub struct NamedDocument<'a> {
    text: &'a str,
    faults: Vec<SettingsFault>,
}

impl<'a> NamedDocument<'a> {
    /// A document over the text of a file.
    pub fn new(text: &'a str) -> Self {
        Self { text, faults: Vec::new() }
    }

    /// Reads two arrays of tables; entries that cannot be read and unknown keys become faults.
    pub fn read<A: DeserializeOwned, B: DeserializeOwned>(
        &mut self,
        first: &'static str,
        second: &'static str,
    ) -> (Vec<A>, Vec<B>) {
        let (root, syntax) = DeTable::parse_recoverable(self.text);
        let faults = FaultList::new(self.text);
        faults.push_syntax(&syntax);
        let section = SettingsSection::root(root.get_ref(), &faults);
        let entries = (section.entries(first), section.entries(second));
        section.finish();
        self.faults.extend(faults.into_faults());
        entries
    }

    /// Notes a fault of a named entry's field, such as `max_load_ratio` of pool `assistant`.
    pub fn fault_in_entry(&mut self, array: &str, name: &str, field: &str, remedy: &str) {
        let (root, _) = DeTable::parse_recoverable(self.text);
        let faults = FaultList::new(self.text);
        let section = SettingsSection::root(root.get_ref(), &faults);
        let span = section.entry_span(array, name, field);
        faults.push(span, &format!("{array}.{name}.{field}"), "is refused", remedy);
        self.faults.extend(faults.into_faults());
    }

    /// Every fault noted, in the order of their lines.
    pub fn into_faults(mut self) -> Vec<SettingsFault> {
        self.faults.sort();
        self.faults
    }
}
