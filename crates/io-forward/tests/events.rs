//! Tests of splitting event streams, and of the position in them.

use io_forward::{EventPosition, EventSplitter};
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
        prop_assert_eq!(splitter.take_incomplete_event(), incomplete);
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
        out.extend_from_slice(&splitter.take_incomplete_event());
        prop_assert_eq!(out, chunks.concat());
    }
}

const LINE_ENDS: [&str; 3] = ["\n", "\r\n", "\r"];

/// A block of lines with the line end of each, and the line end of the empty line that ends it.
type EventBlock = (Vec<(&'static str, &'static str)>, &'static str);

fn event_block() -> impl Strategy<Value = EventBlock> {
    let line_end = || prop::sample::select(LINE_ENDS.to_vec());
    let line = prop::sample::select(vec!["id: 1", "data", "data: :x", "x", ": comment", ":"]);
    (prop::collection::vec((line, line_end()), 0..4), line_end())
}

proptest! {
    /// A stream ends inside an event wherever it is cut, except after an empty line, or after a
    /// comment outside of an event; line ends may differ within a stream.
    #[test]
    fn a_position_is_inside_an_event_until_the_empty_line(
        blocks in prop::collection::vec(event_block(), 0..6),
        chunk_len in 1usize..5,
    ) {
        let mut text = Vec::new();
        let mut outside = vec![0];
        let mut add = |text: &mut Vec<u8>, part: &str, is_outside: bool| {
            text.extend_from_slice(part.as_bytes());
            if is_outside {
                outside.push(text.len());
                // The LF after a CR belongs to the same line end.
                outside.extend(part.ends_with("\r\n").then(|| text.len() - 1));
            }
        };
        for (lines, empty_line) in &blocks {
            let mut started = false;
            for (line, line_end) in lines {
                started |= !line.starts_with(':');
                add(&mut text, line, false);
                add(&mut text, line_end, !started);
            }
            // A CR followed by an LF is one line end.
            prop_assume!(text.last() != Some(&b'\r') || !empty_line.starts_with('\n'));
            add(&mut text, empty_line, true);
        }
        for cut in 0..=text.len() {
            let mut position = EventPosition::default();
            text[..cut].chunks(chunk_len).for_each(|chunk| position.advance(chunk));
            let expected = !outside.contains(&cut);
            prop_assert_eq!(position.is_inside_event(), expected, "{:?}", &text[..cut]);
        }
    }
}
