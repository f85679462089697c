//! Who is in the fleet, who neighbours whom, and who is accused of having failed.
//!
//! Pure state: what is sent, and when, is decided by callers.

mod accusation;
mod member;
mod overlay;
mod rank;

pub use crate::{
    accusation::{Accusation, AccusationBook},
    member::{MemberKey, MemberRecord, MemberRow, MemberState, MemberTable},
    overlay::Overlay,
    rank::{entry_order, table_watchers},
};
