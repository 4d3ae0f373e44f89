//! Answers to callers: whole, as a stream of events, or a refusal.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode, header};
use http_body_util::BodyExt;
use hyper::body::Frame;
use savoryvane_core::{execution::Completion, ids::RequestId, outcome::Outcome};
use savoryvane_wire::caller::{self, Answer, AnswerEvent};
use tokio::sync::mpsc;

use crate::{
    http_body::{self, Body, JSON, NDJSON},
    instance::Shared,
    refusal::{self, Refusal},
    runner::Update,
};

/// Reason of an answer whose request ended without one.
const LOST: &str = "internal: the request ended without an answer";

/// Waits for the end of a request and answers with all of it.
pub(super) async fn whole(
    shared: &Shared,
    id: &RequestId,
    mut updates: mpsc::UnboundedReceiver<Update>,
) -> Response<Body> {
    while let Some(update) = updates.recv().await {
        match update {
            Update::Token { .. } => {}
            Update::Final(completion) => {
                let status = refusal::status(&completion);
                return answer(shared, status, &final_answer(id, *completion));
            }
            Update::Given(given) => return answer(shared, refusal::given_status(&given), &given),
        }
    }
    answer(shared, StatusCode::INTERNAL_SERVER_ERROR, &lost(id))
}

/// Waits for the first event, so that a request that fails before it has a
/// token is answered with the status of its failure.
pub(super) async fn stream(
    shared: &Shared,
    id: &RequestId,
    mut updates: mpsc::UnboundedReceiver<Update>,
) -> Response<Body> {
    let first = updates.recv().await;
    let status = match &first {
        Some(Update::Token { .. }) => StatusCode::OK,
        Some(Update::Final(completion)) => refusal::status(completion),
        Some(Update::Given(given)) => refusal::given_status(given),
        None => StatusCode::INTERNAL_SERVER_ERROR,
    };
    let outcome = match &first {
        Some(Update::Token { .. }) => None,
        Some(Update::Final(completion)) => Some(completion.outcome),
        Some(Update::Given(given)) => Some(given.outcome),
        None => Some(Outcome::Unknown),
    };
    let body = EventBody {
        id: id.clone(),
        first,
        updates,
        is_ended: false,
    };
    let mut response = Response::new(body.boxed_unsync());
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(NDJSON));
    put_common(shared, headers, id, outcome);
    response
}

/// The events of a request, one JSON value a line.
struct EventBody {
    id: RequestId,
    first: Option<Update>,
    updates: mpsc::UnboundedReceiver<Update>,
    is_ended: bool,
}

impl hyper::body::Body for EventBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if self.is_ended {
            return Poll::Ready(None);
        }
        let update = match self.first.take() {
            Some(first) => Some(first),
            None => std::task::ready!(self.updates.poll_recv(cx)),
        };
        let event = match update {
            Some(Update::Token { index, text }) => AnswerEvent::Token { index, text },
            Some(Update::Final(completion)) => {
                AnswerEvent::Final(final_answer(&self.id, *completion))
            }
            Some(Update::Given(given)) => AnswerEvent::Final(*given),
            None => AnswerEvent::Final(lost(&self.id)),
        };
        self.is_ended = matches!(event, AnswerEvent::Final(_));
        let mut line = serde_json::to_vec(&event).unwrap_or_default();
        line.push(b'\n');
        Poll::Ready(Some(Ok(Frame::data(Bytes::from(line)))))
    }
}

/// Puts an answer into the form that callers get.
pub(crate) fn final_answer(id: &RequestId, completion: Completion) -> Answer {
    Answer {
        request_id: id.clone(),
        outcome: completion.outcome,
        reason: completion.reason.map(|reason| reason.to_string()),
        output: completion.output,
        retry_after_ms: completion.retry_after_ms,
        stages: completion.stages,
    }
}

fn lost(id: &RequestId) -> Answer {
    Answer {
        request_id: id.clone(),
        outcome: Outcome::Unknown,
        reason: Some(LOST.to_owned()),
        output: None,
        retry_after_ms: None,
        stages: Vec::new(),
    }
}

/// Answers a request that is refused.
pub(super) fn refuse(
    shared: &Shared,
    id: &RequestId,
    has_key: bool,
    refusal: Refusal,
) -> Response<Body> {
    let body = Answer {
        request_id: id.clone(),
        outcome: refusal.outcome(has_key),
        reason: Some(refusal.code()),
        output: None,
        retry_after_ms: refusal.retry_after_ms(),
        stages: Vec::new(),
    };
    let mut response = answer(shared, refusal.status(), &body);
    let headers = response.headers_mut();
    match refusal {
        Refusal::Unauthorized => {
            headers.insert(header::WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
        }
        Refusal::BadMethod => {
            headers.insert(header::ALLOW, HeaderValue::from_static("POST"));
        }
        _ => {}
    }
    response
}

fn answer(shared: &Shared, status: StatusCode, body: &Answer) -> Response<Body> {
    let bytes = serde_json::to_vec(body).unwrap_or_default();
    let mut response = http_body::with_type(status, JSON, bytes);
    let headers = response.headers_mut();
    put_common(shared, headers, &body.request_id, Some(body.outcome));
    if let Some(retry_after_ms) = body.retry_after_ms {
        headers.insert(header::RETRY_AFTER, retry_after_ms.div_ceil(1_000).into());
    }
    response
}

fn put_common(shared: &Shared, headers: &mut HeaderMap, id: &RequestId, outcome: Option<Outcome>) {
    let instance = shared.settings.instance.as_str();
    let outcome = outcome.map(Outcome::as_str);
    let values = [
        (caller::REQUEST_ID, Some(id.as_str())),
        (caller::INSTANCE, Some(instance)),
        (caller::OUTCOME, outcome),
    ];
    for (name, value) in values {
        if let Some(value) = value.and_then(|value| HeaderValue::from_str(value).ok()) {
            headers.insert(HeaderName::from_static(name), value);
        }
    }
}
