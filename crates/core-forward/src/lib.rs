//! Decisions on forwarded calls: route, account, target, retries, and which routers callers use.
//!
//! [`ForwardCore`] is a state machine without I/O. Its caller owns sockets and timers, tells it
//! what happened at which [`TimePoint`](base_types::TimePoint) and does what it answers. A call
//! that was sent and may not be repeated has no way back to a refusal that says "not run".

mod bounds;
mod call;
mod core;
mod peers;
mod targets;

pub use crate::{
    bounds::ForwardBounds,
    call::{
        AttemptEnd, CallHead, CallKey, ChoiceGrounds, DispatchStep, PromptHead, PromptPart,
        SendOrder,
    },
    core::{AdmittedCall, EngineAddress, ForwardCore, ForwardStatus, HeldPart, PeerSnapshot},
    peers::{PeerBeat, RouterEntry, TargetOutcomes},
    targets::{TargetEntry, TargetStatus},
};
