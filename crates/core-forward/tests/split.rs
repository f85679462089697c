//! Streams of routes that lead, or led, to several pools: a stream that a caller takes up without naming the call that
//! began it goes on only where no other software may have started it.

#[path = "support/fixture.rs"]
mod fixture;

use std::time::Duration;

use base_types::{ContentDigest, NotRunCode, PoolName, Refusal, RouteName, TimePoint, test_cases};
use core_forward::{DispatchStep, ForwardCore, StreamResumption, TargetEntry};
use state_config::{
    CallerLimits, ConfigVersion, EngineRule, FleetConfig, PoolRule, RetryRule, RouteRule,
    WeightedPool,
};

use fixture::{BOUNDS, call_head, router_entry, target_entry};

const START: TimePoint = TimePoint(1_000_000);

/// A route below a path, with the pools and weights to which it leads.
type Route = (&'static str, &'static [(&'static str, u32)]);

fn config(version: u64, routes: &[Route]) -> FleetConfig {
    let engine = Some(EngineRule { slots: 64, cache_tokens: 700_000 });
    let pool =
        |name| PoolRule { name: PoolName::new(name), connections_max: 360, engine, cold: None };
    let route = |(path_prefix, pools): &Route| RouteRule {
        name: RouteName::new(path_prefix),
        host: "h".into(),
        path_prefix: (*path_prefix).into(),
        retry_rule: RetryRule::ResumableStream,
        timeout: Duration::from_secs(10),
        latency_target: Duration::from_millis(500),
        rank: 0,
        pools: pools
            .iter()
            .map(|(pool, weight)| WeightedPool { pool: PoolName::new(pool), weight: *weight })
            .collect(),
        attempts_max: 1,
        public: true,
    };
    let limits = CallerLimits {
        head_bytes_max: 1,
        body_bytes_max: 1,
        head_timeout: Duration::ZERO,
        idle_timeout: Duration::ZERO,
    };
    let pools = vec![pool("a"), pool("b")];
    FleetConfig::new(
        ConfigVersion(version),
        pools,
        routes.iter().map(route).collect(),
        None,
        limits,
    )
}

/// One target of each pool.
fn targets() -> Vec<TargetEntry> {
    let entry = |(index, pool)| TargetEntry { pool: PoolName::new(pool), ..target_entry(index, 1) };
    ["a", "b"].into_iter().enumerate().map(entry).collect()
}

fn new_router(configs: &[&[Route]], is_first_start: bool) -> ForwardCore {
    let mut core = ForwardCore::new(router_entry(0, 1), BOUNDS);
    for (version, routes) in configs.iter().enumerate() {
        core.adopt_config(START, config(version as u64 + 1, routes));
    }
    let mut recorder = ForwardCore::new(router_entry(1, 1), BOUNDS);
    recorder.adopt_config(START, config(1, configs[0]));
    core.list_targets(START, targets());
    match is_first_start {
        true => core.restore_record(START, None, true),
        false => {
            recorder.list_targets(START, targets());
            recorder.restore_record(START, None, true);
            core.restore(START, recorder.snapshot(START));
        }
    }
    core
}

/// Takes up as many streams as decide whether calls with other ids go on elsewhere.
fn take_up(core: &mut ForwardCore, now: TimePoint, origin: Option<&str>) -> Vec<bool> {
    core.on_platform_responded(now);
    let mut take_up_one = |id| {
        let mut head = call_head(now, id, None);
        head.resumption = Some(StreamResumption { origin: origin.map(Into::into) });
        let call = core.admit(now, head, ContentDigest(id.into())).expect("admitted").call;
        let step = core.dispatch(now, call);
        core.finish(call);
        match step {
            DispatchStep::Send(_) => true,
            DispatchStep::Refuse(Refusal::NotRun(NotRunCode::OriginUnknown, _)) => false,
            step => panic!("{step:?}"),
        }
    };
    (100..116).map(&mut take_up_one).collect()
}

/// Checks whether streams go on some time after configurations were adopted one after the other.
fn check_configs(configs: &[&[Route]], is_first_start: bool, after: Duration, goes_on: bool) {
    let mut core = new_router(configs, is_first_start);
    let now = START.after(after);
    core.list_targets(now, targets());
    core.sweep(now);
    assert_eq!(take_up(&mut core, now, None), vec![goes_on; 16]);
}

const ALL_TO_A: &[Route] = &[("/", &[("a", 1)])];
const ALL_TO_B: &[Route] = &[("/", &[("b", 1)])];
const SPLIT: &[Route] = &[("/", &[("a", 50), ("b", 50)])];
const UNUSED_B: &[Route] = &[("/", &[("a", 1), ("b", 0)])];
const DEEPER_TO_B: &[Route] = &[("/", &[("a", 1)]), ("/x", &[("b", 1)])];
const BESIDE: &[Route] = &[("/", &[("a", 1)]), ("/y", &[("b", 1)])];
const SOON: Duration = Duration::from_secs(10);
/// Streams that began before are over.
const LATE: Duration = Duration::from_secs(61);

test_cases! {
    check_configs:
    a_stream_of_a_route_to_one_pool_goes_on(&[ALL_TO_A], true, SOON, true);
    a_stream_of_a_split_route_does_not_change_its_pool(&[SPLIT], true, LATE, false);
    a_pool_without_weight_began_no_stream(&[UNUSED_B], true, SOON, true);
    a_stream_does_not_follow_its_route_to_another_pool(&[ALL_TO_A, ALL_TO_B], true, SOON, false);
    streams_of_the_former_pool_end(&[ALL_TO_A, ALL_TO_B], true, LATE, true);
    a_route_that_was_split_before_counts(&[SPLIT, ALL_TO_A], true, SOON, false);
    a_stream_does_not_follow_a_new_route_below_its_path(&[ALL_TO_A, DEEPER_TO_B], true, SOON, false);
    a_route_beside_that_of_the_stream_does_not_count(&[BESIDE], true, SOON, true);
    a_router_that_restarted_does_not_know_former_routes(&[ALL_TO_A], false, SOON, false);
    streams_of_the_time_before_the_restart_end(&[ALL_TO_A], false, LATE, true);
}

/// A stream whose origin was reported goes on at the software that began it.
#[test]
fn a_named_stream_of_a_split_route_goes_on() {
    let mut core = new_router(&[SPLIT], true);
    let head = call_head(START, 7, None);
    let call = core.admit(START, head, ContentDigest(7)).expect("admitted").call;
    assert!(matches!(core.dispatch(START, call), DispatchStep::Send(_)));
    core.on_first_event(START, call);
    assert_eq!(take_up(&mut core, START.after(SOON / 2), Some("7")), [true; 16]);
}

/// What a router learns between the admission of a call that resumes a stream, while it was out of step, and its dispatch.
#[derive(Debug, Clone, Copy)]
enum Learned {
    Nothing,
    /// Heartbeats of the others arrive again.
    Heartbeats,
    /// The platform's complete list, asked for after the admission.
    List,
    /// A list that was asked for before.
    OlderList,
}

/// No heartbeats reach a router for a while, in which another version may have joined through them. Guards against
/// a stream that began there and goes on at the only version that this router knows.
fn check_out_of_step(learned: Learned, newer_joined: bool, goes_on: bool) {
    let (cut_at, now) = (START.after(SOON), START.after(SOON + Duration::from_secs(2)));
    let mut core = new_router(&[ALL_TO_A], true);
    let mut peers = [1, 2].map(|index| ForwardCore::new(router_entry(index, 1), BOUNDS));
    for peer in &mut peers {
        peer.adopt_config(START, config(1, ALL_TO_A));
        peer.list_targets(START, targets());
        peer.restore_record(START, None, true);
        core.on_heartbeat(cut_at, peer.next_heartbeat(cut_at));
    }
    let mut listed = targets();
    if newer_joined {
        let software_version = "v2".into();
        listed.push(TargetEntry {
            pool: PoolName::new("a"),
            software_version,
            ..target_entry(7, 1)
        });
        peers.iter_mut().for_each(|peer| peer.list_targets(now, listed.clone()));
    }
    // The store's answers to other calls do not show that the list is current.
    core.on_platform_responded(now);
    let mut head = call_head(now, 100, None);
    head.resumption = Some(StreamResumption { origin: None });
    let call = core.admit(now, head, ContentDigest(100)).expect("admitted").call;
    assert!(core.origin_deadline(now, call).is_some(), "the call waits");
    let later = now.after(Duration::from_millis(50));
    match learned {
        Learned::Nothing => {}
        Learned::Heartbeats => {
            peers.iter_mut().for_each(|peer| core.on_heartbeat(later, peer.next_heartbeat(later)));
        }
        Learned::List => {
            core.list_targets(later, listed);
            core.on_target_list_read(now);
        }
        Learned::OlderList => core.on_target_list_read(TimePoint(now.0 - 1)),
    }
    let is_sent = matches!(core.dispatch(later, call), DispatchStep::Send(_));
    assert_eq!(is_sent, goes_on);
    assert_eq!(core.origin_deadline(later, call).is_some(), !goes_on && !newer_joined);
}

test_cases! {
    check_out_of_step:
    a_router_out_of_step_does_not_guess(Learned::Nothing, false, false);
    a_list_of_before_does_not_help(Learned::OlderList, false, false);
    a_router_in_touch_again_continues_a_stream(Learned::Heartbeats, false, true);
    a_current_list_of_one_version_continues_a_stream(Learned::List, false, true);
    heartbeats_tell_of_a_version_that_joined(Learned::Heartbeats, true, false);
    a_current_list_tells_of_a_version_that_joined(Learned::List, true, false);
}
