//! Trials of blocked content, and how blocks end.

use std::time::Duration;

use base_types::{ContentKey, TimePoint, test_cases};
use policy_retries::{ContentBlock, ContentVerdict, CrashTracker};

const KEY: ContentKey = ContentKey(7);

fn seconds(count: u64) -> TimePoint {
    TimePoint(0).after(Duration::from_secs(count))
}

/// A tracker that blocked the content at 3.5 s, after crashes of three targets.
fn blocked_tracker() -> CrashTracker {
    let mut tracker = CrashTracker::default();
    for target in 1..=3 {
        tracker.record_crash(seconds(target), seconds(target), target, &[KEY, ContentKey(target)]);
        tracker.judge(seconds(target));
    }
    tracker.judge(seconds(3).after(Duration::from_millis(500)));
    tracker
}

fn verdict(tracker: &CrashTracker, now: TimePoint, may_try: bool) -> ContentVerdict {
    tracker.verdict(now, &[KEY], |_| may_try)
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
            ContentVerdict::Blocked(until) => assert!(until > seconds(second)),
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
        tracker.record_crash(seconds(target), seconds(target), target, &[KEY, ContentKey(1)]);
        tracker.judge(seconds(target + 1));
    }
    let beside = [ContentKey(1)];
    assert_eq!(tracker.verdict(seconds(10), &beside, |_| true), ContentVerdict::Allowed);
}
