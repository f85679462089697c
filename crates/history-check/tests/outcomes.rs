//! Seeded runs of the real core and ledger under faults, in virtual time and without sockets.
//!
//! Each broken variant shows that the check which guards against it can fail.

mod outcomes {
    pub(crate) mod faults;
    pub(crate) mod platform;
    pub(crate) mod router;
    pub(crate) mod world;
}

use base_types::test_cases;
use history_check::{HistoryChecker, Violation};

use outcomes::{
    faults::{Defect, FaultPlan},
    world::{World, WorldReport},
};

const SEEDS: u64 = 1500;
const DEFECT_SEEDS: u64 = 400;

fn violations(plan: FaultPlan, defect: Defect, seed: u64) -> (Vec<Violation>, WorldReport) {
    let report = World::new(plan, defect, seed).run();
    let checker = HistoryChecker::default();
    let checker = if plan.keeps_order() { checker.ordered() } else { checker };
    (checker.check(&report.history), report)
}

fn check_sound(plan: FaultPlan) {
    let (mut completed, mut runs) = (0, 0);
    for seed in 0..SEEDS {
        let (violations, report) = violations(plan, Defect::None, seed);
        assert_eq!(violations, [], "seed {seed}");
        assert_eq!(report.stranded, [], "seed {seed}");
        assert_eq!(report.unfinished, 0, "seed {seed}");
        completed += report.completed();
        runs += report.history.runs.len();
    }
    assert!(completed > 0 && runs > 0, "the plan lets nothing through");
}

test_cases! {
    check_sound:
    quiet(FaultPlan::QUIET);
    lost_platform_answers_and_late_effects(FaultPlan::LOST_ANSWERS);
    targets_lost_and_unreachable(FaultPlan::TARGETS_LOST);
    owners_paused(FaultPlan::PAUSES);
    routers_killed(FaultPlan::KILLS);
    platform_out(FaultPlan::OUTAGE);
    all_faults_at_once(FaultPlan::ALL);
}

fn check_broken(plan: FaultPlan, defect: Defect, expected: fn(&[Violation], &WorldReport) -> bool) {
    let found = (0..DEFECT_SEEDS).any(|seed| {
        let (violations, report) = violations(plan, defect, seed);
        expected(&violations, &report)
    });
    assert!(found, "no seed shows the defect {defect:?}");
}

fn has(violations: &[Violation], kind: fn(Box<str>) -> Violation) -> bool {
    violations.iter().any(|found| {
        let (Violation::RunTwice(name)
        | Violation::NotRunButRun(name)
        | Violation::CompletedNotRun(name)
        | Violation::AnswerForeign(name)
        | Violation::ContentForeign(name)
        | Violation::NotLinearizable(name)) = found;
        *found == kind(name.clone())
    })
}

test_cases! {
    check_broken:
    dispatch_before_the_claim_is_confirmed(
        FaultPlan::LOST_ANSWERS, Defect::UnconfirmedDispatch, |found, _| has(found, Violation::RunTwice));
    a_call_repeated_after_it_was_sent(
        FaultPlan::TARGETS_LOST, Defect::RepeatAfterSend, |found, _| has(found, Violation::RunTwice));
    not_run_said_of_a_lost_answer(
        FaultPlan::TARGETS_LOST, Defect::RepeatAfterSend, |found, _| has(found, Violation::NotRunButRun));
    a_platform_that_ignores_conditions(
        FaultPlan::QUIET, Defect::IgnoredConditions, |found, _| has(found, Violation::RunTwice));
    an_answer_given_to_another_caller(
        FaultPlan::QUIET, Defect::SwappedAnswers, |found, _| has(found, Violation::AnswerForeign));
    an_answer_given_before_it_is_recorded(
        FaultPlan::QUIET, Defect::AnswerBeforeRecord, |found, _| has(found, Violation::NotLinearizable));
    a_release_that_races_its_claim(
        FaultPlan::LOST_ANSWERS, Defect::RacingRelease, |_, report| !report.stranded.is_empty());
    an_unconfirmed_claim_forgotten(
        FaultPlan::LOST_ANSWERS, Defect::ForgottenClaim, |_, report| !report.stranded.is_empty());
}
