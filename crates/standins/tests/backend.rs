//! Backend servers: answers, limits, cancels, orders and faults.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use http::{Method, StatusCode};
use http_body_util::BodyExt;
use savoryvane_core::{
    call::{CallId, RefusalReason, ServingState, StageCall, StageEvent},
    objects::{Fencing, StageKind},
};
use savoryvane_standins::{
    BackendFaults, BackendServer, BackendSettings, Mislabel, RanState, Step, WeightServer,
    WeightSource, WeightStore, client, ran_more_than_once, stage_output, tokens_of,
};
use savoryvane_wire::backend::{
    CacheEvents, Cancel, LoadReport, Order, OrderAction, OrderReply, Refusal,
};
use serde_json::{Value, json};
use tokio::time::{sleep, timeout};

fn call(request: &str, kind: StageKind) -> StageCall {
    StageCall {
        id: CallId {
            request: request.into(),
            stage: "only".into(),
            attempt: 1,
        },
        kind,
        model: None,
        input: json!({ "text": request }).into(),
        previous: Value::Null,
        max_tokens: 0,
        resume_from: 0,
        priority: 0,
        deadline_ms: 10_000,
    }
}

async fn start(settings: BackendSettings) -> BackendServer {
    BackendServer::start(settings).await.unwrap()
}

async fn run(addr: SocketAddr, call: &StageCall) -> (StatusCode, String) {
    let body = serde_json::to_vec(call).unwrap();
    let (status, bytes) = client::exchange(addr, Method::POST, "/v1/run", body)
        .await
        .unwrap();
    (status, String::from_utf8_lossy(&bytes).into_owned())
}

async fn events(addr: SocketAddr, call: &StageCall) -> Vec<StageEvent> {
    let (status, body) = run(addr, call).await;
    assert_eq!(status, StatusCode::OK, "{body}");
    body.lines()
        .map(|line| serde_json::from_str(line).unwrap())
        .collect()
}

/// Sends a call and keeps its connection without reading the answer.
async fn hold(addr: SocketAddr, call: &StageCall) -> (client::Connection, hyper::body::Incoming) {
    let body = serde_json::to_vec(call).unwrap();
    let request = client::request(addr, Method::POST, "/v1/run", body).unwrap();
    let mut connection = client::Connection::open(addr, client::Version::Http1)
        .await
        .unwrap();
    let response = connection.send(request).await.unwrap();
    assert_eq!(response.status(), StatusCode::OK);
    (connection, response.into_body())
}

async fn refusal(addr: SocketAddr, call: &StageCall) -> (StatusCode, RefusalReason) {
    let (status, body) = run(addr, call).await;
    let refusal: Refusal = serde_json::from_str(&body).unwrap();
    (status, refusal.reason)
}

async fn load(addr: SocketAddr) -> LoadReport {
    client::get_json(addr, "/v1/load").await.unwrap()
}

async fn until(what: &str, mut condition: impl FnMut() -> bool) {
    for _ in 0..400 {
        if condition() {
            return;
        }
        sleep(Duration::from_millis(5)).await;
    }
    panic!("not reached: {what}");
}

#[tokio::test]
async fn each_kind_answers_its_pure_function() {
    for kind in [
        StageKind::Encode,
        StageKind::Retrieve,
        StageKind::Rerank,
        StageKind::Call,
    ] {
        let server = start(BackendSettings::new("server-1", kind)).await;
        let call = call("r-1", kind);
        let events = events(server.addr(), &call).await;
        let expected = stage_output(Step::from(kind), &call.input, &call.previous);
        match events.as_slice() {
            [StageEvent::Done { id, output, .. }] => {
                assert_eq!((id, output), (&call.id, &expected));
            }
            other => panic!("{other:?}"),
        }
        server.stop().await;
    }
}

#[tokio::test]
async fn a_generation_streams_its_tokens_and_resumes_after_them() {
    let server = start(BackendSettings::new("engine-1", StageKind::Generate)).await;
    let mut call = call("r-1", StageKind::Generate);
    let tokens = tokens_of(Step::from(call.kind), &call.input, &call.previous);
    for resume_from in [0, 3, tokens.len()] {
        call.resume_from = u32::try_from(resume_from).unwrap();
        call.id.attempt += 1;
        let events = events(server.addr(), &call).await;
        let (last, streamed) = events.split_last().unwrap();
        let texts: Vec<_> = streamed
            .iter()
            .map(|event| match event {
                StageEvent::Token { text, .. } => text.clone(),
                other => panic!("{other:?}"),
            })
            .collect();
        assert_eq!(texts, tokens[resume_from..]);
        assert!(
            matches!(last, StageEvent::Done { output, tokens: count, .. }
                if *output == Value::String(tokens.concat()) && *count as usize == tokens.len())
        );
    }
    server.stop().await;
}

