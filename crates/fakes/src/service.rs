//! The plain service stand-in: executes calls and counts the executions of each operation.

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
    serve::{StandInError, read_body, serve},
};

/// One execution of an operation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceExecution {
    /// Idempotency key of the call; empty when the call had none.
    pub operation: Box<str>,
    /// Request key from the router's `x-request-id` header.
    pub request: Box<str>,
    /// Body of the call.
    pub content: Box<str>,
    /// Body of the answer.
    pub answer: Box<str>,
}

/// Runs a plain service stand-in that takes `call_time` for each call.
///
/// Executions are appended to the file at `journal_path`, so that they survive a kill.
///
/// # Errors
///
/// Fails when the address cannot be bound or the journal not opened.
pub async fn run_service(
    listen: SocketAddr,
    call_time: Duration,
    journal_path: Option<&Path>,
) -> Result<(), Report<StandInError>> {
    let faults = FaultState::default();
    let (journal, _) = ChangeJournal::open(journal_path)?;
    let state = Arc::new(ServiceState {
        execution_counts: Mutex::default(),
        journal,
        call_time,
        faults: faults.clone(),
    });
    let router = Router::new()
        .push(Router::with_path("runs").get(RunsHandler(state.clone())))
        .push(Router::with_path("{**path}").goal(CallHandler(state)));
    serve(listen, router, faults).await
}

struct ServiceState {
    execution_counts: Mutex<BTreeMap<String, u64>>,
    journal: ChangeJournal<ServiceExecution>,
    call_time: Duration,
    faults: FaultState,
}

struct CallHandler(Arc<ServiceState>);

struct RunsHandler(Arc<ServiceState>);

#[async_trait]
impl Handler for CallHandler {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let state = &self.0;
        let body = read_body(req).await;
        state.faults.abort_on_crash_text(&body);
        if state.faults.active().refuse {
            res.status_code(StatusCode::SERVICE_UNAVAILABLE);
            return;
        }
        let operation = req.header::<String>("idempotency-key").unwrap_or_default();
        let request = req.header::<String>("x-request-id").unwrap_or_default();
        let answer = state.execute(&operation, &request, &String::from_utf8_lossy(&body));
        state.faults.delay().await;
        tokio::time::sleep(state.call_time).await;
        if state.faults.consume_lost_answer() {
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
        let execution_counts =
            self.0.execution_counts.lock().unwrap_or_else(PoisonError::into_inner).clone();
        res.render(Json(execution_counts));
    }
}

impl ServiceState {
    /// Executes a call and records the execution, whether or not the answer is delivered.
    fn execute(&self, operation: &str, request: &str, content: &str) -> String {
        let count = self.count_execution(operation);
        let answer =
            json!({ "operation": operation, "run": count, "request": request, "echo": content });
        let answer = answer.to_string();
        self.journal.append(&ServiceExecution {
            operation: operation.into(),
            request: request.into(),
            content: content.into(),
            answer: answer.as_str().into(),
        });
        answer
    }

    fn count_execution(&self, operation: &str) -> u64 {
        let mut execution_counts =
            self.execution_counts.lock().unwrap_or_else(PoisonError::into_inner);
        let count = execution_counts.entry(operation.to_owned()).or_default();
        *count += 1;
        *count
    }
}
