//! Handling of suspect content: content that was in flight when a target was lost.

use base_types::{IncomingRequest, PeerNotice, SuspectNotice, TargetKey, TimePoint};
use policy_retries::{SuspectKey, SuspectTrial, SuspectVerdict};
use policy_routing::{TargetView, rendezvous_score};
use state_tables::PoolRow;

use crate::{
    Effect,
    core::{RouterCore, dispatch::TargetPick},
    request::{Request, Sent},
};

impl RouterCore {
    /// Marks the request's content as suspect, as its target was lost, and notifies all routers.
    pub(super) fn report_suspect(&mut self, now: TimePoint, request: &Request<Sent>) {
        let Some(record) = self.targets.record(request.state.target) else { return };
        let notice = SuspectNotice {
            pool: request.pool.clone(),
            content: request.incoming.content_digest,
            target_hash: record.hash,
        };
        self.suspects.on_notice(now, notice.clone());
        self.effects.push(Effect::Broadcast(PeerNotice::Suspect(notice)));
    }

    /// Clears suspect content once a target has answered it completely.
    pub(super) fn clear_suspect(&mut self, now: TimePoint, request: &Request<Sent>) {
        let key =
            SuspectKey { pool: request.pool.clone(), content: request.incoming.content_digest };
        if self.suspects.clear(&key) {
            let sentence = "Its content was suspect and is cleared by the complete answer.";
            self.record_decision(now, request.incoming.request, sentence.to_owned());
        }
    }

    /// Picks a target for a request; suspect content gets its assigned trial target only.
    pub(super) fn pick_target(
        &mut self,
        now: TimePoint,
        incoming: &IncomingRequest,
        attempted_targets: &[TargetKey],
        pool: &PoolRow,
    ) -> TargetPick {
        let key = SuspectKey { pool: pool.name.clone(), content: incoming.content_digest };
        match self.suspects.verdict(now, &key) {
            SuspectVerdict::Clear => {
                let choice = self.choose_by_affinity(now, incoming, attempted_targets, pool);
                choice.map_or(TargetPick::NoTarget, TargetPick::Target)
            }
            SuspectVerdict::Trial(trial) => {
                self.pick_trial_target(now, incoming, attempted_targets, pool, trial)
            }
            SuspectVerdict::Blocked(until) => TargetPick::Blocked(until),
        }
    }

    /// Picks the trial target of suspect content, the same on every router, among targets without a
    /// recent failure.
    fn pick_trial_target(
        &mut self,
        now: TimePoint,
        incoming: &IncomingRequest,
        attempted_targets: &[TargetKey],
        pool: &PoolRow,
        trial: SuspectTrial,
    ) -> TargetPick {
        let views = self.targets.views(&pool.group, pool.target_slots, now);
        let is_eligible = |view: &TargetView| {
            view.weight_percent > 0 && view.is_healthy && view.target_hash != trial.lost_target
        };
        let mut candidates: Vec<_> = views.into_iter().filter(is_eligible).collect();
        let score = |view: &TargetView| rendezvous_score(trial.lost_target, view.target_hash, 1);
        candidates.sort_by(|left, right| score(right).total_cmp(&score(left)));
        let earliest_start = trial.earliest_start(candidates.len());
        if !earliest_start.passed(now) {
            return TargetPick::Delayed(earliest_start);
        }
        let Some(view) = candidates.get(trial.target_index(candidates.len())) else {
            return TargetPick::TrialTargetUnavailable;
        };
        if view.load() >= view.slots || attempted_targets.contains(&view.target) {
            return TargetPick::TrialTargetUnavailable;
        }
        let sentence = format!(
            "Its content was in flight when a target was lost; it is sent as \
             trial {} among the suspects of this and recent losses, isolated from the others.",
            trial.rank + 1,
        );
        self.record_decision(now, incoming.request, sentence);
        let target = view.target;
        self.record_placement(incoming, pool, target)
            .map_or(TargetPick::TrialTargetUnavailable, TargetPick::Target)
    }
}
