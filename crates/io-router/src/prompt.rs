//! Reading the prompt of a chat call, as far as routing needs it.

use serde::Deserialize;

const BYTES_PER_TOKEN: usize = 4;

/// Prompt of a chat call, as far as routing needs it.
#[derive(Debug, Default)]
pub(crate) struct ChatPrompt {
    pub(crate) text: String,
    pub(crate) tokens: u32,
    /// Whether the prompt holds no answer of an earlier turn.
    pub(crate) begins: bool,
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

const ANSWER_ROLE: &str = "assistant";

impl ChatPrompt {
    /// Reads the prompt of a chat body; other bodies have none and count by their length.
    pub(crate) fn parse(body: &[u8]) -> Self {
        let Ok(chat) = serde_json::from_slice::<ChatBody>(body) else {
            return Self {
                text: String::new(),
                tokens: (body.len() / BYTES_PER_TOKEN) as u32,
                begins: false,
            };
        };
        let mut text = String::new();
        for message in &chat.messages {
            text.push_str(&message.content);
        }
        let tokens = (text.len() / BYTES_PER_TOKEN) as u32;
        let begins = chat.messages.iter().all(|message| &*message.role != ANSWER_ROLE);
        Self { text, begins, tokens: tokens.saturating_add(chat.max_tokens) }
    }
}
