//! Target choice and dispatch of requests.

use base_types::{
    IncomingRequest, NotRunCode, PlacementToken, RequestKey, TargetKey, TimePoint, UnknownCode,
    key_types,
};
use policy_retries::BudgetKey;
use policy_routing::{ChoiceQuery, ChoiceReason, choose_target, stable_hash};
use state_tables::PoolRow;

use crate::{
    Effect, LoadReport, RequestStep,
    core::RouterCore,
    request::{Fresh, LiveRequest, Request, Retrying, Sent},
};

/// Attempts per request, the first one included.
const ATTEMPTS_MAX: usize = 3;

key_types! {
    /// A chosen target and the chat's placement token after this choice.
    pub(super) struct ChosenTarget {
        target: TargetKey,
        placement: PlacementToken,
    }
}

key_types! {
    /// Result of picking a target for a request.
    pub(super) enum TargetPick {
        /// The request may be sent now.
        Target(ChosenTarget),
        /// The content is suspect; its trial may not start before this time.
        Delayed(TimePoint),
        /// The content is refused until this time.
        Blocked(TimePoint),
        /// The only target that may run the trial is full, was tried already, or does not exist.
        TrialTargetUnavailable,
        /// No target has room, or none accepts new work.
        NoTarget,
    }
}

impl RouterCore {
    /// Delays a request until the trial of its suspect content may start.
    fn delay(&mut self, now: TimePoint, live: LiveRequest, until: TimePoint) {
        let Some(key) = live.waiting_key() else { return };
        self.record_decision(
            now,
            key,
            "Delayed until a trial of its suspect content is allowed.".to_owned(),
        );
        self.delayed_requests.insert((until, key));
        self.requests.insert(key, live);
    }

    /// Dispatches a delayed request whose wait has ended.
    pub(super) fn resume_delayed(&mut self, now: TimePoint, key: RequestKey) {
        match self.requests.remove(&key) {
            Some(LiveRequest::Fresh(request)) => {
                let Some(pool) = self.tables.pool(&request.pool).cloned() else {
                    return self.refuse_fresh(now, request, NotRunCode::PoolMissing);
                };
                self.dispatch_fresh(now, request, &pool);
            }
            Some(LiveRequest::Retrying(request)) => {
                self.dispatch_retry(now, request, UnknownCode::TargetLost);
            }
            Some(live) => drop(self.requests.insert(key, live)),
            None => {}
        }
    }

    /// Spends a retry from the budget; the first attempt is free. Returns false if none is left.
    fn charge_retry<State>(&mut self, request: &Request<State>) -> bool {
        request.attempted_targets.is_empty() || self.retry_budgets.try_spend(&budget_key(request))
    }

    pub(super) fn dispatch_fresh(
        &mut self,
        now: TimePoint,
        request: Request<Fresh>,
        pool: &PoolRow,
    ) {
        if request.incoming.deadline.passed(now) {
            return self.refuse_fresh(now, request, NotRunCode::DeadlinePassed);
        }
        if request.attempted_targets.len() >= ATTEMPTS_MAX {
            return self.refuse_fresh(now, request, NotRunCode::RetriesSpent);
        }
        if self.must_wait(&pool.name) {
            return self.enqueue(now, request);
        }
        self.dispatch_now(now, request, pool);
    }

    /// Whether a target has room for the request; suspect content is not considered.
    pub(super) fn has_room(
        &mut self,
        now: TimePoint,
        request: &Request<Fresh>,
        pool: &PoolRow,
    ) -> bool {
        let query = self.choice_query(&request.incoming, &request.attempted_targets, pool);
        let views = self.targets.views(&pool.group, pool.target_slots, now);
        choose_target(&query, &views).is_some()
    }

    /// Sends a request that no queued request precedes; queues the request if all targets are full.
    pub(super) fn dispatch_now(&mut self, now: TimePoint, request: Request<Fresh>, pool: &PoolRow) {
        let choice =
            match self.pick_target(now, &request.incoming, &request.attempted_targets, pool) {
                TargetPick::Target(choice) => choice,
                TargetPick::Delayed(at) if at < request.incoming.deadline => {
                    return self.delay(now, LiveRequest::Fresh(request), at);
                }
                TargetPick::Delayed(until) | TargetPick::Blocked(until) => {
                    return self.refuse_until(now, request, NotRunCode::ContentSuspect, until);
                }
                TargetPick::TrialTargetUnavailable => {
                    return self.refuse_fresh(now, request, NotRunCode::TargetsFull);
                }
                TargetPick::NoTarget => {
                    let code = self.no_choice_code(now, &request.attempted_targets, pool);
                    if code == NotRunCode::TargetsFull {
                        return self.enqueue(now, request);
                    }
                    return self.refuse_fresh(now, request, code);
                }
            };
        if !self.charge_retry(&request) {
            return self.refuse_fresh(now, request, NotRunCode::RetriesSpent);
        }
        let attempt = self.next_attempt_key();
        let sent = request.send(attempt, choice.target);
        self.send(now, sent, choice.placement);
    }

    pub(super) fn dispatch_retry(
        &mut self,
        now: TimePoint,
        request: Request<Retrying>,
        code: UnknownCode,
    ) {
        let pool = self.tables.pool(&request.pool).cloned();
        let Some(pool) = pool.filter(|pool| pool.repeatable) else {
            return self.give_up(now, request, code);
        };
        if request.attempted_targets.len() >= ATTEMPTS_MAX || request.incoming.deadline.passed(now)
        {
            return self.give_up(now, request, code);
        }
        let choice =
            match self.pick_target(now, &request.incoming, &request.attempted_targets, &pool) {
                TargetPick::Target(choice) => choice,
                TargetPick::Delayed(at) if at < request.incoming.deadline => {
                    return self.delay(now, LiveRequest::Retrying(request), at);
                }
                _ => return self.give_up(now, request, code),
            };
        if !self.charge_retry(&request) {
            self.record_decision(
                now,
                request.incoming.request,
                "The retry budget is exhausted.".to_owned(),
            );
            return self.give_up(now, request, code);
        }
        let attempt = self.next_attempt_key();
        let sent = request.send(attempt, choice.target);
        self.send(now, sent, choice.placement);
    }

