//! The platform's front: serves clients over HTTP/1.1.

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
use http_body::Frame;
use tokio::sync::watch;

use super::body::{BodyError, read_body};
use crate::interface::Micros;
use crate::protocol::platform;
use crate::protocol::settings::Names;
use crate::recovery::Phase;
use crate::routing::{Admission, PoolId};
use crate::transport::hub::message::{Body, Hub, IncompleteStream, Part, Payload, Reply, RequestHandle};
use crate::transport::memory::REQUEST_BYTES;

/// The state that the handlers of the platform's front share.
#[derive(Clone)]
pub struct Front {
    /// The hub, to which requests are submitted.
    pub hub: Hub,
    /// The pool of the platform's servers.
    pub pool: PoolId,
    /// The names that the settings give to classes and the like, which headers refer to.
    pub names: Arc<Names>,
    /// The program's phase.
    pub phase: watch::Receiver<Phase>,
}

/// Returns the routes of the platform's front.
pub fn routes(front: Front) -> Router {
    Router::new().route("/up", get(up)).route("/v1/{*path}", post(handle_request)).with_state(front)
}

/// Answers 200 while new clients are invited.
async fn up(State(front): State<Front>) -> StatusCode {
    if *front.phase.borrow() == Phase::Serving { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }
}

/// Submits a request to the hub and answers with the server's stream, or with the status of the failure.
async fn handle_request(State(front): State<Front>, request: Request) -> Response {
    let (head, body) = request.into_parts();
    let heading = match platform::heading(&head.headers, &front.names) {
        Ok(heading) => heading,
        Err(error) => return (StatusCode::BAD_REQUEST, error.to_string()).into_response(),
    };
    let refuse = |error: BodyError| {
        if error.is_refusal() {
            front.hub.report_refused(front.pool, heading.request.class);
        }
        tracing::debug!(target: "birchspur::drain", { request.id = heading.id.as_str(), %error }, "not accepted");
        error.response(())
    };
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str()).to_string();
    let Ok(memory) = front.hub.budget().memory.charge_request(REQUEST_BYTES + path.len()) else {
        return refuse(BodyError::OutOfMemory);
    };
    let body = match read_body(&head.extensions, body).await {
        Ok(body) => body,
        Err(error) => return refuse(error),
    };
    let headers = forwarded_headers(&head.headers);
    let memory = Some(Arc::new(memory));
    let payload = Payload { id: heading.id, method: head.method, path, headers, body, memory };
    drop((head.headers, head.extensions));
    let admission = Admission { pool: front.pool, request: heading.request, time_left: heading.time_left };
    match front.hub.submit(admission, payload).await {
        (Reply::Stream(body), request_handle) => {
            let content_type =
                body.content_type.clone().unwrap_or(HeaderValue::from_static("text/event-stream"));
            (
                [(CONTENT_TYPE, content_type)],
                axum::body::Body::new(EventBody { body, broken_off: false, _request_handle: request_handle }),
            )
                .into_response()
        }
        (Reply::Refused(retry_after), _) => {
            let mut response = StatusCode::SERVICE_UNAVAILABLE.into_response();
            if let Some(seconds) = retry_after.map(format_seconds).and_then(|text| text.parse().ok()) {
                response.headers_mut().insert(RETRY_AFTER, seconds);
            }
            response
        }
        // Failures are never answered with 429 or 503, which promise that a retry is harmless.
        (Reply::Failed { overdue: true, .. }, _) => StatusCode::GATEWAY_TIMEOUT.into_response(),
        (Reply::Failed { may_have_run: true, .. }, _) => StatusCode::INTERNAL_SERVER_ERROR.into_response(),
        (Reply::IdInUse, _) => StatusCode::CONFLICT.into_response(),
        (Reply::Failed { .. }, _) => StatusCode::BAD_GATEWAY.into_response(),
    }
}

/// Returns the headers that are passed on to servers. Their values are copied: they are slices of the buffer that holds the
/// whole head.
fn forwarded_headers(received: &HeaderMap) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for name in [platform::ID, CONTENT_TYPE.as_str()] {
        let value = received.get(name).and_then(|value| HeaderValue::from_bytes(value.as_bytes()).ok());
        if let Some(value) = value {
            headers.insert(http::HeaderName::from_static(name), value);
        }
    }
    headers
}

/// Formats a time span in seconds with three decimal places.
fn format_seconds(time: Micros) -> String {
    format!("{}.{:03}", time / 1_000_000, time / 1000 % 1000)
}

/// The body of a streamed answer: relays a server's events to the client. Dropping it reports that the client has left.
struct EventBody<T = RequestHandle> {
    body: Body,
    /// The server's answer has broken off, and the part that arrived is still being written.
    broken_off: bool,
    _request_handle: T,
}

impl<T: Unpin> http_body::Body for EventBody<T> {
    type Data = Bytes;
    type Error = IncompleteStream;

    /// Returns an error for an answer that broke off, so that the connection ends without the last chunk. The error is
    /// returned one poll later: on an error hyper drops what it has not written yet, and if nothing of the answer reaches
    /// the client, the request is lost.
    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, IncompleteStream>>> {
        Poll::Ready(match ready!(self.body.parts.poll_recv(cx)) {
            Some(Part::Data(bytes)) => Some(Ok(Frame::data(bytes))),
            Some(Part::End) => None,
            None if self.broken_off => Some(Err(IncompleteStream)),
            None => {
                self.broken_off = true;
                cx.waker().wake_by_ref();
                return Poll::Pending;
            }
        })
    }
}

#[cfg(test)]
mod tests;
