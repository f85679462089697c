//! Simulates the routers' production decision code over small fake engines, in virtual time and
//! from a seed.
//!
//! The simulation models decisions, not machines: an engine consists of a prefix cache, a number of
//! slots and a service time that depends on token counts. Each router has its own delayed view of
//! its peers' load.

mod baseline;
mod engine;
mod figures;
mod fleet;
mod plan;
mod plot;
mod run;
mod suite;
mod trace;

pub use crate::{
    engine::{EngineLoad, FakeEngine, PromptSegments},
    figures::{Quantiles, RunFigures},
    plan::{FleetChange, ModuleSettings, PolicyKind, ScenarioPlan, ScheduledFault, WorkloadShape},
    plot::{CurvePoint, render_curve},
    run::run_scenario,
    suite::{REUSE_FIRST, SKEW_FIRST, SuiteError, run_suite, scenarios},
};
