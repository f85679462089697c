//! Splits server-sent event streams at event boundaries.

use base_types::message_types;
use bytes::{Bytes, BytesMut};

message_types! {
    /// One or more complete events.
    #[derive(Eq)]
    pub struct CompleteEvents {
        /// Bytes of the events, including the empty line that ends each of them.
        pub bytes: Bytes,
        /// Id of the last event that has one.
        pub last_event_id: Option<Box<str>>,
    }
}

/// Buffers an incomplete event until the rest of the event arrives.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
}

impl EventSplitter {
    /// Appends a chunk of the stream and returns the events that the chunk completes.
    pub fn push(&mut self, chunk: &[u8]) -> Option<CompleteEvents> {
        let search_start = self.pending.len().saturating_sub(3);
        self.pending.extend_from_slice(chunk);
        let end = search_start + last_event_end(&self.pending[search_start..])?;
        let bytes = self.pending.split_to(end).freeze();
        let last_event_id = last_event_id(&bytes);
        Some(CompleteEvents { bytes, last_event_id })
    }

    /// Takes the incomplete event that is left when the stream ends.
    pub fn finish(&mut self) -> Bytes {
        self.pending.split().freeze()
    }

    /// Discards the incomplete event of an interrupted stream.
    pub fn clear(&mut self) {
        self.pending.clear();
    }
}

/// Index after the last empty line, which ends an event.
fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let separators = [&b"\n\n"[..], b"\r\n\r\n", b"\r\r"];
    separators.iter().filter_map(|separator| end_of_last(bytes, separator)).max()
}

fn end_of_last(bytes: &[u8], separator: &[u8]) -> Option<usize> {
    let start = bytes.windows(separator.len()).rposition(|window| window == separator)?;
    Some(start + separator.len())
}

fn last_event_id(bytes: &[u8]) -> Option<Box<str>> {
    let lines = bytes.split(|byte| matches!(byte, b'\n' | b'\r'));
    let id = lines.rev().find_map(|line| line.strip_prefix(b"id:"))?;
    let id = std::str::from_utf8(id).ok()?;
    Some(id.strip_prefix(' ').unwrap_or(id).into())
}
