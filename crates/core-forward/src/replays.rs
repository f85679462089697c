//! Which authenticated heartbeats of a router repeat earlier ones.
//!
//! A recorded heartbeat has a valid MAC. Invariant: of one start of a router, each heartbeat is used at most
//! once and in the order of sending, and none of an earlier start after one of a later start.

use std::collections::VecDeque;

/// Earlier starts of a router that are remembered; incarnations are random, so that their order is not
/// visible in them.
const FORMER_INCARNATIONS_MAX: usize = 8;

/// The authenticated heartbeats of one router so far.
#[derive(Debug, Default)]
pub(crate) struct ReplayGuard {
    /// Incarnation of the router and sequence of its latest heartbeat.
    latest: Option<(u64, u64)>,
    former_incarnations: VecDeque<u64>,
}

impl ReplayGuard {
    /// Whether a heartbeat repeats an earlier one, or is older than one that was used.
    pub(crate) fn is_replay(&self, incarnation: u64, sequence: u64) -> bool {
        match self.latest {
            Some((latest, latest_sequence)) if latest == incarnation => sequence <= latest_sequence,
            _ => self.former_incarnations.contains(&incarnation),
        }
    }

    /// Records a heartbeat that is used.
    pub(crate) fn record(&mut self, incarnation: u64, sequence: u64) {
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
