//! The command line: help, invalid usage, addresses and responses.

mod common;

use std::{
    io::{Read, Write},
    time::{Duration, Instant},
};

use common::{
    CREDENTIAL, FakeInstance, Reply, TestDir, error, run, run_with_env, status, unused_addr,
};
use serde_json::json;

const STATUS: &str = "GET /admin/v1/status";
const OBJECTS: &str = "GET /admin/v1/objects";

#[test]
fn help_and_version() {
    let help = run(&["--help"]);
    assert_eq!(help.code, 0);
    for word in [
        "plan",
        "confirm",
        "costs",
        "drain",
        "Exit codes",
        "SAVORYVANE_ADMIN",
    ] {
        assert!(help.out.contains(word), "{word}");
    }
    assert_eq!(run(&[]).out, help.out);
    let version = run(&["--version"]);
    let expected = concat!("savoryvanectl ", env!("CARGO_PKG_VERSION"), "\n");
    assert_eq!((version.code, version.out.as_str()), (0, expected));
}

#[test]
fn invalid_command_lines_exit_2_and_name_the_allowed_values() {
    let dir = TestDir::new();
    let credential = dir.path("credential");
    let with = |args: &[&str]| {
        let mut all = vec!["--admin", "127.0.0.1:1", "--credential-file", &credential];
        all.extend(args);
        run(&all)
    };
    let cases = [
        (run(&["frobnicate"]), "frobnicate"),
        (run(&["status"]), "--admin ADDR"),
        (
            run(&["--admin", "127.0.0.1:1", "status"]),
            "--credential-file FILE",
        ),
        (
            run(&[
                "--admin",
                "localhost",
                "--credential-file",
                &credential,
                "status",
            ]),
            "IP address",
        ),
        (
            with(&["costs", "--by", "zone"]),
            "stage, pipeline, workspace",
        ),
        (with(&["drain", "Entry 1"]), "lower-case letters"),
        (with(&["plan"]), "--file"),
        (
            with(&["plan", "-f", "x", "--operator", "A"]),
            "lower-case letters",
        ),
        (with(&["--timeout-ms", "0", "status"]), "1 to 3600000"),
        (with(&["--timeout-ms", "soon", "status"]), "--timeout-ms"),
    ];
    for (result, part) in cases {
        assert_eq!(result.code, 2, "{result:?}");
        assert!(
            result.err.contains(part) && result.err.contains("next: "),
            "{result:?}"
        );
        assert_eq!(result.out, "");
    }
}

#[test]
fn a_bad_credential_file_is_refused_without_its_content() {
    let dir = TestDir::new();
    dir.file("credential", "\u{e9}tude secret\n");
    let result = dir.ctl(&[unused_addr()], &["status"]);
    assert_eq!(result.code, 1);
    assert!(!result.err.contains("secret"), "{result:?}");
    std::fs::remove_file(dir.path("credential")).unwrap();
    assert_eq!(dir.ctl(&[unused_addr()], &["status"]).code, 1);
}

#[test]
fn tries_the_next_address_and_takes_addresses_from_the_environment() {
    let dir = TestDir::new();
    let live = FakeInstance::with(&[(OBJECTS, json!([]))]);
    let result = dir.ctl(&[unused_addr(), live.addr], &["pools"]);
    assert_eq!((result.code, live.received().len()), (0, 1), "{result:?}");
    assert_eq!(
        live.received()[0].authorization,
        format!("Bearer {CREDENTIAL}")
    );

    let args = ["--credential-file", &dir.path("credential"), "pools"];
    let result = run_with_env(&args, &[("SAVORYVANE_ADMIN", &live.addr.to_string())]);
    assert_eq!((result.code, live.received().len()), (0, 2), "{result:?}");

    let result = dir.ctl(&[unused_addr(), unused_addr()], &["pools"]);
    assert_eq!(result.code, 4);
    assert!(result.err.contains("nothing was changed"), "{result:?}");
}

#[test]
fn an_unresponsive_instance_times_out() {
    let dir = TestDir::new();
    // The listener never accepts, so connections stay in its backlog.
    let unresponsive = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let live = FakeInstance::with(&[(OBJECTS, json!([]))]);
    let admins = [unresponsive.local_addr().unwrap(), live.addr];
    let began = Instant::now();
    // The live instance has this time too, on a busy machine.
    let result = dir.ctl(&admins, &["--timeout-ms", "2000", "pools"]);
    assert_eq!(result.code, 0, "{result:?}");
    let elapsed = began.elapsed();
    let waits = Duration::from_millis(2_000)..Duration::from_millis(8_000);
    assert!(
        waits.contains(&elapsed),
        "waits for the timeout only: {elapsed:?}"
    );
}

#[test]
fn a_response_that_stops_anywhere_in_its_head_is_no_answer() {
    let dir = TestDir::new();
    let head = "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: 2\r\n\r\n";
    for length in (0..head.len())
        .step_by(7)
        .chain([head.len() - 1, head.len()])
    {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let stopping = std::thread::spawn(move || {
            let (mut stream, _) = listener.accept().unwrap();
            let read = stream.read(&mut [0; 4_096]).unwrap();
            stream.write_all(&head.as_bytes()[..length]).unwrap();
            read
        });
        let result = dir.ctl(&[addr], &["pools"]);
        assert!(stopping.join().unwrap() > 0);
        assert_ne!(result.code, 0, "{length} bytes: {result:?}");
    }
}

