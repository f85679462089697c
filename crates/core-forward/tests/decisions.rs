//! Decisions on calls: attempts, retry budgets, target lifecycle, heartbeats.

use std::{net::SocketAddr, ops::Range, time::Duration};

use base_types::{
    AdaptiveCapacity, ContentDigest, HostName, NotRunCode, PoolName, Refusal, RouteName, TimePoint,
    UnknownCode, test_cases,
};
use core_forward::{
    AttemptOutcome, AttemptSpec, CallHead, CallKey, CallRate, CallerKey, DispatchStep,
    ForwardBounds, ForwardCore, PromptHead, PromptSegment, RouterEntry, SoftwareKey,
    SoftwareNotice, StopSchedule, StreamResumption, TargetEntry, TargetNotice,
};
use proptest::prelude::*;
use state_config::{
    CallerLimits, ConfigVersion, EngineRule, FleetConfig, PoolRule, RetryRule, RouteRule,
    WeightedPool,
};

const BOUNDS: ForwardBounds = ForwardBounds {
    retry_ratio: 0.2,
    retry_slack: 100,
    retry_window: Duration::from_secs(10),
    load_ratio_max: 2.0,
    evacuations: false,
    cold_ratio: 1.5,
    cold_slack: 5,
    adaptive_capacity: AdaptiveCapacity::Auto,
    queueing: false,
    engine_memory_guard: false,
};

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn router(name: &str, port: u16) -> RouterEntry {
    RouterEntry {
        name: HostName::new(name),
        caller_address: address(port),
        peer_address: address(port + 1),
        failure_domain: "z".into(),
        incarnation: u64::from(port),
        detour_key: "0123456789abcdef".repeat(2).into(),
    }
}

fn target(index: u16) -> TargetEntry {
    TargetEntry {
        name: HostName::new(&format!("t{index}")),
        pool: PoolName::new("pool"),
        address: address(9_000 + index),
        failure_domain: "z".into(),
        software_version: "v1".into(),
        slots: 8,
        draining: false,
        incarnation: 1,
    }
}

fn config(version: u64, retry_rule: RetryRule, attempts_max: u32) -> FleetConfig {
    let route = RouteRule {
        name: RouteName::new("route"),
        host: "h".into(),
        path_prefix: "/".into(),
        retry_rule,
        timeout: Duration::from_secs(5),
        latency_target: Duration::from_millis(100),
        rank: 0,
        pools: vec![WeightedPool { pool: PoolName::new("pool"), weight: 1 }],
        attempts_max,
        public: true,
    };
    let engine = EngineRule { slots: 8, cache_tokens: 1_000_000 };
    let pool = PoolRule {
        name: PoolName::new("pool"),
        connections_max: 10,
        engine: Some(engine),
        cold: None,
    };
    let limits = CallerLimits {
        head_bytes_max: 1,
        body_bytes_max: 1,
        head_timeout: Duration::ZERO,
        idle_timeout: Duration::ZERO,
    };
    FleetConfig::new(ConfigVersion(version), vec![pool], vec![route], None, limits)
}

fn core_of(retry_rule: RetryRule, attempts_max: u32, targets: u16) -> ForwardCore {
    let mut core = ForwardCore::new(router("a", 100), BOUNDS);
    core.adopt_config(TimePoint(0), config(1, retry_rule, attempts_max));
    core.restore_record(TimePoint(0), None, true);
    core.list_targets(TimePoint(0), (0..targets).map(target).collect());
    core
}

fn call_head(now: TimePoint) -> CallHead {
    CallHead {
        id: format!("{now:?}").into(),
        host: "h".into(),
        path: "/x".into(),
        account_key: None,
        deadline: now.after(Duration::from_secs(3)),
        prompt: None,
        resumption: None,
        detour: None,
    }
}

fn admit(core: &mut ForwardCore, now: TimePoint, prompt: Option<PromptHead>) -> CallKey {
    let head = CallHead { prompt, ..call_head(now) };
    core.admit(now, head, ContentDigest(u128::from(now.0))).expect("admitted").call
}

fn send(core: &mut ForwardCore, now: TimePoint, call: CallKey) -> Option<AttemptSpec> {
    match core.dispatch(now, call) {
        DispatchStep::Send(attempt) => Some(attempt),
        DispatchStep::Refuse(_) => None,
        step => panic!("{step:?}"),
    }
}

