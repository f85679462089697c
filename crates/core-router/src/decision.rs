//! Records of decisions, from which questions about them are answered.

use std::collections::{BTreeMap, VecDeque};

use base_types::{RequestKey, TimePoint, message_types};

const RECORDS_MAX: usize = 4096;

message_types! {
    /// What was decided about one request, in plain sentences with the inputs used.
    pub struct DecisionRecord {
        /// The request.
        pub request: RequestKey,
        /// When the first decision was made.
        pub decided: TimePoint,
        /// One sentence a decision, in order.
        pub sentences: Vec<Box<str>>,
    }
}

/// The latest decisions; the oldest are dropped first.
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
        let record = DecisionRecord { request, decided: now, sentences: Vec::new() };
        self.records.insert(request, record);
    }
}
