//! A zone is evacuated and taken back; its runners have become cold shortly before, and said so.

use std::path::Path;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::Duration;

use crate::rig::{CallShape, Gateway, Rig, Runner};
use crate::store::Store;

/// Figures of the deployment: requests a second that a cold runner tolerates, and the rule's bound.
const COLD_PER_S: f64 = 14.0;
const COLD_OVERAGE: f64 = 1.5;
const COLD_SLACK: f64 = 5.0;
const COLD_MS: u64 = 3_000;

const CONFIG: &str = r#"{"version":1,"routes":[{"name":"reserve","host":"kiln.example","pathPrefix":"/reserve/",
"kind":"non_idempotent","timeoutMs":3000,"sloMs":300,"priority":2,"service":"bookings","attempts":1,"public":true}],
"services":[{"name":"bookings","healthPath":"/healthz","maxConns":470,"coldStartS":3,"coldPerS":14}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutMs":5000,"idleTimeoutMs":10000}}"#;

fn entry(address: &str, zone: &str, cold_left_ms: u64, seq: u64) -> String {
    format!(
        "{{\"service\":\"bookings\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"1\",\
         \"slots\":16,\"state\":\"ready\",\"coldLeftMs\":{cold_left_ms},\"seq\":{seq},\"born\":1700000000000}}"
    )
}

/// Requests in one second at which a cold runner crashes: well above what it tolerates, and above the bound.
const CRASH_PER_S: usize = 42;

/// Time for which a crashed runner takes no connections, in milliseconds.
const CRASH_MS: u64 = 2_000;

/// Crashes cold runners that get too many requests.
fn watch_cold(rig: Rig, runners: Vec<Runner>, cold_from: Arc<Mutex<Vec<(String, u64)>>>) {
    std::thread::spawn(move || {
        let mut crashed = Vec::new();
        loop {
            sleep(Duration::from_millis(5));
            let now = rig.record.now_ms();
            for (id, from) in cold_from.lock().unwrap().clone() {
                if now > from + COLD_MS || crashed.contains(&id) {
                    continue;
                }
                let arrivals = rig.arrivals.lock().unwrap();
                let recent = arrivals.iter().rev().take_while(|a| a.at_ms + 1_000 > now);
                let count = recent.filter(|a| a.ran && a.runner == id && a.at_ms >= from).count();
                drop(arrivals);
                if count >= CRASH_PER_S {
                    let runner = runners.iter().find(|runner| runner.id == id).unwrap();
                    rig.record
                        .add(format!("cold runner {id} crashes: {count} requests in a second"));
                    runner.set_down(true);
                    let down = runner.down_flag();
                    std::thread::spawn(move || {
                        sleep(Duration::from_millis(CRASH_MS));
                        down.store(false, Ordering::SeqCst);
                    });
                    crashed.push(id);
                }
            }
        }
    });
}

/// Plays the case of a zone that is taken back; returns whether the rule was broken.
pub fn play_zone(record_path: &Path, folder: &Path, trouble: bool) -> bool {
    let (rig, store) = (Rig::new(), Store::default());
    store.put("config", "main", CONFIG);
    let mut runners = Vec::new();
    for (id, zone) in
        [("a1", "zone-a"), ("a2", "zone-a"), ("b1", "zone-b"), ("b2", "zone-b"), ("b3", "zone-b")]
    {
        let runner = rig.start_runner(id, "bookings", Duration::from_millis(15));
        store.put("servers", id, &entry(&runner.address.to_string(), zone, 0, 1));
        runners.push((runner, zone));
    }
    let gateways: Vec<Gateway> = [("edge-1", "zone-a"), ("edge-2", "zone-b")]
        .into_iter()
        .map(|(name, zone)| Gateway::start(folder, name, zone, store.open_door().address))
        .collect();
    gateways.iter().for_each(Gateway::await_ready);
    // The gateways learn of each other.
    sleep(Duration::from_secs(3));
    let call =
        CallShape { method: "POST", path: "/reserve/1", host: "kiln.example", deadline_ms: 3_000 };
    let mut clients = Vec::new();
    for number in 0..30 {
        clients.push(rig.start_client(&gateways[number % 2], call, Duration::from_millis(80)));
    }
    sleep(Duration::from_secs(3));
    store.put("evacuations", "zone-b", "{}");
    rig.record.add("operator: evacuation of zone-b accepted");
    sleep(Duration::from_secs(8));
    let cold_from: Arc<Mutex<Vec<(String, u64)>>> = Arc::default();
    let cold_runners = runners.iter().map(|(runner, _)| runner.clone()).collect();
    watch_cold(rig.clone(), cold_runners, cold_from.clone());
    for (runner, zone) in runners.iter().filter(|(_, zone)| *zone == "zone-b") {
        if trouble {
            // Each runner writes its entry at its own heartbeat, before the zone is taken back.
            store.put("servers", &runner.id, &entry(&runner.address.to_string(), zone, COLD_MS, 2));
            rig.record
                .add(format!("runner {} is cold for {COLD_MS} ms, its entry says so", runner.id));
            cold_from.lock().unwrap().push((runner.id.clone(), rig.record.now_ms()));
        }
        sleep(Duration::from_millis(100));
    }
    store.remove("evacuations", "zone-b");
    rig.record.add("operator: zone-b is taken back, accepted");
    sleep(Duration::from_secs(6));
    rig.stop_clients();
    clients.into_iter().for_each(|client| drop(client.join()));
    drop(gateways);
    judge(&rig, &cold_from, record_path)
}

/// Plays the case of a store that is restored from a copy; returns whether the rule was broken.
pub fn play_drill(record_path: &Path, folder: &Path, trouble: bool) -> bool {
    let (rig, store) = (Rig::new(), Store::default());
    store.put("config", "main", CONFIG);
    let mut runners = Vec::new();
    for id in ["a1", "a2", "a3", "a4"] {
        let runner = rig.start_runner(id, "bookings", Duration::from_millis(15));
        store.put("servers", id, &entry(&runner.address.to_string(), "zone-a", 0, 1));
        runners.push(runner);
    }
    let gateways: Vec<Gateway> = ["edge-1", "edge-2"]
        .into_iter()
        .map(|name| Gateway::start(folder, name, "zone-a", store.open_door().address))
        .collect();
    gateways.iter().for_each(Gateway::await_ready);
    // The gateways learn of each other.
    sleep(Duration::from_secs(3));
    let call =
        CallShape { method: "POST", path: "/reserve/1", host: "kiln.example", deadline_ms: 3_000 };
    let mut clients = Vec::new();
    for number in 0..30 {
        clients.push(rig.start_client(&gateways[number % 2], call, Duration::from_millis(80)));
    }
    sleep(Duration::from_secs(3));
    let cold_from: Arc<Mutex<Vec<(String, u64)>>> = Arc::default();
    watch_cold(rig.clone(), runners.clone(), cold_from.clone());
    let copy = store.copy();
    rig.record.add("store: the copy is made");
    sleep(Duration::from_secs(2));
    // The runner writes every 1.2 s: now, in vain while the store is away, and after that.
    let address = runners[0].address.to_string();
    store.put("servers", "a1", &entry(&address, "zone-a", COLD_MS, 2));
    rig.record.add(format!("runner a1 is cold for {COLD_MS} ms, its entry says so"));
    cold_from.lock().unwrap().push(("a1".into(), rig.record.now_ms()));
    sleep(Duration::from_millis(900));
    if trouble {
        store.set_away();
        rig.record.add("store: away");
    }
    sleep(Duration::from_millis(500));
    if trouble {
        store.restore(copy);
        rig.record.add("store: back from the copy of 3.4 s ago");
    }
    sleep(Duration::from_millis(1_000));
    for (index, runner) in runners.iter().enumerate() {
        let cold_left_ms = if index == 0 { COLD_MS - 2_400 } else { 0 };
        let address = runner.address.to_string();
        store.put("servers", &runner.id, &entry(&address, "zone-a", cold_left_ms, 3));
    }
    rig.record.add("the runners write their entries again");
    sleep(Duration::from_secs(4));
    rig.stop_clients();
    clients.into_iter().for_each(|client| drop(client.join()));
    drop(gateways);
    judge(&rig, &cold_from, record_path)
}

/// Counts the requests of cold runners in any second; returns whether the rule was broken.
fn judge(rig: &Rig, cold_from: &Mutex<Vec<(String, u64)>>, record_path: &Path) -> bool {
    let bound = COLD_PER_S * COLD_OVERAGE + COLD_SLACK;
    let arrivals = rig.arrivals.lock().unwrap().clone();
    let mut is_broken = false;
    for (id, from) in cold_from.lock().unwrap().clone() {
        let mut times: Vec<u64> = arrivals
            .iter()
            .filter(|arrival| arrival.runner == id && arrival.ran)
            .map(|arrival| arrival.at_ms)
            .filter(|at| (from..from + COLD_MS).contains(at))
            .collect();
        times.sort_unstable();
        let in_second =
            |start: u64| times.iter().filter(|at| (start..start + 1_000).contains(*at)).count();
        let most = times.iter().map(|start| in_second(*start)).max().unwrap_or(0);
        rig.record.add(format!(
            "result: cold runner {id} got {most} requests in one second, bound {bound}"
        ));
        println!("cold runner {id} got at most {most} requests in one second, bound {bound}");
        is_broken |= most as f64 > bound;
    }
    let sent = rig.sent.lock().unwrap().clone();
    let lost = sent.iter().filter(|sent| {
        sent.status != 200 && arrivals.iter().any(|a| a.ran && a.attempt == sent.attempt)
    });
    let lost = lost.count();
    rig.record.add(format!("result: {lost} requests reached a runner and got no success"));
    println!("{lost} requests reached a runner and got no success");
    let served = sent.iter().filter(|sent| sent.status == 200).count();
    println!("{served} of {} requests answered 200", sent.len());
    if served == 0 {
        crate::cannot_run("no request was served");
    }
    rig.record.write(record_path);
    is_broken
}
