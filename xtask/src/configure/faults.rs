//! Faults that may delay the propagation of an edit to all routers.

use std::time::Duration;

use error_stack::{Report, ResultExt};
use fakes::FaultSet;
use history_check::FaultSpan;
use local_fleet::LocalFleet;

use crate::{configure::ConfigureRun, steps::TaskError};

const FAULT_DURATION: Duration = Duration::from_secs(2);

#[derive(Debug, Clone, Copy)]
pub(super) enum TableFault {
    RouterKilled,
    RouterFrozen,
    PlatformOut,
    PlatformAnswersLost,
}

impl TableFault {
    pub(super) const ALL: [Self; 4] =
        [Self::RouterKilled, Self::PlatformOut, Self::PlatformAnswersLost, Self::RouterFrozen];

    /// Injects the fault for `FAULT_DURATION` and records when it started and ended.
    pub(super) async fn inject(
        self,
        run: &ConfigureRun,
        fleet: &mut LocalFleet,
        router: usize,
    ) -> Result<(), Report<TaskError>> {
        let started_at = run.now();
        self.start(fleet, router).await?;
        tokio::time::sleep(FAULT_DURATION).await;
        self.stop(fleet, router).await?;
        let finished_at = run.now();
        println!(
            "{self:?} (drawn router {router}) from {} to {} ms",
            started_at.0 / 1000,
            finished_at.0 / 1000
        );
        run.history.borrow_mut().faults.push(FaultSpan { started_at, finished_at });
        Ok(())
    }

    async fn start(self, fleet: &mut LocalFleet, router: usize) -> Result<(), Report<TaskError>> {
        let faults = match self {
            Self::RouterKilled => {
                fleet.routers[router].process = None;
                return Ok(());
            }
            Self::RouterFrozen => {
                fleet.routers[router].process.iter().for_each(|process| process.freeze());
                return Ok(());
            }
            Self::PlatformOut => FaultSet { refuse: true, ..FaultSet::default() },
            Self::PlatformAnswersLost => FaultSet { lose_answers: u32::MAX, ..FaultSet::default() },
        };
        fleet.set_faults(fleet.platform, &faults).await.change_context(TaskError)
    }

    async fn stop(self, fleet: &mut LocalFleet, router: usize) -> Result<(), Report<TaskError>> {
        match self {
            Self::RouterKilled => fleet.start_router(router).change_context(TaskError),
            Self::RouterFrozen => {
                fleet.routers[router].process.iter().for_each(|process| process.resume());
                Ok(())
            }
            Self::PlatformOut | Self::PlatformAnswersLost => {
                let faults = FaultSet::default();
                fleet.set_faults(fleet.platform, &faults).await.change_context(TaskError)
            }
        }
    }
}
