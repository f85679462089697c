//! Faults that a stand-in injects on request.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use serde::{Deserialize, Serialize};

/// Faults to inject from now on; each set replaces the previous one.
///
/// The JSON body of `POST /control`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FaultSet {
    /// Refuses calls with status 503 before they take effect, except reads of the stand-in's
    /// counters (`/load`, `/calls`, `/runs`), `GET /orders`, writes to `/hosts/NAME`, and
    /// `/control`.
    pub refuse: bool,
    /// Delays calls until this is cleared; they are answered afterwards. Services execute a call
    /// before the delay, the platform and engines after it. The counters and `/hosts/NAME` are not
    /// delayed.
    pub freeze: bool,
    /// Delay of each call in milliseconds: before the call takes effect at the platform and
    /// engines, after the execution at services.
    pub lag_ms: u64,
    /// Number of platform writes or service calls whose answer is never sent; engines ignore it.
    pub lose_answers: u32,
    /// Number of streamed answers that are cut off after their next event; only engines stream.
    pub cut_answers: u32,
    /// Accepts orders to load a model with any fencing number; engines only.
    pub ignore_fence: bool,
    /// Aborts the process when the body of a chat or service call contains this text; the platform
    /// and `/orders` ignore it.
    pub crash_on: Option<Box<str>>,
}

/// The faults in force, shared by the handlers of a stand-in.
#[derive(Debug, Clone, Default)]
pub struct FaultState {
    faults: Arc<Mutex<FaultSet>>,
}

impl FaultState {
    /// Replaces the faults in force.
    pub fn set(&self, faults: FaultSet) {
        *self.lock() = faults;
    }

    /// Returns a copy of the faults in force.
    pub fn active(&self) -> FaultSet {
        self.lock().clone()
    }

    /// Returns whether the next answer is to be lost, and decrements the count.
    pub fn consume_lost_answer(&self) -> bool {
        consume_one(&mut self.lock().lose_answers)
    }

    /// Returns whether the next answer is to be cut off, and decrements the count.
    pub fn consume_cut_answer(&self) -> bool {
        consume_one(&mut self.lock().cut_answers)
    }

    /// Waits until a freeze is over, and then for the lag.
    pub async fn delay(&self) {
        const FREEZE_POLL_INTERVAL: Duration = Duration::from_millis(20);
        while self.active().freeze {
            tokio::time::sleep(FREEZE_POLL_INTERVAL).await;
        }
        tokio::time::sleep(Duration::from_millis(self.active().lag_ms)).await;
    }

    /// Aborts the process when a body contains the text of `crash_on`.
    pub fn abort_on_crash_text(&self, body: &[u8]) {
        let Some(text) = self.active().crash_on else { return };
        if body.windows(text.len().max(1)).any(|window| window == text.as_bytes()) {
            std::process::abort();
        }
    }

    fn lock(&self) -> MutexGuard<'_, FaultSet> {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn consume_one(count: &mut u32) -> bool {
    let taken = *count > 0;
    *count = count.saturating_sub(1);
    taken
}
