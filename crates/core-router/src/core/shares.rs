//! Exchange of load shares between routers.

use std::time::Duration;

use base_types::{LoadShare, PeerNotice, TargetLoad, TimePoint, key_types};

use crate::{Effect, core::RouterCore};

/// Default minimum interval between two load shares.
const SHARE_INTERVAL: Duration = Duration::from_millis(500);

/// Interval after which an unchanged share with load is sent again, so that it does not expire on
/// the other routers.
const SHARE_REFRESH_INTERVAL: Duration = Duration::from_secs(1);

key_types! {
    /// Limits how often a router publishes its load.
    pub struct ShareOptions {
        /// Minimum interval between two load shares of a router.
        pub min_interval: Duration,
    }
}

impl Default for ShareOptions {
    fn default() -> Self {
        Self { min_interval: SHARE_INTERVAL }
    }
}

/// When this router's next load share is due, and the sequence number of its last one.
#[derive(Debug)]
pub(super) struct LoadShareSchedule {
    pub(super) options: ShareOptions,
    sequence: u64,
    next_allowed_at: TimePoint,
    refresh_at: TimePoint,
    load_changed: bool,
}

impl Default for LoadShareSchedule {
    fn default() -> Self {
        Self {
            options: ShareOptions::default(),
            sequence: 0,
            next_allowed_at: TimePoint(0),
            refresh_at: TimePoint::NEVER,
            load_changed: false,
        }
    }
}

impl LoadShareSchedule {
    /// The next share is due as soon as allowed after a change of load, otherwise at its refresh.
    pub(super) fn next_deadline(&self) -> TimePoint {
        if self.load_changed { self.next_allowed_at } else { self.refresh_at }
    }

    fn on_published(&mut self, now: TimePoint, loads: &[TargetLoad]) {
        self.sequence += 1;
        self.next_allowed_at = now.after(self.options.min_interval);
        self.refresh_at =
            if loads.is_empty() { TimePoint::NEVER } else { now.after(SHARE_REFRESH_INTERVAL) };
        self.load_changed = false;
    }
}

impl RouterCore {
    pub(super) fn on_notice(&mut self, now: TimePoint, notice: PeerNotice) {
        match notice {
            PeerNotice::Load(share) => self.on_load_share(now, share),
            PeerNotice::Suspect(notice) => self.suspects.on_notice(now, notice),
            PeerNotice::Accounts(share) if share.router == self.name => {}
            PeerNotice::Accounts(share) => self.account_limits.on_share(now, share),
        }
    }

    pub(super) fn expire_peer_loads(&mut self, now: TimePoint) {
        if !self.peer_loads.next_expiry().passed(now) {
            return;
        }
        self.peer_loads.expire(now);
        self.targets.apply_peer_loads(now, &self.peer_loads);
    }

    /// Publishes this router's load to the other routers when a share is due.
    pub(super) fn publish_load(&mut self, now: TimePoint) {
        if !self.load_share.next_deadline().passed(now) {
            return;
        }
        let loads = self.targets.collect_own_loads();
        self.load_share.on_published(now, &loads);
        let share =
            LoadShare { router: self.name.clone(), sequence: self.load_share.sequence, loads };
        self.effects.push(Effect::Broadcast(PeerNotice::Load(share)));
    }

    /// Marks that this router's load changed since its last share.
    pub(super) fn mark_load_changed(&mut self) {
        self.load_share.load_changed = true;
    }

    fn on_load_share(&mut self, now: TimePoint, share: LoadShare) {
        if share.router == self.name {
            return;
        }
        if self.peer_loads.record_share(now, share) {
            self.targets.apply_peer_loads(now, &self.peer_loads);
        }
    }
}
