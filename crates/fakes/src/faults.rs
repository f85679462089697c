//! Faults that a stand-in can be told to show.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use serde::{Deserialize, Serialize};

/// Faults to show from now on; each order replaces the one before.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FaultOrder {
    /// Refuses every call with status 503 before it takes effect.
    pub refuse: bool,
    /// Answers no call for as long as this is set.
    pub freeze: bool,
    /// Delays each answer, in milliseconds.
    pub lag_ms: u64,
    /// Loses the answers of this many calls after they took effect.
    pub lose_answers: u32,
    /// Breaks off this many answers after their first piece.
    pub cut_answers: u32,
    /// Takes orders to load whatever their fencing number.
    pub ignore_fence: bool,
    /// Ends the process when a request's body contains this text.
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

    /// Takes one of the answers to lose, if any is left.
    pub fn take_lost_answer(&self) -> bool {
        take_one(&mut self.lock().lose_answers)
    }

    /// Takes one of the answers to break off, if any is left.
    pub fn take_cut_answer(&self) -> bool {
        take_one(&mut self.lock().cut_answers)
    }

    /// Waits out a freeze and the lag.
    pub async fn delay(&self) {
        const FREEZE_POLL: Duration = Duration::from_millis(20);
        while self.order().freeze {
            tokio::time::sleep(FREEZE_POLL).await;
        }
        tokio::time::sleep(Duration::from_millis(self.order().lag_ms)).await;
    }

    /// Ends the process when a body holds the text that crashes it.
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

fn take_one(count: &mut u32) -> bool {
    let taken = *count > 0;
    *count = count.saturating_sub(1);
    taken
}
