//! Bytes held for callers and targets, counted against the router's memory budget.
//!
//! A count is tied to the bytes that it stands for ([`HeldMemory::attach`]) and given back when the
//! last copy of them is dropped, however the call ends. Without a budget, nothing is counted and
//! nothing waits.

use std::{
    pin::pin,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Body;
use policy_admission::{MemoryBudget, MemoryShortage, MemoryUse};
use tokio::{
    sync::Notify,
    time::{Instant, timeout, timeout_at},
};

/// Longest time for which reading from a target pauses because its answer cannot be held or is left
/// unread; then the call ends. Targets abort an answer that stays unread for some seconds.
pub(crate) const UNREAD_TIMEOUT: Duration = Duration::from_millis(4_000);

/// Longest time between two parts of a request body.
const BODY_PAUSE_MAX: Duration = Duration::from_millis(4_000);

/// Longest time in which a request body is read, for callers that send a byte now and then and name a
/// late deadline.
const BODY_TIME_MAX: Duration = Duration::from_secs(30);

/// The budget of a router, shared by the bytes that are held.
#[derive(Debug)]
pub(crate) struct SharedBudget {
    budget: Mutex<MemoryBudget>,
    /// Notified when bytes are given back.
    released: Notify,
}

/// What one call holds for one use.
#[derive(Debug)]
struct CallAccount {
    budget: Arc<SharedBudget>,
    memory_use: MemoryUse,
    held_bytes: AtomicU64,
    /// Notified when bytes of this account are given back.
    released: Notify,
}

/// Memory of one call for one use; unlimited where the router has no budget.
#[derive(Debug, Clone)]
pub(crate) struct CallMemory {
    account: Option<Arc<CallAccount>>,
}

/// Bytes that are counted until this value is dropped.
#[derive(Debug)]
pub(crate) struct HeldMemory {
    account: Option<Arc<CallAccount>>,
    bytes: u64,
}

/// Why a body was not read to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CollectError {
    /// The body broke off.
    Broken,
    /// The body is longer than any may be.
    TooLong,
    /// It was not received in time.
    Expired,
    /// It could not be held.
    NoMemory,
}

impl SharedBudget {
    pub(crate) fn new(budget: MemoryBudget) -> Arc<Self> {
        Arc::new(Self { budget: Mutex::new(budget), released: Notify::new() })
    }

    /// Bytes that are held, and that may be held.
    pub(crate) fn held_bytes(&self) -> (u64, u64) {
        self.with_budget(|budget| (budget.held_bytes(), budget.bytes_max()))
    }

