//! Recognition of content that crashes the targets that run it.
//!
//! Content in flight on a target when it crashes becomes suspect, although most of it is sound. A
//! complete answer clears what the call contained. Targets that crash together form a wave, whose
//! cause may be something else than content. Content that accounts for several waves without a
//! complete answer in between is blocked, and whatever else was in flight then is no longer suspect
//! because of them.
//!
//! A block may be wrong, for example after targets crashed for a reason of their own. From time to
//! time one call is therefore allowed as a trial; a complete answer lifts the block.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use base_types::{ContentKey, TimePoint, key_types};

/// Waves of crashes that content must account for before it is blocked.
const BLOCKING_WAVES: usize = 3;

/// Crashes within this time of the first one of a wave belong to it.
const WAVE_DURATION: Duration = Duration::from_millis(300);

/// Time from the start of a wave until it is judged, so that other routers have reported it.
const WAVE_REPORT_TIME: Duration = Duration::from_millis(500);

/// Content accounts for a wave if it was in flight at this percentage of its crashes.
const WAVE_PERCENT_MIN: usize = 50;

/// Reports on a target within this time of its crash belong to the same crash.
const CRASH_MERGE_WINDOW: Duration = Duration::from_secs(2);

/// Time after a complete answer in which its content does not become suspect.
const PROOF_TTL: Duration = Duration::from_secs(2);

/// Time for which a crash is remembered.
const CRASH_TTL: Duration = Duration::from_secs(600);

/// Number of crashes that are remembered; the oldest are forgotten first.
const CRASHES_MAX: usize = 64;

/// Suspect pieces of content that are remembered for one crash.
const SUSPECTS_PER_CRASH_MAX: usize = 256;

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
        /// Nothing in the call is blocked.
        Allowed,
        /// A trial of blocked content is due: one call may be sent.
        Trial,
        /// Refused; the content may be tried again at this time.
        Blocked(TimePoint),
    }

    /// A block on content, without its key.
    pub struct ContentBlock {
        /// Earliest time of the next trial.
        pub trial_at: TimePoint,
        /// Number of trials so far.
        pub trials: u8,
    }

    /// Change of what is known of content, for logs.
    pub enum BlockChange {
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
    /// In the order in which this router learned of them.
    crashes: VecDeque<TargetCrash>,
    blocks: BTreeMap<ContentKey, ContentBlock>,
    /// Whether a crash was recorded that is not judged yet.
    has_open_wave: bool,
    changes: Vec<BlockChange>,
}

#[derive(Debug)]
struct TargetCrash {
    target_hash: u64,
    at: TimePoint,
    /// Content in flight at the crash that may be its cause; `None` once blocked content accounts
    /// for the crash.
    suspects: Option<BTreeSet<ContentKey>>,
}

/// Crashes of targets at about the same time.
#[derive(Debug)]
struct CrashWave<'tracker> {
    started_at: TimePoint,
    /// Suspect content of each crash.
    suspects: Vec<&'tracker BTreeSet<ContentKey>>,
}

