//! Effects of an attempt's progress and outcome on its target and its call.

use std::time::Duration;

use base_types::{TargetKey, TimePoint};
use policy_retries::{ContentChange, CrashRecord};
use policy_targets::{CallRate, NamedLimit, RejectionLimit, RejectionStatement};

use crate::{
    AttemptOutcome, CallKey, ForwardCore, LeavingNotice,
    call::{CallState, CurrentAttempt},
};

/// Time after the start of a response after which its content is not the cause of a crash: content
/// that crashes a target does so as the answer begins.
const SAFE_RESPONSE_TIME: Duration = Duration::from_secs(1);

/// An attempt whose target is silent but has not ended it.
#[derive(Debug, Clone, Copy)]
pub struct HeldAttempt(CurrentAttempt);

impl ForwardCore {
    /// Records that the target started to answer: it has prefilled the prompt.
    pub fn on_response_started(&mut self, now: TimePoint, key: CallKey) {
        let Some(state) = self.calls.get_mut(&key) else { return };
        let Some(attempt) = &mut state.current_attempt else { return };
        let Some(record) = self.targets.get_mut(attempt.target) else { return };
        record.prefill_tokens =
            record.prefill_tokens.saturating_sub(u64::from(attempt.prefill_tokens));
        attempt.prefill_tokens = 0;
        attempt.response_started_at = Some(now);
        if let Some(pool) = self.waiting.get_mut(&state.pool) {
            pool.first_answer_time.record(now.since(attempt.sent_at));
        }
    }

    /// Records that the target of the attempt in progress answered, whatever the answer.
    pub fn on_target_answered(&mut self, now: TimePoint, key: CallKey) {
        let Some(attempt) = self.calls.get(&key).and_then(|state| state.current_attempt) else {
            return;
        };
        if let Some(record) = self.targets.get(attempt.target) {
            self.crashes.on_target_answered(now, record.target_hash, attempt.sent_at);
        }
        self.on_link_answered(now, attempt.target);
    }

    /// Records the limit on the rate of calls that a target named in an answer, or that it named none;
    /// returns whether the limit changed.
    pub fn on_rate_limit(
        &mut self,
        now: TimePoint,
        target: TargetKey,
        rate: Option<CallRate>,
    ) -> bool {
        let Some(record) = self.targets.get_mut(target) else { return false };
        let is_changed = record.allowance.on_named(now, NamedLimit { rate, named_at: now });
        if is_changed {
            record.limit_report.schedule();
        }
        is_changed
    }

    /// Records the rejections that a target said in an answer that it bears, or that it said nothing of
    /// them; returns whether the limit changed.
    pub fn on_rejection_limit(
        &mut self,
        now: TimePoint,
        target: TargetKey,
        limit: Option<RejectionLimit>,
    ) -> bool {
        let Some(record) = self.targets.get_mut(target) else { return false };
        let previous = record.rejection_statement.and_then(|statement| statement.limit);
        record.rejection_statement = Some(RejectionStatement { limit, stated_at: now });
        let pool_hash = record.pool_hash;
        if let Some(limit) = limit {
            self.on_fragile_answer(now, pool_hash, limit);
        }
        previous != limit
    }

    /// Records that a target asked for no calls from this router until a time.
    pub fn on_pause_asked(&mut self, target: TargetKey, until: TimePoint) {
        if let Some(record) = self.targets.get_mut(target) {
            record.paused_until = record.paused_until.max(until);
        }
    }

    /// Records that a target announced in an answer that it leaves: this start of it gets no further
    /// calls. Returns what the list says of the target if the announcement is new.
    pub fn on_leaving_announced(
        &mut self,
        now: TimePoint,
        target: TargetKey,
    ) -> Option<LeavingNotice> {
        let target_hash = self.targets.get(target)?.target_hash;
        let notice = self.targets.on_leaving_announced(now, target_hash)?;
        self.unreported_leaving.push(target_hash);
        Some(notice)
    }

    /// Clears the content of answers that have run for so long that they show it to be sound.
    pub(super) fn clear_content_of_long_answers(&mut self, now: TimePoint) {
        for call in self.calls.values() {
            let started_at = call.current_attempt.and_then(|attempt| attempt.response_started_at);
            if started_at.is_some_and(|at| at.after(SAFE_RESPONSE_TIME).passed(now)) {
                self.crashes.on_answer(now, &call.content_keys);
            }
        }
    }

    /// Records that the answer of the attempt in progress is complete, and known to be: it has a
    /// length or chunks, and so did not end because the target crashed.
    pub fn on_answer_complete(&mut self, now: TimePoint, key: CallKey) {
        if let Some(state) = self.calls.get(&key) {
            self.crashes.on_answer(now, &state.content_keys);
        }
    }

    /// Whether a target that lost a call is to be probed for a crash, once for calls lost together.
    pub fn take_crash_probe(&mut self, now: TimePoint, target: TargetKey) -> bool {
        self.targets.get_mut(target).is_some_and(|record| record.take_crash_probe(now))
    }

    /// Records that a target accepted a connection after it lost calls: it did not crash.
    pub fn on_target_reachable(&mut self, now: TimePoint, target: TargetKey) {
        self.on_link_answered(now, target);
        if let Some(record) = self.targets.get_mut(target) {
            record.lost_content.clear();
        }
    }

    /// Returns what changed in what is known of content since the last call, for logs.
    pub fn take_content_changes(&mut self) -> Vec<ContentChange> {
        self.crashes.tracker.take_changes()
    }

