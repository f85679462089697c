//! Cost-based choice against its ordering rules, and the segment directory against a map of
//! holders.

use std::collections::BTreeMap;

use base_types::{TargetKey, TimePoint, test_cases};
use policy_routing::{CostQuery, CostView, SegmentDirectory, choose_cheapest};
use proptest::prelude::*;

const PROMPT_TOKENS: u32 = 10_000;

fn view(target: u32) -> CostView {
    CostView {
        target: TargetKey(target),
        load: 4,
        slots: 64,
        queued_prefill_tokens: 0,
        cached_tokens: 0,
        fetchable_tokens: 0,
        home_score: f64::from(target),
        failure_rate: 0.0,
        slowdown: 1.0,
        comfortable_calls: 64,
        ejected: false,
        unreachable: false,
        lacks_memory: false,
        excluded: false,
    }
}

fn holder(target: u32, cached_tokens: u32) -> CostView {
    CostView { cached_tokens, fetchable_tokens: cached_tokens, ..view(target) }
}

fn check_choice(views: &[CostView], target: Option<u32>, fetch_from: Option<u32>) {
    let query =
        CostQuery { prompt_tokens: PROMPT_TOKENS, load_ratio_max: 2.0, retryable: true, salt: 5 };
    let choice = choose_cheapest(&query, views);
    assert_eq!(choice.map(|choice| choice.target.0), target);
    assert_eq!(choice.and_then(|choice| choice.fetch_from).map(|from| from.0), fetch_from);
}

test_cases! {
    check_choice:
    holder_is_chosen_at_equal_load(&[view(0), holder(1, 9_000), view(2)], Some(1), None);
    uncached_prompt_goes_to_its_home(&[view(0), view(1), view(2)], Some(2), None);
    cache_is_fetched_from_a_busy_holder(&[view(0), CostView { load: 60, ..holder(1, 9_000) }], Some(0), Some(1));
    cache_is_fetched_from_an_excluded_holder(&[view(0), CostView { excluded: true, ..holder(1, 9_000) }], Some(0), Some(1));
    cache_is_fetched_from_an_ejected_holder(&[view(0), CostView { ejected: true, ..holder(1, 9_000) }], Some(0), Some(1));
    cache_is_not_fetched_from_an_unreachable_holder(&[view(0), CostView { ejected: true, unreachable: true, ..holder(1, 9_000) }], Some(0), None);
    cache_is_not_fetched_during_prefill(&[CostView { home_score: 9.0, ..view(0) }, CostView { load: 400, fetchable_tokens: 0, ..holder(1, 9_000) }], Some(0), None);
    target_with_failures_is_avoided(&[CostView { failure_rate: 0.9, ..view(0) }, CostView { load: 6, ..view(1) }], Some(1), None);
    ejected_target_is_preferred_to_one_at_its_bound(&[CostView { load: 40, ..view(0) }, CostView { ejected: true, load: 1, ..view(1) }, CostView { ejected: true, load: 2, ..view(2) }], Some(2), None);
    target_at_its_bound_is_preferred_to_an_unreachable_one(&[CostView { load: 40, ..view(0) }, CostView { ejected: true, unreachable: true, load: 1, ..view(1) }], Some(0), None);
    ejected_target_is_chosen_without_alternative(&[CostView { ejected: true, ..view(0) }], Some(0), None);
    target_without_memory_is_avoided(&[view(0), CostView { lacks_memory: true, ..holder(1, 9_000) }], Some(0), Some(1));
    ejected_target_is_preferred_to_one_without_memory(&[CostView { ejected: true, ..view(0) }, CostView { lacks_memory: true, ..view(1) }], Some(0), Some(1));
    target_without_memory_is_preferred_to_one_at_its_bound(&[CostView { load: 40, ..view(0) }, CostView { lacks_memory: true, load: 1, ..view(1) }, CostView { lacks_memory: true, load: 2, ..view(2) }], Some(2), None);
    targets_without_memory_are_chosen_by_cost(&[CostView { lacks_memory: true, ..view(0) }, CostView { lacks_memory: true, ..holder(1, 9_000) }], Some(1), None);
    excluded_targets_are_never_chosen(&[CostView { excluded: true, ..view(0) }], None, None);
    empty_pool_has_no_choice(&[], None, None);
    cache_is_fetched_from_a_holder_without_a_free_slot(&[view(0), CostView { load: 6, slots: 6, comfortable_calls: 6, ..holder(1, 9_000) }], Some(0), Some(1));
    engine_with_queued_prefill_is_avoided(&[CostView { queued_prefill_tokens: 60_000, ..view(0) }, CostView { load: 8, home_score: -1.0, ..view(1) }], Some(1), Some(0));
}

