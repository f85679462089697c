//! The latest notices of all routers, and detection of duplicates.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use base_types::{HostName, PeerNotice, SuspectNotice, key_types, message_types};

use crate::NoticeItem;

/// Suspect notices that are kept to detect duplicates; the oldest is dropped first.
const RECENT_SUSPECTS_MAX: usize = 1024;
/// Most shares that are kept; shares of further routers are ignored.
const SHARES_MAX: usize = 4096;

key_types! {
    /// Kind of a share, that is of a periodic notice of which only the latest counts.
    pub(crate) enum ShareKind {
        /// Calls in flight of a router, per target.
        Load,
        /// Token rates at a router, per client account.
        Accounts,
    }
}

message_types! {
    /// Key of a share: a newer share of the same key replaces an older one.
    #[derive(Eq, PartialOrd, Ord)]
    pub(crate) struct ShareKey {
        pub(crate) kind: ShareKind,
        pub(crate) router: HostName,
    }

    /// Whether a notice was new, and how it is to be forwarded.
    #[derive(Eq)]
    pub(crate) enum NoticeUpdate {
        /// The notice is known already, older than the current one, or of a further router while
        /// the store is full; it is not forwarded.
        Stale,
        /// The notice is a newer share, which is forwarded as the budget allows.
        Share(ShareKey),
        /// The notice is a new suspect notice, which is forwarded at once.
        Urgent,
    }
}

/// The latest shares of each router, and the keys of recent suspect notices.
#[derive(Debug, Default)]
pub(crate) struct NoticeStore {
    shares: BTreeMap<ShareKey, NoticeItem>,
    suspects: BTreeSet<(Box<str>, u128, u64)>,
    insertion_order: VecDeque<(Box<str>, u128, u64)>,
}

impl NoticeStore {
    /// Stores a notice, unless it is stale.
    pub(crate) fn insert(&mut self, item: &NoticeItem) -> NoticeUpdate {
        let Some((key, sequence)) = share_key(&item.notice) else {
            return self.insert_suspect(&item.notice);
        };
        let current = self.shares.get(&key).map(|current| {
            let sequence = share_key(&current.notice).map_or(0, |(_, sequence)| sequence);
            (current.incarnation, sequence)
        });
        if current.is_some_and(|current| current >= (item.incarnation, sequence)) {
            return NoticeUpdate::Stale;
        }
        if current.is_none() && self.shares.len() >= SHARES_MAX {
            return NoticeUpdate::Stale;
        }
        self.shares.insert(key.clone(), item.clone());
        NoticeUpdate::Share(key)
    }

    pub(crate) fn share(&self, key: &ShareKey) -> Option<&NoticeItem> {
        self.shares.get(key)
    }

    /// Removes the shares of a router that is down.
    pub(crate) fn remove_router(&mut self, router: &HostName) {
        self.shares.retain(|key, _| key.router != *router);
    }

    fn insert_suspect(&mut self, notice: &PeerNotice) -> NoticeUpdate {
        let PeerNotice::Suspect(suspect) = notice else { return NoticeUpdate::Stale };
        let key = suspect_key(suspect);
        if !self.suspects.insert(key.clone()) {
            return NoticeUpdate::Stale;
        }
        self.insertion_order.push_back(key);
        if self.insertion_order.len() > RECENT_SUSPECTS_MAX
            && let Some(oldest) = self.insertion_order.pop_front()
        {
            self.suspects.remove(&oldest);
        }
        NoticeUpdate::Urgent
    }
}

/// Key and sequence number of a share; `None` for suspect notices.
fn share_key(notice: &PeerNotice) -> Option<(ShareKey, u64)> {
    match notice {
        PeerNotice::Load(share) => {
            let key = ShareKey { kind: ShareKind::Load, router: share.router.clone() };
            Some((key, share.sequence))
        }
        PeerNotice::Accounts(share) => {
            let key = ShareKey { kind: ShareKind::Accounts, router: share.router.clone() };
            Some((key, share.sequence))
        }
        PeerNotice::Suspect(_) => None,
    }
}

fn suspect_key(suspect: &SuspectNotice) -> (Box<str>, u128, u64) {
    (suspect.pool.as_str().into(), suspect.content.0, suspect.target_hash)
}
