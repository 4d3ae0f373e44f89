//! At-most-once execution of non-idempotent requests while entry processes are
//! killed or frozen and while the log fails.

mod common;
#[path = "common/process.rs"]
#[allow(dead_code, reason = "each test file uses a part of it")]
mod process;

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use common::{
    Deployment, ZONE, confirm, credential, expected, read_answer, request_ticket, send,
    settings_text, submit,
};
use http::{Method, StatusCode};
use process::Entry;
use savoryvane_core::outcome::Outcome;
use savoryvane_standins::{
    BackendFaults, LinkFaults, ListServer, ListSettings, LogFaults, LogServer, LogSettings, Relay,
    RelaySettings, client::Version,
};
use savoryvane_wire::{
    caller::Answer,
    platform::{Listed, ListedRole, ListedState},
};
use serde_json::{Value, json};
use tokio::time;

const KEY_HEADER: &str = "idempotency-key";
const TICKET_HEADER: &str = "x-ticket";
const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Time limit for reporting a refusal or an unknown outcome, well below the
/// deadline of the pipeline.
const PROMPT_LIMIT: Duration = Duration::from_millis(1_500);
/// Slow-down factor that keeps a call running for some seconds.
const SLOW_PER_MILLE: u32 = 1_000_000;

/// Two connected entry instances.
struct Pair {
    deployment: Deployment,
    entries: Vec<Entry>,
}

impl Pair {
    async fn start(extra_settings: &str) -> Self {
        Self::with_log(extra_settings, LogSettings::default()).await
    }

    async fn with_log(extra_settings: &str, log: LogSettings) -> Self {
        let mut deployment = Deployment::without_instances(extra_settings).await;
        deployment.log = LogServer::start(log).await.unwrap();
        let lag_ms = 0;
        let list = ListSettings {
            lag_ms,
            ..ListSettings::default()
        };
        deployment.list = ListServer::start(list).await.unwrap();
        let mut pair = Self {
            deployment,
            entries: Vec::new(),
        };
        pair.add("entry-1", ZONE, None).await;
        confirm(pair.entries[0].admin, &pair.deployment.intent()).await;
        pair.add("entry-2", ZONE, None).await;
        pair.wait_connected().await;
        pair
    }

    /// Adds an instance, which connects to the log at `log` if given.
    async fn add(&mut self, name: &str, zone: &str, log: Option<SocketAddr>) {
        let (log_addr, list) = (self.deployment.log.addr(), self.deployment.list.addr());
        let extra = &self.deployment.extra_settings;
        let settings = settings_text(name, log.unwrap_or(log_addr), list, extra);
        let settings = settings.replace(&format!("zone: {ZONE}"), &format!("zone: {zone}"));
        let entry = tokio::task::spawn_blocking(move || Entry::start(&settings))
            .await
            .unwrap();
        let ready = async || {
            let probe = send(Version::Http1, entry.caller, Method::GET, "/ready", "", &[]);
            probe.await.status() == StatusCode::OK
        };
        eventually(ready).await;
        self.list(name, zone, entry.peer);
        self.entries.push(entry);
    }

    fn list(&self, name: &str, zone: &str, addr: SocketAddr) {
        self.deployment.list.put(Listed {
            name: name.to_owned(),
            role: ListedRole::Entry,
            zone: zone.into(),
            addr,
            state: ListedState::Live,
        });
    }

    /// Waits until each instance can make claims and the second instance is
    /// connected to the first.
    async fn wait_connected(&self) {
        eventually(async || {
            let ticket = self.ticket(0).await;
            let input = json!({ "linked": ticket });
            self.request(1, &input, &[(TICKET_HEADER, &ticket)])
                .await
                .1
                .outcome
                == Outcome::Complete
        })
        .await;
        for index in 0..self.entries.len() {
            let key = format!("ready-{index}");
            eventually(async || {
                let response = self
                    .request(index, &json!(key), &[(KEY_HEADER, &key)])
                    .await;
                response.1.outcome == Outcome::Complete
            })
            .await;
        }
    }

    async fn request(
        &self,
        index: usize,
        input: &Value,
        headers: &[(&str, &str)],
    ) -> (StatusCode, Answer) {
        request(self.entries[index].caller, input, headers).await
    }

