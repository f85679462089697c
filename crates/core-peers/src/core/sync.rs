//! Finding and repairing what a router missed.

use std::{collections::BTreeMap, time::Duration};

use base_types::TimePoint;
use state_spreading::EntryVersion;

use crate::{
    Heartbeat, LinkKey, PeerEffect, SpreadEntry, SyncAsk, SyncReply, budget::Urgency,
    core::PeerCore,
};

/// Time for which digests may differ before entries are compared; what is under way arrives.
const DIFFERENCE_KEEP: Duration = Duration::from_millis(800);
const ASK_EVERY: Duration = Duration::from_secs(1);
const VERSIONS_MAX: usize = 8_000;
const FETCH_MAX: usize = 2_000;
const ENTRIES_BYTES: usize = 150_000;

impl PeerCore {
    /// Answers a peer's question for entries.
    pub fn answer_sync(&self, ask: &SyncAsk) -> SyncReply {
        match ask {
            SyncAsk::Versions(buckets) => self.differing_versions(buckets),
            SyncAsk::Fetch(keys) => SyncReply::Entries(self.fetch(keys)),
        }
    }

    /// Of the two sides of a link, the one with the lower key compares; a router that lacks the
    /// tables compares at once.
    pub(super) fn compare_digests(&mut self, now: TimePoint, key: LinkKey, heard: Heartbeat) {
        let same_rows = heard.row_digest == self.store.first_group_digest();
        if same_rows && heard.complete {
            self.complete_tables();
        }
        let same = same_rows && heard.other_digest == self.store.second_group_digest();
        let lacks_tables = heard.complete && !self.complete;
        let Some(link) = self.links.get_mut(&key) else { return };
        if same {
            link.differs_since = None;
            return;
        }
        let since = *link.differs_since.get_or_insert(now);
        let is_due = now.since(since) >= DIFFERENCE_KEEP && self.own_key < link.member;
        if link.is_asking || !link.ask_at.passed(now) || !(is_due || lacks_tables) {
            return;
        }
        if !lacks_tables && !self.budget.allows(Urgency::Repair) {
            self.shed += 1;
            return;
        }
        link.is_asking = true;
        link.ask_at = now.after(ASK_EVERY);
        let ask = SyncAsk::Versions(self.store.bucket_digests());
        self.effects.push(PeerEffect::Ask(key, ask));
    }

    pub(super) fn on_sync(&mut self, now: TimePoint, key: LinkKey, reply: SyncReply) {
        let Some(link) = self.links.get_mut(&key) else { return };
        link.is_asking = false;
        match reply {
            SyncReply::Versions { buckets, versions } => {
                self.on_versions(key, &buckets, &versions);
            }
            SyncReply::Entries(entries) => {
                for entry in entries {
                    self.adopt(now, entry, Some(key));
                }
            }
        }
    }

    pub(super) fn on_sync_failed(&mut self, key: LinkKey) {
        if let Some(link) = self.links.get_mut(&key) {
            link.is_asking = false;
        }
    }

    /// Fetches what the peer holds at a higher version, and queues what it lacks.
    fn on_versions(&mut self, key: LinkKey, buckets: &[u8], versions: &[EntryVersion]) {
        let theirs: BTreeMap<u64, u64> =
            versions.iter().map(|entry| (entry.key, entry.version)).collect();
        let lacks = |entry: &&EntryVersion| {
            self.store.version(entry.key).is_none_or(|version| version < entry.version)
        };
        let wanted: Vec<u64> =
            versions.iter().filter(lacks).map(|entry| entry.key).take(FETCH_MAX).collect();
        let own = buckets.iter().flat_map(|bucket| self.store.bucket_versions(*bucket));
        let missed = own.filter(|entry| theirs.get(&entry.key).is_none_or(|v| *v < entry.version));
        let missed: Vec<u64> = missed.map(|entry| entry.key).collect();
        let dead = theirs.iter().filter(|(entry, version)| {
            self.store.version(**entry).is_some_and(|own| own > **version)
        });
        let dead: Vec<u64> = dead.map(|(entry, _)| *entry).collect();
        let Some(link) = self.links.get_mut(&key) else { return };
        link.entries.extend(missed.into_iter().chain(dead));
        if !wanted.is_empty() {
            link.is_asking = true;
            self.effects.push(PeerEffect::Ask(key, SyncAsk::Fetch(wanted)));
        }
    }

    fn differing_versions(&self, theirs: &[u32]) -> SyncReply {
        let mut buckets = Vec::new();
        let mut versions = Vec::new();
        for bucket in self.store.differing_buckets(theirs) {
            if versions.len() >= VERSIONS_MAX {
                break;
            }
            buckets.push(bucket);
            versions.extend(self.store.bucket_versions(bucket));
        }
        SyncReply::Versions { buckets, versions }
    }

    fn fetch(&self, keys: &[u64]) -> Vec<SpreadEntry> {
        let mut bytes = 0;
        let mut entries = Vec::new();
        for entry in keys.iter().take(FETCH_MAX).filter_map(|key| self.store.get(*key)) {
            bytes += postcard::experimental::serialized_size(entry).unwrap_or(ENTRIES_BYTES);
            if bytes > ENTRIES_BYTES && !entries.is_empty() {
                break;
            }
            entries.push(entry.clone());
        }
        entries
    }
}
