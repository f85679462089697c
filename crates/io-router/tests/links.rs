//! Links between a router and a peer that closes them.

#[path = "answers/rig.rs"]
mod rig;

use std::{net::SocketAddr, time::Duration};

use base_types::{FailureDomainName, HostName, TimePoint};
use core_peers::{LinkKey, PeerConfig, PeerCore, PeerEffect, PeerEvent};
use http::Method;
use io_wire::{
    LinkInput, PeerCall, PeerCredentials, PeerLink, PeerReply, WireEndpoint, encode_message,
};
use rig::{RouterFixture, free_port, with_router};
use state_membership::MemberRow;

const PEER: &str = "router-1";
/// Time in which the router learns that a link was opened or closed.
const NOTICE_TIME: Duration = Duration::from_millis(200);

fn credentials(fixture: &RouterFixture) -> PeerCredentials {
    let keys = fixture.authority.issue(&HostName::new(PEER)).unwrap();
    PeerCredentials {
        ca: fixture.authority.files().certificate.clone(),
        certificate: keys.certificate.clone(),
        key: keys.key.clone(),
    }
}

/// Introduces a peer as a member of the fleet, with the frames of a router that has just opened the link.
async fn introduce(
    link: &PeerLink,
    fixture: &RouterFixture,
    address: SocketAddr,
    start: TimePoint,
) {
    let row = MemberRow {
        name: HostName::new(PEER),
        failure_domain: FailureDomainName::new("domain-1"),
        peer_address: address,
        caller_address: address.to_string().into(),
    };
    let seed_addresses = vec![fixture.peer];
    let config = PeerConfig { row, seed_addresses, incarnation: 1, bytes_per_second: u32::MAX };
    let mut core = PeerCore::new(start, config);
    let router = HostName::new("router-0");
    let mut effects =
        core.on_event(start, PeerEvent::LinkOpened(LinkKey(1), router, Some(fixture.peer)));
    effects.extend(core.on_event(start.after(NOTICE_TIME), PeerEvent::TimerFired));
    for effect in effects {
        if let PeerEffect::Send(_, frame) = effect {
            link.send(encode_message(&frame).unwrap().into()).await.unwrap();
        }
    }
}

/// Explains each request that the router asks about.
async fn answer_calls(link: PeerLink) {
    while let Ok(input) = link.receive().await {
        if let LinkInput::Call(PeerCall::Explain(_), stream) = input {
            stream.reply(&PeerReply::Explained(vec!["decided here".into()])).await.unwrap();
        }
    }
}

/// Guards against calls on links that the peer has closed, while a later link to it is open.
#[test]
fn a_call_goes_over_the_link_that_is_open() {
    with_router(free_port(), async |fixture| {
        let address = free_port();
        let (wire, _accepted) = WireEndpoint::bind(address, &credentials(&fixture)).unwrap();
        for closed in 0..3 {
            let link = wire.connect(fixture.peer).await.unwrap();
            introduce(&link, &fixture, address, TimePoint(closed)).await;
            tokio::time::sleep(NOTICE_TIME).await;
            let answering = tokio::task::spawn_local(answer_calls(link.clone()));
            let path = "/admin/v1/explain/00000000000000000000000000000001";
            let answer = fixture.caller.call(Method::GET, fixture.operator, path, &[], "").await;
            let body = String::from_utf8_lossy(&answer.unwrap().body).into_owned();
            assert!(body.contains("decided here"), "after {closed} closed links: {body}");
            link.close();
            answering.await.unwrap();
            tokio::time::sleep(NOTICE_TIME).await;
        }
    });
}
