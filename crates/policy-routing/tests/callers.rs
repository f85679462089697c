//! Choice of the routers that callers are told to use: shares by capacity, stability, feedback by load.

use std::{collections::BTreeSet, time::Duration};

use base_types::{TimePoint, test_cases};
use policy_routing::{
    CallerKey, LoadClass, LoadTracker, NAMED_ROUTERS_MAX, RouterResources, RouterView,
    choose_routers, stable_hash,
};

const CALLERS: u64 = 600;

/// Largest ratio of a router's load over its capacity to the mean that the design page allows.
const EXCESS_MAX: f64 = 1.3;

fn caller(index: u64) -> CallerKey {
    CallerKey(stable_hash(format!("10.0.{}.{}", index / 250, index % 250).as_bytes()))
}

fn weight(cpu_share: f64, link_mbps: f64) -> Option<u32> {
    let resources = RouterResources {
        cpu_share: Some(cpu_share),
        link_mbps: Some(link_mbps),
        max_descriptors: None,
    };
    resources.weight()
}

fn fleet_of(routers: usize, weight_of: impl Fn(usize) -> Option<u32>) -> Vec<RouterView> {
    let views = (0..routers).map(|index| RouterView {
        router_hash: stable_hash(format!("edge-{index}").as_bytes()),
        domain_hash: index as u64 % 3,
        weight: weight_of(index),
        load: LoadClass::Normal,
    });
    views.collect()
}

/// The hub's routers: 6 strong ones, two in each failure domain, and 62 weak ones.
fn hub() -> Vec<RouterView> {
    fleet_of(68, |index| if index < 6 { weight(0.5, 200.0) } else { weight(0.12, 10.0) })
}

/// The kilns' routers: 0.29 to 0.5 of a core, 25 to 200 Mbit/s.
fn kilns() -> Vec<RouterView> {
    fleet_of(33, |index| {
        weight(0.29 + 0.03 * (index % 8) as f64, 25.0 + 175.0 * (index % 5) as f64 / 4.0)
    })
}

fn same(routers: usize, weight: Option<u32>) -> Vec<RouterView> {
    fleet_of(routers, |_| weight)
}

/// Share of all callers' connections that each router gets.
fn shares(views: &[RouterView]) -> Vec<f64> {
    let mut shares = vec![0.0; views.len()];
    for index in 0..CALLERS {
        let named = choose_routers(caller(index), views);
        assert!(!named.is_empty() && named.len() <= NAMED_ROUTERS_MAX, "{} named", named.len());
        for router in &named {
            shares[*router] += 1.0 / named.len() as f64 / CALLERS as f64;
        }
    }
    shares
}

/// Largest ratio of a router's share to its part of the total capacity.
fn excess(shares: &[f64], capacities: &[f64]) -> f64 {
    let total: f64 = capacities.iter().sum();
    let ratios = shares.iter().zip(capacities).map(|(share, capacity)| share * total / capacity);
    ratios.fold(0.0, f64::max)
}

fn stated(views: &[RouterView], unknown: f64) -> Vec<f64> {
    views.iter().map(|view| view.weight.map_or(unknown, f64::from)).collect()
}

/// Guards against routers that get more than their part, for the routers that remain after a loss.
fn check_shares(views: Vec<RouterView>, remains: fn(usize) -> bool) {
    let remaining = views.iter().enumerate().filter(|(index, _)| remains(*index));
    let views: Vec<RouterView> = remaining.map(|(_, view)| *view).collect();
    let excess = excess(&shares(&views), &stated(&views, 1.0));
    assert!(excess <= EXCESS_MAX, "{excess:.3} times the mean on {} routers", views.len());
}

