//! ORDER: all gateways are killed while the store turns one of them away, or some seconds after the store
//! came back from an older copy, and clients take up their streams again.

use std::{thread, time::Duration};

use crate::{
    Scene, Verdict, config,
    gateway::Bounds,
    runner::{Runner, RunnerRules},
    streams::begin_streams,
};

const ZONES: [&str; 4] = ["khomas-a", "khomas-b", "khomas-c", "khomas-d"];
/// Streams that begin at the same time.
const STREAMS: u64 = 16;
const DEADLINE: Duration = Duration::from_secs(12);
const COPY: f64 = 0.5;
/// The store turns one machine of four away for 9 s (site file: share 0.33, for_s 9).
const TURNED_AWAY: f64 = 6.5;
const SERVED_AGAIN: f64 = 15.5;
const ADDED: f64 = 7.5;
/// With a drill, the runner is added between the copy and the drill.
const ADDED_BEFORE_DRILL: f64 = 1.0;
const AWAY: f64 = 3.0;
const BACK: f64 = 4.0;
const STREAMS_BEGIN: f64 = 10.0;
const DRAINING: f64 = 11.5;
const KILLED: f64 = 12.5;
const LEFT: f64 = 13.8;
const STARTED_AGAIN: f64 = 14.5;

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
    let start_runner = |id: &str, zone: &str, version: &str, scene: &Scene| {
        Runner::start(id, "quote-llm", zone, version, rules.clone(), &scene.record)
    };
    let old = [
        start_runner("i-old1", ZONES[0], "v1", &scene),
        start_runner("i-old2", ZONES[1], "v1", &scene),
    ];
    let services = "{\"name\":\"quote-llm\",\"slots\":64,\"maxConns\":360,\
                    \"engine\":{\"slots\":64,\"kvCapacity\":720059}}";
    let routes = "{\"name\":\"quote\",\"host\":\"host.example\",\"pathPrefix\":\"/stream/\",\
                  \"kind\":\"streaming\",\"resumable\":true,\"sticky\":true,\"timeoutMs\":12000,\
                  \"sloMs\":600,\"gapTargetMs\":200,\"priority\":0,\"service\":\"quote-llm\",\
                  \"attempts\":2}";
    scene.store.put("config", "main", &config(3, services, routes));
    for runner in &old {
        scene.store.put("servers", &runner.id, &runner.entry("ready"));
    }
    let bounds = Bounds { drain_ms: 2000, retry_slack: 54, evacuations: false };
    scene.start_gateways(&ZONES, bounds);
    if !scene.wait_until_ready() {
        return Verdict::CannotRun("the gateways did not become ready");
    }
    scene.sleep_until(scene.record.now() + 10.0);
    let start = scene.record.now();
    let (is_turned_away, has_drill) = (scene.trouble == "1", scene.trouble == "drill");
    let has_kill = scene.has_trouble();
    let Some(recorder) = scene.store.writer("stream-origins") else {
        return Verdict::CannotRun("no gateway has written the record of software");
    };
    let name = &scene.gateways[recorder].name;
    scene.record.say(&format!("{name} has written the record of software"));

    scene.sleep_until(start + COPY);
    let copy = scene.store.copy();
    scene.record.say(&format!("the store copies itself at revision {}", scene.store.revision()));
    if is_turned_away {
        scene.sleep_until(start + TURNED_AWAY);
        scene.store.turn_away(recorder, true);
        scene.record.say(&format!("the store turns {name} away: 503"));
    }
    scene.sleep_until(start + if has_drill { ADDED_BEFORE_DRILL } else { ADDED });
    let new = start_runner("i-new1", ZONES[2], "v2", &scene);
    scene.store.put("servers", &new.id, &new.entry("ready"));
    scene.record.say("runner i-new1 of version v2 is added");
    if has_drill {
        scene.sleep_until(start + AWAY);
        scene.store.go_away();
        scene.record.say("the store is away");
        scene.sleep_until(start + BACK);
        scene.store.come_back(&copy);
        scene.record.say(&format!("it is back from its copy, at revision {}", scene.store.revision()));
        thread::sleep(Duration::from_millis(300));
        scene.store.put("servers", &new.id, &new.entry("ready"));
        scene.record.say("runner i-new1 wrote its entry again");
    }

    scene.sleep_until(start + STREAMS_BEGIN);
    let streams = begin_streams(&scene.record, scene.gateways[0].resolve(ZONES[0]), STREAMS, DEADLINE);
    scene.sleep_until(start + DRAINING);
    scene.store.put("servers", &new.id, &new.entry("draining"));
    new.leaving.store(true, std::sync::atomic::Ordering::Relaxed);
    scene.record.say("runner i-new1 drains");
    if has_kill {
        scene.sleep_until(start + KILLED);
        for gateway in &scene.gateways {
            gateway.kill();
        }
        scene.record.say("all gateways are killed");
    }
    scene.sleep_until(start + LEFT);
    scene.store.remove("servers", &new.id);
    scene.record.say("runner i-new1 has left; its entry is removed");
    if has_kill {
        scene.sleep_until(start + STARTED_AGAIN);
        for gateway in &mut scene.gateways {
            gateway.start_again();
        }
        scene.record.say("all gateways start again");
    }
    if is_turned_away {
        scene.sleep_until(start + SERVED_AGAIN);
        scene.store.turn_away(recorder, false);
        scene.record.say(&format!("the store serves {} again", scene.gateways[recorder].name));
    }
    let software = scene.store.read("stream-origins", "software");
    scene.record.line(&format!("the record of software: {software:?}"));
    let mut joined = 0;
    let (mut ended, mut from_new) = (0, 0);
    for (number, stream) in streams.into_iter().enumerate() {
        let Ok(received) = stream.join() else { return Verdict::CannotRun("a client failed") };
        let pieces = received.pieces();
        ended += u32::from(received.ended);
        from_new += u32::from(pieces.first().is_some_and(|(_, version)| version == "v2"));
        if pieces.len() > 1 {
            joined += 1;
            scene.record.say(&format!(
                "ORDER: the stream of client {number} is joined from {pieces:?} (first event of each)"
            ));
        }
    }
    scene.record.say(&format!(
        "{STREAMS} streams: {from_new} began at version v2, {ended} ended as complete, {joined} are joined from two versions"
    ));
    if from_new == 0 {
        return Verdict::CannotRun("no stream began at the new version");
    }
    if joined > 0 { Verdict::Broken } else { Verdict::Held }
}
