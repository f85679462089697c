//! The client itself.

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
    connect::{ClientTls, exchange},
};

const CALL_TIMEOUT: Duration = Duration::from_secs(15);
const ANSWER_BYTES_MAX: usize = 64 * 1024 * 1024;
const REASON_HEADER: &str = "x-change-reason";

type OperatorResult<T> = Result<T, Report<OperatorError>>;

key_types! {
    /// One of the two tables.
    pub enum RowTable {
        /// The routes table.
        Routes,
        /// The pools table.
        Pools,
    }

    /// The state of a row that an edit replaces.
    pub enum EditCondition {
        /// There is no row of that name.
        Absent,
        /// The row has this version.
        Version(RowVersion),
    }
}

message_types! {
    /// A row, its name and its version.
    pub struct ListedRow {
        /// Name of the row.
        pub name: Box<str>,
        /// Version of the row.
        pub version: RowVersion,
    }

    /// A row and its version.
    pub struct VersionedRow {
        /// Version of the row.
        pub version: RowVersion,
        /// The row as JSON.
        pub row: Value,
    }
}

/// Client of one router's operators' API.
#[derive(Clone)]
pub struct OperatorClient {
    address: SocketAddr,
    token: Option<SecretValue<Box<str>>>,
    tls: Option<ClientTls>,
}

struct PlainAnswer {
    headers: HeaderMap,
    body: Bytes,
}

impl RowTable {
    /// The word in the API's paths.
    pub fn path(self) -> &'static str {
        match self {
            Self::Routes => "routes",
            Self::Pools => "pools",
        }
    }
}

impl OperatorClient {
    /// A client of the router whose operators' port has an address.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, token: None, tls: None }
    }

    /// Sets the operator's token.
    #[must_use]
    pub fn token(self, token: SecretValue<Box<str>>) -> Self {
        Self { token: Some(token), ..self }
    }

    /// Uses TLS, trusts the authority of a PEM text, and expects a name in the certificate.
    ///
    /// # Errors
    ///
    /// Fails when the text holds no certificate that can be read or the name is none.
    pub fn trusting(self, authority_pem: &[u8], server_name: &str) -> OperatorResult<Self> {
        Ok(Self { tls: Some(ClientTls::new(authority_pem, server_name)?), ..self })
    }

    /// Reads a path below `/admin/v1` as JSON.
    ///
    /// # Errors
    ///
    /// Fails when the router does not answer with JSON.
    pub async fn read(&self, path: &str) -> OperatorResult<Value> {
        let request = self.request(Method::GET, path);
        self.call(request, Bytes::new()).await?.json()
    }

    /// Lists the rows of a table.
    ///
    /// # Errors
    ///
    /// Fails when the router does not answer.
    pub async fn list_rows(&self, table: RowTable) -> OperatorResult<Vec<ListedRow>> {
        let answer = self.read(table.path()).await?;
        let rows = answer["rows"].as_array().map(|rows| rows.iter().map(listed_row).collect());
        rows.flatten().ok_or_else(|| Report::new(OperatorError::Malformed))
    }

    /// Reads a row and its version.
    ///
    /// # Errors
    ///
    /// Fails when there is no such row or the router does not answer.
    pub async fn read_row(&self, table: RowTable, name: &str) -> OperatorResult<VersionedRow> {
        let request = self.request(Method::GET, &row_path(table, name));
        let answer = self.call(request, Bytes::new()).await?;
        Ok(VersionedRow { version: answer.version()?, row: answer.json()? })
    }

    /// Puts a row in place of one in a given state and returns the new version.
    ///
    /// # Errors
    ///
    /// [`OperatorError::Unanswered`] says that the edit may have taken effect; no other error does.
    pub async fn put_row(
        &self,
        table: RowTable,
        name: &str,
        condition: EditCondition,
        reason: &str,
        row: &Value,
    ) -> OperatorResult<RowVersion> {
        let request = self.request(Method::PUT, &row_path(table, name));
        let request = conditional(request, condition).header(REASON_HEADER, reason.as_bytes());
        let answer = self.call(request, Bytes::from(row.to_string())).await?;
        answer.version()
    }

    /// Deletes a row of a given version.
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
        let request = conditional(request, EditCondition::Version(version));
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

    async fn call(&self, request: Builder, body: Bytes) -> OperatorResult<PlainAnswer> {
        let request = request.body(Full::new(body)).change_context(OperatorError::Malformed)?;
        tokio::time::timeout(CALL_TIMEOUT, self.exchange(request))
            .await
            .change_context(OperatorError::Unanswered)?
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> OperatorResult<PlainAnswer> {
        let response = exchange(self.address, self.tls.as_ref(), request).await?;
        let (parts, body) = response.into_parts();
        let body = Limited::new(body, ANSWER_BYTES_MAX).collect().await;
        let body = body.map_err(|_| Report::new(OperatorError::Unanswered))?.to_bytes();
        if parts.status.is_success() {
            return Ok(PlainAnswer { headers: parts.headers, body });
        }
        let said = String::from_utf8_lossy(&body).into_owned();
        Err(Report::new(error_of(parts.status)).attach(said))
    }
}

impl PlainAnswer {
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

fn listed_row(row: &Value) -> Option<ListedRow> {
    let name = row["row"]["name"].as_str()?.into();
    Some(ListedRow { name, version: RowVersion(row["version"].as_u64()?) })
}

fn row_path(table: RowTable, name: &str) -> String {
    format!("{}/{name}", table.path())
}

fn conditional(request: Builder, condition: EditCondition) -> Builder {
    match condition {
        EditCondition::Absent => request.header(header::IF_NONE_MATCH, "*"),
        EditCondition::Version(version) => {
            request.header(header::IF_MATCH, format!("\"{}\"", version.0))
        }
    }
}

/// A gateway timeout is the one refusal that does not say whether an edit took effect.
fn error_of(status: StatusCode) -> OperatorError {
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
