//! A fake engine with a number of slots, a service time that depends on token counts, and a prefix
//! cache of limited size.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use base_types::{AttemptKey, key_types};

const PREFILL_TIME_PER_TOKEN: Duration = Duration::from_micros(100);
const DECODE_TIME_PER_TOKEN: Duration = Duration::from_millis(10);

key_types! {
    /// The segments of a prompt, which are cached separately, and the length of its answer.
    pub struct PromptSegments {
        /// Number of the chat.
        pub chat: u64,
        /// Number of the chat's prefix group; the chats of a group share a prefix.
        pub group: u32,
        /// Length of the shared group prefix in tokens.
        pub group_tokens: u32,
        /// Length of the chat's history and new question in tokens.
        pub chat_tokens: u32,
        /// Length of the answer in tokens.
        pub answer_tokens: u32,
    }

    /// Load of an engine, counted by the engine itself.
    pub struct EngineLoad {
        /// Number of requests that run or wait for a slot.
        pub in_flight: u32,
        /// Total answer tokens of the requests that run or wait.
        pub answer_tokens: u64,
    }

    enum CacheKey {
        Group(u32),
        Chat(u64),
    }

    /// An attempt that started to run, with its service time.
    pub struct StartedAttempt {
        /// Key of the attempt.
        pub attempt: AttemptKey,
        /// Time until the answer is complete.
        pub service_time: Duration,
    }
}

/// A fake engine that counts prompt tokens and prefix cache hits.
#[derive(Debug)]
pub struct FakeEngine {
    slots: usize,
    cache: TokenCache,
    running: BTreeMap<AttemptKey, PromptSegments>,
    waiting: VecDeque<(AttemptKey, PromptSegments)>,
    /// Prompt tokens found in the cache since the engine was created.
    pub cached_tokens: u64,
    /// Tokens of all prompts started since the engine was created.
    pub prompt_tokens: u64,
}

impl FakeEngine {
    /// Creates an engine with an empty cache that holds at most `cache_tokens` tokens.
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

    /// Submits a request. Returns the started attempt, or `None` if the request waits for a slot.
    pub fn submit(
        &mut self,
        attempt: AttemptKey,
        prompt: PromptSegments,
    ) -> Option<StartedAttempt> {
        if self.running.len() >= self.slots {
            self.waiting.push_back((attempt, prompt));
            return None;
        }
        Some(self.start(attempt, prompt))
    }

    /// Finishes a request. Returns the next waiting request if a free slot lets it start.
    pub fn finish(&mut self, attempt: AttemptKey) -> Option<StartedAttempt> {
        self.running.remove(&attempt);
        self.waiting.retain(|(waiting, _)| *waiting != attempt);
        if self.running.len() >= self.slots {
            return None;
        }
        let (next, prompt) = self.waiting.pop_front()?;
        Some(self.start(next, prompt))
    }

    /// Returns whether a request is running, as opposed to waiting or finished.
    pub fn is_running(&self, attempt: AttemptKey) -> bool {
        self.running.contains_key(&attempt)
    }

    /// Aborts all running and waiting requests and returns their keys.
    pub fn abort_all(&mut self) -> Vec<AttemptKey> {
        let waiting = std::mem::take(&mut self.waiting);
        let running = std::mem::take(&mut self.running);
        running.into_keys().chain(waiting.into_iter().map(|(attempt, _)| attempt)).collect()
    }

    /// Returns the current load of the engine.
    pub fn load(&self) -> EngineLoad {
        let waiting = self.waiting.iter().map(|(_, prompt)| prompt);
        let prompts = self.running.values().chain(waiting);
        let answer_tokens = prompts.map(|prompt| u64::from(prompt.answer_tokens)).sum();
        EngineLoad { in_flight: (self.running.len() + self.waiting.len()) as u32, answer_tokens }
    }

    fn start(&mut self, attempt: AttemptKey, prompt: PromptSegments) -> StartedAttempt {
        let cached = self.cache.process(&prompt);
        let prompt_tokens = prompt.group_tokens + prompt.chat_tokens;
        self.cached_tokens += u64::from(cached);
        self.prompt_tokens += u64::from(prompt_tokens);
        self.running.insert(attempt, prompt);
        let prefill = PREFILL_TIME_PER_TOKEN * (prompt_tokens - cached);
        StartedAttempt {
            attempt,
            service_time: prefill + DECODE_TIME_PER_TOKEN * prompt.answer_tokens,
        }
    }
}

/// An LRU cache of group prefixes and chat histories. A chat entry does not include the prefix of
/// the chat's group.
#[derive(Debug)]
struct TokenCache {
    capacity_tokens: u64,
    tokens: u64,
    access_count: u64,
    entries: BTreeMap<CacheKey, CacheEntry>,
    by_last_use: BTreeMap<u64, CacheKey>,
}

#[derive(Debug, Clone, Copy)]
struct CacheEntry {
    tokens: u32,
    last_use: u64,
}

impl TokenCache {
    fn new(capacity_tokens: u64) -> Self {
        Self {
            capacity_tokens,
            tokens: 0,
            access_count: 0,
            entries: BTreeMap::new(),
            by_last_use: BTreeMap::new(),
        }
    }

    /// Caches the prompt and its answer, and returns how many prompt tokens were already cached.
    ///
    /// The group is touched after the chat, so that a group prefix is never evicted before the
    /// chats that extend it.
    fn process(&mut self, prompt: &PromptSegments) -> u32 {
        let chat = CacheKey::Chat(prompt.chat);
        let group = CacheKey::Group(prompt.group);
        let cached_chat = self.cached_length(chat).min(prompt.chat_tokens);
        let cached_group = self.cached_length(group);
        self.insert_entry(chat, prompt.chat_tokens + prompt.answer_tokens);
        self.insert_entry(group, prompt.group_tokens);
        self.evict();
        if cached_group == 0 { 0 } else { cached_group + cached_chat }
    }

    fn cached_length(&self, key: CacheKey) -> u32 {
        self.entries.get(&key).map_or(0, |entry| entry.tokens)
    }

    fn insert_entry(&mut self, key: CacheKey, tokens: u32) {
        self.access_count += 1;
        let entry = CacheEntry { tokens, last_use: self.access_count };
        if let Some(previous) = self.entries.insert(key, entry) {
            self.by_last_use.remove(&previous.last_use);
            self.tokens -= u64::from(previous.tokens);
        }
        self.by_last_use.insert(self.access_count, key);
        self.tokens += u64::from(tokens);
    }

    fn evict(&mut self) {
        while self.tokens > self.capacity_tokens {
            let Some((_, oldest)) = self.by_last_use.pop_first() else { return };
            let Some(entry) = self.entries.remove(&oldest) else { continue };
            self.tokens -= u64::from(entry.tokens);
        }
    }
}
