//! State machine test: routers choose on outdated views of each other's load, checked against the
//! bound that each view gives. Load shares may be false.

use base_types::{HostName, LoadShare, TargetKey, TargetLoad, TimePoint};
use policy_routing::{ChoiceQuery, PeerLoads, TargetView, choose_target, stable_hash};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

const ROUTERS: usize = 3;
const TARGETS: usize = 4;
const SLOTS: u32 = 40;
const LOAD_RATIO_MAX: f64 = 1.5;

#[derive(Debug, Clone, Copy)]
enum Transition {
    StartRequest { router: usize, affinity: u64 },
    FinishRequest { router: usize, target: usize },
    ReportLoad(usize),
    SetClosed(usize, bool),
    ReportFalseLoad(usize, u32),
}

#[derive(Debug, Clone, Default)]
struct ClosedTargets {
    closed: [bool; TARGETS],
}

impl ReferenceStateMachine for ClosedTargets {
    type State = Self;
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self::default()).boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Transition> {
        prop_oneof![
            8 => (0..ROUTERS, any::<u64>())
                .prop_map(|(router, affinity)| Transition::StartRequest { router, affinity }),
            4 => (0..ROUTERS, 0..TARGETS)
                .prop_map(|(router, target)| Transition::FinishRequest { router, target }),
            3 => (0..ROUTERS).prop_map(Transition::ReportLoad),
            1 => (0..TARGETS, any::<bool>())
                .prop_map(|(target, closed)| Transition::SetClosed(target, closed)),
            1 => (0..ROUTERS, any::<u32>())
                .prop_map(|(router, load)| Transition::ReportFalseLoad(router, load)),
        ]
        .boxed()
    }

    fn apply(mut state: Self, transition: &Transition) -> Self {
        if let Transition::SetClosed(target, closed) = transition {
            state.closed[*target] = *closed;
        }
        state
    }
}

#[derive(Default)]
struct SimulatedRouter {
    own_in_flight: [u32; TARGETS],
    reported_in_flight: [u32; TARGETS],
    sequence: u64,
    peer_loads: PeerLoads,
}

#[derive(Default)]
struct SimulatedFleet {
    routers: [SimulatedRouter; ROUTERS],
}

fn target_hash(target: usize) -> u64 {
    stable_hash(format!("runner-{target}").as_bytes())
}

fn router_name(router: usize) -> HostName {
    HostName::new(&format!("entry-{router}"))
}

impl SimulatedRouter {
    fn views(&self, closed: &[bool; TARGETS]) -> Vec<TargetView> {
        let view = |target: usize| TargetView {
            target: TargetKey(target as u32),
            target_hash: target_hash(target),
            slots: SLOTS,
            own_in_flight: self.own_in_flight[target],
            reported_in_flight: self.reported_in_flight[target],
            peer_in_flight: self.peer_loads.load(target_hash(target)),
            weight_percent: if closed[target] { 0 } else { 100 },
            is_healthy: true,
        };
        (0..TARGETS).map(view).collect()
    }
}

impl StateMachineTest for SimulatedFleet {
    type SystemUnderTest = Self;
    type Reference = ClosedTargets;

    fn init_test(_: &ClosedTargets) -> Self {
        Self::default()
    }

    fn apply(mut fleet: Self, state: &ClosedTargets, transition: Transition) -> Self {
        match transition {
            Transition::StartRequest { router: index, affinity } => {
                let router = &mut fleet.routers[index];
                let views = router.views(&state.closed);
                let position = router.peer_loads.position(&router_name(index));
                let query = ChoiceQuery {
                    affinity,
                    placement: None,
                    is_first_turn: affinity % 2 == 0,
                    max_load_ratio: LOAD_RATIO_MAX,
                    reuse_bias: 0.5,
                    position,
                    attempted_targets: &[],
                };
                let Some(choice) = choose_target(&query, &views) else { return fleet };
                let target = choice.target.0 as usize;
                assert!(!state.closed[target], "a closed target was chosen");
                let candidates: Vec<_> =
                    views.iter().filter(|view| view.weight_percent > 0).collect();
                let load: u64 = candidates.iter().map(|view| u64::from(view.load())).sum();
                let bound = ((load + 1) as f64 / candidates.len() as f64 * LOAD_RATIO_MAX).ceil();
                assert!(
                    f64::from(views[target].load()) < bound,
                    "the estimated load bound was exceeded"
                );
                assert!(views[target].load() < SLOTS, "the slots of the target were exceeded");
                router.own_in_flight[target] += 1;
            }
            Transition::FinishRequest { router, target } => {
                let own_in_flight = &mut fleet.routers[router].own_in_flight[target];
                *own_in_flight = own_in_flight.saturating_sub(1);
            }
            Transition::ReportLoad(index) => fleet.report_load(index),
            Transition::ReportFalseLoad(index, in_flight) => {
                let loads = vec![TargetLoad { target_hash: target_hash(0), in_flight }];
                fleet.broadcast(index, loads);
            }
            Transition::SetClosed(..) => {}
        }
        fleet
    }
}

impl SimulatedFleet {
    fn report_load(&mut self, index: usize) {
        let router = &mut self.routers[index];
        router.reported_in_flight = router.own_in_flight;
        let load = |target| TargetLoad {
            target_hash: target_hash(target),
            in_flight: router.own_in_flight[target],
        };
        let loads = (0..TARGETS).map(load).collect();
        self.broadcast(index, loads);
    }

    fn broadcast(&mut self, index: usize, loads: Vec<TargetLoad>) {
        self.routers[index].sequence += 1;
        let sequence = self.routers[index].sequence;
        for peer in (0..ROUTERS).filter(|peer| *peer != index) {
            let share = LoadShare { router: router_name(index), sequence, loads: loads.clone() };
            assert!(self.routers[peer].peer_loads.record_share(TimePoint(0), share.clone()));
            assert!(
                !self.routers[peer].peer_loads.record_share(TimePoint(0), share),
                "a share received twice is stale"
            );
        }
    }
}

prop_state_machine! {
    #[test]
    fn choices_respect_bound_and_closed_targets(sequential 1..200 => SimulatedFleet);
}
