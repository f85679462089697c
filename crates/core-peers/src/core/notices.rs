//! Notices of this router and of others.

use base_types::PeerNotice;

use crate::{LinkKey, NoticeItem, PeerEffect, core::PeerCore, notices::NoticeNews};

/// Links that a share may cross where routers are too many to have one to each other.
const SHARE_HOPS: u8 = 2;

impl PeerCore {
    pub(super) fn on_own_notice(&mut self, notice: PeerNotice) {
        let item = NoticeItem { incarnation: self.own.incarnation, hops: 0, notice };
        match self.board.take(&item) {
            NoticeNews::Old => {}
            NoticeNews::Share(share) => self.queue_share(&share, None),
            NoticeNews::Urgent => self.tell_urgent(&item.notice, None),
        }
    }

    pub(super) fn on_notice(&mut self, item: NoticeItem, from: Option<LinkKey>) {
        let item = NoticeItem { hops: item.hops.saturating_add(1), ..item };
        match self.board.take(&item) {
            NoticeNews::Old => return,
            NoticeNews::Share(share) => {
                if item.hops < SHARE_HOPS && !self.overlay.is_full_mesh() {
                    self.queue_share(&share, from);
                }
            }
            NoticeNews::Urgent => self.tell_urgent(&item.notice, from),
        }
        self.effects.push(PeerEffect::NoticeHeard(item.notice));
    }

    fn tell_urgent(&mut self, notice: &PeerNotice, from: Option<LinkKey>) {
        self.queue_notice(notice, from);
        self.is_urgent = true;
    }
}
