//! What a router knows of content that crashes targets, and what it has yet to tell the others.

use std::{collections::BTreeMap, time::Duration};

use base_types::{ContentKey, TimePoint, key_types, value_types};
use policy_retries::{ContentBlock, CrashRecord, CrashTracker, SuspectContent};

/// Number of heartbeats in which a crash or a complete answer is reported, as some are lost.
const REPORTS_PER_NOTICE: u8 = 3;

/// Largest number of pieces of content in the crash notices of one heartbeat.
const REPORTED_CONTENT_MAX: usize = 64;

/// Largest number of pieces of sound content in one heartbeat.
const REPORTED_SOUND_MAX: usize = 32;

/// Largest number of pieces of held content in one heartbeat.
const REPORTED_HELD_MAX: usize = 32;

/// Largest number of targets that were wrongly reported as crashed in one heartbeat.
const REPORTED_RESPONDING_MAX: usize = 32;

/// Largest number of blocks in one heartbeat.
const REPORTED_BLOCKS_MAX: usize = 32;

value_types! {
    /// Report that a target crashed while it ran calls of a router.
    #[derive(Eq)]
    pub struct CrashNotice {
        /// Hash of the target's name and incarnation.
        pub target_hash: u64,
        /// Milliseconds since the crash.
        pub age_ms: u32,
        /// Content that was in flight and may be the cause.
        pub content: Vec<SuspectNotice>,
    }
}

key_types! {
    /// Content that was in flight at a crash.
    pub struct SuspectNotice {
        /// The content.
        pub key: ContentKey,
        /// Milliseconds since it was sent to the target.
        pub sent_age_ms: u32,
    }
}

key_types! {
    /// A block on content, as sent to other routers.
    pub struct BlockNotice {
        /// The blocked content.
        pub key: ContentKey,
        /// Milliseconds until a trial may start.
        pub trial_in_ms: u32,
        /// Number of trials so far.
        pub trials: u8,
    }
}

value_types! {
    /// The part of a heartbeat that is about content which may crash targets.
    #[derive(Eq, Default)]
    pub struct ContentReport {
        /// Crashes of targets, each in several heartbeats.
        pub crashes: Vec<CrashNotice>,
        /// Content that was answered completely although another router suspects it.
        pub sound: Vec<ContentKey>,
        /// Blocks in force, in every heartbeat.
        pub blocks: Vec<BlockNotice>,
        /// Content that the router has in flight and that is sent one call at a time, in every heartbeat.
        pub held: Vec<ContentKey>,
        /// Hashes of targets that answered the router after another one reported their crash.
        pub responding: Vec<u64>,
    }
}

impl CrashNotice {
    fn new(now: TimePoint, record: &CrashRecord) -> Self {
        let content = record.suspects.iter().map(|suspect| SuspectNotice {
            key: suspect.key,
            sent_age_ms: age_ms(now, suspect.sent_at),
        });
        Self {
            target_hash: record.target_hash,
            age_ms: age_ms(now, record.at),
            content: content.collect(),
        }
    }

    /// The crash on the clock of the router that received the notice.
    fn record(&self, now: TimePoint) -> CrashRecord {
        let suspects = self.content.iter().map(|suspect| SuspectContent {
            key: suspect.key,
            sent_at: time_of_age(now, suspect.sent_age_ms),
        });
        CrashRecord {
            target_hash: self.target_hash,
            at: time_of_age(now, self.age_ms),
            suspects: suspects.collect(),
        }
    }
}

fn age_ms(now: TimePoint, at: TimePoint) -> u32 {
    u32::try_from(now.since(at).as_millis()).unwrap_or(u32::MAX)
}

fn time_of_age(now: TimePoint, age_ms: u32) -> TimePoint {
    TimePoint(now.0.saturating_sub(u64::from(age_ms) * 1_000))
}

/// Tracker of crashes with the reports that are due.
#[derive(Debug, Default)]
pub(crate) struct CrashReporter {
    pub(crate) tracker: CrashTracker,
    unreported_crashes: Vec<UnreportedCrash>,
    /// Number of reports left, by content.
    unreported_sound: BTreeMap<ContentKey, u8>,
    /// Number of reports left, by hash of a target that answered after its reported crash.
    unreported_responding: BTreeMap<u64, u8>,
}

#[derive(Debug)]
struct UnreportedCrash {
    record: CrashRecord,
    reports_left: u8,
}

impl CrashReporter {
    /// Records the crash of a target that ran calls of this router.
    pub(crate) fn on_own_crash(&mut self, now: TimePoint, mut record: CrashRecord) {
        let sound = self.tracker.record_crash(now, record.clone());
        record.suspects.retain(|suspect| !sound.contains(&suspect.key));
        let pieces = record.suspects.chunks(REPORTED_CONTENT_MAX).map(|piece| UnreportedCrash {
            record: CrashRecord { suspects: piece.to_vec(), ..record },
            reports_left: REPORTS_PER_NOTICE,
        });
        self.unreported_crashes.extend(pieces);
    }

