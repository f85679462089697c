//! Small stand-ins for what knapweedport meets: the platform, model engines, plain services.
//!
//! Each speaks the protocol of the real thing on a socket, counts what it did, and can be told
//! to fail through `POST /control`. They are never shipped and simulate no machines.

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
    faults::{FaultOrder, FaultState},
    gateway::{
        HttpConnection, HttpMessage, Reply, ReplyRule, RunnerStandIn, ServedCall, SharedScript,
        StoreMood, StoreStandIn, free_address,
    },
    platform::run_platform,
    serve::FakeError,
    service::{ServiceRun, run_service},
    store::{ObjectStore, StoreGuard},
};
