//! Fixture of the admin API tests: a small fleet, and calls to it as operators send them.

use std::{path::PathBuf, time::Duration};

use fakes::FaultSet;
use http::{Method, StatusCode};
use local_fleet::{CallAnswer, FleetPlan, LocalFleet};
use serde_json::{Value, json};

pub(crate) const REASON: &str = "a test";

const POLL: Duration = Duration::from_millis(50);
const POLLS_MAX: u32 = 600;

/// A fleet of routers and a platform, without targets.
pub(crate) struct AdminFixture {
    pub(crate) fleet: LocalFleet,
    pub(crate) workdir: PathBuf,
}

impl AdminFixture {
    pub(crate) async fn start(name: &str, routers: usize) -> Self {
        let programs = std::env::current_exe().unwrap();
        let programs = programs.parent().and_then(|folder| folder.parent()).unwrap().to_owned();
        let workdir = programs.join("admin-tests").join(name);
        let _ = std::fs::remove_dir_all(&workdir);
        let plan = FleetPlan::new(&programs, &workdir).routers(routers).engines(0).services(0);
        let fleet = LocalFleet::start(plan).await.unwrap();
        Self { fleet, workdir }
    }

    pub(crate) async fn call(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: Option<&Value>,
    ) -> CallAnswer {
        let router = self.fleet.routers.iter().find(|router| router.process.is_some()).unwrap();
        let method = Method::from_bytes(method.as_bytes()).unwrap();
        let path = format!("/admin/v1/{path}");
        let body = body.map(ToString::to_string).unwrap_or_default();
        self.fleet
            .client()
            .call(method, router.operator_address, &path, headers, body)
            .await
            .unwrap()
    }

    pub(crate) async fn put_as(
        &self,
        token: &str,
        path: &str,
        version: Option<u64>,
        row: &Value,
    ) -> CallAnswer {
        let bearer = format!("Bearer {token}");
        let tag = version.map(|version| format!("\"{version}\""));
        let tag = tag.iter().map(|tag| ("if-match", &**tag));
        let other_headers = [("authorization", &*bearer), ("x-change-reason", REASON)];
        let headers: Vec<_> = tag.chain(other_headers).collect();
        self.call("PUT", path, &headers, Some(row)).await
    }

    pub(crate) async fn delete(&self, path: &str, version: u64) -> CallAnswer {
        self.call("DELETE", path, &[("if-match", &format!("\"{version}\""))], None).await
    }

    pub(crate) async fn rollback(&self, path: &str, to: &str, version: u64) -> CallAnswer {
        let path = format!("{path}/rollback?to={to}");
        self.call("POST", &path, &[("if-match", &format!("\"{version}\""))], None).await
    }

    pub(crate) async fn read(&self, path: &str) -> Value {
        let answer = self.call("GET", path, &[], None).await;
        assert_eq!(answer.status, StatusCode::OK, "{path}: {answer:?}");
        answer.json().unwrap()
    }

    pub(crate) async fn version(&self, path: &str) -> u64 {
        let answer = self.call("GET", path, &[], None).await;
        answer.header("etag").trim_matches('"').parse().unwrap()
    }

    pub(crate) async fn audit(&self) -> Vec<Value> {
        self.read("audit").await["entries"].as_array().cloned().unwrap()
    }

    pub(crate) async fn set_platform_faults(&self, faults: &FaultSet) {
        self.fleet.set_faults(self.fleet.platform, faults).await.unwrap();
    }

    /// Writes an object of the platform directly, without the admin API.
    pub(crate) async fn write_past_the_api(&self, object: &str, value: &Value) {
        let path = format!("/objects/{object}");
        let body = value.to_string();
        let client = self.fleet.client();
        client.call(Method::PUT, self.fleet.platform, &path, &[], body).await.unwrap();
    }

    pub(crate) async fn wait_audit(&self, router: usize, entries: usize) -> Value {
        let found = self
            .wait(router, "audit", |audit| {
                audit["entries"].as_array().is_some_and(|all| all.len() >= entries)
            })
            .await;
        found["entries"][0].clone()
    }

    pub(crate) async fn wait_row(&self, router: usize, key: &str) {
        self.wait(router, "status", |status| find_row(status, key)["deleted"] == json!(false))
            .await;
    }

    pub(crate) async fn wait_deleted(&self, router: usize, key: &str) {
        self.wait(router, "status", |status| find_row(status, key)["deleted"] == json!(true)).await;
    }

    pub(crate) async fn wait_rejected_row(&self, router: usize) -> Value {
        let has_rejected_row = |status: &Value| status["rows_held"][0].is_object();
        self.wait(router, "status", has_rejected_row).await["rows_held"][0].clone()
    }

    pub(crate) async fn wait_no_rejected_row(&self, router: usize) {
        self.wait(router, "status", |status| status["rows_held"] == json!([])).await;
    }

    async fn wait(&self, router: usize, path: &str, ready: impl Fn(&Value) -> bool) -> Value {
        let operator = self.fleet.routers[router].operator_address;
        let path = format!("/admin/v1/{path}");
        for _ in 0..POLLS_MAX {
            let answer = self.fleet.client().get_json::<Value>(operator, &path).await;
            if let Some(answer) = answer.ok().filter(&ready) {
                return answer;
            }
            tokio::time::sleep(POLL).await;
        }
        panic!("{path} did not reach the expected state in time");
    }
}

fn find_row<'a>(status: &'a Value, key: &str) -> &'a Value {
    let rows = status["rows"].as_array().into_iter().flatten();
    rows.into_iter().find(|row| row["key"] == key).unwrap_or(&Value::Null)
}

pub(crate) fn pool(name: &str, max_load_ratio: f64) -> Value {
    json!({
        "name": name, "team": "renewals", "group": "assistant", "kind": "engine",
        "repeatable": true, "max_load_ratio": max_load_ratio,
    })
}

pub(crate) fn chat_route() -> Value {
    json!({ "name": "chat", "team": "renewals", "path": "/v1/chat", "pool": "assistant" })
}
