//! Contents of the platform objects: rows, the guard of the tables, and audit entries.

use std::{fmt, str::FromStr};

use base_types::{HostName, OperatorName, RowVersion, TeamName, key_types, value_types};
use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error};
use serde_json::Value;

use crate::{PoolRow, RouteRow, RowChange, RowContent, RowFault, RowKey, check::check_row};

/// Key of the guard object, which puts all edits in order.
pub const GUARD_OBJECT: &str = "tables/guard";
/// Key prefix of the objects that hold audit entries.
pub const AUDIT_PREFIX: &str = "audit/";

/// Unique key of an edit: its sequence number and a random number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct EditKey {
    /// Position in the order of all edits, from 1. Competing edits may have the same.
    pub sequence: u64,
    /// Random number that distinguishes edits with the same sequence number.
    pub nonce: u64,
}

key_types! {
    /// How an edit ended.
    #[serde(rename_all = "kebab-case", tag = "outcome")]
    pub enum EditOutcome {
        /// The row was written with this version.
        Accepted {
            /// Version of the row.
            version: RowVersion,
        },
        /// The edit never took effect, because a write that bypassed the administration API changed
        /// the row.
        Overwritten,
    }
}

value_types! {
    /// Content of a row's object; a record without a row is a tombstone.
    #[serde(deny_unknown_fields)]
    pub struct RowRecord {
        /// The edit that wrote the object.
        pub edit: EditKey,
        /// The row; absent when it was deleted.
        #[serde(default)]
        pub row: Option<Value>,
    }

    /// An edit as stored in the guard and in the audit trail.
    pub struct EditRecord {
        /// Key of the edit.
        pub edit: EditKey,
        /// The previous edit of the same row; absent when its object held no edit.
        pub previous: Option<EditKey>,
        /// Key of the row's object.
        pub row: Box<str>,
        /// Version that the edit replaces; absent when the object did not exist.
        pub expected: Option<RowVersion>,
        /// Operator who made the edit.
        pub operator: OperatorName,
        /// Team of the operator.
        pub team: TeamName,
        /// Router that received the edit.
        pub router: HostName,
        /// Time of the request, in milliseconds since the Unix epoch.
        pub at_ms: u64,
        /// Reason in the operator's words.
        pub reason: Box<str>,
        /// The row before the edit; absent when it did not exist.
        pub before: Option<Value>,
        /// The row after the edit; absent when it deletes the row.
        pub after: Option<Value>,
        /// Outcome of the edit; absent while the edit is pending.
        pub end: Option<EditOutcome>,
    }

    /// Content of the guard object, which orders all edits: each edit starts and finishes with a
    /// write to the guard.
    pub struct GuardRecord {
        /// Number of edits started so far.
        pub sequence: u64,
        /// The edit that has started and not finished; at most one at a time.
        pub pending: Option<EditRecord>,
    }
}

impl EditKey {
    /// Key of the object that holds the edit's audit entry.
    pub fn audit_object_key(self) -> String {
        audit_object_key(self.sequence)
    }
}

/// Key of the object that holds the audit entry of the edit with a sequence number.
pub fn audit_object_key(sequence: u64) -> String {
    format!("{AUDIT_PREFIX}{sequence:012}")
}

impl fmt::Display for EditKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{:016x}", self.sequence, self.nonce)
    }
}

/// Error for text that is not a valid edit key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EditKeyError;

impl fmt::Display for EditKeyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an edit key is a number, `-` and 16 hexadecimal digits")
    }
}

impl std::error::Error for EditKeyError {}

impl FromStr for EditKey {
    type Err = EditKeyError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (sequence, nonce) = text.split_once('-').ok_or(EditKeyError)?;
        let sequence = sequence.parse().map_err(|_| EditKeyError)?;
        let nonce = u64::from_str_radix(nonce, 16).map_err(|_| EditKeyError)?;
        Ok(Self { sequence, nonce })
    }
}

impl Serialize for EditKey {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for EditKey {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        Box::<str>::deserialize(deserializer)?.parse().map_err(D::Error::custom)
    }
}

impl RowChange {
    /// Parses a row's object; `None` stands for a removed object. An object without a valid row
    /// becomes [`RowContent::Invalid`].
    pub fn from_object(key: RowKey, version: RowVersion, value: Option<Value>) -> Self {
        let content = value.map_or(Ok(RowContent::Tombstone), |value| parse_record(&key, value));
        let content = content.unwrap_or_else(RowContent::Invalid);
        Self { key, version, content }
    }
}

fn parse_record(key: &RowKey, value: Value) -> Result<RowContent, Vec<RowFault>> {
    let record: RowRecord = parse_json(key, value)?;
    record.row.map_or(Ok(RowContent::Tombstone), |row| RowContent::read(key, row))
}

impl RowContent {
    /// Parses a row and runs the checks that need no other rows.
    ///
    /// # Errors
    ///
    /// Returns every fault found.
    pub fn read(key: &RowKey, row: Value) -> Result<Self, Vec<RowFault>> {
        let content = match key {
            RowKey::Route(_) => Self::Route(parse_json::<RouteRow>(key, row)?),
            RowKey::Pool(_) => Self::Pool(parse_json::<PoolRow>(key, row)?),
        };
        let faults = check_row(key, &content);
        if faults.is_empty() { Ok(content) } else { Err(faults) }
    }
}

fn parse_json<T: serde::de::DeserializeOwned>(
    key: &RowKey,
    value: Value,
) -> Result<T, Vec<RowFault>> {
    serde_json::from_value(value).map_err(|error| {
        let fault = RowFault { key: key.to_string().into(), remedy: error.to_string().into() };
        vec![fault]
    })
}
