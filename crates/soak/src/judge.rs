//! The promises, judged from what callers, runners and probes saw.

use std::{collections::BTreeMap, fmt, time::Duration};

use fakes::{Reply, ServedCall};
use tokio::time::Instant;

use crate::{
    plan::{
        ACCOUNT, ATTEMPTS, CALM_BEFORE, CONFIG_BOUND, CallKind, DRAIN_BOUND, EVENTS, RETRY_RATIO,
        RETRY_SLACK, RETRY_WINDOW,
    },
    record::{CallEnd, CallRecord, FaultScope},
    run::{ProbeEnd, SoakWorld},
};

/// Time after which a call that was read counts as lost when its connection ends.
const LOSS_SLACK: Duration = Duration::from_millis(200);
/// Time that a send may have been on its way before a bound.
const SEND_SLACK: Duration = Duration::from_millis(100);

/// A promise that was broken.
#[derive(Debug, Clone)]
pub struct Broken {
    rule: &'static str,
    what: Box<str>,
}

impl Broken {
    pub(crate) fn new(rule: &'static str, what: impl Into<Box<str>>) -> Self {
        Self { rule, what: what.into() }
    }
}

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.rule, self.what)
    }
}

/// A call at a runner.
#[derive(Debug)]
struct RunnerCall {
    runner: usize,
    served: ServedCall,
}

type ServedBook = BTreeMap<Box<str>, Vec<RunnerCall>>;

/// All promises that were broken.
pub(crate) fn judge(world: &SoakWorld) -> Vec<Broken> {
    let mut broken = world.broken.borrow().clone();
    let served = served_by_id(world);
    for call in world.calls.borrow().iter() {
        let runs = served.get(&call.id).map_or(&[][..], Vec::as_slice);
        let faults = judge_call(world, call, runs);
        broken.extend(faults.into_iter().map(|(rule, what)| {
            let told = world.book.borrow().told(call.sent - CALM_BEFORE, call.ended);
            let replies: Vec<Reply> = runs.iter().map(|run| run.served.reply).collect();
            Broken::new(rule, format!("{what}: {call:?} replies {replies:?} faults [{told}]"))
        }));
    }
    judge_headers(&served, &mut broken);
    judge_drains(world, &served, &mut broken);
    judge_versions(world, &mut broken);
    judge_budget(world, &served, &mut broken);
    broken
}

fn served_by_id(world: &SoakWorld) -> ServedBook {
    let mut book = ServedBook::new();
    for (runner, soak_runner) in world.runners.borrow().iter().enumerate() {
        for served in soak_runner.stand_in.served() {
            let id = served.message.header("attempt-id").unwrap_or("").into();
            book.entry(id).or_default().push(RunnerCall { runner, served });
        }
    }
    book
}

type CallFaults = Vec<(&'static str, &'static str)>;

fn judge_call(world: &SoakWorld, call: &CallRecord, runs: &[RunnerCall]) -> CallFaults {
    let mut faults = CallFaults::new();
    let ran = runs.iter().filter(|run| run.served.reply.ran()).count();
    if ran > 1 && !call.kind.repeatable() {
        faults.push(("TWICE", "ran more than once"));
    }
    if runs.len() > ATTEMPTS {
        faults.push(("BUDGET", "reached more runners than its route allows"));
    }
    if let CallEnd::Answered { status, .. } = &call.end {
        match status {
            408 | 421 | 429 | 503 if ran > 0 => faults.push(("REFUSED", "refused though it ran")),
            300..=499 if ![408, 421, 429].contains(status) => {
                faults.push(("DENIED", "denied though it is proper"));
            }
            200 if !call.is_served() => faults.push(("MIXED", "not the runner's whole answer")),
            _ => {}
        }
    }
    if is_lost(world, call, runs) {
        faults.push(("LOST", "cut around a planned stop"));
    }
    let calm = !world.book.borrow().any(call.sent - CALM_BEFORE, call.ended, |_| true);
    if calm && runs.iter().all(|run| is_fine(run.served.reply)) && !call.is_served() {
        faults.push(("FAILED", "not served though nothing was wrong"));
    }
    faults
}

/// Whether a call that a sound runner had, or that was read, ended without an answer although
/// nothing but an order to stop disturbed its gateway.
fn is_lost(world: &SoakWorld, call: &CallRecord, runs: &[RunnerCall]) -> bool {
    if !matches!(call.end, CallEnd::Closed | CallEnd::CutShort) {
        return false;
    }
    let unplanned = |scope| match scope {
        FaultScope::Gateway(index) => index == call.gateway,
        FaultScope::Stop(_) => false,
        FaultScope::Store => true,
        FaultScope::Runner(index) => runs.iter().any(|run| run.runner == index),
    };
    let disturbed = world.book.borrow().any(call.sent - CALM_BEFORE, call.ended, unplanned);
    let read = !runs.is_empty() || call.ended - call.sent > LOSS_SLACK;
    !disturbed && read && runs.iter().all(|run| is_fine(run.served.reply))
}

