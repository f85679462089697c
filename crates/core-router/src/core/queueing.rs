//! Requests that wait for room on a target, and limits of accounts.

use std::time::Duration;

use base_types::{AccountShare, Arrival, NotRunCode, PeerNotice, PoolName, TimePoint};
use policy_admission::{FairQueue, LimitKey, QueuedRequest};
use state_tables::PoolRow;

use crate::{
    Effect,
    core::RouterCore,
    request::{Fresh, LiveRequest, Request},
};

/// Longest wait for room on a target.
const QUEUE_WAIT: Duration = Duration::from_millis(1500);

/// Time between two shares of heavy accounts.
const ACCOUNTS_EVERY: Duration = Duration::from_secs(1);

impl RouterCore {
    /// Whether others of the pool wait, so that a new request must wait behind them.
    pub(super) fn must_wait(&self, pool: &PoolName) -> bool {
        self.queues.get(pool).is_some_and(|queue| !queue.is_empty())
    }

    /// Queues a request, or refuses it at once when its account's queue is full.
    pub(super) fn enqueue(&mut self, now: TimePoint, request: Request<Fresh>) {
        let arrival = &request.arrival;
        let queued = QueuedRequest {
            request: arrival.request,
            account: arrival.account.clone(),
            tokens: arrival.tokens,
            deadline: arrival.deadline.min(now.after(QUEUE_WAIT)),
        };
        let queue = self.queues.entry(request.pool.clone()).or_default();
        if queue.push(queued).is_err() {
            return self.refuse_fresh(now, request, NotRunCode::QueueFull);
        }
        let sentence = format!(
            "Waits for room: every target of pool `{}` is at its bound or others wait; {} of this pool wait here.",
            request.pool,
            queue.len(),
        );
        let key = arrival.request;
        self.note(now, key, sentence);
        self.requests.insert(key, LiveRequest::Fresh(request));
    }

    /// Gives room that came free to waiting requests, and ends waits whose deadline has passed.
    pub(super) fn drain_queues(&mut self, now: TimePoint) {
        if self.queues.is_empty() {
            return;
        }
        let mut queues = std::mem::take(&mut self.queues);
        for (name, queue) in &mut queues {
            self.expire_queue(now, queue);
            let Some(pool) = self.table.pool(name).cloned() else { continue };
            self.drain_queue(now, queue, &pool);
        }
        queues.retain(|_, queue| !queue.is_empty());
        self.queues = queues;
    }

    /// Whether the account's limit on the pool allows a request.
    pub(super) fn within_limit(
        &mut self,
        now: TimePoint,
        arrival: &Arrival,
        pool: &PoolRow,
    ) -> Result<(), TimePoint> {
        if pool.account_token_rate == 0 {
            return Ok(());
        }
        if self.accounts_due == TimePoint::NEVER {
            self.accounts_due = now.after(ACCOUNTS_EVERY);
        }
        let limit = LimitKey { token_rate: pool.account_token_rate };
        self.limits.admit(now, &arrival.account, arrival.tokens, limit)
    }

    /// Tells the others of the heaviest accounts while limits are in use.
    pub(super) fn tell_accounts(&mut self, now: TimePoint) {
        if !self.accounts_due.passed(now) {
            return;
        }
        let accounts = self.limits.heaviest(now);
        let busy = !accounts.is_empty();
        self.accounts_due = if busy { now.after(ACCOUNTS_EVERY) } else { TimePoint::NEVER };
        self.accounts_sequence += 1;
        let sequence = self.accounts_sequence;
        let share = AccountShare { router: self.name.clone(), sequence, accounts };
        self.effects.push(Effect::Notify(PeerNotice::Accounts(share)));
    }

    fn expire_queue(&mut self, now: TimePoint, queue: &mut FairQueue) {
        while let Some(key) = queue.pop_expired(now) {
            match self.requests.remove(&key) {
                Some(LiveRequest::Fresh(request)) => {
                    self.refuse_fresh(now, request, NotRunCode::QueueDeadline);
                }
                Some(live) => drop(self.requests.insert(key, live)),
                None => {}
            }
        }
    }

    /// Stops at the first request that finds no room; those behind it keep their order.
    fn drain_queue(&mut self, now: TimePoint, queue: &mut FairQueue, pool: &PoolRow) {
        while let Some(queued) = queue.first() {
            let key = queued.request;
            match self.requests.remove(&key) {
                Some(LiveRequest::Fresh(request)) => {
                    if !self.has_room(now, &request, pool) {
                        self.requests.insert(key, LiveRequest::Fresh(request));
                        return;
                    }
                    queue.pop();
                    self.dispatch_now(now, request, pool);
                }
                Some(live) => {
                    queue.pop();
                    self.requests.insert(key, live);
                }
                None => drop(queue.pop()),
            }
        }
    }
}
