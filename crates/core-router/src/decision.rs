//! Log of recent routing decisions, which answers `explain` queries.

use std::collections::{BTreeMap, VecDeque};

use base_types::{RequestKey, TimePoint, message_types};

/// Requests whose decisions are kept.
const RECORDS_MAX: usize = 4096;

message_types! {
    /// Decisions about one request, as sentences that name the inputs used.
    pub struct DecisionRecord {
        /// Key of the request that the decisions are about.
        pub request: RequestKey,
        /// Time of the first decision.
        pub decided_at: TimePoint,
        /// One sentence per decision, in order.
        pub sentences: Vec<Box<str>>,
    }
}

/// Decisions of the most recent requests; the oldest request is evicted first.
#[derive(Debug, Default)]
pub(crate) struct DecisionLog {
    records: BTreeMap<RequestKey, DecisionRecord>,
    order: VecDeque<RequestKey>,
}

impl DecisionLog {
    pub(crate) fn add(&mut self, request: RequestKey, now: TimePoint, sentence: String) {
        if !self.records.contains_key(&request) {
            self.open_record(request, now);
        }
        let Some(record) = self.records.get_mut(&request) else { return };
        record.sentences.push(sentence.into());
    }

    pub(crate) fn find(&self, request: RequestKey) -> Option<&DecisionRecord> {
        self.records.get(&request)
    }

    fn open_record(&mut self, request: RequestKey, now: TimePoint) {
        if self.order.len() == RECORDS_MAX
            && let Some(oldest) = self.order.pop_front()
        {
            self.records.remove(&oldest);
        }
        self.order.push_back(request);
        let record = DecisionRecord { request, decided_at: now, sentences: Vec::new() };
        self.records.insert(request, record);
    }
}
