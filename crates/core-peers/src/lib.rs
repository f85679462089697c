//! The state machine that keeps a router in touch with the others.
//!
//! It keeps the membership, spreads rows of the tables and of the host list, carries notices,
//! and keeps to a budget of bytes. [`PeerCore::on_event`] takes an event and a point in time and
//! returns effects; sockets and timers belong to callers.

mod budget;
mod core;
mod entry;
mod event;
mod frame;
mod notices;

pub use crate::{
    core::{PeerCore, PeerPlan, PeerStatus},
    entry::{HostChange, SpreadEntry},
    event::{PeerEffect, PeerEvent, TableListing},
    frame::{FrameItem, Heartbeat, LinkKey, NoticeItem, PeerFrame, SyncAsk, SyncReply, item_bytes},
};
