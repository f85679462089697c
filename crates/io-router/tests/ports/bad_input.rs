//! Invalid input gets a result code, an HTTP error or a closed connection, and does not affect
//! other callers.

use std::{io::Write, net::Shutdown, thread, time::Duration};

use base_types::test_cases;

use crate::fleet::{
    BODY_BYTES, FLEET, chat_completes, chat_request, connect, exchange, read_to_close, request,
};

/// Upper bound of the router's body limit plus the system's socket buffers.
const ACCEPTED_BYTES_MAX: usize = 16 * 1024 * 1024;
const SENT_BYTES_MAX: usize = 64 * 1024 * 1024;
const TRICKLE_INTERVAL: Duration = Duration::from_millis(50);

/// `code` is the expected result code; `None` accepts an HTTP error of the given status prefix, or
/// a closed connection.
fn check_bytes(bytes: &[u8], status: &str, code: Option<u16>) {
    let address = FLEET.plain.caller;
    let answer = exchange(address, bytes);
    assert!(answer.is_empty() || answer.starts_with(&format!("HTTP/1.1 {status}")), "{answer}");
    if let Some(code) = code {
        assert!(answer.contains(&format!("x-result-code: {code}\r\n")), "{answer}");
        assert!(answer.contains("x-request-id: "), "{answer}");
    }
    assert!(chat_completes(address));
}

test_cases! {
    check_bytes:
    bytes_that_are_not_http(b"\x00\x01\x02 nonsense\r\n\r\n", "4", None);
    a_tls_client_hello(b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03", "4", None);
    an_invalid_http_version(b"GET / HTTP/9.9\r\n\r\n", "4", None);
    a_header_without_colon(b"GET / HTTP/1.1\r\nhost test\r\n\r\n", "4", None);
    two_content_lengths(b"POST /v1/chat HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nab", "4", None);
    an_invalid_content_length(b"POST /v1/chat HTTP/1.1\r\nhost: a\r\ncontent-length: -1\r\n\r\n", "4", None);
    a_content_length_that_overflows(
        b"POST /v1/chat HTTP/1.1\r\nhost: a\r\ncontent-length: 99999999999999999999999\r\n\r\n", "4", None,
    );
    an_invalid_chunk_size(
        b"POST /v1/chat HTTP/1.1\r\nhost: a\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n", "400", Some(1014),
    );
    a_header_larger_than_the_limit(
        &request("GET", "/v1/chat", &format!("x-large: {}\r\n", "a".repeat(64 * 1024)), b""), "431", None,
    );
    more_headers_than_the_limit(
        &request("GET", "/v1/chat", &"x-many: a\r\n".repeat(1000), b""), "431", None,
    );
    a_path_larger_than_the_limit(
        &request("GET", &format!("/{}", "a".repeat(64 * 1024)), "", b""), "4", None,
    );
    a_body_larger_than_the_limit(
        &request("POST", "/v1/chat", "", &vec![b'a'; BODY_BYTES + 1]), "413", Some(1015),
    );
    an_unknown_route(&request("GET", "/none", "", b""), "404", Some(1001));
    a_path_with_parent_segments(&request("GET", "/v1/chat/../../admin/v1/status", "", b""), "4", None);
    a_payment_without_its_key(&request("POST", "/pay", "", b"amount 1"), "400", Some(1007));
    a_payment_whose_key_is_not_ascii(
        b"POST /pay HTTP/1.1\r\nhost: a\r\nconnection: close\r\nidempotency-key: \xff\xfe\r\n\r\n", "400", Some(1007),
    );
    a_payment_whose_key_is_too_long(
        &request("POST", "/pay", &format!("idempotency-key: {}\r\n", "k".repeat(4096)), b""), "400", Some(1007),
    );
}

/// Sends a chunked body far above the limit; the router must stop reading it.
#[test]
fn an_endless_body_is_refused_before_the_limit_is_far_exceeded() {
    let address = FLEET.plain.caller;
    let mut stream = connect(address);
    stream
        .write_all(b"POST /v1/chat HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n")
        .unwrap();
    let chunk = [&b"10000\r\n"[..], &[b'a'; 0x10000], b"\r\n"].concat();
    let mut sent = 0;
    while sent < SENT_BYTES_MAX && stream.write_all(&chunk).is_ok() {
        sent += chunk.len();
    }
    assert!(sent < ACCEPTED_BYTES_MAX, "the router accepted {sent} bytes");
    assert!(chat_completes(address));
}

/// Sends `head` at once and then a byte at a time until the router closes the connection.
fn check_trickle(head: &[u8]) {
    let address = FLEET.plain.caller;
    let mut stream = connect(address);
    stream.write_all(head).unwrap();
    let mut reader = stream.try_clone().unwrap();
    let trickle = thread::spawn(move || {
        while stream.write_all(b"a").is_ok() {
            thread::sleep(TRICKLE_INTERVAL);
        }
    });
    assert!(chat_completes(address));
    let answer = read_to_close(&mut reader);
    assert!(answer.is_empty() || answer.starts_with("HTTP/1.1 4"), "{answer}");
    let _ = reader.shutdown(Shutdown::Both);
    trickle.join().unwrap();
}

test_cases! {
    check_trickle:
    a_slow_request_line(b"G");
    a_slow_header(b"POST /v1/chat HTTP/1.1\r\nhost: a\r\nx-slow: ");
    a_slow_body(b"POST /v1/chat HTTP/1.1\r\nhost: a\r\ncontent-length: 60000\r\n\r\n");
}

#[test]
fn a_slow_body_is_answered_with_its_code() {
    let mut stream = connect(FLEET.plain.caller);
    stream.write_all(b"POST /v1/chat HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nab").unwrap();
    let answer = read_to_close(&mut stream);
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
    assert!(answer.contains("x-result-code: 1021"), "{answer}");
}

#[test]
fn an_idle_connection_is_closed() {
    let mut stream = connect(FLEET.plain.caller);
    assert_eq!(read_to_close(&mut stream), "");
}

/// A caller that closes its sending side gets its complete answer or a closed connection.
#[test]
fn a_half_closed_connection_ends() {
    let address = FLEET.plain.caller;
    let mut stream = connect(address);
    stream.write_all(&chat_request()).unwrap();
    stream.shutdown(Shutdown::Write).unwrap();
    let answer = read_to_close(&mut stream);
    assert!(
        !answer.contains("x-result-code: 2000") || answer.contains("[DONE]") || answer.is_empty()
    );
    assert!(chat_completes(address));
}

#[test]
fn truncated_requests_do_not_affect_other_callers() {
    let address = FLEET.plain.caller;
    for cut in [1, 20, 60, 100] {
        let request = chat_request();
        let mut stream = connect(address);
        stream.write_all(&request[..request.len() - cut]).unwrap();
        drop(stream);
    }
    assert!(chat_completes(address));
}

#[test]
fn many_slow_callers_do_not_block_others() {
    let address = FLEET.plain.caller;
    let slow: Vec<_> = (0..200)
        .map(|_| {
            let mut stream = connect(address);
            stream.write_all(b"POST /v1/chat HTTP/1.1\r\nhost: a\r\n").unwrap();
            stream
        })
        .collect();
    assert!(chat_completes(address));
    for mut stream in slow {
        read_to_close(&mut stream);
    }
}
