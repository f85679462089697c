//! How responses of targets mark the end of their bodies, and how much of a body was received.

use base_types::key_types;
use http::{Response, header};
use hyper::body::Body;

key_types! {
    /// How a response marks the end of its body (RFC 9112, section 6.3).
    pub(crate) enum BodyFraming {
        /// The head states the length.
        Length,
        /// The last chunk is marked.
        Chunked,
        /// The body ends with the connection.
        ConnectionClose,
    }

    /// How much of a response's body was received from a target.
    pub(crate) struct BodyProgress {
        /// How the target marks the end of the body.
        pub(crate) framing: BodyFraming,
        /// Bytes of the body that were received.
        pub(crate) bytes: u64,
        /// Whether these bytes end inside an event of a stream.
        pub(crate) inside_event: bool,
    }
}

impl BodyFraming {
    /// Framing of a response as the HTTP client read it.
    pub(crate) fn of(response: &Response<impl Body>) -> Self {
        if response.body().size_hint().exact().is_some() {
            return Self::Length;
        }
        let codings = response.headers().get_all(header::TRANSFER_ENCODING);
        let last_coding = codings.iter().next_back().and_then(|value| value.to_str().ok());
        let last_coding = last_coding.and_then(|value| value.rsplit(',').next());
        match last_coding {
            Some(coding) if coding.trim().eq_ignore_ascii_case("chunked") => Self::Chunked,
            _ => Self::ConnectionClose,
        }
    }

    /// Returns the value used in logs and metrics.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunked => "chunked",
            Self::ConnectionClose => "close",
        }
    }
}

impl BodyProgress {
    /// Progress of a response of which no byte of the body was received.
    pub(crate) fn new(framing: BodyFraming) -> Self {
        Self { framing, bytes: 0, inside_event: false }
    }
}
