//! Dispatch of calls: choice of a target, retries and refusals.

use std::time::Duration;

use base_types::{ContentKey, NotRunCode, Refusal, TargetKey, TimePoint, UnknownCode};
use policy_retries::ContentVerdict;
use policy_routing::{
    CostChoice, CostQuery, CostView, choose_cheapest, rendezvous_score, stable_hash, unit_hash,
};

use crate::{
    AttemptSpec, CallKey, ChoiceInputs, DispatchStep, ForwardCore, PromptHead,
    call::{CallState, CurrentAttempt},
    core::{
        places::PlaceStep,
        refusals::{refuse, refuse_until},
    },
    engine_memory::{EngineFill, call_tokens},
    heartbeat_interval,
    origins::StreamSoftware,
    places::ClaimState,
    targets::TargetRecord,
};

/// Time after which a target is assumed to have prefilled the prompt of a call sent to it. The
/// slowest engines take this long for 25,000 tokens.
const PREFILL_TIME: Duration = Duration::from_millis(300);

/// Multiple of the route's latency target after which a target is silent, on routes without
/// streams. The time that a call without a stream takes depends on the call, so another target
/// would not answer sooner.
const SILENCE_FACTOR: u32 = 2;

/// Percentage of the route's latency target for the first event after which an engine is silent.
/// The rest is left for another engine to answer in time.
const STREAM_SILENCE_PERCENT: u32 = 75;

/// Prompt tokens that an engine prefills per millisecond alongside other calls; on its own it
/// prefills twice as many.
const PREFILL_TOKENS_PER_MS: u32 = 50;

/// Smallest percentage of the headroom between the mean load and the load bound that is used. The
/// percentage falls by one for each router, as heartbeats are less frequent in a larger fleet.
const HEADROOM_PERCENT_MIN: u32 = 50;

/// Routers that may use the allowance of a target between two heartbeats, beside those whose calls the
/// target takes in that time.
const CONTENDERS_MIN: f64 = 1.0;

/// Number of attempts with outcome `Unsent` after which a call is refused.
const UNSENT_ATTEMPTS_MAX: u32 = 4;

/// Reason why a call is sent to no target now.
#[derive(Debug, Clone, Copy)]
enum ChoiceObstacle {
    /// No target takes the call.
    NoTarget,
    /// The targets that take the call are fragile and have no place for it.
    NoPlace,
    /// The keeper of a target's places answers by this time.
    PlaceAsked(TimePoint),
}

impl ForwardCore {
    /// Returns the next action for a call without an attempt in progress. A call that is not
    /// admitted is refused with an unknown outcome.
    pub fn dispatch(&mut self, now: TimePoint, key: CallKey) -> DispatchStep {
        let Some(mut state) = self.calls.remove(&key) else {
            return DispatchStep::Refuse(Refusal::Unknown(UnknownCode::TargetLost));
        };
        let step = self.next_step(now, key, &mut state);
        self.calls.insert(key, state);
        step
    }

    fn next_step(&mut self, now: TimePoint, key: CallKey, state: &mut CallState) -> DispatchStep {
        let step = self.decide_step(now, key, state);
        if !matches!(step, DispatchStep::Wait(_)) {
            self.leave_queue(key, state);
        }
        if let DispatchStep::Refuse(_) | DispatchStep::Detour(_) = step {
            self.release_place(key, state, None);
        }
        step
    }

