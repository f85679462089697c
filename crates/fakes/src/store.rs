//! Object store of the platform stand-in, with versions, conditional writes and a change log.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Condition that an object must meet for a write to take effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteCondition {
    /// The write is unconditional.
    Any,
    /// The object must not exist.
    Absent,
    /// The object must have this version.
    Version(u64),
}

/// An object at one version, or its deletion at that version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StoredObject {
    /// Path of the object below `/objects/`.
    pub key: Box<str>,
    /// Revision of the store at the write.
    pub version: u64,
    /// Value of the object; absent when the object was deleted.
    pub value: Option<Value>,
}

/// All objects and the log of their changes.
#[derive(Debug, Default)]
pub struct ObjectStore {
    revision: u64,
    objects: BTreeMap<Box<str>, StoredObject>,
    log: Vec<StoredObject>,
}

impl ObjectStore {
    /// Revision of the latest write.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Reads an object.
    pub fn read(&self, key: &str) -> Option<&StoredObject> {
        self.objects.get(key)
    }

    /// Writes or deletes an object; returns the version, or `None` when the condition is not met.
    pub fn write(
        &mut self,
        key: &str,
        condition: WriteCondition,
        value: Option<Value>,
    ) -> Option<u64> {
        let current = self.objects.get(key).map(|object| object.version);
        let is_met = match condition {
            WriteCondition::Any => true,
            WriteCondition::Absent => current.is_none(),
            WriteCondition::Version(version) => current == Some(version),
        };
        if !is_met {
            return None;
        }
        self.revision += 1;
        let object = StoredObject { key: key.into(), version: self.revision, value };
        if object.value.is_some() {
            self.objects.insert(key.into(), object.clone());
        } else {
            self.objects.remove(key);
        }
        self.log.push(object);
        Some(self.revision)
    }

    /// The latest change.
    pub fn last_change(&self) -> Option<&StoredObject> {
        self.log.last()
    }

    /// Applies a change from the journal of an earlier process.
    pub fn restore(&mut self, object: StoredObject) {
        self.revision = self.revision.max(object.version);
        if object.value.is_some() {
            self.objects.insert(object.key.clone(), object.clone());
        } else {
            self.objects.remove(&object.key);
        }
        self.log.push(object);
    }

    /// Objects whose keys start with a prefix.
    pub fn list(&self, prefix: &str) -> Vec<StoredObject> {
        let from = self.objects.range(Box::<str>::from(prefix)..);
        from.take_while(|(key, _)| key.starts_with(prefix))
            .map(|(_, object)| object.clone())
            .collect()
    }

    /// Changes to objects below a prefix, after a revision.
    pub fn changes_since(&self, prefix: &str, revision: u64) -> Vec<StoredObject> {
        let start = self.log.partition_point(|object| object.version <= revision);
        let later = self.log[start..].iter();
        later.filter(|object| object.key.starts_with(prefix)).cloned().collect()
    }
}