    async fn ticket(&self, index: usize) -> String {
        request_ticket(self.entries[index].caller).await
    }

    /// Returns how often the non-idempotent call was run for `input`.
    fn run_count(&self, input: &Value) -> usize {
        let backends = self.deployment.backends.iter();
        let calls = backends.flat_map(|backend| backend.ran());
        calls
            .filter(|call| call.id.stage.as_str() == "encode" && call.input == *input)
            .count()
    }

    fn set_log_faults(&self, faults: LogFaults) {
        self.deployment.log.set_faults(faults);
    }

    fn slow_down(&self) {
        for backend in &self.deployment.backends {
            backend.set_faults(BackendFaults {
                slow_per_mille: SLOW_PER_MILLE,
                ..BackendFaults::default()
            });
        }
    }

    /// Sends a request without waiting for the answer, which may never arrive.
    fn spawn_request(&self, index: usize, input: &Value, headers: &[(&str, &str)]) {
        let (caller, input) = (self.entries[index].caller, input.clone());
        let headers: Vec<_> = headers
            .iter()
            .map(|(name, value)| ((*name).to_owned(), (*value).to_owned()))
            .collect();
        tokio::spawn(async move {
            let headers: Vec<_> = headers
                .iter()
                .map(|(n, v)| (n.as_str(), v.as_str()))
                .collect();
            submit(caller, "hold", &input, &headers).await
        });
    }
}

async fn request(
    caller: SocketAddr,
    input: &Value,
    headers: &[(&str, &str)],
) -> (StatusCode, Answer) {
    read_answer(submit(caller, "hold", input, headers).await).await
}

async fn eventually(mut condition: impl AsyncFnMut() -> bool) {
    let poll = async {
        while !condition().await {
            time::sleep(Duration::from_millis(20)).await;
        }
    };
    time::timeout(Duration::from_secs(20), poll)
        .await
        .expect("waited for too long");
}

async fn sleep_ms(ms: u64) {
    time::sleep(Duration::from_millis(ms)).await;
}

#[tokio::test]
async fn repeats_at_two_instances_at_the_same_moment_run_once() {
    let pair = Pair::start("").await;
    for number in 0..30 {
        let input = json!({ "number": number });
        let key = format!("same-moment-{number}");
        let headers = [(KEY_HEADER, key.as_str())];
        let response = tokio::join!(
            pair.request(0, &input, &headers),
            pair.request(1, &input, &headers),
            pair.request(1, &input, &headers)
        );
        for (status, answer) in [response.0, response.1, response.2] {
            assert_eq!(status, StatusCode::OK, "{answer:?}");
            assert_eq!(answer.output, Some(expected(&input)));
        }
        assert_eq!(pair.run_count(&input), 1);
    }
}

#[tokio::test]
async fn a_repeat_later_at_another_instance_gets_the_first_answer() {
    let pair = Pair::start("").await;
    let input = json!("room on friday");
    let first = pair.request(0, &input, &[(KEY_HEADER, "later")]).await.1;

    let (status, repeat) = pair.request(1, &input, &[(KEY_HEADER, "later")]).await;
    let (misuse, other) = pair
        .request(1, &json!("another"), &[(KEY_HEADER, "later")])
        .await;

    assert_eq!(status, StatusCode::OK);
    assert_eq!(repeat.output, first.output);
    assert_ne!(repeat.request_id, first.request_id);
    assert_eq!(misuse, StatusCode::UNPROCESSABLE_ENTITY);
    assert_eq!(other.outcome, Outcome::NotStarted);
    assert_eq!(
        (pair.run_count(&input), pair.run_count(&json!("another"))),
        (1, 0)
    );
}

/// Keys are scoped to a workspace: a request of another workspace with the same key
/// gets neither the first one's answer nor its refusal.
#[tokio::test]
async fn the_same_key_in_another_workspace_is_another_key() {
    let pair = Pair::start("").await;
    let input = json!("room on sunday");
    let first = pair.request(0, &input, &[(KEY_HEADER, "shared")]).await.1;
    let bearer = format!("Bearer {}", credential("taalghar"));
    let headers = [
        (KEY_HEADER, "shared"),
        ("x-workspace", "taalghar"),
        ("authorization", &*bearer),
    ];

    let (status, second) = pair.request(1, &input, &headers).await;
    let (other_status, other) = pair.request(1, &json!("another"), &headers).await;

    assert_eq!(first.outcome, Outcome::Complete);
    assert_eq!(
        (status, second.outcome),
        (StatusCode::OK, Outcome::Complete)
    );
    assert_eq!(pair.run_count(&input), 2);
    assert_eq!(other_status, StatusCode::UNPROCESSABLE_ENTITY);
    assert_eq!(other.outcome, Outcome::NotStarted);
}

