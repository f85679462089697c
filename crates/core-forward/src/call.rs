//! A call from its admission until it is finished.

use std::{net::SocketAddr, time::Duration};

use base_types::{
    AccountName, ContentDigest, ContentKey, PoolName, Refusal, RouteName, TargetKey, TimePoint,
    key_types, message_types,
};
use state_config::{ConfigVersion, KeyDigest, RetryRule};

use crate::{
    detours::{CallDetour, DetourClaim, DetourSpec},
    origins::StreamSoftware,
    places::CallPlace,
    waiting::{CallWait, WaitInputs},
};

key_types! {
    /// Key of a call, unique within one process.
    pub struct CallKey(pub u64);

    /// Outcome of one attempt of a call at a target.
    pub enum AttemptOutcome {
        /// No byte of the call was sent, for example because the connection failed.
        Unsent,
        /// The router withdrew the call before it was sent.
        Withdrawn,
        /// The target answered that it did not run the call.
        Declined,
        /// Another target answered at the address and did not run the call.
        Misdirected,
        /// The target was silent for too long, before its answer or between two events; the call
        /// may be retried on another one.
        Silent,
        /// The connection broke, or the response was not a valid answer to the call.
        Lost,
        /// The target answered with a server error of its own.
        Failed,
        /// The answer was received completely.
        Completed,
        /// The router ended the call, because it could not pass on the answer: the caller left it unread,
        /// or there was no memory for it. Says nothing about the target.
        Unread,
        /// The caller disconnected.
        Abandoned,
        /// The deadline of the call passed.
        Expired,
    }

    /// A segment of a prompt, the unit in which engines cache prompts.
    pub struct PromptSegment {
        /// Identity of the segment; equal in all prompts that share it.
        pub id: u64,
        /// Length in tokens.
        pub tokens: u32,
    }
}

message_types! {
    /// Prompt metadata sent by the caller.
    pub struct PromptHead {
        /// Length of the prompt in tokens.
        pub input_tokens: u32,
        /// Largest number of tokens of the answer.
        pub output_tokens: u32,
        /// Segments of the prompt, in order.
        pub segments: Vec<PromptSegment>,
    }

    /// A caller's request to resume a stream after its connection broke.
    pub struct StreamResumption {
        /// Id of the call that delivered the first event of the stream; `None` if the caller does not
        /// name it.
        pub origin: Option<Box<str>>,
    }

    /// Properties of a call that are read from its request head.
    pub struct CallHead {
        /// Identifier of the call, set by the caller.
        pub id: Box<str>,
        /// Host that the request names, without the port.
        pub host: Box<str>,
        /// Path of the request without the query.
        pub path: Box<str>,
        /// Digest of the account key; `None` when the caller sent none.
        pub account_key: Option<KeyDigest>,
        /// Time at which the caller stops waiting.
        pub deadline: TimePoint,
        /// Prompt metadata; `None` when the caller sent none.
        pub prompt: Option<PromptHead>,
        /// The stream that the call resumes; `None` when it begins anew.
        pub resumption: Option<StreamResumption>,
        /// What the head says of another router that sent the call; `None` if it says nothing.
        pub detour: Option<DetourClaim>,
    }

    /// Instructions for one attempt of a call at a target.
    pub struct AttemptSpec {
        /// Key of the target.
        pub target: TargetKey,
        /// Name of the target; it rejects a call that names another one.
        pub name: Box<str>,
        /// Address that the target listens on.
        pub address: SocketAddr,
        /// Version of the target's software.
        pub software_version: Box<str>,
        /// Client account of the caller; `None` when the call has no known key, which only public
        /// routes and configurations without keys admit.
        pub account: Option<AccountName>,
        /// Rank of the call in the target's queue; zero is served first.
        pub rank: u8,
        /// Time at which the call is given up.
        pub deadline: TimePoint,
        /// Time after which a target that has not started to answer is silent: it is probed, and
        /// the call may be retried on another one.
        pub response_start_deadline: TimePoint,
        /// Address of the engine that the target is to fetch cached segments from; `None` when it
        /// fetches none.
        pub fetch_from: Option<SocketAddr>,
        /// Number of earlier attempts of the call that count against its limit.
        pub attempts_before: u32,
        /// Inputs of the choice of the target.
        pub inputs: ChoiceInputs,
    }

    /// Inputs of the choice of a target, for logs.
    #[derive(Copy)]
    pub struct ChoiceInputs {
        /// Cost of the call on the target, in thousands of prefilled prompt tokens.
        pub cost: f64,
        /// Calls of all routers in flight on the target before this one.
        pub load: u32,
        /// Mean number of calls in flight over the candidates, see `candidates`.
        pub mean_load: f64,
        /// Number of candidates: targets of the pool that take calls and were not attempted for
        /// this one.
        pub candidates: u32,
        /// Length of the prompt in tokens.
        pub prompt_tokens: u32,
        /// Leading prompt tokens that the target was known to have cached.
        pub cached_tokens: u32,
        /// Prompt tokens that the target prefills: neither cached nor fetched, nor presumed cached.
        pub prefill_tokens: u32,
        /// Time that work takes on the target as a multiple of the pool's median; 1 if unknown.
        pub slowdown: f64,
        /// Calls that the target takes at once without slowing down; its slots if unknown.
        pub comfortable_calls: u32,
    }

    /// Next action for a call.
    pub enum DispatchStep {
        /// Attempt the call at a target.
        Send(AttemptSpec),
        /// Send the call through another router.
        Detour(DetourSpec),
        /// Dispatch the call again when [`ForwardCore::take_startable`](crate::ForwardCore::take_startable)
        /// names it, and at this time at the latest.
        Wait(TimePoint),
        /// Send the messages of
        /// [`ForwardCore::take_place_messages`](crate::ForwardCore::take_place_messages), and dispatch the call again
        /// when [`ForwardCore::on_place_message`](crate::ForwardCore::on_place_message) names it, and at this time at the
        /// latest.
        AskPlace(TimePoint),
        /// Refuse the call; it is not attempted again.
        Refuse(Refusal),
    }
}

