//! What a router can carry, and how much of it is used.
//!
//! Load pattern: routers differ in processor, link and descriptors by factors that differ from each
//! other, so that the scarcest resource limits one router and another resource the next.
//!
//! Invariant: the weight is in calls per second whichever resource it follows from, so that routers that
//! state different resources are comparable; a resource that is not stated neither limits nor loads.

use std::time::Duration;

use base_types::message_types;

/// Processor seconds of one call: about 150 events of a stream, each read
/// and written once at 15 µs, and the head and body of the call.
const CALL_CPU_SECONDS: f64 = 0.003;

/// Bytes of one call in each direction of the link: a prompt of 7,000
/// tokens and a streamed answer of 150 events of 130 bytes, each of which crosses the link once in each
/// direction.
const CALL_LINK_BYTES: f64 = 48_000.0;

/// Descriptors of one call: the caller's connection and the target's.
const CALL_DESCRIPTORS: f64 = 2.0;

/// Descriptors of a router without calls: listeners, the store, idle connections to targets.
const OWN_DESCRIPTORS: f64 = 64.0;

/// Time in seconds for which a call holds its descriptors.
const CALL_SECONDS: f64 = 3.0;

/// Mean delay of the event loop at which a router is at its limit. A call passes the loop about four
/// times before its first event; 20 ms each time exhaust two thirds of a latency objective of 120 ms.
const LOOP_DELAY_MAX: Duration = Duration::from_millis(20);

message_types! {
    /// Resources of a router, as far as its settings state them.
    #[derive(Copy, Default)]
    pub struct RouterResources {
        /// Processor share in cores.
        pub cpu_share: Option<f64>,
        /// Bandwidth of the link in each direction in Mbit/s.
        pub link_mbps: Option<f64>,
        /// Number of descriptors that the process may open.
        pub max_descriptors: Option<u32>,
    }

    /// What a router observed of itself since the previous sample.
    #[derive(Copy, Default)]
    pub struct LoadSample {
        /// Mean delay with which the event loop ran a timer.
        pub loop_delay: Duration,
        /// Processor use in cores; `None` where the system does not report it.
        pub cpu_use: Option<f64>,
        /// Open descriptors; `None` where the system does not report them.
        pub descriptors: Option<usize>,
        /// Calls in flight.
        pub calls: usize,
    }
}

impl RouterResources {
    /// Calls per second that the scarcest stated resource allows; `None` if none is stated.
    pub fn weight(&self) -> Option<u32> {
        let cpu = self.cpu_share.map(|cores| cores / CALL_CPU_SECONDS);
        let link = self.link_mbps.map(|mbps| mbps * 1e6 / 8.0 / CALL_LINK_BYTES);
        let descriptors = self.max_descriptors.map(|descriptors| {
            (f64::from(descriptors) - OWN_DESCRIPTORS) / CALL_DESCRIPTORS / CALL_SECONDS
        });
        let rates = [cpu, link, descriptors].into_iter().flatten();
        rates.min_by(f64::total_cmp).map(|rate| (rate.round() as u32).max(1))
    }

    /// Use in percent of the resource that is used most. The link is not observed: a router cannot tell
    /// its own traffic from that of others on the machine.
    pub fn use_percent(&self, sample: &LoadSample) -> f64 {
        let delay = sample.loop_delay.as_secs_f64() / LOOP_DELAY_MAX.as_secs_f64();
        let cpu = self.cpu_share.zip(sample.cpu_use).map_or(0.0, |(share, used)| used / share);
        let of_calls = sample.calls as f64 * CALL_DESCRIPTORS;
        let open = sample.descriptors.map_or(of_calls, |open| open as f64);
        let descriptors = self.max_descriptors.map_or(0.0, |max| open / f64::from(max.max(1)));
        100.0 * delay.max(cpu).max(descriptors)
    }
}
