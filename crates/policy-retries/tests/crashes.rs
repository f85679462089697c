//! Trials of blocked content, and how blocks end.

use std::time::Duration;

use base_types::{ContentKey, TimePoint, test_cases};
use policy_retries::{ContentBlock, ContentVerdict, CrashRecord, CrashTracker, SuspectContent};

const KEY: ContentKey = ContentKey(7);

fn seconds(count: u64) -> TimePoint {
    TimePoint(0).after(Duration::from_secs(count))
}

/// A crash of a target that ran content, which was sent to it 100 ms before.
fn crash(second: u64, content: &[ContentKey]) -> CrashRecord {
    let sent_at = seconds(second - 1).after(Duration::from_millis(900));
    let suspects = content.iter().map(|key| SuspectContent { key: *key, sent_at });
    CrashRecord { target_hash: second, at: seconds(second), suspects: suspects.collect() }
}

/// A tracker that blocked the content at 3.5 s, after crashes of three targets.
fn blocked_tracker() -> CrashTracker {
    let mut tracker = CrashTracker::default();
    for target in 1..=3 {
        tracker.record_crash(seconds(target), crash(target, &[KEY, ContentKey(target)]));
        tracker.judge(seconds(target));
    }
    tracker.judge(seconds(3).after(Duration::from_millis(500)));
    tracker
}

fn verdict(tracker: &CrashTracker, now: TimePoint, may_try: bool) -> ContentVerdict {
    tracker.verdict(now, &[KEY], |_| may_try, |_| false)
}

/// The trials of content that is never answered start at these times, in seconds.
fn check_trials(may_try: bool, trial_seconds: &[u64]) {
    let mut tracker = blocked_tracker();
    let mut trials = Vec::new();
    for second in 4..900 {
        tracker.sweep(seconds(second));
        match verdict(&tracker, seconds(second), may_try) {
            ContentVerdict::Trial => {
                trials.push(second);
                tracker.start_trial(seconds(second), &[KEY]);
            }
            ContentVerdict::Refused(until) => assert!(until > seconds(second)),
            ContentVerdict::Allowed => assert!(second > 600, "allowed at {second} s"),
        }
    }
    assert_eq!(trials, trial_seconds);
}

test_cases! {
    check_trials:
    trials_of_blocked_content_become_rarer(true, &[64, 184, 424]);
    only_the_assigned_router_sends_a_trial(false, &[]);
}

#[test]
fn a_complete_answer_lifts_a_block_that_another_router_repeats() {
    let mut tracker = blocked_tracker();
    assert!(tracker.record_answer(seconds(5), KEY), "other routers must learn of the answer");
    let block = ContentBlock { trial_at: seconds(60), trials: 0 };
    assert!(!tracker.adopt_block(seconds(6), KEY, block), "answered a second ago");
    assert_eq!(verdict(&tracker, seconds(6), true), ContentVerdict::Allowed);
    assert!(tracker.adopt_block(seconds(8), KEY, block), "the answer no longer counts");
}

#[test]
fn content_beside_the_cause_of_a_crash_is_not_suspect() {
    let mut tracker = blocked_tracker();
    for target in 4..=9 {
        tracker.record_crash(seconds(target), crash(target, &[KEY, ContentKey(1)]));
        tracker.judge(seconds(target + 1));
    }
    let beside = [ContentKey(1)];
    assert_eq!(tracker.verdict(seconds(10), &beside, |_| true, |_| false), ContentVerdict::Allowed);
}

/// The verdict on content after crashes, each at a time and with content sent at a time, in milliseconds.
fn check_suspect(crashes_ms: &[(u64, u64)], now_ms: u64, expected: ContentVerdict) {
    let milliseconds = |count: u64| TimePoint(count * 1_000);
    let mut tracker = CrashTracker::default();
    for (number, (crashed_ms, sent_ms)) in crashes_ms.iter().enumerate() {
        let suspect = SuspectContent { key: KEY, sent_at: milliseconds(*sent_ms) };
        let at = milliseconds(*crashed_ms);
        let crash = CrashRecord { target_hash: number as u64, at, suspects: vec![suspect] };
        tracker.record_crash(at, crash);
    }
    let now = milliseconds(now_ms);
    tracker.judge(now);
    assert_eq!(verdict(&tracker, now, false), expected);
    if expected == ContentVerdict::Allowed && crashes_ms.len() > 1 {
        let beside_another = tracker.verdict(now, &[KEY], |_| false, |_| true);
        let is_held = matches!(beside_another, ContentVerdict::Refused(_));
        assert_eq!(is_held, tracker.is_held(KEY));
    }
}

const CHAIN: [(u64, u64); 3] = [(1_000, 900), (1_100, 1_001), (1_220, 1_110)];

test_cases! {
    check_suspect:
    content_of_a_single_crash_is_sent(&CHAIN[..1], 1_001, ContentVerdict::Allowed);
    content_lost_at_two_targets_waits_for_reports(&CHAIN[..2], 1_200, ContentVerdict::Refused(TimePoint(1_600_000)));
    content_lost_at_two_targets_is_sent_one_call_at_a_time(&CHAIN[..2], 1_600, ContentVerdict::Allowed);
    content_lost_at_three_targets_one_after_the_other_is_blocked(&CHAIN, 1_720, ContentVerdict::Refused(TimePoint(61_720_000)));
    content_of_targets_that_crash_together_is_sent(&[(1_000, 900), (1_050, 910), (1_100, 920)], 1_101, ContentVerdict::Allowed);
}

#[test]
fn an_answer_shortly_after_a_reported_crash_refutes_it() {
    let mut tracker = CrashTracker::default();
    tracker.record_crash(seconds(1), crash(1, &[KEY]));
    let answered_at = seconds(1).after(Duration::from_millis(300));
    assert!(!tracker.refute_crash(answered_at, 1, seconds(1)), "sent before the crash");
    assert!(tracker.refute_crash(answered_at, 1, seconds(1).after(Duration::from_millis(100))));
    assert_eq!(tracker.crashes().count(), 0);
    tracker.record_crash(seconds(3), crash(3, &[KEY]));
    assert!(!tracker.refute_crash(seconds(5), 3, seconds(5)), "the target may have started again");
}

#[test]
fn a_call_of_another_router_with_held_content_is_awaited() {
    let mut tracker = CrashTracker::default();
    for target in 1..=2 {
        tracker.record_crash(seconds(target), crash(target, &[KEY]));
    }
    tracker.on_peer_call(seconds(3), KEY);
    assert!(matches!(verdict(&tracker, seconds(3), false), ContentVerdict::Refused(_)));
    assert_eq!(verdict(&tracker, seconds(4), false), ContentVerdict::Allowed);
}
