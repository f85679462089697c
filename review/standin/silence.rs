//! LOST: a gateway that is stopped gives up streams of a sound runner that pauses for more than a second.

use std::time::Duration;

use crate::{
    Scene, Verdict, config,
    gateway::Bounds,
    runner::{Runner, RunnerRules},
    streams::begin_streams,
};

const ZONES: [&str; 3] = ["khomas-a", "khomas-b", "khomas-c"];
/// As many streams as the runners run at once.
const STREAMS: u64 = 24;
const SLOTS: usize = 12;
const DEADLINE: Duration = Duration::from_secs(12);
const STREAMS_BEGIN: f64 = 2.0;
const STOPPED: f64 = 3.5;
const PREEMPTED: f64 = 4.0;
/// Streams that the runner preempts, and for how long; clients abandon a stream after 2.4 s.
const PREEMPTED_STREAMS: usize = 8;
const PREEMPTED_TIME: Duration = Duration::from_millis(1_600);

pub fn play(mut scene: Scene) -> Verdict {
    let rules = RunnerRules {
        slots: SLOTS,
        queue: 0,
        work: Duration::ZERO,
        events: 55,
        pause: Duration::from_millis(80),
        copy_each: u64::MAX,
        event_bytes: 60,
    };
    let runners = [0, 1].map(|number| {
        let id = format!("i-llm{number}");
        Runner::start(&id, "quote-llm", ZONES[number], "v1", rules.clone(), &scene.record)
    });
    let services = "{\"name\":\"quote-llm\",\"slots\":12,\"maxConns\":360,\
                    \"engine\":{\"slots\":12,\"kvCapacity\":720059}}";
    let routes = "{\"name\":\"quote\",\"host\":\"host.example\",\"pathPrefix\":\"/stream/\",\
                  \"kind\":\"streaming\",\"resumable\":true,\"sticky\":true,\"timeoutMs\":12000,\
                  \"sloMs\":600,\"gapTargetMs\":200,\"priority\":0,\"service\":\"quote-llm\",\
                  \"attempts\":2}";
    scene.store.put("config", "main", &config(3, services, routes));
    for runner in &runners {
        scene.store.put("servers", &runner.id, &runner.entry("ready"));
    }
    let bounds = Bounds { drain_ms: 2000, retry_slack: 54, evacuations: false };
    scene.start_gateways(&ZONES, bounds);
    if !scene.wait_until_ready() {
        return Verdict::CannotRun("the gateways did not become ready");
    }
    scene.sleep_until(scene.record.now() + 4.0);
    let start = scene.record.now();
    scene.sleep_until(start + STREAMS_BEGIN);
    let addresses = scene.gateways.iter().map(|gateway| gateway.callers).collect();
    let streams = begin_streams(&scene.record, addresses, STREAMS, DEADLINE);
    scene.record.say(&format!("{STREAMS} streams begin"));
    let stopped = scene.gateways[0].callers;
    if scene.has_trouble() {
        scene.sleep_until(start + STOPPED);
        scene.gateways[0].terminate();
        scene.record.say(&format!("gateway {} gets SIGTERM", scene.gateways[0].name));
        scene.sleep_until(start + PREEMPTED);
        runners[0].preempt(PREEMPTED_STREAMS, PREEMPTED_TIME);
        scene.record.say(&format!("runner {} preempts its {PREEMPTED_STREAMS} newest streams", runners[0].id));
    }
    let (mut ended, mut lost, mut broken) = (0, 0, 0);
    for stream in streams {
        let Ok(received) = stream.join() else { return Verdict::CannotRun("a client failed") };
        ended += u32::from(received.ended);
        let first = received.attempts.first().filter(|(_, is_complete)| !is_complete);
        broken += u32::from(first.is_some());
        lost += u32::from(first.is_some_and(|(address, _)| *address == stopped));
    }
    scene.record.say(&format!(
        "{STREAMS} streams: {ended} ended as complete in the end, {broken} were broken off, {lost} of these by the \
         gateway that was stopped"
    ));
    if ended == 0 {
        return Verdict::CannotRun("no stream ended");
    }
    if lost > 0 { Verdict::Broken } else { Verdict::Held }
}