const SLOW: f64 = 5.0;

test_cases! {
    check_choice:
    slow_target_is_avoided(&[view(0), CostView { slowdown: SLOW, load: 3, ..view(1) }], Some(0), Some(1));
    holder_that_is_slow_loses_to_a_fetch(&[view(0), CostView { slowdown: SLOW, ..holder(1, 9_000) }], Some(0), Some(1));
    target_that_takes_few_calls_well_is_avoided(&[view(0), CostView { comfortable_calls: 3, ..view(1) }], Some(0), Some(1));
    slow_target_is_chosen_without_alternative(&[CostView { slowdown: 8.0, comfortable_calls: 1, ..view(0) }], Some(0), None);
}

/// Calls without prompts shift away from a slow target, also while all targets are idle: of two targets
/// that end calls in proportion to their speed, the slow one gets a share by its speed.
#[test]
fn plain_calls_are_shared_by_speed() {
    let mut views = [view(0), CostView { slowdown: 3.0, ..view(1) }];
    views.iter_mut().for_each(|view| view.load = 0);
    for salt in 0..20 {
        let query = CostQuery { prompt_tokens: 0, load_ratio_max: 2.0, retryable: true, salt };
        let choice = choose_cheapest(&query, &views).expect("a target");
        views[choice.target.0 as usize].load += 1;
    }
    assert!((14..=16).contains(&views[0].load), "{} of 20 to the fast target", views[0].load);
}

/// The cost without learned speeds: a call on a target that has all of its prompt to prefill.
fn unlearned_cost(query: &CostQuery, view: &CostView, least: u32) -> f64 {
    let failure_cost = if query.retryable { 3.0 } else { 10.0 };
    0.001 * f64::from(query.prompt_tokens)
        + 0.000_3 * 0.0
        + 0.001 * view.queued_prefill_tokens as f64
        + 0.05 * f64::from(view.load.saturating_sub(least))
        + 4.0 * f64::from(view.load.saturating_add(1).saturating_sub(view.slots))
        + failure_cost * (view.failure_rate - 0.08_f64).max(0.0)
}

fn any_view() -> impl Strategy<Value = CostView> {
    let counts = (0u32..6, 0u32..40, 0u64..100_000, 0u32..20_000, any::<bool>());
    let flags = (0.0f64..1.0, any::<bool>(), any::<bool>(), any::<bool>());
    (counts, flags).prop_map(
        |(
            (target, load, queued_prefill_tokens, cached_tokens, prefilled),
            (rate, ejected, unreachable, excluded),
        )| {
            let fetchable_tokens = if prefilled { cached_tokens } else { 0 };
            CostView {
                load,
                queued_prefill_tokens,
                fetchable_tokens,
                cached_tokens,
                failure_rate: rate,
                ejected,
                unreachable,
                excluded,
                ..view(target)
            }
        },
    )
}

