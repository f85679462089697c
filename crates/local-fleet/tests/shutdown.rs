//! Shutdown of a router by signal, on real processes.

use std::{fs, net::SocketAddr, path::PathBuf, time::Duration};

use fakes::FaultSet;
use http::Method;
use local_fleet::{ChatPrompt, FleetPlan, LocalFleet};
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
};

const POLL: Duration = Duration::from_millis(50);
const POLLS_MAX: u32 = 400;
const LINGER: Duration = Duration::from_secs(4);

fn programs() -> PathBuf {
    let test_program = std::env::current_exe().unwrap();
    test_program.parent().and_then(|folder| folder.parent()).unwrap().to_owned()
}

async fn start_fleet(name: &str, drain_timeout: Duration) -> (LocalFleet, PathBuf) {
    let workdir = programs().join("shutdown-tests").join(name);
    let _ = fs::remove_dir_all(&workdir);
    let plan = FleetPlan::new(&programs(), &workdir).routers(2).engines(1).services(1);
    let fleet =
        LocalFleet::start(plan.linger_time(LINGER).drain_timeout(drain_timeout)).await.unwrap();
    fleet.put_tables().await.unwrap();
    (fleet, workdir)
}

/// Requests a chat answer that streams for about `tokens` times 5 ms, and checks the answer.
async fn chat(fleet: &LocalFleet, tokens: u32) -> Result<bool, String> {
    let prompt = ChatPrompt { text: "A long letter.".into(), tokens };
    let path = "/v1/chat/completions";
    let router = fleet.routers[0].caller_address;
    let answer = fleet.client().call(Method::POST, router, path, &[], prompt.body()).await;
    answer.map(|answer| prompt.check(&answer).is_ok()).map_err(|report| report.to_string())
}

async fn pay(fleet: &LocalFleet, operation: &str) -> u16 {
    let headers = [("idempotency-key", operation)];
    let router = fleet.routers[0].caller_address;
    let answer = fleet.client().call(Method::POST, router, "/pay", &headers, "amount").await;
    answer.map(|answer| answer.code()).unwrap_or_default()
}

async fn wait_exited(fleet: &mut LocalFleet) {
    let process = fleet.routers[0].process.as_mut().unwrap();
    for _ in 0..POLLS_MAX {
        if let Some(status) = process.exit_status() {
            assert!(status.success(), "{status}");
            return;
        }
        tokio::time::sleep(POLL).await;
    }
    panic!("the router did not exit in time");
}

#[tokio::test]
async fn a_stopping_router_finishes_its_calls_and_still_accepts_new_ones() {
    let (mut fleet, _) = start_fleet("drain", Duration::from_secs(60)).await;
    let slow = FaultSet { lag_ms: 2500, ..FaultSet::default() };
    fleet.set_faults(fleet.services[0].address, &slow).await.unwrap();
    let terminate = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        fleet.routers[0].process.as_ref().unwrap().terminate();
        tokio::time::sleep(Duration::from_millis(300)).await;
        chat(&fleet, 4).await
    };
    let (long, paid, late) = tokio::join!(chat(&fleet, 600), pay(&fleet, "slow"), terminate);
    assert_eq!((long, paid, late), (Ok(true), 2000, Ok(true)));
    wait_exited(&mut fleet).await;
}

#[tokio::test]
async fn an_idle_stopping_router_serves_callers_with_an_older_address_list() {
    let (mut fleet, _) = start_fleet("linger", Duration::from_secs(60)).await;
    fleet.routers[0].process.as_ref().unwrap().terminate();
    tokio::time::sleep(Duration::from_millis(700)).await;
    assert_eq!((chat(&fleet, 4).await, pay(&fleet, "late").await), (Ok(true), 2000));
    wait_exited(&mut fleet).await;
}

/// Writes a pool whose calls may be retried, and a route to it; its service echoes the body.
async fn put_echo_tables(fleet: &LocalFleet) {
    let pool = json!({ "name": "echo", "team": "payments", "group": "payments",
        "kind": "service", "repeatable": true });
    let route = json!({ "name": "echo", "team": "payments", "path": "/echo", "pool": "echo" });
    fleet.put_row(0, "pools/echo", None, &pool).await.unwrap();
    fleet.put_row(0, "routes/echo", None, &route).await.unwrap();
    fleet.wait_rows(6).await.unwrap();
}

/// Opens a connection with a small receive buffer, so that the router must hold back most of a
/// large answer until the caller reads.
async fn connect_with_small_buffer(address: SocketAddr) -> TcpStream {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(16 * 1024).unwrap();
    socket.connect(address).await.unwrap()
}

#[tokio::test]
async fn a_slow_caller_receives_the_last_bytes_before_the_router_exits() {
    const ANSWER_BYTES: usize = 4_000_000;
    let (mut fleet, _) = start_fleet("flush", Duration::from_secs(60)).await;
    put_echo_tables(&fleet).await;
    let mut stream = connect_with_small_buffer(fleet.routers[0].caller_address).await;
    let head = format!("POST /echo HTTP/1.1\r\nhost: a\r\ncontent-length: {ANSWER_BYTES}\r\n\r\n");
    stream.write_all(head.as_bytes()).await.unwrap();
    stream.write_all(&vec![b'x'; ANSWER_BYTES]).await.unwrap();
    let mut chunk = [0; 4096];
    let mut bytes = stream.read(&mut chunk).await.unwrap();
    fleet.routers[0].process.as_ref().unwrap().terminate();
    tokio::time::sleep(LINGER * 2).await;
    let mut last = Vec::new();
    loop {
        let count = stream.read(&mut chunk).await.unwrap();
        if count == 0 {
            break;
        }
        bytes += count;
        last = chunk[..count].to_vec();
    }
    assert!(bytes > ANSWER_BYTES, "{bytes}");
    assert!(last.ends_with(b"0\r\n\r\n"), "{:?}", String::from_utf8_lossy(&last));
    wait_exited(&mut fleet).await;
}

#[tokio::test]
async fn a_second_signal_ends_the_router_and_each_aborted_request_is_logged() {
    let (mut fleet, workdir) = start_fleet("forced", Duration::from_secs(60)).await;
    let slow = FaultSet { lag_ms: 30_000, ..FaultSet::default() };
    fleet.set_faults(fleet.services[0].address, &slow).await.unwrap();
    let terminate = async {
        tokio::time::sleep(Duration::from_millis(500)).await;
        fleet.routers[0].process.as_ref().unwrap().terminate();
        tokio::time::sleep(Duration::from_millis(300)).await;
        fleet.routers[0].process.as_ref().unwrap().terminate();
    };
    let (long, paid, ()) = tokio::join!(chat(&fleet, 6000), pay(&fleet, "cut"), terminate);
    assert!(long.is_err(), "{long:?}");
    assert_eq!(paid, 3006);
    wait_exited(&mut fleet).await;
    let log = fs::read_to_string(workdir.join("router-0.log")).unwrap();
    assert_eq!(log.matches("request aborted by the shutdown").count(), 2, "{log}");
}

#[tokio::test]
async fn the_drain_deadline_ends_the_router() {
    let (mut fleet, _) = start_fleet("deadline", Duration::from_millis(1000)).await;
    let terminate = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        fleet.routers[0].process.as_ref().unwrap().terminate();
    };
    let (long, ()) = tokio::join!(chat(&fleet, 6000), terminate);
    assert!(long.is_err(), "{long:?}");
    wait_exited(&mut fleet).await;
}
