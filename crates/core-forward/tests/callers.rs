//! Addresses that callers get from a fleet whose routers state capacities in heartbeats.

#[path = "support/fixture.rs"]
mod fixture;

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use base_types::{TimePoint, test_cases};
use core_forward::{
    CallerKey, ForwardCore, LoadClass, LoadSample, RouterCapacity, RouterResources,
};
use fixture::{new_router, target_entry};
use state_config::RetryRule;

const START: TimePoint = TimePoint(1_000_000);
const CALLERS: u64 = 600;

/// Resources of the hub's routers: 6 strong ones and 62 weak ones.
fn hub_resources(index: u16) -> RouterResources {
    let (cpu_share, link_mbps) = if index < 6 { (0.5, 200.0) } else { (0.12, 10.0) };
    RouterResources {
        cpu_share: Some(cpu_share),
        link_mbps: Some(link_mbps),
        max_descriptors: None,
    }
}

fn router(index: u16, resources: RouterResources) -> ForwardCore {
    let mut core = new_router(TimePoint(0), index, 1, RetryRule::AtMostOnce);
    core.list_targets(TimePoint(0), vec![target_entry(0, 1)]);
    core.set_resources(resources);
    core
}

fn fleet_of(routers: u16, resources: fn(u16) -> RouterResources) -> Vec<ForwardCore> {
    let mut cores: Vec<_> = (0..routers).map(|index| router(index, resources(index))).collect();
    exchange(&mut cores, START);
    cores
}

fn exchange(cores: &mut [ForwardCore], now: TimePoint) {
    let heartbeats: Vec<_> = cores.iter_mut().map(|core| core.next_heartbeat(now)).collect();
    for core in cores {
        for heartbeat in &heartbeats {
            core.on_heartbeat(now, heartbeat.clone());
        }
    }
}

fn addresses(core: &mut ForwardCore, now: TimePoint, caller: u64) -> Vec<SocketAddr> {
    let mut addresses =
        core.caller_addresses(now, CallerKey(caller.wrapping_mul(0x9e37_79b9_7f4a_7c15)));
    addresses.sort();
    addresses
}

/// Guards against capacities that do not reach the other routers, and against routers that give one caller
/// different answers, with which it would close and open connections each second.
#[test]
fn all_routers_give_a_caller_the_same_answer_by_capacity() {
    let mut cores = fleet_of(68, hub_resources);
    let mut shares: BTreeMap<SocketAddr, f64> = BTreeMap::new();
    for caller in 0..CALLERS {
        let named = addresses(&mut cores[(caller % 68) as usize], START, caller);
        assert_eq!(named, addresses(&mut cores[(caller * 7 % 68) as usize], START, caller));
        for address in &named {
            *shares.entry(*address).or_default() += 1.0 / named.len() as f64;
        }
    }
    let weight = |address: &SocketAddr| {
        f64::from(hub_resources(address.port() - 100).weight().expect("stated"))
    };
    let total: f64 = (100..168).map(|port| weight(&SocketAddr::from(([127, 0, 0, 1], port)))).sum();
    assert_eq!(shares.len(), 68);
    for (address, share) in shares {
        let ratio = share / CALLERS as f64 * total / weight(&address);
        assert!(ratio <= 1.3, "{address}: {ratio:.3} times the mean");
    }
}

/// Guards against a change where no settings state a capacity: all routers, the own address last.
#[test]
fn without_capacities_all_routers_are_named_in_the_previous_order() {
    let mut cores = fleet_of(33, |_| RouterResources::default());
    let sample = LoadSample { loop_delay: Duration::from_secs(1), ..LoadSample::default() };
    for second in 0..60 {
        assert_eq!(cores[7].on_load_sample(START.after(Duration::from_secs(second)), sample), None);
    }
    assert_eq!(cores[7].next_heartbeat(START).extension.capacity, None);
    let named = cores[7].caller_addresses(START, CallerKey(5));
    let mut names: Vec<(String, u16)> = (0..33)
        .filter(|index| *index != 7)
        .map(|index| (format!("router-{index}"), index))
        .collect();
    names.sort();
    let expected = names.iter().map(|(_, index)| *index).chain([7]);
    let ports: Vec<u16> = named.iter().map(SocketAddr::port).collect();
    assert_eq!(ports, expected.map(|index| 100 + index).collect::<Vec<_>>());
}

