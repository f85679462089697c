//! Control traffic and processor time of the peer cores in virtual time, at sizes that do not
//! fit one machine as processes. Arguments: the numbers of routers.
//!
//! Bytes are encoded frames and 70 bytes for the headers of each datagram; handshakes,
//! acknowledgements in datagrams of their own and the other crates' work are not in them.

#![allow(missing_docs)]

#[path = "../tests/membership/fleet.rs"]
#[allow(dead_code)]
mod fleet;

use std::time::{Duration, Instant};

use state_membership::MemberState;

use crate::fleet::Fleet;

const DOMAINS: usize = 11;
const SETTLE: Duration = Duration::from_secs(20);
const IDLE: Duration = Duration::from_secs(20);
/// Time between edits at 17,000 a day.
const EDIT_EVERY: Duration = Duration::from_millis(86_400_000 / 17_000);
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
    let mut fleet = Fleet::new(1, size, DOMAINS);
    fleet.start_all();
    fleet.run(SETTLE);
    let settled = waited(&mut fleet, |fleet| fleet.doubted().is_empty()) + SETTLE.as_secs_f64();
    let began = Instant::now();
    let idle = sent_rate(&mut fleet, |fleet| fleet.run(IDLE));
    let processor = began.elapsed().as_secs_f64() / IDLE.as_secs_f64() / size as f64 * 100.0;
    let mut in_force: f64 = 0.0;
    let edits = sent_rate(&mut fleet, |fleet| {
        for edit in 0..EDITS {
            let (key, version) = fleet.write_row(&format!("route-{edit}"));
            let has_row = |fleet: &Fleet| {
                fleet.nodes.iter().all(|node| node.rows.get(&key) == Some(&version))
            };
            in_force = in_force.max(waited(fleet, has_row));
            fleet.run(EDIT_EVERY.saturating_sub(Duration::from_secs_f64(in_force)));
        }
    });
    fleet.kill(size / 2);
    let known =
        waited(&mut fleet, |fleet| fleet.disagreeing(size / 2, MemberState::Failed).is_empty());
    let shed: u64 = fleet.live().map(|(_, core)| core.status().shed).sum();
    println!(
        "| {size} | {settled:.1} | {:.0} ({:.0}) | {:.0} ({:.0}) | {in_force:.2} | {known:.2} | {processor:.3} | {shed} |",
        idle.0, idle.1, edits.0, edits.1,
    );
}

/// Runs until a condition holds, for 60 s at most, and returns the time in seconds.
fn waited(fleet: &mut Fleet, done: impl Fn(&Fleet) -> bool) -> f64 {
    let start = fleet.now;
    while !done(fleet) && fleet.now.since(start) < Duration::from_secs(60) {
        fleet.run(STEP);
    }
    fleet.now.since(start).as_secs_f64()
}

/// Mean and highest bytes that a router sends a second.
fn sent_rate(fleet: &mut Fleet, run: impl FnOnce(&mut Fleet)) -> (f64, f64) {
    let before: Vec<u64> = fleet.nodes.iter().map(|node| node.sent_bytes).collect();
    let start = fleet.now;
    run(fleet);
    let seconds = fleet.now.since(start).as_secs_f64();
    let rates: Vec<f64> = fleet
        .nodes
        .iter()
        .zip(before)
        .map(|(node, before)| (node.sent_bytes - before) as f64 / seconds)
        .collect();
    let mean = rates.iter().sum::<f64>() / rates.len() as f64;
    (mean, rates.into_iter().fold(0.0, f64::max))
}
