//! REFUSED: a runner that was full sends a second copy of its 503 late, where the answer to the next
//! request is expected.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    Scene, Verdict,
    client::{Attempt, exchange, new_id, pick},
    config,
    gateway::Bounds,
    http::Conn,
    runner::{Runner, RunnerRules},
};

const ZONES: [&str; 4] = ["khomas-a", "khomas-b", "khomas-c", "khomas-d"];
/// Clients with a connection each, which send their next request as soon as they may.
const CLIENTS: u64 = 34;
/// Longest pause of a client between two requests.
const THINK_MS: u64 = 150;
/// Runners; the first [`FAULTY`] of them are faulty at times.
const RUNNERS: usize = 5;
const FAULTY: usize = 3;
/// Of the answers of a faulty runner, one in so many comes a second time (site file: share 0.6, x 0.03).
const COPY_EACH: u64 = 34;
/// Start of the first time in which they are faulty, the length of each (site file: for_s 5), the time
/// from one to the next, and how many there are.
const FAULT_START: f64 = 3.0;
const FAULT_TIME: f64 = 5.0;
const FAULT_INTERVAL: f64 = 8.0;
const FAULTS: u32 = 7;
const END: f64 = 60.0;

/// What an attempt to place an order got; status 0 is no answer.
struct Answered {
    id: String,
    order: u64,
    status: u16,
    at: f64,
}

pub fn play(mut scene: Scene) -> Verdict {
    let rules = RunnerRules {
        slots: 2,
        queue: 1,
        work: Duration::from_millis(60),
        events: 0,
        pause: Duration::ZERO,
        copy_each: COPY_EACH,
        event_bytes: 60,
    };
    let runners: Vec<Runner> = (0..RUNNERS)
        .map(|number| {
            let (id, zone) = (format!("i-desk{number}"), ZONES[number % ZONES.len()]);
            Runner::start(&id, "order-desk", zone, "v1", rules.clone(), &scene.record)
        })
        .collect();
    let services = "{\"name\":\"order-desk\",\"slots\":2,\"maxConns\":100}";
    // The site's routes of this kind have 1; with more, a request that is taken as declined is sent on.
    let attempts = std::env::var("ATTEMPTS").unwrap_or_else(|_| "1".to_owned());
    let routes = "{\"name\":\"cut\",\"host\":\"host.example\",\"pathPrefix\":\"/cut/\",\
                  \"kind\":\"non_idempotent\",\"timeoutMs\":1500,\"sloMs\":300,\"priority\":2,\
                  \"service\":\"order-desk\",\"attempts\":ATTEMPTS}"
        .replace("ATTEMPTS", &attempts);
    scene.store.put("config", "main", &config(3, services, &routes));
    for runner in &runners {
        scene.store.put("servers", &runner.id, &runner.entry("ready"));
    }
    let bounds = Bounds { drain_ms: 2000, retry_slack: 54, evacuations: false };
    let [a, b, c, d] = ZONES;
    scene.start_gateways(&[a, a, b, b, c, c, d], bounds);
    if !scene.wait_until_ready() {
        return Verdict::CannotRun("the gateways did not become ready");
    }
    let addresses = scene.gateways[0].resolve("khomas-a");
    let start = scene.record.now();
    scene.record.say("traffic starts");
    let is_over = Arc::new(AtomicBool::new(false));
    let answers: Arc<Mutex<Vec<Answered>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (is_over, answers, record) = (is_over.clone(), answers.clone(), scene.record.clone());
            let addresses = addresses.clone();
            thread::spawn(move || {
                let mut connection: Option<Conn> = None;
                let (mut round, mut order) = (number, number);
                while !is_over.load(Ordering::Relaxed) {
                    round += CLIENTS;
                    let think = round.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 40;
                    thread::sleep(Duration::from_millis(think % THINK_MS));
                    let mut current = match connection.take() {
                        Some(connection) => connection,
                        None => match pick(&addresses, round).map(Conn::connect) {
                            Some(Ok(connection)) => connection,
                            _ => {
                                thread::sleep(Duration::from_millis(100));
                                continue;
                            }
                        },
                    };
                    let id = new_id();
                    let body = format!("order {order}: cut one frame");
                    let attempt = Attempt {
                        method: "POST",
                        target: "/cut/order",
                        id: &id,
                        headers: "",
                        body: &body,
                        time_left: Duration::from_secs(3),
                    };
                    record.line(&format!("client {number} sends {id}, order {order}"));
                    let answer = exchange(&mut current, &attempt, |_| {});
                    let status = answer.as_ref().map_or(0, |answer| answer.status);
                    record.line(&format!("client {number} gets {status} to {id}"));
                    let answered = Answered { id, order, status, at: record.now() };
                    answers.lock().unwrap_or_else(|e| e.into_inner()).push(answered);
                    // An order is placed again only after the promise that it has not run.
                    if status != 503 {
                        order += CLIENTS;
                    }
                    let Some(answer) = answer else { continue };
                    if answer.whole && !answer.closes {
                        connection = Some(current);
                    }
                    if let Some(pause) = answer.retry_after {
                        thread::sleep(pause.min(Duration::from_secs(1)));
                    }
                }
            })
        })
        .collect();
    if scene.has_trouble() {
        for number in 0..FAULTS {
            let from = start + FAULT_START + f64::from(number) * FAULT_INTERVAL;
            scene.sleep_until(from);
            scene.record.say(&format!("{FAULTY} of {RUNNERS} runners begin to send some answers twice"));
            set_faulty(&runners, true);
            scene.sleep_until(from + FAULT_TIME);
            set_faulty(&runners, false);
            scene.record.say("they stop");
        }
    }
    scene.sleep_until(start + END);
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    // A request that was refused may still run later.
    thread::sleep(Duration::from_secs(2));
    let (runs, answers) = (scene.record.runs(), answers.lock().unwrap_or_else(|e| e.into_inner()));
    let mut refused_and_run = 0;
    let mut runs_by_order: BTreeMap<u64, usize> = BTreeMap::new();
    for Answered { id, order, status, at } in answers.iter() {
        *runs_by_order.entry(*order).or_default() += runs.get(id).map_or(0, Vec::len);
        if matches!(status, 408 | 421 | 429 | 503)
            && let Some(visit) = runs.get(id).and_then(|visits| visits.first())
        {
            refused_and_run += 1;
            scene.record.say(&format!(
                "REFUSED: {id} was answered {status} at {at:.3} and was run by {} at {:.3}",
                visit.runner, visit.at
            ));
        }
    }
    let twice = runs.values().filter(|visits| visits.len() > 1).count();
    let orders = runs_by_order.values().filter(|runs| **runs > 1).count();
    let count = |wanted: u16| answers.iter().filter(|answer| answer.status == wanted).count();
    scene.record.say(&format!(
        "{} attempts: {} got 200, {} got 503, {} got 502; {refused_and_run} refused and run, {twice} run twice; \
         {orders} orders were carried out more than once",
        answers.len(), count(200), count(503), count(502)
    ));
    if count(200) == 0 || count(503) == 0 {
        return Verdict::CannotRun("no request was served, or none was refused");
    }
    if refused_and_run + twice > 0 { Verdict::Broken } else { Verdict::Held }
}

fn set_faulty(runners: &[Runner], faulty: bool) {
    for runner in &runners[..FAULTY] {
        runner.faulty.store(faulty, Ordering::Relaxed);
    }
}
