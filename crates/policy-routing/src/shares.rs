//! Load that other routers say they have in flight.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use base_types::{HostName, LoadShare, TimePoint};

use crate::FleetPlace;

/// How long a share counts when its router is not heard again.
pub const SHARE_LIFE: Duration = Duration::from_secs(3);

const ROUTERS_MAX: usize = 4096;
const LOADS_MAX: usize = 4096;

/// The latest share of each other router and their sum for each target.
#[derive(Debug, Default)]
pub struct PeerLoads {
    shares: BTreeMap<HostName, HeardShare>,
    expiries: BTreeSet<(TimePoint, HostName)>,
    sums: BTreeMap<u64, u64>,
}

#[derive(Debug)]
struct HeardShare {
    sequence: u64,
    expiry: TimePoint,
    loads: BTreeMap<u64, u32>,
}

impl PeerLoads {
    /// Takes over a share; returns whether it was news.
    ///
    /// A share with a sequence number that was heard before is stale. A router that restarts begins
    /// its sequence anew, which counts once its old share has expired.
    pub fn hear(&mut self, now: TimePoint, share: LoadShare) -> bool {
        self.expire(now);
        let known = self.shares.get(&share.router);
        if known.is_some_and(|known| known.sequence >= share.sequence) {
            return false;
        }
        if known.is_none() && self.shares.len() >= ROUTERS_MAX {
            return false;
        }
        self.forget_router(&share.router);
        self.keep(now.after(SHARE_LIFE), share);
        true
    }

    /// Drops shares whose deadline has passed.
    pub fn expire(&mut self, now: TimePoint) {
        while let Some((expiry, router)) = self.expiries.first()
            && expiry.passed(now)
        {
            let router = router.clone();
            self.forget_router(&router);
        }
    }

    /// Forgets a router's share, as when the router starts anew.
    pub fn forget_router(&mut self, router: &HostName) {
        let Some(heard) = self.shares.remove(router) else { return };
        self.expiries.remove(&(heard.expiry, router.clone()));
        for (target, in_flight) in &heard.loads {
            let Some(sum) = self.sums.get_mut(target) else { continue };
            *sum -= u64::from(*in_flight);
            if *sum == 0 {
                self.sums.remove(target);
            }
        }
    }

    /// Requests of other routers in flight on a target, by the hash of its name.
    pub fn load(&self, target_hash: u64) -> u32 {
        let sum = self.sums.get(&target_hash).copied().unwrap_or(0);
        u32::try_from(sum).unwrap_or(u32::MAX)
    }

    /// Whether any share counts now.
    pub fn is_empty(&self) -> bool {
        self.shares.is_empty()
    }

    /// The place of a router among those whose share counts now.
    pub fn place(&self, router: &HostName) -> FleetPlace {
        let before = self.shares.range::<HostName, _>(..router).count();
        FleetPlace { routers: self.shares.len() as u32 + 1, index: before as u32 }
    }

    /// The point at which the next share expires.
    pub fn next_expiry(&self) -> TimePoint {
        self.expiries.first().map_or(TimePoint::NEVER, |(expiry, _)| *expiry)
    }

    fn keep(&mut self, expiry: TimePoint, share: LoadShare) {
        let mut loads = BTreeMap::new();
        for load in share.loads.into_iter().take(LOADS_MAX) {
            loads.insert(load.target, load.in_flight);
        }
        for (target, in_flight) in &loads {
            *self.sums.entry(*target).or_default() += u64::from(*in_flight);
        }
        self.expiries.insert((expiry, share.router.clone()));
        let heard = HeardShare { sequence: share.sequence, expiry, loads };
        self.shares.insert(share.router, heard);
    }
}
