//! Events that the core handles, and effects that it requests from its caller.

use std::net::SocketAddr;

use base_types::{HostEntry, HostName, PeerNotice, TimePoint, message_types};
use state_tables::{RowChange, TableRevision};

use crate::{
    SyncReply, SyncRequest,
    frame::{LinkKey, PeerFrame},
};

message_types! {
    /// Complete tables as the platform listed them.
    pub struct TableListing {
        /// The tables that were read, each with the revision of the read.
        pub reads: Vec<TableRevision>,
        /// All rows of these tables.
        pub rows: Vec<RowChange>,
    }

    /// Input of the core.
    pub enum PeerEvent {
        /// The platform's host list was read.
        HostsPolled(Vec<HostEntry>),
        /// Complete tables were read from the platform.
        TablesListed(TableListing),
        /// A change of a row was read from the platform.
        RowRead(RowChange),
        /// The platform answered a watch. Its changes are reported by separate events.
        PlatformAnswered,
        /// A link to a host is open. The address is `Some` if this process opened the link.
        LinkOpened(LinkKey, HostName, Option<SocketAddr>),
        /// A link has ended.
        LinkClosed(LinkKey),
        /// A requested connect to an address failed.
        ConnectFailed(SocketAddr),
        /// A peer sent a frame on a link.
        FrameReceived(LinkKey, PeerFrame),
        /// A peer answered a sync request.
        SyncAnswered(LinkKey, SyncReply),
        /// A sync request failed or timed out.
        SyncFailed(LinkKey),
        /// This router issues a notice to all others.
        NoticeIssued(PeerNotice),
        /// Total bytes that the socket has sent since the process started.
        SentBytesCounted(u64),
        /// This router is leaving: requests in flight finish, and it stops soon.
        DrainStarted,
        /// This router stops now.
        StopRequested,
        /// The time of [`PeerCore::next_deadline`](crate::PeerCore::next_deadline) has come.
        TimerFired,
    }

    /// Output of the core, which the caller runs.
    pub enum PeerEffect {
        /// Connect to an address; the result is reported as [`PeerEvent::LinkOpened`] or
        /// [`PeerEvent::ConnectFailed`].
        Connect(SocketAddr),
        /// Close a link that the core does not keep.
        Close(LinkKey),
        /// Send a frame on a link. Delivery is not guaranteed.
        Send(LinkKey, PeerFrame),
        /// Send a sync request; the result is reported as [`PeerEvent::SyncAnswered`] or
        /// [`PeerEvent::SyncFailed`].
        RequestSync(LinkKey, SyncRequest),
        /// A row was stored at a new version.
        RowAdopted(RowChange),
        /// All rows that were accepted before this router started were received.
        AllRowsReceived,
        /// The agreed host list has changed; the effect carries all of its rows.
        HostsChanged(Vec<HostEntry>),
        /// A new notice of another router was received.
        NoticeReceived(PeerNotice),
        /// This router starts or stops watching the platform: as an assigned watcher, or because no
        /// peer is in contact.
        WatchChanged(bool),
        /// The platform or a peer was in contact; new work may be accepted until this time.
        TrustedUntil(TimePoint),
        /// A message for the log.
        Log(Box<str>),
    }
}
