//! Which members keep links to each other.
//!
//! Members stand on several rings, each ordered by another hash of their keys, and every member
//! dials its successor on each ring. The degree is near twice the number of rings for all, where
//! plain rendezvous choice loads some members with several times the mean. Rings as an expander
//! are after Rapid (Suresh et al., 2018). Successors are taken from another failure domain
//! where there is one, so that no domain can be cut off without being noticed.

use std::collections::{BTreeMap, BTreeSet};

use xxhash_rust::xxh3;

use crate::{MemberKey, MemberTable};

const RINGS: u64 = 3;
/// Up to this many members, each has a link to every other.
const FULL_MESH_MAX: usize = 7;

/// The links that a set of members should keep.
#[derive(Debug, Clone, Default)]
pub struct Overlay {
    dialled: BTreeMap<MemberKey, BTreeSet<MemberKey>>,
    neighbors: BTreeMap<MemberKey, BTreeSet<MemberKey>>,
}

impl Overlay {
    /// Lays links among the members that may run.
    pub fn of(members: &MemberTable) -> Self {
        let domains: BTreeMap<MemberKey, &str> = members
            .iter()
            .filter(|(_, record)| record.may_run())
            .map(|(key, record)| (key, record.row.failure_domain.as_str()))
            .collect();
        let mut overlay = Self::default();
        if domains.len() <= FULL_MESH_MAX {
            overlay.lay_mesh(&domains);
        } else {
            for ring in 0..RINGS {
                overlay.lay_ring(ring, &domains);
            }
        }
        overlay
    }

    /// Members that a member dials.
    pub fn dialled(&self, key: MemberKey) -> impl Iterator<Item = MemberKey> {
        self.dialled.get(&key).into_iter().flatten().copied()
    }

    /// Members that a member has a link with, whoever dials.
    pub fn neighbors(&self, key: MemberKey) -> impl Iterator<Item = MemberKey> {
        self.neighbors.get(&key).into_iter().flatten().copied()
    }

    /// Whether two members have a link.
    pub fn has_link(&self, one: MemberKey, two: MemberKey) -> bool {
        self.neighbors.get(&one).is_some_and(|all| all.contains(&two))
    }

    /// Whether each member has a link to every other.
    pub fn is_full_mesh(&self) -> bool {
        self.neighbors.len() <= FULL_MESH_MAX
    }

    /// Of each pair one side dials, chosen by hash so that no member dials all others.
    fn lay_mesh(&mut self, domains: &BTreeMap<MemberKey, &str>) {
        let keys: Vec<MemberKey> = domains.keys().copied().collect();
        for (index, one) in keys.iter().enumerate() {
            for two in &keys[index + 1..] {
                let dials_up = ring_hash(one.0, *two).is_multiple_of(2);
                let (from, to) = if dials_up { (*one, *two) } else { (*two, *one) };
                self.add(from, to);
            }
        }
    }

    fn lay_ring(&mut self, ring: u64, domains: &BTreeMap<MemberKey, &str>) {
        let mut order: Vec<MemberKey> = domains.keys().copied().collect();
        order.sort_by_key(|key| ring_hash(ring, *key));
        for index in 0..order.len() {
            let from = order[index];
            let after = order[index + 1..].iter().chain(&order[..index]).copied();
            let unlinked = |to: &MemberKey| !self.has_link(from, *to);
            let crossing = |to: &MemberKey| domains.get(to) != domains.get(&from);
            let crossed = after.clone().filter(unlinked).find(crossing);
            if let Some(to) = crossed.or_else(|| after.clone().find(unlinked)) {
                self.add(from, to);
            }
        }
    }

    fn add(&mut self, from: MemberKey, to: MemberKey) {
        self.dialled.entry(from).or_default().insert(to);
        self.neighbors.entry(from).or_default().insert(to);
        self.neighbors.entry(to).or_default().insert(from);
    }
}

fn ring_hash(ring: u64, key: MemberKey) -> u64 {
    xxh3::xxh3_64_with_seed(&key.0.to_le_bytes(), ring)
}
