//! Overlay network: which members keep links to each other.
//!
//! Members are placed on several rings, each ordered by another hash of their keys, and every
//! member connects to its successor on each ring. The degree of each member is then near twice the
//! number of rings, whereas plain rendezvous hashing gives some members several times the mean.
//! Using rings as an expander graph follows Rapid (Suresh et al., 2018). Successors are taken from
//! another failure domain where there is one, so that a domain that is cut off is always noticed.

use std::collections::{BTreeMap, BTreeSet};

use xxhash_rust::xxh3;

use crate::{MemberKey, MemberTable};

/// Number of rings. Each member connects to as many others, so the mean degree is twice this
/// number.
const RINGS: u64 = 3;
/// Up to this many members, each keeps a link to every other.
const FULL_MESH_MAX: usize = 7;

/// The links that a set of members should keep.
#[derive(Debug, Clone, Default)]
pub struct Overlay {
    outbound: BTreeMap<MemberKey, BTreeSet<MemberKey>>,
    neighbors: BTreeMap<MemberKey, BTreeSet<MemberKey>>,
}

impl Overlay {
    /// Chooses the links among the members that may run.
    pub fn build(members: &MemberTable) -> Self {
        let domains: BTreeMap<MemberKey, &str> = members
            .iter()
            .filter(|(_, record)| record.may_run())
            .map(|(key, record)| (key, record.row.failure_domain.as_str()))
            .collect();
        let mut overlay = Self::default();
        if domains.len() <= FULL_MESH_MAX {
            overlay.add_mesh_links(&domains);
        } else {
            for ring in 0..RINGS {
                overlay.add_ring_links(ring, &domains);
            }
        }
        overlay
    }

    /// Members that a member connects to.
    pub fn outbound(&self, key: MemberKey) -> impl Iterator<Item = MemberKey> {
        self.outbound.get(&key).into_iter().flatten().copied()
    }

    /// Members that a member has a link with, whichever side connects.
    pub fn neighbors(&self, key: MemberKey) -> impl Iterator<Item = MemberKey> {
        self.neighbors.get(&key).into_iter().flatten().copied()
    }

    /// Whether two members should have a link.
    pub fn has_link(&self, left: MemberKey, right: MemberKey) -> bool {
        self.neighbors.get(&left).is_some_and(|neighbors| neighbors.contains(&right))
    }

    /// Whether each member should have a link to every other.
    pub fn is_full_mesh(&self) -> bool {
        self.neighbors.len() <= FULL_MESH_MAX
    }

    /// Links every pair. The side that connects is chosen by hash, so that no member has to connect
    /// to all others.
    fn add_mesh_links(&mut self, domains: &BTreeMap<MemberKey, &str>) {
        let keys: Vec<MemberKey> = domains.keys().copied().collect();
        for (index, left) in keys.iter().enumerate() {
            for right in &keys[index + 1..] {
                let connects_to_higher = ring_hash(left.0, *right).is_multiple_of(2);
                let (from, to) = if connects_to_higher { (*left, *right) } else { (*right, *left) };
                self.add_link(from, to);
            }
        }
    }

    fn add_ring_links(&mut self, ring: u64, domains: &BTreeMap<MemberKey, &str>) {
        let mut order: Vec<MemberKey> = domains.keys().copied().collect();
        order.sort_by_key(|key| ring_hash(ring, *key));
        for index in 0..order.len() {
            let from = order[index];
            let successors = order[index + 1..].iter().chain(&order[..index]).copied();
            let is_unlinked = |to: &MemberKey| !self.has_link(from, *to);
            let crosses_domain = |to: &MemberKey| domains.get(to) != domains.get(&from);
            let in_other_domain = successors.clone().filter(is_unlinked).find(crosses_domain);
            if let Some(to) = in_other_domain.or_else(|| successors.clone().find(is_unlinked)) {
                self.add_link(from, to);
            }
        }
    }

    fn add_link(&mut self, from: MemberKey, to: MemberKey) {
        self.outbound.entry(from).or_default().insert(to);
        self.neighbors.entry(from).or_default().insert(to);
        self.neighbors.entry(to).or_default().insert(from);
    }
}

fn ring_hash(ring: u64, key: MemberKey) -> u64 {
    xxh3::xxh3_64_with_seed(&key.0.to_le_bytes(), ring)
}
