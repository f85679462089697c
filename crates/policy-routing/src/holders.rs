//! Targets that last served each chat, as far as this router remembers.

use std::collections::BTreeMap;

use base_types::PlacementToken;

/// Placements of the chats that this router served last; the least recently stored one is evicted.
#[derive(Debug)]
pub struct PlacementCache {
    chats_max: usize,
    store_count: u64,
    chats: BTreeMap<u64, CachedPlacement>,
    by_store_order: BTreeMap<u64, u64>,
}

#[derive(Debug, Clone, Copy)]
struct CachedPlacement {
    placement: PlacementToken,
    store_sequence: u64,
}

impl PlacementCache {
    /// Creates an empty cache that keeps at most `chats_max` chats.
    pub fn new(chats_max: usize) -> Self {
        Self { chats_max, store_count: 0, chats: BTreeMap::new(), by_store_order: BTreeMap::new() }
    }

    /// Returns the placement of a chat, by the hash of its affinity; `None` when it was evicted or
    /// never stored.
    pub fn get(&self, affinity: u64) -> Option<PlacementToken> {
        self.chats.get(&affinity).map(|chat| chat.placement)
    }

    /// Stores the placement of a chat and evicts the least recently stored one above capacity.
    pub fn put(&mut self, affinity: u64, placement: PlacementToken) {
        self.store_count += 1;
        let chat = CachedPlacement { placement, store_sequence: self.store_count };
        if let Some(previous) = self.chats.insert(affinity, chat) {
            self.by_store_order.remove(&previous.store_sequence);
        }
        self.by_store_order.insert(self.store_count, affinity);
        while self.chats.len() > self.chats_max {
            let Some((_, oldest)) = self.by_store_order.pop_first() else { return };
            self.chats.remove(&oldest);
        }
    }
}
