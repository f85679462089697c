//! Directory of the targets that cache each prompt segment, as known to one router.

use std::collections::{BTreeMap, BTreeSet};

use base_types::TimePoint;

/// Largest number of holders kept for one segment; the least recently used is evicted. All targets
/// of a pool eventually cache the segment that all its prompts start with.
const HOLDERS_PER_SEGMENT_MAX: usize = 256;

/// Maps prompt segments to the targets that cache them; the least recently used segment is evicted.
#[derive(Debug)]
pub struct SegmentDirectory {
    segments_max: usize,
    segments: BTreeMap<u64, SegmentRecord>,
    by_last_use: BTreeSet<(TimePoint, u64)>,
}

#[derive(Debug)]
struct SegmentRecord {
    last_used_at: TimePoint,
    /// Sorted by target hash.
    holders: Vec<SegmentHolder>,
}

#[derive(Debug, Clone, Copy)]
struct SegmentHolder {
    target_hash: u64,
    prefill_started_at: TimePoint,
    last_used_at: TimePoint,
}

impl SegmentRecord {
    fn find_holder(&self, target_hash: u64) -> Result<usize, usize> {
        self.holders.binary_search_by_key(&target_hash, |holder| holder.target_hash)
    }
}

impl SegmentDirectory {
    /// Creates an empty directory that keeps at most `segments_max` segments.
    pub fn new(segments_max: usize) -> Self {
        Self { segments_max, segments: BTreeMap::new(), by_last_use: BTreeSet::new() }
    }

    /// Records that a target has a segment cached already.
    pub fn record_cached(&mut self, now: TimePoint, segment: u64, target_hash: u64) {
        self.record_holder(now, segment, target_hash, TimePoint(0));
    }

    /// Records that a target starts to prefill a segment; an earlier start time is kept.
    pub fn record_pending(&mut self, now: TimePoint, segment: u64, target_hash: u64) {
        self.record_holder(now, segment, target_hash, now);
    }

    fn record_holder(
        &mut self,
        now: TimePoint,
        segment: u64,
        target_hash: u64,
        prefill_started_at: TimePoint,
    ) {
        let record = self
            .segments
            .entry(segment)
            .or_insert(SegmentRecord { last_used_at: now, holders: Vec::new() });
        self.by_last_use.remove(&(record.last_used_at, segment));
        record.last_used_at = now;
        self.by_last_use.insert((now, segment));
        match record.find_holder(target_hash) {
            Ok(index) => {
                let holder = &mut record.holders[index];
                holder.last_used_at = now;
                holder.prefill_started_at = holder.prefill_started_at.min(prefill_started_at);
            }
            Err(index) => record.holders.insert(
                index,
                SegmentHolder { target_hash, prefill_started_at, last_used_at: now },
            ),
        }
        if record.holders.len() > HOLDERS_PER_SEGMENT_MAX {
            let oldest =
                record.holders.iter().enumerate().min_by_key(|(_, holder)| holder.last_used_at);
            if let Some(index) = oldest.map(|(index, _)| index) {
                record.holders.remove(index);
            }
        }
        while self.segments.len() > self.segments_max {
            let Some((_, oldest)) = self.by_last_use.pop_first() else { return };
            self.segments.remove(&oldest);
        }
    }

    /// Records that a target does not cache a segment.
    pub fn remove_holder(&mut self, segment: u64, target_hash: u64) {
        let Some(record) = self.segments.get_mut(&segment) else { return };
        record.holders.retain(|holder| holder.target_hash != target_hash);
        if record.holders.is_empty() {
            self.by_last_use.remove(&(record.last_used_at, segment));
            self.segments.remove(&segment);
        }
    }

    /// Removes a target from the holders of all segments. A segment without holders stays until it
    /// is evicted.
    pub fn remove_target(&mut self, target_hash: u64) {
        for record in self.segments.values_mut() {
            record.holders.retain(|holder| holder.target_hash != target_hash);
        }
    }

    /// Whether the directory has an entry for a segment.
    pub fn contains(&self, segment: u64) -> bool {
        self.segments.contains_key(&segment)
    }

    /// Returns when a target started to prefill a segment; `TimePoint(0)` when it had the segment
    /// cached already, `None` when it is no known holder.
    pub fn prefill_started_at(&self, segment: u64, target_hash: u64) -> Option<TimePoint> {
        let record = self.segments.get(&segment)?;
        record.find_holder(target_hash).ok().map(|index| record.holders[index].prefill_started_at)
    }

    /// Returns up to `count` most recently used segments with the hashes of their holders, the
    /// latest first.
    pub fn most_recent(&self, count: usize) -> impl Iterator<Item = (u64, Vec<u64>)> {
        self.by_last_use.iter().rev().take(count).filter_map(|(_, segment)| {
            let record = self.segments.get(segment)?;
            Some((*segment, record.holders.iter().map(|holder| holder.target_hash).collect()))
        })
    }

    /// Number of segments that a target caches.
    pub fn segment_count(&self, target_hash: u64) -> usize {
        self.segments.values().filter(|record| record.find_holder(target_hash).is_ok()).count()
    }

    /// Number of segments in the directory.
    pub fn len(&self) -> usize {
        self.segments.len()
    }

    /// Whether the directory has no segment.
    pub fn is_empty(&self) -> bool {
        self.segments.is_empty()
    }
}
