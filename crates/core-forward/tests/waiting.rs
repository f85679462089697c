//! Calls that wait in routers for a target with room: who is served under load, with the queue on and
//! off, and what a fleet assumes of calls that it does not know of yet.

#[path = "support/fixture.rs"]
mod fixture;
#[path = "support/heartbeats.rs"]
mod heartbeats;
#[path = "support/load.rs"]
mod load;

use std::time::Duration;

use base_types::{ContentDigest, NotRunCode, Refusal, TimePoint, test_cases};
use core_forward::{
    AttemptOutcome, CallHead, CallKey, DispatchStep, ForwardCore, ShedReason, StopSchedule,
    TargetEntry,
};
use state_config::KeyDigest;

use fixture::{account_name, call_head, new_queueing_router, target_entry};
use load::{LoadPlan, LoadRecord, LoadSim, LoadStream, StreamRecord};

/// Calls of 200 ms with 3 s to their deadline, in seconds 1 to 12. The fleet of `plan` runs 200 of them a
/// second.
const STREAM: LoadStream = LoadStream {
    calls_per_s: 100.0,
    account: 0,
    tokens: 7_500,
    deadline_ms: 3_000,
    from_s: 1,
    until_s: 12,
};

fn plan(streams: &[LoadStream]) -> LoadPlan {
    LoadPlan {
        queueing: true,
        routers: 7,
        targets: 5,
        slots: 8,
        states_slots: true,
        ranks: [0, 0, 0, 0, 0, 2, 2, 2, 2, 2],
        streams: streams.to_vec(),
        steps_per_heartbeat: 6,
        partition_s: (0, 0),
        stop_at_s: None,
        declined_percent: 0,
        silent: 0,
        seconds: 16,
    }
}

/// Plays a load with the queue off and on, prints who was served, and checks what holds for all loads.
fn play_both(plan: &LoadPlan) -> [LoadRecord; 2] {
    [false, true].map(|queueing| {
        let record = LoadSim::play(&LoadPlan { queueing, ..plan.clone() }, 1);
        println!("queue {}:", if queueing { "on" } else { "off" });
        for ((account, tokens), stream) in &record.streams {
            println!(
                "  rank {} account {account} tokens {tokens}: {stream:?}",
                plan.ranks[*account]
            );
        }
        println!(
            "  over-admission {:.3}, idle slots {:.3}, return after {:?} ms, retries waited {} ms",
            record.over_admission, record.idle_slots, record.return_ms, record.retry_waited_ms_max
        );
        assert_eq!((record.idle_refusals, record.repeated, record.untrue), (0, 0, 0), "{record:?}");
        record
    })
}

/// A load under which each stream of calls in `floors` must have that share of its calls served with
/// the queue on, and the streams of rank 0 together as many as without while the load lasts. (After a
/// burst, targets that were sent everything answer some more calls, which waited for longer than half
/// of their time.) Guards against a queue that
/// starves a rank, size or account, or serves less urgent calls at the cost of urgent ones.
fn check_load(plan: &LoadPlan, floors: &[f64]) {
    let [off, on] = play_both(plan);
    for (stream, floor) in plan.streams.iter().zip(floors) {
        let record: StreamRecord = on.streams[&(stream.account, stream.tokens)];
        let share = f64::from(record.served) / f64::from(record.arrived);
        assert!(share >= *floor, "{stream:?}: {share:.3} of {floor}");
        assert!(record.waited_ms_max <= stream.deadline_ms / 2 + 10, "{stream:?}: {record:?}");
    }
    // Routers that are cut off from each other keep to equal shares, whatever their callers ask for.
    let least = if plan.partition_s.0 < plan.partition_s.1 { 0.9 } else { 0.97 };
    let urgent = |record: &LoadRecord| record.steady_work(|account| plan.ranks[account] == 0);
    assert!(
        urgent(&on) as f64 >= least * urgent(&off) as f64,
        "{} of {} tokens",
        urgent(&on),
        urgent(&off)
    );
}