/// Runs a call whose attempts end with the given outcomes in turn, then checks that it is refused:
/// as "unknown" or as "not run".
fn check_refusal(
    retry_rule: RetryRule,
    attempts_max: u32,
    outcomes: &[AttemptOutcome],
    is_unknown: bool,
) {
    let mut core = core_of(retry_rule, attempts_max, 6);
    let now = TimePoint(1_000);
    let call = admit(&mut core, now, None);
    for outcome in outcomes {
        assert!(send(&mut core, now, call).is_some(), "not sent before {outcome:?}");
        core.on_attempt_finished(now, call, *outcome);
    }
    match core.dispatch(now, call) {
        DispatchStep::Refuse(Refusal::NotRun(code, retry_after)) => {
            assert!(!is_unknown, "{code:?}");
            assert!(retry_after > now);
        }
        DispatchStep::Refuse(Refusal::Unknown(code)) => {
            assert!(is_unknown);
            assert_eq!(code, UnknownCode::TargetLost);
        }
        step => panic!("attempted again: {step:?}"),
    }
    core.finish(call);
    assert!(core.status(now).targets.iter().all(|target| target.own_in_flight == 0));
}

use AttemptOutcome::{Completed, Declined, Failed, Lost, Misdirected, Silent, Unsent};

test_cases! {
    check_refusal:
    lost_non_idempotent_call_is_unknown(RetryRule::AtMostOnce, 3, &[Lost], true);
    lost_stream_is_unknown(RetryRule::AtMostOnceStream, 3, &[Lost], true);
    failed_non_idempotent_call_is_not_retried(RetryRule::AtMostOnce, 3, &[Failed], true);
    call_is_not_retried_after_its_answer(RetryRule::AtMostOnce, 3, &[Completed], true);
    declined_call_is_retried_up_to_the_limit(RetryRule::AtMostOnce, 3, &[Declined, Declined, Misdirected], false);
    call_limited_to_one_attempt_is_not_retried(RetryRule::AtMostOnce, 1, &[Declined], false);
    declined_then_lost_call_is_unknown(RetryRule::AtMostOnce, 3, &[Declined, Lost], true);
    idempotent_call_is_retried_up_to_the_limit(RetryRule::Idempotent, 2, &[Lost, Failed], true);
    silent_attempt_counts_against_the_limit(RetryRule::Idempotent, 2, &[Silent, Lost], true);
    resumable_stream_is_retried(RetryRule::ResumableStream, 2, &[Lost, Lost], true);
    unsent_attempts_do_not_count_against_the_limit(RetryRule::AtMostOnce, 1, &[Unsent, Unsent, Declined], false);
    unsent_attempts_have_a_limit_of_their_own(RetryRule::AtMostOnce, 1, &[Unsent, Unsent, Unsent, Unsent], false);
}

#[test]
fn call_is_attempted_once_at_each_target() {
    let mut core = core_of(RetryRule::Idempotent, 9, 3);
    let now = TimePoint(1_000);
    let call = admit(&mut core, now, None);
    let mut attempted_names = Vec::new();
    while let Some(attempt) = send(&mut core, now, call) {
        attempted_names.push(attempt.name);
        core.on_attempt_finished(now, call, Declined);
    }
    attempted_names.sort();
    assert_eq!(attempted_names, ["t0".into(), "t1".into(), "t2".into()]);
}

#[test]
fn refusal_after_the_deadline_depends_on_earlier_attempts() {
    let mut core = core_of(RetryRule::Idempotent, 3, 3);
    let call = admit(&mut core, TimePoint(0), None);
    let late = TimePoint(0).after(Duration::from_secs(4));
    let step = core.dispatch(late, call);
    assert!(matches!(step, DispatchStep::Refuse(Refusal::NotRun(NotRunCode::DeadlinePassed, _))));
    let call = admit(&mut core, TimePoint(0), None);
    assert!(send(&mut core, TimePoint(0), call).is_some());
    core.on_attempt_finished(TimePoint(0), call, Lost);
    let step = core.dispatch(late, call);
    assert_eq!(step, DispatchStep::Refuse(Refusal::Unknown(UnknownCode::DeadlineAfterSend)));
}

#[test]
fn older_config_version_is_not_adopted() {
    let mut core = core_of(RetryRule::AtMostOnce, 1, 1);
    assert!(core.adopt_config(TimePoint(1), config(5, RetryRule::AtMostOnce, 1)));
    assert!(!core.adopt_config(TimePoint(2), config(4, RetryRule::AtMostOnce, 1)));
    assert!(!core.adopt_config(TimePoint(3), config(5, RetryRule::AtMostOnce, 1)));
    assert_eq!(core.version(), Some(ConfigVersion(5)));
}