    fn decide_step(&mut self, now: TimePoint, key: CallKey, state: &mut CallState) -> DispatchStep {
        if state.deadline.passed(now) {
            return refuse(now, state, NotRunCode::DeadlinePassed, UnknownCode::DeadlineAfterSend);
        }
        let content_verdict = self.content_verdict(now, state);
        if let ContentVerdict::Refused(until) = content_verdict {
            return refuse_until(state, NotRunCode::ContentSuspect, UnknownCode::TargetLost, until);
        }
        if state.may_have_run && !state.retry_rule.is_retryable() {
            return refuse(now, state, NotRunCode::RetriesSpent, UnknownCode::TargetLost);
        }
        if state.attempts >= state.attempts_max {
            return self.refuse_spent(now, state);
        }
        if let Some(step) = self.detour_step(now, state) {
            return step;
        }
        self.resolve_software(now, state);
        if let StreamSoftware::Unresolved(_) = state.software {
            return refuse(now, state, NotRunCode::OriginUnknown, UnknownCode::TargetLost);
        }
        if state.unsent_attempts >= UNSENT_ATTEMPTS_MAX {
            return self.refuse_spent(now, state);
        }
        // A call that asks for a place has passed the queue.
        if state.place.asks == 0
            && let Some(step) = self.waiting_step(now, key, state)
        {
            return step;
        }
        let choice = match self.choose_with_place(now, key, state) {
            Ok(choice) => choice,
            Err(ChoiceObstacle::PlaceAsked(until)) => return DispatchStep::AskPlace(until),
            Err(ChoiceObstacle::NoPlace) => return self.refuse_without_place(now, state),
            Err(ChoiceObstacle::NoTarget) => return self.refuse_without_target(now, state),
        };
        if state.attempts > 0 && !self.spend_retry(now, state) {
            return self.refuse_spent(now, state);
        }
        match self.start_attempt(now, state, choice) {
            Some(attempt) => {
                if content_verdict == ContentVerdict::Trial {
                    state.current_attempt.iter_mut().for_each(|attempt| attempt.is_trial = true);
                    self.crashes.tracker.start_trial(now, &state.content_keys);
                }
                DispatchStep::Send(attempt)
            }
            None => refuse(now, state, NotRunCode::NoTarget, UnknownCode::TargetLost),
        }
    }

    /// Whether a call that was dispatched, but not sent yet, may not be sent any more.
    pub fn is_withheld(&self, now: TimePoint, key: CallKey) -> bool {
        let Some(state) = self.calls.get(&key) else { return false };
        let Some(attempt) = state.current_attempt else { return false };
        let is_blocked = |key: &ContentKey| self.crashes.tracker.is_blocked(now, *key);
        let record = self.targets.get(attempt.target);
        (!attempt.is_trial && state.content_keys.iter().any(is_blocked))
            || record.is_some_and(|record| record.is_evacuated)
    }

    /// How a call may be dispatched in view of its content. Trials of blocked content are assigned to
    /// one router, so that they are rare in a fleet of any size.
    fn content_verdict(&self, now: TimePoint, state: &CallState) -> ContentVerdict {
        let may_try = |key: ContentKey| self.is_assigned_here(key.0);
        let is_in_flight = |key: ContentKey| {
            let mut running = self.calls.values().filter(|call| call.current_attempt.is_some());
            running.any(|call| call.content_keys.contains(&key))
        };
        self.crashes.tracker.verdict(now, &state.content_keys, may_try, is_in_flight)
    }

    /// Whether this router may use the allowance of a target that names a limit. While other routers do
    /// not know of each other's latest calls, only a few of them may use it, others after each
    /// heartbeat.
    pub(super) fn is_contender(&self, now: TimePoint, record: &TargetRecord) -> bool {
        let Some(rate) = record.allowance.rate() else { return true };
        let routers = self.router_count();
        let interval = heartbeat_interval(routers);
        let contenders = CONTENDERS_MIN + rate * interval.as_secs_f64();
        let turn = now.0 / interval.as_micros() as u64;
        let hash = stable_hash(self.entry.name.as_str().as_bytes()) ^ record.target_hash ^ turn;
        unit_hash(hash) * f64::from(routers) < contenders
    }

    pub(super) fn spend_retry(&mut self, now: TimePoint, state: &CallState) -> bool {
        let bounds = self.retry_bounds(now);
        let routers = self.router_count();
        self.retry_budgets.entry(state.pool.clone()).or_default().try_spend(now, &bounds, routers)
    }

    /// Returns whether the silent target of a call is to be probed now; if so, schedules the next
    /// probe. A probe checks whether the target accepts connections.
    pub fn take_due_probe(&mut self, now: TimePoint, key: CallKey) -> bool {
        let attempt = self.calls.get(&key).and_then(|state| state.current_attempt);
        let record = attempt.and_then(|attempt| self.targets.get_mut(attempt.target));
        record.is_some_and(|record| record.take_due_probe(now))
    }

