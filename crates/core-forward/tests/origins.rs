//! Streams that callers resume at other routers continue at the software version that began them.

#[path = "support/fixture.rs"]
mod fixture;
#[path = "support/heartbeats.rs"]
mod heartbeats;

use std::time::Duration;

use base_types::{ContentDigest, NotRunCode, Refusal, TimePoint, test_cases};
use core_forward::{
    CallKey, DispatchStep, ForwardCore, OriginNotice, SoftwareKey, StreamResumption, TargetEntry,
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use state_config::RetryRule;

use fixture::{call_head, new_router, target_entry, target_index};
use heartbeats::HeartbeatPlan;

const STEP: Duration = Duration::from_millis(5);
const RUN_TIME: Duration = Duration::from_secs(20);
const TARGETS: usize = 9;
const FIRST_EVENT_DELAY: Duration = Duration::from_millis(200);
/// Longest time from the first event of a stream until it breaks off.
const BREAK_DELAY_MS_MAX: u64 = 1_500;
/// Time after which a caller whose stream broke off returns.
const RETURN_DELAY: Duration = Duration::from_millis(10);
/// Share of the resumed streams that must continue, as required by the users.
const SHARE_MIN: f64 = 0.5;

/// Even targets run one version, odd ones another.
fn versioned_entry(index: usize) -> TargetEntry {
    let software_version = if index.is_multiple_of(2) { "v1" } else { "v2" };
    TargetEntry { software_version: software_version.into(), ..target_entry(index, 1) }
}

fn new_listed_router(now: TimePoint, index: u16, incarnation: u64) -> ForwardCore {
    let mut core = new_router(now, index, incarnation, RetryRule::ResumableStream);
    core.list_targets(now, (0..TARGETS).map(versioned_entry).collect());
    core.on_platform_responded(now);
    core
}

/// Admits a call that begins a stream, or resumes the one that the call `origin` began.
fn admit(core: &mut ForwardCore, now: TimePoint, id: u64, origin: Option<u64>) -> CallKey {
    let mut head = call_head(now, id, None);
    let named = |origin: u64| StreamResumption { origin: Some(origin.to_string().into()) };
    head.resumption = origin.map(named);
    core.admit(now, head, ContentDigest(u128::from(id))).expect("admitted").call
}

/// Index of the target that a call is sent to, or the refusal's code and time to return.
fn dispatch(
    core: &mut ForwardCore,
    now: TimePoint,
    call: CallKey,
) -> Result<usize, (NotRunCode, TimePoint)> {
    match core.dispatch(now, call) {
        DispatchStep::Send(attempt) => Ok(target_index(attempt.address)),
        DispatchStep::Refuse(Refusal::NotRun(code, retry_at)) => Err((code, retry_at)),
        step => panic!("{step:?}"),
    }
}

fn send(
    core: &mut ForwardCore,
    now: TimePoint,
    id: u64,
    origin: Option<u64>,
) -> Result<(CallKey, usize), (NotRunCode, TimePoint)> {
    let call = admit(core, now, id, origin);
    Ok((call, dispatch(core, now, call)?))
}

#[derive(Debug, Clone, Copy)]
struct FleetPlan {
    routers: u16,
    streams_per_s: f64,
    heartbeats: HeartbeatPlan,
    /// Whether the router of each stream restarts when the stream breaks off, and restores a snapshot.
    restarts: bool,
}

#[derive(Debug, Clone, Copy)]
enum StreamPhase {
    Begun {
        call: CallKey,
        first_event_at: TimePoint,
    },
    Running {
        call: CallKey,
        breaks_at: TimePoint,
    },
    Broken {
        returns_at: TimePoint,
        returned: bool,
    },
    /// Taken up at a router that waits for the origin.
    Waiting {
        router: usize,
        start: u64,
        call: CallKey,
        until: TimePoint,
        returned: bool,
    },
}

#[derive(Debug, Clone, Copy)]
struct Stream {
    id: u64,
    router: usize,
    /// Start of the router through which the stream began.
    start: u64,
    target: usize,
    phase: StreamPhase,
}

#[derive(Debug, Default)]
struct FleetRecord {
    resumed: u32,
    continued: u32,
}

#[derive(Debug)]
struct FleetSim {
    plan: FleetPlan,
    random: StdRng,
    now: TimePoint,
    routers: Vec<ForwardCore>,
    /// Number of the latest start of each router.
    starts: Vec<u64>,
    streams: Vec<Stream>,
    next_id: u64,
    record: FleetRecord,
}

impl FleetSim {
    fn play(plan: FleetPlan, seed: u64) -> FleetRecord {
        let now = TimePoint(0);
        let mut sim = Self {
            plan,
            random: StdRng::seed_from_u64(seed),
            now,
            routers: (0..plan.routers).map(|index| new_listed_router(now, index, 1)).collect(),
            starts: vec![1; plan.routers.into()],
            streams: Vec::new(),
            next_id: 0,
            record: FleetRecord::default(),
        };
        let mut due_streams = 0.0;
        for step in 0..(RUN_TIME.as_micros() / STEP.as_micros()) as u64 {
            sim.now = now.after(STEP * step as u32);
            let current = sim.now;
            sim.routers.iter_mut().for_each(|core| core.on_platform_responded(current));
            due_streams += plan.streams_per_s * STEP.as_secs_f64();
            while due_streams >= 1.0 {
                due_streams -= 1.0;
                sim.begin();
            }
            sim.progress();
            plan.heartbeats.exchange(sim.now, step, &mut sim.routers, &mut sim.random);
        }
        sim.record
    }

    fn new_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    fn random_router(&mut self) -> usize {
        self.random.random_range(0..self.routers.len())
    }

    fn begin(&mut self) {
        let (id, router) = (self.new_id(), self.random_router());
        let (call, target) = send(&mut self.routers[router], self.now, id, None).expect("sent");
        let first_event_at = self.now.after(FIRST_EVENT_DELAY);
        let phase = StreamPhase::Begun { call, first_event_at };
        self.streams.push(Stream { id, router, start: self.starts[router], target, phase });
    }

    fn progress(&mut self) {
        for stream in std::mem::take(&mut self.streams) {
            if let Some(stream) = self.advance(stream) {
                self.streams.push(stream);
            }
        }
    }

    /// Advances a stream; `None` once it is over.
    fn advance(&mut self, mut stream: Stream) -> Option<Stream> {
        let now = self.now;
        let is_begun =
            matches!(stream.phase, StreamPhase::Begun { .. } | StreamPhase::Running { .. });
        if is_begun && stream.start != self.starts[stream.router] {
            return None;
        }
        match stream.phase {
            StreamPhase::Begun { call, first_event_at } if first_event_at.passed(now) => {
                self.routers[stream.router].on_first_event(now, call);
                let break_delay = self.random.random_range(0..BREAK_DELAY_MS_MAX);
                let breaks_at = now.after(Duration::from_millis(break_delay));
                stream.phase = StreamPhase::Running { call, breaks_at };
            }
            StreamPhase::Running { call, breaks_at } if breaks_at.passed(now) => {
                self.routers[stream.router].finish(call);
                let phase =
                    StreamPhase::Broken { returns_at: now.after(RETURN_DELAY), returned: false };
                stream.phase = phase;
            }
            StreamPhase::Broken { returns_at, returned } if returns_at.passed(now) => {
                stream.phase = self.resume(&stream, returned);
            }
            StreamPhase::Waiting { router, start, .. } if start != self.starts[router] => {
                return None;
            }
            StreamPhase::Waiting { router, call, until, returned, .. } => {
                let is_awaited = self.routers[router].origin_deadline(now, call).is_some();
                if until.passed(now) || !is_awaited {
                    stream.phase = self.continue_stream(&stream, router, call, returned)?;
                }
            }
            _ => {}
        }
        Some(stream)
    }

    /// Resumes a stream at a random router.
    fn resume(&mut self, stream: &Stream, returned: bool) -> StreamPhase {
        let (id, router) = (self.new_id(), self.random_router());
        if self.plan.restarts && !returned {
            self.restart(stream.router);
        }
        self.record.resumed += u32::from(!returned);
        let now = self.now;
        let call = admit(&mut self.routers[router], now, id, Some(stream.id));
        let until = self.routers[router].origin_deadline(now, call).unwrap_or(now);
        let start = self.starts[router];
        StreamPhase::Waiting { router, start, call, until, returned }
    }

    /// Dispatches a call that resumes a stream; a refused caller returns once.
    fn continue_stream(
        &mut self,
        stream: &Stream,
        router: usize,
        call: CallKey,
        returned: bool,
    ) -> Option<StreamPhase> {
        let (now, core) = (self.now, &mut self.routers[router]);
        let sent = dispatch(core, now, call);
        core.finish(call);
        match sent {
            Ok(target) => {
                assert_eq!(
                    target % 2,
                    stream.target % 2,
                    "stream {} changed its version",
                    stream.id
                );
                self.record.continued += 1;
                None
            }
            Err((code, retry_at)) => {
                assert_eq!(code, NotRunCode::OriginUnknown);
                assert!(retry_at > now);
                (!returned).then_some(StreamPhase::Broken { returns_at: retry_at, returned: true })
            }
        }
    }

    fn restart(&mut self, router: usize) {
        let (now, source) = (self.now, (router + 1) % self.routers.len());
        self.starts[router] += 1;
        let snapshot = self.routers[source].snapshot(now);
        self.routers[router] = new_listed_router(now, router as u16, self.starts[router]);
        self.routers[router].restore(now, snapshot);
    }
}

/// No stream changes its version, and enough of the resumed ones continue.
fn check_fleet(plan: FleetPlan) {
    for seed in 0..4 {
        let record = FleetSim::play(plan, seed);
        let share = f64::from(record.continued) / f64::from(record.resumed);
        println!("seed {seed}: {share:.3} of {} streams continued", record.resumed);
        assert!(record.resumed >= 12, "seed {seed}: {record:?}");
        assert!(share >= SHARE_MIN, "seed {seed}: {share} of {record:?}");
    }
}

const PLAN: FleetPlan = FleetPlan {
    routers: 7,
    streams_per_s: 54.0,
    heartbeats: HeartbeatPlan { steps_per_heartbeat: 5, lost_share: 0.02 },
    restarts: false,
};

test_cases! {
    check_fleet:
    streams_continue_at_their_version_through_other_routers(PLAN);
    streams_keep_their_version_when_heartbeats_are_lost(FleetPlan { heartbeats: HeartbeatPlan { lost_share: 0.3, ..PLAN.heartbeats }, ..PLAN });
    streams_keep_their_version_in_a_large_fleet(FleetPlan { routers: 67, streams_per_s: 200.0, heartbeats: HeartbeatPlan { steps_per_heartbeat: 25, ..PLAN.heartbeats }, ..PLAN });
    streams_keep_their_version_when_their_router_restarts(FleetPlan { restarts: true, streams_per_s: 10.0, ..PLAN });
}

fn seconds(count: u64) -> TimePoint {
    TimePoint(count * 1_000_000)
}

/// Begins a stream and returns the index of its target.
fn begin_stream(core: &mut ForwardCore, now: TimePoint, id: u64) -> usize {
    let (call, target) = send(core, now, id, None).expect("sent");
    core.on_first_event(now, call);
    core.finish(call);
    target
}

/// A router that is cut off from the platform and the other routers may know of one version only.
#[test]
fn a_router_that_is_cut_off_does_not_guess_the_version_of_a_stream() {
    let mut core = new_router(seconds(0), 0, 1, RetryRule::ResumableStream);
    core.list_targets(seconds(0), vec![versioned_entry(0), versioned_entry(2)]);
    core.on_platform_responded(seconds(1));
    assert!(send(&mut core, seconds(2), 10, Some(1)).is_ok());
    let (code, _) = send(&mut core, seconds(10), 11, Some(1)).expect_err("a stale list");
    assert_eq!(code, NotRunCode::OriginUnknown);
    // A stream that began here is known all the same.
    begin_stream(&mut core, seconds(10), 12);
    assert!(send(&mut core, seconds(11), 13, Some(12)).is_ok());
}

/// A caller may return before the report of its stream's origin has arrived.
#[test]
fn a_call_waits_for_the_origin_of_its_stream_only_while_it_may_arrive() {
    let [mut first, mut second] = [0, 1].map(|index| new_listed_router(seconds(0), index, 1));
    let alone = admit(&mut second, seconds(1), 1, Some(7));
    assert_eq!(second.origin_deadline(seconds(1), alone), None, "no other router");
    second.on_heartbeat(seconds(1), first.next_heartbeat(seconds(1)));
    let target = begin_stream(&mut first, seconds(2), 2);
    let call = admit(&mut second, seconds(2), 3, Some(2));
    let deadline = second.origin_deadline(seconds(2), call).expect("a moment to wait");
    assert!(deadline.since(seconds(2)) <= Duration::from_millis(100), "{deadline:?}");
    second.on_heartbeat(seconds(2), first.next_heartbeat(seconds(2)));
    assert_eq!(second.origin_deadline(seconds(2), call), None);
    let sent_to = dispatch(&mut second, seconds(2), call).expect("sent");
    assert_eq!(sent_to % 2, target % 2);
}

/// All targets of a version were replaced shortly before a caller returns.
#[test]
fn a_replaced_version_counts_while_its_streams_may_return() {
    let mut core = new_listed_router(seconds(0), 0, 1);
    let remaining = || (1..TARGETS).step_by(2).map(versioned_entry).collect();
    core.list_targets(seconds(5), remaining());
    for (second, is_sent) in [(20, false), (90, true)] {
        core.sweep(seconds(second));
        core.on_platform_responded(seconds(second));
        assert_eq!(send(&mut core, seconds(second), second, Some(1)).is_ok(), is_sent);
    }
}

/// The origin is kept until the caller stops waiting, which is later than the deadline of the route.
#[test]
fn the_origin_of_a_stream_is_kept_until_its_caller_stops_waiting() {
    let mut core = new_listed_router(seconds(0), 0, 1);
    let target = begin_stream(&mut core, seconds(1), 1);
    for (second, is_known) in [(2, true), (10, true), (12, false)] {
        core.sweep(seconds(second));
        let sent = send(&mut core, seconds(second), 100 + second, Some(1));
        assert_eq!(sent.is_ok(), is_known, "{second} s");
        assert!(sent.is_err() || sent.is_ok_and(|(_, other)| other % 2 == target % 2));
    }
}

/// A peer that reports more streams than are kept; the others are dropped and counted, and forgotten in
/// time.
#[test]
fn the_origins_of_streams_are_bounded() {
    const KEPT: u64 = 100_000;
    let [mut first, mut second] = [0, 1].map(|index| new_listed_router(seconds(0), index, 1));
    let notice = |call_hash| OriginNotice {
        call_hash,
        software: SoftwareKey(1),
        left_ms: 5_000,
        replaces: false,
    };
    let mut heartbeat = first.next_heartbeat(seconds(1));
    heartbeat.stream_origins = (0..KEPT + 7).map(notice).collect();
    second.on_heartbeat(seconds(1), heartbeat);
    let counts = |core: &ForwardCore, now| {
        let status = core.status(now);
        (status.stream_origins as u64, status.dropped_origins)
    };
    assert_eq!(counts(&second, seconds(1)), (KEPT, 7));
    second.sweep(seconds(7));
    assert_eq!(counts(&second, seconds(7)), (0, 7));
    begin_stream(&mut second, seconds(7), 1);
    assert_eq!(counts(&second, seconds(7)), (1, 7));
}

/// An id that is used again after its caller stopped waiting names another stream.
#[test]
fn an_expired_origin_does_not_decide_a_later_stream() {
    for round in 0..8 {
        let mut core = new_listed_router(seconds(0), 0, 1);
        begin_stream(&mut core, seconds(1), 1);
        let target = begin_stream(&mut core, seconds(20 + round), 1);
        let (_, sent_to) = send(&mut core, seconds(21 + round), 2, Some(1)).expect("sent");
        assert_eq!(sent_to % 2, target % 2);
    }
}

/// A router that started after a version was replaced hears of it from its peer.
#[test]
fn a_restarted_router_does_not_guess_a_version_that_was_replaced() {
    let remaining = || (1..TARGETS).step_by(2).map(versioned_entry).collect::<Vec<_>>();
    let mut peer = new_listed_router(seconds(0), 0, 1);
    peer.list_targets(seconds(5), remaining());
    let mut restarted = new_router(seconds(20), 1, 2, RetryRule::ResumableStream);
    restarted.restore(seconds(20), peer.snapshot(seconds(20)));
    for (second, is_sent) in [(21, false), (90, true)] {
        restarted.list_targets(seconds(second), remaining());
        restarted.sweep(seconds(second));
        restarted.on_platform_responded(seconds(second));
        assert_eq!(send(&mut restarted, seconds(second), second, Some(1)).is_ok(), is_sent);
    }
}

/// Targets whose entries state no version may run different ones.
#[test]
fn a_stream_of_a_target_without_a_version_continues_only_there() {
    let entry = |index| TargetEntry { software_version: "".into(), ..target_entry(index, 1) };
    let mut core = new_router(seconds(0), 0, 1, RetryRule::ResumableStream);
    core.list_targets(seconds(0), (0..TARGETS).map(entry).collect());
    core.on_platform_responded(seconds(1));
    for id in 1..10 {
        let target = begin_stream(&mut core, seconds(1), id);
        let (_, sent_to) = send(&mut core, seconds(2), 100 + id, Some(id)).expect("sent");
        assert_eq!(sent_to, target);
    }
    let (code, _) = send(&mut core, seconds(2), 200, Some(50)).expect_err("a guess");
    assert_eq!(code, NotRunCode::OriginUnknown);
}
