//! A log record stays one line with all fields; metrics are scraped in Prometheus's text format.

use std::time::Duration;

use base_settings::{LogFormat, SecretValue};
use base_types::{HostName, test_cases};
use io_telemetry::{
    ControlTraffic, GatewayMetrics, RequestSample, RouterGauges, RouterMetrics, TargetSample,
    format_record,
};
use log::{Level, Record};

fn check_line(format: LogFormat, message: &str, value: &str, expected: &str) {
    let fields = [("host", value)];
    let line = format_record(
        format,
        "T",
        &Record::builder()
            .level(Level::Info)
            .target("io")
            .args(format_args!("{message}"))
            .key_values(&fields)
            .build(),
    );
    assert_eq!(line, expected);
}

test_cases! {
    check_line:
    plain_fields_are_not_quoted(LogFormat::Text, "started", "router-0", "T INFO io started host=router-0");
    other_fields_are_quoted(LogFormat::Text, "started", "a b=c", "T INFO io started host=\"a b=c\"");
    a_line_break_cannot_forge_a_line(
        LogFormat::Text, "a\nT INFO io forged", "x\ny", r#"T INFO io a\nT INFO io forged host="x\ny""#,
    );
    json_is_one_object(
        LogFormat::Json,
        "a\nb",
        "x",
        r#"{"host":"x","level":"INFO","message":"a\nb","module":"io","time":"T"}"#,
    );
}

#[test]
fn a_secret_is_not_logged() {
    let secret = SecretValue::new("token-of-an-operator");
    let fields = [("token", format!("{secret:?}"))];
    let line = format_record(
        LogFormat::Text,
        "T",
        &Record::builder().args(format_args!("{secret:?}")).key_values(&fields).build(),
    );
    assert!(!line.contains("token-of-an-operator"), "{line}");
}

#[test]
fn a_scrape_shows_counts_and_state() {
    let metrics = RouterMetrics::new().unwrap();
    for code in [2000, 2000, 1003] {
        metrics.count_request(RequestSample { code, elapsed: Duration::from_millis(3) });
    }
    let target =
        TargetSample { name: HostName::new("engine-1"), own_in_flight: 4, accepts_work: true };
    let gauges = RouterGauges {
        requests_in_flight: 7,
        ready: true,
        row_versions: 2,
        platform_calls: 9,
        control: vec![ControlTraffic { kind: "row", sent_bytes: 7 }],
        targets: vec![target],
    };
    let text = metrics.scrape(&gauges).unwrap();
    for line in [
        "knapweedport_requests_total{code=\"2000\"} 2",
        "knapweedport_requests_total{code=\"1003\"} 1",
        "knapweedport_answer_begin_seconds_count 3",
        "knapweedport_requests_in_flight 7",
        "knapweedport_ready 1",
        "knapweedport_platform_calls 9",
        "knapweedport_control_sent_bytes{kind=\"row\"} 7",
        "knapweedport_target_own_in_flight{target=\"engine-1\"} 4",
    ] {
        assert!(text.lines().any(|other| other == line), "no `{line}` in\n{text}");
    }
}

#[test]
fn response_ends_are_counted_by_framing_and_position() {
    let metrics = GatewayMetrics::new().unwrap();
    metrics.count_response_end("close", "lost", true);
    let text = metrics.scrape(Vec::new()).unwrap();
    let line =
        r#"knapweedport_response_ends_total{end="lost",framing="close",inside_event="true"} 1"#;
    assert!(text.lines().any(|other| other == line), "no `{line}` in\n{text}");
}
