//! What the end of a send means for its target and its call.

use base_types::{TargetKey, TimePoint};

use crate::{AttemptEnd, CallKey, ForwardCore, call::LiveCall};

impl ForwardCore {
    /// The target began to answer: it has read the prompt.
    pub fn answer_began(&mut self, key: CallKey) {
        let Some(live) = self.calls.get_mut(&key) else { return };
        let Some(current) = &mut live.current else { return };
        let Some(record) = self.targets.get_mut(current.target) else { return };
        record.unread = record.unread.saturating_sub(u64::from(current.unread));
        current.unread = 0;
        current.began = true;
    }

    /// A send ended. The call stays until [`Self::finish`].
    pub fn attempt_ended(&mut self, now: TimePoint, key: CallKey, end: AttemptEnd) {
        let Some(mut live) = self.calls.remove(&key) else { return };
        self.apply_end(now, &mut live, end);
        self.calls.insert(key, live);
    }

    /// The call is over for its caller.
    pub fn finish(&mut self, key: CallKey) {
        let Some(mut live) = self.calls.remove(&key) else { return };
        self.end_send(&mut live);
    }

    /// A target that did not begin to answer may not have read the last parts of the prompt.
    fn forget_parts(&mut self, live: &LiveCall, target: TargetKey) {
        let Some(hash) = self.targets.get(target).map(|record| record.hash) else { return };
        let own = live.prompt.as_ref().and_then(|prompt| prompt.parts.last());
        if let Some(part) = own {
            self.holders.remove_holder(part.part, hash);
        }
    }

    fn apply_end(&mut self, now: TimePoint, live: &mut LiveCall, end: AttemptEnd) {
        let began = live.current.is_some_and(|current| current.began);
        let Some(target) = self.end_send(live) else { return };
        if !began {
            self.forget_parts(live, target);
        }
        let Some(record) = self.targets.get_mut(target) else { return };
        match end {
            AttemptEnd::Unsent => {
                // Nothing arrived, so that the attempt counts against no limit.
                live.sends -= 1;
                live.unsent += 1;
                record.life.on_failure(now);
                record.on_unreachable(now);
                record.count(now, true);
            }
            AttemptEnd::Misdirected => record.life.on_failure(now),
            AttemptEnd::Declined => {}
            AttemptEnd::Lost => {
                live.may_have_run = true;
                record.life.on_failure(now);
                record.count(now, true);
            }
            AttemptEnd::Failed | AttemptEnd::Silent => {
                live.may_have_run = true;
                record.count(now, true);
            }
            AttemptEnd::Whole => {
                live.may_have_run = true;
                record.count(now, false);
            }
            AttemptEnd::Abandoned | AttemptEnd::Expired => live.may_have_run = true,
        }
    }
}
