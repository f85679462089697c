//! Operators in the settings of the fleet's routers.

use sha2::{Digest, Sha256};

/// Token of the operator with all rights; the fleet's caller sends it by default.
pub const OPERATOR_TOKEN: &str = "local-fleet-operator";
/// Token of an operator who may edit the rows of team `renewals`.
pub const RENEWALS_TOKEN: &str = "local-fleet-renewals";
/// Token of an operator who may edit the rows of team `payments`.
pub const PAYMENTS_TOKEN: &str = "local-fleet-payments";
/// Token of an operator who may only read.
pub const READER_TOKEN: &str = "local-fleet-reader";

const ALL_RIGHTS: &str = r#""read", "edit", "any-team", "settle""#;
const EDIT_RIGHTS: &str = r#""read", "edit""#;

/// The `[[operator]]` tables of a router's settings file.
pub(crate) fn operator_settings() -> String {
    [
        ("operator", "platform", ALL_RIGHTS, OPERATOR_TOKEN),
        ("amina", "renewals", EDIT_RIGHTS, RENEWALS_TOKEN),
        ("petrus", "payments", EDIT_RIGHTS, PAYMENTS_TOKEN),
        ("reader", "renewals", r#""read""#, READER_TOKEN),
    ]
    .into_iter()
    .map(|(name, team, rights, token)| {
        let digest: String =
            Sha256::digest(token).iter().map(|byte| format!("{byte:02x}")).collect();
        format!(
            "\n[[operator]]\nname = \"{name}\"\nteam = \"{team}\"\nrights = [{rights}]\n\
             token_sha256 = \"{digest}\"\n"
        )
    })
    .collect()
}
