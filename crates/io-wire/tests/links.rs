//! Links between endpoints on loopback, including peers that must be refused.

use std::{
    net::{Ipv4Addr, SocketAddr, UdpSocket},
    sync::Arc,
    time::Duration,
};

use base_types::{HostName, RequestKey};
use bytes::Bytes;
use io_wire::{
    LinkInput, MESSAGE_BYTES_MAX, PeerCall, PeerCredentials, PeerLink, PeerReply, TrafficKind,
    WireEndpoint, WireError,
    keys::{FLEET_NAME, FleetAuthority},
};
use rustls::{
    RootCertStore,
    pki_types::{CertificateDer, PrivateKeyDer, pem::PemObject},
};
use tokio::sync::mpsc;

const TIMEOUT: Duration = Duration::from_secs(10);
const PREVIOUS_PROTOCOL: &[u8] = b"knapweedport/0";

struct Peer {
    endpoint: WireEndpoint,
    links: mpsc::Receiver<PeerLink>,
}

fn loopback() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

fn tls(authority: &FleetAuthority, name: &str) -> PeerCredentials {
    let files = authority.issue(&HostName::new(name)).unwrap();
    let ca = authority.files().certificate.clone();
    PeerCredentials { ca, certificate: files.certificate, key: files.key }
}

/// An endpoint on a free port, and its address.
fn peer(authority: &FleetAuthority, name: &str) -> (Peer, SocketAddr) {
    let (endpoint, links) = WireEndpoint::bind(loopback(), &tls(authority, name)).unwrap();
    let address = endpoint.address().unwrap();
    (Peer { endpoint, links }, address)
}

async fn accept_link(peer: &mut Peer) -> PeerLink {
    tokio::time::timeout(TIMEOUT, peer.links.recv()).await.unwrap().unwrap()
}

async fn receive_message(link: &PeerLink) -> Bytes {
    match tokio::time::timeout(TIMEOUT, link.receive()).await.unwrap().unwrap() {
        LinkInput::Message(bytes) => bytes,
        LinkInput::Call(call, _) => panic!("expected a message, received a call: {call:?}"),
    }
}

async fn check_exchange(from: &PeerLink, to: &PeerLink) {
    from.send(Bytes::from_static(b"small")).await.unwrap();
    assert_eq!(receive_message(to).await, "small");
    let large = Bytes::from(vec![7; 10_000]);
    from.send(large.clone()).await.unwrap();
    assert_eq!(receive_message(to).await, large);
}

#[tokio::test]
async fn hosts_of_one_fleet_exchange_messages_and_calls() {
    let authority = FleetAuthority::generate().unwrap();
    let (one, _) = peer(&authority, "router-1");
    let (mut two, address) = peer(&authority, "router-2");
    let outgoing = one.endpoint.connect(address).await.unwrap();
    let link = accept_link(&mut two).await;
    assert_eq!(outgoing.host().as_str(), "router-2");
    assert_eq!(link.host().as_str(), "router-1");
    check_exchange(&outgoing, &link).await;
    check_exchange(&link, &outgoing).await;
    let call = PeerCall::Explain(RequestKey(5));
    let server = async {
        let LinkInput::Call(call, stream) = link.receive().await.unwrap() else { panic!() };
        assert_eq!(call, PeerCall::Explain(RequestKey(5)));
        stream.reply(&PeerReply::Explained(vec!["because".into()])).await.unwrap();
    };
    let (reply, ()) = tokio::join!(outgoing.call(&call, TIMEOUT), server);
    assert_eq!(reply.unwrap(), PeerReply::Explained(vec!["because".into()]));
    let kinds = one.endpoint.traffic().sent_by_kind();
    let report = one.endpoint.traffic().report();
    assert!(kinds[&TrafficKind::Handshake] > 1_200, "{kinds:?}");
    assert_eq!(kinds.values().sum::<u64>(), report.sent_bytes);
}

#[tokio::test]
async fn an_authority_restored_from_its_key_issues_certificates_for_the_same_fleet() {
    let authority = FleetAuthority::generate().unwrap();
    let restored = FleetAuthority::from_key(&authority.files().key).unwrap();
    let (one, _) = peer(&authority, "router-1");
    let mut second_tls = tls(&restored, "router-2");
    second_tls.ca = authority.files().certificate.clone();
    let (two, _links) = WireEndpoint::bind(loopback(), &second_tls).unwrap();
    let address = two.address().unwrap();
    assert!(one.endpoint.connect(address).await.is_ok());
}

