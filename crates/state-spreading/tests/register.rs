//! Stores that receive the same entries in any order end up equal, and digests differ exactly when
//! entries do.

use proptest::prelude::*;
use state_spreading::{EntryStore, Versioned};

#[derive(Debug, Clone, Copy, PartialEq)]
struct Entry {
    key: u64,
    version: u64,
}

impl Versioned for Entry {
    fn entry_key(&self) -> u64 {
        self.key
    }

    fn entry_version(&self) -> u64 {
        self.version
    }

    fn is_in_primary_group(&self) -> bool {
        self.key.is_multiple_of(2)
    }

    fn is_in_digest(&self) -> bool {
        true
    }
}

fn any_entries() -> impl Strategy<Value = Vec<Entry>> {
    let entry = (0..40_u64, 1..6_u64).prop_map(|(key, version)| Entry { key, version });
    prop::collection::vec(entry, 0..80)
}

fn store_of(entries: &[Entry]) -> EntryStore<Entry> {
    let mut store = EntryStore::default();
    for entry in entries {
        store.insert_newer(*entry);
    }
    store
}

fn contents(store: &EntryStore<Entry>) -> Vec<Entry> {
    store.iter().copied().collect()
}

proptest! {
    #[test]
    fn order_and_duplicates_do_not_matter(received in any_entries(), seed in any::<u64>()) {
        let mut shuffled: Vec<Entry> = received.iter().chain(&received).copied().collect();
        shuffled.sort_by_key(|entry| (entry.key ^ seed).wrapping_mul(entry.version | seed));
        let (left, right) = (store_of(&received), store_of(&shuffled));
        prop_assert_eq!(contents(&left), contents(&right));
        prop_assert_eq!(left.bucket_digests(), right.bucket_digests());
    }

    #[test]
    fn digests_differ_exactly_when_entries_do(first in any_entries(), second in any_entries()) {
        let (left, right) = (store_of(&first), store_of(&second));
        let is_same = contents(&left) == contents(&right);
        let digests = (left.primary_group_digest(), left.secondary_group_digest());
        prop_assert_eq!(
            is_same,
            digests == (right.primary_group_digest(), right.secondary_group_digest())
        );
        prop_assert_eq!(is_same, left.differing_buckets(&right.bucket_digests()).is_empty());
    }

    #[test]
    fn differing_buckets_contain_all_differences(first in any_entries(), second in any_entries()) {
        let (mut left, right) = (store_of(&first), store_of(&second));
        for bucket in right.differing_buckets(&left.bucket_digests()) {
            for newer in right.bucket_versions(bucket).collect::<Vec<_>>() {
                left.insert_newer(Entry { key: newer.key, version: newer.version });
            }
        }
        for entry in right.iter() {
            prop_assert!(left.version(entry.key) >= Some(entry.version));
        }
    }

    #[test]
    fn versions_never_decrease(received in any_entries()) {
        let mut store = EntryStore::default();
        for entry in received {
            let previous = store.version(entry.key);
            let is_new = store.insert_newer(entry);
            prop_assert_eq!(is_new, previous < Some(entry.version));
            prop_assert!(store.version(entry.key) >= previous);
        }
    }
}
