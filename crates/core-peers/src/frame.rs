//! Messages that routers send to each other on a link.

use base_types::{PeerNotice, key_types, value_types};
use state_membership::Suspicion;
use state_spreading::EntryVersion;

use crate::GossipEntry;

key_types! {
    /// Key of a link to a peer, chosen by the caller that owns the connections; never reused.
    pub struct LinkKey(pub u64);

    /// State of the sender that every frame carries.
    pub struct Heartbeat {
        /// Whether the sender has all rows of the tables.
        pub has_all_rows: bool,
        /// Digest of the rows of the tables.
        pub row_digest: u32,
        /// Digest of the member records and of the host rows.
        pub member_host_digest: u32,
    }
}

value_types! {
    /// A notice with the fields that routers need to forward it.
    #[derive(Eq)]
    pub struct NoticeItem {
        /// Incarnation of the router that issued the notice; its sequence numbers restart with each
        /// incarnation. Zero on suspect notices.
        pub incarnation: u64,
        /// Number of links that the notice has crossed. Zero on sent suspect notices.
        pub hops: u8,
        /// Content of the notice.
        pub notice: PeerNotice,
    }

    /// One item of a frame.
    pub enum FrameItem {
        /// A report that a member may have failed.
        Suspicion(Suspicion),
        /// An entry at a version that may be new to the receiver.
        Entry(GossipEntry),
        /// A share or a suspect notice.
        Notice(NoticeItem),
    }

    /// A one-way message. Every frame counts as a heartbeat, even one without items.
    pub struct PeerFrame {
        /// State of the sender.
        pub heartbeat: Heartbeat,
        /// Suspicions, entries and notices that may be new to the receiver.
        pub items: Vec<FrameItem>,
    }

    /// A request of the anti-entropy protocol.
    #[derive(Eq)]
    pub enum SyncRequest {
        /// Requests the entry versions of all buckets whose digests differ from these.
        Versions(Vec<u32>),
        /// Requests entries by key.
        Fetch(Vec<u64>),
    }

    /// The reply to a [`SyncRequest`].
    pub enum SyncReply {
        /// Entry versions of differing buckets; where the size limit was reached, more may differ.
        Versions {
            /// The buckets whose versions follow.
            buckets: Vec<u8>,
            /// All entry versions in these buckets.
            versions: Vec<EntryVersion>,
        },
        /// The requested entries, as many as fit; the next repair requests the others.
        Entries(Vec<GossipEntry>),
    }
}

/// Encoded size of an item in bytes. An item that cannot be encoded counts as `u16::MAX` bytes.
pub fn item_bytes(item: &FrameItem) -> usize {
    postcard::experimental::serialized_size(item).unwrap_or(usize::from(u16::MAX))
}
