//! Typed calls of the administration API.

use std::{net::SocketAddr, time::Duration};

use base_settings::SecretValue;
use base_types::{RowVersion, key_types, message_types};
use bytes::Bytes;
use error_stack::{Report, ResultExt};
use http::{HeaderMap, Method, Request, StatusCode, header, request::Builder};
use http_body_util::{BodyExt, Full, Limited};
use serde_json::Value;

use crate::{
    OperatorError,
    connect::{ClientTls, connect_and_send},
};

const CALL_TIMEOUT: Duration = Duration::from_secs(15);
const ANSWER_BYTES_MAX: usize = 64 * 1024 * 1024;
const REASON_HEADER: &str = "x-change-reason";

type OperatorResult<T> = Result<T, Report<OperatorError>>;

key_types! {
    /// Table that a row belongs to.
    pub enum RowTable {
        /// Routes, which map paths to pools.
        Routes,
        /// Pools, which group targets.
        Pools,
    }

    /// Precondition of an edit: the state that the row must have before the edit.
    pub enum EditCondition {
        /// No row has the name.
        Absent,
        /// The row has this version.
        Version(RowVersion),
    }
}

message_types! {
    /// Name and version of a row, without its content.
    pub struct ListedRow {
        /// Name of the row, unique in its table.
        pub name: Box<str>,
        /// Version to give as the precondition of an edit.
        pub version: RowVersion,
    }

    /// Content of a row at one version.
    pub struct VersionedRow {
        /// Version to give as the precondition of an edit.
        pub version: RowVersion,
        /// Content of the row as JSON.
        pub row: Value,
    }
}

/// Client of one router's administration API.
#[derive(Clone)]
pub struct OperatorClient {
    address: SocketAddr,
    token: Option<SecretValue<Box<str>>>,
    tls: Option<ClientTls>,
}

struct SuccessAnswer {
    headers: HeaderMap,
    body: Bytes,
}

impl RowTable {
    /// Segment of API paths that names the table.
    pub fn path(self) -> &'static str {
        match self {
            Self::Routes => "routes",
            Self::Pools => "pools",
        }
    }
}

