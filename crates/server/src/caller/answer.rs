//! HTTP responses to callers: a single JSON body, an event stream, or a refusal.

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

/// Reason given when a request ended without an answer.
const LOST_ANSWER_REASON: &str = "internal: the request ended without an answer";

/// Waits for the final answer and responds with it as one JSON body.
pub(super) async fn respond_whole(
    shared: &Shared,
    id: &RequestId,
    mut updates: mpsc::UnboundedReceiver<Update>,
) -> Response<Body> {
    while let Some(update) = updates.recv().await {
        match update {
            Update::Token { .. } => {}
            Update::Final(completion) => {
                let status = refusal::status(&completion);
                return json_response(shared, status, &final_answer(id, *completion));
            }
            Update::Given(given) => {
                return json_response(shared, refusal::answer_status(&given), &given);
            }
        }
    }
    json_response(shared, StatusCode::INTERNAL_SERVER_ERROR, &lost_answer(id))
}

/// Responds with a stream of events. Waits for the first event, so that a request
/// that fails before its first token gets the status of its failure.
pub(super) async fn respond_stream(
    shared: &Shared,
    id: &RequestId,
    mut updates: mpsc::UnboundedReceiver<Update>,
) -> Response<Body> {
    let first = updates.recv().await;
    let status = match &first {
        Some(Update::Token { .. }) => StatusCode::OK,
        Some(Update::Final(completion)) => refusal::status(completion),
        Some(Update::Given(given)) => refusal::answer_status(given),
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
    insert_common_headers(shared, headers, id, outcome);
    response
}

/// Response body with the events of a request, one JSON value per line.
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
            None => AnswerEvent::Final(lost_answer(&self.id)),
        };
        self.is_ended = matches!(event, AnswerEvent::Final(_));
        let mut line = serde_json::to_vec(&event).unwrap_or_default();
        line.push(b'\n');
        Poll::Ready(Some(Ok(Frame::data(Bytes::from(line)))))
    }
}

/// Converts a completion into the answer that is sent to the caller.
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

fn lost_answer(id: &RequestId) -> Answer {
    Answer {
        request_id: id.clone(),
        outcome: Outcome::Unknown,
        reason: Some(LOST_ANSWER_REASON.to_owned()),
        output: None,
        retry_after_ms: None,
        stages: Vec::new(),
    }
}

/// Responds to a refused request.
pub(super) fn respond_refused(
    shared: &Shared,
    id: &RequestId,
    has_warrant_header: bool,
    refusal: Refusal,
) -> Response<Body> {
    let body = Answer {
        request_id: id.clone(),
        outcome: refusal.outcome(has_warrant_header),
        reason: Some(refusal.code()),
        output: None,
        retry_after_ms: refusal.retry_after_ms(),
        stages: Vec::new(),
    };
    let mut response = json_response(shared, refusal.status(), &body);
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

fn json_response(shared: &Shared, status: StatusCode, body: &Answer) -> Response<Body> {
    let bytes = serde_json::to_vec(body).unwrap_or_default();
    let mut response = http_body::with_type(status, JSON, bytes);
    let headers = response.headers_mut();
    insert_common_headers(shared, headers, &body.request_id, Some(body.outcome));
    if let Some(retry_after_ms) = body.retry_after_ms {
        headers.insert(header::RETRY_AFTER, retry_after_ms.div_ceil(1_000).into());
    }
    response
}

fn insert_common_headers(
    shared: &Shared,
    headers: &mut HeaderMap,
    id: &RequestId,
    outcome: Option<Outcome>,
) {
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
