//! What the platform keeps of streams: after all routers restarted, streams go on at the software version
//! that began them, and a router that does not know refuses.

#[path = "support/fixture.rs"]
mod fixture;
#[path = "support/heartbeats.rs"]
mod heartbeats;

use std::{collections::BTreeMap, time::Duration};

use base_types::{ContentDigest, NotRunCode, Refusal, TimePoint, test_cases};
use core_forward::{
    AttemptOutcome, CallKey, DispatchStep, ForwardCore, OriginRecord, PoolSoftware, RECORD_PARTS,
    RecordWrite, SoftwareKey, StreamResumption, TargetEntry,
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use state_config::RetryRule;

use fixture::{
    call_head, new_restarted_router, new_router, new_router_with_attempts, target_entry,
    target_index,
};
use heartbeats::HeartbeatPlan;

const STEP: Duration = Duration::from_millis(5);
/// Time for which routers have run before the newer version joins.
const SETTLE_TIME: Duration = Duration::from_millis(3_500);
/// Time from the newer version's listing until all routers are killed.
const JOIN_TIME: Duration = Duration::from_millis(450);
const FIRST_EVENT_DELAY: Duration = Duration::from_millis(100);
const STREAM_TIME: Duration = Duration::from_millis(600);
const TARGETS: usize = 12;
/// Share of the streams whose version still serves that must go on, as required by the users.
const SHARE_MIN: f64 = 0.9;

/// Writes that the platform accepted.
#[derive(Debug, Default)]
struct RecordStore {
    software: PoolSoftware,
    parts: BTreeMap<u32, BTreeMap<SoftwareKey, Vec<u64>>>,
    writes: u32,
}

impl RecordStore {
    fn apply(&mut self, write: &RecordWrite) {
        self.writes += 1;
        match write {
            RecordWrite::Software(software) => self.software.clone_from(software),
            RecordWrite::Blocks(_) => panic!("no content is blocked"),
            RecordWrite::Origins { part, calls } => {
                assert!(*part < RECORD_PARTS);
                self.parts.insert(*part, calls.clone());
            }
        }
    }

    fn record(&self) -> OriginRecord {
        let parts = self.parts.values().flatten();
        let origins =
            parts.flat_map(|(software, calls)| calls.iter().map(|call| (*call, *software)));
        OriginRecord {
            software: self.software.clone(),
            origins: origins.collect(),
            ..OriginRecord::default()
        }
    }
}

/// The first half of the targets run the older version.
fn versioned_entry(index: usize) -> TargetEntry {
    let software_version = if index < TARGETS / 2 { "v1" } else { "v2" };
    TargetEntry { software_version: software_version.into(), ..target_entry(index, 1) }
}

fn older() -> Vec<TargetEntry> {
    (0..TARGETS / 2).map(versioned_entry).collect()
}

fn newer() -> Vec<TargetEntry> {
    (TARGETS / 2..TARGETS).map(versioned_entry).collect()
}

fn is_older(target: usize) -> bool {
    target < TARGETS / 2
}

fn admit(core: &mut ForwardCore, now: TimePoint, id: u64, origin: Option<u64>) -> CallKey {
    let mut head = call_head(now, id, None);
    let named = |origin: u64| StreamResumption { origin: Some(origin.to_string().into()) };
    head.resumption = origin.map(named);
    core.admit(now, head, ContentDigest(u128::from(id))).expect("admitted").call
}

fn send(
    core: &mut ForwardCore,
    now: TimePoint,
    id: u64,
    origin: Option<u64>,
) -> Result<(CallKey, usize), NotRunCode> {
    let call = admit(core, now, id, origin);
    match core.dispatch(now, call) {
        DispatchStep::Send(attempt) => Ok((call, target_index(attempt.address))),
        DispatchStep::Refuse(Refusal::NotRun(code, _)) => Err(code),
        step => panic!("{step:?}"),
    }
}

#[derive(Debug, Clone, Copy)]
struct KillPlan {
    routers: u16,
    streams_per_s: f64,
    heartbeats: HeartbeatPlan,
    older_leaves: bool,
}

#[derive(Debug, Clone, Copy)]
struct Stream {
    id: u64,
    router: usize,
    call: CallKey,
    target: usize,
    began_at: TimePoint,
    has_events: bool,
}

/// Plays streams until all routers are killed; returns those that broke off after an event, and what the
/// platform keeps.
fn play_until_kill(plan: KillPlan, seed: u64) -> (TimePoint, Vec<Stream>, RecordStore) {
    let mut random = StdRng::seed_from_u64(seed);
    let start = TimePoint(1_000_000);
    let new = |index| new_router(start, index, 1, RetryRule::ResumableStream);
    let mut routers: Vec<ForwardCore> = (0..plan.routers).map(new).collect();
    routers.iter_mut().for_each(|core| core.list_targets(start, older()));
    let (mut store, mut streams, mut due) = (RecordStore::default(), Vec::new(), 0.0);
    let killed_at = start.after(SETTLE_TIME + JOIN_TIME);
    let mut next_id = 0;
    let mut now = start;
    for step in 0.. {
        now = start.after(STEP * step);
        if killed_at.passed(now) {
            break;
        }
        routers.iter_mut().for_each(|core| core.on_platform_responded(now));
        if now == start.after(SETTLE_TIME) {
            let listed = if plan.older_leaves { newer() } else { [older(), newer()].concat() };
            routers.iter_mut().for_each(|core| core.list_targets(now, listed.clone()));
        }
        due += plan.streams_per_s * STEP.as_secs_f64();
        while due >= 1.0 {
            (due, next_id) = (due - 1.0, next_id + 1);
            let router = random.random_range(0..routers.len());
            let (call, target) = send(&mut routers[router], now, next_id, None).expect("sent");
            let stream =
                Stream { id: next_id, router, call, target, began_at: now, has_events: false };
            streams.push(stream);
        }
        for stream in &mut streams {
            if !stream.has_events && stream.began_at.after(FIRST_EVENT_DELAY).passed(now) {
                stream.has_events = true;
                routers[stream.router].on_first_event(now, stream.call);
            }
        }
        streams.retain(|stream: &Stream| {
            let is_over = stream.began_at.after(STREAM_TIME).passed(now);
            if is_over {
                routers[stream.router].finish(stream.call);
            }
            !is_over
        });
        plan.heartbeats.exchange(now, step.into(), &mut routers, &mut random);
        for core in &mut routers {
            if let Some(write) = core.next_record_write(now) {
                store.apply(&write);
                core.on_record_written(now, write);
            }
        }
    }
    streams.retain(|stream| stream.has_events);
    (now, streams, store)
}

/// All routers restart with what the platform keeps; no stream changes its version.
fn check_kill(plan: KillPlan) {
    for seed in 0..3 {
        let (killed_at, streams, store) = play_until_kill(plan, seed);
        let now = killed_at.after(Duration::from_secs(1));
        let mut core = new_restarted_router(now, 0, 2, RetryRule::ResumableStream, 1);
        let listed = if plan.older_leaves { newer() } else { [older(), newer()].concat() };
        core.list_targets(now, listed);
        core.on_platform_responded(now);
        core.restore_record(now, Some(store.record()), false);
        let (mut served, mut due) = (0, 0);
        for stream in &streams {
            let still_serves = !plan.older_leaves || !is_older(stream.target);
            due += u32::from(still_serves);
            if let Ok((_, target)) = send(&mut core, now, 1_000_000 + stream.id, Some(stream.id)) {
                assert_eq!(is_older(target), is_older(stream.target), "stream {stream:?}");
                served += 1;
            }
        }
        let share = f64::from(served) / f64::from(due);
        println!("seed {seed}: {served} of {due} streams go on, {} writes", store.writes);
        assert!(due >= 12, "{due} streams");
        assert!(share >= SHARE_MIN, "{share} of the streams go on");
    }
}

const PLAN: KillPlan = KillPlan {
    routers: 7,
    streams_per_s: 100.0,
    heartbeats: HeartbeatPlan { steps_per_heartbeat: 5, lost_share: 0.02 },
    older_leaves: false,
};
const LARGE: KillPlan = KillPlan {
    routers: 195,
    heartbeats: HeartbeatPlan { steps_per_heartbeat: 25, lost_share: 0.02 },
    ..PLAN
};

test_cases! {
    check_kill:
    streams_go_on_after_all_routers_restart(PLAN);
    streams_go_on_after_all_routers_of_a_large_fleet_restart(LARGE);
    streams_of_a_version_that_left_are_not_joined(KillPlan { older_leaves: true, ..PLAN });
    streams_of_a_version_that_left_are_not_joined_in_a_large_fleet(KillPlan { older_leaves: true, ..LARGE });
}

fn seconds(count: u64) -> TimePoint {
    TimePoint(count * 1_000_000)
}

/// What a restarted router reads before a caller returns to a stream that nobody reported.
#[derive(Debug, Clone, Copy)]
enum ReadRecord {
    Nothing,
    None {
        first_start: bool,
    },
    /// Lists the version that the targets run, the other one, or both.
    Software(&'static [&'static str]),
}

