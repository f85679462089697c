//! Encoding of heartbeats and snapshots: a frozen layout, followed by extension records.
//!
//! Routers of several builds run side by side while they are replaced one after another. The layout of
//! build e402b25 therefore stays as it is: its `postcard::from_bytes` ignores bytes after the value. What
//! has been added since follows as an extension:
//!
//! ```text
//! frozen layout | magic (3 bytes) | format version (u8) | highest tag that the sender reads (u8) | records
//! record: tag (u8) | length of the payload (varint of at most 32 bits) | payload (postcard)
//! ```
//!
//! The authentication record is the last one; its payload is a MAC over all bytes before the record.
//! A tag occurs at most once. Fields are added with a new tag; tags are never moved or reused, and the
//! payload of a tag never changes.
//!
//! Invariant: a record is used whole or not at all, and one that fails a check takes the entire extension
//! with it but never the frozen layout. Lists are bounded on both sides.

use std::{collections::BTreeSet, fmt};

use base_types::{key_types, message_types};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::{
    EvacuationNotice, FleetKey, HeartbeatExtension, PeerHeartbeat, PeerKeys, PeerSnapshot,
    SnapshotExtension,
    fleet_key::{MAC_BYTES, MessageKind},
};

/// Start of an extension; trailing bytes without it are of another kind. The first byte occurs in no
/// UTF-8 text.
const MAGIC: [u8; 3] = [0xFD, b'k', b'x'];

/// Version of the framing of records; differs only if a reader of the former version cannot find the
/// records.
const FORMAT_VERSION: u8 = 1;

/// Bytes before the first record.
const HEADER_BYTES: usize = MAGIC.len() + 2;

/// Bytes of the authentication record.
const MAC_RECORD_BYTES: usize = 2 + MAC_BYTES;

/// Largest heartbeat. Receivers read datagrams into 8,192 bytes; one of that size may have been cut off.
pub const HEARTBEAT_BYTES_MAX: usize = 8_191;

/// Largest snapshot; receivers read 8 MiB, and one of that size may have been cut off.
pub const SNAPSHOT_BYTES_MAX: usize = 8 * 1_024 * 1_024 - 1;

/// Largest number of records of a message, including those with unknown tags.
const RECORDS_MAX: usize = 64;

/// Largest payload of a record.
const PAYLOAD_BYTES_MAX: usize = 256 * 1_024;

/// Largest number of evacuated failure domains. A set with more is not sent, as a part of a set would say
/// that the other domains are in service.
const DOMAINS_MAX: usize = 64;

/// Longest name of a failure domain in bytes; settings allow 64.
const DOMAIN_BYTES_MAX: usize = 128;

/// Largest numbers of entries in the lists of a heartbeat. An entry takes at most 19 bytes.
const COLD_TARGETS_MAX: usize = 128;
const SPEEDS_MAX: usize = 64;
const WAITING_MAX: usize = 64;
const FRAGILE_POOLS_MAX: usize = 64;

/// Largest numbers of entries in the lists of a snapshot, with all targets of the fleet.
const SNAPSHOT_TARGETS_MAX: usize = 8_192;
const SNAPSHOT_POOLS_MAX: usize = 1_024;

key_types! {
    /// Kinds of records; [`Self::number`] is the tag on the wire.
    pub enum RecordTag {
        /// Targets that are cold.
        ColdTargets,
        /// Evacuated failure domains.
        Evacuations,
        /// What the sender measured of targets.
        Speeds,
        /// Capacity of the sending router.
        RouterCapacity,
        /// Calls that wait in the sender.
        WaitingCalls,
        /// Rates of calls that cold targets take; in snapshots only.
        ColdRates,
        /// Pools whose targets are fragile.
        FragilePools,
        /// That the platform refuses what the sender records; without a payload.
        RecordRefused,
        /// Version of the configuration in force at the sender.
        ConfigVersion,
        /// MAC over all bytes before the record.
        Authentication,
    }

    /// What the sender of a message reads and writes beside the frozen layout.
    #[derive(Default)]
    pub struct PeerFormat {
        /// Version of the framing; 0 for a build that has only the frozen layout.
        pub version: u8,
        /// Highest tag that the sender reads, other than that of authentication.
        pub highest_tag: u8,
    }
}

