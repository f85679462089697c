//! How many bytes a router may hold for callers and targets, per call and in all.
//!
//! Load pattern: callers and targets that read slowly, large bodies, and streams whose events arrive
//! faster than they are read. Invariant: the bytes held never exceed the budget, and bytes that are
//! stored for one call never use the part of the budget that is kept for the next event of streams
//! that have nothing unread. A fast reader is therefore delayed by slow ones only at the total budget.

use std::time::Duration;

use base_types::{TimePoint, key_types};

const MEGABYTE: u64 = 1_024 * 1_024;

/// Percentage of the process's memory that the budget is. While a held body or answer is assembled, or
/// written to a socket, a second copy of it may exist, so the held bytes take up to twice the budget:
/// in a process with its targets, 32.0 MB of stored answers raised the resident memory by 56.4 MB.
/// The other half of the process's memory is for what does not depend on slow readers: code, tables,
/// and the buffers of connections.
const BUDGET_PERCENT: u64 = 25;

/// Percentage of the budget that one call may hold, so that no call takes the budget of all others.
const CALL_PERCENT: u64 = 50;

/// Percentage of the budget that is kept for streams without unread events.
const STREAM_RESERVE_PERCENT: u64 = 12;

/// Limit on the unread bytes of a stream; a single event may be longer. About a second of events at
/// the rate at which engines produce them.
const STREAM_BYTES_MAX: u64 = 65_536;

/// Earliest time after which the caller of a call that did not fit may return.
const RETURN_AFTER: Duration = Duration::from_millis(300);

/// Time over which such callers' returns are spread, by the hash of their calls.
const RETURN_SPREAD_MS: u64 = 700;

key_types! {
    /// What bytes are held for.
    pub enum MemoryUse {
        /// The body of a request, or an answer that is forwarded once it is complete.
        Stored,
        /// Events of a stream that its caller has not read, or that are not complete.
        Streamed,
    }

    /// Why bytes cannot be held now.
    pub enum MemoryShortage {
        /// The call itself holds too much; only the release of its own bytes helps.
        Call,
        /// All calls together hold too much.
        Total,
    }
}

/// Accounts for the bytes that a router holds.
#[derive(Debug)]
pub struct MemoryBudget {
    bytes_max: u64,
    held_bytes: u64,
}

impl MemoryBudget {
    /// Budget of a process that may use `memory_mb` megabytes (1,048,576 bytes) of memory.
    pub fn of_process(memory_mb: u64) -> Self {
        let bytes_max = memory_mb.saturating_mul(MEGABYTE) / 100 * BUDGET_PERCENT;
        Self { bytes_max, held_bytes: 0 }
    }

    /// Holds further bytes for a call that already holds `call_bytes` for the same use.
    ///
    /// # Errors
    ///
    /// Fails when they do not fit; nothing is held then.
    pub fn try_hold(
        &mut self,
        memory_use: MemoryUse,
        call_bytes: u64,
        bytes: u64,
    ) -> Result<(), MemoryShortage> {
        let is_next_event = memory_use == MemoryUse::Streamed && call_bytes == 0;
        let call_max = match memory_use {
            MemoryUse::Stored => self.call_bytes_max(),
            MemoryUse::Streamed => STREAM_BYTES_MAX,
        };
        if !is_next_event && call_bytes.saturating_add(bytes) > call_max {
            return Err(MemoryShortage::Call);
        }
        let reserve = if is_next_event { 0 } else { self.stream_reserve() };
        if self.held_bytes.saturating_add(bytes) > self.bytes_max - reserve {
            return Err(MemoryShortage::Total);
        }
        self.held_bytes += bytes;
        Ok(())
    }

    /// Gives back bytes that are no longer held.
    pub fn release(&mut self, bytes: u64) {
        self.held_bytes = self.held_bytes.saturating_sub(bytes);
    }

    /// Time at which the caller of a call that did not fit may return; callers are told different
    /// times.
    pub fn return_at(now: TimePoint, call_hash: u64) -> TimePoint {
        now.after(RETURN_AFTER + Duration::from_millis(call_hash % RETURN_SPREAD_MS))
    }

    /// Bytes that are held.
    pub fn held_bytes(&self) -> u64 {
        self.held_bytes
    }

    /// Bytes that may be held in all.
    pub fn bytes_max(&self) -> u64 {
        self.bytes_max
    }

    /// Bytes that one call may hold for its body and its answer.
    pub fn call_bytes_max(&self) -> u64 {
        self.bytes_max / 100 * CALL_PERCENT
    }

    fn stream_reserve(&self) -> u64 {
        self.bytes_max / 100 * STREAM_RESERVE_PERCENT
    }
}
