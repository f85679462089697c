//! A prompt-prefix cache in limited memory, as model engines keep one.

use std::collections::BTreeMap;

use xxhash_rust::xxh3;

const BLOCK_BYTES: usize = 64;

/// Least recently used blocks of prompts, each named by the hash of all text up to its end.
#[derive(Debug)]
pub struct PrefixCache {
    blocks_max: usize,
    clock: u64,
    used: BTreeMap<u64, u64>,
    order: BTreeMap<u64, u64>,
}

impl PrefixCache {
    /// A cache that holds a number of blocks.
    pub fn new(blocks_max: usize) -> Self {
        Self { blocks_max, clock: 0, used: BTreeMap::new(), order: BTreeMap::new() }
    }

    /// Runs a prompt through the cache and returns the bytes of its prefix that were cached.
    pub fn run(&mut self, prompt: &[u8]) -> usize {
        let mut hits = 0;
        let mut unbroken = true;
        let mut state = 0;
        for block in prompt.chunks_exact(BLOCK_BYTES) {
            state = xxh3::xxh3_64_with_seed(block, state);
            unbroken &= self.used.contains_key(&state);
            hits += usize::from(unbroken);
            self.touch(state);
        }
        hits * BLOCK_BYTES
    }

    fn touch(&mut self, block: u64) {
        self.clock += 1;
        if let Some(last) = self.used.insert(block, self.clock) {
            self.order.remove(&last);
        }
        self.order.insert(self.clock, block);
        while self.used.len() > self.blocks_max {
            let Some((_, oldest)) = self.order.pop_first() else { return };
            self.used.remove(&oldest);
        }
    }
}