#[tokio::test]
async fn a_full_queue_refuses_and_the_refused_call_has_not_run() {
    let server = start(BackendSettings {
        slots: 1,
        queue_limit: 1,
        service_us: 300_000,
        ..BackendSettings::new("calendar-1", StageKind::Call)
    })
    .await;
    let addr = server.addr();
    let _running = hold(addr, &call("r-1", StageKind::Call)).await;
    let _waiting = hold(addr, &call("r-2", StageKind::Call)).await;
    let refused = refusal(addr, &call("r-3", StageKind::Call)).await;
    assert_eq!(
        refused,
        (StatusCode::TOO_MANY_REQUESTS, RefusalReason::Full)
    );
    until("both ran", || server.ran().len() == 2).await;
    assert!(
        server
            .ran()
            .iter()
            .all(|ran| ran.id.request.as_str() != "r-3")
    );
}

#[tokio::test]
async fn a_higher_priority_goes_first() {
    let server = start(BackendSettings {
        slots: 1,
        service_us: 100_000,
        ..BackendSettings::new("calendar-1", StageKind::Call)
    })
    .await;
    let mut held = Vec::new();
    for (request, priority) in [("first", 0), ("low", 1), ("high", 9)] {
        let mut call = call(request, StageKind::Call);
        call.priority = priority;
        held.push(hold(server.addr(), &call).await);
    }
    until("all ran", || server.ran().len() == 3).await;
    let order: Vec<_> = server
        .ran()
        .iter()
        .map(|ran| ran.id.request.to_string())
        .collect();
    assert_eq!(order, ["first", "high", "low"]);
}

#[tokio::test]
async fn a_cancel_and_a_closed_connection_free_the_slot() {
    let server = start(BackendSettings {
        slots: 1,
        service_us: 10_000_000,
        ..BackendSettings::new("engine-1", StageKind::Generate)
    })
    .await;
    let by_message = call("r-1", StageKind::Generate);
    let _held = hold(server.addr(), &by_message).await;
    until("running", || server.ran().len() == 1).await;
    let cancel = Cancel {
        id: by_message.id.clone(),
    };
    client::send_json(server.addr(), Method::POST, "/v1/cancel", &cancel)
        .await
        .unwrap();
    until("cancelled", || server.ran()[0].state == RanState::Cancelled).await;
    let by_close = hold(server.addr(), &call("r-2", StageKind::Generate)).await;
    until("running", || server.ran().len() == 2).await;
    drop(by_close);
    until("cancelled", || server.ran()[1].state == RanState::Cancelled).await;
    server.stop().await;
}

#[tokio::test]
async fn a_call_that_is_sent_twice_runs_and_is_recorded_twice() {
    let server = start(BackendSettings {
        service_us: 50_000,
        ..BackendSettings::new("calendar-1", StageKind::Call)
    })
    .await;
    let call = call("r-1", StageKind::Call);
    let both = tokio::join!(events(server.addr(), &call), events(server.addr(), &call));
    assert_eq!((both.0.len(), both.1.len()), (1, 1));
    let states: Vec<_> = server.ran().iter().map(|ran| ran.state).collect();
    assert_eq!(states, [RanState::Done, RanState::Done]);
    assert_eq!(ran_more_than_once(&server.ran()).len(), 1);
    server.stop().await;
}

#[tokio::test]
async fn a_call_cancelled_while_it_waits_never_runs() {
    let server = start(BackendSettings {
        slots: 1,
        service_us: 100_000,
        ..BackendSettings::new("calendar-1", StageKind::Call)
    })
    .await;
    let _first = hold(server.addr(), &call("r-1", StageKind::Call)).await;
    let waiting = hold(server.addr(), &call("r-2", StageKind::Call)).await;
    drop(waiting);
    sleep(Duration::from_millis(20)).await;
    let answered = events(server.addr(), &call("r-3", StageKind::Call)).await;
    assert_eq!(answered.len(), 1);
    let requests: Vec<_> = server
        .ran()
        .iter()
        .map(|ran| ran.id.request.to_string())
        .collect();
    assert_eq!(requests, ["r-1", "r-3"]);
}

