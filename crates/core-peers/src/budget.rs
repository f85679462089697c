//! Byte budget for sent control traffic: a token bucket with a floor for each priority.

use base_types::{TimePoint, key_types};

/// Capacity of the bucket, in seconds of the rate.
const BURST_SECONDS: i64 = 2;
/// Largest debt of the bucket, in seconds of the rate.
const DEBT_SECONDS: i64 = 5;
const MICROS_PER_SECOND: i64 = 1_000_000;

key_types! {
    /// Traffic that may be put off, the least urgent first. Member records, suspicions and suspect
    /// notices are always sent.
    pub(crate) enum TrafficPriority {
        /// Load shares; the next one replaces a share that was put off.
        Load,
        /// Account shares; the next one replaces a share that was put off.
        Accounts,
        /// Repair of missed entries; retried later.
        Repair,
        /// Table and host rows; they stay queued and are never dropped.
        Rows,
    }
}

/// A bucket of bytes that refills at a constant rate. Traffic that is always sent, such as the
/// set-up of links, may leave the bucket in debt. Repairs and rows may also borrow, up to their
/// limits.
#[derive(Debug, Clone)]
pub(crate) struct ByteBudget {
    rate: i64,
    available: i64,
    estimated_sent: i64,
    sent_total: u64,
    refilled_at: TimePoint,
}

impl ByteBudget {
    pub(crate) fn new(bytes_per_second: u32) -> Self {
        let rate = i64::from(bytes_per_second);
        let available = rate * BURST_SECONDS;
        Self { rate, available, estimated_sent: 0, sent_total: 0, refilled_at: TimePoint(0) }
    }

    pub(crate) fn refill(&mut self, now: TimePoint) {
        let elapsed_micros =
            i64::try_from(now.since(self.refilled_at).as_micros()).unwrap_or(i64::MAX);
        let bytes = elapsed_micros.saturating_mul(self.rate) / MICROS_PER_SECOND;
        if bytes == 0 {
            return;
        }
        self.refilled_at = now;
        self.available = (self.available.saturating_add(bytes)).min(self.rate * BURST_SECONDS);
    }

    /// Charges the bytes that the socket counted since the previous call, in place of the estimate.
    pub(crate) fn reconcile(&mut self, sent_total: u64) {
        let bytes = i64::try_from(sent_total.saturating_sub(self.sent_total)).unwrap_or(i64::MAX);
        self.sent_total = sent_total;
        self.estimated_sent = 0;
        self.available = (self.available - bytes).max(-self.rate * DEBT_SECONDS);
    }

    /// Charges an estimate for bytes that the socket has not counted yet.
    pub(crate) fn spend(&mut self, bytes: usize) {
        self.estimated_sent += bytes as i64;
    }

    /// Whether the balance is above the floor of this priority; a negative floor is allowed debt.
    pub(crate) fn allows(&self, priority: TrafficPriority) -> bool {
        let capacity = self.rate * BURST_SECONDS;
        let floor = match priority {
            TrafficPriority::Load => capacity / 2,
            TrafficPriority::Accounts => capacity / 4,
            TrafficPriority::Repair => -self.rate,
            TrafficPriority::Rows => -self.rate * DEBT_SECONDS,
        };
        self.available - self.estimated_sent > floor
    }
}
