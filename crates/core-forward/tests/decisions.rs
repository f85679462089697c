//! Decisions on calls: attempts, budgets, life of targets, beats.

use std::{net::SocketAddr, time::Duration};

use base_types::{
    ContentDigest, HostName, NotRunCode, PoolName, Refusal, RouteName, TimePoint, UnknownCode,
    test_cases,
};
use core_forward::{
    AttemptEnd, CallHead, CallKey, DispatchStep, ForwardBounds, ForwardCore, PromptHead,
    PromptPart, RouterEntry, SendOrder, TargetEntry,
};
use proptest::prelude::*;
use state_config::{
    CallerLimits, ConfigVersion, EngineRule, FleetConfig, PoolRule, RepeatRule, RouteRule,
    WeightedPool,
};

const BOUNDS: ForwardBounds = ForwardBounds {
    retry_ratio: 0.2,
    retry_slack: 100,
    retry_window: Duration::from_secs(10),
    load_ratio_max: 2.0,
};

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn router(name: &str, port: u16) -> RouterEntry {
    RouterEntry {
        name: HostName::new(name),
        callers: address(port),
        peers: address(port + 1),
        zone: "z".into(),
        incarnation: u64::from(port),
    }
}

fn target(index: u16) -> TargetEntry {
    TargetEntry {
        name: HostName::new(&format!("t{index}")),
        pool: PoolName::new("pool"),
        address: address(9_000 + index),
        zone: "z".into(),
        slots: 8,
        leaving: false,
        incarnation: 1,
    }
}

fn config(version: u64, repeat: RepeatRule, attempts_max: u32) -> FleetConfig {
    let route = RouteRule {
        name: RouteName::new("route"),
        host: "h".into(),
        path_prefix: "/".into(),
        repeat,
        timeout: Duration::from_secs(5),
        answer_target: Duration::from_millis(100),
        rank: 0,
        pools: vec![WeightedPool { pool: PoolName::new("pool"), weight: 1 }],
        attempts_max,
        public: true,
    };
    let engine = EngineRule { slots: 8, cache_tokens: 1_000_000 };
    let pool = PoolRule { name: PoolName::new("pool"), connections_max: 10, engine: Some(engine) };
    let limits = CallerLimits {
        head_bytes_max: 1,
        body_bytes_max: 1,
        head_timeout: Duration::ZERO,
        idle_timeout: Duration::ZERO,
    };
    FleetConfig::new(ConfigVersion(version), vec![pool], vec![route], None, limits)
}

fn core_of(repeat: RepeatRule, attempts_max: u32, targets: u16) -> ForwardCore {
    let mut core = ForwardCore::new(router("a", 100), BOUNDS);
    core.adopt_config(TimePoint(0), config(1, repeat, attempts_max));
    core.list_targets(TimePoint(0), (0..targets).map(target).collect());
    core
}

fn admit(core: &mut ForwardCore, now: TimePoint, prompt: Option<PromptHead>) -> CallKey {
    let head = CallHead {
        id: format!("{now:?}").into(),
        host: "h".into(),
        path: "/x".into(),
        account_key: None,
        deadline: now.after(Duration::from_secs(3)),
        prompt,
    };
    core.admit(now, head, ContentDigest(u128::from(now.0))).expect("admitted").call
}

fn send(core: &mut ForwardCore, now: TimePoint, call: CallKey) -> Option<SendOrder> {
    match core.dispatch(now, call) {
        DispatchStep::Send(order) => Some(order),
        DispatchStep::Refuse(_) => None,
    }
}

