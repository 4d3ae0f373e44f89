//! Backend servers that leave get no new work, and interrupt nothing.

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

/// Time after which a leaving backend server gets no new work.
const NOTICED: Duration = Duration::from_secs(2);
/// Time by which the list lags.
const LIST_LAG: Duration = Duration::from_secs(2);

/// Sends requests one after another until `deadline`; each must be complete.
/// Returns how many calls were sent beyond the first of each stage.
async fn ask_until(deployment: &Deployment, deadline: Instant) -> u32 {
    let mut spare_calls = 0;
    while Instant::now() < deadline {
        let input = json!({ "at": format!("{:?}", Instant::now()) });
        let (status, answer) = deployment.ask(&input).await;
        assert_eq!(status, StatusCode::OK, "{answer:?}");
        assert_eq!(answer.output, Some(expected(&input)));
        spare_calls += answer.stages.iter().map(|x| x.calls - 1).sum::<u32>();
    }
    spare_calls
}

/// Sends streamed requests one after another; each must be complete.
async fn keep_asking(addr: SocketAddr, asker: u32, is_over: Arc<AtomicBool>) {
    for number in 0.. {
        if is_over.load(Ordering::Relaxed) {
            return;
        }
        let input = json!({ "asker": asker, "number": number });
        let accept = [("accept", "application/x-ndjson")];
        let reply = submit(addr, "quote", &input, &accept).await;
        let body = read_body(reply).await;
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
    // Until it is noticed, a refused call costs a second one but no answer.
    ask_until(&deployment, Instant::now() + NOTICED).await;

    let spare_calls = ask_until(&deployment, Instant::now() + Duration::from_secs(1)).await;

    assert_eq!(spare_calls, 0, "calls were sent to leaving backend servers");
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
    ask_until(&deployment, Instant::now() + LIST_LAG + NOTICED).await;
    let ran = |deployment: &Deployment| -> usize {
        let firsts = deployment.backends.iter().step_by(2);
        firsts.map(|backend| backend.ran().len()).sum()
    };
    let before = ran(&deployment);

    ask_until(&deployment, Instant::now() + Duration::from_secs(1)).await;

    assert_eq!(ran(&deployment), before);
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
    let is_over = Arc::new(AtomicBool::new(false));
    let askers: Vec<_> = (0..6)
        .map(|asker| tokio::spawn(keep_asking(addr, asker, Arc::clone(&is_over))))
        .collect();
    time::sleep(Duration::from_millis(150)).await;

    // Every first backend server stops, one after another, with streams open.
    for index in [6, 4, 2, 0] {
        deployment.backends.remove(index).stop().await;
    }

    is_over.store(true, Ordering::Relaxed);
    for asker in askers {
        asker.await.unwrap();
    }
    let input = json!("afterwards");
    let (status, answer) = read_answer(submit(addr, "quote", &input, &[]).await).await;
    assert_eq!(status, StatusCode::OK);
    assert_eq!(answer.output, Some(expected(&input)));
}
