//! What the platform's objects hold: rows, the guard of the tables, and audit entries.

use std::{fmt, str::FromStr};

use base_types::{HostName, OperatorName, RowVersion, TeamName, key_types, value_types};
use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error};
use serde_json::Value;

use crate::{PoolRow, RouteRow, RowChange, RowContent, RowFault, RowKey, check::check_row};

/// Key of the object that orders all edits.
pub const GUARD_OBJECT: &str = "tables/guard";
/// Prefix of the objects that hold audit entries.
pub const AUDIT_PREFIX: &str = "audit/";

/// Key of an edit: its place in the order of all edits and a number that no other edit has.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct EditKey {
    /// Place in the order of all edits.
    pub sequence: u64,
    /// Random number of the edit.
    pub nonce: u64,
}

key_types! {
    /// How an edit ended.
    #[serde(rename_all = "kebab-case", tag = "outcome")]
    pub enum EditOutcome {
        /// The row holds the edit at this version.
        Accepted {
            /// Version of the row.
            version: RowVersion,
        },
        /// The row was changed past the administration API, so that the edit never took effect.
        Overwritten,
    }
}

value_types! {
    /// A row's object; one without a row is a tombstone.
    #[serde(deny_unknown_fields)]
    pub struct RowRecord {
        /// The edit that wrote the object.
        pub edit: EditKey,
        /// The row, absent when it was deleted.
        #[serde(default)]
        pub row: Option<Value>,
    }

    /// An edit as the guard and the audit trail keep it.
    pub struct EditRecord {
        /// Key of the edit.
        pub edit: EditKey,
        /// The edit of the same row before this one.
        pub previous: Option<EditKey>,
        /// Key of the row's object.
        pub row: Box<str>,
        /// Version that the edit replaces; absent when the object did not exist.
        pub expected: Option<RowVersion>,
        /// Who made the edit.
        pub operator: OperatorName,
        /// Team of the operator.
        pub team: TeamName,
        /// Router that took the edit.
        pub router: HostName,
        /// When the edit was made, in milliseconds since the Unix epoch.
        pub at_ms: u64,
        /// Why, in the operator's words.
        pub reason: Box<str>,
        /// The row before the edit.
        pub before: Option<Value>,
        /// The row after the edit; absent when it deletes the row.
        pub after: Option<Value>,
        /// How it ended; absent while it is pending.
        pub end: Option<EditOutcome>,
    }

    /// The object that orders all edits: each begins and ends with a write to it.
    pub struct GuardRecord {
        /// Number of edits begun.
        pub sequence: u64,
        /// The edit that has begun and not ended.
        pub pending: Option<EditRecord>,
    }
}

impl EditKey {
    /// Key of the object that holds the edit's audit entry.
    pub fn audit_object(self) -> String {
        audit_object(self.sequence)
    }
}

/// Key of the object that holds the audit entry of a place in the order of all edits.
pub fn audit_object(sequence: u64) -> String {
    format!("{AUDIT_PREFIX}{sequence:012}")
}

impl fmt::Display for EditKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{:016x}", self.sequence, self.nonce)
    }
}

/// The text is not the key of an edit.
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
    /// Reads a row's object; an object that holds no valid row becomes [`RowContent::Invalid`].
    pub fn from_object(key: RowKey, version: RowVersion, value: Option<Value>) -> Self {
        let content = value.map_or(Ok(RowContent::Tombstone), |value| read_record(&key, value));
        let content = content.unwrap_or_else(RowContent::Invalid);
        Self { key, version, content }
    }
}

fn read_record(key: &RowKey, value: Value) -> Result<RowContent, Vec<RowFault>> {
    let record: RowRecord = parse(key, value)?;
    record.row.map_or(Ok(RowContent::Tombstone), |row| RowContent::read(key, row))
}

impl RowContent {
    /// Reads a row and checks whatever can be checked without other rows.
    ///
    /// # Errors
    ///
    /// Returns every fault found.
    pub fn read(key: &RowKey, row: Value) -> Result<Self, Vec<RowFault>> {
        let content = match key {
            RowKey::Route(_) => Self::Route(parse::<RouteRow>(key, row)?),
            RowKey::Pool(_) => Self::Pool(parse::<PoolRow>(key, row)?),
        };
        let faults = check_row(key, &content);
        if faults.is_empty() { Ok(content) } else { Err(faults) }
    }
}

fn parse<T: serde::de::DeserializeOwned>(key: &RowKey, value: Value) -> Result<T, Vec<RowFault>> {
    serde_json::from_value(value).map_err(|error| {
        let fault = RowFault { key: key.to_string().into(), remedy: error.to_string().into() };
        vec![fault]
    })
}