impl RecordTag {
    const ALL: [Self; 10] = [
        Self::ColdTargets,
        Self::Evacuations,
        Self::Speeds,
        Self::RouterCapacity,
        Self::WaitingCalls,
        Self::ColdRates,
        Self::FragilePools,
        Self::RecordRefused,
        Self::ConfigVersion,
        Self::Authentication,
    ];

    /// Tag on the wire.
    pub const fn number(self) -> u8 {
        match self {
            Self::ColdTargets => 1,
            Self::Evacuations => 2,
            Self::Speeds => 3,
            Self::RouterCapacity => 4,
            Self::WaitingCalls => 5,
            Self::ColdRates => 6,
            Self::FragilePools => 7,
            Self::RecordRefused => 8,
            Self::ConfigVersion => 9,
            Self::Authentication => 127,
        }
    }

    fn from_number(number: u8) -> Option<Self> {
        Self::ALL.into_iter().find(|tag| tag.number() == number)
    }
}

impl PeerFormat {
    /// Format of this build.
    pub const CURRENT: Self =
        Self { version: FORMAT_VERSION, highest_tag: RecordTag::ConfigVersion.number() };

    /// Whether a router of this format reads records of a tag. One of a later framing counts as reading
    /// none, as it may not find the records of this build.
    pub fn reads(self, tag: RecordTag) -> bool {
        let is_read = tag == RecordTag::Authentication || tag.number() <= self.highest_tag;
        self.version == FORMAT_VERSION && is_read
    }
}

message_types! {
    /// A message ready to be sent.
    #[derive(Eq)]
    pub struct EncodedMessage {
        /// Bytes of the message.
        pub bytes: Vec<u8>,
        /// Records that were left out, whole or in part, as they did not fit.
        pub omitted: Vec<RecordTag>,
    }

    /// A received message.
    #[derive(Eq)]
    pub struct DecodedMessage<T> {
        /// The message; its extension is empty unless `extension` is [`ExtensionState::Read`].
        pub message: T,
        /// Format of the sender; that of the frozen layout alone unless `extension` is
        /// [`ExtensionState::Read`].
        pub format: PeerFormat,
        /// Whether the message has an extension.
        pub extension: ExtensionState,
        /// Records of unknown tags, which were skipped.
        pub unknown_records: usize,
        /// What the MAC says.
        pub authenticity: MessageAuthenticity,
    }
}

/// A received heartbeat.
pub type DecodedHeartbeat = DecodedMessage<PeerHeartbeat>;

/// A received snapshot.
pub type DecodedSnapshot = DecodedMessage<PeerSnapshot>;

/// Whether a message has an extension.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExtensionState {
    /// The message consists of the frozen layout.
    Absent,
    /// The extension was read.
    Read,
    /// The extension was dropped.
    Dropped(ExtensionFault),
}

/// Reason why an extension was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExtensionFault {
    /// The bytes after the frozen layout are not an extension.
    Foreign,
    /// The extension has another framing.
    OtherVersion,
    /// A record ends after the message, or its header does.
    Truncated,
    /// A record or one of its lists is longer than allowed, or there are too many records.
    Oversized,
    /// The payload of a record is not of its type, or a tag occurs twice.
    Malformed,
}

/// What the MAC of an accepted message says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MessageAuthenticity {
    /// This router has no key.
    Unchecked,
    /// The message has no MAC, and none is required.
    Missing,
    /// The MAC verified.
    Verified,
}

/// Reason why a message is dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EnvelopeError {
    /// The frozen layout cannot be encoded.
    NotEncodable,
    /// The frozen layout cannot be decoded.
    Malformed,
    /// The MAC verifies with none of the keys.
    WrongMac,
    /// The message has no MAC although one is required.
    MissingMac,
}

