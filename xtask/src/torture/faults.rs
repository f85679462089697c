//! Faults that are shown to a fleet, one or two at once.

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

const KINDS: [FaultKind; 12] = [
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

/// A fault in force and where.
#[derive(Debug, Clone, Copy)]
struct ShownFault {
    kind: FaultKind,
    index: usize,
}

/// Chooses faults, shows them and takes them back.
pub(crate) struct FaultDriver {
    rng: SmallRng,
    shown: BTreeMap<FaultKind, usize>,
    two_at_once: usize,
}

impl FaultDriver {
    pub(crate) fn new(rng: SmallRng) -> Self {
        Self { rng, shown: BTreeMap::new(), two_at_once: 0 }
    }

    /// Shows one fault, or two at once, for some seconds and takes them back.
    pub(crate) async fn show_faults(
        &mut self,
        fleet: &mut LocalFleet,
    ) -> Result<(), Report<TaskError>> {
        let count = if self.rng.random_bool(0.4) { 2 } else { 1 };
        self.two_at_once += count - 1;
        let kinds: Vec<FaultKind> = KINDS.choose_multiple(&mut self.rng, count).copied().collect();
        let mut faults = Vec::new();
        for kind in kinds {
            *self.shown.entry(kind).or_default() += 1;
            let fault = ShownFault { kind, index: self.rng.random_range(0..fleet.routers.len()) };
            begin(fleet, fault).await?;
            faults.push(fault);
        }
        // Now and then a fault outlasts every deadline of the callers.
        let longest = if self.rng.random_bool(0.15) { 12_000 } else { 3_000 };
        let shown = Duration::from_millis(self.rng.random_range(200..longest));
        tokio::time::sleep(shown).await;
        for fault in faults {
            end(fleet, fault).await?;
        }
        tokio::time::sleep(Duration::from_millis(self.rng.random_range(0..1500))).await;
        Ok(())
    }

    pub(crate) async fn end_faults(
        &mut self,
        fleet: &mut LocalFleet,
    ) -> Result<(), Report<TaskError>> {
        for kind in KINDS {
            for index in 0..fleet.routers.len() {
                end(fleet, ShownFault { kind, index }).await?;
            }
        }
        Ok(())
    }

    pub(crate) fn print(&self) {
        println!("faults shown:");
        for (kind, count) in &self.shown {
            println!("  {kind:?}: {count}");
        }
        println!("  two at once: {}", self.two_at_once);
    }
}

async fn begin(fleet: &mut LocalFleet, fault: ShownFault) -> Result<(), Report<TaskError>> {
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

async fn end(fleet: &mut LocalFleet, fault: ShownFault) -> Result<(), Report<TaskError>> {
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

/// A stand-in that is killed or frozen by the other fault of a pair takes no orders.
async fn order_faults(
    fleet: &LocalFleet,
    address: std::net::SocketAddr,
    order: &FaultOrder,
) -> Result<(), Report<TaskError>> {
    const ORDER_WAIT: Duration = Duration::from_millis(300);
    let _ = tokio::time::timeout(ORDER_WAIT, fleet.order_faults(address, order)).await;
    Ok(())
}
