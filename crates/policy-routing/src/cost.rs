//! Cost-based target choice.
//!
//! The cost of a target adds up the prompt tokens that it would have to prefill, the tokens that it
//! could fetch from another engine instead, the calls it already has in flight and its recent
//! failure rate. Work on a target that is slower than its pool costs more in proportion, and calls count
//! as queued from the number that the target takes well. The unit of cost is the time that prefilling
//! one thousand prompt tokens takes.

use base_types::{TargetKey, message_types};

/// Cost of prefilling one prompt token.
const PREFILL_COST: f64 = 0.001;

/// Cost of fetching one cached prompt token from another engine. A transfer takes about a seventh
/// of the prefill time, and the copy evicts other cached segments of the engine.
const FETCH_COST: f64 = 0.000_3;

/// Cost of each call in flight above the least loaded target.
const LOAD_COST: f64 = 0.05;

/// Cost of each call beyond those that the target takes well, which are its slots unless less is known.
/// A slot becomes free after about 80 ms, in which an engine prefills 4,000 tokens alongside other work.
const QUEUEING_COST: f64 = 4.0;

/// Cost of a failed call that can be retried on another target; multiplied by the target's excess
/// failure rate.
const RETRYABLE_FAILURE_COST: f64 = 3.0;

/// Cost of a failed call that cannot be retried; multiplied by the target's excess failure rate.
const FINAL_FAILURE_COST: f64 = 10.0;

/// Failure rate that is not held against a target, because some calls fail on any target.
const BASELINE_FAILURE_RATE: f64 = 0.08;

/// Fraction of the prompt tokens with no known holder that the home target is presumed to have
/// cached.
const PRESUMED_HOME_FRACTION: f64 = 0.3;

/// Smallest number of tokens worth fetching; below it the set-up of a fetch takes longer than the
/// prefill it saves.
const FETCH_TOKENS_MIN: u32 = 256;

/// Calls added to the load bound; without it, a small difference in load would put targets of small
/// or idle pools at the bound.
const LOAD_BOUND_SLACK: f64 = 1.0;

message_types! {
    /// State of one target that the cost is computed from.
    #[derive(Copy)]
    pub struct CostView {
        /// Key of the target.
        pub target: TargetKey,
        /// Calls of all routers in flight on the target.
        pub load: u32,
        /// Calls that the target can run concurrently.
        pub slots: u32,
        /// Prompt tokens of this router's calls in flight that the target has not prefilled yet.
        pub queued_prefill_tokens: u64,
        /// Leading prompt tokens of the call that the target has cached or is about to prefill for
        /// another call.
        pub cached_tokens: u32,
        /// Leading prompt tokens that other engines can fetch from the target now.
        pub fetchable_tokens: u32,
        /// Rendezvous score of the target for the call's longest segment; the target with the
        /// highest score is the home.
        pub home_score: f64,
        /// Recent failure rate, 0 to 1; older outcomes weigh less.
        pub failure_rate: f64,
        /// Time that work takes on the target as a multiple of the pool's median; 1 if unknown.
        pub slowdown: f64,
        /// Calls that the target takes at once without slowing down; its slots if unknown.
        pub comfortable_calls: u32,
        /// Whether the target is ejected after a failure, so that other targets are preferred.
        pub ejected: bool,
        /// Whether a recent connection attempt to the target failed, so that other targets are
        /// preferred and other engines cannot fetch from it.
        pub unreachable: bool,
        /// Whether the target's cache has no room for the call beside those in flight, so that other
        /// targets are preferred.
        pub lacks_memory: bool,
        /// Whether the target takes no new calls or was already attempted for this call; other
        /// engines may still fetch from it.
        pub excluded: bool,
    }

    /// The chosen target with the inputs of the decision.
    #[derive(Copy)]
    pub struct CostChoice {
        /// Key of the target.
        pub target: TargetKey,
        /// Target to fetch cached segments from; `None` when fetching does not pay off.
        pub fetch_from: Option<TargetKey>,
        /// Leading prompt tokens that the target has cached, without those it fetches.
        pub cached_tokens: u32,
        /// Prompt tokens that the target prefills: neither cached nor fetched, nor presumed cached.
        pub prefill_tokens: u32,
        /// Cost of the call on the target, in thousands of prefilled prompt tokens.
        pub cost: f64,
        /// Calls of all routers in flight on the target before this one.
        pub load: u32,
        /// Mean number of calls in flight over the targets that are not excluded.
        pub mean_load: f64,
        /// Number of targets that are not excluded.
        pub candidates: u32,
        /// Slowdown of the target.
        pub slowdown: f64,
        /// Calls that the target takes well.
        pub comfortable_calls: u32,
    }

    /// A call that needs a target.
    #[derive(Copy)]
    pub struct CostQuery {
        /// Tokens of the call's prompt; zero where the pool has no engines.
        pub prompt_tokens: u32,
        /// Multiple of the mean load above which other reachable targets are preferred.
        pub load_ratio_max: f64,
        /// Whether the call may be retried on another target when an attempt fails.
        pub retryable: bool,
        /// Hash that is uniform over calls; breaks ties between equal costs.
        pub salt: u64,
    }
}

