//! Content that was in flight when targets were lost.

use base_types::{Arrival, PeerNotice, SuspectNotice, TargetKey, TimePoint};
use policy_retries::{SuspectKey, SuspectTrial, SuspectVerdict};
use policy_routing::{TargetView, rendezvous_score};
use state_tables::PoolRow;

use crate::{
    Effect,
    core::{RouterCore, dispatch::TargetPick},
    request::{Request, Sent},
};

impl RouterCore {
    /// Tells all routers that a target was lost while it ran a request.
    pub(super) fn suspect(&mut self, now: TimePoint, request: &Request<Sent>) {
        let Some(record) = self.targets.record(request.state.target) else { return };
        let notice = SuspectNotice {
            pool: request.pool.clone(),
            content: request.arrival.content,
            target: record.hash,
        };
        self.suspects.hear(now, notice.clone());
        self.effects.push(Effect::Notify(PeerNotice::Suspect(notice)));
    }

    /// Content that was answered in whole is no suspect any more.
    pub(super) fn clear_suspect(&mut self, now: TimePoint, request: &Request<Sent>) {
        let key = SuspectKey { pool: request.pool.clone(), content: request.arrival.content };
        if self.suspects.clear(&key) {
            let sentence = "Its content was suspect and is cleared by the whole answer.";
            self.note(now, request.arrival.request, sentence.to_owned());
        }
    }

    /// Where a request may go, its content considered first.
    pub(super) fn pick(
        &mut self,
        now: TimePoint,
        arrival: &Arrival,
        tried: &[TargetKey],
        pool: &PoolRow,
    ) -> TargetPick {
        let key = SuspectKey { pool: pool.name.clone(), content: arrival.content };
        match self.suspects.verdict(now, &key) {
            SuspectVerdict::Clear => {
                let choice = self.choose(now, arrival, tried, pool);
                choice.map_or(TargetPick::Nowhere, TargetPick::Target)
            }
            SuspectVerdict::Trial(trial) => self.pick_trial(now, arrival, tried, pool, trial),
            SuspectVerdict::Condemned(until) => TargetPick::Condemned(until),
        }
    }

    /// The one target that all routers give a suspect, among those that did not fail lately.
    fn pick_trial(
        &mut self,
        now: TimePoint,
        arrival: &Arrival,
        tried: &[TargetKey],
        pool: &PoolRow,
        trial: SuspectTrial,
    ) -> TargetPick {
        let views = self.targets.views(&pool.group, pool.target_slots, now);
        let calm = |view: &TargetView| view.percent > 0 && view.calm && view.hash != trial.lost;
        let mut calm: Vec<_> = views.into_iter().filter(calm).collect();
        let score = |view: &TargetView| rendezvous_score(trial.lost, view.hash, 1);
        calm.sort_by(|left, right| score(right).total_cmp(&score(left)));
        let earliest = trial.earliest(calm.len());
        if !earliest.passed(now) {
            return TargetPick::Later(earliest);
        }
        let Some(view) = calm.get(trial.target_index(calm.len())) else {
            return TargetPick::Nowhere;
        };
        if view.load() >= view.slots || tried.contains(&view.target) {
            return TargetPick::Nowhere;
        }
        let sentence = format!(
            "Its content was in flight when a target was lost; it runs once more as suspect {} of that loss, apart from the others.",
            trial.rank + 1,
        );
        self.note(now, arrival.request, sentence);
        let target = view.target;
        self.place(arrival, pool, target).map_or(TargetPick::Nowhere, TargetPick::Target)
    }
}
