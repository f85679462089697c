//! Small stand-ins of the systems around knapweedport: the platform, model engines, plain services.
//!
//! Each speaks the protocol of the real system on a socket and counts its calls. Those that run as
//! processes accept the faults to inject at `POST /control`; those in `gateway` run in the test's
//! process and are controlled by method calls. They are never shipped and do not simulate hosts.

mod cache;
mod engine;
mod faults;
mod gateway;
mod journal;
mod orders;
mod platform;
mod serve;
mod service;
mod store;

pub use crate::{
    cache::PrefixCache,
    engine::run_engine,
    faults::{FaultSet, FaultState},
    gateway::{
        EndlessPart, HttpConnection, HttpMessage, LinkMode, ReceivedCall, Reply, ReplyRule,
        ReplyScript, RunnerLink, RunnerStandIn, StoreCopy, StoreDoor, StoreMode, StoreStandIn,
        StreamFraming, event_text, free_address, padded_event_text, resume_headers,
    },
    platform::run_platform,
    serve::StandInError,
    service::{ServiceExecution, run_service},
    store::{ObjectStore, WriteCondition},
};
