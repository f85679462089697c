//! How the model engine stand-in takes orders.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use salvo::{
    Depot, FlowCtrl, Handler, Request, Response, Router, async_trait, http::StatusCode,
    writing::Json,
};
use serde::Deserialize;
use serde_json::{Value, json};

use crate::{faults::FaultState, serve::read_body};

const LOAD_TIME: Duration = Duration::from_millis(400);

/// What the engine serves and loads, and every order that it took.
#[derive(Default)]
struct EngineLoads {
    serving: Option<Value>,
    loading: Option<(Value, Instant)>,
    highest: u64,
    taken: Vec<Value>,
}

/// The routes at which an engine is ordered and reports.
pub(crate) fn order_routes(faults: FaultState) -> Router {
    let state = Arc::new(OrderState { loads: Mutex::default(), faults });
    Router::with_path("orders").get(ReportHandler(state.clone())).post(OrderHandler(state))
}

struct OrderState {
    loads: Mutex<EngineLoads>,
    faults: FaultState,
}

struct ReportHandler(Arc<OrderState>);

struct OrderHandler(Arc<OrderState>);

#[derive(Deserialize)]
struct OrderBody {
    fence: u64,
    spec: Value,
}

#[async_trait]
impl Handler for ReportHandler {
    async fn handle(&self, _: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        self.0.faults.delay().await;
        let loads = self.0.settled();
        let loading = loads.loading.as_ref().map(|(spec, _)| spec);
        let report = json!({ "serving": loads.serving, "loading": loading, "taken": loads.taken });
        res.render(Json(report));
    }
}

#[async_trait]
impl Handler for OrderHandler {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let body = read_body(req).await;
        self.0.faults.delay().await;
        let Ok(order) = serde_json::from_slice::<OrderBody>(&body) else {
            res.status_code(StatusCode::BAD_REQUEST);
            return;
        };
        let faults = self.0.faults.order();
        if faults.refuse {
            res.status_code(StatusCode::SERVICE_UNAVAILABLE);
            return;
        }
        if !self.0.settled().take(order, faults.ignore_fence) {
            res.status_code(StatusCode::CONFLICT);
        }
    }
}

impl OrderState {
    /// The loads, with one that is due ended.
    fn settled(&self) -> MutexGuard<'_, EngineLoads> {
        let mut loads = self.loads.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((spec, _)) = loads.loading.take_if(|(_, end)| *end <= Instant::now()) {
            loads.serving = Some(spec);
        }
        loads
    }
}

impl EngineLoads {
    /// Takes an order unless its number is old; one that is under way or done changes nothing.
    fn take(&mut self, order: OrderBody, ignore_fence: bool) -> bool {
        if order.fence < self.highest && !ignore_fence {
            return false;
        }
        self.highest = self.highest.max(order.fence);
        let current = self.loading.as_ref().map(|(spec, _)| spec).or(self.serving.as_ref());
        let load = current != Some(&order.spec);
        self.taken.push(json!({ "fence": order.fence, "spec": order.spec, "load": load }));
        if load {
            self.serving = None;
            self.loading = Some((order.spec, Instant::now() + LOAD_TIME));
        }
        true
    }
}
