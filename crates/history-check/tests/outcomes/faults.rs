//! Fault plans of simulation runs, and deliberate defects in the code around the production core
//! and ledger.

/// Probabilities and counts of the faults in a run.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FaultPlan {
    /// Probability that the answer to a platform call is lost.
    pub(crate) platform_answer_lost: f64,
    /// Probability that a platform call takes effect seconds late.
    pub(crate) late_effect: f64,
    /// Probability that an attempt fails before any byte is sent.
    pub(crate) unsent: f64,
    /// Probability that the answer to an attempt is lost, before or after the execution.
    pub(crate) target_answer_lost: f64,
    /// Number of router pauses in a run.
    pub(crate) pauses: u32,
    /// Number of router kills in a run.
    pub(crate) kills: u32,
    /// Whether a run includes a platform outage, which can outlast every call deadline.
    pub(crate) outage: bool,
}

impl FaultPlan {
    pub(crate) const NO_FAULTS: Self = Self {
        platform_answer_lost: 0.0,
        late_effect: 0.0,
        unsent: 0.0,
        target_answer_lost: 0.0,
        pauses: 0,
        kills: 0,
        outage: false,
    };
    pub(crate) const LOST_ANSWERS: Self =
        Self { platform_answer_lost: 0.3, late_effect: 0.3, ..Self::NO_FAULTS };
    pub(crate) const TARGETS_LOST: Self =
        Self { unsent: 0.3, target_answer_lost: 0.3, ..Self::NO_FAULTS };
    pub(crate) const PAUSES: Self = Self { pauses: 4, ..Self::NO_FAULTS };
    pub(crate) const KILLS: Self = Self { kills: 3, ..Self::NO_FAULTS };
    pub(crate) const OUTAGE: Self = Self { outage: true, ..Self::NO_FAULTS };
    pub(crate) const ALL: Self = Self {
        platform_answer_lost: 0.2,
        late_effect: 0.2,
        unsent: 0.2,
        target_answer_lost: 0.2,
        pauses: 3,
        kills: 2,
        outage: true,
    };

    /// Returns whether the platform always answers in time, so that answers are recorded before
    /// they are delivered.
    pub(crate) fn guarantees_order(self) -> bool {
        self.platform_answer_lost == 0.0
            && self.late_effect == 0.0
            && !self.outage
            && self.pauses == 0
    }
}

/// A deliberate defect that a check must detect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Defect {
    None,
    /// A claim is treated as confirmed as soon as its write is sent.
    DispatchBeforeConfirmation,
    /// A lost answer is treated as a refused connection, so the request is retried.
    RetryAfterSend,
    /// The platform ignores the conditions of writes.
    IgnoredConditions,
    /// Each execution returns the answer of the previous execution.
    SwappedAnswers,
    /// An answer is treated as recorded as soon as its write is sent.
    DeliveryBeforeRecord,
    /// The release of an unconfirmed claim is skipped, as if there were nothing to undo.
    SkippedRelease,
    /// The ledger abandons a claim that it could not confirm, without releasing it.
    AbandonedClaim,
}
