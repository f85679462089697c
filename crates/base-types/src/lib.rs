//! Value types that every other crate shares: names, keys, time, result codes and requests.
//!
//! This crate is pure data. It is not a place for decisions, state machines or I/O.

mod codes;
mod hosts;
mod macros;
mod names;
mod notices;
mod placement;
mod request;
mod time;

pub use crate::{
    codes::{CodeRow, CompletedCode, NotRunCode, OutcomeKind, UnknownCode, code_table},
    hosts::{HostEntry, HostRole, HostState},
    names::{
        AccountName, AttemptKey, ChatName, ContentDigest, DomainName, HostName, OperationName,
        OperatorName, PoolIdentity, PoolName, RequestKey, RouteName, RowVersion, TargetKey,
        TeamName,
    },
    notices::{AccountLoad, AccountShare, LoadShare, PeerNotice, SuspectNotice, TargetLoad},
    placement::{PlacementError, PlacementToken},
    request::{Arrival, Refusal},
    time::TimePoint,
};
