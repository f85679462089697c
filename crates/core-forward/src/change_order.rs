//! Order of the platform's changes, also across its restores from a copy.
//!
//! A platform that was restored gives revisions out again that it gave out before. Each restore begins a new era, and
//! any change of a later era is later than all changes of an earlier one.

use base_types::key_types;

/// Low bits of the number, which hold the revision.
const REVISION_BITS: u32 = 48;

key_types! {
    /// Place of a change among all changes of the platform. Its number stands where messages have a revision; in the
    /// first era, number 0, both are the same.
    pub struct ChangeOrder(u64);
}

impl ChangeOrder {
    /// The place of a revision of an era. Revisions of 48 bits and more count as the largest one.
    pub fn new(era: u16, revision: u64) -> Self {
        let revision_max = (1 << REVISION_BITS) - 1;
        Self(u64::from(era) << REVISION_BITS | revision.min(revision_max))
    }

    /// The place that a message names.
    pub fn from_number(number: u64) -> Self {
        Self(number)
    }

    /// The number for messages.
    pub fn number(self) -> u64 {
        self.0
    }

    /// The era of the change.
    pub fn era(self) -> u16 {
        (self.0 >> REVISION_BITS) as u16
    }
}
