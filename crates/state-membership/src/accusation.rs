//! Suspicions that a member has failed, and when they become a failure.
//!
//! A single reporter may itself be cut off, so a member is declared failed only when several of
//! its neighbors report it independently and the member does not refute the reports in time with
//! a higher incarnation. This follows SWIM (Das et al., 2002) and the independent confirmations of
//! Lifeguard (Dadgar et al., 2018).

use std::{collections::BTreeMap, time::Duration};

use base_types::{TimePoint, key_types};

use crate::MemberKey;

/// Time that a suspected member has to refute, once enough reporters confirm the suspicion.
const REFUTE_TIMEOUT: Duration = Duration::from_millis(600);
/// Time for which a report counts.
const REPORT_TTL: Duration = Duration::from_secs(4);
/// Reporters needed for a confirmation, where the member has as many neighbors.
const REPORTERS_MIN: usize = 2;
/// Time after which a single reporter is enough: the subject would have refuted the suspicion long
/// before, if its refutation could reach this router along any path.
const SINGLE_REPORTER_TIMEOUT: Duration = Duration::from_secs(8);
/// Most reporters that are kept for one member.
const REPORTERS_MAX: usize = 8;

key_types! {
    /// One member's report that another does not respond.
    pub struct Suspicion {
        /// The member that does not respond.
        pub subject: MemberKey,
        /// Incarnation of the subject that the reporter knows.
        pub incarnation: u64,
        /// The member that makes the report.
        pub reporter: MemberKey,
    }
}

#[derive(Debug, Clone)]
struct SuspectedMember {
    incarnation: u64,
    /// Reporters, with the time at which their reports expire.
    reporters: BTreeMap<MemberKey, TimePoint>,
    /// End of the time to refute; `NEVER` while too few reporters confirm the suspicion.
    fails_at: TimePoint,
    /// Time at which the member fails even without enough reporters.
    fails_unconfirmed_at: TimePoint,
}

/// Suspicions that were neither refuted nor have expired.
#[derive(Debug, Clone, Default)]
pub struct SuspicionTable {
    suspected_members: BTreeMap<MemberKey, SuspectedMember>,
    confirmation: ConfirmationRule,
}

/// How many reporters a failure needs.
#[derive(Debug, Clone, Copy, Default)]
enum ConfirmationRule {
    #[default]
    Several,
    Single,
}

impl SuspicionTable {
    /// A table that declares a failure at the first report, without time to refute. Tests use it
    /// to show that they detect false failures.
    pub fn faulty_single_reporter_rule() -> Self {
        Self { suspected_members: BTreeMap::new(), confirmation: ConfirmationRule::Single }
    }

    /// Records a suspicion; returns whether it adds a report. `neighbors` is the number of
    /// members that keep a link to the subject and may run.
    pub fn record(&mut self, now: TimePoint, suspicion: Suspicion, neighbors: usize) -> bool {
        let fresh = || SuspectedMember {
            incarnation: suspicion.incarnation,
            reporters: BTreeMap::new(),
            fails_at: TimePoint::NEVER,
            fails_unconfirmed_at: now.after(SINGLE_REPORTER_TIMEOUT),
        };
        let suspected = self.suspected_members.entry(suspicion.subject).or_insert_with(fresh);
        if suspected.incarnation < suspicion.incarnation {
            *suspected = fresh();
        }
        if suspected.incarnation > suspicion.incarnation {
            return false;
        }
        suspected.reporters.retain(|_, expires_at| !expires_at.passed(now));
        if suspected.reporters.len() >= REPORTERS_MAX {
            return false;
        }
        let expires_at = now.after(REPORT_TTL);
        let is_new = !suspected.reporters.contains_key(&suspicion.reporter);
        suspected.reporters.entry(suspicion.reporter).or_insert(expires_at);
        let required = match self.confirmation {
            ConfirmationRule::Several => neighbors.clamp(1, REPORTERS_MIN),
            ConfirmationRule::Single => 1,
        };
        if suspected.reporters.len() >= required && suspected.fails_at == TimePoint::NEVER {
            suspected.fails_at = match self.confirmation {
                ConfirmationRule::Several => now.after(REFUTE_TIMEOUT),
                ConfirmationRule::Single => now,
            };
        }
        is_new
    }

    /// Drops the suspicions of a member up to an incarnation, as it refuted them or has failed.
    pub fn clear(&mut self, subject: MemberKey, incarnation: u64) {
        if self
            .suspected_members
            .get(&subject)
            .is_some_and(|suspected| suspected.incarnation <= incarnation)
        {
            self.suspected_members.remove(&subject);
        }
    }

    /// Whether any report against a member is in force.
    pub fn is_suspected(&self, now: TimePoint, subject: MemberKey) -> bool {
        let suspected = self.suspected_members.get(&subject);
        suspected.is_some_and(|suspected| {
            suspected.reporters.values().any(|expires_at| !expires_at.passed(now))
        })
    }

    /// Whether enough reporters confirm the suspicion. Entry answers then omit the member.
    pub fn is_confirmed(&self, subject: MemberKey) -> bool {
        self.suspected_members
            .get(&subject)
            .is_some_and(|suspected| suspected.fails_at != TimePoint::NEVER)
    }

    /// Removes the members whose time to refute has passed, and returns them with the incarnation
    /// that failed.
    pub fn take_failed(&mut self, now: TimePoint) -> Vec<(MemberKey, u64)> {
        let has_failed = |suspected: &SuspectedMember| {
            suspected.fails_at.passed(now) || suspected.fails_unconfirmed_at.passed(now)
        };
        let failed: Vec<_> = self
            .suspected_members
            .iter()
            .filter(|(_, suspected)| has_failed(suspected))
            .map(|(key, suspected)| (*key, suspected.incarnation))
            .collect();
        let has_expired = |suspected: &SuspectedMember| {
            suspected.reporters.values().all(|expires_at| expires_at.passed(now))
        };
        self.suspected_members
            .retain(|_, suspected| !has_failed(suspected) && !has_expired(suspected));
        failed
    }
}
