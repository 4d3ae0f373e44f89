//! Intents, plans and confirms, including lost responses.

mod common;

use common::{FakeInstance, Reply, TestDir, error, plan, reach, unused_addr};
use serde_json::json;

const PLANS: &str = "POST /admin/v1/plans";
const CONFIRMATIONS: &str = "POST /admin/v1/confirmations";
const REACH: &str = "GET /admin/v1/reach?offset=7";

fn confirmation(in_force: u32, missing: &[&str]) -> Reply {
    Reply::Json(
        200,
        json!({"id": "c1", "offset": 7, "reach": reach(in_force, missing)}),
    )
}

fn confirmations(fake: &FakeInstance) -> usize {
    let received = fake.received();
    received
        .iter()
        .filter(|received| received.line == CONFIRMATIONS)
        .count()
}

#[test]
fn a_plan_is_shown_saved_and_confirmed_unchanged() {
    let dir = TestDir::new();
    let fake = FakeInstance::start(|line, previous_count| match line {
        PLANS => Reply::Json(200, plan()),
        CONFIRMATIONS => confirmation(1, &["entry-2", "entry-3"]),
        REACH if previous_count == 0 => Reply::Json(200, reach(2, &["entry-3"])),
        REACH => Reply::Json(200, reach(3, &[])),
        _ => error(404, "no such path", "none"),
    });
    let intent = dir.file("intent.yaml", "remove: [{kind: pool, name: engine}]");
    let file = dir.path("plan.json");
    let args = ["plan", "-f", &intent, "-o", &file, "--operator", "anna"];
    let result = dir.ctl(&[fake.addr], &args);
    assert_eq!(result.code, 0, "{result:?}");
    for part in ["plan c1, by anna", "remove pool \"engine\"", "warnings:"] {
        assert!(result.out.contains(part), "{result:?}");
    }
    assert!(result.err.contains("Nothing is in force yet"), "{result:?}");
    let request = &fake.received()[0];
    assert_eq!(request.operator, "anna");
    assert_eq!(
        request.body["remove"],
        json!([{"kind": "pool", "name": "engine"}])
    );
    assert_eq!(confirmations(&fake), 0);

    let result = dir.ctl(&[fake.addr], &["confirm", &file]);
    assert_eq!(result.code, 0, "{result:?}");
    assert!(result.err.contains("remove pool \"engine\""), "{result:?}");
    let line = "change c1 accepted at offset 7; in force on 3 of 3 listed instances\n";
    assert_eq!(result.out, line);
    let sent = fake
        .received()
        .into_iter()
        .find(|received| received.line == CONFIRMATIONS);
    assert_eq!(sent.unwrap().body, plan());
}

#[test]
fn an_intent_with_problems_is_not_sent() {
    let dir = TestDir::new();
    let fake = FakeInstance::start(|_, _| Reply::Json(200, plan()));
    let intent = "
pools: [{name: Engine, kind: chat, price_micros_per_s: -1}]
backends: [{name: e1, pool: engine, zone: hal-gouda, addr: engine:80, slots: 0}]
models: [{name: chat, pool: engine, size_mb: 1, min_replicas: 1001}]
pipelines: [{name: quote, deadline_ms: 600001, stages: []}]
workspaces: [{name: w, credential_sha256: secret, pipelines: [quote], weight: 1, quota: 5}]
remove: [{kind: zone, name: a}]
pool: []
";
    let file = dir.file("intent.yaml", intent);
    let result = dir.ctl(&[fake.addr], &["plan", "-f", &file]);
    assert_eq!((result.code, fake.received().len()), (3, 0));
    let parts = [
        "intent.yaml: pools[0].name: found \"Engine\"",
        "pools[0].kind: found \"chat\", allowed is encode, retrieve, rerank, generate, call",
        "pools[0].price_micros_per_s: found -1",
        "backends[0].addr: found \"engine:80\", allowed is IP address",
        "backends[0].slots: found 0, allowed is a whole number from 1 to 4096",
        "models[0].min_replicas: found 1001",
        "pipelines[0].deadline_ms: found 600001",
        "pipelines[0].stages: found a list of 0, allowed is a list of 1 to 16 items",
        "workspaces[0].credential_sha256: found a text of 6 bytes, allowed is SHA-256",
        "workspaces[0].quota_per_s: found nothing",
        "workspaces[0].quota: found an unknown field, allowed is one of name,",
        "remove[0].kind: found \"zone\", allowed is pool, backend, model, pipeline, workspace",
        "pool: found an unknown field, allowed is one of pools, backends",
        "next: correct the intent",
    ];
    assert_eq!(result.err.lines().count(), parts.len(), "{}", result.err);
    for part in parts {
        assert!(result.err.contains(part), "{part} in {}", result.err);
    }
}

#[test]
fn hostile_and_missing_files_are_refused() {
    let dir = TestDir::new();
    let bomb = format!(
        "a: &a [{}]\nb: &b [{}]\nc: &c [{}]\npools: [{}]\n",
        vec!["x"; 200].join(","),
        vec!["*a"; 200].join(","),
        vec!["*b"; 200].join(","),
        vec!["*c"; 200].join(",")
    );
    let long = "#".repeat(2 << 20);
    let deep = "[".repeat(1000);
    for text in [
        bomb.as_str(),
        &long,
        &deep,
        "pools: [",
        "a: 1\na: 2\n",
        "!x {}",
    ] {
        let file = dir.file("intent.yaml", text);
        let result = dir.ctl(&[unused_addr()], &["plan", "-f", &file]);
        assert_eq!(result.code, 3, "{:.200}", result.err);
        assert!(result.err.len() < 2_000);
    }
    let missing = dir.path("missing");
    assert_eq!(dir.ctl(&[unused_addr()], &["plan", "-f", &missing]).code, 1);
    assert_eq!(dir.ctl(&[unused_addr()], &["confirm", &missing]).code, 1);
    for text in ["", "{}", "[]", "{\"change\": 5}", &deep] {
        let file = dir.file("plan.json", text);
        assert_eq!(dir.ctl(&[unused_addr()], &["confirm", &file]).code, 3);
    }
}

