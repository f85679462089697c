//! Choice of members by rendezvous hashing over the live members (Thaler and Ravishankar, 1998).

use std::collections::{BTreeMap, BTreeSet};

use base_types::FailureDomainName;
use xxhash_rust::xxh3;

use crate::{MemberKey, MemberRecord, MemberTable};

const WATCHERS_PER_DOMAIN: usize = 2;
/// Seed of the hash that selects watchers; a constant, so that all routers select the same ones.
const WATCHER_SEED: u64 = 1;
/// Most routers in one entry answer, the answer that tells a caller which routers to use.
const ENTRIES_MAX: usize = 8;
/// Most routers in an entry answer that are in the answering router's own failure domain.
const LOCAL_ENTRIES_MAX: usize = 4;

/// Members that watch the platform for the others: two in each failure domain.
pub fn platform_watchers(members: &MemberTable) -> BTreeSet<MemberKey> {
    let mut domains: BTreeMap<&FailureDomainName, Vec<MemberKey>> = BTreeMap::new();
    for (key, record) in members.iter().filter(|(_, record)| record.is_up()) {
        domains.entry(&record.row.failure_domain).or_default().push(key);
    }
    let mut watchers = BTreeSet::new();
    for mut keys in domains.into_values() {
        keys.sort_by_key(|key| std::cmp::Reverse(rendezvous_score(WATCHER_SEED, *key)));
        watchers.extend(keys.into_iter().take(WATCHERS_PER_DOMAIN));
    }
    watchers
}

/// Selects and orders members for an entry answer: at most `LOCAL_ENTRIES_MAX` of the own failure
/// domain, at most `ENTRIES_MAX` in all. Members of the own failure domain come first, then the
/// others, with one member of each failure domain in turn. Within each group the order follows the
/// rendezvous score for `affinity`.
pub fn rank_entry_routers<'a>(
    members: impl Iterator<Item = &'a MemberRecord>,
    own_domain: &FailureDomainName,
    affinity: u64,
) -> Vec<&'a MemberRecord> {
    let mut ranked: Vec<&MemberRecord> = members.collect();
    ranked.sort_by_key(|record| std::cmp::Reverse(rendezvous_score(affinity, record.key())));
    let (mut local, remote): (Vec<_>, Vec<_>) =
        ranked.into_iter().partition(|record| record.row.failure_domain == *own_domain);
    local.truncate(LOCAL_ENTRIES_MAX);
    let remote = interleave_domains(remote);
    local.into_iter().chain(remote).take(ENTRIES_MAX).collect()
}

/// Moves the first of each failure domain to the front, then the second of each, and so on.
fn interleave_domains(ranked: Vec<&MemberRecord>) -> Vec<&MemberRecord> {
    let mut domain_counts: BTreeMap<&FailureDomainName, usize> = BTreeMap::new();
    let mut with_turns = Vec::with_capacity(ranked.len());
    for record in ranked {
        let turn = domain_counts.entry(&record.row.failure_domain).or_default();
        with_turns.push((*turn, record));
        *turn += 1;
    }
    with_turns.sort_by_key(|(turn, _)| *turn);
    with_turns.into_iter().map(|(_, record)| record).collect()
}

fn rendezvous_score(affinity: u64, key: MemberKey) -> u64 {
    xxh3::xxh3_64_with_seed(&key.0.to_le_bytes(), affinity)
}
