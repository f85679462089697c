//! Choosing a target for a request and sending it.

use base_types::{
    Arrival, NotRunCode, PlacementToken, RequestKey, TargetKey, TimePoint, UnknownCode, key_types,
};
use policy_retries::BudgetKey;
use policy_routing::{ChoiceQuery, ChoiceReason, affinity_hash, choose_target};
use state_tables::PoolRow;

use crate::{
    Effect, LoadReport, RequestStep,
    core::RouterCore,
    request::{Fresh, LiveRequest, Repeating, Request, Sent},
};

const ATTEMPTS_MAX: usize = 3;

key_types! {
    /// A chosen target and the placement that the chat has after it.
    pub(super) struct ChosenTarget {
        target: TargetKey,
        placement: PlacementToken,
    }
}

key_types! {
    /// Where a request may go.
    pub(super) enum TargetPick {
        /// To a target, now.
        Target(ChosenTarget),
        /// Its content is suspect and waits until a point in time.
        Later(TimePoint),
        /// Its content is refused until a point in time.
        Condemned(TimePoint),
        /// The one target that it may run on is full.
        TrialFull,
        /// No target takes it.
        Nowhere,
    }
}

impl RouterCore {
    /// Keeps a request until a point in time.
    fn park(&mut self, now: TimePoint, live: LiveRequest, until: TimePoint) {
        let Some(key) = live.waiting_key() else { return };
        self.note(now, key, "Waits until its suspect content may run once more.".to_owned());
        self.wakes.insert((until, key));
        self.requests.insert(key, live);
    }

    /// Goes on with a request whose wait has ended.
    pub(super) fn on_wake(&mut self, now: TimePoint, key: RequestKey) {
        match self.requests.remove(&key) {
            Some(LiveRequest::Fresh(request)) => {
                let Some(pool) = self.table.pool(&request.pool).cloned() else {
                    return self.refuse_fresh(now, request, NotRunCode::PoolMissing);
                };
                self.dispatch_fresh(now, request, &pool);
            }
            Some(LiveRequest::Repeating(request)) => {
                self.dispatch_again(now, request, UnknownCode::TargetLost);
            }
            Some(live) => drop(self.requests.insert(key, live)),
            None => {}
        }
    }

    /// Whether the budget allows a try; first tries are free.
    fn may_try<State>(&mut self, request: &Request<State>) -> bool {
        request.tried.is_empty() || self.budgets.spend(&budget_key(request))
    }

    pub(super) fn dispatch_fresh(
        &mut self,
        now: TimePoint,
        request: Request<Fresh>,
        pool: &PoolRow,
    ) {
        if request.arrival.deadline.passed(now) {
            return self.refuse_fresh(now, request, NotRunCode::DeadlinePassed);
        }
        if request.tried.len() >= ATTEMPTS_MAX {
            return self.refuse_fresh(now, request, NotRunCode::RetriesSpent);
        }
        if self.must_wait(&pool.name) {
            return self.enqueue(now, request);
        }
        self.dispatch_now(now, request, pool);
    }

    /// Whether a waiting request finds room now.
    pub(super) fn has_room(
        &mut self,
        now: TimePoint,
        request: &Request<Fresh>,
        pool: &PoolRow,
    ) -> bool {
        let query = self.query(&request.arrival, &request.tried, pool);
        let views = self.targets.views(&pool.group, pool.target_slots, now);
        choose_target(&query, &views).is_some()
    }

    /// Sends a request for which no other waits.
    pub(super) fn dispatch_now(&mut self, now: TimePoint, request: Request<Fresh>, pool: &PoolRow) {
        let choice = match self.pick(now, &request.arrival, &request.tried, pool) {
            TargetPick::Target(choice) => choice,
            TargetPick::Later(at) if at < request.arrival.deadline => {
                return self.park(now, LiveRequest::Fresh(request), at);
            }
            TargetPick::Later(until) | TargetPick::Condemned(until) => {
                return self.refuse_until(now, request, NotRunCode::ContentSuspect, until);
            }
            TargetPick::TrialFull => {
                return self.refuse_fresh(now, request, NotRunCode::TargetsFull);
            }
            TargetPick::Nowhere => {
                let code = self.refusal_without_choice(now, &request.tried, pool);
                if code == NotRunCode::TargetsFull {
                    return self.enqueue(now, request);
                }
                return self.refuse_fresh(now, request, code);
            }
        };
        if !self.may_try(&request) {
            return self.refuse_fresh(now, request, NotRunCode::RetriesSpent);
        }
        let attempt = self.next_attempt();
        let sent = request.send(attempt, choice.target);
        self.send(now, sent, choice.placement);
    }

    pub(super) fn dispatch_again(
        &mut self,
        now: TimePoint,
        request: Request<Repeating>,
        code: UnknownCode,
    ) {
        let pool = self.table.pool(&request.pool).cloned();
        let Some(pool) = pool.filter(|pool| pool.repeatable) else {
            return self.give_up(now, request, code);
        };
        if request.tried.len() >= ATTEMPTS_MAX || request.arrival.deadline.passed(now) {
            return self.give_up(now, request, code);
        }
        let choice = match self.pick(now, &request.arrival, &request.tried, &pool) {
            TargetPick::Target(choice) => choice,
            TargetPick::Later(at) if at < request.arrival.deadline => {
                return self.park(now, LiveRequest::Repeating(request), at);
            }
            _ => return self.give_up(now, request, code),
        };
        if !self.may_try(&request) {
            self.note(now, request.arrival.request, "The retry budget is spent.".to_owned());
            return self.give_up(now, request, code);
        }
        let attempt = self.next_attempt();
        let sent = request.send(attempt, choice.target);
        self.send(now, sent, choice.placement);
    }