/// The claim is in the log, but the instance is killed before it reads the claim
/// back.
#[tokio::test]
async fn killed_before_sending_is_unknown_at_once_and_never_run() {
    let mut pair = Pair::start("").await;
    let input = json!("killed before");
    pair.set_log_faults(LogFaults {
        delivery_delay_ms: 400,
        ..LogFaults::default()
    });
    pair.spawn_request(0, &input, &[(KEY_HEADER, "killed-before")]);
    sleep_ms(150).await;
    pair.entries[0].kill();
    pair.set_log_faults(LogFaults::default());
    sleep_ms(300).await;

    let started = Instant::now();
    let (status, answer) = pair
        .request(1, &input, &[(KEY_HEADER, "killed-before")])
        .await;

    assert_eq!(answer.outcome, Outcome::Unknown, "{answer:?}");
    assert_eq!(status, StatusCode::INTERNAL_SERVER_ERROR);
    assert!(started.elapsed() < PROMPT_LIMIT);
    assert_eq!(pair.run_count(&input), 0);
}

#[tokio::test]
async fn killed_after_sending_is_unknown_at_once_and_not_run_again() {
    let mut pair = Pair::start("").await;
    let input = json!("killed after");
    pair.slow_down();
    pair.spawn_request(0, &input, &[(KEY_HEADER, "killed-after")]);
    eventually(async || pair.run_count(&input) == 1).await;
    pair.entries[0].kill();

    for _ in 0..2 {
        let started = Instant::now();
        let (_, answer) = pair
            .request(1, &input, &[(KEY_HEADER, "killed-after")])
            .await;
        assert_eq!(answer.outcome, Outcome::Unknown, "{answer:?}");
        assert!(started.elapsed() < PROMPT_LIMIT);
    }
    assert_eq!(pair.run_count(&input), 1);
}

/// The instance is frozen before the log delivers its claim, until after the
/// request's deadline.
#[tokio::test]
async fn frozen_past_its_deadline_sends_nothing_after_the_thaw() {
    let pair = Pair::start("").await;
    let input = json!("frozen");
    pair.set_log_faults(LogFaults {
        delivery_delay_ms: 300,
        ..LogFaults::default()
    });
    let first = [
        (KEY_HEADER, "frozen"),
        (DEADLINE_HEADER, "1000"),
        ("x-request-id", "first"),
    ];
    pair.spawn_request(0, &input, &first);
    sleep_ms(150).await;
    pair.entries[0].freeze();
    sleep_ms(1_200).await;
    assert_eq!(pair.run_count(&input), 0);
    let caller = pair.entries[1].caller;
    let repeat_input = input.clone();
    let repeat =
        tokio::spawn(
            async move { request(caller, &repeat_input, &[(KEY_HEADER, "frozen")]).await },
        );
    sleep_ms(200).await;
    pair.entries[0].thaw();

    // The first instance releases its claim when it resumes, so the repeat is run.
    let (_, answer) = repeat.await.unwrap();
    assert_eq!(answer.outcome, Outcome::Complete, "{answer:?}");
    assert_eq!(pair.run_count(&input), 1);
    let backends = pair.deployment.backends.iter();
    let mut calls = backends.flat_map(|backend| backend.ran());
    assert!(calls.all(|call| call.id.request.as_str() != "first"));
}