#[tokio::test]
async fn leaving_refuses_new_calls_and_finishes_the_running_one() {
    let server = start(BackendSettings {
        service_us: 100_000,
        load_lag_ms: 0,
        ..BackendSettings::new("calendar-1", StageKind::Call)
    })
    .await;
    let (_connection, body) = hold(server.addr(), &call("r-1", StageKind::Call)).await;
    server.set_faults(BackendFaults {
        leaving: true,
        ..BackendFaults::default()
    });
    let refused = refusal(server.addr(), &call("r-2", StageKind::Call)).await;
    assert_eq!(
        refused,
        (StatusCode::SERVICE_UNAVAILABLE, RefusalReason::Leaving)
    );
    let report = load(server.addr()).await;
    assert_eq!(report.state, ServingState::Leaving);
    let stopping = tokio::spawn(server.stop());
    let bytes = body.collect().await.unwrap().to_bytes();
    let event: StageEvent = serde_json::from_slice(&bytes).unwrap();
    assert!(matches!(event, StageEvent::Done { .. }));
    stopping.await.unwrap();
}

#[tokio::test]
async fn reported_load_lags() {
    let server = start(BackendSettings {
        service_us: 10_000_000,
        load_lag_ms: 500,
        ..BackendSettings::new("calendar-1", StageKind::Call)
    })
    .await;
    let _held = hold(server.addr(), &call("r-1", StageKind::Call)).await;
    let running = || async {
        let report = load(server.addr()).await;
        (report.running, report.age_ms)
    };
    assert_eq!(running().await, (0, 500));
    sleep(Duration::from_millis(550)).await;
    assert_eq!(running().await, (1, 500));
}

#[tokio::test]
async fn an_engine_that_checks_refuses_an_old_fencing_number() {
    for (fencing, status, applied) in [
        (Fencing::Checked, StatusCode::CONFLICT, false),
        (Fencing::Ignored, StatusCode::OK, true),
    ] {
        let server = start(BackendSettings {
            fencing,
            ..BackendSettings::new("engine-1", StageKind::Generate)
        })
        .await;
        let order = |fence, model: &str| {
            let action = OrderAction::Load {
                model: model.into(),
            };
            serde_json::to_vec(&Order { fence, action }).unwrap()
        };
        let path = "/v1/orders";
        let (first, _) =
            client::exchange(server.addr(), Method::POST, path, order(7, "chat-large"))
                .await
                .unwrap();
        assert_eq!(first, StatusCode::OK);
        let (second, body) =
            client::exchange(server.addr(), Method::POST, path, order(6, "chat-small"))
                .await
                .unwrap();
        let reply: OrderReply = serde_json::from_slice(&body).unwrap();
        assert_eq!((second, reply.applied), (status, applied));
        server.stop().await;
    }
}

#[tokio::test]
async fn a_model_serves_once_its_weights_are_loaded() {
    let addr = "127.0.0.1:0".parse().unwrap();
    let store = WeightServer::start(addr, WeightStore::new(1000))
        .await
        .unwrap();
    let sources = [
        WeightSource::Local(Arc::new(WeightStore::new(1000))),
        WeightSource::Remote(store.addr()),
    ];
    for weights in sources {
        let server = start(BackendSettings {
            weights,
            model_mb: 500,
            load_lag_ms: 0,
            ..BackendSettings::new("engine-1", StageKind::Generate)
        })
        .await;
        let mut call = call("r-1", StageKind::Generate);
        call.model = Some("chat-large".into());
        let missing = (StatusCode::SERVICE_UNAVAILABLE, RefusalReason::NoModel);
        assert_eq!(refusal(server.addr(), &call).await, missing);
        let order = Order {
            fence: 1,
            action: OrderAction::Load {
                model: "chat-large".into(),
            },
        };
        client::send_json(server.addr(), Method::POST, "/v1/orders", &order)
            .await
            .unwrap();
        assert_eq!(refusal(server.addr(), &call).await, missing);
        let loaded = async {
            while load(server.addr()).await.models.is_empty() {
                sleep(Duration::from_millis(10)).await;
            }
        };
        timeout(Duration::from_secs(10), loaded).await.unwrap();
        assert!(events(server.addr(), &call).await.len() > 1);
        server.stop().await;
    }
}

#[tokio::test]
async fn cache_events_tell_of_prefixes_with_gaps_in_their_numbers() {
    let server = start(BackendSettings {
        cache_lag_ms: 0,
        cache_lost_per_mille: 500,
        service_us: 100,
        token_us: 0,
        ..BackendSettings::new("engine-1", StageKind::Generate)
    })
    .await;
    for number in 0..20 {
        events(
            server.addr(),
            &call(&format!("r-{number}"), StageKind::Generate),
        )
        .await;
    }
    let reported: CacheEvents = client::get_json(server.addr(), "/v1/cache-events?from=0")
        .await
        .unwrap();
    let count = reported.events.len();
    assert!(0 < count && count < 20, "{count} of 20 events reported");
    server.stop().await;
}

