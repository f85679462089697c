//! Baseline policies that the production routing module is compared with.

use std::collections::BTreeMap;

use base_types::{
    AttemptKey, HostName, IncomingRequest, LoadShare, NotRunCode, PeerNotice, PlacementToken,
    Refusal, RequestKey, TargetKey, TargetLoad, TimePoint, UnknownCode,
};
use core_router::{AttemptOutcome, Effect, Event, HostEntry, HostState, RequestStep, ShareOptions};
use policy_routing::{PeerLoads, rendezvous_score, stable_hash};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::{PolicyKind, fleet::FleetRouter};

const ATTEMPTS_MAX: usize = 3;

/// A router with a baseline policy. Its view of its peers' load is as delayed as that of the
/// production router.
#[derive(Debug)]
pub(crate) struct BaselineRouter {
    name: HostName,
    policy: PolicyKind,
    share_options: ShareOptions,
    rng: SmallRng,
    attempt_count: u64,
    seed: u64,
    rotation: usize,
    targets: Vec<BaselineTarget>,
    peers: PeerLoads,
    requests: BTreeMap<RequestKey, BaselineRequest>,
    share_sequence: u64,
    next_share_at: TimePoint,
    effects: Vec<Effect>,
}

#[derive(Debug)]
struct BaselineTarget {
    name: HostName,
    address: Box<str>,
    target_hash: u64,
    accepts_work: bool,
    own_in_flight: u32,
}

#[derive(Debug)]
struct BaselineRequest {
    incoming: IncomingRequest,
    attempt: AttemptKey,
    target: usize,
    attempted_targets: Vec<usize>,
}

impl BaselineRouter {
    pub(crate) fn new(
        name: HostName,
        seed: u64,
        policy: PolicyKind,
        share_options: ShareOptions,
    ) -> Self {
        Self {
            name,
            policy,
            share_options,
            rng: SmallRng::seed_from_u64(seed),
            attempt_count: 0,
            seed,
            rotation: 0,
            targets: Vec::new(),
            peers: PeerLoads::default(),
            requests: BTreeMap::new(),
            share_sequence: 0,
            next_share_at: TimePoint(0),
            effects: Vec::new(),
        }
    }

    fn on_hosts(&mut self, hosts: Vec<HostEntry>) {
        for target in &mut self.targets {
            target.accepts_work = false;
        }
        for host in hosts {
            let accepts_work = host.state == HostState::Live;
            let existing = self.targets.iter_mut().find(|target| target.name == host.name);
            if let Some(target) = existing {
                target.accepts_work = accepts_work;
                continue;
            }
            let target_hash = stable_hash(host.name.as_str().as_bytes());
            let target = BaselineTarget {
                name: host.name,
                address: host.address,
                target_hash,
                accepts_work,
                own_in_flight: 0,
            };
            self.targets.push(target);
        }
    }

    fn dispatch(
        &mut self,
        now: TimePoint,
        incoming: IncomingRequest,
        attempted_targets: Vec<usize>,
    ) {
        let key = incoming.request;
        let chosen = if attempted_targets.len() < ATTEMPTS_MAX {
            self.choose(&incoming, &attempted_targets)
        } else {
            None
        };
        let Some(target) = chosen else {
            let refusal = Refusal::NotRun(NotRunCode::RetriesSpent, TimePoint(now.0 + 1_000_000));
            self.effects.push(Effect::Step(key, RequestStep::Refuse(refusal)));
            return;
        };
        self.attempt_count += 1;
        let attempt = AttemptKey((u128::from(self.seed) << 64) | u128::from(self.attempt_count));
        self.targets[target].own_in_flight += 1;
        let step = RequestStep::Send {
            attempt,
            target: TargetKey(target as u32),
            placement: PlacementToken::new(self.targets[target].target_hash),
            address: self.targets[target].address.clone(),
            non_idempotent: false,
        };
        self.effects.push(Effect::Step(key, step));
        self.requests.insert(key, BaselineRequest { incoming, attempt, target, attempted_targets });
    }

