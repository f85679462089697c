//! Policies that the product's own is compared with.

use std::collections::BTreeMap;

use base_types::{
    Arrival, AttemptKey, HostName, LoadShare, NotRunCode, PeerNotice, PlacementToken, Refusal,
    RequestKey, TargetKey, TargetLoad, TimePoint, UnknownCode,
};
use core_router::{AttemptEnd, Effect, Event, HostEntry, HostState, RequestStep, SharePace};
use policy_routing::{PeerLoads, affinity_hash, rendezvous_score};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::{PolicyKind, fleet::FleetRouter};

const ATTEMPTS_MAX: usize = 3;

/// A router that runs a baseline over the same late views as the product.
#[derive(Debug)]
pub(crate) struct BaselineRouter {
    name: HostName,
    policy: PolicyKind,
    pace: SharePace,
    rng: SmallRng,
    attempts: u64,
    seed: u64,
    turn: usize,
    targets: Vec<BaselineTarget>,
    peers: PeerLoads,
    requests: BTreeMap<RequestKey, BaselineRequest>,
    sequence: u64,
    share_due: TimePoint,
    effects: Vec<Effect>,
}

#[derive(Debug)]
struct BaselineTarget {
    name: HostName,
    address: Box<str>,
    hash: u64,
    open: bool,
    own: u32,
}

#[derive(Debug)]
struct BaselineRequest {
    arrival: Arrival,
    attempt: AttemptKey,
    target: usize,
    tried: Vec<usize>,
}

impl BaselineRouter {
    pub(crate) fn new(name: HostName, seed: u64, policy: PolicyKind, pace: SharePace) -> Self {
        Self {
            name,
            policy,
            pace,
            rng: SmallRng::seed_from_u64(seed),
            attempts: 0,
            seed,
            turn: 0,
            targets: Vec::new(),
            peers: PeerLoads::default(),
            requests: BTreeMap::new(),
            sequence: 0,
            share_due: TimePoint(0),
            effects: Vec::new(),
        }
    }

    fn on_hosts(&mut self, hosts: Vec<HostEntry>) {
        for target in &mut self.targets {
            target.open = false;
        }
        for host in hosts {
            let open = host.state == HostState::Live;
            let known = self.targets.iter_mut().find(|target| target.name == host.name);
            if let Some(target) = known {
                target.open = open;
                continue;
            }
            let hash = affinity_hash(host.name.as_str().as_bytes());
            let target =
                BaselineTarget { name: host.name, address: host.address, hash, open, own: 0 };
            self.targets.push(target);
        }
    }

    fn dispatch(&mut self, now: TimePoint, arrival: Arrival, tried: Vec<usize>) {
        let key = arrival.request;
        let choice = if tried.len() < ATTEMPTS_MAX { self.choose(&arrival, &tried) } else { None };
        let Some(target) = choice else {
            let refusal = Refusal::NotRun(NotRunCode::RetriesSpent, TimePoint(now.0 + 1_000_000));
            self.effects.push(Effect::Step(key, RequestStep::Refuse(refusal)));
            return;
        };
        self.attempts += 1;
        let attempt = AttemptKey((u128::from(self.seed) << 64) | u128::from(self.attempts));
        self.targets[target].own += 1;
        let step = RequestStep::Send {
            attempt,
            target: TargetKey(target as u32),
            placement: PlacementToken::first(self.targets[target].hash),
            address: self.targets[target].address.clone(),
            once: false,
        };
        self.effects.push(Effect::Step(key, step));
        self.requests.insert(key, BaselineRequest { arrival, attempt, target, tried });
    }

    fn choose(&mut self, arrival: &Arrival, tried: &[usize]) -> Option<usize> {
        let open =
            |(index, target): &(usize, &BaselineTarget)| target.open && !tried.contains(index);
        let open: Vec<usize> =
            self.targets.iter().enumerate().filter(open).map(|(index, _)| index).collect();
        if open.is_empty() {
            return None;
        }
        let load =
            |index: &usize| self.targets[*index].own + self.peers.load(self.targets[*index].hash);
        match self.policy {
            PolicyKind::Random => Some(open[self.rng.random_range(0..open.len())]),
            PolicyKind::RoundRobin | PolicyKind::Module(_) => {
                self.turn += 1;
                Some(open[self.turn % open.len()])
            }
            PolicyKind::LeastLoaded => {
                let least = open.iter().map(load).min()?;
                let best: Vec<usize> =
                    open.iter().copied().filter(|index| load(index) == least).collect();
                Some(best[self.rng.random_range(0..best.len())])
            }
            PolicyKind::PowerOfTwo => {
                let first = open[self.rng.random_range(0..open.len())];
                let second = open[self.rng.random_range(0..open.len())];
                Some(if load(&first) <= load(&second) { first } else { second })
            }
            PolicyKind::Rendezvous => {
                let chat = arrival.chat.as_ref()?;
                let affinity = affinity_hash(chat.as_str().as_bytes());
                let score =
                    |index: &usize| rendezvous_score(affinity, self.targets[*index].hash, 1);
                open.into_iter().max_by(|left, right| score(left).total_cmp(&score(right)))
            }
        }
    }

    fn take(&mut self, key: RequestKey, attempt: AttemptKey) -> Option<BaselineRequest> {
        let request = self.requests.remove(&key)?;
        if request.attempt != attempt {
            self.requests.insert(key, request);
            return None;
        }
        let target = &mut self.targets[request.target];
        target.own = target.own.saturating_sub(1);
        Some(request)
    }

    fn again(&mut self, now: TimePoint, mut request: BaselineRequest) {
        request.tried.push(request.target);
        self.dispatch(now, request.arrival, request.tried);
    }

    fn tell_load(&mut self, now: TimePoint) {
        if !self.share_due.passed(now) {
            return;
        }
        self.share_due = now.after(self.pace.every);
        self.sequence += 1;
        let busy = self.targets.iter().filter(|target| target.own > 0);
        let loads =
            busy.map(|target| TargetLoad { target: target.hash, in_flight: target.own }).collect();
        let share = LoadShare { router: self.name.clone(), sequence: self.sequence, loads };
        self.effects.push(Effect::Notify(PeerNotice::Load(share)));
    }
}

impl FleetRouter for BaselineRouter {
    fn on_event(&mut self, now: TimePoint, event: Event) -> Vec<Effect> {
        match event {
            Event::HostsListed(hosts) => self.on_hosts(hosts),
            Event::Arrived(arrival) => self.dispatch(now, arrival, Vec::new()),
            Event::AttemptUnsent(key, attempt)
            | Event::AttemptEnded(key, attempt, AttemptEnd::LostEarly(_)) => {
                if let Some(request) = self.take(key, attempt) {
                    self.again(now, request);
                }
            }
            Event::AttemptEnded(key, attempt, AttemptEnd::Whole(_)) => {
                self.take(key, attempt);
            }
            Event::AttemptEnded(key, attempt, AttemptEnd::LostLate) => {
                let Some(_) = self.take(key, attempt) else { return Vec::new() };
                let refusal = Refusal::Unknown(UnknownCode::AnswerCut);
                self.effects.push(Effect::Step(key, RequestStep::Refuse(refusal)));
            }
            Event::NoticeHeard(PeerNotice::Load(share)) => {
                self.peers.hear(now, share);
            }
            _ => {}
        }
        self.tell_load(now);
        std::mem::take(&mut self.effects)
    }

    fn next_deadline(&self) -> TimePoint {
        self.share_due
    }
}
