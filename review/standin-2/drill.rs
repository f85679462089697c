//! A runner leaves; later the store comes back from a copy that still lists it.

use std::path::Path;
use std::thread::sleep;
use std::time::Duration;

use crate::rig::{CallShape, Gateway, Rig};
use crate::store::Store;

const DRAIN_MS: u64 = 3_000;
const HEARTBEAT_MS: u64 = 1_200;

const CONFIG: &str = r#"{"version":3,"routes":[{"name":"commit","host":"frames.example","pathPrefix":"/commit/",
"kind":"non_idempotent","timeoutMs":3000,"sloMs":300,"priority":2,"service":"order-desk","attempts":1,"public":true}],
"services":[{"name":"order-desk","healthPath":"/healthz","maxConns":100}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutMs":5000,"idleTimeoutMs":10000}}"#;

fn entry(address: &str, seq: u64) -> String {
    format!(
        "{{\"service\":\"order-desk\",\"address\":\"{address}\",\"zone\":\"zone-a\",\"version\":\"1\",\
         \"slots\":6,\"state\":\"ready\",\"coldLeftMs\":0,\"seq\":{seq},\"born\":1700000000000}}"
    )
}

/// Plays the case; returns whether the rule was broken.
pub fn play(record_path: &Path, folder: &Path, trouble: bool) -> bool {
    let (rig, store) = (Rig::new(), Store::default());
    store.put("config", "main", CONFIG);
    let mut runners = Vec::new();
    for id in ["i-1", "i-2", "i-3"] {
        let runner = rig.start_runner(id, "order-desk", Duration::from_millis(20));
        store.put("servers", id, &entry(&runner.address.to_string(), 1));
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
        CallShape { method: "POST", path: "/commit/1", host: "frames.example", deadline_ms: 3_000 };
    let mut clients = Vec::new();
    for number in 0..8 {
        clients.push(rig.start_client(&gateways[number % 2], call, Duration::from_millis(300)));
    }
    sleep(Duration::from_secs(3));
    let copy = store.copy();
    rig.record.add("store: the copy is made");
    sleep(Duration::from_secs(1));
    // This runner never reports `draining`: its entry is removed, and it serves for some seconds more.
    runners[0].await_idle();
    runners[0].leave();
    store.remove("servers", "i-1");
    let left_ms = rig.record.now_ms();
    rig.record.add("runner i-1 leaves, its entry is removed, accepted");
    sleep(Duration::from_secs(4));
    if trouble {
        store.set_away();
        rig.record.add("store: away");
        sleep(Duration::from_millis(500));
        store.restore(copy);
        rig.record.add("store: back from the copy of 5.5 s ago");
        // The others write again; the silent one is removed after three intervals.
        sleep(Duration::from_millis(HEARTBEAT_MS));
        for runner in &runners[1..] {
            store.put("servers", &runner.id, &entry(&runner.address.to_string(), 2));
        }
        sleep(Duration::from_millis(2 * HEARTBEAT_MS));
        store.remove("servers", "i-1");
        rig.record.add("store: entry of i-1 removed after three intervals of silence");
    } else {
        sleep(Duration::from_millis(500 + 3 * HEARTBEAT_MS));
    }
    sleep(Duration::from_secs(2));
    rig.stop_clients();
    clients.into_iter().for_each(|client| drop(client.join()));
    drop(gateways);

    let sent = rig.sent.lock().unwrap().clone();
    let arrivals = rig.arrivals.lock().unwrap().clone();
    let mut late = 0;
    for arrival in arrivals.iter().filter(|arrival| arrival.ran && arrival.runner == "i-1") {
        let request = sent.iter().find(|sent| sent.attempt == arrival.attempt);
        if let Some(request) = request.filter(|request| request.at_ms > left_ms + DRAIN_MS) {
            late += 1;
            rig.record.add(format!(
                "result: {} was sent to {} {} ms after i-1 had left, and ran there",
                request.attempt,
                request.gateway,
                request.at_ms - left_ms
            ));
        }
    }
    let before = arrivals.iter().filter(|a| a.runner == "i-1" && a.at_ms < left_ms).count();
    println!(
        "{late} requests ran at i-1 that were sent over {DRAIN_MS} ms after it had left; {before} before it left"
    );
    if before == 0 {
        crate::cannot_run("no request ran at i-1 before it left");
    }
    rig.record.write(record_path);
    late > 0
}
