//! Settings of a router process, parsed from TOML into types and checked before anything is bound.
//!
//! It reads no files: callers pass the text.

mod operators;
mod settings;

pub use crate::{
    operators::{OperatorRight, OperatorSettings, TokenDigest},
    settings::{RouterSettings, SettingsError},
};
