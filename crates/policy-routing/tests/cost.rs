//! Choice by cost, and the table of holders against a simple oracle.

use std::collections::BTreeMap;

use base_types::{TargetKey, TimePoint, test_cases};
use policy_routing::{CostQuery, CostView, PartHolders, choose_cheapest};
use proptest::prelude::*;

const PROMPT: u32 = 10_000;

fn view(target: u32) -> CostView {
    CostView {
        target: TargetKey(target),
        load: 4,
        slots: 64,
        unread: 0,
        held: 0,
        fetchable: 0,
        home_score: f64::from(target),
        failure_rate: 0.0,
        doubtful: false,
        unreachable: false,
        closed: false,
    }
}

fn holder(target: u32, held: u32) -> CostView {
    CostView { held, fetchable: held, ..view(target) }
}

fn check(views: &[CostView], target: Option<u32>, fetch_from: Option<u32>) {
    let query = CostQuery { prompt_tokens: PROMPT, load_ratio_max: 2.0, repeatable: true, salt: 5 };
    let choice = choose_cheapest(&query, views);
    assert_eq!(choice.map(|choice| choice.target.0), target);
    assert_eq!(choice.and_then(|choice| choice.fetch_from).map(|from| from.0), fetch_from);
}

test_cases! {
    check:
    a_holder_is_chosen_at_even_load(&[view(0), holder(1, 9_000), view(2)], Some(1), None);
    a_new_prompt_goes_to_its_home(&[view(0), view(1), view(2)], Some(2), None);
    a_busy_holder_gives_its_cache_to_another(&[view(0), CostView { load: 60, ..holder(1, 9_000) }], Some(0), Some(1));
    a_holder_that_leaves_is_fetched_from(&[view(0), CostView { closed: true, ..holder(1, 9_000) }], Some(0), Some(1));
    a_doubtful_holder_gives_its_cache(&[view(0), CostView { doubtful: true, ..holder(1, 9_000) }], Some(0), Some(1));
    an_unreachable_holder_is_not_fetched_from(&[view(0), CostView { doubtful: true, unreachable: true, ..holder(1, 9_000) }], Some(0), None);
    a_prompt_that_is_being_read_is_not_fetched(&[CostView { home_score: 9.0, ..view(0) }, CostView { load: 400, fetchable: 0, ..holder(1, 9_000) }], Some(0), None);
    a_target_with_failures_is_avoided(&[CostView { failure_rate: 0.9, ..view(0) }, CostView { load: 6, ..view(1) }], Some(1), None);
    a_full_target_is_left_for_a_doubtful_one(&[CostView { load: 40, ..view(0) }, CostView { doubtful: true, load: 1, ..view(1) }, CostView { doubtful: true, load: 2, ..view(2) }], Some(2), None);
    an_unreachable_target_goes_after_a_full_one(&[CostView { load: 40, ..view(0) }, CostView { doubtful: true, unreachable: true, load: 1, ..view(1) }], Some(0), None);
    a_doubtful_target_is_better_than_none(&[CostView { doubtful: true, ..view(0) }], Some(0), None);
    closed_targets_are_never_chosen(&[CostView { closed: true, ..view(0) }], None, None);
    no_targets_are_no_choice(&[], None, None);
    a_holder_without_a_free_slot_gives_its_cache(&[view(0), CostView { load: 6, slots: 6, ..holder(1, 9_000) }], Some(0), Some(1));
    an_engine_with_much_to_read_is_avoided(&[CostView { unread: 60_000, ..view(0) }, CostView { load: 8, home_score: -1.0, ..view(1) }], Some(1), Some(0));
}

