//! Which targets hold which parts of prompts, as far as one router knows.

use std::collections::{BTreeMap, BTreeSet};

use base_types::TimePoint;

/// Targets that are remembered for one part; the ones used longest ago go first. All targets of a
/// pool come to hold the part that all its prompts begin with.
const HOLDERS_MAX: usize = 256;

/// Holders of prompt parts; the parts used longest ago are forgotten first.
#[derive(Debug)]
pub struct PartHolders {
    parts_max: usize,
    parts: BTreeMap<u64, PartRecord>,
    order: BTreeSet<(TimePoint, u64)>,
}

#[derive(Debug)]
struct PartRecord {
    used: TimePoint,
    /// In order of their targets.
    holders: Vec<PartHolder>,
}

#[derive(Debug, Clone, Copy)]
struct PartHolder {
    target: u64,
    since: TimePoint,
    used: TimePoint,
}

impl PartRecord {
    fn place_of(&self, target: u64) -> Result<usize, usize> {
        self.holders.binary_search_by_key(&target, |holder| holder.target)
    }
}

impl PartHolders {
    /// A table for a number of parts.
    pub fn new(parts_max: usize) -> Self {
        Self { parts_max, parts: BTreeMap::new(), order: BTreeSet::new() }
    }

    /// A target, by the hash of its identity, holds a part.
    pub fn put_held(&mut self, now: TimePoint, part: u64, target: u64) {
        self.put_since(now, part, target, TimePoint(0));
    }

    /// A target is about to read a part, unless it holds it already.
    pub fn put(&mut self, now: TimePoint, part: u64, target: u64) {
        self.put_since(now, part, target, now);
    }

    fn put_since(&mut self, now: TimePoint, part: u64, target: u64, since: TimePoint) {
        let record =
            self.parts.entry(part).or_insert(PartRecord { used: now, holders: Vec::new() });
        self.order.remove(&(record.used, part));
        record.used = now;
        self.order.insert((now, part));
        match record.place_of(target) {
            Ok(place) => {
                let holder = &mut record.holders[place];
                holder.used = now;
                holder.since = holder.since.min(since);
            }
            Err(place) => record.holders.insert(place, PartHolder { target, since, used: now }),
        }
        if record.holders.len() > HOLDERS_MAX {
            let oldest = record.holders.iter().enumerate().min_by_key(|(_, holder)| holder.used);
            if let Some(index) = oldest.map(|(index, _)| index) {
                record.holders.remove(index);
            }
        }
        while self.parts.len() > self.parts_max {
            let Some((_, oldest)) = self.order.pop_first() else { return };
            self.parts.remove(&oldest);
        }
    }

    /// A target no longer holds a part.
    pub fn take(&mut self, part: u64, target: u64) {
        let Some(record) = self.parts.get_mut(&part) else { return };
        record.holders.retain(|holder| holder.target != target);
        if record.holders.is_empty() {
            self.order.remove(&(record.used, part));
            self.parts.remove(&part);
        }
    }

    /// A target holds nothing any more.
    pub fn forget_target(&mut self, target: u64) {
        for record in self.parts.values_mut() {
            record.holders.retain(|holder| holder.target != target);
        }
    }

    /// Whether any holder of a part is known.
    pub fn knows(&self, part: u64) -> bool {
        self.parts.contains_key(&part)
    }

    /// The point from which a target holds a part, or is about to read it.
    pub fn held_since(&self, part: u64, target: u64) -> Option<TimePoint> {
        let record = self.parts.get(&part)?;
        record.place_of(target).ok().map(|place| record.holders[place].since)
    }

    /// The parts used last and their holders, the newest first.
    pub fn newest(&self, count: usize) -> impl Iterator<Item = (u64, Vec<u64>)> {
        self.order.iter().rev().take(count).filter_map(|(_, part)| {
            let record = self.parts.get(part)?;
            Some((*part, record.holders.iter().map(|holder| holder.target).collect()))
        })
    }

    /// Number of parts that a target holds.
    pub fn count_of(&self, target: u64) -> usize {
        self.parts.values().filter(|record| record.place_of(target).is_ok()).count()
    }

    /// Number of parts.
    pub fn len(&self) -> usize {
        self.parts.len()
    }

    /// Whether no part is known.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }
}
