//! Histories of calls are reconstructed from saved log lines.

use io_telemetry::CallHistory;

const FIRST: &str = r#"
  33.2 edge-a {"age_ms":0,"call":"c1","fetch":true,"held":512,"left_ms":2400,"level":"INFO","load":6,"mean_load":"3.8","message":"call sent","pool":"p","prompt":9000,"route":"r","send":1,"target":"t1","targets":4,"time":"2026-01-05T19:36:03Z","unread":400,"version":7}
  33.3 edge-a {"age_ms":40,"call":"c2","message":"call ended","status":200,"time":"2026-01-05T19:36:03Z"}
  33.4 edge-a {"age_ms":52,"call":"c1","end":"lost","message":"send ended","reason":"reset","target":"t1","time":"2026-01-05T19:36:01Z"}
not a line of ours
  33.4 edge-a {"age_ms":52,"bytes":90,"call":"c1","end":"lost","framing":"close","inside_event":true,"message":"response ended","target":"t1","time":"2026-01-05T19:36:02Z"}
  33.5 edge-a {"age_ms":53,"call":"c1","code":3001,"message":"call given up","time":"2026-01-05T19:36:04Z"}
  33.5 edge-a {"age_ms":53,"call":"c1","end":"given up","message":"call ended","status":502,"ti"#;

const SECOND: &str = r#"{"age_ms":0,"call":"c1","code":1001,"host":"h","message":"call denied","path":"/x","time":"2026-01-05T19:36:00Z"}
{"no":"message"}"#;

#[test]
fn lines_of_a_call_are_described_in_order() {
    let history = CallHistory::from_logs([FIRST, SECOND], "c1");
    let expected = [
        "after 0 ms: Rejected before a target was chosen, `h/x`: 1001, No route matches the request.",
        "edge-a, after 0 ms: Sent to `t1` of pool `p` by route `r` of version 7 (attempt 1): \
         the target had 6 calls in flight, the mean of 4 targets was 3.8; of 9000 prompt tokens \
         the target was known to have cached 512 and had to process 400, and was to fetch more of \
         them from another engine; 2400 ms were left until the deadline.",
        "edge-a, after 52 ms: The attempt at `t1` ended: lost (reset).",
        "edge-a, after 52 ms: The answer of `t1` ended: lost; 90 bytes came until its connection \
         closed, and ended inside an event.",
        "edge-a, after 53 ms: The router gave up the call: 3001, The target was lost after the \
         request was sent.",
    ];
    assert_eq!(history.sentences.iter().map(|line| &**line).collect::<Vec<_>>(), expected);
    assert_eq!(
        history.unparsed_lines, 3,
        "a line that is not JSON, a truncated one, and one without a message"
    );
}

#[test]
fn an_unknown_call_has_no_history() {
    assert_eq!(CallHistory::from_logs([FIRST], "c9").sentences, []);
}