test_cases! {
    check_load:
    half_load_is_served(&plan(&[STREAM]), &[1.0]);
    a_burst_of_nearly_twice_the_capacity(&plan(&[LoadStream { calls_per_s: 360.0, ..STREAM }]), &[0.5]);
    one_account_surges_eightfold(&plan(&[LoadStream { calls_per_s: 60.0, ..STREAM }, LoadStream { account: 1, calls_per_s: 60.0, ..STREAM }, LoadStream { account: 2, calls_per_s: 480.0, ..STREAM }]), &[0.9, 0.9, 0.1]);
    urgent_short_and_less_urgent_long_prompts(&plan(&[LoadStream { calls_per_s: 120.0, ..STREAM }, LoadStream { account: 5, tokens: 30_000, calls_per_s: 60.0, ..STREAM }]), &[0.95, 0.2]);
    the_longest_tenth_of_prompts(&plan(&[LoadStream { calls_per_s: 270.0, ..STREAM }, LoadStream { account: 1, tokens: 30_000, calls_per_s: 30.0, ..STREAM }]), &[0.4, 0.1]);
    declined_calls_under_load(&LoadPlan { declined_percent: 10, ..plan(&[LoadStream { calls_per_s: 300.0, ..STREAM }]) }, &[0.5]);
    a_router_stops_with_a_full_queue(&LoadPlan { stop_at_s: Some(6), ..plan(&[LoadStream { calls_per_s: 360.0, ..STREAM }]) }, &[0.45]);
    peers_are_cut_off_from_each_other(&LoadPlan { partition_s: (3, 9), ..plan(&[LoadStream { calls_per_s: 360.0, ..STREAM }]) }, &[0.45]);
    targets_that_report_nothing(&LoadPlan { states_slots: false, ..plan(&[LoadStream { calls_per_s: 160.0, ..STREAM }]) }, &[0.9]);
    a_target_that_never_answers(&LoadPlan { silent: 1, ..plan(&[LoadStream { calls_per_s: 140.0, ..STREAM }]) }, &[0.85]);
}

/// A fleet with 1.5 times the load that its targets take, heartbeats as late as they are in a fleet of
/// that size, and bounds of over-admission and idle slots in places. Guards against routers that all
/// take the same free place, and against places that none dares to take.
fn check_fleet(routers: u16, steps_per_heartbeat: u64, over_max: f64, idle_max: f64) {
    let streams = [LoadStream { tokens: 47_500, calls_per_s: 720.0, deadline_ms: 5_000, ..STREAM }];
    let load = LoadPlan { routers, targets: 30, slots: 16, steps_per_heartbeat, ..plan(&streams) };
    let record = LoadSim::play(&load, 1);
    let (over, idle) = (record.over_admission, record.idle_slots);
    println!("{routers} routers: over-admission {over:.3}, idle slots {idle:.3} of the places");
    assert!(over <= over_max && idle <= idle_max, "{over}, {idle}");
}

test_cases! {
    check_fleet:
    seven_routers_share_the_places(7, 5, 0.02, 0.02);
    thirty_three_routers_share_the_places(33, 16, 0.03, 0.03);
    sixty_six_routers_share_the_places(66, 25, 0.03, 0.03);
    sixty_six_routers_share_the_places_with_late_heartbeats(66, 100, 0.1, 0.05);
}

const NOW: TimePoint = TimePoint(1_000_000);

/// A router before one target with two places, both taken by calls of rank 2, and the next steps of
/// further calls of the given accounts.
fn full_router<const COUNT: usize>(
    accounts: [usize; COUNT],
) -> (ForwardCore, [CallKey; 2], [(CallKey, DispatchStep); COUNT]) {
    let ranks = [0, 0, 0, 0, 0, 2, 2, 2, 2, 2];
    let mut core = new_queueing_router(TimePoint(0), 0, 1, true, ranks);
    core.list_targets(TimePoint(0), vec![TargetEntry { slots: 2, ..target_entry(0, 1) }]);
    let running = [5, 6].map(|account| admit(&mut core, account));
    for call in running {
        assert!(matches!(core.dispatch(NOW, call), DispatchStep::Send(_)));
    }
    let steps = accounts.map(|account| {
        let call = admit(&mut core, account);
        (call, core.dispatch(NOW, call))
    });
    (core, running, steps)
}

fn admit(core: &mut ForwardCore, account: usize) -> CallKey {
    let account_key = Some(KeyDigest::of(account_name(account).as_str().as_bytes()));
    let head = CallHead { account_key, ..call_head(NOW, account as u64, None) };
    core.admit(NOW, head, ContentDigest(account as u128)).expect("admitted").call
}

