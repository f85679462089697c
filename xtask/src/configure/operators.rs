//! Simulated operators that concurrently edit the same few rows through several routers.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use base_types::RowVersion;
use history_check::{EditCall, EditOutcome};
use http::{Method, StatusCode};
use local_fleet::{CallAnswer, HttpClient, LocalFleet};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use serde_json::{Value, json};

use crate::configure::{ConfigurePlan, ConfigureRun};

const ROW_COUNT: u32 = 4;
const EDIT_INTERVAL_MAX_MS: u64 = 400;

/// An operator that reads a row and edits it on condition that its version is still the one read.
pub(super) struct RacingOperator {
    run: Rc<ConfigureRun>,
    client: HttpClient,
    routers: Vec<SocketAddr>,
    platform: SocketAddr,
    index: usize,
    edits: u64,
    rng: SmallRng,
    bypass_api: bool,
}

impl RacingOperator {
    pub(super) fn new(
        run: Rc<ConfigureRun>,
        fleet: &LocalFleet,
        index: usize,
        plan: ConfigurePlan,
    ) -> Self {
        Self {
            run,
            client: fleet.client().clone(),
            routers: fleet.routers.iter().map(|router| router.operator_address).collect(),
            platform: fleet.platform,
            index,
            edits: 0,
            rng: SmallRng::seed_from_u64(plan.seed.wrapping_add(index as u64 + 1)),
            bypass_api: plan.bypass_api && index == 0,
        }
    }

    pub(super) async fn edit_until_finished(mut self) {
        while !self.run.edits_finished() {
            self.edit().await;
            let interval_ms = self.rng.random_range(0..EDIT_INTERVAL_MAX_MS);
            tokio::time::sleep(Duration::from_millis(interval_ms)).await;
        }
    }

    async fn edit(&mut self) {
        self.edits += 1;
        let name = format!("edit-{}-{}", self.index, self.edits);
        let row = format!("row-{}", self.rng.random_range(0..ROW_COUNT));
        let router = self.routers[self.rng.random_range(0..self.routers.len())];
        let path = format!("/admin/v1/pools/{row}");
        let current = self.client.call(Method::GET, router, &path, &[], "").await;
        let Ok(current) = current else { return };
        let etag = current.header("etag").to_owned();
        let method = match current.status {
            StatusCode::OK if self.rng.random_bool(0.15) => Method::DELETE,
            StatusCode::OK | StatusCode::NOT_FOUND => Method::PUT,
            _ => return,
        };
        if self.bypass_api && self.rng.random_bool(0.2) {
            return self.write_bypassing_api(&row).await;
        }
        let mut headers = vec![("x-change-reason", &*name)];
        if !etag.is_empty() {
            headers.push(("if-match", &*etag));
        }
        let body =
            if method == Method::PUT { self.random_pool(&row).to_string() } else { String::new() };
        let answer = self.client.call(method, router, &path, &headers, body).await;
        let outcome = answer.map_or(EditOutcome::Unknown, |answer| edit_outcome(&answer));
        let record = EditCall {
            name: name.into(),
            row: format!("pools/{row}").into(),
            answered_at: self.run.now(),
            outcome,
        };
        self.run.history.borrow_mut().edits.push(record);
    }

    fn random_pool(&mut self, row: &str) -> Value {
        json!({
            "name": row, "team": "renewals", "group": "assistant", "kind": "engine",
            "repeatable": true, "target_slots": self.rng.random_range(1..1000),
        })
    }

    /// Writes a row directly to the platform, without a stored edit request, an audit entry or a
    /// version condition.
    async fn write_bypassing_api(&mut self, row: &str) {
        let pool = self.random_pool(row);
        let body = json!({ "edit": "1-0000000000000000", "row": pool }).to_string();
        let path = format!("/objects/pools/{row}");
        let _ = self.client.call(Method::PUT, self.platform, &path, &[], body).await;
    }
}

fn edit_outcome(answer: &CallAnswer) -> EditOutcome {
    let body: Value = answer.json().unwrap_or_default();
    match (body["outcome"].as_str(), body["version"].as_u64()) {
        (Some("accepted"), Some(version)) => EditOutcome::Accepted(RowVersion(version)),
        (Some("not-accepted"), _) => EditOutcome::NotAccepted,
        _ => EditOutcome::Unknown,
    }
}