#[tokio::test]
async fn mislabelled_events_carry_another_identifier() {
    let server = start(BackendSettings::new("server-1", StageKind::Encode)).await;
    for mislabel in [Mislabel::Request, Mislabel::Stage, Mislabel::Attempt] {
        server.set_faults(BackendFaults {
            mislabel: Some(mislabel),
            ..BackendFaults::default()
        });
        let call = call("r-1", StageKind::Encode);
        let events = events(server.addr(), &call).await;
        let id = events[0].id();
        let differs = [
            id.request != call.id.request,
            id.stage != call.id.stage,
            id.attempt != call.id.attempt,
        ];
        assert_eq!(differs.iter().filter(|differs| **differs).count(), 1);
    }
    server.stop().await;
}

#[tokio::test]
async fn duplicates_reordering_and_small_writes_keep_every_event() {
    let server = start(BackendSettings::new("engine-1", StageKind::Generate)).await;
    let call = call("r-1", StageKind::Generate);
    let clean = events(server.addr(), &call).await.len();
    server.set_faults(BackendFaults {
        duplicate_per_mille: 1000,
        max_write_bytes: 1,
        ..BackendFaults::default()
    });
    assert_eq!(events(server.addr(), &call).await.len(), 2 * clean);
    server.set_faults(BackendFaults {
        reorder: true,
        ..BackendFaults::default()
    });
    let reordered = events(server.addr(), &call).await;
    assert_eq!(reordered.len(), clean);
    assert!(matches!(reordered[0], StageEvent::Token { index: 1, .. }));
    server.stop().await;
}

#[tokio::test]
async fn a_cut_stream_ends_with_an_error() {
    let server = start(BackendSettings::new("engine-1", StageKind::Generate)).await;
    server.set_faults(BackendFaults {
        cut_after_events: Some(2),
        ..BackendFaults::default()
    });
    let (_connection, body) = hold(server.addr(), &call("r-1", StageKind::Generate)).await;
    assert!(body.collect().await.is_err());
    server.stop().await;
}

#[tokio::test]
async fn silenced_connections_never_move_again_while_new_ones_work() {
    let server = start(BackendSettings {
        service_us: 100_000,
        ..BackendSettings::new("server-1", StageKind::Encode)
    })
    .await;
    let (_connection, body) = hold(server.addr(), &call("r-1", StageKind::Encode)).await;
    let faults = BackendFaults {
        silence_established: true,
        ..BackendFaults::default()
    };
    let set = client::send_json(server.addr(), Method::POST, "/fault", &faults);
    timeout(Duration::from_secs(5), set).await.unwrap().unwrap();
    assert_eq!(
        events(server.addr(), &call("r-2", StageKind::Encode))
            .await
            .len(),
        1
    );
    let silent = timeout(Duration::from_millis(300), body.collect()).await;
    assert!(silent.is_err(), "{silent:?}");
}

#[tokio::test]
async fn frozen_answers_come_when_the_fault_is_lifted() {
    let server = start(BackendSettings::new("server-1", StageKind::Encode)).await;
    server.set_faults(BackendFaults {
        freeze: true,
        ..BackendFaults::default()
    });
    let (_connection, body) = hold(server.addr(), &call("r-1", StageKind::Encode)).await;
    let mut answer = Box::pin(body.collect());
    assert!(
        timeout(Duration::from_millis(100), &mut answer)
            .await
            .is_err()
    );
    server.set_faults(BackendFaults::default());
    assert!(!answer.await.unwrap().to_bytes().is_empty());
    server.stop().await;
}

#[tokio::test]
async fn failures_refusals_and_garbage_are_what_they_say() {
    let server = start(BackendSettings::new("server-1", StageKind::Encode)).await;
    server.set_faults(BackendFaults {
        fail_per_mille: 1000,
        ..BackendFaults::default()
    });
    let call = call("r-1", StageKind::Encode);
    let failed = events(server.addr(), &call).await;
    assert!(matches!(failed[0], StageEvent::Error { .. }));
    assert_eq!(server.ran()[0].state, RanState::Failed);
    server.set_faults(BackendFaults {
        refuse: Some(RefusalReason::Full),
        ..BackendFaults::default()
    });
    assert_eq!(refusal(server.addr(), &call).await.1, RefusalReason::Full);
    server.set_faults(BackendFaults {
        garbage_bytes: 100,
        ..BackendFaults::default()
    });
    let (_, body) = run(server.addr(), &call).await;
    let first = body.lines().next().unwrap();
    assert!(serde_json::from_str::<Value>(first).is_err());
    server.stop().await;
}