test_cases! {
    check_shares:
    hub_callers_are_shared_by_capacity(hub(), |_| true);
    hub_callers_are_shared_after_a_failure_domain_fails(hub(), |index| index % 3 != 0);
    hub_callers_are_shared_after_half_of_the_routers_fail(hub(), |index| index % 2 == 0);
    hub_callers_are_shared_after_the_strong_routers_fail(hub(), |index| index >= 6);
    kiln_callers_are_shared_by_capacity(kilns(), |_| true);
    kiln_callers_are_shared_after_a_failure_domain_fails(kilns(), |index| index % 3 != 1);
    kiln_callers_are_shared_after_half_of_the_routers_fail(kilns(), |index| index % 2 == 1);
    routers_beyond_the_first_64_are_named_too(same(100, None), |_| true);
    routers_of_a_large_fleet_are_named_evenly(same(195, Some(40)), |_| true);
}

/// Guards against a changed answer where nothing calls for one: all routers, in their order.
fn check_all_named(views: Vec<RouterView>) {
    for index in 0..50 {
        let all: Vec<usize> = (0..views.len()).collect();
        assert_eq!(choose_routers(caller(index), &views), all);
    }
}

/// Routers that are all above their limits.
fn loaded(routers: usize, load: LoadClass) -> Vec<RouterView> {
    same(routers, Some(40)).into_iter().map(|view| RouterView { load, ..view }).collect()
}

test_cases! {
    check_all_named:
    no_router_is_named_if_none_serves(same(0, None));
    a_single_router_is_named(same(1, Some(0)));
    routers_of_unknown_capacity_are_all_named(same(33, None));
    sixty_four_routers_of_one_capacity_are_all_named(same(64, Some(25)));
    one_stated_capacity_is_the_median_of_all(fleet_of(33, |index| (index == 0).then_some(500)));
    routers_that_are_all_busy_are_all_named(loaded(33, LoadClass::Busy));
    routers_that_are_all_full_are_all_named(loaded(64, LoadClass::Full));
    four_uneven_routers_are_all_named(fleet_of(4, |index| Some(10 + 100 * index as u32)));
}

/// Guards against routers with a wrong statement that attract or shed callers without a bound, and
/// against a disturbance of the others.
fn check_liar(mut views: Vec<RouterView>, lie: u32, ratios: std::ops::Range<f64>) {
    let honest = stated(&views, 1.0);
    views[20].weight = Some(lie);
    let shares = shares(&views);
    let mut others: Vec<f64> =
        shares.iter().zip(&honest).map(|(share, weight)| share / weight).collect();
    let liar = others.remove(20) * honest[20];
    let mut sorted = shares.clone();
    sorted.sort_by(f64::total_cmp);
    let ratio = liar / sorted[(sorted.len() - 1) / 2];
    assert!(ratios.contains(&ratio), "{ratio:.3} times the median share");
    let mean = others.iter().sum::<f64>() / others.len() as f64;
    let excess = others.iter().copied().fold(0.0, f64::max) / mean;
    assert!(excess <= EXCESS_MAX, "{excess:.3} times the mean on the others");
}

test_cases! {
    check_liar:
    a_hub_router_that_states_too_much_is_bounded(hub(), u32::MAX, 4.0..9.0);
    a_hub_router_that_states_nothing_keeps_some_callers(hub(), 0, 0.02..0.3);
    a_kiln_router_that_states_too_much_is_bounded(kilns(), u32::MAX, 4.0..9.0);
    a_kiln_router_that_states_nothing_keeps_some_callers(kilns(), 0, 0.02..0.3);
}

/// Guards against unknown capacities that count as none: they count as the median of the stated ones.
fn check_mixed(every: usize) {
    let views = fleet_of(68, |index| {
        let strong = if index < 6 { weight(0.5, 200.0) } else { weight(0.12, 10.0) };
        strong.filter(|_| index % every == 0)
    });
    let excess =
        excess(&shares(&views), &stated(&views, f64::from(weight(0.12, 10.0).expect("stated"))));
    assert!(excess <= EXCESS_MAX, "{excess:.3} times the mean");
}

test_cases! {
    check_mixed:
    every_second_router_states_a_capacity(2);
    every_fifth_router_states_a_capacity(5);
}

