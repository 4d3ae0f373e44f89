//! Runs `savoryvanectl account` on log lines: each request is counted once.

mod common;

use std::{env, fs, process::Output};

use common::run_with_input;

/// Log lines of requests with different outcomes, unordered and mixed with other text.
const LOGS: &str = r#"not a line of a log
12.5 a {"msg":"server chosen","ts":"2026-01-01T00:00:01.1Z","instance":"a","request":"in-time","elapsed_ms":100}
12.5 a {"msg":"stream ended","ts":"2026-01-01T00:00:02Z","instance":"a","request":"in-time","end":"Whole","goal_ms":500,"gap_goal_ms":800,"first_event_ms":300,"longest_gap_ms":20,"elapsed_ms":1000}
{"msg":"server chosen","ts":"2026-01-01T00:00:01.7Z","instance":"a","request":"queue","elapsed_ms":700}
{"msg":"stream ended","ts":"2026-01-01T00:00:02Z","instance":"a","request":"queue","end":"Whole","goal_ms":500,"gap_goal_ms":800,"first_event_ms":900,"longest_gap_ms":20,"elapsed_ms":1000}
{"msg":"server chosen","ts":"2026-01-01T00:00:01.1Z","instance":"a","request":"server","elapsed_ms":100}
{"msg":"stream ended","ts":"2026-01-01T00:00:02Z","instance":"a","request":"server","end":"Whole","goal_ms":500,"gap_goal_ms":800,"first_event_ms":900,"longest_gap_ms":20,"elapsed_ms":1000}
{"msg":"server chosen","ts":"2026-01-01T00:00:01.1Z","instance":"a","request":"paused","elapsed_ms":100}
{"msg":"stream ended","ts":"2026-01-01T00:00:03Z","instance":"a","request":"paused","end":"Whole","goal_ms":500,"gap_goal_ms":800,"first_event_ms":300,"longest_gap_ms":900,"elapsed_ms":2000}
{"msg":"stages ended","ts":"2026-01-01T00:00:05Z","instance":"b","request":"busy","end":"stages_too_busy","elapsed_ms":0}
{"msg":"request refused","ts":"2026-01-01T00:00:05Z","instance":"a","request":"busy","reason":"stages_too_busy","goal_ms":500,"elapsed_ms":1}
{"msg":"request refused","ts":"2026-01-01T00:00:05Z","instance":"a","request":"expired","reason":"stages_too_late","goal_ms":500,"elapsed_ms":3000}
{"msg":"request answered","ts":"2026-01-01T00:00:05Z","instance":"a","request":"failed","status":500,"goal_ms":100,"elapsed_ms":50}
{"msg":"server chosen","ts":"2026-01-01T00:00:05Z","instance":"a","request":"untold","elapsed_ms":0}
"#;

fn account(flags: &[&str], logs: &str) -> Output {
    run_with_input(&[&["account"], flags].concat(), logs.as_bytes())
}

/// Returns the numbers in the line that starts with `name`.
fn counts(text: &str, name: &str) -> Vec<u64> {
    let line = text.lines().find(|line| line.starts_with(name));
    let rest = line.unwrap_or_else(|| panic!("no {name} in\n{text}"));
    let numbers = rest[name.len()..].split_whitespace();
    numbers.map(|number| number.parse().unwrap()).collect()
}

#[test]
fn each_request_gets_one_end_by_its_goal() {
    let output = account(&[], LOGS);
    assert!(output.status.success());
    let text = String::from_utf8(output.stdout).unwrap();
    assert!(
        text.lines()
            .next()
            .unwrap()
            .ends_with("none   100 ms   500 ms      all"),
        "{text}"
    );
    for (name, expected) in [
        ("in time", [0, 0, 1, 1]),
        ("late in the queue", [0, 0, 1, 1]),
        ("late at its server", [0, 0, 1, 1]),
        ("late, paused", [0, 0, 1, 1]),
        ("refused, too busy", [0, 0, 1, 1]),
        ("expired in the queue", [0, 0, 1, 1]),
        ("failed by its server", [0, 1, 0, 1]),
        ("no end told", [1, 0, 0, 1]),
    ] {
        assert_eq!(counts(&text, name), expected, "{name}");
    }
}

#[test]
fn moments_add_up_and_are_drawn() {
    let svg = env::temp_dir().join(format!("account-{}.svg", std::process::id()));
    let output = account(&["--every-s", "1", "--svg", svg.to_str().unwrap()], LOGS);
    assert!(output.status.success());
    let text = String::from_utf8(output.stdout).unwrap();
    let rows = text
        .lines()
        .skip_while(|line| !line.starts_with("from second"));
    let total: u64 = rows
        .skip(1)
        .flat_map(|row| row.split_whitespace().skip(1))
        .map(|number| number.parse::<u64>().unwrap())
        .sum();
    assert_eq!(total, 8);
    let chart = fs::read_to_string(&svg).unwrap();
    fs::remove_file(&svg).unwrap();
    assert!(chart.starts_with("<svg") && chart.contains("not served"));
}

#[test]
fn a_picture_that_cannot_be_written_is_an_error() {
    let output = account(&["--svg", "/nowhere/day.svg"], LOGS);
    assert_eq!(output.status.code(), Some(1));
    let text = String::from_utf8(output.stderr).unwrap();
    assert!(
        text.contains("/nowhere/day.svg: can't be written"),
        "{text}"
    );
}
