//! A prompt-prefix cache of bounded size, like those of model engines.

use std::collections::BTreeMap;

use xxhash_rust::xxh3;

const BLOCK_BYTES: usize = 64;

/// LRU cache of prompt blocks, each identified by the hash of the prompt up to the block's end.
#[derive(Debug)]
pub struct PrefixCache {
    max_blocks: usize,
    clock: u64,
    last_used: BTreeMap<u64, u64>,
    blocks_by_use: BTreeMap<u64, u64>,
}

impl PrefixCache {
    /// Creates an empty cache of at most `max_blocks` blocks.
    pub fn new(max_blocks: usize) -> Self {
        Self { max_blocks, clock: 0, last_used: BTreeMap::new(), blocks_by_use: BTreeMap::new() }
    }

    /// Inserts all blocks of a prompt; returns how many bytes of its prefix were cached before.
    pub fn lookup_and_insert(&mut self, prompt: &[u8]) -> usize {
        let mut cached_blocks = 0;
        let mut is_cached = true;
        let mut prefix_hash = 0;
        for block in prompt.chunks_exact(BLOCK_BYTES) {
            prefix_hash = xxh3::xxh3_64_with_seed(block, prefix_hash);
            is_cached &= self.last_used.contains_key(&prefix_hash);
            cached_blocks += usize::from(is_cached);
            self.touch(prefix_hash);
        }
        cached_blocks * BLOCK_BYTES
    }

    fn touch(&mut self, block: u64) {
        self.clock += 1;
        if let Some(previous_use) = self.last_used.insert(block, self.clock) {
            self.blocks_by_use.remove(&previous_use);
        }
        self.blocks_by_use.insert(self.clock, block);
        while self.last_used.len() > self.max_blocks {
            let Some((_, oldest)) = self.blocks_by_use.pop_first() else { return };
            self.last_used.remove(&oldest);
        }
    }
}
