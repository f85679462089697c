//! Calls at routers that reach no target go through other routers, spread by their calls in flight.

#[path = "support/fixture.rs"]
mod fixture;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use base_types::{ContentDigest, NotRunCode, Refusal, TargetKey, TimePoint, test_cases};
use core_forward::{
    AttemptOutcome, CallKey, CallerKey, DetourClaim, DetourOutcome, DetourSpec, DispatchStep,
    ForwardCore,
};
use fixture::{call_head, config, new_router, target_entry, target_index};
use state_config::{ConfigVersion, RetryRule};

const TARGETS: usize = 9;
const CALLS: u64 = 400;
const CALLS_PER_HEARTBEAT: u64 = 10;
const START: TimePoint = TimePoint(10_000_000);
/// Version of the configuration that all routers start with.
const VERSION: ConfigVersion = ConfigVersion(1);
const NEXT_VERSION: ConfigVersion = ConfigVersion(4);

/// Routers that know each other and all targets; some are cut off from the targets.
struct CutFleet {
    routers: Vec<ForwardCore>,
    next_id: u64,
}

impl CutFleet {
    fn new(count: u16, cut: &[usize]) -> Self {
        let routers = (0..count).map(|index| {
            let mut core = new_router(START, index, 1, RetryRule::Idempotent);
            core.list_targets(START, (0..TARGETS).map(|target| target_entry(target, 1)).collect());
            core
        });
        let mut fleet = Self { routers: routers.collect(), next_id: 0 };
        for router in cut {
            fleet.cut(*router);
        }
        fleet.exchange_heartbeats();
        fleet
    }

    fn cut(&mut self, router: usize) {
        for target in 0..TARGETS {
            self.routers[router].on_target_unreachable(START, TargetKey(target as u32));
        }
    }

    /// Has a router adopt a version of the configuration.
    fn adopt(&mut self, router: usize, version: ConfigVersion) {
        let mut config = config(RetryRule::Idempotent, 1);
        config.version = version;
        assert!(self.routers[router].adopt_config(START, config));
    }

    fn exchange_heartbeats(&mut self) {
        let heartbeats: Vec<_> =
            self.routers.iter_mut().map(|router| router.next_heartbeat(START)).collect();
        for router in &mut self.routers {
            for heartbeat in &heartbeats {
                router.on_heartbeat(START, heartbeat.clone());
            }
        }
    }

    /// Admits a call at a router, and returns what is to be done with it.
    fn call(&mut self, router: usize, claim: Option<DetourClaim>) -> (CallKey, DispatchStep) {
        self.next_id += 1;
        let mut head = call_head(START, self.next_id, None);
        head.detour = claim;
        let digest = ContentDigest(u128::from(self.next_id));
        let call = self.routers[router].admit(START, head, digest).expect("admitted").call;
        (call, self.routers[router].dispatch(START, call))
    }
}

fn claim(detour: &DetourSpec) -> Option<DetourClaim> {
    let (key, version) = (detour.key.clone(), Some(detour.version));
    Some(DetourClaim { key, attempts: detour.attempts, version })
}

fn index(detour: &DetourSpec) -> usize {
    let index = detour.router.as_str().strip_prefix("router-").map(str::parse);
    index.and_then(Result::ok).expect("the name of a router")
}

/// Calls at routers that are cut off go to the others, evenly and each directly to a target from there.
fn check_spread(count: u16, cut: &[usize]) {
    let mut fleet = CutFleet::new(count, cut);
    let mut shares: BTreeMap<usize, u64> = BTreeMap::new();
    for number in 0..CALLS {
        let (_, step) = fleet.call(cut[number as usize % cut.len()], None);
        let DispatchStep::Detour(detour) = step else { panic!("no detour: {step:?}") };
        let router = index(&detour);
        assert!(!cut.contains(&router), "sent through a router that is cut off");
        let (_, step) = fleet.call(router, claim(&detour));
        assert!(matches!(step, DispatchStep::Send(_)), "{step:?}");
        *shares.entry(router).or_default() += 1;
        if number % CALLS_PER_HEARTBEAT == 0 {
            fleet.exchange_heartbeats();
        }
    }
    let mean = CALLS as f64 / (usize::from(count) - cut.len()) as f64;
    let busiest = shares.values().copied().max().unwrap_or(0) as f64;
    assert!(busiest <= mean * 1.5 + 3.0, "{busiest} calls at one router, {mean} on average");
}

