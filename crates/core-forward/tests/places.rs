//! Messages about places at fragile targets: their encoding, and those that must change nothing.

#[path = "support/fixture.rs"]
mod fixture;
#[path = "support/heartbeats.rs"]
mod heartbeats;

use base_types::{ContentDigest, HostName, Refusal, TimePoint, test_cases};
use core_forward::{
    AttemptOutcome, CallKey, DispatchStep, EnvelopeError, FleetKey, ForwardCore, PeerKeys,
    PlaceMessage, PlaceMessageKind, RejectionLimit, TargetEntry, decode_heartbeat, decode_place,
    encode_heartbeat, encode_place, is_place_message,
};
use rand::{SeedableRng, rngs::StdRng};
use state_config::RetryRule;

use fixture::{call_head, new_router, new_router_with_attempts, router_entry, target_entry};
use heartbeats::HeartbeatPlan;

const NOW: TimePoint = TimePoint(60_000_000);

fn message(kind: PlaceMessageKind) -> PlaceMessage {
    PlaceMessage {
        sender: HostName::new("router-1"),
        incarnation: 1,
        call: 7,
        target_hash: 9,
        kind,
    }
}

fn keys(secret: &str, required: bool) -> PeerKeys {
    let current = Some(FleetKey::from_secret(secret.as_bytes()));
    PeerKeys { current, previous: None, required }
}

/// A message is read as it was written, and is never taken for a heartbeat.
fn check_round_trip(kind: PlaceMessageKind) {
    let sent = message(kind);
    for key in [None, Some(FleetKey::from_secret(b"a"))] {
        let bytes = encode_place(&sent, key.as_ref()).expect("encoded");
        assert!(is_place_message(&bytes));
        assert!(decode_heartbeat(&bytes, &PeerKeys::default()).is_err());
        let keys = PeerKeys { required: key.is_some(), current: key, previous: None };
        assert_eq!(decode_place(&bytes, &keys).as_ref(), Ok(&sent));
        for length in 0..bytes.len() {
            assert!(decode_place(&bytes[..length], &keys).is_err(), "{length} bytes");
        }
    }
}

test_cases! {
    check_round_trip:
    an_ask_is_read(PlaceMessageKind::Ask { left_ms: u32::MAX, bearable: 8, age_ms: 5, rank: 3, may_wait: true });
    a_grant_is_read(PlaceMessageKind::Granted);
    a_queued_answer_is_read(PlaceMessageKind::Queued { wait_ms: 100 });
    a_denial_is_read(PlaceMessageKind::Denied);
    a_release_is_read(PlaceMessageKind::Released { is_rejected: true });
}

/// Guards against strangers that lease places or end the leases of others.
#[test]
fn a_message_that_does_not_verify_is_dropped() {
    let sent = message(PlaceMessageKind::Granted);
    let key = FleetKey::from_secret(b"a");
    let bytes = encode_place(&sent, Some(&key)).expect("encoded");
    assert_eq!(decode_place(&bytes, &keys("b", true)), Err(EnvelopeError::WrongMac));
    let bytes = encode_place(&sent, None).expect("encoded");
    assert_eq!(decode_place(&bytes, &keys("a", true)), Err(EnvelopeError::MissingMac));
    assert_eq!(decode_place(&bytes, &keys("a", false)), Ok(sent));
    let heartbeat = new_router(NOW, 0, 1, RetryRule::Idempotent).next_heartbeat(NOW);
    let bytes = encode_heartbeat(&heartbeat, None).expect("encoded").bytes;
    assert!(!is_place_message(&bytes));
}

/// Two routers that know each other and a fragile target of one slot.
fn routers_of(target: usize) -> [ForwardCore; 2] {
    let mut routers = [0, 1].map(|index| new_router(NOW, index, 1, RetryRule::AtMostOnceStream));
    for core in &mut routers {
        core.list_routers(vec![router_entry(0, 1), router_entry(1, 1)]);
        core.list_targets(NOW, vec![TargetEntry { slots: 1, ..target_entry(target, 1) }]);
    }
    let (call, key) = send(&mut routers[0], 1_000).expect("a target that is not fragile yet");
    routers[0].on_rejection_limit(NOW, key, Some(RejectionLimit(8)));
    routers[0].on_attempt_finished(NOW, call, AttemptOutcome::Completed);
    routers[0].finish(call);
    let plan = HeartbeatPlan { steps_per_heartbeat: 1, lost_share: 0.0 };
    plan.exchange(NOW, 0, &mut routers, &mut StdRng::seed_from_u64(1));
    routers
}

/// Such routers, of which the first keeps the target's places; that depends on the target's name.
fn keeper_and_other() -> [ForwardCore; 2] {
    let is_kept = |target: &usize| send(&mut routers_of(*target)[0], 1_001).is_some();
    routers_of((0..20).find(is_kept).expect("a target that the first router keeps"))
}

fn dispatch(core: &mut ForwardCore, number: u64) -> (CallKey, DispatchStep) {
    let head = call_head(NOW, number, None);
    let call = core.admit(NOW, head, ContentDigest(u128::from(number))).expect("admitted").call;
    (call, core.dispatch(NOW, call))
}

fn send(core: &mut ForwardCore, number: u64) -> Option<(CallKey, base_types::TargetKey)> {
    match dispatch(core, number) {
        (call, DispatchStep::Send(attempt)) => Some((call, attempt.target)),
        _ => None,
    }
}

