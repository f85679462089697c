//! Fair queueing of client accounts (self-clocked fair queueing, Golestani 1994).
//!
//! Each account has a bounded queue. A request's finish tag is the later of the queue's virtual
//! time and the account's last finish tag, plus the request's expected work; the request with the
//! lowest tag is dispatched first. A burst of one account therefore waits behind that account's own
//! requests, and other accounts overtake it.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use base_types::{AccountName, RequestKey, TimePoint, message_types};

/// Requests queued per account.
const ACCOUNT_QUEUE_MAX: usize = 64;

/// Requests queued per pool, over all accounts.
const QUEUE_MAX: usize = 4096;

message_types! {
    /// A queued request, with what its order and its timeout depend on.
    pub struct QueuedRequest {
        /// Key of the request.
        pub request: RequestKey,
        /// Client account, in whose queue the request waits.
        pub account: AccountName,
        /// Expected work in tokens.
        pub tokens: u32,
        /// Time at which the request leaves the queue undispatched.
        pub deadline: TimePoint,
    }
}

/// Queued requests of one pool.
#[derive(Debug)]
pub struct FairQueue {
    account_max: usize,
    queue_max: usize,
    accounts: BTreeMap<AccountName, AccountQueue>,
    heads: BTreeSet<(u64, AccountName)>,
    deadlines: BTreeSet<(TimePoint, RequestKey)>,
    accounts_by_request: BTreeMap<RequestKey, AccountName>,
    virtual_time: u64,
}

#[derive(Debug, Default)]
struct AccountQueue {
    waiting: VecDeque<TaggedRequest>,
    last_finish_tag: u64,
}

#[derive(Debug)]
struct TaggedRequest {
    queued: QueuedRequest,
    finish_tag: u64,
}

impl Default for FairQueue {
    fn default() -> Self {
        Self::with_bounds(ACCOUNT_QUEUE_MAX, QUEUE_MAX)
    }
}

impl FairQueue {
    /// A queue that holds at most `account_max` requests of each account and `queue_max` in all.
    pub fn with_bounds(account_max: usize, queue_max: usize) -> Self {
        Self {
            account_max,
            queue_max,
            accounts: BTreeMap::new(),
            heads: BTreeSet::new(),
            deadlines: BTreeSet::new(),
            accounts_by_request: BTreeMap::new(),
            virtual_time: 0,
        }
    }

    /// Queues a request. Returns the request as an error if its account's queue or the pool's queue
    /// is full, or if its key is already queued.
    pub fn push(&mut self, queued: QueuedRequest) -> Result<(), QueuedRequest> {
        let queued_count =
            self.accounts.get(&queued.account).map_or(0, |queue| queue.waiting.len());
        let is_duplicate = self.accounts_by_request.contains_key(&queued.request);
        if is_duplicate
            || queued_count >= self.account_max
            || self.accounts_by_request.len() >= self.queue_max
        {
            return Err(queued);
        }
        self.deadlines.insert((queued.deadline, queued.request));
        self.accounts_by_request.insert(queued.request, queued.account.clone());
        let queue = self.accounts.entry(queued.account.clone()).or_default();
        let finish_tag =
            queue.last_finish_tag.max(self.virtual_time) + u64::from(queued.tokens.max(1));
        queue.last_finish_tag = finish_tag;
        if queue.waiting.is_empty() {
            self.heads.insert((finish_tag, queued.account.clone()));
        }
        queue.waiting.push_back(TaggedRequest { queued, finish_tag });
        Ok(())
    }

    /// The request to dispatch next.
    pub fn peek(&self) -> Option<&QueuedRequest> {
        let (_, account) = self.heads.first()?;
        self.accounts.get(account)?.waiting.front().map(|tagged| &tagged.queued)
    }

    /// Removes the request to dispatch next.
    pub fn pop(&mut self) -> Option<QueuedRequest> {
        let (finish_tag, account) = self.heads.pop_first()?;
        self.virtual_time = self.virtual_time.max(finish_tag);
        let queue = self.accounts.get_mut(&account)?;
        let tagged = queue.waiting.pop_front()?;
        self.remove_from_indexes(&tagged.queued);
        self.update_account(account);
        Some(tagged.queued)
    }

