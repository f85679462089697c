//! One operator who edits pools at random, in a race with others.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use http::{Method, StatusCode};
use local_fleet::{CallAnswer, HttpCaller};
use rand::Rng;
use serde_json::{Value, json};

use crate::tables::{POOLS, RunLog};

const EDIT_PAUSE: Duration = Duration::from_millis(40);
const DELETE_SHARE: f64 = 0.15;

/// A pool's row.
pub(super) fn pool_row(pool: usize, max_load_ratio: f64) -> Value {
    json!({
        "name": format!("pool-{pool}"), "team": "renewals", "group": "assistant",
        "kind": "engine", "repeatable": true, "max_load_ratio": max_load_ratio,
    })
}

/// A pool's path in the administration API.
pub(super) fn pool_path(pool: usize) -> String {
    format!("pools/pool-{pool}")
}

/// Edits until the time is over and writes down what was said of each edit.
pub(super) async fn run_operator(
    caller: HttpCaller,
    routers: Vec<SocketAddr>,
    log: Arc<RunLog>,
    span: Duration,
) {
    while log.start.elapsed() < span {
        let (router, pool) = {
            let mut random = rand::rng();
            (routers[random.random_range(0..routers.len())], random.random_range(0..POOLS))
        };
        if let Some(answer) = edit(&caller, router, pool).await {
            note(&log, &pool_path(pool), &answer);
        }
        tokio::time::sleep(EDIT_PAUSE).await;
    }
}

/// Reads a pool and edits what was read; `None` when the router did not answer.
async fn edit(caller: &HttpCaller, router: SocketAddr, pool: usize) -> Option<CallAnswer> {
    let path = format!("/admin/v1/{}", pool_path(pool));
    let read = caller.call(Method::GET, router, &path, &[], "").await.ok()?;
    let tag = read.header("etag").to_owned();
    let reason = ("x-change-reason", "the check of tables");
    if read.status == StatusCode::NOT_FOUND {
        let row = pool_row(pool, 1.5).to_string();
        return caller.call(Method::PUT, router, &path, &[reason], row).await.ok();
    }
    let headers = [("if-match", &*tag), reason];
    let (delete, ratio) = {
        let mut random = rand::rng();
        (random.random_bool(DELETE_SHARE), random.random_range(1.0..9.0))
    };
    if delete {
        return caller.call(Method::DELETE, router, &path, &headers, "").await.ok();
    }
    let row = pool_row(pool, ratio).to_string();
    caller.call(Method::PUT, router, &path, &headers, row).await.ok()
}

fn note(log: &RunLog, row: &str, answer: &CallAnswer) {
    let body: Value = answer.json().unwrap_or_default();
    match (body["outcome"].as_str(), body["version"].as_u64(), body["edit"].as_str()) {
        (Some("accepted"), Some(version), _) => log.accept(row, version),
        (Some("unknown"), _, Some(edit)) => log.doubt(edit),
        _ => log.refuse(),
    }
}
