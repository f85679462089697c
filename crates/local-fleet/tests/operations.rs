//! Operations with an unknown outcome, and their settlement by operators, on real processes.

use std::{path::PathBuf, time::Duration};

use base_types::test_cases;
use fakes::FaultSet;
use http::{Method, StatusCode};
use local_fleet::{FleetPlan, LocalFleet, READER_TOKEN};
use serde_json::{Value, json};

const POLL: Duration = Duration::from_millis(50);
const POLLS_MAX: u32 = 200;

fn programs() -> PathBuf {
    let test_program = std::env::current_exe().unwrap();
    test_program.parent().and_then(|folder| folder.parent()).unwrap().to_owned()
}

async fn pay(fleet: &LocalFleet, router: usize) -> u16 {
    let router = fleet.routers[router].caller_address;
    let headers = [("idempotency-key", "payment")];
    let answer = fleet.client().call(Method::POST, router, "/pay", &headers, "amount").await;
    answer.unwrap().code()
}

async fn settle(fleet: &LocalFleet, token: Option<&str>, order: &Value) -> StatusCode {
    let bearer = token.map(|token| format!("Bearer {token}"));
    let headers: Vec<_> = bearer.iter().map(|bearer| ("authorization", &**bearer)).collect();
    let operator = fleet.routers[1].operator_address;
    let path = "/admin/v1/operations/payments/settle";
    let body = order.to_string();
    fleet.client().call(Method::POST, operator, path, &headers, body).await.unwrap().status
}

async fn open_operations(fleet: &LocalFleet, query: &str) -> Vec<Value> {
    let path = format!("/admin/v1/operations/payments{query}");
    let body: Value =
        fleet.client().get_json(fleet.routers[1].operator_address, &path).await.unwrap();
    body["operations"].as_array().unwrap().clone()
}

/// Kills the service while it executes the operation, so that the outcome is unknown.
async fn kill_during_operation(fleet: &mut LocalFleet) {
    let slow = FaultSet { lag_ms: 60_000, ..FaultSet::default() };
    fleet.set_faults(fleet.services[0].address, &slow).await.unwrap();
    let service = fleet.services[0].process.take();
    let kill = async {
        for _ in 0..POLLS_MAX {
            if !fleet.service_executions().unwrap().is_empty() {
                return drop(service);
            }
            tokio::time::sleep(POLL).await;
        }
        panic!("the service did not execute the operation in time");
    };
    let (code, ()) = tokio::join!(pay(fleet, 0), kill);
    assert_eq!(code, 3001);
}

fn check_settled(name: &str, outcome: &str, retry_code: u16) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let workdir = programs().join("operation-tests").join(name);
        let plan = FleetPlan::new(&programs(), &workdir).routers(2).engines(0).services(1);
        let mut fleet = LocalFleet::start(plan).await.unwrap();
        fleet.put_tables().await.unwrap();
        kill_during_operation(&mut fleet).await;
        let order = json!({ "account": "anonymous", "operation": "payment", "outcome": outcome, "reason": "the till" });
        let mut open = open_operations(&fleet, "").await;
        for _ in 0..POLLS_MAX {
            if !open.is_empty() {
                break;
            }
            tokio::time::sleep(POLL).await;
            open = open_operations(&fleet, "").await;
        }
        assert_eq!(open[0]["state"], "unsettled");
        assert_eq!(pay(&fleet, 1).await, 3004);
        assert_eq!(settle(&fleet, Some(READER_TOKEN), &order).await, StatusCode::FORBIDDEN);
        assert_eq!(settle(&fleet, None, &order).await, StatusCode::OK);
        assert_eq!(settle(&fleet, None, &order).await, StatusCode::CONFLICT);
        assert!(open_operations(&fleet, "").await.is_empty());
        let settled = open_operations(&fleet, "?state=settled").await;
        assert_eq!(settled[0]["settlement"]["operator"], "operator");
        assert_eq!(settled[0]["settlement"]["reason"], "the till");
        assert_eq!(pay(&fleet, 0).await, retry_code);
        assert_eq!(fleet.service_executions().unwrap().len(), 1);
    });
}

test_cases! {
    check_settled:
    an_operation_settled_as_run("run", "run", 2002);
    an_operation_settled_as_not_run("not-run", "not-run", 1020);
}