impl fmt::Display for EnvelopeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotEncodable => "message cannot be encoded",
            Self::Malformed => "malformed message",
            Self::WrongMac => "MAC does not verify",
            Self::MissingMac => "MAC is missing",
        })
    }
}

impl std::error::Error for EnvelopeError {}

/// Encodes a heartbeat, with a MAC if there is a key. Records that do not fit into a datagram are left
/// out, those of the least value first.
///
/// # Errors
///
/// Fails if the heartbeat cannot be serialized.
pub fn encode_heartbeat(
    heartbeat: &PeerHeartbeat,
    key: Option<&FleetKey>,
) -> Result<EncodedMessage, EnvelopeError> {
    let extension = &heartbeat.extension;
    let mut writer = EnvelopeWriter::new(heartbeat, HEARTBEAT_BYTES_MAX, key)?;
    if let Some(version) = &extension.config_version {
        writer.write(RecordTag::ConfigVersion, version)?;
    }
    writer.write_evacuations(extension.evacuations.as_ref())?;
    writer.write_list(RecordTag::FragilePools, &extension.fragile_pools, FRAGILE_POOLS_MAX)?;
    writer.write_list(RecordTag::ColdTargets, &extension.cold_targets, COLD_TARGETS_MAX)?;
    if extension.record_refused {
        writer.write(RecordTag::RecordRefused, &())?;
    }
    if let Some(capacity) = &extension.capacity {
        writer.write(RecordTag::RouterCapacity, capacity)?;
    }
    writer.write_list(RecordTag::WaitingCalls, &extension.waiting, WAITING_MAX)?;
    writer.write_list(RecordTag::Speeds, &extension.speeds, SPEEDS_MAX)?;
    Ok(writer.finish(MessageKind::Heartbeat, key))
}

/// Decodes a heartbeat of this build or of an earlier one from e402b25 on.
///
/// # Errors
///
/// Fails if the frozen layout is malformed, or if the MAC is wrong, or missing although it is required.
pub fn decode_heartbeat(bytes: &[u8], keys: &PeerKeys) -> Result<DecodedHeartbeat, EnvelopeError> {
    decode(bytes, MessageKind::Heartbeat, keys, |heartbeat: &mut PeerHeartbeat, records| {
        let (extension, unknown_records) = read_heartbeat_records(records)?;
        heartbeat.extension = extension;
        Ok(unknown_records)
    })
}

/// Encodes a snapshot, with a MAC if there is a key.
///
/// # Errors
///
/// Fails if the snapshot cannot be serialized.
pub fn encode_snapshot(
    snapshot: &PeerSnapshot,
    key: Option<&FleetKey>,
) -> Result<EncodedMessage, EnvelopeError> {
    let extension = &snapshot.extension;
    let mut writer = EnvelopeWriter::new(snapshot, SNAPSHOT_BYTES_MAX, key)?;
    writer.write_evacuations(extension.evacuations.as_ref())?;
    writer.write_list(RecordTag::ColdTargets, &extension.cold_targets, SNAPSHOT_TARGETS_MAX)?;
    writer.write_list(RecordTag::ColdRates, &extension.cold_rates, SNAPSHOT_POOLS_MAX)?;
    writer.write_list(RecordTag::Speeds, &extension.speeds, SNAPSHOT_TARGETS_MAX)?;
    writer.write_list(RecordTag::FragilePools, &extension.fragile_pools, FRAGILE_POOLS_MAX)?;
    Ok(writer.finish(MessageKind::Snapshot, key))
}

/// Decodes a snapshot of this build or of an earlier one from e402b25 on.
///
/// # Errors
///
/// Fails if the frozen layout is malformed, or if the MAC is wrong, or missing although it is required.
pub fn decode_snapshot(bytes: &[u8], keys: &PeerKeys) -> Result<DecodedSnapshot, EnvelopeError> {
    decode(bytes, MessageKind::Snapshot, keys, |snapshot: &mut PeerSnapshot, records| {
        let (extension, unknown_records) = read_snapshot_records(records)?;
        snapshot.extension = extension;
        Ok(unknown_records)
    })
}

