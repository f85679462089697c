//! What the recorder writes to the platform, and what a starting router restores from there.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use base_types::{HostName, TimePoint};
use policy_routing::{rendezvous_score, stable_hash};

use crate::{
    ContentReport, ForwardCore, OriginRecord, PoolSoftware, RecordWrite, SoftwareKey,
    heartbeat_interval,
};

/// Time from the first start of a fleet after which a router may be the recorder: only then has it learned
/// of all others, which start at the same time.
const FIRST_START_DELAY: Duration = Duration::from_millis(1_500);

/// Heartbeat intervals of silence after which another router becomes the recorder.
const RECORDER_SILENCE_INTERVALS: u32 = 3;

/// Hash by which the routers are ranked for the record; any constant serves.
const RECORD_HASH: u64 = 0;

impl ForwardCore {
    /// Returns what this router is to write to the platform now, if it is the recorder.
    pub fn next_record_write(&mut self, now: TimePoint) -> Option<RecordWrite> {
        self.has_known_blocks |= self.crashes.block_notices(now).next().is_some();
        if !self.is_recorder(now) {
            self.origins.record.stop();
            return self.retried_write(now);
        }
        let software = &self.targets.software;
        let pools = software.by_pool(now);
        let is_mixed = pools.values().any(|versions| versions.len() > 1);
        // Software that is written counts as all that served, so it is written once that is known.
        if software.is_complete(now)
            && !pools.is_empty()
            && let Some(write) = self.origins.record.software_write(pools)
        {
            return Some(write);
        }
        let blocks = self.crashes.block_notices(now).collect();
        if let Some(write) = self.origins.record.blocks_write(blocks, self.has_known_blocks) {
            return Some(write);
        }
        if !is_mixed {
            self.origins.record.stop_origins();
            return None;
        }
        self.origins.next_write(now)
    }

    /// The write by which a router that was refused learns that it may be the recorder again.
    fn retried_write(&self, now: TimePoint) -> Option<RecordWrite> {
        let software = &self.targets.software;
        let pools = software.by_pool(now);
        let is_due = self.origins.record.is_retry_due(now);
        (is_due && software.is_complete(now) && !pools.is_empty())
            .then_some(RecordWrite::Software(pools))
    }

    /// Merges the software on record with what this router knows, and returns what is to replace it. Software
    /// that another router recorded and this one does not know is kept.
    pub fn merge_recorded_software(
        &mut self,
        now: TimePoint,
        recorded: &PoolSoftware,
    ) -> PoolSoftware {
        for (pool, versions) in recorded {
            for software in versions {
                if !self.origins.record.has_written(pool, *software) {
                    self.targets.software.on_recorded(now, pool, *software);
                }
            }
        }
        self.targets.software.by_pool(now)
    }

    /// Records that the platform accepted a write.
    pub fn on_record_written(&mut self, now: TimePoint, write: RecordWrite) {
        self.origins.record.on_written(now, write);
    }

    /// Records that the platform refused a write, or that one is not answered: another router becomes the
    /// recorder until a later write succeeds.
    pub fn on_record_failed(&mut self, now: TimePoint) {
        self.origins.record.on_failed(now);
    }

    /// Whether this router records the origins of streams now.
    pub fn is_recording_origins(&self) -> bool {
        self.origins.record.has_origins()
    }

    /// Whether it is not known yet what served before this router started.
    pub fn is_past_awaited(&self) -> bool {
        self.targets.software.is_past_awaited()
    }

    /// Restores what the platform keeps; `None` if it keeps nothing, which says that nothing served
    /// before only on the fleet's first start.
    pub fn restore_record(
        &mut self,
        now: TimePoint,
        record: Option<OriginRecord>,
        first_start: bool,
    ) {
        self.is_first_start = first_start && record.is_none();
        let is_complete = record.as_ref().map_or(first_start, |record| !record.software.is_empty());
        let record = record.unwrap_or_default();
        for (pool, versions) in &record.software {
            for software in versions {
                self.targets.software.on_recorded(now, pool, *software);
            }
        }
        for (call_hash, software) in unambiguous(record.origins) {
            self.origins.on_recorded(now, call_hash, software);
        }
        let blocks = ContentReport { blocks: record.blocks, ..ContentReport::default() };
        self.has_known_blocks |= !blocks.blocks.is_empty();
        self.crashes.on_report(now, &blocks);
        self.targets.software.on_past_read(now, is_complete);
    }

    /// Whether rendezvous hashing assigns the record to this router among those whose heartbeats
    /// arrive. Routers that the platform refuses count only where it refuses all.
    fn is_recorder(&mut self, now: TimePoint) -> bool {
        if !self.ready() || self.is_past_awaited() {
            return false;
        }
        let silence = heartbeat_interval(self.router_count()) * RECORDER_SILENCE_INTERVALS;
        let delay = if self.is_first_start { FIRST_START_DELAY } else { silence };
        if !self.recorder_from.get_or_insert(now.after(delay)).passed(now) {
            return false;
        }
        let rank = |name: &HostName, is_refused: bool| {
            let name_hash = stable_hash(name.as_str().as_bytes());
            (!is_refused, rendezvous_score(RECORD_HASH, name_hash, 1))
        };
        let own_rank = rank(&self.entry.name, self.origins.record.is_refused());
        let mut peers = self.peers.recorder_candidates(now, silence);
        peers.all(|(peer, is_refused)| rank(&peer.name, is_refused) < own_rank)
    }
}

/// Returns the origins without those of calls that were sent to several versions, of which the record may
/// lack the last one.
fn unambiguous(origins: Vec<(u64, SoftwareKey)>) -> BTreeMap<u64, SoftwareKey> {
    let mut software_of: BTreeMap<u64, SoftwareKey> = BTreeMap::new();
    let mut ambiguous: BTreeSet<u64> = BTreeSet::new();
    for (call_hash, software) in origins {
        if *software_of.entry(call_hash).or_insert(software) != software {
            ambiguous.insert(call_hash);
        }
    }
    software_of.retain(|call_hash, _| !ambiguous.contains(call_hash));
    software_of
}
