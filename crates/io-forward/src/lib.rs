//! I/O around [`ForwardCore`](core_forward::ForwardCore): callers' connections, connections to
//! targets, streams, and heartbeats between routers.
//!
//! This crate forwards bytes and carries out the core's decisions. It knows no header names; a
//! [`ForwardDialect`] reads and writes them.

mod body;
mod call;
mod caller_stream;
mod connect;
mod contents;
mod detour;
mod dialect;
mod events;
mod framing;
mod front;
mod hop;
mod load;
mod log_lines;
mod memory;
mod peer_faults;
mod peers;
mod relay;
mod snapshots;
mod state;
mod target_stream;
mod upstream;

pub use crate::{
    body::ResponseBody,
    dialect::{ExecutionStatus, ForwardDialect, ResponseHead},
    events::{CompleteEvents, EventPosition, EventSplitter},
    front::{CallerListener, serve_callers},
    load::watch_load,
    peers::exchange_heartbeats,
    snapshots::{bootstrap_from_peers, serve_snapshots},
    state::ForwardState,
    upstream::watch_links,
};
