//! What the platform keeps so that streams go on after all routers restarted at once.
//!
//! One router, the recorder, writes which software each pool has, which content is blocked, and, while
//! a pool has had several versions, which software began each stream. The number of writes depends on
//! time only, not on the number of routers or streams.

use std::{collections::BTreeMap, time::Duration};

use base_types::{ContentKey, PoolName, TimePoint, message_types};

use crate::{BlockNotice, SoftwareKey, software::PoolSoftware};

/// Shortest time between two writes of origins; a stream that breaks off sooner may be unknown after all
/// routers restarted.
const WRITE_INTERVAL: Duration = Duration::from_millis(50);

/// Time for which origins are added to one part before the next part is begun.
const PART_TIME: Duration = Duration::from_secs(1);

/// Time after a failed write after which a router that is not the recorder any more tries another one.
const WRITE_RETRY_TIME: Duration = Duration::from_secs(1);

/// Origins in one part; each takes 17 bytes as text.
const PART_ORIGINS_MAX: usize = 8_192;

/// Parts that are kept, each overwritten in turn; they cover at least the time in which callers return.
pub const RECORD_PARTS: u32 = 64;

message_types! {
    /// A write of the recorder.
    pub enum RecordWrite {
        /// The software that served each pool while its streams may go on.
        Software(PoolSoftware),
        /// The content that is blocked because it crashes targets.
        Blocks(Vec<BlockNotice>),
        /// One part of the origins of streams.
        Origins {
            /// Number of the part, below [`RECORD_PARTS`].
            part: u32,
            /// Hashes of the calls that began streams, by software.
            calls: BTreeMap<SoftwareKey, Vec<u64>>,
        },
    }

    /// What the platform keeps of the time before a router started.
    #[derive(Default)]
    pub struct OriginRecord {
        /// The software that served each pool.
        pub software: PoolSoftware,
        /// Hashes of the calls that began streams, and the software of each.
        pub origins: Vec<(u64, SoftwareKey)>,
        /// The content that was blocked.
        pub blocks: Vec<BlockNotice>,
    }
}

/// Which software and streams the recorder has yet to write.
#[derive(Debug, Default)]
pub(crate) struct RecordSchedule {
    /// Software as last written by this router; `None` while another one is the recorder.
    written_software: Option<PoolSoftware>,
    /// Content as last written by this router, with the number of its trials; `None` while another one is the
    /// recorder.
    written_blocks: Option<BTreeMap<ContentKey, u8>>,
    /// The origins being recorded; `None` while no pool has several versions.
    part: Option<RecordPart>,
    access: RecordAccess,
}

/// Whether the platform takes what this router writes.
#[derive(Debug, Default)]
struct RecordAccess {
    /// Whether calls of other kinds fail.
    is_platform_failing: bool,
    /// Time of the next write after one that failed; `None` after one that succeeded.
    retry_at: Option<TimePoint>,
}

/// The part that is being written, and the calls that later writes must contain.
#[derive(Debug)]
struct RecordPart {
    number: u32,
    calls: Vec<u64>,
    pending: Vec<u64>,
    /// Whether a call of this part was not written yet.
    unwritten: bool,
    next_write_at: TimePoint,
    ends_at: TimePoint,
}

impl RecordSchedule {
    /// Forgets what was written, as another router is the recorder.
    pub(crate) fn stop(&mut self) {
        *self = Self { access: std::mem::take(&mut self.access), ..Self::default() };
    }

    /// Whether the platform refused the last write, or does not respond to this router.
    pub(crate) fn is_refused(&self) -> bool {
        self.access.is_platform_failing || self.access.retry_at.is_some()
    }

    /// Whether the platform does not respond to this router.
    pub(crate) fn is_platform_failing(&self) -> bool {
        self.access.is_platform_failing
    }

    /// Whether a write is due by which a router that was refused learns that the platform takes its writes
    /// again.
    pub(crate) fn is_retry_due(&self, now: TimePoint) -> bool {
        self.access.retry_at.is_some_and(|retry_at| retry_at.passed(now))
    }

    /// Records that a write failed.
    pub(crate) fn on_failed(&mut self, now: TimePoint) {
        self.access.retry_at = Some(now.after(WRITE_RETRY_TIME));
    }