/// A call whose sends end one after the other as named; then it is refused as said.
fn check_refusal(repeat: RepeatRule, attempts: u32, ends: &[AttemptEnd], unknown: bool) {
    let mut core = core_of(repeat, attempts, 6);
    let now = TimePoint(1_000);
    let call = admit(&mut core, now, None);
    for end in ends {
        assert!(send(&mut core, now, call).is_some(), "{end:?}");
        core.attempt_ended(now, call, *end);
    }
    match core.dispatch(now, call) {
        DispatchStep::Refuse(Refusal::NotRun(code, come_back)) => {
            assert!(!unknown, "{code:?}");
            assert!(come_back > now);
        }
        DispatchStep::Refuse(Refusal::Unknown(code)) => {
            assert!(unknown);
            assert_eq!(code, UnknownCode::TargetLost);
        }
        DispatchStep::Send(order) => panic!("sent again: {order:?}"),
    }
    core.finish(call);
    assert!(core.status(now).targets.iter().all(|target| target.own == 0));
}

use AttemptEnd::{Declined, Failed, Lost, Misdirected, Silent, Unsent, Whole};

test_cases! {
    check_refusal:
    a_lost_call_that_runs_once_is_unknown(RepeatRule::Once, 3, &[Lost], true);
    a_lost_stream_is_unknown(RepeatRule::Stream, 3, &[Lost], true);
    a_failed_call_that_runs_once_is_not_repeated(RepeatRule::Once, 3, &[Failed], true);
    a_call_is_not_sent_again_after_its_answer(RepeatRule::Once, 3, &[Whole], true);
    declined_calls_are_sent_to_as_many_as_allowed(RepeatRule::Once, 3, &[Declined, Declined, Misdirected], false);
    a_single_call_is_sent_once(RepeatRule::Once, 1, &[Declined], false);
    declined_and_then_lost_is_unknown(RepeatRule::Once, 3, &[Declined, Lost], true);
    repeatable_calls_are_sent_to_as_many_as_allowed(RepeatRule::Idempotent, 2, &[Lost, Failed], true);
    a_silent_target_counts_as_one(RepeatRule::Idempotent, 2, &[Silent, Lost], true);
    a_stream_that_resumes_is_repeatable(RepeatRule::ResumableStream, 2, &[Lost, Lost], true);
    unsent_calls_count_against_no_limit(RepeatRule::Once, 1, &[Unsent, Unsent, Declined], false);
    unsent_calls_end_all_the_same(RepeatRule::Once, 1, &[Unsent, Unsent, Unsent, Unsent], false);
}

#[test]
fn a_call_goes_to_each_target_once() {
    let mut core = core_of(RepeatRule::Idempotent, 9, 3);
    let now = TimePoint(1_000);
    let call = admit(&mut core, now, None);
    let mut names = Vec::new();
    while let Some(order) = send(&mut core, now, call) {
        names.push(order.name);
        core.attempt_ended(now, call, Declined);
    }
    names.sort();
    assert_eq!(names, ["t0".into(), "t1".into(), "t2".into()]);
}

#[test]
fn a_passed_deadline_is_a_refusal_that_says_what_is_known() {
    let mut core = core_of(RepeatRule::Idempotent, 3, 3);
    let call = admit(&mut core, TimePoint(0), None);
    let late = TimePoint(0).after(Duration::from_secs(4));
    let step = core.dispatch(late, call);
    assert!(matches!(step, DispatchStep::Refuse(Refusal::NotRun(NotRunCode::DeadlinePassed, _))));
    let call = admit(&mut core, TimePoint(0), None);
    assert!(send(&mut core, TimePoint(0), call).is_some());
    core.attempt_ended(TimePoint(0), call, Lost);
    let step = core.dispatch(late, call);
    assert_eq!(step, DispatchStep::Refuse(Refusal::Unknown(UnknownCode::DeadlineAfterSend)));
}

#[test]
fn an_older_version_is_never_adopted() {
    let mut core = core_of(RepeatRule::Once, 1, 1);
    assert!(core.adopt_config(TimePoint(1), config(5, RepeatRule::Once, 1)));
    assert!(!core.adopt_config(TimePoint(2), config(4, RepeatRule::Once, 1)));
    assert!(!core.adopt_config(TimePoint(3), config(5, RepeatRule::Once, 1)));
    assert_eq!(core.version(), Some(ConfigVersion(5)));
}

