//! Crashes of targets, and the content that was in flight on them.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use base_types::{ContentKey, TimePoint, key_types};

/// Reports on a target within this time of its crash belong to the same crash.
const CRASH_MERGE_WINDOW: Duration = Duration::from_secs(2);

/// Time for which a crash is remembered.
const CRASH_TTL: Duration = Duration::from_secs(600);

/// Number of crashes that are remembered; the oldest are forgotten first.
const CRASHES_MAX: usize = 64;

/// Suspect pieces of content that are remembered for one crash.
const SUSPECTS_PER_CRASH_MAX: usize = 256;

/// Time by which a call may seem to be sent too early before a crash that came first: reports of other
/// routers take some time to arrive.
const REPORT_DELAY_MAX: Duration = Duration::from_millis(20);

/// Crashes within this time of each other may have a common cause.
const COMMON_CAUSE_TIME: Duration = Duration::from_millis(300);

/// Percentage of such crashes at which content must have been in flight to be their cause.
const CAUSE_PERCENT_MIN: usize = 50;

/// Time after a crash in which an answer shows that the target did not crash: a target that did takes
/// longer to start again.
const RESTART_TIME_MIN: Duration = Duration::from_secs(1);

key_types! {
    /// Content that was in flight on a target when it crashed.
    pub struct SuspectContent {
        /// The content.
        pub key: ContentKey,
        /// When the latest call that contained it was sent to the target.
        pub sent_at: TimePoint,
    }

    /// Crashes at which content was in flight since its last complete answer.
    pub(super) struct SuspectRecord {
        /// Number of crashes.
        pub(super) crashes: usize,
        /// Number of crashes in a chain in which the content was sent to each target after the one
        /// before had crashed. Targets that crash together count once.
        pub(super) chain: usize,
        /// Time of the latest crash.
        pub(super) last_at: TimePoint,
    }
}

/// A crash of a target, as reported.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashRecord {
    /// Hash of the target's name and incarnation.
    pub target_hash: u64,
    /// When the target lost its first call.
    pub at: TimePoint,
    /// Content that was in flight and may be the cause.
    pub suspects: Vec<SuspectContent>,
}

#[derive(Debug)]
struct TargetCrash {
    target_hash: u64,
    at: TimePoint,
    /// Content in flight at the crash that may be its cause, and when it was sent; `None` once blocked
    /// content accounts for the crash.
    suspects: Option<BTreeMap<ContentKey, TimePoint>>,
}

/// A crash at which certain content was in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct SuspectCrash {
    at: TimePoint,
    /// When the content was sent to the target.
    sent_at: TimePoint,
}

impl SuspectRecord {
    /// Summary of the crashes at which certain content was in flight; `all_crashes` are the times of all
    /// crashes that are not explained.
    fn of_crashes(mut crashes: Vec<SuspectCrash>, all_crashes: &[TimePoint]) -> Option<Self> {
        crashes.sort_unstable();
        let last_at = crashes.last()?.at;
        let is_cause = |crash: &SuspectCrash| {
            let is_near = |at: TimePoint| distance(at, crash.at) < COMMON_CAUSE_TIME;
            let all = all_crashes.iter().filter(|at| is_near(**at)).count();
            let own = crashes.iter().filter(|other| is_near(other.at)).count();
            own * 100 >= all * CAUSE_PERCENT_MIN
        };
        let (mut chain, mut chain_at) = (0, TimePoint(0));
        for crash in crashes.iter().filter(|crash| is_cause(crash)) {
            if crash.sent_at.after(REPORT_DELAY_MAX) >= chain_at {
                chain += 1;
                chain_at = crash.at;
            }
        }
        Some(Self { crashes: crashes.len(), chain, last_at })
    }
}

/// The latest crashes, in the order in which this router learned of them.
#[derive(Debug, Default)]
pub(super) struct CrashEvidence {
    crashes: VecDeque<TargetCrash>,
    /// Content in flight at several crashes, kept up to date with `crashes`.
    repeated: BTreeMap<ContentKey, SuspectRecord>,
}

impl CrashEvidence {
    /// Records a crash, or further content that was in flight then; returns the content that is new.
    /// A crash for which blocked content accounts makes nothing suspect.
    pub(super) fn record(&mut self, crash: &CrashRecord, is_explained: bool) -> Vec<ContentKey> {
        let known = self.crash_mut(crash.target_hash, crash.at);
        if is_explained && known.suspects.take().is_some() {
            self.update_repeated();
            return Vec::new();
        }
        let Some(suspects) = &mut known.suspects else { return Vec::new() };
        let mut added = Vec::new();
        for suspect in &crash.suspects {
            if let Some(sent_at) = suspects.get_mut(&suspect.key) {
                *sent_at = suspect.sent_at.max(*sent_at);
            } else if suspects.len() < SUSPECTS_PER_CRASH_MAX {
                suspects.insert(suspect.key, suspect.sent_at);
                added.push(suspect.key);
            }
        }
        if !added.is_empty() {
            self.update_repeated();
        }
        added
    }

