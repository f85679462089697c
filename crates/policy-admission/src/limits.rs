//! Limits of client accounts whose traffic enters at several routers.
//!
//! Each router tells the others the token rates of its heaviest accounts and divides an account's
//! limit by where its traffic enters.

use std::{collections::BTreeMap, time::Duration};

use base_types::{AccountLoad, AccountName, AccountShare, HostName, TimePoint, key_types};

const SHARE_LIFE: Duration = Duration::from_secs(5);
const RATE_SPAN: Duration = Duration::from_secs(2);
const ACCOUNTS_MAX: usize = 16_384;
const ROUTERS_MAX: usize = 4096;

/// Accounts that a share names.
const HEAVY_MAX: usize = 4;

key_types! {
    /// Limit of an account.
    pub struct LimitKey {
        /// Tokens a second over all routers; zero is no limit.
        pub token_rate: u32,
    }
}

/// What one router knows of accounts' rates.
#[derive(Debug, Default)]
pub struct AccountLimits {
    own: BTreeMap<AccountName, AccountRate>,
    peers: BTreeMap<HostName, HeardRates>,
}

#[derive(Debug, Clone, Copy)]
struct AccountRate {
    span_end: TimePoint,
    tokens: u64,
    former: u64,
}

#[derive(Debug)]
struct HeardRates {
    sequence: u64,
    expiry: TimePoint,
    rates: BTreeMap<AccountName, u32>,
}

impl AccountLimits {
    /// Counts work of an account; `Err` names the point to come back at when it is over its limit.
    pub fn admit(
        &mut self,
        now: TimePoint,
        account: &AccountName,
        tokens: u32,
        limit: LimitKey,
    ) -> Result<(), TimePoint> {
        let others = self.others(now, account);
        if !self.own.contains_key(account) && self.own.len() >= ACCOUNTS_MAX {
            self.own.retain(|_, rate| !rate.span_end.after(RATE_SPAN).passed(now));
        }
        let rate = self.own.entry(account.clone()).or_insert_with(|| AccountRate::new(now));
        rate.roll(now);
        let own = rate.former.max(rate.tokens) as f64 / RATE_SPAN.as_secs_f64();
        let part = if own + others == 0.0 { 1.0 } else { (own / (own + others)).max(PART_MIN) };
        let allowed = f64::from(limit.token_rate) * part * RATE_SPAN.as_secs_f64();
        let wanted = rate.tokens.saturating_add(u64::from(tokens));
        if limit.token_rate > 0 && rate.tokens > 0 && wanted as f64 > allowed {
            return Err(rate.span_end);
        }
        rate.tokens = wanted;
        Ok(())
    }

    /// Takes over another router's share.
    pub fn hear(&mut self, now: TimePoint, share: AccountShare) {
        self.peers.retain(|_, heard| !heard.expiry.passed(now));
        let known = self.peers.get(&share.router);
        let stale = known.is_some_and(|heard| heard.sequence >= share.sequence);
        if stale || (known.is_none() && self.peers.len() >= ROUTERS_MAX) {
            return;
        }
        let accounts = share.accounts.into_iter().take(HEAVY_MAX);
        let rates = accounts.map(|load| (load.account, load.token_rate)).collect();
        let expiry = now.after(SHARE_LIFE);
        let heard = HeardRates { sequence: share.sequence, expiry, rates };
        self.peers.insert(share.router, heard);
    }

    /// The heaviest accounts, to be told to the others.
    pub fn heaviest(&mut self, now: TimePoint) -> Vec<AccountLoad> {
        for rate in self.own.values_mut() {
            rate.roll(now);
        }
        self.own.retain(|_, rate| rate.tokens > 0 || rate.former > 0);
        let load = |(account, rate): (&AccountName, &AccountRate)| AccountLoad {
            account: account.clone(),
            token_rate: (rate.former.max(rate.tokens) / RATE_SPAN.as_secs()) as u32,
        };
        let mut loads: Vec<_> = self.own.iter().map(load).collect();
        loads.sort_by_key(|load| std::cmp::Reverse(load.token_rate));
        loads.truncate(HEAVY_MAX);
        loads
    }

    fn others(&self, now: TimePoint, account: &AccountName) -> f64 {
        let live = self.peers.values().filter(|heard| !heard.expiry.passed(now));
        live.filter_map(|heard| heard.rates.get(account)).map(|rate| f64::from(*rate)).sum()
    }
}

/// Least part of a limit that a router keeps for an account that it hardly saw.
const PART_MIN: f64 = 0.02;

impl AccountRate {
    fn new(now: TimePoint) -> Self {
        Self { span_end: now.after(RATE_SPAN), tokens: 0, former: 0 }
    }

    fn roll(&mut self, now: TimePoint) {
        if !self.span_end.passed(now) {
            return;
        }
        let fresh = !self.span_end.after(RATE_SPAN).passed(now);
        self.former = if fresh { self.tokens } else { 0 };
        self.tokens = 0;
        self.span_end = now.after(RATE_SPAN);
    }
}