test_cases! {
    check_spread:
    calls_of_one_cut_router_are_spread(7, &[3]);
    calls_of_a_cut_failure_domain_are_spread(7, &[0, 1]);
    calls_of_most_routers_are_spread(7, &[0, 1, 2, 3, 4]);
    calls_of_cut_routers_are_spread_in_a_large_fleet(67, &[5, 6, 7, 8, 9, 10, 11]);
}

#[test]
fn a_busy_router_gets_no_calls_of_a_router_that_is_cut_off() {
    let mut fleet = CutFleet::new(3, &[0]);
    for _ in 0..50 {
        fleet.call(1, None);
    }
    fleet.exchange_heartbeats();
    for _ in 0..20 {
        let (_, step) = fleet.call(0, None);
        let DispatchStep::Detour(detour) = step else { panic!("no detour: {step:?}") };
        assert_eq!(index(&detour), 2);
    }
}

/// What a router does with a call that names a key, while it reaches no target.
fn check_claim(key: &str, makes_detour: bool) {
    let mut fleet = CutFleet::new(3, &[0]);
    let (_, step) =
        fleet.call(0, Some(DetourClaim { key: key.into(), attempts: 0, version: Some(VERSION) }));
    assert_eq!(matches!(step, DispatchStep::Detour(_)), makes_detour, "{step:?}");
    let is_refused = matches!(step, DispatchStep::Refuse(Refusal::NotRun(NotRunCode::NoTarget, _)));
    assert_eq!(is_refused, !makes_detour, "{step:?}");
}

test_cases! {
    check_claim:
    a_call_of_another_router_makes_no_second_detour("key-0", false);
    a_call_with_the_key_of_another_router_is_that_of_a_caller("key-1", true);
    a_call_with_an_empty_key_is_that_of_a_caller("", true);
}

#[test]
fn a_call_is_refused_at_once_when_no_router_reaches_its_pool() {
    let mut fleet = CutFleet::new(3, &[0, 1, 2]);
    let (_, step) = fleet.call(0, None);
    assert!(matches!(step, DispatchStep::Refuse(Refusal::NotRun(NotRunCode::NoTarget, _))));
}

/// What becomes of a call after detours that ended in these ways.
fn check_ends(outcomes: &[DetourOutcome], is_offered_again: bool, may_have_run: bool) {
    let mut fleet = CutFleet::new(5, &[0]);
    let (call, mut step) = fleet.call(0, None);
    let mut offered = Vec::new();
    for outcome in outcomes {
        let DispatchStep::Detour(detour) = step else { panic!("no detour: {step:?}") };
        assert!(!offered.contains(&detour.router), "offered twice to one router");
        offered.push(detour.router);
        fleet.routers[0].on_detour_finished(START, call, *outcome);
        step = fleet.routers[0].dispatch(START, call);
    }
    assert_eq!(matches!(step, DispatchStep::Detour(_)), is_offered_again, "{step:?}");
    let is_unknown = matches!(step, DispatchStep::Refuse(Refusal::Unknown(_)));
    assert_eq!(is_unknown, may_have_run, "{step:?}");
}

use DetourOutcome::{Lost, Outdated, Unsent};

test_cases! {
    check_ends:
    a_call_that_a_router_did_not_accept_is_offered_to_another(&[Unsent], true, false);
    a_call_that_two_routers_did_not_accept_is_refused(&[Unsent, Unsent], false, false);
    a_call_that_was_lost_on_a_detour_is_unknown(&[Lost], false, true);
    a_call_that_was_lost_on_a_second_offer_is_unknown(&[Unsent, Lost], false, true);
    a_call_that_a_router_did_not_take_is_offered_to_another(&[Outdated], true, false);
    a_call_that_two_routers_did_not_take_is_refused(&[Outdated, Outdated], false, false);
}