    /// Records that a target answered a call that this router sent at a time. If another router reported a
    /// crash of the target before, that router has lost its connections to it.
    pub(crate) fn on_target_answered(
        &mut self,
        now: TimePoint,
        target_hash: u64,
        sent_at: TimePoint,
    ) {
        if self.tracker.refute_crash(now, target_hash, sent_at) {
            self.unreported_responding.insert(target_hash, REPORTS_PER_NOTICE);
        }
    }

    /// Records that a call was answered completely.
    pub(crate) fn on_answer(&mut self, now: TimePoint, content: &[ContentKey]) {
        for key in content {
            if self.tracker.record_answer(now, *key) {
                self.report_sound(*key);
            }
        }
    }

    /// Handles the report of another router.
    pub(crate) fn on_report(&mut self, now: TimePoint, report: &ContentReport) {
        for key in &report.sound {
            self.tracker.clear(*key);
        }
        for notice in &report.crashes {
            for key in self.tracker.record_crash(now, notice.record(now)) {
                self.report_sound(key);
            }
        }
        for target_hash in &report.responding {
            self.tracker.refute_crash(now, *target_hash, now);
        }
        for key in &report.held {
            self.tracker.on_peer_call(now, *key);
        }
        for notice in &report.blocks {
            let trial_in = Duration::from_millis(u64::from(notice.trial_in_ms));
            let block = ContentBlock { trial_at: now.after(trial_in), trials: notice.trials };
            if !self.tracker.adopt_block(now, notice.key, block) {
                self.report_sound(notice.key);
            }
        }
    }

    /// Returns the report for the next heartbeat, which counts as sent; `in_flight` is the content of
    /// this router's calls.
    pub(crate) fn next_report<'calls>(
        &mut self,
        now: TimePoint,
        in_flight: impl Iterator<Item = &'calls ContentKey>,
    ) -> ContentReport {
        self.tracker.judge(now);
        let held = in_flight.filter(|key| self.tracker.is_held(**key));
        let held = held.take(REPORTED_HELD_MAX).copied().collect();
        ContentReport {
            blocks: self.block_notices(now).take(REPORTED_BLOCKS_MAX).collect(),
            held,
            crashes: self.next_crash_notices(now),
            sound: take_reports(&mut self.unreported_sound, REPORTED_SOUND_MAX),
            responding: take_reports(&mut self.unreported_responding, REPORTED_RESPONDING_MAX),
        }
    }

    /// Whether a crash, or what refutes one, is due in the next heartbeat.
    pub(crate) fn has_report(&self) -> bool {
        !self.unreported_crashes.is_empty()
            || !self.unreported_sound.is_empty()
            || !self.unreported_responding.is_empty()
    }

    /// Returns all that a router which starts must know.
    pub(crate) fn full_report(&self, now: TimePoint) -> ContentReport {
        ContentReport {
            crashes: self.tracker.crashes().map(|record| CrashNotice::new(now, &record)).collect(),
            blocks: self.block_notices(now).collect(),
            ..ContentReport::default()
        }
    }

    /// Returns the blocks in force.
    pub(crate) fn block_notices(&self, now: TimePoint) -> impl Iterator<Item = BlockNotice> {
        self.tracker.blocks().map(move |(key, block)| BlockNotice {
            key,
            trial_in_ms: block.trial_at.since(now).as_millis() as u32,
            trials: block.trials,
        })
    }

    fn next_crash_notices(&mut self, now: TimePoint) -> Vec<CrashNotice> {
        let mut notices = Vec::new();
        let mut room = REPORTED_CONTENT_MAX;
        for crash in &mut self.unreported_crashes {
            if crash.record.suspects.len() > room {
                break;
            }
            room -= crash.record.suspects.len();
            crash.reports_left -= 1;
            notices.push(CrashNotice::new(now, &crash.record));
        }
        self.unreported_crashes.retain(|crash| crash.reports_left > 0);
        notices
    }

    fn report_sound(&mut self, key: ContentKey) {
        self.unreported_sound.entry(key).or_insert(REPORTS_PER_NOTICE);
    }
}

/// Takes keys that are due for a report, and forgets those that were reported often enough.
fn take_reports<K: Copy + Ord>(reports_left: &mut BTreeMap<K, u8>, count_max: usize) -> Vec<K> {
    let due = reports_left.iter_mut().take(count_max);
    let reported = due.map(|(key, reports_left)| {
        *reports_left -= 1;
        *key
    });
    let reported = reported.collect();
    reports_left.retain(|_, reports_left| *reports_left > 0);
    reported
}
