//! The command line itself: help, wrong usage, addresses and answers.

mod common;

use common::{CREDENTIAL, Dir, Fake, Reply, dead_addr, error, run, run_with, status};
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
fn wrong_command_lines_exit_2_and_say_what_is_allowed() {
    let dir = Dir::new();
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
    for (ran, part) in cases {
        assert_eq!(ran.code, 2, "{ran:?}");
        assert!(
            ran.err.contains(part) && ran.err.contains("next: "),
            "{ran:?}"
        );
        assert_eq!(ran.out, "");
    }
}

#[test]
fn a_bad_credential_file_is_refused_without_its_content() {
    let dir = Dir::new();
    dir.file("credential", "\u{e9}tude secret\n");
    let ran = dir.ctl(&[dead_addr()], &["status"]);
    assert_eq!(ran.code, 1);
    assert!(!ran.err.contains("secret"), "{ran:?}");
    std::fs::remove_file(dir.path("credential")).unwrap();
    assert_eq!(dir.ctl(&[dead_addr()], &["status"]).code, 1);
}

#[test]
fn tries_the_next_address_and_takes_addresses_from_the_environment() {
    let dir = Dir::new();
    let live = Fake::with(&[(OBJECTS, json!([]))]);
    let ran = dir.ctl(&[dead_addr(), live.addr], &["pools"]);
    assert_eq!((ran.code, live.seen().len()), (0, 1), "{ran:?}");
    assert_eq!(live.seen()[0].authorization, format!("Bearer {CREDENTIAL}"));

    let args = ["--credential-file", &dir.path("credential"), "pools"];
    let ran = run_with(&args, &[("SAVORYVANE_ADMIN", &live.addr.to_string())]);
    assert_eq!((ran.code, live.seen().len()), (0, 2), "{ran:?}");

    let ran = dir.ctl(&[dead_addr(), dead_addr()], &["pools"]);
    assert_eq!(ran.code, 4);
    assert!(ran.err.contains("nothing was changed"), "{ran:?}");
}

#[test]
fn an_instance_that_is_silent_is_given_up_after_the_timeout() {
    let dir = Dir::new();
    // Connections wait in its backlog for ever.
    let silent = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let live = Fake::with(&[(OBJECTS, json!([]))]);
    let admins = [silent.local_addr().unwrap(), live.addr];
    let ran = dir.ctl(&admins, &["--timeout-ms", "100", "pools"]);
    assert_eq!(ran.code, 0, "{ran:?}");
}

#[test]
fn a_refused_credential_exits_6_and_is_not_printed() {
    let dir = Dir::new();
    let fake = Fake::start(|_, _| error(401, "the credential is wrong", "send the right one"));
    let ran = dir.ctl(&[fake.addr], &["history"]);
    assert_eq!(ran.code, 6);
    assert!(ran.err.contains("next: send the right one"), "{ran:?}");
    assert!(!ran.err.contains(CREDENTIAL));
}

#[test]
fn answers_that_are_no_answers_exit_1() {
    let dir = Dir::new();
    for text in ["<html>", "", "{}", "[{\"name\": 5}]", "[[[[[[["] {
        let fake = Fake::start(move |_, _| Reply::Raw(text));
        let ran = dir.ctl(&[fake.addr], &["instances"]);
        assert_eq!((ran.code, ran.out.as_str()), (1, ""), "{text}");
    }
    let fake = Fake::start(|_, _| Reply::Json(500, json!("oops")));
    assert_eq!(dir.ctl(&[fake.addr], &["instances"]).code, 1);
}

#[test]
fn control_characters_of_an_answer_do_not_reach_the_terminal() {
    let dir = Dir::new();
    let fake = Fake::start(|line, _| match line {
        STATUS => Reply::Json(200, status("a\u{1b}[2Jb", 1)),
        _ => error(409, "a\u{1b}[2Jb", "c\u{7}d"),
    });
    for command in ["status", "history"] {
        let ran = dir.ctl(&[fake.addr], &[command]);
        let is_steering = |c: char| c.is_control() && c != '\n';
        assert!(!ran.out.contains(is_steering) && !ran.err.contains(is_steering));
        assert!((ran.out + &ran.err).contains("a\\u{1b}[2Jb"));
    }
}

#[test]
fn status_shows_every_instance_and_fails_when_one_is_missing() {
    let dir = Dir::new();
    let (one, two) = (
        Fake::with(&[(STATUS, status("entry-1", 1))]),
        Fake::with(&[(STATUS, status("entry-2", 2))]),
    );
    let ran = dir.ctl(&[one.addr, two.addr], &["status"]);
    assert_eq!((ran.code, ran.out.lines().count()), (0, 3), "{ran:?}");
    assert!(ran.out.contains("entry-2   hal-gouda"), "{ran:?}");

    let ran = dir.ctl(&[one.addr, dead_addr()], &["--json", "status"]);
    assert_eq!(
        (ran.code, &ran.json()[0]["instance"]),
        (4, &json!("entry-1"))
    );
    let err: serde_json::Value = serde_json::from_str(&ran.err).unwrap();
    assert_eq!(err["exit_code"], 4);
}

#[test]
fn lists_show_their_kind_of_object() {
    let dir = Dir::new();
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
    let fake = Fake::with(&[(OBJECTS, objects)]);
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
        let ran = dir.ctl(&[fake.addr], &[command]);
        assert_eq!(ran.out.lines().nth(1), Some(row), "{ran:?}");
        let ran = dir.ctl(&[fake.addr], &["--json", command]);
        assert_eq!(ran.json().as_array().unwrap().len(), 1);
    }
}

#[test]
fn drain_finds_the_instance_that_is_meant() {
    let dir = Dir::new();
    let other = Fake::start(|_, _| error(409, "this is entry-1", "ask the one that is meant"));
    let meant = Fake::start(|_, _| Reply::Json(202, json!({})));
    let ran = dir.ctl(&[other.addr, meant.addr], &["drain", "entry-2"]);
    assert_eq!(ran.code, 0, "{ran:?}");
    assert_eq!(meant.seen()[0].body, json!({"instance": "entry-2"}));

    let lossy = Fake::start(|_, _| Reply::Cut);
    let ran = dir.ctl(&[lossy.addr, other.addr], &["drain", "entry-2"]);
    assert_eq!(ran.code, 7, "{ran:?}");

    let ran = dir.ctl(&[other.addr], &["drain", "entry-2"]);
    assert_eq!(ran.code, 5);
    assert!(ran.err.contains("own operator address"), "{ran:?}");
}
