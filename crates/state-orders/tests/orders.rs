//! Simulates orders in virtual time. Routers pause, disagree on who is assigned, and lose answers;
//! orders are delayed or lost; engines check fencing numbers or ignore them. Each variant with an
//! injected fault must be detected.

#[path = "sim/world.rs"]
mod simulation;

use base_types::test_cases;
use simulation::{Simulation, Variant};

const SEEDS: u64 = 40;

/// Runs seeds until one violates an invariant, and returns the violation.
fn first_violation(variant: Variant) -> Option<String> {
    (0..SEEDS).find_map(|seed| Simulation::new(variant, seed).run().err())
}

fn check_correct(variant: Variant) {
    assert_eq!(first_violation(variant), None);
}

fn check_detected(variant: Variant, reason: &str) {
    let violation = first_violation(variant);
    assert!(
        violation.as_ref().is_some_and(|violation| violation.contains(reason)),
        "{violation:?}"
    );
}

test_cases! {
    check_correct:
    orders_are_applied_in_order_by_engines_that_check_fencing(Variant::CORRECT);
    orders_are_applied_in_order_by_engines_that_ignore_fencing(Variant::CORRECT.unfenced());
    a_pause_longer_than_the_lease_is_harmless(Variant::CORRECT.unfenced().with_pauses());
    orders_stay_ordered_between_holders_at_any_load_interval(
        Variant { unchecked_load_interval: true, ..Variant::CORRECT.unfenced().with_pauses() },
    );
}

test_cases! {
    check_detected:
    a_holder_whose_lease_never_expires_is_detected(
        Variant {
            lease_never_expires: true,
            unchecked_load_interval: true,
            ..Variant::CORRECT.unfenced().with_pauses()
        },
        "an older order came after a later one",
    );
    a_new_holder_without_a_grace_period_is_detected(
        Variant {
            no_grace_period: true,
            unchecked_load_interval: true,
            ..Variant::CORRECT.unfenced().with_pauses()
        },
        "an older order came after a later one",
    );
    loads_without_an_interval_are_detected(
        Variant { no_load_interval: true, ..Variant::CORRECT },
        "loads came too fast",
    );
    loads_that_interrupt_a_majority_are_detected(
        Variant { may_interrupt: true, ..Variant::CORRECT },
        "no majority serves",
    );
}
