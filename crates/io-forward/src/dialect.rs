//! Interface to a protocol's header names and encodings.

use std::{fmt, time::Duration};

use base_types::{NotRunCode, Refusal, TimePoint, key_types, message_types};
use core_forward::{
    AttemptSpec, CallHead, CallRate, DetourSpec, LoadReport, PromptSegment, RejectionLimit,
};
use http::{HeaderMap, HeaderValue, Response, request, response};

key_types! {
    /// What a response's head says about whether the target ran the call.
    pub enum ExecutionStatus {
        /// The target ran the call; the response belongs to it.
        Executed,
        /// The target did not run the call.
        Declined,
        /// The address belongs to another target, which did not run the call.
        Misdirected,
        /// The response does not belong to the call, such as one with another call's id.
        Foreign,
    }
}

message_types! {
    /// What the router needs from the head of a target's response.
    pub struct ResponseHead {
        /// Whether the target ran the call.
        pub execution: ExecutionStatus,
        /// Whether the target closes the connection after the response; this does not imply that
        /// the target is draining.
        pub closes_connection: bool,
        /// Limit on the rate of calls that the target names, over all routers.
        pub rate_limit: Option<CallRate>,
        /// Rejections a second that the target says it bears; absent if it is not fragile.
        pub rejection_limit: Option<RejectionLimit>,
        /// Load that the target reports; absent if it reports none or a malformed one.
        pub load_report: Option<LoadReport>,
        /// Time for which the target asks for no further calls from this router.
        pub pause: Option<Duration>,
        /// Whether the target announces that it leaves; it does so until it ends.
        pub announces_leaving: bool,
        /// How long the target keeps an idle connection open; absent if the response does not say.
        pub idle_timeout: Option<Duration>,
    }
}

/// Reads and writes the headers of one protocol, whose names the forwarding code does not know.
pub trait ForwardDialect: fmt::Debug {
    /// Reads the head of a caller's request.
    ///
    /// # Errors
    ///
    /// Returns the refusal code if the head is malformed.
    fn read_call(&self, now: TimePoint, head: &request::Parts) -> Result<CallHead, NotRunCode>;

    /// Removes the headers of callers that are not forwarded to targets, and then adds those of the
    /// router.
    fn write_request_headers(&self, now: TimePoint, attempt: &AttemptSpec, headers: &mut HeaderMap);

    /// Adds the headers of a call that is sent through another router.
    fn write_detour_headers(&self, now: TimePoint, detour: &DetourSpec, headers: &mut HeaderMap);

    /// Adds the header that asks a target to resume a stream after an event.
    fn write_resume_header(&self, last_event_id: &HeaderValue, headers: &mut HeaderMap);

    /// Reads the head of a response to the call with the id `call_id`.
    fn read_response(&self, call_id: &str, head: &response::Parts) -> ResponseHead;

    /// Path at which an engine lists its cached prompt segments; `None` if engines have no list.
    fn cached_segments_path(&self) -> Option<&'static str>;

    /// Decodes an engine's list of cached prompt segments; `None` if the body is malformed.
    fn read_cached_segments(&self, body: &[u8]) -> Option<Vec<PromptSegment>>;

    /// Builds the final response to a call that the router refuses or gives up.
    fn refusal_response(&self, now: TimePoint, refusal: Refusal) -> Response<()>;
}
