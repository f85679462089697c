//! Choosing a target for a call, and when it is given up.

use std::time::Duration;

use base_types::{NotRunCode, Refusal, TargetKey, TimePoint, UnknownCode};
use policy_routing::{
    CostChoice, CostQuery, CostView, affinity_hash, choose_cheapest, rendezvous_score,
};

use crate::{
    CallKey, ChoiceGrounds, DispatchStep, ForwardCore, PromptHead, SendOrder,
    call::{CurrentSend, LiveCall},
    targets::TargetRecord,
};

/// Time after which a caller may come back when no target takes its call.
const COME_BACK: Duration = Duration::from_millis(300);

/// Time after which a target has read the parts of a call that was sent to it; a prompt of
/// 25,000 tokens takes as long on the slowest engines.
const READ_TIME: Duration = Duration::from_millis(300);

/// Multiple of the time for an answer after which a plain target is silent; the length of plain
/// work lies in the call, so that another target would not be sooner.
const PLAIN_PATIENCE: u32 = 2;

/// Part of the time for a first event after which an engine is silent, in percent, so that
/// another engine can still be in time.
const STREAM_PATIENCE_PERCENT: u32 = 75;

/// Prompt tokens that an engine reads in a millisecond beside other work; alone it reads twice
/// as many.
const READ_PER_MS: u32 = 50;

/// Part of the room between the mean load and its bound that is used in the largest fleets, in
/// percent. Each router takes one percent away, as beats come less often in a larger fleet.
const ROOM_USED_MIN: u32 = 50;

/// Sends that failed before a byte left, after which a call is given up.
const UNSENT_MAX: u32 = 4;

impl ForwardCore {
    /// Decides what happens next to a call that is not under way.
    pub fn dispatch(&mut self, now: TimePoint, key: CallKey) -> DispatchStep {
        let Some(mut live) = self.calls.remove(&key) else {
            return DispatchStep::Refuse(Refusal::Unknown(UnknownCode::TargetLost));
        };
        let step = self.next_step(now, &mut live);
        self.calls.insert(key, live);
        step
    }

    fn next_step(&mut self, now: TimePoint, live: &mut LiveCall) -> DispatchStep {
        if live.deadline.passed(now) {
            return refuse(now, live, NotRunCode::DeadlinePassed, UnknownCode::DeadlineAfterSend);
        }
        if live.may_have_run && !live.repeat.repeatable() {
            return refuse(now, live, NotRunCode::RetriesSpent, UnknownCode::TargetLost);
        }
        if live.sends >= live.attempts_max || live.unsent >= UNSENT_MAX {
            return refuse(now, live, NotRunCode::RetriesSpent, UnknownCode::TargetLost);
        }
        let Some(choice) = self.choose(now, live) else {
            return refuse(now, live, NotRunCode::NoTarget, UnknownCode::TargetLost);
        };
        if live.sends > 0 && !self.spend_repeat(now, live) {
            return refuse(now, live, NotRunCode::RetriesSpent, UnknownCode::TargetLost);
        }
        match self.send(now, live, choice) {
            Some(order) => DispatchStep::Send(order),
            None => refuse(now, live, NotRunCode::NoTarget, UnknownCode::TargetLost),
        }
    }

    fn spend_repeat(&mut self, now: TimePoint, live: &LiveCall) -> bool {
        let bounds = self.window_bounds();
        let routers = self.router_count();
        self.budgets.entry(live.pool.clone()).or_default().spend(now, &bounds, routers)
    }

    /// Whether the silent target of a call is to be checked for whether it takes connections.
    pub fn check_due(&mut self, now: TimePoint, key: CallKey) -> bool {
        let current = self.calls.get(&key).and_then(|live| live.current);
        let record = current.and_then(|current| self.targets.get_mut(current.target));
        record.is_some_and(|record| record.take_check(now))
    }

    /// A target took no connection when it was checked.
    pub fn target_unreachable(&mut self, now: TimePoint, target: TargetKey) {
        if let Some(record) = self.targets.get_mut(target) {
            record.life.on_failure(now);
            record.on_unreachable(now);
        }
    }

    /// Whether a call whose target is silent can be sent to another one now.
    pub fn may_repeat(&mut self, now: TimePoint, key: CallKey) -> bool {
        let Some(live) = self.calls.remove(&key) else { return false };
        let may = self.live_may_repeat(now, &live);
        self.calls.insert(key, live);
        may
    }

    fn live_may_repeat(&mut self, now: TimePoint, live: &LiveCall) -> bool {
        if !live.repeat.repeatable() || live.sends >= live.attempts_max {
            return false;
        }
        let other = self.views(now, live).iter().any(|view| !view.excluded && !view.ejected);
        let bounds = self.window_bounds();
        let routers = self.router_count();
        let budget = self.budgets.get(&live.pool);
        let room = budget.is_some_and(|budget| budget.room(now, &bounds, routers) > 0);
        other && !live.deadline.passed(now) && room
    }

    /// Routers that share the budget of repeats, also those that were not heard lately.
    pub(super) fn router_count(&self) -> u32 {
        self.peers.entries().count() as u32 + 1
    }

    fn choose(&self, now: TimePoint, live: &LiveCall) -> Option<CostChoice> {
        let views = self.views(now, live);
        let prompt_tokens = live.prompt.as_ref().map_or(0, |prompt| prompt.input_tokens);
        let salt = live.content.0 as u64 ^ affinity_hash(&now.0.to_le_bytes());
        let query = CostQuery {
            prompt_tokens,
            load_ratio_max: self.load_ratio_max(),
            retryable: live.repeat.repeatable(),
            salt,
        };
        choose_cheapest(&query, &views)
    }

