//! Rows of the tables.

use std::collections::BTreeSet;

use base_types::TimePoint;
use state_tables::{RowChange, RowContent, RowKey};

use crate::{LinkKey, PeerEffect, SpreadEntry, TableListing, core::PeerCore};

impl PeerCore {
    pub(super) fn on_row(&mut self, now: TimePoint, change: RowChange) {
        self.trust(now);
        self.adopt_row(change, None);
    }

    /// Takes whole tables; rows held at an older version that the platform no longer names were
    /// deleted while this router did not watch.
    pub(super) fn on_listing(&mut self, now: TimePoint, listing: TableListing) {
        self.trust(now);
        let listed: BTreeSet<&RowKey> = listing.rows.iter().map(|change| &change.key).collect();
        let mut gone = Vec::new();
        for entry in self.store.iter() {
            let SpreadEntry::Row(held) = entry else { continue };
            let read = listing.reads.iter().find(|read| read.table == held.key.table());
            let Some(read) = read.filter(|read| held.version < read.revision) else { continue };
            if held.content == RowContent::Tombstone || listed.contains(&held.key) {
                continue;
            }
            gone.push(RowChange {
                key: held.key.clone(),
                version: read.revision,
                content: RowContent::Tombstone,
            });
        }
        drop(listed);
        for change in listing.rows.into_iter().chain(gone) {
            self.adopt_row(change, None);
        }
        self.complete_tables();
    }

    pub(super) fn adopt_row(&mut self, change: RowChange, from: Option<LinkKey>) -> bool {
        let is_new = self.store_entry(SpreadEntry::Row(change.clone()), from);
        if is_new {
            self.effects.push(PeerEffect::RowAdopted(change));
        }
        is_new
    }

    pub(super) fn complete_tables(&mut self) {
        if self.complete {
            return;
        }
        self.complete = true;
        self.effects.push(PeerEffect::TablesComplete);
    }
}
