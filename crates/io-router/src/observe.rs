//! Health, readiness and metrics endpoints, and the middleware that counts requests.

use std::{sync::Arc, time::Instant};

use base_types::TimePoint;
use core_router::RouterCore;
use io_clock::MonotonicClock;
use io_platform::PlatformClient;
use io_telemetry::{ControlTraffic, RequestSample, RouterGauges, RouterMetrics, TargetSample};
use salvo::{
    Depot, FlowCtrl, Handler, Request, Response, Router, async_trait,
    http::{HeaderValue, StatusCode, header},
    writing::Json,
};
use serde_json::json;

use crate::{
    answer::{REQUEST_ID, RESULT_CODE},
    handle::LoopHandle,
    peers::PeerHandle,
};

const METRICS_TYPE: &str = "text/plain; version=0.0.4; charset=utf-8";

/// State shared by the handlers of probes and scrapes.
pub(crate) struct ObserveState {
    pub(crate) handle: LoopHandle,
    pub(crate) platform: PlatformClient,
    pub(crate) peers: PeerHandle,
    pub(crate) clock: MonotonicClock,
    pub(crate) metrics: Arc<RouterMetrics>,
}

/// Routes `/health`, `/ready` and `/metrics` of the operators' port, which need no token.
pub(crate) fn observe_router(state: ObserveState) -> Router {
    let state = Arc::new(state);
    Router::new()
        .push(Router::with_path("health").get(HealthHandler(state.clone())))
        .push(Router::with_path("ready").get(ReadyHandler(state.clone())))
        .push(Router::with_path("metrics").get(MetricsHandler(state)))
}

/// Middleware that counts and logs each request once its answer starts.
pub(crate) struct RequestHoop(pub(crate) Arc<RouterMetrics>);

struct HealthHandler(Arc<ObserveState>);

struct ReadyHandler(Arc<ObserveState>);

struct MetricsHandler(Arc<ObserveState>);

#[async_trait]
impl Handler for RequestHoop {
    async fn handle(
        &self,
        req: &mut Request,
        depot: &mut Depot,
        res: &mut Response,
        ctrl: &mut FlowCtrl,
    ) {
        let started_at = Instant::now();
        ctrl.call_next(req, depot, res).await;
        let text =
            |name| res.headers().get(name).and_then(|value: &HeaderValue| value.to_str().ok());
        let Some(code) = text(RESULT_CODE).and_then(|text| text.parse().ok()) else { return };
        let elapsed = started_at.elapsed();
        self.0.count_request(RequestSample { code, elapsed });
        log::debug!(
            request = text(REQUEST_ID).unwrap_or_default(),
            code,
            began_us = elapsed.as_micros() as u64;
            "answer started"
        );
    }
}

#[async_trait]
impl Handler for HealthHandler {
    async fn handle(&self, _: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let alive = self.0.handle.query(|_| ()).await.is_some();
        write_probe(res, alive, if alive { "the router runs" } else { "the router has ended" });
    }
}

#[async_trait]
impl Handler for ReadyHandler {
    async fn handle(&self, _: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let now = self.0.clock.now();
        let unready = self.0.handle.query(move |core| unready_reason(core, now)).await;
        match unready.unwrap_or(Some("the router has ended")) {
            None => write_probe(res, true, "the router takes new work"),
            Some(reason) => write_probe(res, false, reason),
        }
    }
}

#[async_trait]
impl Handler for MetricsHandler {
    async fn handle(&self, _: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let state = &self.0;
        let calls = state.platform.calls();
        let now = state.clock.now();
        let control = control_gauges(&state.peers);
        let gauges = state.handle.query(move |core| router_gauges(core, now, calls, control)).await;
        let scraped = gauges.and_then(|gauges| state.metrics.scrape(&gauges).ok());
        let Some(text) = scraped else {
            res.status_code(StatusCode::SERVICE_UNAVAILABLE);
            return;
        };
        res.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static(METRICS_TYPE));
        res.body(text);
    }
}

/// Why the router takes no new work; `None` when it does.
fn unready_reason(core: &RouterCore, now: TimePoint) -> Option<&'static str> {
    let status = core.status();
    if status.leaving {
        return Some("the router is shutting down");
    }
    if !status.tables_complete {
        return Some("the router has no tables yet");
    }
    if status.trusted_until.passed(now) {
        return Some("the router hears neither the platform nor its peers");
    }
    None
}

fn router_gauges(
    core: &RouterCore,
    now: TimePoint,
    platform_calls: u64,
    control: Vec<ControlTraffic>,
) -> RouterGauges {
    let target = |target: &core_router::TargetRecord| TargetSample {
        name: target.name.clone(),
        own_in_flight: u64::from(target.own_in_flight),
        accepts_work: core.accepts_work(target),
    };
    RouterGauges {
        requests_in_flight: core.status().requests as u64,
        ready: unready_reason(core, now).is_none(),
        row_versions: core.tables().changes().count() as u64,
        platform_calls,
        targets: core.targets().map(target).collect(),
        control,
    }
}

fn control_gauges(peers: &PeerHandle) -> Vec<ControlTraffic> {
    let kinds = peers.traffic().sent_by_kind().into_iter();
    kinds.map(|(kind, sent_bytes)| ControlTraffic { kind: kind.as_str(), sent_bytes }).collect()
}

fn write_probe(res: &mut Response, ok: bool, reason: &str) {
    if !ok {
        res.status_code(StatusCode::SERVICE_UNAVAILABLE);
    }
    res.render(Json(json!({ "ok": ok, "reason": reason })));
}
