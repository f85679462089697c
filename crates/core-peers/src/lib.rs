//! State machine for the communication between routers.
//!
//! It maintains the membership, gossips table rows and host rows, forwards notices, and limits
//! its traffic to a byte budget. [`PeerCore::on_event`] takes an event and the current time and
//! returns effects; sockets and timers belong to callers.

mod budget;
mod core;
mod entry;
mod event;
mod frame;
mod notices;

pub use crate::{
    core::{PeerConfig, PeerCore, PeerStatus},
    entry::{GossipEntry, HostChange},
    event::{PeerEffect, PeerEvent, TableListing},
    frame::{
        FrameItem, Heartbeat, LinkKey, NoticeItem, PeerFrame, SyncReply, SyncRequest, item_bytes,
    },
};