#[test]
fn a_call_after_two_failed_connections_makes_a_detour() {
    let mut fleet = CutFleet::new(2, &[]);
    let (call, mut step) = fleet.call(0, None);
    for _ in 0..2 {
        assert!(matches!(step, DispatchStep::Send(_)), "{step:?}");
        fleet.routers[0].on_attempt_finished(START, call, AttemptOutcome::Unsent);
        step = fleet.routers[0].dispatch(START, call);
    }
    assert!(matches!(step, DispatchStep::Detour(_)), "{step:?}");
}

#[test]
fn calls_are_sent_directly_again_when_one_target_answers() {
    let mut fleet = CutFleet::new(3, &[0]);
    let probes = fleet.routers[0].take_link_probes(START.after(Duration::from_secs(1)));
    assert_eq!(probes.len(), 1, "one target of an unreachable pool is probed at a time");
    fleet.routers[0].on_target_reachable(START, probes[0].target);
    let mut targets = BTreeSet::new();
    for _ in 0..TARGETS {
        let (_, step) = fleet.call(0, None);
        let DispatchStep::Send(attempt) = step else { panic!("not sent directly: {step:?}") };
        targets.insert(target_index(attempt.address));
    }
    assert!(targets.len() > TARGETS / 2, "{} targets got calls", targets.len());
}

#[test]
fn callers_are_not_sent_to_routers_that_are_cut_off() {
    let mut fleet = CutFleet::new(3, &[0]);
    assert_eq!(fleet.routers[0].caller_addresses(START, CallerKey(7)).len(), 2);
    assert_eq!(fleet.routers[1].caller_addresses(START, CallerKey(7)).len(), 2);
    let mut all_cut = CutFleet::new(3, &[0, 1, 2]);
    assert_eq!(all_cut.routers[0].caller_addresses(START, CallerKey(7)).len(), 3);
}

/// One failed connection puts the other links in doubt, unless a target answers afterwards.
fn check_doubt(answers_after_failure: bool, probes: usize) {
    let mut core = CutFleet::new(1, &[]).routers.remove(0);
    core.on_target_reachable(START, TargetKey(1));
    let failed_at = START.after(Duration::from_millis(100));
    core.on_target_unreachable(failed_at, TargetKey(0));
    let later = failed_at.after(Duration::from_millis(100));
    if answers_after_failure {
        core.on_target_reachable(later, TargetKey(1));
    }
    assert_eq!(core.take_link_probes(later).len(), probes);
    assert_eq!(core.take_link_probes(later).len(), 0, "each is probed once");
}

test_cases! {
    check_doubt:
    all_other_targets_are_probed_after_a_failed_connection(false, TARGETS - 1);
    no_target_is_probed_while_another_answers(true, 0);
}

/// A target that has been down for some time does not hide that the links to the others fail.
#[test]
fn an_old_failed_connection_does_not_hide_a_new_one() {
    let mut core = CutFleet::new(1, &[]).routers.remove(0);
    core.on_target_unreachable(START, TargetKey(0));
    core.on_target_reachable(START.after(Duration::from_secs(1)), TargetKey(1));
    let failed_at = START.after(Duration::from_secs(2));
    core.on_target_unreachable(failed_at, TargetKey(2));
    let probes = core.take_link_probes(failed_at.after(Duration::from_millis(100)));
    assert_eq!(probes.len(), TARGETS - 2);
}

/// A router that does not accept connections, although its heartbeats arrive, delays one call.
#[test]
fn a_router_that_accepts_no_connection_is_left_out_for_a_while() {
    let mut fleet = CutFleet::new(3, &[0]);
    let (call, step) = fleet.call(0, None);
    let DispatchStep::Detour(detour) = step else { panic!("no detour: {step:?}") };
    let refusing = index(&detour);
    fleet.routers[0].on_detour_finished(START, call, Unsent);
    for _ in 0..20 {
        let (_, step) = fleet.call(0, None);
        let DispatchStep::Detour(detour) = step else { panic!("no detour: {step:?}") };
        assert_ne!(index(&detour), refusing);
    }
}

