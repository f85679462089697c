//! Places at fragile targets: leases of their keepers, and what calls hold.

use std::{collections::BTreeMap, time::Duration};

use base_types::{HostName, TargetKey, TimePoint, key_types, value_types};
use policy_targets::{PlaceLimit, RejectionLimit};

/// Time after the end of a lease in which a heartbeat of its router may still count its call.
const ENDED_LEASE_TTL: Duration = Duration::from_millis(250);

/// Age of a lease from which a heartbeat of its router counts its call, if there still is one.
const REPORTED_LEASE_AGE: Duration = Duration::from_millis(250);

/// Time for which calls without a lease count after the heartbeat that reported them.
const UNLEASED_TTL: Duration = Duration::from_millis(1_500);

/// Ended leases that are kept for one target.
const ENDED_LEASES_MAX: usize = 1_024;

/// Routers whose calls without a lease are kept for one target.
const UNLEASED_ROUTERS_MAX: usize = 4_096;

/// Longest time for which a place is leased.
const LEASE_TIME_MAX: Duration = Duration::from_secs(120);

value_types! {
    /// Message about a place of a call at a fragile target, between the router of the call and the router
    /// that keeps the target's places.
    #[derive(Eq)]
    pub struct PlaceMessage {
        /// Name of the sending router.
        pub sender: HostName,
        /// Start of the sending router.
        pub incarnation: u64,
        /// The call, by its key at its router.
        pub call: u64,
        /// Hash of the target's name and incarnation.
        pub target_hash: u64,
        /// What is asked or said.
        pub kind: PlaceMessageKind,
    }
}

key_types! {
    /// What a [`PlaceMessage`] asks or says.
    pub enum PlaceMessageKind {
        /// Asks for a place.
        Ask {
            /// Milliseconds until the call ends at the latest.
            left_ms: u32,
            /// Rejections a second that the target bears, as the asking router knows them.
            bearable: u32,
            /// Milliseconds since the latest answer that said so.
            age_ms: u32,
            /// Rank of the call; zero is served first.
            rank: u8,
            /// Whether the call waits for a place if none is free.
            may_wait: bool,
        },
        /// The call has a place until it is released.
        Granted,
        /// The call gets a place when one is free, unless that takes longer than this.
        Queued {
            /// Milliseconds for which the call may wait.
            wait_ms: u16,
        },
        /// The target has no place, or the receiver does not keep its places.
        Denied,
        /// The call needs its place no longer, or does not wait for one any more.
        Released {
            /// Whether the target declined the call.
            is_rejected: bool,
        },
    }

    /// A pool whose targets are fragile, as routers report it to each other.
    pub struct FragileNotice {
        /// Hash of the pool's name.
        pub pool_hash: u64,
        /// Rejections a second that each of its targets bears.
        pub bearable: u32,
        /// Milliseconds since the latest answer that said so.
        pub age_ms: u32,
    }

    /// A call of one start of a router.
    pub(crate) struct LeaseKey {
        pub(crate) router: u64,
        pub(crate) call: u64,
    }
}

/// A pool whose targets are fragile.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FragilePool {
    pub(crate) bearable: RejectionLimit,
    pub(crate) stated_at: TimePoint,
    /// The same of answers to this router; `None` if only others have heard of it.
    pub(crate) own_stated_at: Option<TimePoint>,
    /// Time from which an answer without the statement shows that its target is not fragile.
    pub(crate) plain_from: TimePoint,
}

/// The router that keeps the places of a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum PlaceKeeper {
    Own,
    Peer(HostName),
}

/// A place that a call asked for or has.
#[derive(Debug, Clone)]
pub(crate) struct PlaceClaim {
    pub(crate) target: TargetKey,
    pub(crate) target_hash: u64,
    pub(crate) keeper: PlaceKeeper,
}

/// What a call knows of places at fragile targets.
#[derive(Debug, Default)]
pub(crate) struct CallPlace {
    pub(crate) claim: ClaimState,
    /// Targets that had no place for the call.
    pub(crate) full_targets: Vec<TargetKey>,
    /// Other routers asked.
    pub(crate) asks: u32,
}

#[derive(Debug, Default)]
pub(crate) enum ClaimState {
    #[default]
    Unclaimed,
    /// The keeper was asked and answers by a deadline.
    Asked(PlaceClaim, TimePoint),
    /// The call waits until a deadline for a place to become free.
    Queued(PlaceClaim, TimePoint),
    Granted(PlaceClaim),
}

