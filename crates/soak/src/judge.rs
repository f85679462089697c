//! Checks of the guarantees against the records of callers, runners and probes.

use std::{collections::BTreeMap, fmt, time::Duration};

use fakes::{ReceivedCall, Reply};
use tokio::time::Instant;

use crate::{
    plan::{
        ACCOUNT, ATTEMPTS, CONFIG_BOUND, CallKind, DRAIN_BOUND, EVENTS, FAULT_FREE_TIME,
        RETRY_RATIO, RETRY_SLACK, RETRY_WINDOW,
    },
    record::{CallRecord, FaultScope, Outcome, ResumptionRecord},
    run::{ProbeOutcome, SoakCluster},
};

/// A call whose connection closes later than this after it was sent counts as read by its gateway,
/// also when no runner received the call.
const ASSUMED_READ_AFTER: Duration = Duration::from_millis(200);
/// Time that an attempt may be in transit before a runner reads it.
const IN_TRANSIT_SLACK: Duration = Duration::from_millis(100);

/// Number of calls that resume a stream from which the share of those that continue it is judged.
const RESUMPTIONS_MIN: usize = 12;

/// A guarantee that was violated in a soak.
#[derive(Debug, Clone)]
pub struct Violation {
    rule: &'static str,
    detail: Box<str>,
}

impl Violation {
    pub(crate) fn new(rule: &'static str, detail: impl Into<Box<str>>) -> Self {
        Self { rule, detail: detail.into() }
    }
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.rule, self.detail)
    }
}

/// A call as one runner received it.
#[derive(Debug)]
struct RunnerCall {
    runner: usize,
    received: ReceivedCall,
}

type ReceivedCalls = BTreeMap<Box<str>, Vec<RunnerCall>>;

/// Returns every violation of a guarantee.
pub(crate) fn find_violations(cluster: &SoakCluster) -> Vec<Violation> {
    let mut violations = cluster.violations.borrow().clone();
    let received = received_by_id(cluster);
    for call in cluster.calls.borrow().iter() {
        let attempts = received.get(&call.id).map_or(&[][..], Vec::as_slice);
        let found = check_call(cluster, call, attempts);
        violations.extend(found.into_iter().map(|(rule, detail)| {
            let active_faults =
                cluster.fault_log.borrow().describe(call.sent - FAULT_FREE_TIME, call.ended);
            let replies: Vec<Reply> =
                attempts.iter().map(|attempt| attempt.received.reply).collect();
            Violation::new(
                rule,
                format!("{detail}: {call:?} replies {replies:?} faults [{active_faults}]"),
            )
        }));
    }
    check_headers(&received, &mut violations);
    check_drains(cluster, &received, &mut violations);
    check_announcements(cluster, &received, &mut violations);
    check_streams(cluster, &mut violations);
    check_versions(cluster, &mut violations);
    check_retry_budget(cluster, &received, &mut violations);
    violations
}

fn received_by_id(cluster: &SoakCluster) -> ReceivedCalls {
    let mut received_calls = ReceivedCalls::new();
    for (runner, soak_runner) in cluster.runners.borrow().iter().enumerate() {
        for received in soak_runner.stand_in.received_calls() {
            let id = received.message.header("attempt-id").unwrap_or("").into();
            received_calls.entry(id).or_default().push(RunnerCall { runner, received });
        }
    }
    received_calls
}

type CallFindings = Vec<(&'static str, &'static str)>;

fn check_call(cluster: &SoakCluster, call: &CallRecord, attempts: &[RunnerCall]) -> CallFindings {
    let mut found = CallFindings::new();
    let executed = attempts.iter().filter(|attempt| attempt.received.reply.ran()).count();
    if executed > 1 && !call.kind.is_retryable() {
        found.push(("TWICE", "executed more than once"));
    }
    if attempts.len() > ATTEMPTS {
        found.push(("BUDGET", "more attempts than its route allows"));
    }
    if let Outcome::Answered { status, .. } = &call.end {
        match status {
            408 | 421 | 429 | 503 if executed > 0 => {
                found.push(("REFUSED", "refused although a runner executed it"))
            }
            300..=499 if ![408, 421, 429].contains(status) => {
                found.push(("DENIED", "denied although the request is valid"));
            }
            200 if !call.is_served() => {
                found.push(("MIXED", "not the complete answer of the runner to this call"))
            }
            _ => {}
        }
    }
    if is_lost(cluster, call, attempts) {
        found.push(("LOST", "no complete answer although at most a planned stop was in progress"));
    }
    let undisturbed =
        !cluster.fault_log.borrow().any_active(call.sent - FAULT_FREE_TIME, call.ended, |_| true);
    if undisturbed
        && attempts.iter().all(|attempt| is_success(attempt.received.reply))
        && !call.is_served()
    {
        found.push(("FAILED", "not served although no fault was active"));
    }
    found
}

