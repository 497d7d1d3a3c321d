//! The platform's front: clients over HTTP/1.1.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use axum::Router;
use axum::extract::{Request, State};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use bytes::Bytes;
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderMap, HeaderValue, StatusCode};
use http_body::{Body as _, Frame};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use tokio::sync::watch;

use super::listener::WholeBy;
use crate::interface::Micros;
use crate::protocol::platform::{self, MAX_BODY_BYTES};
use crate::protocol::settings::Names;
use crate::recovery::Phase;
use crate::routing::{Admission, PoolId};
use crate::transport::hub::message::{Body, Hub, IncompleteStream, Part, Payload, Reply, RequestHandle};

/// What the handlers of the platform's front share.
#[derive(Clone)]
pub struct Front {
    /// The way to the module.
    pub hub: Hub,
    /// The platform's pool.
    pub pool: PoolId,
    /// The names of the settings.
    pub names: Arc<Names>,
    /// Where the program stands.
    pub phase: watch::Receiver<Phase>,
}

/// The routes of the platform's front.
pub fn routes(front: Front) -> Router {
    Router::new().route("/up", get(up)).route("/v1/{*path}", post(take)).with_state(front)
}

async fn up(State(front): State<Front>) -> StatusCode {
    if *front.phase.borrow() == Phase::Serving { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }
}

/// Reads a body; the status that refuses it otherwise. A length that is too large is refused before the bytes
/// have come, and one that does not arrive when its time is over.
pub async fn read_body(whole_by: Option<WholeBy>, body: axum::body::Body) -> Result<Bytes, StatusCode> {
    if body.size_hint().lower() > MAX_BODY_BYTES as u64 {
        return Err(StatusCode::PAYLOAD_TOO_LARGE);
    }
    let body = Limited::new(body, MAX_BODY_BYTES).collect();
    let read = match whole_by {
        Some(WholeBy(at)) => tokio::time::timeout_at(at, body).await,
        None => Ok(body.await),
    };
    match read {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(StatusCode::PAYLOAD_TOO_LARGE),
        Ok(Err(_)) => Err(StatusCode::BAD_REQUEST),
        Err(_) => Err(StatusCode::REQUEST_TIMEOUT),
    }
}

async fn take(State(front): State<Front>, request: Request) -> Response {
    let (head, body) = request.into_parts();
    let heading = match platform::heading(&head.headers, &front.names) {
        Ok(heading) => heading,
        Err(error) => return (StatusCode::BAD_REQUEST, error.to_string()).into_response(),
    };
    let body = match read_body(head.extensions.get().copied(), body).await {
        Ok(body) => body,
        Err(status) => return status.into_response(),
    };
    let mut headers = HeaderMap::new();
    for name in [platform::ID, CONTENT_TYPE.as_str()] {
        if let Some(value) = head.headers.get(name) {
            headers.insert(http::HeaderName::from_static(name), value.clone());
        }
    }
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str()).to_string();
    let payload = Payload { id: heading.id, method: head.method, path, headers, body };
    let admission = Admission { pool: front.pool, request: heading.request, time_left: heading.time_left };
    match front.hub.submit(admission, payload).await {
        (Reply::Stream(body), ticket) => {
            let kind = body.content_type.clone().unwrap_or(HeaderValue::from_static("text/event-stream"));
            ([(CONTENT_TYPE, kind)], axum::body::Body::new(Events { body, broken: false, _ticket: ticket }))
                .into_response()
        }
        (Reply::Refused(retry_after), _) => {
            let mut response = StatusCode::SERVICE_UNAVAILABLE.into_response();
            if let Some(seconds) = retry_after.map(seconds).and_then(|text| text.parse().ok()) {
                response.headers_mut().insert(RETRY_AFTER, seconds);
            }
            response
        }
        // Never 429 or 503: those promise that trying again is harmless.
        (Reply::Failed { overdue: true, .. }, _) => StatusCode::GATEWAY_TIMEOUT.into_response(),
        (Reply::Failed { may_have_run: true, .. }, _) => StatusCode::INTERNAL_SERVER_ERROR.into_response(),
        (Reply::IdInUse, _) => StatusCode::CONFLICT.into_response(),
        (Reply::Failed { .. }, _) => StatusCode::BAD_GATEWAY.into_response(),
    }
}

fn seconds(time: Micros) -> String {
    format!("{}.{:03}", time / 1_000_000, time / 1000 % 1000)
}

/// A server's events on their way to the client; dropping it tells that the client has left.
struct Events<T = RequestHandle> {
    body: Body,
    /// The answer has broken off, and what came of it is being written.
    broken: bool,
    _ticket: T,
}

impl<T: Unpin> http_body::Body for Events<T> {
    type Data = Bytes;
    type Error = IncompleteStream;

    /// An answer that broke off is an error here, so that the connection ends without the last chunk. It comes one turn
    /// later: with an error hyper drops what it has not written yet, and an answer of which nothing came is lost.
    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, IncompleteStream>>> {
        Poll::Ready(match ready!(self.body.parts.poll_recv(cx)) {
            Some(Part::Data(bytes)) => Some(Ok(Frame::data(bytes))),
            Some(Part::End) => None,
            None if self.broken => Some(Err(IncompleteStream)),
            None => {
                self.broken = true;
                cx.waker().wake_by_ref();
                return Poll::Pending;
            }
        })
    }
}

#[cfg(test)]
mod tests;