/// Freezes the instance at different points of a request until after its deadline,
/// while the caller repeats the request at the other instance.
#[tokio::test]
async fn frozen_at_any_moment_runs_at_most_once_and_not_run_is_true() {
    let pair = Pair::start("").await;
    for step in 0..24_u64 {
        let input = json!({ "step": step });
        let key = format!("any-moment-{step}");
        let (caller, first_input, first_key) = (pair.entries[0].caller, input.clone(), key.clone());
        let first = tokio::spawn(async move {
            request(
                caller,
                &first_input,
                &[(KEY_HEADER, first_key.as_str()), (DEADLINE_HEADER, "300")],
            )
            .await
            .1
        });
        time::sleep(Duration::from_micros(step * 500)).await;
        pair.entries[0].freeze();
        let ran_before = pair.run_count(&input);
        let headers = [(KEY_HEADER, key.as_str()), (DEADLINE_HEADER, "700")];
        let thaw = async {
            sleep_ms(400).await;
            pair.entries[0].thaw();
        };
        let ((_, repeat), ()) = tokio::join!(pair.request(1, &input, &headers), thaw);
        let first = first.await.unwrap();
        let later = pair
            .request(1, &input, &[(KEY_HEADER, key.as_str())])
            .await
            .1;

        let run_count = pair.run_count(&input);
        assert!(run_count <= 1, "{step}: ran {run_count} times");
        for answer in [&first, &repeat, &later] {
            let is_complete = answer.outcome == Outcome::Complete;
            assert!(!is_complete || answer.output == Some(expected(&input)));
        }
        assert!(
            first.outcome != Outcome::NotRun || ran_before == 0,
            "{step}"
        );
        assert!(later.outcome != Outcome::NotRun || run_count == 0, "{step}");
    }
}

#[tokio::test]
async fn an_append_whose_answer_is_lost_is_run_once() {
    let pair = Pair::start("").await;
    pair.set_log_faults(LogFaults {
        lose_append_answers: true,
        ..LogFaults::default()
    });
    for (number, index) in (0..6).zip([0, 1].into_iter().cycle()) {
        let input = json!({ "lost": number });
        let key = format!("lost-{number}");
        let (_, answer) = pair.request(index, &input, &[(KEY_HEADER, &key)]).await;
        // After too many missing responses the log counts as unavailable.
        let is_refused = number > 0 && answer.outcome == Outcome::NotStarted;
        assert!(
            is_refused || answer.outcome == Outcome::Complete,
            "{answer:?}"
        );
        assert_eq!(pair.run_count(&input), usize::from(!is_refused));
    }
    pair.set_log_faults(LogFaults::default());
    for number in 0..6 {
        let input = json!({ "lost": number });
        let key = format!("lost-{number}");
        eventually(async || {
            let response = pair.request(1, &input, &[(KEY_HEADER, &key)]).await;
            response.1.outcome == Outcome::Complete
        })
        .await;
        assert_eq!(pair.run_count(&input), 1);
    }
}

#[tokio::test]
async fn while_the_log_is_away_keys_are_refused_at_once_and_tickets_run() {
    let pair = Pair::start("").await;
    pair.set_log_faults(LogFaults {
        outage: true,
        ..LogFaults::default()
    });
    // Until the outage is detected, requests wait for their claim.
    let detection = [(KEY_HEADER, "notices"), (DEADLINE_HEADER, "600")];
    pair.request(0, &json!("notices"), &detection).await;
    let started = Instant::now();
    let (status, refused) = pair
        .request(0, &json!("away"), &[(KEY_HEADER, "away")])
        .await;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(refused.outcome, Outcome::NotStarted, "{refused:?}");
    assert_eq!(refused.reason.as_deref(), Some("log_away"));
    assert!(refused.retry_after_ms.is_some());
    assert!(started.elapsed() < Duration::from_millis(200));
    for number in 0..20 {
        let input = json!({ "ticket": number });
        let ticket = pair.ticket(number % 2).await;
        let headers = [(TICKET_HEADER, ticket.as_str())];
        let answers = tokio::join!(
            pair.request(0, &input, &headers),
            pair.request(1, &input, &headers)
        );
        for (_, answer) in [answers.0, answers.1] {
            assert_eq!(answer.output, Some(expected(&input)), "{answer:?}");
        }
        assert_eq!(pair.run_count(&input), 1);
    }
    pair.set_log_faults(LogFaults::default());
    eventually(async || {
        let response = pair
            .request(0, &json!("away"), &[(KEY_HEADER, "away")])
            .await;
        response.1.outcome == Outcome::Complete
    })
    .await;
    assert_eq!(pair.run_count(&json!("away")), 1);
}

