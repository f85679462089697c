//! Number of calls that a fragile target is sent at once.

use std::time::Duration;

use base_types::{TimePoint, test_cases};
use policy_targets::{PlaceLimit, RejectionLimit};

const SLOTS: u32 = 24;
const BEARABLE: RejectionLimit = RejectionLimit(8);

/// The calls that a target held at each rejection of a burst decide how many it is sent at once after it. Guards against a
/// burst whose late rejections lower the number to one while no call is sent.
fn check_burst(held: &[u32], places: u32) {
    let start = TimePoint(5_000_000);
    let mut limit = PlaceLimit::default();
    for (number, held) in held.iter().enumerate() {
        let now = start.after(Duration::from_millis(number as u64 * 10));
        limit.on_rejected(now, *held, SLOTS);
    }
    let last = start.after(Duration::from_millis(held.len() as u64 * 10));
    let is_paused = held.len() as u32 > BEARABLE.0 / 2;
    assert_eq!(limit.places(last, SLOTS, BEARABLE) == 0, is_paused);
    // One more call a second since the latest rejection, and no rejection in the window.
    let later = last.after(Duration::from_millis(1_050));
    assert_eq!(limit.places(later, SLOTS, BEARABLE), places + 1);
}

test_cases! {
    check_burst:
    one_rejection_leaves_what_the_target_held(&[6], 6);
    a_burst_leaves_what_the_target_held(&[6, 6, 6, 6, 6, 6, 6, 6], 6);
    the_least_of_a_burst_counts(&[6, 5, 4, 5, 6, 6, 6], 4);
    a_target_keeps_one_place(&[0, 0, 0, 0, 0, 0], 1);
}
