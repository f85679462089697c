//! Which held versions come into force, so that the rows in force stay valid together.

use std::collections::{BTreeMap, BTreeSet};

use base_types::{PoolName, RowVersion};

use crate::{RouteRow, RowChange, RowContent, RowKey, TableSet, slot::RowSlot};

impl TableSet {
    /// Puts in force what is valid: all of it, else each held version by itself, else the largest
    /// group that is left when versions at fault are withdrawn one after the other.
    pub(crate) fn resolve(&mut self) {
        loop {
            if RowSelection::latest(self).fault().is_none() {
                let selection = RowSelection::latest(self).versions();
                self.enforce(selection);
                return;
            }
            let single = self.first_single();
            let group = match single {
                Some(single) => vec![single],
                None => RowSelection::latest(self).settle(),
            };
            if !self.enforce(group) {
                return;
            }
        }
    }

    /// The earliest held version that is valid with the rows in force as they are.
    fn first_single(&self) -> Option<(RowKey, RowVersion)> {
        let mut held: Vec<&RowChange> = self
            .slots
            .values()
            .filter(|slot| !slot.held.is_empty())
            .filter_map(|slot| slot.candidates().next())
            .filter(|change| self.in_force(&change.key) != Some(change))
            .collect();
        held.sort_by_key(|change| change.version);
        let valid = held.into_iter().find(|change| RowSelection::single(self, change).is_valid());
        valid.map(|change| (change.key.clone(), change.version))
    }

    fn enforce(&mut self, versions: Vec<(RowKey, RowVersion)>) -> bool {
        let mut changed = false;
        for (key, version) in versions {
            let Some(slot) = self.slots.get_mut(&key) else { continue };
            let before = slot.in_force.as_ref().map(|change| change.version);
            slot.enforce(version);
            changed |= before != slot.in_force.as_ref().map(|change| change.version);
        }
        changed
    }
}

/// One candidate of each row, taken together.
struct RowSelection<'a> {
    slots: &'a BTreeMap<RowKey, RowSlot>,
    chosen: BTreeMap<&'a RowKey, &'a RowChange>,
}

impl<'a> RowSelection<'a> {
    fn latest(table: &'a TableSet) -> Self {
        let chosen = table.slots.iter().filter_map(|(key, slot)| {
            let change = slot.candidates().next()?;
            Some((key, change))
        });
        Self { slots: &table.slots, chosen: chosen.collect() }
    }

    fn single(table: &'a TableSet, change: &'a RowChange) -> Self {
        let in_force = table.rows_in_force().map(|change| (&change.key, change));
        let mut chosen: BTreeMap<&RowKey, &RowChange> = in_force.collect();
        chosen.insert(&change.key, change);
        Self { slots: &table.slots, chosen }
    }

    fn is_valid(&self) -> bool {
        self.fault().is_none()
    }

    /// Withdraws versions at fault until none is; the rows in force are valid, so this ends.
    fn settle(mut self) -> Vec<(RowKey, RowVersion)> {
        while let Some(key) = self.fault() {
            self.withdraw(key);
        }
        self.versions()
    }

    fn versions(&self) -> Vec<(RowKey, RowVersion)> {
        self.chosen.values().map(|change| (change.key.clone(), change.version)).collect()
    }

    fn withdraw(&mut self, key: &'a RowKey) {
        let chosen = self.chosen.remove(key);
        let Some(slot) = self.slots.get(key) else { return };
        let below = slot
            .candidates()
            .find(|change| chosen.is_some_and(|chosen| change.version < chosen.version));
        if let Some(change) = below {
            self.chosen.insert(key, change);
        }
    }

    /// The row to withdraw: the later of two rows that contradict each other.
    fn fault(&self) -> Option<&'a RowKey> {
        self.missing_pool().or_else(|| self.doubled_path())
    }

    fn missing_pool(&self) -> Option<&'a RowKey> {
        let pools: BTreeSet<&PoolName> =
            self.chosen.values().filter_map(|c| pool_name(c)).collect();
        let (route, row) = self.routes().find(|(_, row)| !pools.contains(&row.pool))?;
        let pool = RowKey::Pool(row.pool.clone());
        let deleted = self.chosen.get_key_value(&pool).filter(|(key, _)| self.is_held(key));
        let deleted = deleted.filter(|(key, _)| self.has_pool_in_force(key));
        let Some((pool, tombstone)) = deleted else { return Some(&route.key) };
        let later = tombstone.version > route.version || !self.is_held(&route.key);
        Some(if later { *pool } else { &route.key })
    }

    fn doubled_path(&self) -> Option<&'a RowKey> {
        let mut owners: BTreeMap<&str, &RowChange> = BTreeMap::new();
        for (change, row) in self.routes() {
            let Some(owner) = owners.insert(&row.path, change) else { continue };
            let later = change.version > owner.version;
            let change_loses = !self.is_held(&owner.key) || (later && self.is_held(&change.key));
            return Some(if change_loses { &change.key } else { &owner.key });
        }
        None
    }

    fn routes(&self) -> impl Iterator<Item = (&'a RowChange, &'a RouteRow)> {
        self.chosen.values().filter_map(|change| match &change.content {
            RowContent::Route(row) => Some((*change, row)),
            _ => None,
        })
    }

    /// Whether the chosen version of a row is not the one in force.
    fn is_held(&self, key: &RowKey) -> bool {
        let in_force = self.slots.get(key).and_then(|slot| slot.in_force.as_ref());
        self.chosen.get(key).copied() != in_force
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