#[test]
fn retries_stay_within_the_routers_share_of_the_budget() {
    let mut core = core_of(RetryRule::Idempotent, 2, 20);
    core.list_routers(vec![router("b", 200), router("c", 300), router("d", 400)]);
    let now = TimePoint(1_000);
    let retries = (0..200)
        .filter(|_| {
            let call = admit(&mut core, now, None);
            send(&mut core, now, call);
            core.on_attempt_finished(now, call, Failed);
            send(&mut core, now, call).is_some()
        })
        .count();
    let allowed = (200.0 * BOUNDS.retry_ratio + f64::from(BOUNDS.retry_slack) / 4.0) as usize;
    assert!(retries > 0 && retries <= allowed, "{retries} retries, {allowed} allowed");
}

fn prompt(session: u64) -> PromptHead {
    let segment = |id, tokens| PromptSegment { id, tokens };
    let segments =
        vec![segment(1, 500), segment(1_000 + session, 9_000), segment(session << 32, 500)];
    PromptHead { input_tokens: 10_000, output_tokens: 100, segments }
}

#[test]
fn session_affinity_is_shared_by_heartbeats() {
    let mut core = core_of(RetryRule::AtMostOnceStream, 1, 5);
    let mut other = ForwardCore::new(router("b", 200), BOUNDS);
    other.adopt_config(TimePoint(0), config(1, RetryRule::AtMostOnceStream, 1));
    other.list_targets(TimePoint(0), (0..5).map(target).collect());
    let now = TimePoint(1_000_000);
    for session in 0..20 {
        let call = admit(&mut core, now, Some(prompt(session)));
        let first_attempt = send(&mut core, now, call).expect("sent");
        core.on_response_started(now, call);
        core.on_attempt_finished(now, call, Completed);
        core.finish(call);
        other.on_heartbeat(now, core.next_heartbeat(now));
        let later = now.after(Duration::from_secs(1));
        for router in [&mut core, &mut other] {
            let call = admit(router, later, Some(prompt(session)));
            let attempt = send(router, later, call).expect("sent");
            assert_eq!(
                (&attempt.name, attempt.inputs.cached_tokens >= 9_500),
                (&first_attempt.name, true)
            );
            router.finish(call);
        }
    }
}

#[test]
fn starting_router_restores_a_settled_snapshot() {
    let mut core = core_of(RetryRule::AtMostOnceStream, 1, 5);
    let now = TimePoint(0).after(Duration::from_secs(5));
    let call = admit(&mut core, now, Some(prompt(3)));
    let first_attempt = send(&mut core, now, call).expect("sent");
    let mut starting = ForwardCore::new(router("b", 200), BOUNDS);
    let snapshot = core.snapshot(now);
    assert!(snapshot.settled);
    starting.restore(TimePoint(0), snapshot);
    assert!(starting.ready());
    let call = admit(&mut starting, TimePoint(1), Some(prompt(3)));
    let attempt = send(&mut starting, TimePoint(1), call).expect("sent");
    assert_eq!((attempt.name, attempt.inputs.cached_tokens), (first_attempt.name, 9_500 + 500));
}

#[test]
fn each_engine_is_assigned_to_one_router() {
    let routers: Vec<RouterEntry> =
        (0..7).map(|index| router(&format!("r{index}"), 1_000 + index * 10)).collect();
    let mut assigned = 0;
    for entry in &routers {
        let mut core = ForwardCore::new(entry.clone(), BOUNDS);
        core.adopt_config(TimePoint(0), config(1, RetryRule::AtMostOnceStream, 1));
        core.list_targets(TimePoint(0), (0..30).map(target).collect());
        core.list_routers(routers.clone());
        assigned += core.engines_to_query(TimePoint(0)).len();
    }
    assert_eq!(assigned, 30);
}

