//! Operators of the administration API, their rights and token digests.

use std::{collections::BTreeSet, fmt};

use base_types::{OperatorName, TeamName};

use crate::section::SettingsSection;

const DIGEST_BYTES: usize = 32;

/// A permission of the administration API.
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

/// SHA-256 digest of an operator's token; its `Debug` form hides the bytes.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct TokenDigest(pub [u8; DIGEST_BYTES]);

/// An operator who may use the administration API.
#[derive(Debug, Clone, PartialEq)]
pub struct OperatorSettings {
    /// Name of the operator as the audit trail shows it; unique in the file.
    pub name: OperatorName,
    /// Team whose rows the operator may edit with [`OperatorRight::Edit`].
    pub team: TeamName,
    /// Permissions of the operator; without any the operator may do nothing.
    pub rights: BTreeSet<OperatorRight>,
    /// Digest of the operator's token; unique in the file.
    pub token_sha256: TokenDigest,
}

impl OperatorRight {
    /// All rights, in the order in which messages list them.
    pub const ALL: [Self; 4] = [Self::Read, Self::Edit, Self::AnyTeam, Self::Settle];

    /// Name of the right in settings and messages.
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
    /// Parses 64 hexadecimal digits; `None` for any other text.
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

/// Reads all operators and records every fault in their tables.
pub(crate) fn read_operators(root: &SettingsSection<'_, '_>) -> Vec<OperatorSettings> {
    let mut operators: Vec<OperatorSettings> = Vec::new();
    for section in root.sections("operator") {
        let operator = read_operator(&section);
        let duplicates = |other: &OperatorSettings| {
            operator.as_ref().is_some_and(|operator| {
                operator.name == other.name || operator.token_sha256 == other.token_sha256
            })
        };
        if operators.iter().any(duplicates) {
            let problem = "has the same name or token as an earlier operator";
            section.report_fault("name", problem, "give each operator a unique name and token");
        }
        operators.extend(operator);
        section.finish();
    }
    operators
}

fn read_operator(section: &SettingsSection<'_, '_>) -> Option<OperatorSettings> {
    let name = section.required_name("name");
    let team = section.required_name("team");
    let rights = section.strings("rights").into_iter().filter_map(|text| read_right(section, text));
    let rights = rights.collect();
    let digest = section.required_string("token_sha256").and_then(|text| {
        let digest = TokenDigest::parse(text);
        if digest.is_none() {
            let remedy = "write the 64 hexadecimal digits that `sha256sum` gives for the token";
            section.report_fault("token_sha256", "is not a SHA-256 digest", remedy);
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
        section.report_fault(
            "rights",
            format!("contains the unknown right `{text}`"),
            format!("use {names}"),
        );
    }
    right
}
