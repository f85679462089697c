//! Decisions on forwarded calls: route, client account, target, retries, the way through another
//! router, and the routers that callers use.
//!
//! [`ForwardCore`] is a state machine without I/O. Its caller owns sockets and timers, reports each
//! event with its [`TimePoint`](base_types::TimePoint) and carries out the returned actions. Once
//! an attempt may have run a call, the call is never refused with a "not run" code.

mod bounds;
mod call;
mod change_order;
mod core;
mod crashes;
mod detours;
mod engine_memory;
mod envelope;
mod evacuations;
mod extension;
mod fleet_key;
mod former_routes;
mod limits;
mod links;
mod origin_record;
mod origins;
mod peers;
mod place_codec;
mod places;
mod replays;
mod reports;
mod software;
mod target_news;
mod targets;
mod waiting;

pub use crate::{
    bounds::ForwardBounds,
    call::{
        AttemptOutcome, AttemptSpec, CallHead, CallKey, ChoiceInputs, DispatchStep, PromptHead,
        PromptSegment, StreamResumption,
    },
    change_order::ChangeOrder,
    core::{
        AdmittedCall, EVENT_REPORT_INTERVAL, EngineAddress, ForwardCore, ForwardStatus,
        HeldAttempt, PeerSnapshot, SegmentHolders, StopSchedule, heartbeat_interval,
    },
    crashes::{BlockNotice, ContentReport, CrashNotice, SuspectNotice},
    detours::{DetourClaim, DetourOutcome, DetourSpec},
    envelope::{
        DecodedHeartbeat, DecodedMessage, DecodedSnapshot, EncodedMessage, EnvelopeError,
        ExtensionFault, ExtensionState, HEARTBEAT_BYTES_MAX, MessageAuthenticity, PeerFormat,
        RecordTag, SNAPSHOT_BYTES_MAX, decode_heartbeat, decode_snapshot, encode_heartbeat,
        encode_snapshot,
    },
    evacuations::EvacuationChange,
    extension::{
        ColdNotice, EvacuationNotice, HeartbeatExtension, RouterCapacity, SnapshotExtension,
        SpeedNotice, WaitingNotice,
    },
    fleet_key::{FleetKey, PeerKeys},
    limits::LimitNotice,
    links::{LinkChange, LinkProbe},
    origin_record::{OriginRecord, RECORD_PARTS, RecordWrite},
    origins::OriginNotice,
    peers::{PeerHeartbeat, RouterEntry, TargetOutcomes},
    place_codec::{decode_place, encode_place, is_place_message},
    places::{FragileNotice, PlaceMessage, PlaceMessageKind},
    software::{PoolSoftware, SoftwareKey, SoftwareNotice},
    target_news::TargetNotice,
    targets::{LeavingNotice, TargetEntry, TargetStatus},
    waiting::{PoolWaits, WaitInputs},
};
pub use policy_admission::ShedReason;
pub use policy_retries::ContentChange;
pub use policy_routing::{CallerKey, LoadClass, LoadSample, RouterResources};
pub use policy_targets::{CallRate, LoadReport, RejectionLimit};
