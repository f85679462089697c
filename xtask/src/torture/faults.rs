//! Injects faults into a fleet, one or two at a time.

use std::{collections::BTreeMap, time::Duration};

use error_stack::{Report, ResultExt};
use fakes::FaultOrder;
use local_fleet::LocalFleet;
use rand::{Rng, rngs::SmallRng, seq::IndexedRandom};

use crate::steps::TaskError;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum FaultKind {
    RouterKilled,
    RouterFrozen,
    ServiceKilled,
    ServiceFrozen,
    ServiceAnswersLost,
    EngineKilled,
    EngineAnswersCut,
    PlatformKilled,
    PlatformFrozen,
    PlatformOut,
    PlatformAnswersLost,
    PlatformSlow,
}

const ALL_KINDS: [FaultKind; 12] = [
    FaultKind::RouterKilled,
    FaultKind::RouterFrozen,
    FaultKind::ServiceKilled,
    FaultKind::ServiceFrozen,
    FaultKind::ServiceAnswersLost,
    FaultKind::EngineKilled,
    FaultKind::EngineAnswersCut,
    FaultKind::PlatformKilled,
    FaultKind::PlatformFrozen,
    FaultKind::PlatformOut,
    FaultKind::PlatformAnswersLost,
    FaultKind::PlatformSlow,
];

/// A fault and the index of the process that it affects.
#[derive(Debug, Clone, Copy)]
struct InjectedFault {
    kind: FaultKind,
    index: usize,
}

/// Chooses faults at random, injects them and clears them.
pub(crate) struct FaultInjector {
    rng: SmallRng,
    injected_counts: BTreeMap<FaultKind, usize>,
    pair_count: usize,
}

impl FaultInjector {
    pub(crate) fn new(rng: SmallRng) -> Self {
        Self { rng, injected_counts: BTreeMap::new(), pair_count: 0 }
    }

    /// Injects one fault, or two at once, for a random time, and clears them.
    pub(crate) async fn inject_faults(
        &mut self,
        fleet: &mut LocalFleet,
    ) -> Result<(), Report<TaskError>> {
        let count = if self.rng.random_bool(0.4) { 2 } else { 1 };
        self.pair_count += count - 1;
        let kinds: Vec<FaultKind> =
            ALL_KINDS.choose_multiple(&mut self.rng, count).copied().collect();
        let mut faults = Vec::new();
        for kind in kinds {
            *self.injected_counts.entry(kind).or_default() += 1;
            let fault =
                InjectedFault { kind, index: self.rng.random_range(0..fleet.routers.len()) };
            inject_fault(fleet, fault).await?;
            faults.push(fault);
        }
        // Some faults outlast every deadline of the callers.
        let duration_max_ms = if self.rng.random_bool(0.15) { 12_000 } else { 3_000 };
        let duration = Duration::from_millis(self.rng.random_range(200..duration_max_ms));
        tokio::time::sleep(duration).await;
        for fault in faults {
            clear_fault(fleet, fault).await?;
        }
        tokio::time::sleep(Duration::from_millis(self.rng.random_range(0..1500))).await;
        Ok(())
    }

    pub(crate) async fn clear_all_faults(
        &mut self,
        fleet: &mut LocalFleet,
    ) -> Result<(), Report<TaskError>> {
        for kind in ALL_KINDS {
            for index in 0..fleet.routers.len() {
                clear_fault(fleet, InjectedFault { kind, index }).await?;
            }
        }
        Ok(())
    }

    pub(crate) fn print_counts(&self) {
        println!("faults injected:");
        for (kind, count) in &self.injected_counts {
            println!("  {kind:?}: {count}");
        }
        println!("  two at once: {}", self.pair_count);
    }
}

