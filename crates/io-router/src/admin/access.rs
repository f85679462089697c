//! Authentication and authorization of the administration API.

use std::sync::Arc;

use base_settings::{OperatorRight, OperatorSettings};
use salvo::{
    Depot, FlowCtrl, Handler, Request, Response, async_trait,
    http::{HeaderValue, StatusCode, header},
};
use sha2::{Digest, Sha256};
use subtle::{Choice, ConditionallySelectable, ConstantTimeEq};

use crate::admin::write_error;

const NO_TOKEN: &str = "send the operator's token as `Authorization: Bearer TOKEN`";
const UNKNOWN_TOKEN: &str = "the token belongs to no operator of this router's settings";

/// The configured operators.
pub(super) struct OperatorList {
    operators: Vec<OperatorSettings>,
}

/// Middleware that passes only the calls of operators with a given right.
pub(super) struct AccessHoop {
    list: Arc<OperatorList>,
    right: OperatorRight,
}

impl OperatorList {
    pub(super) fn new(operators: Vec<OperatorSettings>) -> Self {
        Self { operators }
    }

    /// Finds the operator of a token. Compares every digest in constant time, so that the duration
    /// reveals nothing about the digests.
    fn find(&self, token: &[u8]) -> Option<&OperatorSettings> {
        let digest: [u8; 32] = Sha256::digest(token).into();
        let mut found = u32::MAX;
        for (index, operator) in (0..).zip(&self.operators) {
            let equal: Choice = digest.ct_eq(&operator.token_sha256.0);
            found.conditional_assign(&index, equal);
        }
        self.operators.get(usize::try_from(found).ok()?)
    }
}

impl AccessHoop {
    pub(super) fn new(list: Arc<OperatorList>, right: OperatorRight) -> Self {
        Self { list, right }
    }

    fn authorize(&self, req: &Request) -> Result<&OperatorSettings, AccessDenial> {
        let token = bearer_token(req).ok_or(AccessDenial::NoToken)?;
        let operator = self.list.find(token).ok_or(AccessDenial::UnknownToken)?;
        if operator.rights.contains(&self.right) {
            return Ok(operator);
        }
        Err(AccessDenial::NoRight(self.right))
    }
}

enum AccessDenial {
    NoToken,
    UnknownToken,
    NoRight(OperatorRight),
}

impl AccessDenial {
    fn write(&self, res: &mut Response) {
        if let Self::NoRight(right) = self {
            let message = format!("the operator has no right `{}`", right.name());
            return write_error(res, StatusCode::FORBIDDEN, &message);
        }
        let bearer = HeaderValue::from_static("Bearer");
        res.headers_mut().insert(header::WWW_AUTHENTICATE, bearer);
        let message = if matches!(self, Self::NoToken) { NO_TOKEN } else { UNKNOWN_TOKEN };
        write_error(res, StatusCode::UNAUTHORIZED, message);
    }
}

#[async_trait]
impl Handler for AccessHoop {
    async fn handle(
        &self,
        req: &mut Request,
        depot: &mut Depot,
        res: &mut Response,
        ctrl: &mut FlowCtrl,
    ) {
        match self.authorize(req) {
            Ok(operator) => {
                depot.insert_typed(operator.clone());
            }
            Err(denial) => {
                denial.write(res);
                ctrl.skip_rest();
            }
        }
    }
}

fn bearer_token(req: &Request) -> Option<&[u8]> {
    let value = req.headers().get(header::AUTHORIZATION)?.as_bytes();
    value.strip_prefix(b"Bearer ").filter(|token| !token.is_empty())
}
