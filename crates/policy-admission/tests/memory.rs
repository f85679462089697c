//! What fits into the memory budget: guards against one use, or one call, taking all of it.

use base_types::{TimePoint, test_cases};
use policy_admission::{MemoryBudget, MemoryShortage, MemoryUse};
use proptest::prelude::*;

use MemoryShortage::{Call, Total};
use MemoryUse::{Stored, Streamed};

/// Budget of a process with 160 MB, as the smallest routers have.
const BUDGET: u64 = 41_943_000;

/// Holds bytes for another call first, and then for a call that already holds some.
fn check_hold(
    others: u64,
    memory_use: MemoryUse,
    call_bytes: u64,
    bytes: u64,
    expected: Result<(), MemoryShortage>,
) {
    let mut budget = MemoryBudget::of_process(160);
    assert_eq!(budget.bytes_max() / 1_000, BUDGET / 1_000);
    let mut left = others;
    while left > 0 {
        let part = left.min(1_000_000);
        assert_eq!(budget.try_hold(Streamed, 0, part), Ok(()));
        left -= part;
    }
    assert_eq!(budget.try_hold(memory_use, call_bytes, bytes), expected);
    let added = if expected.is_ok() { bytes } else { 0 };
    assert_eq!(budget.held_bytes(), others + added);
}

test_cases! {
    check_hold:
    the_largest_answer_fits_into_the_smallest_router(0, Stored, 0, 16_777_216, Ok(()));
    a_call_may_not_hold_more_than_half(0, Stored, 16_777_216, 4_300_000, Err(Call));
    all_calls_may_not_hold_more_than_the_budget(30_000_000, Stored, 0, 8_000_000, Err(Total));
    the_reserve_of_streams_is_not_for_stored_bytes(36_000_000, Stored, 0, 1_000_000, Err(Total));
    a_stream_without_unread_events_may_use_the_reserve(36_500_000, Streamed, 0, 400_000, Ok(()));
    unread_events_may_not_use_the_reserve(36_920_000, Streamed, 30_000, 30_000, Err(Total));
    the_reserve_has_an_end(41_900_000, Streamed, 0, 400_000, Err(Total));
    a_stream_holds_a_bounded_number_of_bytes(0, Streamed, 65_000, 1_000, Err(Call));
    a_long_event_fits_once_the_stream_has_been_read(0, Streamed, 0, 262_144, Ok(()));
}

proptest! {
    /// The sum of what is held stays within the budget, and all of it is given back.
    #[test]
    fn held_bytes_stay_within_the_budget(
        parts in prop::collection::vec((any::<bool>(), 0u64..3_000_000, any::<bool>()), 0..200),
    ) {
        let mut budget = MemoryBudget::of_process(16);
        let mut held = Vec::new();
        for (is_stored, bytes, gives_back) in parts {
            let memory_use = if is_stored { Stored } else { Streamed };
            if budget.try_hold(memory_use, 0, bytes).is_ok() {
                held.push(bytes);
            }
            prop_assert!(budget.held_bytes() <= budget.bytes_max());
            if let Some(bytes) = held.pop().filter(|_| gives_back) {
                budget.release(bytes);
            }
        }
    }

    /// Callers that are refused at one moment return at different times.
    #[test]
    fn returns_are_spread(hash: u64) {
        let wait = MemoryBudget::return_at(TimePoint(0), hash).0 / 1_000;
        prop_assert!((300..1_000).contains(&wait));
        prop_assert_eq!(wait, 300 + hash % 700);
    }
}
