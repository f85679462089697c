//! Exchange of heartbeats in a fleet in virtual time.

use base_types::TimePoint;
use core_forward::{
    DecodedHeartbeat, ExtensionState, ForwardCore, MessageAuthenticity, PeerFormat, PeerHeartbeat,
};
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
            if (step + sender as u64).is_multiple_of(self.steps_per_heartbeat) {
                self.send(sender, now, routers, random);
            }
        }
    }

    /// Sends a heartbeat of each of the first `count` routers.
    #[allow(dead_code, reason = "each test uses a part")]
    pub(crate) fn exchange_of(
        self,
        count: usize,
        now: TimePoint,
        routers: &mut [ForwardCore],
        random: &mut StdRng,
    ) {
        (0..count).for_each(|sender| self.send(sender, now, routers, random));
    }

    fn send(self, sender: usize, now: TimePoint, routers: &mut [ForwardCore], random: &mut StdRng) {
        let heartbeat = routers[sender].next_heartbeat(now);
        for receiver in (0..routers.len()).filter(|receiver| *receiver != sender) {
            if !random.random_bool(self.lost_share) {
                routers[receiver].on_decoded_heartbeat(now, decoded(heartbeat.clone()));
            }
        }
    }
}

/// A heartbeat as a router of this build receives it from another one.
fn decoded(message: PeerHeartbeat) -> DecodedHeartbeat {
    DecodedHeartbeat {
        message,
        format: PeerFormat::CURRENT,
        extension: ExtensionState::Read,
        unknown_records: 0,
        authenticity: MessageAuthenticity::Unchecked,
    }
}
