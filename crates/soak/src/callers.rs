//! Callers: each resolves, connects, and sends one call after the other on a kept connection.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use fakes::{HttpConnection, HttpMessage};
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::IndexedRandom};
use serde_json::Value;
use tokio::{net::TcpStream, time::Instant};

use crate::{
    plan::{CallKind, HOST, KEY},
    record::{CallEnd, CallRecord},
    run::SoakWorld,
};

/// Time for which a caller keeps the list of gateways.
const LIST_LIFE: Duration = Duration::from_secs(1);
/// Time for one gateway to take a connection or to tell the list.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const DEADLINE_MS: u64 = 4_000;
/// Largest pause between two calls of a caller.
const PAUSE_MS_MAX: u64 = 150;

/// Sends calls until the world stops.
pub(crate) async fn call_on(world: Rc<SoakWorld>, number: u64) {
    let mut rng = SmallRng::seed_from_u64(world.plan.seed ^ (number << 32));
    let mut list = AddressList { addresses: Vec::new(), until: Instant::now() };
    let mut kept: Option<(usize, HttpConnection)> = None;
    let mut sent = 0u64;
    while !world.stopped() {
        list.refresh(&world, &mut rng).await;
        // A connection to a gateway that left the list is no longer used.
        kept = kept.filter(|(gateway, _)| list.addresses.contains(&world.callers_of(*gateway)));
        let connection = match kept.take() {
            Some(kept) => Some(kept),
            None => list.connect(&world, &mut rng).await,
        };
        let Some((gateway, connection)) = connection else {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        sent += 1;
        let id = format!("{:06x}{number:04x}{sent:06x}", world.plan.seed & 0xff_ffff);
        let kind = *CallKind::ALL.choose(&mut rng).unwrap_or(&CallKind::Safe);
        kept = send_call(&world, gateway, connection, kind, &id).await;
        let pause = Duration::from_millis(rng.random_range(0..PAUSE_MS_MAX));
        tokio::time::sleep(pause).await;
    }
}

/// The text of a call.
pub(crate) fn request(path: &str, id: &str) -> String {
    format!(
        "POST {path}x HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\nDeadline-Ms: {DEADLINE_MS}\r\n\
         Tenant: forged\r\nAuthorization: Bearer {KEY}\r\nContent-Length: 4\r\n\r\nbody"
    )
}

/// Sends one call, records it, and returns the connection where it can be used again.
async fn send_call(
    world: &SoakWorld,
    gateway: usize,
    mut connection: HttpConnection,
    kind: CallKind,
    id: &str,
) -> Option<(usize, HttpConnection)> {
    let sent = Instant::now();
    connection.send(request(kind.path(), id).as_bytes()).await;
    let answer = connection.read(true).await;
    let keeps = answer.as_ref().is_some_and(|answer| {
        answer.whole && answer.header("connection").is_none_or(|value| value != "close")
    });
    let end = end_of(answer);
    let ended = Instant::now();
    world.record(CallRecord { id: id.into(), kind, gateway, sent, ended, end });
    keeps.then_some((gateway, connection))
}

fn end_of(answer: Option<HttpMessage>) -> CallEnd {
    let Some(answer) = answer else { return CallEnd::Closed };
    if !answer.whole {
        return CallEnd::CutShort;
    }
    CallEnd::Answered {
        status: answer.status(),
        id: answer.header("attempt-id").unwrap_or("").into(),
        signed: answer.header("runner-signature").is_some(),
        body: answer.text().into(),
    }
}

/// Addresses that a caller may use.
struct AddressList {
    addresses: Vec<SocketAddr>,
    until: Instant,
}

impl AddressList {
    /// Asks up to three gateways; the old list stays when none tells.
    async fn refresh(&mut self, world: &SoakWorld, rng: &mut SmallRng) {
        if Instant::now() < self.until {
            return;
        }
        for _ in 0..3 {
            let entry = world.entry_of(rng.random_range(0..world.plan.gateways));
            let path = "/api/resolve?name=soak&region=r&zone=z0";
            let told = HttpConnection::get(entry, path);
            let Ok(answer) = tokio::time::timeout(CONNECT_TIMEOUT, told).await else {
                continue;
            };
            let told: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
            let told = told["addresses"].as_array().cloned().unwrap_or_default();
            let told = told.iter().filter_map(|address| address.as_str()?.parse().ok());
            let told: Vec<SocketAddr> = told.collect();
            if !told.is_empty() {
                self.addresses = told;
                self.until = Instant::now() + LIST_LIFE;
                return;
            }
        }
    }

    async fn connect(
        &self,
        world: &SoakWorld,
        rng: &mut SmallRng,
    ) -> Option<(usize, HttpConnection)> {
        let address = *self.addresses.choose(rng)?;
        let gateway = world.gateway_at(address)?;
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        Some((gateway, HttpConnection::new(stream.ok()?.ok()?)))
    }
}