#[test]
fn repeats_keep_to_the_routers_part_of_the_budget() {
    let mut core = core_of(RepeatRule::Idempotent, 2, 20);
    core.list_routers(vec![router("b", 200), router("c", 300), router("d", 400)]);
    let now = TimePoint(1_000);
    let repeats = (0..200)
        .filter(|_| {
            let call = admit(&mut core, now, None);
            send(&mut core, now, call);
            core.attempt_ended(now, call, Failed);
            send(&mut core, now, call).is_some()
        })
        .count();
    let allowed = (200.0 * BOUNDS.retry_ratio + f64::from(BOUNDS.retry_slack) / 4.0) as usize;
    assert!(repeats > 0 && repeats <= allowed, "{repeats} of {allowed}");
}

fn prompt(session: u64) -> PromptHead {
    let part = |part, tokens| PromptPart { part, tokens };
    let parts = vec![part(1, 500), part(1_000 + session, 9_000), part(session << 32, 500)];
    PromptHead { input_tokens: 10_000, output_tokens: 100, parts }
}

#[test]
fn a_session_stays_with_its_engine_and_other_routers_learn_of_it() {
    let mut core = core_of(RepeatRule::Stream, 1, 5);
    let mut other = ForwardCore::new(router("b", 200), BOUNDS);
    other.adopt_config(TimePoint(0), config(1, RepeatRule::Stream, 1));
    other.list_targets(TimePoint(0), (0..5).map(target).collect());
    let now = TimePoint(1_000_000);
    for session in 0..20 {
        let call = admit(&mut core, now, Some(prompt(session)));
        let first = send(&mut core, now, call).expect("sent");
        core.answer_began(call);
        core.attempt_ended(now, call, Whole);
        core.finish(call);
        other.beat_heard(now, core.next_beat());
        let later = now.after(Duration::from_secs(1));
        for router in [&mut core, &mut other] {
            let call = admit(router, later, Some(prompt(session)));
            let order = send(router, later, call).expect("sent");
            assert_eq!((&order.name, order.grounds.held_tokens >= 9_500), (&first.name, true));
            router.finish(call);
        }
    }
}

#[test]
fn a_starting_router_takes_over_what_a_settled_one_knows() {
    let mut core = core_of(RepeatRule::Stream, 1, 5);
    let now = TimePoint(0).after(Duration::from_secs(5));
    let call = admit(&mut core, now, Some(prompt(3)));
    let first = send(&mut core, now, call).expect("sent");
    let mut starting = ForwardCore::new(router("b", 200), BOUNDS);
    let snapshot = core.snapshot(now);
    assert!(snapshot.settled);
    starting.restore(TimePoint(0), snapshot);
    assert!(starting.ready());
    let call = admit(&mut starting, TimePoint(1), Some(prompt(3)));
    let order = send(&mut starting, TimePoint(1), call).expect("sent");
    assert_eq!((order.name, order.grounds.held_tokens), (first.name, 9_500 + 500));
}

#[test]
fn each_engine_is_asked_by_one_router() {
    let routers: Vec<RouterEntry> =
        (0..7).map(|index| router(&format!("r{index}"), 1_000 + index * 10)).collect();
    let mut asked = 0;
    for own in &routers {
        let mut core = ForwardCore::new(own.clone(), BOUNDS);
        core.adopt_config(TimePoint(0), config(1, RepeatRule::Stream, 1));
        core.list_targets(TimePoint(0), (0..30).map(target).collect());
        core.list_routers(routers.clone());
        asked += core.engines_to_ask(TimePoint(0)).len();
    }
    assert_eq!(asked, 30);
}

