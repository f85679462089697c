//! The administration API on real processes: access, edits, races, lost answers, history.

#[path = "admin/desk.rs"]
mod desk;

use std::{fs, time::Duration};

use desk::{OperatorDesk, chat_route, pool};
use fakes::FaultOrder;
use http::StatusCode;
use local_fleet::{OPERATOR_TOKEN, PAYMENTS_TOKEN, READER_TOKEN, RENEWALS_TOKEN};
use serde_json::{Value, json};

const LOST_WRITES: [u32; 3] = [3, 4, 6];

#[tokio::test]
async fn operators_are_known_by_token_and_bound_by_rights_and_team() {
    let desk = OperatorDesk::open("access", 2).await;
    let path = "pools/assistant";
    let body = pool("assistant", 1.5);
    let no_token = [("authorization", "")];
    assert_eq!(desk.call("GET", path, &no_token, None).await.status, StatusCode::UNAUTHORIZED);
    let wrong = [("authorization", "Bearer wrong")];
    assert_eq!(desk.call("GET", path, &wrong, None).await.status, StatusCode::UNAUTHORIZED);
    let put = |token| desk.put_as(token, path, None, &body);
    assert_eq!(put(READER_TOKEN).await.status, StatusCode::FORBIDDEN);
    assert_eq!(put(PAYMENTS_TOKEN).await.status, StatusCode::FORBIDDEN);
    assert_eq!(put(RENEWALS_TOKEN).await.status, StatusCode::OK);
    let version = desk.version(path).await;
    let taken = json!({ "name": "assistant", "team": "payments", "group": "assistant",
        "kind": "engine", "repeatable": true });
    let take = desk.put_as(PAYMENTS_TOKEN, path, Some(version), &taken).await;
    assert_eq!(take.status, StatusCode::FORBIDDEN);
    let give = desk.put_as(RENEWALS_TOKEN, path, Some(version), &taken).await;
    assert_eq!(give.status, StatusCode::FORBIDDEN);
    for entry in fs::read_dir(&desk.workdir).unwrap().flatten() {
        let text = String::from_utf8_lossy(&fs::read(entry.path()).unwrap()).into_owned();
        for token in [OPERATOR_TOKEN, PAYMENTS_TOKEN, READER_TOKEN, RENEWALS_TOKEN, "wrong"] {
            assert!(!text.contains(token), "{} shows a token", entry.path().display());
        }
    }
}