#[tokio::test]
async fn an_instance_cut_from_the_log_refuses_keys_and_runs_its_tickets() {
    let mut pair = Pair::start("").await;
    let to_log = relay(pair.deployment.log.addr()).await;
    pair.add("entry-3", ZONE, Some(to_log.addr())).await;
    let is_connected = async || {
        let ticket = pair.ticket(0).await;
        let response = pair
            .request(2, &json!(ticket), &[(TICKET_HEADER, &ticket)])
            .await;
        response.1.outcome == Outcome::Complete
    };
    eventually(is_connected).await;
    let cut = LinkFaults {
        cut: true,
        ..LinkFaults::default()
    };

    to_log.set_faults(cut);
    let (key, input) = (
        [(KEY_HEADER, "cut"), (DEADLINE_HEADER, "1000")],
        json!("cut"),
    );
    let refused = pair.request(2, &input, &key).await.1;
    assert_eq!(refused.outcome, Outcome::NotStarted, "{refused:?}");
    assert_eq!(pair.run_count(&input), 0);
    let ticket = pair.ticket(2).await;
    let served = pair
        .request(2, &json!("own"), &[(TICKET_HEADER, &ticket)])
        .await
        .1;
    assert_eq!(served.outcome, Outcome::Complete, "{served:?}");
    let first = pair.request(0, &input, &key).await.1;
    to_log.set_faults(LinkFaults::default());
    eventually(async || pair.request(2, &input, &key).await.1.output == first.output).await;
    assert_eq!(pair.run_count(&input), 1);
}

/// To another instance, a frozen claim holder looks the same as one in a
/// partitioned zone.
#[tokio::test]
async fn a_holder_that_went_silent_is_unknown_long_before_the_deadline() {
    let pair = Pair::start("").await;
    let (key, input) = ([(KEY_HEADER, "silent")], json!("silent"));
    pair.slow_down();
    pair.spawn_request(0, &input, &key);
    eventually(async || pair.run_count(&input) == 1).await;
    pair.entries[0].freeze();

    let started = Instant::now();
    let answer = pair.request(1, &input, &key).await.1;

    pair.entries[0].thaw();
    assert_eq!(answer.outcome, Outcome::Unknown, "{answer:?}");
    assert!(started.elapsed() < 2 * PROMPT_LIMIT);
    assert_eq!(pair.run_count(&input), 1);
}

/// The partition is made by a relay at the first instance's listed address, because
/// instances of other zones connect to the listed address.
#[tokio::test]
async fn zones_cut_from_each_other_run_nothing_twice() {
    let mut pair = Pair::start("").await;
    let to_first = relay(pair.entries[0].peer).await;
    pair.list("entry-1", ZONE, to_first.addr());
    pair.add("entry-3", "hal-gouda", None).await;
    eventually(async || {
        let ticket = pair.ticket(0).await;
        let response = pair
            .request(2, &json!(ticket), &[(TICKET_HEADER, &ticket)])
            .await;
        response.1.outcome == Outcome::Complete
    })
    .await;
    to_first.set_faults(LinkFaults {
        cut: true,
        ..LinkFaults::default()
    });

    // Both zones still accept keys, and read results of other zones from the log.
    let input = json!("ended");
    let first = pair.request(0, &input, &[(KEY_HEADER, "ended")]).await.1;
    assert_eq!(first.outcome, Outcome::Complete);
    let repeat = pair.request(2, &input, &[(KEY_HEADER, "ended")]).await.1;
    assert_eq!(repeat.output, first.output, "{repeat:?}");
    let other = pair
        .request(2, &json!("other"), &[(KEY_HEADER, "other")])
        .await
        .1;
    assert_eq!(other.outcome, Outcome::Complete, "{other:?}");
    // A request running in the other zone is reported as unknown, and a ticket of
    // the other zone is not run.
    let (key, input) = ([(KEY_HEADER, "parted")], json!("parted"));
    let ticket = pair.ticket(0).await;
    pair.slow_down();
    pair.spawn_request(0, &input, &key);
    eventually(async || pair.run_count(&input) == 1).await;
    let started = Instant::now();
    let (headers, unused) = ([(TICKET_HEADER, ticket.as_str())], json!("foreign"));
    let (running_elsewhere, foreign) = tokio::join!(
        pair.request(2, &input, &key),
        pair.request(2, &unused, &headers)
    );
    assert_eq!(
        running_elsewhere.1.outcome,
        Outcome::Unknown,
        "{running_elsewhere:?}"
    );
    let outcome = foreign.1.outcome;
    let is_run = !matches!(outcome, Outcome::NotStarted | Outcome::Unknown);
    assert!(!is_run, "{foreign:?}");
    assert!(started.elapsed() < 2 * PROMPT_LIMIT);
    assert_eq!((pair.run_count(&input), pair.run_count(&unused)), (1, 0));
}

