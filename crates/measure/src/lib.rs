//! Drives the routers' real decision code over small fake engines in virtual time from a seed.
//!
//! It models decisions, not machines: an engine is a prefix cache, a number of slots and a service
//! time by tokens. Every router has its own late view of the others' load.

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
    engine::{EngineLoad, FakeEngine, PromptParts},
    figures::{RunFigures, TimeShare},
    plan::{FaultKind, FaultPlan, ModuleSetting, PolicyKind, ScenarioPlan, TraceShape},
    plot::{CurvePoint, render_curve},
    run::run_scenario,
    suite::{REUSE_FIRST, SKEW_FIRST, SuiteError, run_suite, scenarios},
};
