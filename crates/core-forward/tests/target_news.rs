//! Changes of targets' entries that one router reads from the platform and the others learn from it.

#[path = "support/fixture.rs"]
mod fixture;

use std::time::Duration;

use base_types::{ContentDigest, HostName, TimePoint, test_cases};
use core_forward::{ChangeOrder, DispatchStep, ForwardCore, TargetEntry, TargetNotice};
use state_config::RetryRule;

use fixture::{call_head, new_plain_router, new_router, target_entry, target_index};

/// Heartbeats in which a change is reported.
const REPORTS: usize = 3;

fn seconds(count: u64) -> TimePoint {
    TimePoint(count * 1_000_000)
}

fn new_listed_router(index: u16) -> ForwardCore {
    let mut core = new_router(seconds(0), index, 1, RetryRule::Idempotent);
    core.list_targets(seconds(0), vec![target_entry(0, 1), target_entry(1, 1)]);
    core
}

fn name(index: usize) -> HostName {
    target_entry(index, 1).name
}

fn put(index: usize, revision: u64, draining: bool) -> TargetNotice {
    let entry = TargetEntry { draining, ..target_entry(index, 1) };
    TargetNotice { name: name(index), revision, entry: Some(entry) }
}

fn removal(index: usize, revision: u64) -> TargetNotice {
    TargetNotice { name: name(index), revision, entry: None }
}

/// The place of a revision of an era among all changes.
fn order(era: u16, revision: u64) -> u64 {
    ChangeOrder::new(era, revision).number()
}

/// Indexes of the targets that get calls.
fn called_targets(core: &mut ForwardCore, now: TimePoint) -> Vec<usize> {
    let mut targets: Vec<usize> = (0..32)
        .filter_map(|id| {
            let head = call_head(now, id, None);
            let call = core.admit(now, head, ContentDigest(id.into())).expect("admitted").call;
            let step = core.dispatch(now, call);
            core.finish(call);
            match step {
                DispatchStep::Send(attempt) => Some(target_index(attempt.address)),
                DispatchStep::Refuse(_) => None,
                step => panic!("{step:?}"),
            }
        })
        .collect();
    targets.sort_unstable();
    targets.dedup();
    targets
}

/// A router reads changes, another one gets its heartbeats; both know the same afterwards.
fn check_reported(changes: &[TargetNotice], lost_heartbeats: usize, expected: &[usize]) {
    let [mut reader, mut other] = [0, 1].map(new_listed_router);
    let changed = reader.on_targets_changed(seconds(1), changes.to_vec());
    assert!(!changed.is_empty());
    for number in 0..REPORTS {
        let heartbeat = reader.next_heartbeat(seconds(1));
        if number >= lost_heartbeats {
            other.on_heartbeat(seconds(1), heartbeat);
        }
    }
    for core in [&mut reader, &mut other] {
        assert_eq!(called_targets(core, seconds(2)), expected);
    }
    assert_eq!(other.take_reported_changes(), changed);
    // A change that was learned from another router is not reported again.
    assert!(other.next_heartbeat(seconds(2)).target_changes.is_empty());
}

/// Changes that arrive one after the other, each from the platform or from another router; the state with
/// the highest revision holds.
fn check_order(changes: &[TargetNotice], expected: &[usize]) {
    for from_peer in 0..1 << changes.len() {
        let [mut core, mut peer] = [0, 1].map(new_listed_router);
        for (number, change) in changes.iter().enumerate() {
            if from_peer & (1 << number) == 0 {
                core.on_targets_changed(seconds(1), vec![change.clone()]);
                continue;
            }
            let mut heartbeat = peer.next_heartbeat(seconds(1));
            heartbeat.target_changes = vec![change.clone()];
            core.on_heartbeat(seconds(1), heartbeat);
        }
        assert_eq!(called_targets(&mut core, seconds(2)), expected, "{from_peer:b}");
    }
}

test_cases! {
    check_reported:
    a_draining_target_is_reported(&[put(0, 10, true)], 0, &[1]);
    a_removed_target_is_reported(&[removal(0, 10)], 0, &[1]);
    a_new_target_is_reported(&[put(2, 10, false)], 0, &[0, 1, 2]);
    a_change_is_reported_when_heartbeats_are_lost(&[put(0, 10, true)], 2, &[1]);
}