    /// Records that a target accepted no connection when it was probed.
    pub fn on_target_unreachable(&mut self, now: TimePoint, target: TargetKey) {
        if let Some(record) = self.targets.get_mut(target) {
            if record.link.is_up() {
                record.lifecycle.on_failure(now);
            }
            record.on_unreachable(now);
        }
        self.on_link_failed(now, target);
        self.confirm_crash(now, target);
    }

    /// Whether a call whose target is silent can be retried on another target now.
    pub fn can_retry(&mut self, now: TimePoint, key: CallKey) -> bool {
        let Some(state) = self.calls.remove(&key) else { return false };
        let can_retry = self.can_retry_elsewhere(now, &state);
        self.calls.insert(key, state);
        can_retry
    }

    fn can_retry_elsewhere(&mut self, now: TimePoint, state: &CallState) -> bool {
        if !state.retry_rule.is_retryable() || state.attempts >= state.attempts_max {
            return false;
        }
        let has_alternative =
            self.cost_views(now, state).iter().any(|view| !view.excluded && !view.ejected);
        let bounds = self.retry_bounds(now);
        let routers = self.router_count();
        let budget = self.retry_budgets.get(&state.pool);
        let has_budget = budget.is_some_and(|budget| budget.remaining(now, &bounds, routers) > 0);
        (has_alternative || self.can_detour(now, state))
            && !state.deadline.passed(now)
            && has_budget
    }

    /// Number of routers that share the retry budget, including those without a recent heartbeat.
    pub(super) fn router_count(&self) -> u32 {
        self.peers.entries().count() as u32 + 1
    }

    /// Chooses a target that takes the call; a fragile one has a place for it then.
    ///
    /// # Errors
    ///
    /// Returns why there is no such target, or none yet.
    fn choose_with_place(
        &mut self,
        now: TimePoint,
        key: CallKey,
        state: &mut CallState,
    ) -> Result<CostChoice, ChoiceObstacle> {
        loop {
            let Some(choice) = self.choose_target(now, state) else {
                if !matches!(state.place.claim, ClaimState::Unclaimed) {
                    // The target of the claim no longer takes the call.
                    self.release_place(key, state, None);
                    continue;
                }
                return Err(match state.place.full_targets.is_empty() {
                    true => ChoiceObstacle::NoTarget,
                    false => ChoiceObstacle::NoPlace,
                });
            };
            match self.take_place(now, key, state, &choice) {
                PlaceStep::Ready => return Ok(choice),
                PlaceStep::Asked(until) => return Err(ChoiceObstacle::PlaceAsked(until)),
                PlaceStep::Full => {}
                PlaceStep::Exhausted => return Err(ChoiceObstacle::NoPlace),
            }
        }
    }

    fn choose_target(&self, now: TimePoint, state: &CallState) -> Option<CostChoice> {
        let mut views = self.cost_views(now, state);
        if self.is_queueing(now) {
            self.prefer_room(now, &state.pool, &mut views);
        }
        let prompt_tokens = state.prompt.as_ref().map_or(0, |prompt| prompt.input_tokens);
        let salt = state.content.0 as u64 ^ stable_hash(&now.0.to_le_bytes());
        let query = CostQuery {
            prompt_tokens,
            load_ratio_max: self.effective_load_ratio_max(),
            retryable: state.retry_rule.is_retryable(),
            salt,
        };
        choose_cheapest(&query, &views)
    }

    /// Returns the multiple of the mean load up to which targets are chosen. It leaves headroom for
    /// calls that other routers sent after their last heartbeat.
    fn effective_load_ratio_max(&self) -> f64 {
        let used_percent =
            100u32.saturating_sub(self.router_count()).clamp(HEADROOM_PERCENT_MIN, 100);
        1.0 + (self.bounds.load_ratio_max - 1.0) * f64::from(used_percent) / 100.0
    }

