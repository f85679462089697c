//! Order, bounds and cost of the queue of waiting calls.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use base_types::{AccountName, RequestKey, TimePoint, test_cases};
use policy_admission::{
    PoolRoom, STARTS_PER_AGED, ShedReason, WAITING_MAX, WaitingCall, WaitingQueue,
};
use rand::{Rng, SeedableRng, rngs::StdRng};

const FULL: PoolRoom = PoolRoom { places: 64, taken: 64, open: 0, starts_per_s: 100.0 };

fn ms(count: u64) -> TimePoint {
    TimePoint(count * 1_000)
}

fn call(key: u128, rank: u8, account: u32, work: u32, start_by: TimePoint) -> WaitingCall {
    let account = AccountName::new(&format!("account-{account}"));
    WaitingCall { call: RequestKey(key), rank, is_retry: false, account, work, start_by }
}

/// Calls of a queue that is offered `arrivals` of (rank, account, work) in every 10 ms, of which one
/// call starts; `floors` gives the smallest share of all starts for the calls of an arrival. Guards
/// against starvation of a rank, size or account, and against ranks that overtake more urgent ones.
fn check_floors(arrivals: &[(u8, u32, u32)], floors: &[f64]) {
    let mut queue = WaitingQueue::default();
    let mut kinds = BTreeMap::new();
    let mut starts = vec![0_u32; arrivals.len()];
    let mut key = 0;
    for tick in 0..5_000 {
        let now = ms(tick * 10);
        while queue.pop_expired(now).is_some() {}
        for (kind, (rank, account, work)) in arrivals.iter().enumerate() {
            let new = call(key, *rank, *account, *work, now.after(Duration::from_secs(1)));
            if queue.push(now, new, &FULL).is_ok() {
                kinds.insert(RequestKey(key), kind);
            }
            key += 1;
        }
        if let Some(next) = queue.next(now) {
            queue.start(now, next);
            starts[kinds[&next]] += 1;
        }
    }
    let total = f64::from(starts.iter().sum::<u32>());
    for (count, floor) in starts.iter().zip(floors) {
        assert!(f64::from(*count) >= floor * total, "{starts:?} of {arrivals:?}, {floors:?}");
    }
}

/// Share of starts of all aged calls together, with a tenth left for the first second. Groups with
/// aged calls share it.
const FLOOR: f64 = 0.9 / STARTS_PER_AGED as f64;

test_cases! {
    check_floors:
    urgent_calls_go_first_and_others_get_the_floor(&[(0, 0, 10), (3, 1, 10)], &[0.85, FLOOR / 2.0]);
    accounts_get_equal_shares(&[(0, 0, 10), (0, 1, 10)], &[0.45, 0.45]);
    one_account_eightfold_leaves_the_other_its_share(&[(0, 0, 10), (0, 0, 10), (0, 0, 10), (0, 0, 10), (0, 0, 10), (0, 0, 10), (0, 0, 10), (0, 0, 10), (0, 1, 10)], &[0.0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.4]);
    long_prompts_are_not_starved(&[(0, 0, 100), (0, 1, 100), (0, 2, 10_000)], &[0.3, 0.3, FLOOR / 2.0]);
}

/// A full queue refuses calls, but not in favour of less urgent ones. Guards against a queue without
/// bound, and one that less urgent calls fill.
#[test]
fn a_full_queue_gives_a_place_to_more_urgent_calls_only() {
    let mut queue = WaitingQueue::default();
    let room = PoolRoom { starts_per_s: 1e6, ..FULL };
    for key in 0..WAITING_MAX as u128 {
        let pushed = queue.push(ms(0), call(key, 2, key as u32 % 7, 1, ms(1_000)), &room);
        assert_eq!(pushed, Ok(None));
    }
    let push = |queue: &mut WaitingQueue, key, rank| {
        queue.push(ms(0), call(key, rank, 0, 1, ms(1_000)), &room)
    };
    assert_eq!(push(&mut queue, 1_000_000, 2), Err(ShedReason::QueueFull));
    let displaced = push(&mut queue, 1_000_001, 1).expect("queued").expect("a call lost its place");
    assert!(!queue.contains(displaced));
    assert_eq!(queue.len(), WAITING_MAX);
    assert_eq!(queue.next(ms(0)), Some(RequestKey(1_000_001)));
}

/// A call that cannot start in time does not wait, one that was tried before does, and it does not
/// wait behind first attempts.
#[test]
fn only_calls_that_can_start_in_time_wait() {
    let mut queue = WaitingQueue::default();
    let late = |key| call(key, 0, 0, 10, ms(100));
    let results: Vec<_> = (0..30).map(|key| queue.push(ms(0), late(key), &FULL)).collect();
    // At 100 starts a second, 10 calls start within 100 ms.
    assert_eq!(results.iter().filter(|result| result.is_ok()).count(), 10);
    assert_eq!(results[29], Err(ShedReason::NotInTime));
    let retry = WaitingCall { is_retry: true, ..late(100) };
    assert_eq!(queue.push(ms(0), retry, &FULL), Ok(None));
    assert_eq!(queue.next(ms(0)), Some(RequestKey(100)));
}

/// Refused callers return one after the other at the rate at which calls start, urgent ones first.
/// Guards against a crowd that returns at once.
#[test]
fn refused_callers_return_in_the_order_in_which_they_are_served() {
    let mut queue = WaitingQueue::default();
    let mut at = |rank| queue.next_return(ms(0), rank, ms(10_000), &FULL);
    let times: Vec<TimePoint> = [0, 0, 0, 1, 1].map(&mut at).into();
    for pair in times.windows(2) {
        assert_eq!(pair[1].since(pair[0]), Duration::from_millis(10), "{times:?}");
    }
    for _ in 0..10_000 {
        let return_at = at(0);
        assert!(return_at >= ms(50) && return_at <= ms(5_000), "{return_at:?}");
    }
}

/// With 10,000 calls of 200 accounts waiting, a call is queued and another started in less than 1 ms
/// in an unoptimized build: a router with 0.12 of a core starts some ten calls a second, so that this
/// is 1 % of a core. Guards against work for each waiting call.
#[test]
fn ten_thousand_calls_wait_cheaply() {
    let room = PoolRoom { starts_per_s: 5_000.0, ..FULL };
    let mut random = StdRng::seed_from_u64(1);
    let mut queue = WaitingQueue::default();
    let mut new_call = |key| {
        let (rank, account) = (random.random_range(0..4), random.random_range(0..200));
        call(key, rank, account, random.random_range(1..9_000), ms(20_000))
    };
    for key in 0..10_000 {
        queue.push(ms(0), new_call(key), &room).expect("queued");
    }
    let rounds = 2_000_u32;
    let started_at = Instant::now();
    for key in 0..u128::from(rounds) {
        let next = queue.next(ms(1)).expect("a call waits");
        queue.start(ms(1), next);
        queue.push(ms(1), new_call(10_000 + key), &room).expect("queued");
    }
    let time = started_at.elapsed() / rounds;
    println!("{time:?} for one call queued and one started beside 10,000");
    assert_eq!(queue.len(), 10_000);
    assert!(time < Duration::from_millis(1), "{time:?}");
}
