//! What a restarted router must not take for granted because its tables are empty: the retries that were
//! spent before, and the content that was blocked.

#[path = "support/fixture.rs"]
mod fixture;

use std::time::Duration;

use base_types::{ContentDigest, ContentKey, NotRunCode, Refusal, TimePoint, test_cases};
use core_forward::{
    AttemptOutcome, BlockNotice, DispatchStep, ForwardCore, OriginRecord, RecordWrite,
};
use state_config::RetryRule;

use fixture::{call_head, new_restarted_router, new_router_with_attempts, target_entry};

const WINDOW: Duration = Duration::from_secs(10);
/// Retries of the fleet in a window beyond the ratio, as the fixture sets them.
const SLACK: u32 = 100;
const RATIO: f64 = 0.2;
const RULE: RetryRule = RetryRule::Idempotent;

fn seconds(count: u64) -> TimePoint {
    TimePoint(count * 1_000_000)
}

/// Sends calls that fail, each to a second target while the budget lasts; returns the retries.
fn fail_calls(core: &mut ForwardCore, now: TimePoint, count: u64) -> u32 {
    let mut retries = 0;
    for number in 0..count {
        let head = call_head(now, now.0 + number, None);
        let content = ContentDigest(u128::from(now.0 + number));
        let call = core.admit(now, head, content).expect("admitted").call;
        assert!(matches!(core.dispatch(now, call), DispatchStep::Send(_)));
        core.on_attempt_finished(now, call, AttemptOutcome::Failed);
        if matches!(core.dispatch(now, call), DispatchStep::Send(_)) {
            retries += 1;
            core.on_attempt_finished(now, call, AttemptOutcome::Failed);
        }
        core.finish(call);
    }
    retries
}

fn list(core: &mut ForwardCore, now: TimePoint) {
    core.list_targets(now, (0..8).map(|index| target_entry(index, 1)).collect());
}

/// A router spends its budget, and is restarted `restarts` times, a second apart; the retries of a window
/// stay within the bound.
fn check_budget(restarts: u64) {
    const CALLS: u64 = 200;
    let mut core = new_router_with_attempts(seconds(1), 0, 1, RULE, 2);
    list(&mut core, seconds(1));
    let mut retries = fail_calls(&mut core, seconds(1), CALLS);
    assert!(retries > 0);
    for restart in 1..=restarts {
        let now = seconds(1 + restart);
        core = new_restarted_router(now, 0, 1 + restart, RULE, 2);
        core.restore_record(now, Some(OriginRecord::default()), false);
        list(&mut core, now);
        retries += fail_calls(&mut core, now, CALLS);
    }
    let calls = (CALLS * (1 + restarts)) as f64;
    assert!(f64::from(retries) <= RATIO * calls + f64::from(SLACK), "{retries} retries");
}

test_cases! {
    check_budget:
    retries_stay_within_the_bound_without_a_restart(0);
    retries_stay_within_the_bound_over_a_restart(1);
    retries_stay_within_the_bound_over_three_restarts(3);
}

/// The slack is back once what was spent before the restart is out of the window.
#[test]
fn a_restarted_router_has_its_slack_after_a_window() {
    let mut core = new_restarted_router(seconds(1), 0, 2, RULE, 2);
    core.restore_record(seconds(1), Some(OriginRecord::default()), false);
    list(&mut core, seconds(1));
    assert_eq!(fail_calls(&mut core, seconds(2), 1), 0);
    let later = seconds(1).after(WINDOW);
    list(&mut core, later);
    assert_eq!(fail_calls(&mut core, later, 1), 1);
}

