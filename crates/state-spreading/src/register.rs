//! Store of versioned entries with bucket digests.

use std::collections::{BTreeMap, BTreeSet};

use base_types::key_types;
use xxhash_rust::xxh3;

/// Buckets of one digest group.
const BUCKETS_PER_GROUP: usize = 32;
const GROUP_COUNT: usize = 2;
/// Buckets of a store, over both digest groups.
pub const BUCKET_COUNT: usize = BUCKETS_PER_GROUP * GROUP_COUNT;

/// An entry that an [`EntryStore`] keeps: it has a key, a version, and a place in the digests.
pub trait Versioned {
    /// Hash that identifies the entry; equal for all versions of one entry.
    fn entry_key(&self) -> u64;

    /// Version of the entry; a higher version replaces a lower one.
    fn entry_version(&self) -> u64;

    /// Whether the entry belongs to the primary digest group, which has its own digest so that it
    /// can be compared alone; all other entries belong to the secondary group.
    fn is_in_primary_group(&self) -> bool;

    /// Whether the entry counts in digests; an entry that records a down member or a removed host
    /// does not, and is not repaired by sync.
    fn is_in_digest(&self) -> bool;
}

key_types! {
    /// An entry's key and version, without its content.
    pub struct EntryVersion {
        /// Hash of the entry's key.
        pub key: u64,
        /// Version in the sender's store.
        pub version: u64,
    }
}

/// The newest known version of each entry, by key, with digests for comparison with other stores.
#[derive(Debug, Clone)]
pub struct EntryStore<Entry> {
    entries: BTreeMap<u64, Entry>,
    bucket_digests: [u32; BUCKET_COUNT],
    bucket_keys: Vec<BTreeSet<u64>>,
}

impl<Entry> Default for EntryStore<Entry> {
    fn default() -> Self {
        Self {
            entries: BTreeMap::new(),
            bucket_digests: [0; BUCKET_COUNT],
            bucket_keys: vec![BTreeSet::new(); BUCKET_COUNT],
        }
    }
}

impl<Entry: Versioned> EntryStore<Entry> {
    /// Stores an entry if its version is above the current one; returns whether it was stored.
    pub fn insert_newer(&mut self, entry: Entry) -> bool {
        let key = entry.entry_key();
        if self.version(key).is_some_and(|version| version >= entry.entry_version()) {
            return false;
        }
        self.remove(key);
        let bucket = bucket_index(&entry);
        if entry.is_in_digest() {
            self.bucket_digests[bucket] ^= entry_digest(&entry);
        }
        self.bucket_keys[bucket].insert(key);
        self.entries.insert(key, entry);
        true
    }

    /// Removes an entry, without a tombstone: an old copy that arrives later is stored again.
    pub fn remove(&mut self, key: u64) {
        let Some(entry) = self.entries.remove(&key) else { return };
        let bucket = bucket_index(&entry);
        if entry.is_in_digest() {
            self.bucket_digests[bucket] ^= entry_digest(&entry);
        }
        self.bucket_keys[bucket].remove(&key);
    }

    /// The entry of a key.
    pub fn get(&self, key: u64) -> Option<&Entry> {
        self.entries.get(&key)
    }

    /// Current version of an entry; `None` when the store has no entry of that key.
    pub fn version(&self, key: u64) -> Option<u64> {
        self.entries.get(&key).map(Versioned::entry_version)
    }

    /// All entries, in the order of their keys.
    pub fn iter(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// Digest over all entries of the primary group.
    pub fn primary_group_digest(&self) -> u32 {
        combine_digests(&self.bucket_digests[..BUCKETS_PER_GROUP])
    }

    /// Digest over all entries of the secondary group.
    pub fn secondary_group_digest(&self) -> u32 {
        combine_digests(&self.bucket_digests[BUCKETS_PER_GROUP..])
    }

    /// Digest of each bucket, those of the primary group first.
    pub fn bucket_digests(&self) -> Vec<u32> {
        self.bucket_digests.to_vec()
    }

    /// Buckets whose digests differ from those of another store.
    pub fn differing_buckets(&self, other_digests: &[u32]) -> Vec<u8> {
        let differs =
            |index: &usize| other_digests.get(*index) != Some(&self.bucket_digests[*index]);
        (0..BUCKET_COUNT).filter(differs).map(|index| index as u8).collect()
    }

    /// Keys and versions of the entries in one bucket that count in digests.
    pub fn bucket_versions(&self, bucket: u8) -> impl Iterator<Item = EntryVersion> {
        let keys = self.bucket_keys.get(usize::from(bucket)).into_iter().flatten();
        let entries = keys.filter_map(|key| self.entries.get(key));
        entries
            .filter(|entry| entry.is_in_digest())
            .map(|entry| EntryVersion { key: entry.entry_key(), version: entry.entry_version() })
    }
}

fn bucket_index(entry: &impl Versioned) -> usize {
    let group_start = if entry.is_in_primary_group() { 0 } else { BUCKETS_PER_GROUP };
    group_start + entry.entry_key() as usize % BUCKETS_PER_GROUP
}

fn entry_digest(entry: &impl Versioned) -> u32 {
    xxh3::xxh3_64_with_seed(&entry.entry_key().to_le_bytes(), entry.entry_version()) as u32
}

/// Hashes the bucket digests; XOR-ing them would cancel equal digests of two buckets.
fn combine_digests(digests: &[u32]) -> u32 {
    let bytes: Vec<u8> = digests.iter().flat_map(|digest| digest.to_le_bytes()).collect();
    xxh3::xxh3_64(&bytes) as u32
}
