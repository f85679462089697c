//! Members: what is adopted of them, accusations, refutation and leaving.

use std::time::Duration;

use base_types::{HostRole, HostState, TimePoint, key_types};
use state_membership::{MemberKey, MemberRecord, MemberState, Suspicion};

use crate::{LinkKey, SpreadEntry, core::PeerCore};

/// Silence of a link after which its peer is accused.
const SILENCE: Duration = Duration::from_millis(1_300);
/// Silence that is enough to join the accusation of another.
const SILENCE_JOINED: Duration = Duration::from_millis(850);
/// Time that a member may be without a link before it is accused.
const UNREACHED: Duration = Duration::from_secs(4);
/// Time within which a router must have heard someone to accuse others.
const OWN_HEARING: Duration = Duration::from_millis(1_000);
const BACKOFF_MIN: Duration = Duration::from_secs(3);
const BACKOFF_MAX: Duration = Duration::from_secs(60);
/// Time for which a member that is gone is remembered.
const DEAD_KEEP: Duration = Duration::from_secs(600);
const TELL_DEAD_EVERY: Duration = Duration::from_secs(1);

key_types! {
    /// When a member may be accused again, as it refuted an accusation before.
    pub(super) struct AccuseBackoff {
        next: TimePoint,
        wait_ms: u64,
    }
}

impl PeerCore {
    /// Takes an entry that is new to this router and passes it on; returns whether it was.
    pub(super) fn adopt(
        &mut self,
        now: TimePoint,
        entry: SpreadEntry,
        from: Option<LinkKey>,
    ) -> bool {
        match entry {
            SpreadEntry::Member(record) => self.adopt_member(now, record, from),
            SpreadEntry::Row(change) => self.adopt_row(change, from),
            SpreadEntry::Host(change) => self.adopt_host(change, from),
        }
    }

    /// Registers an entry and queues it for the other links.
    pub(super) fn store_entry(&mut self, entry: SpreadEntry, from: Option<LinkKey>) -> bool {
        let key = state_spreading::Versioned::entry_key(&entry);
        if !self.store.adopt(entry) {
            return false;
        }
        self.queue_entry(key, from);
        true
    }

    pub(super) fn adopt_own(&mut self, now: TimePoint, own: MemberRecord) {
        self.own = own.clone();
        self.suspicions.clear(self.own_key, own.incarnation);
        self.take_record(now, own, None);
    }

    pub(super) fn is_entry(&self, key: MemberKey, record: &MemberRecord) -> bool {
        let leaves = |host: &base_types::HostEntry| host.state == HostState::Leaving;
        record.state == MemberState::Alive
            && !self.suspicions.is_confirmed(key)
            && !self.listed_host(&record.row.name).is_some_and(leaves)
    }

    pub(super) fn leave(&mut self, now: TimePoint, state: MemberState) {
        let incarnation = self.own.incarnation + 1;
        self.adopt_own(now, MemberRecord { incarnation, state, ..self.own.clone() });
        self.is_urgent = true;
    }

    /// Adds a member that the platform lists and nobody has heard.
    pub(super) fn list_member(&mut self, host: &base_types::HostEntry) {
        let Some(peer) = host.peer.filter(|_| host.role == HostRole::Entry) else { return };
        let row = state_membership::MemberRow {
            name: host.name.clone(),
            failure_domain: host.failure_domain.clone(),
            peer,
            caller: host.address.clone(),
        };
        let record = MemberRecord { row, incarnation: 0, state: MemberState::Listed };
        self.overlay_stale |= self.members.adopt(record);
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
        let neighbors = neighbors.filter(may_run).count();
        if !self.suspicions.record(now, suspicion, neighbors) {
            return;
        }
        self.queue_suspicion(suspicion, from);
        self.is_urgent = true;
        if from.is_some() && self.is_silent(now, suspicion.subject, SILENCE_JOINED) {
            self.accuse(now, suspicion.subject);
        }
    }

    /// Accuses neighbours that have been silent for too long.
    pub(super) fn accuse_silent(&mut self, now: TimePoint) {
        let neighbors: Vec<MemberKey> = self.overlay.neighbors(self.own_key).collect();
        for member in neighbors {
            let may_accuse = self.backoffs.get(&member).is_none_or(|wait| wait.next.passed(now));
            if may_accuse && self.is_silent(now, member, SILENCE) {
                self.accuse(now, member);
            }
        }
    }

    /// Declares failed what was accused by enough others and did not refute it.
    pub(super) fn fail_standing(&mut self, now: TimePoint) {
        for (key, incarnation) in self.suspicions.take_failed(now) {
            let Some(record) = self.members.get(key) else { continue };
            if !record.may_run() || record.incarnation > incarnation {
                continue;
            }
            let record = MemberRecord { state: MemberState::Failed, ..record.clone() };
            self.log(format!("{} is taken to have failed", record.row.name));
            self.take_record(now, record, None);
        }
    }

