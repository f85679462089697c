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
    adaptive_capacity_may_be_off("load_ratio_max = 2", "adaptive_capacity = \"off\"", &[]);
    adaptive_capacity_may_be_on("load_ratio_max = 2", "adaptive_capacity = \"on\"", &[]);
    adaptive_capacity_may_be_automatic("load_ratio_max = 2", "adaptive_capacity = \"auto\"", &[]);
    another_adaptive_capacity_is_refused("load_ratio_max = 2", "adaptive_capacity = \"yes\"", &["fleet.adaptive_capacity"]);
    memory_may_be_stated("platform =", "memory_mb = 160\nplatform =", &[]);
    no_memory_is_refused("platform =", "memory_mb = 0\nplatform =", &["memory_mb"]);
    memory_in_quotes_is_refused("platform =", "memory_mb = \"160\"\nplatform =", &["memory_mb"]);
    the_engine_memory_guard_may_be_stated(
        "retry_ratio",
        "engine_memory_guard = true\nretry_ratio",
        &[],
    );
    an_engine_memory_guard_in_quotes_is_refused(
        "retry_ratio",
        "engine_memory_guard = \"true\"\nretry_ratio",
        &["fleet.engine_memory_guard"],
    );
    fleet_keys_may_be_stated(
        "platform =",
        "fleet_key = \"0123456789abcdef0123456789abcdef\"\nfleet_key_previous = \"0123456789abcdef0123456789abcdeF\"\nrequire_authentic_peers = true\nplatform =",
        &[],
    );
    a_short_fleet_key_is_refused("platform =", "fleet_key = \"secret\"\nplatform =", &["fleet_key"]);
    a_previous_fleet_key_needs_a_current_one(
        "platform =", "fleet_key_previous = \"0123456789abcdef0123456789abcdef\"\nplatform =",
        &["fleet_key_previous"],
    );
    authentic_peers_need_a_key(
        "platform =", "require_authentic_peers = true\nplatform =", &["require_authentic_peers"],
    );
    authentic_peers_may_be_declined("platform =", "require_authentic_peers = false\nplatform =", &[]);
}

/// Guards against a fleet key in a log line or in the message of a fault.
#[test]
fn fleet_keys_are_not_shown() {
    const KEY: &str = "0123456789abcdef0123456789abcdef";
    for key in [KEY, &KEY[..31]] {
        let text = VALID.replace("platform =", &format!("fleet_key = \"{key}\"\nplatform ="));
        let shown = format!("{:?}", GatewaySettings::parse(&text));
        assert!(!shown.contains(&KEY[..31]), "{shown}");
    }
}

test_cases! {
    check_fault_keys:
    the_first_start_may_be_stated("platform =", "first_start = true\nplatform =", &[]);
    capacities_may_be_stated("platform =", "cpu_share = 0.12\nlink_mbps = 10\nmax_descriptors = 4096\nplatform =", &[]);
    a_capacity_of_zero_is_refused("platform =", "cpu_share = 0\nlink_mbps = -1.5\nplatform =", &["cpu_share", "link_mbps"]);
    a_part_of_a_descriptor_is_refused("platform =", "max_descriptors = 0.5\nplatform =", &["max_descriptors"]);
    a_capacity_in_quotes_is_refused("platform =", "max_descriptors = \"4096\"\nplatform =", &["max_descriptors"]);
    a_first_start_in_quotes_is_refused("platform =", "first_start = \"true\"\nplatform =", &["first_start"]);
}

test_cases! {
    check_fault_keys:
    a_duration_may_be_in_seconds("stop_ms = 8000", "stop_s = 7.5", &[]);
    a_duration_in_two_units_is_refused("stop_ms = 8000", "stop_ms = 8000\nstop_s = 8", &["fleet.stop_s"]);
    a_negative_duration_is_refused("stop_ms = 8000", "stop_s = -0.5", &["fleet.stop_s"]);
    a_duration_over_a_day_is_refused("stop_ms = 8000", "stop_s = 86401", &["fleet.stop_s"]);
    a_duration_that_is_no_number_is_refused("stop_ms = 8000", "stop_s = nan", &["fleet.stop_s"]);
    a_duration_in_quotes_is_refused("stop_ms = 8000", "stop_s = \"8\"", &["fleet.stop_s"]);
    a_window_of_zero_is_refused("retry_window_ms = 10000", "retry_window_s = 0", &["fleet.retry_window_s"]);
    a_negative_slack_is_refused("retry_slack = 54", "retry_slack = -1", &["fleet.retry_slack"]);
    an_infinite_slack_is_refused("retry_slack = 54", "retry_slack = inf", &["fleet.retry_slack"]);
}