    fn choose(&mut self, incoming: &IncomingRequest, attempted_targets: &[usize]) -> Option<usize> {
        let is_candidate = |(index, target): &(usize, &BaselineTarget)| {
            target.accepts_work && !attempted_targets.contains(index)
        };
        let candidates: Vec<usize> =
            self.targets.iter().enumerate().filter(is_candidate).map(|(index, _)| index).collect();
        if candidates.is_empty() {
            return None;
        }
        let load = |index: &usize| {
            self.targets[*index].own_in_flight + self.peers.load(self.targets[*index].target_hash)
        };
        match self.policy {
            PolicyKind::Random => Some(candidates[self.rng.random_range(0..candidates.len())]),
            // `Module` never reaches a baseline router.
            PolicyKind::RoundRobin | PolicyKind::Module(_) => {
                self.rotation += 1;
                Some(candidates[self.rotation % candidates.len()])
            }
            PolicyKind::LeastLoaded => {
                let min_load = candidates.iter().map(load).min()?;
                let least_loaded: Vec<usize> =
                    candidates.iter().copied().filter(|index| load(index) == min_load).collect();
                Some(least_loaded[self.rng.random_range(0..least_loaded.len())])
            }
            PolicyKind::PowerOfTwo => {
                let first = candidates[self.rng.random_range(0..candidates.len())];
                let second = candidates[self.rng.random_range(0..candidates.len())];
                Some(if load(&first) <= load(&second) { first } else { second })
            }
            PolicyKind::Rendezvous => {
                let chat = incoming.chat.as_ref()?;
                let affinity = stable_hash(chat.as_str().as_bytes());
                let score =
                    |index: &usize| rendezvous_score(affinity, self.targets[*index].target_hash, 1);
                candidates.into_iter().max_by(|left, right| score(left).total_cmp(&score(right)))
            }
        }
    }

    fn finish_attempt(&mut self, key: RequestKey, attempt: AttemptKey) -> Option<BaselineRequest> {
        let request = self.requests.remove(&key)?;
        if request.attempt != attempt {
            self.requests.insert(key, request);
            return None;
        }
        let target = &mut self.targets[request.target];
        target.own_in_flight = target.own_in_flight.saturating_sub(1);
        Some(request)
    }

    fn retry(&mut self, now: TimePoint, mut request: BaselineRequest) {
        request.attempted_targets.push(request.target);
        self.dispatch(now, request.incoming, request.attempted_targets);
    }

    fn publish_load(&mut self, now: TimePoint) {
        if !self.next_share_at.passed(now) {
            return;
        }
        self.next_share_at = now.after(self.share_options.min_interval);
        self.share_sequence += 1;
        let loaded_targets = self.targets.iter().filter(|target| target.own_in_flight > 0);
        let loads = loaded_targets
            .map(|target| TargetLoad {
                target_hash: target.target_hash,
                in_flight: target.own_in_flight,
            })
            .collect();
        let share = LoadShare { router: self.name.clone(), sequence: self.share_sequence, loads };
        self.effects.push(Effect::Broadcast(PeerNotice::Load(share)));
    }
}

impl FleetRouter for BaselineRouter {
    fn on_event(&mut self, now: TimePoint, event: Event) -> Vec<Effect> {
        match event {
            Event::HostsListed(hosts) => self.on_hosts(hosts),
            Event::Arrived(incoming) => self.dispatch(now, incoming, Vec::new()),
            Event::AttemptUnsent(key, attempt)
            | Event::AttemptEnded(key, attempt, AttemptOutcome::LostBeforeAnswer(_)) => {
                if let Some(request) = self.finish_attempt(key, attempt) {
                    self.retry(now, request);
                }
            }
            Event::AttemptEnded(key, attempt, AttemptOutcome::Completed(_)) => {
                self.finish_attempt(key, attempt);
            }
            Event::AttemptEnded(key, attempt, AttemptOutcome::LostDuringAnswer) => {
                let Some(_) = self.finish_attempt(key, attempt) else { return Vec::new() };
                let refusal = Refusal::Unknown(UnknownCode::AnswerCut);
                self.effects.push(Effect::Step(key, RequestStep::Refuse(refusal)));
            }
            Event::NoticeReceived(PeerNotice::Load(share)) => {
                self.peers.record_share(now, share);
            }
            _ => {}
        }
        self.publish_load(now);
        std::mem::take(&mut self.effects)
    }

    fn next_deadline(&self) -> TimePoint {
        self.next_share_at
    }
}
