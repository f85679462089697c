//! EVAC: a zone is evacuated a few seconds after the store came back from an older copy.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    Scene, Verdict,
    client::{Attempt, exchange, new_id},
    config,
    gateway::Bounds,
    http::Conn,
    runner::{Runner, RunnerRules},
};

const ZONES: [&str; 3] = ["ne-hartford", "ne-worcester", "ne-portland"];
/// `evacuateMs` of the site, in seconds.
const EVACUATE_S: f64 = 5.0;
const CLIENTS: u64 = 18;
/// Versions of the storm of configurations, 0.33 s apart.
const VERSIONS: u64 = 6;
const COPY: f64 = 2.0;
const FIRST_EVACUATION: f64 = 4.4;
const AWAY: f64 = 5.0;
const BACK: f64 = 6.0;
/// 5 s after the store is back: over `stableWindowMs` (4,000).
const SECOND_EVACUATION: f64 = 11.0;
/// The operator switches the evacuated zone off: twice `evacuateMs` after the acknowledgement.
const SWITCHED_OFF: f64 = 21.0;
const END: f64 = 30.0;

pub fn play(mut scene: Scene) -> Verdict {
    let rules = RunnerRules {
        slots: 6,
        queue: 24,
        work: Duration::from_millis(60),
        events: 0,
        pause: Duration::ZERO,
        copy_each: u64::MAX,
        event_bytes: 60,
    };
    let runners: Vec<Runner> = ZONES
        .iter()
        .map(|zone| {
            let id = format!("i-{zone}");
            Runner::start(&id, "dispatch-app", zone, "v1", rules.clone(), &scene.record)
        })
        .collect();
    let services = "{\"name\":\"dispatch-app\",\"slots\":6,\"maxConns\":470}";
    let routes = "{\"name\":\"book\",\"host\":\"host.example\",\"pathPrefix\":\"/book/\",\
                  \"kind\":\"non_idempotent\",\"timeoutMs\":600,\"sloMs\":120,\"priority\":2,\
                  \"service\":\"dispatch-app\",\"attempts\":1}";
    let mut version = 7;
    scene.store.put("config", "main", &config(version, services, routes));
    for runner in &runners {
        scene.store.put("servers", &runner.id, &runner.entry("ready"));
    }
    let bounds = Bounds { drain_ms: 3000, retry_slack: 176, evacuations: true };
    scene.start_gateways(&ZONES, bounds);
    if !scene.wait_until_ready() {
        return Verdict::CannotRun("the gateways did not become ready");
    }
    scene.sleep_until(scene.record.now() + 8.0);
    let addresses = scene.gateways[0].resolve("ne-hartford");
    let start = scene.record.now();
    scene.record.say("traffic starts");
    let (is_over, served) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
    let failed: Arc<Mutex<Vec<String>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (is_over, served, failed) = (is_over.clone(), served.clone(), failed.clone());
            let (record, addresses) = (scene.record.clone(), addresses.clone());
            thread::spawn(move || {
                // Each client uses one gateway, so that all of them get requests.
                let address = addresses[number as usize % addresses.len()];
                let mut connection = None;
                while !is_over.load(Ordering::Relaxed) {
                    thread::sleep(Duration::from_millis(100));
                    let current = connection.take().map_or_else(|| Conn::connect(address), Ok);
                    let Ok(mut current) = current else { continue };
                    let id = new_id();
                    let attempt = Attempt {
                        method: "POST",
                        target: "/book/visit",
                        id: &id,
                        headers: "",
                        body: "book a visit",
                        time_left: Duration::from_millis(600),
                    };
                    record.line(&format!("client {number} sends {id} to {address}"));
                    let answer = exchange(&mut current, &attempt, |_| {});
                    let status = answer.as_ref().map_or(0, |answer| answer.status);
                    record.line(&format!("client {number} gets {status} to {id}"));
                    served.fetch_add(u64::from(status == 200), Ordering::Relaxed);
                    if !matches!(status, 200 | 503) {
                        failed.lock().unwrap_or_else(|e| e.into_inner()).push(id);
                    }
                    if answer.is_some_and(|answer| answer.whole && !answer.closes) {
                        connection = Some(current);
                    }
                }
            })
        })
        .collect();
    scene.sleep_until(start + COPY);
    let copy = scene.store.copy();
    scene.record.say(&format!("the store copies itself at revision {}", scene.store.revision()));
    for _ in 0..VERSIONS {
        version += 1;
        let revision = scene.store.put("config", "main", &config(version, services, routes));
        scene.record.say(&format!("configuration {version} is acknowledged at revision {revision}"));
        thread::sleep(Duration::from_millis(330));
    }
    scene.sleep_until(start + FIRST_EVACUATION);
    let revision = scene.store.put("evacuations", ZONES[2], "{}");
    scene.record.say(&format!("the evacuation of {} is acknowledged at revision {revision}", ZONES[2]));
    if scene.has_trouble() {
        scene.sleep_until(start + AWAY);
        scene.store.go_away();
        scene.record.say("the store is away");
        scene.sleep_until(start + BACK);
        scene.store.come_back(&copy);
        scene.record.say(&format!("it is back from its copy, at revision {}", scene.store.revision()));
        thread::sleep(Duration::from_millis(200));
        scene.store.put("config", "main", &config(version, services, routes));
        scene.store.put("evacuations", ZONES[2], "{}");
        for runner in &runners {
            scene.store.put("servers", &runner.id, &runner.entry("ready"));
        }
        let revision = scene.store.revision();
        scene.record.say(&format!("the operator and the runners wrote again, up to revision {revision}"));
    }
    scene.sleep_until(start + SECOND_EVACUATION);
    let revision = scene.store.put("evacuations", ZONES[1], "{}");
    let acknowledged = scene.record.now();
    scene.record.say(&format!("the evacuation of {} is acknowledged at revision {revision}", ZONES[1]));
    scene.sleep_until(start + SWITCHED_OFF);
    runners[1].off.store(true, Ordering::Relaxed);
    scene.record.say(&format!("the runner in {} is switched off", ZONES[1]));
    scene.sleep_until(start + END);
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let bound = acknowledged + EVACUATE_S;
    let arrivals = scene.record.arrivals();
    let in_zone = arrivals.values().flatten().filter(|visit| visit.zone == ZONES[1]);
    let late: Vec<f64> = in_zone.map(|visit| visit.at).filter(|at| *at > bound).collect();
    let last = late.iter().copied().fold(0.0, f64::max);
    scene.record.say(&format!(
        "{} requests served; {} reached a runner in {} later than {EVACUATE_S} s after the acknowledgement \
         (at {acknowledged:.3}), the last one at {last:.3}",
        served.load(Ordering::Relaxed), late.len(), ZONES[1]
    ));
    let runs = scene.record.runs();
    let failed = failed.lock().unwrap_or_else(|e| e.into_inner());
    let lost = failed.iter().filter(|id| runs.get(*id).is_some_and(|visits| visits[0].zone == ZONES[1]));
    scene.record.say(&format!("{} bookings were at work there and got no answer of their runner", lost.count()));
    if served.load(Ordering::Relaxed) < 100 {
        return Verdict::CannotRun("hardly any request was served");
    }
    if late.is_empty() { Verdict::Held } else { Verdict::Broken }
}
