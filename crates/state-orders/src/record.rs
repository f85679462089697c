//! What the lease's object holds, and what engines are sent and answer.

use std::collections::BTreeMap;

use base_types::{HostName, RowVersion, value_types};
use state_leases::LeaseOwner;
use state_tables::ServingSpec;

value_types! {
    /// The object under whose version orders are given.
    #[derive(Eq)]
    pub struct OrderRecord {
        /// The process that holds the lease.
        pub owner: LeaseOwner,
        /// What engines were told, or are about to be told, and have not reached yet.
        pub intents: BTreeMap<HostName, ServingSpec>,
    }

    /// An order as an engine receives it.
    #[derive(Eq)]
    pub struct EngineOrder {
        /// Fencing number; an engine that honours it refuses a lower one than it has seen.
        pub fence: RowVersion,
        /// What to serve. An engine that serves or loads it already does nothing.
        pub spec: ServingSpec,
    }

    /// What an engine says of itself.
    #[derive(Eq)]
    pub struct EngineReport {
        /// What it serves; absent while it serves nothing.
        pub serving: Option<ServingSpec>,
        /// What it loads.
        pub loading: Option<ServingSpec>,
    }
}

impl EngineReport {
    /// Whether the engine serves a spec and loads nothing else.
    pub(crate) fn is_settled(&self, spec: &ServingSpec) -> bool {
        self.serving.as_ref() == Some(spec) && self.loading.is_none()
    }

    /// Whether the engine was told of a spec already.
    pub(crate) fn has_heard(&self, spec: &ServingSpec) -> bool {
        self.loading.as_ref() == Some(spec) || self.is_settled(spec)
    }
}
