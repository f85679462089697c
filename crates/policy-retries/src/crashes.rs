//! Recognition of content that crashes the targets that run it.
//!
//! Content in flight on a target when it crashes becomes suspect, although most of it is sound. A
//! complete answer clears what the call contained.
//!
//! Content that was in flight at several crashes since its last complete answer is held: one call with
//! it is sent at a time, and others are refused at once. Content that was sent to several targets, to
//! each after the one before had crashed, is blocked, and whatever else was in flight then is no longer
//! suspect because of these crashes. Targets that crash together, for a reason that is not content, are
//! one link of such a chain.
//!
//! A block may be wrong. From time to time one call is therefore allowed as a trial; a complete answer
//! lifts the block.

mod evidence;

pub use self::evidence::{CrashRecord, SuspectContent};

use std::{collections::BTreeMap, time::Duration};

use base_types::{ContentKey, TimePoint, key_types};

use self::evidence::CrashEvidence;

/// Crashes at which content must have been in flight before it is held.
const HOLDING_CRASHES: usize = 2;

/// Crashes in a chain that content must account for before it is blocked.
const BLOCKING_CRASHES: usize = 3;

/// Time after the latest crash until content may be blocked, or a held call is sent: by then other
/// routers have reported what they know.
const REPORT_TIME: Duration = Duration::from_millis(500);

/// Time after which a caller may return when another call with the same held content is in flight.
const HELD_RETURN_TIME: Duration = Duration::from_millis(300);

/// Time for which another router's call with held content counts as in flight after its report.
const PEER_CALL_TTL: Duration = Duration::from_secs(1);

/// Calls of other routers with held content that are remembered; further ones are ignored.
const PEER_CALLS_MAX: usize = 256;

/// Time after a complete answer in which its content does not become suspect.
const PROOF_TTL: Duration = Duration::from_secs(10);

/// Time after a complete answer in which a block that another router reports is out of date.
const LIFTED_TTL: Duration = Duration::from_secs(2);

/// Pieces of content whose complete answers are remembered; answers to further ones are not, until
/// older ones are forgotten.
const PROOFS_MAX: usize = 16_384;

/// Number of blocked pieces of content; further ones are not blocked.
const BLOCKS_MAX: usize = 256;

/// Time from the decision to block content until its first trial. It doubles with each trial.
const TRIAL_WAIT_MIN: Duration = Duration::from_secs(60);

/// Longest time between two trials.
const TRIAL_WAIT_MAX: Duration = Duration::from_secs(600);

/// Time after a trial became due, without one, until a block is forgotten.
const BLOCK_TTL: Duration = Duration::from_secs(600);

/// Time after which callers may return when a trial is due, but at another router.
const TRIAL_ELSEWHERE_WAIT: Duration = Duration::from_secs(1);

key_types! {
    /// How a call may be dispatched in view of its content.
    pub enum ContentVerdict {
        /// Nothing in the call is held or blocked.
        Allowed,
        /// A trial of blocked content is due: one call may be sent.
        Trial,
        /// The call is refused; it may come again at this time.
        Refused(TimePoint),
    }

    /// A block on content, without its key.
    pub struct ContentBlock {
        /// Earliest time of the next trial.
        pub trial_at: TimePoint,
        /// Number of trials so far.
        pub trials: u8,
    }

    /// Change of what is known of content, for logs.
    pub enum ContentChange {
        /// The content was in flight at this number of crashes, at least two, since its last complete
        /// answer.
        Suspected(ContentKey, usize),
        /// The content was blocked.
        Blocked(ContentKey),
        /// A trial was allowed.
        TrialStarted(ContentKey),
        /// The content was answered completely, here or through another router.
        Lifted(ContentKey),
    }
}

/// Crashes, suspect content and blocks known to one router.
#[derive(Debug, Default)]
pub struct CrashTracker {
    /// Latest complete answers, by content.
    proofs: BTreeMap<ContentKey, TimePoint>,
    evidence: CrashEvidence,
    blocks: BTreeMap<ContentKey, ContentBlock>,
    /// Until when calls of other routers with held content count as in flight.
    peer_calls: BTreeMap<ContentKey, TimePoint>,
    /// Whether suspect content was recorded that is not judged yet.
    has_unjudged: bool,
    changes: Vec<ContentChange>,
}

impl ContentBlock {
    fn new(now: TimePoint) -> Self {
        Self { trial_at: now.after(TRIAL_WAIT_MIN), trials: 0 }
    }

