//! Choice of a target by affinity under a bound on load.
//!
//! Each affinity has two home targets, its first two in rendezvous order, and takes the less
//! loaded one when the first is above a soft threshold ("power of both choices", Nasir et al.,
//! 2015). Both homes hold most of a chat's cache, so that going back and forth costs little.
//! No target goes beyond the bound (Mirrokni et al., 2016).

use base_types::{PlacementToken, TargetKey, key_types, message_types};

use crate::{rendezvous_score, unit_hash};

/// Soft threshold of the first home at the middle bias, on average over chats, in standard deviations of a Poisson load
/// above the mean.
const THRESHOLD_DEVIATIONS: f64 = 3.0;

/// Keeps the threshold finite at the greatest bias.
const STAY_LEAST: f64 = 0.001;

/// Requests that routers together may add for each request of room.
const CREDITS_A_ROOM: f64 = 1.5;

/// Mean load in requests below which credits, as fractions of a request, would forbid most choices;
/// only the estimated load is compared with the bound then.
const COARSE_MEAN: f64 = 8.0;

key_types! {
    /// What a router knows of one target when it chooses.
    pub struct TargetView {
        /// Key of the target.
        pub target: TargetKey,
        /// Hash of the target's name.
        pub hash: u64,
        /// Requests that the target runs at once; zero takes no work.
        pub slots: u32,
        /// Requests of this router in flight.
        pub own: u32,
        /// Requests of this router in flight when it last told the others.
        pub told: u32,
        /// Requests of others in flight, as far as heard.
        pub others: u32,
        /// Part of its usual work that the target is given, in percent; zero is closed.
        pub percent: u32,
        /// Whether the target did not fail lately.
        pub calm: bool,
    }

    /// A router's place among those that share a pool's room.
    pub struct FleetPlace {
        /// Routers that share it, this one counted.
        pub routers: u32,
        /// Index of this router in the order of names.
        pub index: u32,
    }

    /// Why a target was chosen.
    pub enum ChoiceReason {
        /// First home of the affinity.
        Preferred,
        /// Second home; the first was busier and above the soft threshold.
        SecondHome,
        /// Both homes were at their load bound.
        Bounded,
    }

    /// A chosen target.
    pub struct TargetChoice {
        /// Key of the target.
        pub target: TargetKey,
        /// Why it was chosen.
        pub reason: ChoiceReason,
        /// Load bound in requests that applied.
        pub bound: u32,
    }
}

message_types! {
    /// A request that needs a target.
    pub struct ChoiceQuery<'query> {
        /// Hash of the chat, the prefix group or the account.
        pub affinity: u64,
        /// Targets that served the chat last.
        pub placement: Option<PlacementToken>,
        /// Whether no target holds any of the chat.
        pub chat_begins: bool,
        /// Multiple of the mean load that no target may exceed.
        pub max_load_ratio: f64,
        /// Place between even load (0) and kept caches (1).
        pub reuse_bias: f64,
        /// This router's place among those that use the pool.
        pub place: FleetPlace,
        /// Targets that this request has tried.
        pub tried: &'query [TargetKey],
    }
}

impl TargetView {
    /// Estimated load in requests in flight.
    pub fn load(&self) -> u32 {
        self.own.saturating_add(self.others)
    }

    /// Requests that this router may have in flight until it hears the next shares.
    ///
    /// The room below the bound, as told last, is divided among the routers; what does not divide
    /// goes to as many of them, another run of them for each target. Routers that do not see each
    /// other's latest requests keep the bound together, as not all use their whole credit at once.
    fn allowance(&self, levels: &LoadLevels) -> u32 {
        let place = levels.place;
        let routers = place.routers.max(1);
        let room = levels.bound_of(self).saturating_sub(self.told.saturating_add(self.others));
        let credits = (f64::from(room) * CREDITS_A_ROOM) as u32;
        let offset = (self.hash % u64::from(routers)) as u32;
        let rank = (place.index + offset) % routers;
        let extra = u32::from(rank < credits % routers);
        self.told.saturating_add(credits / routers + extra)
    }
}

