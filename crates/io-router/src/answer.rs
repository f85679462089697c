//! Answers to callers that the router writes itself.

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
/// Header that carries a chat's placement to the caller, which sends it with the next call.
pub(crate) const PLACEMENT: &str = "x-placement";

pub(crate) const RESULT_CODE: HeaderName = HeaderName::from_static("x-result-code");

/// A retry with the same idempotency key gets the outcome once it is recorded.
const UNKNOWN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Request id as in headers and logs: 32 hexadecimal digits.
pub(crate) fn format_request_id(request: RequestKey) -> String {
    format!("{:032x}", request.0)
}

/// Writes the header with the placement of the caller's chat.
pub(crate) fn write_placement(response: &mut Response, placement: PlacementToken) {
    let Ok(value) = HeaderValue::from_str(&placement.to_string()) else { return };
    response.headers_mut().insert(HeaderName::from_static(PLACEMENT), value);
}

/// Writes a refusal and when the caller may retry.
pub(crate) fn write_refusal(
    response: &mut Response,
    request: RequestKey,
    refusal: Refusal,
    now: TimePoint,
) {
    let row = refusal.row();
    write_result(response, request, &row);
    let retry_after = match refusal {
        Refusal::NotRun(_, retry_after) => retry_after,
        Refusal::Unknown(_) => now.after(UNKNOWN_RETRY_AFTER),
    };
    let seconds = retry_after.since(now).max(Duration::from_secs(1)).as_secs();
    response.headers_mut().insert(header::RETRY_AFTER, HeaderValue::from(seconds));
}

/// Writes an answer whose outcome is unknown.
pub(crate) fn write_unknown(response: &mut Response, request: RequestKey, code: UnknownCode) {
    write_result(response, request, &code.row());
}

/// Writes that the call completed, when its answer was not stored.
pub(crate) fn write_completed(response: &mut Response, request: RequestKey, code: CompletedCode) {
    write_result(response, request, &code.row());
}

/// Writes the stored answer of an operation.
pub(crate) fn write_stored_answer(
    response: &mut Response,
    request: RequestKey,
    answer: StoredAnswer,
    code: CompletedCode,
) {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    response.status_code(status);
    write_result_headers(response, request, code.number());
    if let Ok(value) = HeaderValue::from_str(&answer.content_type) {
        response.headers_mut().insert(header::CONTENT_TYPE, value);
    }
    response.body(ResBody::Once(answer.body));
}

/// Writes the headers that name the request and the result code.
pub(crate) fn write_result_headers(response: &mut Response, request: RequestKey, code: u16) {
    let headers = response.headers_mut();
    if let Ok(value) = HeaderValue::from_str(&format_request_id(request)) {
        headers.insert(REQUEST_ID, value);
    }
    headers.insert(RESULT_CODE, HeaderValue::from(code));
}

fn write_result(response: &mut Response, request: RequestKey, row: &CodeRow) {
    response.status_code(StatusCode::from_u16(row.status).unwrap_or(StatusCode::BAD_GATEWAY));
    write_result_headers(response, request, row.number);
    let body = json!({
        "code": row.number,
        "kind": row.kind.as_str(),
        "message": row.sentence,
        "request_id": format_request_id(request),
    });
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response.body(ResBody::Once(body.to_string().into()));
}