    fn start_trial(&mut self, now: TimePoint) {
        self.trials = self.trials.saturating_add(1);
        let wait = TRIAL_WAIT_MIN.saturating_mul(1 << self.trials.min(8));
        self.trial_at = now.after(wait.min(TRIAL_WAIT_MAX));
    }

    fn is_expired(&self, now: TimePoint) -> bool {
        self.trial_at.after(BLOCK_TTL).passed(now)
    }
}

impl CrashTracker {
    /// Records that a call with this content was answered completely; returns whether the content
    /// was suspect or blocked, so that other routers must learn of the answer.
    pub fn record_answer(&mut self, now: TimePoint, key: ContentKey) -> bool {
        if self.proofs.len() < PROOFS_MAX || self.proofs.contains_key(&key) {
            self.proofs.insert(key, now);
        }
        self.clear(key)
    }

    /// Clears content that was answered completely through another router; returns whether it was
    /// suspect or blocked here.
    pub fn clear(&mut self, key: ContentKey) -> bool {
        let is_suspect = self.evidence.clear(key);
        self.peer_calls.remove(&key);
        let is_blocked = self.blocks.remove(&key).is_some();
        if is_blocked {
            self.changes.push(ContentChange::Lifted(key));
        }
        is_suspect || is_blocked
    }

    /// Records a crash of a target, or further content that was in flight then. Content that was
    /// answered shortly before is returned: it is sound.
    pub fn record_crash(&mut self, now: TimePoint, mut crash: CrashRecord) -> Vec<ContentKey> {
        let is_sound =
            |suspect: &SuspectContent| self.is_answered(crash.at, suspect.key, PROOF_TTL);
        let sound: Vec<ContentKey> = crash
            .suspects
            .iter()
            .filter(|suspect| is_sound(suspect))
            .map(|sound| sound.key)
            .collect();
        crash.suspects.retain(|suspect| !sound.contains(&suspect.key));
        let is_explained = crash.suspects.iter().any(|suspect| self.is_blocked(now, suspect.key));
        let added = self.evidence.record(&crash, is_explained);
        self.has_unjudged |= !added.is_empty();
        for key in added {
            if let Some(record) = self.evidence.repeated(key) {
                self.changes.push(ContentChange::Suspected(key, record.crashes));
            }
        }
        sound
    }

    /// Records that a target answered a call that was sent to it at a time; returns whether this shows that
    /// a crash of it was reported wrongly, which other routers must forget, too.
    pub fn refute_crash(&mut self, now: TimePoint, target_hash: u64, sent_at: TimePoint) -> bool {
        self.evidence.refute(now, target_hash, sent_at)
    }

    /// Records that another router has a call with held content in flight.
    pub fn on_peer_call(&mut self, now: TimePoint, key: ContentKey) {
        if self.peer_calls.len() < PEER_CALLS_MAX || self.peer_calls.contains_key(&key) {
            self.peer_calls.insert(key, now.after(PEER_CALL_TTL));
        }
    }

    /// Blocks the content that accounts for a chain of crashes; to be called several times a second.
    pub fn judge(&mut self, now: TimePoint) {
        if !self.has_unjudged {
            return;
        }
        let mut chains: BTreeMap<ContentKey, usize> = BTreeMap::new();
        let mut has_unjudged = false;
        for (key, record) in self.evidence.all_repeated() {
            let is_reported = record.last_at.after(REPORT_TIME).passed(now);
            has_unjudged |= !is_reported;
            if is_reported && record.chain >= BLOCKING_CRASHES {
                chains.insert(key, record.chain);
            }
        }
        self.has_unjudged = has_unjudged;
        // Content that was in flight at fewer crashes than the cause may be sound: it is judged by the
        // crashes that remain.
        let longest = chains.values().copied().max();
        chains.retain(|_, chain| Some(*chain) == longest);
        for cause in chains.into_keys() {
            self.insert_block(cause, ContentBlock::new(now));
            self.evidence.explain(cause);
            self.has_unjudged = true;
        }
    }

    /// Takes over another router's block; returns false if the content was answered shortly before.
    pub fn adopt_block(&mut self, now: TimePoint, key: ContentKey, block: ContentBlock) -> bool {
        if self.is_answered(now, key, LIFTED_TTL) {
            return false;
        }
        match self.blocks.get_mut(&key) {
            Some(known) => {
                known.trial_at = known.trial_at.max(block.trial_at);
                known.trials = known.trials.max(block.trials);
            }
            None => self.insert_block(key, block),
        }
        true
    }

