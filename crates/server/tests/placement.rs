//! Model placement with running instances and stand-in engines: models are loaded,
//! orders of a replaced placer are refused or corrected, and plans list the moves.

mod common;

use std::time::Duration;

use common::{Deployment, OPERATOR_CREDENTIAL, expected, plan, send_as_operator, wait_until};
use http::{Method, StatusCode};
use savoryvane_core::{
    ids::ModelName,
    objects::{Fencing, StageKind},
    outcome::Outcome,
};
use savoryvane_standins::{BackendServer, BackendSettings, client};
use savoryvane_wire::{
    backend::{LoadReport, Order, OrderAction, OrderReply},
    placer::PlacerView,
};
use serde_json::json;
use tokio::time;

/// With these settings a placer is replaced after 1.7 s of silence.
const SETTINGS: &str = "placement: {renewal_ms: 500, order_timeout_ms: 200}";
const TIMEOUT: Duration = Duration::from_secs(30);

/// Starts a deployment whose engines have no model loaded.
async fn start_deployment(fencing: Fencing) -> Deployment {
    let mut deployment = Deployment::without_instances(SETTINGS).await;
    deployment.backends.truncate(6);
    for index in 0..2 {
        let name = format!("generate-{index}");
        let mut settings = BackendSettings::new(name.as_str(), StageKind::Generate);
        settings.fencing = fencing;
        settings.load_lag_ms = 50;
        deployment
            .backends
            .push(BackendServer::start(settings).await.unwrap());
    }
    deployment.add_instance("entry-1").await;
    deployment.add_instance("entry-2").await;
    let mut intent = deployment.intent();
    for pool in intent["pools"].as_array_mut().unwrap() {
        pool["fencing"] = json!(fencing);
    }
    deployment.confirm(&intent).await;
    deployment.wait_ready().await;
    deployment
}

async fn loaded_models(engine: &BackendServer) -> Vec<ModelName> {
    let (status, body) = client::exchange(engine.addr(), Method::GET, "/v1/load", "")
        .await
        .unwrap();
    assert_eq!(status, StatusCode::OK);
    serde_json::from_slice::<LoadReport>(&body).unwrap().models
}

async fn count_engines_with_chat(deployment: &Deployment) -> usize {
    let mut count = 0;
    for engine in &deployment.backends[6..] {
        count += usize::from(loaded_models(engine).await.contains(&"chat".into()));
    }
    count
}

async fn wait_for_chat(deployment: &Deployment) {
    let poll = async {
        while count_engines_with_chat(deployment).await == 0 {
            time::sleep(Duration::from_millis(50)).await;
        }
    };
    time::timeout(TIMEOUT, poll).await.expect("chat is loaded");
}

async fn order(engine: &BackendServer, order: &Order) -> (StatusCode, OrderReply) {
    let body = serde_json::to_string(order).unwrap();
    let (status, body) = client::exchange(engine.addr(), Method::POST, "/v1/orders", body)
        .await
        .unwrap();
    (status, serde_json::from_slice(&body).unwrap())
}

async fn placer_view(deployment: &Deployment, index: usize) -> PlacerView {
    let admin = deployment.instances[index].addresses().admin;
    let (status, view) =
        send_as_operator(admin, Method::GET, "/admin/v1/placer", &json!(null)).await;
    assert_eq!(status, StatusCode::OK, "{view} {OPERATOR_CREDENTIAL}");
    serde_json::from_value(view).unwrap()
}

/// Waits until an instance acts as the placer. Returns its index and term.
async fn wait_for_placer(deployment: &Deployment) -> (usize, u64) {
    let poll = async {
        loop {
            for index in 0..deployment.instances.len() {
                let view = placer_view(deployment, index).await;
                if let (true, Some(term)) = (view.gives_orders, view.term) {
                    return (index, term.0);
                }
            }
            time::sleep(Duration::from_millis(50)).await;
        }
    };
    time::timeout(TIMEOUT, poll).await.expect("a placer")
}

async fn wait_for_answer(deployment: &Deployment) {
    let input = json!({ "text": "gilded letters" });
    let poll = async {
        loop {
            let (_, answer) = deployment.request_quote(&input).await;
            if answer.outcome == Outcome::Complete {
                assert_eq!(answer.output, Some(expected(&input)));
                return;
            }
            time::sleep(Duration::from_millis(100)).await;
        }
    };
    time::timeout(TIMEOUT, poll).await.expect("an answer");
}

/// Shuts the placer down, then sends an order with the old placer's fencing number
/// to each engine that has the model.
async fn replace_placer(fencing: Fencing) -> (Deployment, Vec<(StatusCode, OrderReply)>) {
    let mut deployment = start_deployment(fencing).await;
    wait_for_chat(&deployment).await;
    wait_for_answer(&deployment).await;
    let (old_index, old_term) = wait_for_placer(&deployment).await;
    let old_placer = deployment.instances.remove(old_index);
    let leaving = tokio::spawn(old_placer.leave());
    let (_, new_term) = wait_for_placer(&deployment).await;
    assert!(new_term > old_term);
    // Engines that check fencing numbers learn the new one in one or two rounds.
    time::sleep(Duration::from_secs(3)).await;
    let unload = Order {
        fence: old_term,
        action: OrderAction::Unload {
            model: "chat".into(),
        },
    };
    let mut replies = Vec::new();
    for engine in &deployment.backends[6..] {
        if loaded_models(engine).await.contains(&"chat".into()) {
            replies.push(order(engine, &unload).await);
        }
    }
    assert!(!replies.is_empty());
    leaving.abort();
    (deployment, replies)
}

#[tokio::test]
async fn checking_engines_get_models_and_refuse_a_replaced_placer() {
    let (deployment, replies) = replace_placer(Fencing::Checked).await;
    for (status, reply) in replies {
        assert_eq!(status, StatusCode::CONFLICT, "{reply:?}");
    }
    wait_for_answer(&deployment).await;
}

#[tokio::test]
async fn ignoring_engines_get_models_and_are_put_right_after_a_replaced_placer() {
    let (deployment, replies) = replace_placer(Fencing::Ignored).await;
    for (status, reply) in replies {
        assert_eq!(status, StatusCode::OK, "{reply:?}");
        assert_eq!(reply.models, []);
    }
    wait_for_chat(&deployment).await;
    wait_for_answer(&deployment).await;
}

#[tokio::test]
async fn a_plan_lists_the_engines_of_its_moves() {
    let deployment = start_deployment(Fencing::Checked).await;
    wait_for_chat(&deployment).await;
    let mut intent = deployment.intent();
    intent["models"][0]["min_replicas"] = json!(2);
    wait_until("reports", || true).await;
    time::sleep(Duration::from_secs(1)).await;
    let plan = plan(deployment.admin(), &intent).await;
    let moves = plan.moves.join("\n");
    assert!(moves.contains("load chat on generate-"), "{moves}");
}