fn named_count(core: &mut ForwardCore, now: TimePoint, port: u16) -> usize {
    let is_named = |caller: &u64| addresses(core, now, *caller).iter().any(|a| a.port() == port);
    (0..CALLERS).filter(is_named).count()
}

/// Heartbeats of router 3 among 33 equal routers, one each second: for how many seconds, incarnation,
/// statement.
type StatedSeconds = (u64, u64, Option<RouterCapacity>);

/// Checks how many callers router 0 tells to use router 3 after its heartbeats.
fn check_peer(stated: &[StatedSeconds], callers: std::ops::RangeInclusive<usize>) {
    let mut cores = fleet_of(33, |_| hub_resources(0));
    let mut peer = cores.remove(3);
    let mut now = START;
    for (seconds, incarnation, capacity) in stated {
        for _ in 0..*seconds {
            now = now.after(Duration::from_secs(1));
            exchange(&mut cores, now);
            let mut heartbeat = peer.next_heartbeat(now);
            heartbeat.entry.incarnation = *incarnation;
            heartbeat.extension.capacity = *capacity;
            cores[0].on_heartbeat(now, heartbeat);
        }
    }
    let named = named_count(&mut cores[0], now, 103);
    assert!(callers.contains(&named), "{named} of {CALLERS} callers use the router");
}

fn capacity(weight: u32, load_percent: u16) -> Option<RouterCapacity> {
    Some(RouterCapacity { weight, load_percent })
}

// Guards against a missing record that counts as zero, against statements without an end, against load
// that is ignored, and against a router that is named to nobody as it states nothing.
test_cases! {
    check_peer:
    an_idle_peer_is_named_to_all(&[(1, 1, capacity(167, 10))], 600..=600);
    a_weak_peer_is_named_less(&[(1, 1, capacity(42, 10))], 110..=190);
    a_peer_that_states_nothing_is_the_median(&[(1, 2, None)], 600..=600);
    a_heartbeat_without_a_capacity_changes_nothing(&[(1, 1, capacity(42, 10)), (25, 1, None)], 110..=190);
    a_statement_ends(&[(1, 1, capacity(42, 10)), (31, 1, None)], 600..=600);
    a_statement_ends_with_a_restart(&[(1, 1, capacity(42, 10)), (1, 2, None)], 600..=600);
    a_full_peer_is_named_less(&[(5, 1, capacity(167, 95))], 140..=230);
    a_class_is_not_changed_each_second(&[(5, 1, capacity(167, 95)), (1, 1, capacity(167, 5))], 140..=230);
    a_peer_that_states_zero_is_named(&[(1, 1, capacity(0, u16::MAX))], 10..=100);
    a_peer_that_states_too_much_displaces_few(&[(1, 1, capacity(u32::MAX, 0))], 600..=600);
}

/// Guards against a router near its limit that is named as often as before.
#[test]
fn a_busy_router_is_named_less() {
    let mut cores = fleet_of(33, |_| hub_resources(0));
    let mut now = START;
    let mut classes = Vec::new();
    for _ in 0..40 {
        now = now.after(Duration::from_secs(1));
        let sample = LoadSample { cpu_use: Some(0.42), ..LoadSample::default() };
        classes.extend(cores[3].on_load_sample(now, sample));
        exchange(&mut cores, now);
    }
    assert_eq!(classes, [LoadClass::Busy]);
    let named = named_count(&mut cores[0], now, 103);
    assert!((300..420).contains(&named), "{named} of {CALLERS} callers use the router");
}
