//! Value types that every other crate shares: names, keys, time, result codes and requests.
//!
//! The crate holds data only: decisions, state machines and I/O belong to other crates.

mod adaptive;
mod codes;
mod hosts;
mod macros;
mod names;
mod notices;
mod placement;
mod request;
mod time;

pub use crate::{
    adaptive::AdaptiveCapacity,
    codes::{CodeRow, CompletedCode, NotRunCode, OutcomeKind, UnknownCode, code_table},
    hosts::{HostEntry, HostRole, HostState},
    names::{
        AccountName, AttemptKey, ChatName, ContentDigest, ContentKey, FailureDomainName, HostName,
        OperationName, OperatorName, PoolIdentity, PoolName, RequestKey, RouteName, RowVersion,
        TargetKey, TeamName,
    },
    notices::{AccountLoad, AccountShare, LoadShare, PeerNotice, SuspectNotice, TargetLoad},
    placement::{ParsePlacementError, PlacementToken},
    request::{IncomingRequest, Refusal},
    time::TimePoint,
};
