//! Selection of the newer versions to put in force, so that the rows in force stay valid together.

use std::collections::{BTreeMap, BTreeSet};

use base_types::{PoolName, RowVersion};

use crate::{RouteRow, RowChange, RowContent, RowKey, TableSet, slot::RowSlot};

impl TableSet {
    /// Puts newer versions in force where the result is valid: all latest versions if they are
    /// valid together, else each newest version that is valid together with the rows in force, else
    /// the set that remains after conflicting versions are dropped one by one.
    pub(crate) fn resolve(&mut self) {
        loop {
            if RowSelection::latest_valid(self).conflicting_row().is_none() {
                let selection = RowSelection::latest_valid(self).versions();
                self.put_in_force(selection);
                return;
            }
            let valid = self.first_valid_with_rows_in_force();
            let versions = match valid {
                Some(version) => vec![version],
                None => RowSelection::latest_valid(self).without_conflicts(),
            };
            if !self.put_in_force(versions) {
                return;
            }
        }
    }

    /// The earliest of the rows' newest versions that is valid together with the rows in force.
    fn first_valid_with_rows_in_force(&self) -> Option<(RowKey, RowVersion)> {
        let mut newest: Vec<&RowChange> = self
            .slots
            .values()
            .filter(|slot| !slot.newer.is_empty())
            .filter_map(|slot| slot.candidates().next())
            .filter(|change| self.in_force(&change.key) != Some(change))
            .collect();
        newest.sort_by_key(|change| change.version);
        let valid =
            newest.into_iter().find(|change| RowSelection::with_change(self, change).is_valid());
        valid.map(|change| (change.key.clone(), change.version))
    }

    fn put_in_force(&mut self, versions: Vec<(RowKey, RowVersion)>) -> bool {
        let mut changed = false;
        for (key, version) in versions {
            let Some(slot) = self.slots.get_mut(&key) else { continue };
            let previous = slot.in_force.as_ref().map(|change| change.version);
            slot.put_in_force(version);
            changed |= previous != slot.in_force.as_ref().map(|change| change.version);
        }
        changed
    }
}

/// One candidate version per row, checked as a set.
struct RowSelection<'a> {
    slots: &'a BTreeMap<RowKey, RowSlot>,
    selected: BTreeMap<&'a RowKey, &'a RowChange>,
}

impl<'a> RowSelection<'a> {
    fn latest_valid(table: &'a TableSet) -> Self {
        let selected = table.slots.iter().filter_map(|(key, slot)| {
            let change = slot.candidates().next()?;
            Some((key, change))
        });
        Self { slots: &table.slots, selected: selected.collect() }
    }

    fn with_change(table: &'a TableSet, change: &'a RowChange) -> Self {
        let in_force = table.rows_in_force().map(|change| (&change.key, change));
        let mut selected: BTreeMap<&RowKey, &RowChange> = in_force.collect();
        selected.insert(&change.key, change);
        Self { slots: &table.slots, selected }
    }

    fn is_valid(&self) -> bool {
        self.conflicting_row().is_none()
    }

    /// Falls back to earlier versions of conflicting rows until none conflicts. This terminates,
    /// because the rows in force are valid.
    fn without_conflicts(mut self) -> Vec<(RowKey, RowVersion)> {
        while let Some(key) = self.conflicting_row() {
            self.fall_back(key);
        }
        self.versions()
    }

    fn versions(&self) -> Vec<(RowKey, RowVersion)> {
        self.selected.values().map(|change| (change.key.clone(), change.version)).collect()
    }

    fn fall_back(&mut self, key: &'a RowKey) {
        let selected = self.selected.remove(key);
        let Some(slot) = self.slots.get(key) else { return };
        let older = slot
            .candidates()
            .find(|change| selected.is_some_and(|selected| change.version < selected.version));
        if let Some(change) = older {
            self.selected.insert(key, change);
        }
    }

    /// The row that must fall back to an earlier version: the later of two conflicting rows, unless
    /// its version is in force.
    fn conflicting_row(&self) -> Option<&'a RowKey> {
        self.missing_pool().or_else(|| self.duplicate_path())
    }

    fn missing_pool(&self) -> Option<&'a RowKey> {
        let pools: BTreeSet<&PoolName> =
            self.selected.values().filter_map(|c| pool_name(c)).collect();
        let (route, row) = self.routes().find(|(_, row)| !pools.contains(&row.pool))?;
        let pool = RowKey::Pool(row.pool.clone());
        let removed =
            self.selected.get_key_value(&pool).filter(|(key, _)| self.differs_from_in_force(key));
        let removed = removed.filter(|(key, _)| self.has_pool_in_force(key));
        let Some((pool, tombstone)) = removed else { return Some(&route.key) };
        let is_later = tombstone.version > route.version || !self.differs_from_in_force(&route.key);
        Some(if is_later { *pool } else { &route.key })
    }

    fn duplicate_path(&self) -> Option<&'a RowKey> {
        let mut owners: BTreeMap<&str, &RowChange> = BTreeMap::new();
        for (change, row) in self.routes() {
            let Some(owner) = owners.insert(&row.path, change) else { continue };
            let is_later = change.version > owner.version;
            let change_loses = !self.differs_from_in_force(&owner.key)
                || (is_later && self.differs_from_in_force(&change.key));
            return Some(if change_loses { &change.key } else { &owner.key });
        }
        None
    }

    fn routes(&self) -> impl Iterator<Item = (&'a RowChange, &'a RouteRow)> {
        self.selected.values().filter_map(|change| match &change.content {
            RowContent::Route(row) => Some((*change, row)),
            _ => None,
        })
    }

    /// Whether the selected version of a row is not the one in force.
    fn differs_from_in_force(&self, key: &RowKey) -> bool {
        let in_force = self.slots.get(key).and_then(|slot| slot.in_force.as_ref());
        self.selected.get(key).copied() != in_force
    }

    fn has_pool_in_force(&self, key: &RowKey) -> bool {
        let in_force = self.slots.get(key).and_then(|slot| slot.in_force.as_ref());
        in_force.is_some_and(|change| pool_name(change).is_some())
    }
}

fn pool_name(change: &RowChange) -> Option<&PoolName> {
    match &change.content {
        RowContent::Pool(row) => Some(&row.name),
        _ => None,
    }
}
