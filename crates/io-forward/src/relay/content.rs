//! Content of the response on a streaming route: how its bytes are forwarded, where it may end, and
//! whether another target can continue it.

use bytes::Bytes;
use http::{header, response};

use crate::{EventPosition, EventSplitter, framing::BodyFraming};

/// Content type of event streams, which parameters may follow.
const EVENT_STREAM_TYPE: &[u8] = b"text/event-stream";

/// Limit on the bytes of one event. An incomplete event is kept in memory if its stream is resumable.
const EVENT_BYTES_MAX: usize = 256 * 1024;

/// Content of the response to a call on a streaming route.
#[derive(Debug)]
pub(super) enum StreamContent {
    /// No events, such as the body of an error: forwarded as it arrives, may end anywhere.
    Plain,
    /// Events that no other target can continue: forwarded as they arrive.
    Events(EventPosition),
    /// Events that another target can continue: only complete events are forwarded.
    ResumableEvents {
        splitter: EventSplitter,
        /// Id of the last event that was forwarded; `None` if it is not known.
        last_event_id: Option<Box<str>>,
        /// Whether the first response stated that it consists of events; a response that does not is no
        /// continuation then.
        is_type_stated: bool,
    },
}

impl StreamContent {
    /// Content of a response; `resumable` says whether its route's streams may be resumed.
    pub(super) fn new(head: &response::Parts, resumable: bool) -> Self {
        match (carries_events(head), resumable) {
            (false, _) => Self::Plain,
            (true, false) => Self::Events(EventPosition::default()),
            (true, true) => Self::resumable(head.headers.contains_key(header::CONTENT_TYPE)),
        }
    }

    /// Content of the events that another target sends first, apart from those of the stream.
    pub(super) fn of_continuation() -> Self {
        Self::resumable(false)
    }

    fn resumable(is_type_stated: bool) -> Self {
        let splitter = EventSplitter::default();
        Self::ResumableEvents { splitter, last_event_id: None, is_type_stated }
    }

    /// Whether a response of another target continues the stream.
    pub(super) fn is_continued_by(&self, head: &response::Parts) -> bool {
        let Self::ResumableEvents { is_type_stated, .. } = self else { return false };
        carries_events(head) && (!is_type_stated || head.headers.contains_key(header::CONTENT_TYPE))
    }

    /// Takes a chunk that arrived and returns the bytes to forward, if any.
    pub(super) fn push(&mut self, chunk: Bytes) -> Option<Bytes> {
        match self {
            Self::Plain => Some(chunk),
            Self::Events(position) => {
                position.advance(&chunk);
                Some(chunk)
            }
            Self::ResumableEvents { splitter, last_event_id, .. } => {
                let events = splitter.push(&chunk)?;
                if events.last_event_id.is_some() {
                    *last_event_id = events.last_event_id;
                }
                Some(events.bytes)
            }
        }
    }

    /// Why a stream that ends after the bytes that arrived is not complete, although its framing
    /// ended without an error; `None` if it is complete.
    pub(super) fn incomplete_reason(&self, framing: BodyFraming) -> Option<&'static str> {
        let position = self.position()?;
        if position.is_inside_event() {
            return Some("the stream ended inside an event");
        }
        if framing == BodyFraming::ConnectionClose && !position.has_complete_event() {
            return Some("the connection was closed before the first event");
        }
        None
    }

    /// Whether the incomplete event is longer than any event may be.
    pub(super) fn has_oversized_event(&self) -> bool {
        self.position().is_some_and(|position| position.pending_bytes() > EVENT_BYTES_MAX)
    }

    /// Bytes of an incomplete event that are kept in memory until it is complete.
    pub(super) fn buffered_bytes(&self) -> usize {
        match self {
            Self::Plain | Self::Events(_) => 0,
            Self::ResumableEvents { splitter, .. } => splitter.position().pending_bytes(),
        }
    }

    /// Position in the stream of the current target; `None` if there are no events.
    pub(super) fn position(&self) -> Option<EventPosition> {
        match self {
            Self::Plain => None,
            Self::Events(position) => Some(*position),
            Self::ResumableEvents { splitter, .. } => Some(splitter.position()),
        }
    }

    /// Discards an incomplete event, so that another target can continue after the last complete
    /// one; returns false if no other target can.
    pub(super) fn prepare_resume(&mut self) -> bool {
        match self {
            Self::Plain | Self::Events(_) => false,
            Self::ResumableEvents { splitter, .. } => {
                drop(splitter.take_incomplete_event());
                true
            }
        }
    }

    /// Id of the event after which another target can continue.
    pub(super) fn last_event_id(&self) -> Option<&str> {
        match self {
            Self::Plain | Self::Events(_) => None,
            Self::ResumableEvents { last_event_id, .. } => last_event_id.as_deref(),
        }
    }

    /// Whether another target can continue the stream.
    pub(super) fn is_resumable(&self) -> bool {
        matches!(self, Self::ResumableEvents { .. })
    }
}

/// Whether a response carries events. Errors do not, nor do responses that state another type.
fn carries_events(head: &response::Parts) -> bool {
    let content_type = head.headers.get(header::CONTENT_TYPE);
    let is_other_type =
        content_type.is_some_and(|value| !value.as_bytes().starts_with(EVENT_STREAM_TYPE));
    head.status.is_success() && !is_other_type
}
