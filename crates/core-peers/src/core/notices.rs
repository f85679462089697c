//! Delivery and forwarding of notices, from this router and from its peers.

use base_types::PeerNotice;

use crate::{LinkKey, NoticeItem, PeerEffect, core::PeerCore, notices::NoticeUpdate};

/// Links that a share may cross in an overlay that is no full mesh.
const SHARE_HOPS: u8 = 2;

impl PeerCore {
    pub(super) fn on_own_notice(&mut self, notice: PeerNotice) {
        let item = NoticeItem { incarnation: self.own_record.incarnation, hops: 0, notice };
        match self.notices.insert(&item) {
            NoticeUpdate::Stale => {}
            NoticeUpdate::Share(share) => self.queue_share(&share, None),
            NoticeUpdate::Urgent => self.queue_urgent_notice(&item.notice, None),
        }
    }

    pub(super) fn on_notice(&mut self, item: NoticeItem, from: Option<LinkKey>) {
        let item = NoticeItem { hops: item.hops.saturating_add(1), ..item };
        match self.notices.insert(&item) {
            NoticeUpdate::Stale => return,
            NoticeUpdate::Share(share) => {
                if item.hops < SHARE_HOPS && !self.overlay.is_full_mesh() {
                    self.queue_share(&share, from);
                }
            }
            NoticeUpdate::Urgent => self.queue_urgent_notice(&item.notice, from),
        }
        self.effects.push(PeerEffect::NoticeReceived(item.notice));
    }

    fn queue_urgent_notice(&mut self, notice: &PeerNotice, from: Option<LinkKey>) {
        self.queue_notice(notice, from);
        self.has_urgent_items = true;
    }
}
