//! Property test of the fair queue against a reference model that keeps every request.

use std::collections::BTreeMap;

use base_types::{AccountName, RequestKey, TimePoint};
use policy_admission::{FairQueue, QueuedRequest};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

#[derive(Debug, Clone, Copy)]
enum Step {
    Push { account: usize, tokens: u32, wait: u64 },
    Pop,
    Expire(u64),
    Remove(usize),
}

/// Reference model: the time, and the number of requests pushed so far.
#[derive(Debug, Clone, Default)]
struct Oracle {
    now: u64,
    pushed: u128,
}

impl ReferenceStateMachine for Oracle {
    type State = Self;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self::default()).boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Step> {
        prop_oneof![
            6 => (0..4usize, 0..500u32, 1..50u64)
                .prop_map(|(account, tokens, wait)| Step::Push { account, tokens, wait }),
            3 => Just(Step::Pop),
            1 => (1..20u64).prop_map(Step::Expire),
            1 => (0..200usize).prop_map(Step::Remove),
        ]
        .boxed()
    }

    fn apply(mut state: Self, step: &Step) -> Self {
        match step {
            Step::Push { .. } => state.pushed += 1,
            Step::Expire(span) => state.now += span,
            Step::Pop | Step::Remove(_) => {}
        }
        state
    }
}

#[derive(Default)]
struct QueueTest {
    queue: FairQueue,
    waiting: BTreeMap<RequestKey, (usize, u64)>,
}

fn account(index: usize) -> AccountName {
    AccountName::new(&format!("account-{index}"))
}

impl StateMachineTest for QueueTest {
    type SystemUnderTest = Self;
    type Reference = Oracle;

    fn init_test(_: &Oracle) -> Self {
        Self::default()
    }

    fn apply(mut sut: Self, state: &Oracle, step: Step) -> Self {
        match step {
            Step::Push { account: index, tokens, wait } => {
                let request = RequestKey(state.pushed);
                let deadline = TimePoint(state.now + wait);
                let queued = QueuedRequest { request, account: account(index), tokens, deadline };
                if sut.queue.push(queued).is_ok() {
                    sut.waiting.insert(request, (index, deadline.0));
                }
            }
            Step::Pop => {
                let popped = sut.queue.pop();
                assert_eq!(popped.is_some(), !sut.waiting.is_empty());
                let Some(popped) = popped else { return sut };
                let (index, _) = sut.waiting.remove(&popped.request).expect("popped twice");
                let earlier = sut.waiting.range(..popped.request);
                let overtaken = earlier.filter(|(_, (other, _))| *other == index).count();
                assert_eq!(overtaken, 0, "an account's requests keep their order");
            }
            Step::Expire(_) => {
                while let Some(request) = sut.queue.pop_expired(TimePoint(state.now)) {
                    let (_, deadline) = sut.waiting.remove(&request).expect("expired twice");
                    assert!(deadline <= state.now);
                }
                assert!(sut.waiting.values().all(|(_, deadline)| *deadline > state.now));
            }
            Step::Remove(index) => {
                let known = sut.waiting.keys().nth(index).copied();
                let request = known.unwrap_or(RequestKey(u128::MAX));
                let removed = sut.queue.remove(request).map(|queued| queued.request);
                assert_eq!(removed, known);
                sut.waiting.remove(&request);
            }
        }
        sut
    }

    fn check_invariants(sut: &Self, _: &Oracle) {
        assert_eq!(sut.queue.len(), sut.waiting.len());
        for index in 0..4 {
            let length = sut.waiting.values().filter(|(other, _)| *other == index).count();
            assert!(length <= 64);
        }
        let first = sut.queue.peek().map(|queued| queued.request);
        assert_eq!(first.is_some(), !sut.waiting.is_empty());
    }
}

prop_state_machine! {
    #[test]
    fn no_request_is_lost_or_popped_twice(sequential 1..300 => QueueTest);
}

#[test]
fn a_light_account_overtakes_a_heavy_one() {
    let mut queue = FairQueue::default();
    let push = |queue: &mut FairQueue, number, index| {
        let deadline = TimePoint(1_000_000);
        let account = account(index);
        let queued = QueuedRequest { request: RequestKey(number), account, tokens: 100, deadline };
        queue.push(queued)
    };
    let accepted = (0..100).filter(|number| push(&mut queue, *number, 0).is_ok()).count();
    assert_eq!(accepted, 64);
    assert!(queue.pop().is_some());
    push(&mut queue, 1000, 1).unwrap();
    let order: Vec<_> = (0..3).filter_map(|_| queue.pop()).map(|next| next.request.0).collect();
    assert!(order[..2].contains(&1000), "the light account waits behind {order:?}");
}
