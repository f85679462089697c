//! Load that routers share with each other.

use std::time::Duration;

use base_types::{LoadShare, PeerNotice, TargetLoad, TimePoint, key_types};

use crate::{Effect, core::RouterCore};

const SHARE_EVERY: Duration = Duration::from_millis(500);

/// When an unchanged share that names load is said again, so that it does not expire.
const SHARE_AGAIN: Duration = Duration::from_secs(1);

key_types! {
    /// How often a router tells its load.
    pub struct SharePace {
        /// Least time between two shares.
        pub every: Duration,
    }
}

impl Default for SharePace {
    fn default() -> Self {
        Self { every: SHARE_EVERY }
    }
}

/// What this router has told the others of its load.
#[derive(Debug)]
pub(super) struct OwnShare {
    pub(super) pace: SharePace,
    sequence: u64,
    earliest: TimePoint,
    latest: TimePoint,
    changed: bool,
}

impl Default for OwnShare {
    fn default() -> Self {
        Self {
            pace: SharePace::default(),
            sequence: 0,
            earliest: TimePoint(0),
            latest: TimePoint::NEVER,
            changed: false,
        }
    }
}

impl OwnShare {
    /// The point at which the next share is due.
    pub(super) fn next_deadline(&self) -> TimePoint {
        if self.changed { self.earliest } else { self.latest }
    }

    fn told(&mut self, now: TimePoint, loads: &[TargetLoad]) {
        self.sequence += 1;
        self.earliest = now.after(self.pace.every);
        self.latest = if loads.is_empty() { TimePoint::NEVER } else { now.after(SHARE_AGAIN) };
        self.changed = false;
    }
}

impl RouterCore {
    pub(super) fn on_notice(&mut self, now: TimePoint, notice: PeerNotice) {
        match notice {
            PeerNotice::Load(share) => self.on_share(now, share),
            PeerNotice::Suspect(notice) => self.suspects.hear(now, notice),
            // FIXME: accounts of other routers are not used yet.
            PeerNotice::Accounts(_) => {}
        }
    }

    pub(super) fn expire_peer_loads(&mut self, now: TimePoint) {
        if !self.peer_loads.next_expiry().passed(now) {
            return;
        }
        self.peer_loads.expire(now);
        self.targets.adopt_peer_loads(now, &self.peer_loads);
    }

    /// Tells the others of this router's load when it changed and a share is due.
    pub(super) fn tell_load(&mut self, now: TimePoint) {
        if !self.share.next_deadline().passed(now) {
            return;
        }
        let loads = self.targets.tell_loads();
        self.share.told(now, &loads);
        let share = LoadShare { router: self.name.clone(), sequence: self.share.sequence, loads };
        self.effects.push(Effect::Notify(PeerNotice::Load(share)));
    }

    /// Marks that this router's load changed.
    pub(super) fn touch_load(&mut self) {
        self.share.changed = true;
    }

    fn on_share(&mut self, now: TimePoint, share: LoadShare) {
        if share.router == self.name {
            return;
        }
        if self.peer_loads.hear(now, share) {
            self.targets.adopt_peer_loads(now, &self.peer_loads);
        }
    }
}
