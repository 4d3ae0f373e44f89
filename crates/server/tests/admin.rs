//! Operators' interface: plans, confirmations, views and authentication.

mod common;
#[path = "common/process.rs"]
#[allow(dead_code, reason = "each test file uses a part of it")]
mod process;

use std::time::Duration;

use common::{Deployment, expected, plan, read_answer, read_body, send, send_as_operator, submit};
use http::{Method, StatusCode};
use process::Entry;
use savoryvane_standins::{LogFaults, client::Version};
use savoryvane_wire::admin::{Confirmation, Plan};
use serde_json::{Value, json};
use tokio::time;

const CONFIRM_PATH: &str = "/admin/v1/confirmations";

async fn get(deployment: &Deployment, path: &str) -> Value {
    let (status, value) =
        send_as_operator(deployment.admin(), Method::GET, path, &Value::Null).await;
    assert_eq!(status, StatusCode::OK, "{path}: {value}");
    value
}

async fn confirm_plan(deployment: &Deployment, plan: &Plan) -> (StatusCode, Value) {
    send_as_operator(deployment.admin(), Method::POST, CONFIRM_PATH, &json!(plan)).await
}

async fn start_unconfigured() -> Deployment {
    let mut deployment = Deployment::without_instances("").await;
    deployment.add_instance("entry-1").await;
    deployment.wait_ready().await;
    deployment
}

fn price_intent(micros: u64) -> Value {
    json!({ "pools": [{ "name": "encode", "kind": "encode", "price_micros_per_s": micros }] })
}

#[tokio::test]
async fn nothing_is_in_force_before_the_confirm() {
    let deployment = start_unconfigured().await;
    let addr = deployment.caller();

    let plan = plan(deployment.admin(), &deployment.intent()).await;

    assert_eq!(plan.summary.len(), 17, "{:?}", plan.summary);
    let (status, _) = read_answer(submit(addr, "quote", &json!(1), &[]).await).await;
    assert_eq!(status, StatusCode::UNAUTHORIZED);
    assert_eq!(get(&deployment, "/admin/v1/objects").await, json!([]));

    let (status, _) = confirm_plan(&deployment, &plan).await;

    assert_eq!(status, StatusCode::OK);
    let (status, _) = read_answer(submit(addr, "quote", &json!(1), &[]).await).await;
    assert_eq!(status, StatusCode::OK);
}

#[tokio::test]
async fn racing_operators_get_one_winner_and_one_conflict() {
    let mut deployment = Deployment::start().await;
    deployment.add_instance("entry-2").await;
    deployment.wait_ready().await;
    let admins = [0, 1].map(|index: usize| deployment.instances[index].addresses().admin);
    let plans = [
        json!(plan(admins[0], &price_intent(1)).await),
        json!(plan(admins[1], &price_intent(2)).await),
    ];

    let (first_response, second_response) = tokio::join!(
        send_as_operator(admins[0], Method::POST, CONFIRM_PATH, &plans[0]),
        send_as_operator(admins[1], Method::POST, CONFIRM_PATH, &plans[1]),
    );

    let mut statuses = [first_response.0, second_response.0];
    statuses.sort();
    assert_eq!(statuses, [StatusCode::OK, StatusCode::CONFLICT]);
    let conflict = if first_response.0 == StatusCode::CONFLICT {
        first_response.1
    } else {
        second_response.1
    };
    assert!(
        conflict["next_step"].as_str().unwrap().contains("new plan"),
        "{conflict}"
    );
    let objects = get(&deployment, "/admin/v1/objects").await;
    let (_, other_objects) =
        send_as_operator(admins[1], Method::GET, "/admin/v1/objects", &Value::Null).await;
    assert_eq!(objects, other_objects);
}

