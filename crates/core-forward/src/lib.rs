//! Decisions on forwarded calls: route, client account, target, retries, the way through another
//! router, and the routers that callers use.
//!
//! [`ForwardCore`] is a state machine without I/O. Its caller owns sockets and timers, reports each
//! event with its [`TimePoint`](base_types::TimePoint) and carries out the returned actions. Once
//! an attempt may have run a call, the call is never refused with a "not run" code.

mod bounds;
mod call;
mod core;
mod crashes;
mod detours;
mod extension;
mod limits;
mod links;
mod origin_record;
mod origins;
mod peers;
mod reports;
mod software;
mod target_news;
mod targets;

pub use crate::{
    bounds::ForwardBounds,
    call::{
        AttemptOutcome, AttemptSpec, CallHead, CallKey, ChoiceInputs, DispatchStep, PromptHead,
        PromptSegment, StreamResumption,
    },
    core::{
        AdmittedCall, EVENT_REPORT_INTERVAL, EngineAddress, ForwardCore, ForwardStatus,
        PeerSnapshot, SegmentHolders, heartbeat_interval,
    },
    crashes::{BlockNotice, ContentReport, CrashNotice, SuspectNotice},
    detours::{DetourClaim, DetourOutcome, DetourSpec},
    extension::{
        ColdNotice, EvacuationNotice, HeartbeatExtension, RouterCapacity, SnapshotExtension,
        SpeedNotice, WaitingNotice,
    },
    limits::LimitNotice,
    links::{LinkChange, LinkProbe},
    origin_record::{OriginRecord, RECORD_PARTS, RecordWrite},
    origins::OriginNotice,
    peers::{PeerHeartbeat, RouterEntry, TargetOutcomes},
    software::{SoftwareKey, SoftwareNotice},
    target_news::TargetNotice,
    targets::{LeavingNotice, TargetEntry, TargetStatus},
};
pub use policy_retries::ContentChange;
pub use policy_targets::{CallRate, LoadReport};