/// Chooses the target with the lowest cost; `None` when every target is excluded.
///
/// Targets are ranked in groups, and by cost within a group: reachable before unreachable, below
/// the load bound before at the bound, with room in the cache before without, then healthy before
/// ejected. As the bound takes precedence
/// over ejection, the remaining targets are not overloaded when many are ejected.
pub fn choose_cheapest(query: &CostQuery, views: &[CostView]) -> Option<CostChoice> {
    let candidates = views.iter().filter(|view| !view.excluded).count() as u32;
    let mean_load = mean_load_of(views);
    let bound = mean_load * query.load_ratio_max + LOAD_BOUND_SLACK;
    let least = views.iter().filter(|view| !view.excluded).map(|view| view.load).min()?;
    let source = best_fetch_source(query, views);
    let failure_cost = if query.retryable { RETRYABLE_FAILURE_COST } else { FINAL_FAILURE_COST };
    let mut best: Option<(CostRank, CostChoice)> = None;
    for (index, view) in views.iter().enumerate() {
        if view.excluded {
            continue;
        }
        let fetch = source.filter(|source| {
            source.target != view.target && source.tokens >= view.cached_tokens + FETCH_TOKENS_MIN
        });
        let self_source = source.filter(|source| source.target == view.target);
        let cached_tokens = fetch
            .or(self_source)
            .map_or(view.cached_tokens, |source| source.tokens.max(view.cached_tokens));
        let prefill_tokens = query.prompt_tokens.saturating_sub(cached_tokens);
        let fetched_tokens = fetch.map_or(0, |source| source.tokens - view.cached_tokens);
        let calls = view.load.saturating_add(1);
        // The calls below the least load cost nothing on targets of equal speed. On a slower one they do,
        // as otherwise an idle slow target would be as cheap as an idle fast one.
        let excess_load =
            f64::from(view.load.saturating_sub(least)) + (view.slowdown - 1.0) * f64::from(calls);
        let cost = PREFILL_COST * f64::from(prefill_tokens) * view.slowdown
            + FETCH_COST * f64::from(fetched_tokens)
            + PREFILL_COST * view.queued_prefill_tokens as f64 * view.slowdown
            + LOAD_COST * excess_load
            + QUEUEING_COST * f64::from(calls.saturating_sub(view.comfortable_calls))
            + failure_cost * (view.failure_rate - BASELINE_FAILURE_RATE).max(0.0);
        let rank = CostRank {
            unreachable: view.unreachable,
            ejected: view.ejected,
            at_bound: f64::from(view.load) >= bound,
            lacks_memory: view.lacks_memory,
            cost,
            tie_break: tie_break_hash(query.salt, index),
        };
        let choice = CostChoice {
            target: view.target,
            fetch_from: fetch.map(|source| source.target),
            cached_tokens: view.cached_tokens,
            prefill_tokens,
            cost,
            load: view.load,
            mean_load,
            candidates,
            slowdown: view.slowdown,
            comfortable_calls: view.comfortable_calls,
        };
        if best.as_ref().is_none_or(|(previous, _)| rank.precedes(previous)) {
            best = Some((rank, choice));
        }
    }
    best.map(|(_, choice)| choice)
}

/// A target that cached tokens can be fetched from, and their number.
#[derive(Debug, Clone, Copy)]
struct FetchSource {
    target: TargetKey,
    tokens: u32,
}

/// Returns the target from which most of the prompt can be fetched. The home target is presumed to
/// have cached a fraction of the tokens that no target is known to have cached.
fn best_fetch_source(query: &CostQuery, views: &[CostView]) -> Option<FetchSource> {
    let reachable = || views.iter().filter(|view| !view.unreachable);
    let most_fetchable = reachable().max_by_key(|view| view.fetchable_tokens)?;
    let cached_max = reachable().map(|view| view.cached_tokens).max()?;
    let home = reachable().max_by(|left, right| left.home_score.total_cmp(&right.home_score))?;
    let uncached_tokens = query.prompt_tokens.saturating_sub(cached_max);
    let presumed_tokens = home
        .fetchable_tokens
        .saturating_add((f64::from(uncached_tokens) * PRESUMED_HOME_FRACTION) as u32);
    if presumed_tokens > most_fetchable.fetchable_tokens {
        return Some(FetchSource { target: home.target, tokens: presumed_tokens });
    }
    Some(FetchSource { target: most_fetchable.target, tokens: most_fetchable.fetchable_tokens })
}

/// Sort key of a target; the lowest is chosen.
#[derive(Debug, Clone, Copy)]
struct CostRank {
    unreachable: bool,
    ejected: bool,
    at_bound: bool,
    lacks_memory: bool,
    cost: f64,
    tie_break: u64,
}

impl CostRank {
    fn precedes(&self, other: &Self) -> bool {
        let status =
            |rank: &Self| (rank.unreachable, rank.at_bound, rank.lacks_memory, rank.ejected);
        let group = status(self).cmp(&status(other));
        let cost = self.cost.total_cmp(&other.cost);
        group.then(cost).then(self.tie_break.cmp(&other.tie_break)).is_lt()
    }
}

fn mean_load_of(views: &[CostView]) -> f64 {
    let candidates = || views.iter().filter(|view| !view.excluded);
    let total: u64 = candidates().map(|view| u64::from(view.load)).sum();
    total as f64 / candidates().count().max(1) as f64
}

fn tie_break_hash(salt: u64, index: usize) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(&salt.to_le_bytes(), index as u64)
}
