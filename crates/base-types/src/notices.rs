//! Notices that routers tell each other about load, accounts and suspect content.

use crate::{AccountName, ContentDigest, HostName, PoolName, key_types, value_types};

key_types! {
    /// Requests of one router in flight on one target.
    pub struct TargetLoad {
        /// Hash of the target's name.
        pub target: u64,
        /// Requests in flight.
        pub in_flight: u32,
    }
}

value_types! {
    /// What one router has in flight on the targets it uses.
    #[derive(Eq)]
    pub struct LoadShare {
        /// The router.
        pub router: HostName,
        /// Rises with each share of the router; an older share is stale.
        pub sequence: u64,
        /// Targets with requests of the router in flight.
        pub loads: Vec<TargetLoad>,
    }

    /// What one router sees of the heaviest client accounts.
    #[derive(Eq)]
    pub struct AccountShare {
        /// The router.
        pub router: HostName,
        /// Rises with each share of the router; an older share is stale.
        pub sequence: u64,
        /// The heaviest accounts.
        pub accounts: Vec<AccountLoad>,
    }

    /// Work of one client account that entered at one router.
    #[derive(Eq)]
    pub struct AccountLoad {
        /// The account.
        pub account: AccountName,
        /// Tokens a second.
        pub token_rate: u32,
    }

    /// A target was lost while it ran this content.
    #[derive(Eq)]
    pub struct SuspectNotice {
        /// Pool whose target was lost.
        pub pool: PoolName,
        /// Digest of the content.
        pub content: ContentDigest,
        /// Hash of the name of the lost target.
        pub target: u64,
    }

    /// Something that every router is to hear.
    #[derive(Eq)]
    pub enum PeerNotice {
        /// Load of one router; the latest replaces the ones before.
        Load(LoadShare),
        /// Accounts of one router; the latest replaces the ones before.
        Accounts(AccountShare),
        /// Suspect content; urgent, each is heard by all.
        Suspect(SuspectNotice),
    }
}
