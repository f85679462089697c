//! Explanations of the state of a target, a client account or a row, as sentences.

use base_types::{AccountName, TimePoint};
use policy_targets::TargetPhase;
use state_tables::{RejectedRow, RowContent, RowKey};

use crate::{TargetRecord, core::RouterCore, request::LiveRequest};

impl RouterCore {
    /// Explains whether a target gets work, and why.
    pub fn explain_target(&self, now: TimePoint, name: &str) -> Vec<String> {
        let Some(record) = self.targets.records().find(|record| record.name.as_str() == name)
        else {
            let sentence = "The agreed host list, as this router knows it, has never named \
                            the target; a new host appears once the platform's list catches up.";
            return vec![sentence.to_owned()];
        };
        let mut sentences = vec![record.location_sentence()];
        sentences.push(record.phase_sentence(now));
        sentences.push(record.load_sentence());
        let pools = self.tables.pools().filter(|pool| pool.group == record.group);
        let pools: Vec<String> = pools
            .map(|pool| {
                format!(
                    "Pool `{}` selects its group and limits a target to {} requests at once and \
                     to {} times the mean load.",
                    pool.name, pool.target_slots, pool.max_load_ratio,
                )
            })
            .collect();
        if pools.is_empty() {
            sentences.push(format!("No pool in force selects the group `{}`.", record.group));
        }
        sentences.extend(pools);
        sentences
    }

    /// Counts the requests of a client account on this router, by whether an attempt is in flight.
    pub fn explain_account(&self, account: &AccountName) -> Vec<String> {
        let account_requests =
            self.requests.values().filter(|request| request.account() == account);
        let (in_flight, others): (Vec<_>, Vec<_>) =
            account_requests.partition(|request| request.has_attempt_in_flight());
        vec![
            format!(
                "This router has {} requests of client account `{account}` in flight at targets \
                 and {} others (queued, delayed, being claimed, retried or recorded).",
                in_flight.len(),
                others.len(),
            ),
            "Requests that entered at other routers are reported by those routers.".to_owned(),
        ]
    }

    /// Explains which version of a row is in force and why a later one was rejected.
    pub fn explain_row(&self, key: &RowKey) -> Vec<String> {
        let mut sentences = vec![self.in_force_sentence(key)];
        sentences.extend(
            self.tables
                .rejected_rows()
                .filter(|rejected| rejected.key == *key)
                .map(rejected_row_sentence),
        );
        if !self.tables_complete {
            sentences.push("This router does not have all table rows yet.".to_owned());
        }
        sentences
    }

    fn in_force_sentence(&self, key: &RowKey) -> String {
        let Some(change) = self.tables.in_force(key) else {
            return match self.tables.floor(key.table()) {
                Some(floor) => format!(
                    "No {key} is in force: the platform had none when this router read the table \
                     at revision {}, and this router has received none since.",
                    floor.0
                ),
                None => format!("No {key} is in force: this router has received none."),
            };
        };
        match change.content {
            RowContent::Tombstone => {
                format!("The {key} was deleted at version {}.", change.version.0)
            }
            _ => format!("Version {} of {key} is in force.", change.version.0),
        }
    }
}

fn rejected_row_sentence(rejected: RejectedRow) -> String {
    let fallback = match rejected.in_force {
        Some(version) => format!("version {} stays in force", version.0),
        None => "no earlier valid version is known".to_owned(),
    };
    let faults: Vec<String> = rejected.faults.iter().map(ToString::to_string).collect();
    let faults =
        if faults.is_empty() { "other rejected rows".to_owned() } else { faults.join("; ") };
    format!(
        "Version {} was rejected and is not in force; {fallback}. Cause: {faults}.",
        rejected.version.0,
    )
}

impl TargetRecord {
    fn location_sentence(&self) -> String {
        format!(
            "Target `{}` of group `{}` is at {} in failure domain `{}`.",
            self.name, self.group, self.address, self.failure_domain,
        )
    }

    fn phase_sentence(&self, now: TimePoint) -> String {
        match self.lifecycle.phase(now) {
            TargetPhase::Serving => "It takes new work.".to_owned(),
            TargetPhase::Starting(until) => format!(
                "It joined or returned and is in slow start: it gets {} percent of its usual work \
                 now, and all of it in {} ms.",
                self.lifecycle.work_percent(now),
                until.since(now).as_millis(),
            ),
            TargetPhase::Held(until) => format!(
                "It is ejected and gets no new work for another {} ms, because it refused a \
                 connection, lost a request or left the host list.",
                until.since(now).as_millis(),
            ),
            TargetPhase::Drained => "It gets no new work: an operator drains it.".to_owned(),
            TargetPhase::Leaving(_) => {
                "It gets no new work: the agreed host list or the target itself reports it as \
                 leaving."
                    .to_owned()
            }
            TargetPhase::Unlisted => {
                "It gets no new work: the agreed host list no longer names it.".to_owned()
            }
        }
    }

    fn load_sentence(&self) -> String {
        format!(
            "This router has {} requests in flight there, and other routers have about {} (from \
             their load shares or the target's latest report).",
            self.own_in_flight, self.peer_in_flight,
        )
    }
}

impl LiveRequest {
    fn account(&self) -> &AccountName {
        match self {
            Self::Fresh(request) => &request.incoming.account,
            Self::Sent(request) => &request.incoming.account,
            Self::Retrying(request) => &request.incoming.account,
            Self::Recording(request) => &request.incoming.account,
        }
    }

    fn has_attempt_in_flight(&self) -> bool {
        matches!(self, Self::Sent(_))
    }
}
