//! JSON texts with parts that cannot be decoded.

use std::{borrow::Cow, fmt::Write};

use serde::{
    Deserialize, Deserializer,
    de::{DeserializeOwned, Error, Visitor},
};
use serde_json::value::RawValue;

/// Returns a JSON text in which bytes that are not UTF-8 are escapes of lone surrogates: these are part of the
/// text, but not of any string that it can be decoded to (as in PEP 383).
pub fn escape_invalid_bytes(body: &[u8]) -> Cow<'_, str> {
    if let Ok(text) = std::str::from_utf8(body) {
        return text.into();
    }
    let mut text = String::with_capacity(body.len());
    for chunk in body.utf8_chunks() {
        text.push_str(chunk.valid());
        for byte in chunk.invalid() {
            // Writing to a string does not fail.
            let _ = write!(text, "\\udc{byte:02x}");
        }
    }
    text.into()
}

/// Decodes a string of an escaped text to the bytes that it had before; `None` if the text is not a string.
pub fn decode_raw_string(text: &str) -> Option<Vec<u8>> {
    let RawString(bytes) = serde_json::from_str(text).ok()?;
    Some(restore_invalid_bytes(&bytes))
}

/// Decodes the elements of a list one by one; those that cannot be decoded are left out.
pub(crate) fn readable_elements<'de, D, T>(deserializer: D) -> Result<Vec<T>, D::Error>
where
    D: Deserializer<'de>,
    T: DeserializeOwned,
{
    let elements = Vec::<&RawValue>::deserialize(deserializer)?;
    let count = elements.len();
    let decoded = elements.into_iter().filter_map(|text| serde_json::from_str(text.get()).ok());
    let decoded: Vec<T> = decoded.collect();
    if decoded.len() < count {
        log::warn!(unreadable = count - decoded.len(); "elements of a list left out");
    }
    Ok(decoded)
}

/// Reverses [`escape_invalid_bytes`] in a decoded string, where U+DC80 to U+DCFF have three bytes each.
fn restore_invalid_bytes(bytes: &[u8]) -> Vec<u8> {
    let (mut restored, mut rest) = (Vec::with_capacity(bytes.len()), bytes);
    while let [first, tail @ ..] = rest {
        if let [0xed, middle @ (0xb2 | 0xb3), last, tail @ ..] = rest {
            restored.push(middle << 6 | (last & 0x3f));
            rest = tail;
        } else {
            restored.push(*first);
            rest = tail;
        }
    }
    restored
}

/// A JSON string as bytes; lone surrogates are encoded like other characters.
struct RawString(Vec<u8>);

impl<'de> Deserialize<'de> for RawString {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct BytesVisitor;

        impl Visitor<'_> for BytesVisitor {
            type Value = RawString;

            fn expecting(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str("a string")
            }

            fn visit_bytes<E: Error>(self, bytes: &[u8]) -> Result<RawString, E> {
                Ok(RawString(bytes.to_owned()))
            }
        }

        deserializer.deserialize_bytes(BytesVisitor)
    }
}
