//! Registers that hear the same entries in any order hold the same, and digests say when not.

use proptest::prelude::*;
use state_spreading::{Register, Versioned};

#[derive(Debug, Clone, Copy, PartialEq)]
struct Entry {
    key: u64,
    version: u64,
}

impl Versioned for Entry {
    fn spread_key(&self) -> u64 {
        self.key
    }

    fn spread_version(&self) -> u64 {
        self.version
    }

    fn is_first_class(&self) -> bool {
        self.key.is_multiple_of(2)
    }

    fn is_digested(&self) -> bool {
        true
    }
}

fn entries() -> impl Strategy<Value = Vec<Entry>> {
    let entry = (0..40_u64, 1..6_u64).prop_map(|(key, version)| Entry { key, version });
    prop::collection::vec(entry, 0..80)
}

fn register(entries: &[Entry]) -> Register<Entry> {
    let mut register = Register::default();
    for entry in entries {
        register.adopt(*entry);
    }
    register
}

fn content(register: &Register<Entry>) -> Vec<Entry> {
    register.iter().copied().collect()
}

proptest! {
    #[test]
    fn order_and_repeats_do_not_matter(heard in entries(), seed in any::<u64>()) {
        let mut shuffled: Vec<Entry> = heard.iter().chain(&heard).copied().collect();
        shuffled.sort_by_key(|entry| (entry.key ^ seed).wrapping_mul(entry.version | seed));
        let (one, two) = (register(&heard), register(&shuffled));
        prop_assert_eq!(content(&one), content(&two));
        prop_assert_eq!(one.buckets(), two.buckets());
    }

    #[test]
    fn digests_differ_exactly_when_entries_do(left in entries(), right in entries()) {
        let (one, two) = (register(&left), register(&right));
        let same = content(&one) == content(&two);
        let digests = (one.first_digest(), one.second_digest());
        prop_assert_eq!(same, digests == (two.first_digest(), two.second_digest()));
        prop_assert_eq!(same, one.differing(&two.buckets()).is_empty());
    }

    #[test]
    fn the_differing_buckets_hold_all_that_differs(left in entries(), right in entries()) {
        let (mut one, two) = (register(&left), register(&right));
        for bucket in two.differing(&one.buckets()) {
            for held in two.bucket_versions(bucket).collect::<Vec<_>>() {
                one.adopt(Entry { key: held.key, version: held.version });
            }
        }
        for entry in two.iter() {
            prop_assert!(one.version(entry.key) >= Some(entry.version));
        }
    }

    #[test]
    fn versions_never_fall(heard in entries()) {
        let mut register = Register::default();
        for entry in heard {
            let before = register.version(entry.key);
            let is_new = register.adopt(entry);
            prop_assert_eq!(is_new, before < Some(entry.version));
            prop_assert!(register.version(entry.key) >= before);
        }
    }
}
