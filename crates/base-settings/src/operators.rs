//! Operators and what they may do.

use std::{collections::BTreeSet, fmt};

use base_types::{OperatorName, TeamName, key_types};
use error_stack::Report;
use serde::{Deserialize, Deserializer, de::Error};

use crate::SettingsError;

const DIGEST_BYTES: usize = 32;

key_types! {
    /// What an operator may do.
    #[serde(rename_all = "kebab-case")]
    pub enum OperatorRight {
        /// Read rows, history, the audit trail and explanations.
        Read,
        /// Edit the rows of the operator's team.
        Edit,
        /// Edit the rows of every team.
        AnyTeam,
        /// Settle operations whose outcome is unknown.
        Settle,
    }
}

/// Digest of an operator's token; it is never shown.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct TokenDigest(pub [u8; DIGEST_BYTES]);

/// An operator who may use the administration API.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorSettings {
    /// Name, as the audit trail shows it.
    pub name: OperatorName,
    /// Team whose rows the operator may edit.
    pub team: TeamName,
    /// What the operator may do.
    pub rights: BTreeSet<OperatorRight>,
    /// SHA-256 of the token, in hexadecimal digits.
    pub token_sha256: TokenDigest,
}

impl fmt::Debug for TokenDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("TokenDigest")
    }
}

impl<'de> Deserialize<'de> for TokenDigest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = Box::<str>::deserialize(deserializer)?;
        parse_digest(&text).ok_or_else(|| D::Error::custom("must be 64 hexadecimal digits"))
    }
}

pub(crate) fn check_operators(operators: &[OperatorSettings]) -> Result<(), Report<SettingsError>> {
    let mut names = BTreeSet::new();
    for operator in operators {
        if !names.insert(&operator.name) {
            let report = Report::new(SettingsError);
            return Err(report.attach(format!("operator `{}` is listed twice", operator.name)));
        }
    }
    Ok(())
}

fn parse_digest(text: &str) -> Option<TokenDigest> {
    if text.len() != 2 * DIGEST_BYTES || !text.is_ascii() {
        return None;
    }
    let mut digest = [0; DIGEST_BYTES];
    for (index, byte) in digest.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * index..2 * index + 2], 16).ok()?;
    }
    Some(TokenDigest(digest))
}