#[tokio::test]
async fn one_of_several_racing_edits_is_accepted_and_the_others_see_it() {
    let desk = OperatorDesk::open("race", 2).await;
    desk.put_as(OPERATOR_TOKEN, "pools/assistant", None, &pool("assistant", 1.5)).await;
    let version = desk.version("pools/assistant").await;
    let ratios = [2.0, 3.0, 4.0, 5.0, 6.0, 7.0];
    let bodies = ratios.map(|ratio| pool("assistant", ratio));
    let edits = bodies
        .iter()
        .map(|body| desk.put_as(OPERATOR_TOKEN, "pools/assistant", Some(version), body));
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
async fn two_edits_that_are_valid_alone_do_not_both_land() {
    let desk = OperatorDesk::open("pair", 2).await;
    for round in 0..5 {
        let name = format!("pool-{round}");
        let path = format!("pools/{name}");
        let route = json!({ "name": name, "team": "renewals", "path": format!("/{round}"),
            "pool": name });
        desk.put_as(OPERATOR_TOKEN, &path, None, &pool(&name, 1.5)).await;
        let version = desk.version(&path).await;
        let route_path = format!("routes/{name}");
        let (deleted, created) = tokio::join!(
            desk.delete(&path, version),
            desk.put_as(OPERATOR_TOKEN, &route_path, None, &route),
        );
        let landed = [deleted.status, created.status];
        let accepted = landed.iter().filter(|status| **status == StatusCode::OK).count();
        assert_eq!(accepted, 1, "{landed:?}");
        assert!(landed.contains(&StatusCode::UNPROCESSABLE_ENTITY), "{landed:?}");
    }
}

#[tokio::test]
async fn an_edit_whose_first_answer_is_lost_is_read_back() {
    let desk = OperatorDesk::open("lost-one", 2).await;
    desk.faults(&FaultOrder { lose_answers: 1, ..FaultOrder::default() }).await;
    let put = desk.put_as(OPERATOR_TOKEN, "pools/assistant", None, &pool("assistant", 1.5)).await;
    assert_eq!(put.status, StatusCode::OK);
    assert_eq!(desk.audit().await.len(), 1);
}

#[tokio::test]
async fn an_edit_of_which_no_answer_comes_is_unknown_and_found_accepted() {
    let desk = OperatorDesk::open("lost-all", 2).await;
    desk.put_as(OPERATOR_TOKEN, "pools/assistant", None, &pool("assistant", 1.5)).await;
    let version = desk.version("pools/assistant").await;
    // No router hears of any write, so that neither can confirm the edit for the other.
    desk.faults(&FaultOrder { lose_answers: u32::MAX, ..FaultOrder::default() }).await;
    let body = pool("assistant", 2.5);
    let put = desk.put_as(OPERATOR_TOKEN, "pools/assistant", Some(version), &body).await;
    assert_eq!(put.status, StatusCode::GATEWAY_TIMEOUT);
    let unknown: Value = put.json().unwrap();
    assert_eq!(unknown["outcome"], "unknown");
    desk.faults(&FaultOrder::default()).await;
    check_accepted(&desk, &unknown["edit"], 2.5, 2).await;
}

/// Both routers try to end the edit and share the lost answers in an order that is not fixed, so
/// the outcome may be either of two; each of them must be true.
#[tokio::test]
async fn an_edit_whose_answers_are_lost_for_a_while_is_never_said_not_to_be_accepted() {
    let desk = OperatorDesk::open("lost-some", 2).await;
    desk.put_as(OPERATOR_TOKEN, "pools/assistant", None, &pool("assistant", 1.5)).await;
    for (edits, lose_answers) in (2..).zip(LOST_WRITES) {
        let version = desk.version("pools/assistant").await;
        desk.faults(&FaultOrder { lose_answers, ..FaultOrder::default() }).await;
        let max_load_ratio = 1.5 + f64::from(lose_answers);
        let body = pool("assistant", max_load_ratio);
        let put = desk.put_as(OPERATOR_TOKEN, "pools/assistant", Some(version), &body).await;
        desk.faults(&FaultOrder::default()).await;
        let told: Value = put.json().unwrap();
        match put.status {
            StatusCode::OK => assert_eq!(told["outcome"], "accepted"),
            StatusCode::GATEWAY_TIMEOUT => assert_eq!(told["outcome"], "unknown"),
            _ => panic!("the edit took effect and was answered by {put:?}"),
        }
        check_accepted(&desk, &told["edit"], max_load_ratio, edits).await;
    }
}

/// Checks that an edit is found accepted, is in its row, and stands once in the audit trail.
async fn check_accepted(desk: &OperatorDesk, edit: &Value, max_load_ratio: f64, edits: usize) {
    let found: Value = desk.read(&format!("edits/{}", edit.as_str().unwrap())).await;
    assert_eq!(found["outcome"], "accepted");
    assert_eq!(desk.read("pools/assistant").await["max_load_ratio"], max_load_ratio);
    let audit = desk.audit().await;
    assert_eq!(audit.len(), edits);
    assert_eq!(audit[0]["edit"], *edit);
    assert_eq!(audit[0]["end"]["outcome"], "accepted");
}

#[tokio::test]
async fn an_edit_during_an_outage_is_not_accepted_and_says_so() {
    let desk = OperatorDesk::open("outage", 2).await;
    desk.faults(&FaultOrder { refuse: true, ..FaultOrder::default() }).await;
    let put = desk.put_as(OPERATOR_TOKEN, "pools/assistant", None, &pool("assistant", 1.5)).await;
    assert_eq!(put.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(put.header("retry-after"), "1");
    assert_eq!(put.json::<Value>().unwrap()["outcome"], "not-accepted");
    desk.faults(&FaultOrder::default()).await;
    assert!(desk.audit().await.is_empty());
}

#[tokio::test]
async fn an_abandoned_edit_is_ended_by_another_router() {
    let mut desk = OperatorDesk::open("abandoned", 2).await;
    desk.faults(&FaultOrder { lose_answers: 1, ..FaultOrder::default() }).await;
    let body = pool("assistant", 1.5);
    let put = desk.put_as(OPERATOR_TOKEN, "pools/assistant", None, &body);
    // The guard's first write has landed and its answer is lost; the router is killed meanwhile.
    let _ = tokio::time::timeout(Duration::from_millis(500), put).await;
    desk.fleet.routers[0].process = None;
    let entry = desk.wait_audit(1, 1).await;
    assert_eq!(entry["end"]["outcome"], "accepted");
    desk.wait_row(1, "pools/assistant").await;
}

#[tokio::test]
async fn a_row_written_past_the_api_is_reported_and_the_last_valid_one_stays() {
    let desk = OperatorDesk::open("past", 2).await;
    desk.put_as(OPERATOR_TOKEN, "pools/assistant", None, &pool("assistant", 1.5)).await;
    desk.put_as(OPERATOR_TOKEN, "routes/chat", None, &chat_route()).await;
    let version = desk.version("routes/chat").await;
    desk.write_past("routes/chat", &json!({ "name": "chat", "path": 7 })).await;
    let held = desk.wait_held(1).await;
    assert_eq!(held["key"], "routes/chat");
    assert_eq!(held["in_force"], version);
    let explained = desk.read("explain/routes/chat").await.to_string();
    assert!(explained.contains("is not in force"), "{explained}");
    let refused = desk.delete("pools/assistant", desk.version("pools/assistant").await).await;
    assert_eq!(refused.status, StatusCode::UNPROCESSABLE_ENTITY);
    let version = desk.version("routes/chat").await;
    let mended = desk.put_as(OPERATOR_TOKEN, "routes/chat", Some(version), &chat_route()).await;
    assert_eq!(mended.status, StatusCode::OK);
    desk.wait_none_held(1).await;
}

#[tokio::test]
async fn a_pool_created_anew_inherits_nothing_and_a_rollback_is_a_new_edit() {
    let mut desk = OperatorDesk::open("anew", 2).await;
    let path = "pools/assistant";
    let first: Value =
        desk.put_as(OPERATOR_TOKEN, path, None, &pool("assistant", 1.5)).await.json().unwrap();
    let version = desk.version(path).await;
    let second: Value = desk
        .put_as(OPERATOR_TOKEN, path, Some(version), &pool("assistant", 3.0))
        .await
        .json()
        .unwrap();
    assert_eq!(first["row"]["identity"], second["row"]["identity"]);
    let to = first["edit"].as_str().unwrap();
    let back = desk.rollback(path, to, desk.version(path).await).await;
    assert_eq!(back.status, StatusCode::OK);
    assert_eq!(desk.read(path).await["max_load_ratio"], 1.5);
    assert_eq!(desk.delete(path, desk.version(path).await).await.status, StatusCode::OK);
    let dry_path = "pools/assistant?dry_run=true";
    let dry = desk.put_as(OPERATOR_TOKEN, dry_path, None, &pool("assistant", 1.5)).await;
    assert_eq!(dry.json::<Value>().unwrap()["outcome"], "valid");
    let anew: Value =
        desk.put_as(OPERATOR_TOKEN, path, None, &pool("assistant", 1.5)).await.json().unwrap();
    assert_ne!(first["row"]["identity"], anew["row"]["identity"]);
    let history = desk.read("pools/assistant/history").await;
    assert_eq!(history["entries"].as_array().unwrap().len(), 5);
    assert_eq!(history["entries"][0]["before"], Value::Null);
    assert_eq!(history["entries"][4]["edit"], first["edit"]);
    assert_eq!(history["entries"][4]["reason"], desk::REASON);
    let gone = desk.delete(path, desk.version(path).await).await;
    assert_eq!(gone.status, StatusCode::OK);
    desk.fleet.routers[1].process = None;
    desk.fleet.start_router(1).unwrap();
    desk.wait_deleted(1, path).await;
}
