//! Queueing of requests that find no target with room, and client account limits.

use std::time::Duration;

use base_types::{AccountShare, IncomingRequest, NotRunCode, PeerNotice, PoolName, TimePoint};
use policy_admission::{AccountLimit, FairQueue, QueuedRequest};
use state_tables::PoolRow;

use crate::{
    Effect,
    core::RouterCore,
    request::{Fresh, LiveRequest, Request},
};

/// Longest time that a request waits in the queue for a target with room.
const QUEUE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Interval between notices of this router's heaviest accounts.
const ACCOUNT_SHARE_INTERVAL: Duration = Duration::from_secs(1);

impl RouterCore {
    /// Whether requests of the pool are queued, so that a new one must queue behind them.
    pub(super) fn must_wait(&self, pool: &PoolName) -> bool {
        self.queues.get(pool).is_some_and(|queue| !queue.is_empty())
    }

    /// Queues a request, or refuses it when its account's queue or the pool's queue is full.
    pub(super) fn enqueue(&mut self, now: TimePoint, request: Request<Fresh>) {
        let incoming = &request.incoming;
        let queued = QueuedRequest {
            request: incoming.request,
            account: incoming.account.clone(),
            tokens: incoming.estimated_tokens,
            deadline: incoming.deadline.min(now.after(QUEUE_TIMEOUT)),
        };
        let queue = self.queues.entry(request.pool.clone()).or_default();
        if queue.push(queued).is_err() {
            return self.refuse_fresh(now, request, NotRunCode::QueueFull);
        }
        let sentence = format!(
            "Queued: every target of pool `{}` is at its load bound or earlier requests wait; this \
             router has {} requests of the pool queued.",
            request.pool,
            queue.len(),
        );
        let key = incoming.request;
        self.record_decision(now, key, sentence);
        self.requests.insert(key, LiveRequest::Fresh(request));
    }

    /// Refuses queued requests whose deadline passed and dispatches those that a target has room
    /// for.
    pub(super) fn dispatch_queued(&mut self, now: TimePoint) {
        if self.queues.is_empty() {
            return;
        }
        let mut queues = std::mem::take(&mut self.queues);
        for (name, queue) in &mut queues {
            self.expire_queue(now, queue);
            let Some(pool) = self.tables.pool(name).cloned() else { continue };
            self.dispatch_pool_queue(now, queue, &pool);
        }
        queues.retain(|_, queue| !queue.is_empty());
        self.queues = queues;
    }

    /// Charges the request to its account, whose tokens over all pools with a limit count
    /// against the limit of this pool; `Err` holds the time to retry after.
    pub(super) fn charge_account(
        &mut self,
        now: TimePoint,
        incoming: &IncomingRequest,
        pool: &PoolRow,
    ) -> Result<(), TimePoint> {
        if pool.account_token_rate == 0 {
            return Ok(());
        }
        if self.account_share_due_at == TimePoint::NEVER {
            self.account_share_due_at = now.after(ACCOUNT_SHARE_INTERVAL);
        }
        let limit = AccountLimit { token_rate: pool.account_token_rate };
        self.account_limits.admit(now, &incoming.account, incoming.estimated_tokens, limit)
    }

    /// Publishes the heaviest accounts to the other routers while accounts have traffic to pools
    /// with a limit; the last share is empty.
    pub(super) fn publish_accounts(&mut self, now: TimePoint) {
        if !self.account_share_due_at.passed(now) {
            return;
        }
        let accounts = self.account_limits.heaviest(now);
        let busy = !accounts.is_empty();
        self.account_share_due_at =
            if busy { now.after(ACCOUNT_SHARE_INTERVAL) } else { TimePoint::NEVER };
        self.account_share_sequence += 1;
        let sequence = self.account_share_sequence;
        let share = AccountShare { router: self.name.clone(), sequence, accounts };
        self.effects.push(Effect::Broadcast(PeerNotice::Accounts(share)));
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

    /// Dispatches requests in order and stops at the first one that no target has room for.
    fn dispatch_pool_queue(&mut self, now: TimePoint, queue: &mut FairQueue, pool: &PoolRow) {
        while let Some(queued) = queue.peek() {
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
