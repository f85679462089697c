//! The plain service stand-in: runs calls and counts how often each operation ran.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use error_stack::Report;
use salvo::{
    Depot, FlowCtrl, Handler, Request, Response, Router, async_trait, http::StatusCode,
    writing::Json,
};
use serde_json::json;

use crate::{
    faults::FaultState,
    serve::{FakeError, read_body, serve},
};

/// Runs a plain service stand-in whose calls take `work`.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub async fn run_service(listen: SocketAddr, work: Duration) -> Result<(), Report<FakeError>> {
    let faults = FaultState::default();
    let state = Arc::new(ServiceState { runs: Mutex::default(), work, faults: faults.clone() });
    let router = Router::new()
        .push(Router::with_path("runs").get(RunsHandler(state.clone())))
        .push(Router::with_path("{**path}").goal(CallHandler(state)));
    serve(listen, router, faults).await
}

struct ServiceState {
    runs: Mutex<BTreeMap<String, u64>>,
    work: Duration,
    faults: FaultState,
}

struct CallHandler(Arc<ServiceState>);

struct RunsHandler(Arc<ServiceState>);

#[async_trait]
impl Handler for CallHandler {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let state = &self.0;
        let body = read_body(req).await;
        state.faults.crash_on(&body);
        if state.faults.order().refuse {
            res.status_code(StatusCode::SERVICE_UNAVAILABLE);
            return;
        }
        let operation = req.header::<String>("idempotency-key").unwrap_or_default();
        let run = state.count_run(&operation);
        state.faults.delay().await;
        tokio::time::sleep(state.work).await;
        if state.faults.take_lost_answer() {
            std::future::pending::<()>().await;
        }
        if let Some(value) = req.headers().get("x-request-id") {
            res.headers_mut().insert("x-request-id", value.clone());
        }
        let text = String::from_utf8_lossy(&body);
        res.render(Json(json!({ "operation": operation, "run": run, "echo": text })));
    }
}

#[async_trait]
impl Handler for RunsHandler {
    async fn handle(&self, _: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let runs = self.0.runs.lock().unwrap_or_else(PoisonError::into_inner).clone();
        res.render(Json(runs));
    }
}

impl ServiceState {
    fn count_run(&self, operation: &str) -> u64 {
        let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        let count = runs.entry(operation.to_owned()).or_default();
        *count += 1;
        *count
    }
}
