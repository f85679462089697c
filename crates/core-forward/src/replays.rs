//! Which authenticated heartbeats of a router repeat earlier ones.
//!
//! A recorded heartbeat has a valid MAC. Invariant: of one start of a router, each heartbeat is used at most
//! once and in the order of sending, and none of an earlier start after one of a later start. This holds for a
//! day after the latest heartbeat of a router, also if the router is no longer listed meanwhile.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use base_types::{HostName, TimePoint};

/// Routers that are remembered; only those that have the key add to them.
const ROUTERS_MAX: usize = 4_096;

/// Time for which a router is remembered after its latest heartbeat.
const MEMORY_TIME: Duration = Duration::from_secs(86_400);

/// Earlier starts of a router that are remembered; incarnations are random, so that their order is not
/// visible in them.
const FORMER_INCARNATIONS_MAX: usize = 8;

/// The authenticated heartbeats of all routers so far.
#[derive(Debug, Default)]
pub(crate) struct ReplayGuard {
    histories: BTreeMap<HostName, SequenceHistory>,
}

/// The authenticated heartbeats of one router so far.
#[derive(Debug)]
struct SequenceHistory {
    forget_at: TimePoint,
    /// Incarnation of the router and sequence of its latest heartbeat.
    latest: Option<(u64, u64)>,
    former_incarnations: VecDeque<u64>,
}

impl ReplayGuard {
    /// Whether a heartbeat repeats an earlier one, or is older than one that was used.
    pub(crate) fn is_replay(&self, router: &HostName, incarnation: u64, sequence: u64) -> bool {
        let history = self.histories.get(router);
        history.is_some_and(|history| history.is_replay(incarnation, sequence))
    }

    /// Records a heartbeat that is used. If too many routers are known, the one that has been silent for the
    /// longest time is forgotten.
    pub(crate) fn record(
        &mut self,
        now: TimePoint,
        router: HostName,
        incarnation: u64,
        sequence: u64,
    ) {
        let forget_at = now.after(MEMORY_TIME);
        if self.histories.len() == ROUTERS_MAX && !self.histories.contains_key(&router) {
            let silent = self.histories.iter().min_by_key(|(_, history)| history.forget_at);
            let silent = silent.map(|(name, _)| name.clone());
            silent.and_then(|name| self.histories.remove(&name));
        }
        let history = self.histories.entry(router).or_insert_with(|| SequenceHistory {
            forget_at,
            latest: None,
            former_incarnations: VecDeque::new(),
        });
        history.forget_at = forget_at;
        history.record(incarnation, sequence);
    }

    /// Forgets routers that have been silent for long.
    pub(crate) fn sweep(&mut self, now: TimePoint) {
        self.histories.retain(|_, history| !history.forget_at.passed(now));
    }
}

impl SequenceHistory {
    fn is_replay(&self, incarnation: u64, sequence: u64) -> bool {
        match self.latest {
            Some((latest, latest_sequence)) if latest == incarnation => sequence <= latest_sequence,
            _ => self.former_incarnations.contains(&incarnation),
        }
    }

    fn record(&mut self, incarnation: u64, sequence: u64) {
        let former = self.latest.replace((incarnation, sequence));
        let former = former.filter(|(former, _)| *former != incarnation);
        if let Some((former, _)) = former {
            if self.former_incarnations.len() == FORMER_INCARNATIONS_MAX {
                self.former_incarnations.pop_front();
            }
            self.former_incarnations.push_back(former);
        }
    }
}
