//! The caller and the load tool find every kind of bad answer.

use std::{convert::Infallible, net::SocketAddr};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::{body::Incoming, service::service_fn};
use hyper_util::{
    rt::{TokioExecutor, TokioIo},
    server::conn::auto,
};
use savoryvane_core::{objects::StageKind, outcome::Outcome};
use savoryvane_standins::{
    Ask, Asked, Caller, CallerSettings, LoadSettings, Step, Verdict, Warrant, Warrants,
    client::Version, expected_output, run_load, tokens_of,
};
use savoryvane_wire::caller::{Answer, AnswerEvent, OUTCOME, TICKET};
use serde_json::{Value, json};
use tokio::net::TcpListener;

const GENERATE: Step = Step {
    kind: StageKind::Generate,
    max_tokens: 0,
};

/// Starts an entry instance that gives every request the same answer.
async fn entry(content_type: &'static str, body: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let body = Bytes::from(body.clone());
            let service = service_fn(move |_: Request<Incoming>| {
                let response = Response::builder()
                    .header("content-type", content_type)
                    .body(Full::new(body.clone()));
                async move { Ok::<_, Infallible>(response.unwrap()) }
            });
            tokio::spawn(async move {
                auto::Builder::new(TokioExecutor::new())
                    .serve_connection(TokioIo::new(stream), service)
                    .await
            });
        }
    });
    addr
}

fn input() -> Value {
    json!({ "text": "a gilded shop sign" })
}

fn answer(outcome: Outcome, output: Option<Value>) -> Answer {
    Answer {
        request_id: "r-1".into(),
        outcome,
        reason: None,
        output,
        retry_after_ms: None,
        stages: Vec::new(),
    }
}

fn right_answer() -> Answer {
    answer(
        Outcome::Complete,
        Some(expected_output(&[GENERATE], &input())),
    )
}

fn stream(tokens: &[String], last: Option<Answer>) -> String {
    let events = (0..).zip(tokens).map(|(index, text)| AnswerEvent::Token {
        index,
        text: text.clone(),
    });
    events
        .chain(last.map(AnswerEvent::Final))
        .map(|event| serde_json::to_string(&event).unwrap() + "\n")
        .collect()
}

fn settings(addr: SocketAddr, version: Version) -> CallerSettings {
    CallerSettings {
        addr,
        version,
        workspace: "vakwerk".to_owned(),
        credential: "secret".to_owned(),
        pipeline: "quotation".to_owned(),
        steps: vec![GENERATE],
        deadline_ms: 2000,
    }
}

async fn ask(content_type: &'static str, body: String, streamed: bool) -> Asked {
    let addr = entry(content_type, body).await;
    let caller = Caller::new(settings(addr, Version::Http1));
    let ask = Ask {
        request_id: "r-1".to_owned(),
        input: input(),
        streamed,
        warrant: Warrant::None,
    };
    caller.ask(&ask).await
}

async fn ask_whole(answer: &Answer) -> Verdict {
    let body = serde_json::to_string(answer).unwrap();
    ask("application/json", body, false).await.verdict
}

async fn ask_streamed(body: String) -> Verdict {
    ask("application/x-ndjson", body, true).await.verdict
}

#[tokio::test]
async fn a_whole_answer_is_compared_with_the_expected_output() {
    assert_eq!(ask_whole(&right_answer()).await, Verdict::Right);
    let other = answer(Outcome::Complete, Some(json!("another text")));
    assert!(matches!(ask_whole(&other).await, Verdict::Wrong(_)));
    let missing = answer(Outcome::Complete, None);
    assert!(matches!(ask_whole(&missing).await, Verdict::Wrong(_)));
    let refused = answer(Outcome::NotRun, None);
    assert_eq!(ask_whole(&refused).await, Verdict::Refused(Outcome::NotRun));
}

#[tokio::test]
async fn another_requests_answer_is_wrong() {
    let mut other = right_answer();
    other.request_id = "r-2".into();
    assert!(matches!(ask_whole(&other).await, Verdict::Wrong(_)));
}

