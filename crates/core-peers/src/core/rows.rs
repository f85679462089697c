//! Rows of the route and pool tables.

use std::collections::BTreeSet;

use base_types::TimePoint;
use state_tables::{RowChange, RowContent, RowKey};

use crate::{GossipEntry, LinkKey, PeerEffect, TableListing, core::PeerCore};

impl PeerCore {
    pub(super) fn on_row(&mut self, now: TimePoint, change: RowChange) {
        self.extend_trust(now);
        self.adopt_row(change, None);
    }

    /// Stores all rows of complete tables. A stored row of an older version that the platform no
    /// longer lists was deleted while this router did not watch, and gets a tombstone.
    pub(super) fn on_table_listing(&mut self, now: TimePoint, listing: TableListing) {
        self.extend_trust(now);
        let listed: BTreeSet<&RowKey> = listing.rows.iter().map(|change| &change.key).collect();
        let mut deleted = Vec::new();
        for entry in self.store.iter() {
            let GossipEntry::Row(stored) = entry else { continue };
            let read = listing.reads.iter().find(|read| read.table == stored.key.table());
            let Some(read) = read.filter(|read| stored.version < read.revision) else { continue };
            if stored.content == RowContent::Tombstone || listed.contains(&stored.key) {
                continue;
            }
            deleted.push(RowChange {
                key: stored.key.clone(),
                version: read.revision,
                content: RowContent::Tombstone,
            });
        }
        drop(listed);
        for change in listing.rows.into_iter().chain(deleted) {
            self.adopt_row(change, None);
        }
        self.mark_all_rows_received();
    }

    pub(super) fn adopt_row(&mut self, change: RowChange, from: Option<LinkKey>) -> bool {
        let is_new = self.store_entry(GossipEntry::Row(change.clone()), from);
        if is_new {
            self.effects.push(PeerEffect::RowAdopted(change));
        }
        is_new
    }

    pub(super) fn mark_all_rows_received(&mut self) {
        if self.has_all_rows {
            return;
        }
        self.has_all_rows = true;
        self.effects.push(PeerEffect::AllRowsReceived);
    }
}
