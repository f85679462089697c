//! Anti-entropy: comparison of digests with a peer, and repair of the entries that differ.

use std::{collections::BTreeMap, time::Duration};

use base_types::TimePoint;
use state_spreading::EntryVersion;

use crate::{
    GossipEntry, Heartbeat, LinkKey, PeerEffect, SyncReply, SyncRequest, budget::TrafficPriority,
    core::PeerCore,
};

/// Time for which digests must differ before entries are compared, so that entries in transit can
/// arrive.
const DIGEST_DIFFERENCE_DELAY: Duration = Duration::from_millis(800);
/// Time between two repairs on one link.
const SYNC_INTERVAL: Duration = Duration::from_secs(1);
const VERSIONS_MAX: usize = 8_000;
const FETCH_MAX: usize = 2_000;
const ENTRIES_BYTES_MAX: usize = 150_000;

impl PeerCore {
    /// Answers a peer's sync request from the stored entries.
    pub fn handle_sync_request(&self, request: &SyncRequest) -> SyncReply {
        match request {
            SyncRequest::Versions(buckets) => self.differing_versions(buckets),
            SyncRequest::Fetch(keys) => SyncReply::Entries(self.fetch(keys)),
        }
    }

    /// Starts a repair if the digests of the two sides differ for long enough. Only the side with
    /// the lower key starts one, except that a router without all rows starts at once if the peer
    /// has them.
    pub(super) fn compare_digests(&mut self, now: TimePoint, key: LinkKey, heartbeat: Heartbeat) {
        let rows_match = heartbeat.row_digest == self.store.primary_group_digest();
        if rows_match && heartbeat.has_all_rows {
            self.mark_all_rows_received();
        }
        let all_match =
            rows_match && heartbeat.member_host_digest == self.store.secondary_group_digest();
        let lacks_rows = heartbeat.has_all_rows && !self.has_all_rows;
        let Some(link) = self.links.get_mut(&key) else { return };
        if all_match {
            link.digests_differ_since = None;
            return;
        }
        let differs_since = *link.digests_differ_since.get_or_insert(now);
        let repair_due =
            now.since(differs_since) >= DIGEST_DIFFERENCE_DELAY && self.own_key < link.member;
        if link.is_sync_in_flight || !link.next_sync_at.passed(now) || !(repair_due || lacks_rows) {
            return;
        }
        if !lacks_rows && !self.budget.allows(TrafficPriority::Repair) {
            self.shed_count += 1;
            return;
        }
        link.is_sync_in_flight = true;
        link.next_sync_at = now.after(SYNC_INTERVAL);
        let request = SyncRequest::Versions(self.store.bucket_digests());
        self.effects.push(PeerEffect::RequestSync(key, request));
    }

    pub(super) fn on_sync_reply(&mut self, now: TimePoint, key: LinkKey, reply: SyncReply) {
        let Some(link) = self.links.get_mut(&key) else { return };
        link.is_sync_in_flight = false;
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
            link.is_sync_in_flight = false;
        }
    }

    /// Fetches the entries that the peer has at a higher version, and queues those that the peer
    /// lacks or has at a lower one.
    fn on_versions(&mut self, key: LinkKey, buckets: &[u8], versions: &[EntryVersion]) {
        let peer_versions: BTreeMap<u64, u64> =
            versions.iter().map(|entry| (entry.key, entry.version)).collect();
        let lacks_version = |entry: &&EntryVersion| {
            self.store.version(entry.key).is_none_or(|version| version < entry.version)
        };
        let to_fetch: Vec<u64> =
            versions.iter().filter(lacks_version).map(|entry| entry.key).take(FETCH_MAX).collect();
        let own_versions = buckets.iter().flat_map(|bucket| self.store.bucket_versions(*bucket));
        let missing_at_peer = own_versions
            .filter(|entry| peer_versions.get(&entry.key).is_none_or(|v| *v < entry.version));
        let missing_at_peer: Vec<u64> = missing_at_peer.map(|entry| entry.key).collect();
        let outdated_at_peer = peer_versions.iter().filter(|(entry, version)| {
            self.store.version(**entry).is_some_and(|own_version| own_version > **version)
        });
        let outdated_at_peer: Vec<u64> = outdated_at_peer.map(|(entry, _)| *entry).collect();
        let Some(link) = self.links.get_mut(&key) else { return };
        link.queued_entries.extend(missing_at_peer.into_iter().chain(outdated_at_peer));
        if !to_fetch.is_empty() {
            link.is_sync_in_flight = true;
            self.effects.push(PeerEffect::RequestSync(key, SyncRequest::Fetch(to_fetch)));
        }
    }

    fn differing_versions(&self, peer_digests: &[u32]) -> SyncReply {
        let mut buckets = Vec::new();
        let mut versions = Vec::new();
        for bucket in self.store.differing_buckets(peer_digests) {
            if versions.len() >= VERSIONS_MAX {
                break;
            }
            buckets.push(bucket);
            versions.extend(self.store.bucket_versions(bucket));
        }
        SyncReply::Versions { buckets, versions }
    }

    fn fetch(&self, keys: &[u64]) -> Vec<GossipEntry> {
        let mut bytes = 0;
        let mut entries = Vec::new();
        for entry in keys.iter().take(FETCH_MAX).filter_map(|key| self.store.get(*key)) {
            bytes += postcard::experimental::serialized_size(entry).unwrap_or(ENTRIES_BYTES_MAX);
            if bytes > ENTRIES_BYTES_MAX && !entries.is_empty() {
                break;
            }
            entries.push(entry.clone());
        }
        entries
    }
}
