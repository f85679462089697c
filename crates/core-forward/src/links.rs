//! Links of this router to targets, and to the pools that they belong to.

use std::net::SocketAddr;

use base_types::{PoolName, TargetKey, TimePoint, message_types};

message_types! {
    /// A target that is to be probed with a new connection.
    pub struct LinkProbe {
        /// Key of the target.
        pub target: TargetKey,
        /// Name of the target.
        pub name: Box<str>,
        /// Address that the target listens on.
        pub address: SocketAddr,
    }

    /// Change of whether a pool is reachable, for logs.
    pub struct LinkChange {
        /// The pool.
        pub pool: PoolName,
        /// Number of its targets that accept calls; zero if it is reachable.
        pub targets: usize,
        /// Whether any of them accepts connections of this router.
        pub reachable: bool,
    }
}

/// Link of this router to one target.
#[derive(Debug)]
pub(crate) struct TargetLink {
    /// When the latest connection failed, if that was after the last answer; `None` while the link is up.
    failed_at: Option<TimePoint>,
    answered_at: TimePoint,
    /// Earliest time of the next probe.
    pub(crate) next_probe_at: TimePoint,
}

impl Default for TargetLink {
    fn default() -> Self {
        Self { failed_at: None, answered_at: TimePoint(0), next_probe_at: TimePoint(0) }
    }
}

impl TargetLink {
    pub(crate) fn is_up(&self) -> bool {
        self.failed_at.is_none()
    }

    /// Takes the link to be up, until a connection fails.
    pub(crate) fn reset(&mut self) {
        self.failed_at = None;
    }

    /// Records that a connection failed; returns whether the link was up.
    pub(crate) fn on_failed(&mut self, now: TimePoint) -> bool {
        let was_up = self.is_up();
        self.failed_at = Some(now);
        was_up
    }

    /// Records that the target answered or accepted a connection; returns whether the link was down.
    pub(crate) fn on_answered(&mut self, now: TimePoint) -> bool {
        self.answered_at = now;
        self.failed_at.take().is_some()
    }
}

/// Links to the targets of one pool.
#[derive(Debug, Default)]
pub(crate) struct PoolLinks {
    pub(crate) targets: usize,
    pub(crate) down: usize,
    /// When the latest connection failed.
    failed_at: Option<TimePoint>,
    answered_at: Option<TimePoint>,
}

impl PoolLinks {
    pub(crate) fn add(&mut self, link: &TargetLink) {
        self.targets += 1;
        self.down += usize::from(!link.is_up());
        self.failed_at = self.failed_at.max(link.failed_at);
        self.answered_at = self.answered_at.max(Some(link.answered_at));
    }

    /// Whether no target accepts connections.
    pub(crate) fn is_unreachable(&self) -> bool {
        self.down == self.targets
    }

    /// Whether no target has answered since the latest connection failed.
    pub(crate) fn is_doubtful(&self) -> bool {
        self.failed_at.is_some() && self.failed_at > self.answered_at
    }
}
