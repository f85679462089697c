//! Exchange of heartbeats in a fleet in virtual time.

use base_types::TimePoint;
use core_forward::ForwardCore;
use rand::{Rng, rngs::StdRng};

/// How often routers send heartbeats, and how many of them are lost.
#[derive(Debug, Clone, Copy)]
pub(crate) struct HeartbeatPlan {
    pub(crate) steps_per_heartbeat: u64,
    pub(crate) lost_share: f64,
}

impl HeartbeatPlan {
    /// Sends the heartbeats that are due in a step; routers take turns.
    pub(crate) fn exchange(
        self,
        now: TimePoint,
        step: u64,
        routers: &mut [ForwardCore],
        random: &mut StdRng,
    ) {
        for sender in 0..routers.len() {
            if !(step + sender as u64).is_multiple_of(self.steps_per_heartbeat) {
                continue;
            }
            let heartbeat = routers[sender].next_heartbeat(now);
            for receiver in (0..routers.len()).filter(|receiver| *receiver != sender) {
                if !random.random_bool(self.lost_share) {
                    routers[receiver].on_heartbeat(now, heartbeat.clone());
                }
            }
        }
    }
}
