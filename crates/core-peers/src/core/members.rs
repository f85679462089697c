//! Member records, suspicions and their refutation, and announcements of this router's own state.

use std::time::Duration;

use base_types::{HostRole, HostState, TimePoint, key_types};
use state_membership::{MemberKey, MemberRecord, MemberState, Suspicion};

use crate::{GossipEntry, LinkKey, core::PeerCore};

/// Silence of a link after which its peer is suspected.
const SUSPECT_TIMEOUT: Duration = Duration::from_millis(1_300);
/// Silence of a link that is enough to confirm another router's suspicion.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(850);
/// Time that a neighbor may be without a link before it is suspected.
const UNLINKED_TIMEOUT: Duration = Duration::from_secs(4);
/// A router suspects others only if any peer sent a frame or opened a link within this time, or if
/// there is only one other member.
const OWN_CONTACT_WINDOW: Duration = Duration::from_millis(1_000);
/// First backoff after a refutation; doubles with each one up to `SUSPICION_BACKOFF_MAX`.
const SUSPICION_BACKOFF_MIN: Duration = Duration::from_secs(3);
const SUSPICION_BACKOFF_MAX: Duration = Duration::from_secs(60);
/// Time for which the record of a failed or stopped member is kept.
const DOWN_MEMBER_TTL: Duration = Duration::from_secs(600);
/// Interval at which a peer that still sends frames, though it is considered down, is sent its
/// record.
const DOWN_RECORD_INTERVAL: Duration = Duration::from_secs(1);

key_types! {
    /// Backoff for a member that refuted a suspicion: until `suspect_at` this router does not
    /// itself start another one, but still confirms those of others.
    pub(super) struct SuspicionBackoff {
        suspect_at: TimePoint,
        backoff_ms: u64,
    }
}

impl PeerCore {
    /// Stores an entry and forwards it, if its version is new to this router; returns whether it
    /// was.
    pub(super) fn adopt(
        &mut self,
        now: TimePoint,
        entry: GossipEntry,
        from: Option<LinkKey>,
    ) -> bool {
        match entry {
            GossipEntry::Member(record) => self.adopt_member(now, record, from),
            GossipEntry::Row(change) => self.adopt_row(change, from),
            GossipEntry::Host(change) => self.adopt_host(change, from),
        }
    }

    /// Stores an entry and queues it for the other links; returns whether its version was new.
    pub(super) fn store_entry(&mut self, entry: GossipEntry, from: Option<LinkKey>) -> bool {
        let key = state_spreading::Versioned::entry_key(&entry);
        if !self.store.insert_newer(entry) {
            return false;
        }
        self.queue_entry(key, from);
        true
    }

    pub(super) fn adopt_own(&mut self, now: TimePoint, record: MemberRecord) {
        self.own_record = record.clone();
        self.suspicions.clear(self.own_key, record.incarnation);
        self.adopt_record(now, record, None);
    }

    pub(super) fn accepts_callers(&self, key: MemberKey, record: &MemberRecord) -> bool {
        let is_leaving = |host: &base_types::HostEntry| host.state == HostState::Leaving;
        record.state == MemberState::Alive
            && !self.suspicions.is_confirmed(key)
            && !self.listed_host(&record.row.name).is_some_and(is_leaving)
    }

    /// Announces a new state of this router, with a new incarnation.
    pub(super) fn announce_state(&mut self, now: TimePoint, state: MemberState) {
        let incarnation = self.own_record.incarnation + 1;
        self.adopt_own(now, MemberRecord { incarnation, state, ..self.own_record.clone() });
        self.has_urgent_items = true;
    }

    /// Adds a member that the platform lists, if no record of it is known.
    pub(super) fn add_listed_member(&mut self, host: &base_types::HostEntry) {
        let Some(peer) = host.peer.filter(|_| host.role == HostRole::Router) else { return };
        let row = state_membership::MemberRow {
            name: host.name.clone(),
            failure_domain: host.failure_domain.clone(),
            peer_address: peer,
            caller_address: host.address.clone(),
        };
        let record = MemberRecord { row, incarnation: 0, state: MemberState::Listed };
        self.overlay_stale |= self.members.insert_newer(record);
    }

    pub(super) fn on_suspicion(
        &mut self,
        now: TimePoint,
        suspicion: Suspicion,
        from: Option<LinkKey>,
    ) {
        if suspicion.subject == self.own_key {
            return self.refute(now, suspicion.incarnation);
        }
        let Some(record) = self.members.get(suspicion.subject) else { return };
        if !record.may_run() || record.incarnation > suspicion.incarnation {
            return;
        }
        let neighbors = self.overlay.neighbors(suspicion.subject);
        let may_run = |key: &MemberKey| self.members.get(*key).is_some_and(MemberRecord::may_run);
        let neighbor_count = neighbors.filter(may_run).count();
        if !self.suspicions.record(now, suspicion, neighbor_count) {
            return;
        }
        self.queue_suspicion(suspicion, from);
        self.has_urgent_items = true;
        if from.is_some() && self.is_silent(now, suspicion.subject, CONFIRM_TIMEOUT) {
            self.suspect(now, suspicion.subject);
        }
    }

    /// Suspects neighbors that have been silent for too long.
    pub(super) fn suspect_silent(&mut self, now: TimePoint) {
        let neighbors: Vec<MemberKey> = self.overlay.neighbors(self.own_key).collect();
        for member in neighbors {
            let may_suspect = self
                .suspicion_backoffs
                .get(&member)
                .is_none_or(|backoff| backoff.suspect_at.passed(now));
            if may_suspect && self.is_silent(now, member, SUSPECT_TIMEOUT) {
                self.suspect(now, member);
            }
        }
    }