/// A refused peer is counted, and links between other hosts still work.
async fn check_refused(bind: impl FnOnce(&FleetAuthority) -> WireEndpoint) {
    let authority = FleetAuthority::generate().unwrap();
    let (mut server, address) = peer(&authority, "router-1");
    let (other_peer, _) = peer(&authority, "router-2");
    let refused_peer = bind(&authority);
    let connected = refused_peer.connect(address).await;
    if let Ok(link) = connected {
        let closed = tokio::time::timeout(TIMEOUT, link.receive()).await.unwrap();
        assert_eq!(*closed.unwrap_err().current_context(), WireError::Closed);
    }
    let counted = async {
        while server.endpoint.traffic().report().refused_peers == 0 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(TIMEOUT, counted).await.unwrap();
    assert!(server.links.try_recv().is_err(), "no link to the refused peer");
    let outgoing = other_peer.endpoint.connect(address).await.unwrap();
    let link = accept_link(&mut server).await;
    check_exchange(&outgoing, &link).await;
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
        WireEndpoint::bind_protocol(loopback(), &tls, PREVIOUS_PROTOCOL).unwrap().0
    })
    .await;
}

#[tokio::test]
async fn garbage_and_oversize_messages_are_refused_and_the_link_stays_open() {
    let authority = FleetAuthority::generate().unwrap();
    let (one, _) = peer(&authority, "router-1");
    let (mut two, address) = peer(&authority, "router-2");
    let garbage_socket = UdpSocket::bind(loopback()).unwrap();
    for length in [0, 1, 40, 1_200, 9_000] {
        garbage_socket.send_to(&vec![0xa5; length], address).unwrap();
    }
    let outgoing = one.endpoint.connect(address).await.unwrap();
    let link = accept_link(&mut two).await;
    let oversize = Bytes::from(vec![0; MESSAGE_BYTES_MAX + 1]);
    let refused = outgoing.send(oversize).await.unwrap_err();
    assert_eq!(*refused.current_context(), WireError::Oversize);
    let oversize_call = PeerCall::Sync(vec![0; MESSAGE_BYTES_MAX]);
    let refused = outgoing.call(&oversize_call, TIMEOUT).await.unwrap_err();
    assert_eq!(*refused.current_context(), WireError::Oversize);
    check_exchange(&outgoing, &link).await;
}

/// A QUIC connection with a valid certificate of the fleet, on which a test sends arbitrary bytes.
async fn raw_connection(tls: &PeerCredentials, address: SocketAddr) -> quinn::Connection {
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
    let mut quinn_endpoint = quinn::Endpoint::client(loopback()).unwrap();
    quinn_endpoint.set_default_client_config(quinn::ClientConfig::new(Arc::new(config)));
    quinn_endpoint.connect(address, FLEET_NAME).unwrap().await.unwrap()
}

#[tokio::test]
async fn garbage_and_oversize_from_a_member_are_counted_and_affect_no_other_link() {
    let authority = FleetAuthority::generate().unwrap();
    let (mut server, address) = peer(&authority, "router-1");
    let (other_peer, _) = peer(&authority, "router-2");
    let hostile = raw_connection(&tls(&authority, "router-3"), address).await;
    let link = accept_link(&mut server).await;
    assert_eq!(link.host().as_str(), "router-3");
    let reader = tokio::spawn(async move { link.receive().await.map(drop) });
    let (mut garbage, _reply) = hostile.open_bi().await.unwrap();
    garbage.write_all(&[0xff; 100]).await.unwrap();
    garbage.finish().unwrap();
    let mut oversize = hostile.open_uni().await.unwrap();
    let written = oversize.write_all(&vec![0; 4 * MESSAGE_BYTES_MAX]).await;
    assert!(written.is_err(), "the receiver must stop reading at the size limit");
    let counted = async {
        while server.endpoint.traffic().report().refused_messages < 2 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(TIMEOUT, counted).await.unwrap();
    assert!(!reader.is_finished(), "the link stays open and delivers nothing");
    let outgoing = other_peer.endpoint.connect(address).await.unwrap();
    let link = accept_link(&mut server).await;
    check_exchange(&outgoing, &link).await;
}
