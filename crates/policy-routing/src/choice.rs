//! Choice of a target by affinity under a bound on load (Mirrokni et al., 2016).

use base_types::{TargetKey, key_types, message_types};

use crate::rendezvous_score;

key_types! {
    /// What a router knows of one target when it chooses.
    pub struct TargetView {
        /// Key of the target.
        pub target: TargetKey,
        /// Hash of the target's name.
        pub hash: u64,
        /// Requests that the target runs at once; zero takes no work.
        pub slots: u32,
        /// Estimated load in requests in flight.
        pub load: u32,
        /// Whether the target takes new work.
        pub open: bool,
    }

    /// Why a target was chosen.
    pub enum ChoiceReason {
        /// First in the preference order of the affinity.
        Preferred,
        /// Preferred targets were at their load bound.
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
        /// Multiple of the mean load that no target may exceed.
        pub max_load_ratio: f64,
        /// Targets that this request has tried.
        pub tried: &'query [TargetKey],
    }
}

/// Chooses a target, or none when each is closed, tried or at its bound.
pub fn choose_target(query: &ChoiceQuery<'_>, views: &[TargetView]) -> Option<TargetChoice> {
    let bound = load_bound(query.max_load_ratio, views);
    let eligible =
        |view: &&TargetView| view.open && view.slots > 0 && !query.tried.contains(&view.target);
    let preferred = best_view(query.affinity, views.iter().filter(eligible))?;
    if fits(preferred, bound) {
        return Some(TargetChoice {
            target: preferred.target,
            reason: ChoiceReason::Preferred,
            bound,
        });
    }
    let fitting = views.iter().filter(eligible).filter(|view| fits(view, bound));
    let view = best_view(query.affinity, fitting)?;
    Some(TargetChoice { target: view.target, reason: ChoiceReason::Bounded, bound })
}

fn load_bound(max_load_ratio: f64, views: &[TargetView]) -> u32 {
    let open = views.iter().filter(|view| view.open && view.slots > 0);
    let (count, load) =
        open.fold((0u32, 1u64), |(count, load), view| (count + 1, load + u64::from(view.load)));
    let mean = load as f64 / f64::from(count.max(1));
    (mean * max_load_ratio).ceil() as u32
}

fn fits(view: &TargetView, bound: u32) -> bool {
    view.load < bound.min(view.slots)
}

fn best_view<'view>(
    affinity: u64,
    views: impl Iterator<Item = &'view TargetView>,
) -> Option<&'view TargetView> {
    let score = |view: &TargetView| rendezvous_score(affinity, view.hash, view.slots);
    views.max_by(|left, right| score(left).total_cmp(&score(right)))
}