async fn inject_fault(
    fleet: &mut LocalFleet,
    fault: InjectedFault,
) -> Result<(), Report<TaskError>> {
    let router = fault.index % fleet.routers.len();
    let service = fault.index % fleet.services.len();
    let engine = fault.index % fleet.engines.len();
    match fault.kind {
        FaultKind::RouterKilled => fleet.routers[router].process = None,
        FaultKind::RouterFrozen => fleet.routers[router].process.iter().for_each(|p| p.freeze()),
        FaultKind::ServiceKilled => fleet.services[service].process = None,
        FaultKind::ServiceFrozen => {
            fleet.services[service].process.iter().for_each(|p| p.freeze());
        }
        FaultKind::EngineKilled => fleet.engines[engine].process = None,
        FaultKind::PlatformKilled => fleet.platform_process = None,
        FaultKind::PlatformFrozen => fleet.platform_process.iter().for_each(|p| p.freeze()),
        FaultKind::ServiceAnswersLost => {
            let order = FaultOrder { lose_answers: 5, ..FaultOrder::default() };
            return order_faults(fleet, fleet.services[service].address, &order).await;
        }
        FaultKind::EngineAnswersCut => {
            let order = FaultOrder { cut_answers: 5, ..FaultOrder::default() };
            return order_faults(fleet, fleet.engines[engine].address, &order).await;
        }
        FaultKind::PlatformOut => {
            let order = FaultOrder { refuse: true, ..FaultOrder::default() };
            return order_faults(fleet, fleet.platform, &order).await;
        }
        FaultKind::PlatformAnswersLost => {
            let order = FaultOrder { lose_answers: 20, ..FaultOrder::default() };
            return order_faults(fleet, fleet.platform, &order).await;
        }
        FaultKind::PlatformSlow => {
            let order = FaultOrder { lag_ms: 700, ..FaultOrder::default() };
            return order_faults(fleet, fleet.platform, &order).await;
        }
    }
    Ok(())
}

async fn clear_fault(
    fleet: &mut LocalFleet,
    fault: InjectedFault,
) -> Result<(), Report<TaskError>> {
    let router = fault.index % fleet.routers.len();
    let service = fault.index % fleet.services.len();
    let engine = fault.index % fleet.engines.len();
    match fault.kind {
        FaultKind::RouterKilled if fleet.routers[router].process.is_none() => {
            fleet.start_router(router).change_context(TaskError)
        }
        FaultKind::RouterFrozen => {
            fleet.routers[router].process.iter().for_each(|process| process.wake());
            Ok(())
        }
        FaultKind::ServiceKilled if fleet.services[service].process.is_none() => {
            fleet.start_service(service).change_context(TaskError)
        }
        FaultKind::ServiceFrozen => {
            fleet.services[service].process.iter().for_each(|process| process.wake());
            Ok(())
        }
        FaultKind::EngineKilled if fleet.engines[engine].process.is_none() => {
            fleet.start_engine(engine).change_context(TaskError)
        }
        FaultKind::PlatformKilled if fleet.platform_process.is_none() => {
            fleet.start_platform().change_context(TaskError)
        }
        FaultKind::PlatformFrozen => {
            fleet.platform_process.iter().for_each(|process| process.wake());
            Ok(())
        }
        FaultKind::ServiceAnswersLost => {
            order_faults(fleet, fleet.services[service].address, &FaultOrder::default()).await
        }
        FaultKind::EngineAnswersCut => {
            order_faults(fleet, fleet.engines[engine].address, &FaultOrder::default()).await
        }
        FaultKind::PlatformOut | FaultKind::PlatformAnswersLost | FaultKind::PlatformSlow => {
            order_faults(fleet, fleet.platform, &FaultOrder::default()).await
        }
        FaultKind::RouterKilled
        | FaultKind::ServiceKilled
        | FaultKind::EngineKilled
        | FaultKind::PlatformKilled => Ok(()),
    }
}

/// Orders a stand-in to apply faults. Ignores errors, as the stand-in may be killed or frozen by
/// the other fault of a pair.
async fn order_faults(
    fleet: &LocalFleet,
    address: std::net::SocketAddr,
    order: &FaultOrder,
) -> Result<(), Report<TaskError>> {
    const ORDER_TIMEOUT: Duration = Duration::from_millis(300);
    let _ = tokio::time::timeout(ORDER_TIMEOUT, fleet.order_faults(address, order)).await;
    Ok(())
}
