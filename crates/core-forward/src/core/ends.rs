//! Effects of an attempt's progress and outcome on its target and its call.

use base_types::{TargetKey, TimePoint};

use crate::{AttemptOutcome, CallKey, ForwardCore, call::CallState};

impl ForwardCore {
    /// Records that the target started to answer: it has prefilled the prompt.
    pub fn on_response_started(&mut self, key: CallKey) {
        let Some(state) = self.calls.get_mut(&key) else { return };
        let Some(attempt) = &mut state.current_attempt else { return };
        let Some(record) = self.targets.get_mut(attempt.target) else { return };
        record.prefill_tokens =
            record.prefill_tokens.saturating_sub(u64::from(attempt.prefill_tokens));
        attempt.prefill_tokens = 0;
        attempt.response_started = true;
    }

    /// Records the outcome of the attempt in progress. The call is kept until [`Self::finish`].
    pub fn on_attempt_finished(&mut self, now: TimePoint, key: CallKey, outcome: AttemptOutcome) {
        let Some(mut state) = self.calls.remove(&key) else { return };
        self.apply_outcome(now, &mut state, outcome);
        self.calls.insert(key, state);
    }

    /// Removes a call that is over for its caller; ends an attempt in progress.
    pub fn finish(&mut self, key: CallKey) {
        let Some(mut state) = self.calls.remove(&key) else { return };
        self.end_attempt(&mut state);
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
        let response_started =
            state.current_attempt.is_some_and(|attempt| attempt.response_started);
        let Some(target) = self.end_attempt(state) else { return };
        if !response_started {
            self.forget_last_segment(state, target);
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
            }
            AttemptOutcome::Misdirected => record.lifecycle.on_failure(now),
            AttemptOutcome::Declined => {}
            AttemptOutcome::Lost => {
                state.may_have_run = true;
                record.lifecycle.on_failure(now);
                record.record_outcome(now, true);
            }
            AttemptOutcome::Failed | AttemptOutcome::Silent => {
                state.may_have_run = true;
                record.record_outcome(now, true);
            }
            AttemptOutcome::Completed => {
                state.may_have_run = true;
                record.record_outcome(now, false);
            }
            AttemptOutcome::Abandoned | AttemptOutcome::Expired => state.may_have_run = true,
        }
    }
}
