//! Counting over a run.

use std::collections::BTreeMap;

use base_types::{NotRunCode, PeerNotice, Refusal, TimePoint};

use crate::{
    FaultKind, PolicyKind, RunFigures, ScenarioPlan, TimeShare,
    run::{LiveTurn, TargetState},
};

const RATIO_OF_BASELINES: f64 = 1.5;

/// Counts of a run from the end of its warm-up.
#[derive(Debug)]
pub(super) struct RunTotals {
    begin: TimePoint,
    ratio: f64,
    surging_accounts: u32,
    skews: Vec<f64>,
    token_skews: Vec<f64>,
    loads: Vec<f64>,
    over_bound: u64,
    quiet: Vec<f64>,
    surging: Vec<f64>,
    prompt_tokens: u64,
    cached_tokens: u64,
    cached_before: BTreeMap<usize, (u64, u64)>,
    notice_bytes: u64,
    figures: RunFigures,
}

impl RunTotals {
    pub(super) fn new(plan: &ScenarioPlan, policy: PolicyKind) -> Self {
        let ratio = match policy {
            PolicyKind::Module(setting) => setting.max_load_ratio,
            _ => RATIO_OF_BASELINES,
        };
        Self {
            begin: TimePoint(0).after(plan.warm_up),
            ratio,
            surging_accounts: surging_accounts(plan),
            skews: Vec::new(),
            token_skews: Vec::new(),
            loads: Vec::new(),
            over_bound: 0,
            quiet: Vec::new(),
            surging: Vec::new(),
            prompt_tokens: 0,
            cached_tokens: 0,
            cached_before: BTreeMap::new(),
            notice_bytes: 0,
            figures: RunFigures::default(),
        }
    }

    /// Looks at the engines' own counts.
    pub(super) fn sample(&mut self, targets: &[TargetState]) {
        let serving = targets.iter().filter(|state| state.up && state.leaving_since.is_none());
        let loads: Vec<_> = serving.map(|state| state.engine.load()).collect();
        let counts: Vec<f64> = loads.iter().map(|load| f64::from(load.in_flight)).collect();
        let tokens: Vec<f64> = loads.iter().map(|load| load.tokens as f64).collect();
        let (Some((busiest, mean)), Some((token_busiest, token_mean))) =
            (busiest_and_mean(&counts), busiest_and_mean(&tokens))
        else {
            return;
        };
        self.skews.push(busiest / mean);
        self.token_skews.push(token_busiest / token_mean);
        self.loads.push(mean);
        self.over_bound += u64::from(busiest > (mean * self.ratio).ceil());
        self.count_tokens(targets);
    }

    pub(super) fn count_request(&mut self, now: TimePoint) {
        self.figures.requests += self.counted(now);
    }

    pub(super) fn count_attempt(&mut self, now: TimePoint, leaving_since: Option<TimePoint>) {
        self.figures.attempts += self.counted(now);
        *self.figures.attempts_by_second.entry(second(now)).or_default() += 1;
        if let Some(since) = leaving_since {
            let age = now.since(since).as_secs();
            *self.figures.sent_to_leaving.entry(age).or_default() += 1;
        }
    }

    pub(super) fn count_return(&mut self, now: TimePoint, moved: bool) {
        self.figures.returned += self.counted(now);
        self.figures.moved += if moved { self.counted(now) } else { 0 };
    }

    pub(super) fn count_first_return(&mut self, moved: bool) {
        self.figures.first_returned += 1;
        self.figures.first_moved += u64::from(moved);
    }

    pub(super) fn count_notice(&mut self, now: TimePoint, notice: &PeerNotice) {
        let Ok(bytes) = postcard::to_allocvec(notice) else { return };
        self.notice_bytes += bytes.len() as u64 * self.counted(now);
    }

    pub(super) fn count_answer(&mut self, now: TimePoint, turn: &LiveTurn) {
        *self.figures.completed_by_second.entry(second(now)).or_default() += 1;
        if self.counted(now) == 0 {
            return;
        }
        self.figures.completed += 1;
        let latency = now.since(turn.began).as_secs_f64();
        if turn.chat.account < self.surging_accounts {
            self.surging.push(latency);
        } else {
            self.quiet.push(latency);
        }
    }

    pub(super) fn count_crash(&mut self, chat: u64) {
        *self.figures.lost_to_crashers.entry(chat).or_default() += 1;
    }

    pub(super) fn count_refusal(&mut self, now: TimePoint, refusal: Refusal, crashes: bool) {
        let suspect = matches!(refusal, Refusal::NotRun(NotRunCode::ContentSuspect, _));
        self.figures.innocents_refused += u64::from(suspect && !crashes);
        match refusal {
            Refusal::NotRun(..) => self.figures.refused += self.counted(now),
            Refusal::Unknown(_) => self.figures.unknown += self.counted(now),
        }
    }

    pub(super) fn figures(mut self, plan: &ScenarioPlan) -> RunFigures {
        let samples = self.skews.len().max(1) as f64;
        let seconds = plan.counted.as_secs_f64() * f64::from(plan.routers);
        let peers = f64::from(plan.routers - 1);
        self.figures.reuse = self.cached_tokens as f64 / self.prompt_tokens.max(1) as f64;
        self.figures.in_flight = self.loads.iter().sum::<f64>() / samples;
        self.figures.over_bound = self.over_bound as f64 / samples;
        self.figures.skew = TimeShare::of(self.skews);
        self.figures.token_skew = TimeShare::of(self.token_skews);
        self.figures.quiet_latency = TimeShare::of(self.quiet);
        self.figures.surging_latency = TimeShare::of(self.surging);
        self.figures.control_bytes = self.notice_bytes as f64 * peers / seconds;
        self.figures
    }

    fn counted(&self, now: TimePoint) -> u64 {
        u64::from(now >= self.begin)
    }

    fn count_tokens(&mut self, targets: &[TargetState]) {
        for (index, state) in targets.iter().enumerate() {
            let now = (state.engine.cached_tokens, state.engine.prompt_tokens);
            let (cached, prompt) = self.cached_before.insert(index, now).unwrap_or(now);
            self.cached_tokens += now.0 - cached;
            self.prompt_tokens += now.1 - prompt;
        }
    }
}

fn second(now: TimePoint) -> u64 {
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
        FaultKind::SurgeBegin { accounts, .. } => Some(accounts),
        _ => None,
    });
    surges.max().unwrap_or(0)
}
