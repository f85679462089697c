//! Responses to an edit: accepted, valid, not accepted, or unknown.

use base_types::RowVersion;
use salvo::{
    Response,
    http::{HeaderValue, StatusCode, header},
    writing::Json,
};
use serde_json::{Value, json};
use state_tables::{CurrentRow, EditRefusal, EditRequest, EditVerdict};

const RETRY_AFTER_S: u64 = 1;
const UNAVAILABLE: &str = "the platform does not answer; try again later";

pub(super) fn write_verdict(res: &mut Response, request: &EditRequest, verdict: &EditVerdict) {
    match verdict {
        EditVerdict::Accepted { edit, version, after } => {
            write_version(res, *version);
            let body = json!({
                "outcome": "accepted", "edit": edit, "version": version, "row": after,
            });
            res.render(Json(body));
        }
        EditVerdict::Valid { after } => {
            res.render(Json(json!({ "outcome": "valid", "row": after })));
        }
        EditVerdict::Refused(refusal) => write_refusal(res, request, refusal),
        EditVerdict::Unavailable => write_unavailable(res),
        EditVerdict::Busy => {
            write_retry_after(res);
            let message = "other edits keep coming first; try again";
            write_not_accepted(res, StatusCode::SERVICE_UNAVAILABLE, message, json!({}));
        }
        EditVerdict::Unknown { edit } => {
            res.status_code(StatusCode::GATEWAY_TIMEOUT);
            res.render(Json(json!({
                "outcome": "unknown",
                "edit": edit,
                "error": "the platform did not say whether it took the edit",
                "find_out": format!("GET /admin/v1/edits/{edit}"),
            })));
        }
    }
}

fn write_refusal(res: &mut Response, request: &EditRequest, refusal: &EditRefusal) {
    match refusal {
        EditRefusal::Conflict(current) => write_conflict(res, current),
        EditRefusal::Invalid(faults) => {
            let faults: Vec<String> = faults.iter().map(ToString::to_string).collect();
            let detail = json!({ "faults": faults });
            let message = "the tables would be invalid";
            write_not_accepted(res, StatusCode::UNPROCESSABLE_ENTITY, message, detail);
        }
        EditRefusal::OtherTeam { owner } => {
            let message = format!(
                "{} belongs to team `{owner}`; operator `{}` is of team `{}`",
                request.row, request.operator, request.team,
            );
            write_not_accepted(res, StatusCode::FORBIDDEN, &message, json!({}));
        }
        EditRefusal::Overwritten { edit } => {
            let message = "the row was changed past this API while the edit was made";
            write_not_accepted(res, StatusCode::CONFLICT, message, json!({ "edit": edit }));
        }
    }
}

fn write_conflict(res: &mut Response, current: &CurrentRow) {
    if let Some(version) = current.version {
        write_version(res, version);
    }
    let detail = json!({ "current": { "version": current.version, "row": current.row } });
    let message = "the row is not in the state that the edit replaces; compare and edit again";
    write_not_accepted(res, StatusCode::PRECONDITION_FAILED, message, detail);
}

pub(super) fn write_unavailable(res: &mut Response) {
    write_retry_after(res);
    write_not_accepted(res, StatusCode::SERVICE_UNAVAILABLE, UNAVAILABLE, json!({}));
}

fn write_not_accepted(res: &mut Response, status: StatusCode, message: &str, detail: Value) {
    let mut body = json!({ "outcome": "not-accepted", "error": message });
    if let (Some(body), Value::Object(detail)) = (body.as_object_mut(), detail) {
        body.extend(detail);
    }
    res.status_code(status);
    res.render(Json(body));
}

fn write_retry_after(res: &mut Response) {
    res.headers_mut().insert(header::RETRY_AFTER, HeaderValue::from(RETRY_AFTER_S));
}

pub(super) fn write_version(res: &mut Response, version: RowVersion) {
    if let Ok(value) = format!("\"{}\"", version.0).parse() {
        res.headers_mut().insert(header::ETAG, value);
    }
}
