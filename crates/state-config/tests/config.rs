//! Tests of the look-ups in a configuration.

use std::time::Duration;

use base_types::{AccountName, PoolName, RouteName, test_cases};
use proptest::prelude::*;
use state_config::{
    AccountRule, CallerLimits, ConfigVersion, FleetConfig, KeyDigest, RetryRule, RouteRule,
    WeightedPool,
};

const LIMITS: CallerLimits = CallerLimits {
    head_bytes_max: 1,
    body_bytes_max: 1,
    head_timeout: Duration::ZERO,
    idle_timeout: Duration::ZERO,
};

fn route(host: &str, path_prefix: &str, pools: &[(&str, u32)]) -> RouteRule {
    let pools = pools
        .iter()
        .map(|(pool, weight)| WeightedPool { pool: PoolName::new(pool), weight: *weight });
    RouteRule {
        name: RouteName::new(path_prefix),
        host: host.into(),
        path_prefix: path_prefix.into(),
        retry_rule: RetryRule::AtMostOnce,
        timeout: Duration::from_secs(1),
        latency_target: Duration::from_secs(1),
        rank: 0,
        pools: pools.collect(),
        attempts_max: 1,
        public: false,
    }
}

fn config(routes: Vec<RouteRule>, accounts: Option<Vec<AccountRule>>) -> FleetConfig {
    FleetConfig::new(ConfigVersion(1), Vec::new(), routes, accounts, LIMITS)
}

fn check_route(host: &str, path: &str, expected: Option<&str>) {
    let routes = vec![
        route("a", "/x/", &[("p", 1)]),
        route("a", "/x/y/", &[("p", 1)]),
        route("b", "/", &[("p", 1)]),
        route("c", "/", &[]),
    ];
    let config = config(routes, None);
    let matched = config.match_route(host, path, 7);
    assert_eq!(matched.map(|matched| matched.rule.name.as_str()), expected);
}

test_cases! {
    check_route:
    the_longest_prefix_wins("a", "/x/y/z", Some("/x/y/"));
    a_shorter_prefix_takes_the_rest("a", "/x/yy/z", Some("/x/"));
    a_prefix_needs_its_slash("a", "/x", None);
    hosts_do_not_share_routes("a", "/z/", None);
    a_root_prefix_takes_all("b", "/z", Some("/"));
    a_route_without_pools_matches_nothing("c", "/z", None);
    an_unknown_host_matches_nothing("d", "/", None);
}

#[test]
fn a_key_names_its_account() {
    let accounts = vec![AccountRule {
        name: AccountName::new("one"),
        keys: vec![KeyDigest::of(b"k1"), KeyDigest::of(b"k2")],
        rank: Some(3),
    }];
    let config = config(Vec::new(), Some(accounts));
    assert!(config.requires_account_key());
    for key in [b"k1", b"k2"] {
        let account = config.account(KeyDigest::of(key)).expect("an account");
        assert_eq!((account.0.as_str(), account.1), ("one", Some(3)));
    }
    assert_eq!(config.account(KeyDigest::of(b"k3")), None);
}

proptest! {
    /// Over one full period of hashes, each pool is chosen as often as its weight.
    #[test]
    fn a_split_follows_its_weights(weights in prop::collection::vec(0u32..50, 1..5)) {
        let names: Vec<String> = (0..weights.len()).map(|index| format!("p{index}")).collect();
        let pools: Vec<(&str, u32)> =
            names.iter().map(String::as_str).zip(weights.iter().copied()).collect();
        let route = route("a", "/", &pools);
        let total: u64 = weights.iter().copied().map(u64::from).sum();
        for (name, weight) in &pools {
            let hits = (0..total).filter(|hash| {
                route.pool_for(*hash).is_some_and(|pool| pool.as_str() == *name)
            });
            prop_assert_eq!(hits.count(), *weight as usize);
        }
    }
}
