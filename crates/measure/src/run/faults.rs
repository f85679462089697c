//! Injects faults into a scenario run.

use std::time::Duration;

use base_types::TimePoint;
use core_router::{AttemptOutcome, Event};

use crate::{
    FakeEngine, FleetChange,
    run::{
        FIRST_CRASHING_CHAT, HOST_LIST_DELAY_MIN, HOST_LIST_DELAY_SPREAD_MS, NETWORK_DELAY,
        ScenarioRun, SimEvent, TargetState,
    },
};

/// Time for which a draining target still accepts requests.
const DRAIN_ACCEPT_DURATION: Duration = Duration::from_secs(2);

const RESTART_DELAY: Duration = Duration::from_secs(3);

/// Time from the start of a drain until the target is down.
const DRAIN_DURATION: Duration = Duration::from_secs(15);

impl TargetState {
    /// Returns whether the target is draining and no longer accepts requests.
    pub(super) fn refuses_requests(&self, now: TimePoint) -> bool {
        self.draining_since.is_some_and(|since| since.after(DRAIN_ACCEPT_DURATION).passed(now))
    }
}

impl ScenarioRun {
    pub(super) fn inject_fault(&mut self, kind: FleetChange) {
        match kind {
            FleetChange::StartMoveCount => self.holders_at_count_start = self.holders.clone(),
            FleetChange::Drain(target) => self.drain_target(target),
            FleetChange::Join(_) => {
                self.add_target();
                self.publish_hosts();
            }
            FleetChange::Down(target) => self.take_target_down(target),
            FleetChange::Up(target) => self.targets[target as usize].is_up = true,
            FleetChange::StartSurge { accounts, factor } => self.start_surge(accounts, factor),
            FleetChange::EndSurge => self.surge_active = false,
            FleetChange::CrashingContent(number) => {
                self.schedule_crashing_request(FIRST_CRASHING_CHAT + number, Duration::ZERO);
            }
            FleetChange::StartFailures(count) => {
                for target in self.targets.iter_mut().take(count as usize) {
                    target.is_failing = true;
                }
            }
            FleetChange::EndFailures => {
                for target in &mut self.targets {
                    target.is_failing = false;
                }
            }
        }
    }

    pub(super) fn add_target(&mut self) {
        self.targets.push(TargetState {
            engine: FakeEngine::new(self.plan.slots, self.cache_capacity_tokens),
            is_up: true,
            draining_since: None,
            is_failing: false,
        });
    }

    fn drain_target(&mut self, target: u32) {
        self.holders_at_count_start = self.holders.clone();
        self.targets[target as usize].draining_since = Some(self.now);
        self.publish_hosts();
        self.schedule_after(DRAIN_DURATION, SimEvent::TakeDownDrained(target));
    }

    /// Sends the new host list to each router after a random delay.
    fn publish_hosts(&mut self) {
        let hosts = self.listed_hosts();
        for router in 0..self.plan.routers {
            let spread_ms = self.chat_source.random_below(HOST_LIST_DELAY_SPREAD_MS);
            let delay = HOST_LIST_DELAY_MIN + Duration::from_millis(spread_ms.into());
            self.schedule_after(
                delay,
                SimEvent::DeliverEvent(router, Event::HostsListed(hosts.clone())),
            );
        }
    }

    fn take_target_down(&mut self, target: u32) {
        self.targets[target as usize].is_up = false;
        for attempt in self.targets[target as usize].engine.abort_all() {
            let Some(in_flight_attempt) = self.attempts.remove(&attempt) else { continue };
            let Some(turn) = self.turns.get(&in_flight_attempt.request) else { continue };
            let outcome = AttemptOutcome::LostBeforeAnswer(base_types::UnknownCode::TargetLost);
            let event = Event::AttemptEnded(in_flight_attempt.request, attempt, outcome);
            self.schedule_after(NETWORK_DELAY, SimEvent::DeliverEvent(turn.router, event));
        }
    }

    pub(super) fn schedule_crashing_request(&mut self, chat: u64, delay: Duration) {
        let mut state = self.chat_source.start_chat_for(0, self.plan.routers, false);
        state.chat = chat;
        state.history = 1;
        self.schedule_after(delay, SimEvent::StartTurn(state, 0));
    }

    /// Aborts the target's requests and restarts the target after a delay.
    pub(super) fn crash_target(&mut self, target: u32, chat: u64) {
        if !self.targets[target as usize].is_up {
            return;
        }
        self.totals.count_crash(chat);
        self.take_target_down(target);
        self.schedule_after(RESTART_DELAY, SimEvent::InjectFault(FleetChange::Up(target)));
    }

    fn start_surge(&mut self, accounts: u32, factor: u32) {
        self.surge_active = true;
        let usual_chats = super::chat_count(&self.plan) / u64::from(self.plan.workload.accounts);
        for account in 0..accounts {
            for _ in 0..usual_chats * u64::from(factor - 1) {
                let chat = self.chat_source.start_chat_for(account, self.plan.routers, true);
                let delay = self.chat_source.next_pause();
                self.schedule_after(delay, SimEvent::StartTurn(chat, 0));
            }
        }
    }
}
