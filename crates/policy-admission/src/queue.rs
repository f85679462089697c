//! Fair queueing of client accounts (self-clocked fair queueing, Golestani 1994).
//!
//! Each account has a bounded queue. A request's finish tag is the later of the queue's virtual time and the
//! account's last tag, plus its expected work; the least tag goes first. An account that surges
//! therefore waits behind its own requests, and others pass.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use base_types::{AccountName, RequestKey, TimePoint, message_types};

const ACCOUNT_QUEUE_MAX: usize = 64;
const QUEUE_MAX: usize = 4096;

message_types! {
    /// A request that waits.
    pub struct QueuedRequest {
        /// The request.
        pub request: RequestKey,
        /// The client account.
        pub account: AccountName,
        /// Expected work in tokens.
        pub tokens: u32,
        /// Point at which the wait ends.
        pub deadline: TimePoint,
    }
}

/// Waiting requests of one pool.
#[derive(Debug, Default)]
pub struct FairQueue {
    accounts: BTreeMap<AccountName, AccountQueue>,
    heads: BTreeSet<(u64, AccountName)>,
    deadlines: BTreeSet<(TimePoint, RequestKey)>,
    owners: BTreeMap<RequestKey, AccountName>,
    virtual_time: u64,
}

#[derive(Debug, Default)]
struct AccountQueue {
    waiting: VecDeque<TaggedRequest>,
    last_tag: u64,
}

#[derive(Debug)]
struct TaggedRequest {
    queued: QueuedRequest,
    tag: u64,
}

impl FairQueue {
    /// Takes a request, or gives it back when its account's queue or the whole queue is full.
    pub fn push(&mut self, queued: QueuedRequest) -> Result<(), QueuedRequest> {
        let length = self.accounts.get(&queued.account).map_or(0, |queue| queue.waiting.len());
        let known = self.owners.contains_key(&queued.request);
        if known || length >= ACCOUNT_QUEUE_MAX || self.owners.len() >= QUEUE_MAX {
            return Err(queued);
        }
        self.deadlines.insert((queued.deadline, queued.request));
        self.owners.insert(queued.request, queued.account.clone());
        let queue = self.accounts.entry(queued.account.clone()).or_default();
        let tag = queue.last_tag.max(self.virtual_time) + u64::from(queued.tokens.max(1));
        queue.last_tag = tag;
        if queue.waiting.is_empty() {
            self.heads.insert((tag, queued.account.clone()));
        }
        queue.waiting.push_back(TaggedRequest { queued, tag });
        Ok(())
    }

    /// The request that goes next.
    pub fn first(&self) -> Option<&QueuedRequest> {
        let (_, account) = self.heads.first()?;
        self.accounts.get(account)?.waiting.front().map(|tagged| &tagged.queued)
    }

    /// Takes out the request that goes next.
    pub fn pop(&mut self) -> Option<QueuedRequest> {
        let (tag, account) = self.heads.pop_first()?;
        self.virtual_time = self.virtual_time.max(tag);
        let queue = self.accounts.get_mut(&account)?;
        let tagged = queue.waiting.pop_front()?;
        self.forget(&tagged.queued);
        self.settle_account(account);
        Some(tagged.queued)
    }

    /// Takes out a request whose wait has ended.
    pub fn pop_expired(&mut self, now: TimePoint) -> Option<RequestKey> {
        let (_, request) = self.deadlines.first().filter(|(at, _)| at.passed(now))?;
        let request = *request;
        self.remove(request);
        Some(request)
    }

    /// Takes out any request, as when its caller left.
    pub fn remove(&mut self, request: RequestKey) -> Option<QueuedRequest> {
        let account = self.owners.get(&request)?.clone();
        let queue = self.accounts.get_mut(&account)?;
        let index = queue.waiting.iter().position(|tagged| tagged.queued.request == request)?;
        let tagged = queue.waiting.remove(index)?;
        self.forget(&tagged.queued);
        self.heads.remove(&(tagged.tag, account.clone()));
        self.settle_account(account);
        Some(tagged.queued)
    }

    /// The next point at which a wait ends.
    pub fn next_deadline(&self) -> TimePoint {
        self.deadlines.first().map_or(TimePoint::NEVER, |(at, _)| *at)
    }

    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.owners.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.owners.is_empty()
    }

    fn forget(&mut self, queued: &QueuedRequest) {
        self.deadlines.remove(&(queued.deadline, queued.request));
        self.owners.remove(&queued.request);
    }

    /// Puts the account's next request in line, or drops an account that owes nothing.
    fn settle_account(&mut self, account: AccountName) {
        let Some(queue) = self.accounts.get(&account) else { return };
        if let Some(next) = queue.waiting.front() {
            self.heads.insert((next.tag, account));
        } else if queue.last_tag <= self.virtual_time {
            self.accounts.remove(&account);
        }
    }
}
