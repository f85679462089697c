//! Which faults a run meets, and deliberate defects of the parts round the real core and ledger.

/// Probabilities of faults in a run.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FaultPlan {
    /// Platform calls whose answer is lost.
    pub(crate) answer_lost: f64,
    /// Platform calls that take effect seconds late.
    pub(crate) late_effect: f64,
    /// Attempts that fail before a byte is sent.
    pub(crate) unsent: f64,
    /// Attempts whose answer is lost, before or after the execution.
    pub(crate) target_lost: f64,
    /// Pauses of routers in a run.
    pub(crate) pauses: u32,
    /// Kills of routers in a run.
    pub(crate) kills: u32,
    /// Whether the platform is out for longer than every deadline.
    pub(crate) outage: bool,
}

impl FaultPlan {
    pub(crate) const QUIET: Self = Self {
        answer_lost: 0.0,
        late_effect: 0.0,
        unsent: 0.0,
        target_lost: 0.0,
        pauses: 0,
        kills: 0,
        outage: false,
    };
    pub(crate) const LOST_ANSWERS: Self =
        Self { answer_lost: 0.3, late_effect: 0.3, ..Self::QUIET };
    pub(crate) const TARGETS_LOST: Self = Self { unsent: 0.3, target_lost: 0.3, ..Self::QUIET };
    pub(crate) const PAUSES: Self = Self { pauses: 4, ..Self::QUIET };
    pub(crate) const KILLS: Self = Self { kills: 3, ..Self::QUIET };
    pub(crate) const OUTAGE: Self = Self { outage: true, ..Self::QUIET };
    pub(crate) const ALL: Self = Self {
        answer_lost: 0.2,
        late_effect: 0.2,
        unsent: 0.2,
        target_lost: 0.2,
        pauses: 3,
        kills: 2,
        outage: true,
    };

    /// Whether the platform answers in time, so that answers are recorded before they are given.
    pub(crate) fn keeps_order(self) -> bool {
        self.answer_lost == 0.0 && self.late_effect == 0.0 && !self.outage && self.pauses == 0
    }
}

/// A deliberate defect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Defect {
    None,
    /// A claim counts as held when its write was sent.
    UnconfirmedDispatch,
    /// A lost answer counts as a refused connection.
    RepeatAfterSend,
    /// The platform writes whatever the condition.
    IgnoredConditions,
    /// Each target gives its answer to the request before.
    SwappedAnswers,
    /// An answer counts as recorded when its write was sent.
    AnswerBeforeRecord,
    /// A release of a claim that is not confirmed is forgotten, as if there was nothing to undo.
    RacingRelease,
    /// The ledger forgets a claim that it could not confirm.
    ForgottenClaim,
}
