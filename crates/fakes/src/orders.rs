//! Orders to load a model, as the model engine stand-in accepts them.

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

/// Models that the engine serves and loads, and every order that it accepted.
#[derive(Default)]
struct EngineModels {
    serving: Option<Value>,
    loading: Option<(Value, Instant)>,
    highest_fence: u64,
    accepted_orders: Vec<Value>,
}

/// The route at which an engine accepts orders to load a model and reports its models.
pub(crate) fn order_routes(faults: FaultState) -> Router {
    let state = Arc::new(OrderState { models: Mutex::default(), faults });
    Router::with_path("orders").get(StatusHandler(state.clone())).post(OrderHandler(state))
}

struct OrderState {
    models: Mutex<EngineModels>,
    faults: FaultState,
}

struct StatusHandler(Arc<OrderState>);

struct OrderHandler(Arc<OrderState>);

#[derive(Deserialize)]
struct OrderBody {
    fence: u64,
    spec: Value,
}

#[async_trait]
impl Handler for StatusHandler {
    async fn handle(&self, _: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        self.0.faults.delay().await;
        let models = self.0.lock_and_advance();
        let loading = models.loading.as_ref().map(|(spec, _)| spec);
        let status = json!({
            "serving": models.serving, "loading": loading, "taken": models.accepted_orders,
        });
        res.render(Json(status));
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
        let faults = self.0.faults.active();
        if faults.refuse {
            res.status_code(StatusCode::SERVICE_UNAVAILABLE);
            return;
        }
        if !self.0.lock_and_advance().accept(order, faults.ignore_fence) {
            res.status_code(StatusCode::CONFLICT);
        }
    }
}

impl OrderState {
    /// Locks the state and first completes a load whose time is over.
    fn lock_and_advance(&self) -> MutexGuard<'_, EngineModels> {
        let mut models = self.models.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((spec, _)) =
            models.loading.take_if(|(_, loaded_at)| *loaded_at <= Instant::now())
        {
            models.serving = Some(spec);
        }
        models
    }
}

impl EngineModels {
    /// Accepts an order unless its fencing number is older than the highest one; returns whether it
    /// did. An order for the model that is loading or served starts no load.
    fn accept(&mut self, order: OrderBody, ignore_fence: bool) -> bool {
        if order.fence < self.highest_fence && !ignore_fence {
            return false;
        }
        self.highest_fence = self.highest_fence.max(order.fence);
        let current = self.loading.as_ref().map(|(spec, _)| spec).or(self.serving.as_ref());
        let needs_load = current != Some(&order.spec);
        self.accepted_orders
            .push(json!({ "fence": order.fence, "spec": order.spec, "load": needs_load }));
        if needs_load {
            self.serving = None;
            self.loading = Some((order.spec, Instant::now() + LOAD_TIME));
        }
        true
    }
}
