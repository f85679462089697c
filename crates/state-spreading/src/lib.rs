//! Versioned entries that every router is to hold, with digests that show what differs.
//!
//! An entry is adopted only at a higher version, so that the order in which copies arrive does
//! not matter. Digests are kept in buckets by hash of the key, so that two routers find what
//! differs by exchanging bucket digests and then the versions of a few buckets.

mod register;

pub use crate::register::{BUCKETS, EntryVersion, Register, Versioned};
