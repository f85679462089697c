//! Choice of a target by what a call would cost on each.
//!
//! The cost of a target is the prompt tokens that it would have to read, the tokens that it could
//! fetch from another engine instead, the calls that it already has and the failures it is known
//! for, in one unit: the time that one thousand prompt tokens take to read.

use base_types::{TargetKey, message_types};

/// Cost of reading one prompt token.
const READ_COST: f64 = 0.001;

/// Cost of fetching one prompt token from another engine: a transfer takes about a seventh of the
/// time of reading, and the copy displaces what the engine holds.
const FETCH_COST: f64 = 0.000_3;

/// Cost of each call that a target has above the least loaded one.
const LOAD_COST: f64 = 0.05;

/// Cost of each call that would wait for a slot; a slot is free again after some 80 ms, in which
/// an engine reads that many thousand tokens beside other work.
const WAIT_COST: f64 = 4.0;

/// Cost of a call that fails and can be repeated elsewhere, weighed with the target's rate of
/// failures.
const FAILURE_COST: f64 = 3.0;

/// Cost of a call that fails and is lost, weighed with the target's rate of failures.
const LOSS_COST: f64 = 10.0;

/// Rate of failures that targets have without a fault of their own, as some calls fail anywhere.
const FAILURE_RATE_USUAL: f64 = 0.08;

/// Share that a prompt's home is presumed to hold of what no target is known to hold.
const HOME_SHARE: f64 = 0.3;

/// Tokens below which a fetch saves less than its set-up takes.
const FETCH_TOKENS_MIN: u32 = 256;

/// Calls that a target may have above the bound on load, so that small pools are not refused.
const BOUND_EXTRA: f64 = 1.0;

message_types! {
    /// What a router knows of one target when it weighs costs.
    #[derive(Copy)]
    pub struct CostView {
        /// Key of the target.
        pub target: TargetKey,
        /// Calls in flight of all routers.
        pub load: u32,
        /// Calls that the target runs at once.
        pub slots: u32,
        /// Prompt tokens of this router's calls that the target has yet to read.
        pub unread: u64,
        /// Leading prompt tokens of the call that the target holds or is about to read.
        pub held: u32,
        /// Leading prompt tokens that others can fetch from the target now.
        pub fetchable: u32,
        /// Rendezvous score of the target for the call's longest part; the highest is its home.
        pub home_score: f64,
        /// Share of calls that failed lately, 0 to 1.
        pub failure_rate: f64,
        /// Whether the target failed just now, so that others go first.
        pub doubtful: bool,
        /// Whether the target took no connection lately, so that others cannot fetch from it.
        pub unreachable: bool,
        /// Whether the target takes no new call, or had this one before.
        pub closed: bool,
    }

    /// The chosen target and what it reads.
    #[derive(Copy)]
    pub struct CostChoice {
        /// Key of the target.
        pub target: TargetKey,
        /// Target to fetch cached parts from.
        pub fetch_from: Option<TargetKey>,
        /// Prompt tokens that the target holds.
        pub held: u32,
        /// Prompt tokens that the target reads itself.
        pub unread: u32,
        /// The cost, in thousands of prompt tokens read.
        pub cost: f64,
        /// Calls that the target had.
        pub load: u32,
        /// Mean calls of the targets that take new calls.
        pub mean_load: f64,
        /// Number of these targets.
        pub open: u32,
    }

    /// A call that needs a target.
    #[derive(Copy)]
    pub struct CostQuery {
        /// Tokens of the call's prompt; zero where the pool has no engines.
        pub prompt_tokens: u32,
        /// Multiple of the mean load that no target may exceed.
        pub load_ratio_max: f64,
        /// Whether the call may be sent again when its target fails.
        pub repeatable: bool,
        /// Uniform over calls; decides between equal costs.
        pub salt: u64,
    }
}