    fn cost_views(&self, now: TimePoint, state: &CallState) -> Vec<CostView> {
        let affinity = state.prompt.as_ref().map_or(0, longest_segment);
        let is_adaptive = self.uses_speeds(now, &state.pool);
        let responding = self.targets.responding(now, &state.pool);
        let tokens = |record: &TargetRecord, until: TimePoint| {
            state.prompt.as_ref().map_or(0, |prompt| self.cached_tokens(prompt, record, until))
        };
        let views = responding.map(|(target, record)| {
            let speed = record.speed_estimate(now, is_adaptive);
            CostView {
                target,
                load: self.known_load(now, record),
                slots: record.entry.slots,
                queued_prefill_tokens: record.prefill_tokens,
                cached_tokens: tokens(record, TimePoint::NEVER),
                fetchable_tokens: tokens(record, now),
                home_score: rendezvous_score(affinity, record.target_hash, 1),
                failure_rate: record.failure_rate.rate(now),
                slowdown: speed.slowdown,
                comfortable_calls: speed.concurrency,
                lacks_memory: self.lacks_memory(state, record),
                ejected: record.is_ejected(now),
                // Nothing is fetched from a target of an evacuated failure domain either.
                unreachable: record.is_unreachable(now) || record.is_evacuated,
                excluded: state.attempted_targets.contains(&target)
                    || (state.current_attempt.is_none() && state.place.excludes(target))
                    || !record.keeper_silent_until.passed(now)
                    || !state.software.allows(record.software)
                    || !record.can_be_sent_calls(now)
                    || !self.is_contender(now, record)
                    || !self.has_cold_turn(now, record),
            }
        });
        views.collect()
    }

    /// Calls of all routers in flight on a target, as far as known. A target that had no place a moment ago counts
    /// as fully loaded, whatever heartbeats say.
    fn known_load(&self, now: TimePoint, record: &TargetRecord) -> u32 {
        let load = record.own_in_flight.saturating_add(self.peer_loads.load(record.target_hash));
        if record.full_until.passed(now) { load } else { load.max(record.entry.slots) }
    }

    /// Whether the call exceeds the cache of an engine; false where engines are not guarded.
    fn lacks_memory(&self, state: &CallState, record: &TargetRecord) -> bool {
        if !self.bounds.engine_memory_guard {
            return false;
        }
        let pool = self.config.as_ref().and_then(|config| config.pools.get(&state.pool));
        let Some(engine) = pool.and_then(|pool| pool.engine) else { return false };
        let fill = EngineFill {
            cache_tokens: engine.cache_tokens,
            own_tokens: record.cache_tokens,
            peer_calls: self.peer_loads.load(record.target_hash),
        };
        let sizes = self.call_sizes.get(&state.pool).copied().unwrap_or_default();
        sizes.lacks_memory(fill, call_tokens(state.prompt.as_ref()))
    }

    /// Returns the number of leading prompt tokens that the target has cached at `until`: a segment
    /// counts once [`PREFILL_TIME`] has passed since its prefill started.
    fn cached_tokens(&self, prompt: &PromptHead, record: &TargetRecord, until: TimePoint) -> u32 {
        let segments = prompt.segments.iter();
        let cached = segments.take_while(|segment| {
            let prefill_started_at =
                self.segments.prefill_started_at(segment.id, record.target_hash);
            prefill_started_at
                .is_some_and(|prefill_started_at| prefill_started_at.after(PREFILL_TIME) <= until)
        });
        cached.fold(0, |sum, segment| sum.saturating_add(segment.tokens))
    }

