//! Tests of splitting event streams.

use io_forward::EventSplitter;
use proptest::prelude::*;

fn stream(events: usize, newline: &str) -> String {
    (1..=events)
        .map(|event| format!("id: {event}{newline}data: x{event}{newline}{newline}"))
        .collect()
}

proptest! {
    /// However a stream is split into chunks, each complete event is returned once and in order.
    #[test]
    fn events_do_not_depend_on_chunk_boundaries(
        events in 0usize..12,
        newline in prop::sample::select(vec!["\n", "\r\n"]),
        chunk_lens in prop::collection::vec(1usize..9, 1..60),
        incomplete_len in 0usize..6,
    ) {
        let complete = stream(events, newline);
        let incomplete: String = format!("id: {}{newline}data: half", events + 1)
            .chars()
            .take(incomplete_len)
            .collect();
        let bytes = format!("{complete}{incomplete}").into_bytes();
        let mut splitter = EventSplitter::default();
        let (mut out, mut last_event_id, mut start) = (Vec::new(), None, 0);
        for chunk_len in chunk_lens.iter().cycle() {
            if start >= bytes.len() {
                break;
            }
            let end = (start + chunk_len).min(bytes.len());
            if let Some(split) = splitter.push(&bytes[start..end]) {
                out.extend_from_slice(&split.bytes);
                last_event_id = split.last_event_id.or(last_event_id);
            }
            start = end;
        }
        prop_assert_eq!(String::from_utf8(out).expect("text"), complete);
        let expected = (events > 0).then(|| events.to_string());
        prop_assert_eq!(last_event_id.as_deref(), expected.as_deref());
        prop_assert_eq!(splitter.finish(), incomplete);
    }

    #[test]
    fn all_bytes_are_returned_once(chunks in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..20), 0..20)) {
        let mut splitter = EventSplitter::default();
        let mut out = Vec::new();
        for chunk in &chunks {
            if let Some(split) = splitter.push(chunk) {
                out.extend_from_slice(&split.bytes);
            }
        }
        out.extend_from_slice(&splitter.finish());
        prop_assert_eq!(out, chunks.concat());
    }
}
