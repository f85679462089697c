//! An element of a list that cannot be read does not hide the others.

use std::{net::SocketAddr, time::Duration};

use base_types::{RowVersion, test_cases};
use fakes::HttpConnection;
use io_platform::PlatformClient;
use tokio::net::TcpListener;

/// Answers every call with a document.
async fn serve(document: Vec<u8>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let mut connection = HttpConnection::new(stream);
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", document.len());
            while connection.read(false).await.is_some() {
                connection.send(&[head.as_bytes(), &document].concat()).await;
            }
        }
    });
    address
}

fn run(check: impl AsyncFnOnce()) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime").block_on(check());
}

const OBJECT: &str = r#"{"key":"pools/a","version":4,"value":{"x":1}}"#;

/// The odd object stands before a sound one, in a list and in the answer to a watch.
fn check_object(odd: &[u8]) {
    run(async || {
        let document = |name: &str| {
            let start = format!("{{\"revision\":9,\"{name}\":[");
            [start.as_bytes(), odd, b",", OBJECT.as_bytes(), b"]}"].concat()
        };
        let client = PlatformClient::new(serve(document("objects")).await);
        let list = client.list("pools/").await.expect("a list");
        let client = PlatformClient::new(serve(document("events")).await);
        let wait = Duration::from_millis(100);
        let watched = client.watch("pools/", RowVersion(3), wait).await.expect("changes");
        for objects in [list.objects, watched.events] {
            let keys: Vec<&str> = objects.iter().map(|object| object.key.as_str()).collect();
            assert_eq!(keys, ["pools/a"]);
        }
    });
}

test_cases! {
    check_object:
    an_object_whose_key_is_a_number_is_left_out(br#"{"key":7,"version":4,"value":{}}"#);
    an_object_without_a_key_is_left_out(br#"{"version":4,"value":{}}"#);
    an_object_of_a_negative_version_is_left_out(br#"{"key":"pools/b","version":-4,"value":{}}"#);
    an_object_whose_version_is_a_text_is_left_out(br#"{"key":"pools/b","version":"4","value":{}}"#);
    an_object_whose_key_is_not_utf_8_is_left_out(b"{\"key\":\"pools/\xff\",\"version\":4,\"value\":{}}");
    an_object_whose_value_is_not_utf_8_is_left_out(b"{\"key\":\"pools/b\",\"version\":4,\"value\":\"\xff\"}");
    an_object_whose_key_is_a_lone_surrogate_is_left_out(br#"{"key":"pools/\ud800","version":4,"value":{}}"#);
    an_object_that_is_null_is_left_out(b"null");
}

fn check_host(odd: &str) {
    run(async || {
        let host = r#"{"name":"t-1","role":"target","group":"g","address":"127.0.0.1:9","failure_domain":"z","state":"live"}"#;
        let document = format!("{{\"hosts\":[{odd},{host}]}}").into_bytes();
        let list = PlatformClient::new(serve(document).await).hosts().await.expect("a list");
        let names: Vec<&str> = list.hosts.iter().map(|host| host.name.as_str()).collect();
        assert_eq!(names, ["t-1"]);
    });
}

test_cases! {
    check_host:
    a_host_without_a_name_is_left_out(r#"{"role":"target"}"#);
    a_host_whose_peer_address_is_none_is_left_out(
        r#"{"name":"r","role":"entry","group":"g","address":"a","peer":"x","failure_domain":"z","state":"live"}"#,
    );
    a_host_that_is_a_number_is_left_out("7");
}
