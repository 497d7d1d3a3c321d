//! The platform's front: clients over HTTP/1.1.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use axum::Router;
use axum::extract::{Request, State};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use bytes::Bytes;
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderMap, HeaderValue, StatusCode};
use http_body::Frame;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};

use super::hub::{Body, Broken, Hub, Part, Payload, Reply, Ticket};
use crate::interface::Micros;
use crate::protocol::platform::{self, MOST_BODY};
use crate::protocol::settings::Names;
use crate::routing::{Admission, PoolId};

/// What the handlers of the platform's front share.
#[derive(Clone)]
pub struct Front {
    /// The way to the module.
    pub hub: Hub,
    /// The platform's pool.
    pub pool: PoolId,
    /// The names of the settings.
    pub names: Arc<Names>,
    /// Whether the program takes clients on.
    pub ready: watch::Receiver<bool>,
}

/// The routes of the platform's front.
pub fn routes(front: Front) -> Router {
    Router::new().route("/up", get(up)).route("/v1/{*path}", post(take)).with_state(front)
}

async fn up(State(front): State<Front>) -> StatusCode {
    if *front.ready.borrow() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }
}

/// Reads a body; the status that refuses it otherwise.
pub async fn read_body(body: axum::body::Body) -> Result<Bytes, StatusCode> {
    match Limited::new(body, MOST_BODY).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(StatusCode::PAYLOAD_TOO_LARGE),
        Err(_) => Err(StatusCode::BAD_REQUEST),
    }
}

async fn take(State(front): State<Front>, request: Request) -> Response {
    let (head, body) = request.into_parts();
    let heading = match platform::heading(&head.headers, &front.names) {
        Ok(heading) => heading,
        Err(error) => return (StatusCode::BAD_REQUEST, error.to_string()).into_response(),
    };
    let body = match read_body(body).await {
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
            let kind = body.kind.clone().unwrap_or(HeaderValue::from_static("text/event-stream"));
            ([(CONTENT_TYPE, kind)], axum::body::Body::new(Events { body, _ticket: ticket })).into_response()
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
        (Reply::Failed { .. }, _) => StatusCode::BAD_GATEWAY.into_response(),
    }
}

fn seconds(time: Micros) -> String {
    format!("{}.{:03}", time / 1_000_000, time / 1000 % 1000)
}

/// A server's events on their way to the client; dropping it tells that the client has left.
struct Events {
    body: Body,
    _ticket: Ticket,
}

impl http_body::Body for Events {
    type Data = Bytes;
    type Error = Broken;

    /// An answer that broke off is an error here, so that the connection ends without the last chunk.
    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        Poll::Ready(match ready!(self.body.parts.poll_recv(cx)) {
            Some(Part::Data(bytes)) => Some(Ok(Frame::data(bytes))),
            Some(Part::End) => None,
            None => Some(Err(Broken)),
        })
    }
}

/// A listener that takes no more connections than the budget has; others wait in the kernel's queue.
pub struct Listener {
    listener: TcpListener,
    permits: Arc<Semaphore>,
}

impl Listener {
    /// Listens on an address.
    pub async fn bind(address: &str, permits: Arc<Semaphore>) -> io::Result<Self> {
        Ok(Listener { listener: TcpListener::bind(address).await?, permits })
    }

    /// Where it listens.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }
}

impl axum::serve::Listener for Listener {
    type Io = Guarded;
    type Addr = SocketAddr;

    async fn accept(&mut self) -> (Guarded, SocketAddr) {
        loop {
            let Ok(permit) = self.permits.clone().acquire_owned().await else {
                std::future::pending::<()>().await;
                continue;
            };
            match self.listener.accept().await {
                Ok((stream, from)) => {
                    // Without it events would wait for the client's acknowledgements; the rest still works.
                    let _ = stream.set_nodelay(true);
                    return (Guarded { stream, _permit: permit }, from);
                }
                // A connection that is gone already, or descriptors that ran out all the same.
                Err(_) => tokio::time::sleep(Duration::from_millis(5)).await,
            }
        }
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }
}

/// A client's connection with its part of the budget.
pub struct Guarded {
    stream: TcpStream,
    _permit: OwnedSemaphorePermit,
}

impl AsyncRead for Guarded {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for Guarded {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
