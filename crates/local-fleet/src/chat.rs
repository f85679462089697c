//! Chat prompts and the check that an answer is whole and belongs to its prompt.

use serde::Deserialize;
use serde_json::json;
use xxhash_rust::xxh3;

use crate::CallAnswer;

/// A prompt whose answer can be checked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChatPrompt {
    /// Text of the prompt.
    pub text: Box<str>,
    /// Tokens to generate.
    pub tokens: u32,
}

/// A whole answer that belongs to its prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ChatAnswer {
    /// Bytes of the prompt's prefix that the engine had cached.
    pub cached_bytes: u64,
}

/// What is wrong with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChatFault {
    /// A token belongs to another prompt.
    Foreign,
    /// Tokens are missing, doubled or out of order.
    Disordered,
    /// The end mark is missing.
    Unfinished,
}

#[derive(Deserialize)]
struct TokenEvent {
    index: u32,
    token: Box<str>,
}

#[derive(Deserialize)]
struct UsageEvent {
    usage: UsageCounts,
}

#[derive(Deserialize)]
struct UsageCounts {
    cached_bytes: u64,
}

impl ChatPrompt {
    /// Body of the call.
    pub fn body(&self) -> Vec<u8> {
        let message = json!({ "role": "user", "content": self.text });
        let body = json!({ "model": "any", "messages": [message], "max_tokens": self.tokens });
        body.to_string().into_bytes()
    }

    /// Checks that an answer is whole and belongs to this prompt.
    ///
    /// # Errors
    ///
    /// Names the first fault found.
    pub fn check(&self, answer: &CallAnswer) -> Result<ChatAnswer, ChatFault> {
        let text = String::from_utf8_lossy(&answer.body);
        let mut events = text.split("\n\n").filter_map(event_data);
        let digest = format!("{:016x}", xxh3::xxh3_64(self.text.as_bytes()));
        for index in 0..self.tokens {
            check_token(events.next(), index, &digest)?;
        }
        let usage = events.next().and_then(|event| serde_json::from_str::<UsageEvent>(event).ok());
        let (Some(usage), Some("[DONE]"), None) = (usage, events.next(), events.next()) else {
            return Err(ChatFault::Unfinished);
        };
        Ok(ChatAnswer { cached_bytes: usage.usage.cached_bytes })
    }
}

fn event_data(event: &str) -> Option<&str> {
    event.lines().find_map(|line| line.strip_prefix("data: "))
}

fn check_token(event: Option<&str>, index: u32, digest: &str) -> Result<(), ChatFault> {
    let event = event.ok_or(ChatFault::Unfinished)?;
    let token: TokenEvent = serde_json::from_str(event).map_err(|_| ChatFault::Disordered)?;
    if !token.token.starts_with(digest) {
        return Err(ChatFault::Foreign);
    }
    if token.index != index || *token.token != *format!("{digest}-{index}") {
        return Err(ChatFault::Disordered);
    }
    Ok(())
}
