//! Load of other routers on each target, from the load shares they send.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use base_types::{HostName, LoadShare, TimePoint};

use crate::FleetPosition;

/// How long a load share stays valid when its router sends no newer one.
pub const SHARE_TTL: Duration = Duration::from_secs(3);

/// Largest number of routers whose shares are kept; shares of further routers are refused.
const ROUTERS_MAX: usize = 4096;

/// Largest number of targets read from one share; further ones are ignored.
const LOADS_PER_SHARE_MAX: usize = 4096;

/// Latest load share of each other router, and their sum for each target.
#[derive(Debug, Default)]
pub struct PeerLoads {
    shares: BTreeMap<HostName, ReceivedShare>,
    expiries: BTreeSet<(TimePoint, HostName)>,
    sums: BTreeMap<u64, u64>,
}

#[derive(Debug)]
struct ReceivedShare {
    sequence: u64,
    expires_at: TimePoint,
    loads: BTreeMap<u64, u32>,
}

impl PeerLoads {
    /// Records a load share; returns false when the share is stale or the limit of routers is
    /// reached.
    ///
    /// A share whose sequence number is not above the previous one is stale. A restarted router
    /// numbers its shares from the start again: they count once its old share has expired or
    /// [`Self::remove_router`] has dropped it.
    pub fn record_share(&mut self, now: TimePoint, share: LoadShare) -> bool {
        self.expire(now);
        let previous = self.shares.get(&share.router);
        if previous.is_some_and(|previous| previous.sequence >= share.sequence) {
            return false;
        }
        if previous.is_none() && self.shares.len() >= ROUTERS_MAX {
            return false;
        }
        self.remove_router(&share.router);
        self.insert_share(now.after(SHARE_TTL), share);
        true
    }

    /// Removes the shares that have expired.
    pub fn expire(&mut self, now: TimePoint) {
        while let Some((expires_at, router)) = self.expiries.first()
            && expires_at.passed(now)
        {
            let router = router.clone();
            self.remove_router(&router);
        }
    }

    /// Removes the share of a router, for example after the router has restarted.
    pub fn remove_router(&mut self, router: &HostName) {
        let Some(received) = self.shares.remove(router) else { return };
        self.expiries.remove(&(received.expires_at, router.clone()));
        for (target, in_flight) in &received.loads {
            let Some(sum) = self.sums.get_mut(target) else { continue };
            *sum -= u64::from(*in_flight);
            if *sum == 0 {
                self.sums.remove(target);
            }
        }
    }

    /// Requests of other routers in flight on a target, by the hash of the target.
    pub fn load(&self, target_hash: u64) -> u32 {
        let sum = self.sums.get(&target_hash).copied().unwrap_or(0);
        u32::try_from(sum).unwrap_or(u32::MAX)
    }

    /// Number of routers with a valid share.
    pub fn routers(&self) -> usize {
        self.shares.len()
    }

    /// Whether there are no shares.
    pub fn is_empty(&self) -> bool {
        self.shares.is_empty()
    }

    /// Returns the position of a router among the routers with a share, itself included.
    pub fn position(&self, router: &HostName) -> FleetPosition {
        let index = self.shares.range::<HostName, _>(..router).count();
        FleetPosition { routers: self.shares.len() as u32 + 1, index: index as u32 }
    }

    /// Returns when the next share expires; [`TimePoint::NEVER`] without shares.
    pub fn next_expiry(&self) -> TimePoint {
        self.expiries.first().map_or(TimePoint::NEVER, |(expires_at, _)| *expires_at)
    }

    fn insert_share(&mut self, expires_at: TimePoint, share: LoadShare) {
        let mut loads = BTreeMap::new();
        for load in share.loads.into_iter().take(LOADS_PER_SHARE_MAX) {
            loads.insert(load.target_hash, load.in_flight);
        }
        for (target, in_flight) in &loads {
            *self.sums.entry(*target).or_default() += u64::from(*in_flight);
        }
        self.expiries.insert((expires_at, share.router.clone()));
        let received = ReceivedShare { sequence: share.sequence, expires_at, loads };
        self.shares.insert(share.router, received);
    }
}
