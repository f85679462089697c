//! Results of a scenario run.

use std::collections::BTreeMap;

use base_types::message_types;

message_types! {
    /// The results of one run, from the end of the warm-up unless stated otherwise.
    #[derive(Default)]
    pub struct RunFigures {
        /// Fraction of prompt tokens that were found in the engines' caches.
        pub reuse: f64,
        /// Requests in flight on the busiest target divided by the mean of the targets that are up
        /// and not draining, over all samples with load.
        pub skew: Quantiles,
        /// Highest sum of answer tokens on a target divided by the mean of the same targets, over
        /// the same samples.
        pub token_skew: Quantiles,
        /// Fraction of samples in which a target had more requests in flight than the load limit
        /// (`max_load_ratio`; 1.5 for baselines) times the mean, rounded up to a full request.
        pub over_bound: f64,
        /// Mean number of requests in flight per target.
        pub in_flight: f64,
        /// Number of turns sent by callers, including those sent again after a refusal.
        pub requests: u64,
        /// Number of requests with a complete answer.
        pub completed: u64,
        /// Number of requests refused as not run.
        pub refused: u64,
        /// Number of requests refused with an unknown outcome.
        pub unknown: u64,
        /// Number of attempts.
        pub attempts: u64,
        /// Number of attempts on draining targets, by seconds since the drain started; counted over
        /// the entire run.
        pub attempts_on_draining: BTreeMap<u64, u64>,
        /// Number of turns that went to another target than the previous turn of their chat.
        pub moved: u64,
        /// Number of turns of chats with a previous turn.
        pub returned: u64,
        /// Number of chats that returned for the first time after a drain or `StartMoveCount`;
        /// counted over the entire run.
        pub first_returned: u64,
        /// Number of these chats that went to another target than before; counted over the entire
        /// run.
        pub first_moved: u64,
        /// Number of target crashes caused by each crashing content, by chat number;
        /// counted over the entire run.
        pub crashes_by_content: BTreeMap<u64, u64>,
        /// Number of requests with harmless content that were refused as suspect; counted over the
        /// entire run.
        pub harmless_refused: u64,
        /// Bytes of notices that a router sends to all its peers per second.
        pub control_bytes: f64,
        /// Number of refused requests of accounts that do not surge.
        pub quiet_refused: u64,
        /// Latency of requests of accounts that do not surge, in seconds.
        pub quiet_latency: Quantiles,
        /// Latency of requests of accounts that surge, in seconds.
        pub surging_latency: Quantiles,
        /// Number of requests completed in each second of the run, including the warm-up.
        pub completed_by_second: BTreeMap<u64, u64>,
        /// Number of attempts in each second of the run, including the warm-up.
        pub attempts_by_second: BTreeMap<u64, u64>,
    }

    /// Quantiles of a set of samples; all are zero if there are none.
    #[derive(Copy, Default)]
    pub struct Quantiles {
        /// 50th percentile.
        pub p50: f64,
        /// 99th percentile.
        pub p99: f64,
        /// 99.9th percentile.
        pub p999: f64,
        /// Largest sample.
        pub max: f64,
    }
}

impl Quantiles {
    /// Computes the quantiles by nearest rank.
    pub fn of(mut samples: Vec<f64>) -> Self {
        samples.sort_by(f64::total_cmp);
        let quantile = |fraction: f64| {
            let rank = (fraction * samples.len() as f64).ceil() as usize;
            samples.get(rank.saturating_sub(1)).copied().unwrap_or(0.0)
        };
        Self { p50: quantile(0.5), p99: quantile(0.99), p999: quantile(0.999), max: quantile(1.0) }
    }
}
