//! A fake engine: slots, service time by tokens, and a prefix cache with limited memory.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use base_types::{AttemptKey, key_types};

const PREFILL_PER_TOKEN: Duration = Duration::from_micros(100);
const STEP_PER_TOKEN: Duration = Duration::from_millis(10);

key_types! {
    /// Parts of a prompt that caches tell apart.
    pub struct PromptParts {
        /// The chat.
        pub chat: u64,
        /// The prefix group of the chat.
        pub group: u32,
        /// Tokens of the group's prefix.
        pub group_tokens: u32,
        /// Tokens of the chat's history and question.
        pub chat_tokens: u32,
        /// Tokens of the answer.
        pub answer_tokens: u32,
    }

    /// Load of an engine by its own count.
    pub struct EngineLoad {
        /// Requests that run or wait.
        pub in_flight: u32,
        /// Expected tokens of the requests that run or wait.
        pub tokens: u64,
    }

    enum CacheKey {
        Group(u32),
        Chat(u64),
    }

    /// An attempt that began to run and the time that it takes.
    pub struct BegunRun {
        /// The attempt.
        pub attempt: AttemptKey,
        /// Time until its answer is whole.
        pub service: Duration,
    }
}

/// A fake engine.
#[derive(Debug)]
pub struct FakeEngine {
    slots: usize,
    cache: TokenCache,
    running: BTreeMap<AttemptKey, PromptParts>,
    waiting: VecDeque<(AttemptKey, PromptParts)>,
    /// Tokens of prompts that were found in the cache.
    pub cached_tokens: u64,
    /// Tokens of all prompts.
    pub prompt_tokens: u64,
}

impl FakeEngine {
    /// An engine with an empty cache of a number of tokens.
    pub fn new(slots: u32, cache_tokens: u64) -> Self {
        Self {
            slots: slots as usize,
            cache: TokenCache::new(cache_tokens),
            running: BTreeMap::new(),
            waiting: VecDeque::new(),
            cached_tokens: 0,
            prompt_tokens: 0,
        }
    }

    /// Takes a request; it runs at once or waits for a slot.
    pub fn take(&mut self, attempt: AttemptKey, prompt: PromptParts) -> Option<BegunRun> {
        if self.running.len() >= self.slots {
            self.waiting.push_back((attempt, prompt));
            return None;
        }
        Some(self.begin(attempt, prompt))
    }

    /// Ends a request and begins the next that waits.
    pub fn end(&mut self, attempt: AttemptKey) -> Option<BegunRun> {
        self.running.remove(&attempt);
        self.waiting.retain(|(waiting, _)| *waiting != attempt);
        if self.running.len() >= self.slots {
            return None;
        }
        let (next, prompt) = self.waiting.pop_front()?;
        Some(self.begin(next, prompt))
    }

    /// Whether a request runs.
    pub fn runs(&self, attempt: AttemptKey) -> bool {
        self.running.contains_key(&attempt)
    }

    /// Loses all requests and names them.
    pub fn lose_all(&mut self) -> Vec<AttemptKey> {
        let waiting = std::mem::take(&mut self.waiting);
        let running = std::mem::take(&mut self.running);
        running.into_keys().chain(waiting.into_iter().map(|(attempt, _)| attempt)).collect()
    }

    /// Load by the engine's own count.
    pub fn load(&self) -> EngineLoad {
        let waiting = self.waiting.iter().map(|(_, prompt)| prompt);
        let prompts = self.running.values().chain(waiting);
        let tokens = prompts.map(|prompt| u64::from(prompt.answer_tokens)).sum();
        EngineLoad { in_flight: (self.running.len() + self.waiting.len()) as u32, tokens }
    }

    fn begin(&mut self, attempt: AttemptKey, prompt: PromptParts) -> BegunRun {
        let cached = self.cache.run(&prompt);
        let length = prompt.group_tokens + prompt.chat_tokens;
        self.cached_tokens += u64::from(cached);
        self.prompt_tokens += u64::from(length);
        self.running.insert(attempt, prompt);
        let prefill = PREFILL_PER_TOKEN * (length - cached);
        BegunRun { attempt, service: prefill + STEP_PER_TOKEN * prompt.answer_tokens }
    }
}

/// Least recently used prefixes; a chat's history holds no copy of its group's prefix.
#[derive(Debug)]
struct TokenCache {
    tokens_max: u64,
    tokens: u64,
    clock: u64,
    entries: BTreeMap<CacheKey, CacheEntry>,
    order: BTreeMap<u64, CacheKey>,
}

#[derive(Debug, Clone, Copy)]
struct CacheEntry {
    tokens: u32,
    used: u64,
}

impl TokenCache {
    fn new(tokens_max: u64) -> Self {
        Self { tokens_max, tokens: 0, clock: 0, entries: BTreeMap::new(), order: BTreeMap::new() }
    }

    /// Returns the tokens of the prompt that were cached and caches prompt and answer.
    ///
    /// The group is touched last, so that it never goes before the chats that build on it.
    fn run(&mut self, prompt: &PromptParts) -> u32 {
        let chat = CacheKey::Chat(prompt.chat);
        let group = CacheKey::Group(prompt.group);
        let cached_chat = self.length(chat).min(prompt.chat_tokens);
        let cached_group = self.length(group);
        self.put(chat, prompt.chat_tokens + prompt.answer_tokens);
        self.put(group, prompt.group_tokens);
        self.shrink();
        if cached_group == 0 { 0 } else { cached_group + cached_chat }
    }

    fn length(&self, key: CacheKey) -> u32 {
        self.entries.get(&key).map_or(0, |entry| entry.tokens)
    }

    fn put(&mut self, key: CacheKey, tokens: u32) {
        self.clock += 1;
        let entry = CacheEntry { tokens, used: self.clock };
        if let Some(former) = self.entries.insert(key, entry) {
            self.order.remove(&former.used);
            self.tokens -= u64::from(former.tokens);
        }
        self.order.insert(self.clock, key);
        self.tokens += u64::from(tokens);
    }

    fn shrink(&mut self) {
        while self.tokens > self.tokens_max {
            let Some((_, oldest)) = self.order.pop_first() else { return };
            let Some(entry) = self.entries.remove(&oldest) else { continue };
            self.tokens -= u64::from(entry.tokens);
        }
    }
}