#[test]
fn a_refused_intent_exits_3_with_the_error_of_the_instance() {
    let dir = TestDir::new();
    let fake = FakeInstance::start(|_, _| error(422, "pool \"x\" is not configured", "correct it"));
    let file = dir.file("intent.yaml", "");
    let result = dir.ctl(&[fake.addr], &["plan", "-f", &file]);
    assert_eq!(result.code, 3);
    assert!(
        result
            .err
            .contains("pool \"x\" is not configured\nnext: correct it"),
        "{result:?}"
    );
}

#[test]
fn an_instance_without_a_configuration_is_skipped() {
    let dir = TestDir::new();
    let file = dir.file("intent.yaml", "");
    let new = FakeInstance::start(|_, _| error(503, "no configuration yet", "ask another one"));
    let old = FakeInstance::start(|_, _| Reply::Json(200, plan()));
    let result = dir.ctl(&[new.addr, old.addr], &["plan", "-f", &file]);
    assert_eq!((result.code, new.received().len()), (0, 1), "{result:?}");
    let result = dir.ctl(&[new.addr, unused_addr()], &["plan", "-f", &file]);
    assert_eq!(result.code, 1);
    assert!(result.err.contains("next: ask another one"), "{result:?}");
}

#[test]
fn a_confirm_whose_answer_is_lost_is_sent_again_as_the_same_change() {
    let dir = TestDir::new();
    let file = dir.file("plan.json", &plan().to_string());
    let lossy = FakeInstance::start(|_, _| Reply::Disconnect);
    let busy = FakeInstance::start(|line, previous_count| match line {
        CONFIRMATIONS if previous_count == 0 => error(503, "not read back in time", "again"),
        _ => confirmation(3, &[]),
    });
    let result = dir.ctl(&[unused_addr(), lossy.addr, busy.addr], &["confirm", &file]);
    assert_eq!(result.code, 0, "{result:?}");
    assert_eq!((confirmations(&lossy), confirmations(&busy)), (2, 2));
    for received in lossy.received().iter().chain(&busy.received()) {
        assert_eq!(received.body, plan());
    }
}

#[test]
fn a_confirm_without_any_answer_is_not_called_failed() {
    let dir = TestDir::new();
    let file = dir.file("plan.json", &plan().to_string());
    let lossy = FakeInstance::start(|_, _| Reply::Disconnect);
    let result = dir.ctl(&[lossy.addr, unused_addr()], &["confirm", &file]);
    assert_eq!(result.code, 7);
    assert!(
        result.err.contains("run the same confirm again"),
        "{result:?}"
    );

    let unauthorized = FakeInstance::start(|_, _| error(401, "the credential is wrong", "none"));
    let admins = [lossy.addr, unauthorized.addr];
    assert_eq!(dir.ctl(&admins, &["confirm", &file]).code, 7);

    let broken = FakeInstance::start(|_, _| error(500, "broken", "none"));
    assert_eq!(dir.ctl(&[broken.addr], &["confirm", &file]).code, 7);
    let elsewhere = FakeInstance::start(|_, _| Reply::Json(404, json!("no such page")));
    assert_eq!(dir.ctl(&[elsewhere.addr], &["confirm", &file]).code, 1);

    let result = dir.ctl(&[unused_addr()], &["confirm", &file]);
    assert_eq!(result.code, 4);
    assert!(result.err.contains("nothing was changed"), "{result:?}");
}

#[test]
fn a_conflict_is_final() {
    let dir = TestDir::new();
    let file = dir.file("plan.json", &plan().to_string());
    let fake = FakeInstance::start(|_, _| error(409, "pool \"engine\" was changed", "plan again"));
    let other = FakeInstance::start(|_, _| confirmation(3, &[]));
    let result = dir.ctl(&[fake.addr, other.addr], &["confirm", &file]);
    assert_eq!(
        (result.code, confirmations(&fake), confirmations(&other)),
        (5, 1, 0)
    );
    assert!(result.err.contains("next: plan again"), "{result:?}");
}

#[test]
fn a_change_not_in_force_everywhere_in_time_exits_8_with_the_count() {
    let dir = TestDir::new();
    let file = dir.file("plan.json", &plan().to_string());
    let fake = FakeInstance::start(|line, previous_count| match line {
        CONFIRMATIONS => confirmation(1, &["entry-2", "entry-3"]),
        // The instance fails to respond to the first poll.
        _ if previous_count == 0 => Reply::Disconnect,
        _ => Reply::Json(200, reach(2, &["entry-3"])),
    });
    let args = ["--json", "confirm", &file, "--yes", "--wait-ms", "500"];
    let result = dir.ctl(&[fake.addr], &args);
    assert_eq!(
        (result.code, &result.json()["reach"]),
        (8, &reach(2, &["entry-3"]))
    );
    assert!(result.err.contains("2 of 3"), "{result:?}");
    let result = dir.ctl(&[fake.addr], &["confirm", &file, "--wait-ms", "0"]);
    assert!(
        result.out.contains("not yet reported by entry-2, entry-3"),
        "{result:?}"
    );
}
