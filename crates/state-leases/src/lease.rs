//! What one process knows of a lease.

use std::time::Duration;

use base_types::{HostName, RowVersion, TimePoint, key_types, message_types, value_types};

value_types! {
    /// The process that wrote a lease.
    #[derive(Eq)]
    pub struct LeaseOwner {
        /// Host of the process.
        pub host: HostName,
        /// Random number of the process; a host that starts anew has another.
        pub instance: u64,
    }
}

key_types! {
    /// Times that all processes must agree on.
    pub struct LeaseTimes {
        /// Time for which a write gives the lease.
        pub span: Duration,
        /// Longest time for which what a holder did last may still take effect after its lease.
        pub settle: Duration,
    }
}

message_types! {
    struct SeenLease {
        version: RowVersion,
        since: TimePoint,
    }

    struct HeldLease {
        version: RowVersion,
        until: TimePoint,
    }
}

/// A lease as one process knows it.
#[derive(Debug, Clone)]
pub struct LeaseState {
    own: LeaseOwner,
    times: LeaseTimes,
    seen: Option<SeenLease>,
    absent: bool,
    held: Option<HeldLease>,
    /// When the first write was sent of those that were not answered.
    unanswered: Option<TimePoint>,
}

impl LeaseState {
    /// A lease of which nothing is known.
    pub fn new(own: LeaseOwner, times: LeaseTimes) -> Self {
        Self { own, times, seen: None, absent: false, held: None, unanswered: None }
    }

    /// The process itself.
    pub fn own(&self) -> &LeaseOwner {
        &self.own
    }

    /// The fencing number, while the process holds the lease.
    pub fn fence(&self, now: TimePoint) -> Option<RowVersion> {
        let held = self.held.as_ref()?;
        (!held.until.passed(now)).then_some(held.version)
    }

    /// When the lease that the process holds ends.
    pub fn held_until(&self) -> Option<TimePoint> {
        self.held.as_ref().map(|held| held.until)
    }

    /// Condition of a write that takes the lease from another process, once that is allowed; the
    /// inner value is `None` when there is no object yet.
    pub fn take_condition(&self, now: TimePoint) -> Option<Option<RowVersion>> {
        if self.absent {
            return Some(None);
        }
        let seen = self.seen.as_ref()?;
        let free = seen.since.after(self.times.span).after(self.times.settle);
        free.passed(now).then_some(Some(seen.version))
    }

    /// Notes a read of the object, heard now; `None` when there is no object.
    pub fn on_read(&mut self, now: TimePoint, lease: Option<(RowVersion, &LeaseOwner)>) {
        self.absent = lease.is_none();
        let Some((version, owner)) = lease else { return };
        self.see(now, version);
        if self.held.as_ref().is_some_and(|held| held.version == version) {
            return;
        }
        self.held = None;
        if *owner != self.own {
            return;
        }
        // A write of this process whose answer was lost counts from when its first try was sent.
        let sent = self.unanswered.take();
        self.held = sent.map(|sent| HeldLease { version, until: sent.after(self.times.span) });
    }

    /// Notes that a write sent at a point in time took effect.
    pub fn on_written(&mut self, sent: TimePoint, now: TimePoint, version: RowVersion) {
        self.absent = false;
        self.see(now, version);
        self.held = Some(HeldLease { version, until: sent.after(self.times.span) });
        self.unanswered = None;
    }

    /// Notes that a write was not answered; the object must be read before the next one.
    pub fn on_unanswered(&mut self, sent: TimePoint) {
        self.unanswered = Some(self.unanswered.map_or(sent, |first| first.min(sent)));
        self.forget();
    }

    /// Notes that a write found another version; the object must be read before the next one.
    pub fn on_conflict(&mut self) {
        self.forget();
    }

    fn forget(&mut self) {
        self.held = None;
        self.seen = None;
        self.absent = false;
    }

    fn see(&mut self, now: TimePoint, version: RowVersion) {
        if self.seen.as_ref().is_some_and(|seen| seen.version == version) {
            return;
        }
        self.seen = Some(SeenLease { version, since: now });
    }
}