/// Part of the callers' connections that are closed although their routers still serve.
fn closed_part(before: &[RouterView], after: &[RouterView]) -> f64 {
    let serving: BTreeSet<u64> = after.iter().map(|view| view.router_hash).collect();
    let hashes = |caller, views: &[RouterView]| -> BTreeSet<u64> {
        choose_routers(caller, views).into_iter().map(|index| views[index].router_hash).collect()
    };
    let mut closed = 0.0;
    for index in 0..CALLERS {
        let (old, new) = (hashes(caller(index), before), hashes(caller(index), after));
        let missing = old.difference(&new).filter(|hash| serving.contains(hash)).count();
        closed += missing as f64 / old.len() as f64 / CALLERS as f64;
    }
    closed
}

/// Guards against answers that change for callers whom a change of the fleet does not concern.
fn check_closed(views: Vec<RouterView>, change: fn(&mut Vec<RouterView>), closed_max: f64) {
    let mut changed = views.clone();
    change(&mut changed);
    let closed = closed_part(&views, &changed);
    assert!(closed <= closed_max, "{closed:.4} of the connections closed");
    assert!(closed_part(&views, &views) == 0.0, "the same state gave another answer");
}

fn add_router(views: &mut Vec<RouterView>) {
    views.insert(9, RouterView { router_hash: 77, ..views[30] });
}

test_cases! {
    check_closed:
    a_lost_weak_router_closes_few_connections(hub(), |views| { views.remove(30); }, 0.01);
    a_lost_strong_router_closes_few_connections(hub(), |views| { views.remove(2); }, 0.02);
    an_added_router_closes_few_connections(hub(), add_router, 0.03);
    a_busy_weak_router_closes_few_connections(hub(), |views| views[30].load = LoadClass::Busy, 0.02);
    a_busy_strong_router_closes_few_connections(hub(), |views| views[2].load = LoadClass::Busy, 0.05);
    a_lost_failure_domain_closes_few_connections(hub(), |views| views.retain(|view| view.domain_hash != 1), 0.06);
    an_added_router_of_a_large_fleet_closes_few_connections(same(195, None), add_router, 0.02);
    a_lost_kiln_router_closes_few_connections(kilns(), |views| { views.remove(30); }, 0.05);
    a_busy_router_among_equals_closes_few_connections(same(33, Some(40)), |views| views[30].load = LoadClass::Busy, 0.04);
}

/// Guards against callers whose addresses all fail together with one failure domain.
#[test]
fn answers_name_two_failure_domains() {
    let mut views = fleet_of(24, |index| Some(if index < 20 { 800 } else { 100 }));
    for (index, view) in views.iter_mut().enumerate() {
        view.domain_hash = u64::from(index >= 20);
    }
    for index in 0..CALLERS {
        let named = choose_routers(caller(index), &views);
        let domains: BTreeSet<u64> =
            named.iter().map(|router| views[*router].domain_hash).collect();
        assert!(domains.len() > 1, "{named:?}");
    }
}

/// Changes of classes and connections closed by them while all callers ask each second and load follows
/// the answers.
#[derive(Debug, Default)]
struct HerdRun {
    changes: usize,
    falls: usize,
    closed: f64,
    last_excess: f64,
}

