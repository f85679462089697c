//! The command's exit codes and what it shows, as an operator sees them.

use std::{
    fs,
    io::{Read, Write},
    net::TcpListener,
    os::unix::fs::PermissionsExt,
    path::PathBuf,
    process::{Command, Output},
    thread,
};

use base_types::test_cases;
use insta::assert_snapshot;

const SETTINGS: &str = r#"host = "router-0"
failure_domain = "domain-0"
caller_listen = "127.0.0.1:8080"
operator_listen = "127.0.0.1:8080"
platfrom = "127.0.0.1:9000"
"#;

const TABLES: &str = r#"[[pool]]
name = "assistant"
team = "renewals"
group = "assistant"
kind = "engine"
repeatable = true
max_load_ratio = 0.5

[[route]]
name = "chat"
team = "renewals"
path = "/v1/chat"
pool = "assistant"
colour = 1

[[route]]
name = "pay"
team = "x y"
path = "pay"
pool = "none"
"#;

fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_knapweedport"))
        .args(arguments)
        .env_clear()
        .current_dir(env!("CARGO_TARGET_TMPDIR"))
        .output()
        .unwrap()
}

fn write(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).unwrap();
    path
}

fn check_code(arguments: &[&str], code: i32) {
    let output = run(arguments);
    assert_eq!(output.status.code(), Some(code), "{output:?}");
    assert_eq!(output.stderr.is_empty(), code == 0, "{output:?}");
}

test_cases! {
    check_code:
    the_version(&["--version"], 0);
    help(&["--help"], 0);
    help_of_a_command(&["pool", "put", "--help"], 0);
    a_completion_script(&["completions", "bash"], 0);
    no_such_shell(&["completions", "ksh"], 7);
    no_such_command(&["frob"], 2);
    no_command(&[], 2);
    a_check_of_nothing(&["check"], 1);
    a_file_that_is_not_there(&["check", "--tables", "none.toml"], 1);
    a_router_that_cannot_be_reached(&["status", "--router", "127.0.0.1:1"], 4);
    a_router_without_settings(&["router", "--settings", "none.toml"], 1);
}

#[test]
fn the_help_names_every_command_examples_and_exit_codes() {
    assert_snapshot!(String::from_utf8(run(&["--help"]).stdout).unwrap());
}

#[test]
fn check_names_each_fault_with_file_line_key_and_remedy() {
    write("faulty-settings.toml", SETTINGS);
    write("faulty-tables.toml", TABLES);
    let arguments =
        ["check", "--settings", "faulty-settings.toml", "--tables", "faulty-tables.toml"];
    let output = run(&arguments);
    assert_eq!(output.status.code(), Some(3));
    assert_snapshot!(String::from_utf8(output.stderr).unwrap());
}

#[test]
fn rows_may_refer_to_rows_of_another_file() {
    let (pool, routes) = TABLES.split_once("\n\n").unwrap();
    let route = routes.split_once("colour").unwrap().0;
    write("pools.toml", &pool.replace("0.5", "1.5"));
    write("routes.toml", route);
    check_code(&["check", "--tables", "pools.toml", "--tables", "routes.toml"], 0);
}

#[test]
fn a_router_with_faulty_settings_binds_nothing() {
    write("faulty-router.toml", SETTINGS);
    check_code(&["router", "--settings", "faulty-router.toml"], 3);
}

#[test]
fn an_error_shows_no_place_in_the_code() {
    let output = run(&["status", "--router", "127.0.0.1:1"]);
    let text = String::from_utf8(output.stderr).unwrap();
    assert!(!text.contains(".rs") && !text.contains("backtrace"), "{text}");
}

#[test]
fn put_takes_a_file_with_one_row_of_the_table() {
    write("two-rows.toml", &TABLES.replace("colour = 1", ""));
    let put = ["put", "--router", "127.0.0.1:1", "--reason", "test", "--file", "two-rows.toml"];
    let arguments: Vec<&str> = [&["pool"][..], &put].concat();
    check_code(&arguments, 3);
}

#[test]
fn keys_are_made_once_and_readable_by_their_owner_only() {
    let folder = write("keys", "").with_file_name(format!("keys-{}", std::process::id()));
    let out = folder.display().to_string();
    check_code(&["keys", "--out", &out, "router-0"], 0);
    check_code(&["keys", "--out", &out, "router-1"], 0);
    for (name, mode) in
        [("ca-key", 0o600), ("ca", 0o644), ("router-0-key", 0o600), ("router-1", 0o644)]
    {
        let file = fs::metadata(folder.join(format!("{name}.pem"))).unwrap();
        assert_eq!(file.permissions().mode() & 0o777, mode, "{name}");
    }
    check_code(&["keys", "--out", &out, "router-1"], 1);
    let shown = run(&["keys", "--out", &out, "router-2"]);
    assert!(!String::from_utf8_lossy(&shown.stdout).contains("PRIVATE"));
    fs::remove_dir_all(folder).unwrap();
}

const TOKEN: &str = "a-token-that-is-never-shown";

/// Answers one call with fixed bytes and returns the call.
fn answer_once(answer: &'static str) -> (String, thread::JoinHandle<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let call = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut bytes = [0; 4096];
        let length = stream.read(&mut bytes).unwrap();
        stream.write_all(answer.as_bytes()).unwrap();
        String::from_utf8_lossy(&bytes[..length]).into_owned()
    });
    (address, call)
}

fn check_answer(answer: &'static str, code: i32) {
    let (address, call) = answer_once(answer);
    let token = write(&format!("token-{}", address.replace(':', "-")), TOKEN);
    let token = token.display().to_string();
    let output = run(&[
        "route",
        "delete",
        "chat",
        "--router",
        &address,
        "--token-file",
        &token,
        "--if-version",
        "9",
        "--reason",
        "test",
    ]);
    assert_eq!(output.status.code(), Some(code), "{output:?}");
    let call = call.join().unwrap();
    assert!(call.starts_with("DELETE /admin/v1/routes/chat HTTP/1.1"), "{call}");
    for header in [format!("authorization: Bearer {TOKEN}"), "if-match: \"9\"".to_owned()] {
        assert!(call.contains(&header), "{call}");
    }
    let shown = [output.stdout, output.stderr].concat();
    assert!(!String::from_utf8_lossy(&shown).contains(TOKEN));
}

test_cases! {
    check_answer:
    a_deleted_row("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}", 0);
    faults_found_by_the_router("HTTP/1.1 422 F\r\ncontent-length: 0\r\n\r\n", 3);
    a_router_without_its_platform("HTTP/1.1 503 F\r\ncontent-length: 0\r\n\r\n", 4);
    a_token_without_the_right("HTTP/1.1 403 F\r\ncontent-length: 0\r\n\r\n", 5);
    an_unknown_token("HTTP/1.1 401 F\r\ncontent-length: 0\r\n\r\n", 5);
    another_version("HTTP/1.1 412 F\r\ncontent-length: 0\r\n\r\n", 6);
    no_such_row("HTTP/1.1 404 F\r\ncontent-length: 0\r\n\r\n", 7);
    an_edit_that_nobody_answers_for("HTTP/1.1 504 F\r\ncontent-length: 0\r\n\r\n", 8);
    a_connection_closed_without_an_answer("", 8);
    an_answer_cut_short("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n{", 8);
}