impl AttemptOutcome {
    /// Returns the value used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Unsent => "unsent",
            Self::Withdrawn => "withdrawn",
            Self::Declined => "declined",
            Self::Misdirected => "misdirected",
            Self::Silent => "silent",
            Self::Lost => "lost",
            Self::Failed => "failed",
            Self::Completed => "whole",
            Self::Unread => "unread",
            Self::Abandoned => "abandoned",
            Self::Expired => "expired",
        }
    }
}

/// State of an admitted call.
#[derive(Debug)]
pub(crate) struct CallState {
    pub(crate) route: RouteName,
    pub(crate) pool: PoolName,
    /// Version of the configuration that the call was admitted under.
    pub(crate) version: ConfigVersion,
    pub(crate) retry_rule: RetryRule,
    pub(crate) account: Option<AccountName>,
    pub(crate) rank: u8,
    pub(crate) admitted_at: TimePoint,
    pub(crate) deadline: TimePoint,
    pub(crate) attempts_max: u32,
    pub(crate) latency_target: Duration,
    pub(crate) prompt: Option<PromptHead>,
    pub(crate) content: ContentDigest,
    /// Hash of the id of the call.
    pub(crate) call_hash: u64,
    /// Time at which the caller stops waiting, which may be later than `deadline`.
    pub(crate) caller_deadline: TimePoint,
    pub(crate) software: StreamSoftware,
    /// Pools in which the stream that the call resumes may have started; `None` where any may be missing.
    pub(crate) stream_pools: Option<Box<[PoolName]>>,
    /// Time from which the recorded origin of the stream is the latest one.
    pub(crate) origin_settled_at: TimePoint,
    pub(crate) content_keys: Box<[ContentKey]>,
    pub(crate) attempted_targets: Vec<TargetKey>,
    pub(crate) attempts: u32,
    pub(crate) unsent_attempts: u32,
    pub(crate) current_attempt: Option<CurrentAttempt>,
    pub(crate) detour: CallDetour,
    /// The wait in progress for a target with room.
    pub(crate) wait: Option<CallWait>,
    /// Inputs of the latest decision to have the call wait or to refuse it instead.
    pub(crate) wait_inputs: Option<WaitInputs>,
    pub(crate) place: CallPlace,
    /// Set once an attempt may have run the call.
    pub(crate) may_have_run: bool,
}

/// The attempt in progress.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CurrentAttempt {
    pub(crate) target: TargetKey,
    /// Prompt tokens that the target has yet to prefill; zero once the response started.
    pub(crate) prefill_tokens: u32,
    /// Tokens that the call takes in the engine's cache.
    pub(crate) cache_tokens: u64,
    /// Time at which the call was dispatched to the target.
    pub(crate) sent_at: TimePoint,
    /// Prompt tokens that the target had to prefill when the call was sent.
    pub(crate) sent_prefill_tokens: u32,
    /// Calls of all routers on the target then, this one included.
    pub(crate) sent_load: u32,
    /// Time of the latest events that were reported; `None` before the first one.
    pub(crate) last_event_at: Option<TimePoint>,
    /// Whether the call is a trial of blocked content.
    pub(crate) is_trial: bool,
    /// Time at which the response started; `None` before.
    pub(crate) response_started_at: Option<TimePoint>,
}
