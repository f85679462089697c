//! Notices that were heard or given, and what is still to be told.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use base_types::{HostName, PeerNotice, SuspectNotice, key_types, message_types};

use crate::NoticeItem;

const SUSPECTS_MAX: usize = 1024;
const ORIGINS_MAX: usize = 4096;

key_types! {
    /// Kind of a notice of which only the latest counts.
    pub(crate) enum ShareKind {
        /// Load of a router.
        Load,
        /// Accounts of a router.
        Accounts,
    }
}

message_types! {
    /// Names a notice of which only the latest counts.
    #[derive(Eq, PartialOrd, Ord)]
    pub(crate) struct ShareKey {
        pub(crate) kind: ShareKind,
        pub(crate) router: HostName,
    }

    /// What became of a notice.
    #[derive(Eq)]
    pub(crate) enum NoticeNews {
        /// It was known or is stale.
        Old,
        /// It replaces what this router gave before.
        Share(ShareKey),
        /// It is to be told at once.
        Urgent,
    }
}

/// The latest notices of each router.
#[derive(Debug, Default)]
pub(crate) struct NoticeBoard {
    shares: BTreeMap<ShareKey, NoticeItem>,
    suspects: BTreeSet<(Box<str>, u128, u64)>,
    order: VecDeque<(Box<str>, u128, u64)>,
}

impl NoticeBoard {
    pub(crate) fn take(&mut self, item: &NoticeItem) -> NoticeNews {
        let Some((key, sequence)) = share_key(&item.notice) else {
            return self.take_suspect(&item.notice);
        };
        let held = self.shares.get(&key).map(|held| {
            let sequence = share_key(&held.notice).map_or(0, |(_, sequence)| sequence);
            (held.incarnation, sequence)
        });
        if held.is_some_and(|held| held >= (item.incarnation, sequence)) {
            return NoticeNews::Old;
        }
        if held.is_none() && self.shares.len() >= ORIGINS_MAX {
            return NoticeNews::Old;
        }
        self.shares.insert(key.clone(), item.clone());
        NoticeNews::Share(key)
    }

    pub(crate) fn share(&self, key: &ShareKey) -> Option<&NoticeItem> {
        self.shares.get(key)
    }

    /// Forgets the shares of a router that is gone.
    pub(crate) fn forget(&mut self, router: &HostName) {
        self.shares.retain(|key, _| key.router != *router);
    }

    fn take_suspect(&mut self, notice: &PeerNotice) -> NoticeNews {
        let PeerNotice::Suspect(suspect) = notice else { return NoticeNews::Old };
        let key = suspect_key(suspect);
        if !self.suspects.insert(key.clone()) {
            return NoticeNews::Old;
        }
        self.order.push_back(key);
        if self.order.len() > SUSPECTS_MAX
            && let Some(oldest) = self.order.pop_front()
        {
            self.suspects.remove(&oldest);
        }
        NoticeNews::Urgent
    }
}

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
    (suspect.pool.as_str().into(), suspect.content.0, suspect.target)
}
