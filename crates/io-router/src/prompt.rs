//! Parses the part of a chat call's prompt that routing needs.

use bytes::Bytes;
use serde::Deserialize;

const ASSISTANT_ROLE: &str = "assistant";
const BYTES_PER_TOKEN: usize = 4;
const PROMPT_PREFIX_BYTES_MAX: usize = 64 * 1024;

/// The part of a chat call's prompt that routing needs.
#[derive(Debug, Default)]
pub(crate) struct ChatPrompt {
    /// Start of the text, bounded because it stays in memory until the request has finished.
    pub(crate) prefix: Bytes,
    /// Estimate from the length of the text, plus the requested `max_tokens`.
    pub(crate) estimated_tokens: u32,
    /// Whether the prompt contains no answer of an earlier turn.
    pub(crate) is_first_turn: bool,
}

#[derive(Deserialize)]
struct ChatBody {
    #[serde(default)]
    messages: Vec<ChatMessage>,
    #[serde(default)]
    max_tokens: u32,
}

#[derive(Deserialize)]
struct ChatMessage {
    content: Box<str>,
    #[serde(default)]
    role: Box<str>,
}

impl ChatPrompt {
    /// Parses a chat body. Any other body has an empty prompt and a token estimate from its length.
    pub(crate) fn parse(body: &[u8]) -> Self {
        let Ok(chat) = serde_json::from_slice::<ChatBody>(body) else {
            return Self {
                prefix: Bytes::new(),
                estimated_tokens: (body.len() / BYTES_PER_TOKEN) as u32,
                is_first_turn: false,
            };
        };
        let bytes: usize = chat.messages.iter().map(|message| message.content.len()).sum();
        let tokens = (bytes / BYTES_PER_TOKEN) as u32;
        let is_first_turn = chat.messages.iter().all(|message| &*message.role != ASSISTANT_ROLE);
        Self {
            prefix: chat.prefix(),
            is_first_turn,
            estimated_tokens: tokens.saturating_add(chat.max_tokens),
        }
    }
}

impl ChatBody {
    fn prefix(&self) -> Bytes {
        let mut prefix = Vec::new();
        for message in &self.messages {
            let remaining = PROMPT_PREFIX_BYTES_MAX - prefix.len();
            let content = message.content.as_bytes();
            prefix.extend_from_slice(&content[..content.len().min(remaining)]);
        }
        prefix.into()
    }
}
