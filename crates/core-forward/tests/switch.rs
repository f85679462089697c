//! Without queueing, routers decide as they did before they could queue calls.

#[path = "support/fixture.rs"]
mod fixture;
#[path = "support/heartbeats.rs"]
mod heartbeats;

use std::{collections::VecDeque, time::Duration};

use base_types::{ContentDigest, TimePoint, test_cases};
use core_forward::{
    AttemptOutcome, CallKey, CallRate, DispatchStep, ForwardCore, PromptHead, PromptSegment,
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use state_config::RetryRule;

use fixture::{call_head, new_plain_router, new_router_with_attempts, target_entry};
use heartbeats::HeartbeatPlan;

const STEPS: u64 = 1_500;
/// What the inputs of a choice say of speeds while these are not used; commit 730cee9 did not have it.
const DEFAULT_SPEED: &str = ", slowdown: 1.0, comfortable_calls: 64";
/// What a step says of the version that admitted a call, which commit 730cee9 did not have either.
const DETOUR_VERSION: &str = ", version: ConfigVersion(1)";
const OUTCOMES: [AttemptOutcome; 5] = [
    AttemptOutcome::Completed,
    AttemptOutcome::Completed,
    AttemptOutcome::Declined,
    AttemptOutcome::Unsent,
    AttemptOutcome::Failed,
];

fn prompt(random: &mut StdRng) -> PromptHead {
    let mut segment = |ids| PromptSegment {
        id: random.random_range(0..ids),
        tokens: random.random_range(1..9_000),
    };
    let segments = vec![segment(20), segment(1_000_000)];
    let input_tokens = segments.iter().map(|segment| segment.tokens).sum();
    PromptHead { input_tokens, output_tokens: 100, segments }
}

/// Digest of all decisions of three routers on calls to targets that are mostly full, some of which
/// fail or name limits.
fn decisions(mut routers: Vec<ForwardCore>, has_prompts: bool) -> u64 {
    let mut random = StdRng::seed_from_u64(7);
    let heartbeats = HeartbeatPlan { steps_per_heartbeat: 10, lost_share: 0.1 };
    let mut running: VecDeque<(usize, CallKey)> = VecDeque::new();
    let mut text = String::new();
    for router in &mut routers {
        router.list_targets(TimePoint(0), (0..4).map(|index| target_entry(index, 1)).collect());
    }
    for step in 0..STEPS {
        let now = TimePoint(0).after(Duration::from_millis(10) * step as u32);
        heartbeats.exchange(now, step, &mut routers, &mut random);
        let index = random.random_range(0..routers.len());
        let head = call_head(now, step, has_prompts.then(|| prompt(&mut random)));
        let core = &mut routers[index];
        let call = core.admit(now, head, ContentDigest(u128::from(step))).expect("admitted").call;
        running.push_back((index, call));
        let mut next = Some((index, call));
        while let Some((index, call)) = next.take() {
            let core = &mut routers[index];
            let step = core.dispatch(now, call);
            text += &format!("{step:?}\n").replace(DEFAULT_SPEED, "").replace(DETOUR_VERSION, "");
            match step {
                DispatchStep::Send(attempt) if random.random_bool(0.05) => {
                    core.on_rate_limit(now, attempt.target, CallRate::from_per_second(2.0));
                }
                DispatchStep::Refuse(_) => core.finish(call),
                _ => {}
            }
            if running.len() > 300 {
                let outcome = OUTCOMES[random.random_range(0..OUTCOMES.len())];
                let (index, call) = running.pop_front().expect("a call");
                routers[index].on_response_started(now, call);
                routers[index].on_attempt_finished(now, call, outcome);
                if outcome == AttemptOutcome::Completed {
                    routers[index].finish(call);
                } else {
                    next = Some((index, call));
                }
            }
        }
    }
    policy_routing::stable_hash(text.as_bytes())
}

/// The digest is that of commit 730cee9, which sends each admitted call at once. Guards against
/// decisions that change although queueing is off.
fn check_unchanged(is_plain: bool, expected: u64) {
    let routers = (0..3).map(|index| match is_plain {
        true => new_plain_router(TimePoint(0), index),
        false => new_router_with_attempts(TimePoint(0), index, 1, RetryRule::ResumableStream, 3),
    });
    let digest = decisions(routers.collect(), !is_plain);
    assert_eq!(digest, expected, "{digest:#x}");
}

test_cases! {
    check_unchanged:
    calls_to_engines_are_sent_as_before(false, 0x3234_a064_acab_f8ae);
    calls_to_plain_targets_are_sent_as_before(true, 0x7101_3287_c63b_3e1d);
}