    /// Declares members failed whose suspicions were not refuted in time.
    pub(super) fn declare_failed(&mut self, now: TimePoint) {
        for (key, incarnation) in self.suspicions.take_failed(now) {
            let Some(record) = self.members.get(key) else { continue };
            if !record.may_run() || record.incarnation > incarnation {
                continue;
            }
            let record = MemberRecord { state: MemberState::Failed, ..record.clone() };
            self.log(format!(
                "router {} declared failed: a suspicion was not refuted in time; \
                 callers are no longer directed to it",
                record.row.name
            ));
            self.adopt_record(now, record, None);
        }
    }

    /// Sends a peer its own record, if this router considers it down although it sends frames, so
    /// that the peer can refute the record.
    pub(super) fn queue_down_record(&mut self, now: TimePoint, key: LinkKey, member: MemberKey) {
        if self.members.get(member).is_some_and(MemberRecord::is_up) {
            return;
        }
        let Some(link) = self.links.get_mut(&key) else { return };
        if now.since(link.down_record_queued_at) >= DOWN_RECORD_INTERVAL {
            link.down_record_queued_at = now;
            link.queued_entries.insert(GossipEntry::member_key(member));
        }
    }

    /// Removes members that have been down for long and that the platform no longer lists.
    pub(super) fn remove_down_members(&mut self, now: TimePoint) {
        let expired =
            self.down_since.iter().filter(|(_, since)| now.since(**since) > DOWN_MEMBER_TTL);
        let expired: Vec<MemberKey> = expired.map(|(key, _)| *key).collect();
        for key in expired {
            let Some(record) = self.members.get(key) else { continue };
            if self.is_listed(&record.row.name) {
                continue;
            }
            self.members.remove(key);
            self.store.remove(GossipEntry::member_key(key));
            self.down_since.remove(&key);
            self.suspicion_backoffs.remove(&key);
        }
    }

    fn adopt_member(
        &mut self,
        now: TimePoint,
        record: MemberRecord,
        from: Option<LinkKey>,
    ) -> bool {
        if record.key() != self.own_key {
            return self.adopt_record(now, record, from);
        }
        let is_outdated = record.version() <= self.own_record.version();
        if !is_outdated {
            self.refute(now, record.incarnation);
        }
        !is_outdated
    }

    /// Refutes a report about this router by announcing a higher incarnation.
    fn refute(&mut self, now: TimePoint, incarnation: u64) {
        if incarnation < self.own_record.incarnation {
            return;
        }
        self.adopt_own(
            now,
            MemberRecord { incarnation: incarnation + 1, ..self.own_record.clone() },
        );
        self.has_urgent_items = true;
    }

    fn adopt_record(
        &mut self,
        now: TimePoint,
        record: MemberRecord,
        from: Option<LinkKey>,
    ) -> bool {
        let key = record.key();
        let liveness = |record: &MemberRecord| (record.may_run(), record.is_up());
        let previous = self.members.get(key).map(liveness);
        if !self.members.insert_newer(record.clone()) {
            return false;
        }
        self.record_refutation(now, &record);
        self.overlay_stale |= previous != Some(liveness(&record));
        if record.may_run() {
            self.down_since.remove(&key);
        } else {
            self.down_since.insert(key, now);
            self.unlinked_since.remove(&key);
            self.notices.remove_router(&record.row.name);
        }
        self.has_urgent_items = true;
        self.store_entry(GossipEntry::Member(record), from)
    }

    /// Clears suspicions that a record refutes, and starts or doubles the backoff before this
    /// router suspects the member again.
    fn record_refutation(&mut self, now: TimePoint, record: &MemberRecord) {
        let key = record.key();
        let was_suspected = self.suspicions.is_suspected(now, key);
        let refuted_incarnation = record.incarnation.saturating_sub(u64::from(record.may_run()));
        self.suspicions.clear(key, refuted_incarnation);
        if !was_suspected || !record.is_up() {
            return;
        }
        let backoff_ms = self
            .suspicion_backoffs
            .get(&key)
            .map_or(SUSPICION_BACKOFF_MIN.as_millis() as u64, |backoff| {
                (backoff.backoff_ms * 2).min(SUSPICION_BACKOFF_MAX.as_millis() as u64)
            });
        let suspect_at = now.after(Duration::from_millis(backoff_ms));
        self.suspicion_backoffs.insert(key, SuspicionBackoff { suspect_at, backoff_ms });
    }

    fn suspect(&mut self, now: TimePoint, subject: MemberKey) {
        let Some(record) = self.members.get(subject) else { return };
        if !record.may_run() {
            return;
        }
        let incarnation = record.incarnation;
        let suspicion = Suspicion { subject, incarnation, reporter: self.own_key };
        self.on_suspicion(now, suspicion, None);
    }

    /// Whether a member is silent while other peers are in contact, so that this router's own
    /// connection is not the cause. With only one other member, silence alone is enough.
    fn is_silent(&self, now: TimePoint, member: MemberKey, timeout: Duration) -> bool {
        let is_silent = match self.link_of(member) {
            Some(link) => now.since(link.last_received_at) > timeout,
            None => {
                let unlinked_at = self.unlinked_since.get(&member);
                self.overlay.has_link(self.own_key, member)
                    && unlinked_at
                        .is_some_and(|unlinked_at| now.since(*unlinked_at) > UNLINKED_TIMEOUT)
            }
        };
        is_silent && (self.has_recent_contact(now, OWN_CONTACT_WINDOW) || self.has_one_peer())
    }

    /// Whether only one other member may run, so that no third one can be in contact.
    fn has_one_peer(&self) -> bool {
        self.members.iter().filter(|(_, record)| record.may_run()).count() == 2
    }
}
