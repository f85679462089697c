//! The overlay, assignments, entry answers and accusations.

use std::{
    collections::BTreeSet,
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

use base_types::{DomainName, HostName, TimePoint, test_cases};
use state_membership::{
    Accusation, AccusationBook, MemberKey, MemberRecord, MemberRow, MemberState, MemberTable,
    Overlay, entry_order, table_watchers,
};

const DEGREE_MAX: usize = 12;

fn members(size: usize, domains: usize) -> MemberTable {
    let mut table = MemberTable::default();
    for index in 0..size {
        let row = MemberRow {
            name: HostName::new(&format!("router-{index}")),
            failure_domain: DomainName::new(&format!("domain-{}", index % domains)),
            peer: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
            caller: format!("caller-{index}").into(),
        };
        table.adopt(MemberRecord { row, incarnation: 1, state: MemberState::Alive });
    }
    table
}

fn check_overlay(size: usize, domains: usize) {
    let members = members(size, domains);
    let overlay = Overlay::of(&members);
    let mut reached = BTreeSet::new();
    let mut next: Vec<MemberKey> = members.iter().map(|(key, _)| key).take(1).collect();
    while let Some(key) = next.pop() {
        if reached.insert(key) {
            next.extend(overlay.neighbors(key));
        }
    }
    assert_eq!(reached.len(), size, "connected");
    for (key, record) in members.iter() {
        let neighbors: Vec<MemberKey> = overlay.neighbors(key).collect();
        assert!(neighbors.len() >= 3.min(size - 1) && neighbors.len() <= DEGREE_MAX);
        let crosses = |other: &MemberKey| {
            members.get(*other).is_some_and(|m| m.row.failure_domain != record.row.failure_domain)
        };
        assert!(neighbors.iter().any(crosses), "crosses failure domains");
    }
}

test_cases! {
    check_overlay:
    seven_form_a_mesh(7, 4);
    fourteen_are_joined(14, 4);
    fifty_six_are_joined(56, 4);
    three_hundred_are_joined(300, 11);
    sixteen_hundred_are_joined(1_600, 11);
}

#[test]
fn two_watch_in_each_failure_domain_whatever_the_size() {
    assert_eq!(table_watchers(&members(16, 4)).len(), 8);
    assert_eq!(table_watchers(&members(1_600, 4)).len(), 8);
}

fn check_entries(size: usize, domains: usize) {
    let members = members(size, domains);
    let own = DomainName::new("domain-1");
    for affinity in 0..50 {
        let records = members.iter().map(|(_, record)| record);
        let entries = entry_order(records, &own, affinity);
        let named: BTreeSet<_> = entries.iter().map(|entry| &entry.row.failure_domain).collect();
        assert!(named.len() >= 2);
        assert_eq!(entries[0].row.failure_domain, own);
        let again = entry_order(members.iter().map(|(_, record)| record), &own, affinity);
        assert_eq!(entries, again, "the same chat gets the same order");
    }
}

test_cases! {
    check_entries:
    entries_of_seven_cross_domains(7, 4);
    entries_of_many_cross_domains(300, 11);
}

fn accuse(book: &mut AccusationBook, now: TimePoint, incarnation: u64, accuser: u64) {
    let accusation = Accusation { subject: MemberKey(1), incarnation, accuser: MemberKey(accuser) };
    book.note(now, accusation, 6);
}

#[test]
fn two_accusers_and_no_refutation_make_a_failure() {
    let mut book = AccusationBook::default();
    accuse(&mut book, TimePoint(0), 5, 10);
    assert_eq!(book.take_standing(TimePoint(0).after(Duration::from_secs(2))), []);
    accuse(&mut book, TimePoint(0).after(Duration::from_secs(2)), 5, 11);
    let later = TimePoint(0).after(Duration::from_secs(3));
    assert_eq!(book.take_standing(later), [(MemberKey(1), 5)]);
}

#[test]
fn a_refutation_clears_older_accusations_only() {
    let mut book = AccusationBook::default();
    accuse(&mut book, TimePoint(0), 5, 10);
    accuse(&mut book, TimePoint(0), 6, 11);
    book.clear(MemberKey(1), 5);
    assert!(book.is_accused(TimePoint(1), MemberKey(1)));
    accuse(&mut book, TimePoint(1), 5, 12);
    assert!(!book.is_doubted(MemberKey(1)), "an accusation of an old incarnation is no second");
}
