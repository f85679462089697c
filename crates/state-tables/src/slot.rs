//! The versions of one row: the one in force and newer ones that are not in force.

use base_types::RowVersion;

use crate::{RowChange, RowContent};

const NEWER_VERSIONS_MAX: usize = 4;

#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) struct RowSlot {
    pub(crate) in_force: Option<RowChange>,
    /// Versions newer than the one in force, in ascending order.
    pub(crate) newer: Vec<RowChange>,
}

impl RowSlot {
    /// Latest known version, in force or not.
    pub(crate) fn latest(&self) -> Option<RowVersion> {
        self.newer.last().or(self.in_force.as_ref()).map(|change| change.version)
    }

    /// Stores a change that is newer than the one in force; returns whether it was unknown. Beyond
    /// [`NEWER_VERSIONS_MAX`] the oldest is dropped.
    pub(crate) fn insert(&mut self, change: &RowChange) -> bool {
        if self.in_force.as_ref().is_some_and(|current| current.version >= change.version) {
            return false;
        }
        let Err(index) = self.newer.binary_search_by_key(&change.version, |row| row.version) else {
            return false;
        };
        self.newer.insert(index, change.clone());
        if self.newer.len() > NEWER_VERSIONS_MAX {
            self.newer.remove(0);
        }
        true
    }

    /// Versions that may be put in force, from the latest down to the one in force; those with
    /// invalid content are left out.
    pub(crate) fn candidates(&self) -> impl Iterator<Item = &RowChange> {
        let valid = |change: &&RowChange| !matches!(change.content, RowContent::Invalid(_));
        self.newer.iter().rev().filter(valid).chain(&self.in_force)
    }

    /// Puts a newer version in force and drops the ones below it.
    pub(crate) fn put_in_force(&mut self, version: RowVersion) {
        let Some(index) = self.newer.iter().position(|row| row.version == version) else { return };
        self.in_force = self.newer.drain(..=index).next_back();
    }
}
