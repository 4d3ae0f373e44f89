//! Requests that may not be run twice, through real processes that are killed
//! and frozen, and a log that fails.

mod common;
#[path = "common/process.rs"]
#[allow(dead_code, reason = "each test file uses a part of it")]
mod process;

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use common::{
    Deployment, ZONE, confirm, credential, expected, read_answer, send, settings_text, submit,
    take_ticket,
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

const KEY: &str = "idempotency-key";
const TICKET: &str = "x-ticket";
const DEADLINE: &str = "x-deadline-ms";
/// A refusal or an unknown outcome is told within this time, long before the
/// deadline of the pipeline.
const AT_ONCE: Duration = Duration::from_millis(1_500);
/// Factor on service times that keeps a call running for some seconds.
const SLOW_PER_MILLE: u32 = 1_000_000;

/// Two entry instances that know each other.
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
        pair.wait_linked().await;
        pair
    }

    /// Adds an instance, which reaches the log at `log` if that is given.
    async fn add(&mut self, name: &str, zone: &str, log: Option<SocketAddr>) {
        let (own, list) = (self.deployment.log.addr(), self.deployment.list.addr());
        let extra = &self.deployment.extra_settings;
        let settings = settings_text(name, log.unwrap_or(own), list, extra);
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

    /// Waits until a claim can be made at each instance and the second one
    /// reaches the first.
    async fn wait_linked(&self) {
        eventually(async || {
            let ticket = self.ticket(0).await;
            let input = json!({ "linked": ticket });
            self.ask(1, &input, &[(TICKET, &ticket)]).await.1.outcome == Outcome::Complete
        })
        .await;
        for at in 0..self.entries.len() {
            let key = format!("ready-{at}");
            eventually(async || {
                let asked = self.ask(at, &json!(key), &[(KEY, &key)]).await;
                asked.1.outcome == Outcome::Complete
            })
            .await;
        }
    }

    async fn ask(
        &self,
        at: usize,
        input: &Value,
        headers: &[(&str, &str)],
    ) -> (StatusCode, Answer) {
        ask(self.entries[at].caller, input, headers).await
    }

    async fn ticket(&self, at: usize) -> String {
        take_ticket(self.entries[at].caller).await
    }

    /// How often the call that may not be repeated ran for `input`.
    fn ran(&self, input: &Value) -> usize {
        let backends = self.deployment.backends.iter();
        let calls = backends.flat_map(|backend| backend.ran());
        calls
            .filter(|call| call.id.stage.as_str() == "encode" && call.input == *input)
            .count()
    }

    fn set_log(&self, faults: LogFaults) {
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

    /// Sends a request whose answer may never come.
    fn send_off(&self, at: usize, input: &Value, headers: &[(&str, &str)]) {
        let (caller, input) = (self.entries[at].caller, input.clone());
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

async fn ask(caller: SocketAddr, input: &Value, headers: &[(&str, &str)]) -> (StatusCode, Answer) {
    read_answer(submit(caller, "hold", input, headers).await).await
}

async fn eventually(mut is_so: impl AsyncFnMut() -> bool) {
    let waiting = async {
        while !is_so().await {
            time::sleep(Duration::from_millis(20)).await;
        }
    };
    time::timeout(Duration::from_secs(20), waiting)
        .await
        .expect("waited for too long");
}

async fn pause(ms: u64) {
    time::sleep(Duration::from_millis(ms)).await;
}

#[tokio::test]
async fn repeats_at_two_instances_at_the_same_moment_run_once() {
    let pair = Pair::start("").await;
    for number in 0..30 {
        let input = json!({ "number": number });
        let key = format!("same-moment-{number}");
        let headers = [(KEY, key.as_str())];
        let asked = tokio::join!(
            pair.ask(0, &input, &headers),
            pair.ask(1, &input, &headers),
            pair.ask(1, &input, &headers)
        );
        for (status, answer) in [asked.0, asked.1, asked.2] {
            assert_eq!(status, StatusCode::OK, "{answer:?}");
            assert_eq!(answer.output, Some(expected(&input)));
        }
        assert_eq!(pair.ran(&input), 1);
    }
}

#[tokio::test]
async fn a_repeat_later_at_another_instance_gets_the_first_answer() {
    let pair = Pair::start("").await;
    let input = json!("room on friday");
    let first = pair.ask(0, &input, &[(KEY, "later")]).await.1;

    let (status, repeat) = pair.ask(1, &input, &[(KEY, "later")]).await;
    let (misuse, other) = pair.ask(1, &json!("another"), &[(KEY, "later")]).await;

    assert_eq!(status, StatusCode::OK);
    assert_eq!(repeat.output, first.output);
    assert_ne!(repeat.request_id, first.request_id);
    assert_eq!(misuse, StatusCode::UNPROCESSABLE_ENTITY);
    assert_eq!(other.outcome, Outcome::NotStarted);
    assert_eq!((pair.ran(&input), pair.ran(&json!("another"))), (1, 0));
}

/// A key belongs to its workspace: another one gets neither its answer nor its
/// refusal.
#[tokio::test]
async fn the_same_key_in_another_workspace_is_another_key() {
    let pair = Pair::start("").await;
    let input = json!("room on sunday");
    let first = pair.ask(0, &input, &[(KEY, "shared")]).await.1;
    let bearer = format!("Bearer {}", credential("taalghar"));
    let headers = [
        (KEY, "shared"),
        ("x-workspace", "taalghar"),
        ("authorization", &*bearer),
    ];

    let (status, second) = pair.ask(1, &input, &headers).await;
    let (other_status, other) = pair.ask(1, &json!("another"), &headers).await;

    assert_eq!(first.outcome, Outcome::Complete);
    assert_eq!(
        (status, second.outcome),
        (StatusCode::OK, Outcome::Complete)
    );
    assert_eq!(pair.ran(&input), 2);
    assert_eq!(other_status, StatusCode::UNPROCESSABLE_ENTITY);
    assert_eq!(other.outcome, Outcome::NotStarted);
}

/// The claim is on the log and the instance dies before it can read it back.
#[tokio::test]
async fn killed_before_sending_is_unknown_at_once_and_never_run() {
    let mut pair = Pair::start("").await;
    let input = json!("killed before");
    pair.set_log(LogFaults {
        delivery_delay_ms: 400,
        ..LogFaults::default()
    });
    pair.send_off(0, &input, &[(KEY, "killed-before")]);
    pause(150).await;
    pair.entries[0].kill();
    pair.set_log(LogFaults::default());
    pause(300).await;

    let started = Instant::now();
    let (status, answer) = pair.ask(1, &input, &[(KEY, "killed-before")]).await;

    assert_eq!(answer.outcome, Outcome::Unknown, "{answer:?}");
    assert_eq!(status, StatusCode::INTERNAL_SERVER_ERROR);
    assert!(started.elapsed() < AT_ONCE);
    assert_eq!(pair.ran(&input), 0);
}

#[tokio::test]
async fn killed_after_sending_is_unknown_at_once_and_not_run_again() {
    let mut pair = Pair::start("").await;
    let input = json!("killed after");
    pair.slow_down();
    pair.send_off(0, &input, &[(KEY, "killed-after")]);
    eventually(async || pair.ran(&input) == 1).await;
    pair.entries[0].kill();

    for _ in 0..2 {
        let started = Instant::now();
        let (_, answer) = pair.ask(1, &input, &[(KEY, "killed-after")]).await;
        assert_eq!(answer.outcome, Outcome::Unknown, "{answer:?}");
        assert!(started.elapsed() < AT_ONCE);
    }
    assert_eq!(pair.ran(&input), 1);
}

/// The instance is frozen while its claim is on its way back from the log, for
/// longer than the request has.
#[tokio::test]
async fn frozen_past_its_deadline_sends_nothing_after_the_thaw() {
    let pair = Pair::start("").await;
    let input = json!("frozen");
    pair.set_log(LogFaults {
        delivery_delay_ms: 300,
        ..LogFaults::default()
    });
    let first = [
        (KEY, "frozen"),
        (DEADLINE, "1000"),
        ("x-request-id", "first"),
    ];
    pair.send_off(0, &input, &first);
    pause(150).await;
    pair.entries[0].freeze();
    pause(1_200).await;
    assert_eq!(pair.ran(&input), 0);
    let caller = pair.entries[1].caller;
    let asked = input.clone();
    let repeat = tokio::spawn(async move { ask(caller, &asked, &[(KEY, "frozen")]).await });
    pause(200).await;
    pair.entries[0].thaw();

    // The first gives its claim up when it wakes, and the repeat runs.
    let (_, answer) = repeat.await.unwrap();
    assert_eq!(answer.outcome, Outcome::Complete, "{answer:?}");
    assert_eq!(pair.ran(&input), 1);
    let backends = pair.deployment.backends.iter();
    let mut calls = backends.flat_map(|backend| backend.ran());
    assert!(calls.all(|call| call.id.request.as_str() != "first"));
}

/// Freezes at every moment of a request, for longer than it has, while the
/// caller repeats it elsewhere.
#[tokio::test]
async fn frozen_at_any_moment_runs_at_most_once_and_not_run_is_true() {
    let pair = Pair::start("").await;
    for step in 0..24_u64 {
        let input = json!({ "step": step });
        let key = format!("any-moment-{step}");
        let (caller, asked, at) = (pair.entries[0].caller, input.clone(), key.clone());
        let first = tokio::spawn(async move {
            ask(caller, &asked, &[(KEY, at.as_str()), (DEADLINE, "300")])
                .await
                .1
        });
        time::sleep(Duration::from_micros(step * 500)).await;
        pair.entries[0].freeze();
        let ran_before = pair.ran(&input);
        let headers = [(KEY, key.as_str()), (DEADLINE, "700")];
        let thaw = async {
            pause(400).await;
            pair.entries[0].thaw();
        };
        let ((_, repeat), ()) = tokio::join!(pair.ask(1, &input, &headers), thaw);
        let first = first.await.unwrap();
        let later = pair.ask(1, &input, &[(KEY, key.as_str())]).await.1;

        let ran = pair.ran(&input);
        assert!(ran <= 1, "{step}: ran {ran} times");
        for answer in [&first, &repeat, &later] {
            let is_complete = answer.outcome == Outcome::Complete;
            assert!(!is_complete || answer.output == Some(expected(&input)));
        }
        assert!(
            first.outcome != Outcome::NotRun || ran_before == 0,
            "{step}"
        );
        assert!(later.outcome != Outcome::NotRun || ran == 0, "{step}");
    }
}

#[tokio::test]
async fn an_append_whose_answer_is_lost_is_run_once() {
    let pair = Pair::start("").await;
    pair.set_log(LogFaults {
        lose_append_answers: true,
        ..LogFaults::default()
    });
    for (number, at) in (0..6).zip([0, 1].into_iter().cycle()) {
        let input = json!({ "lost": number });
        let key = format!("lost-{number}");
        let (_, answer) = pair.ask(at, &input, &[(KEY, &key)]).await;
        // Once too many answers are missing, the log counts as away.
        let is_refused = number > 0 && answer.outcome == Outcome::NotStarted;
        assert!(
            is_refused || answer.outcome == Outcome::Complete,
            "{answer:?}"
        );
        assert_eq!(pair.ran(&input), usize::from(!is_refused));
    }
    pair.set_log(LogFaults::default());
    for number in 0..6 {
        let input = json!({ "lost": number });
        let key = format!("lost-{number}");
        eventually(async || {
            let asked = pair.ask(1, &input, &[(KEY, &key)]).await;
            asked.1.outcome == Outcome::Complete
        })
        .await;
        assert_eq!(pair.ran(&input), 1);
    }
}

#[tokio::test]
async fn while_the_log_is_away_keys_are_refused_at_once_and_tickets_run() {
    let pair = Pair::start("").await;
    pair.set_log(LogFaults {
        outage: true,
        ..LogFaults::default()
    });
    // Until the outage is noticed, a claim is waited for.
    let noticed = [(KEY, "notices"), (DEADLINE, "600")];
    pair.ask(0, &json!("notices"), &noticed).await;
    let started = Instant::now();
    let (status, refused) = pair.ask(0, &json!("away"), &[(KEY, "away")]).await;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(refused.outcome, Outcome::NotStarted, "{refused:?}");
    assert_eq!(refused.reason.as_deref(), Some("log_away"));
    assert!(refused.retry_after_ms.is_some());
    assert!(started.elapsed() < Duration::from_millis(200));
    for number in 0..20 {
        let input = json!({ "ticket": number });
        let ticket = pair.ticket(number % 2).await;
        let headers = [(TICKET, ticket.as_str())];
        let answers = tokio::join!(pair.ask(0, &input, &headers), pair.ask(1, &input, &headers));
        for (_, answer) in [answers.0, answers.1] {
            assert_eq!(answer.output, Some(expected(&input)), "{answer:?}");
        }
        assert_eq!(pair.ran(&input), 1);
    }
    pair.set_log(LogFaults::default());
    eventually(async || {
        let asked = pair.ask(0, &json!("away"), &[(KEY, "away")]).await;
        asked.1.outcome == Outcome::Complete
    })
    .await;
    assert_eq!(pair.ran(&json!("away")), 1);
}

#[tokio::test]
async fn an_instance_cut_from_the_log_refuses_keys_and_runs_its_tickets() {
    let mut pair = Pair::start("").await;
    let to_log = relay(pair.deployment.log.addr()).await;
    pair.add("entry-3", ZONE, Some(to_log.addr())).await;
    let linked = async || {
        let ticket = pair.ticket(0).await;
        let asked = pair.ask(2, &json!(ticket), &[(TICKET, &ticket)]).await;
        asked.1.outcome == Outcome::Complete
    };
    eventually(linked).await;
    let cut = LinkFaults {
        cut: true,
        ..LinkFaults::default()
    };

    to_log.set_faults(cut);
    let (key, input) = ([(KEY, "cut"), (DEADLINE, "1000")], json!("cut"));
    let refused = pair.ask(2, &input, &key).await.1;
    assert_eq!(refused.outcome, Outcome::NotStarted, "{refused:?}");
    assert_eq!(pair.ran(&input), 0);
    let ticket = pair.ticket(2).await;
    let served = pair.ask(2, &json!("own"), &[(TICKET, &ticket)]).await.1;
    assert_eq!(served.outcome, Outcome::Complete, "{served:?}");
    let first = pair.ask(0, &input, &key).await.1;
    to_log.set_faults(LinkFaults::default());
    eventually(async || pair.ask(2, &input, &key).await.1.output == first.output).await;
    assert_eq!(pair.ran(&input), 1);
}

/// As it looks from elsewhere when a zone is cut off.
#[tokio::test]
async fn a_holder_that_went_silent_is_unknown_long_before_the_deadline() {
    let pair = Pair::start("").await;
    let (key, input) = ([(KEY, "silent")], json!("silent"));
    pair.slow_down();
    pair.send_off(0, &input, &key);
    eventually(async || pair.ran(&input) == 1).await;
    pair.entries[0].freeze();

    let started = Instant::now();
    let answer = pair.ask(1, &input, &key).await.1;

    pair.entries[0].thaw();
    assert_eq!(answer.outcome, Outcome::Unknown, "{answer:?}");
    assert!(started.elapsed() < 2 * AT_ONCE);
    assert_eq!(pair.ran(&input), 1);
}

/// Instances of other zones are reached by their listed address.
#[tokio::test]
async fn zones_cut_from_each_other_run_nothing_twice() {
    let mut pair = Pair::start("").await;
    let to_first = relay(pair.entries[0].peer).await;
    pair.list("entry-1", ZONE, to_first.addr());
    pair.add("entry-3", "hal-gouda", None).await;
    eventually(async || {
        let ticket = pair.ticket(0).await;
        let asked = pair.ask(2, &json!(ticket), &[(TICKET, &ticket)]).await;
        asked.1.outcome == Outcome::Complete
    })
    .await;
    to_first.set_faults(LinkFaults {
        cut: true,
        ..LinkFaults::default()
    });

    // Each zone goes on with keys, and has what ended elsewhere from the log.
    let input = json!("ended");
    let first = pair.ask(0, &input, &[(KEY, "ended")]).await.1;
    assert_eq!(first.outcome, Outcome::Complete);
    let repeat = pair.ask(2, &input, &[(KEY, "ended")]).await.1;
    assert_eq!(repeat.output, first.output, "{repeat:?}");
    let other = pair.ask(2, &json!("other"), &[(KEY, "other")]).await.1;
    assert_eq!(other.outcome, Outcome::Complete, "{other:?}");
    // What runs elsewhere is unknown here, and a ticket of there is not run.
    let (key, input) = ([(KEY, "parted")], json!("parted"));
    let ticket = pair.ticket(0).await;
    pair.slow_down();
    pair.send_off(0, &input, &key);
    eventually(async || pair.ran(&input) == 1).await;
    let started = Instant::now();
    let (headers, unused) = ([(TICKET, ticket.as_str())], json!("foreign"));
    let (parted, foreign) = tokio::join!(pair.ask(2, &input, &key), pair.ask(2, &unused, &headers));
    assert_eq!(parted.1.outcome, Outcome::Unknown, "{parted:?}");
    let outcome = foreign.1.outcome;
    let is_run = !matches!(outcome, Outcome::NotStarted | Outcome::Unknown);
    assert!(!is_run, "{foreign:?}");
    assert!(started.elapsed() < 2 * AT_ONCE);
    assert_eq!((pair.ran(&input), pair.ran(&unused)), (1, 0));
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
    pair.set_log(LogFaults {
        slow_ms: 300,
        ..LogFaults::default()
    });
    let input = json!("slow");
    let headers = [(KEY, "slow")];
    let asked = tokio::join!(pair.ask(0, &input, &headers), pair.ask(1, &input, &headers));
    for (_, answer) in [asked.0, asked.1] {
        assert_eq!(answer.outcome, Outcome::Complete, "{answer:?}");
    }
    assert_eq!(pair.ran(&input), 1);
}

/// An instance that has missed records of the window refuses until it has read a
/// whole window; one that has read them goes on.
#[tokio::test]
async fn records_lost_before_their_time_stop_claims_for_the_window() {
    let pair = Pair::start("claims: {window_ms: 3000}").await;
    let input = json!("expiry");
    let headers = [(KEY, "expiry")];
    pair.entries[1].freeze();
    // What the frozen instance had asked for is answered with this one.
    pair.ask(0, &json!("other"), &[(KEY, "other")]).await;
    pause(200).await;
    let first = pair.ask(0, &input, &headers).await.1;
    assert_eq!(first.outcome, Outcome::Complete);
    pause(200).await;
    pair.set_log(LogFaults {
        trim: true,
        ..LogFaults::default()
    });
    pair.entries[1].thaw();

    let (_, refused) = pair.ask(1, &input, &headers).await;
    assert_eq!(refused.outcome, Outcome::NotStarted, "{refused:?}");
    assert_eq!(refused.reason.as_deref(), Some("claims_incomplete"));
    assert_eq!(pair.ask(0, &input, &headers).await.1.output, first.output);
    assert_eq!(pair.ran(&input), 1);
    eventually(async || {
        let asked = pair.ask(1, &json!("new"), &[(KEY, "new")]).await;
        asked.1.outcome == Outcome::Complete
    })
    .await;
    assert_eq!(pair.ran(&json!("new")), 1);
}

#[tokio::test]
async fn a_ticket_is_run_by_its_issuer_only() {
    let mut pair = Pair::start("").await;
    let input = json!("ticket");
    let ticket = pair.ticket(0).await;
    let unused = pair.ticket(0).await;
    let headers = [(TICKET, ticket.as_str())];
    let first = pair.ask(1, &input, &headers).await.1;
    assert_eq!(first.output, Some(expected(&input)), "{first:?}");
    assert_eq!(pair.ask(0, &input, &headers).await.1.output, first.output);
    let (status, _) = pair.ask(0, &json!("another"), &headers).await;
    assert_eq!(status, StatusCode::UNPROCESSABLE_ENTITY);
    let both = [(TICKET, ticket.as_str()), (KEY, "both")];
    assert_eq!(pair.ask(0, &input, &both).await.0, StatusCode::BAD_REQUEST);

    pair.entries[0].kill();

    for ticket in [&ticket, &unused] {
        let started = Instant::now();
        let (_, answer) = pair.ask(1, &input, &[(TICKET, ticket)]).await;
        assert!(
            matches!(answer.outcome, Outcome::NotStarted | Outcome::Unknown),
            "{answer:?}"
        );
        assert!(started.elapsed() < AT_ONCE);
    }
    assert_eq!(pair.ran(&input), 1);
}