/// Chooses the target with the least cost, or none when every target was tried.
///
/// A target that took no connection goes last, before it those at the bound on load, and before
/// them doubtful ones: where many targets failed lately, the others keep the bound.
pub fn choose_cheapest(query: &CostQuery, views: &[CostView]) -> Option<CostChoice> {
    let open = views.iter().filter(|view| !view.closed).count() as u32;
    let mean = mean_load(views);
    let bound = mean * query.load_ratio_max + BOUND_EXTRA;
    let least = views.iter().filter(|view| !view.closed).map(|view| view.load).min()?;
    let holder = best_holder(query, views);
    let failure_cost = if query.repeatable { FAILURE_COST } else { LOSS_COST };
    let mut best: Option<(CostRank, CostChoice)> = None;
    for (index, view) in views.iter().enumerate() {
        if view.closed {
            continue;
        }
        let fetch = holder.filter(|holder| {
            holder.target != view.target && holder.tokens >= view.held + FETCH_TOKENS_MIN
        });
        let home = holder.filter(|holder| holder.target == view.target);
        let held = fetch.or(home).map_or(view.held, |holder| holder.tokens.max(view.held));
        let unread = query.prompt_tokens.saturating_sub(held);
        let fetched = fetch.map_or(0, |holder| holder.tokens - view.held);
        let cost = READ_COST * f64::from(unread)
            + FETCH_COST * f64::from(fetched)
            + READ_COST * view.unread as f64
            + LOAD_COST * f64::from(view.load.saturating_sub(least))
            + WAIT_COST * f64::from((view.load + 1).saturating_sub(view.slots))
            + failure_cost * (view.failure_rate - FAILURE_RATE_USUAL).max(0.0);
        let rank = CostRank {
            unreachable: view.unreachable,
            doubtful: view.doubtful,
            full: f64::from(view.load) >= bound,
            cost,
            tie: tie_order(query.salt, index),
        };
        let choice = CostChoice {
            target: view.target,
            fetch_from: fetch.map(|holder| holder.target),
            held: view.held,
            unread,
            cost,
            load: view.load,
            mean_load: mean,
            open,
        };
        if best.as_ref().is_none_or(|(former, _)| rank.before(former)) {
            best = Some((rank, choice));
        }
    }
    best.map(|(_, choice)| choice)
}

/// A target that others can fetch from, and how many tokens.
#[derive(Debug, Clone, Copy)]
struct PartsHolder {
    target: TargetKey,
    tokens: u32,
}

/// The target from which most of the prompt can be fetched, when the home is presumed to hold a
/// share of what nobody is known to hold.
fn best_holder(query: &CostQuery, views: &[CostView]) -> Option<PartsHolder> {
    let reachable = || views.iter().filter(|view| !view.unreachable);
    let known = reachable().max_by_key(|view| view.fetchable)?;
    let most = reachable().map(|view| view.held).max()?;
    let home = reachable().max_by(|left, right| left.home_score.total_cmp(&right.home_score))?;
    let unknown = query.prompt_tokens.saturating_sub(most);
    let presumed = home.fetchable.saturating_add((f64::from(unknown) * HOME_SHARE) as u32);
    if presumed > known.fetchable {
        return Some(PartsHolder { target: home.target, tokens: presumed });
    }
    Some(PartsHolder { target: known.target, tokens: known.fetchable })
}

/// Order in which targets are taken.
#[derive(Debug, Clone, Copy)]
struct CostRank {
    unreachable: bool,
    doubtful: bool,
    full: bool,
    cost: f64,
    tie: u64,
}

impl CostRank {
    fn before(&self, other: &Self) -> bool {
        let own = (self.unreachable, self.full, self.doubtful);
        let group = own.cmp(&(other.unreachable, other.full, other.doubtful));
        let cost = self.cost.total_cmp(&other.cost);
        group.then(cost).then(self.tie.cmp(&other.tie)).is_lt()
    }
}

fn mean_load(views: &[CostView]) -> f64 {
    let open = || views.iter().filter(|view| !view.closed);
    let total: u64 = open().map(|view| u64::from(view.load)).sum();
    total as f64 / open().count().max(1) as f64
}

fn tie_order(salt: u64, index: usize) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(&salt.to_le_bytes(), index as u64)
}