    /// Removes a request whose deadline has passed.
    pub fn pop_expired(&mut self, now: TimePoint) -> Option<RequestKey> {
        let (_, request) = self.deadlines.first().filter(|(at, _)| at.passed(now))?;
        let request = *request;
        self.remove(request);
        Some(request)
    }

    /// Removes any request, for example when its caller disconnected.
    pub fn remove(&mut self, request: RequestKey) -> Option<QueuedRequest> {
        let account = self.accounts_by_request.get(&request)?.clone();
        let queue = self.accounts.get_mut(&account)?;
        let index = queue.waiting.iter().position(|tagged| tagged.queued.request == request)?;
        let tagged = queue.waiting.remove(index)?;
        self.remove_from_indexes(&tagged.queued);
        self.heads.remove(&(tagged.finish_tag, account.clone()));
        self.update_account(account);
        Some(tagged.queued)
    }

    /// Removes a request that is not going to be dispatched, without charging its account for its
    /// work: later requests of the account move forward.
    pub fn withdraw(&mut self, request: RequestKey) -> Option<QueuedRequest> {
        let account = self.accounts_by_request.get(&request)?.clone();
        let queue = self.accounts.get_mut(&account)?;
        let index = queue.waiting.iter().position(|tagged| tagged.queued.request == request)?;
        let tagged = queue.waiting.remove(index)?;
        let work = u64::from(tagged.queued.tokens.max(1));
        for later in queue.waiting.iter_mut().skip(index) {
            later.finish_tag -= work;
        }
        queue.last_finish_tag -= work;
        self.remove_from_indexes(&tagged.queued);
        self.heads.remove(&(tagged.finish_tag, account.clone()));
        self.update_account(account);
        Some(tagged.queued)
    }

    /// Number of queued requests that are dispatched before a request that is queued now; counts no
    /// further than `count_max`.
    pub fn count_ahead(&self, account: &AccountName, tokens: u32, count_max: usize) -> usize {
        let last_tag = self.accounts.get(account).map_or(0, |queue| queue.last_finish_tag);
        let finish_tag = last_tag.max(self.virtual_time) + u64::from(tokens.max(1));
        let mut count = 0;
        // An account whose first request comes later has none that comes before.
        for (_, account) in self.heads.range(..=(finish_tag, account.clone())) {
            let Some(queue) = self.accounts.get(account) else { continue };
            count += queue.waiting.partition_point(|tagged| tagged.finish_tag <= finish_tag);
            if count >= count_max {
                return count_max;
            }
        }
        count
    }

    /// The request that would be dispatched last.
    pub fn peek_last(&self) -> Option<&QueuedRequest> {
        let tails = self.accounts.values().filter_map(|queue| queue.waiting.back());
        tails.max_by_key(|tagged| tagged.finish_tag).map(|tagged| &tagged.queued)
    }

    /// The earliest deadline of a queued request.
    pub fn next_deadline(&self) -> TimePoint {
        self.deadlines.first().map_or(TimePoint::NEVER, |(at, _)| *at)
    }

    /// Number of queued requests.
    pub fn len(&self) -> usize {
        self.accounts_by_request.len()
    }

    /// Whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.accounts_by_request.is_empty()
    }

    fn remove_from_indexes(&mut self, queued: &QueuedRequest) {
        self.deadlines.remove(&(queued.deadline, queued.request));
        self.accounts_by_request.remove(&queued.request);
    }

    /// Puts the account's next request into `heads`. Removes an account with no queued requests
    /// once its last tag can no longer delay its next request.
    fn update_account(&mut self, account: AccountName) {
        let Some(queue) = self.accounts.get(&account) else { return };
        if let Some(next) = queue.waiting.front() {
            self.heads.insert((next.finish_tag, account));
        } else if queue.last_finish_tag <= self.virtual_time {
            self.accounts.remove(&account);
        }
    }
}