#[test]
fn caller_addresses_list_routers_with_recent_heartbeats() {
    let mut core = core_of(RetryRule::AtMostOnce, 1, 1);
    core.list_routers(vec![router("b", 200), router("c", 300)]);
    let now = TimePoint(1_000_000);
    assert_eq!(core.caller_addresses(now, CallerKey(7)), [address(100)]);
    let mut other = core_of_router("b", 200);
    core.on_heartbeat(now, other.next_heartbeat(now));
    assert_eq!(core.caller_addresses(now, CallerKey(7)), [address(200), address(100)]);
    assert_eq!(
        core.caller_addresses(now.after(Duration::from_secs(3)), CallerKey(7)),
        [address(100)]
    );
    other.start_shutdown(StopSchedule {
        started_at: TimePoint(0),
        idle_stop_at: TimePoint::NEVER,
        listed_until: TimePoint::NEVER,
        stop_at: TimePoint::NEVER,
    });
    core.on_heartbeat(now, other.next_heartbeat(now));
    assert_eq!(core.caller_addresses(now, CallerKey(7)), [address(100)]);
    core.start_shutdown(StopSchedule {
        started_at: TimePoint(0),
        idle_stop_at: TimePoint::NEVER,
        listed_until: TimePoint::NEVER,
        stop_at: TimePoint::NEVER,
    });
    assert_eq!(core.caller_addresses(now, CallerKey(7)), []);
}

fn core_of_router(name: &str, port: u16) -> ForwardCore {
    let mut core = ForwardCore::new(router(name, port), BOUNDS);
    core.adopt_config(TimePoint(0), config(1, RetryRule::AtMostOnce, 1));
    core.list_targets(TimePoint(0), vec![target(0)]);
    core
}

/// Another router reports failures of one target; then calls of this router go elsewhere.
fn check_reported_failures(retry_rule: RetryRule, outcome: AttemptOutcome) {
    let mut core = core_of(retry_rule, 1, 4);
    let mut other = core_of(retry_rule, 1, 1);
    let now = TimePoint(1_000_000);
    for _ in 0..6 {
        let call = admit(&mut other, now, None);
        send(&mut other, now, call).expect("sent");
        other.on_attempt_finished(now, call, outcome);
        other.finish(call);
    }
    let mut heartbeat = other.next_heartbeat(now);
    heartbeat.entry = router("b", 200);
    heartbeat.load_share.router = heartbeat.entry.name.clone();
    core.on_heartbeat(now, heartbeat);
    for _ in 0..40 {
        let call = admit(&mut core, now, None);
        let attempt = send(&mut core, now, call).expect("sent");
        assert_ne!(&*attempt.name, "t0");
        core.on_attempt_finished(now, call, Completed);
        core.finish(call);
    }
}

test_cases! {
    check_reported_failures:
    failed_calls_reported_by_peers_divert_calls(RetryRule::AtMostOnce, Failed);
    failed_streams_reported_by_peers_divert_streams(RetryRule::AtMostOnceStream, Failed);
    silent_targets_reported_by_peers_divert_calls(RetryRule::Idempotent, Silent);
}

#[test]
fn load_of_a_restarted_router_counts_at_once() {
    let mut core = core_of(RetryRule::AtMostOnce, 1, 1);
    let now = TimePoint(1_000_000);
    let mut previous_instance = core_of_router("b", 200);
    for _ in 0..3 {
        let call = admit(&mut previous_instance, now, None);
        send(&mut previous_instance, now, call).expect("sent");
        core.on_heartbeat(now, previous_instance.next_heartbeat(now));
    }
    assert_eq!(core.status(now).targets[0].peer_in_flight, 3);
    let entry = RouterEntry { incarnation: 7, ..router("b", 200) };
    let mut restarted = ForwardCore::new(entry, BOUNDS);
    core.on_heartbeat(now, restarted.next_heartbeat(now));
    assert_eq!(core.status(now).targets[0].peer_in_flight, 0);
}

#[test]
fn cache_is_fetched_from_an_engine_that_lost_an_answer() {
    let mut core = core_of(RetryRule::AtMostOnceStream, 1, 3);
    let now = TimePoint(1_000_000);
    let call = admit(&mut core, now, Some(prompt(3)));
    let first_attempt = send(&mut core, now, call).expect("sent");
    core.on_response_started(now, call);
    core.on_attempt_finished(now, call, Lost);
    core.finish(call);
    let later = now.after(Duration::from_millis(500));
    let call = admit(&mut core, later, Some(prompt(3)));
    let attempt = send(&mut core, later, call).expect("sent");
    assert_ne!(attempt.name, first_attempt.name);
    assert_eq!(attempt.fetch_from, Some(first_attempt.address));
}

#[derive(Debug, Clone)]
enum Operation {
    Admit,
    Dispatch(usize),
    End(usize, AttemptOutcome),
    Finish(usize),
    Put(u16, bool, u64),
    Remove(u16),
    Sweep,
}