/// Targets of one version are listed after a restart; a stream of unknown origin is served at `after`
/// the restart or refused.
fn check_restarted(read: ReadRecord, after: Duration, served: bool) {
    let now = seconds(10);
    let mut core = new_restarted_router(now, 0, 2, RetryRule::ResumableStream, 1);
    core.list_targets(now, newer());
    match read {
        ReadRecord::Nothing => {}
        ReadRecord::None { first_start } => core.restore_record(now, None, first_start),
        ReadRecord::Software(versions) => {
            core.restore_record(now, Some(recorded_software(versions)), false);
        }
    }
    let later = now.after(after);
    core.list_targets(later, newer());
    core.sweep(later);
    core.on_platform_responded(later);
    match send(&mut core, later, 1, Some(99)) {
        Ok(_) => assert!(served),
        Err(code) => assert_eq!((code, served), (NotRunCode::OriginUnknown, false)),
    }
}

/// A record as a router writes it that saw the versions.
fn recorded_software(versions: &[&str]) -> OriginRecord {
    let mut core = new_router(seconds(1), 0, 1, RetryRule::ResumableStream);
    let entries = [older(), newer()].concat().into_iter();
    let seen = entries.filter(|entry| versions.contains(&&*entry.software_version));
    core.list_targets(seconds(1), seen.collect());
    assert_eq!(core.next_record_write(seconds(1)), None, "the others are not known yet");
    match core.next_record_write(seconds(3)) {
        Some(RecordWrite::Software(software)) => {
            OriginRecord { software, ..OriginRecord::default() }
        }
        write => panic!("{write:?}"),
    }
}