#[test]
fn a_refused_credential_exits_6_and_is_not_printed() {
    let dir = TestDir::new();
    let fake =
        FakeInstance::start(|_, _| error(401, "the credential is wrong", "send the right one"));
    let result = dir.ctl(&[fake.addr], &["history"]);
    assert_eq!(result.code, 6);
    assert!(
        result.err.contains("next: send the right one"),
        "{result:?}"
    );
    assert!(!result.err.contains(CREDENTIAL));
}

#[test]
fn answers_that_are_no_answers_exit_1() {
    let dir = TestDir::new();
    for text in ["<html>", "", "{}", "[{\"name\": 5}]", "[[[[[[["] {
        let fake = FakeInstance::start(move |_, _| Reply::Raw(text));
        let result = dir.ctl(&[fake.addr], &["instances"]);
        assert_eq!((result.code, result.out.as_str()), (1, ""), "{text}");
    }
    let fake = FakeInstance::start(|_, _| Reply::Json(500, json!("oops")));
    assert_eq!(dir.ctl(&[fake.addr], &["instances"]).code, 1);
}

#[test]
fn control_characters_of_an_answer_do_not_reach_the_terminal() {
    let dir = TestDir::new();
    let fake = FakeInstance::start(|line, _| match line {
        STATUS => Reply::Json(200, status("a\u{1b}[2Jb", 1)),
        _ => error(409, "a\u{1b}[2Jb", "c\u{7}d"),
    });
    for command in ["status", "history"] {
        let result = dir.ctl(&[fake.addr], &[command]);
        let is_unescaped_control = |c: char| c.is_control() && c != '\n';
        assert!(
            !result.out.contains(is_unescaped_control)
                && !result.err.contains(is_unescaped_control)
        );
        assert!((result.out + &result.err).contains("a\\u{1b}[2Jb"));
    }
}

#[test]
fn status_shows_every_instance_and_fails_when_one_is_missing() {
    let dir = TestDir::new();
    let (one, two) = (
        FakeInstance::with(&[(STATUS, status("entry-1", 1))]),
        FakeInstance::with(&[(STATUS, status("entry-2", 2))]),
    );
    let result = dir.ctl(&[one.addr, two.addr], &["status"]);
    assert_eq!(
        (result.code, result.out.lines().count()),
        (0, 3),
        "{result:?}"
    );
    assert!(result.out.contains("entry-2   hal-gouda"), "{result:?}");

    let result = dir.ctl(&[one.addr, unused_addr()], &["--json", "status"]);
    assert_eq!(
        (result.code, &result.json()[0]["instance"]),
        (4, &json!("entry-1"))
    );
    let err: serde_json::Value = serde_json::from_str(&result.err).unwrap();
    assert_eq!(err["exit_code"], 4);
}

#[test]
fn lists_show_their_kind_of_object() {
    let dir = TestDir::new();
    let objects = json!([
        {"pool": {"name": "engine", "kind": "generate", "price_micros_per_s": 500}},
        {"backend": {"name": "e1", "pool": "engine", "zone": "hal-gouda",
                     "addr": "127.0.0.1:9", "slots": 4}},
        {"model": {"name": "chat", "pool": "engine", "size_mb": 7, "min_replicas": 1}},
        {"pipeline": {"name": "quote", "deadline_ms": 900,
                      "stages": [{"name": "write", "pool": "engine", "idempotent": false}]}},
        {"workspace": {"name": "vakwerk", "credential_sha256": "00", "pipelines": ["quote"],
                       "weight": 3, "quota_per_s": 5, "objective": "cost"}},
    ]);
    let fake = FakeInstance::with(&[(OBJECTS, objects)]);
    let cases = [
        (
            "pools",
            "engine  generate             500  ignored                1",
        ),
        ("models", "chat   engine        7             1"),
        (
            "pipelines",
            "quote             900  no          write@engine",
        ),
        (
            "workspaces",
            "vakwerk         3         5  cost                        950  quote",
        ),
    ];
    for (command, row) in cases {
        let result = dir.ctl(&[fake.addr], &[command]);
        assert_eq!(result.out.lines().nth(1), Some(row), "{result:?}");
        let result = dir.ctl(&[fake.addr], &["--json", command]);
        assert_eq!(result.json().as_array().unwrap().len(), 1);
    }
}

#[test]
fn drain_finds_the_named_instance() {
    let dir = TestDir::new();
    let other =
        FakeInstance::start(|_, _| error(409, "this is entry-1", "ask the one that is meant"));
    let meant = FakeInstance::start(|_, _| Reply::Json(202, json!({})));
    let result = dir.ctl(&[other.addr, meant.addr], &["drain", "entry-2"]);
    assert_eq!(result.code, 0, "{result:?}");
    assert_eq!(meant.received()[0].body, json!({"instance": "entry-2"}));

    let lossy = FakeInstance::start(|_, _| Reply::Disconnect);
    let result = dir.ctl(&[lossy.addr, other.addr], &["drain", "entry-2"]);
    assert_eq!(result.code, 7, "{result:?}");

    let result = dir.ctl(&[other.addr], &["drain", "entry-2"]);
    assert_eq!(result.code, 5);
    assert!(result.err.contains("own operator address"), "{result:?}");
}