fn end(core: &mut ForwardCore, call: CallKey) {
    core.on_attempt_finished(NOW, call, AttemptOutcome::Completed);
    core.finish(call);
}

/// The urgent call goes first although it came last, and a later call only when the first one had
/// room. Guards against calls that overtake the head of the queue.
#[test]
fn the_most_urgent_call_gets_the_first_place() {
    let (mut core, running, [(early, step), (urgent, urgent_step)]) = full_router([7, 0]);
    // Half of the ten seconds that a call has.
    let latest = NOW.after(Duration::from_secs(5));
    let DispatchStep::Wait(until) = step else { panic!("{step:?}") };
    assert!(until > NOW && until <= latest);
    assert!(matches!(urgent_step, DispatchStep::Wait(until) if until <= latest));
    assert_eq!(core.take_startable(NOW), []);
    end(&mut core, running[0]);
    assert!(matches!(core.dispatch(NOW, early), DispatchStep::Wait(_)));
    assert_eq!(core.take_startable(NOW), [urgent]);
    assert!(matches!(core.dispatch(NOW, urgent), DispatchStep::Send(_)));
    assert_eq!(core.take_startable(NOW), []);
    end(&mut core, running[1]);
    assert_eq!(core.take_startable(NOW), [early]);
    assert!(matches!(core.dispatch(NOW, early), DispatchStep::Send(_)));
}

/// Guards against places in the queue that are held for callers who left.
#[test]
fn a_caller_that_leaves_gives_up_its_place() {
    let (mut core, running, [(left, _), (other, _)]) = full_router([0, 7]);
    core.finish(left);
    assert_eq!(core.status(NOW).waits.len(), 1);
    end(&mut core, running[0]);
    assert_eq!(core.take_startable(NOW), [other]);
    core.finish(other);
    assert!(core.status(NOW).waits.is_empty());
}

/// On a graceful stop each waiting call is sent or refused as not run at once. Guards against calls
/// that are cut off in the queue when the process ends.
#[test]
fn waiting_calls_are_sent_or_refused_on_a_graceful_stop() {
    let (mut core, running, [(first, _), (second, _)]) = full_router([0, 7]);
    end(&mut core, running[0]);
    core.start_shutdown(StopSchedule {
        started_at: TimePoint(0),
        idle_stop_at: TimePoint::NEVER,
        listed_until: TimePoint::NEVER,
        stop_at: TimePoint::NEVER,
    });
    assert_eq!(core.take_startable(NOW), [first]);
    assert!(matches!(core.dispatch(NOW, first), DispatchStep::Send(_)));
    assert_eq!(core.take_startable(NOW), [second]);
    let step = core.dispatch(NOW, second);
    assert!(
        matches!(
            step,
            DispatchStep::Refuse(Refusal::NotRun(NotRunCode::TargetsFull, at)) if at > NOW
        ),
        "{step:?}"
    );
    assert_eq!(core.wait_inputs(second).and_then(|inputs| inputs.shed), Some(ShedReason::Stopping));
    let late = admit(&mut core, 1);
    assert!(matches!(core.dispatch(NOW, late), DispatchStep::Refuse(_)));
}

/// A call whose first target declined it is sent when its wait is over, although no target has room.
/// Guards against refusals of calls that were tried, and against waits beyond their use.
#[test]
fn a_call_that_was_tried_is_not_refused_for_lack_of_room() {
    let (mut core, running, [(waiting, _)]) = full_router([0]);
    core.list_targets(
        NOW,
        [0, 1].map(|index| TargetEntry { slots: 1, ..target_entry(index, 1) }).into(),
    );
    let tried = admit(&mut core, 1);
    end(&mut core, running[0]);
    assert!(matches!(core.dispatch(NOW, waiting), DispatchStep::Send(_)));
    core.on_attempt_finished(NOW, waiting, AttemptOutcome::Declined);
    assert!(matches!(core.dispatch(NOW, tried), DispatchStep::Send(_)));
    assert!(matches!(core.dispatch(NOW, waiting), DispatchStep::Wait(_)));
    let over = NOW.after(Duration::from_secs(5));
    assert!(matches!(core.dispatch(over, waiting), DispatchStep::Send(_)));
}