use ReadRecord::{None as Absent, Nothing, Software};

const SOON: Duration = Duration::from_secs(2);
/// Streams that began before the restart are over.
const LATE: Duration = Duration::from_secs(61);

test_cases! {
    check_restarted:
    a_router_does_not_guess_before_it_has_read_the_record(Nothing, SOON, false);
    a_router_does_not_guess_without_a_record(Absent { first_start: false }, SOON, false);
    nothing_served_before_the_first_start(Absent { first_start: true }, SOON, true);
    a_record_of_the_only_version_tells_it(Software(&["v2"]), SOON, true);
    a_record_of_a_version_that_left_is_heeded(Software(&["v1"]), SOON, false);
    a_record_of_both_versions_tells_neither(Software(&["v1", "v2"]), SOON, false);
    streams_of_the_time_before_end(Absent { first_start: false }, LATE, true);
    recorded_versions_are_forgotten(Software(&["v1"]), LATE, true);
}

/// The call waits for the record, but not for long.
#[test]
fn a_call_waits_while_the_record_is_read() {
    let now = seconds(10);
    let mut core = new_restarted_router(now, 0, 2, RetryRule::ResumableStream, 1);
    core.list_targets(now, newer());
    core.on_platform_responded(now);
    let call = admit(&mut core, now, 1, Some(99));
    let deadline = core.origin_deadline(now, call).expect("a time to wait");
    assert!(deadline.since(now) <= Duration::from_secs(1), "{deadline:?}");
    core.restore_record(now, Some(recorded_software(&["v2"])), false);
    assert_eq!(core.origin_deadline(now, call), None);
    assert!(matches!(core.dispatch(now, call), DispatchStep::Send(_)));
}

/// The recorder dies: another router writes all origins that it knows, within three heartbeat intervals.
#[test]
fn another_router_becomes_the_recorder() {
    let now = seconds(1);
    let mut routers = [0, 1, 2].map(|index| new_router(now, index, 1, RetryRule::ResumableStream));
    routers.iter_mut().for_each(|core| core.list_targets(now, [older(), newer()].concat()));
    exchange(&mut routers, now);
    assert_eq!(writers(&mut routers, now), [0; 0], "all may just have started");
    exchange(&mut routers, seconds(3));
    let first = writers(&mut routers, seconds(3));
    assert_eq!(first.len(), 1, "one recorder");
    let mut survivors: Vec<ForwardCore> = Vec::from(routers);
    survivors.remove(first[0]);
    let later = seconds(3).after(Duration::from_millis(310));
    exchange(&mut survivors, later);
    let second = writers(&mut survivors, later);
    assert_eq!(second.len(), 1, "one recorder after the first one ended");
    let recorder = &mut survivors[second[0]];
    let (call, _) = send(recorder, later, 7, None).expect("sent");
    let write = recorder.next_record_write(later).expect("the software");
    recorder.on_record_written(later, write);
    match recorder.next_record_write(later) {
        Some(RecordWrite::Origins { part: 0, calls }) => {
            assert_eq!(calls.values().map(Vec::len).sum::<usize>(), 1);
        }
        write => panic!("{write:?}"),
    }
    recorder.finish(call);
}