/// Whether a runner answered a call as it should.
fn is_fine(reply: Reply) -> bool {
    matches!(reply, Reply::Whole | Reply::Unframed | Reply::Extra | Reply::Events(EVENTS))
}

impl CallRecord {
    /// Whether the caller had the whole answer to its own call.
    pub(crate) fn is_served(&self) -> bool {
        let CallEnd::Answered { status: 200, id, signed, body } = &self.end else { return false };
        let whole = match self.kind {
            CallKind::Once | CallKind::Safe => format!("answer to {}", self.id),
            CallKind::Stream | CallKind::Resume => {
                (1..=EVENTS).map(|event| format!("id: {event}\ndata: event {event}\n\n")).collect()
            }
        };
        *signed && *id == self.id && **body == *whole
    }
}

/// Runners see the account's name in place of the key, and the call as it was sent.
fn judge_headers(served: &ServedBook, broken: &mut Vec<Broken>) {
    for run in served.values().flatten() {
        let message = &run.served.message;
        let own = message.header("tenant") == Some(ACCOUNT)
            && message.header("authorization").is_none()
            && message.body == b"body"
            && message.method() == "POST";
        if !own {
            broken.push(Broken::new("UNASKED", format!("a runner had {message:?}")));
        }
    }
}

fn judge_drains(world: &SoakWorld, served: &ServedBook, broken: &mut Vec<Broken>) {
    let gateways: BTreeMap<Box<str>, usize> =
        world.calls.borrow().iter().map(|call| (call.id.clone(), call.gateway)).collect();
    let left: Vec<Option<Instant>> =
        world.runners.borrow().iter().map(|runner| runner.left).collect();
    for (id, run) in served.iter().flat_map(|(id, runs)| runs.iter().map(move |run| (id, run))) {
        let (Some(left), Some(gateway)) = (left[run.runner], gateways.get(id)) else { continue };
        let late = run.served.at > left + DRAIN_BOUND + SEND_SLACK;
        if late && !world.disturbed(*gateway, left - CALM_BEFORE, run.served.at) {
            let after = run.served.at - left;
            broken
                .push(Broken::new("DRAIN", format!("call {id} from g-{gateway} after {after:?}")));
        }
    }
}

fn judge_versions(world: &SoakWorld, broken: &mut Vec<Broken>) {
    let versions = world.versions.borrow();
    let mut seen: BTreeMap<(usize, u32), u64> = BTreeMap::new();
    for probe in world.probes.borrow().iter() {
        let Some(index) = versions.iter().position(|(version, _)| *version == probe.version) else {
            continue;
        };
        let former = seen.entry((probe.gateway, probe.starts)).or_default();
        if probe.end == ProbeEnd::InForce {
            *former = (*former).max(probe.version);
        }
        // The next version takes the probed route away.
        let replaced = versions.get(index + 1).is_some_and(|(_, at)| *at <= probe.ended);
        if probe.end != ProbeEnd::Missing || replaced {
            continue;
        }
        let (_, written) = versions[index];
        let due = written + CONFIG_BOUND < probe.sent;
        let calm = !world.disturbed(probe.gateway, written - CALM_BEFORE, probe.ended);
        if *former >= probe.version {
            broken.push(Broken::new("CONFIG", format!("a version was taken back: {probe:?}")));
        } else if due && calm {
            let age = probe.sent - written;
            broken.push(Broken::new("CONFIG", format!("not in force after {age:?}: {probe:?}")));
        }
    }
}

/// Repeats within any window keep to the ratio of calls and the slack.
fn judge_budget(world: &SoakWorld, served: &ServedBook, broken: &mut Vec<Broken>) {
    let sent: Vec<Instant> = world.calls.borrow().iter().map(|call| call.sent).collect();
    let mut repeats: Vec<Instant> = Vec::new();
    for runs in served.values() {
        let mut times: Vec<Instant> = runs.iter().map(|run| run.served.at).collect();
        times.sort();
        repeats.extend(times.into_iter().skip(1));
    }
    let within = |times: &[Instant], end: Instant| {
        times.iter().filter(|at| **at <= end && end - RETRY_WINDOW < **at).count()
    };
    for end in &repeats {
        let windows = [Duration::ZERO, RETRY_WINDOW / 2, RETRY_WINDOW];
        let calls = windows.map(|back| within(&sent, *end - back));
        let calls = calls.into_iter().max().unwrap_or(0);
        let allowed = (calls as f64 * RETRY_RATIO) as usize + RETRY_SLACK;
        let count = within(&repeats, *end);
        if count > allowed {
            broken.push(Broken::new("BUDGET", format!("{count} repeats, {allowed} allowed")));
        }
    }
}

impl SoakWorld {
    /// Whether a fault or an order to stop disturbed a gateway, or a fault the store, in a span.
    fn disturbed(&self, gateway: usize, from: Instant, to: Instant) -> bool {
        let disturbs = |scope| {
            matches!(scope, FaultScope::Store)
                || scope == FaultScope::Gateway(gateway)
                || scope == FaultScope::Stop(gateway)
        };
        self.book.borrow().any(from, to, disturbs)
    }
}
