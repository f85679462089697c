//! Exit codes and output of the command, as an operator sees them.

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

fn run_command(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_knapweedport"))
        .args(arguments)
        .env_clear()
        .current_dir(env!("CARGO_TARGET_TMPDIR"))
        .output()
        .unwrap()
}

fn write_file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).unwrap();
    path
}

fn check_exit_code(arguments: &[&str], code: i32) {
    let output = run_command(arguments);
    assert_eq!(output.status.code(), Some(code), "{output:?}");
    assert_eq!(output.stderr.is_empty(), code == 0, "{output:?}");
}

test_cases! {
    check_exit_code:
    the_version(&["--version"], 0);
    help(&["--help"], 0);
    help_of_a_command(&["pool", "put", "--help"], 0);
    a_completion_script(&["completions", "bash"], 0);
    an_unknown_shell(&["completions", "ksh"], 7);
    an_unknown_command(&["frob"], 2);
    no_command(&[], 2);
    a_check_without_files(&["check"], 1);
    a_missing_file(&["check", "--tables", "none.toml"], 1);
    an_unreachable_router(&["status", "--router", "127.0.0.1:1"], 4);
    a_router_without_settings(&["router", "--settings", "none.toml"], 1);
}

#[test]
fn the_help_names_every_command_examples_and_exit_codes() {
    assert_snapshot!(String::from_utf8(run_command(&["--help"]).stdout).unwrap());
}

#[test]
fn check_names_each_fault_with_file_line_key_and_remedy() {
    write_file("faulty-settings.toml", SETTINGS);
    write_file("faulty-tables.toml", TABLES);
    let arguments =
        ["check", "--settings", "faulty-settings.toml", "--tables", "faulty-tables.toml"];
    let output = run_command(&arguments);
    assert_eq!(output.status.code(), Some(3));
    assert_snapshot!(String::from_utf8(output.stderr).unwrap());
}

#[test]
fn rows_may_refer_to_rows_of_another_file() {
    let (pool, routes) = TABLES.split_once("\n\n").unwrap();
    let route = routes.split_once("colour").unwrap().0;
    write_file("pools.toml", &pool.replace("0.5", "1.5"));
    write_file("routes.toml", route);
    check_exit_code(&["check", "--tables", "pools.toml", "--tables", "routes.toml"], 0);
}

#[test]
fn a_router_with_faulty_settings_does_not_start() {
    write_file("faulty-router.toml", SETTINGS);
    check_exit_code(&["router", "--settings", "faulty-router.toml"], 3);
}

#[test]
fn an_error_shows_no_source_location() {
    let output = run_command(&["status", "--router", "127.0.0.1:1"]);
    let text = String::from_utf8(output.stderr).unwrap();
    assert!(!text.contains(".rs") && !text.contains("backtrace"), "{text}");
}

#[test]
fn put_rejects_a_file_with_several_rows() {
    write_file("two-rows.toml", &TABLES.replace("colour = 1", ""));
    let put = ["put", "--router", "127.0.0.1:1", "--reason", "test", "--file", "two-rows.toml"];
    let arguments: Vec<&str> = [&["pool"][..], &put].concat();
    check_exit_code(&arguments, 3);
}

#[test]
fn keys_are_created_once_with_owner_only_permissions() {
    let folder = write_file("keys", "").with_file_name(format!("keys-{}", std::process::id()));
    let out = folder.display().to_string();
    check_exit_code(&["keys", "--out", &out, "router-0"], 0);
    check_exit_code(&["keys", "--out", &out, "router-1"], 0);
    for (name, mode) in
        [("ca-key", 0o600), ("ca", 0o644), ("router-0-key", 0o600), ("router-1", 0o644)]
    {
        let file = fs::metadata(folder.join(format!("{name}.pem"))).unwrap();
        assert_eq!(file.permissions().mode() & 0o777, mode, "{name}");
    }
    check_exit_code(&["keys", "--out", &out, "router-1"], 1);
    let shown = run_command(&["keys", "--out", &out, "router-2"]);
    assert!(!String::from_utf8_lossy(&shown.stdout).contains("PRIVATE"));
    fs::remove_dir_all(folder).unwrap();
}

const TOKEN: &str = "a-token-that-is-never-shown";

/// Serves one connection with a fixed response and returns the request it received.
fn serve_one_response(response: &'static str) -> (String, thread::JoinHandle<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let request = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut bytes = [0; 4096];
        let length = stream.read(&mut bytes).unwrap();
        stream.write_all(response.as_bytes()).unwrap();
        String::from_utf8_lossy(&bytes[..length]).into_owned()
    });
    (address, request)
}

fn check_response(response: &'static str, code: i32) {
    let (address, request) = serve_one_response(response);
    let token = write_file(&format!("token-{}", address.replace(':', "-")), TOKEN);
    let token = token.display().to_string();
    let output = run_command(&[
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
    let request = request.join().unwrap();
    assert!(request.starts_with("DELETE /admin/v1/routes/chat HTTP/1.1"), "{request}");
    for header in [format!("authorization: Bearer {TOKEN}"), "if-match: \"9\"".to_owned()] {
        assert!(request.contains(&header), "{request}");
    }
    let shown = [output.stdout, output.stderr].concat();
    assert!(!String::from_utf8_lossy(&shown).contains(TOKEN));
}

test_cases! {
    check_response:
    a_deleted_row("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}", 0);
    faults_found_by_the_router("HTTP/1.1 422 F\r\ncontent-length: 0\r\n\r\n", 3);
    a_router_without_its_platform("HTTP/1.1 503 F\r\ncontent-length: 0\r\n\r\n", 4);
    a_token_without_the_right("HTTP/1.1 403 F\r\ncontent-length: 0\r\n\r\n", 5);
    an_unknown_token("HTTP/1.1 401 F\r\ncontent-length: 0\r\n\r\n", 5);
    another_version("HTTP/1.1 412 F\r\ncontent-length: 0\r\n\r\n", 6);
    no_such_row("HTTP/1.1 404 F\r\ncontent-length: 0\r\n\r\n", 7);
    an_edit_with_an_unknown_outcome("HTTP/1.1 504 F\r\ncontent-length: 0\r\n\r\n", 8);
    a_connection_closed_without_an_answer("", 8);
    an_answer_cut_short("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n{", 8);
}
