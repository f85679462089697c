//! Sends calls through another router where this one cannot reach the targets.
//!
//! A call makes one detour at most: a router that gets a call from another one serves it or refuses it. It decides on
//! the call anew, so its configuration must not be older than the one by which the call was admitted. Versions are
//! compared and not the platform's revisions, which a restore of the platform lowers.

use base_types::{HostName, NotRunCode, TimePoint, UnknownCode};
use policy_routing::stable_hash;

use crate::{
    CallKey, DetourClaim, DetourOutcome, DetourSpec, DispatchStep, ForwardCore, call::CallState,
    core::refusals::refuse, detours::pool_hash,
};

/// Attempts with outcome `Unsent` after which a call is sent through another router, although not all
/// targets of its pool are known to be unreachable.
const UNSENT_ATTEMPTS_BEFORE_DETOUR: u32 = 2;

/// Number of routers that a call is offered to; each of the first ones did not accept a connection or the call.
const OFFERS_MAX: usize = 2;

impl ForwardCore {
    /// Records that the response of a call is forwarded to its caller, which ties the call to this
    /// router.
    pub fn on_response_forwarded(&mut self, key: CallKey) {
        if let Some(state) = self.calls.get_mut(&key) {
            state.detour.is_over = true;
        }
    }

    /// Records how the detour in progress ended.
    pub fn on_detour_finished(&mut self, now: TimePoint, key: CallKey, outcome: DetourOutcome) {
        let Some(mut state) = self.calls.remove(&key) else { return };
        self.end_detour(&mut state);
        match (outcome, state.detour.offered.last()) {
            (DetourOutcome::Unsent | DetourOutcome::Outdated, Some(router)) => {
                self.peers.on_detour_refused(now, router);
            }
            (DetourOutcome::Unsent | DetourOutcome::Outdated, None) => {}
            (DetourOutcome::Lost | DetourOutcome::Answered, _) => {
                state.detour.is_over = true;
                state.may_have_run |= outcome == DetourOutcome::Lost;
            }
        }
        self.calls.insert(key, state);
    }

    /// Whether an earlier attempt may have run a call, so that it must not be refused as not run.
    pub fn may_have_run(&self, key: CallKey) -> bool {
        self.calls.get(&key).is_none_or(|state| state.may_have_run)
    }

    /// Returns the next action for a call whose pool this router cannot reach; `None` if a target is to
    /// be tried.
    pub(super) fn detour_step(
        &mut self,
        now: TimePoint,
        state: &mut CallState,
    ) -> Option<DispatchStep> {
        let is_unreachable = self.unreachable_pools.contains(&state.pool);
        if !is_unreachable && state.unsent_attempts < UNSENT_ATTEMPTS_BEFORE_DETOUR {
            return None;
        }
        let Some(detour) = self.choose_detour(now, state) else {
            // No router reaches the pool, or the call may not be sent to another one.
            let refusal = || refuse(now, state, NotRunCode::NoTarget, UnknownCode::TargetLost);
            return is_unreachable.then(refusal);
        };
        if state.attempts > 0 && !self.spend_retry(now, state) {
            return Some(self.refuse_spent(now, state));
        }
        state.detour.offered.push(detour.router.clone());
        state.detour.is_in_flight = true;
        self.peers.add_detour(&detour.router);
        Some(DispatchStep::Detour(detour))
    }

    /// Whether a call can be sent through another router.
    pub(super) fn can_detour(&self, now: TimePoint, state: &CallState) -> bool {
        self.unreachable_pools.contains(&state.pool) && self.choose_detour(now, state).is_some()
    }

    /// Ends a detour in progress.
    pub(super) fn end_detour(&mut self, state: &mut CallState) {
        if std::mem::take(&mut state.detour.is_in_flight)
            && let Some(router) = state.detour.offered.last()
        {
            self.peers.remove_detour(router);
        }
    }

    /// Whether a call that another router sent, or a caller who claims that, must not be decided by this router's
    /// configuration, because that is older than the one by which the other router decided. A router that states no
    /// version may have decided by a later one.
    pub fn is_outdated_for(&self, claim: &DetourClaim) -> bool {
        let is_own_key = self.is_own_detour_key(&claim.key);
        claim.version.map_or(is_own_key, |version| self.version() < Some(version))
    }

    /// Whether a key is the one that other routers show to this one.
    pub(super) fn is_own_detour_key(&self, key: &str) -> bool {
        !key.is_empty() && *key == *self.entry.detour_key
    }

    /// Chooses the router with the fewest calls among those that reach the pool and have the configuration by which
    /// the call was admitted.
    fn choose_detour(&self, now: TimePoint, state: &CallState) -> Option<DetourSpec> {
        let detour = &state.detour;
        if detour.is_over || detour.offered.len() >= OFFERS_MAX {
            return None;
        }
        let pool = pool_hash(&state.pool);
        let peers = self.peers.reaching(now, pool, state.version);
        let candidates = peers.filter(|peer| !detour.offered.contains(&peer.entry.name));
        // Calls are spread over routers with equally many.
        let tie = |name: &HostName| stable_hash(name.as_str().as_bytes()) ^ state.call_hash;
        let chosen = candidates.min_by_key(|peer| (peer.calls(), tie(&peer.entry.name)))?;
        Some(DetourSpec {
            router: chosen.entry.name.clone(),
            address: chosen.entry.caller_address,
            key: chosen.entry.detour_key.clone(),
            attempts: state.attempts,
            version: state.version,
            deadline: state.deadline,
        })
    }
}
