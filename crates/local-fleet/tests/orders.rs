//! Orders to engines to load a model, on real processes.

use std::{collections::BTreeSet, time::Duration};

use fakes::FaultSet;
use local_fleet::{FleetPlan, LocalFleet};
use serde_json::{Value, json};

const ENGINES: usize = 3;
const POLL: Duration = Duration::from_millis(100);
const POLLS_MAX: u32 = 600;

async fn start_fleet(name: &str) -> LocalFleet {
    let programs = std::env::current_exe().unwrap();
    let programs = programs.parent().and_then(|folder| folder.parent()).unwrap().to_owned();
    let workdir = programs.join("order-tests").join(name);
    let _ = std::fs::remove_dir_all(&workdir);
    let plan = FleetPlan::new(&programs, &workdir).routers(2).engines(ENGINES).services(0);
    LocalFleet::start(plan.model_load_interval(Duration::from_millis(500))).await.unwrap()
}

fn pool(version: &str) -> Value {
    json!({
        "name": "assistant", "team": "renewals", "group": "assistant", "kind": "engine",
        "repeatable": true, "may_interrupt": version == "1",
        "serving": { "model": "catalogue", "version": version, "adapters": ["frames"] },
    })
}

async fn order_reports(fleet: &LocalFleet) -> Vec<Value> {
    let mut order_reports = Vec::new();
    for engine in &fleet.engines {
        order_reports
            .push(fleet.client().get_json::<Value>(engine.address, "/orders").await.unwrap());
    }
    order_reports
}

async fn wait_serving(fleet: &LocalFleet, engines: usize, version: &str) {
    for _ in 0..POLLS_MAX {
        let order_reports = order_reports(fleet).await;
        let served = order_reports.iter().filter(|report| report["serving"]["version"] == version);
        if served.count() >= engines {
            return;
        }
        tokio::time::sleep(POLL).await;
    }
    panic!("{engines} engines do not serve version {version} in time");
}

/// Index of the router that holds the lease for orders.
async fn lease_holder(fleet: &LocalFleet) -> usize {
    let object = fleet.client().get_json::<Value>(fleet.platform, "/objects/orders/lease").await;
    let host = object.unwrap()["value"]["owner"]["host"].as_str().unwrap().to_owned();
    fleet.routers.iter().position(|router| *router.host == *host).unwrap()
}

async fn pool_version(fleet: &LocalFleet, router: usize) -> u64 {
    let operator = fleet.routers[router].operator_address;
    let listed = fleet.client().get_json::<Value>(operator, "/admin/v1/pools").await.unwrap();
    listed["rows"][0]["version"].as_u64().unwrap()
}

/// Checks that every engine accepted orders by ascending fencing number and loaded each version
/// at most once.
fn check_orders(order_reports: &[Value]) {
    for report in order_reports {
        let taken = report["taken"].as_array().unwrap();
        let fences: Vec<u64> = taken.iter().map(|order| order["fence"].as_u64().unwrap()).collect();
        assert!(fences.is_sorted(), "{fences:?}");
        let loads = taken.iter().filter(|order| order["load"] == json!(true));
        let versions: Vec<&str> =
            loads.map(|order| order["spec"]["version"].as_str().unwrap()).collect();
        let distinct: BTreeSet<&str> = versions.iter().copied().collect();
        assert_eq!(versions.len(), distinct.len(), "{versions:?}");
    }
}

#[tokio::test]
async fn engines_that_ignore_fencing_are_ordered_by_another_router_after_a_freeze() {
    let fleet = start_fleet("freeze").await;
    for engine in &fleet.engines {
        let faults = FaultSet { ignore_fence: true, ..FaultSet::default() };
        fleet.set_faults(engine.address, &faults).await.unwrap();
    }
    fleet.put_row(0, "pools/assistant", None, &pool("1")).await.unwrap();
    wait_serving(&fleet, ENGINES, "1").await;
    let lease_holder = lease_holder(&fleet).await;
    let other = 1 - lease_holder;
    // The frozen router is removed from the host list too, as the first router in the list is the
    // one that sends orders.
    fleet.routers[lease_holder].process.iter().for_each(|process| process.freeze());
    fleet.set_host_entry(&fleet.routers[lease_holder].host, None).await.unwrap();
    let version = pool_version(&fleet, other).await;
    fleet.put_row(other, "pools/assistant", Some(version), &pool("2")).await.unwrap();
    wait_serving(&fleet, 1, "2").await;
    fleet.routers[lease_holder].process.iter().for_each(|process| process.resume());
    wait_serving(&fleet, ENGINES, "2").await;
    check_orders(&order_reports(&fleet).await);
}

#[tokio::test]
async fn two_pools_cannot_order_the_same_engines() {
    let fleet = start_fleet("same").await;
    fleet.put_row(0, "pools/assistant", None, &pool("1")).await.unwrap();
    let mut second = pool("2");
    second["name"] = json!("second");
    let refused = fleet.put_row(1, "pools/second", None, &second).await;
    assert!(format!("{:?}", refused.unwrap_err()).contains("gives orders to the same group"));
}
