//! Targets of an evacuated failure domain get no calls, whichever source reported it, until the domain is taken back.

#[path = "support/fixture.rs"]
mod fixture;

use std::time::Duration;

use base_types::{ContentDigest, NotRunCode, Refusal, TimePoint, test_cases};
use core_forward::{
    AttemptOutcome, CallKey, ChangeOrder, DispatchStep, EvacuationNotice, ForwardBounds,
    ForwardCore, TargetEntry,
};
use state_config::RetryRule;

use fixture::{BOUNDS, call_head, new_bounded_router, target_entry, target_index};

const REQUIRED: ForwardBounds = ForwardBounds { evacuations: true, ..BOUNDS };
const TARGETS: usize = 6;

fn seconds(seconds: u64) -> TimePoint {
    TimePoint(seconds * 1_000_000)
}

/// Targets with even numbers are in domain `a`, the others in `b`.
fn listed_targets() -> Vec<TargetEntry> {
    let entry = |index: usize| {
        let failure_domain = if index.is_multiple_of(2) { "a" } else { "b" };
        TargetEntry { failure_domain: failure_domain.into(), ..target_entry(index, 1) }
    };
    (0..TARGETS).map(entry).collect()
}

fn new_router(index: u16, bounds: ForwardBounds) -> ForwardCore {
    let mut core = new_bounded_router(seconds(0), index, RetryRule::Idempotent, 3, bounds);
    core.list_routers(Vec::new());
    core.list_targets(seconds(0), listed_targets());
    core
}

fn admit(core: &mut ForwardCore, now: TimePoint, id: u64) -> CallKey {
    let head = call_head(now, id, None);
    core.admit(now, head, ContentDigest(u128::from(id))).expect("admitted").call
}

/// Failure domains to which 40 calls are sent, and the number of refused calls.
fn send_calls(core: &mut ForwardCore, now: TimePoint) -> ([usize; 2], usize) {
    let (mut sent, mut refused) = ([0, 0], 0);
    for id in 0..40 {
        let call = admit(core, now, id);
        match core.dispatch(now, call) {
            DispatchStep::Send(attempt) => {
                sent[target_index(attempt.address) % 2] += 1;
                core.on_attempt_finished(now, call, AttemptOutcome::Completed);
            }
            DispatchStep::Refuse(Refusal::NotRun(NotRunCode::NoTarget, _)) => refused += 1,
            step => panic!("{step:?}"),
        }
        core.finish(call);
    }
    (sent, refused)
}

/// A list of the platform or of another router, at a revision.
#[derive(Debug, Clone, Copy)]
enum Source {
    Platform(u64),
    Router(u64),
}

fn tell(core: &mut ForwardCore, now: TimePoint, source: Source, domains: &[&str]) {
    let domains: Vec<Box<str>> = domains.iter().map(|domain| (*domain).into()).collect();
    match source {
        Source::Platform(revision) => drop(core.on_evacuations_listed(now, revision, domains)),
        Source::Router(revision) => {
            let mut heartbeat = new_router(1, REQUIRED).next_heartbeat(now);
            heartbeat.extension.evacuations = Some(EvacuationNotice { revision, domains });
            core.on_heartbeat(now, heartbeat);
        }
    }
}

/// Checks which failure domains get calls after lists that arrive a second apart.
fn check_lists(lists: &[(Source, &[&str])], gets_calls: [bool; 2]) {
    let mut core = new_router(0, REQUIRED);
    for (second, (source, domains)) in lists.iter().enumerate() {
        tell(&mut core, seconds(second as u64 + 1), *source, domains);
    }
    let (sent, refused) = send_calls(&mut core, seconds(lists.len() as u64 + 1));
    assert_eq!(sent.map(|count| count > 0), gets_calls, "{sent:?} sent, {refused} refused");
    assert_eq!(refused == 40, gets_calls == [false, false]);
}

test_cases! {
    check_lists:
    nothing_is_sent_while_the_list_is_unknown(&[], [false, false]);
    an_empty_list_excludes_nothing(&[(Source::Platform(5), &[])], [true, true]);
    an_evacuated_domain_gets_no_calls(&[(Source::Platform(5), &["a"])], [false, true]);
    a_list_of_another_router_takes_hold(
        &[(Source::Platform(5), &[]), (Source::Router(6), &["b"])], [true, false]);
    a_starting_router_learns_the_list_from_another(&[(Source::Router(6), &["b"])], [true, false]);
    an_older_list_of_a_router_without_contact_is_ignored(
        &[(Source::Platform(7), &[]), (Source::Router(6), &["b"])], [true, true]);
    a_late_answer_of_the_platform_is_ignored(
        &[(Source::Router(9), &["a"]), (Source::Platform(8), &[])], [false, true]);
    a_domain_that_is_taken_back_gets_calls(
        &[(Source::Platform(5), &["a"]), (Source::Platform(6), &[])], [true, true]);
    calls_are_refused_as_not_run_if_all_domains_are_evacuated(
        &[(Source::Platform(5), &["a", "b", "c"])], [false, false]);
}

