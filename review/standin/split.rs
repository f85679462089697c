//! ORDER: one gateway is killed while a route is split between two services, and clients take up their
//! streams again at the other gateways.

use std::{thread, time::Duration};

use crate::{
    Scene, Verdict, config,
    gateway::Bounds,
    runner::{Runner, RunnerRules},
    streams::begin_streams,
};

const ZONES: [&str; 7] =
    ["khomas-a", "khomas-a", "khomas-b", "khomas-b", "khomas-c", "khomas-c", "khomas-d"];
const STREAMS: u64 = 70;
const DEADLINE: Duration = Duration::from_secs(12);
const SPLIT: f64 = 1.0;
const STREAMS_BEGIN: f64 = 6.0;
const KILLED: f64 = 8.0;
const STARTED_AGAIN: f64 = 11.5;

pub fn play(mut scene: Scene) -> Verdict {
    let rules = RunnerRules {
        slots: 64,
        queue: 192,
        work: Duration::ZERO,
        events: 55,
        pause: Duration::from_millis(80),
        copy_each: u64::MAX,
        event_bytes: 60,
    };
    let runner = |id: &str, service: &str, zone: &str, version: &str| {
        Runner::start(id, service, zone, version, rules.clone(), &scene.record)
    };
    let runners = [
        runner("i-old1", "quote-llm", ZONES[0], "v1"),
        runner("i-old2", "quote-llm", ZONES[2], "v1"),
        runner("i-new1", "quote-llm-next", ZONES[4], "v2"),
        runner("i-new2", "quote-llm-next", ZONES[6], "v2"),
    ];
    let service = |name: &str| {
        format!(
            "{{\"name\":\"{name}\",\"slots\":64,\"maxConns\":360,\
             \"engine\":{{\"slots\":64,\"kvCapacity\":720059}}}}"
        )
    };
    let services = format!("{},{}", service("quote-llm"), service("quote-llm-next"));
    let route = |split: &str| {
        format!(
            "{{\"name\":\"quote\",\"host\":\"host.example\",\"pathPrefix\":\"/stream/\",\
             \"kind\":\"streaming\",\"resumable\":true,\"sticky\":true,\"timeoutMs\":12000,\
             \"sloMs\":600,\"gapTargetMs\":200,\"priority\":0,{split},\"attempts\":2}}"
        )
    };
    let whole = route("\"service\":\"quote-llm\"");
    let split = route(
        "\"backends\":[{\"service\":\"quote-llm\",\"weight\":50},\
         {\"service\":\"quote-llm-next\",\"weight\":50}]",
    );
    scene.store.put("config", "main", &config(3, &services, &whole));
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
    scene.sleep_until(start + SPLIT);
    scene.store.put("config", "main", &config(5, &services, &split));
    scene.record.say("configuration 5 splits the route between quote-llm (v1) and quote-llm-next (v2)");
    scene.sleep_until(start + STREAMS_BEGIN);
    let addresses = scene.gateways.iter().map(|gateway| gateway.callers).collect();
    let streams = begin_streams(&scene.record, addresses, STREAMS, DEADLINE);
    scene.record.say(&format!("{STREAMS} streams begin"));
    if scene.has_trouble() {
        scene.sleep_until(start + KILLED);
        scene.gateways[1].kill();
        scene.record.say(&format!("gateway {} is killed", scene.gateways[1].name));
        scene.sleep_until(start + STARTED_AGAIN);
        scene.gateways[1].start_again();
        scene.record.say("it starts again");
    }
    let (mut joined, mut ended) = (0, 0);
    for (number, stream) in streams.into_iter().enumerate() {
        let Ok(received) = stream.join() else { return Verdict::CannotRun("a client failed") };
        let pieces = received.pieces();
        ended += u32::from(received.ended);
        if pieces.len() > 1 {
            joined += 1;
            scene.record.say(&format!(
                "ORDER: the stream of client {number} is joined from {pieces:?} (first event of each)"
            ));
        }
    }
    thread::sleep(Duration::from_millis(100));
    scene.record.say(&format!(
        "{STREAMS} streams: {ended} ended as complete, {joined} are joined from two versions"
    ));
    if ended == 0 {
        return Verdict::CannotRun("no stream ended");
    }
    if joined > 0 { Verdict::Broken } else { Verdict::Held }
}
