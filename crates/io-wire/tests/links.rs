//! Links between endpoints on loopback, with peers that must be refused.

use std::{
    net::{Ipv4Addr, SocketAddr, UdpSocket},
    sync::Arc,
    time::Duration,
};

use base_types::{HostName, RequestKey};
use bytes::Bytes;
use io_wire::{
    LinkInput, MESSAGE_BYTES_MAX, PeerCall, PeerLink, PeerReply, PeerTls, TrafficKind,
    WireEndpoint, WireError,
    keys::{FLEET_NAME, FleetAuthority},
};
use rustls::{
    RootCertStore,
    pki_types::{CertificateDer, PrivateKeyDer, pem::PemObject},
};
use tokio::sync::mpsc;

const WAIT: Duration = Duration::from_secs(10);
const OLD_PROTOCOL: &[u8] = b"knapweedport/0";

struct Peer {
    wire: WireEndpoint,
    links: mpsc::Receiver<PeerLink>,
}

fn loopback() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

fn tls(authority: &FleetAuthority, name: &str) -> PeerTls {
    let files = authority.issue(&HostName::new(name)).unwrap();
    let ca = authority.files().certificate.clone();
    PeerTls { ca, certificate: files.certificate, key: files.key }
}

/// An endpoint and its address, which the socket is bound to once before.
fn peer(authority: &FleetAuthority, name: &str) -> (Peer, SocketAddr) {
    let address = UdpSocket::bind(loopback()).unwrap().local_addr().unwrap();
    let (wire, links) = WireEndpoint::bind(address, &tls(authority, name)).unwrap();
    (Peer { wire, links }, address)
}

async fn accepted(peer: &mut Peer) -> PeerLink {
    tokio::time::timeout(WAIT, peer.links.recv()).await.unwrap().unwrap()
}

async fn message(link: &PeerLink) -> Bytes {
    match tokio::time::timeout(WAIT, link.receive()).await.unwrap().unwrap() {
        LinkInput::Message(bytes) => bytes,
        LinkInput::Call(call, _) => panic!("a call came: {call:?}"),
    }
}

async fn check_exchange(from: &PeerLink, to: &PeerLink) {
    from.send(Bytes::from_static(b"small")).await.unwrap();
    assert_eq!(message(to).await, "small");
    let large = Bytes::from(vec![7; 10_000]);
    from.send(large.clone()).await.unwrap();
    assert_eq!(message(to).await, large);
}

#[tokio::test]
async fn hosts_of_one_fleet_exchange_messages_and_calls() {
    let authority = FleetAuthority::generate().unwrap();
    let (one, _) = peer(&authority, "router-1");
    let (mut two, address) = peer(&authority, "router-2");
    let dialled = one.wire.connect(address).await.unwrap();
    let link = accepted(&mut two).await;
    assert_eq!(dialled.host().as_str(), "router-2");
    assert_eq!(link.host().as_str(), "router-1");
    check_exchange(&dialled, &link).await;
    check_exchange(&link, &dialled).await;
    let call = PeerCall::Explain(RequestKey(5));
    let server = async {
        let LinkInput::Call(call, stream) = link.receive().await.unwrap() else { panic!() };
        assert_eq!(call, PeerCall::Explain(RequestKey(5)));
        stream.reply(&PeerReply::Explained(vec!["because".into()])).await.unwrap();
    };
    let (reply, ()) = tokio::join!(dialled.call(&call, WAIT), server);
    assert_eq!(reply.unwrap(), PeerReply::Explained(vec!["because".into()]));
    let kinds = one.wire.traffic().sent_by_kind();
    let report = one.wire.traffic().report();
    assert!(kinds[&TrafficKind::Handshake] > 1_200, "{kinds:?}");
    assert_eq!(kinds.values().sum::<u64>(), report.sent_bytes);
}

#[tokio::test]
async fn an_authority_read_from_its_key_issues_for_the_same_fleet() {
    let authority = FleetAuthority::generate().unwrap();
    let again = FleetAuthority::from_key(&authority.files().key).unwrap();
    let (one, _) = peer(&authority, "router-1");
    let mut later = tls(&again, "router-2");
    later.ca = authority.files().certificate.clone();
    let address = UdpSocket::bind(loopback()).unwrap().local_addr().unwrap();
    let (_two, _links) = WireEndpoint::bind(address, &later).unwrap();
    assert!(one.wire.connect(address).await.is_ok());
}

