//! Choice of the routers that a caller is told to use.
//!
//! Load pattern: hundreds of callers ask every second, pick one of the named addresses at random for
//! each connection, and close connections to addresses that a newer answer lacks. Routers differ in
//! capacity by a factor of ten.
//!
//! Invariant: over all callers, a router's expected share of the connections is its share of the
//! capacity of the routers that serve; the answer for one caller depends only on the caller, on the
//! set of these routers, and on their weights and load classes. No answer is empty while a router
//! serves.
//!
//! Each caller ranks the routers by rendezvous hashing (Thaler and Ravishankar, 1998; with weights:
//! Schindler and Schomaker, 2005). With the usual weighted score the heaviest routers appear in too few
//! answers, since no answer names a router twice. The score used here is that of Pareto order
//! sampling (Rosén, 1997): a fixed number of routers is named, each with a probability very close to
//! one that is set beforehand.

use base_types::key_types;

use crate::{LoadClass, rendezvous::pair_unit_hash};

/// Largest number of routers in one answer.
pub const NAMED_ROUTERS_MAX: usize = 64;

/// Smallest number of routers in one answer where as many serve, so that a caller has others to turn to
/// when one fails. In smaller fleets and where one router has most of the capacity, evenness comes second
/// to this.
const NAMED_ROUTERS_MIN: usize = 4;

/// Largest ratio between a router's weight and the median weight, in either direction. It bounds what a
/// router with a wrong statement attracts; the strongest routers known have 6.7 times the median.
const WEIGHT_RATIO_MAX: u64 = 8;

/// Added before a sum of ratios is rounded down, so that equal weights give exactly the number of routers.
const ROUNDING_SLACK: f64 = 1e-6;

key_types! {
    /// Identifies a caller across its queries.
    pub struct CallerKey(pub u64);

    /// State of one serving router that the choice is based on.
    pub struct RouterView {
        /// Hash of the router's name.
        pub router_hash: u64,
        /// Hash of the name of its failure domain.
        pub domain_hash: u64,
        /// Calls per second that the router can carry, as stated by itself; `None` where unknown.
        pub weight: Option<u32>,
        /// Class of its load.
        pub load: LoadClass,
    }
}

/// Returns the indexes of the routers to name to a caller, ascending; at most [`NAMED_ROUTERS_MAX`]. All
/// routers are named if they are few and have equal weights, or are at most four.
///
/// The failure domain of the caller is not preferred: it would concentrate load wherever callers are
/// unevenly spread over failure domains. An answer names routers of two failure domains, where there are
/// two, so that the loss of one does not leave a caller without addresses.
pub fn choose_routers(caller: CallerKey, views: &[RouterView]) -> Vec<usize> {
    let weights = RouterWeights::of(views);
    let count = weights.named_count();
    if count == views.len() {
        return (0..count).collect();
    }
    let odds = weights.odds_of_being_named(count);
    let mut ranked: Vec<(f64, usize)> = views
        .iter()
        .zip(odds)
        .enumerate()
        .map(|(index, (view, odds))| {
            let unit = pair_unit_hash(caller.0, view.router_hash);
            (unit / (1.0 - unit) / odds, index)
        })
        .collect();
    ranked.sort_by(|(left, left_index), (right, right_index)| {
        left.total_cmp(right).then(left_index.cmp(right_index))
    });
    let mut named: Vec<usize> = ranked.iter().take(count).map(|(_, index)| *index).collect();
    let domain = |index: usize| views[index].domain_hash;
    let is_foreign =
        |index: &usize| named.first().is_some_and(|first| domain(*index) != domain(*first));
    if !named.iter().any(is_foreign) {
        let foreign = ranked.iter().map(|(_, index)| *index).find(is_foreign);
        if let (Some(foreign), Some(last)) = (foreign, named.last_mut()) {
            *last = foreign;
        }
    }
    named.sort_unstable();
    named
}

/// Weights of the routers of one choice.
#[derive(Debug)]
struct RouterWeights {
    /// Weights reduced by the load classes, in the order of the views.
    reduced: Vec<f64>,
    /// Largest weight before the reduction, so that the number of named routers hardly depends on load.
    largest: f64,
}

impl RouterWeights {
    /// Routers without a stated weight count as the median of those with one. Only load above that of
    /// the median router reduces a weight: where all are loaded, no caller gains by moving.
    fn of(views: &[RouterView]) -> Self {
        let median = median_of(views.iter().filter_map(|view| view.weight));
        let median = u64::from(median.unwrap_or(1).max(1));
        let usual_class = median_of(views.iter().map(|view| view.load)).unwrap_or_default();
        // The bounds are multiples of the median's eighth, so that all values stay integers.
        let clamped = |view: &RouterView| {
            let weight = view.weight.map_or(median, u64::from).saturating_mul(WEIGHT_RATIO_MAX);
            weight.clamp(median, median * WEIGHT_RATIO_MAX * WEIGHT_RATIO_MAX) as f64
        };
        let reduced = views.iter().map(|view| {
            clamped(view) * view.load.max(usual_class).weight_ratio() / usual_class.weight_ratio()
        });
        Self { reduced: reduced.collect(), largest: views.iter().map(clamped).fold(0.0, f64::max) }
    }

    /// Returns the largest number of named routers at which each can be named as often as its weight
    /// says, since a router is named at most once in an answer.
    fn named_count(&self) -> usize {
        let routers = self.reduced.len();
        let total: f64 = self.reduced.iter().sum();
        let count = (total / self.largest.max(f64::MIN_POSITIVE) + ROUNDING_SLACK) as usize;
        count.clamp(NAMED_ROUTERS_MIN.min(routers), NAMED_ROUTERS_MAX.min(routers))
    }

    /// Returns for each router `p / (1 - p)`, where `p` is the probability of being named. The
    /// probabilities are proportional to the weights, but at most 1, and add up to `count`.
    fn odds_of_being_named(&self, count: usize) -> Vec<f64> {
        let mut certain = vec![false; self.reduced.len()];
        loop {
            let certain_count = certain.iter().filter(|is_certain| **is_certain).count();
            let open = self.reduced.iter().zip(&certain).filter(|(_, is_certain)| !**is_certain);
            let open_total: f64 = open.map(|(weight, _)| weight).sum();
            let scale =
                count.saturating_sub(certain_count) as f64 / open_total.max(f64::MIN_POSITIVE);
            let mut is_settled = true;
            for (weight, is_certain) in self.reduced.iter().zip(&mut certain) {
                if !*is_certain && weight * scale >= 1.0 {
                    *is_certain = true;
                    is_settled = false;
                }
            }
            if is_settled {
                let odds = self.reduced.iter().zip(&certain).map(|(weight, is_certain)| {
                    let probability = weight * scale;
                    if *is_certain { f64::INFINITY } else { probability / (1.0 - probability) }
                });
                return odds.collect();
            }
        }
    }
}

/// Lower median; `None` without values.
fn median_of<T: Ord + Copy>(values: impl Iterator<Item = T>) -> Option<T> {
    let mut values: Vec<T> = values.collect();
    values.sort_unstable();
    values.get(values.len().saturating_sub(1) / 2).copied()
}