async fn relay(to: SocketAddr) -> Relay {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let settings = RelaySettings {
        addr: any,
        to,
        control: any,
    };
    Relay::start(settings).await.unwrap()
}

#[tokio::test]
async fn a_slow_log_makes_claims_slow_and_nothing_else() {
    let pair = Pair::start("").await;
    pair.set_log_faults(LogFaults {
        slow_ms: 300,
        ..LogFaults::default()
    });
    let input = json!("slow");
    let headers = [(KEY_HEADER, "slow")];
    let response = tokio::join!(
        pair.request(0, &input, &headers),
        pair.request(1, &input, &headers)
    );
    for (_, answer) in [response.0, response.1] {
        assert_eq!(answer.outcome, Outcome::Complete, "{answer:?}");
    }
    assert_eq!(pair.run_count(&input), 1);
}

/// An instance that missed records of the claim window refuses keys until it has
/// read a full window. An instance that read the records keeps accepting keys.
#[tokio::test]
async fn records_lost_before_their_time_stop_claims_for_the_window() {
    let pair = Pair::start("claims: {window_ms: 3000}").await;
    let input = json!("expiry");
    let headers = [(KEY_HEADER, "expiry")];
    pair.entries[1].freeze();
    // The pending read of the frozen instance returns this record.
    pair.request(0, &json!("other"), &[(KEY_HEADER, "other")])
        .await;
    sleep_ms(200).await;
    let first = pair.request(0, &input, &headers).await.1;
    assert_eq!(first.outcome, Outcome::Complete);
    sleep_ms(200).await;
    pair.set_log_faults(LogFaults {
        trim: true,
        ..LogFaults::default()
    });
    pair.entries[1].thaw();

    let (_, refused) = pair.request(1, &input, &headers).await;
    assert_eq!(refused.outcome, Outcome::NotStarted, "{refused:?}");
    assert_eq!(refused.reason.as_deref(), Some("claims_incomplete"));
    assert_eq!(
        pair.request(0, &input, &headers).await.1.output,
        first.output
    );
    assert_eq!(pair.run_count(&input), 1);
    eventually(async || {
        let response = pair.request(1, &json!("new"), &[(KEY_HEADER, "new")]).await;
        response.1.outcome == Outcome::Complete
    })
    .await;
    assert_eq!(pair.run_count(&json!("new")), 1);
}

#[tokio::test]
async fn a_ticket_is_run_by_its_issuer_only() {
    let mut pair = Pair::start("").await;
    let input = json!("ticket");
    let ticket = pair.ticket(0).await;
    let unused = pair.ticket(0).await;
    let headers = [(TICKET_HEADER, ticket.as_str())];
    let first = pair.request(1, &input, &headers).await.1;
    assert_eq!(first.output, Some(expected(&input)), "{first:?}");
    assert_eq!(
        pair.request(0, &input, &headers).await.1.output,
        first.output
    );
    let (status, _) = pair.request(0, &json!("another"), &headers).await;
    assert_eq!(status, StatusCode::UNPROCESSABLE_ENTITY);
    let both = [(TICKET_HEADER, ticket.as_str()), (KEY_HEADER, "both")];
    assert_eq!(
        pair.request(0, &input, &both).await.0,
        StatusCode::BAD_REQUEST
    );

    pair.entries[0].kill();

    for ticket in [&ticket, &unused] {
        let started = Instant::now();
        let (_, answer) = pair.request(1, &input, &[(TICKET_HEADER, ticket)]).await;
        assert!(
            matches!(answer.outcome, Outcome::NotStarted | Outcome::Unknown),
            "{answer:?}"
        );
        assert!(started.elapsed() < PROMPT_LIMIT);
    }
    assert_eq!(pair.run_count(&input), 1);
}