/// Appends records to a frozen layout while they fit.
#[derive(Debug)]
struct EnvelopeWriter {
    bytes: Vec<u8>,
    /// Bytes up to which records may be written; leaves room for the MAC.
    records_end: usize,
    omitted: Vec<RecordTag>,
}

impl EnvelopeWriter {
    fn new(
        message: &impl Serialize,
        bytes_max: usize,
        key: Option<&FleetKey>,
    ) -> Result<Self, EnvelopeError> {
        let mut bytes = postcard::to_stdvec(message).map_err(|_| EnvelopeError::NotEncodable)?;
        let records_end = bytes_max - key.map_or(0, |_| MAC_RECORD_BYTES);
        if bytes.len() + HEADER_BYTES <= records_end {
            bytes.extend(MAGIC);
            bytes.extend([PeerFormat::CURRENT.version, PeerFormat::CURRENT.highest_tag]);
            Ok(Self { bytes, records_end, omitted: Vec::new() })
        } else {
            // The frozen layout is sent alone, as build e402b25 did.
            Ok(Self { bytes, records_end: 0, omitted: Vec::new() })
        }
    }

    fn write_evacuations(
        &mut self,
        notice: Option<&EvacuationNotice>,
    ) -> Result<(), EnvelopeError> {
        match notice {
            Some(notice) if !notice.is_bounded() => self.omitted.push(RecordTag::Evacuations),
            Some(notice) => self.write(RecordTag::Evacuations, notice)?,
            None => {}
        }
        Ok(())
    }

    fn write_list<T: Serialize>(
        &mut self,
        tag: RecordTag,
        items: &[T],
        count_max: usize,
    ) -> Result<(), EnvelopeError> {
        if items.is_empty() {
            return Ok(());
        }
        if count_max < items.len() {
            self.omitted.push(tag);
        }
        self.write(tag, &items[..items.len().min(count_max)])
    }

    fn write<T: Serialize + ?Sized>(
        &mut self,
        tag: RecordTag,
        value: &T,
    ) -> Result<(), EnvelopeError> {
        let payload = postcard::to_stdvec(value).map_err(|_| EnvelopeError::NotEncodable)?;
        let header = postcard::to_stdvec(&(tag.number(), payload.len() as u32));
        let header = header.map_err(|_| EnvelopeError::NotEncodable)?;
        let end = self.bytes.len() + header.len() + payload.len();
        if self.records_end < end || PAYLOAD_BYTES_MAX < payload.len() {
            self.omitted.push(tag);
        } else {
            self.bytes.extend(header);
            self.bytes.extend(payload);
        }
        Ok(())
    }

    fn finish(mut self, kind: MessageKind, key: Option<&FleetKey>) -> EncodedMessage {
        if let Some(key) = key {
            if self.records_end == 0 {
                self.omitted.push(RecordTag::Authentication);
            } else {
                let mac = key.mac(kind, &self.bytes);
                self.bytes.extend([RecordTag::Authentication.number(), MAC_BYTES as u8]);
                self.bytes.extend(mac.as_bytes());
            }
        }
        EncodedMessage { bytes: self.bytes, omitted: self.omitted }
    }
}

/// A record whose payload has not been read.
#[derive(Debug, Clone, Copy)]
struct RawRecord<'a> {
    tag: u8,
    payload: &'a [u8],
}

/// The records of an extension, without that of authentication.
#[derive(Debug)]
struct RawExtension<'a> {
    format: PeerFormat,
    records: Vec<RawRecord<'a>>,
    mac: Option<RawMac<'a>>,
}

/// A MAC that has not been checked.
#[derive(Debug, Clone, Copy)]
struct RawMac<'a> {
    mac: &'a [u8; MAC_BYTES],
    /// Bytes of the message from the start of the record on, which the MAC does not cover.
    bytes_from_record: usize,
}

