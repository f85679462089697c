//! Orders in virtual time: routers pause, disagree on who is assigned, and lose answers; orders
//! travel; engines honour fencing numbers or ignore them. Each broken variant must be caught.

#[path = "sim/world.rs"]
mod world;

use base_types::test_cases;
use world::{Variant, World};

const SEEDS: u64 = 40;

/// Runs seeds until one breaks a promise, and returns what it broke.
fn first_fault(variant: Variant) -> Option<String> {
    (0..SEEDS).find_map(|seed| World::new(variant, seed).run().err())
}

fn check_sound(variant: Variant) {
    assert_eq!(first_fault(variant), None);
}

fn check_caught(variant: Variant, reason: &str) {
    let fault = first_fault(variant);
    assert!(fault.as_ref().is_some_and(|fault| fault.contains(reason)), "{fault:?}");
}

test_cases! {
    check_sound:
    engines_that_honour_numbers_are_served_in_order(Variant::SOUND);
    engines_that_ignore_numbers_are_served_in_order(Variant::SOUND.ignoring());
    a_pause_past_the_lease_does_no_harm(Variant::SOUND.ignoring().pausing());
    orders_settle_between_holders_whatever_the_pace(
        Variant { any_pace: true, ..Variant::SOUND.ignoring().pausing() },
    );
}

test_cases! {
    check_caught:
    a_holder_that_never_stops_is_caught(
        Variant { lease_never_ends: true, any_pace: true, ..Variant::SOUND.ignoring().pausing() },
        "an older order came after a later one",
    );
    a_new_holder_that_does_not_wait_for_orders_is_caught(
        Variant { no_settling: true, any_pace: true, ..Variant::SOUND.ignoring().pausing() },
        "an older order came after a later one",
    );
    loads_without_a_pace_are_caught(
        Variant { no_pace: true, ..Variant::SOUND },
        "loads came too fast",
    );
    loads_without_regard_to_a_majority_are_caught(
        Variant { interrupting: true, ..Variant::SOUND },
        "no majority serves",
    );
}