impl CrashWave<'_> {
    /// Content that accounts for the wave.
    fn causes(&self) -> Vec<ContentKey> {
        let mut crash_counts: BTreeMap<ContentKey, usize> = BTreeMap::new();
        for key in self.suspects.iter().copied().flatten() {
            *crash_counts.entry(*key).or_default() += 1;
        }
        crash_counts.retain(|_, count| *count * 100 >= self.suspects.len() * WAVE_PERCENT_MIN);
        crash_counts.into_keys().collect()
    }
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
        self.proofs.insert(key, now);
        self.clear(key)
    }

    /// Clears content that was answered completely through another router; returns whether it was
    /// suspect or blocked here.
    pub fn clear(&mut self, key: ContentKey) -> bool {
        let mut is_suspect = false;
        for suspects in self.crashes.iter_mut().filter_map(|crash| crash.suspects.as_mut()) {
            is_suspect |= suspects.remove(&key);
        }
        let is_blocked = self.blocks.remove(&key).is_some();
        if is_blocked {
            self.changes.push(BlockChange::Lifted(key));
        }
        is_suspect || is_blocked
    }

    /// Records a crash of a target, or further content that was in flight then. Content that was
    /// answered shortly before is returned: it is sound.
    pub fn record_crash(
        &mut self,
        now: TimePoint,
        crashed_at: TimePoint,
        target_hash: u64,
        content: &[ContentKey],
    ) -> Vec<ContentKey> {
        let (sound, suspects): (Vec<ContentKey>, Vec<ContentKey>) =
            content.iter().partition(|key| self.is_sound(crashed_at, **key));
        let is_explained = suspects.iter().any(|key| self.is_blocked(now, *key));
        let crash = self.crash_mut(crashed_at, target_hash);
        if is_explained {
            crash.suspects = None;
        }
        if let Some(known) = &mut crash.suspects {
            let room = SUSPECTS_PER_CRASH_MAX.saturating_sub(known.len());
            let added: Vec<ContentKey> =
                suspects.into_iter().filter(|key| !known.contains(key)).take(room).collect();
            known.extend(&added);
            self.has_open_wave = true;
            self.note_repeated_suspects(&added);
        }
        sound
    }

    /// Blocks the content that accounts for enough waves of crashes; to be called several times a
    /// second.
    pub fn judge(&mut self, now: TimePoint) {
        if !self.has_open_wave {
            return;
        }
        let waves = self.waves();
        let is_over = |wave: &CrashWave<'_>| wave.started_at.after(WAVE_REPORT_TIME).passed(now);
        let has_open_wave = !waves.iter().all(is_over);
        let mut wave_counts: BTreeMap<ContentKey, usize> = BTreeMap::new();
        for key in waves.iter().filter(|wave| is_over(wave)).flat_map(CrashWave::causes) {
            *wave_counts.entry(key).or_default() += 1;
        }
        wave_counts.retain(|_, count| *count >= BLOCKING_WAVES);
        self.has_open_wave = has_open_wave;
        for cause in wave_counts.into_keys() {
            self.block_cause(now, cause);
        }
    }

    /// Takes over another router's block; returns false if the content was answered shortly before.
    pub fn adopt_block(&mut self, now: TimePoint, key: ContentKey, block: ContentBlock) -> bool {
        if self.is_sound(now, key) {
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

    /// Whether a call may be dispatched; `may_try` says which content this router may try.
    pub fn verdict(
        &self,
        now: TimePoint,
        content: &[ContentKey],
        may_try: impl Fn(ContentKey) -> bool,
    ) -> ContentVerdict {
        let mut verdict = ContentVerdict::Allowed;
        for key in content {
            let Some(block) = self.blocks.get(key).filter(|block| !block.is_expired(now)) else {
                continue;
            };
            let key_verdict = match block.trial_at {
                trial_at if !trial_at.passed(now) => ContentVerdict::Blocked(trial_at),
                _ if may_try(*key) => ContentVerdict::Trial,
                _ => ContentVerdict::Blocked(now.after(TRIAL_ELSEWHERE_WAIT)),
            };
            verdict = verdict.max(key_verdict);
        }
        verdict
    }

    /// Records that a call with blocked content is sent as a trial; the next one waits longer.
    pub fn start_trial(&mut self, now: TimePoint, content: &[ContentKey]) {
        for key in content {
            if let Some(block) = self.blocks.get_mut(key) {
                block.start_trial(now);
                self.changes.push(BlockChange::TrialStarted(*key));
            }
        }
    }

    /// The blocks in force.
    pub fn blocks(&self) -> impl Iterator<Item = (ContentKey, ContentBlock)> {
        self.blocks.iter().map(|(key, block)| (*key, *block))
    }

    /// Takes the changes of blocks since the last call.
    pub fn take_changes(&mut self) -> Vec<BlockChange> {
        std::mem::take(&mut self.changes)
    }

    /// Forgets what is too old to matter; to be called about once a second.
    pub fn sweep(&mut self, now: TimePoint) {
        self.proofs.retain(|_, answered_at| !answered_at.after(PROOF_TTL).passed(now));
        self.crashes.retain(|crash| !crash.at.after(CRASH_TTL).passed(now));
        self.blocks.retain(|_, block| !block.is_expired(now));
    }

    /// Notes the content that was in flight at an earlier crash, too.
    fn note_repeated_suspects(&mut self, added: &[ContentKey]) {
        for key in added {
            let suspects = self.crashes.iter().filter_map(|crash| crash.suspects.as_ref());
            let crash_count = suspects.filter(|suspects| suspects.contains(key)).count();
            if crash_count > 1 {
                self.changes.push(BlockChange::Suspected(*key, crash_count));
            }
        }
    }

    fn is_sound(&self, crashed_at: TimePoint, key: ContentKey) -> bool {
        let answered_at = self.proofs.get(&key);
        answered_at.is_some_and(|answered_at| !answered_at.after(PROOF_TTL).passed(crashed_at))
    }

    fn is_blocked(&self, now: TimePoint, key: ContentKey) -> bool {
        self.blocks.get(&key).is_some_and(|block| !block.is_expired(now))
    }

    /// The record of a crash, which is created if this is the first report on it.
    fn crash_mut(&mut self, crashed_at: TimePoint, target_hash: u64) -> &mut TargetCrash {
        let is_same = |crash: &TargetCrash| {
            crash.target_hash == target_hash && distance(crash.at, crashed_at) < CRASH_MERGE_WINDOW
        };
        let index = self.crashes.iter().position(is_same).unwrap_or_else(|| {
            if self.crashes.len() >= CRASHES_MAX {
                self.crashes.pop_front();
            }
            let suspects = Some(BTreeSet::new());
            self.crashes.push_back(TargetCrash { target_hash, at: crashed_at, suspects });
            self.crashes.len() - 1
        });
        &mut self.crashes[index]
    }

    /// The crashes that are not accounted for, in waves.
    fn waves(&self) -> Vec<CrashWave<'_>> {
        let mut crashes: Vec<(TimePoint, &BTreeSet<ContentKey>)> = self
            .crashes
            .iter()
            .filter_map(|crash| Some((crash.at, crash.suspects.as_ref()?)))
            .collect();
        crashes.sort_by_key(|(crashed_at, _)| *crashed_at);
        let mut waves: Vec<CrashWave<'_>> = Vec::new();
        for (crashed_at, suspects) in crashes {
            match waves.last_mut() {
                Some(wave) if !wave.started_at.after(WAVE_DURATION).passed(crashed_at) => {
                    wave.suspects.push(suspects);
                }
                _ => waves.push(CrashWave { started_at: crashed_at, suspects: vec![suspects] }),
            }
        }
        waves
    }

    /// Blocks content, which accounts for the crashes at which it was in flight.
    fn block_cause(&mut self, now: TimePoint, cause: ContentKey) {
        self.insert_block(cause, ContentBlock::new(now));
        for crash in &mut self.crashes {
            if crash.suspects.as_ref().is_some_and(|suspects| suspects.contains(&cause)) {
                crash.suspects = None;
            }
        }
    }

    fn insert_block(&mut self, key: ContentKey, block: ContentBlock) {
        if self.blocks.len() < BLOCKS_MAX {
            self.blocks.insert(key, block);
            self.changes.push(BlockChange::Blocked(key));
        }
    }
}

fn distance(one: TimePoint, other: TimePoint) -> Duration {
    one.since(other).max(other.since(one))
}
