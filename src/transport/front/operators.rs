//! The operators' front. It serves one call per connection, at an address of its own, so that clients can't lock the
//! operators out, however many there are.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use axum::Router;
use axum::body::Body;
use axum::extract::State;
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{AbortHandle, JoinSet};
use tower::Service;

use super::connection::Connections;
use super::listener::linger;
use crate::protocol::figures;
use crate::recovery::{Call, Phase};
use crate::transport::hub::message::Hub;
use crate::transport::listen;

/// How many callers may be connected at once, besides one that is just being accepted. Their descriptors come out of
/// those that the budget reserves.
pub const MAX_CALLERS: usize = 16;
/// How long a call may take to arrive completely and have its answer read.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Size limit in bytes of a call's body; no call needs one.
const MAX_BODY_BYTES: usize = 4 * 1024;
/// Size limit in bytes of a call's head, the lowest that hyper allows. Longer heads are answered with 431.
const MAX_HEAD_BYTES: usize = 8 * 1024;

/// The state that the handlers of the operators' front share.
#[derive(Clone)]
pub struct Operators {
    /// The client connections and the program's phase.
    pub connections: Connections,
    /// The hub, which has the counters.
    pub hub: Hub,
}

/// Returns the routes of the operators' front.
pub fn routes(operators: Operators) -> Router {
    Router::new()
        .route("/healthcheck", get(health))
        .route("/healthcheck/fail", post(fail))
        .route("/healthcheck/ok", post(ok))
        .route("/stats", get(stats))
        .with_state(operators)
}

/// Says whether the program can serve, even if clients are sent away.
async fn health(State(operators): State<Operators>) -> Response {
    let phase = *operators.connections.phases().borrow();
    let (status, text) = match phase {
        Phase::Serving => (StatusCode::OK, "yes\n"),
        Phase::Away => (StatusCode::OK, "yes; clients are sent away, POST /healthcheck/ok takes them back\n"),
        Phase::Starting => (StatusCode::SERVICE_UNAVAILABLE, "no: it is starting\n"),
        Phase::Draining | Phase::Closing | Phase::Ended => {
            (StatusCode::SERVICE_UNAVAILABLE, "no: it is ending\n")
        }
    };
    (status, text).into_response()
}

/// Sends the clients away.
async fn fail(State(operators): State<Operators>) -> Response {
    apply_call(&operators, Call::Away, "clients are sent away; POST /healthcheck/ok takes them back\n")
}

/// Resumes service after clients were sent away.
async fn ok(State(operators): State<Operators>) -> Response {
    apply_call(&operators, Call::Resume, "back to work\n")
}

/// Carries out a call and answers with the confirmation, or with 409 if the process is terminating already.
fn apply_call(operators: &Operators, call: Call, confirmation: &'static str) -> Response {
    match operators.connections.call(call) {
        Ok(()) => (StatusCode::OK, confirmation).into_response(),
        Err(error) => (StatusCode::CONFLICT, format!("no: {error}\n")).into_response(),
    }
}

/// Returns the service metrics, one per line.
async fn stats(State(operators): State<Operators>) -> Response {
    let counters = operators.hub.counters().await;
    (StatusCode::OK, figures::lines(&counters.service_metrics())).into_response()
}

/// The listener of the operators' front.
pub struct OperatorsListener {
    listener: TcpListener,
}

impl OperatorsListener {
    /// Listens on an address.
    pub async fn bind(address: &str) -> io::Result<Self> {
        Ok(OperatorsListener { listener: listen::bind(address).await? })
    }

    /// Returns the address that it listens on.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Answers calls for as long as the program runs. When too many callers are connected, the oldest connection is
    /// dropped: a complete call is answered at once, so that caller has not sent one.
    pub async fn serve(self, routes: Router) {
        let mut tasks = JoinSet::new();
        let mut callers: VecDeque<AbortHandle> = VecDeque::new();
        loop {
            tokio::select! {
                accepted = self.listener.accept() => match accepted {
                    Ok((stream, _)) => {
                        callers.retain(|caller| !caller.is_finished());
                        if callers.len() >= MAX_CALLERS && let Some(oldest) = callers.pop_front() {
                            oldest.abort();
                        }
                        // A descriptor is free only once its task has ended, and many callers may be accepted before
                        // the runtime gets to run the aborted tasks.
                        while tasks.len() >= MAX_CALLERS && tasks.join_next().await.is_some() {}
                        callers.push_back(tasks.spawn(serve_call(stream, routes.clone())));
                    }
                    // The caller is gone already, or descriptors ran out despite the budget.
                    Err(_) => tokio::time::sleep(Duration::from_millis(5)).await,
                },
                Some(_) = tasks.join_next() => {}
            }
        }
    }
}

/// Serves one call on a connection, then closes the connection.
async fn serve_call(stream: TcpStream, routes: Router) {
    let service = service_fn(|request| Box::pin(answer(request, routes.clone())));
    let mut connection = http1::Builder::new();
    connection.keep_alive(false).max_buf_size(MAX_HEAD_BYTES).timer(TokioTimer::new());
    let mut connection = connection.serve_connection(TokioIo::new(stream), service);
    // A caller that doesn't complete its call or read the answer in time is disconnected.
    let served = poll_fn(|cx| connection.poll_without_shutdown(cx));
    let _ = tokio::time::timeout(CALL_TIMEOUT, served).await;
    linger(&connection.into_parts().io.into_inner()).await;
}

/// Answers a call once its body has been read.
async fn answer(request: Request<Incoming>, mut routes: Router) -> Result<Response, Infallible> {
    let (head, body) = request.into_parts();
    match Limited::new(body, MAX_BODY_BYTES).collect().await {
        Ok(_) => routes.call(Request::from_parts(head, Body::empty())).await,
        Err(_) => Ok((StatusCode::PAYLOAD_TOO_LARGE, "a call needs no body\n").into_response()),
    }
}
