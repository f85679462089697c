//! Choosing a target for a request and sending it.

use std::time::Duration;

use base_types::{Arrival, NotRunCode, TargetKey, TimePoint, UnknownCode};
use policy_routing::{ChoiceQuery, ChoiceReason, TargetChoice, affinity_hash, choose_target};
use state_tables::PoolRow;

use crate::{
    Effect, LoadReport, RequestStep,
    core::RouterCore,
    request::{Fresh, LiveRequest, Repeating, Request, Sent},
};

const ATTEMPTS_MAX: usize = 3;
const HOLD_AFTER_REFUSAL: Duration = Duration::from_secs(2);

impl RouterCore {
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
        let Some(choice) = self.choose(now, &request.arrival, &request.tried, pool) else {
            let code = self.refusal_without_choice(now, &request.tried, pool);
            return self.refuse_fresh(now, request, code);
        };
        let attempt = self.next_attempt();
        let sent = request.send(attempt, choice.target);
        self.send(now, sent);
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
        let Some(choice) = self.choose(now, &request.arrival, &request.tried, &pool) else {
            return self.give_up(now, request, code);
        };
        let attempt = self.next_attempt();
        let sent = request.send(attempt, choice.target);
        self.send(now, sent);
    }

    pub(super) fn choose(
        &mut self,
        now: TimePoint,
        arrival: &Arrival,
        tried: &[TargetKey],
        pool: &PoolRow,
    ) -> Option<TargetChoice> {
        let views = self.targets.views(&pool.group, pool.target_slots, now);
        let query = ChoiceQuery {
            affinity: affinity(arrival, pool),
            max_load_ratio: pool.max_load_ratio,
            reuse_bias: pool.reuse_bias,
            place: self.peer_loads.place(&self.name),
            tried,
        };
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
            record.own_in_flight + record.others_in_flight,
            choice.bound,
        );
        self.note(now, arrival.request, sentence);
        Some(choice)
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
        if views.iter().any(|view| view.open) {
            NotRunCode::TargetsFull
        } else {
            NotRunCode::NoTarget
        }
    }

    pub(super) fn send(&mut self, now: TimePoint, request: Request<Sent>) {
        let Some(record) = self.targets.record_mut(request.state.target) else { return };
        record.own_in_flight += 1;
        let key = request.arrival.request;
        let step = RequestStep::Send {
            attempt: request.state.attempt,
            target: request.state.target,
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
        record.held_until = now.after(HOLD_AFTER_REFUSAL);
    }

    pub(super) fn on_load(&mut self, target: TargetKey, report: LoadReport) {
        // Shares of the routers count alike for all targets; a report is the fallback.
        if !self.peer_loads.is_empty() {
            return;
        }
        let Some(record) = self.targets.record_mut(target) else { return };
        record.others_in_flight = report.in_flight.saturating_sub(record.own_in_flight);
    }

    pub(super) fn free_slot(&mut self, target: TargetKey) {
        let Some(record) = self.targets.record_mut(target) else { return };
        record.own_in_flight = record.own_in_flight.saturating_sub(1);
        self.touch_load();
    }
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
