//! A router that stops takes only calls that can end before its process does.

#[path = "support/fixture.rs"]
mod fixture;

use std::time::Duration;

use base_types::{ContentDigest, NotRunCode, TimePoint, test_cases};
use core_forward::{AttemptOutcome, CallHead, DispatchStep, ForwardCore, StopSchedule};
use state_config::RetryRule;

use fixture::{call_head, new_router, target_entry};

const STOPPED_AT: TimePoint = TimePoint(20_000_000);
const SCHEDULE: StopSchedule = StopSchedule {
    started_at: STOPPED_AT,
    idle_stop_at: TimePoint(25_600_000),
    listed_until: TimePoint(23_000_000),
    stop_at: TimePoint(28_000_000),
};

/// Calls that take each time; enough to know how long calls take.
const CALLS_PER_TIME: usize = 80;

/// Plays a call that takes a time.
fn serve(core: &mut ForwardCore, now: TimePoint, number: u64, time: Duration) {
    let head = call_head(now, number, None);
    let call = core.admit(now, head, ContentDigest(u128::from(number))).expect("admitted").call;
    let step = core.dispatch(now, call);
    assert!(matches!(step, DispatchStep::Send(_)), "{step:?}");
    core.on_attempt_finished(now.after(time), call, AttemptOutcome::Completed);
    core.finish(call);
}

/// Calls that took `times` before the stop and its own deadline decide whether a call that comes `after` it is taken.
/// Guards against calls that are cut as the process ends, and against refusing those that can end.
fn check_stop(times: &[Duration], after: Duration, deadline: Duration, is_taken: bool) {
    let start = TimePoint(STOPPED_AT.0 - 10_000_000);
    let mut core = new_router(start, 0, 1, RetryRule::AtMostOnceStream);
    core.list_targets(start, vec![target_entry(0, 1)]);
    for (number, time) in times.iter().cycle().take(times.len() * CALLS_PER_TIME).enumerate() {
        serve(&mut core, start, number as u64, *time);
    }
    core.start_shutdown(SCHEDULE);
    let now = STOPPED_AT.after(after);
    let head = CallHead { deadline: now.after(deadline), ..call_head(now, 100, None) };
    let admitted = core.admit(now, head, ContentDigest(100));
    match is_taken {
        true => assert!(admitted.is_ok(), "{admitted:?}"),
        false => assert_eq!(admitted.err(), Some(NotRunCode::RouterLeaving)),
    }
}

/// A deadline after the process ends.
const LATE: Duration = millis(10_000);

const fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

test_cases! {
    check_stop:
    a_call_that_is_likely_to_end_is_taken_while_lists_name_the_router(&[millis(2_000), millis(100)], millis(2_900), LATE, true);
    a_call_that_is_not_likely_to_end_is_refused(&[millis(4_000), millis(100)], millis(2_900), LATE, false);
    a_call_that_may_not_end_under_more_load_is_refused(&[millis(4_500)], millis(2_500), LATE, false);
    a_call_of_an_unknown_length_may_take_until_its_deadline(&[], millis(100), LATE, false);
    short_calls_before_do_not_bound_a_later_call(&[millis(100)], millis(4_900), LATE, false);
    a_deadline_before_the_end_bounds_a_call(&[millis(2_000)], millis(4_800), millis(3_000), true);
    a_deadline_after_the_end_bounds_none(&[millis(2_000)], millis(5_100), millis(3_000), false);
    a_call_that_must_end_soon_is_taken_until_late(&[], millis(7_700), millis(150), true);
    a_deadline_too_close_to_the_end_to_answer_bounds_none(&[], millis(7_700), millis(250), false);
}

/// A call that has run for longer than any that ended shows how long calls take.
#[test]
fn a_running_call_counts_with_its_age() {
    let start = TimePoint(STOPPED_AT.0 - 9_000_000);
    let mut core = new_router(start, 0, 1, RetryRule::AtMostOnceStream);
    core.list_targets(start, vec![target_entry(0, 1)]);
    for number in 0..CALLS_PER_TIME {
        serve(&mut core, start, number as u64, millis(100));
    }
    let running =
        core.admit(start, call_head(start, 200, None), ContentDigest(200)).expect("admitted");
    assert!(matches!(core.dispatch(start, running.call), DispatchStep::Send(_)));
    core.start_shutdown(SCHEDULE);
    let admitted = core.admit(STOPPED_AT, call_head(STOPPED_AT, 201, None), ContentDigest(201));
    assert_eq!(admitted.err(), Some(NotRunCode::RouterLeaving));
}

/// Guards against a router that takes its first calls for the longest ones.
#[test]
fn few_calls_do_not_show_how_long_calls_take() {
    let start = TimePoint(STOPPED_AT.0 - 5_000_000);
    let mut core = new_router(start, 0, 1, RetryRule::AtMostOnceStream);
    core.list_targets(start, vec![target_entry(0, 1)]);
    (0..3).for_each(|number| serve(&mut core, start, number, millis(1_800)));
    core.start_shutdown(SCHEDULE);
    let now = STOPPED_AT.after(millis(2_900));
    let admitted = core.admit(now, call_head(now, 200, None), ContentDigest(200));
    assert_eq!(admitted.err(), Some(NotRunCode::RouterLeaving));
}

/// What the other router of a fleet did when this one, which stops, refuses a call 3 s into its shutdown.
#[derive(Debug, Clone, Copy)]
enum OtherRouter {
    Absent,
    Serves,
    /// Began to stop that long before this one.
    Stops(Duration),
    /// Stopped as long before, and serves again.
    Restarted(Duration),
}

/// Guards against callers that are told to return at once while no router serves, and then use up their retries.
fn check_return(other: OtherRouter, returns_after: Duration) {
    let started_at = TimePoint(STOPPED_AT.0 - 10_000_000);
    let new = |index| {
        let mut core = new_router(started_at, index, 1, RetryRule::AtMostOnceStream);
        core.list_targets(started_at, vec![target_entry(0, 1)]);
        core
    };
    let (mut core, mut peer) = (new(0), new(1));
    let now = STOPPED_AT.after(millis(3_000));
    match other {
        OtherRouter::Absent => {}
        OtherRouter::Serves => core.on_heartbeat(now, peer.next_heartbeat(now)),
        OtherRouter::Stops(before) | OtherRouter::Restarted(before) => {
            let stopped_at = TimePoint(STOPPED_AT.0 - before.as_micros() as u64);
            peer.start_shutdown(SCHEDULE);
            core.on_heartbeat(stopped_at, peer.next_heartbeat(stopped_at));
            core.on_heartbeat(now, peer.next_heartbeat(now));
        }
    }
    if let OtherRouter::Restarted(_) = other {
        core.on_heartbeat(now, new(1).next_heartbeat(now));
    }
    core.start_shutdown(SCHEDULE);
    assert_eq!(core.serving_at(now).since(now), returns_after);
}

test_cases! {
    check_return:
    a_caller_returns_at_once_if_another_router_serves(OtherRouter::Serves, millis(0));
    a_caller_returns_when_a_lone_router_is_back(OtherRouter::Absent, millis(2_900));
    a_caller_returns_when_the_first_router_is_back(OtherRouter::Stops(millis(1_000)), millis(1_900));
    a_router_that_did_not_come_back_does_not_count(OtherRouter::Stops(millis(4_000)), millis(2_900));
    a_router_that_is_back_serves(OtherRouter::Restarted(millis(1_000)), millis(0));
}