    /// Whether a call may be dispatched; `may_try` says which blocked content this router may try, and
    /// `is_in_flight` which content it has in flight.
    pub fn verdict(
        &self,
        now: TimePoint,
        content: &[ContentKey],
        may_try: impl Fn(ContentKey) -> bool,
        is_in_flight: impl Fn(ContentKey) -> bool,
    ) -> ContentVerdict {
        let mut verdict = ContentVerdict::Allowed;
        for key in content {
            let block = self.blocks.get(key).filter(|block| !block.is_expired(now));
            let key_verdict = match block.map(|block| block.trial_at) {
                None => self.suspect_verdict(now, *key, &is_in_flight),
                Some(trial_at) if !trial_at.passed(now) => ContentVerdict::Refused(trial_at),
                Some(_) if may_try(*key) => ContentVerdict::Trial,
                Some(_) => ContentVerdict::Refused(now.after(TRIAL_ELSEWHERE_WAIT)),
            };
            verdict = verdict.max(key_verdict);
        }
        verdict
    }

    /// Whether the content is blocked.
    pub fn is_blocked(&self, now: TimePoint, key: ContentKey) -> bool {
        self.blocks.get(&key).is_some_and(|block| !block.is_expired(now))
    }

    /// Whether calls with the content are sent one at a time, of all routers.
    pub fn is_held(&self, key: ContentKey) -> bool {
        self.evidence.repeated(key).is_some_and(|record| record.chain >= HOLDING_CRASHES)
    }

    /// The crashes that are not explained, for a router that starts.
    pub fn crashes(&self) -> impl Iterator<Item = CrashRecord> {
        self.evidence.records()
    }

    /// Records that a call with blocked content is sent as a trial; the next one waits longer.
    pub fn start_trial(&mut self, now: TimePoint, content: &[ContentKey]) {
        for key in content {
            if let Some(block) = self.blocks.get_mut(key) {
                block.start_trial(now);
                self.changes.push(ContentChange::TrialStarted(*key));
            }
        }
    }

    /// The blocks in force.
    pub fn blocks(&self) -> impl Iterator<Item = (ContentKey, ContentBlock)> {
        self.blocks.iter().map(|(key, block)| (*key, *block))
    }

    /// Takes the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<ContentChange> {
        std::mem::take(&mut self.changes)
    }

    /// Forgets what is too old to matter; to be called about once a second.
    pub fn sweep(&mut self, now: TimePoint) {
        self.proofs.retain(|_, answered_at| !answered_at.after(PROOF_TTL).passed(now));
        self.evidence.sweep(now);
        self.peer_calls.retain(|_, until| !until.passed(now));
        self.blocks.retain(|_, block| !block.is_expired(now));
    }

    /// Whether a call with content that is not blocked may be dispatched.
    fn suspect_verdict(
        &self,
        now: TimePoint,
        key: ContentKey,
        is_in_flight: impl Fn(ContentKey) -> bool,
    ) -> ContentVerdict {
        let record = self.evidence.repeated(key);
        let Some(record) = record.filter(|record| record.chain >= HOLDING_CRASHES) else {
            return ContentVerdict::Allowed;
        };
        let reported_at = record.last_at.after(REPORT_TIME);
        if !reported_at.passed(now) {
            return ContentVerdict::Refused(reported_at);
        }
        let peer_until = self.peer_calls.get(&key).copied().unwrap_or(TimePoint(0));
        let is_awaited = record.chain >= BLOCKING_CRASHES || !peer_until.passed(now);
        if is_awaited || is_in_flight(key) {
            return ContentVerdict::Refused(now.after(HELD_RETURN_TIME));
        }
        ContentVerdict::Allowed
    }

    /// Whether the content was answered completely within `ttl` before a time.
    fn is_answered(&self, at: TimePoint, key: ContentKey, ttl: Duration) -> bool {
        let answered_at = self.proofs.get(&key);
        answered_at.is_some_and(|answered_at| !answered_at.after(ttl).passed(at))
    }

    fn insert_block(&mut self, key: ContentKey, block: ContentBlock) {
        if self.blocks.len() < BLOCKS_MAX {
            self.blocks.insert(key, block);
            self.changes.push(ContentChange::Blocked(key));
        }
    }
}
