//! The admin API on real processes: access, edits, races, lost answers, history.

#[path = "admin/desk.rs"]
mod desk;

use std::{fs, time::Duration};

use desk::{AdminFixture, chat_route, pool};
use fakes::FaultSet;
use http::StatusCode;
use local_fleet::{OPERATOR_TOKEN, PAYMENTS_TOKEN, READER_TOKEN, RENEWALS_TOKEN};
use serde_json::{Value, json};

const LOST_WRITES: [u32; 3] = [3, 4, 6];

#[tokio::test]
async fn operators_are_authenticated_by_token_and_limited_by_rights_and_team() {
    let fixture = AdminFixture::start("access", 2).await;
    let path = "pools/assistant";
    let body = pool("assistant", 1.5);
    let no_token = [("authorization", "")];
    assert_eq!(fixture.call("GET", path, &no_token, None).await.status, StatusCode::UNAUTHORIZED);
    let wrong = [("authorization", "Bearer wrong")];
    assert_eq!(fixture.call("GET", path, &wrong, None).await.status, StatusCode::UNAUTHORIZED);
    let put = |token| fixture.put_as(token, path, None, &body);
    assert_eq!(put(READER_TOKEN).await.status, StatusCode::FORBIDDEN);
    assert_eq!(put(PAYMENTS_TOKEN).await.status, StatusCode::FORBIDDEN);
    assert_eq!(put(RENEWALS_TOKEN).await.status, StatusCode::OK);
    let version = fixture.version(path).await;
    let moved = json!({ "name": "assistant", "team": "payments", "group": "assistant",
        "kind": "engine", "repeatable": true });
    let foreign_edit = fixture.put_as(PAYMENTS_TOKEN, path, Some(version), &moved).await;
    assert_eq!(foreign_edit.status, StatusCode::FORBIDDEN);
    let own_edit = fixture.put_as(RENEWALS_TOKEN, path, Some(version), &moved).await;
    assert_eq!(own_edit.status, StatusCode::FORBIDDEN);
    for entry in fs::read_dir(&fixture.workdir).unwrap().flatten() {
        let text = String::from_utf8_lossy(&fs::read(entry.path()).unwrap()).into_owned();
        for token in [OPERATOR_TOKEN, PAYMENTS_TOKEN, READER_TOKEN, RENEWALS_TOKEN, "wrong"] {
            assert!(!text.contains(token), "{} contains a token", entry.path().display());
        }
    }
}

#[tokio::test]
async fn one_of_several_concurrent_edits_is_accepted_and_the_others_get_its_row() {
    let fixture = AdminFixture::start("race", 2).await;
    fixture.put_as(OPERATOR_TOKEN, "pools/assistant", None, &pool("assistant", 1.5)).await;
    let version = fixture.version("pools/assistant").await;
    let ratios = [2.0, 3.0, 4.0, 5.0, 6.0, 7.0];
    let bodies = ratios.map(|ratio| pool("assistant", ratio));
    let edits = bodies
        .iter()
        .map(|body| fixture.put_as(OPERATOR_TOKEN, "pools/assistant", Some(version), body));
    let answers = futures_util::future::join_all(edits).await;
    let accepted: Vec<_> =
        answers.iter().filter(|answer| answer.status == StatusCode::OK).collect();
    assert_eq!(accepted.len(), 1);
    let winner: Value = accepted[0].json().unwrap();
    for loser in answers.iter().filter(|answer| answer.status != StatusCode::OK) {
        assert_eq!(loser.status, StatusCode::PRECONDITION_FAILED);
        let body: Value = loser.json().unwrap();
        assert_eq!(body["current"]["version"], winner["version"]);
        assert_eq!(body["current"]["row"], winner["row"]);
    }
}

#[tokio::test]
async fn two_edits_that_are_only_valid_alone_are_not_both_accepted() {
    let fixture = AdminFixture::start("pair", 2).await;
    for round in 0..5 {
        let name = format!("pool-{round}");
        let path = format!("pools/{name}");
        let route = json!({ "name": name, "team": "renewals", "path": format!("/{round}"),
            "pool": name });
        fixture.put_as(OPERATOR_TOKEN, &path, None, &pool(&name, 1.5)).await;
        let version = fixture.version(&path).await;
        let route_path = format!("routes/{name}");
        let (deleted, created) = tokio::join!(
            fixture.delete(&path, version),
            fixture.put_as(OPERATOR_TOKEN, &route_path, None, &route),
        );
        let statuses = [deleted.status, created.status];
        let accepted = statuses.iter().filter(|status| **status == StatusCode::OK).count();
        assert_eq!(accepted, 1, "{statuses:?}");
        assert!(statuses.contains(&StatusCode::UNPROCESSABLE_ENTITY), "{statuses:?}");
    }
}

