//! TLS of the callers' and operators' ports.

use base_settings::SecretValue;
use io_operator::{OperatorClient, OperatorError, RowTable};
use io_wire::keys::{FLEET_NAME, FleetAuthority};
use local_fleet::OPERATOR_TOKEN;

use crate::fleet::{FLEET, chat_request, exchange};

fn list(client: OperatorClient) -> Result<usize, OperatorError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let client = client.with_token(SecretValue::new(OPERATOR_TOKEN.into()));
    let rows = runtime.block_on(client.list_rows(RowTable::Pools));
    rows.map(|rows| rows.len()).map_err(|report| *report.current_context())
}

fn client() -> OperatorClient {
    OperatorClient::new(FLEET.tls.operator)
}

#[test]
fn an_operator_who_trusts_the_authority_is_served() {
    let client = client().with_tls(FLEET.authority.as_bytes(), FLEET_NAME).unwrap();
    assert_eq!(list(client), Ok(2));
}

#[test]
fn a_certificate_of_another_authority_is_refused_before_the_token_is_sent() {
    let other = FleetAuthority::generate().unwrap();
    let pem = other.files().certificate.clone();
    let client = client().with_tls(pem.as_bytes(), FLEET_NAME).unwrap();
    assert_eq!(list(client), Err(OperatorError::Unreachable));
}

#[test]
fn a_certificate_of_another_name_is_refused() {
    let client = client().with_tls(FLEET.authority.as_bytes(), "other.example").unwrap();
    assert_eq!(list(client), Err(OperatorError::Unreachable));
}

#[test]
fn plain_http_on_a_tls_port_gets_no_answer() {
    for address in [FLEET.tls.caller, FLEET.tls.operator] {
        let answer = exchange(address, &chat_request());
        assert!(!answer.starts_with("HTTP/1.1 200"), "{answer}");
    }
}

/// The callers' port answers an operator's path over TLS with code 1001, as an unknown route.
#[test]
fn a_caller_who_trusts_the_authority_gets_the_routers_own_answer() {
    let client = OperatorClient::new(FLEET.tls.caller);
    let client = client.with_tls(FLEET.authority.as_bytes(), FLEET_NAME).unwrap();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let report = runtime.block_on(client.read("status")).unwrap_err();
    assert_eq!(*report.current_context(), OperatorError::NotFound);
    assert!(format!("{report:?}").contains("\"code\":1001"), "{report:?}");
}
