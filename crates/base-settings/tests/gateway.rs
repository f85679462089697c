//! Parsing and faults of gateway settings.

use base_settings::GatewaySettings;
use base_types::test_cases;

const VALID: &str = r#"
host = "edge-a-1"
failure_domain = "a"
caller_listen = "10.1.0.40:8227"
entry_listen = "10.1.0.40:8224"
readiness_listen = "10.1.0.40:8220"
metrics_listen = "10.1.0.40:9464"
peer_listen = "10.1.0.40:7340"
platform = "10.200.1.7:8223"

[fleet]
retry_ratio = 0.2
retry_slack = 54
retry_window_ms = 10000
load_ratio_max = 2
target_drain_ms = 2000
stop_ms = 8000
entry_life_max_ms = 5000

[log]
level = "info"
format = "json"
"#;

/// Replaces `old` in the valid settings by `new` and compares the keys of all faults.
fn check_fault_keys(old: &str, new: &str, keys: &[&str]) {
    let parsed = GatewaySettings::parse(&VALID.replace(old, new));
    let fault_keys: Vec<String> = match &parsed {
        Ok(_) => Vec::new(),
        Err(report) => {
            report.current_context().faults().iter().map(|fault| fault.key.to_string()).collect()
        }
    };
    assert_eq!(fault_keys, keys);
}

test_cases! {
    check_fault_keys:
    complete_settings_have_no_fault("", "", &[]);
    a_ratio_may_be_an_integer("ratio = 0.2", "ratio = 1", &[]);
    metrics_are_optional("metrics_listen = \"10.1.0.40:9464\"\n", "", &[]);
    a_missing_address_is_named("platform = \"10.200.1.7:8223\"\n", "", &["platform"]);
    every_fault_is_named("host = \"edge-a-1\"\nfailure_domain = \"a\"", "host = 7", &["failure_domain", "host"]);
    an_unknown_key_is_named("retry_slack", "retry_slac", &["fleet.retry_slac"]);
    a_negative_ratio_is_refused("ratio = 0.2", "ratio = -0.2", &["fleet.retry_ratio"]);
    a_ratio_in_quotes_is_refused("ratio = 0.2", "ratio = \"0.2\"", &["fleet.retry_ratio"]);
    a_host_name_is_not_an_address("10.200.1.7:8223", "store:8223", &["platform"]);
    two_keys_may_not_bind_one_address("10.1.0.40:8224", "10.1.0.40:8227", &["entry_listen"]);
}

test_cases! {
    check_fault_keys:
    memory_may_be_stated("platform =", "memory_mb = 160\nplatform =", &[]);
    no_memory_is_refused("platform =", "memory_mb = 0\nplatform =", &["memory_mb"]);
    memory_in_quotes_is_refused("platform =", "memory_mb = \"160\"\nplatform =", &["memory_mb"]);
    the_engine_memory_guard_may_be_stated("retry_ratio", "engine_memory_guard = true\nretry_ratio", &[]);
    an_engine_memory_guard_in_quotes_is_refused("retry_ratio", "engine_memory_guard = \"true\"\nretry_ratio", &["fleet.engine_memory_guard"]);
}

test_cases! {
    check_fault_keys:
    the_first_start_may_be_stated("platform =", "first_start = true\nplatform =", &[]);
    a_first_start_in_quotes_is_refused("platform =", "first_start = \"true\"\nplatform =", &["first_start"]);
}
