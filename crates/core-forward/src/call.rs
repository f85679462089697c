//! A call from its arrival to its end.

use std::{net::SocketAddr, time::Duration};

use base_types::{
    AccountName, ContentDigest, PoolName, Refusal, RouteName, TargetKey, TimePoint, key_types,
    message_types,
};
use state_config::{KeyDigest, RepeatRule};

key_types! {
    /// Key of a call in one process.
    pub struct CallKey(pub u64);

    /// How a send ended.
    pub enum AttemptEnd {
        /// No byte of the call left this router.
        Unsent,
        /// The target says that it did not run the call.
        Declined,
        /// The address belongs to another target, which did not run the call.
        Misdirected,
        /// The target was silent for too long, and the call goes to another one.
        Silent,
        /// The connection broke or brought something else than an answer.
        Lost,
        /// The target answered with a failure of its own.
        Failed,
        /// The answer is whole.
        Whole,
        /// The caller left.
        Abandoned,
        /// The deadline passed.
        Expired,
    }

    /// A part of a prompt and its length.
    pub struct PromptPart {
        /// Identity of the part; the same in all prompts that share it.
        pub part: u64,
        /// Length in tokens.
        pub tokens: u32,
    }
}

message_types! {
    /// What a caller says of the prompt that it sends.
    pub struct PromptHead {
        /// Tokens of the prompt.
        pub input_tokens: u32,
        /// Tokens of the answer, at most.
        pub output_tokens: u32,
        /// Parts of the prompt, in order.
        pub parts: Vec<PromptPart>,
    }

    /// The head of a call.
    pub struct CallHead {
        /// The caller's name for the call.
        pub id: Box<str>,
        /// Host that the call names, without a port.
        pub host: Box<str>,
        /// Path without the query.
        pub path: Box<str>,
        /// Digest of the account key.
        pub account_key: Option<KeyDigest>,
        /// Point at which the caller stops waiting.
        pub deadline: TimePoint,
        /// The prompt, on calls to model engines.
        pub prompt: Option<PromptHead>,
    }

    /// An order to send a call to a target.
    pub struct SendOrder {
        /// Key of the target.
        pub target: TargetKey,
        /// Name that the target must answer to.
        pub name: Box<str>,
        /// Address of the target.
        pub address: SocketAddr,
        /// Account of the caller.
        pub account: Option<AccountName>,
        /// Rank of the call, zero first.
        pub rank: u8,
        /// Point at which the call is given up.
        pub deadline: TimePoint,
        /// Point at which the target counts as silent; it is then checked, and another one may be
        /// tried.
        pub patience: TimePoint,
        /// Engine that the target is to fetch cached parts from.
        pub fetch_from: Option<SocketAddr>,
        /// Number of sends before this one.
        pub sends_before: u32,
        /// What decided the choice.
        pub grounds: ChoiceGrounds,
    }

    /// What decided the choice of a target, for logs.
    #[derive(Copy)]
    pub struct ChoiceGrounds {
        /// Cost of the call there, in thousands of prompt tokens read.
        pub cost: f64,
        /// Calls that the target had.
        pub load: u32,
        /// Mean calls of the pool's targets.
        pub mean_load: f64,
        /// Targets of the pool that took calls.
        pub targets: u32,
        /// Tokens of the prompt.
        pub prompt_tokens: u32,
        /// Prompt tokens that the target was known to hold.
        pub held_tokens: u32,
        /// Prompt tokens that it reads itself.
        pub unread_tokens: u32,
    }

    /// What happens next to a call.
    pub enum DispatchStep {
        /// Send it.
        Send(SendOrder),
        /// Give the caller a final refusal.
        Refuse(Refusal),
    }
}

impl AttemptEnd {
    /// The word for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Unsent => "unsent",
            Self::Declined => "declined",
            Self::Misdirected => "misdirected",
            Self::Silent => "silent",
            Self::Lost => "lost",
            Self::Failed => "failed",
            Self::Whole => "whole",
            Self::Abandoned => "abandoned",
            Self::Expired => "expired",
        }
    }
}

/// A call that the core keeps.
#[derive(Debug)]
pub(crate) struct LiveCall {
    pub(crate) route: RouteName,
    pub(crate) pool: PoolName,
    pub(crate) repeat: RepeatRule,
    pub(crate) account: Option<AccountName>,
    pub(crate) rank: u8,
    pub(crate) deadline: TimePoint,
    pub(crate) attempts_max: u32,
    pub(crate) answer_target: Duration,
    pub(crate) prompt: Option<PromptHead>,
    pub(crate) content: ContentDigest,
    pub(crate) tried: Vec<TargetKey>,
    pub(crate) sends: u32,
    pub(crate) unsent: u32,
    pub(crate) current: Option<CurrentSend>,
    /// Set once a send may have run the call.
    pub(crate) may_have_run: bool,
}

/// The send that is under way.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CurrentSend {
    pub(crate) target: TargetKey,
    /// Prompt tokens that the target has to read; zero once the answer began.
    pub(crate) unread: u32,
    /// Whether the target began to answer.
    pub(crate) began: bool,
}
