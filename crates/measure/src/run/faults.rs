//! What happens to the fleet in a run.

use std::time::Duration;

use base_types::TimePoint;
use core_router::{AttemptEnd, Event};

use crate::{
    FakeEngine, FaultKind,
    run::{CRASHERS, HOP, Happening, LIST_LAG_MIN, LIST_LAG_SPREAD_MS, ScenarioRun, TargetState},
};

/// How long a leaving target still takes requests.
const LEAVING_TAKES: Duration = Duration::from_secs(2);

const RESTART: Duration = Duration::from_secs(3);

/// When a leaving target is gone.
const LEAVING_GONE: Duration = Duration::from_secs(15);

impl TargetState {
    /// Whether the target turns requests away because it leaves.
    pub(super) fn refuses(&self, now: TimePoint) -> bool {
        self.leaving_since.is_some_and(|since| since.after(LEAVING_TAKES).passed(now))
    }
}

impl ScenarioRun {
    pub(super) fn on_fault(&mut self, kind: FaultKind) {
        match kind {
            FaultKind::Mark => self.marked = self.holders.clone(),
            FaultKind::Leave(target) => self.leave(target),
            FaultKind::Join(_) => {
                self.add_target();
                self.list_hosts();
            }
            FaultKind::Down(target) => self.take_down(target),
            FaultKind::Up(target) => self.targets[target as usize].up = true,
            FaultKind::SurgeBegin { accounts, factor } => self.begin_surge(accounts, factor),
            FaultKind::SurgeEnd => self.surging = false,
            FaultKind::Crasher(number) => {
                self.send_crasher(CRASHERS + number, Duration::ZERO);
            }
            FaultKind::FailBegin(count) => {
                for target in self.targets.iter_mut().take(count as usize) {
                    target.failing = true;
                }
            }
            FaultKind::FailEnd => {
                for target in &mut self.targets {
                    target.failing = false;
                }
            }
        }
    }

    pub(super) fn add_target(&mut self) {
        self.targets.push(TargetState {
            engine: FakeEngine::new(self.plan.slots, self.cache_tokens),
            up: true,
            leaving_since: None,
            failing: false,
        });
    }

    fn leave(&mut self, target: u32) {
        self.marked = self.holders.clone();
        self.targets[target as usize].leaving_since = Some(self.now);
        self.list_hosts();
        self.plan_in(LEAVING_GONE, Happening::Gone(target));
    }

    /// Each router hears the new list after a time of its own.
    fn list_hosts(&mut self) {
        let hosts = self.hosts();
        for router in 0..self.plan.routers {
            let spread = self.source.pick(LIST_LAG_SPREAD_MS);
            let lag = LIST_LAG_MIN + Duration::from_millis(spread.into());
            self.plan_in(lag, Happening::Deliver(router, Event::HostsListed(hosts.clone())));
        }
    }

    fn take_down(&mut self, target: u32) {
        self.targets[target as usize].up = false;
        for attempt in self.targets[target as usize].engine.lose_all() {
            let Some(live) = self.attempts.remove(&attempt) else { continue };
            let Some(turn) = self.turns.get(&live.request) else { continue };
            let end = AttemptEnd::LostEarly(base_types::UnknownCode::TargetLost);
            let event = Event::AttemptEnded(live.request, attempt, end);
            self.plan_in(HOP, Happening::Deliver(turn.router, event));
        }
    }

    pub(super) fn send_crasher(&mut self, chat: u64, wait: Duration) {
        let mut state = self.source.open_for(0, self.plan.routers, false);
        state.chat = chat;
        state.history = 1;
        self.plan_in(wait, Happening::Turn(state, 0));
    }

    /// The target loses its requests and is back after a time.
    pub(super) fn on_crash(&mut self, target: u32, chat: u64) {
        if !self.targets[target as usize].up {
            return;
        }
        self.totals.count_crash(chat);
        self.take_down(target);
        self.plan_in(RESTART, Happening::Fault(FaultKind::Up(target)));
    }

    fn begin_surge(&mut self, accounts: u32, factor: u32) {
        self.surging = true;
        let usual = super::chat_count(&self.plan) / u64::from(self.plan.trace.accounts);
        for account in 0..accounts {
            for _ in 0..usual * u64::from(factor - 1) {
                let chat = self.source.open_for(account, self.plan.routers, true);
                let wait = self.source.pause();
                self.plan_in(wait, Happening::Turn(chat, 0));
            }
        }
    }
}
