//! State of a lease from the view of one process.

use std::time::Duration;

use base_types::{HostName, RowVersion, TimePoint, key_types, message_types, value_types};

value_types! {
    /// Identity of a process that writes a lease.
    #[derive(Eq)]
    pub struct LeaseOwner {
        /// Host that the process runs on.
        pub host: HostName,
        /// Random number that the process draws at its start, so that a restart is another owner.
        pub instance: u64,
    }
}

key_types! {
    /// Durations that all processes must agree on.
    pub struct LeaseTimes {
        /// How long a write grants the lease, counted from when the write was sent.
        pub duration: Duration,
        /// Longest time after the lease expires for which the holder's last action may still take
        /// effect.
        pub grace_period: Duration,
    }
}

message_types! {
    struct ObservedLease {
        version: RowVersion,
        first_seen_at: TimePoint,
    }

    struct HeldLease {
        version: RowVersion,
        expires_at: TimePoint,
    }
}

/// State of a lease from the view of one process.
#[derive(Debug, Clone)]
pub struct LeaseState {
    local_owner: LeaseOwner,
    times: LeaseTimes,
    observed: Option<ObservedLease>,
    object_missing: bool,
    held: Option<HeldLease>,
    /// When the first of the unanswered writes was sent; absent without one.
    first_unanswered_at: Option<TimePoint>,
}

impl LeaseState {
    /// Creates the state before the first read of the object.
    pub fn new(local_owner: LeaseOwner, times: LeaseTimes) -> Self {
        Self {
            local_owner,
            times,
            observed: None,
            object_missing: false,
            held: None,
            first_unanswered_at: None,
        }
    }

    /// Identity under which this process writes the lease.
    pub fn local_owner(&self) -> &LeaseOwner {
        &self.local_owner
    }

    /// The fencing number; absent unless this process holds the lease.
    pub fn fence(&self, now: TimePoint) -> Option<RowVersion> {
        let held = self.held.as_ref()?;
        (!held.expires_at.passed(now)).then_some(held.version)
    }

    /// When the lease that this process holds expires; absent without one.
    pub fn expires_at(&self) -> Option<TimePoint> {
        self.held.as_ref().map(|held| held.expires_at)
    }

    /// Precondition of a write that acquires the lease, once acquiring it is allowed. The inner
    /// value is `None` when the object does not exist yet.
    pub fn acquire_condition(&self, now: TimePoint) -> Option<Option<RowVersion>> {
        if self.object_missing {
            return Some(None);
        }
        let observed = self.observed.as_ref()?;
        let free_at =
            observed.first_seen_at.after(self.times.duration).after(self.times.grace_period);
        free_at.passed(now).then_some(Some(observed.version))
    }

    /// Records a read of the object that was answered at `now`; `None` if there is no object.
    pub fn on_read(&mut self, now: TimePoint, lease: Option<(RowVersion, &LeaseOwner)>) {
        self.object_missing = lease.is_none();
        let Some((version, owner)) = lease else { return };
        self.observe(now, version);
        if self.held.as_ref().is_some_and(|held| held.version == version) {
            return;
        }
        self.held = None;
        if *owner != self.local_owner {
            return;
        }
        // This process wrote the object, but the answer was lost. Any unanswered attempt may have
        // taken effect, so the lease counts from when the first was sent.
        let sent_at = self.first_unanswered_at.take();
        self.held = sent_at
            .map(|sent_at| HeldLease { version, expires_at: sent_at.after(self.times.duration) });
    }

    /// Records that a write sent at `sent_at` took effect.
    pub fn on_written(&mut self, sent_at: TimePoint, now: TimePoint, version: RowVersion) {
        self.object_missing = false;
        self.observe(now, version);
        self.held = Some(HeldLease { version, expires_at: sent_at.after(self.times.duration) });
        self.first_unanswered_at = None;
    }

    /// Records that a write sent at `sent_at` was not answered; the object must be read before the
    /// next write.
    pub fn on_unanswered(&mut self, sent_at: TimePoint) {
        self.first_unanswered_at =
            Some(self.first_unanswered_at.map_or(sent_at, |first| first.min(sent_at)));
        self.forget_object();
    }

    /// Records that a write found another version; the object must be read before the next write.
    pub fn on_conflict(&mut self) {
        self.forget_object();
    }

    fn forget_object(&mut self) {
        self.held = None;
        self.observed = None;
        self.object_missing = false;
    }

    fn observe(&mut self, now: TimePoint, version: RowVersion) {
        if self.observed.as_ref().is_some_and(|observed| observed.version == version) {
            return;
        }
        self.observed = Some(ObservedLease { version, first_seen_at: now });
    }
}
