//! Answers that the router itself gives to callers.

use std::time::Duration;

use base_types::{
    CodeRow, CompletedCode, PlacementToken, Refusal, RequestKey, TimePoint, UnknownCode,
};
use core_router::StoredAnswer;
use salvo::{
    Response,
    http::{HeaderName, HeaderValue, ResBody, StatusCode, header},
};
use serde_json::json;

pub(crate) const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// Header in which a caller learns its chat's placement and sends it back.
pub(crate) const PLACEMENT: &str = "x-placement";

pub(crate) const RESULT_CODE: HeaderName = HeaderName::from_static("x-result-code");

/// A repeat with the same operation id learns the outcome, once it is recorded.
const COME_BACK_UNKNOWN: Duration = Duration::from_secs(1);

/// Text form of a request key in headers.
pub(crate) fn request_text(request: RequestKey) -> String {
    format!("{:032x}", request.0)
}

/// Tells the caller the placement of its chat.
pub(crate) fn write_placement(response: &mut Response, placement: PlacementToken) {
    let Ok(value) = HeaderValue::from_str(&placement.to_string()) else { return };
    response.headers_mut().insert(HeaderName::from_static(PLACEMENT), value);
}

/// Writes a final refusal.
pub(crate) fn write_refusal(
    response: &mut Response,
    request: RequestKey,
    refusal: Refusal,
    now: TimePoint,
) {
    let row = refusal.row();
    write_row(response, request, &row);
    let come_back = match refusal {
        Refusal::NotRun(_, come_back) => come_back,
        Refusal::Unknown(_) => now.after(COME_BACK_UNKNOWN),
    };
    let seconds = come_back.since(now).max(Duration::from_secs(1)).as_secs();
    response.headers_mut().insert(header::RETRY_AFTER, HeaderValue::from(seconds));
}

/// Writes an answer whose outcome is unknown.
pub(crate) fn write_unknown(response: &mut Response, request: RequestKey, code: UnknownCode) {
    write_row(response, request, &code.row());
}

/// Writes that the work completed, where its answer was not kept.
pub(crate) fn write_completed(response: &mut Response, request: RequestKey, code: CompletedCode) {
    write_row(response, request, &code.row());
}

/// Writes the stored answer of an operation.
pub(crate) fn write_stored(
    response: &mut Response,
    request: RequestKey,
    answer: StoredAnswer,
    code: CompletedCode,
) {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    response.status_code(status);
    write_identity(response, request, code.number());
    if let Ok(value) = HeaderValue::from_str(&answer.content_type) {
        response.headers_mut().insert(header::CONTENT_TYPE, value);
    }
    response.body(ResBody::Once(answer.body));
}

/// Writes the headers that name the request and the result code.
pub(crate) fn write_identity(response: &mut Response, request: RequestKey, code: u16) {
    let headers = response.headers_mut();
    if let Ok(value) = HeaderValue::from_str(&request_text(request)) {
        headers.insert(REQUEST_ID, value);
    }
    headers.insert(RESULT_CODE, HeaderValue::from(code));
}

fn write_row(response: &mut Response, request: RequestKey, row: &CodeRow) {
    response.status_code(StatusCode::from_u16(row.status).unwrap_or(StatusCode::BAD_GATEWAY));
    write_identity(response, request, row.number);
    let body = json!({
        "code": row.number,
        "kind": row.kind.as_str(),
        "message": row.sentence,
        "request_id": request_text(request),
    });
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response.body(ResBody::Once(body.to_string().into()));
}