fn any_operation() -> impl Strategy<Value = Operation> {
    let outcome =
        prop::sample::select(vec![Unsent, Declined, Misdirected, Silent, Lost, Failed, Completed]);
    prop_oneof![
        2 => Just(Operation::Admit),
        4 => (0usize..8).prop_map(Operation::Dispatch),
        4 => (0usize..8, outcome)
            .prop_map(|(call, outcome)| Operation::End(call, outcome)),
        1 => (0usize..8).prop_map(Operation::Finish),
        1 => (0u16..4, any::<bool>(), 1u64..3)
            .prop_map(|(index, draining, incarnation)| Operation::Put(index, draining, incarnation)),
        1 => (0u16..4).prop_map(Operation::Remove),
        1 => Just(Operation::Sweep),
    ]
}

/// Expected state of a call.
#[derive(Debug, Clone)]
struct ExpectedCall {
    key: CallKey,
    attempt_in_progress: bool,
    may_have_run: bool,
    attempts: u32,
}

proptest! {
    /// Invariants over any interleaving: a non-idempotent call is not attempted again after it may
    /// have run, a refusal says "not run" only when no attempt may have run the call, the limit of
    /// attempts is kept, no call goes to a target that is draining or removed, and the calls in
    /// flight add up.
    #[test]
    fn invariants_hold_for_any_interleaving(
        operations in prop::collection::vec(any_operation(), 0..120),
        retry_rule in prop::sample::select(vec![RetryRule::AtMostOnce, RetryRule::Idempotent, RetryRule::AtMostOnceStream, RetryRule::ResumableStream]),
    ) {
        const ATTEMPTS_MAX: u32 = 2;
        let mut core = core_of(retry_rule, ATTEMPTS_MAX, 4);
        let mut accepting: Vec<bool> = vec![true; 4];
        let mut calls: Vec<ExpectedCall> = Vec::new();
        let mut now = TimePoint(1);
        for operation in operations {
            now = now.after(Duration::from_millis(7));
            match operation {
                Operation::Admit => {
                    let key = admit(&mut core, now, None);
                    calls.push(ExpectedCall {
                        key,
                        attempt_in_progress: false,
                        may_have_run: false,
                        attempts: 0,
                    });
                }
                Operation::Dispatch(index) => {
                    let Some(call) =
                        calls.get_mut(index).filter(|call| !call.attempt_in_progress)
                    else {
                        continue
                    };
                    match core.dispatch(now, call.key) {
                        DispatchStep::Send(attempt) => {
                            prop_assert!(retry_rule.is_retryable() || !call.may_have_run);
                            call.attempts += 1;
                            prop_assert!(call.attempts <= ATTEMPTS_MAX);
                            call.attempt_in_progress = true;
                            let index: usize = attempt.name[1..].parse().expect("an index");
                            prop_assert!(accepting[index], "{} takes no calls", attempt.name);
                        }
                        DispatchStep::Refuse(Refusal::NotRun(..)) => prop_assert!(!call.may_have_run),
                        DispatchStep::Refuse(Refusal::Unknown(_)) => prop_assert!(call.may_have_run),
                        step => prop_assert!(false, "{step:?}"),
                    }
                }
                Operation::End(index, outcome) => {
                    let Some(call) =
                        calls.get_mut(index).filter(|call| call.attempt_in_progress)
                    else {
                        continue
                    };
                    core.on_attempt_finished(now, call.key, outcome);
                    call.attempt_in_progress = false;
                    call.may_have_run |= matches!(outcome, Silent | Lost | Failed | Completed);
                    if outcome == Unsent {
                        call.attempts -= 1;
                    }
                }
                Operation::Finish(index) => {
                    if index < calls.len() {
                        core.finish(calls.remove(index).key);
                    }
                }
                Operation::Put(index, draining, incarnation) => {
                    let entry = TargetEntry { draining, incarnation, ..target(index) };
                    let name = entry.name.clone();
                    let entry = Some(entry);
                    core.on_targets_changed(now, vec![TargetNotice { name, revision: now.0, entry }]);
                    accepting[usize::from(index)] = !draining;
                }
                Operation::Remove(index) => {
                    let name = target(index).name;
                    let notice = TargetNotice { name, revision: now.0, entry: None };
                    core.on_targets_changed(now, vec![notice]);
                    accepting[usize::from(index)] = false;
                }
                Operation::Sweep => core.sweep(now),
            }
            let in_flight: u32 = core.status(now).targets.iter().map(|target| target.own_in_flight).sum();
            let expected_in_flight = calls.iter().filter(|call| call.attempt_in_progress).count();
            prop_assert_eq!(in_flight as usize, expected_in_flight);
        }
    }
}