#[tokio::test]
async fn an_edit_whose_first_answer_is_lost_is_read_back() {
    let fixture = AdminFixture::start("lost-one", 2).await;
    fixture.set_platform_faults(&FaultSet { lose_answers: 1, ..FaultSet::default() }).await;
    let put =
        fixture.put_as(OPERATOR_TOKEN, "pools/assistant", None, &pool("assistant", 1.5)).await;
    assert_eq!(put.status, StatusCode::OK);
    assert_eq!(fixture.audit().await.len(), 1);
}

#[tokio::test]
async fn an_edit_without_any_answer_is_unknown_and_later_found_accepted() {
    let fixture = AdminFixture::start("lost-all", 2).await;
    fixture.put_as(OPERATOR_TOKEN, "pools/assistant", None, &pool("assistant", 1.5)).await;
    let version = fixture.version("pools/assistant").await;
    // No router gets an answer to any write, so neither can confirm the edit for the other.
    fixture.set_platform_faults(&FaultSet { lose_answers: u32::MAX, ..FaultSet::default() }).await;
    let body = pool("assistant", 2.5);
    let put = fixture.put_as(OPERATOR_TOKEN, "pools/assistant", Some(version), &body).await;
    assert_eq!(put.status, StatusCode::GATEWAY_TIMEOUT);
    let unknown: Value = put.json().unwrap();
    assert_eq!(unknown["outcome"], "unknown");
    fixture.set_platform_faults(&FaultSet::default()).await;
    check_accepted(&fixture, &unknown["edit"], 2.5, 2).await;
}

/// Both routers try to complete the edit and share the lost answers in an order that is not fixed,
/// so the outcome may be "accepted" or "unknown"; either one must be true.
#[tokio::test]
async fn an_edit_with_some_lost_answers_is_never_reported_as_not_accepted() {
    let fixture = AdminFixture::start("lost-some", 2).await;
    fixture.put_as(OPERATOR_TOKEN, "pools/assistant", None, &pool("assistant", 1.5)).await;
    for (edits, lose_answers) in (2..).zip(LOST_WRITES) {
        let version = fixture.version("pools/assistant").await;
        fixture.set_platform_faults(&FaultSet { lose_answers, ..FaultSet::default() }).await;
        let max_load_ratio = 1.5 + f64::from(lose_answers);
        let body = pool("assistant", max_load_ratio);
        let put = fixture.put_as(OPERATOR_TOKEN, "pools/assistant", Some(version), &body).await;
        fixture.set_platform_faults(&FaultSet::default()).await;
        let answer: Value = put.json().unwrap();
        match put.status {
            StatusCode::OK => assert_eq!(answer["outcome"], "accepted"),
            StatusCode::GATEWAY_TIMEOUT => assert_eq!(answer["outcome"], "unknown"),
            _ => panic!("the edit took effect, but the answer was {put:?}"),
        }
        check_accepted(&fixture, &answer["edit"], max_load_ratio, edits).await;
    }
}

/// Checks that an edit is reported as accepted, is the current row, and is the newest entry of an
/// audit trail that contains each edit once.
async fn check_accepted(fixture: &AdminFixture, edit: &Value, max_load_ratio: f64, edits: usize) {
    let found: Value = fixture.read(&format!("edits/{}", edit.as_str().unwrap())).await;
    assert_eq!(found["outcome"], "accepted");
    assert_eq!(fixture.read("pools/assistant").await["max_load_ratio"], max_load_ratio);
    let audit = fixture.audit().await;
    assert_eq!(audit.len(), edits);
    assert_eq!(audit[0]["edit"], *edit);
    assert_eq!(audit[0]["end"]["outcome"], "accepted");
}