    /// Records whether the platform responds to calls of other kinds.
    pub(crate) fn on_platform_call(&mut self, has_failed: bool) {
        self.access.is_platform_failing = has_failed;
    }

    /// Whether software is on record as far as this router knows.
    pub(crate) fn has_written(&self, pool: &PoolName, software: SoftwareKey) -> bool {
        let written = self.written_software.as_ref().and_then(|written| written.get(pool));
        written.is_some_and(|versions| versions.contains(&software))
    }

    /// Ends the recording of origins.
    pub(crate) fn stop_origins(&mut self) {
        self.part = None;
    }

    /// Whether origins are being recorded.
    pub(crate) fn has_origins(&self) -> bool {
        self.part.is_some()
    }

    /// Starts the recording of origins with all that are known.
    pub(crate) fn start_origins(&mut self, now: TimePoint, known: Vec<u64>) {
        self.part = Some(RecordPart {
            number: 0,
            calls: Vec::new(),
            unwritten: !known.is_empty(),
            pending: known,
            next_write_at: now,
            ends_at: now.after(PART_TIME),
        });
    }

    /// Adds the origin of a stream if origins are being recorded.
    pub(crate) fn on_origin(&mut self, call_hash: u64) {
        if let Some(part) = &mut self.part {
            part.pending.push(call_hash);
            part.unwritten = true;
        }
    }

    /// Returns the software to write, if it differs from what was written last.
    pub(crate) fn software_write(&self, software: PoolSoftware) -> Option<RecordWrite> {
        let is_new = self.written_software.as_ref() != Some(&software);
        is_new.then_some(RecordWrite::Software(software))
    }

    /// Returns the blocks to write, if others are in force than were written last. What another router wrote is not
    /// known: `may_have_blocks` says whether it may be any.
    pub(crate) fn blocks_write(
        &self,
        blocks: Vec<BlockNotice>,
        may_have_blocks: bool,
    ) -> Option<RecordWrite> {
        let trials = trials_by_content(&blocks);
        let is_due = match &self.written_blocks {
            Some(written) => *written != trials,
            None => may_have_blocks || !trials.is_empty(),
        };
        is_due.then_some(RecordWrite::Blocks(blocks))
    }

    /// Returns the number and the calls of the part to write, if it has new ones.
    pub(crate) fn origins_write(&mut self, now: TimePoint) -> Option<(u32, Vec<u64>)> {
        let part = self.part.as_mut()?;
        if !part.unwritten || !part.next_write_at.passed(now) {
            return None;
        }
        part.next_write_at = now.after(WRITE_INTERVAL);
        let count = part.pending.len().min(PART_ORIGINS_MAX.saturating_sub(part.calls.len()));
        part.calls.extend(part.pending.drain(..count));
        Some((part.number, part.calls.clone()))
    }

    /// Records that a write succeeded; one that failed is due again.
    pub(crate) fn on_written(&mut self, now: TimePoint, write: RecordWrite) {
        self.access.retry_at = None;
        match write {
            RecordWrite::Software(software) => self.written_software = Some(software),
            RecordWrite::Blocks(blocks) => self.written_blocks = Some(trials_by_content(&blocks)),
            RecordWrite::Origins { part: number, .. } => {
                if let Some(part) = self.part.as_mut().filter(|part| part.number == number) {
                    part.on_written(now);
                }
            }
        }
    }
}

impl RecordPart {
    fn on_written(&mut self, now: TimePoint) {
        self.unwritten = !self.pending.is_empty();
        if self.ends_at.passed(now) || self.calls.len() >= PART_ORIGINS_MAX {
            self.number = (self.number + 1) % RECORD_PARTS;
            self.calls.clear();
            self.ends_at = now.after(PART_TIME);
        }
    }
}

fn trials_by_content(blocks: &[BlockNotice]) -> BTreeMap<ContentKey, u8> {
    blocks.iter().map(|block| (block.key, block.trials)).collect()
}

/// Groups the calls of a part by their software.
pub(crate) fn group_by_software(
    origins: impl Iterator<Item = (u64, SoftwareKey)>,
) -> BTreeMap<SoftwareKey, Vec<u64>> {
    let mut calls: BTreeMap<SoftwareKey, Vec<u64>> = BTreeMap::new();
    for (call_hash, software) in origins {
        calls.entry(software).or_default().push(call_hash);
    }
    calls
}
