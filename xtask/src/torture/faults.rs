//! Injects faults into a fleet, one or two at a time.

use std::{collections::BTreeMap, time::Duration};

use error_stack::{Report, ResultExt};
use fakes::FaultSet;
use local_fleet::LocalFleet;
use rand::{Rng, rngs::SmallRng, seq::IndexedRandom};

use crate::steps::TaskError;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum ProcessFault {
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

const ALL_KINDS: [ProcessFault; 12] = [
    ProcessFault::RouterKilled,
    ProcessFault::RouterFrozen,
    ProcessFault::ServiceKilled,
    ProcessFault::ServiceFrozen,
    ProcessFault::ServiceAnswersLost,
    ProcessFault::EngineKilled,
    ProcessFault::EngineAnswersCut,
    ProcessFault::PlatformKilled,
    ProcessFault::PlatformFrozen,
    ProcessFault::PlatformOut,
    ProcessFault::PlatformAnswersLost,
    ProcessFault::PlatformSlow,
];

/// A fault and the index of the process that it affects.
#[derive(Debug, Clone, Copy)]
struct InjectedFault {
    kind: ProcessFault,
    index: usize,
}

/// Chooses faults at random, injects them and clears them.
pub(crate) struct FaultInjector {
    rng: SmallRng,
    injected_counts: BTreeMap<ProcessFault, usize>,
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
        let kinds: Vec<ProcessFault> =
            ALL_KINDS.choose_multiple(&mut self.rng, count).copied().collect();
        let mut faults = Vec::new();
        for kind in kinds {
            *self.injected_counts.entry(kind).or_default() += 1;
            let fault =
                InjectedFault { kind, index: self.rng.random_range(0..fleet.routers.len()) };
            inject_fault(fleet, fault).await?;
            faults.push(fault);
        }
        // Some of the longer faults outlast the callers' deadline of 8 s.
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
        ProcessFault::RouterKilled => fleet.routers[router].process = None,
        ProcessFault::RouterFrozen => fleet.routers[router].process.iter().for_each(|p| p.freeze()),
        ProcessFault::ServiceKilled => fleet.services[service].process = None,
        ProcessFault::ServiceFrozen => {
            fleet.services[service].process.iter().for_each(|p| p.freeze());
        }
        ProcessFault::EngineKilled => fleet.engines[engine].process = None,
        ProcessFault::PlatformKilled => fleet.platform_process = None,
        ProcessFault::PlatformFrozen => fleet.platform_process.iter().for_each(|p| p.freeze()),
        ProcessFault::ServiceAnswersLost => {
            let faults = FaultSet { lose_answers: 5, ..FaultSet::default() };
            return set_faults(fleet, fleet.services[service].address, &faults).await;
        }
        ProcessFault::EngineAnswersCut => {
            let faults = FaultSet { cut_answers: 5, ..FaultSet::default() };
            return set_faults(fleet, fleet.engines[engine].address, &faults).await;
        }
        ProcessFault::PlatformOut => {
            let faults = FaultSet { refuse: true, ..FaultSet::default() };
            return set_faults(fleet, fleet.platform, &faults).await;
        }
        ProcessFault::PlatformAnswersLost => {
            let faults = FaultSet { lose_answers: 20, ..FaultSet::default() };
            return set_faults(fleet, fleet.platform, &faults).await;
        }
        ProcessFault::PlatformSlow => {
            let faults = FaultSet { lag_ms: 700, ..FaultSet::default() };
            return set_faults(fleet, fleet.platform, &faults).await;
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
        ProcessFault::RouterKilled if fleet.routers[router].process.is_none() => {
            fleet.start_router(router).change_context(TaskError)
        }
        ProcessFault::RouterFrozen => {
            fleet.routers[router].process.iter().for_each(|process| process.resume());
            Ok(())
        }
        ProcessFault::ServiceKilled if fleet.services[service].process.is_none() => {
            fleet.start_service(service).change_context(TaskError)
        }
        ProcessFault::ServiceFrozen => {
            fleet.services[service].process.iter().for_each(|process| process.resume());
            Ok(())
        }
        ProcessFault::EngineKilled if fleet.engines[engine].process.is_none() => {
            fleet.start_engine(engine).change_context(TaskError)
        }
        ProcessFault::PlatformKilled if fleet.platform_process.is_none() => {
            fleet.start_platform().change_context(TaskError)
        }
        ProcessFault::PlatformFrozen => {
            fleet.platform_process.iter().for_each(|process| process.resume());
            Ok(())
        }
        ProcessFault::ServiceAnswersLost => {
            set_faults(fleet, fleet.services[service].address, &FaultSet::default()).await
        }
        ProcessFault::EngineAnswersCut => {
            set_faults(fleet, fleet.engines[engine].address, &FaultSet::default()).await
        }
        ProcessFault::PlatformOut
        | ProcessFault::PlatformAnswersLost
        | ProcessFault::PlatformSlow => {
            set_faults(fleet, fleet.platform, &FaultSet::default()).await
        }
        ProcessFault::RouterKilled
        | ProcessFault::ServiceKilled
        | ProcessFault::EngineKilled
        | ProcessFault::PlatformKilled => Ok(()),
    }
}

/// Orders a stand-in to apply faults. Ignores errors, as the stand-in may be killed or frozen by
/// the other fault of a pair.
async fn set_faults(
    fleet: &LocalFleet,
    address: std::net::SocketAddr,
    faults: &FaultSet,
) -> Result<(), Report<TaskError>> {
    const SET_FAULTS_TIMEOUT: Duration = Duration::from_millis(300);
    let _ = tokio::time::timeout(SET_FAULTS_TIMEOUT, fleet.set_faults(address, faults)).await;
    Ok(())
}