#[tokio::test]
async fn a_streamed_answer_needs_every_token_in_order_and_its_end() {
    let tokens = tokens_of(GENERATE, &input(), &Value::Null);
    let whole = stream(&tokens, Some(right_answer()));
    assert_eq!(ask_streamed(whole).await, Verdict::Right);
    let cut = stream(&tokens, None);
    assert!(matches!(ask_streamed(cut).await, Verdict::NoAnswer(_)));
    let short = stream(&tokens[..3], Some(right_answer()));
    assert!(matches!(ask_streamed(short).await, Verdict::Wrong(_)));
    let silent = stream(&[], Some(right_answer()));
    assert!(matches!(ask_streamed(silent).await, Verdict::Wrong(_)));
    let again = stream(&tokens, Some(right_answer())) + &stream(&tokens[..1], None);
    assert!(matches!(ask_streamed(again).await, Verdict::NoAnswer(_)));
}

#[tokio::test]
async fn a_header_that_contradicts_the_body_is_wrong() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (stream, _) = listener.accept().await.unwrap();
        let body = serde_json::to_vec(&right_answer()).unwrap();
        let service = service_fn(move |_: Request<Incoming>| {
            let response = Response::builder()
                .header(OUTCOME, "not_run")
                .body(Full::new(Bytes::from(body.clone())));
            async move { Ok::<_, Infallible>(response.unwrap()) }
        });
        auto::Builder::new(TokioExecutor::new())
            .serve_connection(TokioIo::new(stream), service)
            .await
    });
    let caller = Caller::new(settings(addr, Version::Http1));
    let ask = Ask {
        request_id: "r-1".to_owned(),
        input: input(),
        streamed: false,
        warrant: Warrant::None,
    };
    assert!(matches!(caller.ask(&ask).await.verdict, Verdict::Wrong(_)));
}

/// Answers a ticket, then only a request that carries it.
async fn ticketed(request: Request<Incoming>) -> Result<Response<Full<Bytes>>, http::Error> {
    if request.uri().path() == "/v1/tickets" {
        let body = r#"{"ticket":"t-1","valid_ms":1000}"#;
        return Response::builder().status(201).body(body.into());
    }
    let carried = request.headers().get(TICKET).is_some_and(|t| t == "t-1");
    let outcome = if carried {
        right_answer()
    } else {
        answer(Outcome::NotStarted, None)
    };
    Response::builder().body(serde_json::to_vec(&outcome).unwrap().into())
}

#[tokio::test]
async fn a_ticket_is_asked_for_and_carried() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                auto::Builder::new(TokioExecutor::new())
                    .serve_connection(TokioIo::new(stream), service_fn(ticketed))
                    .await
            });
        }
    });
    for version in [Version::Http1, Version::Http2] {
        let caller = Caller::new(settings(addr, version));
        let mut ask = Ask {
            request_id: "r-1".to_owned(),
            input: input(),
            streamed: false,
            warrant: Warrant::Ticket,
        };
        assert_eq!(caller.ask(&ask).await.verdict, Verdict::Right);
        ask.warrant = Warrant::None;
        let refused = Verdict::Refused(Outcome::NotStarted);
        assert_eq!(caller.ask(&ask).await.verdict, refused);
    }
}

#[tokio::test]
async fn a_load_is_good_only_when_all_is_right_unless_refusals_are_allowed() {
    for (outcome, allowed) in [(Outcome::NotRun, true), (Outcome::Failed, false)] {
        for version in [Version::Http1, Version::Http2] {
            let mut refusal = answer(outcome, None);
            refusal.request_id = "load-7-0".into();
            let body = serde_json::to_string(&refusal).unwrap();
            let addr = entry("application/json", body).await;
            let report = run_load(LoadSettings {
                caller: settings(addr, version),
                rate_per_s: 100,
                duration_ms: 10,
                streamed_per_mille: 0,
                connections: 1,
                warrants: Warrants::None,
                seed: 7,
            })
            .await;
            assert_eq!(report.refused.get(outcome.as_str()), Some(&1));
            assert!(!report.is_good(false));
            assert_eq!(report.is_good(true), allowed);
        }
    }
}
