//! A bound of the settings becomes a fraction; then the machines are restarted in turn.

use std::path::Path;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::rig::{CallShape, Gateway, Rig};
use crate::store::Store;

/// Starts after which a program that ends each time counts as one that does not start.
const STARTS: usize = 4;

const CONFIG: &str = r#"{"version":3,"routes":[{"name":"lookup","host":"desk.example","pathPrefix":"/lookup/",
"kind":"idempotent","timeoutMs":3000,"sloMs":300,"priority":2,"service":"desk","attempts":2,"public":true}],
"services":[{"name":"desk","healthPath":"/healthz","maxConns":470}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutMs":5000,"idleTimeoutMs":10000}}"#;

fn entry(address: &str) -> String {
    format!(
        "{{\"service\":\"desk\",\"address\":\"{address}\",\"zone\":\"zone-a\",\"version\":\"1\",\
         \"slots\":6,\"state\":\"ready\",\"coldLeftMs\":0,\"seq\":1,\"born\":1700000000000}}"
    )
}

/// Plays the case; returns whether the rule was broken.
pub fn play(record_path: &Path, folder: &Path, trouble: bool) -> bool {
    let (rig, store) = (Rig::new(), Store::default());
    store.put("config", "main", CONFIG);
    let runner = rig.start_runner("i-1", "desk", Duration::from_millis(15));
    store.put("servers", "i-1", &entry(&runner.address.to_string()));
    let mut gateways: Vec<Gateway> = ["edge-1", "edge-2"]
        .into_iter()
        .map(|name| Gateway::start(folder, name, "zone-a", store.open_door().address))
        .collect();
    gateways.iter().for_each(Gateway::await_ready);
    rig.record.add("both gateways are ready");
    sleep(Duration::from_secs(2));
    let grace_s = if trouble { "7.5" } else { "7" };
    for gateway in &mut gateways {
        gateway.set_field("bounds.graceS", grace_s);
        gateway.set_field("bootstrap", "false");
        gateway.write_settings();
        gateway.signal("HUP");
    }
    rig.record.add(format!("platform: settings changed, `graceS` is {grace_s}; SIGHUP"));
    sleep(Duration::from_secs(1));
    let mut not_started = 0;
    for gateway in &mut gateways {
        gateway.signal("TERM");
        rig.record.add(format!("platform: SIGTERM to {}", gateway.name));
        let stopped = gateway.await_end(Duration::from_secs(9));
        rig.record.add(format!("{} ended in time: {stopped}", gateway.name));
        let mut is_up = false;
        for start in 1..=STARTS {
            sleep(Duration::from_millis(300));
            gateway.start_again();
            if gateway.await_end(Duration::from_secs(2)) {
                rig.record
                    .add(format!("{}: start {start}, the process ends by itself", gateway.name));
                continue;
            }
            is_up = true;
            break;
        }
        rig.record.add(format!("result: {} started: {is_up}", gateway.name));
        not_started += usize::from(!is_up);
    }
    let call =
        CallShape { method: "GET", path: "/lookup/1", host: "desk.example", deadline_ms: 1_000 };
    let clients: Vec<_> =
        gateways.iter().map(|g| rig.start_client(g, call, Duration::from_millis(200))).collect();
    let until = Instant::now() + Duration::from_secs(3);
    while Instant::now() < until {
        sleep(Duration::from_millis(100));
    }
    rig.stop_clients();
    clients.into_iter().for_each(|client| drop(client.join()));
    let sent = rig.sent.lock().unwrap().clone();
    let served = sent.iter().filter(|sent| sent.status == 200).count();
    println!(
        "{not_started} of 2 gateways did not start in {STARTS} starts; {served} of {} requests served",
        sent.len()
    );
    rig.record
        .add(format!("result: {served} of {} requests after the restarts served", sent.len()));
    rig.record.write(record_path);
    not_started > 0
}
