//! Stand-ins of the users' platform, for tests in the same process: the object store, and runners
//! whose answers are scripted byte by byte.

mod http;
mod link;
mod ports;
mod runner;
mod store;

pub use self::{
    http::{HttpConnection, HttpMessage},
    link::{LinkMode, RunnerLink},
    ports::free_address,
    runner::{
        EndlessPart, ReceivedCall, Reply, ReplyRule, ReplyScript, RunnerStandIn, StreamFraming,
        event_text, padded_event_text, resume_headers,
    },
    store::{StoreCopy, StoreDoor, StoreMode, StoreStandIn},
};
