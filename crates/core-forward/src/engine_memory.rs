//! Whether an engine has room in its cache for the tokens of a call.
//!
//! Load pattern: long prompts and answers whose tokens, added up over the calls in flight, exceed the
//! cache of an engine long before its slots are taken; the engine then crashes or evicts what it
//! needs. Invariant: the estimate counts each call in flight once, with all tokens of its prompt and
//! the largest answer that it allows, and says nothing of an engine whose capacity is not known.

use base_types::message_types;

use crate::PromptHead;

/// Weight of the latest call in the mean size of calls, which so follows about the last 64 calls.
const LATEST_CALL_WEIGHT: f64 = 1.0 / 64.0;

/// Largest size of a call that counts towards the mean, in tokens; callers state the sizes themselves.
const CALL_TOKENS_MAX: u64 = 1_000_000;

/// Mean size of the calls of a pool, in tokens.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct CallSizes {
    /// `None` before the first call.
    mean_tokens: Option<f64>,
}

message_types! {
    /// What an engine holds in its cache for calls in flight.
    #[derive(Copy)]
    pub(crate) struct EngineFill {
        /// Tokens that the engine's cache takes.
        pub(crate) cache_tokens: u64,
        /// Tokens of this router's calls in flight on the engine.
        pub(crate) own_tokens: u64,
        /// Calls of other routers in flight on the engine.
        pub(crate) peer_calls: u32,
    }
}

impl CallSizes {
    /// Adds a call to the mean.
    pub(crate) fn on_call(&mut self, tokens: u64) {
        let tokens = tokens.min(CALL_TOKENS_MAX) as f64;
        let mean_tokens = self.mean_tokens.unwrap_or(tokens);
        self.mean_tokens = Some(mean_tokens + (tokens - mean_tokens) * LATEST_CALL_WEIGHT);
    }

    /// Whether a further call of `tokens` tokens exceeds the cache of an engine. Calls of other routers
    /// count with the mean size of this router's.
    pub(crate) fn lacks_memory(&self, fill: EngineFill, tokens: u64) -> bool {
        if fill.cache_tokens == 0 {
            return false;
        }
        let mean_tokens = self.mean_tokens.unwrap_or(0.0);
        let peer_tokens = (mean_tokens * f64::from(fill.peer_calls)) as u64;
        fill.own_tokens.saturating_add(peer_tokens).saturating_add(tokens) > fill.cache_tokens
    }
}

/// Tokens that a call may take in the cache of its engine: its prompt and its longest answer.
pub(crate) fn call_tokens(prompt: Option<&PromptHead>) -> u64 {
    prompt.map_or(0, |prompt| u64::from(prompt.input_tokens) + u64::from(prompt.output_tokens))
}
