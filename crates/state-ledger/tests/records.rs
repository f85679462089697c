//! Which operation records may be settled and which may be deleted, and their JSON round trip.

use base_types::{
    AccountName, AttemptKey, ContentDigest, HostName, OperationName, PoolName, test_cases,
};
use bytes::Bytes;
use state_ledger::{
    OperationClaim, OperationRecord, OperationState, SettledOutcome, Settlement, StoredAnswer,
    WallTime,
};

const HOUR_MS: u64 = 3_600_000;

fn settlement() -> Settlement {
    Settlement {
        outcome: SettledOutcome::Run,
        operator: "amina".into(),
        reason: "the bank shows it".into(),
    }
}

fn completed() -> OperationState {
    let body = Bytes::from_static(b"paid \xff");
    OperationState::Completed(StoredAnswer { status: 200, content_type: "text/plain".into(), body })
}

fn record(state: OperationState) -> OperationRecord {
    let claim = OperationClaim {
        pool: PoolName::new("payments"),
        account: AccountName::new("counter"),
        operation: OperationName::new("payment"),
        content: ContentDigest(u128::MAX),
        attempt: AttemptKey(7),
    };
    OperationRecord::new(&claim, &HostName::new("router-0"), WallTime(HOUR_MS), state)
}

fn check_settle(state: OperationState, now_ms: u64, is_settleable: bool) {
    let record = record(state);
    let settled =
        record.with_settlement(settlement(), &HostName::new("router-1"), WallTime(now_ms));
    assert_eq!(settled.is_some(), is_settleable);
    let Some(settled) = settled else { return };
    assert_eq!(settled.state, OperationState::Settled(settlement()));
    assert_eq!((settled.operation, settled.content), (record.operation, record.content));
}

test_cases! {
    check_settle:
    an_unsettled_operation(OperationState::Unsettled, HOUR_MS, true);
    a_claim_whose_attempt_may_still_run(OperationState::Claimed, HOUR_MS + 60_000, false);
    a_claim_older_than_any_attempt(OperationState::Claimed, 2 * HOUR_MS, true);
    a_completed_operation(completed(), 2 * HOUR_MS, false);
    a_released_operation(OperationState::Released, 2 * HOUR_MS, false);
    a_settled_operation(OperationState::Settled(settlement()), 2 * HOUR_MS, false);
}

fn check_expiry(state: OperationState, oldest_ms: u64, expired: bool) {
    assert_eq!(record(state).is_expired(WallTime(oldest_ms)), expired);
}

test_cases! {
    check_expiry:
    a_recent_answer_is_kept(completed(), HOUR_MS, false);
    an_old_answer_expires(completed(), 2 * HOUR_MS, true);
    an_old_release_expires(OperationState::Released, 2 * HOUR_MS, true);
    an_old_unsettled_operation_is_kept(OperationState::Unsettled, 2 * HOUR_MS, false);
    an_old_claim_is_kept(OperationState::Claimed, 2 * HOUR_MS, false);
}

fn check_json(state: OperationState) {
    let record = record(state);
    let text = serde_json::to_string(&record).unwrap();
    assert_eq!(serde_json::from_str::<OperationRecord>(&text).unwrap(), record);
}

test_cases! {
    check_json:
    a_claim_round_trips(OperationState::Claimed);
    an_answer_of_any_bytes_round_trips(completed());
    a_settlement_round_trips(OperationState::Settled(settlement()));
}
