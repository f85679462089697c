//! Explanation of a request by a router that did not serve it.

use std::time::Duration;

use http::{Method, StatusCode};
use local_fleet::{CallAnswer, FleetPlan, LocalFleet};
use serde_json::Value;

const POLL: Duration = Duration::from_millis(50);
const POLLS_MAX: u32 = 200;

async fn explain(fleet: &LocalFleet, router: usize, request: &str) -> CallAnswer {
    let operator = fleet.routers[router].operator_address;
    let path = format!("/admin/v1/explain/{request}");
    fleet.client().call(Method::GET, operator, &path, &[], "").await.unwrap()
}

#[tokio::test]
async fn a_request_is_explained_by_a_router_that_did_not_serve_it() {
    let programs = std::env::current_exe().unwrap();
    let programs = programs.parent().and_then(|folder| folder.parent()).unwrap().to_owned();
    let workdir = programs.join("explain-tests");
    let plan = FleetPlan::new(&programs, &workdir).routers(3).engines(1).services(1);
    let fleet = LocalFleet::start(plan).await.unwrap();
    fleet.put_tables().await.unwrap();
    let headers = [("idempotency-key", "explained")];
    let caller = fleet.routers[0].caller_address;
    let answer = fleet.client().call(Method::POST, caller, "/pay", &headers, "amount").await;
    let request = answer.unwrap().header("x-request-id").to_owned();
    let expected: Value = explain(&fleet, 0, &request).await.json().unwrap();
    for router in 1..3 {
        let explanation = wait_explained(&fleet, router, &request).await;
        assert_eq!(explanation["router"], *fleet.routers[0].host);
        assert_eq!(explanation["decisions"], expected["decisions"]);
    }
    let unknown = explain(&fleet, 1, "00000000000000000000000000000001").await;
    assert_eq!(unknown.status, StatusCode::NOT_FOUND);
    let text = unknown.json::<Value>().unwrap()["error"].to_string();
    assert!(text.contains("remembers no such request"), "{text}");
}

/// Waits until a router explains a request, as routers connect to each other only some time after
/// their start.
async fn wait_explained(fleet: &LocalFleet, router: usize, request: &str) -> Value {
    for _ in 0..POLLS_MAX {
        let answer = explain(fleet, router, request).await;
        if answer.status == StatusCode::OK {
            return answer.json().unwrap();
        }
        tokio::time::sleep(POLL).await;
    }
    panic!("router {router} did not explain {request} in time");
}
