//! Messages that routers gossip about load, client accounts and suspect content.

use crate::{AccountName, ContentDigest, HostName, PoolName, key_types, value_types};

key_types! {
    /// Number of requests that one router has in flight at one target.
    pub struct TargetLoad {
        /// Hash of the target's name, equal on all routers.
        pub target_hash: u64,
        /// Requests of the reporting router that the target runs now.
        pub in_flight: u32,
    }
}

value_types! {
    /// In-flight requests of one router at all targets.
    #[derive(Eq)]
    pub struct LoadShare {
        /// Router that reports its own load.
        pub router: HostName,
        /// Increases with each share of the router; receivers ignore a share that is not newer.
        pub sequence: u64,
        /// Targets at which the router has requests in flight; a target left out has none.
        pub loads: Vec<TargetLoad>,
    }

    /// Token rates of the busiest client accounts at one router.
    #[derive(Eq)]
    pub struct AccountShare {
        /// Router that reports the rates it admitted.
        pub router: HostName,
        /// Increases with each share of the router; receivers ignore a share that is not newer.
        pub sequence: u64,
        /// Accounts with the highest rates, in descending order; the list is bounded.
        pub accounts: Vec<AccountLoad>,
    }

    /// Token rate of one client account at one router.
    #[derive(Eq)]
    pub struct AccountLoad {
        /// Client account that sent the requests.
        pub account: AccountName,
        /// Tokens per second that the router admitted for the account.
        pub token_rate: u32,
    }

    /// Report that a target was lost while it ran a request with this content.
    #[derive(Eq)]
    pub struct SuspectNotice {
        /// Pool that the lost target belongs to.
        pub pool: PoolName,
        /// Digest of the request's content.
        pub content: ContentDigest,
        /// Hash of the name of the lost target.
        pub target_hash: u64,
    }

    /// A message for every router of the fleet.
    #[derive(Eq)]
    pub enum PeerNotice {
        /// Load of one router; the latest share replaces earlier ones.
        Load(LoadShare),
        /// Account rates of one router; the latest share replaces earlier ones.
        Accounts(AccountShare),
        /// Suspect content; urgent, and each report must reach every router.
        Suspect(SuspectNotice),
    }
}