#[test]
fn silent_target_is_probed_once_a_second_and_avoided_when_unreachable() {
    let mut core = core_of(RetryRule::AtMostOnce, 1, 2);
    let now = TimePoint(1_000_000);
    let call = admit(&mut core, now, None);
    let attempt = send(&mut core, now, call).expect("sent");
    assert!(
        attempt.response_start_deadline < attempt.deadline,
        "non-idempotent calls are also checked for silence"
    );
    let silent_at = attempt.response_start_deadline;
    assert!(core.take_due_probe(silent_at, call));
    assert!(!core.take_due_probe(silent_at.after(Duration::from_millis(500)), call));
    core.on_target_unreachable(silent_at, attempt.target);
    assert!(!core.can_retry(silent_at, call));
    for _ in 0..20 {
        let other = admit(&mut core, silent_at, None);
        assert_ne!(send(&mut core, silent_at, other).expect("sent").name, attempt.name);
    }
}

#[test]
fn status_shows_retry_budget_and_cached_segments() {
    let mut core = core_of(RetryRule::ResumableStream, 2, 3);
    let now = TimePoint(1_000_000);
    let retries_left =
        |core: &ForwardCore| core.status(now).retries_left.first().map(|(_, count)| *count);
    assert_eq!(retries_left(&core), None);
    let call = admit(&mut core, now, Some(prompt(3)));
    let first_attempt = send(&mut core, now, call).expect("sent");
    let retries_before = retries_left(&core).expect("a retry budget");
    assert_eq!(retries_before, u64::from(BOUNDS.retry_slack) * 8 / 10);
    core.on_attempt_finished(now, call, Lost);
    send(&mut core, now, call).expect("retried");
    assert_eq!(retries_left(&core), Some(retries_before - 1));
    let targets = core.status(now).targets;
    let holder = targets.iter().find(|target| target.name.as_str() == &*first_attempt.name);
    // The last segment belongs to this call only, and the lost attempt may not have prefilled it.
    assert_eq!(holder.map(|target| target.cached_segments), Some(2));
}

/// A heartbeat fits into a datagram even when all targets of a large pool have outcomes to report.
#[test]
fn outcomes_of_many_targets_are_split_over_heartbeats() {
    let mut core = core_of(RetryRule::AtMostOnce, 1, 200);
    let now = TimePoint(1_000_000);
    for _ in 0..200 {
        let call = admit(&mut core, now, None);
        send(&mut core, now, call).expect("sent");
        core.on_attempt_finished(now, call, Failed);
        core.finish(call);
    }
    let mut reported = 0;
    while let heartbeat = core.next_heartbeat(now)
        && !heartbeat.outcomes.is_empty()
    {
        assert!(heartbeat.outcomes.len() <= 64);
        reported += heartbeat.outcomes.iter().map(|outcomes| outcomes.counts.failed).sum::<u32>();
    }
    assert_eq!(reported, 200);
}

/// More content is lost in a crash than fits into one heartbeat; another router learns all of it.
#[test]
fn content_of_a_large_crash_is_split_over_heartbeats() {
    let mut core = core_of(RetryRule::AtMostOnceStream, 1, 1);
    let now = TimePoint(1_000_000);
    let mut lost_target = None;
    for number in 0..60 {
        let segments = [100, 200 + number, 300 + number, 1_000 + number];
        let segments = segments.map(|id| PromptSegment { id, tokens: 100 }).to_vec();
        let prompt = PromptHead { input_tokens: 400, output_tokens: 1, segments };
        let call = admit(&mut core, TimePoint(now.0 + number), Some(prompt));
        lost_target = send(&mut core, now, call).map(|attempt| attempt.target);
        core.on_attempt_finished(now, call, Lost);
    }
    core.on_target_unreachable(now, lost_target.expect("sent"));
    let mut reported = std::collections::BTreeSet::new();
    for _ in 0..20 {
        let crashes = core.next_heartbeat(now).content.crashes;
        assert!(crashes.iter().map(|notice| notice.content.len()).sum::<usize>() <= 64);
        reported.extend(crashes.into_iter().flat_map(|notice| notice.content));
    }
    // The shared segment, two segments of each call, and each request.
    assert_eq!(reported.len(), 1 + 3 * 60);
}

