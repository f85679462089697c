//! HTTP client of the order API of engines.

use std::{collections::BTreeMap, time::Duration};

use base_types::HostName;
use bytes::Bytes;
use futures_util::future::join_all;
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use state_orders::{EngineOrder, EngineReport};
use tokio::time::Instant;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);
const REPORT_BYTES_MAX: usize = 256 * 1024;

/// Client of the engines' order API.
pub(super) struct EngineClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl EngineClient {
    pub(super) fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let client =
            Client::builder(TokioExecutor::new()).retry_canceled_requests(false).build(connector);
        Self { client }
    }

    /// Fetches the reports of all engines concurrently; engines that do not answer are omitted.
    pub(super) async fn reports(
        &self,
        addresses: &BTreeMap<HostName, Box<str>>,
    ) -> BTreeMap<HostName, EngineReport> {
        let reports = addresses.iter().map(|(name, address)| async {
            let report = tokio::time::timeout(REPORT_TIMEOUT, self.report(address)).await;
            Some((name.clone(), report.ok()??))
        });
        join_all(reports).await.into_iter().flatten().collect()
    }

    /// Sends an order; `None` when it failed or no answer arrived before the deadline.
    pub(super) async fn order(
        &self,
        address: &str,
        order: &EngineOrder,
        deadline: Instant,
    ) -> Option<StatusCode> {
        let body = serde_json::to_vec(order).ok()?;
        let request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{address}/orders"))
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))
            .ok()?;
        // Checks the deadline first: a process that was paused past it must not write another byte.
        tokio::select! {
            biased;
            () = tokio::time::sleep_until(deadline) => None,
            answer = self.client.request(request) => answer.ok().map(|answer| answer.status()),
        }
    }

    async fn report(&self, address: &str) -> Option<EngineReport> {
        let uri = format!("http://{address}/orders");
        let request = Request::builder().uri(uri).body(Full::new(Bytes::new())).ok()?;
        let answer = self.client.request(request).await.ok()?;
        if !answer.status().is_success() {
            return None;
        }
        let body = Limited::new(answer.into_body(), REPORT_BYTES_MAX).collect().await.ok()?;
        serde_json::from_slice(&body.to_bytes()).ok()
    }
}
