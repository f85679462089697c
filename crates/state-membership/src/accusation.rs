//! Accusations of having failed, and when they stand.
//!
//! One accuser may be cut off itself, so a member is failed only when several of its neighbours
//! accuse it independently and it does not refute that in time by a higher incarnation. After
//! SWIM (Das et al., 2002) and the independent confirmations of Lifeguard (Dadgar et al., 2018).

use std::{collections::BTreeMap, time::Duration};

use base_types::{TimePoint, key_types};

use crate::MemberKey;

/// Time that an accused member has to refute, once enough others accuse it.
const REFUTE_TIME: Duration = Duration::from_millis(600);
/// Time for which an accusation counts.
const ACCUSATION_LIFE: Duration = Duration::from_secs(4);
/// Accusers that it takes, where the member has as many neighbours.
const ACCUSERS_MIN: usize = 2;
/// Time after which one accuser is enough: an accusation that the subject could answer along any
/// path would have been refuted long before.
const LONE_TIME: Duration = Duration::from_secs(8);
const ACCUSERS_KEPT: usize = 8;

key_types! {
    /// One member says that it does not hear another.
    pub struct Accusation {
        /// The member that is not heard.
        pub subject: MemberKey,
        /// Incarnation of the subject that the accuser knows.
        pub incarnation: u64,
        /// The member that does not hear it.
        pub accuser: MemberKey,
    }
}

#[derive(Debug, Clone)]
struct Accused {
    incarnation: u64,
    accusers: BTreeMap<MemberKey, TimePoint>,
    stands_at: TimePoint,
    stands_alone_at: TimePoint,
}

/// Accusations that were neither refuted nor have expired.
#[derive(Debug, Clone, Default)]
pub struct AccusationBook {
    accused: BTreeMap<MemberKey, Accused>,
    confirmation: Confirmation,
}

/// How many accusers it takes.
#[derive(Debug, Clone, Copy, Default)]
enum Confirmation {
    #[default]
    Several,
    One,
}

impl AccusationBook {
    /// A book that believes a single accuser at once: the variant that proofs must catch.
    pub fn credulous() -> Self {
        Self { accused: BTreeMap::new(), confirmation: Confirmation::One }
    }

    /// Notes an accusation; returns whether it was news. `neighbors` is the number of members
    /// that keep a link to the subject and may run.
    pub fn note(&mut self, now: TimePoint, accusation: Accusation, neighbors: usize) -> bool {
        let fresh = || Accused {
            incarnation: accusation.incarnation,
            accusers: BTreeMap::new(),
            stands_at: TimePoint::NEVER,
            stands_alone_at: now.after(LONE_TIME),
        };
        let accused = self.accused.entry(accusation.subject).or_insert_with(fresh);
        if accused.incarnation < accusation.incarnation {
            *accused = fresh();
        }
        if accused.incarnation > accusation.incarnation {
            return false;
        }
        accused.accusers.retain(|_, expires| !expires.passed(now));
        if accused.accusers.len() >= ACCUSERS_KEPT {
            return false;
        }
        let expires = now.after(ACCUSATION_LIFE);
        let is_news = !accused.accusers.contains_key(&accusation.accuser);
        accused.accusers.entry(accusation.accuser).or_insert(expires);
        let enough = match self.confirmation {
            Confirmation::Several => neighbors.clamp(1, ACCUSERS_MIN),
            Confirmation::One => 1,
        };
        if accused.accusers.len() >= enough && accused.stands_at == TimePoint::NEVER {
            accused.stands_at = match self.confirmation {
                Confirmation::Several => now.after(REFUTE_TIME),
                Confirmation::One => now,
            };
        }
        is_news
    }

    /// Drops what was said of a member up to an incarnation, as it refuted it or has failed.
    pub fn clear(&mut self, subject: MemberKey, incarnation: u64) {
        if self.accused.get(&subject).is_some_and(|accused| accused.incarnation <= incarnation) {
            self.accused.remove(&subject);
        }
    }

    /// Whether anyone accuses a member at present.
    pub fn is_accused(&self, now: TimePoint, subject: MemberKey) -> bool {
        let accused = self.accused.get(&subject);
        accused.is_some_and(|accused| accused.accusers.values().any(|end| !end.passed(now)))
    }

    /// Whether enough others accuse a member that it is no longer named to callers.
    pub fn is_doubted(&self, subject: MemberKey) -> bool {
        self.accused.get(&subject).is_some_and(|accused| accused.stands_at != TimePoint::NEVER)
    }

    /// Takes the members whose time to refute has passed, with the incarnation that failed.
    pub fn take_standing(&mut self, now: TimePoint) -> Vec<(MemberKey, u64)> {
        let stands = |accused: &Accused| {
            accused.stands_at.passed(now) || accused.stands_alone_at.passed(now)
        };
        let standing: Vec<_> = self
            .accused
            .iter()
            .filter(|(_, accused)| stands(accused))
            .map(|(key, accused)| (*key, accused.incarnation))
            .collect();
        let expired = |accused: &Accused| accused.accusers.values().all(|end| end.passed(now));
        self.accused.retain(|_, accused| !stands(accused) && !expired(accused));
        standing
    }
}