    /// Removes content that is sound; returns whether it was suspect.
    pub(super) fn clear(&mut self, key: ContentKey) -> bool {
        let mut is_suspect = false;
        for suspects in self.crashes.iter_mut().filter_map(|crash| crash.suspects.as_mut()) {
            is_suspect |= suspects.remove(&key).is_some();
        }
        self.repeated.remove(&key);
        is_suspect
    }

    /// Removes the crash of a target that answered a call shortly after it, which was sent to it after the
    /// crash, too; returns whether there was one.
    pub(super) fn refute(&mut self, now: TimePoint, target_hash: u64, sent_at: TimePoint) -> bool {
        let count = self.crashes.len();
        self.crashes.retain(|crash| {
            let is_refuted = crash.target_hash == target_hash
                && crash.at.after(REPORT_DELAY_MAX).passed(sent_at)
                && !crash.at.after(RESTART_TIME_MIN).passed(now);
            !is_refuted
        });
        let is_refuted = self.crashes.len() < count;
        if is_refuted {
            self.update_repeated();
        }
        is_refuted
    }

    /// Marks the crashes at which content was in flight as explained.
    pub(super) fn explain(&mut self, cause: ContentKey) {
        for crash in &mut self.crashes {
            if crash.suspects.as_ref().is_some_and(|suspects| suspects.contains_key(&cause)) {
                crash.suspects = None;
            }
        }
        self.update_repeated();
    }

    /// The crashes at which content was in flight; `None` if there were fewer than two.
    pub(super) fn repeated(&self, key: ContentKey) -> Option<SuspectRecord> {
        self.repeated.get(&key).copied()
    }

    /// All content that was in flight at several crashes.
    pub(super) fn all_repeated(&self) -> impl Iterator<Item = (ContentKey, SuspectRecord)> {
        self.repeated.iter().map(|(key, record)| (*key, *record))
    }

    /// The crashes that are not explained, for a router that starts.
    pub(super) fn records(&self) -> impl Iterator<Item = CrashRecord> {
        self.crashes.iter().filter_map(|crash| {
            let suspects = crash.suspects.as_ref()?.iter();
            let suspects =
                suspects.map(|(key, sent_at)| SuspectContent { key: *key, sent_at: *sent_at });
            let suspects = suspects.collect();
            Some(CrashRecord { target_hash: crash.target_hash, at: crash.at, suspects })
        })
    }

    /// Forgets what is too old to matter.
    pub(super) fn sweep(&mut self, now: TimePoint) {
        let count = self.crashes.len();
        self.crashes.retain(|crash| !crash.at.after(CRASH_TTL).passed(now));
        if self.crashes.len() < count {
            self.update_repeated();
        }
    }

    fn update_repeated(&mut self) {
        let mut crashes: BTreeMap<ContentKey, Vec<SuspectCrash>> = BTreeMap::new();
        for crash in &self.crashes {
            for (key, sent_at) in crash.suspects.iter().flatten() {
                crashes
                    .entry(*key)
                    .or_default()
                    .push(SuspectCrash { at: crash.at, sent_at: *sent_at });
            }
        }
        let all_crashes = self.unexplained_times();
        let repeated = crashes.into_iter().filter(|(_, crashes)| crashes.len() > 1);
        self.repeated = repeated
            .filter_map(|(key, crashes)| {
                Some((key, SuspectRecord::of_crashes(crashes, &all_crashes)?))
            })
            .collect();
    }

    /// Times of the crashes that are not explained.
    fn unexplained_times(&self) -> Vec<TimePoint> {
        let unexplained = self.crashes.iter().filter(|crash| crash.suspects.is_some());
        unexplained.map(|crash| crash.at).collect()
    }

    /// The record of a crash, which is created if this is the first report on it.
    fn crash_mut(&mut self, target_hash: u64, crashed_at: TimePoint) -> &mut TargetCrash {
        let is_same = |crash: &TargetCrash| {
            crash.target_hash == target_hash && distance(crash.at, crashed_at) < CRASH_MERGE_WINDOW
        };
        let index = self.crashes.iter().position(is_same).unwrap_or_else(|| {
            if self.crashes.len() >= CRASHES_MAX {
                self.crashes.pop_front();
            }
            let suspects = Some(BTreeMap::new());
            self.crashes.push_back(TargetCrash { target_hash, at: crashed_at, suspects });
            self.crashes.len() - 1
        });
        &mut self.crashes[index]
    }
}

fn distance(one: TimePoint, other: TimePoint) -> Duration {
    one.since(other).max(other.since(one))
}
