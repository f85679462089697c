//! Token rate limits of client accounts whose traffic enters at several routers.
//!
//! Each router publishes the token rates of its heaviest accounts, and enforces the fraction of an
//! account's limit that equals its own fraction of the account's traffic.

use std::{collections::BTreeMap, time::Duration};

use base_types::{AccountLoad, AccountName, AccountShare, HostName, TimePoint, key_types};

/// Time during which a share of another router counts.
const SHARE_TTL: Duration = Duration::from_secs(5);

/// Window over which token rates are measured and enforced.
const RATE_WINDOW: Duration = Duration::from_secs(2);

/// Accounts tracked before idle ones are removed.
const ACCOUNTS_PRUNE_THRESHOLD: usize = 16_384;

/// Routers whose shares are kept; shares of further routers are ignored.
const ROUTERS_MAX: usize = 4096;

/// Accounts named in a share, highest token rates first.
const SHARED_ACCOUNTS_MAX: usize = 4;

key_types! {
    /// Token rate limit of an account, from the row of the pool that a request goes to. The
    /// account's tokens over all pools with a limit count against this limit.
    pub struct AccountLimit {
        /// Tokens per second over all routers; 0 means no limit.
        pub token_rate: u32,
    }
}

/// Token rates of client accounts, measured by this router and published by others.
#[derive(Debug, Default)]
pub struct AccountLimits {
    local_rates: BTreeMap<AccountName, AccountRate>,
    peer_rates: BTreeMap<HostName, PeerRates>,
}

#[derive(Debug, Clone, Copy)]
struct AccountRate {
    window_end: TimePoint,
    tokens: u64,
    previous_tokens: u64,
}

#[derive(Debug)]
struct PeerRates {
    sequence: u64,
    expires_at: TimePoint,
    rates: BTreeMap<AccountName, u32>,
}

impl AccountLimits {
    /// Charges tokens to an account; `Err` holds the time to retry after if the limit is exceeded.
    ///
    /// The first request of a window is always admitted.
    pub fn admit(
        &mut self,
        now: TimePoint,
        account: &AccountName,
        tokens: u32,
        limit: AccountLimit,
    ) -> Result<(), TimePoint> {
        let peer_rate = self.peer_rate(now, account);
        if !self.local_rates.contains_key(account)
            && self.local_rates.len() >= ACCOUNTS_PRUNE_THRESHOLD
        {
            self.local_rates.retain(|_, rate| !rate.window_end.after(RATE_WINDOW).passed(now));
        }
        let rate = self.local_rates.entry(account.clone()).or_insert_with(|| AccountRate::new(now));
        rate.advance_window(now);
        let own_rate = rate.previous_tokens.max(rate.tokens) as f64 / RATE_WINDOW.as_secs_f64();
        let fraction = if own_rate + peer_rate == 0.0 {
            1.0
        } else {
            (own_rate / (own_rate + peer_rate)).max(LIMIT_FRACTION_MIN)
        };
        let allowed_tokens = f64::from(limit.token_rate) * fraction * RATE_WINDOW.as_secs_f64();
        let total_tokens = rate.tokens.saturating_add(u64::from(tokens));
        if limit.token_rate > 0 && rate.tokens > 0 && total_tokens as f64 > allowed_tokens {
            return Err(rate.window_end);
        }
        rate.tokens = total_tokens;
        Ok(())
    }

    /// Applies another router's share; a share with an old sequence number is ignored.
    pub fn on_share(&mut self, now: TimePoint, share: AccountShare) {
        self.peer_rates.retain(|_, peer| !peer.expires_at.passed(now));
        let previous = self.peer_rates.get(&share.router);
        let is_stale = previous.is_some_and(|peer| peer.sequence >= share.sequence);
        if is_stale || (previous.is_none() && self.peer_rates.len() >= ROUTERS_MAX) {
            return;
        }
        let accounts = share.accounts.into_iter().take(SHARED_ACCOUNTS_MAX);
        let rates = accounts.map(|load| (load.account, load.token_rate)).collect();
        let expires_at = now.after(SHARE_TTL);
        let peer = PeerRates { sequence: share.sequence, expires_at, rates };
        self.peer_rates.insert(share.router, peer);
    }

    /// The heaviest accounts, for publication to the other routers.
    pub fn heaviest(&mut self, now: TimePoint) -> Vec<AccountLoad> {
        for rate in self.local_rates.values_mut() {
            rate.advance_window(now);
        }
        self.local_rates.retain(|_, rate| rate.tokens > 0 || rate.previous_tokens > 0);
        let to_load = |(account, rate): (&AccountName, &AccountRate)| AccountLoad {
            account: account.clone(),
            token_rate: (rate.previous_tokens.max(rate.tokens) / RATE_WINDOW.as_secs()) as u32,
        };
        let mut loads: Vec<_> = self.local_rates.iter().map(to_load).collect();
        loads.sort_by_key(|load| std::cmp::Reverse(load.token_rate));
        loads.truncate(SHARED_ACCOUNTS_MAX);
        loads
    }

    fn peer_rate(&self, now: TimePoint, account: &AccountName) -> f64 {
        let live = self.peer_rates.values().filter(|peer| !peer.expires_at.passed(now));
        live.filter_map(|peer| peer.rates.get(account)).map(|rate| f64::from(*rate)).sum()
    }
}

/// Smallest fraction of an account's limit that a router allows, however little of the account's
/// traffic enters there.
const LIMIT_FRACTION_MIN: f64 = 0.02;

impl AccountRate {
    fn new(now: TimePoint) -> Self {
        Self { window_end: now.after(RATE_WINDOW), tokens: 0, previous_tokens: 0 }
    }

    fn advance_window(&mut self, now: TimePoint) {
        if !self.window_end.passed(now) {
            return;
        }
        let is_adjacent = !self.window_end.after(RATE_WINDOW).passed(now);
        self.previous_tokens = if is_adjacent { self.tokens } else { 0 };
        self.tokens = 0;
        self.window_end = now.after(RATE_WINDOW);
    }
}