#[tokio::test]
async fn an_edit_during_an_outage_is_reported_as_not_accepted() {
    let fixture = AdminFixture::start("outage", 2).await;
    fixture.set_platform_faults(&FaultSet { refuse: true, ..FaultSet::default() }).await;
    let put =
        fixture.put_as(OPERATOR_TOKEN, "pools/assistant", None, &pool("assistant", 1.5)).await;
    assert_eq!(put.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(put.header("retry-after"), "1");
    assert_eq!(put.json::<Value>().unwrap()["outcome"], "not-accepted");
    fixture.set_platform_faults(&FaultSet::default()).await;
    assert!(fixture.audit().await.is_empty());
}

#[tokio::test]
async fn an_abandoned_edit_is_completed_by_another_router() {
    let mut fixture = AdminFixture::start("abandoned", 2).await;
    fixture.set_platform_faults(&FaultSet { lose_answers: 1, ..FaultSet::default() }).await;
    let body = pool("assistant", 1.5);
    let put = fixture.put_as(OPERATOR_TOKEN, "pools/assistant", None, &body);
    // The first write of the guard has taken effect and its answer is lost when the router is
    // killed.
    let _ = tokio::time::timeout(Duration::from_millis(500), put).await;
    fixture.fleet.routers[0].process = None;
    let entry = fixture.wait_audit(1, 1).await;
    assert_eq!(entry["end"]["outcome"], "accepted");
    fixture.wait_row(1, "pools/assistant").await;
}

#[tokio::test]
async fn an_invalid_row_written_past_the_api_is_reported_and_the_valid_one_stays_in_force() {
    let fixture = AdminFixture::start("past", 2).await;
    fixture.put_as(OPERATOR_TOKEN, "pools/assistant", None, &pool("assistant", 1.5)).await;
    fixture.put_as(OPERATOR_TOKEN, "routes/chat", None, &chat_route()).await;
    let version = fixture.version("routes/chat").await;
    fixture.write_past_the_api("routes/chat", &json!({ "name": "chat", "path": 7 })).await;
    let rejected = fixture.wait_rejected_row(1).await;
    assert_eq!(rejected["key"], "routes/chat");
    assert_eq!(rejected["in_force"], version);
    let explained = fixture.read("explain/routes/chat").await.to_string();
    assert!(explained.contains("is not in force"), "{explained}");
    let refused = fixture.delete("pools/assistant", fixture.version("pools/assistant").await).await;
    assert_eq!(refused.status, StatusCode::UNPROCESSABLE_ENTITY);
    let version = fixture.version("routes/chat").await;
    let repaired =
        fixture.put_as(OPERATOR_TOKEN, "routes/chat", Some(version), &chat_route()).await;
    assert_eq!(repaired.status, StatusCode::OK);
    fixture.wait_no_rejected_row(1).await;
}

#[tokio::test]
async fn a_recreated_pool_gets_a_new_identity_and_a_rollback_is_a_new_edit() {
    let mut fixture = AdminFixture::start("recreated", 2).await;
    let path = "pools/assistant";
    let first: Value =
        fixture.put_as(OPERATOR_TOKEN, path, None, &pool("assistant", 1.5)).await.json().unwrap();
    let version = fixture.version(path).await;
    let second: Value = fixture
        .put_as(OPERATOR_TOKEN, path, Some(version), &pool("assistant", 3.0))
        .await
        .json()
        .unwrap();
    assert_eq!(first["row"]["identity"], second["row"]["identity"]);
    let target_edit = first["edit"].as_str().unwrap();
    let rollback = fixture.rollback(path, target_edit, fixture.version(path).await).await;
    assert_eq!(rollback.status, StatusCode::OK);
    assert_eq!(fixture.read(path).await["max_load_ratio"], 1.5);
    assert_eq!(fixture.delete(path, fixture.version(path).await).await.status, StatusCode::OK);
    let dry_path = "pools/assistant?dry_run=true";
    let dry_run = fixture.put_as(OPERATOR_TOKEN, dry_path, None, &pool("assistant", 1.5)).await;
    assert_eq!(dry_run.json::<Value>().unwrap()["outcome"], "valid");
    let recreated: Value =
        fixture.put_as(OPERATOR_TOKEN, path, None, &pool("assistant", 1.5)).await.json().unwrap();
    assert_ne!(first["row"]["identity"], recreated["row"]["identity"]);
    let history = fixture.read("pools/assistant/history").await;
    assert_eq!(history["entries"].as_array().unwrap().len(), 5);
    assert_eq!(history["entries"][0]["before"], Value::Null);
    assert_eq!(history["entries"][4]["edit"], first["edit"]);
    assert_eq!(history["entries"][4]["reason"], desk::REASON);
    let deleted = fixture.delete(path, fixture.version(path).await).await;
    assert_eq!(deleted.status, StatusCode::OK);
    fixture.fleet.routers[1].process = None;
    fixture.fleet.start_router(1).unwrap();
    fixture.wait_deleted(1, path).await;
}
