//! Faults that a stand-in injects by order.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use serde::{Deserialize, Serialize};

/// Faults to inject from now on; each order replaces the previous one.
///
/// The JSON body of `POST /control`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FaultOrder {
    /// Refuses every call with status 503 before the call takes effect.
    pub refuse: bool,
    /// Answers no call for as long as this is set.
    pub freeze: bool,
    /// Delay of each answer, in milliseconds.
    pub lag_ms: u64,
    /// Number of calls that take effect and are never answered.
    pub lose_answers: u32,
    /// Number of streamed answers that are cut off after the first event.
    pub cut_answers: u32,
    /// Accepts orders to load whatever their fencing number.
    pub ignore_fence: bool,
    /// Aborts the process when the body of a request contains this text.
    pub crash_on: Option<Box<str>>,
}

/// The faults in force, shared by the handlers of a stand-in.
#[derive(Debug, Clone, Default)]
pub struct FaultState {
    order: Arc<Mutex<FaultOrder>>,
}

impl FaultState {
    /// Replaces the faults in force.
    pub fn set(&self, order: FaultOrder) {
        *self.lock() = order;
    }

    /// The faults in force.
    pub fn order(&self) -> FaultOrder {
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
        const FREEZE_POLL: Duration = Duration::from_millis(20);
        while self.order().freeze {
            tokio::time::sleep(FREEZE_POLL).await;
        }
        tokio::time::sleep(Duration::from_millis(self.order().lag_ms)).await;
    }

    /// Aborts the process when a body contains the text of `crash_on`.
    pub fn crash_on(&self, body: &[u8]) {
        let Some(text) = self.order().crash_on else { return };
        if body.windows(text.len().max(1)).any(|window| window == text.as_bytes()) {
            std::process::abort();
        }
    }

    fn lock(&self) -> MutexGuard<'_, FaultOrder> {
        self.order.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn consume_one(count: &mut u32) -> bool {
    let taken = *count > 0;
    *count = count.saturating_sub(1);
    taken
}
