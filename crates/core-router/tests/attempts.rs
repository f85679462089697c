//! Outcomes of superseded attempts are dropped; answers of claimed operations are recorded before
//! delivery and after the deadline.

use base_types::{
    AccountName, AttemptKey, ContentDigest, FailureDomainName, HostName, IncomingRequest,
    OperationName, PoolName, RequestKey, RouteName, RowVersion, TimePoint, UnknownCode, test_cases,
};
use bytes::Bytes;
use core_router::{
    AttemptOutcome, ClaimOutcome, Effect, Event, HostEntry, HostRole, HostState, RequestStep,
    RouterCore, StoredAnswer,
};
use state_tables::{RowChange, RowContent, RowKey, TableFile};

const REQUEST: RequestKey = RequestKey(1);
const NOW: TimePoint = TimePoint(1_000_000);
const TABLES: &str = r#"
[[pool]]
name = "pool"
team = "team"
group = "group"
kind = "service"
repeatable = REPEATABLE

[[route]]
name = "route"
team = "team"
path = "/"
pool = "pool"
"#;

fn core(repeatable: bool) -> RouterCore {
    let mut core = RouterCore::new(HostName::new("router-0"), 7);
    let mut file =
        TableFile::parse(&TABLES.replace("REPEATABLE", &repeatable.to_string())).unwrap();
    let change =
        |key, content| Event::RowReceived(RowChange { key, version: RowVersion(1), content });
    let hosts = (0..3).map(|index| HostEntry {
        name: HostName::new(&format!("target-{index}")),
        role: HostRole::Target,
        group: "group".into(),
        address: format!("127.0.0.1:{index}").into(),
        peer: None,
        failure_domain: FailureDomainName::new("domain"),
        state: HostState::Live,
    });
    let events = [
        change(RowKey::Pool(PoolName::new("pool")), RowContent::Pool(file.pools.remove(0))),
        change(RowKey::Route(RouteName::new("route")), RowContent::Route(file.routes.remove(0))),
        Event::HostsListed(hosts.collect()),
        Event::TablesComplete,
    ];
    for event in events {
        core.on_event(TimePoint(0), event);
    }
    core
}

fn arrive(core: &mut RouterCore) -> Vec<Effect> {
    let incoming = IncomingRequest {
        request: REQUEST,
        path: "/".into(),
        account: AccountName::new("counter"),
        chat: None,
        is_first_turn: false,
        placement: None,
        operation: Some(OperationName::new("payment")),
        content_digest: ContentDigest(1),
        prompt_prefix: Bytes::new(),
        estimated_tokens: 1,
        deadline: TimePoint(5_000_000),
    };
    core.on_event(NOW, Event::Arrived(incoming))
}

fn find_attempt(effects: &[Effect]) -> Option<AttemptKey> {
    effects.iter().find_map(|effect| match effect {
        Effect::Step(_, RequestStep::Send { attempt, .. }) => Some(*attempt),
        _ => None,
    })
}

fn expect_attempt(effects: &[Effect]) -> AttemptKey {
    find_attempt(effects).unwrap_or_else(|| panic!("no attempt was sent: {effects:?}"))
}

/// Fires timers until the retry is sent, which is delayed while the content is suspect.
fn wait_for_retry(core: &mut RouterCore) -> AttemptKey {
    for _ in 0..100 {
        let effects = core.on_event(core.next_deadline(), Event::TimerFired);
        if let Some(attempt) = find_attempt(&effects) {
            return attempt;
        }
    }
    panic!("no retry was sent");
}

fn answer() -> StoredAnswer {
    StoredAnswer { status: 200, content_type: "text/plain".into(), body: Bytes::from_static(b"a") }
}

/// Applies an event and returns its effects, without notices to other routers.
fn request_effects(core: &mut RouterCore, now: TimePoint, event: Event) -> Vec<Effect> {
    let mut effects = core.on_event(now, event);
    effects.retain(|effect| !matches!(effect, Effect::Broadcast(_)));
    effects
}

