//! Leaving backend servers get no new calls, and their stop interrupts no request.

mod common;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use common::{Deployment, KINDS, ZONE, expected, read_answer, read_body, submit};
use http::StatusCode;
use savoryvane_core::outcome::Outcome;
use savoryvane_standins::BackendFaults;
use savoryvane_wire::{
    caller::AnswerEvent,
    platform::{Listed, ListedRole, ListedState},
};
use serde_json::json;
use tokio::time::{self, Instant};

/// Time after which a leaving backend server gets no new calls.
const DETECTION_TIME: Duration = Duration::from_secs(2);
/// Propagation delay of the instance list.
const LIST_LAG: Duration = Duration::from_secs(2);

/// Sends requests in sequence until `deadline` and checks that each completes.
/// Returns the number of calls beyond the first call of each stage.
async fn send_until(deployment: &Deployment, deadline: Instant) -> u32 {
    let mut retried_calls = 0;
    while Instant::now() < deadline {
        let input = json!({ "at": format!("{:?}", Instant::now()) });
        let (status, answer) = deployment.request_quote(&input).await;
        assert_eq!(status, StatusCode::OK, "{answer:?}");
        assert_eq!(answer.output, Some(expected(&input)));
        retried_calls += answer.stages.iter().map(|x| x.calls - 1).sum::<u32>();
    }
    retried_calls
}

/// Sends streamed requests in sequence until `is_done` is set, and checks that each
/// completes.
async fn stream_until_done(addr: SocketAddr, client: u32, is_done: Arc<AtomicBool>) {
    for number in 0.. {
        if is_done.load(Ordering::Relaxed) {
            return;
        }
        let input = json!({ "asker": client, "number": number });
        let accept = [("accept", "application/x-ndjson")];
        let response = submit(addr, "quote", &input, &accept).await;
        let body = read_body(response).await;
        let last = body.split(|b| *b == b'\n').rfind(|x| !x.is_empty());
        let last = serde_json::from_slice(last.unwrap()).unwrap();
        let AnswerEvent::Final(answer) = last else {
            panic!("no final answer: {last:?}");
        };
        assert_eq!(answer.outcome, Outcome::Complete, "{answer:?}");
        assert_eq!(answer.output, Some(expected(&input)));
    }
}

#[tokio::test]
async fn leaving_backend_gets_no_new_work_after_two_seconds() {
    let deployment = Deployment::start().await;
    for backend in deployment.backends.iter().step_by(2) {
        backend.set_faults(BackendFaults {
            leaving: true,
            ..BackendFaults::default()
        });
    }
    // Until the state is detected, a refused call is retried and no request fails.
    send_until(&deployment, Instant::now() + DETECTION_TIME).await;

    let retried_calls = send_until(&deployment, Instant::now() + Duration::from_secs(1)).await;

    assert_eq!(
        retried_calls, 0,
        "calls were sent to leaving backend servers"
    );
}

#[tokio::test]
async fn backend_that_only_the_list_calls_leaving_gets_no_new_work() {
    let deployment = Deployment::start().await;
    for (index, (name, _)) in KINDS.iter().enumerate() {
        deployment.list.put(Listed {
            name: format!("{name}-0"),
            role: ListedRole::Backend,
            zone: ZONE.into(),
            addr: deployment.backends[index * 2].addr(),
            state: ListedState::Leaving,
        });
    }
    send_until(&deployment, Instant::now() + LIST_LAG + DETECTION_TIME).await;
    let count_first_server_calls = |deployment: &Deployment| -> usize {
        let first_servers = deployment.backends.iter().step_by(2);
        first_servers.map(|backend| backend.ran().len()).sum()
    };
    let calls_before = count_first_server_calls(&deployment);

    send_until(&deployment, Instant::now() + Duration::from_secs(1)).await;

    assert_eq!(count_first_server_calls(&deployment), calls_before);
}

#[tokio::test]
async fn planned_stop_of_a_backend_interrupts_no_stream() {
    let mut deployment = Deployment::start().await;
    for backend in &deployment.backends {
        backend.set_faults(BackendFaults {
            slow_per_mille: 10_000,
            ..BackendFaults::default()
        });
    }
    let addr = deployment.caller();
    let is_done = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..6)
        .map(|client| tokio::spawn(stream_until_done(addr, client, Arc::clone(&is_done))))
        .collect();
    time::sleep(Duration::from_millis(150)).await;

    // Stops the first backend server of each stage in sequence, with streams open.
    for index in [6, 4, 2, 0] {
        deployment.backends.remove(index).stop().await;
    }

    is_done.store(true, Ordering::Relaxed);
    for client in clients {
        client.await.unwrap();
    }
    let input = json!("afterwards");
    let (status, answer) = read_answer(submit(addr, "quote", &input, &[]).await).await;
    assert_eq!(status, StatusCode::OK);
    assert_eq!(answer.output, Some(expected(&input)));
}