#[tokio::test]
async fn repeated_confirm_takes_effect_once() {
    let deployment = Deployment::start().await;
    let plan = plan(deployment.admin(), &price_intent(7)).await;

    let (_, first_response) = confirm_plan(&deployment, &plan).await;
    let (status, second_response) = confirm_plan(&deployment, &plan).await;

    assert_eq!(status, StatusCode::OK);
    let confirmations: [Confirmation; 2] =
        [first_response, second_response].map(|value| serde_json::from_value(value).unwrap());
    assert_eq!(confirmations[0].offset, confirmations[1].offset);
}

#[tokio::test]
async fn append_with_lost_response_is_confirmed_from_the_log() {
    let deployment = Deployment::start().await;
    let plan = plan(deployment.admin(), &price_intent(7)).await;
    deployment.log.set_faults(LogFaults {
        lose_append_answers: true,
        ..LogFaults::default()
    });

    let (status, body) = confirm_plan(&deployment, &plan).await;

    assert_eq!(status, StatusCode::OK, "{body}");
}

#[tokio::test]
async fn confirm_during_an_outage_is_refused_and_works_afterwards() {
    let deployment = Deployment::start().await;
    let plan = plan(deployment.admin(), &price_intent(7)).await;
    deployment.log.set_faults(LogFaults {
        outage: true,
        ..LogFaults::default()
    });
    let (status, body) = confirm_plan(&deployment, &plan).await;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE, "{body}");
    // The previous configuration stays in force.
    assert_eq!(deployment.request_quote(&json!(1)).await.0, StatusCode::OK);

    deployment.log.set_faults(LogFaults::default());

    let (status, body) = confirm_plan(&deployment, &plan).await;
    assert_eq!(status, StatusCode::OK, "{body}");
}

#[tokio::test]
async fn bad_intents_and_plans_are_told_what_to_do() {
    let deployment = Deployment::start().await;
    let admin = deployment.admin();
    let deeply_nested = "[".repeat(50_000);
    for body in ["", "{", "[1]", r#"{"pool":[]}"#, deeply_nested.as_str()] {
        for path in ["/admin/v1/plans", CONFIRM_PATH, "/admin/v1/drain"] {
            let bearer = format!("Bearer {}", common::OPERATOR_CREDENTIAL);
            let headers = [("authorization", bearer.as_str())];
            let response = send(Version::Http1, admin, Method::POST, path, body, &headers).await;
            assert_eq!(
                response.status(),
                StatusCode::BAD_REQUEST,
                "{path} {body:.10}"
            );
            let error: Value = serde_json::from_slice(&read_body(response).await).unwrap();
            assert!(error["next_step"].is_string());
        }
    }
    let invalid_intent = json!({ "remove": [
        { "kind": "pool", "name": "nowhere" }, { "kind": "pool", "name": "encode" }
    ] });
    let (status, body) =
        send_as_operator(admin, Method::POST, "/admin/v1/plans", &invalid_intent).await;
    assert_eq!(status, StatusCode::UNPROCESSABLE_ENTITY);
    let error = body["error"].as_str().unwrap();
    assert!(
        error.contains("nowhere") && error.contains("encode"),
        "{error}"
    );

    let mut altered = plan(admin, &price_intent(7)).await;
    altered.change.operator = "mallory".into();
    let (status, _) = confirm_plan(&deployment, &altered).await;
    assert_eq!(status, StatusCode::UNPROCESSABLE_ENTITY);
}