impl CallPlace {
    /// Whether the call may not be sent to a target, as that one is full or another has a place for it.
    pub(crate) fn excludes(&self, target: TargetKey) -> bool {
        let claimed = match &self.claim {
            ClaimState::Unclaimed => None,
            ClaimState::Asked(claim, _)
            | ClaimState::Queued(claim, _)
            | ClaimState::Granted(claim) => Some(claim.target),
        };
        claimed.is_some_and(|claimed| claimed != target) || self.full_targets.contains(&target)
    }

    /// Forgets what was asked for the attempt that starts.
    pub(crate) fn start_attempt(&mut self) {
        self.asks = 0;
        self.full_targets.clear();
    }

    /// Takes the claim, which is to be released.
    pub(crate) fn take_claim(&mut self) -> Option<PlaceClaim> {
        match std::mem::take(&mut self.claim) {
            ClaimState::Unclaimed => None,
            ClaimState::Asked(claim, _)
            | ClaimState::Queued(claim, _)
            | ClaimState::Granted(claim) => Some(claim),
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct PlaceLease {
    /// From this time on, heartbeats of the router count the call.
    reported_from: TimePoint,
    ends_at: TimePoint,
}

/// A call that asks for a place.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct PlaceAsk {
    pub(crate) lease: LeaseKey,
    /// Router of the call; `None` for this one.
    pub(crate) router: Option<HostName>,
    /// Rank of the call; zero is served first.
    pub(crate) rank: u8,
    /// Time at which the call ends at the latest.
    pub(crate) ends_at: TimePoint,
    /// Time until which the call waits for a place; `None` if it does not.
    pub(crate) waits_until: Option<TimePoint>,
}

/// What became of a call that asked for a place.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum AskOutcome {
    Granted,
    Queued,
    Denied,
}

/// A call that waits for a place.
#[derive(Debug)]
struct QueuedAsk {
    ask: PlaceAsk,
    until: TimePoint,
}

/// Calls of a router that hold no lease, by its latest heartbeat.
#[derive(Debug, Clone, Copy)]
struct UnleasedCalls {
    calls: u32,
    until: TimePoint,
}

/// Places at one fragile target, at the router that keeps them.
#[derive(Debug, Default)]
pub(crate) struct TargetPlaces {
    leases: BTreeMap<LeaseKey, PlaceLease>,
    /// Leases that ended a moment ago, by the time at which they are forgotten, and their routers.
    ended: Vec<(TimePoint, u64)>,
    unleased: BTreeMap<u64, UnleasedCalls>,
    /// Calls that wait for a place, in the order in which they asked.
    queue: Vec<QueuedAsk>,
    pub(crate) limit: PlaceLimit,
}

impl TargetPlaces {
    /// Calls that hold a place now, and those that are at the target without one.
    pub(crate) fn taken(&self, now: TimePoint) -> u32 {
        let unleased = self.unleased.values().filter(|unleased| !unleased.until.passed(now));
        let unleased = unleased.fold(0u32, |sum, unleased| sum.saturating_add(unleased.calls));
        (self.leases.len() as u32).saturating_add(unleased)
    }

    /// Number of leases.
    pub(crate) fn leased(&self) -> u32 {
        self.leases.len() as u32
    }

    /// Leases of a router.
    pub(crate) fn leased_to(&self, router: u64) -> u32 {
        self.leases.keys().filter(|lease| lease.router == router).count() as u32
    }

    /// Leases a place if fewer than `places` are taken; else queues a call that waits. No more calls wait than
    /// there are places: a less urgent one is put out for a more urgent one and returned.
    pub(crate) fn ask(
        &mut self,
        now: TimePoint,
        ask: PlaceAsk,
        places: u32,
    ) -> (AskOutcome, Option<PlaceAsk>) {
        self.leases.retain(|_, lease| !lease.ends_at.passed(now));
        self.queue.retain(|queued| !queued.until.passed(now));
        if self.leases.contains_key(&ask.lease) {
            return (AskOutcome::Granted, None);
        }
        if self.taken(now) < places {
            self.lease(now, &ask);
            return (AskOutcome::Granted, None);
        }
        let Some(until) = ask.waits_until else { return (AskOutcome::Denied, None) };
        if (self.queue.len() as u32) < places {
            self.queue.push(QueuedAsk { ask, until });
            return (AskOutcome::Queued, None);
        }
        let last = (0..self.queue.len()).max_by_key(|index| (self.queue[*index].ask.rank, *index));
        let Some(last) = last.filter(|last| ask.rank < self.queue[*last].ask.rank) else {
            return (AskOutcome::Denied, None);
        };
        let displaced = self.queue.remove(last).ask;
        self.queue.push(QueuedAsk { ask, until });
        (AskOutcome::Queued, Some(displaced))
    }

