//! A route moves to another service while the store turns one gateway away; then the runner of the new service crashes.

use std::path::Path;
use std::thread::sleep;
use std::time::Duration;

use crate::rig::{CallShape, Gateway, Rig};
use crate::store::Store;

/// Time within which a configuration is in force, from the store's acknowledgement.
const CONFIG_APPLY_MS: u64 = 3_000;

fn config(version: u32, service: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"commit","host":"frames.example","pathPrefix":"/commit/",
"kind":"non_idempotent","timeoutMs":3000,"sloMs":300,"priority":2,"service":"{service}","attempts":1,"public":true}}],
"services":[{{"name":"old-desk","healthPath":"/healthz","maxConns":100}},{{"name":"new-desk","healthPath":"/healthz","maxConns":100}}],
"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutMs":5000,"idleTimeoutMs":10000}}}}"#
    )
}

fn entry(service: &str, address: &str, zone: &str) -> String {
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"1\",\
         \"slots\":6,\"state\":\"ready\",\"coldLeftMs\":0,\"seq\":1,\"born\":1700000000000}}"
    )
}

/// Plays the case; returns whether the rule was broken.
pub fn play(record_path: &Path, folder: &Path, trouble: bool) -> bool {
    let (rig, store) = (Rig::new(), Store::default());
    store.put("config", "main", &config(3, "old-desk"));
    let mut runners = Vec::new();
    for (id, service) in [("old-1", "old-desk"), ("old-2", "old-desk"), ("new-1", "new-desk")] {
        let runner = rig.start_runner(id, service, Duration::from_millis(20));
        store.put("servers", id, &entry(service, &runner.address.to_string(), "zone-a"));
        runners.push(runner);
    }
    let doors: Vec<_> = (0..3).map(|_| store.open_door()).collect();
    let names = ["edge-1", "edge-2", "edge-3"];
    let gateways: Vec<Gateway> = (0..3)
        .map(|index| Gateway::start(folder, names[index], "zone-a", doors[index].address))
        .collect();
    gateways.iter().for_each(Gateway::await_ready);
    // The gateways learn of each other.
    sleep(Duration::from_secs(3));
    let call =
        CallShape { method: "POST", path: "/commit/1", host: "frames.example", deadline_ms: 3_000 };
    let mut clients = Vec::new();
    for number in 0..8 {
        clients.push(rig.start_client(&gateways[number % 2], call, Duration::from_millis(200)));
    }
    sleep(Duration::from_secs(3));
    if trouble {
        doors[2].turn_away(&store, true);
        rig.record.add("store: edge-3 is turned away (503), all others are served");
    }
    sleep(Duration::from_millis(500));
    store.put("config", "main", &config(7, "new-desk"));
    let acknowledged_ms = rig.record.now_ms();
    rig.record.add("operator: version 7 moves the route from old-desk to new-desk, accepted");
    sleep(Duration::from_millis(3_500));
    if trouble {
        runners[2].set_down(true);
        rig.record.add("runner new-1 crashes");
    }
    sleep(Duration::from_millis(4_000));
    runners[2].set_down(false);
    rig.record.add("runner new-1 is back");
    sleep(Duration::from_millis(500));
    doors[2].turn_away(&store, false);
    rig.record.add("store: edge-3 is served again");
    sleep(Duration::from_secs(3));
    rig.stop_clients();
    clients.into_iter().for_each(|client| drop(client.join()));
    drop(gateways);

    let sent = rig.sent.lock().unwrap().clone();
    let late: Vec<_> =
        sent.iter().filter(|sent| sent.at_ms > acknowledged_ms + CONFIG_APPLY_MS).collect();
    let arrivals = rig.arrivals.lock().unwrap().clone();
    let mut stale = 0;
    for sent in &late {
        let ran = arrivals.iter().find(|arrival| {
            arrival.ran && arrival.attempt == sent.attempt && arrival.service == "old-desk"
        });
        if let Some(arrival) = ran {
            stale += 1;
            rig.record.add(format!(
                "result: {} was sent to {} {} ms after the acknowledgement and ran at {} of old-desk",
                sent.attempt, sent.gateway, sent.at_ms - acknowledged_ms, arrival.runner
            ));
        }
    }
    let new =
        arrivals.iter().filter(|arrival| arrival.ran && arrival.service == "new-desk").count();
    println!(
        "{stale} of {} requests that were sent over {CONFIG_APPLY_MS} ms after the acknowledgement ran at the old service; {new} ran at the new one",
        late.len()
    );
    if new == 0 {
        crate::cannot_run("no request ran at the new service");
    }
    rig.record.write(record_path);
    stale > 0
}