/// Delivers the messages of one router to the other; returns the calls that are dispatched again.
fn deliver(from: &mut ForwardCore, to: &mut ForwardCore) -> Vec<CallKey> {
    let messages = from.take_place_messages();
    messages.into_iter().filter_map(|(_, message)| to.on_place_message(NOW, message)).collect()
}

/// Guards against two calls in one place, and against a place that is lost with its call.
#[test]
fn a_place_passes_from_call_to_call() {
    let [mut keeper, mut other] = keeper_and_other();
    let (asking, step) = dispatch(&mut other, 1);
    assert!(matches!(step, DispatchStep::AskPlace(_)), "{step:?}");
    assert!(deliver(&mut other, &mut keeper).is_empty());
    assert_eq!(deliver(&mut keeper, &mut other), [asking]);
    assert!(matches!(other.dispatch(NOW, asking), DispatchStep::Send(_)));
    // The only place is taken: a call of the keeper waits for it.
    let (waiting, step) = dispatch(&mut keeper, 2);
    assert!(matches!(step, DispatchStep::AskPlace(_)), "{step:?}");
    assert!(keeper.take_startable(NOW).is_empty());
    other.on_attempt_finished(NOW, asking, AttemptOutcome::Completed);
    deliver(&mut other, &mut keeper);
    assert_eq!(keeper.take_startable(NOW), [waiting]);
    assert!(matches!(keeper.dispatch(NOW, waiting), DispatchStep::Send(_)));
}

/// Guards against a place that is given away by a stranger, or by an earlier start of a router.
#[test]
fn messages_of_unknown_routers_change_nothing() {
    let [mut keeper, mut other] = keeper_and_other();
    let (asking, _) = dispatch(&mut other, 1);
    let asks = other.take_place_messages();
    for (sender, incarnation) in [("router-9", 1), ("router-1", 2)] {
        let (_, ask) = asks.first().expect("an ask").clone();
        let forged = PlaceMessage { sender: HostName::new(sender), incarnation, ..ask };
        keeper.on_place_message(NOW, forged);
        assert!(!keeper.has_place_messages(), "a message of {sender} was answered");
    }
    // The asking router goes on without an answer, and refuses the call.
    let later = TimePoint(NOW.0 + 51_000);
    let step = other.dispatch(later, asking);
    assert!(matches!(step, DispatchStep::Refuse(Refusal::NotRun(_, at)) if at > later), "{step:?}");
}

/// Guards against routers that keep each other from forgetting that a pool was fragile.
#[test]
fn questions_do_not_keep_a_pool_fragile() {
    let mut routers = keeper_and_other();
    let plan = HeartbeatPlan { steps_per_heartbeat: 1, lost_share: 0.0 };
    let mut random = StdRng::seed_from_u64(1);
    let late = TimePoint(NOW.0 + 4_900_000);
    plan.exchange(late, 0, &mut routers, &mut random);
    let [keeper, other] = &mut routers;
    let call =
        other.admit(late, call_head(late, 1, None), ContentDigest(1)).expect("admitted").call;
    assert!(matches!(other.dispatch(late, call), DispatchStep::AskPlace(_)));
    for (_, message) in other.take_place_messages() {
        keeper.on_place_message(late, message);
    }
    other.finish(call);
    let ended = TimePoint(NOW.0 + 5_100_000);
    plan.exchange(ended, 0, &mut routers, &mut random);
    let [_, other] = &mut routers;
    let call = other.admit(ended, call_head(ended, 2, None), ContentDigest(2));
    let step = other.dispatch(ended, call.expect("admitted").call);
    assert!(matches!(step, DispatchStep::Send(_)), "{step:?}");
}

/// Guards against heartbeats that keep a pool fragile, as each takes some time on its way.
#[test]
fn heartbeats_do_not_keep_a_pool_fragile() {
    let mut routers = keeper_and_other();
    let delay = std::time::Duration::from_millis(30);
    let mut now = NOW;
    for _ in 0..100 {
        for (sender, receiver) in [(0, 1), (1, 0)] {
            let heartbeat = routers[sender].next_heartbeat(now);
            now = now.after(delay);
            routers[receiver].on_heartbeat(now, heartbeat);
        }
    }
    let [keeper, other] = &mut routers;
    for core in [keeper, other] {
        let call =
            core.admit(now, call_head(now, 1, None), ContentDigest(1)).expect("admitted").call;
        let step = core.dispatch(now, call);
        assert!(matches!(step, DispatchStep::Send(_)), "{step:?}");
        assert!(!core.has_place_messages());
    }
}

/// Guards against a call that stays with a silent target because it has a place there.
#[test]
fn a_call_with_a_place_can_be_retried_at_another_target() {
    let mut core = new_router_with_attempts(NOW, 0, 1, RetryRule::Idempotent, 2);
    core.list_targets(NOW, vec![target_entry(0, 1), target_entry(1, 1)]);
    let (call, key) = send(&mut core, 1).expect("sent");
    core.on_rejection_limit(NOW, key, Some(RejectionLimit(8)));
    core.on_attempt_finished(NOW, call, AttemptOutcome::Completed);
    core.finish(call);
    let (call, first) = send(&mut core, 2).expect("sent with a place");
    assert!(core.can_retry(NOW, call));
    core.on_attempt_finished(NOW, call, AttemptOutcome::Silent);
    match core.dispatch(NOW, call) {
        DispatchStep::Send(attempt) => assert_ne!(attempt.target, first),
        step => panic!("{step:?}"),
    }
}
