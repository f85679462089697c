//! Events that the core takes and effects that it asks for.

use std::net::SocketAddr;

use base_types::{HostEntry, HostName, PeerNotice, TimePoint, message_types};
use state_tables::{RowChange, TableRevision};

use crate::{
    SyncAsk, SyncReply,
    frame::{LinkKey, PeerFrame},
};

message_types! {
    /// Whole tables as the platform listed them.
    pub struct TableListing {
        /// The tables and the revisions at which they were read.
        pub reads: Vec<TableRevision>,
        /// All of their rows.
        pub rows: Vec<RowChange>,
    }

    /// Something that happened.
    pub enum PeerEvent {
        /// The platform's host list was read.
        HostsPolled(Vec<HostEntry>),
        /// Whole tables were read from the platform.
        TablesListed(TableListing),
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
