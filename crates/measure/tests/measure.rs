//! Checks that the result of a run depends only on its plan and policy, and how engines cache and
//! queue requests.

use std::time::Duration;

use base_types::{AttemptKey, test_cases};
use measure::{
    FakeEngine, FleetChange, ModuleSettings, PolicyKind, PromptSegments, ScenarioPlan,
    ScheduledFault, run_scenario,
};

const MODULE: PolicyKind =
    PolicyKind::Module(ModuleSettings { max_load_ratio: 1.5, reuse_bias: 0.5 });

fn small_plan() -> ScenarioPlan {
    ScenarioPlan {
        targets: 4,
        in_flight: 4,
        slots: 16,
        warm_up: Duration::from_secs(5),
        measured_duration: Duration::from_secs(10),
        faults: vec![
            ScheduledFault { at: Duration::from_secs(6), kind: FleetChange::Down(1) },
            ScheduledFault { at: Duration::from_secs(8), kind: FleetChange::Up(1) },
            ScheduledFault { at: Duration::from_secs(9), kind: FleetChange::Drain(2) },
        ],
        ..ScenarioPlan::agency(3)
    }
}

fn check_run(policy: PolicyKind) {
    let figures = run_scenario(&small_plan(), policy);
    assert_eq!(figures, run_scenario(&small_plan(), policy));
    assert!(figures.completed > 0);
    assert!(figures.reuse > 0.0 && figures.reuse < 1.0);
    assert!(figures.skew.p50 >= 1.0 && figures.skew.p99 >= figures.skew.p50);
    assert!(figures.attempts >= figures.completed);
}

test_cases! {
    check_run:
    random(PolicyKind::Random);
    round_robin(PolicyKind::RoundRobin);
    least_loaded(PolicyKind::LeastLoaded);
    power_of_two(PolicyKind::PowerOfTwo);
    rendezvous(PolicyKind::Rendezvous);
    module(MODULE);
}

fn prompt(chat: u64, chat_tokens: u32) -> PromptSegments {
    PromptSegments { chat, group: 1, group_tokens: 100, chat_tokens, answer_tokens: 10 }
}

/// Runs prompts one after the other and checks how many of their tokens are found in the cache.
fn check_cache(cache_tokens: u64, prompts: &[(u64, u32)], cached: u64) {
    let mut engine = FakeEngine::new(1, cache_tokens);
    for (index, (chat, chat_tokens)) in prompts.iter().enumerate() {
        let attempt = AttemptKey(index as u128);
        assert!(engine.submit(attempt, prompt(*chat, *chat_tokens)).is_some());
        assert!(engine.finish(attempt).is_none());
    }
    assert_eq!(engine.cached_tokens, cached);
}

test_cases! {
    check_cache:
    the_first_prompt_is_not_cached(1000, &[(1, 20)], 0);
    another_chat_shares_the_group(1000, &[(1, 20), (2, 20)], 100);
    a_returning_chat_finds_its_history(1000, &[(1, 20), (1, 40)], 130);
    an_old_chat_is_evicted(150, &[(1, 20), (2, 20), (1, 40)], 200);
    a_prompt_larger_than_the_cache_is_not_cached(50, &[(1, 20), (1, 40)], 0);
}

#[test]
fn a_request_beyond_the_slots_waits() {
    let mut engine = FakeEngine::new(1, 1000);
    assert!(engine.submit(AttemptKey(1), prompt(1, 20)).is_some());
    assert!(engine.submit(AttemptKey(2), prompt(2, 20)).is_none());
    assert_eq!(engine.load().in_flight, 2);
    let started = engine.finish(AttemptKey(1)).unwrap();
    assert_eq!(started.attempt, AttemptKey(2));
}
