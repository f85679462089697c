//! Callers that discover routers: they ask any router which addresses to use, cache the answer for
//! the time that it specifies, and go to the next address when one does not answer.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::Method;
use local_fleet::{CallAnswer, CallError, HttpClient, LocalFleet};
use serde_json::Value;

/// Time after which a caller gives up on one request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);
const RETRY_BACKOFF: Duration = Duration::from_millis(100);

/// Settings of callers: the addresses of all routers, live or not.
#[derive(Debug, Clone)]
pub(crate) struct FleetCaller {
    client: HttpClient,
    bootstrap: Vec<SocketAddr>,
}

/// Router addresses that one caller caches.
#[derive(Debug)]
pub(crate) struct AddressList {
    caller: FleetCaller,
    /// Query string with the caller's client account, and its chat if it has one.
    query: Box<str>,
    addresses: Vec<SocketAddr>,
    expires_at: Instant,
    next_router: usize,
}

/// A request that a caller retries until an answer settles it.
#[derive(Debug)]
pub(crate) struct CallerRequest<'a> {
    pub(crate) path: &'a str,
    pub(crate) headers: &'a [(&'a str, &'a str)],
    pub(crate) body: Bytes,
}

/// Outcome of a call.
#[derive(Debug, Default)]
pub(crate) struct CallOutcome {
    /// Answer that settled the call; absent if the caller gave up.
    pub(crate) answer: Option<CallAnswer>,
    /// Number of retries.
    pub(crate) retries: usize,
}

impl FleetCaller {
    pub(crate) fn new(fleet: &LocalFleet) -> Self {
        let bootstrap = fleet.routers.iter().map(|router| router.caller_address).collect();
        Self { client: fleet.client().clone(), bootstrap }
    }

    /// Creates an empty list that is filled on first use; `seed` spreads callers over the routers.
    pub(crate) fn address_list(&self, query: &str, seed: usize) -> AddressList {
        AddressList {
            caller: self.clone(),
            query: query.into(),
            addresses: Vec::new(),
            expires_at: Instant::now(),
            next_router: seed,
        }
    }
}

impl AddressList {
    /// Retries the request until `is_settled` accepts an answer or `REQUEST_TIMEOUT` passes.
    pub(crate) async fn call(
        &mut self,
        request: &CallerRequest<'_>,
        is_settled: impl Fn(&CallAnswer) -> bool,
    ) -> CallOutcome {
        let deadline = Instant::now() + REQUEST_TIMEOUT;
        let mut outcome = CallOutcome::default();
        while Instant::now() < deadline {
            match self.attempt(request).await {
                Ok(answer) if is_settled(&answer) => {
                    outcome.answer = Some(answer);
                    return outcome;
                }
                Ok(answer) => tokio::time::sleep(retry_after(&answer)).await,
                Err(_) => self.drop_current_address(),
            }
            outcome.retries += 1;
        }
        outcome
    }

    /// Drops the current address, so that the next attempt goes through another router.
    pub(crate) fn drop_current_address(&mut self) {
        if !self.addresses.is_empty() {
            self.addresses.remove(0);
        }
    }

    async fn attempt(&mut self, request: &CallerRequest<'_>) -> Result<CallAnswer, CallError> {
        let Some(address) = self.current_address().await else {
            tokio::time::sleep(RETRY_BACKOFF).await;
            return Err(CallError::Unreachable);
        };
        let client = &self.caller.client;
        let call =
            client.call(Method::POST, address, request.path, request.headers, request.body.clone());
        call.await.map_err(|report| *report.current_context())
    }

    async fn current_address(&mut self) -> Option<SocketAddr> {
        if self.addresses.is_empty() || Instant::now() >= self.expires_at {
            self.refresh().await;
        }
        self.addresses.first().copied()
    }

    /// Asks the routers of the settings one after another until one answers with addresses.
    async fn refresh(&mut self) {
        for _ in 0..self.caller.bootstrap.len() {
            let addr = self.caller.bootstrap[self.next_router % self.caller.bootstrap.len()];
            self.next_router += 1;
            let uri = format!("/v1/entry?{}", self.query);
            let Ok(body) = self.caller.client.get_json::<Value>(addr, &uri).await else { continue };
            let listed = body["addresses"].as_array().into_iter().flatten();
            self.addresses =
                listed.filter_map(|item| item["address"].as_str()?.parse().ok()).collect();
            let lifetime = Duration::from_millis(body["keep_ms"].as_u64().unwrap_or_default());
            self.expires_at = Instant::now() + lifetime;
            if !self.addresses.is_empty() {
                return;
            }
        }
    }
}

/// Delay from the answer's `retry-after` header, or the default backoff.
fn retry_after(answer: &CallAnswer) -> Duration {
    let seconds = answer.header("retry-after").parse().ok();
    seconds.map_or(RETRY_BACKOFF, Duration::from_secs)
}
