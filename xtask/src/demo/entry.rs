//! Callers as the brief describes them: they ask any router which addresses to use, keep the
//! answer for a while, and go to the next address when one is gone.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::Method;
use local_fleet::{CallAnswer, CallError, HttpCaller, LocalFleet};
use serde_json::Value;

/// Time after which a caller gives up on one request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);
const PAUSE: Duration = Duration::from_millis(100);

/// What callers know from their own settings: the addresses of the routers, live or not.
#[derive(Debug, Clone)]
pub(crate) struct FleetCaller {
    client: HttpCaller,
    bootstrap: Vec<SocketAddr>,
}

/// The addresses that one caller keeps.
#[derive(Debug)]
pub(crate) struct EntryList {
    caller: FleetCaller,
    /// Query that names the caller's chat or account.
    query: Box<str>,
    addresses: Vec<SocketAddr>,
    kept_until: Instant,
    next: usize,
}

/// One call as a caller repeats it until it is settled.
#[derive(Debug)]
pub(crate) struct CallerRequest<'a> {
    pub(crate) path: &'a str,
    pub(crate) headers: &'a [(&'a str, &'a str)],
    pub(crate) body: Bytes,
}

/// What became of a call.
#[derive(Debug, Default)]
pub(crate) struct CallOutcome {
    /// The answer that settled the call; absent when the caller gave up.
    pub(crate) answer: Option<CallAnswer>,
    /// Times that the caller asked again.
    pub(crate) repeats: usize,
}

impl FleetCaller {
    pub(crate) fn new(fleet: &LocalFleet) -> Self {
        let bootstrap = fleet.routers.iter().map(|router| router.caller).collect();
        Self { client: fleet.caller().clone(), bootstrap }
    }

    /// A caller's list, not yet asked for; `seed` spreads callers over the routers.
    pub(crate) fn entry_list(&self, query: &str, seed: usize) -> EntryList {
        EntryList {
            caller: self.clone(),
            query: query.into(),
            addresses: Vec::new(),
            kept_until: Instant::now(),
            next: seed,
        }
    }
}

impl EntryList {
    /// Calls until `settled` accepts an answer or the caller gives up.
    pub(crate) async fn call(
        &mut self,
        request: &CallerRequest<'_>,
        settled: impl Fn(&CallAnswer) -> bool,
    ) -> CallOutcome {
        let deadline = Instant::now() + REQUEST_TIMEOUT;
        let mut outcome = CallOutcome::default();
        while Instant::now() < deadline {
            match self.call_once(request).await {
                Ok(answer) if settled(&answer) => {
                    outcome.answer = Some(answer);
                    return outcome;
                }
                Ok(answer) => tokio::time::sleep(come_back(&answer)).await,
                Err(_) => self.drop_first(),
            }
            outcome.repeats += 1;
        }
        outcome
    }

    /// Goes to the next address, as a resend through another router does.
    pub(crate) fn drop_first(&mut self) {
        if !self.addresses.is_empty() {
            self.addresses.remove(0);
        }
    }

    async fn call_once(&mut self, request: &CallerRequest<'_>) -> Result<CallAnswer, CallError> {
        let Some(address) = self.address().await else {
            tokio::time::sleep(PAUSE).await;
            return Err(CallError::Unreachable);
        };
        let client = &self.caller.client;
        let call =
            client.call(Method::POST, address, request.path, request.headers, request.body.clone());
        call.await.map_err(|report| *report.current_context())
    }

    async fn address(&mut self) -> Option<SocketAddr> {
        if self.addresses.is_empty() || Instant::now() >= self.kept_until {
            self.ask().await;
        }
        self.addresses.first().copied()
    }

    /// Asks one router after the other, from the caller's own settings, until one answers.
    async fn ask(&mut self) {
        for _ in 0..self.caller.bootstrap.len() {
            let asked = self.caller.bootstrap[self.next % self.caller.bootstrap.len()];
            self.next += 1;
            let path = format!("/v1/entry?{}", self.query);
            let Ok(answer) = self.caller.client.read::<Value>(asked, &path).await else { continue };
            let named = answer["addresses"].as_array().into_iter().flatten();
            self.addresses =
                named.filter_map(|entry| entry["address"].as_str()?.parse().ok()).collect();
            let keep = Duration::from_millis(answer["keep_ms"].as_u64().unwrap_or_default());
            self.kept_until = Instant::now() + keep;
            if !self.addresses.is_empty() {
                return;
            }
        }
    }
}

/// Time after which the answer says to come back.
fn come_back(answer: &CallAnswer) -> Duration {
    let seconds = answer.header("retry-after").parse().ok();
    seconds.map_or(PAUSE, Duration::from_secs)
}
