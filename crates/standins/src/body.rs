//! Bodies: whole JSON answers, streamed lines and bounded reads.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use http::{Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited, combinators::BoxBody};
use hyper::body::{Body as HttpBody, Frame, Incoming};
use serde::{Serialize, de::DeserializeOwned};
use tokio::sync::mpsc;

use crate::{Error, Result};

/// Largest body that a stand-in reads, in bytes.
pub(crate) const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

/// Body of every answer.
pub(crate) type Body = BoxBody<Bytes, io::Error>;

/// Sender of a streamed body; an error cuts the connection.
pub(crate) type Chunks = mpsc::Sender<io::Result<Bytes>>;

struct ChunkBody(mpsc::Receiver<io::Result<Bytes>>);

impl HttpBody for ChunkBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        self.0
            .poll_recv(cx)
            .map(|chunk| chunk.map(|bytes| bytes.map(Frame::data)))
    }
}

/// Makes a body that is written chunk by chunk.
pub(crate) fn chunked(capacity: usize) -> (Chunks, Body) {
    let (sender, receiver) = mpsc::channel(capacity);
    (sender, ChunkBody(receiver).boxed())
}

/// Makes a body of known bytes.
pub(crate) fn whole(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed()
}

/// Makes an answer with a JSON body.
pub(crate) fn json(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    let bytes = serde_json::to_vec(value).expect("types of the interfaces serialize to JSON");
    let mut response = Response::new(whole(bytes));
    *response.status_mut() = status;
    response.headers_mut().insert(
        header::CONTENT_TYPE,
        header::HeaderValue::from_static("application/json"),
    );
    response
}

/// Makes an answer without a body.
pub(crate) fn empty(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(whole(Bytes::new()));
    *response.status_mut() = status;
    response
}

/// Reads a body of at most `limit_bytes`.
pub(crate) async fn read<B>(body: B, limit_bytes: usize) -> Result<Bytes>
where
    B: HttpBody<Data = Bytes, Error = hyper::Error>,
{
    match Limited::new(body, limit_bytes).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(err) if err.is::<LengthLimitError>() => Err(Error::TooLarge(limit_bytes)),
        Err(err) => match err.downcast::<hyper::Error>() {
            Ok(err) => Err(Error::Http(*err)),
            Err(err) => Err(Error::Io(io::Error::other(err.to_string()))),
        },
    }
}

/// Reads a JSON body.
pub(crate) async fn read_json<T, B>(body: B) -> Result<T>
where
    T: DeserializeOwned,
    B: HttpBody<Data = Bytes, Error = hyper::Error>,
{
    let bytes = read(body, MAX_BODY_BYTES).await?;
    Ok(serde_json::from_slice(&bytes)?)
}

/// Gives the JSON value in a request's body to `take`; answers 204, or 400 when
/// there is no such value.
pub(crate) async fn take_json<T: DeserializeOwned>(
    request: Request<Incoming>,
    take: impl FnOnce(T),
) -> Response<Body> {
    match read_json(request.into_body()).await {
        Ok(value) => {
            take(value);
            empty(StatusCode::NO_CONTENT)
        }
        Err(err) => json(StatusCode::BAD_REQUEST, &err.to_string()),
    }
}
