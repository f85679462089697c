//! Operators and what they may do.

use std::{collections::BTreeSet, fmt};

use base_types::{OperatorName, TeamName};

use crate::section::SettingsSection;

const DIGEST_BYTES: usize = 32;

/// What an operator may do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
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

/// SHA-256 digest of an operator's token; it is never shown.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct TokenDigest(pub [u8; DIGEST_BYTES]);

/// An operator who may use the administration API.
#[derive(Debug, Clone, PartialEq)]
pub struct OperatorSettings {
    /// Name, as the audit trail shows it.
    pub name: OperatorName,
    /// Team whose rows the operator may edit.
    pub team: TeamName,
    /// What the operator may do.
    pub rights: BTreeSet<OperatorRight>,
    /// Digest of the operator's token.
    pub token_sha256: TokenDigest,
}

impl OperatorRight {
    /// All rights.
    pub const ALL: [Self; 4] = [Self::Read, Self::Edit, Self::AnyTeam, Self::Settle];

    /// The right's name in settings and messages.
    pub fn name(self) -> &'static str {
        match self {
            Self::Read => "read",
            Self::Edit => "edit",
            Self::AnyTeam => "any-team",
            Self::Settle => "settle",
        }
    }
}

impl TokenDigest {
    /// Reads a digest in hexadecimal digits.
    pub fn parse(text: &str) -> Option<Self> {
        let bytes = text.as_bytes();
        if bytes.len() != 2 * DIGEST_BYTES {
            return None;
        }
        let mut digest = [0; DIGEST_BYTES];
        for (byte, pair) in digest.iter_mut().zip(bytes.chunks_exact(2)) {
            let high = char::from(pair[0]).to_digit(16)?;
            let low = char::from(pair[1]).to_digit(16)?;
            *byte = u8::try_from(high * 16 + low).ok()?;
        }
        Some(Self(digest))
    }
}

impl fmt::Debug for TokenDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("TokenDigest")
    }
}

/// Reads all operators and notes every fault of theirs.
pub(crate) fn read_operators(root: &SettingsSection<'_, '_>) -> Vec<OperatorSettings> {
    let mut operators: Vec<OperatorSettings> = Vec::new();
    for section in root.sections("operator") {
        let operator = read_operator(&section);
        let same = |other: &OperatorSettings| {
            operator.as_ref().is_some_and(|operator| {
                operator.name == other.name || operator.token_sha256 == other.token_sha256
            })
        };
        if operators.iter().any(same) {
            let problem = "has the name or the token of an operator above";
            section.fault("name", problem, "give each operator a name and a token of its own");
        }
        operators.extend(operator);
        section.finish();
    }
    operators
}

fn read_operator(section: &SettingsSection<'_, '_>) -> Option<OperatorSettings> {
    let name = section.required_name("name");
    let team = section.required_name("team");
    let rights = section.texts("rights").into_iter().filter_map(|text| read_right(section, text));
    let rights = rights.collect();
    let digest = section.required_text("token_sha256").and_then(|text| {
        let digest = TokenDigest::parse(text);
        if digest.is_none() {
            let remedy = "write the 64 hexadecimal digits that `sha256sum` gives for the token";
            section.fault("token_sha256", "is no SHA-256 digest", remedy);
        }
        digest
    });
    Some(OperatorSettings {
        name: OperatorName::new(name?),
        team: TeamName::new(team?),
        rights,
        token_sha256: digest?,
    })
}

fn read_right(section: &SettingsSection<'_, '_>, text: &str) -> Option<OperatorRight> {
    let right = OperatorRight::ALL.into_iter().find(|right| right.name() == text);
    if right.is_none() {
        let names = OperatorRight::ALL.map(OperatorRight::name).join(", ");
        section.fault("rights", format!("holds `{text}`"), format!("use {names}"));
    }
    right
}
