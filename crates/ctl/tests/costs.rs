//! The cost report: complete, without double counting, with correct sums and shares.

mod common;

use common::{FakeInstance, Reply, TestDir, status, unused_addr};
use serde_json::{Value, json};

fn line(workspace: &str, pipeline: &str, stage: &str, cost: u64, wasted: u64) -> Value {
    json!({
        "workspace": workspace, "pipeline": pipeline, "stage": stage, "calls": 2,
        "busy_us": 1_500_000, "cost_micros": cost, "wasted_micros": wasted,
    })
}

/// Starts a fake instance with the cost lines `lines` and the list of instances `listed`.
fn instance(name: &'static str, incarnation: u64, lines: Value, listed: &[&str]) -> FakeInstance {
    let views: Vec<Value> = listed
        .iter()
        .map(|name| json!({"name": name, "zone": "hal-gouda", "state": "live"}))
        .collect();
    FakeInstance::with(&[
        ("GET /admin/v1/status", status(name, incarnation)),
        ("GET /admin/v1/costs", lines),
        ("GET /admin/v1/instances", json!(views)),
    ])
}

fn two_instances() -> [FakeInstance; 2] {
    let listed = ["entry-1", "entry-2"];
    let lines = json!([
        line("vakwerk", "quote", "write", 6_000_000, 1_500_000),
        line("vakwerk", "quote", "encode", 500_000, 0),
    ]);
    let more = json!([
        line("vakwerk", "quote", "write", 2_000_000, 500_000),
        line("leden", "archive", "encode", 1_500_001, 1),
    ]);
    [
        instance("entry-1", 1, lines, &listed),
        instance("entry-2", 2, more, &listed),
    ]
}

#[test]
fn sums_all_instances_with_shares_and_wasted_work() {
    let dir = TestDir::new();
    let [one, two] = two_instances();
    let result = dir.ctl(&[one.addr, two.addr], &["costs"]);
    assert_eq!((result.code, result.err.as_str()), (0, ""));
    let expected = "\
WORKSPACE  PIPELINE  STAGE   CALLS  BUSY s       COST  SHARE %      USED    WASTED  WASTED %
vakwerk    quote     write       4   3.000   8.000000     80.0  6.000000  2.000000      25.0
leden      archive   encode      2   1.500   1.500001     15.0  1.500000  0.000001       0.0
vakwerk    quote     encode      2   1.500   0.500000      5.0  0.500000  0.000000       0.0
total                            8   6.000  10.000001    100.0  8.000000  2.000001      20.0
";
    assert_eq!(result.out, expected);
}

#[test]
fn sums_by_stage_pipeline_and_workspace() {
    let dir = TestDir::new();
    let [one, two] = two_instances();
    let admins = [one.addr, two.addr];
    let cases = [
        ("stage", "quote     write", 5),
        ("pipeline", "quote         6", 4),
        ("workspace", "vakwerk        6", 4),
    ];
    for (by, start, lines) in cases {
        let result = dir.ctl(&admins, &["costs", "--by", by]);
        assert_eq!(result.out.lines().count(), lines, "{result:?}");
        assert!(
            result.out.lines().nth(1).unwrap().starts_with(start),
            "{result:?}"
        );
    }
    let report = dir
        .ctl(&admins, &["--json", "costs", "--by", "workspace"])
        .json();
    assert_eq!(report["total"]["cost_micros"], 10_000_001);
    assert_eq!(report["lines"][0]["cost_micros"], 8_500_000);
    assert_eq!(report["lines"][0]["pipeline"], Value::Null);
    assert_eq!(report["instances"], json!(["entry-1", "entry-2"]));
}

#[test]
fn writes_comma_separated_values_to_a_file() {
    let dir = TestDir::new();
    let lines = json!([
        line("a,b", "say \"x\"", "write", 3, 1),
        line("w", "p", "s", 1, 0)
    ]);
    let fake = instance("entry-1", 1, lines, &["entry-1"]);
    let file = dir.file("report.csv", "old");
    let result = dir.ctl(&[fake.addr], &["costs", "--csv", "-o", &file]);
    assert_eq!((result.code, result.out.as_str()), (0, ""), "{result:?}");
    let expected = "\
row,workspace,pipeline,stage,calls,busy_us,cost_micros,share_percent,used_micros,wasted_micros,wasted_percent
line,\"a,b\",\"say \"\"x\"\"\",write,2,1500000,3,75.000,2,1,33.333
line,w,p,s,2,1500000,1,25.000,1,0,0.000
total,,,,4,3000000,4,100.000,3,1,25.000
";
    assert_eq!(dir.read("report.csv"), expected);
    let missing = dir.path("no/such/dir.csv");
    let result = dir.ctl(&[fake.addr], &["costs", "--csv", "-o", &missing]);
    assert_eq!(result.code, 1);
}

#[test]
fn an_instance_with_two_addresses_counts_once() {
    let dir = TestDir::new();
    let lines = json!([line("w", "p", "s", 5, 0)]);
    let one = instance("entry-1", 1, lines.clone(), &["entry-1"]);
    let same = instance("entry-1", 1, lines, &["entry-1"]);
    let report = dir.ctl(&[one.addr, same.addr], &["--json", "costs"]).json();
    assert_eq!(report["total"]["cost_micros"], 5);
}

#[test]
fn a_partial_report_is_refused_unless_asked_for() {
    let dir = TestDir::new();
    let [one, _two] = two_instances();
    let dead = unused_addr();
    let file = dir.path("report.csv");
    let result = dir.ctl(&[one.addr, dead], &["costs", "--csv", "-o", &file]);
    assert_eq!((result.code, result.out.as_str()), (4, ""));
    assert!(!std::fs::exists(&file).unwrap());

    let result = dir.ctl(&[one.addr, dead], &["costs", "--partial"]);
    assert_eq!(result.code, 0, "{result:?}");
    assert!(
        result.err.contains(&format!("no answer from {dead}")),
        "{result:?}"
    );
    assert_eq!(dir.ctl(&[dead], &["costs", "--partial"]).code, 4);
    let result = dir.ctl(&[one.addr, dead], &["--json", "costs", "--partial"]);
    let report = result.json();
    assert_eq!(report["unreachable"], json!([dead.to_string()]));
    assert_eq!(report["not_asked"], json!(["entry-2"]));
}

#[test]
fn names_instances_that_were_not_queried() {
    let dir = TestDir::new();
    let [one, _two] = two_instances();
    let result = dir.ctl(&[one.addr], &["costs"]);
    assert_eq!(result.code, 0);
    assert!(
        result.err.contains("not in the sums: entry-2"),
        "{result:?}"
    );
}

#[test]
fn an_empty_report_has_no_share() {
    let dir = TestDir::new();
    let fake = instance("entry-1", 1, json!([]), &["entry-1"]);
    let result = dir.ctl(&[fake.addr], &["costs"]);
    assert_eq!(
        (result.code, result.out.lines().count()),
        (0, 2),
        "{result:?}"
    );
    assert!(result.out.contains("0.000000"));
    let overflowing = json!([
        line("w", "p", "s", u64::MAX, u64::MAX),
        line("w", "p", "s", 9, 10)
    ]);
    let fake = instance("entry-1", 1, overflowing, &["entry-1"]);
    assert_eq!(dir.ctl(&[fake.addr], &["costs"]).code, 0);
    let cut = FakeInstance::start(|_, _| Reply::Disconnect);
    assert_eq!(dir.ctl(&[cut.addr], &["costs"]).code, 4);
}
