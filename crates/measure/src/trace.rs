//! Generates chats whose turns are separated by pauses.

use std::time::Duration;

use base_types::key_types;
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::{PromptSegments, WorkloadShape};

const ANSWER_TOKENS_MIN: f64 = 16.0;
const ANSWER_TOKENS_MAX: f64 = 1000.0;

/// Zipf exponent of the popularity of groups and accounts.
const ZIPF_EXPONENT: f64 = 0.8;

key_types! {
    /// The state of a chat between two turns.
    pub(crate) struct ChatState {
        /// Number of the chat.
        pub(crate) chat: u64,
        /// Number of the client account.
        pub(crate) account: u32,
        /// Number of the prefix group.
        pub(crate) group: u32,
        /// Tokens of all questions and answers so far.
        pub(crate) history: u32,
        /// Number of remaining turns.
        pub(crate) turns_left: u32,
        /// Router that received the chat's most recent turn.
        pub(crate) router: u32,
        /// Always `None`: the run tracks the holders of chats itself (`ScenarioRun::holders`).
        pub(crate) holder: Option<u32>,
        /// Whether the chat was started by a surge and ends with it.
        pub(crate) surging: bool,
    }
}

/// Generates chats and their turns from a seed.
#[derive(Debug)]
pub(crate) struct ChatSource {
    workload: WorkloadShape,
    rng: SmallRng,
    chat_count: u64,
}

impl ChatSource {
    pub(crate) fn new(workload: WorkloadShape, seed: u64) -> Self {
        Self { workload, rng: SmallRng::seed_from_u64(seed), chat_count: 0 }
    }

    /// Starts a chat for a random account.
    pub(crate) fn start_chat(&mut self, routers: u32) -> ChatState {
        let account = self.zipf(self.workload.accounts);
        self.start_chat_for(account, routers, false)
    }

    /// Starts a chat for the given account.
    pub(crate) fn start_chat_for(
        &mut self,
        account: u32,
        routers: u32,
        surging: bool,
    ) -> ChatState {
        self.chat_count += 1;
        ChatState {
            chat: self.chat_count,
            account,
            group: self.zipf(self.workload.groups),
            history: 0,
            turns_left: self.exponential(f64::from(self.workload.turns)).ceil() as u32,
            router: self.rng.random_range(0..routers),
            holder: None,
            surging,
        }
    }

    /// Starts a chat with the history of a random number of turns.
    pub(crate) fn start_chat_midway(&mut self, routers: u32) -> ChatState {
        let turns = self.exponential(f64::from(self.workload.turns)) as u32;
        let history = turns * (self.workload.question_tokens + self.workload.answer_tokens);
        ChatState { history, ..self.start_chat(routers) }
    }

    /// Generates the prompt of a chat's next turn.
    pub(crate) fn next_prompt(&mut self, chat: &ChatState) -> PromptSegments {
        let answer = self.exponential(f64::from(self.workload.answer_tokens));
        PromptSegments {
            chat: chat.chat,
            group: chat.group,
            group_tokens: self.workload.group_tokens,
            chat_tokens: chat.history + self.workload.question_tokens,
            answer_tokens: answer.clamp(ANSWER_TOKENS_MIN, ANSWER_TOKENS_MAX) as u32,
        }
    }

    /// Generates the pause before a chat's next turn.
    pub(crate) fn next_pause(&mut self) -> Duration {
        self.workload.pause.mul_f64(self.exponential(1.0))
    }

    /// Returns `true` with the given probability.
    pub(crate) fn random_bool(&mut self, probability: f64) -> bool {
        self.rng.random_bool(probability)
    }

    /// Returns a random number below `limit`.
    pub(crate) fn random_below(&mut self, limit: u32) -> u32 {
        self.rng.random_range(0..limit)
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        let unit: f64 = self.rng.random();
        -mean * (1.0 - unit).ln()
    }

    fn zipf(&mut self, limit: u32) -> u32 {
        let weight = |rank: u32| f64::from(rank + 1).powf(-ZIPF_EXPONENT);
        let total: f64 = (0..limit).map(weight).sum();
        let mut remaining = self.rng.random::<f64>() * total;
        for rank in 0..limit {
            remaining -= weight(rank);
            if remaining < 0.0 {
                return rank;
            }
        }
        limit - 1
    }
}