/// Routers that know of each other, and the index of the recorder among them.
fn routers_with_recorder() -> (Vec<ForwardCore>, usize) {
    let new = |index| new_router(seconds(1), index, 1, RetryRule::ResumableStream);
    let mut routers: Vec<ForwardCore> = (0..3).map(new).collect();
    routers.iter_mut().for_each(|core| core.list_targets(seconds(1), older()));
    exchange(&mut routers, seconds(1));
    assert_eq!(writers(&mut routers, seconds(1)), [0; 0], "all may just have started");
    exchange(&mut routers, seconds(3));
    let recorder = writers(&mut routers, seconds(3));
    assert_eq!(recorder.len(), 1, "one recorder");
    (routers, recorder[0])
}

fn exchange(routers: &mut [ForwardCore], now: TimePoint) {
    for sender in 0..routers.len() {
        let heartbeat = routers[sender].next_heartbeat(now);
        routers.iter_mut().for_each(|core| core.on_heartbeat(now, heartbeat.clone()));
    }
}

fn writers(routers: &mut [ForwardCore], now: TimePoint) -> Vec<usize> {
    let is_writer = |core: &mut ForwardCore| core.next_record_write(now).is_some();
    (0..routers.len()).filter(|index| is_writer(&mut routers[*index])).collect()
}

/// What the platform refuses.
#[derive(Debug, Clone, Copy)]
enum RecorderRefusal {
    OfWrites,
    OfAllCalls,
}

/// The platform turns the recorder away while it runs: another router writes until the platform takes its writes
/// again. Where the platform turns all routers away, one of them goes on trying.
fn check_refused_recorder(refusal: RecorderRefusal, is_for_all: bool) {
    let at = |millis: u64| seconds(3).after(Duration::from_millis(millis));
    let (mut routers, recorder) = routers_with_recorder();
    let refuse = |core: &mut ForwardCore| match refusal {
        RecorderRefusal::OfWrites => core.on_record_failed(at(0)),
        RecorderRefusal::OfAllCalls => core.on_platform_failed(),
    };
    let refused = routers.iter_mut().enumerate();
    refused
        .filter(|(index, _)| is_for_all || *index == recorder)
        .for_each(|(_, core)| refuse(core));
    exchange(&mut routers, at(10));
    let writing = writers(&mut routers, at(10));
    assert_eq!(writing.len(), 1, "{writing:?}");
    assert_eq!(writing[0] == recorder, is_for_all, "{writing:?}");
    exchange(&mut routers, at(1_100));
    if let RecorderRefusal::OfAllCalls = refusal {
        routers.iter_mut().for_each(|core| core.on_platform_responded(at(1_100)));
    }
    for core in &mut routers {
        while let Some(write) = core.next_record_write(at(1_100)) {
            core.on_record_written(at(1_100), write);
        }
    }
    exchange(&mut routers, at(1_110));
    routers.iter_mut().for_each(|core| core.list_targets(at(1_120), newer()));
    exchange(&mut routers, at(1_130));
    assert_eq!(writers(&mut routers, at(1_140)), [recorder], "it is served again");
}

test_cases! {
    check_refused_recorder:
    a_recorder_whose_writes_fail_is_replaced(RecorderRefusal::OfWrites, false);
    a_recorder_without_the_platform_is_replaced(RecorderRefusal::OfAllCalls, false);
    a_recorder_goes_on_where_all_writes_fail(RecorderRefusal::OfWrites, true);
    a_recorder_goes_on_where_the_platform_is_away(RecorderRefusal::OfAllCalls, true);
}

/// Guards against a new recorder that removes software which only its predecessor knew.
#[test]
fn software_of_another_recorder_is_kept_while_its_streams_may_go_on() {
    let mut core = new_router(seconds(1), 0, 1, RetryRule::ResumableStream);
    core.list_targets(seconds(1), newer());
    core.next_record_write(seconds(1));
    let recorded = recorded_software(&["v1"]).software;
    let count = |software: &PoolSoftware| software.values().map(Vec::len).sum::<usize>();
    let merged = core.merge_recorded_software(seconds(3), &recorded);
    assert_eq!(count(&merged), 2);
    core.on_record_written(seconds(3), RecordWrite::Software(merged.clone()));
    core.list_targets(seconds(60), newer());
    core.sweep(seconds(64));
    assert_eq!(
        count(&core.merge_recorded_software(seconds(64), &merged)),
        1,
        "its streams are over"
    );
}