/// Whether a router takes a call of another one that states a version of the configuration.
fn check_version(key: &str, stated: Option<ConfigVersion>, is_taken: bool) {
    let mut fleet = CutFleet::new(2, &[]);
    fleet.adopt(0, NEXT_VERSION);
    let mut head = call_head(START, 1, None);
    head.detour = Some(DetourClaim { key: key.into(), attempts: 0, version: stated });
    let admitted = fleet.routers[0].admit(START, head, ContentDigest(1));
    match is_taken {
        true => assert!(admitted.is_ok(), "{admitted:?}"),
        false => assert_eq!(admitted.err(), Some(NotRunCode::ConfigOutdated)),
    }
}

const LATER: ConfigVersion = ConfigVersion(NEXT_VERSION.0 + 1);

test_cases! {
    check_version:
    a_call_of_the_same_version_is_taken("key-0", Some(NEXT_VERSION), true);
    a_call_of_an_earlier_version_is_taken("key-0", Some(VERSION), true);
    a_call_of_a_later_version_is_not_taken("key-0", Some(LATER), false);
    a_call_of_a_later_version_to_an_earlier_start_is_not_taken("key-of-an-earlier-start", Some(LATER), false);
    a_call_of_a_router_that_states_no_version_is_not_taken("key-0", None, false);
    a_call_of_a_caller_that_claims_to_be_a_router_is_taken("key", None, true);
}

/// A restore of the platform lowers its revisions, and leaves the older configuration of its copy to a router that
/// restarts.
#[test]
fn a_restored_copy_of_the_configuration_does_not_count_as_later() {
    let mut fleet = CutFleet::new(2, &[]);
    fleet.adopt(0, NEXT_VERSION);
    fleet.routers[1].on_platform_era(START, 3);
    let mut head = call_head(START, 1, None);
    head.detour =
        Some(DetourClaim { key: "key-1".into(), attempts: 0, version: Some(NEXT_VERSION) });
    let admitted = fleet.routers[1].admit(START, head, ContentDigest(1));
    assert_eq!(admitted.err(), Some(NotRunCode::ConfigOutdated));
}

/// Routers that are not known to have the version that admitted a call do not get it.
fn check_choice(versions: [ConfigVersion; 3], states_version: bool, chosen: Option<usize>) {
    let mut fleet = CutFleet::new(3, &[0]);
    for (router, version) in versions.into_iter().enumerate().filter(|(_, next)| *next > VERSION) {
        fleet.adopt(router, version);
    }
    for router in 1..3 {
        let mut heartbeat = fleet.routers[router].next_heartbeat(START);
        if !states_version {
            heartbeat.entry.incarnation += 1;
            heartbeat.extension.config_version = None;
        }
        fleet.routers[0].on_heartbeat(START, heartbeat);
    }
    let (_, step) = fleet.call(0, None);
    let detour = match &step {
        DispatchStep::Detour(detour) => Some(index(detour)),
        _ => None,
    };
    assert_eq!(detour, chosen, "{step:?}");
    let is_refused = matches!(step, DispatchStep::Refuse(Refusal::NotRun(NotRunCode::NoTarget, _)));
    assert_eq!(is_refused, chosen.is_none(), "{step:?}");
}

test_cases! {
    check_choice:
    a_router_with_the_version_gets_the_call([NEXT_VERSION, VERSION, NEXT_VERSION], true, Some(2));
    a_router_with_a_later_version_gets_the_call([NEXT_VERSION, VERSION, LATER], true, Some(2));
    routers_with_an_earlier_version_do_not_get_the_call([NEXT_VERSION, VERSION, VERSION], true, None);
    routers_of_an_earlier_build_do_not_get_the_call([VERSION, VERSION, VERSION], false, None);
}

/// A router that did not take a call, as it restarted with an older configuration, is left out for a while.
#[test]
fn a_router_that_did_not_take_a_call_is_left_out_for_a_while() {
    let mut fleet = CutFleet::new(3, &[0]);
    let (call, step) = fleet.call(0, None);
    let DispatchStep::Detour(detour) = step else { panic!("no detour: {step:?}") };
    let outdated = index(&detour);
    fleet.routers[0].on_detour_finished(START, call, DetourOutcome::Outdated);
    let mut steps = vec![fleet.routers[0].dispatch(START, call)];
    steps.extend((0..20).map(|_| fleet.call(0, None).1));
    for step in steps {
        let DispatchStep::Detour(detour) = step else { panic!("no detour: {step:?}") };
        assert_ne!(index(&detour), outdated);
    }
}
