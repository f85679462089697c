//! Target choice by affinity with bounded loads.
//!
//! Each affinity has two home targets, the first two in rendezvous order. When the load of the
//! first home is above a soft threshold, the less loaded home is taken ("power of both choices",
//! Nasir et al., 2015); a new, uncached chat takes the less loaded home whatever the threshold.
//! Both homes have most of a chat's cache, so switching between them costs little. No target
//! exceeds the load bound (consistent hashing with bounded loads, Mirrokni et al., 2016).

use base_types::{PlacementToken, TargetKey, key_types, message_types};

use crate::{rendezvous_score, unit_hash};

/// Average soft threshold of the first home at a reuse bias of 0.5, in standard deviations of a
/// Poisson load above the mean.
const SOFT_THRESHOLD_DEVIATIONS: f64 = 3.0;

/// Smallest value of `1 - reuse_bias`, so that the soft threshold stays finite at a bias of 1.
const BIAS_COMPLEMENT_MIN: f64 = 0.001;

/// Requests that all routers together may add for each request of headroom. Values above 1 allow
/// for routers that do not use their whole credit at the same time.
const CREDIT_OVERCOMMIT_RATIO: f64 = 1.5;

/// Mean load in requests below which credits are not enforced. They are fractions of a request at
/// such loads and would forbid most choices, so only the estimated load is compared with the bound.
const CREDIT_MEAN_LOAD_MIN: f64 = 8.0;

key_types! {
    /// State of one target that the choice is based on.
    pub struct TargetView {
        /// Key of the target.
        pub target: TargetKey,
        /// Hash of the target's name, for rendezvous hashing.
        pub target_hash: u64,
        /// Requests that the target can run concurrently; with zero it is never chosen.
        pub slots: u32,
        /// Requests of this router in flight on the target.
        pub own_in_flight: u32,
        /// Requests of this router in flight on the target in the last load share sent to other
        /// routers.
        pub reported_in_flight: u32,
        /// Requests of other routers in flight on the target, from the load shares received.
        pub peer_in_flight: u32,
        /// Share of the usual load that the target is given, in percent: less than 100 during slow
        /// start, zero when it takes no requests.
        pub weight_percent: u32,
        /// Whether no recent failure counts against the target.
        pub is_healthy: bool,
    }

    /// Position of a router among those that use the same pool.
    pub struct FleetPosition {
        /// Number of these routers, this one included.
        pub routers: u32,
        /// Index of this router among them, sorted by name.
        pub index: u32,
    }

    /// Why a target was chosen.
    pub enum ChoiceReason {
        /// The first home of the affinity was chosen.
        FirstHome,
        /// The second home was chosen; the first was busier and above the soft threshold, or had no
        /// headroom.
        SecondHome,
        /// Another target was chosen, as neither home had headroom.
        OutsideHomes,
    }

    /// The chosen target and the reason.
    pub struct TargetChoice {
        /// Key of the target.
        pub target: TargetKey,
        /// Why it was chosen.
        pub reason: ChoiceReason,
        /// Load bound in requests that applied to targets at full weight.
        pub bound: u32,
    }
}

message_types! {
    /// Inputs of the choice that belong to one request.
    pub struct ChoiceQuery<'query> {
        /// Hash of the chat, prefix group or account by which requests are kept together.
        pub affinity: u64,
        /// Targets that served the chat last; `None` when they are not known.
        pub placement: Option<PlacementToken>,
        /// Whether the chat starts with this request, so that no target has any of it cached.
        pub is_first_turn: bool,
        /// Multiple of the mean load that no target may exceed.
        pub max_load_ratio: f64,
        /// Trade-off between even load (0) and cache reuse (1).
        pub reuse_bias: f64,
        /// Position of this router among those that use the pool.
        pub position: FleetPosition,
        /// Targets already attempted for this request.
        pub attempted_targets: &'query [TargetKey],
    }
}

impl TargetView {
    /// Estimated requests of all routers in flight on the target.
    pub fn load(&self) -> u32 {
        self.own_in_flight.saturating_add(self.peer_in_flight)
    }

    /// Returns how many requests this router may have in flight on the target until the next load
    /// shares arrive.
    ///
    /// The headroom below the bound, as last reported, is divided among the routers. Each credit
    /// left over goes to one router, starting at an index that differs by target. Routers that do
    /// not see each other's latest requests keep the bound together this way, as not all use their
    /// full credit at once.
    fn credit_limit(&self, limits: &LoadLimits) -> u32 {
        let position = limits.position;
        let routers = position.routers.max(1);
        let headroom = limits
            .bound_for(self)
            .saturating_sub(self.reported_in_flight.saturating_add(self.peer_in_flight));
        let credits = (f64::from(headroom) * CREDIT_OVERCOMMIT_RATIO) as u32;
        let offset = (self.target_hash % u64::from(routers)) as u32;
        let credit_order = (position.index + offset) % routers;
        let remainder_credit = u32::from(credit_order < credits % routers);
        self.reported_in_flight.saturating_add(credits / routers + remainder_credit)
    }
}

