//! Rows of the tables.

use base_types::TimePoint;
use state_tables::{RowChange, RowContent};

use crate::{LinkKey, PeerEffect, RowListing, RowTable, SpreadEntry, core::PeerCore};

impl PeerCore {
    pub(super) fn on_row(&mut self, now: TimePoint, change: RowChange) {
        self.trust(now);
        self.adopt_row(change, None);
    }

    /// Takes a whole table; rows held at an older version that the platform no longer names
    /// were deleted while this router did not watch.
    pub(super) fn on_listing(&mut self, now: TimePoint, listing: RowListing) {
        self.trust(now);
        let mut gone = Vec::new();
        for entry in self.register.iter() {
            let SpreadEntry::Row(held) = entry else { continue };
            let is_gone = listing.table.holds(&held.key)
                && held.version < listing.revision
                && held.content != RowContent::Tombstone
                && !listing.keys.contains(&held.key);
            if is_gone {
                gone.push(RowChange {
                    key: held.key.clone(),
                    version: listing.revision,
                    content: RowContent::Tombstone,
                });
            }
        }
        for change in listing.rows.into_iter().chain(gone) {
            self.adopt_row(change, None);
        }
        self.listed_tables.insert(listing.table);
        if self.listed_tables.contains(&RowTable::Routes)
            && self.listed_tables.contains(&RowTable::Pools)
        {
            self.complete_tables();
        }
    }

    pub(super) fn adopt_row(&mut self, change: RowChange, from: Option<LinkKey>) -> bool {
        let is_new = self.register_entry(SpreadEntry::Row(change.clone()), from);
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
