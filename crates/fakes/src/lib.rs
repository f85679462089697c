//! Small stand-ins of the systems around knapweedport: the platform, model engines, plain services.
//!
//! Each speaks the protocol of the real system on a socket, counts its calls, and takes orders to
//! fail at `POST /control`. They are never shipped and do not simulate hosts.

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
    serve::StandInError,
    service::{ServiceRun, run_service},
    store::{ObjectStore, WriteCondition},
};