/// Another router, which has lost its links, reports crashes of the targets of some of its calls.
fn report_crashes_of_a_peer(core: &mut ForwardCore, now: TimePoint, calls: Range<usize>) {
    let mut peer = core_of(RetryRule::AtMostOnceStream, 1, 90);
    let sent = (0..calls.end).map(|_| {
        let call = admit(&mut peer, now, None);
        (call, send(&mut peer, now, call).expect("sent").target)
    });
    for (call, target) in sent.collect::<Vec<_>>().drain(calls) {
        peer.on_attempt_finished(now, call, Lost);
        peer.on_target_unreachable(now, target);
    }
    for _ in 0..10 {
        let mut heartbeat = peer.next_heartbeat(now);
        heartbeat.entry.name = HostName::new("peer");
        core.on_heartbeat(now, heartbeat);
    }
}

/// All lists of a heartbeat are full: loads, segments, outcomes, crashes, held content, blocks, limits,
/// origins of streams, and at last the targets that answer after a reported crash or that leave.
fn longest_software() -> SoftwareNotice {
    let pool = PoolName::new(&"p".repeat(32));
    SoftwareNotice { pool, software: SoftwareKey(u64::MAX), left_ms: u32::MAX }
}

fn longest_change() -> TargetNotice {
    let name = HostName::new(&"t".repeat(32));
    let entry = TargetEntry {
        name: name.clone(),
        pool: PoolName::new(&"p".repeat(32)),
        failure_domain: "z".repeat(32).into(),
        software_version: "v".repeat(32).into(),
        incarnation: u64::MAX,
        ..target(0)
    };
    TargetNotice { name, revision: u64::MAX, entry: Some(entry) }
}

#[test]
fn a_full_heartbeat_fits_into_a_datagram() {
    const DATAGRAM_BYTES_MAX: usize = 8_192;
    /// Seconds after which content crashed targets often enough to be blocked, and other content follows.
    const SECONDS_PER_CONTENT: u64 = 3;
    const LAST_SECOND: u64 = 40;
    let mut targets = std::collections::BTreeSet::new();
    let mut core = core_of(RetryRule::AtMostOnceStream, 1, 90);
    let limit = CallRate::from_per_second(4_000_000.0);
    let segment = |id: u64| PromptSegment { id: u64::MAX - id, tokens: 100 };
    for second in 1..=LAST_SECOND {
        let now = TimePoint(second * 1_000_000);
        let is_last = second == LAST_SECOND;
        let mut crashed = Vec::new();
        for target in &targets {
            core.on_target_reachable(now, *target);
        }
        for number in 0..90u64 {
            // The content before the last one is held, but not blocked, and a call with it is in flight.
            let is_crashing = number % 2 == 0 && second + 1 != LAST_SECOND;
            let content = (second - 1) / SECONDS_PER_CONTENT;
            let first_segment = match number {
                _ if is_crashing && !is_last => 100_000 + content * 100,
                1 if is_last => 100_000 + (content - 1) * 100,
                _ => 200_000 + number * 100,
            };
            let segments = (first_segment..first_segment + 40).chain([1_000 + number]);
            let segments = segments.map(segment).collect();
            let prompt = PromptHead { input_tokens: 500, output_tokens: 1, segments };
            let call = admit(&mut core, now, Some(prompt));
            let Some(attempt) = send(&mut core, now, call) else { continue };
            core.on_rate_limit(now, attempt.target, limit);
            targets.insert(attempt.target);
            core.on_first_event(now, call);
            if is_crashing {
                crashed.push((call, attempt.target));
            }
        }
        let crashed_at = now.after(Duration::from_millis(100));
        for (call, target) in &crashed {
            core.on_attempt_finished(crashed_at, *call, Lost);
            core.on_target_unreachable(crashed_at, *target);
        }
        let later = now.after(Duration::from_millis(700));
        if is_last {
            let sent_at = crashed_at.after(Duration::from_millis(100));
            for first in [0, 20, 40, 60] {
                report_crashes_of_a_peer(&mut core, crashed_at, first..first + 20);
                for _ in 0..400 {
                    let call = admit(&mut core, sent_at, None);
                    send(&mut core, sent_at, call);
                    core.on_target_answered(later, call);
                }
            }
            for target in &targets {
                assert!(core.on_leaving_announced(later, *target).is_some());
            }
        }
        let mut heartbeat = core.next_heartbeat(later);
        // The configuration of this test has one pool only.
        heartbeat.unreachable_pools = vec![u64::MAX; 16];
        heartbeat.software = vec![longest_software(); 8];
        heartbeat.target_changes = vec![longest_change(); 8];
        let bytes = postcard::to_stdvec(&heartbeat).expect("encoded").len();
        assert!(bytes <= DATAGRAM_BYTES_MAX, "{bytes} bytes at {second} s");
        let full_at_last = [
            heartbeat.leaving_targets.len(),
            heartbeat.content.responding.len(),
            heartbeat.content.held.len(),
        ];
        assert!(!is_last || full_at_last == [32; 3], "{full_at_last:?}");
        assert!(is_last || heartbeat.leaving_targets.is_empty());
    }
    assert!(
        core.status(TimePoint(LAST_SECOND * 1_000_000)).blocked_content > 32,
        "the list of blocks is full"
    );
}