    pub(super) fn choose_by_affinity(
        &mut self,
        now: TimePoint,
        incoming: &IncomingRequest,
        attempted_targets: &[TargetKey],
        pool: &PoolRow,
    ) -> Option<ChosenTarget> {
        let views = self.targets.views(&pool.group, pool.target_slots, now);
        let query = self.choice_query(incoming, attempted_targets, pool);
        let choice = choose_target(&query, &views)?;
        let record = self.targets.record(choice.target)?;
        let reason = match choice.reason {
            ChoiceReason::FirstHome => "it is the first home target of the chat",
            ChoiceReason::SecondHome => {
                "it is the second home target of the chat and the first is busier"
            }
            ChoiceReason::OutsideHomes => "both home targets of the chat are at their load bound",
        };
        let sentence = format!(
            "Chose target `{}` of {} in pool `{}`: {reason} (load {}, bound {}).",
            record.name,
            views.len(),
            pool.name,
            record.own_in_flight.saturating_add(record.peer_in_flight),
            choice.bound,
        );
        self.record_decision(now, incoming.request, sentence);
        self.record_placement(incoming, pool, choice.target)
    }

    fn choice_query<'query>(
        &self,
        incoming: &IncomingRequest,
        attempted_targets: &'query [TargetKey],
        pool: &PoolRow,
    ) -> ChoiceQuery<'query> {
        let affinity = affinity(incoming, pool);
        ChoiceQuery {
            affinity,
            placement: incoming.placement.or_else(|| self.placements.get(affinity)),
            is_first_turn: incoming.is_first_turn,
            max_load_ratio: pool.max_load_ratio,
            reuse_bias: pool.reuse_bias,
            position: self.peer_loads.position(&self.name),
            attempted_targets,
        }
    }

    /// Records the target that a chat is sent to and updates its placement token.
    pub(super) fn record_placement(
        &mut self,
        incoming: &IncomingRequest,
        pool: &PoolRow,
        target: TargetKey,
    ) -> Option<ChosenTarget> {
        let affinity = affinity(incoming, pool);
        let previous = incoming.placement.or_else(|| self.placements.get(affinity));
        let hash = self.targets.record(target)?.hash;
        let first = PlacementToken::new(hash);
        let placement = previous.map_or(first, |previous| previous.with_latest(hash));
        self.placements.put(affinity, placement);
        Some(ChosenTarget { target, placement })
    }

    pub(super) fn no_choice_code(
        &self,
        now: TimePoint,
        attempted_targets: &[TargetKey],
        pool: &PoolRow,
    ) -> NotRunCode {
        if !attempted_targets.is_empty() {
            return NotRunCode::RetriesSpent;
        }
        let views = self.targets.views(&pool.group, pool.target_slots, now);
        if views.iter().any(|view| view.weight_percent > 0) {
            NotRunCode::TargetsFull
        } else {
            NotRunCode::NoTarget
        }
    }

    fn send(&mut self, now: TimePoint, request: Request<Sent>, placement: PlacementToken) {
        let Some(record) = self.targets.record_mut(request.state.target) else { return };
        record.own_in_flight += 1;
        let key = request.incoming.request;
        let step = RequestStep::Send {
            attempt: request.state.attempt,
            target: request.state.target,
            placement,
            address: record.address.clone(),
            non_idempotent: request.claim.is_some(),
        };
        let sentence = format!("Sent to `{}` at {}.", record.name, record.address);
        self.record_decision(now, key, sentence);
        self.mark_load_changed();
        self.effects.push(Effect::Step(key, step));
        self.requests.insert(key, LiveRequest::Sent(request));
    }

    pub(super) fn on_target_failure(&mut self, now: TimePoint, target: TargetKey) {
        let Some(record) = self.targets.record_mut(target) else { return };
        record.lifecycle.on_failure(now);
    }

    pub(super) fn on_load_report(&mut self, now: TimePoint, target: TargetKey, report: LoadReport) {
        let has_peer_shares = !self.peer_loads.is_empty();
        let Some(record) = self.targets.record_mut(target) else { return };
        record.apply_report(now, report, has_peer_shares);
    }

    pub(super) fn release_slot(&mut self, target: TargetKey) {
        let Some(record) = self.targets.record_mut(target) else { return };
        record.own_in_flight = record.own_in_flight.saturating_sub(1);
        self.mark_load_changed();
    }
}

/// The budget that a retry of the request is charged to.
pub(super) fn budget_key<State>(request: &Request<State>) -> BudgetKey {
    BudgetKey { pool: request.pool.clone(), account: request.incoming.account.clone() }
}

/// Hash of the chat; without one, of the prompt prefix; without either, of the account.
fn affinity(incoming: &IncomingRequest, pool: &PoolRow) -> u64 {
    if let Some(chat) = &incoming.chat {
        return stable_hash(chat.as_str().as_bytes());
    }
    let prefix_len = incoming.prompt_prefix.len().min(pool.prefix_bytes as usize);
    if prefix_len > 0 {
        return stable_hash(&incoming.prompt_prefix[..prefix_len]);
    }
    stable_hash(incoming.account.as_str().as_bytes())
}