fn any_view() -> impl Strategy<Value = CostView> {
    let numbers = (0u32..6, 0u32..40, 0u64..100_000, 0u32..20_000, any::<bool>());
    let marks = (0.0f64..1.0, any::<bool>(), any::<bool>(), any::<bool>());
    (numbers, marks).prop_map(
        |((target, load, unread, held, read), (rate, doubtful, unreachable, closed))| {
            let fetchable = if read { held } else { 0 };
            CostView {
                load,
                unread,
                fetchable,
                held,
                failure_rate: rate,
                doubtful,
                unreachable,
                closed,
                ..view(target)
            }
        },
    )
}

proptest! {
    #[test]
    fn a_choice_keeps_what_is_promised(
        views in prop::collection::vec(any_view(), 0..8),
        prompt_tokens in 0u32..30_000,
        repeatable: bool,
        salt: u64,
    ) {
        let query = CostQuery { prompt_tokens, load_ratio_max: 2.0, repeatable, salt };
        let open: Vec<&CostView> = views.iter().filter(|view| !view.closed).collect();
        let Some(choice) = choose_cheapest(&query, &views) else {
            prop_assert!(open.is_empty());
            return Ok(());
        };
        let mean = open.iter().map(|view| f64::from(view.load)).sum::<f64>() / open.len() as f64;
        let bound = mean * 2.0 + 1.0;
        let chosen = open.iter().filter(|view| view.target == choice.target);
        let held = chosen.clone().any(|view| view.held == choice.held);
        prop_assert!(held, "the choice is an open target");
        let below = |view: &&&CostView| !view.unreachable && f64::from(view.load) < bound;
        let calm = |view: &&&CostView| below(view) && !view.doubtful;
        if open.iter().any(|view| below(&view)) {
            prop_assert!(chosen.clone().any(|view| below(&view)), "the bound is kept");
        }
        if open.iter().any(|view| calm(&view)) {
            prop_assert!(chosen.clone().any(|view| calm(&view)), "a calm target goes first");
        }
        prop_assert!(choice.unread <= prompt_tokens);
        prop_assert!(choice.fetch_from != Some(choice.target));
        if let Some(source) = choice.fetch_from {
            prop_assert!(views.iter().any(|view| view.target == source && !view.unreachable));
        }
    }

    /// The table against a map of sets: it never claims what was not put, and forgets only at
    /// its bounds.
    #[test]
    fn holders_are_those_that_were_put(
        steps in prop::collection::vec((0u8..4, 0u64..12, 0u64..5), 0..200),
    ) {
        let mut table = PartHolders::new(1_000);
        let mut oracle: BTreeMap<(u64, u64), u64> = BTreeMap::new();
        for (index, (step, part, target)) in steps.into_iter().enumerate() {
            let now = TimePoint(index as u64 + 1);
            match step {
                0 | 1 => {
                    table.put(now, part, target);
                    oracle.entry((part, target)).or_insert(now.0);
                }
                2 => {
                    table.take(part, target);
                    oracle.remove(&(part, target));
                }
                _ => {
                    table.forget_target(target);
                    oracle.retain(|(_, holder), _| *holder != target);
                }
            }
            for part in 0..12 {
                for target in 0..5 {
                    let since = table.held_since(part, target).map(|since| since.0);
                    prop_assert_eq!(since, oracle.get(&(part, target)).copied());
                }
            }
        }
    }

    #[test]
    fn the_table_keeps_to_its_size(parts in prop::collection::vec(any::<u64>(), 0..300)) {
        let mut table = PartHolders::new(64);
        for (index, part) in parts.iter().enumerate() {
            table.put(TimePoint(index as u64), *part, 1);
            prop_assert!(table.len() <= 64);
            prop_assert!(table.knows(*part));
        }
        prop_assert!(table.newest(1_000).count() == table.len());
    }
}

/// A part that all prompts of a large pool begin with does not hide what its targets hold.
#[test]
fn all_targets_of_a_large_pool_are_known_to_hold_a_part() {
    let mut table = PartHolders::new(64);
    for target in 0..112 {
        table.put(TimePoint(target), 1, target);
    }
    assert!((0..112).all(|target| table.held_since(1, target) == Some(TimePoint(target))));
}