    fn with_budget<T>(&self, action: impl FnOnce(&mut MemoryBudget) -> T) -> T {
        action(&mut self.budget.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl CallMemory {
    pub(crate) fn new(budget: Option<&Arc<SharedBudget>>, memory_use: MemoryUse) -> Self {
        let account = budget.map(|budget| {
            Arc::new(CallAccount {
                budget: budget.clone(),
                memory_use,
                held_bytes: AtomicU64::new(0),
                released: Notify::new(),
            })
        });
        Self { account }
    }

    pub(crate) fn is_limited(&self) -> bool {
        self.account.is_some()
    }

    /// Holds nothing yet.
    pub(crate) fn hold_nothing(&self) -> HeldMemory {
        HeldMemory { account: self.account.clone(), bytes: 0 }
    }

    /// Holds further bytes. `incomplete_bytes` of those held already belong to an event that is not
    /// complete, and do not wait for the caller.
    pub(crate) fn try_hold(
        &self,
        bytes: u64,
        incomplete_bytes: u64,
    ) -> Result<HeldMemory, MemoryShortage> {
        let Some(account) = &self.account else { return Ok(self.hold_nothing()) };
        let held_bytes = account.held_bytes.load(Ordering::Relaxed);
        let unread_bytes = held_bytes.saturating_sub(incomplete_bytes);
        account
            .budget
            .with_budget(|budget| budget.try_hold(account.memory_use, unread_bytes, bytes))?;
        account.held_bytes.fetch_add(bytes, Ordering::Relaxed);
        Ok(HeldMemory { account: Some(account.clone()), bytes })
    }

    /// Holds further bytes, once others have been given back if necessary; see [`Self::try_hold`].
    pub(crate) async fn hold(&self, bytes: u64, incomplete_bytes: u64) -> HeldMemory {
        let Some(account) = &self.account else { return self.hold_nothing() };
        loop {
            let mut total_released = pin!(account.budget.released.notified());
            total_released.as_mut().enable();
            match self.try_hold(bytes, incomplete_bytes) {
                Ok(held) => return held,
                Err(MemoryShortage::Call) => account.released.notified().await,
                Err(MemoryShortage::Total) => total_released.await,
            }
        }
    }

    /// Reads a target's answer to its end. Reading pauses while it cannot be held.
    pub(crate) async fn collect_answer<B>(
        &self,
        body: B,
        bytes_max: usize,
        deadline: Instant,
    ) -> Result<Bytes, CollectError>
    where
        B: Body<Data = Bytes>,
        B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    {
        let collecting = async {
            if !self.is_limited() {
                let collected = Limited::new(body, bytes_max).collect().await;
                return collected.map(|body| body.to_bytes()).map_err(|_| CollectError::Broken);
            }
            let mut body = pin!(Limited::new(body, bytes_max));
            let (mut data, mut held) = (Vec::new(), self.hold_nothing());
            while let Some(frame) = body.frame().await {
                let frame = frame.map_err(|_| CollectError::Broken)?;
                let Ok(chunk) = frame.into_data() else { continue };
                held.add(self.hold_stored(chunk.len() as u64).await?);
                data.extend_from_slice(&chunk);
            }
            data.shrink_to_fit();
            Ok(held.attach(data.into()))
        };
        timeout_at(deadline, collecting).await.unwrap_or(Err(CollectError::Expired))
    }

    /// Holds further bytes of an answer that is stored. Waits only for other calls: what this one
    /// holds is given back only when it ends.
    async fn hold_stored(&self, bytes: u64) -> Result<HeldMemory, CollectError> {
        match self.try_hold(bytes, 0) {
            Ok(held) => Ok(held),
            Err(MemoryShortage::Call) => Err(CollectError::NoMemory),
            Err(MemoryShortage::Total) => {
                let held = timeout(UNREAD_TIMEOUT, self.hold(bytes, 0)).await;
                held.map_err(|_| CollectError::NoMemory)
            }
        }
    }

    /// Reads a caller's body to its end, if there is memory for it. Nothing is read of a body whose
    /// stated length does not fit, and no call waits for memory: its caller may return.
    pub(crate) async fn collect_request<B>(
        &self,
        body: B,
        bytes_max: usize,
        deadline: Instant,
    ) -> Result<Bytes, CollectError>
    where
        B: Body<Data = Bytes>,
    {
        let stated_bytes = body.size_hint().lower();
        let hold = |bytes| self.try_hold(bytes, 0).map_err(|_| CollectError::NoMemory);
        let mut held = hold(stated_bytes)?;
        let deadline = deadline.min(Instant::now() + BODY_TIME_MAX);
        let mut body = pin!(body);
        let mut data = Vec::with_capacity(stated_bytes as usize);
        loop {
            let part_deadline = deadline.min(Instant::now() + BODY_PAUSE_MAX);
            let frame = timeout_at(part_deadline, body.frame()).await;
            let Some(frame) = frame.map_err(|_| CollectError::Expired)? else { break };
            let frame = frame.map_err(|_| CollectError::Broken)?;
            let Ok(chunk) = frame.into_data() else { continue };
            let length = data.len() + chunk.len();
            if length > bytes_max {
                return Err(CollectError::TooLong);
            }
            held.add(hold((length as u64).saturating_sub(held.bytes))?);
            data.extend_from_slice(&chunk);
        }
        data.shrink_to_fit();
        Ok(held.attach(data.into()))
    }
}

impl HeldMemory {
    /// Adds bytes held for the same use of the same call.
    pub(crate) fn add(&mut self, mut other: Self) {
        self.bytes += std::mem::take(&mut other.bytes);
    }

    /// Takes some of the bytes out.
    pub(crate) fn split(&mut self, bytes: u64) -> Self {
        let bytes = bytes.min(self.bytes);
        self.bytes -= bytes;
        Self { account: self.account.clone(), bytes }
    }

    /// Ties the count to the bytes that it stands for.
    pub(crate) fn attach(self, bytes: Bytes) -> Bytes {
        if self.bytes == 0 {
            return bytes;
        }
        Bytes::from_owner(CountedBytes { bytes, _held: self })
    }
}

impl Drop for HeldMemory {
    fn drop(&mut self) {
        let Some(account) = self.account.as_ref().filter(|_| self.bytes > 0) else { return };
        account.held_bytes.fetch_sub(self.bytes, Ordering::Relaxed);
        account.budget.with_budget(|budget| budget.release(self.bytes));
        account.released.notify_one();
        account.budget.released.notify_waiters();
    }
}

/// Bytes with their count.
struct CountedBytes {
    bytes: Bytes,
    _held: HeldMemory,
}

impl AsRef<[u8]> for CountedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
