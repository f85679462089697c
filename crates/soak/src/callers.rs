//! Callers that resolve the gateways, connect to one, and send calls one after the other on a
//! persistent connection.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use fakes::{HttpConnection, HttpMessage};
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::IndexedRandom};
use serde_json::Value;
use tokio::{net::TcpStream, time::Instant};

use crate::{
    plan::{CallKind, HOST, KEY, SOFTWARE_VERSIONS},
    record::{CallRecord, Outcome},
    run::SoakCluster,
};

/// Time for which a caller uses a list of gateway addresses before it asks for a new one.
const ADDRESS_LIST_TTL: Duration = Duration::from_secs(1);
/// Time for a gateway to accept a connection or to answer with the list of addresses.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const DEADLINE_MS: u64 = 4_000;
/// Upper bound of the random pause between two calls of a caller.
const PAUSE_MS_MAX: u64 = 150;

/// Sends calls until the soak stops.
pub(crate) async fn send_calls(cluster: Rc<SoakCluster>, caller_index: u64) {
    let mut rng = SmallRng::seed_from_u64(cluster.plan.seed ^ (caller_index << 32));
    let mut address_list = AddressList::new();
    let mut idle: Option<(usize, HttpConnection)> = None;
    let mut sent = 0u64;
    while !cluster.is_stopped() {
        address_list.refresh(&cluster, &mut rng).await;
        // A connection to a gateway that is no longer listed is not used again.
        idle = idle.filter(|(gateway, _)| {
            address_list.addresses.contains(&cluster.gateway_caller_address(*gateway))
        });
        let connection = match idle.take() {
            Some(connection) => Some(connection),
            None => address_list.connect(&cluster, &mut rng).await,
        };
        let Some((gateway, connection)) = connection else {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        sent += 1;
        let id = format!("{:06x}{caller_index:04x}{sent:06x}", cluster.plan.seed & 0xff_ffff);
        let kind = *CallKind::ALL.choose(&mut rng).unwrap_or(&CallKind::Safe);
        idle = send_call(&cluster, gateway, connection, kind, &id).await;
        let pause = Duration::from_millis(rng.random_range(0..PAUSE_MS_MAX));
        tokio::time::sleep(pause).await;
    }
}

/// Text of a call; its `Tenant` header is forged, which the gateway must replace.
pub(crate) fn request(path: &str, id: &str) -> String {
    request_with(path, id, "")
}

/// Text of a call with further headers, each with its line end.
pub(crate) fn request_with(path: &str, id: &str, headers: &str) -> String {
    format!(
        "POST {path}x HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\nDeadline-Ms: {DEADLINE_MS}\r\n\
         Tenant: forged\r\nAuthorization: Bearer {KEY}\r\n{headers}Content-Length: 4\r\n\r\nbody"
    )
}

/// Sends one call, records its outcome, and returns the connection if it can be reused.
async fn send_call(
    cluster: &SoakCluster,
    gateway: usize,
    mut connection: HttpConnection,
    kind: CallKind,
    id: &str,
) -> Option<(usize, HttpConnection)> {
    let sent = Instant::now();
    connection.send(request(kind.path(), id).as_bytes()).await;
    let answer = connection.read(true).await;
    let is_reusable = answer.as_ref().is_some_and(|answer| {
        answer.whole && answer.header("connection").is_none_or(|value| value != "close")
    });
    let leaving_runner = answer.as_ref().and_then(HttpMessage::leaving_runner).map(Box::from);
    let end = outcome_of(answer);
    let ended = Instant::now();
    cluster.record(CallRecord { id: id.into(), kind, gateway, sent, ended, end, leaving_runner });
    is_reusable.then_some((gateway, connection))
}

fn outcome_of(answer: Option<HttpMessage>) -> Outcome {
    let Some(answer) = answer else { return Outcome::Closed };
    if !answer.whole {
        return Outcome::CutShort;
    }
    Outcome::Answered {
        status: answer.status(),
        id: answer.header("attempt-id").unwrap_or("").into(),
        signed: answer.header("runner-signature").is_some(),
        body: without_software(&answer.text()).into(),
    }
}

/// Text of an answer without the comments that name the software of each event's runner.
fn without_software(text: &str) -> String {
    SOFTWARE_VERSIONS
        .iter()
        .fold(text.to_owned(), |text, version| text.replace(&format!("\n: {version}\n\n"), "\n\n"))
}

/// Gateway addresses that a caller may use until they expire.
pub(crate) struct AddressList {
    addresses: Vec<SocketAddr>,
    expires_at: Instant,
}

impl AddressList {
    /// A list that must be refreshed before its first use.
    pub(crate) fn new() -> Self {
        Self { addresses: Vec::new(), expires_at: Instant::now() }
    }

    /// Asks up to three gateways for the list; the previous one stays in use when none answers.
    pub(crate) async fn refresh(&mut self, cluster: &SoakCluster, rng: &mut SmallRng) {
        if Instant::now() < self.expires_at {
            return;
        }
        for _ in 0..3 {
            let entry = cluster.entry_address(rng.random_range(0..cluster.plan.gateways));
            let path = "/api/resolve?name=soak&region=r&zone=z0";
            let lookup = HttpConnection::get(entry, path);
            let Ok(answer) = tokio::time::timeout(CONNECT_TIMEOUT, lookup).await else {
                continue;
            };
            let resolved: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
            let resolved = resolved["addresses"].as_array().cloned().unwrap_or_default();
            let resolved = resolved.iter().filter_map(|address| address.as_str()?.parse().ok());
            let addresses: Vec<SocketAddr> = resolved.collect();
            if !addresses.is_empty() {
                self.addresses = addresses;
                self.expires_at = Instant::now() + ADDRESS_LIST_TTL;
                return;
            }
        }
    }

    pub(crate) async fn connect(
        &self,
        cluster: &SoakCluster,
        rng: &mut SmallRng,
    ) -> Option<(usize, HttpConnection)> {
        let address = *self.addresses.choose(rng)?;
        let gateway = cluster.gateway_at(address)?;
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        Some((gateway, HttpConnection::new(stream.ok()?.ok()?)))
    }
}