proptest! {
    /// Fleets that do not learn speeds must choose as before, so the cost may not differ in one bit.
    #[test]
    fn cost_is_unchanged_at_the_usual_speed(
        view in any_view(),
        slots in 0u32..80,
        prompt_tokens in 0u32..200,
        retryable: bool,
        salt: u64,
    ) {
        let view = CostView {
            slots,
            comfortable_calls: slots,
            cached_tokens: 0,
            fetchable_tokens: 0,
            excluded: false,
            unreachable: true,
            ..view
        };
        let query = CostQuery { prompt_tokens, load_ratio_max: 2.0, retryable, salt };
        let idle = CostView { target: TargetKey(99), load: 0, unreachable: true, slowdown: 8.0, ..view };
        for (views, least) in [(vec![view], view.load), (vec![CostView { ejected: false, ..view }, CostView { ejected: true, excluded: false, ..idle }], 0)] {
            let choice = choose_cheapest(&query, &views).expect("a target");
            if choice.target == view.target {
                let expected = unlearned_cost(&query, &view, least);
                prop_assert_eq!(choice.cost.to_bits(), expected.to_bits());
            }
        }
    }

    #[test]
    fn choice_respects_bound_and_ejection(
        views in prop::collection::vec(any_view(), 0..8),
        prompt_tokens in 0u32..30_000,
        retryable: bool,
        salt: u64,
    ) {
        let query = CostQuery { prompt_tokens, load_ratio_max: 2.0, retryable, salt };
        let candidates: Vec<&CostView> = views.iter().filter(|view| !view.excluded).collect();
        let Some(choice) = choose_cheapest(&query, &views) else {
            prop_assert!(candidates.is_empty());
            return Ok(());
        };
        let mean = candidates.iter().map(|view| f64::from(view.load)).sum::<f64>()
            / candidates.len() as f64;
        let bound = mean * 2.0 + 1.0;
        let chosen = candidates.iter().filter(|view| view.target == choice.target);
        let is_candidate = chosen.clone().any(|view| view.cached_tokens == choice.cached_tokens);
        prop_assert!(is_candidate, "the chosen target is a candidate");
        let below_bound = |view: &&&CostView| !view.unreachable && f64::from(view.load) < bound;
        let healthy = |view: &&&CostView| below_bound(view) && !view.ejected;
        if candidates.iter().any(|view| below_bound(&view)) {
            prop_assert!(
                chosen.clone().any(|view| below_bound(&view)),
                "a target at its bound was chosen"
            );
        }
        if candidates.iter().any(|view| healthy(&view)) {
            prop_assert!(
                chosen.clone().any(|view| healthy(&view)),
                "an ejected target was chosen before a healthy one"
            );
        }
        prop_assert!(choice.prefill_tokens <= prompt_tokens);
        prop_assert!(choice.fetch_from != Some(choice.target));
        if let Some(source) = choice.fetch_from {
            prop_assert!(views.iter().any(|view| view.target == source && !view.unreachable));
        }
    }

    /// Compares the directory with a map: it reports no holder that was not recorded, and evicts
    /// only at its capacity.
    #[test]
    fn directory_matches_recorded_holders(
        operations in prop::collection::vec((0u8..4, 0u64..12, 0u64..5), 0..200),
    ) {
        let mut directory = SegmentDirectory::new(1_000);
        let mut oracle: BTreeMap<(u64, u64), u64> = BTreeMap::new();
        for (index, (operation, segment, target)) in operations.into_iter().enumerate() {
            let now = TimePoint(index as u64 + 1);
            match operation {
                0 | 1 => {
                    directory.record_pending(now, segment, target);
                    oracle.entry((segment, target)).or_insert(now.0);
                }
                2 => {
                    directory.remove_holder(segment, target);
                    oracle.remove(&(segment, target));
                }
                _ => {
                    directory.remove_target(target);
                    oracle.retain(|(_, holder), _| *holder != target);
                }
            }
            for segment in 0..12 {
                for target in 0..5 {
                    let since = directory.prefill_started_at(segment, target).map(|since| since.0);
                    prop_assert_eq!(since, oracle.get(&(segment, target)).copied());
                }
            }
        }
    }

    #[test]
    fn directory_evicts_above_capacity(segments in prop::collection::vec(any::<u64>(), 0..300)) {
        let mut directory = SegmentDirectory::new(64);
        for (index, segment) in segments.iter().enumerate() {
            directory.record_pending(TimePoint(index as u64), *segment, 1);
            prop_assert!(directory.len() <= 64);
            prop_assert!(directory.contains(*segment));
        }
        prop_assert!(directory.most_recent(1_000).count() == directory.len());
    }
}

/// A segment that all prompts of a large pool start with keeps every holder: with a smaller limit
/// than the pool's size, targets that cache it would be unknown.
#[test]
fn directory_keeps_all_holders_of_a_large_pool() {
    let mut directory = SegmentDirectory::new(64);
    for target in 0..112 {
        directory.record_pending(TimePoint(target), 1, target);
    }
    assert!(
        (0..112).all(|target| directory.prefill_started_at(1, target) == Some(TimePoint(target)))
    );
}
