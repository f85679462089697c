//! Chats that return after pauses.

use std::time::Duration;

use base_types::key_types;
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::{PromptParts, TraceShape};

const ANSWER_TOKENS_MIN: f64 = 16.0;
const ANSWER_TOKENS_MAX: f64 = 1000.0;

/// Exponent by which groups and accounts differ in how often they are asked for (Zipf).
const SKEW: f64 = 0.8;

key_types! {
    /// A chat between two turns.
    pub(crate) struct ChatState {
        /// Number of the chat.
        pub(crate) chat: u64,
        /// Client account.
        pub(crate) account: u32,
        /// Prefix group.
        pub(crate) group: u32,
        /// Tokens of questions and answers so far.
        pub(crate) history: u32,
        /// Turns that are left.
        pub(crate) turns_left: u32,
        /// Router at which the chat entered last.
        pub(crate) router: u32,
        /// Target that served the chat last.
        pub(crate) holder: Option<u32>,
        /// Whether the chat belongs to a surge.
        pub(crate) surging: bool,
    }
}

/// Source of chats.
#[derive(Debug)]
pub(crate) struct ChatSource {
    shape: TraceShape,
    rng: SmallRng,
    chats: u64,
}

impl ChatSource {
    pub(crate) fn new(shape: TraceShape, seed: u64) -> Self {
        Self { shape, rng: SmallRng::seed_from_u64(seed), chats: 0 }
    }

    /// A new chat of any account.
    pub(crate) fn open(&mut self, routers: u32) -> ChatState {
        let account = self.zipf(self.shape.accounts);
        self.open_for(account, routers, false)
    }

    /// A new chat of one account.
    pub(crate) fn open_for(&mut self, account: u32, routers: u32, surging: bool) -> ChatState {
        self.chats += 1;
        ChatState {
            chat: self.chats,
            account,
            group: self.zipf(self.shape.groups),
            history: 0,
            turns_left: self.exponential(f64::from(self.shape.turns)).ceil() as u32,
            router: self.rng.random_range(0..routers),
            holder: None,
            surging,
        }
    }

    /// A chat that has some turns behind it.
    pub(crate) fn open_midway(&mut self, routers: u32) -> ChatState {
        let turns = self.exponential(f64::from(self.shape.turns)) as u32;
        let history = turns * (self.shape.question_tokens + self.shape.answer_tokens);
        ChatState { history, ..self.open(routers) }
    }

    /// The prompt of a chat's next turn.
    pub(crate) fn ask(&mut self, chat: &ChatState) -> PromptParts {
        let answer = self.exponential(f64::from(self.shape.answer_tokens));
        PromptParts {
            chat: chat.chat,
            group: chat.group,
            group_tokens: self.shape.group_tokens,
            chat_tokens: chat.history + self.shape.question_tokens,
            answer_tokens: answer.clamp(ANSWER_TOKENS_MIN, ANSWER_TOKENS_MAX) as u32,
        }
    }

    /// The pause before the next turn.
    pub(crate) fn pause(&mut self) -> Duration {
        self.shape.pause.mul_f64(self.exponential(1.0))
    }

    /// Whether something of this probability happens.
    pub(crate) fn happens(&mut self, probability: f64) -> bool {
        self.rng.random_bool(probability)
    }

    /// A number below a limit.
    pub(crate) fn pick(&mut self, limit: u32) -> u32 {
        self.rng.random_range(0..limit)
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        let unit: f64 = self.rng.random();
        -mean * (1.0 - unit).ln()
    }

    fn zipf(&mut self, limit: u32) -> u32 {
        let weight = |rank: u32| f64::from(rank + 1).powf(-SKEW);
        let total: f64 = (0..limit).map(weight).sum();
        let mut rest = self.rng.random::<f64>() * total;
        for rank in 0..limit {
            rest -= weight(rank);
            if rest < 0.0 {
                return rank;
            }
        }
        limit - 1
    }
}
