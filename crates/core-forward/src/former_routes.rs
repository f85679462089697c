//! Pools to which routes of resumable streams led before the configuration in force.
//!
//! Answers the load of callers that take a stream up after its route moved: the stream may have started in a pool to which
//! the route no longer leads. Invariant: while such a stream may go on, its pool is named, or that too many are known.

use std::collections::BTreeMap;

use base_types::{PoolName, TimePoint};
use state_config::{FleetConfig, RouteRule};

use crate::software::STREAM_LIFETIME_MAX;

/// Pairs of a route and a former pool that are kept; each takes about 100 bytes. While there were more, no stream counts
/// as one whose pool is known.
const FORMER_POOLS_MAX: usize = 4_096;

/// Host and path prefix of a route.
type RoutePath<'config> = (&'config str, &'config str);

/// A pool to which the calls below a path were sent.
#[derive(Debug)]
struct FormerPool {
    path_prefix: Box<str>,
    pool: PoolName,
    /// Time at which all streams that began there are over.
    until: TimePoint,
}

/// Former pools of routes, by host.
#[derive(Debug)]
pub(crate) struct FormerRoutes {
    by_host: BTreeMap<Box<str>, Vec<FormerPool>>,
    count: usize,
    /// Time until which pools may be missing.
    incomplete_until: TimePoint,
}

impl Default for FormerRoutes {
    fn default() -> Self {
        Self { by_host: BTreeMap::new(), count: 0, incomplete_until: TimePoint(0) }
    }
}

impl FormerRoutes {
    /// Records the pools to which calls no longer go once a configuration replaces another: those that a route left, and
    /// those of routes above a new one.
    pub(crate) fn on_replaced(
        &mut self,
        now: TimePoint,
        before: &FleetConfig,
        after: &FleetConfig,
    ) {
        let (before, after) = (index_by_path(before), index_by_path(after));
        for (path, route) in before.iter().filter(|(_, route)| is_resumable(route)) {
            let successor = after.get(path);
            let is_used =
                |pool| successor.is_some_and(|route| route.used_pools().any(|used| used == pool));
            for pool in route.used_pools().filter(|pool| !is_used(*pool)) {
                self.insert(now, *path, pool);
            }
        }
        for ((host, prefix), route) in after.iter().filter(|(path, _)| !before.contains_key(*path))
        {
            let above =
                prefix.char_indices().filter_map(|(end, _)| before.get(&(*host, &prefix[..end])));
            for pool in
                above.filter(|above| is_resumable(above)).flat_map(|above| above.used_pools())
            {
                if route.used_pools().all(|used| used != pool) {
                    self.insert(now, (*host, *prefix), pool);
                }
            }
        }
    }

    /// Returns the former pools of calls to a path; `None` if some may be missing.
    pub(crate) fn pools(&self, now: TimePoint, host: &str, path: &str) -> Option<Vec<PoolName>> {
        if !self.incomplete_until.passed(now) {
            return None;
        }
        let former = self.by_host.get(host).into_iter().flatten();
        let matching = former
            .filter(|former| path.starts_with(&*former.path_prefix) && !former.until.passed(now));
        Some(matching.map(|former| former.pool.clone()).collect())
    }

    /// Forgets pools whose streams are over.
    pub(crate) fn sweep(&mut self, now: TimePoint) {
        self.by_host.retain(|_, pools| {
            pools.retain(|former| !former.until.passed(now));
            !pools.is_empty()
        });
        self.count = self.by_host.values().map(Vec::len).sum();
    }

    fn insert(&mut self, now: TimePoint, (host, prefix): RoutePath<'_>, pool: &PoolName) {
        let until = now.after(STREAM_LIFETIME_MAX);
        let pools = self.by_host.entry(host.into()).or_default();
        let known =
            pools.iter_mut().find(|former| *former.path_prefix == *prefix && former.pool == *pool);
        if let Some(former) = known {
            former.until = until;
        } else if self.count < FORMER_POOLS_MAX {
            pools.push(FormerPool { path_prefix: prefix.into(), pool: pool.clone(), until });
            self.count += 1;
        } else {
            self.incomplete_until = until;
        }
    }
}

/// Returns the routes by path; of several with the same path, the last one holds.
fn index_by_path(config: &FleetConfig) -> BTreeMap<RoutePath<'_>, &RouteRule> {
    config.routes().map(|route| ((&*route.host, &*route.path_prefix), route)).collect()
}

/// Whether callers may take streams of the route up.
pub(crate) fn is_resumable(route: &RouteRule) -> bool {
    route.retry_rule.is_streaming() && route.retry_rule.is_retryable()
}
