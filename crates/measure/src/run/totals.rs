//! Accumulates the results of a run.

use std::collections::BTreeMap;

use base_types::{NotRunCode, PeerNotice, Refusal, TimePoint};

use crate::{
    FleetChange, PolicyKind, Quantiles, RunFigures, ScenarioPlan,
    run::{InFlightTurn, TargetState},
};

/// Load limit against which `over_bound` of the baselines is counted.
const BASELINE_LOAD_RATIO_MAX: f64 = 1.5;

/// Accumulated counts and samples of a run. Most of them exclude the warm-up.
#[derive(Debug)]
pub(super) struct RunTotals {
    measured_from: TimePoint,
    load_ratio_max: f64,
    surging_accounts: u32,
    skews: Vec<f64>,
    token_skews: Vec<f64>,
    mean_loads: Vec<f64>,
    over_bound_samples: u64,
    quiet_latencies: Vec<f64>,
    surging_latencies: Vec<f64>,
    prompt_tokens: u64,
    cached_tokens: u64,
    /// Cached and prompt tokens of each target at the previous sample.
    previous_token_counts: BTreeMap<usize, (u64, u64)>,
    notice_bytes: u64,
    figures: RunFigures,
}

impl RunTotals {
    pub(super) fn new(plan: &ScenarioPlan, policy: PolicyKind) -> Self {
        let load_ratio_max = match policy {
            PolicyKind::Module(settings) => settings.max_load_ratio,
            _ => BASELINE_LOAD_RATIO_MAX,
        };
        Self {
            measured_from: TimePoint(0).after(plan.warm_up),
            load_ratio_max,
            surging_accounts: surging_accounts(plan),
            skews: Vec::new(),
            token_skews: Vec::new(),
            mean_loads: Vec::new(),
            over_bound_samples: 0,
            quiet_latencies: Vec::new(),
            surging_latencies: Vec::new(),
            prompt_tokens: 0,
            cached_tokens: 0,
            previous_token_counts: BTreeMap::new(),
            notice_bytes: 0,
            figures: RunFigures::default(),
        }
    }

    /// Samples the loads that the engines report.
    pub(super) fn sample(&mut self, targets: &[TargetState]) {
        let serving = targets.iter().filter(|state| state.is_up && state.draining_since.is_none());
        let loads: Vec<_> = serving.map(|state| state.engine.load()).collect();
        let in_flight: Vec<f64> = loads.iter().map(|load| f64::from(load.in_flight)).collect();
        let answer_tokens: Vec<f64> = loads.iter().map(|load| load.answer_tokens as f64).collect();
        let (Some((busiest, mean)), Some((busiest_tokens, mean_tokens))) =
            (busiest_and_mean(&in_flight), busiest_and_mean(&answer_tokens))
        else {
            return;
        };
        self.skews.push(busiest / mean);
        self.token_skews.push(busiest_tokens / mean_tokens);
        self.mean_loads.push(mean);
        self.over_bound_samples += u64::from(busiest > (mean * self.load_ratio_max).ceil());
        self.count_prompt_tokens(targets);
    }

    pub(super) fn count_request(&mut self, now: TimePoint) {
        self.figures.requests += self.measured_count_at(now);
    }

    pub(super) fn count_attempt(&mut self, now: TimePoint, draining_since: Option<TimePoint>) {
        self.figures.attempts += self.measured_count_at(now);
        *self.figures.attempts_by_second.entry(second_of(now)).or_default() += 1;
        if let Some(since) = draining_since {
            let drain_seconds = now.since(since).as_secs();
            *self.figures.attempts_on_draining.entry(drain_seconds).or_default() += 1;
        }
    }

    pub(super) fn count_returning_turn(&mut self, now: TimePoint, moved: bool) {
        self.figures.returned += self.measured_count_at(now);
        self.figures.moved += if moved { self.measured_count_at(now) } else { 0 };
    }

    pub(super) fn count_first_return(&mut self, moved: bool) {
        self.figures.first_returned += 1;
        self.figures.first_moved += u64::from(moved);
    }