#[test]
fn callers_are_told_of_routers_that_were_heard_lately() {
    let mut core = core_of(RepeatRule::Once, 1, 1);
    core.list_routers(vec![router("b", 200), router("c", 300)]);
    let now = TimePoint(1_000_000);
    assert_eq!(core.caller_addresses(now), [address(100)]);
    let mut other = core_of_router("b", 200);
    core.beat_heard(now, other.next_beat());
    assert_eq!(core.caller_addresses(now), [address(200), address(100)]);
    assert_eq!(core.caller_addresses(now.after(Duration::from_secs(3))), [address(100)]);
    other.leave();
    core.beat_heard(now, other.next_beat());
    assert_eq!(core.caller_addresses(now), [address(100)]);
    core.leave();
    assert_eq!(core.caller_addresses(now), []);
}

fn core_of_router(name: &str, port: u16) -> ForwardCore {
    let mut core = ForwardCore::new(router(name, port), BOUNDS);
    core.adopt_config(TimePoint(0), config(1, RepeatRule::Once, 1));
    core.list_targets(TimePoint(0), vec![target(0)]);
    core
}

/// Calls that another router lost at one target; then calls of this router go elsewhere.
fn check_told_failures(repeat: RepeatRule, end: AttemptEnd) {
    let mut core = core_of(repeat, 1, 4);
    let mut other = core_of(repeat, 1, 1);
    let now = TimePoint(1_000_000);
    for _ in 0..6 {
        let call = admit(&mut other, now, None);
        send(&mut other, now, call).expect("sent");
        other.attempt_ended(now, call, end);
        other.finish(call);
    }
    let mut beat = other.next_beat();
    beat.entry = router("b", 200);
    beat.share.router = beat.entry.name.clone();
    core.beat_heard(now, beat);
    for _ in 0..40 {
        let call = admit(&mut core, now, None);
        let order = send(&mut core, now, call).expect("sent");
        assert_ne!(&*order.name, "t0");
        core.attempt_ended(now, call, Whole);
        core.finish(call);
    }
}

test_cases! {
    check_told_failures:
    failed_calls_of_others_keep_calls_away(RepeatRule::Once, Failed);
    failed_streams_of_others_keep_streams_away(RepeatRule::Stream, Failed);
    silence_seen_by_others_keeps_calls_away(RepeatRule::Idempotent, Silent);
}

#[test]
fn the_load_of_a_router_that_starts_anew_counts_at_once() {
    let mut core = core_of(RepeatRule::Once, 1, 1);
    let now = TimePoint(1_000_000);
    let mut former = core_of_router("b", 200);
    for _ in 0..3 {
        let call = admit(&mut former, now, None);
        send(&mut former, now, call).expect("sent");
        core.beat_heard(now, former.next_beat());
    }
    assert_eq!(core.status(now).targets[0].others, 3);
    let entry = RouterEntry { incarnation: 7, ..router("b", 200) };
    let mut anew = ForwardCore::new(entry, BOUNDS);
    core.beat_heard(now, anew.next_beat());
    assert_eq!(core.status(now).targets[0].others, 0);
}

#[test]
fn an_engine_that_lost_an_answer_still_gives_its_cache() {
    let mut core = core_of(RepeatRule::Stream, 1, 3);
    let now = TimePoint(1_000_000);
    let call = admit(&mut core, now, Some(prompt(3)));
    let first = send(&mut core, now, call).expect("sent");
    core.answer_began(call);
    core.attempt_ended(now, call, Lost);
    core.finish(call);
    let later = now.after(Duration::from_millis(500));
    let call = admit(&mut core, later, Some(prompt(3)));
    let order = send(&mut core, later, call).expect("sent");
    assert_ne!(order.name, first.name);
    assert_eq!(order.fetch_from, Some(first.address));
}

#[derive(Debug, Clone)]
enum Step {
    Admit,
    Dispatch(usize),
    End(usize, AttemptEnd),
    Finish(usize),
    Put(u16, bool, u64),
    Remove(u16),
    Away,
}

