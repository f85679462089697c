//! What a router keeps of the calls of a pool that wait for a target with room.

use std::time::Duration;

use base_types::{PoolName, TimePoint, message_types};
use policy_admission::{PoolRoom, ShedReason, WaitEstimate, WaitingQueue};

use crate::CallKey;

/// Weight of a new sample in a mean time: 1 / 16, so that a change shows after some 16 calls.
const SAMPLE_WEIGHT: f64 = 1.0 / 16.0;

/// Number of places freed by a router with more than its share of which one is left to others at once.
/// A router without places gets none otherwise, as those of others pass from call to call; with all of
/// them left, each would be idle until a heartbeat reports it.
const FREED_PER_RELEASE: u64 = 4;

message_types! {
    /// Calls of a pool that wait.
    pub struct PoolWaits {
        /// Name of the pool.
        pub pool: PoolName,
        /// Rank of the calls.
        pub rank: u8,
        /// Their number.
        pub calls: usize,
    }

    /// Inputs of the latest decision to have a call wait, or to refuse it instead, for logs.
    #[derive(Copy)]
    pub struct WaitInputs {
        /// Rank of the call.
        pub rank: u8,
        /// Whether the call was tried before.
        pub is_retry: bool,
        /// Calls of the pool that wait at this router.
        pub waiting: usize,
        /// Room at the targets of the pool.
        pub room: PoolRoom,
        /// Expected start; `None` if this decision did not queue the call.
        pub estimate: Option<WaitEstimate>,
        /// Time until which the call may wait.
        pub start_by: TimePoint,
        /// Why the call is refused; `None` if it waits.
        pub shed: Option<ShedReason>,
    }
}

/// A call's wait.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CallWait {
    pub(crate) start_by: TimePoint,
    pub(crate) is_retry: bool,
}

/// Exponentially weighted mean of times; unknown before the first sample.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct MeanTime {
    seconds: Option<f64>,
}

impl MeanTime {
    pub(crate) fn record(&mut self, time: Duration) {
        let sample = time.as_secs_f64();
        let mean = self.seconds.map_or(sample, |mean| mean + (sample - mean) * SAMPLE_WEIGHT);
        self.seconds = Some(mean);
    }

    pub(crate) fn get(self) -> Option<Duration> {
        self.seconds.map(Duration::from_secs_f64)
    }
}

/// The waiting calls of one pool.
#[derive(Debug, Default)]
pub(crate) struct PoolWaiting {
    pub(crate) queue: WaitingQueue,
    /// Calls whose places in the queue more urgent ones took, to be refused.
    pub(crate) displaced: Vec<CallKey>,
    /// Time from sending a call to its end.
    pub(crate) service_time: MeanTime,
    /// Time from sending a call to the start of its answer.
    pub(crate) first_answer_time: MeanTime,
    /// Number of places that calls left while this router had more than its share.
    freed_above_share: u64,
}

impl PoolWaiting {
    /// Whether a place that a call of this router left is kept for its next one. Above its share of
    /// the places, the router leaves some of them to others.
    pub(crate) fn keeps_freed_place(&mut self, is_above_share: bool) -> bool {
        self.freed_above_share += u64::from(is_above_share);
        !is_above_share || !self.freed_above_share.is_multiple_of(FREED_PER_RELEASE)
    }
}

/// This router's use of the places of one target.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct PlaceUse {
    /// Places that calls of this router left and that no heartbeat has reported, so that no other
    /// router takes them.
    pub(crate) freed: u64,
    /// Number of the interval in which `shared_starts` were counted.
    turn: u64,
    /// Calls that this router started in places that other routers know to be free.
    shared_starts: u64,
}

impl PlaceUse {
    /// Calls that this router started in shared places in a turn.
    pub(crate) fn shared_starts(&self, turn: u64) -> u64 {
        if self.turn == turn { self.shared_starts } else { 0 }
    }

    pub(crate) fn count_start(&mut self, turn: u64) {
        if self.turn != turn {
            (self.turn, self.shared_starts) = (turn, 0);
        }
        if self.freed > 0 {
            self.freed -= 1;
        } else {
            self.shared_starts += 1;
        }
    }
}