/// A holder of the prompt has two calls in flight, two other targets have none. Checks whether a
/// router in a fleet of this size chooses the holder or fetches from it.
fn check_load_headroom(routers: u16, chooses_holder: bool) {
    let mut core = core_of(RetryRule::AtMostOnceStream, 1, 3);
    core.list_routers(
        (0..routers).map(|index| router(&format!("r{index}"), 500 + index)).collect(),
    );
    let now = TimePoint(1_000_000);
    let call = admit(&mut core, now, Some(prompt(3)));
    let holder = send(&mut core, now, call).expect("sent");
    let mut loads = core.next_heartbeat(now).load_share.loads;
    loads.iter_mut().for_each(|load| load.in_flight = 2);
    core.on_response_started(now, call);
    core.on_attempt_finished(now, call, Completed);
    core.finish(call);
    let mut heartbeat = core_of_router("r0", 500).next_heartbeat(now);
    heartbeat.load_share.loads = loads;
    core.on_heartbeat(now, heartbeat);
    let later = now.after(Duration::from_secs(1));
    let call = admit(&mut core, later, Some(prompt(3)));
    let attempt = send(&mut core, later, call).expect("sent");
    assert_eq!(attempt.name == holder.name, chooses_holder, "{:?}", core.status(later).targets);
    assert_eq!(attempt.fetch_from.is_some(), !chooses_holder);
}

test_cases! {
    check_load_headroom:
    small_fleet_uses_the_headroom_below_the_bound(6, true);
    large_fleet_leaves_headroom_below_the_bound(66, false);
}

/// The stream that a call resumes began in one of two pools of the route.
#[test]
fn a_stream_is_resumed_in_the_pool_in_which_it_began() {
    let now = TimePoint(1_000_000);
    let mut core = core_of(RetryRule::ResumableStream, 2, 0);
    let mut split = config(2, RetryRule::ResumableStream, 2).routes_for_host("h")[0].clone();
    split.pools =
        ["a", "b"].map(|pool| WeightedPool { pool: PoolName::new(pool), weight: 1 }).into();
    let limits = core.limits().expect("a configuration");
    let split_config = FleetConfig::new(ConfigVersion(2), Vec::new(), vec![split], None, limits);
    assert!(core.adopt_config(now, split_config));
    let mut pools = std::collections::BTreeSet::new();
    for number in 0..20 {
        let admit = |core: &mut ForwardCore, id: &str, resumption| {
            let head = CallHead { id: id.into(), resumption, ..call_head(now) };
            core.admit(now, head, ContentDigest(number)).expect("admitted").pool
        };
        let first = format!("first-{number}");
        let pool = admit(&mut core, &first, None);
        let resumption = StreamResumption { origin: Some(first.into()) };
        assert_eq!(admit(&mut core, &format!("second-{number}"), Some(resumption)), pool);
        pools.insert(pool);
    }
    assert_eq!(pools.len(), 2);
}

/// A header that asks for a stream after an event has no meaning on other routes.
fn check_other_route(retry_rule: RetryRule) {
    let now = TimePoint(1_000_000);
    let mut core = core_of(retry_rule, 2, 0);
    let versions = ["v1", "v2"].map(Box::<str>::from);
    let entries = versions
        .into_iter()
        .zip(0..)
        .map(|(software_version, index)| TargetEntry { software_version, ..target(index) });
    core.list_targets(now, entries.collect());
    let resumption = Some(StreamResumption { origin: None });
    let head = CallHead { resumption, ..call_head(now) };
    let call = core.admit(now, head, ContentDigest(1)).expect("admitted").call;
    assert!(send(&mut core, now, call).is_some());
}

test_cases! {
    check_other_route:
    a_call_on_a_route_without_streams_resumes_nothing(RetryRule::Idempotent);
    a_call_on_a_route_whose_streams_run_once_resumes_nothing(RetryRule::AtMostOnceStream);
}