fn order(era: u16, revision: u64) -> u64 {
    ChangeOrder::new(era, revision).number()
}

test_cases! {
    check_lists:
    a_list_of_a_restored_platform_takes_hold_beside_what_it_lacks(
        &[(Source::Platform(order(1, 9)), &["a"]), (Source::Platform(order(2, 3)), &["b"])],
        [false, false]);
    another_router_may_learn_of_a_restore_first(
        &[(Source::Platform(order(1, 9)), &["a"]), (Source::Router(order(2, 3)), &["b"])],
        [false, false]);
    a_list_from_before_a_restore_is_ignored(
        &[(Source::Platform(order(2, 3)), &["a"]), (Source::Router(order(1, 9)), &["b"])],
        [false, true]);
    a_restore_that_lost_nothing_changes_nothing(
        &[(Source::Platform(order(1, 9)), &["a"]), (Source::Platform(order(2, 9)), &["a"])],
        [false, true]);
}

/// A failure domain that is not evacuated again after a restore gets calls.
#[test]
fn what_a_restored_platform_lacks_ends_after_a_while() {
    let mut core = new_router(0, REQUIRED);
    tell(&mut core, seconds(1), Source::Platform(order(1, 9)), &["a"]);
    tell(&mut core, seconds(2), Source::Platform(order(2, 3)), &[]);
    core.sweep(seconds(4));
    assert_eq!(send_calls(&mut core, seconds(4)).0[0], 0);
    core.sweep(seconds(6));
    assert!(send_calls(&mut core, seconds(6)).0[0] > 0);
}

/// Guards against a change for deployments without evacuations: lists are ignored there.
#[test]
fn a_router_whose_settings_ask_for_no_evacuations_ignores_lists() {
    let mut core = new_router(0, BOUNDS);
    assert!(core.ready());
    tell(&mut core, seconds(1), Source::Router(6), &["a", "b"]);
    assert_eq!(send_calls(&mut core, seconds(2)).1, 0);
}

/// Guards against a call that waits for a connection while its target's failure domain is evacuated.
#[test]
fn a_call_that_is_not_sent_yet_is_withheld() {
    let mut core = new_router(0, REQUIRED);
    tell(&mut core, seconds(1), Source::Platform(5), &["b"]);
    let call = admit(&mut core, seconds(2), 1);
    assert!(matches!(core.dispatch(seconds(2), call), DispatchStep::Send(_)));
    assert!(!core.is_withheld(seconds(2), call));
    tell(&mut core, seconds(3), Source::Platform(6), &["a"]);
    assert!(core.is_withheld(seconds(3), call));
    core.on_attempt_finished(seconds(3), call, AttemptOutcome::Withdrawn);
    let DispatchStep::Send(attempt) = core.dispatch(seconds(3), call) else { panic!("refused") };
    assert_eq!(target_index(attempt.address) % 2, 1);
}

/// Guards against a restart during an outage of the platform, after which the list would be unknown.
#[test]
fn a_restarted_router_takes_the_list_from_a_snapshot() {
    let mut running = new_router(1, REQUIRED);
    tell(&mut running, seconds(1), Source::Platform(5), &["a"]);
    let mut restarted = new_router(0, REQUIRED);
    assert!(!restarted.ready());
    restarted.restore(seconds(2), running.snapshot(seconds(2)));
    assert!(restarted.ready());
    assert_eq!(send_calls(&mut restarted, seconds(2)).0[0], 0);
}

/// Guards against lists of routers that have no contact to the platform: they stay in force, and heartbeats carry
/// an empty list for long enough for all to read it.
#[test]
fn heartbeats_report_a_list_that_has_become_empty() {
    let mut core = new_router(0, REQUIRED);
    tell(&mut core, seconds(1), Source::Platform(5), &["a"]);
    let reported = |core: &mut ForwardCore, now: TimePoint| {
        core.next_heartbeat(now).extension.evacuations.map(|notice| notice.domains.len())
    };
    assert_eq!(reported(&mut core, seconds(60)), Some(1));
    tell(&mut core, seconds(61), Source::Platform(6), &[]);
    assert_eq!(reported(&mut core, seconds(63)), Some(0));
    assert_eq!(reported(&mut core, seconds(61).after(Duration::from_secs(30))), None);
}
