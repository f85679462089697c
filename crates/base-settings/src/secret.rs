//! A wrapper that keeps secrets out of logs and messages.

use std::fmt;

/// A secret; its `Debug` form hides the value and it has no `Display`.
#[derive(Clone, PartialEq, Eq)]
pub struct SecretValue<T>(T);

impl<T> SecretValue<T> {
    /// Wraps a value that must not be shown.
    pub fn new(value: T) -> Self {
        Self(value)
    }

    /// Borrows the secret; callers must not log it or show it in a message.
    pub fn reveal(&self) -> &T {
        &self.0
    }
}

impl<T> fmt::Debug for SecretValue<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}", std::any::type_name::<T>()).and(f.write_str("[hidden]"))
    }
}