    /// Multiple of the mean load up to which targets are taken; it leaves room for calls that other
    /// routers sent since they last told their load.
    fn load_ratio_max(&self) -> f64 {
        let used = 100u32.saturating_sub(self.router_count()).clamp(ROOM_USED_MIN, 100);
        1.0 + (self.bounds.load_ratio_max - 1.0) * f64::from(used) / 100.0
    }

    fn views(&self, now: TimePoint, live: &LiveCall) -> Vec<CostView> {
        let home = live.prompt.as_ref().map_or(0, home_of);
        let serving = self.targets.serving(now, &live.pool);
        let tokens = |record: &TargetRecord, until: TimePoint| {
            live.prompt.as_ref().map_or(0, |prompt| self.held_tokens(prompt, record, until))
        };
        let views = serving.map(|(target, record)| CostView {
            target,
            load: record.own + self.peer_loads.load(record.hash),
            slots: record.entry.slots,
            queued_prefill_tokens: record.unread,
            cached_tokens: tokens(record, TimePoint::NEVER),
            fetchable_tokens: tokens(record, now),
            home_score: rendezvous_score(home, record.hash, 1),
            failure_rate: record.outcomes.rate(now),
            ejected: record.is_held(now),
            unreachable: record.is_unreachable(now),
            excluded: live.tried.contains(&target) || !record.stays(now),
        });
        views.collect()
    }

    /// Tokens of the leading parts of a prompt that a target has been reading or holding until
    /// a point in time for long enough to have read them.
    fn held_tokens(&self, prompt: &PromptHead, record: &TargetRecord, until: TimePoint) -> u32 {
        let parts = prompt.parts.iter();
        let held = parts.take_while(|part| {
            let since = self.holders.cached_since(part.part, record.hash);
            since.is_some_and(|since| since.after(READ_TIME) <= until)
        });
        held.fold(0, |sum, part| sum.saturating_add(part.tokens))
    }

    fn send(
        &mut self,
        now: TimePoint,
        live: &mut LiveCall,
        choice: CostChoice,
    ) -> Option<SendOrder> {
        let fetch_from = choice.fetch_from.and_then(|target| self.targets.get(target));
        let fetch_from = fetch_from.map(|record| record.entry.address);
        let record = self.targets.get_mut(choice.target)?;
        record.own += 1;
        record.unread += u64::from(choice.prefill_tokens);
        let hash = record.hash;
        let order = SendOrder {
            target: choice.target,
            name: record.entry.name.as_str().into(),
            address: record.entry.address,
            account: live.account.clone(),
            rank: live.rank,
            deadline: live.deadline,
            patience: patience_of(now, live, choice.prefill_tokens),
            fetch_from,
            sends_before: live.sends,
            grounds: ChoiceGrounds {
                cost: choice.cost,
                load: choice.load,
                mean_load: choice.mean_load,
                targets: choice.candidates,
                prompt_tokens: live.prompt.as_ref().map_or(0, |prompt| prompt.input_tokens),
                held_tokens: choice.cached_tokens,
                unread_tokens: choice.prefill_tokens,
            },
        };
        live.sends += 1;
        live.current = Some(CurrentSend {
            target: choice.target,
            unread: choice.prefill_tokens,
            began: false,
        });
        live.tried.push(choice.target);
        self.expect_parts(now, live, hash);
        Some(order)
    }

    /// The target is about to read the prompt; calls with the same parts are to follow it there.
    fn expect_parts(&mut self, now: TimePoint, live: &LiveCall, target: u64) {
        let parts = live.prompt.iter().flat_map(|prompt| &prompt.parts);
        let last = live.prompt.as_ref().and_then(|prompt| prompt.parts.last());
        for part in parts {
            // Most last parts belong to one call; others need not hear of them.
            if last != Some(part) || self.holders.contains(part.part) {
                self.told_parts.push((part.part, target));
            }
            self.holders.record_pending(now, part.part, target);
        }
    }

    /// Ends the send that is under way and returns its target.
    pub(super) fn end_send(&mut self, live: &mut LiveCall) -> Option<TargetKey> {
        let current = live.current.take()?;
        if let Some(record) = self.targets.get_mut(current.target) {
            record.own = record.own.saturating_sub(1);
            record.unread = record.unread.saturating_sub(u64::from(current.unread));
        }
        Some(current.target)
    }
}

/// Point at which a target that has not begun to answer is silent.
fn patience_of(now: TimePoint, live: &LiveCall, unread: u32) -> TimePoint {
    if !live.repeat.streams() {
        return now.after(live.answer_target * PLAIN_PATIENCE);
    }
    let reading = Duration::from_millis(u64::from(unread / READ_PER_MS));
    now.after(live.answer_target * STREAM_PATIENCE_PERCENT / 100 + reading)
}

/// The longest part of a prompt; calls that share it have the same home.
fn home_of(prompt: &PromptHead) -> u64 {
    prompt.parts.iter().max_by_key(|part| part.tokens).map_or(0, |part| part.part)
}

fn refuse(
    now: TimePoint,
    live: &LiveCall,
    not_run: NotRunCode,
    unknown: UnknownCode,
) -> DispatchStep {
    let refusal = if live.may_have_run {
        Refusal::Unknown(unknown)
    } else {
        Refusal::NotRun(not_run, now.after(COME_BACK))
    };
    DispatchStep::Refuse(refusal)
}