    /// Tells a peer that speaks but is held to be gone, so that it can refute.
    pub(super) fn tell_dead(&mut self, now: TimePoint, key: LinkKey, member: MemberKey) {
        if self.members.get(member).is_some_and(MemberRecord::is_up) {
            return;
        }
        let Some(link) = self.links.get_mut(&key) else { return };
        if now.since(link.told_dead_at) >= TELL_DEAD_EVERY {
            link.told_dead_at = now;
            link.entries.insert(SpreadEntry::member_key(member));
        }
    }

    pub(super) fn forget_dead(&mut self, now: TimePoint) {
        let old = self.dead_since.iter().filter(|(_, since)| now.since(**since) > DEAD_KEEP);
        let old: Vec<MemberKey> = old.map(|(key, _)| *key).collect();
        for key in old {
            let Some(record) = self.members.get(key) else { continue };
            if self.is_listed(&record.row.name) {
                continue;
            }
            self.members.remove(key);
            self.store.remove(SpreadEntry::member_key(key));
            self.dead_since.remove(&key);
            self.backoffs.remove(&key);
        }
    }

    fn adopt_member(
        &mut self,
        now: TimePoint,
        record: MemberRecord,
        from: Option<LinkKey>,
    ) -> bool {
        if record.key() != self.own_key {
            return self.take_record(now, record, from);
        }
        let is_stale = record.version() <= self.own.version();
        if !is_stale {
            self.refute(now, record.incarnation);
        }
        !is_stale
    }

    /// Rises above what others say of this router.
    fn refute(&mut self, now: TimePoint, incarnation: u64) {
        if incarnation < self.own.incarnation {
            return;
        }
        self.adopt_own(now, MemberRecord { incarnation: incarnation + 1, ..self.own.clone() });
        self.is_urgent = true;
    }

    fn take_record(&mut self, now: TimePoint, record: MemberRecord, from: Option<LinkKey>) -> bool {
        let key = record.key();
        let standing = |record: &MemberRecord| (record.may_run(), record.is_up());
        let before = self.members.get(key).map(standing);
        if !self.members.adopt(record.clone()) {
            return false;
        }
        self.note_refuted(now, &record);
        self.overlay_stale |= before != Some(standing(&record));
        if record.may_run() {
            self.dead_since.remove(&key);
        } else {
            self.dead_since.insert(key, now);
            self.unlinked_since.remove(&key);
            self.board.forget(&record.row.name);
        }
        self.is_urgent = true;
        self.store_entry(SpreadEntry::Member(record), from)
    }

    /// A member that refutes is accused again only after a while, which grows each time.
    fn note_refuted(&mut self, now: TimePoint, record: &MemberRecord) {
        let key = record.key();
        let was_accused = self.suspicions.is_suspected(now, key);
        let refuted = record.incarnation.saturating_sub(u64::from(record.may_run()));
        self.suspicions.clear(key, refuted);
        if !was_accused || !record.is_up() {
            return;
        }
        let wait_ms = self.backoffs.get(&key).map_or(BACKOFF_MIN.as_millis() as u64, |backoff| {
            (backoff.wait_ms * 2).min(BACKOFF_MAX.as_millis() as u64)
        });
        let next = now.after(Duration::from_millis(wait_ms));
        self.backoffs.insert(key, AccuseBackoff { next, wait_ms });
    }

    fn accuse(&mut self, now: TimePoint, subject: MemberKey) {
        let Some(record) = self.members.get(subject) else { return };
        if !record.may_run() {
            return;
        }
        let incarnation = record.incarnation;
        let suspicion = Suspicion { subject, incarnation, reporter: self.own_key };
        self.on_suspicion(now, suspicion, None);
    }

    /// Whether a member is not heard while others are, so that the fault is not this router's.
    fn is_silent(&self, now: TimePoint, member: MemberKey, silence: Duration) -> bool {
        let is_silent = match self.link_of(member) {
            Some(link) => now.since(link.heard) > silence,
            None => {
                let since = self.unlinked_since.get(&member);
                self.overlay.has_link(self.own_key, member)
                    && since.is_some_and(|since| now.since(*since) > UNREACHED)
            }
        };
        is_silent && (self.hears_any(now, OWN_HEARING) || self.has_one_peer())
    }

    /// With one peer there is no other to hear.
    fn has_one_peer(&self) -> bool {
        self.members.iter().filter(|(_, record)| record.may_run()).count() == 2
    }
}
