//! Calls whose tokens exceed the cache of an engine go to another engine with room. Guards against
//! engines that crash because the calls that they hold exceed their memory.

#[path = "support/fixture.rs"]
mod fixture;

use base_types::{ContentDigest, TimePoint, test_cases};
use core_forward::{CallKey, DispatchStep, ForwardCore, PromptHead, PromptSegment};

use fixture::{call_head, new_memory_router, target_entry, target_index};

/// Three calls of this prompt and answer fit into the cache of 700,000 tokens.
const PROMPT_TOKENS: u32 = 100_000;
const OUTPUT_TOKENS: u32 = 100_000;

fn router(index: u16, is_guarded: bool) -> ForwardCore {
    let mut core = new_memory_router(TimePoint(0), index, is_guarded);
    core.list_targets(TimePoint(0), (0..2).map(|index| target_entry(index, 1)).collect());
    core
}

/// Sends a call whose prompt is cached by the engine of the first call; returns the engine's index.
fn send(core: &mut ForwardCore, id: u64) -> (CallKey, usize) {
    let now = TimePoint(id * 1_000_000);
    let segments = vec![PromptSegment { id: 7, tokens: PROMPT_TOKENS }];
    let prompt = PromptHead { input_tokens: PROMPT_TOKENS, output_tokens: OUTPUT_TOKENS, segments };
    let head = call_head(now, id, Some(prompt));
    let call = core.admit(now, head, ContentDigest(u128::from(id))).expect("admitted").call;
    let DispatchStep::Send(attempt) = core.dispatch(now, call) else { panic!("not sent") };
    core.on_response_started(now, call);
    (call, target_index(attempt.address))
}

/// Sends calls one after the other; `peer_calls` of the holder's calls are another router's. Returns how
/// many calls the holder of the prompt gets, and how many the other engine gets.
fn check_placement(is_guarded: bool, peer_calls: u64, calls: u64, expected: (usize, usize)) {
    let mut core = router(0, is_guarded);
    let (first_call, holder) = send(&mut core, 1);
    if peer_calls > 0 {
        let mut peer = router(1, is_guarded);
        let heartbeat = core.next_heartbeat(TimePoint(1_500_000));
        peer.on_heartbeat(TimePoint(1_500_000), heartbeat);
        for id in 0..peer_calls {
            assert_eq!(send(&mut peer, 2 + id).1, holder, "the peer follows the prompt");
        }
        let now = TimePoint(5_000_000);
        let heartbeat = peer.next_heartbeat(now);
        core.on_heartbeat(now, heartbeat);
    }
    let engines: Vec<usize> = (6..6 + calls - 1).map(|id| send(&mut core, id).1).collect();
    let at_holder = 1 + engines.iter().filter(|engine| **engine == holder).count();
    assert_eq!((at_holder, 1 + engines.len() - at_holder), expected, "{engines:?}");
    core.finish(first_call);
    if is_guarded && expected == (3, 0) {
        assert_eq!(send(&mut core, 20).1, holder, "an ended call gives back its room");
    }
}

test_cases! {
    check_placement:
    without_the_guard_calls_follow_their_prompt(false, 0, 6, (6, 0));
    calls_stay_with_their_prompt_while_they_fit(true, 0, 3, (3, 0));
    a_call_that_exceeds_the_cache_goes_elsewhere(true, 0, 4, (3, 1));
    calls_are_sent_although_no_engine_has_room(true, 0, 9, (5, 4));
    calls_of_other_routers_count_with_the_mean_size(true, 2, 3, (1, 2));
    without_the_guard_calls_of_other_routers_do_not_count(false, 2, 3, (3, 0));
}

/// Calls without stated tokens are placed as without the guard.
#[test]
fn calls_of_unknown_size_are_placed_as_before() {
    let place = |is_guarded: bool| -> Vec<usize> {
        let mut core = router(0, is_guarded);
        let ids = 1..40u64;
        let engines = ids.map(|id| {
            let now = TimePoint(id * 1_000);
            let head = call_head(now, id, None);
            let digest = ContentDigest(u128::from(id));
            let call = core.admit(now, head, digest).expect("admitted").call;
            let DispatchStep::Send(attempt) = core.dispatch(now, call) else { panic!("not sent") };
            if id % 3 == 0 {
                core.finish(call);
            }
            target_index(attempt.address)
        });
        engines.collect()
    };
    assert_eq!(place(true), place(false));
}