fn any_step() -> impl Strategy<Value = Step> {
    let end =
        prop::sample::select(vec![Unsent, Declined, Misdirected, Silent, Lost, Failed, Whole]);
    prop_oneof![
        2 => Just(Step::Admit),
        4 => (0usize..8).prop_map(Step::Dispatch),
        4 => (0usize..8, end).prop_map(|(call, end)| Step::End(call, end)),
        1 => (0usize..8).prop_map(Step::Finish),
        1 => (0u16..4, any::<bool>(), 1u64..3).prop_map(|(index, leaving, start)| Step::Put(index, leaving, start)),
        1 => (0u16..4).prop_map(Step::Remove),
        1 => Just(Step::Away),
    ]
}

/// A call as the oracle sees it.
#[derive(Debug, Clone)]
struct OracleCall {
    key: CallKey,
    under_way: bool,
    may_have_run: bool,
    sends: u32,
}

proptest! {
    /// Over any interleaving: a call that runs once is never sent after it may have run, a
    /// refusal says "not run" only when that is so, attempts keep their limit, no call goes to a
    /// target that left, and what is in flight adds up.
    #[test]
    fn any_interleaving_keeps_the_promises(
        steps in prop::collection::vec(any_step(), 0..120),
        repeat in prop::sample::select(vec![RepeatRule::Once, RepeatRule::Idempotent, RepeatRule::Stream, RepeatRule::ResumableStream]),
    ) {
        const ATTEMPTS: u32 = 2;
        let mut core = core_of(repeat, ATTEMPTS, 4);
        let mut open: Vec<bool> = vec![true; 4];
        let mut calls: Vec<OracleCall> = Vec::new();
        let mut now = TimePoint(1);
        for step in steps {
            now = now.after(Duration::from_millis(7));
            match step {
                Step::Admit => {
                    let key = admit(&mut core, now, None);
                    calls.push(OracleCall { key, under_way: false, may_have_run: false, sends: 0 });
                }
                Step::Dispatch(index) => {
                    let Some(call) = calls.get_mut(index).filter(|call| !call.under_way) else { continue };
                    match core.dispatch(now, call.key) {
                        DispatchStep::Send(order) => {
                            prop_assert!(repeat.repeatable() || !call.may_have_run);
                            call.sends += 1;
                            prop_assert!(call.sends <= ATTEMPTS);
                            call.under_way = true;
                            let index: usize = order.name[1..].parse().expect("an index");
                            prop_assert!(open[index], "{} has left", order.name);
                        }
                        DispatchStep::Refuse(Refusal::NotRun(..)) => prop_assert!(!call.may_have_run),
                        DispatchStep::Refuse(Refusal::Unknown(_)) => prop_assert!(call.may_have_run),
                    }
                }
                Step::End(index, end) => {
                    let Some(call) = calls.get_mut(index).filter(|call| call.under_way) else { continue };
                    core.attempt_ended(now, call.key, end);
                    call.under_way = false;
                    call.may_have_run |= matches!(end, Silent | Lost | Failed | Whole);
                    if end == Unsent {
                        call.sends -= 1;
                    }
                }
                Step::Finish(index) => {
                    if index < calls.len() {
                        core.finish(calls.remove(index).key);
                    }
                }
                Step::Put(index, leaving, incarnation) => {
                    core.put_target(now, TargetEntry { leaving, incarnation, ..target(index) });
                    open[usize::from(index)] = !leaving;
                }
                Step::Remove(index) => {
                    core.remove_target(now, &target(index).name);
                    open[usize::from(index)] = false;
                }
                Step::Away => core.sweep(now),
            }
            let in_flight: u32 = core.status(now).targets.iter().map(|target| target.own).sum();
            let expected = calls.iter().filter(|call| call.under_way).count();
            prop_assert_eq!(in_flight as usize, expected);
        }
    }
}

