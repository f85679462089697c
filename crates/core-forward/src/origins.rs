//! Which software began each stream that a caller may resume.
//!
//! What two software versions write does not fit together, so a stream goes on only at targets of the
//! software that sent its first event. A caller may return to any router, so each router reports the
//! streams that begin through it to all others before most of their events are sent.

use std::{collections::BTreeMap, time::Duration};

use base_types::{TimePoint, key_types};

use crate::{
    RecordWrite, SoftwareKey,
    origin_record::{RecordSchedule, group_by_software},
    reports::ReportQueue,
    software::STREAM_LIFETIME_MAX,
};

/// Streams whose origins are kept; each takes about 40 bytes. Later ones are dropped, so that calls
/// that resume them are refused if several versions serve.
const ORIGINS_MAX: usize = 100_000;

key_types! {
    /// Report of a router on the origin of a stream.
    pub struct OriginNotice {
        /// Hash of the id of the call that delivered the first event.
        pub call_hash: u64,
        /// Software of the target that sent it.
        pub software: SoftwareKey,
        /// Milliseconds until the origin may be forgotten.
        pub left_ms: u32,
        /// Whether this replaces an earlier statement: the call was sent again, to other software, before
        /// its first event.
        pub replaces: bool,
    }

    /// Software that may serve a call.
    pub(crate) enum StreamSoftware {
        /// Any, as no event was forwarded yet.
        Any,
        /// Any, but this one was reported as the one that begins the stream.
        Reported(SoftwareKey),
        /// The software that began the stream.
        Only(SoftwareKey),
        /// The software that began the stream in another call, which is not known yet; that call is
        /// given by its hash, or not named by the caller.
        Unresolved(Option<u64>),
    }
}

impl StreamSoftware {
    /// Whether a target of this software may serve the call.
    pub(crate) fn allows(self, software: SoftwareKey) -> bool {
        match self {
            Self::Any | Self::Reported(_) => true,
            Self::Only(origin) => origin == software,
            Self::Unresolved(_) => false,
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct StreamOrigin {
    software: SoftwareKey,
    forget_at: TimePoint,
    replaces: bool,
}

/// The origins of streams, by the hash of the call that delivered the first event.
#[derive(Debug, Default)]
pub(crate) struct OriginTable {
    origins: BTreeMap<u64, StreamOrigin>,
    /// Calls of this router whose origins the others do not know yet.
    unreported: ReportQueue<u64>,
    /// What the platform has yet to be told.
    pub(crate) record: RecordSchedule,
    dropped: u64,
}

impl OriginTable {
    /// Records and reports which software begins a stream; its caller does not return after `deadline`.
    pub(crate) fn on_begun(
        &mut self,
        now: TimePoint,
        call_hash: u64,
        software: SoftwareKey,
        deadline: TimePoint,
    ) {
        if self.insert(now, call_hash, software, deadline) {
            self.unreported.push(call_hash);
        }
    }

    /// Records and reports that another software begins a stream than was reported before.
    pub(crate) fn on_replaced(
        &mut self,
        now: TimePoint,
        call_hash: u64,
        software: SoftwareKey,
        deadline: TimePoint,
    ) {
        self.replace(now, call_hash, software, deadline);
        self.unreported.push(call_hash);
    }

    /// Records what another router reported. The first statement about a call stays until it ends or is
    /// replaced.
    pub(crate) fn on_notice(&mut self, now: TimePoint, notice: OriginNotice) {
        let forget_at = now.after(Duration::from_millis(notice.left_ms.into()));
        if notice.replaces && self.software(now, notice.call_hash) != Some(notice.software) {
            return self.replace(now, notice.call_hash, notice.software, forget_at);
        }
        self.insert(now, notice.call_hash, notice.software, forget_at);
    }

    /// Records what the platform keeps.
    pub(crate) fn on_recorded(&mut self, now: TimePoint, call_hash: u64, software: SoftwareKey) {
        self.insert(now, call_hash, software, now.after(STREAM_LIFETIME_MAX));
    }

    /// Returns the next write of origins, if there are new ones; the first has all that are known.
    pub(crate) fn next_write(&mut self, now: TimePoint) -> Option<RecordWrite> {
        if !self.record.has_origins() {
            let known = self.notices(now).map(|notice| notice.call_hash).collect();
            self.record.start_origins(now, known);
        }
        let (part, calls) = self.record.origins_write(now)?;
        let origins = calls.into_iter().filter_map(|call_hash| {
            self.software(now, call_hash).map(|software| (call_hash, software))
        });
        Some(RecordWrite::Origins { part, calls: group_by_software(origins) })
    }

    /// Whether an origin is due in the next heartbeat.
    pub(crate) fn has_report(&self) -> bool {
        !self.unreported.is_empty()
    }

    /// Returns the notices of the next heartbeat, at most `count_max`.
    pub(crate) fn next_report(&mut self, now: TimePoint, count_max: usize) -> Vec<OriginNotice> {
        let due = self.unreported.next_report(count_max);
        due.into_iter().filter_map(|call_hash| self.notice(now, call_hash)).collect()
    }

    /// Returns the origins of all streams, for a starting router.
    pub(crate) fn notices(&self, now: TimePoint) -> impl Iterator<Item = OriginNotice> {
        self.origins.keys().filter_map(move |call_hash| self.notice(now, *call_hash))
    }

    /// Returns the software that began a stream, if it is known.
    pub(crate) fn software(&self, now: TimePoint, call_hash: u64) -> Option<SoftwareKey> {
        self.live(now, call_hash).map(|origin| origin.software)
    }

    /// Forgets streams whose callers do not return.
    pub(crate) fn sweep(&mut self, now: TimePoint) {
        self.origins.retain(|_, origin| !origin.forget_at.passed(now));
        let origins = &self.origins;
        self.unreported.retain(|call_hash| origins.contains_key(call_hash));
    }

    /// Number of streams whose origins are kept.
    pub(crate) fn len(&self) -> usize {
        self.origins.len()
    }

    /// Number of origins that were dropped because the table was full.
    pub(crate) fn dropped(&self) -> u64 {
        self.dropped
    }

    fn replace(
        &mut self,
        now: TimePoint,
        call_hash: u64,
        software: SoftwareKey,
        forget_at: TimePoint,
    ) {
        self.origins.remove(&call_hash);
        if self.insert(now, call_hash, software, forget_at) {
            self.origins.entry(call_hash).and_modify(|origin| origin.replaces = true);
        }
    }

    /// Returns whether the origin of the stream is kept.
    fn insert(
        &mut self,
        now: TimePoint,
        call_hash: u64,
        software: SoftwareKey,
        forget_at: TimePoint,
    ) -> bool {
        if self.live(now, call_hash).is_some() {
            return true;
        }
        if self.origins.len() >= ORIGINS_MAX {
            self.dropped += 1;
            return false;
        }
        let forget_at = forget_at.min(now.after(STREAM_LIFETIME_MAX));
        self.origins.insert(call_hash, StreamOrigin { software, forget_at, replaces: false });
        self.record.on_origin(call_hash);
        true
    }

    fn notice(&self, now: TimePoint, call_hash: u64) -> Option<OriginNotice> {
        let origin = self.live(now, call_hash)?;
        let left_ms = origin.forget_at.since(now).as_millis() as u32;
        let StreamOrigin { software, replaces, .. } = *origin;
        Some(OriginNotice { call_hash, software, left_ms, replaces })
    }

    fn live(&self, now: TimePoint, call_hash: u64) -> Option<&StreamOrigin> {
        self.origins.get(&call_hash).filter(|origin| !origin.forget_at.passed(now))
    }
}
