//! Tests of the overlay, the choice of watchers, entry answers and suspicions.

use std::{
    collections::BTreeSet,
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

use base_types::{FailureDomainName, HostName, TimePoint, test_cases};
use state_membership::{
    MemberKey, MemberRecord, MemberRow, MemberState, MemberTable, Overlay, Suspicion,
    SuspicionTable, platform_watchers, rank_entry_routers,
};

const DEGREE_MAX: usize = 12;

fn members(size: usize, domains: usize) -> MemberTable {
    let mut table = MemberTable::default();
    for index in 0..size {
        let row = MemberRow {
            name: HostName::new(&format!("router-{index}")),
            failure_domain: FailureDomainName::new(&format!("domain-{}", index % domains)),
            peer_address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
            caller_address: format!("caller-{index}").into(),
        };
        table.insert_newer(MemberRecord { row, incarnation: 1, state: MemberState::Alive });
    }
    table
}

fn check_overlay(size: usize, domains: usize) {
    let members = members(size, domains);
    let overlay = Overlay::build(&members);
    let mut reachable = BTreeSet::new();
    let mut pending: Vec<MemberKey> = members.iter().map(|(key, _)| key).take(1).collect();
    while let Some(key) = pending.pop() {
        if reachable.insert(key) {
            pending.extend(overlay.neighbors(key));
        }
    }
    assert_eq!(reachable.len(), size, "the overlay is connected");
    for (key, record) in members.iter() {
        let neighbors: Vec<MemberKey> = overlay.neighbors(key).collect();
        assert!(neighbors.len() >= 3.min(size - 1) && neighbors.len() <= DEGREE_MAX);
        let is_in_other_domain = |other: &MemberKey| {
            members.get(*other).is_some_and(|m| m.row.failure_domain != record.row.failure_domain)
        };
        assert!(
            neighbors.iter().any(is_in_other_domain),
            "a neighbor is in another failure domain"
        );
    }
}

test_cases! {
    check_overlay:
    overlay_of_7_is_connected(7, 4);
    overlay_of_14_is_connected(14, 4);
    overlay_of_56_is_connected(56, 4);
    overlay_of_300_is_connected(300, 11);
    overlay_of_1600_is_connected(1_600, 11);
}

#[test]
fn two_watchers_per_failure_domain_at_any_size() {
    assert_eq!(platform_watchers(&members(16, 4)).len(), 8);
    assert_eq!(platform_watchers(&members(1_600, 4)).len(), 8);
}

fn check_entry_order(size: usize, domains: usize) {
    let members = members(size, domains);
    let own_domain = FailureDomainName::new("domain-1");
    for affinity in 0..50 {
        let records = members.iter().map(|(_, record)| record);
        let entries = rank_entry_routers(records, &own_domain, affinity);
        let domains_covered: BTreeSet<_> =
            entries.iter().map(|entry| &entry.row.failure_domain).collect();
        assert!(domains_covered.len() >= 2);
        assert_eq!(entries[0].row.failure_domain, own_domain);
        let again =
            rank_entry_routers(members.iter().map(|(_, record)| record), &own_domain, affinity);
        assert_eq!(entries, again, "one affinity always gives one order");
    }
}

test_cases! {
    check_entry_order:
    entry_answers_of_7_span_domains(7, 4);
    entry_answers_of_300_span_domains(300, 11);
}

fn report(suspicions: &mut SuspicionTable, now: TimePoint, incarnation: u64, reporter: u64) {
    let suspicion = Suspicion { subject: MemberKey(1), incarnation, reporter: MemberKey(reporter) };
    suspicions.record(now, suspicion, 6);
}

#[test]
fn two_reporters_without_a_refutation_declare_a_failure() {
    let mut suspicions = SuspicionTable::default();
    report(&mut suspicions, TimePoint(0), 5, 10);
    assert_eq!(suspicions.take_failed(TimePoint(0).after(Duration::from_secs(2))), []);
    report(&mut suspicions, TimePoint(0).after(Duration::from_secs(2)), 5, 11);
    let after_timeout = TimePoint(0).after(Duration::from_secs(3));
    assert_eq!(suspicions.take_failed(after_timeout), [(MemberKey(1), 5)]);
}

#[test]
fn a_refutation_clears_older_suspicions_only() {
    let mut suspicions = SuspicionTable::default();
    report(&mut suspicions, TimePoint(0), 5, 10);
    report(&mut suspicions, TimePoint(0), 6, 11);
    suspicions.clear(MemberKey(1), 5);
    assert!(suspicions.is_suspected(TimePoint(1), MemberKey(1)));
    report(&mut suspicions, TimePoint(1), 5, 12);
    assert!(
        !suspicions.is_confirmed(MemberKey(1)),
        "a report of an old incarnation does not confirm"
    );
}