    pub(super) fn count_notice(&mut self, now: TimePoint, notice: &PeerNotice) {
        let Ok(bytes) = postcard::to_allocvec(notice) else { return };
        self.notice_bytes += bytes.len() as u64 * self.measured_count_at(now);
    }

    pub(super) fn count_completed(&mut self, now: TimePoint, turn: &InFlightTurn) {
        *self.figures.completed_by_second.entry(second_of(now)).or_default() += 1;
        if self.measured_count_at(now) == 0 {
            return;
        }
        self.figures.completed += 1;
        let latency = now.since(turn.started_at).as_secs_f64();
        if turn.chat.account < self.surging_accounts {
            self.surging_latencies.push(latency);
        } else {
            self.quiet_latencies.push(latency);
        }
    }

    pub(super) fn count_crash(&mut self, chat: u64) {
        *self.figures.crashes_by_content.entry(chat).or_default() += 1;
    }

    pub(super) fn count_refusal(
        &mut self,
        now: TimePoint,
        refusal: Refusal,
        turn: &InFlightTurn,
        is_crashing: bool,
    ) {
        let is_quiet = turn.chat.account >= self.surging_accounts;
        self.figures.quiet_refused += if is_quiet { self.measured_count_at(now) } else { 0 };
        let is_suspect = matches!(refusal, Refusal::NotRun(NotRunCode::ContentSuspect, _));
        self.figures.harmless_refused += u64::from(is_suspect && !is_crashing);
        match refusal {
            Refusal::NotRun(..) => self.figures.refused += self.measured_count_at(now),
            Refusal::Unknown(_) => self.figures.unknown += self.measured_count_at(now),
        }
    }

    pub(super) fn figures(mut self, plan: &ScenarioPlan) -> RunFigures {
        let samples = self.skews.len().max(1) as f64;
        let seconds = plan.measured_duration.as_secs_f64() * f64::from(plan.routers);
        let peers = f64::from(plan.routers - 1);
        self.figures.reuse = self.cached_tokens as f64 / self.prompt_tokens.max(1) as f64;
        self.figures.in_flight = self.mean_loads.iter().sum::<f64>() / samples;
        self.figures.over_bound = self.over_bound_samples as f64 / samples;
        self.figures.skew = Quantiles::of(self.skews);
        self.figures.token_skew = Quantiles::of(self.token_skews);
        self.figures.quiet_latency = Quantiles::of(self.quiet_latencies);
        self.figures.surging_latency = Quantiles::of(self.surging_latencies);
        self.figures.control_bytes = self.notice_bytes as f64 * peers / seconds;
        self.figures
    }

    /// Returns the amount to add to a counter: 1 after the warm-up, else 0.
    fn measured_count_at(&self, now: TimePoint) -> u64 {
        u64::from(now >= self.measured_from)
    }

    fn count_prompt_tokens(&mut self, targets: &[TargetState]) {
        for (index, state) in targets.iter().enumerate() {
            let current = (state.engine.cached_tokens, state.engine.prompt_tokens);
            let (cached, prompt) =
                self.previous_token_counts.insert(index, current).unwrap_or(current);
            self.cached_tokens += current.0 - cached;
            self.prompt_tokens += current.1 - prompt;
        }
    }
}

fn second_of(now: TimePoint) -> u64 {
    now.since(TimePoint(0)).as_secs()
}

fn busiest_and_mean(loads: &[f64]) -> Option<(f64, f64)> {
    let sum: f64 = loads.iter().sum();
    if sum == 0.0 {
        return None;
    }
    let busiest = loads.iter().copied().fold(0.0, f64::max);
    Some((busiest, sum / loads.len() as f64))
}

fn surging_accounts(plan: &ScenarioPlan) -> u32 {
    let surges = plan.faults.iter().filter_map(|fault| match fault.kind {
        FleetChange::StartSurge { accounts, .. } => Some(accounts),
        _ => None,
    });
    surges.max().unwrap_or(0)
}
