//! Control traffic and processor time of a simulated fleet in virtual time, for fleets with too
//! many routers to run as processes on one machine. Arguments: the numbers of routers.
//!
//! Bytes count encoded frames and 70 bytes for the headers of each datagram. Handshakes,
//! acknowledgements in separate datagrams, and the work of other crates are not included.

#![allow(missing_docs)]

#[path = "../tests/membership/fleet.rs"]
#[allow(dead_code)]
mod fleet;

use std::time::{Duration, Instant};

use state_membership::MemberState;

use crate::fleet::SimulatedFleet;

const DOMAINS: usize = 11;
const SETTLE_TIME: Duration = Duration::from_secs(20);
const IDLE_TIME: Duration = Duration::from_secs(20);
/// Time between edits at 17,000 edits per day.
const EDIT_INTERVAL: Duration = Duration::from_millis(86_400_000 / 17_000);
const EDITS: u32 = 4;
const STEP: Duration = Duration::from_millis(50);

fn main() {
    let sizes = std::env::args().filter_map(|argument| argument.parse().ok());
    let sizes: Vec<usize> = sizes.collect();
    let sizes = if sizes.is_empty() { vec![100, 200, 400] } else { sizes };
    println!(
        "| routers | start to settled s | idle B/s mean (highest) | edits B/s mean (highest) | in force s | kill known s | core % a router | shed frames |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for size in sizes {
        measure(size);
    }
}

fn measure(size: usize) {
    let mut fleet = SimulatedFleet::new(1, size, DOMAINS);
    fleet.start_all();
    fleet.run_for(SETTLE_TIME);
    let settled_after = seconds_until(&mut fleet, |fleet| fleet.misjudged_members().is_empty())
        + SETTLE_TIME.as_secs_f64();
    let started_at = Instant::now();
    let idle = sent_bytes_per_second(&mut fleet, |fleet| fleet.run_for(IDLE_TIME));
    let processor_percent =
        started_at.elapsed().as_secs_f64() / IDLE_TIME.as_secs_f64() / size as f64 * 100.0;
    let mut in_force_after: f64 = 0.0;
    let edits = sent_bytes_per_second(&mut fleet, |fleet| {
        for edit in 0..EDITS {
            let (key, version) = fleet.write_row(&format!("route-{edit}"));
            let has_row = |fleet: &SimulatedFleet| {
                fleet.routers.iter().all(|router| router.row_versions.get(&key) == Some(&version))
            };
            in_force_after = in_force_after.max(seconds_until(fleet, has_row));
            fleet.run_for(EDIT_INTERVAL.saturating_sub(Duration::from_secs_f64(in_force_after)));
        }
    });
    fleet.kill(size / 2);
    let detected_after = seconds_until(&mut fleet, |fleet| {
        fleet.observers_disagreeing(size / 2, MemberState::Failed).is_empty()
    });
    let shed: u64 = fleet.live_cores().map(|(_, core)| core.status().shed_count).sum();
    println!(
        "| {size} | {settled_after:.1} | {:.0} ({:.0}) | {:.0} ({:.0}) | {in_force_after:.2} | {detected_after:.2} | {processor_percent:.3} | {shed} |",
        idle.0, idle.1, edits.0, edits.1,
    );
}

/// Runs until a condition is true, for at most 60 s, and returns the elapsed virtual seconds.
fn seconds_until(fleet: &mut SimulatedFleet, is_done: impl Fn(&SimulatedFleet) -> bool) -> f64 {
    let start = fleet.now;
    while !is_done(fleet) && fleet.now.since(start) < Duration::from_secs(60) {
        fleet.run_for(STEP);
    }
    fleet.now.since(start).as_secs_f64()
}

/// Bytes per second that a router sends during an action: mean over all routers, and highest.
fn sent_bytes_per_second(
    fleet: &mut SimulatedFleet,
    action: impl FnOnce(&mut SimulatedFleet),
) -> (f64, f64) {
    let before: Vec<u64> = fleet.routers.iter().map(|router| router.sent_bytes).collect();
    let start = fleet.now;
    action(fleet);
    let seconds = fleet.now.since(start).as_secs_f64();
    let rates: Vec<f64> = fleet
        .routers
        .iter()
        .zip(before)
        .map(|(router, before)| (router.sent_bytes - before) as f64 / seconds)
        .collect();
    let mean = rates.iter().sum::<f64>() / rates.len() as f64;
    (mean, rates.into_iter().fold(0.0, f64::max))
}
