//! The routers that callers are told to use, and the capacity and load of this router.

use std::net::SocketAddr;

use base_types::TimePoint;
use policy_routing::{
    CallerKey, LoadClass, LoadSample, LoadTracker, RouterResources, RouterView, choose_routers,
    stable_hash,
};

use crate::{ForwardCore, RouterCapacity, RouterEntry};

/// Capacity and load of this router.
#[derive(Debug, Default)]
pub(super) struct OwnCapacity {
    resources: RouterResources,
    tracker: LoadTracker,
    /// Routers in the last answer to a caller.
    pub(super) last_named: usize,
}

impl ForwardCore {
    /// Sets the resources that the settings of this router state. Without any, the router reports no
    /// capacity and ignores its load.
    pub fn set_resources(&mut self, resources: RouterResources) {
        self.capacity.resources = resources;
    }

    /// Takes over what the router observed of itself, about once per second; returns the new class of its
    /// load if it changed. The calls in flight are those of this state machine.
    pub fn on_load_sample(&mut self, now: TimePoint, sample: LoadSample) -> Option<LoadClass> {
        self.capacity.resources.weight()?;
        let sample = LoadSample { calls: self.calls.len(), ..sample };
        let percent = self.capacity.resources.use_percent(&sample);
        self.capacity.tracker.observe(now, percent)
    }

    /// Returns the capacity and load of this router; `None` if its settings state no resources.
    pub fn own_capacity(&self) -> Option<RouterCapacity> {
        let weight = self.capacity.resources.weight()?;
        Some(RouterCapacity { weight, load_percent: self.capacity.tracker.reported_percent() })
    }

    /// Returns the addresses that a caller may use, with this router's own while it serves. Unless
    /// it is shutting down, its own is also returned when no other router serves. Routers that are cut
    /// off from all targets are left out while others are not. Which of them a caller gets depends on
    /// their capacity and load; all are returned if these are unknown or equal and the fleet is small.
    pub fn caller_addresses(&mut self, now: TimePoint, caller: CallerKey) -> Vec<SocketAddr> {
        let candidates = self.caller_candidates(now);
        let views: Vec<RouterView> = candidates.iter().map(|(_, view)| *view).collect();
        let named = choose_routers(caller, &views);
        self.capacity.last_named = named.len();
        named
            .into_iter()
            .filter_map(|index| candidates.get(index).map(|(address, _)| *address))
            .collect()
    }

    fn caller_candidates(&self, now: TimePoint) -> Vec<(SocketAddr, RouterView)> {
        let peer = |entry: &RouterEntry| {
            let (weight, load) = self.peers.capacity(now, &entry.name);
            (entry.caller_address, router_view(entry, weight, load))
        };
        let mut linked: Vec<_> = self.peers.serving_with_links(now).map(peer).collect();
        if self.ready() && !self.is_cut_off(now) {
            linked.push(self.own_candidate());
        }
        if !linked.is_empty() {
            return linked;
        }
        let mut candidates: Vec<_> = self.peers.serving(now).map(peer).collect();
        if self.ready() || (candidates.is_empty() && !self.shutting_down) {
            candidates.push(self.own_candidate());
        }
        candidates
    }

    fn own_candidate(&self) -> (SocketAddr, RouterView) {
        let weight = self.capacity.resources.weight();
        let view = router_view(&self.entry, weight, self.capacity.tracker.class());
        (self.entry.caller_address, view)
    }
}

fn router_view(entry: &RouterEntry, weight: Option<u32>, load: LoadClass) -> RouterView {
    RouterView {
        router_hash: stable_hash(entry.name.as_str().as_bytes()),
        domain_hash: stable_hash(entry.failure_domain.as_bytes()),
        weight,
        load,
    }
}