test_cases! {
    check_order:
    a_late_entry_does_not_undo_a_drain(&[put(0, 10, true), put(0, 9, false)], &[1]);
    a_late_entry_does_not_undo_a_removal(&[removal(0, 10), put(0, 9, false)], &[1]);
    a_late_removal_does_not_undo_an_entry(&[put(2, 11, false), removal(2, 10)], &[0, 1, 2]);
    a_late_entry_from_before_a_restore_is_ignored(&[put(0, order(2, 5), true), put(0, order(1, 90), false)], &[1]);
    a_restored_copy_does_not_undo_a_drain(&[put(0, order(1, 90), true), put(0, order(2, 5), false)], &[1]);
    a_target_that_is_listed_again_gets_calls(&[removal(0, 10), put(0, 12, false)], &[0, 1]);
}

/// An entry that is written again without a change is no news.
#[test]
fn unchanged_entries_are_not_reported() {
    let mut core = new_listed_router(0);
    assert!(core.on_targets_changed(seconds(1), vec![put(0, 10, false)]).is_empty());
    assert!(core.next_heartbeat(seconds(1)).target_changes.is_empty());
}

/// A store that was restored from a copy gives out lower revisions.
#[test]
fn lower_revisions_count_once_no_late_change_can_arrive() {
    let mut core = new_listed_router(0);
    core.on_targets_changed(seconds(1), vec![put(0, 1_000, true)]);
    let later = seconds(1).after(Duration::from_secs(11));
    core.sweep(later);
    let mut restarted = put(0, 7, false);
    restarted.entry.as_mut().expect("an entry").incarnation = 2;
    core.on_targets_changed(later, vec![restarted]);
    assert_eq!(called_targets(&mut core, later), [0, 1]);
}

/// A router without a list waits for its own; a list is compared with what was reported since.
#[test]
fn a_list_does_not_undo_later_changes() {
    let mut starting = new_router(seconds(0), 0, 1, RetryRule::Idempotent);
    let mut peer = new_listed_router(1);
    peer.on_targets_changed(seconds(1), vec![put(0, 10, true)]);
    starting.on_heartbeat(seconds(1), peer.next_heartbeat(seconds(1)));
    assert!(!starting.ready());
    let entry = |index| (5, target_entry(index, 1));
    starting.on_targets_listed(seconds(1), 9, vec![entry(0), entry(1)]);
    assert_eq!(called_targets(&mut starting, seconds(1)), [0, 1], "read before the change");
    starting.on_heartbeat(seconds(1), peer.next_heartbeat(seconds(1)));
    assert_eq!(called_targets(&mut starting, seconds(1)), [1]);
    starting.on_targets_listed(seconds(2), 9, vec![entry(0), entry(1)]);
    assert_eq!(called_targets(&mut starting, seconds(2)), [1], "a late response");
}

/// Routers that know of `others`, and whether their heartbeats are sent early after a call, after a change
/// of a target.
fn check_urgency(others: u16, after_call: bool, after_change: bool) {
    let mut core = new_listed_router(0);
    for index in 1..=others {
        let mut peer = new_listed_router(index);
        core.on_heartbeat(seconds(1), peer.next_heartbeat(seconds(1)));
    }
    while core.has_urgent_news(seconds(1)) && others > 50 {
        core.next_heartbeat(seconds(1));
    }
    called_targets(&mut core, seconds(1));
    assert_eq!(core.has_urgent_news(seconds(1)), after_call);
    core.on_targets_changed(seconds(1), vec![put(0, 10, true)]);
    assert_eq!(core.has_urgent_news(seconds(1)), after_change);
}

test_cases! {
    check_urgency:
    load_is_urgent_in_a_small_fleet(6, true, true);
    load_is_not_urgent_in_a_large_fleet(194, false, true);
}

/// The pool runs few calls at once.
#[test]
fn load_of_plain_targets_is_urgent_in_a_large_fleet() {
    let mut core = new_plain_router(seconds(0), 0);
    core.list_targets(seconds(0), vec![target_entry(0, 1), target_entry(1, 1)]);
    for index in 1..=194 {
        let mut peer = new_listed_router(index);
        core.on_heartbeat(seconds(1), peer.next_heartbeat(seconds(1)));
    }
    while core.has_urgent_news(seconds(1)) {
        core.next_heartbeat(seconds(1));
    }
    called_targets(&mut core, seconds(1));
    assert!(core.has_urgent_news(seconds(1)));
    core.next_heartbeat(seconds(1));
    assert!(!core.has_urgent_news(seconds(1)));
}