#[tokio::test]
async fn views_report_the_state() {
    let deployment = Deployment::start().await;
    deployment.request_quote(&json!(1)).await;

    let status = get(&deployment, "/admin/v1/status").await;
    assert_eq!(status["instance"], "entry-1");
    assert_eq!(status["ready"], true);
    assert_eq!(status["config_next"], 1);
    let history = get(&deployment, "/admin/v1/history").await;
    assert_eq!(history[0]["operator"], "anna");
    assert_eq!(history[0]["result"], "in force");
    let costs = get(&deployment, "/admin/v1/costs").await;
    assert_eq!(costs.as_array().unwrap().len(), 4);
    assert_eq!(costs[0]["workspace"], "vakwerk");
    let instances = get(&deployment, "/admin/v1/instances").await;
    assert_eq!(instances[0]["name"], "entry-1");
    // The instance list and the load reports arrive with a delay.
    let poll = async {
        loop {
            let reach = get(&deployment, "/admin/v1/reach?offset=0").await;
            let backends = get(&deployment, "/admin/v1/backends").await;
            let backends = backends.as_array().unwrap();
            let is_reached = reach["in_force"] == 1 && reach["listed"] == 1;
            if is_reached && backends.len() == 8 && backends.iter().all(|x| x["state"] == "serving")
            {
                return;
            }
            time::sleep(Duration::from_millis(20)).await;
        }
    };
    time::timeout(Duration::from_secs(10), poll).await.unwrap();
}

#[tokio::test]
async fn checkpoint_preserves_the_configuration_after_the_log_is_trimmed() {
    let settings = |deployment: &Deployment| {
        let list = deployment.list.addr();
        let platform = format!(
            "platform: {{log: '{}', list: '{list}'",
            deployment.log.addr()
        );
        let text = deployment.settings_text("entry-1");
        text.replace(&platform, &format!("{platform}, retention_ms: 1500"))
    };
    let deployment = Deployment::without_instances("").await;
    let parsed = savoryvane_server::Settings::parse(&settings(&deployment)).unwrap();
    let instance = savoryvane_server::Instance::start(parsed.clone())
        .await
        .unwrap();
    common::wait_until("ready", || instance.is_ready()).await;
    common::confirm(instance.addresses().admin, &deployment.intent()).await;

    deployment.log.set_faults(LogFaults {
        trim: true,
        ..LogFaults::default()
    });
    common::wait_until("checkpoint", || {
        !deployment.log.payloads("config").is_empty()
    })
    .await;
    let late_instance = savoryvane_server::Instance::start(parsed).await.unwrap();
    common::wait_until("ready", || late_instance.is_ready()).await;

    let input = json!("late");
    let response = submit(late_instance.addresses().caller, "quote", &input, &[]).await;
    let (status, answer) = read_answer(response).await;
    assert_eq!(status, StatusCode::OK);
    assert_eq!(answer.output, Some(expected(&input)));
}

#[tokio::test]
async fn wrong_credential_is_refused_and_logged_without_it() {
    let extra = "log: {level: info}\ndrain: {grace_ms: 0, timeout_ms: 1000}";
    let deployment = Deployment::without_instances(extra).await;
    let settings = deployment.settings_text("entry-1");
    let mut entry = tokio::task::spawn_blocking(move || Entry::start(&settings))
        .await
        .unwrap();
    let caller_bearer = format!("Bearer {}", common::credential("vakwerk"));
    for value in [
        "Bearer guessed-secret",
        caller_bearer.as_str(),
        "Bearer ",
        "guessed-secret",
    ] {
        let headers = [("authorization", value)];
        for (method, path) in [
            (Method::GET, "/admin/v1/status"),
            (Method::POST, CONFIRM_PATH),
        ] {
            let response = send(Version::Http1, entry.admin, method, path, "{}", &headers).await;
            assert_eq!(response.status(), StatusCode::UNAUTHORIZED, "{value}");
            assert_eq!(response.headers()["www-authenticate"], "Bearer");
        }
    }
    // The callers' listener does not serve the operators' interface.
    let (status, _) =
        send_as_operator(entry.caller, Method::GET, "/admin/v1/status", &Value::Null).await;
    assert_eq!(status, StatusCode::NOT_FOUND);

    entry.terminate();
    let log = tokio::task::spawn_blocking(move || {
        entry.wait();
        entry.logged()
    });
    let log = log.await.unwrap();
    let refusals = log
        .lines()
        .filter(|line| line.contains("operator's request refused"));
    assert_eq!(refusals.count(), 8, "{log}");
    assert!(!log.contains("secret"), "{log}");
}
