//! Assignments by rendezvous hashing (Thaler and Ravishankar, 1998) over the live members.

use std::collections::{BTreeMap, BTreeSet};

use base_types::DomainName;
use xxhash_rust::xxh3;

use crate::{MemberKey, MemberRecord, MemberTable};

const WATCHERS_A_DOMAIN: usize = 2;
const WATCH_AFFINITY: u64 = 1;
/// Addresses of one entry answer.
const ENTRIES_MAX: usize = 8;
/// Addresses of an entry answer that lie in the asked router's own failure domain.
const OWN_ENTRIES_MAX: usize = 4;

/// Members that watch the platform for the others: a few in each failure domain.
pub fn table_watchers(members: &MemberTable) -> BTreeSet<MemberKey> {
    let mut domains: BTreeMap<&DomainName, Vec<MemberKey>> = BTreeMap::new();
    for (key, record) in members.iter().filter(|(_, record)| record.is_up()) {
        domains.entry(&record.row.failure_domain).or_default().push(key);
    }
    let mut watchers = BTreeSet::new();
    for mut keys in domains.into_values() {
        keys.sort_by_key(|key| std::cmp::Reverse(score(WATCH_AFFINITY, *key)));
        watchers.extend(keys.into_iter().take(WATCHERS_A_DOMAIN));
    }
    watchers
}

/// Orders members for an entry answer: the own failure domain first, each part by rendezvous
/// of the affinity, the other part taking one member of each failure domain in turn.
pub fn entry_order<'a>(
    members: impl Iterator<Item = &'a MemberRecord>,
    own: &DomainName,
    affinity: u64,
) -> Vec<&'a MemberRecord> {
    let mut ranked: Vec<&MemberRecord> = members.collect();
    ranked.sort_by_key(|record| std::cmp::Reverse(score(affinity, record.key())));
    let (mut near, far): (Vec<_>, Vec<_>) =
        ranked.into_iter().partition(|record| record.row.failure_domain == *own);
    near.truncate(OWN_ENTRIES_MAX);
    let far = take_turns(far);
    near.into_iter().chain(far).take(ENTRIES_MAX).collect()
}

/// Moves the first of each failure domain to the front, then the second of each, and so on.
fn take_turns(ranked: Vec<&MemberRecord>) -> Vec<&MemberRecord> {
    let mut taken: BTreeMap<&DomainName, usize> = BTreeMap::new();
    let mut turns = Vec::with_capacity(ranked.len());
    for record in ranked {
        let turn = taken.entry(&record.row.failure_domain).or_default();
        turns.push((*turn, record));
        *turn += 1;
    }
    turns.sort_by_key(|(turn, _)| *turn);
    turns.into_iter().map(|(_, record)| record).collect()
}

fn score(affinity: u64, key: MemberKey) -> u64 {
    xxh3::xxh3_64_with_seed(&key.0.to_le_bytes(), affinity)
}
