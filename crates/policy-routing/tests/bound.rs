//! Routers that choose on old views, against an oracle that counts the true load.

use base_types::{HostName, LoadShare, TargetKey, TargetLoad, TimePoint};
use policy_routing::{ChoiceQuery, PeerLoads, TargetView, affinity_hash, choose_target};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

const ROUTERS: usize = 3;
const TARGETS: usize = 4;
const SLOTS: u32 = 40;
const RATIO: f64 = 1.5;

#[derive(Debug, Clone, Copy)]
enum Step {
    Arrive { router: usize, affinity: u64 },
    End { router: usize, target: usize },
    Tell(usize),
    Close(usize, bool),
    Lie(usize, u32),
}

#[derive(Debug, Clone, Default)]
struct Oracle {
    closed: [bool; TARGETS],
}

impl ReferenceStateMachine for Oracle {
    type State = Self;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self::default()).boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Step> {
        prop_oneof![
            8 => (0..ROUTERS, any::<u64>())
                .prop_map(|(router, affinity)| Step::Arrive { router, affinity }),
            4 => (0..ROUTERS, 0..TARGETS).prop_map(|(router, target)| Step::End { router, target }),
            3 => (0..ROUTERS).prop_map(Step::Tell),
            1 => (0..TARGETS, any::<bool>()).prop_map(|(target, open)| Step::Close(target, open)),
            1 => (0..ROUTERS, any::<u32>()).prop_map(|(router, load)| Step::Lie(router, load)),
        ]
        .boxed()
    }

    fn apply(mut state: Self, step: &Step) -> Self {
        if let Step::Close(target, closed) = step {
            state.closed[*target] = *closed;
        }
        state
    }
}

#[derive(Default)]
struct Router {
    own: [u32; TARGETS],
    told: [u32; TARGETS],
    sequence: u64,
    peers: PeerLoads,
}

#[derive(Default)]
struct Fleet {
    routers: [Router; ROUTERS],
}

fn hash(target: usize) -> u64 {
    affinity_hash(format!("runner-{target}").as_bytes())
}

fn name(router: usize) -> HostName {
    HostName::new(&format!("entry-{router}"))
}

impl Router {
    fn views(&self, closed: &[bool; TARGETS]) -> Vec<TargetView> {
        let view = |target: usize| TargetView {
            target: TargetKey(target as u32),
            hash: hash(target),
            slots: SLOTS,
            own: self.own[target],
            told: self.told[target],
            others: self.peers.load(hash(target)),
            percent: if closed[target] { 0 } else { 100 },
            calm: true,
        };
        (0..TARGETS).map(view).collect()
    }
}

impl StateMachineTest for Fleet {
    type SystemUnderTest = Self;
    type Reference = Oracle;

    fn init_test(_: &Oracle) -> Self {
        Self::default()
    }

    fn apply(mut fleet: Self, state: &Oracle, step: Step) -> Self {
        match step {
            Step::Arrive { router: index, affinity } => {
                let router = &mut fleet.routers[index];
                let views = router.views(&state.closed);
                let place = router.peers.place(&name(index));
                let query = ChoiceQuery {
                    affinity,
                    placement: None,
                    chat_begins: affinity % 2 == 0,
                    max_load_ratio: RATIO,
                    reuse_bias: 0.5,
                    place,
                    tried: &[],
                };
                let Some(choice) = choose_target(&query, &views) else { return fleet };
                let target = choice.target.0 as usize;
                assert!(!state.closed[target], "a closed target was given work");
                let open: Vec<_> = views.iter().filter(|view| view.percent > 0).collect();
                let load: u64 = open.iter().map(|view| u64::from(view.load())).sum();
                let bound = ((load + 1) as f64 / open.len() as f64 * RATIO).ceil();
                assert!(f64::from(views[target].load()) < bound, "beyond the estimated bound");
                assert!(views[target].load() < SLOTS, "beyond the slots");
                router.own[target] += 1;
            }
            Step::End { router, target } => {
                let own = &mut fleet.routers[router].own[target];
                *own = own.saturating_sub(1);
            }
            Step::Tell(index) => fleet.tell(index),
            Step::Lie(index, in_flight) => {
                let loads = vec![TargetLoad { target: hash(0), in_flight }];
                fleet.spread(index, loads);
            }
            Step::Close(..) => {}
        }
        fleet
    }
}

impl Fleet {
    fn tell(&mut self, index: usize) {
        let router = &mut self.routers[index];
        router.told = router.own;
        let load = |target| TargetLoad { target: hash(target), in_flight: router.own[target] };
        let loads = (0..TARGETS).map(load).collect();
        self.spread(index, loads);
    }

    fn spread(&mut self, index: usize, loads: Vec<TargetLoad>) {
        self.routers[index].sequence += 1;
        let sequence = self.routers[index].sequence;
        for peer in (0..ROUTERS).filter(|peer| *peer != index) {
            let share = LoadShare { router: name(index), sequence, loads: loads.clone() };
            assert!(self.routers[peer].peers.hear(TimePoint(0), share.clone()));
            assert!(!self.routers[peer].peers.hear(TimePoint(0), share), "a repeat is stale");
        }
    }
}

prop_state_machine! {
    #[test]
    fn choices_keep_bound_and_closed_targets(sequential 1..200 => Fleet);
}
