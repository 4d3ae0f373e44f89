//! Command line and settings of the binary.

#[path = "common/process.rs"]
#[allow(dead_code, reason = "each test file uses a part of it")]
mod process;

use std::process::Output;

use process::{check, run, settings_file};

const EXAMPLE: &str = include_str!("../examples/entry.yaml");

fn exit_code(output: &Output) -> i32 {
    output.status.code().unwrap()
}

fn stderr(output: &Output) -> String {
    String::from_utf8(output.stderr.clone()).unwrap()
}

fn stdout(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).unwrap()
}

#[test]
fn help_and_version_are_printed() {
    let help = run(&["--help"]);
    assert_eq!(exit_code(&help), 0);
    assert!(stdout(&help).contains("--config"));

    let version = run(&["--version"]);
    assert_eq!(exit_code(&version), 0);
    let expected = concat!("savoryvane ", env!("CARGO_PKG_VERSION"), "\n");
    assert_eq!(stdout(&version), expected);
}

#[test]
fn invalid_command_line_is_refused() {
    for args in [
        &["--nonsense"][..],
        &[],
        &["--config"],
        &["more"],
        &["--check"],
    ] {
        let output = run(args);
        assert_eq!(exit_code(&output), 2, "{args:?}");
        assert!(stderr(&output).contains("--help"), "{args:?}");
    }
}

#[test]
fn example_settings_are_valid() {
    let output = check(EXAMPLE);
    assert_eq!(exit_code(&output), 0, "{}", stderr(&output));
}

#[test]
fn all_invalid_settings_are_reported_with_file_field_found_and_allowed() {
    let text = EXAMPLE
        .replace("zone: hal-utrecht", "zone: Hal Utrecht")
        .replace("caller: 127.0.0.1:8080", "caller: localhost:8080")
        .replace("form: json", "form: xml")
        .replace("body_bytes: 1048576", "body_bytes: -1")
        .replace("  grace_ms: 2000", "  grace_s: 2")
        .replace("region: nl-midden\n", "");
    let path = settings_file(&text);
    let file = path.to_str().unwrap();

    let output = run(&["--config", file]);

    assert_eq!(exit_code(&output), 3);
    assert!(stdout(&output).is_empty(), "nothing listens");
    let errors = stderr(&output);
    for (field, found) in [
        ("zone", "\"Hal Utrecht\""),
        ("region", "nothing"),
        ("listen.caller", "\"localhost:8080\""),
        ("log.form", "\"xml\""),
        ("limits.body_bytes", "-1"),
        ("drain.grace_s", "an unknown field"),
    ] {
        let start = format!("{file}: {field}: found {found}, allowed is ");
        assert!(errors.contains(&start), "{start}\n{errors}");
    }
    assert_eq!(errors.lines().count(), 6, "{errors}");
}

#[test]
fn hostile_files_get_a_short_error() {
    let nested = "a: ".to_owned() + &"[".repeat(16_000);
    let aliases = "a: &a [x,x,x,x,x,x,x,x,x]\nb: &b [*a,*a,*a,*a,*a,*a,*a,*a,*a]\n\
        c: &c [*b,*b,*b,*b,*b,*b,*b,*b,*b]\nd: &d [*c,*c,*c,*c,*c,*c,*c,*c,*c]\n\
        e: &e [*d,*d,*d,*d,*d,*d,*d,*d,*d]\nf: &f [*e,*e,*e,*e,*e,*e,*e,*e,*e]\n\
        g: &g [*f,*f,*f,*f,*f,*f,*f,*f,*f]\n";
    let long_name = "x".repeat(16_000) + ": 1";
    let too_large = "[".repeat(16 * 1024 + 1);
    let texts = [
        "",
        "[]",
        "\u{0}",
        "instance: [1",
        &nested,
        aliases,
        &long_name,
        &too_large,
    ];
    for text in texts {
        let output = check(text);
        let start: String = text.chars().take(20).collect();
        assert_eq!(exit_code(&output), 3, "{start:?}");
        assert!(stderr(&output).len() < 8_192, "{start:?}");
    }
}

#[test]
fn missing_file_is_named() {
    let output = run(&["--config", "/nowhere/entry.yaml"]);
    assert_eq!(exit_code(&output), 3);
    assert!(stderr(&output).contains("/nowhere/entry.yaml: can't be read"));
}

#[test]
fn credential_is_inline_or_in_a_file_but_not_both() {
    let line = EXAMPLE
        .lines()
        .find(|line| line.trim_start().starts_with("credential_sha256:"))
        .unwrap();
    let digest = line.split(": ").nth(1).unwrap();
    let file = settings_file(&format!("{digest}\n"));
    let file_line = format!("  credential_sha256_file: {}", file.display());

    assert_eq!(exit_code(&check(&EXAMPLE.replace(line, &file_line))), 0);
    let both = EXAMPLE.replace(line, &format!("{line}\n{file_line}"));
    assert_eq!(exit_code(&check(&both)), 3);
    let missing_file_line = "  credential_sha256_file: /nowhere/credential";
    let output = check(&EXAMPLE.replace(line, missing_file_line));
    assert_eq!(exit_code(&output), 3);
    assert!(stderr(&output).contains("admin.credential_sha256_file"));
}

#[test]
fn taken_address_is_named() {
    let taken = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = taken.local_addr().unwrap().to_string();
    let text = EXAMPLE.replace("127.0.0.1:8080", &addr);
    let path = settings_file(&text);

    let output = run(&["--config", path.to_str().unwrap()]);

    assert_eq!(exit_code(&output), 1);
    assert!(stderr(&output).contains(&addr), "{}", stderr(&output));
}

#[test]
fn all_invalid_quarantine_settings_are_reported_together() {
    let text = EXAMPLE
        .replace("quarantine_ms: 600000", "quarantine_ms: 5")
        .replace("max_requests: 4096", "max_requests: 0")
        .replace("told_at_once: 64", "told_at_once: many");
    let output = check(&text);
    assert_eq!(exit_code(&output), 3);
    for field in ["quarantine_ms", "max_requests", "told_at_once"] {
        let field = format!("quarantine.{field}: found");
        assert!(stderr(&output).contains(&field), "{}", stderr(&output));
    }
}
