//! Health, readiness and metrics endpoints of the operators' port.

use base_types::test_cases;

use crate::fleet::{FLEET, chat_completes, exchange, request};

fn check_probe(path: &str, status: &str, text: &str) {
    assert!(chat_completes(FLEET.plain.caller));
    let answer = exchange(FLEET.plain.operator, &request("GET", path, "", b""));
    assert!(answer.starts_with(&format!("HTTP/1.1 {status}")), "{answer}");
    assert!(answer.contains(text), "{answer}");
}

test_cases! {
    check_probe:
    a_router_with_tables_is_ready("/ready", "200", "the router takes new work");
    a_running_router_is_healthy("/health", "200", "\"ok\":true");
    a_scrape_counts_requests("/metrics", "200", "knapweedport_requests_total{code=\"2000\"} ");
    a_scrape_shows_targets("/metrics", "200", "knapweedport_target_open{target=\"assistant\"} 1");
    the_administration_api_requires_a_token("/admin/v1/status", "401", "Bearer");
}

#[test]
fn callers_do_not_reach_the_operators_paths() {
    for path in ["/metrics", "/admin/v1/status", "/ready"] {
        let answer = exchange(FLEET.plain.caller, &request("GET", path, "", b""));
        assert!(answer.starts_with("HTTP/1.1 404"), "{path}: {answer}");
    }
}
