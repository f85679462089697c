//! Fleet membership: member records, the overlay of links between members, and suspicions that a
//! member has failed.
//!
//! This crate holds state only; callers decide what is sent and when.

mod accusation;
mod member;
mod overlay;
mod rank;

pub use crate::{
    accusation::{Suspicion, SuspicionTable},
    member::{MemberKey, MemberRecord, MemberRow, MemberState, MemberTable},
    overlay::Overlay,
    rank::{platform_watchers, rank_entry_routers},
};
