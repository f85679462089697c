//! Which engine is ordered next.

use std::collections::{BTreeMap, BTreeSet};

use base_types::{HostName, PoolName, message_types};
use state_tables::ServingSpec;

use crate::EngineReport;

message_types! {
    /// A live engine of a pool.
    pub struct EngineView {
        /// Host of the engine.
        pub name: HostName,
        /// Its latest report; absent when it does not answer.
        pub report: Option<EngineReport>,
    }

    /// A pool that gives orders, with the engines of its group.
    pub struct PoolView {
        /// Name of the pool.
        pub name: PoolName,
        /// What its engines are to serve.
        pub spec: ServingSpec,
        /// Whether an engine may load although less than a majority then serves.
        pub may_interrupt: bool,
        /// The engines.
        pub engines: Vec<EngineView>,
    }
}

pub(crate) type Intents = BTreeMap<HostName, ServingSpec>;

/// The intents that are not reached yet, of engines that are still to be ordered.
pub(crate) fn open_intents(intents: &Intents, pools: &[PoolView]) -> Intents {
    let open = |(name, spec): &(&HostName, &ServingSpec)| {
        let engine = engines(pools).find(|(_, engine)| engine.name == **name);
        engine.is_some_and(|(_, engine)| {
            engine.report.as_ref().is_none_or(|report| !report.is_settled(spec))
        })
    };
    let open = intents.iter().filter(open);
    open.map(|(name, spec)| (name.clone(), spec.clone())).collect()
}

/// The next engine to order, with what it is to serve: one that serves nothing first.
pub(crate) fn next_engine(
    intents: &Intents,
    pools: &[PoolView],
) -> Option<(HostName, ServingSpec)> {
    let mut ordered = BTreeSet::new();
    let wanted = engines(pools).filter(|(_, engine)| ordered.insert(&engine.name));
    let mut candidates: Vec<(&PoolView, &EngineView, &EngineReport)> = wanted
        .filter(|(_, engine)| !intents.contains_key(&engine.name))
        .filter_map(|(pool, engine)| Some((pool, engine, engine.report.as_ref()?)))
        .filter(|(pool, _, report)| report.loading.is_none() && !report.is_settled(&pool.spec))
        .collect();
    candidates.sort_by_key(|(_, _, report)| report.serving.is_some());
    let allowed = |(pool, _, report): &&(&PoolView, &EngineView, &EngineReport)| {
        report.serving.is_none() || pool.may_interrupt || pool.keeps_majority(intents)
    };
    let (pool, engine, _) = candidates.iter().find(allowed)?;
    Some((engine.name.clone(), pool.spec.clone()))
}

/// An intent to replace: its pool wants another spec, and its engine loads nothing.
pub(crate) fn replaced_intent(
    intents: &Intents,
    pools: &[PoolView],
    is_settled: impl Fn(&HostName) -> bool,
) -> Option<(HostName, ServingSpec)> {
    let stale = |(pool, engine): &(&PoolView, &EngineView)| {
        let intent = intents.get(&engine.name).is_some_and(|spec| *spec != pool.spec);
        let idle = engine.report.as_ref().is_some_and(|report| report.loading.is_none());
        intent && idle && is_settled(&engine.name)
    };
    let (pool, engine) = engines(pools).find(stale)?;
    Some((engine.name.clone(), pool.spec.clone()))
}

/// Whether an engine's latest report shows that it was told of a spec.
pub(crate) fn has_heard(pools: &[PoolView], name: &HostName, spec: &ServingSpec) -> bool {
    let engine = engines(pools).find(|(_, engine)| engine.name == *name);
    let report = engine.and_then(|(_, engine)| engine.report.as_ref());
    report.is_some_and(|report| report.has_heard(spec))
}

/// All engines with the pool that gives them orders, pools in the order of their names.
fn engines(pools: &[PoolView]) -> impl Iterator<Item = (&PoolView, &EngineView)> {
    pools.iter().flat_map(|pool| pool.engines.iter().map(move |engine| (pool, engine)))
}

impl PoolView {
    /// Whether a majority serves even with one engine less. An engine with an intent counts as
    /// not serving, as it may begin to load at any moment.
    fn keeps_majority(&self, intents: &Intents) -> bool {
        let serves = |engine: &&EngineView| {
            let report = engine.report.as_ref();
            let serves =
                report.is_some_and(|report| report.serving.is_some() && report.loading.is_none());
            serves && !intents.contains_key(&engine.name)
        };
        let serving = self.engines.iter().filter(serves).count();
        serving.saturating_sub(1) * 2 > self.engines.len()
    }
}