/// Chooses a target; `None` when every target takes no requests, was already attempted or is
/// without headroom.
pub fn choose_target(query: &ChoiceQuery<'_>, views: &[TargetView]) -> Option<TargetChoice> {
    let candidates = views.iter().filter(|view| view.weight_percent > 0 && view.slots > 0);
    let limits = LoadLimits::of(query, candidates.clone());
    let mut ranked: Vec<_> = candidates
        .filter(|view| !query.attempted_targets.contains(&view.target))
        .map(|view| (rendezvous_score(query.affinity, view.target_hash, view.slots), view))
        .collect();
    ranked.sort_by(|(left, _), (right, _)| right.total_cmp(left));
    let ranked: Vec<_> = ranked.into_iter().map(|(_, view)| view).collect();
    let homes = ChatHomes::of(query, &ranked);
    let chosen = homes.pick(&limits).or_else(|| choose_outside_homes(&ranked, &limits));
    let (view, reason) = chosen?;
    Some(TargetChoice { target: view.target, reason, bound: limits.bound })
}

/// Load limits that the targets of one choice are compared with.
#[derive(Debug, Clone, Copy)]
struct LoadLimits {
    bound: u32,
    soft_threshold: f64,
    ignores_credits: bool,
    position: FleetPosition,
}

impl LoadLimits {
    fn of<'view>(
        query: &ChoiceQuery<'_>,
        candidates: impl Iterator<Item = &'view TargetView>,
    ) -> Self {
        let (count, load) = candidates
            .fold((0u32, 1u64), |(count, load), view| (count + 1, load + u64::from(view.load())));
        let mean = load as f64 / f64::from(count.max(1));
        let bound = (mean * query.max_load_ratio).ceil() as u32;
        let affinity_jitter = 2.0 * unit_hash(query.affinity);
        let bias_odds = query.reuse_bias / (1.0 - query.reuse_bias).max(BIAS_COMPLEMENT_MIN);
        let soft_threshold =
            mean + bias_odds * affinity_jitter * SOFT_THRESHOLD_DEVIATIONS * mean.sqrt();
        Self {
            bound,
            soft_threshold,
            ignores_credits: mean < CREDIT_MEAN_LOAD_MIN,
            position: query.position,
        }
    }

    /// Returns the bound scaled down for a target in slow start: at least one request, at most the
    /// target's slots.
    fn bound_for(&self, view: &TargetView) -> u32 {
        let scaled = u64::from(self.bound) * u64::from(view.weight_percent) / 100;
        (scaled.max(1) as u32).min(view.slots)
    }

    fn has_headroom(&self, view: &TargetView) -> bool {
        let bound = self.bound_for(view);
        view.load() < bound
            && (self.ignores_credits || view.own_in_flight < view.credit_limit(self))
    }
}

type ChosenView<'view> = (&'view TargetView, ChoiceReason);

/// The two home targets of a chat.
#[derive(Debug, Clone, Copy)]
struct ChatHomes<'view> {
    first: Option<&'view TargetView>,
    second: Option<&'view TargetView>,
    is_uncached: bool,
}

impl<'view> ChatHomes<'view> {
    /// Takes the targets that served the chat last, then fills up from the rendezvous order.
    fn of(query: &ChoiceQuery<'_>, ranked: &[&'view TargetView]) -> Self {
        let find_by_hash =
            |hash: u64| ranked.iter().copied().find(|view| view.target_hash == hash && hash != 0);
        let last = query.placement.and_then(|placement| find_by_hash(placement.last));
        let previous = query.placement.and_then(|placement| find_by_hash(placement.previous));
        let mut homes = last.into_iter().chain(previous).chain(ranked.iter().copied());
        let first = homes.next();
        let second = homes.find(|view| Some(view.target) != first.map(|first| first.target));
        Self { first, second, is_uncached: query.is_first_turn && query.placement.is_none() }
    }

    fn pick(&self, limits: &LoadLimits) -> Option<ChosenView<'view>> {
        let first = self.first.filter(|view| limits.has_headroom(view));
        let second = self.second.filter(|view| limits.has_headroom(view));
        match (first, second) {
            (Some(first), Some(second)) => {
                let keep_first =
                    f64::from(first.load()) < limits.soft_threshold && !self.is_uncached;
                if keep_first || first.load() <= second.load() {
                    Some((first, ChoiceReason::FirstHome))
                } else {
                    Some((second, ChoiceReason::SecondHome))
                }
            }
            (Some(first), None) => Some((first, ChoiceReason::FirstHome)),
            (None, Some(second)) => Some((second, ChoiceReason::SecondHome)),
            (None, None) => None,
        }
    }
}

/// Returns the less loaded of the first two targets with headroom, in rendezvous order.
fn choose_outside_homes<'view>(
    ranked: &[&'view TargetView],
    limits: &LoadLimits,
) -> Option<ChosenView<'view>> {
    let available = ranked.iter().copied().filter(|view| limits.has_headroom(view));
    let view = available.take(2).min_by_key(|view| view.load())?;
    Some((view, ChoiceReason::OutsideHomes))
}