#[test]
fn a_silent_target_is_checked_once_a_second_and_left_when_it_takes_no_connection() {
    let mut core = core_of(RepeatRule::Once, 1, 2);
    let now = TimePoint(1_000_000);
    let call = admit(&mut core, now, None);
    let order = send(&mut core, now, call).expect("sent");
    assert!(order.patience < order.deadline, "calls that run once are watched as well");
    let silent = order.patience;
    assert!(core.check_due(silent, call));
    assert!(!core.check_due(silent.after(Duration::from_millis(500)), call));
    core.target_unreachable(silent, order.target);
    assert!(!core.may_repeat(silent, call));
    for _ in 0..20 {
        let other = admit(&mut core, silent, None);
        assert_ne!(send(&mut core, silent, other).expect("sent").name, order.name);
    }
}

#[test]
fn the_status_shows_what_is_left_of_the_budget_and_what_targets_hold() {
    let mut core = core_of(RepeatRule::ResumableStream, 2, 3);
    let now = TimePoint(1_000_000);
    let room = |core: &ForwardCore| core.status(now).retry_room.first().map(|(_, room)| *room);
    assert_eq!(room(&core), None);
    let call = admit(&mut core, now, Some(prompt(3)));
    let first = send(&mut core, now, call).expect("sent");
    let before = room(&core).expect("a budget");
    assert_eq!(before, u64::from(BOUNDS.retry_slack) * 8 / 10);
    core.attempt_ended(now, call, Lost);
    send(&mut core, now, call).expect("sent again");
    assert_eq!(room(&core), Some(before - 1));
    let held = core.status(now).targets;
    let held = held.iter().find(|target| target.name.as_str() == &*first.name);
    // The last part is the call's own, which the lost send may not have read.
    assert_eq!(held.map(|target| target.parts), Some(2));
}

/// A beat fits into a datagram also where all targets of a large pool have news.
#[test]
fn outcomes_of_many_targets_are_told_in_several_beats() {
    let mut core = core_of(RepeatRule::Once, 1, 200);
    let now = TimePoint(1_000_000);
    for _ in 0..200 {
        let call = admit(&mut core, now, None);
        send(&mut core, now, call).expect("sent");
        core.attempt_ended(now, call, Failed);
        core.finish(call);
    }
    let mut told = 0;
    while let beat = core.next_beat()
        && !beat.outcomes.is_empty()
    {
        assert!(beat.outcomes.len() <= 64);
        told += beat.outcomes.iter().map(|outcomes| outcomes.calls.failed).sum::<u32>();
    }
    assert_eq!(told, 200);
}

/// A holder with two calls beside two idle targets, and whether a router of such a fleet goes there
/// or fetches from it.
fn check_room(routers: u16, goes_there: bool) {
    let mut core = core_of(RepeatRule::Stream, 1, 3);
    core.list_routers(
        (0..routers).map(|index| router(&format!("r{index}"), 500 + index)).collect(),
    );
    let now = TimePoint(1_000_000);
    let call = admit(&mut core, now, Some(prompt(3)));
    let holder = send(&mut core, now, call).expect("sent");
    let mut loads = core.next_beat().share.loads;
    loads.iter_mut().for_each(|load| load.in_flight = 2);
    core.answer_began(call);
    core.attempt_ended(now, call, Whole);
    core.finish(call);
    let mut beat = core_of_router("r0", 500).next_beat();
    beat.share.loads = loads;
    core.beat_heard(now, beat);
    let later = now.after(Duration::from_secs(1));
    let call = admit(&mut core, later, Some(prompt(3)));
    let order = send(&mut core, later, call).expect("sent");
    assert_eq!(order.name == holder.name, goes_there, "{:?}", core.status(later).targets);
    assert_eq!(order.fetch_from.is_some(), !goes_there);
}

test_cases! {
    check_room:
    a_small_fleet_uses_the_room_below_the_bound(6, true);
    a_large_fleet_leaves_room_below_the_bound(66, false);
}
