//! TOML files that consist of arrays of named tables, such as files of route and pool rows.

use serde::de::DeserializeOwned;
use toml::de::DeTable;

use crate::{
    SettingsFault,
    section::{FaultList, SettingsSection},
};

/// A TOML file of named tables, and the faults found in the file so far.
#[derive(Debug)]
pub struct TableDocument<'a> {
    text: &'a str,
    faults: Vec<SettingsFault>,
}

impl<'a> TableDocument<'a> {
    /// A document for the text of a file, without faults.
    pub fn new(text: &'a str) -> Self {
        Self { text, faults: Vec::new() }
    }

    /// Deserializes the entries of two arrays of tables. An entry that fails is left out and
    /// recorded as a fault, as is every other key at the root of the file.
    pub fn read<A: DeserializeOwned, B: DeserializeOwned>(
        &mut self,
        first_array: &'static str,
        second_array: &'static str,
    ) -> (Vec<A>, Vec<B>) {
        let (root, syntax) = DeTable::parse_recoverable(self.text);
        let faults = FaultList::new(self.text);
        faults.push_syntax(&syntax);
        let section = SettingsSection::root(root.get_ref(), &faults);
        let entries = (section.entries(first_array), section.entries(second_array));
        section.finish();
        self.faults.extend(faults.into_faults());
        entries
    }

    /// Records that a field of a named entry is invalid, such as `max_load_ratio` of pool
    /// `assistant`.
    pub fn fault_in_entry(&mut self, array: &str, name: &str, field: &str, remedy: &str) {
        let (root, _) = DeTable::parse_recoverable(self.text);
        let faults = FaultList::new(self.text);
        let section = SettingsSection::root(root.get_ref(), &faults);
        let span = section.entry_span(array, name, field);
        faults.push(span, &format!("{array}.{name}.{field}"), "is invalid", remedy);
        self.faults.extend(faults.into_faults());
    }

    /// All recorded faults in the order of their lines; those without a line come first.
    pub fn into_faults(mut self) -> Vec<SettingsFault> {
        self.faults.sort();
        self.faults
    }
}
