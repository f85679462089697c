//! Target choice: selects the target of a pool for a request.
//!
//! The choice is a pure function of a view of the pool's targets. This crate keeps the load shares
//! of other routers, the holders of cached prompt segments and the placements of chats. Health and
//! queues are kept by callers, who pass them in the view. The words "call" and "request" mean the
//! same here.
//!
//! The crate also chooses the routers that a caller is told to use, by their capacity and load.

mod callers;
mod capacity;
mod choice;
mod cost;
mod holders;
mod load_class;
mod parts;
mod rendezvous;
mod shares;

pub use crate::{
    callers::{CallerKey, NAMED_ROUTERS_MAX, RouterView, choose_routers},
    capacity::{LoadSample, RouterResources},
    choice::{ChoiceQuery, ChoiceReason, FleetPosition, TargetChoice, TargetView, choose_target},
    cost::{CostChoice, CostQuery, CostView, choose_cheapest},
    holders::PlacementCache,
    load_class::{LoadClass, LoadTracker, PeerClass},
    parts::SegmentDirectory,
    rendezvous::{rendezvous_score, stable_hash, unit_hash},
    shares::{PeerLoads, SHARE_TTL},
};
