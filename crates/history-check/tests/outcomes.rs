//! Seeded simulations of the production core and ledger under faults, in virtual time and without
//! sockets.
//!
//! Each deliberate defect shows that the check which guards against it can fail.

mod outcomes {
    pub(crate) mod faults;
    pub(crate) mod platform;
    pub(crate) mod router;
    pub(crate) mod world;
}

use base_types::test_cases;
use history_check::{CallViolation, HistoryChecker};

use outcomes::{
    faults::{Defect, FaultPlan},
    world::{Simulation, SimulationReport},
};

const SEEDS: u64 = 1500;
const DEFECT_SEEDS: u64 = 400;

fn simulate(plan: FaultPlan, defect: Defect, seed: u64) -> (Vec<CallViolation>, SimulationReport) {
    let report = Simulation::new(plan, defect, seed).run();
    let checker = HistoryChecker::default();
    let checker =
        if plan.guarantees_order() { checker.with_linearizability_check() } else { checker };
    (checker.check(&report.history), report)
}

fn check_without_defect(plan: FaultPlan) {
    let (mut completed, mut executions) = (0, 0);
    for seed in 0..SEEDS {
        let (violations, report) = simulate(plan, Defect::None, seed);
        assert_eq!(violations, [], "seed {seed}");
        assert_eq!(report.unreleased_claims, [], "seed {seed}");
        assert_eq!(report.unfinished, 0, "seed {seed}");
        completed += report.completed();
        executions += report.history.executions.len();
    }
    assert!(
        completed > 0 && executions > 0,
        "no call completed or no request was executed under this plan"
    );
}

test_cases! {
    check_without_defect:
    no_faults(FaultPlan::NO_FAULTS);
    lost_platform_answers_and_late_effects(FaultPlan::LOST_ANSWERS);
    targets_lost_and_unreachable(FaultPlan::TARGETS_LOST);
    routers_paused(FaultPlan::PAUSES);
    routers_killed(FaultPlan::KILLS);
    platform_outage(FaultPlan::OUTAGE);
    all_faults_at_once(FaultPlan::ALL);
}

fn check_defect_found(
    plan: FaultPlan,
    defect: Defect,
    expected: fn(&[CallViolation], &SimulationReport) -> bool,
) {
    let found = (0..DEFECT_SEEDS).any(|seed| {
        let (violations, report) = simulate(plan, defect, seed);
        expected(&violations, &report)
    });
    assert!(found, "none of the seeds exposes the defect {defect:?}");
}

fn has_violation(violations: &[CallViolation], kind: fn(Box<str>) -> CallViolation) -> bool {
    violations.iter().any(|found| {
        let (CallViolation::RunTwice(name)
        | CallViolation::NotRunButRun(name)
        | CallViolation::CompletedNotRun(name)
        | CallViolation::AnswerForeign(name)
        | CallViolation::ContentForeign(name)
        | CallViolation::NotLinearizable(name)) = found;
        *found == kind(name.clone())
    })
}

test_cases! {
    check_defect_found:
    dispatch_before_the_claim_is_confirmed(
        FaultPlan::LOST_ANSWERS, Defect::DispatchBeforeConfirmation, |found, _| has_violation(found, CallViolation::RunTwice));
    a_request_retried_after_it_was_sent(
        FaultPlan::TARGETS_LOST, Defect::RetryAfterSend, |found, _| has_violation(found, CallViolation::RunTwice));
    a_lost_answer_reported_as_not_run(
        FaultPlan::TARGETS_LOST, Defect::RetryAfterSend, |found, _| has_violation(found, CallViolation::NotRunButRun));
    a_platform_that_ignores_conditions(
        FaultPlan::NO_FAULTS, Defect::IgnoredConditions, |found, _| has_violation(found, CallViolation::RunTwice));
    an_answer_given_to_another_caller(
        FaultPlan::NO_FAULTS, Defect::SwappedAnswers, |found, _| has_violation(found, CallViolation::AnswerForeign));
    an_answer_given_before_it_is_recorded(
        FaultPlan::NO_FAULTS, Defect::DeliveryBeforeRecord, |found, _| has_violation(found, CallViolation::NotLinearizable));
    a_release_skipped_while_its_claim_is_pending(
        FaultPlan::LOST_ANSWERS, Defect::SkippedRelease, |_, report| !report.unreleased_claims.is_empty());
    an_unconfirmed_claim_that_is_abandoned(
        FaultPlan::LOST_ANSWERS, Defect::AbandonedClaim, |_, report| !report.unreleased_claims.is_empty());
}