impl OperatorClient {
    /// A client for the administration port at an address, without a token and without TLS.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, token: None, tls: None }
    }

    /// Sets the bearer token of the operator.
    #[must_use]
    pub fn with_token(self, token: SecretValue<Box<str>>) -> Self {
        Self { token: Some(token), ..self }
    }

    /// Uses TLS, trusts the authorities in PEM text, and requires `server_name` in the router's
    /// certificate.
    ///
    /// # Errors
    ///
    /// Fails when a certificate in the text cannot be decoded or the server name is invalid.
    pub fn with_tls(self, authority_pem: &[u8], server_name: &str) -> OperatorResult<Self> {
        Ok(Self { tls: Some(ClientTls::new(authority_pem, server_name)?), ..self })
    }

    /// Reads the JSON document at a path below `/admin/v1`.
    ///
    /// # Errors
    ///
    /// Fails when the router does not answer, rejects the call, or answers with anything but JSON.
    pub async fn read(&self, path: &str) -> OperatorResult<Value> {
        let request = self.request(Method::GET, path);
        self.call(request, Bytes::new()).await?.json()
    }

    /// Lists the rows of a table.
    ///
    /// # Errors
    ///
    /// Fails when the router does not answer, rejects the call, or answers with anything but a
    /// list of rows.
    pub async fn list_rows(&self, table: RowTable) -> OperatorResult<Vec<ListedRow>> {
        let answer = self.read(table.path()).await?;
        let rows =
            answer["rows"].as_array().map(|rows| rows.iter().map(parse_listed_row).collect());
        rows.flatten().ok_or_else(|| Report::new(OperatorError::Malformed))
    }

    /// Reads the content and version of a row.
    ///
    /// # Errors
    ///
    /// Fails when the row does not exist, or as [`Self::read`].
    pub async fn read_row(&self, table: RowTable, name: &str) -> OperatorResult<VersionedRow> {
        let request = self.request(Method::GET, &row_path(table, name));
        let answer = self.call(request, Bytes::new()).await?;
        Ok(VersionedRow { version: answer.version()?, row: answer.json()? })
    }

    /// Creates or replaces a row if the precondition holds, and returns the new version. `reason`
    /// is recorded in the audit trail.
    ///
    /// # Errors
    ///
    /// After [`OperatorError::Unanswered`] or [`OperatorError::Malformed`] the edit may have taken
    /// effect; after any other error it has not.
    pub async fn put_row(
        &self,
        table: RowTable,
        name: &str,
        condition: EditCondition,
        reason: &str,
        row: &Value,
    ) -> OperatorResult<RowVersion> {
        let request = self.request(Method::PUT, &row_path(table, name));
        let request =
            with_precondition(request, condition).header(REASON_HEADER, reason.as_bytes());
        let answer = self.call(request, Bytes::from(row.to_string())).await?;
        answer.version()
    }

    /// Deletes a row if it still has the given version. `reason` is recorded in the audit trail.
    ///
    /// # Errors
    ///
    /// As [`Self::put_row`].
    pub async fn delete_row(
        &self,
        table: RowTable,
        name: &str,
        version: RowVersion,
        reason: &str,
    ) -> OperatorResult<()> {
        let request = self.request(Method::DELETE, &row_path(table, name));
        let request = with_precondition(request, EditCondition::Version(version));
        let request = request.header(REASON_HEADER, reason.as_bytes());
        self.call(request, Bytes::new()).await.map(drop)
    }

    fn request(&self, method: Method, path: &str) -> Builder {
        let builder = Request::builder()
            .method(method)
            .uri(format!("/admin/v1/{path}"))
            .header(header::HOST, self.address.to_string());
        match &self.token {
            Some(token) => {
                builder.header(header::AUTHORIZATION, format!("Bearer {}", token.reveal()))
            }
            None => builder,
        }
    }

    async fn call(&self, request: Builder, body: Bytes) -> OperatorResult<SuccessAnswer> {
        let request = request.body(Full::new(body)).change_context(OperatorError::Malformed)?;
        tokio::time::timeout(CALL_TIMEOUT, self.send_and_collect(request))
            .await
            .change_context(OperatorError::Unanswered)?
    }

    async fn send_and_collect(
        &self,
        request: Request<Full<Bytes>>,
    ) -> OperatorResult<SuccessAnswer> {
        let response = connect_and_send(self.address, self.tls.as_ref(), request).await?;
        let (parts, body) = response.into_parts();
        let body = Limited::new(body, ANSWER_BYTES_MAX).collect().await;
        let body = body.map_err(|_| Report::new(OperatorError::Unanswered))?.to_bytes();
        if parts.status.is_success() {
            return Ok(SuccessAnswer { headers: parts.headers, body });
        }
        let message = String::from_utf8_lossy(&body).into_owned();
        Err(Report::new(error_for_status(parts.status)).attach(message))
    }
}

impl SuccessAnswer {
    fn json(&self) -> OperatorResult<Value> {
        serde_json::from_slice(&self.body).change_context(OperatorError::Malformed)
    }

    fn version(&self) -> OperatorResult<RowVersion> {
        self.headers
            .get(header::ETAG)
            .and_then(|value| value.to_str().ok())
            .and_then(|text| text.trim_matches('"').parse().ok())
            .map(RowVersion)
            .ok_or_else(|| Report::new(OperatorError::Malformed))
    }
}

fn parse_listed_row(row: &Value) -> Option<ListedRow> {
    let name = row["row"]["name"].as_str()?.into();
    Some(ListedRow { name, version: RowVersion(row["version"].as_u64()?) })
}

fn row_path(table: RowTable, name: &str) -> String {
    format!("{}/{name}", table.path())
}

fn with_precondition(request: Builder, condition: EditCondition) -> Builder {
    match condition {
        EditCondition::Absent => request.header(header::IF_NONE_MATCH, "*"),
        EditCondition::Version(version) => {
            request.header(header::IF_MATCH, format!("\"{}\"", version.0))
        }
    }
}

/// Error for a status without success. After a gateway timeout or an internal error it is not known
/// whether an edit took effect.
fn error_for_status(status: StatusCode) -> OperatorError {
    match status {
        StatusCode::UNAUTHORIZED | StatusCode::FORBIDDEN => OperatorError::Forbidden,
        StatusCode::NOT_FOUND => OperatorError::NotFound,
        StatusCode::PRECONDITION_FAILED | StatusCode::CONFLICT => OperatorError::Conflict,
        StatusCode::BAD_REQUEST | StatusCode::UNPROCESSABLE_ENTITY => OperatorError::Invalid,
        StatusCode::GATEWAY_TIMEOUT | StatusCode::INTERNAL_SERVER_ERROR => {
            OperatorError::Unanswered
        }
        status if status.is_server_error() => OperatorError::Unavailable,
        _ => OperatorError::Malformed,
    }
}