/// Whether a call ended without a complete answer although its gateway read it, no runner failed
/// it, and no unplanned fault of the gateway, the store or the runners of its attempts was active.
fn is_lost(cluster: &SoakCluster, call: &CallRecord, attempts: &[RunnerCall]) -> bool {
    if !matches!(call.end, Outcome::Closed | Outcome::CutShort) {
        return false;
    }
    let is_unplanned = |scope| match scope {
        FaultScope::Gateway(index) => index == call.gateway,
        FaultScope::Stop(_) => false,
        FaultScope::Store => true,
        FaultScope::Runner(index) => attempts.iter().any(|attempt| attempt.runner == index),
    };
    let disturbed = cluster.fault_log.borrow().any_active(
        call.sent - FAULT_FREE_TIME,
        call.ended,
        is_unplanned,
    );
    let read = !attempts.is_empty() || call.ended - call.sent > ASSUMED_READ_AFTER;
    !disturbed && read && attempts.iter().all(|attempt| is_success(attempt.received.reply))
}

/// Whether a reply lets the gateway answer the call with success.
fn is_success(reply: Reply) -> bool {
    matches!(reply, Reply::Whole | Reply::Unframed | Reply::Extra | Reply::Events(EVENTS))
}

impl CallRecord {
    /// Whether the caller received the complete, signed answer to its own call.
    pub(crate) fn is_served(&self) -> bool {
        let Outcome::Answered { status: 200, id, signed, body } = &self.end else { return false };
        let expected = match self.kind {
            CallKind::Once | CallKind::Safe => format!("answer to {}", self.id),
            CallKind::Stream | CallKind::Resume => {
                (1..=EVENTS).map(|event| format!("id: {event}\ndata: event {event}\n\n")).collect()
            }
        };
        *signed && *id == self.id && **body == *expected
    }
}

/// Checks that runners receive the account name in place of the API key, and otherwise the call as
/// the caller sent it.
fn check_headers(received: &ReceivedCalls, violations: &mut Vec<Violation>) {
    for attempt in received.values().flatten() {
        let message = &attempt.received.message;
        let is_expected = message.header("tenant") == Some(ACCOUNT)
            && message.header("authorization").is_none()
            && message.body == b"body"
            && message.method() == "POST";
        if !is_expected {
            violations.push(Violation::new("UNASKED", format!("a runner received {message:?}")));
        }
    }
}

/// Checks that a draining runner gets no call once the drain bound has passed, except from gateways
/// with a fault since shortly before the drain. Calls of probes are not checked.
fn check_drains(cluster: &SoakCluster, received: &ReceivedCalls, violations: &mut Vec<Violation>) {
    let senders: BTreeMap<Box<str>, usize> =
        cluster.calls.borrow().iter().map(|call| (call.id.clone(), call.gateway)).collect();
    let drains: Vec<Option<Instant>> =
        cluster.runners.borrow().iter().map(|runner| runner.drain_started_at).collect();
    for (id, call) in
        received.iter().flat_map(|(id, calls)| calls.iter().map(move |call| (id, call)))
    {
        let (Some(drain), Some(gateway)) = (drains[call.runner], senders.get(id)) else { continue };
        let late = call.received.at > drain + DRAIN_BOUND + IN_TRANSIT_SLACK;
        if late && !cluster.disturbed(*gateway, drain - FAULT_FREE_TIME, call.received.at) {
            let after = call.received.at - drain;
            violations.push(Violation::new(
                "DRAIN",
                format!("call {id} from g-{gateway} after {after:?}"),
            ));
        }
    }
}

/// Checks that a runner gets no call from a gateway that passed on its announcement that it leaves, if
/// the caller sent the call later than the drain bound after that. A stop or fault of the gateway since
/// then excuses the call; faults of the store do not.
fn check_announcements(
    cluster: &SoakCluster,
    received: &ReceivedCalls,
    violations: &mut Vec<Violation>,
) {
    let calls = cluster.calls.borrow();
    let runners = cluster.runners.borrow();
    let mut announced_at: BTreeMap<(usize, &str), Instant> = BTreeMap::new();
    for call in calls.iter() {
        if let Some(runner) = &call.leaving_runner {
            let at = announced_at.entry((call.gateway, runner)).or_insert(call.ended);
            *at = call.ended.min(*at);
        }
    }
    for call in calls.iter() {
        for attempt in received.get(&call.id).into_iter().flatten() {
            let runner = &*runners[attempt.runner].stand_in.id;
            let Some(at) = announced_at.get(&(call.gateway, runner)) else { continue };
            let restarts = |scope| {
                scope == FaultScope::Gateway(call.gateway)
                    || scope == FaultScope::Stop(call.gateway)
            };
            let excused = cluster.fault_log.borrow().any_active(*at, attempt.received.at, restarts);
            if call.sent > *at + DRAIN_BOUND && !excused {
                let (id, gateway, after) = (&call.id, call.gateway, attempt.received.at - *at);
                let detail = format!(
                    "call {id} from g-{gateway} {after:?} after it passed on an announcement"
                );
                violations.push(Violation::new("DRAIN", detail));
            }
        }
    }
}

