//! Client of the platform: objects with versions, conditional writes, watches, and the host list.
//!
//! The client has no cache and does not retry. After a write without an answer, callers read the
//! object back to learn whether the write took effect.

mod client;
mod error;
mod json_text;
mod objects;
mod transport;

pub use crate::{
    client::PlatformClient,
    error::PlatformError,
    json_text::{decode_raw_string, escape_invalid_bytes},
    objects::{
        HostList, HostRow, ObjectKey, ObjectList, ObjectRecord, WatchAnswer, WriteAnswer,
        WriteCondition,
    },
    transport::{PlatformResult, PlatformTransport},
};
