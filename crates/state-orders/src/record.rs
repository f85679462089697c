//! Content of the lease's object, orders to engines, and their reports.

use std::collections::BTreeMap;

use base_types::{HostName, RowVersion, value_types};
use state_leases::LeaseOwner;
use state_tables::ServingSpec;

value_types! {
    /// Content of the lease's object, whose version is the fencing number of orders.
    #[derive(Eq)]
    pub struct OrderRecord {
        /// The process that holds the lease.
        pub owner: LeaseOwner,
        /// Specs that engines have been or will be ordered to serve and have not applied yet.
        pub intents: BTreeMap<HostName, ServingSpec>,
    }

    /// An order as it is sent to an engine.
    #[derive(Eq)]
    pub struct EngineOrder {
        /// Fencing number. An engine that checks fencing numbers refuses one that is lower than the
        /// highest it has seen.
        pub fence: RowVersion,
        /// Model to serve. An engine that already serves or loads it does nothing.
        pub spec: ServingSpec,
    }

    /// Status that an engine reports.
    #[derive(Eq)]
    pub struct EngineReport {
        /// Model that the engine serves; absent while it serves none.
        pub serving: Option<ServingSpec>,
        /// Model that the engine is loading; absent while it loads none.
        pub loading: Option<ServingSpec>,
    }
}

impl EngineReport {
    /// Whether the engine serves the spec and is not loading another one.
    pub(crate) fn has_applied(&self, spec: &ServingSpec) -> bool {
        self.serving.as_ref() == Some(spec) && self.loading.is_none()
    }

    /// Whether the report shows that the engine has received an order for the spec.
    pub(crate) fn acknowledges(&self, spec: &ServingSpec) -> bool {
        self.loading.as_ref() == Some(spec) || self.has_applied(spec)
    }
}