/// A refused peer is counted, and another pair of hosts goes on as before.
async fn check_refused(bind: impl FnOnce(&FleetAuthority) -> WireEndpoint) {
    let authority = FleetAuthority::generate().unwrap();
    let (mut server, address) = peer(&authority, "router-1");
    let (friend, _) = peer(&authority, "router-2");
    let stranger = bind(&authority);
    let dialled = stranger.connect(address).await;
    if let Ok(link) = dialled {
        let closed = tokio::time::timeout(WAIT, link.receive()).await.unwrap();
        assert_eq!(*closed.unwrap_err().current_context(), WireError::Closed);
    }
    let counted = async {
        while server.wire.traffic().report().refused_peers == 0 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(WAIT, counted).await.unwrap();
    assert!(server.links.try_recv().is_err(), "no link to the stranger");
    let dialled = friend.wire.connect(address).await.unwrap();
    let link = accepted(&mut server).await;
    check_exchange(&dialled, &link).await;
}

#[tokio::test]
async fn another_fleets_certificate_is_refused() {
    check_refused(|authority| {
        let other = FleetAuthority::generate().unwrap();
        let mut tls = tls(&other, "router-9");
        tls.ca = authority.files().certificate.clone();
        WireEndpoint::bind(loopback(), &tls).unwrap().0
    })
    .await;
}

#[tokio::test]
async fn an_old_protocol_version_is_refused() {
    check_refused(|authority| {
        let tls = tls(authority, "router-9");
        WireEndpoint::bind_protocol(loopback(), &tls, OLD_PROTOCOL).unwrap().0
    })
    .await;
}

#[tokio::test]
async fn garbage_and_oversize_messages_are_refused_and_the_link_lives() {
    let authority = FleetAuthority::generate().unwrap();
    let (one, _) = peer(&authority, "router-1");
    let (mut two, address) = peer(&authority, "router-2");
    let stranger = UdpSocket::bind(loopback()).unwrap();
    for length in [0, 1, 40, 1_200, 9_000] {
        stranger.send_to(&vec![0xa5; length], address).unwrap();
    }
    let dialled = one.wire.connect(address).await.unwrap();
    let link = accepted(&mut two).await;
    let oversize = Bytes::from(vec![0; MESSAGE_BYTES_MAX + 1]);
    let refused = dialled.send(oversize).await.unwrap_err();
    assert_eq!(*refused.current_context(), WireError::Oversize);
    let garbage = PeerCall::Sync(vec![0; MESSAGE_BYTES_MAX]);
    let refused = dialled.call(&garbage, WAIT).await.unwrap_err();
    assert_eq!(*refused.current_context(), WireError::Oversize);
    check_exchange(&dialled, &link).await;
}

/// A connection of a host of the fleet that does not keep to the protocol.
async fn raw_connection(tls: &PeerTls, address: SocketAddr) -> quinn::Connection {
    let certificate = CertificateDer::from_pem_slice(tls.certificate.as_bytes()).unwrap();
    let key = PrivateKeyDer::from_pem_slice(tls.key.as_bytes()).unwrap();
    let mut roots = RootCertStore::empty();
    roots.add(CertificateDer::from_pem_slice(tls.ca.as_bytes()).unwrap()).unwrap();
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut config = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .unwrap()
        .with_root_certificates(roots)
        .with_client_auth_cert(vec![certificate], key)
        .unwrap();
    config.alpn_protocols = vec![b"knapweedport/1".to_vec()];
    let config = quinn::crypto::rustls::QuicClientConfig::try_from(config).unwrap();
    let mut endpoint = quinn::Endpoint::client(loopback()).unwrap();
    endpoint.set_default_client_config(quinn::ClientConfig::new(Arc::new(config)));
    endpoint.connect(address, FLEET_NAME).unwrap().await.unwrap()
}

#[tokio::test]
async fn a_member_that_sends_garbage_and_oversize_is_counted_and_harms_nobody() {
    let authority = FleetAuthority::generate().unwrap();
    let (mut server, address) = peer(&authority, "router-1");
    let (friend, _) = peer(&authority, "router-2");
    let hostile = raw_connection(&tls(&authority, "router-3"), address).await;
    let link = accepted(&mut server).await;
    assert_eq!(link.host().as_str(), "router-3");
    let reader = tokio::spawn(async move { link.receive().await.map(drop) });
    let (mut garbage, _reply) = hostile.open_bi().await.unwrap();
    garbage.write_all(&[0xff; 100]).await.unwrap();
    garbage.finish().unwrap();
    let mut oversize = hostile.open_uni().await.unwrap();
    let written = oversize.write_all(&vec![0; 4 * MESSAGE_BYTES_MAX]).await;
    assert!(written.is_err(), "the reader stops at the bound");
    let counted = async {
        while server.wire.traffic().report().refused_messages < 2 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(WAIT, counted).await.unwrap();
    assert!(!reader.is_finished(), "the link lives and brings nothing");
    let dialled = friend.wire.connect(address).await.unwrap();
    let link = accepted(&mut server).await;
    check_exchange(&dialled, &link).await;
}
