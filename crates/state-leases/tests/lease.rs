//! A lease expires for its holder before another process may acquire it.

use std::time::Duration;

use base_types::{HostName, RowVersion, TimePoint};
use state_leases::{LeaseOwner, LeaseState, LeaseTimes};

const TIMES: LeaseTimes =
    LeaseTimes { duration: Duration::from_secs(4), grace_period: Duration::from_secs(2) };

fn owner(name: &str) -> LeaseOwner {
    LeaseOwner { host: HostName::new(name), instance: 1 }
}

fn lease(name: &str) -> LeaseState {
    LeaseState::new(owner(name), TIMES)
}

fn second(count: u64) -> TimePoint {
    TimePoint(count * 1_000_000)
}

#[test]
fn a_missing_lease_is_acquired_and_counts_from_when_its_write_was_sent() {
    let mut lease = lease("one");
    assert_eq!(lease.acquire_condition(second(1)), None);
    lease.on_read(second(1), None);
    assert_eq!(lease.acquire_condition(second(1)), Some(None));
    lease.on_written(second(1), second(3), RowVersion(7));
    assert_eq!(lease.fence(second(4)), Some(RowVersion(7)));
    assert_eq!(lease.fence(second(5)), None);
}

#[test]
fn another_process_waits_for_the_lease_and_its_grace_period() {
    let (mut lease, holder) = (lease("two"), owner("one"));
    lease.on_read(second(1), Some((RowVersion(7), &holder)));
    lease.on_read(second(6), Some((RowVersion(7), &holder)));
    assert_eq!(lease.acquire_condition(second(6)), None);
    assert_eq!(lease.acquire_condition(second(7)), Some(Some(RowVersion(7))));
    lease.on_read(second(7), Some((RowVersion(8), &holder)));
    assert_eq!(lease.acquire_condition(second(12)), None);
}

#[test]
fn a_lost_answer_is_read_back_and_counts_from_the_first_attempt() {
    let mut lease = lease("one");
    lease.on_read(second(1), None);
    lease.on_unanswered(second(1));
    assert_eq!(lease.fence(second(2)), None);
    let local_owner = owner("one");
    lease.on_read(second(3), Some((RowVersion(7), &local_owner)));
    assert_eq!(lease.fence(second(3)), Some(RowVersion(7)));
    assert_eq!(lease.fence(second(5)), None);
}

#[test]
fn a_lease_written_by_another_process_is_no_longer_held() {
    let mut lease = lease("one");
    lease.on_written(second(1), second(1), RowVersion(7));
    lease.on_conflict();
    assert_eq!(lease.fence(second(2)), None);
    lease.on_read(second(2), Some((RowVersion(8), &owner("two"))));
    assert_eq!(lease.fence(second(2)), None);
}