/// Checks that each stream holds its events in order and from one software version, and that enough of
/// the streams that callers resume at undisturbed gateways continue.
fn check_streams(cluster: &SoakCluster, violations: &mut Vec<Violation>) {
    let streams = cluster.streams.borrow();
    for stream in streams.iter() {
        let in_order = stream.events.iter().zip(1..).all(|(event, expected)| *event == expected);
        if stream.software.len() > 1 || !in_order {
            violations.push(Violation::new("ORDER", format!("{stream:?}")));
        }
    }
    let resumptions: Vec<&ResumptionRecord> = streams
        .iter()
        .flat_map(|stream| &stream.resumptions)
        .filter(|call| !cluster.disturbed(call.gateway, call.sent - FAULT_FREE_TIME, call.ended))
        .collect();
    let continued = resumptions.iter().filter(|call| call.continued).count();
    if resumptions.len() >= RESUMPTIONS_MIN && continued * 2 < resumptions.len() {
        let statuses: Vec<u16> = resumptions.iter().map(|call| call.status).collect();
        let detail = format!("{continued} resumed streams continued, statuses {statuses:?}");
        violations.push(Violation::new("LOST", detail));
    }
}

/// Checks that a version is in force in time, and that a gateway process never goes back to an
/// older one.
fn check_versions(cluster: &SoakCluster, violations: &mut Vec<Violation>) {
    let versions = cluster.versions.borrow();
    let mut highest_in_force: BTreeMap<(usize, u32), u64> = BTreeMap::new();
    for probe in cluster.probes.borrow().iter() {
        let Some(index) = versions.iter().position(|(version, _)| *version == probe.version) else {
            continue;
        };
        let highest = highest_in_force.entry((probe.gateway, probe.starts)).or_default();
        if probe.end == ProbeOutcome::InForce {
            *highest = (*highest).max(probe.version);
        }
        // The next version removes the probed route.
        let replaced = versions.get(index + 1).is_some_and(|(_, at)| *at <= probe.ended);
        if probe.end != ProbeOutcome::Missing || replaced {
            continue;
        }
        let (_, written) = versions[index];
        let overdue = written + CONFIG_BOUND < probe.sent;
        let undisturbed = !cluster.disturbed(probe.gateway, written - FAULT_FREE_TIME, probe.ended);
        if *highest >= probe.version {
            violations.push(Violation::new(
                "CONFIG",
                format!("a version in force was reverted: {probe:?}"),
            ));
        } else if overdue && undisturbed {
            let age = probe.sent - written;
            violations
                .push(Violation::new("CONFIG", format!("not in force after {age:?}: {probe:?}")));
        }
    }
}

/// Checks that the retries in the window before each retry do not exceed the slack plus the ratio
/// of the calls in that window, or in one shifted back by half a window or a full one.
fn check_retry_budget(
    cluster: &SoakCluster,
    received: &ReceivedCalls,
    violations: &mut Vec<Violation>,
) {
    let sent: Vec<Instant> = cluster.calls.borrow().iter().map(|call| call.sent).collect();
    let mut retries: Vec<Instant> = Vec::new();
    for attempts in received.values() {
        let mut times: Vec<Instant> = attempts.iter().map(|attempt| attempt.received.at).collect();
        times.sort();
        retries.extend(times.into_iter().skip(1));
    }
    let within = |times: &[Instant], end: Instant| {
        times.iter().filter(|at| **at <= end && end - RETRY_WINDOW < **at).count()
    };
    for end in &retries {
        let windows = [Duration::ZERO, RETRY_WINDOW / 2, RETRY_WINDOW];
        let calls = windows.map(|shift| within(&sent, *end - shift));
        let calls = calls.into_iter().max().unwrap_or(0);
        let allowed = (calls as f64 * RETRY_RATIO) as usize + RETRY_SLACK;
        let count = within(&retries, *end);
        if count > allowed {
            violations
                .push(Violation::new("BUDGET", format!("{count} retries, {allowed} allowed")));
        }
    }
}

impl SoakCluster {
    /// Whether a fault or planned stop of a gateway, or a fault of the store, was active in an
    /// interval.
    fn disturbed(&self, gateway: usize, from: Instant, to: Instant) -> bool {
        let disturbs = |scope| {
            matches!(scope, FaultScope::Store)
                || scope == FaultScope::Gateway(gateway)
                || scope == FaultScope::Stop(gateway)
        };
        self.fault_log.borrow().any_active(from, to, disturbs)
    }
}