/// Chooses a target, or none when each is closed, tried or at its bound.
pub fn choose_target(query: &ChoiceQuery<'_>, views: &[TargetView]) -> Option<TargetChoice> {
    let open = views.iter().filter(|view| view.percent > 0 && view.slots > 0);
    let levels = LoadLevels::of(query, open.clone());
    let mut order: Vec<_> = open
        .filter(|view| !query.tried.contains(&view.target))
        .map(|view| (rendezvous_score(query.affinity, view.hash, view.slots), view))
        .collect();
    order.sort_by(|(left, _), (right, _)| right.total_cmp(left));
    let order: Vec<_> = order.into_iter().map(|(_, view)| view).collect();
    let homes = HomePair::of(query, &order);
    let chosen = homes.choose(&levels).or_else(|| choose_other(&order, &levels));
    let (view, reason) = chosen?;
    Some(TargetChoice { target: view.target, reason, bound: levels.bound })
}

/// Levels of load that a choice compares with.
#[derive(Debug, Clone, Copy)]
struct LoadLevels {
    bound: u32,
    threshold: f64,
    coarse: bool,
    place: FleetPlace,
}

impl LoadLevels {
    fn of<'view>(query: &ChoiceQuery<'_>, open: impl Iterator<Item = &'view TargetView>) -> Self {
        let (count, load) = open
            .fold((0u32, 1u64), |(count, load), view| (count + 1, load + u64::from(view.load())));
        let mean = load as f64 / f64::from(count.max(1));
        let bound = (mean * query.max_load_ratio).ceil() as u32;
        let dither = 2.0 * unit_hash(query.affinity);
        let stay = query.reuse_bias / (1.0 - query.reuse_bias).max(STAY_LEAST);
        let threshold = mean + stay * dither * THRESHOLD_DEVIATIONS * mean.sqrt();
        Self { bound, threshold, coarse: mean < COARSE_MEAN, place: query.place }
    }

    /// A target that starts slowly may hold a part of the bound, one request at least.
    fn bound_of(&self, view: &TargetView) -> u32 {
        let part = u64::from(self.bound) * u64::from(view.percent) / 100;
        (part.max(1) as u32).min(view.slots)
    }

    fn fits(&self, view: &TargetView) -> bool {
        let bound = self.bound_of(view);
        view.load() < bound && (self.coarse || view.own < view.allowance(self))
    }
}

type ChosenView<'view> = (&'view TargetView, ChoiceReason);

/// The two targets that a chat goes back and forth between.
#[derive(Debug, Clone, Copy)]
struct HomePair<'view> {
    first: Option<&'view TargetView>,
    second: Option<&'view TargetView>,
    free: bool,
}

impl<'view> HomePair<'view> {
    /// The targets that served the chat last, filled up in rendezvous order.
    fn of(query: &ChoiceQuery<'_>, order: &[&'view TargetView]) -> Self {
        let named = |hash: u64| order.iter().copied().find(|view| view.hash == hash && hash != 0);
        let last = query.placement.and_then(|placement| named(placement.last));
        let before = query.placement.and_then(|placement| named(placement.before));
        let mut homes = last.into_iter().chain(before).chain(order.iter().copied());
        let first = homes.next();
        let second = homes.find(|view| Some(view.target) != first.map(|first| first.target));
        Self { first, second, free: query.chat_begins && query.placement.is_none() }
    }

    fn choose(&self, levels: &LoadLevels) -> Option<ChosenView<'view>> {
        let first = self.first.filter(|view| levels.fits(view));
        let second = self.second.filter(|view| levels.fits(view));
        match (first, second) {
            (Some(first), Some(second)) => {
                let low = f64::from(first.load()) < levels.threshold && !self.free;
                if low || first.load() <= second.load() {
                    Some((first, ChoiceReason::Preferred))
                } else {
                    Some((second, ChoiceReason::SecondHome))
                }
            }
            (Some(first), None) => Some((first, ChoiceReason::Preferred)),
            (None, Some(second)) => Some((second, ChoiceReason::SecondHome)),
            (None, None) => None,
        }
    }
}

/// The less loaded of the next two targets in rendezvous order that are below the bound.
fn choose_other<'view>(
    order: &[&'view TargetView],
    levels: &LoadLevels,
) -> Option<ChosenView<'view>> {
    let fitting = order.iter().copied().filter(|view| levels.fits(view));
    let view = fitting.take(2).min_by_key(|view| view.load())?;
    Some((view, ChoiceReason::Bounded))
}