    /// Leases a place to the most urgent waiting call if fewer than `places` are taken; among equally urgent ones
    /// to the one that has waited longest.
    pub(crate) fn next_queued(&mut self, now: TimePoint, places: u32) -> Option<PlaceAsk> {
        self.queue.retain(|queued| !queued.until.passed(now));
        if self.queue.is_empty() || self.taken(now) >= places {
            return None;
        }
        let first = (0..self.queue.len()).min_by_key(|index| (self.queue[*index].ask.rank, *index));
        let ask = self.queue.remove(first?).ask;
        self.lease(now, &ask);
        Some(ask)
    }

    fn lease(&mut self, now: TimePoint, ask: &PlaceAsk) {
        let ends_at = ask.ends_at.min(now.after(LEASE_TIME_MAX));
        let reported_from = now.after(REPORTED_LEASE_AGE);
        self.leases.insert(ask.lease, PlaceLease { reported_from, ends_at });
    }

    pub(crate) fn has_queue(&self) -> bool {
        !self.queue.is_empty()
    }

    /// Ends the lease of a call of this router, or its wait for one.
    pub(crate) fn end(&mut self, key: LeaseKey) {
        self.leases.remove(&key);
        self.queue.retain(|queued| queued.ask.lease != key);
    }

    /// Ends the lease of a call of another router, whose heartbeats may still count it, or its wait for one.
    /// Returns whether there was a lease.
    pub(crate) fn end_of_peer(&mut self, now: TimePoint, key: LeaseKey) -> bool {
        self.queue.retain(|queued| queued.ask.lease != key);
        if self.leases.remove(&key).is_none() {
            return false;
        }
        self.ended.retain(|(until, _)| !until.passed(now));
        if self.ended.len() < ENDED_LEASES_MAX {
            self.ended.push((now.after(ENDED_LEASE_TTL), key.router));
        }
        true
    }

    /// Compares the leases of a router with the calls that its heartbeat reports: leases whose release was
    /// lost end, and calls without a lease count.
    pub(crate) fn on_reported(&mut self, now: TimePoint, router: u64, calls: u32) {
        let range = LeaseKey { router, call: 0 }..=LeaseKey { router, call: u64::MAX };
        let leases = self.leases.range(range);
        let reported: Vec<LeaseKey> = leases
            .clone()
            .filter(|(_, lease)| lease.reported_from.passed(now))
            .map(|(key, _)| *key)
            .collect();
        let active = leases.count() as u32;
        for key in reported.iter().take(reported.len().saturating_sub(calls as usize)) {
            self.leases.remove(key);
        }
        let ended = self.ended.iter().filter(|(until, of)| *of == router && !until.passed(now));
        let unleased = calls.saturating_sub(active + ended.count() as u32);
        if unleased == 0 {
            self.unleased.remove(&router);
        } else if self.unleased.len() < UNLEASED_ROUTERS_MAX {
            let until = now.after(UNLEASED_TTL);
            self.unleased.insert(router, UnleasedCalls { calls: unleased, until });
        }
    }

    /// Forgets what has ended, and the leases of routers that have.
    pub(crate) fn sweep(&mut self, now: TimePoint, is_alive: impl Fn(u64) -> bool) {
        self.leases.retain(|key, lease| !lease.ends_at.passed(now) && is_alive(key.router));
        self.queue.retain(|queued| !queued.until.passed(now) && is_alive(queued.ask.lease.router));
        self.unleased.retain(|router, calls| !calls.until.passed(now) && is_alive(*router));
        self.ended.retain(|(until, _)| !until.passed(now));
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.leases.is_empty() && self.unleased.is_empty() && self.queue.is_empty()
    }
}
