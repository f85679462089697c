//! The budget of bytes that control traffic may send.

use base_types::{TimePoint, key_types};

const BURST_SECONDS: i64 = 2;
const DEBT_SECONDS: i64 = 5;
const MICROS_A_SECOND: i64 = 1_000_000;

key_types! {
    /// What may be shed, the least urgent first. Membership and suspects are always sent.
    pub(crate) enum Urgency {
        /// Load of a router; the next share replaces it.
        Load,
        /// Accounts of a router; the next share replaces it.
        Accounts,
        /// Repair of what was missed; tried again later.
        Repair,
        /// Rows; they wait and are never dropped.
        Rows,
    }
}

/// A bucket of bytes that fills with time; setting up links may leave it in debt.
#[derive(Debug, Clone)]
pub(crate) struct ByteBudget {
    rate: i64,
    level: i64,
    estimated: i64,
    sent: u64,
    filled: TimePoint,
}

impl ByteBudget {
    pub(crate) fn new(bytes_per_second: u32) -> Self {
        let rate = i64::from(bytes_per_second);
        let level = rate * BURST_SECONDS;
        Self { rate, level, estimated: 0, sent: 0, filled: TimePoint(0) }
    }

    pub(crate) fn fill(&mut self, now: TimePoint) {
        let micros = i64::try_from(now.since(self.filled).as_micros()).unwrap_or(i64::MAX);
        let bytes = micros.saturating_mul(self.rate) / MICROS_A_SECOND;
        if bytes == 0 {
            return;
        }
        self.filled = now;
        self.level = (self.level.saturating_add(bytes)).min(self.rate * BURST_SECONDS);
    }

    /// Takes the socket's own count, which replaces what was estimated.
    pub(crate) fn settle(&mut self, sent: u64) {
        let bytes = i64::try_from(sent.saturating_sub(self.sent)).unwrap_or(i64::MAX);
        self.sent = sent;
        self.estimated = 0;
        self.level = (self.level - bytes).max(-self.rate * DEBT_SECONDS);
    }

    pub(crate) fn spend(&mut self, bytes: usize) {
        self.estimated += bytes as i64;
    }

    pub(crate) fn allows(&self, urgency: Urgency) -> bool {
        let burst = self.rate * BURST_SECONDS;
        let floor = match urgency {
            Urgency::Load => burst / 2,
            Urgency::Accounts => burst / 4,
            Urgency::Repair => -self.rate,
            Urgency::Rows => -self.rate * DEBT_SECONDS,
        };
        self.level - self.estimated > floor
    }
}
