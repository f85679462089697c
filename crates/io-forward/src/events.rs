//! Positions in streams of server-sent events, and the splitting of streams at event boundaries.

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

/// Tracks whether the bytes read so far end inside an event.
///
/// Lines end with CR LF, LF or CR, and an empty line ends an event. Lines of comments belong to no
/// event.
#[derive(Debug, Clone, Copy, Default)]
pub struct EventPosition {
    line: LinePosition,
    /// Whether a line since the last empty one belongs to an event.
    event_started: bool,
    /// Whether an event was completed.
    event_completed: bool,
    /// Bytes since the last place where the stream may end.
    pending_bytes: usize,
    /// Whether the last byte was a CR, which a LF may complete to one line end.
    after_carriage_return: bool,
}

/// Position within a line.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum LinePosition {
    #[default]
    Start,
    InComment,
    InField,
}

impl EventPosition {
    /// Moves past the bytes of a chunk.
    pub fn advance(&mut self, chunk: &[u8]) {
        for &byte in chunk {
            self.advance_byte(byte);
        }
    }

    /// Bytes of the event, or line, that is incomplete.
    pub fn pending_bytes(&self) -> usize {
        self.pending_bytes
    }

    /// Whether an event has started and its end is missing, or a line is incomplete.
    pub fn is_inside_event(&self) -> bool {
        self.event_started || self.line != LinePosition::Start
    }

    /// Whether at least one event is complete.
    pub fn has_complete_event(&self) -> bool {
        self.event_completed
    }

    fn advance_byte(&mut self, byte: u8) {
        self.advance_line(byte);
        self.pending_bytes = if self.is_inside_event() { self.pending_bytes + 1 } else { 0 };
    }

    fn advance_line(&mut self, byte: u8) {
        let completes_line_end = byte == b'\n' && self.after_carriage_return;
        self.after_carriage_return = byte == b'\r';
        if completes_line_end {
            return;
        }
        match (byte, self.line) {
            (b'\n' | b'\r', LinePosition::Start) => {
                self.event_completed |= self.event_started;
                self.event_started = false;
            }
            (b'\n' | b'\r', _) => self.line = LinePosition::Start,
            (b':', LinePosition::Start) => self.line = LinePosition::InComment,
            (_, LinePosition::Start) => {
                self.line = LinePosition::InField;
                self.event_started = true;
            }
            _ => {}
        }
    }
}

/// Buffers an incomplete event until the rest of the event arrives.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
    /// Position after the pending bytes.
    position: EventPosition,
}

impl EventSplitter {
    /// Appends a chunk of the stream and returns the events that the chunk completes.
    pub fn push(&mut self, chunk: &[u8]) -> Option<CompleteEvents> {
        let chunk_start = self.pending.len();
        self.pending.extend_from_slice(chunk);
        let mut complete_bytes = None;
        for (index, &byte) in chunk.iter().enumerate() {
            self.position.advance_byte(byte);
            if !self.position.is_inside_event() {
                complete_bytes = Some(chunk_start + index + 1);
            }
        }
        let bytes = self.pending.split_to(complete_bytes?).freeze();
        let last_event_id = last_event_id(&bytes);
        Some(CompleteEvents { bytes, last_event_id })
    }

    /// Position after all bytes so far.
    pub fn position(&self) -> EventPosition {
        self.position
    }

    /// Takes the incomplete event that is left when the stream ends or breaks off. The next chunk
    /// starts a stream that continues after the last complete event.
    pub fn take_incomplete_event(&mut self) -> Bytes {
        self.position = EventPosition::default();
        self.pending.split().freeze()
    }
}

fn last_event_id(bytes: &[u8]) -> Option<Box<str>> {
    let lines = bytes.split(|byte| matches!(byte, b'\n' | b'\r'));
    let id = lines.rev().find_map(|line| line.strip_prefix(b"id:"))?;
    let id = std::str::from_utf8(id).ok()?;
    Some(id.strip_prefix(' ').unwrap_or(id).into())
}
