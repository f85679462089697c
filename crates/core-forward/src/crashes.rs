//! What a router knows of content that crashes targets, and what it has yet to tell the others.

use std::{collections::BTreeMap, time::Duration};

use base_types::{ContentKey, TimePoint, key_types, value_types};
use policy_retries::{ContentBlock, CrashTracker};

/// Number of heartbeats in which a crash or a complete answer is reported, as some are lost.
const REPORTS_PER_NOTICE: u8 = 3;

/// Largest number of pieces of content in the crash notices of one heartbeat.
const REPORTED_CONTENT_MAX: usize = 64;

/// Largest number of pieces of sound content in one heartbeat.
const REPORTED_SOUND_MAX: usize = 32;

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
        pub content: Vec<ContentKey>,
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
    }
}

/// Tracker of crashes with the reports that are due.
#[derive(Debug, Default)]
pub(crate) struct CrashReporter {
    pub(crate) tracker: CrashTracker,
    unreported_crashes: Vec<UnreportedCrash>,
    /// Number of reports left, by content.
    unreported_sound: BTreeMap<ContentKey, u8>,
}

#[derive(Debug)]
struct UnreportedCrash {
    target_hash: u64,
    crashed_at: TimePoint,
    content: Vec<ContentKey>,
    reports_left: u8,
}

impl CrashReporter {
    /// Records the crash of a target that ran calls of this router.
    pub(crate) fn on_own_crash(
        &mut self,
        now: TimePoint,
        crashed_at: TimePoint,
        target_hash: u64,
        mut content: Vec<ContentKey>,
    ) {
        let sound = self.tracker.record_crash(now, crashed_at, target_hash, &content);
        content.retain(|key| !sound.contains(key));
        let pieces = content.chunks(REPORTED_CONTENT_MAX).map(|piece| UnreportedCrash {
            target_hash,
            crashed_at,
            content: piece.to_vec(),
            reports_left: REPORTS_PER_NOTICE,
        });
        self.unreported_crashes.extend(pieces);
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
            let age = Duration::from_millis(u64::from(notice.age_ms));
            let crashed_at = TimePoint(now.0.saturating_sub(age.as_micros() as u64));
            let sound =
                self.tracker.record_crash(now, crashed_at, notice.target_hash, &notice.content);
            for key in sound {
                self.report_sound(key);
            }
        }
        for notice in &report.blocks {
            let trial_in = Duration::from_millis(u64::from(notice.trial_in_ms));
            let block = ContentBlock { trial_at: now.after(trial_in), trials: notice.trials };
            if !self.tracker.adopt_block(now, notice.key, block) {
                self.report_sound(notice.key);
            }
        }
    }

    /// Returns the report for the next heartbeat, which counts as sent.
    pub(crate) fn next_report(&mut self, now: TimePoint) -> ContentReport {
        self.tracker.judge(now);
        let blocks = self.tracker.blocks().take(REPORTED_BLOCKS_MAX);
        let blocks = blocks.map(|(key, block)| BlockNotice {
            key,
            trial_in_ms: block.trial_at.since(now).as_millis() as u32,
            trials: block.trials,
        });
        let blocks = blocks.collect();
        ContentReport { crashes: self.next_crash_notices(now), sound: self.next_sound(), blocks }
    }

    fn next_crash_notices(&mut self, now: TimePoint) -> Vec<CrashNotice> {
        let mut notices = Vec::new();
        let mut room = REPORTED_CONTENT_MAX;
        for crash in &mut self.unreported_crashes {
            if crash.content.len() > room {
                break;
            }
            room -= crash.content.len();
            crash.reports_left -= 1;
            notices.push(CrashNotice {
                target_hash: crash.target_hash,
                age_ms: now.since(crash.crashed_at).as_millis() as u32,
                content: crash.content.clone(),
            });
        }
        self.unreported_crashes.retain(|crash| crash.reports_left > 0);
        notices
    }

    fn next_sound(&mut self) -> Vec<ContentKey> {
        let due = self.unreported_sound.iter_mut().take(REPORTED_SOUND_MAX);
        let reported = due.map(|(key, reports_left)| {
            *reports_left -= 1;
            *key
        });
        let reported = reported.collect();
        self.unreported_sound.retain(|_, reports_left| *reports_left > 0);
        reported
    }

    fn report_sound(&mut self, key: ContentKey) {
        self.unreported_sound.entry(key).or_insert(REPORTS_PER_NOTICE);
    }
}
