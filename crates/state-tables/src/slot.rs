//! The versions of one row: the one in force and later ones that are held.

use base_types::RowVersion;

use crate::{RowChange, RowContent};

const HELD_MAX: usize = 4;

#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) struct RowSlot {
    pub(crate) in_force: Option<RowChange>,
    /// Versions above the one in force, in ascending order.
    pub(crate) held: Vec<RowChange>,
}

impl RowSlot {
    /// Latest version heard.
    pub(crate) fn latest(&self) -> Option<RowVersion> {
        self.held.last().or(self.in_force.as_ref()).map(|change| change.version)
    }

    /// Holds a change above the one in force; returns whether it is news.
    pub(crate) fn hear(&mut self, change: &RowChange) -> bool {
        if self.in_force.as_ref().is_some_and(|current| current.version >= change.version) {
            return false;
        }
        let Err(index) = self.held.binary_search_by_key(&change.version, |held| held.version)
        else {
            return false;
        };
        self.held.insert(index, change.clone());
        if self.held.len() > HELD_MAX {
            self.held.remove(0);
        }
        true
    }

    /// Candidates from the latest to the version in force; invalid content is never one.
    pub(crate) fn candidates(&self) -> impl Iterator<Item = &RowChange> {
        let valid = |change: &&RowChange| !matches!(change.content, RowContent::Invalid(_));
        self.held.iter().rev().filter(valid).chain(&self.in_force)
    }

    /// Puts a held version in force and forgets the ones below it.
    pub(crate) fn enforce(&mut self, version: RowVersion) {
        let Some(index) = self.held.iter().position(|held| held.version == version) else { return };
        self.in_force = self.held.drain(..=index).next_back();
    }
}
