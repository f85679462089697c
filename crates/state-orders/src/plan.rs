//! Selection of the next engine to order.

use std::collections::{BTreeMap, BTreeSet};

use base_types::{HostName, PoolName, message_types};
use state_tables::ServingSpec;

use crate::EngineReport;

message_types! {
    /// A live engine of a pool.
    pub struct EngineView {
        /// Host that the engine runs on.
        pub name: HostName,
        /// Latest report of the engine; absent when the engine does not answer.
        pub report: Option<EngineReport>,
    }

    /// A pool that gives orders, with the engines of its group.
    pub struct PoolView {
        /// Name of the pool.
        pub name: PoolName,
        /// Model that the pool's engines should serve.
        pub spec: ServingSpec,
        /// Whether an engine may load even if only a minority of the pool's engines then serves.
        pub may_interrupt: bool,
        /// Live engines in the pool's group.
        pub engines: Vec<EngineView>,
    }
}

pub(crate) type Intents = BTreeMap<HostName, ServingSpec>;

/// The intents that are not applied yet, of engines that still belong to a pool that
/// gives orders.
pub(crate) fn unapplied_intents(intents: &Intents, pools: &[PoolView]) -> Intents {
    let is_unapplied = |(name, spec): &(&HostName, &ServingSpec)| {
        let engine = engines(pools).find(|(_, engine)| engine.name == **name);
        engine.is_some_and(|(_, engine)| {
            engine.report.as_ref().is_none_or(|report| !report.has_applied(spec))
        })
    };
    let unapplied = intents.iter().filter(is_unapplied);
    unapplied.map(|(name, spec)| (name.clone(), spec.clone())).collect()
}

/// The next engine to order, with the spec to serve. Engines that serve nothing come first.
pub(crate) fn next_engine(
    intents: &Intents,
    pools: &[PoolView],
) -> Option<(HostName, ServingSpec)> {
    let mut seen = BTreeSet::new();
    let unique = engines(pools).filter(|(_, engine)| seen.insert(&engine.name));
    let mut candidates: Vec<(&PoolView, &EngineView, &EngineReport)> = unique
        .filter(|(_, engine)| !intents.contains_key(&engine.name))
        .filter_map(|(pool, engine)| Some((pool, engine, engine.report.as_ref()?)))
        .filter(|(pool, _, report)| report.loading.is_none() && !report.has_applied(&pool.spec))
        .collect();
    candidates.sort_by_key(|(_, _, report)| report.serving.is_some());
    let is_allowed = |(pool, _, report): &&(&PoolView, &EngineView, &EngineReport)| {
        report.serving.is_none() || pool.may_interrupt || pool.keeps_majority(intents)
    };
    let (pool, engine, _) = candidates.iter().find(is_allowed)?;
    Some((engine.name.clone(), pool.spec.clone()))
}

/// An engine and the spec that replaces its intent: the pool wants another spec, the engine is
/// loading nothing, and the last order for the intent can no longer take effect.
pub(crate) fn replacement_intent(
    intents: &Intents,
    pools: &[PoolView],
    last_order_expired: impl Fn(&HostName) -> bool,
) -> Option<(HostName, ServingSpec)> {
    let is_replaceable = |(pool, engine): &(&PoolView, &EngineView)| {
        let has_outdated_intent = intents.get(&engine.name).is_some_and(|spec| *spec != pool.spec);
        let is_idle = engine.report.as_ref().is_some_and(|report| report.loading.is_none());
        has_outdated_intent && is_idle && last_order_expired(&engine.name)
    };
    let (pool, engine) = engines(pools).find(is_replaceable)?;
    Some((engine.name.clone(), pool.spec.clone()))
}

/// Whether an engine's latest report shows that it has received an order for a spec.
pub(crate) fn is_acknowledged(pools: &[PoolView], name: &HostName, spec: &ServingSpec) -> bool {
    let engine = engines(pools).find(|(_, engine)| engine.name == *name);
    let report = engine.and_then(|(_, engine)| engine.report.as_ref());
    report.is_some_and(|report| report.acknowledges(spec))
}

/// All engines, each with the pool that gives it orders, in the order of `pools`, which is by name.
fn engines(pools: &[PoolView]) -> impl Iterator<Item = (&PoolView, &EngineView)> {
    pools.iter().flat_map(|pool| pool.engines.iter().map(move |engine| (pool, engine)))
}

impl PoolView {
    /// Whether a majority still serves after one more engine stops. An engine with an intent counts
    /// as not serving, as it may start to load at any moment.
    fn keeps_majority(&self, intents: &Intents) -> bool {
        let is_serving = |engine: &&EngineView| {
            let report = engine.report.as_ref();
            let reports_serving =
                report.is_some_and(|report| report.serving.is_some() && report.loading.is_none());
            reports_serving && !intents.contains_key(&engine.name)
        };
        let serving = self.engines.iter().filter(is_serving).count();
        serving.saturating_sub(1) * 2 > self.engines.len()
    }
}
