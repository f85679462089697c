//! The register of entries.

use std::collections::{BTreeMap, BTreeSet};

use base_types::key_types;
use xxhash_rust::xxh3;

/// Buckets of one class.
const CLASS_BUCKETS: usize = 32;
const CLASSES: usize = 2;
/// Buckets of a register.
pub const BUCKETS: usize = CLASS_BUCKETS * CLASSES;

/// An entry with a key and a version.
pub trait Versioned {
    /// Hash of the entry's key.
    fn spread_key(&self) -> u64;

    /// Version; a higher one replaces a lower one.
    fn spread_version(&self) -> u64;

    /// Whether the entry is of the first class, which has a digest of its own.
    fn is_first_class(&self) -> bool;

    /// Whether the entry counts in digests; what is about to be forgotten does not.
    fn is_digested(&self) -> bool;
}

key_types! {
    /// A key and the version at which it is held.
    pub struct EntryVersion {
        /// Hash of the entry's key.
        pub key: u64,
        /// Version held.
        pub version: u64,
    }
}

/// Entries by the hash of their key.
#[derive(Debug, Clone)]
pub struct Register<Entry> {
    entries: BTreeMap<u64, Entry>,
    buckets: [u32; BUCKETS],
    members: Vec<BTreeSet<u64>>,
}

impl<Entry> Default for Register<Entry> {
    fn default() -> Self {
        Self {
            entries: BTreeMap::new(),
            buckets: [0; BUCKETS],
            members: vec![BTreeSet::new(); BUCKETS],
        }
    }
}

impl<Entry: Versioned> Register<Entry> {
    /// Adopts an entry whose version is above the one held; returns whether it was adopted.
    pub fn adopt(&mut self, entry: Entry) -> bool {
        let key = entry.spread_key();
        if self.version(key).is_some_and(|version| version >= entry.spread_version()) {
            return false;
        }
        self.forget(key);
        let bucket = bucket_of(&entry);
        if entry.is_digested() {
            self.buckets[bucket] ^= entry_digest(&entry);
        }
        self.members[bucket].insert(key);
        self.entries.insert(key, entry);
        true
    }

    /// Drops an entry.
    pub fn forget(&mut self, key: u64) {
        let Some(entry) = self.entries.remove(&key) else { return };
        let bucket = bucket_of(&entry);
        if entry.is_digested() {
            self.buckets[bucket] ^= entry_digest(&entry);
        }
        self.members[bucket].remove(&key);
    }

    /// The entry of a key.
    pub fn get(&self, key: u64) -> Option<&Entry> {
        self.entries.get(&key)
    }

    /// Version at which a key is held.
    pub fn version(&self, key: u64) -> Option<u64> {
        self.entries.get(&key).map(Versioned::spread_version)
    }

    /// All entries.
    pub fn iter(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// Digest of the entries of the first class.
    pub fn first_digest(&self) -> u32 {
        fold(&self.buckets[..CLASS_BUCKETS])
    }

    /// Digest of the other entries.
    pub fn second_digest(&self) -> u32 {
        fold(&self.buckets[CLASS_BUCKETS..])
    }

    /// Digests of all buckets.
    pub fn buckets(&self) -> Vec<u32> {
        self.buckets.to_vec()
    }

    /// Buckets whose digests differ from those of another register.
    pub fn differing(&self, buckets: &[u32]) -> Vec<u8> {
        let differs = |index: &usize| buckets.get(*index) != Some(&self.buckets[*index]);
        (0..BUCKETS).filter(differs).map(|index| index as u8).collect()
    }

    /// Versions of all digested entries of one bucket.
    pub fn bucket_versions(&self, bucket: u8) -> impl Iterator<Item = EntryVersion> {
        let keys = self.members.get(usize::from(bucket)).into_iter().flatten();
        let entries = keys.filter_map(|key| self.entries.get(key));
        entries
            .filter(|entry| entry.is_digested())
            .map(|entry| EntryVersion { key: entry.spread_key(), version: entry.spread_version() })
    }
}

fn bucket_of(entry: &impl Versioned) -> usize {
    let class = if entry.is_first_class() { 0 } else { CLASS_BUCKETS };
    class + entry.spread_key() as usize % CLASS_BUCKETS
}

fn entry_digest(entry: &impl Versioned) -> u32 {
    xxh3::xxh3_64_with_seed(&entry.spread_key().to_le_bytes(), entry.spread_version()) as u32
}

/// Folds bucket digests so that equal ones in two buckets do not cancel out.
fn fold(buckets: &[u32]) -> u32 {
    let bytes: Vec<u8> = buckets.iter().flat_map(|bucket| bucket.to_le_bytes()).collect();
    xxh3::xxh3_64(&bytes) as u32
}
