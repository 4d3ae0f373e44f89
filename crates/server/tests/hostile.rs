//! Malformed and malicious input: settings files and records of the log.

mod common;

use common::{Deployment, send_as_operator};
use http::{Method, StatusCode};
use quickcheck::{Gen, QuickCheck, Testable};
use savoryvane_server::Settings;
use savoryvane_standins::client;
use savoryvane_wire::config::MAX_CONFIG_PAYLOAD_BYTES;
use serde_json::json;

const EXAMPLE: &str = include_str!("../examples/entry.yaml");

/// Values to put after the key of a settings line.
const VALUES: [&str; 14] = [
    "",
    "~",
    "true",
    "-1",
    "1.5",
    "18446744073709551616",
    "''",
    "'a b'",
    "\"\\e[2J\"",
    "[]",
    "{}",
    "[{a: []}]",
    "127.0.0.1:99999",
    "*nowhere",
];

const SEED: u64 = 19;
const GEN_SIZE: usize = 100;

fn check(property: impl Testable) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(GEN_SIZE, SEED))
        .quickcheck(property);
}

fn is_accepted_or_rejected(text: &str) -> bool {
    Settings::parse(text).map_or_else(|problems| !problems.list().is_empty(), |_| true)
}

fn replace_line(index: usize, line: &str) -> String {
    let mut lines: Vec<&str> = EXAMPLE.lines().collect();
    lines[index] = line;
    lines.join("\n")
}

#[test]
fn settings_of_any_text_are_read_or_refused() {
    fn property(text: String) -> bool {
        is_accepted_or_rejected(&text)
    }
    check(property as fn(_) -> _);
}

#[test]
fn settings_with_any_line_replaced_are_read_or_refused() {
    fn property(line: usize, text: String) -> bool {
        is_accepted_or_rejected(&replace_line(line % EXAMPLE.lines().count(), &text))
    }
    check(property as fn(_, _) -> _);
    // Random text is rarely valid YAML, so it hardly reaches the checks of the
    // fields. These lines keep the key and vary the value.
    for (index, line) in EXAMPLE.lines().enumerate() {
        let duplicated = format!("{line}\n{line}");
        assert!(
            is_accepted_or_rejected(&replace_line(index, &duplicated)),
            "{line}"
        );
        assert!(is_accepted_or_rejected(&replace_line(index, "")), "{line}");
        let key = line.split_once(':').map_or(line, |(key, _)| key);
        for value in VALUES {
            let line = format!("{key}: {value}");
            assert!(
                is_accepted_or_rejected(&replace_line(index, &line)),
                "{line}"
            );
        }
    }
}

#[tokio::test]
async fn hostile_records_of_the_log_are_passed_over() {
    let deployment = Deployment::start().await;
    let records = [
        Vec::new(),
        b"\0\xff\xfe".to_vec(),
        b"{\"version\":99,\"record\":{}}".to_vec(),
        b"{\"version\":1,\"record\":{\"change\":{}}}".to_vec(),
        "[".repeat(100_000).into_bytes(),
        vec![b'x'; MAX_CONFIG_PAYLOAD_BYTES + 1],
    ];
    for record in records {
        let path = "/v1/streams/config/records";
        let addr = deployment.log.addr();
        let appended = client::exchange(addr, Method::POST, path, record).await;
        assert_eq!(appended.unwrap().0, StatusCode::OK);
    }
    let intent = json!({ "pools": [
        { "name": "encode", "kind": "encode", "price_micros_per_s": 9 }
    ] });

    deployment.confirm(&intent).await;

    let path = "/admin/v1/status";
    let (_, status) = send_as_operator(deployment.admin(), Method::GET, path, &json!(null)).await;
    assert_eq!(status["config_next"], 8);
    assert_eq!(deployment.request_quote(&json!(1)).await.0, StatusCode::OK);
}
