//! Figures of a run.

use std::collections::BTreeMap;

use base_types::message_types;

message_types! {
    /// What a run showed.
    #[derive(Default)]
    pub struct RunFigures {
        /// Share of prompt tokens that were found in caches.
        pub reuse: f64,
        /// Busiest target's requests in flight over the mean, over time.
        pub skew: TimeShare,
        /// Busiest target's expected tokens over the mean, over time.
        pub token_skew: TimeShare,
        /// Share of time at which a target was above the set multiple, its last request whole.
        pub over_bound: f64,
        /// Mean requests in flight on a target.
        pub in_flight: f64,
        /// First tries of callers.
        pub requests: u64,
        /// Requests answered in whole.
        pub completed: u64,
        /// Requests refused as not run.
        pub refused: u64,
        /// Requests whose outcome is not known.
        pub unknown: u64,
        /// Attempts to send.
        pub attempts: u64,
        /// Attempts on targets that had said that they leave, by seconds since they said so.
        pub sent_to_leaving: BTreeMap<u64, u64>,
        /// Turns of returning chats that went to another target than the turn before.
        pub moved: u64,
        /// Turns of returning chats.
        pub returned: u64,
        /// Chats that returned for the first time after a target left or a mark.
        pub first_returned: u64,
        /// Those of them that went to another target than before.
        pub first_moved: u64,
        /// Targets lost to each crashing content.
        pub lost_to_crashers: BTreeMap<u64, u64>,
        /// Requests of other content that were refused as suspect.
        pub innocents_refused: u64,
        /// Bytes of notices a router and second, to all others.
        pub control_bytes: f64,
        /// Latency of requests by whether their account surged, in seconds.
        pub quiet_latency: TimeShare,
        /// Latency of requests of accounts that surge, in seconds.
        pub surging_latency: TimeShare,
        /// Requests answered in whole in each second of the run.
        pub completed_by_second: BTreeMap<u64, u64>,
        /// Attempts in each second of the run.
        pub attempts_by_second: BTreeMap<u64, u64>,
    }

    /// Quantiles of a quantity.
    #[derive(Copy, Default)]
    pub struct TimeShare {
        /// Median.
        pub p50: f64,
        /// Value that 99 in 100 stay at or below.
        pub p99: f64,
        /// Value that 999 in 1,000 stay at or below.
        pub p999: f64,
        /// Greatest value.
        pub max: f64,
    }
}

impl TimeShare {
    /// Quantiles of samples.
    pub fn of(mut samples: Vec<f64>) -> Self {
        samples.sort_by(f64::total_cmp);
        let at = |share: f64| {
            let rank = (share * samples.len() as f64).ceil() as usize;
            samples.get(rank.saturating_sub(1)).copied().unwrap_or(0.0)
        };
        Self { p50: at(0.5), p99: at(0.99), p999: at(0.999), max: at(1.0) }
    }
}