/// A write that fails is due again, with what came since; at most one in 50 ms.
#[test]
fn origins_that_were_not_written_are_written_later() {
    let mut core = new_router(seconds(1), 0, 1, RetryRule::ResumableStream);
    core.list_targets(seconds(1), [older(), newer()].concat());
    core.next_record_write(seconds(1));
    let software = core.next_record_write(seconds(3)).expect("the software");
    core.on_record_written(seconds(3), software);
    let call_count = |write: Option<RecordWrite>| match write {
        Some(RecordWrite::Origins { calls, .. }) => calls.values().map(Vec::len).sum::<usize>(),
        _ => 0,
    };
    let at = |millis: u64| seconds(3).after(Duration::from_millis(millis));
    assert_eq!(core.next_record_write(at(0)), None, "no stream yet");
    send(&mut core, at(0), 1, None).expect("sent");
    assert_eq!(call_count(core.next_record_write(at(0))), 1);
    send(&mut core, at(20), 2, None).expect("sent");
    assert_eq!(core.next_record_write(at(40)), None, "too soon");
    let write = core.next_record_write(at(60)).expect("a write");
    assert_eq!(call_count(Some(write.clone())), 2, "the first write failed");
    core.on_record_written(at(61), write);
    assert_eq!(core.next_record_write(at(200)), None, "nothing new");
}

/// A call that is sent again, to another version, before its first event: the later statement holds at
/// the other routers, the event waits for the record, and a record of both versions tells neither.
#[test]
fn a_stream_that_begins_at_another_version_than_reported_is_not_joined() {
    let at = |millis: u64| seconds(3).after(Duration::from_millis(millis));
    let entries = || vec![versioned_entry(0), versioned_entry(TARGETS / 2)];
    let mut core = new_router_with_attempts(seconds(1), 0, 1, RetryRule::ResumableStream, 2);
    let mut peer = new_router(seconds(1), 1, 1, RetryRule::ResumableStream);
    core.list_targets(seconds(1), entries());
    peer.list_targets(seconds(1), entries());
    core.next_record_write(seconds(1));
    let software = core.next_record_write(at(0)).expect("the software");
    core.on_record_written(at(0), software);
    let (call, first) = send(&mut core, at(0), 1, None).expect("sent");
    let before = core.next_record_write(at(0)).expect("the first statement");
    core.on_record_written(at(0), before.clone());
    let early = core.next_heartbeat(at(10));
    core.on_attempt_finished(at(20), call, AttemptOutcome::Lost);
    let DispatchStep::Send(attempt) = core.dispatch(at(20), call) else { panic!("not sent") };
    assert_ne!(is_older(target_index(attempt.address)), is_older(first));
    let settled_at = core.on_first_event(at(30), call);
    assert!(settled_at > at(30) && settled_at < at(500), "{settled_at:?}");
    let after = core.next_record_write(at(60)).expect("the later statement");
    let late = core.next_heartbeat(at(70));
    for heartbeat in [late, early] {
        peer.on_heartbeat(at(80), heartbeat);
    }
    peer.on_platform_responded(at(90));
    let (_, resumed) = send(&mut peer, at(90), 2, Some(1)).expect("sent");
    assert_eq!(is_older(resumed), is_older(target_index(attempt.address)));
    for (writes, served) in [(vec![&after], true), (vec![&before, &after], false)] {
        let mut record = OriginRecord::default();
        for write in writes {
            let RecordWrite::Origins { calls, .. } = write else { panic!("{write:?}") };
            let origins = calls.iter();
            record
                .origins
                .extend(origins.flat_map(|(key, calls)| calls.iter().map(|call| (*call, *key))));
        }
        let mut restarted = new_restarted_router(at(90), 0, 2, RetryRule::ResumableStream, 1);
        restarted.list_targets(at(90), entries());
        restarted.restore_record(at(90), Some(record), false);
        match send(&mut restarted, at(90), 3, Some(1)) {
            Ok((_, target)) => {
                assert!(served);
                assert_eq!(is_older(target), is_older(resumed));
            }
            Err(code) => assert_eq!((code, served), (NotRunCode::OriginUnknown, false)),
        }
    }
}
