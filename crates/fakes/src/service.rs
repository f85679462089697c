//! The plain service stand-in: runs calls and counts how often each operation ran.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    path::Path,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use error_stack::Report;
use salvo::{
    Depot, FlowCtrl, Handler, Request, Response, Router, async_trait,
    http::StatusCode,
    writing::{Json, Text},
};
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::{
    faults::FaultState,
    journal::ChangeJournal,
    serve::{FakeError, read_body, serve},
};

/// One execution of an operation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRun {
    /// Idempotency key of the call.
    pub operation: Box<str>,
    /// Request key that the router gave.
    pub request: Box<str>,
    /// Body of the call.
    pub content: Box<str>,
    /// Body of the answer.
    pub answer: Box<str>,
}

/// Runs a plain service stand-in whose calls take `work`.
///
/// Executions are appended to the file `kept`, so that they outlive the process.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub async fn run_service(
    listen: SocketAddr,
    work: Duration,
    kept: Option<&Path>,
) -> Result<(), Report<FakeError>> {
    let faults = FaultState::default();
    let (journal, _) = ChangeJournal::open(kept)?;
    let state =
        Arc::new(ServiceState { runs: Mutex::default(), journal, work, faults: faults.clone() });
    let router = Router::new()
        .push(Router::with_path("runs").get(RunsHandler(state.clone())))
        .push(Router::with_path("{**path}").goal(CallHandler(state)));
    serve(listen, router, faults).await
}

struct ServiceState {
    runs: Mutex<BTreeMap<String, u64>>,
    journal: ChangeJournal<ServiceRun>,
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
        let request = req.header::<String>("x-request-id").unwrap_or_default();
        let answer = state.run(&operation, &request, &String::from_utf8_lossy(&body));
        state.faults.delay().await;
        tokio::time::sleep(state.work).await;
        if state.faults.take_lost_answer() {
            std::future::pending::<()>().await;
        }
        if let Some(value) = req.headers().get("x-request-id") {
            res.headers_mut().insert("x-request-id", value.clone());
        }
        res.render(Text::Json(answer));
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
    /// Executes a call; from here on it cannot be taken back.
    fn run(&self, operation: &str, request: &str, content: &str) -> String {
        let run = self.count_run(operation);
        let answer =
            json!({ "operation": operation, "run": run, "request": request, "echo": content });
        let answer = answer.to_string();
        self.journal.append(&ServiceRun {
            operation: operation.into(),
            request: request.into(),
            content: content.into(),
            answer: answer.as_str().into(),
        });
        answer
    }

    fn count_run(&self, operation: &str) -> u64 {
        let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        let count = runs.entry(operation.to_owned()).or_default();
        *count += 1;
        *count
    }
}