    /// Counts the calls that a target lost as lost in a crash, as it accepts no connection.
    pub(super) fn confirm_crash(&mut self, now: TimePoint, target: TargetKey) {
        let Some(record) = self.targets.get_mut(target) else { return };
        let target_hash = record.target_hash;
        if let Some((crashed_at, suspects)) = record.take_crash(now) {
            let crash = CrashRecord { target_hash, at: crashed_at, suspects };
            self.crashes.on_own_crash(now, crash);
        }
    }

    /// Records the outcome of the attempt in progress. The call is kept until [`Self::finish`].
    pub fn on_attempt_finished(&mut self, now: TimePoint, key: CallKey, outcome: AttemptOutcome) {
        let Some(mut state) = self.calls.remove(&key) else { return };
        self.apply_outcome(now, &mut state, outcome);
        if outcome == AttemptOutcome::Completed {
            self.record_call_time(now, &state);
        }
        let is_rejected = outcome == AttemptOutcome::Declined;
        self.release_place(key, &mut state, is_rejected.then_some(now));
        self.calls.insert(key, state);
    }

    /// Records that the target of the attempt in progress is silent, and returns the attempt, which goes on while another
    /// target is asked to continue the stream.
    pub fn hold_silent_attempt(&mut self, now: TimePoint, key: CallKey) -> Option<HeldAttempt> {
        let attempt = self.calls.get(&key)?.current_attempt?;
        self.on_attempt_finished(now, key, AttemptOutcome::Silent);
        Some(HeldAttempt(attempt))
    }

    /// Makes a held attempt the one in progress again, as no other target continues the stream; a later attempt is
    /// abandoned.
    pub fn return_to_attempt(&mut self, now: TimePoint, key: CallKey, held: HeldAttempt) {
        self.on_attempt_finished(now, key, AttemptOutcome::Abandoned);
        let Some(mut state) = self.calls.remove(&key) else { return };
        self.leave_queue(key, &mut state);
        self.end_detour(&mut state);
        let HeldAttempt(attempt) = held;
        if let Some(record) = self.targets.get_mut(attempt.target) {
            record.own_in_flight += 1;
            record.prefill_tokens += u64::from(attempt.prefill_tokens);
            record.cache_tokens += attempt.cache_tokens;
        }
        state.current_attempt = Some(attempt);
        self.calls.insert(key, state);
    }

    /// Removes a call that is over for its caller; ends an attempt in progress.
    pub fn finish(&mut self, key: CallKey) {
        let Some(mut state) = self.calls.remove(&key) else { return };
        self.release_place(key, &mut state, None);
        self.leave_queue(key, &mut state);
        self.end_attempt(&mut state);
        self.end_detour(&mut state);
    }

    /// Removes the target as a holder of the last segment, which it may not have prefilled before
    /// the attempt ended.
    fn forget_last_segment(&mut self, state: &CallState, target: TargetKey) {
        let Some(hash) = self.targets.get(target).map(|record| record.target_hash) else { return };
        let last_segment = state.prompt.as_ref().and_then(|prompt| prompt.segments.last());
        if let Some(segment) = last_segment {
            self.segments.remove_holder(segment.id, hash);
        }
    }

    fn apply_outcome(&mut self, now: TimePoint, state: &mut CallState, outcome: AttemptOutcome) {
        let response_started_at =
            state.current_attempt.and_then(|attempt| attempt.response_started_at);
        let sent_at = state.current_attempt.map_or(now, |attempt| attempt.sent_at);
        self.record_attempt_time(now, state, outcome);
        let Some(target) = self.end_attempt(state) else { return };
        if response_started_at.is_none() {
            self.forget_last_segment(state, target);
        }
        let is_content_safe = response_started_at
            .is_some_and(|started_at| started_at.after(SAFE_RESPONSE_TIME).passed(now));
        if is_content_safe {
            self.crashes.on_answer(now, &state.content_keys);
        }
        let Some(record) = self.targets.get_mut(target) else { return };
        match outcome {
            AttemptOutcome::Unsent => {
                // Nothing reached the target, so the attempt does not count against the limit.
                state.attempts -= 1;
                state.unsent_attempts += 1;
                record.lifecycle.on_failure(now);
                record.on_unreachable(now);
                record.record_outcome(now, true);
                self.on_link_failed(now, target);
                self.confirm_crash(now, target);
            }
            AttemptOutcome::Withdrawn => state.attempts -= 1,
            AttemptOutcome::Misdirected => record.lifecycle.on_failure(now),
            AttemptOutcome::Declined => record.declined_calls += 1,
            AttemptOutcome::Lost => {
                state.may_have_run = true;
                record.lifecycle.on_failure(now);
                record.record_outcome(now, true);
                if !is_content_safe {
                    record.on_content_lost(now, sent_at, &state.content_keys);
                }
            }
            AttemptOutcome::Failed | AttemptOutcome::Silent => {
                state.may_have_run = true;
                record.record_outcome(now, true);
            }
            AttemptOutcome::Completed => {
                state.may_have_run = true;
                record.record_outcome(now, false);
                if self.fragile_pools.contains_key(&record.pool_hash) {
                    let time = self.place_times.entry(state.pool.clone()).or_default();
                    time.record(now.since(sent_at));
                }
                if let Some(pool) = self.waiting.get_mut(&state.pool) {
                    pool.service_time.record(now.since(sent_at));
                }
            }
            AttemptOutcome::Abandoned | AttemptOutcome::Expired | AttemptOutcome::Unread => {
                state.may_have_run = true;
            }
        }
    }
}
