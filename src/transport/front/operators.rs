//! The operators' front: one call a connection, at an address of its own, so that no crowd of clients can shut
//! the operators out.

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

/// Callers that may be connected at once, beside one that is just being taken; they are counted against the budget's reserve.
pub const MOST_CALLERS: usize = 16;
/// A call is whole, and its answer taken, within this.
const CALL_WITHIN: Duration = Duration::from_secs(5);
/// The largest body of a call; none has a use for one.
const MOST_BODY: usize = 4 * 1024;
/// The least that hyper takes: heads beyond it are answered 431.
const MOST_HEAD: usize = 8 * 1024;

/// What the handlers share.
#[derive(Clone)]
pub struct Operators {
    /// The clients' connections, and what the phases mean for them.
    pub connections: Connections,
    /// Who counts.
    pub hub: Hub,
}

/// The routes of the operators' front.
pub fn routes(operators: Operators) -> Router {
    Router::new()
        .route("/healthcheck", get(health))
        .route("/healthcheck/fail", post(fail))
        .route("/healthcheck/ok", post(ok))
        .route("/stats", get(stats))
        .with_state(operators)
}

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

async fn fail(State(operators): State<Operators>) -> Response {
    follow(&operators, Call::Away, "clients are sent away; POST /healthcheck/ok takes them back\n")
}

async fn ok(State(operators): State<Operators>) -> Response {
    follow(&operators, Call::Resume, "back to work\n")
}

fn follow(operators: &Operators, call: Call, done: &'static str) -> Response {
    match operators.connections.call(call) {
        Ok(()) => (StatusCode::OK, done).into_response(),
        Err(error) => (StatusCode::CONFLICT, format!("no: {error}\n")).into_response(),
    }
}

async fn stats(State(operators): State<Operators>) -> Response {
    let counted = operators.hub.counters().await;
    (StatusCode::OK, figures::lines(&counted.service_metrics())).into_response()
}

/// Where operators call.
pub struct OperatorsListener {
    listener: TcpListener,
}

impl OperatorsListener {
    /// Listens on an address.
    pub async fn bind(address: &str) -> io::Result<Self> {
        Ok(OperatorsListener { listener: TcpListener::bind(address).await? })
    }

    /// Where it listens.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Answers for as long as the program runs. Of too many callers the one that has waited longest goes: whoever
    /// has sent a whole call is answered at once, so that one is waiting for nothing.
    pub async fn serve(self, routes: Router) {
        let mut calls = JoinSet::new();
        let mut callers: VecDeque<AbortHandle> = VecDeque::new();
        loop {
            tokio::select! {
                accepted = self.listener.accept() => match accepted {
                    Ok((stream, _)) => {
                        callers.retain(|caller| !caller.is_finished());
                        if callers.len() >= MOST_CALLERS && let Some(longest) = callers.pop_front() {
                            longest.abort();
                        }
                        // Its descriptor is free only once its task has ended, and many may come in one turn.
                        while calls.len() >= MOST_CALLERS && calls.join_next().await.is_some() {}
                        callers.push_back(calls.spawn(call(stream, routes.clone())));
                    }
                    // A caller that is gone already, or descriptors that ran out all the same.
                    Err(_) => tokio::time::sleep(Duration::from_millis(5)).await,
                },
                Some(_) = calls.join_next() => {}
            }
        }
    }
}

async fn call(stream: TcpStream, routes: Router) {
    let service = service_fn(|request| Box::pin(answer(request, routes.clone())));
    let mut connection = http1::Builder::new();
    connection.keep_alive(false).max_buf_size(MOST_HEAD).timer(TokioTimer::new());
    let mut connection = connection.serve_connection(TokioIo::new(stream), service);
    // Whoever sends no whole call, or does not take its answer, is owed nothing.
    let served = poll_fn(|cx| connection.poll_without_shutdown(cx));
    let _ = tokio::time::timeout(CALL_WITHIN, served).await;
    linger(&connection.into_parts().io.into_inner()).await;
}

/// Answers a call once it is whole.
async fn answer(request: Request<Incoming>, mut routes: Router) -> Result<Response, Infallible> {
    let (head, body) = request.into_parts();
    match Limited::new(body, MOST_BODY).collect().await {
        Ok(_) => routes.call(Request::from_parts(head, Body::empty())).await,
        Err(_) => Ok((StatusCode::PAYLOAD_TOO_LARGE, "a call needs no body\n").into_response()),
    }
}
