//! Targets that served chats last, as far as one router remembers.

use std::collections::BTreeMap;

use base_types::PlacementToken;

/// Placements of the chats that this router served last; the least recently used go first.
#[derive(Debug)]
pub struct HolderMemory {
    chats_max: usize,
    clock: u64,
    chats: BTreeMap<u64, RememberedChat>,
    order: BTreeMap<u64, u64>,
}

#[derive(Debug, Clone, Copy)]
struct RememberedChat {
    placement: PlacementToken,
    used: u64,
}

impl HolderMemory {
    /// A memory for a number of chats.
    pub fn new(chats_max: usize) -> Self {
        Self { chats_max, clock: 0, chats: BTreeMap::new(), order: BTreeMap::new() }
    }

    /// Placement of a chat, by the hash of its affinity.
    pub fn find(&self, affinity: u64) -> Option<PlacementToken> {
        self.chats.get(&affinity).map(|chat| chat.placement)
    }

    /// Remembers the placement of a chat.
    pub fn put(&mut self, affinity: u64, placement: PlacementToken) {
        self.clock += 1;
        let chat = RememberedChat { placement, used: self.clock };
        if let Some(former) = self.chats.insert(affinity, chat) {
            self.order.remove(&former.used);
        }
        self.order.insert(self.clock, affinity);
        while self.chats.len() > self.chats_max {
            let Some((_, oldest)) = self.order.pop_first() else { return };
            self.chats.remove(&oldest);
        }
    }
}
