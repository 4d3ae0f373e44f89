//! Input that no honest sender makes: settings and records of the log.

mod common;

use common::{Deployment, operate};
use http::{Method, StatusCode};
use quickcheck::{QuickCheck, TestResult};
use savoryvane_server::Settings;
use savoryvane_standins::client;
use savoryvane_wire::config::MAX_CONFIG_PAYLOAD_BYTES;
use serde_json::json;

const EXAMPLE: &str = include_str!("../examples/entry.yaml");

#[test]
fn settings_of_any_text_are_read_or_refused() {
    fn is_total(text: String) -> bool {
        Settings::parse(&text).map_or_else(|faults| !faults.list().is_empty(), |_| true)
    }
    QuickCheck::new().quickcheck(is_total as fn(String) -> bool);
}

#[test]
fn settings_with_any_line_replaced_are_read_or_refused() {
    fn is_total(line: usize, text: String) -> TestResult {
        let mut lines: Vec<&str> = EXAMPLE.lines().collect();
        let index = line % lines.len();
        lines[index] = &text;
        let parsed = Settings::parse(&lines.join("\n"));
        TestResult::from_bool(parsed.map_or_else(|faults| !faults.list().is_empty(), |_| true))
    }
    QuickCheck::new().quickcheck(is_total as fn(usize, String) -> TestResult);
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
    let (_, status) = operate(deployment.admin(), Method::GET, path, &json!(null)).await;
    assert_eq!(status["config_next"], 8);
    assert_eq!(deployment.ask(&json!(1)).await.0, StatusCode::OK);
}
