//! Statements that are repeated in several heartbeats, as some heartbeats are lost.

use std::collections::VecDeque;

/// Number of heartbeats that contain a statement.
const REPEATS: u8 = 3;

/// Statements to report to the other routers, in the order of their next report.
#[derive(Debug)]
pub(crate) struct ReportQueue<T> {
    /// Each with the number of reports that are left.
    pending: VecDeque<(T, u8)>,
}

impl<T> Default for ReportQueue<T> {
    fn default() -> Self {
        Self { pending: VecDeque::new() }
    }
}

impl<T: Clone> ReportQueue<T> {
    /// Has a statement reported from the next heartbeat on.
    pub(crate) fn push(&mut self, statement: T) {
        self.pending.push_back((statement, REPEATS));
    }

    /// Whether no statement is due.
    pub(crate) fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Drops statements that need no report any more.
    pub(crate) fn retain(&mut self, is_kept: impl Fn(&T) -> bool) {
        self.pending.retain(|(statement, _)| is_kept(statement));
    }

    /// Takes the statements of one heartbeat, at most `count_max`, none of them twice.
    pub(crate) fn next_report(&mut self, count_max: usize) -> Vec<T> {
        let count = self.pending.len().min(count_max);
        let due: Vec<(T, u8)> = self.pending.drain(..count).collect();
        let repeated = due.iter().filter(|(_, reports_left)| *reports_left > 1);
        let repeated =
            repeated.map(|(statement, reports_left)| (statement.clone(), reports_left - 1));
        self.pending.extend(repeated);
        due.into_iter().map(|(statement, _)| statement).collect()
    }
}
