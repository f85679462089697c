//! Messages between routers.

use base_types::{PeerNotice, key_types, value_types};
use state_membership::Suspicion;
use state_spreading::EntryVersion;

use crate::SpreadEntry;

key_types! {
    /// Key of a link to a peer, given by the side that owns the sockets.
    pub struct LinkKey(pub u64);

    /// What every frame says of its sender.
    pub struct Heartbeat {
        /// Whether the sender has all rows of the tables.
        pub complete: bool,
        /// Digest of the rows of the tables.
        pub row_digest: u32,
        /// Digest of members and hosts.
        pub other_digest: u32,
    }
}

value_types! {
    /// A notice on its way from router to router.
    #[derive(Eq)]
    pub struct NoticeItem {
        /// Incarnation of the router that gave the notice; sequences start again with it.
        pub incarnation: u64,
        /// Links that the notice has crossed.
        pub hops: u8,
        /// The notice.
        pub notice: PeerNotice,
    }

    /// One part of a frame.
    pub enum FrameItem {
        /// A member is accused of having failed.
        Accusation(Suspicion),
        /// An entry at a new version.
        Entry(SpreadEntry),
        /// A notice.
        Notice(NoticeItem),
    }

    /// A message that wants no reply. Any frame is a heartbeat.
    pub struct PeerFrame {
        /// What the sender says of itself.
        pub heartbeat: Heartbeat,
        /// What is new.
        pub items: Vec<FrameItem>,
    }

    /// A question for entries.
    #[derive(Eq)]
    pub enum SyncAsk {
        /// Asks for the versions in those buckets that differ from these digests.
        Versions(Vec<u32>),
        /// Asks for entries by key.
        Fetch(Vec<u64>),
    }

    /// The answer to a question for entries.
    pub enum SyncReply {
        /// Versions held in some differing buckets; more may differ.
        Versions {
            /// The buckets covered.
            buckets: Vec<u8>,
            /// All versions held in them.
            versions: Vec<EntryVersion>,
        },
        /// Entries; those that did not fit are asked for again.
        Entries(Vec<SpreadEntry>),
    }
}

/// Encoded size of an item in bytes; one that cannot be encoded counts as the largest.
pub fn item_bytes(item: &FrameItem) -> usize {
    postcard::experimental::serialized_size(item).unwrap_or(usize::from(u16::MAX))
}
