//! The other routers: which callers may use, and what they tell.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use base_types::{HostName, LoadShare, TimePoint, key_types, value_types};
use policy_targets::OutcomeCount;

/// How long a router counts as serving after it was last heard.
const HEARD_LIFE: Duration = Duration::from_millis(1_500);

value_types! {
    /// A router of the fleet as the platform's store lists it.
    #[derive(Eq)]
    pub struct RouterEntry {
        /// Name of the router's host.
        pub name: HostName,
        /// Where callers connect.
        pub callers: SocketAddr,
        /// Where other routers send their beats.
        pub peers: SocketAddr,
        /// Zone of the router.
        pub zone: Box<str>,
        /// Drawn at each start.
        pub incarnation: u64,
    }

    /// What one router tells the others, several times a second.
    #[derive(Eq)]
    pub struct PeerBeat {
        /// The router.
        pub entry: RouterEntry,
        /// Whether it is shutting down.
        pub leaving: bool,
        /// Whether it takes callers.
        pub ready: bool,
        /// Its calls in flight by target.
        pub share: LoadShare,
        /// Prompt parts and the targets that read them since the beat before.
        pub held: Vec<(u64, u64)>,
        /// How its calls ended since the beat before.
        pub outcomes: Vec<TargetOutcomes>,
    }
}

key_types! {
    /// How calls to one target ended.
    pub struct TargetOutcomes {
        /// Hash of the target's identity.
        pub target: u64,
        /// The calls.
        pub calls: OutcomeCount,
    }
}

#[derive(Debug)]
struct PeerRecord {
    entry: RouterEntry,
    heard_until: TimePoint,
    serving: bool,
    listed: bool,
}

/// The other routers that this one knows.
#[derive(Debug, Default)]
pub(crate) struct PeerBook {
    records: BTreeMap<HostName, PeerRecord>,
}

impl PeerBook {
    /// Takes over the store's list of routers, but for this one.
    pub(crate) fn list(&mut self, entries: Vec<RouterEntry>) {
        for record in self.records.values_mut() {
            record.listed = false;
        }
        for entry in entries {
            self.put(entry);
        }
        self.records.retain(|_, record| record.listed);
    }

    /// Takes over one entry of the store.
    pub(crate) fn put(&mut self, entry: RouterEntry) {
        match self.records.get_mut(&entry.name) {
            Some(record) => {
                record.listed = true;
                if record.entry != entry {
                    record.entry = entry;
                    record.heard_until = TimePoint(0);
                }
            }
            None => {
                let name = entry.name.clone();
                let record =
                    PeerRecord { entry, heard_until: TimePoint(0), serving: false, listed: true };
                self.records.insert(name, record);
            }
        }
    }

    /// A router took its entry out of the store.
    pub(crate) fn remove(&mut self, name: &HostName) {
        self.records.remove(name);
    }

    /// Hears a beat; returns whether the router was started anew since the beat before.
    pub(crate) fn hear(&mut self, now: TimePoint, beat: &PeerBeat) -> bool {
        let record = self.records.entry(beat.entry.name.clone()).or_insert_with(|| PeerRecord {
            entry: beat.entry.clone(),
            heard_until: TimePoint(0),
            serving: false,
            listed: false,
        });
        let anew = record.entry.incarnation != beat.entry.incarnation;
        if anew {
            record.entry = beat.entry.clone();
        }
        record.heard_until = now.after(HEARD_LIFE);
        record.serving = beat.ready && !beat.leaving;
        anew
    }

    /// Addresses of the routers that were heard lately and take callers.
    pub(crate) fn serving(&self, now: TimePoint) -> impl Iterator<Item = &RouterEntry> {
        let heard = move |record: &&PeerRecord| record.serving && !record.heard_until.passed(now);
        self.records.values().filter(heard).map(|record| &record.entry)
    }

    /// All routers to which beats are sent.
    pub(crate) fn entries(&self) -> impl Iterator<Item = &RouterEntry> {
        self.records.values().map(|record| &record.entry)
    }
}