    fn start_attempt(
        &mut self,
        now: TimePoint,
        state: &mut CallState,
        choice: CostChoice,
    ) -> Option<AttemptSpec> {
        self.report_origin_early(now, state, choice.target);
        let pool = self.config.as_ref().and_then(|config| config.pools.get(&state.pool));
        self.has_plain_call |= pool.is_some_and(|pool| pool.engine.is_none());
        let fetch_from = choice.fetch_from.and_then(|target| self.targets.get(target));
        let fetch_from = fetch_from.map(|record| record.entry.address);
        let turns = self.targets.get(choice.target).and_then(|record| self.cold_turns(now, record));
        let record = self.targets.get_mut(choice.target)?;
        if let Some(turns) = turns {
            turns.take(now, &mut record.cold_turn);
        }
        record.own_in_flight += 1;
        record.allowance.spend(now, 1);
        record.limit_report.on_send(&record.allowance);
        record.prefill_tokens += u64::from(choice.prefill_tokens);
        let cache_tokens = call_tokens(state.prompt.as_ref());
        record.cache_tokens += cache_tokens;
        let target_hash = record.target_hash;
        self.count_start(now, choice.target);
        let record = self.targets.get(choice.target)?;
        let attempt = AttemptSpec {
            target: choice.target,
            name: record.entry.name.as_str().into(),
            address: record.entry.address,
            software_version: record.entry.software_version.clone(),
            account: state.account.clone(),
            rank: state.rank,
            deadline: state.deadline,
            response_start_deadline: response_start_deadline(now, state, choice.prefill_tokens),
            fetch_from,
            attempts_before: state.attempts,
            inputs: ChoiceInputs {
                cost: choice.cost,
                load: choice.load,
                mean_load: choice.mean_load,
                candidates: choice.candidates,
                prompt_tokens: state.prompt.as_ref().map_or(0, |prompt| prompt.input_tokens),
                cached_tokens: choice.cached_tokens,
                prefill_tokens: choice.prefill_tokens,
                slowdown: choice.slowdown,
                comfortable_calls: choice.comfortable_calls,
            },
        };
        state.attempts += 1;
        state.place.start_attempt();
        state.current_attempt = Some(CurrentAttempt {
            target: choice.target,
            prefill_tokens: choice.prefill_tokens,
            cache_tokens,
            sent_at: now,
            sent_prefill_tokens: choice.prefill_tokens,
            sent_load: choice.load.saturating_add(1),
            last_event_at: None,
            response_started_at: None,
            is_trial: false,
        });
        state.attempted_targets.push(choice.target);
        self.record_expected_segments(now, state, target_hash);
        Some(attempt)
    }

    /// Records that the target prefills the prompt, so that calls with the same segments follow it
    /// there.
    fn record_expected_segments(&mut self, now: TimePoint, state: &CallState, target_hash: u64) {
        let segments = state.prompt.iter().flat_map(|prompt| &prompt.segments);
        let last = state.prompt.as_ref().and_then(|prompt| prompt.segments.last());
        for segment in segments {
            // The last segment mostly belongs to a single call, so it is reported to other routers
            // only when it is already known.
            if last != Some(segment) || self.segments.contains(segment.id) {
                self.unreported_holders.push((segment.id, target_hash));
            }
            self.segments.record_pending(now, segment.id, target_hash);
        }
    }

    /// Ends the attempt in progress and returns its target.
    pub(super) fn end_attempt(&mut self, state: &mut CallState) -> Option<TargetKey> {
        let attempt = state.current_attempt.take()?;
        if let Some(record) = self.targets.get_mut(attempt.target) {
            record.own_in_flight = record.own_in_flight.saturating_sub(1);
            record.prefill_tokens =
                record.prefill_tokens.saturating_sub(u64::from(attempt.prefill_tokens));
            record.cache_tokens = record.cache_tokens.saturating_sub(attempt.cache_tokens);
        }
        self.count_freed_place(state, attempt.target);
        Some(attempt.target)
    }
}

/// Returns the time at which a target that has not started to answer is silent.
fn response_start_deadline(now: TimePoint, state: &CallState, prefill_tokens: u32) -> TimePoint {
    if !state.retry_rule.is_streaming() {
        return now.after(state.latency_target * SILENCE_FACTOR);
    }
    let prefill_time = Duration::from_millis(u64::from(prefill_tokens / PREFILL_TOKENS_PER_MS));
    now.after(state.latency_target * STREAM_SILENCE_PERCENT / 100 + prefill_time)
}

/// Returns the longest segment of a prompt; calls that share it have the same home target.
fn longest_segment(prompt: &PromptHead) -> u64 {
    prompt.segments.iter().max_by_key(|segment| segment.tokens).map_or(0, |segment| segment.id)
}