fn decode<T: DeserializeOwned>(
    bytes: &[u8],
    kind: MessageKind,
    keys: &PeerKeys,
    read: impl FnOnce(&mut T, &[RawRecord<'_>]) -> Result<usize, ExtensionFault>,
) -> Result<DecodedMessage<T>, EnvelopeError> {
    let decoded = postcard::take_from_bytes::<T>(bytes);
    let (mut message, rest) = decoded.map_err(|_| EnvelopeError::Malformed)?;
    let raw = split_extension(rest);
    let mac = raw.as_ref().ok().and_then(|raw| raw.as_ref()).and_then(|raw| raw.mac);
    let authenticity = check_mac(bytes, kind, keys, mac)?;
    let (format, extension, unknown_records) = match raw {
        Ok(None) => (PeerFormat::default(), ExtensionState::Absent, 0),
        Ok(Some(raw)) => match read(&mut message, &raw.records) {
            Ok(unknown_records) => (raw.format, ExtensionState::Read, unknown_records),
            Err(fault) => (PeerFormat::default(), ExtensionState::Dropped(fault), 0),
        },
        Err(fault) => (PeerFormat::default(), ExtensionState::Dropped(fault), 0),
    };
    Ok(DecodedMessage { message, format, extension, unknown_records, authenticity })
}

fn check_mac(
    bytes: &[u8],
    kind: MessageKind,
    keys: &PeerKeys,
    mac: Option<RawMac<'_>>,
) -> Result<MessageAuthenticity, EnvelopeError> {
    match mac {
        _ if keys.current.is_none() => Ok(MessageAuthenticity::Unchecked),
        None if keys.required => Err(EnvelopeError::MissingMac),
        None => Ok(MessageAuthenticity::Missing),
        Some(RawMac { mac, bytes_from_record }) => {
            let covered = &bytes[..bytes.len() - bytes_from_record];
            match keys.verifies(kind, covered, mac) {
                true => Ok(MessageAuthenticity::Verified),
                false => Err(EnvelopeError::WrongMac),
            }
        }
    }
}

/// Splits the bytes after the frozen layout into records; `None` if there are none.
fn split_extension(bytes: &[u8]) -> Result<Option<RawExtension<'_>>, ExtensionFault> {
    if bytes.is_empty() {
        return Ok(None);
    }
    let rest = bytes.strip_prefix(&MAGIC).ok_or(ExtensionFault::Foreign)?;
    let [version, highest_tag, records @ ..] = rest else { return Err(ExtensionFault::Truncated) };
    if *version != FORMAT_VERSION {
        return Err(ExtensionFault::OtherVersion);
    }
    let format = PeerFormat { version: *version, highest_tag: *highest_tag };
    let mut extension = RawExtension { format, records: Vec::new(), mac: None };
    let mut tags = BTreeSet::new();
    let mut rest = records;
    while !rest.is_empty() {
        let header = postcard::take_from_bytes::<(u8, u32)>(rest);
        let ((tag, length), tail) = header.map_err(|_| ExtensionFault::Truncated)?;
        let length = length as usize;
        if PAYLOAD_BYTES_MAX < length || tags.len() == RECORDS_MAX {
            return Err(ExtensionFault::Oversized);
        }
        let (payload, tail) = tail.split_at_checked(length).ok_or(ExtensionFault::Truncated)?;
        if !tags.insert(tag) {
            return Err(ExtensionFault::Malformed);
        }
        if tag == RecordTag::Authentication.number() {
            let mac = payload.try_into().map_err(|_| ExtensionFault::Malformed)?;
            // Bytes after the MAC would not be covered by it.
            if !tail.is_empty() {
                return Err(ExtensionFault::Malformed);
            }
            extension.mac = Some(RawMac { mac, bytes_from_record: rest.len() });
        } else {
            extension.records.push(RawRecord { tag, payload });
        }
        rest = tail;
    }
    Ok(Some(extension))
}

/// Reads the records of a heartbeat; returns also the number of those that are unknown.
fn read_heartbeat_records(
    records: &[RawRecord<'_>],
) -> Result<(HeartbeatExtension, usize), ExtensionFault> {
    let mut extension = HeartbeatExtension::default();
    let mut unknown_records = 0;
    for RawRecord { tag, payload } in records {
        match RecordTag::from_number(*tag) {
            Some(RecordTag::ColdTargets) => {
                extension.cold_targets = read_list(payload, COLD_TARGETS_MAX)?;
            }
            Some(RecordTag::Evacuations) => {
                extension.evacuations = Some(read_evacuations(payload)?)
            }
            Some(RecordTag::Speeds) => extension.speeds = read_list(payload, SPEEDS_MAX)?,
            Some(RecordTag::RouterCapacity) => extension.capacity = Some(read_value(payload)?),
            Some(RecordTag::WaitingCalls) => extension.waiting = read_list(payload, WAITING_MAX)?,
            Some(RecordTag::FragilePools) => {
                extension.fragile_pools = read_list(payload, FRAGILE_POOLS_MAX)?;
            }
            Some(RecordTag::RecordRefused) => {
                read_value::<()>(payload)?;
                extension.record_refused = true;
            }
            Some(RecordTag::ConfigVersion) => extension.config_version = Some(read_value(payload)?),
            Some(RecordTag::ColdRates | RecordTag::Authentication) | None => unknown_records += 1,
        }
    }
    Ok((extension, unknown_records))
}

/// Reads the records of a snapshot; returns also the number of those that are unknown.
fn read_snapshot_records(
    records: &[RawRecord<'_>],
) -> Result<(SnapshotExtension, usize), ExtensionFault> {
    let mut extension = SnapshotExtension::default();
    let mut unknown_records = 0;
    for RawRecord { tag, payload } in records {
        match RecordTag::from_number(*tag) {
            Some(RecordTag::ColdTargets) => {
                extension.cold_targets = read_list(payload, SNAPSHOT_TARGETS_MAX)?;
            }
            Some(RecordTag::ColdRates) => {
                extension.cold_rates = read_list(payload, SNAPSHOT_POOLS_MAX)?;
            }
            Some(RecordTag::Evacuations) => {
                extension.evacuations = Some(read_evacuations(payload)?)
            }
            Some(RecordTag::Speeds) => extension.speeds = read_list(payload, SNAPSHOT_TARGETS_MAX)?,
            Some(RecordTag::FragilePools) => {
                extension.fragile_pools = read_list(payload, FRAGILE_POOLS_MAX)?;
            }
            Some(
                RecordTag::RouterCapacity
                | RecordTag::WaitingCalls
                | RecordTag::RecordRefused
                | RecordTag::ConfigVersion
                | RecordTag::Authentication,
            )
            | None => unknown_records += 1,
        }
    }
    Ok((extension, unknown_records))
}

/// Reads a payload that consists of one value.
fn read_value<'a, T: Deserialize<'a>>(payload: &'a [u8]) -> Result<T, ExtensionFault> {
    match postcard::take_from_bytes(payload) {
        Ok((value, [])) => Ok(value),
        _ => Err(ExtensionFault::Malformed),
    }
}

/// Reads a payload that consists of one list, whose length is checked before memory is allocated for it.
fn read_list<'a, T: Deserialize<'a>>(
    payload: &'a [u8],
    count_max: usize,
) -> Result<Vec<T>, ExtensionFault> {
    let count = postcard::take_from_bytes::<u32>(payload);
    let (count, _) = count.map_err(|_| ExtensionFault::Malformed)?;
    if count_max < count as usize {
        return Err(ExtensionFault::Oversized);
    }
    read_value(payload)
}

fn read_evacuations(payload: &[u8]) -> Result<EvacuationNotice, ExtensionFault> {
    let notice: EvacuationNotice = read_value(payload)?;
    if notice.is_bounded() { Ok(notice) } else { Err(ExtensionFault::Oversized) }
}

impl EvacuationNotice {
    fn is_bounded(&self) -> bool {
        self.domains.len() <= DOMAINS_MAX
            && self.domains.iter().all(|domain| domain.len() <= DOMAIN_BYTES_MAX)
    }
}