/// Guards against a block that was lifted and comes back after a later restart, because a new recorder took the record to
/// have none.
#[test]
fn a_lifted_block_leaves_the_record_after_a_change_of_the_recorder() {
    let key = ContentKey::of_request(ContentDigest(7));
    let block = |trial_in_ms| vec![BlockNotice { key, trial_in_ms, trials: 0 }];
    let mut routers = [0, 1].map(|index| new_router_with_attempts(seconds(1), index, 1, RULE, 2));
    routers.iter_mut().for_each(|core| list(core, seconds(1)));
    let exchange = |routers: &mut [ForwardCore; 2], now| {
        let heartbeats = routers.each_mut().map(|core| core.next_heartbeat(now));
        for heartbeat in heartbeats {
            routers.iter_mut().for_each(|core| core.on_heartbeat(now, heartbeat.clone()));
        }
    };
    let write_all = |core: &mut ForwardCore, now| {
        let mut written = Vec::new();
        while let Some(write) = core.next_record_write(now) {
            core.on_record_written(now, write.clone());
            written.extend(match write {
                RecordWrite::Blocks(blocks) => Some(blocks.len()),
                _ => None,
            });
        }
        written
    };
    routers.iter_mut().for_each(|core| drop(core.next_record_write(seconds(1))));
    let record = OriginRecord { blocks: block(60_000), ..OriginRecord::default() };
    routers.iter_mut().for_each(|core| core.restore_record(seconds(1), Some(record.clone()), true));
    exchange(&mut routers, seconds(4));
    let written = routers.each_mut().map(|core| write_all(core, seconds(4)));
    let recorder = written.iter().position(|blocks| !blocks.is_empty()).expect("a recorder");
    assert_eq!(written[recorder], [1]);
    let lifted = |core: &mut ForwardCore| {
        let mut heartbeat =
            new_router_with_attempts(seconds(5), 9, 1, RULE, 2).next_heartbeat(seconds(5));
        heartbeat.shutting_down = true;
        heartbeat.content.sound = vec![key];
        core.on_heartbeat(seconds(5), heartbeat);
    };
    let next = &mut routers[1 - recorder];
    lifted(next);
    assert_eq!(next.status(seconds(5)).blocked_content, 0, "lifted");
    assert_eq!(write_all(next, seconds(7)), [0], "the new recorder writes that there are none");
    assert_eq!(write_all(next, seconds(8)), [0; 0]);
}

/// All routers restart: content that was blocked stays so.
#[test]
fn blocked_content_is_recorded_and_restored() {
    let content = ContentDigest(7);
    let key = ContentKey::of_request(content);
    let mut recorder = new_router_with_attempts(seconds(1), 0, 1, RULE, 2);
    let mut peer = new_router_with_attempts(seconds(1), 1, 1, RULE, 2);
    list(&mut recorder, seconds(1));
    let mut heartbeat = peer.next_heartbeat(seconds(1));
    heartbeat.shutting_down = true;
    heartbeat.content.blocks = vec![BlockNotice { key, trial_in_ms: 60_000, trials: 0 }];
    recorder.on_heartbeat(seconds(1), heartbeat);
    let mut record = OriginRecord::default();
    recorder.next_record_write(seconds(1));
    while let Some(write) = recorder.next_record_write(seconds(4)) {
        match &write {
            RecordWrite::Software(software) => record.software.clone_from(software),
            RecordWrite::Blocks(blocks) => record.blocks.clone_from(blocks),
            RecordWrite::Origins { .. } => panic!("one version serves"),
        }
        recorder.on_record_written(seconds(4), write);
    }
    assert_eq!(record.blocks.len(), 1);
    let mut restarted = new_restarted_router(seconds(5), 0, 2, RULE, 2);
    restarted.restore_record(seconds(5), Some(record), false);
    list(&mut restarted, seconds(5));
    let call = restarted.admit(seconds(5), call_head(seconds(5), 1, None), content);
    match restarted.dispatch(seconds(5), call.expect("admitted").call) {
        DispatchStep::Refuse(Refusal::NotRun(code, _)) => {
            assert_eq!(code, NotRunCode::ContentSuspect);
        }
        step => panic!("{step:?}"),
    }
}