    pub(super) fn choose(
        &mut self,
        now: TimePoint,
        arrival: &Arrival,
        tried: &[TargetKey],
        pool: &PoolRow,
    ) -> Option<ChosenTarget> {
        let views = self.targets.views(&pool.group, pool.target_slots, now);
        let query = self.query(arrival, tried, pool);
        let choice = choose_target(&query, &views)?;
        let record = self.targets.record(choice.target)?;
        let reason = match choice.reason {
            ChoiceReason::Preferred => "it is the first home of the chat",
            ChoiceReason::SecondHome => "it is the second home of the chat and the first is busier",
            ChoiceReason::Bounded => "both homes of the chat are at their bound",
        };
        let sentence = format!(
            "Chose target `{}` of {} in pool `{}`: {reason} (load {}, bound {}).",
            record.name,
            views.len(),
            pool.name,
            record.own_in_flight.saturating_add(record.others_in_flight),
            choice.bound,
        );
        self.note(now, arrival.request, sentence);
        self.place(arrival, pool, choice.target)
    }

    fn query<'query>(
        &self,
        arrival: &Arrival,
        tried: &'query [TargetKey],
        pool: &PoolRow,
    ) -> ChoiceQuery<'query> {
        let affinity = affinity(arrival, pool);
        ChoiceQuery {
            affinity,
            placement: arrival.placement.or_else(|| self.holders.find(affinity)),
            chat_begins: arrival.chat_begins,
            max_load_ratio: pool.max_load_ratio,
            reuse_bias: pool.reuse_bias,
            place: self.peer_loads.place(&self.name),
            tried,
        }
    }

    /// Notes where a chat goes.
    pub(super) fn place(
        &mut self,
        arrival: &Arrival,
        pool: &PoolRow,
        target: TargetKey,
    ) -> Option<ChosenTarget> {
        let affinity = affinity(arrival, pool);
        let former = arrival.placement.or_else(|| self.holders.find(affinity));
        let hash = self.targets.record(target)?.hash;
        let first = PlacementToken::first(hash);
        let placement = former.map_or(first, |former| former.sent_to(hash));
        self.holders.put(affinity, placement);
        Some(ChosenTarget { target, placement })
    }

    pub(super) fn refusal_without_choice(
        &self,
        now: TimePoint,
        tried: &[TargetKey],
        pool: &PoolRow,
    ) -> NotRunCode {
        if !tried.is_empty() {
            return NotRunCode::RetriesSpent;
        }
        let views = self.targets.views(&pool.group, pool.target_slots, now);
        if views.iter().any(|view| view.percent > 0) {
            NotRunCode::TargetsFull
        } else {
            NotRunCode::NoTarget
        }
    }

    fn send(&mut self, now: TimePoint, request: Request<Sent>, placement: PlacementToken) {
        let Some(record) = self.targets.record_mut(request.state.target) else { return };
        record.own_in_flight += 1;
        let key = request.arrival.request;
        let step = RequestStep::Send {
            attempt: request.state.attempt,
            target: request.state.target,
            placement,
            address: record.address.clone(),
            once: request.claim.is_some(),
        };
        let sentence = format!("Sent to `{}` at {}.", record.name, record.address);
        self.note(now, key, sentence);
        self.touch_load();
        self.effects.push(Effect::Step(key, step));
        self.requests.insert(key, LiveRequest::Sent(request));
    }

    pub(super) fn hold_target(&mut self, now: TimePoint, target: TargetKey) {
        let Some(record) = self.targets.record_mut(target) else { return };
        record.life.on_failure(now);
    }

    pub(super) fn on_load(&mut self, now: TimePoint, target: TargetKey, report: LoadReport) {
        let shares_count = !self.peer_loads.is_empty();
        let Some(record) = self.targets.record_mut(target) else { return };
        record.adopt_report(now, report, shares_count);
    }

    pub(super) fn free_slot(&mut self, target: TargetKey) {
        let Some(record) = self.targets.record_mut(target) else { return };
        record.own_in_flight = record.own_in_flight.saturating_sub(1);
        self.touch_load();
    }
}

/// Whose retries a request counts against.
pub(super) fn budget_key<State>(request: &Request<State>) -> BudgetKey {
    BudgetKey { pool: request.pool.clone(), account: request.arrival.account.clone() }
}

fn affinity(arrival: &Arrival, pool: &PoolRow) -> u64 {
    if let Some(chat) = &arrival.chat {
        return affinity_hash(chat.as_str().as_bytes());
    }
    let head = arrival.prompt_head.len().min(pool.prefix_bytes as usize);
    if head > 0 {
        return affinity_hash(&arrival.prompt_head[..head]);
    }
    affinity_hash(arrival.account.as_str().as_bytes())
}
