//! Placement with real instances and stand-in engines: models are loaded, a
//! replaced placer's orders are refused or put right, and plans show moves.

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

/// Silence after which a placer is replaced: 1.7 s.
const SETTINGS: &str = "placement: {renewal_ms: 500, order_timeout_ms: 200}";
const WAIT: Duration = Duration::from_secs(30);

/// A deployment whose engines hold nothing at the start.
async fn deployment(fencing: Fencing) -> Deployment {
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

async fn engine_models(engine: &BackendServer) -> Vec<ModelName> {
    let (status, body) = client::exchange(engine.addr(), Method::GET, "/v1/load", "")
        .await
        .unwrap();
    assert_eq!(status, StatusCode::OK);
    serde_json::from_slice::<LoadReport>(&body).unwrap().models
}

async fn holders(deployment: &Deployment) -> usize {
    let mut count = 0;
    for engine in &deployment.backends[6..] {
        count += usize::from(engine_models(engine).await.contains(&"chat".into()));
    }
    count
}

async fn wait_for_chat(deployment: &Deployment) {
    let waiting = async {
        while holders(deployment).await == 0 {
            time::sleep(Duration::from_millis(50)).await;
        }
    };
    time::timeout(WAIT, waiting).await.expect("chat is loaded");
}

async fn order(engine: &BackendServer, order: &Order) -> (StatusCode, OrderReply) {
    let body = serde_json::to_string(order).unwrap();
    let (status, body) = client::exchange(engine.addr(), Method::POST, "/v1/orders", body)
        .await
        .unwrap();
    (status, serde_json::from_slice(&body).unwrap())
}

async fn placer(deployment: &Deployment, index: usize) -> PlacerView {
    let admin = deployment.instances[index].addresses().admin;
    let (status, view) =
        send_as_operator(admin, Method::GET, "/admin/v1/placer", &json!(null)).await;
    assert_eq!(status, StatusCode::OK, "{view} {OPERATOR_CREDENTIAL}");
    serde_json::from_value(view).unwrap()
}

/// Waits until an instance gives orders and returns its index and term.
async fn wait_for_placer(deployment: &Deployment) -> (usize, u64) {
    let waiting = async {
        loop {
            for index in 0..deployment.instances.len() {
                let view = placer(deployment, index).await;
                if let (true, Some(term)) = (view.gives_orders, view.term) {
                    return (index, term.0);
                }
            }
            time::sleep(Duration::from_millis(50)).await;
        }
    };
    time::timeout(WAIT, waiting).await.expect("a placer")
}

async fn answers(deployment: &Deployment) {
    let input = json!({ "text": "gilded letters" });
    let waiting = async {
        loop {
            let (_, answer) = deployment.request_quote(&input).await;
            if answer.outcome == Outcome::Complete {
                assert_eq!(answer.output, Some(expected(&input)));
                return;
            }
            time::sleep(Duration::from_millis(100)).await;
        }
    };
    time::timeout(WAIT, waiting).await.expect("an answer");
}

/// Lets the placer leave, then repeats an order under its number.
async fn replaced(fencing: Fencing) -> (Deployment, Vec<(StatusCode, OrderReply)>) {
    let mut deployment = deployment(fencing).await;
    wait_for_chat(&deployment).await;
    answers(&deployment).await;
    let (old, old_term) = wait_for_placer(&deployment).await;
    let leaver = deployment.instances.remove(old);
    let leaving = tokio::spawn(leaver.leave());
    let (_, new_term) = wait_for_placer(&deployment).await;
    assert!(new_term > old_term);
    // The new placer tells engines that check its number within a round or two.
    time::sleep(Duration::from_secs(3)).await;
    let unload = Order {
        fence: old_term,
        action: OrderAction::Unload {
            model: "chat".into(),
        },
    };
    let mut replies = Vec::new();
    for engine in &deployment.backends[6..] {
        if engine_models(engine).await.contains(&"chat".into()) {
            replies.push(order(engine, &unload).await);
        }
    }
    assert!(!replies.is_empty());
    leaving.abort();
    (deployment, replies)
}

#[tokio::test]
async fn checking_engines_get_models_and_refuse_a_replaced_placer() {
    let (deployment, replies) = replaced(Fencing::Checked).await;
    for (status, reply) in replies {
        assert_eq!(status, StatusCode::CONFLICT, "{reply:?}");
    }
    answers(&deployment).await;
}

#[tokio::test]
async fn ignoring_engines_get_models_and_are_put_right_after_a_replaced_placer() {
    let (deployment, replies) = replaced(Fencing::Ignored).await;
    for (status, reply) in replies {
        assert_eq!(status, StatusCode::OK, "{reply:?}");
        assert_eq!(reply.models, []);
    }
    wait_for_chat(&deployment).await;
    answers(&deployment).await;
}

#[tokio::test]
async fn a_plan_names_the_engines_of_its_moves() {
    let deployment = deployment(Fencing::Checked).await;
    wait_for_chat(&deployment).await;
    let mut intent = deployment.intent();
    intent["models"][0]["min_replicas"] = json!(2);
    wait_until("reports", || true).await;
    time::sleep(Duration::from_secs(1)).await;
    let plan = plan(deployment.admin(), &intent).await;
    let moves = plan.moves.join("\n");
    assert!(moves.contains("load chat on generate-"), "{moves}");
}
