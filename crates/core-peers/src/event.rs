//! Events that the core takes and effects that it asks for.

use std::net::SocketAddr;

use base_types::{
    HostEntry, HostName, PeerNotice, RowVersion, TimePoint, key_types, message_types,
};
use state_tables::{RowChange, RowKey};

use crate::{
    SyncAsk, SyncReply,
    frame::{LinkKey, PeerFrame},
};

key_types! {
    /// One of the two tables.
    pub enum RowTable {
        /// The routes.
        Routes,
        /// The pools.
        Pools,
    }
}

impl RowTable {
    /// Whether a row belongs to this table.
    pub fn holds(self, key: &RowKey) -> bool {
        matches!((self, key), (Self::Routes, RowKey::Route(_)) | (Self::Pools, RowKey::Pool(_)))
    }
}

message_types! {
    /// All rows of one table as the platform listed them.
    pub struct RowListing {
        /// The table.
        pub table: RowTable,
        /// Revision at which the table was read.
        pub revision: RowVersion,
        /// Keys that the platform holds, whether or not their rows could be read.
        pub keys: Vec<RowKey>,
        /// The rows that could be read.
        pub rows: Vec<RowChange>,
    }

    /// Something that happened.
    pub enum PeerEvent {
        /// The platform's host list was read.
        HostsPolled(Vec<HostEntry>),
        /// A whole table was read from the platform.
        TableListed(RowListing),
        /// A change of a row was read from the platform.
        RowRead(RowChange),
        /// The platform answered without news.
        PlatformHeard,
        /// A link to a host is open; the address is known where this process dialled.
        LinkOpened(LinkKey, HostName, Option<SocketAddr>),
        /// A link is closed.
        LinkClosed(LinkKey),
        /// A dial did not lead to a link.
        DialFailed(SocketAddr),
        /// A frame arrived.
        FrameHeard(LinkKey, PeerFrame),
        /// A question for entries was answered.
        SyncAnswered(LinkKey, SyncReply),
        /// A question for entries was not answered.
        SyncFailed(LinkKey),
        /// This router has something to tell all others.
        NoticeGiven(PeerNotice),
        /// Bytes that the socket has sent since the process started.
        WireSent(u64),
        /// This router is about to go.
        LeaveAsked,
        /// This router goes now.
        GoneAsked,
        /// Time passed.
        TimerFired,
    }

    /// What the core asks its surroundings to do.
    pub enum PeerEffect {
        /// Dial an address and report the link or the failure.
        Dial(SocketAddr),
        /// Close a link.
        Close(LinkKey),
        /// Send a frame; it may be lost.
        Send(LinkKey, PeerFrame),
        /// Ask a peer for entries and report its answer.
        Ask(LinkKey, SyncAsk),
        /// A row is in force.
        RowAdopted(RowChange),
        /// All rows that were accepted before this router started are in force.
        TablesComplete,
        /// The hosts that the platform lists, as the routers agreed on it.
        HostsChanged(Vec<HostEntry>),
        /// A notice of another router arrived.
        NoticeHeard(PeerNotice),
        /// Whether this router watches the platform for others has changed.
        WatchChanged(bool),
        /// The platform or a peer was heard; new work may be taken until this point.
        TrustedUntil(TimePoint),
        /// A sentence for the log.
        Log(Box<str>),
    }
}
