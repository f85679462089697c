//! Store of versioned entries that gossip replicates to every router, with digests to find
//! differences between two stores.
//!
//! An entry replaces another only at a higher version, so the order in which copies arrive does
//! not matter. Digests are kept per bucket, by hash of the key: two routers find the entries that
//! differ by exchanging bucket digests and then the versions of a few buckets.

mod register;

pub use crate::register::{BUCKET_COUNT, EntryStore, EntryVersion, Versioned};