/// Plays 600 s with a constant demand in parts of the total capacity. `slow` routers carry half of what they
/// state.
fn run_herd(mut views: Vec<RouterView>, demand: f64, slow: fn(usize) -> bool) -> HerdRun {
    let mut capacities = stated(&views, 1.0);
    for (index, capacity) in capacities.iter_mut().enumerate() {
        *capacity *= if slow(index) { 0.5 } else { 1.0 };
    }
    let total: f64 = stated(&views, 1.0).iter().sum();
    let mut trackers = vec![LoadTracker::default(); views.len()];
    let mut run = HerdRun::default();
    let mut router_shares = shares(&views);
    for second in 0..600u64 {
        let mut is_changed = false;
        let before = views.clone();
        for (index, tracker) in trackers.iter_mut().enumerate() {
            // Load of one second varies by a tenth up and down.
            let noise = stable_hash(format!("{second} {index}").as_bytes()) % 200;
            let noise = 0.9 + noise as f64 / 1_000.0;
            let load = router_shares[index] * demand * total / capacities[index] * noise;
            if let Some(class) = tracker.observe(TimePoint(second * 1_000_000), 100.0 * load) {
                run.changes += 1;
                run.falls += usize::from(class < views[index].load);
                views[index].load = class;
                is_changed = true;
            }
        }
        if is_changed {
            run.closed += closed_part(&before, &views);
            router_shares = shares(&views);
        }
    }
    run.last_excess = excess(&router_shares, &capacities);
    run
}

/// Guards against callers that move back and forth between routers: under a constant demand no class falls
/// after it rose, and the connections closed on the way are bounded.
fn check_herd(views: Vec<RouterView>, demand: f64, slow: fn(usize) -> bool, closed_max: f64) {
    let routers = views.len();
    let run = run_herd(views, demand, slow);
    assert_eq!(run.falls, 0, "{run:?}");
    assert!(run.changes <= 2 * routers, "{run:?}");
    assert!(run.closed <= closed_max, "{run:?}");
}

test_cases! {
    check_herd:
    no_class_changes_at_half_load(kilns(), 0.5, |_| false, 0.0);
    classes_settle_near_the_first_threshold(kilns(), 0.72, |_| false, 0.5);
    classes_settle_near_the_second_threshold(hub(), 0.85, |_| false, 1.0);
    classes_settle_above_the_capacity(hub(), 1.1, |_| false, 0.5);
    classes_settle_with_slow_routers(hub(), 0.5, |index| index % 9 == 0, 0.3);
    classes_settle_with_slow_routers_among_equals(same(33, Some(40)), 0.5, |index| index % 9 == 0, 0.2);
}

/// Guards against load that does not matter: a router that carries half of what it states is named less.
#[test]
fn slow_routers_are_relieved() {
    let views = same(33, Some(40));
    let slow: fn(usize) -> bool = |index| index % 9 == 0;
    let capacities: Vec<f64> = (0..33).map(|index| if slow(index) { 20.0 } else { 40.0 }).collect();
    let before = excess(&shares(&views), &capacities);
    let after = run_herd(views, 0.5, slow).last_excess;
    assert!(after < 0.75 * before, "{after:.3} times the mean, {before:.3} without feedback");
}

/// Guards against a class that follows single pauses of the process, and one that is never left.
fn check_class(seconds_of_load: &[(u64, f64)], class: LoadClass) {
    let (mut tracker, mut now) = (LoadTracker::default(), TimePoint(0));
    for (seconds, percent) in seconds_of_load {
        for _ in 0..*seconds {
            now = now.after(Duration::from_secs(1));
            tracker.observe(now, *percent);
            assert_eq!(LoadClass::of_report(tracker.reported_percent()), tracker.class());
        }
    }
    assert_eq!(tracker.class(), class);
}

test_cases! {
    check_class:
    one_pause_is_no_load(&[(20, 30.0), (1, 10_000.0)], LoadClass::Normal);
    lasting_load_is_busy(&[(30, 80.0)], LoadClass::Busy);
    lasting_overload_is_full(&[(30, 120.0)], LoadClass::Full);
    load_that_fell_with_the_callers_stays_busy(&[(30, 80.0), (60, 48.0)], LoadClass::Busy);
    load_that_is_gone_is_normal(&[(30, 120.0), (60, 5.0)], LoadClass::Normal);
    a_class_is_kept_for_some_seconds(&[(30, 80.0), (1, 200.0), (12, 0.0)], LoadClass::Full);
    invalid_load_is_no_load(&[(30, -5.0)], LoadClass::Normal);
}