fn end_attempt(core: &mut RouterCore, attempt: AttemptKey, outcome: AttemptOutcome) -> Vec<Effect> {
    request_effects(core, NOW, Event::AttemptEnded(REQUEST, attempt, outcome))
}

/// Loses the first attempt, sends a retry, and then reports another outcome of the first attempt,
/// which must be dropped.
fn check_superseded_attempt(late_outcome: AttemptOutcome) {
    let mut core = core(true);
    let first = expect_attempt(&arrive(&mut core));
    let first_outcome = AttemptOutcome::LostBeforeAnswer(UnknownCode::TargetLost);
    let effects = end_attempt(&mut core, first, first_outcome);
    let second = find_attempt(&effects).unwrap_or_else(|| wait_for_retry(&mut core));
    assert_ne!(first, second);
    assert_eq!(end_attempt(&mut core, first, late_outcome), []);
    assert_eq!(core.status().requests, 1);
    end_attempt(&mut core, second, AttemptOutcome::Completed(None));
    assert_eq!(core.status().requests, 0);
}

test_cases! {
    check_superseded_attempt:
    a_late_complete_answer_is_dropped(AttemptOutcome::Completed(None));
    a_late_loss_is_dropped(AttemptOutcome::LostBeforeAnswer(UnknownCode::TargetLost));
    a_late_answer_cut_is_dropped(AttemptOutcome::LostDuringAnswer);
}

fn claim_and_send(core: &mut RouterCore) -> AttemptKey {
    arrive(core);
    expect_attempt(&core.on_event(NOW, Event::ClaimAnswered(REQUEST, ClaimOutcome::Granted)))
}

#[test]
fn an_answer_is_recorded_before_it_is_delivered() {
    let mut core = core(false);
    let attempt = claim_and_send(&mut core);
    let effects = end_attempt(&mut core, attempt, AttemptOutcome::Completed(Some(answer())));
    assert!(matches!(effects[..], [Effect::Complete(REQUEST, ..)]), "{effects:?}");
    let effects = request_effects(&mut core, NOW, Event::AnswerRecorded(REQUEST));
    assert_eq!(effects, [Effect::Step(REQUEST, RequestStep::Deliver(answer()))]);
}

#[test]
fn an_answer_that_is_not_recorded_in_time_is_delivered_anyway() {
    let mut core = core(false);
    let attempt = claim_and_send(&mut core);
    end_attempt(&mut core, attempt, AttemptOutcome::Completed(Some(answer())));
    let effects = request_effects(&mut core, TimePoint(2_000_000), Event::TimerFired);
    assert_eq!(effects, [Effect::Step(REQUEST, RequestStep::Deliver(answer()))]);
}

#[test]
fn a_caller_that_leaves_before_its_claim_is_confirmed_releases_it() {
    let mut core = core(false);
    arrive(&mut core);
    let effects = request_effects(&mut core, NOW, Event::CallerDisconnected(REQUEST));
    assert!(effects.iter().any(|effect| matches!(effect, Effect::Release(_))), "{effects:?}");
    assert_eq!(
        request_effects(&mut core, NOW, Event::ClaimAnswered(REQUEST, ClaimOutcome::Granted)),
        []
    );
}

#[test]
fn a_late_answer_of_an_operation_is_recorded_after_its_callers_deadline() {
    let mut core = core(false);
    let attempt = claim_and_send(&mut core);
    let refusal = request_effects(&mut core, TimePoint(5_000_000), Event::TimerFired);
    assert!(matches!(refusal[..], [Effect::Step(REQUEST, RequestStep::Refuse(_))]), "{refusal:?}");
    let effects = end_attempt(&mut core, attempt, AttemptOutcome::Completed(Some(answer())));
    assert!(matches!(effects[..], [Effect::Complete(REQUEST, ..)]), "{effects:?}");
    assert_eq!(core.status().requests, 0);
}
