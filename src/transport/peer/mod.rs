//! The actor of one peer, which is a server that the core may choose. It opens and closes the connections to the
//! server, sends it attempts, probes and lease calls, and reports to the hub how each of them ended.

pub mod connector;
pub mod idle;
mod post;
mod relay;
mod window;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::{Either, select};
use http::header::HOST;
use http::{HeaderMap, Method, Request, StatusCode};
use thiserror::Error;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinSet;
use tokio::time::Instant;

use self::connector::{Clients, PeerClient, RequestTracker, TrackedBody, is_unreadable};
use self::idle::is_out_of_connections;
use self::relay::AnswerRelay;
use super::collect::collect;
use super::delivery::PostGate;
use super::hub::message::{Hub, Message, Payload};
use crate::interface::*;
use crate::protocol::platform;
use crate::protocol::settings::{Links, ReportField};
use crate::routing::{CancelReason, ConnectionChoice, Evidence, Input, PoolId};

/// Capacity of a peer's inbox, in messages.
const MAILBOX_CAPACITY: usize = 1024;
/// Most bytes that are read of an answer that is not a stream.
const MAX_REPLY_BYTES: usize = 16 * 1024;
/// How long the body of a read's answer may take after its head.
const READ_BODY_TIMEOUT: Duration = Duration::from_millis(1_000);
/// How long the body of an answer that is neither a read nor a stream may take after its head. If it takes longer, its
/// connection is not used again.
const REFUSAL_BODY_TIMEOUT: Duration = Duration::from_millis(100);
/// How long a call that releases a state may take. By then, other servers have long been asked to release it.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(200);

/// What a call that the program makes by itself occupies besides its connection, in bytes: its task and its messages.
const OWN_CALL_BYTES: usize = 4 * 1024;

/// Why a lease call has no answer.
#[derive(Debug, Error)]
enum LeaseCallError {
    #[error("the server's address is not valid")]
    InvalidAddress,
    #[error("no answer in time")]
    TimedOut,
    #[error("{}", innermost(.0))]
    Failed(#[from] hyper_util::client::legacy::Error),
}

/// Returns the last cause of an error, which says the most.
fn innermost<'a>(error: &'a (dyn std::error::Error + 'static)) -> &'a (dyn std::error::Error + 'static) {
    std::iter::successors(Some(error), |error| error.source()).last().unwrap_or(error)
}

/// A message to a peer's actor.
pub enum PeerMessage {
    /// Send an attempt.
    Send(Attempt),
    /// Close the connection of an attempt.
    Cancel(RequestId, u32, CancelReason),
    /// Probe the server.
    Probe,
    /// Release what the server holds for the request under this id.
    Release(RequestId, String, ConnectionChoice),
    /// Hold a place for the request under this id.
    Hold(RequestId, String),
    /// Close idle connections.
    CloseIdle,
}

/// An attempt to send.
pub struct Attempt {
    /// The request.
    pub request: RequestId,
    /// The attempt's number within the request.
    pub number: u32,
    /// The message that is sent.
    pub payload: Arc<Payload>,
    /// How long the answer may take.
    pub time_left: Micros,
    /// The generation of servers on which the choice of this server was based.
    pub generation: u64,
    /// The connection to send it on.
    pub connection: ConnectionChoice,
}

/// The protocol that the servers of a pool speak.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Dialect {
    /// The platform's protocol: readers and writers with leases and load reports.
    Platform,
    /// JSON-RPC tool calls. These servers need not implement the platform's protocol, so one that gives any answer to a
    /// probe counts as alive.
    Tools,
}

impl Dialect {
    /// Returns the path that probes request.
    fn probe(self) -> &'static str {
        match self {
            Dialect::Platform => "/metrics/load",
            Dialect::Tools => "/alive",
        }
    }

    /// Returns the outcome of an attempt whose answer is not a 200. A tool server has no read states: its 202 or 410
    /// must not be taken for one, or the request would be sent again.
    fn outcome(self, status: StatusCode, headers: &HeaderMap) -> Outcome {
        match (self, platform::outcome(status, headers)) {
            (Dialect::Tools, Outcome::Read | Outcome::NoState) => Outcome::Error,
            (_, outcome) => outcome,
        }
    }
}

/// What all peers of a pool share.
#[derive(Clone)]
pub struct PeerContext {
    /// The pool of the servers.
    pub pool: PoolId,
    /// The hub, to which outcomes are reported.
    pub hub: Hub,
    /// The HTTP clients.
    pub clients: Clients,
    /// The time limits of connections.
    pub links: Links,
    /// The protocol that the servers speak.
    pub dialect: Dialect,
    /// The fields of the servers' load reports.
    pub fields: Arc<[ReportField]>,
}

/// The address of a server, which may move. It closes once the server is no longer on the list.
pub type PeerAddress = watch::Receiver<Arc<str>>;

/// Starts the actor of a peer and returns its inbox.
pub fn start(context: PeerContext, server: ServerId, address: PeerAddress) -> mpsc::Sender<PeerMessage> {
    let (sender, inbox) = mpsc::channel(MAILBOX_CAPACITY);
    let post_gate = Arc::new(PostGate::new(context.hub.budget().max_delivery_tries));
    tokio::spawn(run(Peer { context, server, address, post_gate }, inbox));
    sender
}

#[derive(Clone)]
struct Peer {
    context: PeerContext,
    server: ServerId,
    address: PeerAddress,
    post_gate: Arc<PostGate>,
}

/// Runs the actor until its inbox closes and the calls in progress have ended.
async fn run(mut peer: Peer, mut inbox: mpsc::Receiver<PeerMessage>) {
    let mut calls = JoinSet::new();
    let mut cancels: HashMap<(RequestId, u32), oneshot::Sender<CancelReason>> = HashMap::new();
    loop {
        let message = tokio::select! {
            message = inbox.recv() => message,
            Some(ended) = calls.join_next() => {
                if let Ok(Some(key)) = ended {
                    cancels.remove(&key);
                }
                continue;
            }
        };
        let task_peer = peer.clone();
        match message {
            Some(PeerMessage::Send(attempt)) => {
                let key = (attempt.request, attempt.number);
                let (cancel, cancelled) = oneshot::channel();
                cancels.insert(key, cancel);
                calls.spawn(async move {
                    task_peer.run_attempt(attempt, cancelled).await;
                    Some(key)
                });
            }
            Some(PeerMessage::Cancel(request, number, reason)) => {
                // The call reports its end upon this. If there is no entry, it has reported it already.
                if let Some(cancel) = cancels.remove(&(request, number)) {
                    let _ = cancel.send(reason);
                }
            }
            Some(PeerMessage::Probe) => {
                calls.spawn(async move {
                    task_peer.probe().await;
                    None
                });
            }
            Some(PeerMessage::Release(request, id, connection)) => {
                calls.spawn(async move {
                    task_peer.release(request, &id, connection).await;
                    None
                });
            }
            Some(PeerMessage::Hold(request, id)) => {
                calls.spawn(async move {
                    let answer = task_peer.call_lease(Method::POST, &id, ConnectionChoice::Any).await;
                    if let Some(is_held) = answer.ok().and_then(place_held) {
                        task_peer.report(Input::Place(request, task_peer.server, is_held)).await;
                    }
                    None
                });
            }
            Some(PeerMessage::CloseIdle) => {
                let PeerContext { links, ref hub, .. } = peer.context;
                peer.context.clients = Clients::new(links, &hub.budget().peers);
            }
            // The list of servers has dropped the peer: the calls in progress are finished first.
            None => break,
        }
    }
    while calls.join_next().await.is_some() {}
}

/// Returns whether a place is held, if the status of the answer says so.
fn place_held(status: StatusCode) -> Option<bool> {
    match status.as_u16() {
        200 => Some(true),
        409 => Some(false),
        _ => None,
    }
}

/// How an attempt ended, with what the answer reported.
struct AttemptEnd {
    outcome: Outcome,
    kept_tokens: u64,
    load: Option<String>,
}

impl AttemptEnd {
    fn with_outcome(outcome: Outcome) -> Self {
        AttemptEnd { outcome, kept_tokens: 0, load: None }
    }
}

/// Returns the load report in an answer's headers.
fn load_header(headers: &HeaderMap) -> Option<String> {
    headers.get(platform::LOAD).and_then(|value| value.to_str().ok()).map(str::to_string)
}

impl Peer {
    /// Returns the server's present address.
    fn address(&self) -> Arc<str> {
        self.address.borrow().clone()
    }

    async fn report(&self, input: Input) {
        self.context.hub.send(Message::Input(input)).await;
    }

    /// Sends an attempt and reports how it ended. A value on `cancelled`, or its closing, cancels the attempt.
    async fn run_attempt(&self, attempt: Attempt, cancelled: oneshot::Receiver<CancelReason>) {
        let (request, number, id) = (attempt.request, attempt.number, attempt.payload.id.clone());
        let connection = attempt.connection;
        tracing::debug!(
            target: "birchspur::attempt",
            {
                request.id = id.as_str(),
                attempt = number,
                server.address = &*self.address(),
                generation = attempt.generation,
                time_left_us = attempt.time_left,
                ?connection
            },
            "send"
        );
        let started = Instant::now();
        let (mut reason, mut evidence) = (None, Evidence::Decided);
        let end = match self.attempt_message(attempt) {
            // When the call is dropped, its connection is closed, so that the server notices.
            Some((message, tracker)) => {
                let ended =
                    select(cancelled, Box::pin(self.call(message, &tracker, (request, number, connection))))
                        .await;
                // The request is given up before the call is dropped, so that it gets no further than the evidence
                // that is reported of it.
                if let Either::Left((called_off, _)) = &ended {
                    tracker.give_up();
                    reason = called_off.as_ref().ok().copied();
                }
                evidence = tracker.evidence();
                match ended {
                    Either::Left(_) if evidence < Evidence::Connected => {
                        AttemptEnd::with_outcome(Outcome::ConnectFailed)
                    }
                    Either::Left(_) => AttemptEnd::with_outcome(Outcome::Cancelled),
                    Either::Right((end, _)) => end,
                }
            }
            None => AttemptEnd::with_outcome(Outcome::ConnectFailed),
        };
        let report = end.load.and_then(|text| platform::report(&text, &self.context.fields));
        let AttemptEnd { outcome, kept_tokens, .. } = end;
        tracing::debug!(
            target: "birchspur::attempt",
            {
                request.id = id.as_str(),
                attempt = number,
                server.address = &*self.address(),
                ?outcome,
                ?evidence,
                called_off = ?reason,
                took_us = started.elapsed().as_micros() as u64
            },
            "ended"
        );
        self.report(Input::Ended { request, attempt: number, outcome, kept_tokens, report }).await;
    }

    /// Returns the HTTP request of an attempt and its tracker, or `None` if the server's address is not valid.
    fn attempt_message(&self, attempt: Attempt) -> Option<(Request<TrackedBody>, RequestTracker)> {
        let Attempt { request, number, payload, time_left, .. } = attempt;
        let mut head = payload.head();
        head.headers_mut().insert(platform::TIME_LEFT, (time_left / 1000).into());
        let head = self.with_address(head, &payload.path)?;
        let hub = self.context.hub.clone();
        let written = Box::new(move || hub.send_detached(Message::Input(Input::Written(request, number))));
        Some(TrackedBody::attach(head, payload.body.clone(), written))
    }

    /// Sends an attempt's request and follows its answer to the end.
    async fn call(
        &self,
        message: Request<TrackedBody>,
        tracker: &RequestTracker,
        (request, number, connection): (RequestId, u32, ConnectionChoice),
    ) -> AttemptEnd {
        let answered = select(
            self.context.clients.for_connection(connection).request(message),
            Box::pin(tracker.stalled_head()),
        )
        .await;
        let response = match answered {
            Either::Right(_) => return AttemptEnd::with_outcome(Outcome::Error),
            Either::Left((answer, _)) => answer,
        };
        let response = match response {
            Ok(response) => response,
            // The request has run, and its server counts as healthy.
            Err(error) if is_unreadable(&error) => return AttemptEnd::with_outcome(Outcome::Error),
            // A request can't have run before its last byte was written; after that it may have.
            Err(error) if tracker.may_have_run(&error) => return AttemptEnd::with_outcome(Outcome::Reset),
            Err(_) => return AttemptEnd::with_outcome(Outcome::ConnectFailed),
        };
        if response.status() == StatusCode::OK {
            return AnswerRelay::new(self, tracker, (request, number), response).run().await;
        }
        let (head, body) = response.into_parts();
        let outcome = self.context.dialect.outcome(head.status, &head.headers);
        let body = collect(body, MAX_REPLY_BYTES);
        // Except for a read, the head is all that is needed, and the state that is held for the request waits for this
        // outcome.
        let time_limit = if outcome == Outcome::Read { READ_BODY_TIMEOUT } else { REFUSAL_BODY_TIMEOUT };
        let kept_tokens = match tokio::time::timeout(time_limit, body).await {
            Ok(Ok(body)) => platform::kept_tokens(&body),
            Ok(Err(_)) if outcome == Outcome::Read => return AttemptEnd::with_outcome(Outcome::Reset),
            Err(_) if outcome == Outcome::Read => return AttemptEnd::with_outcome(Outcome::Error),
            Ok(Err(_)) | Err(_) => 0,
        };
        AttemptEnd { outcome, kept_tokens, load: load_header(&head.headers) }
    }

    /// Sets the request's URI and host header; returns `None` if the server's address is not valid.
    fn with_address<B>(&self, mut request: Request<B>, path: &str) -> Option<Request<B>> {
        let address = self.address();
        *request.uri_mut() = format!("http://{address}{path}").parse().ok()?;
        request.headers_mut().insert(HOST, address.parse().ok()?);
        Some(request)
    }

    /// Probes the server and reports the result.
    async fn probe(&self) {
        let started = Instant::now();
        let _charge = self.context.hub.budget().memory.charge_unconditionally(OWN_CALL_BYTES);
        let time_limit = Duration::from_micros(self.context.links.connect);
        let answer = tokio::time::timeout(time_limit, self.send_probe()).await;
        let (outcome, report) = answer.unwrap_or((Outcome::TimedOut, None));
        let (pool, server) = (self.context.pool, self.server);
        let took = started.elapsed().as_micros() as Micros;
        self.report(Input::Probed { pool, server, outcome, took, report }).await;
    }

    /// Sends a probe, and returns its outcome with the load report, if there is one.
    async fn send_probe(&self) -> (Outcome, Option<Report>) {
        let Some(head) = self.with_address(Request::new(()), self.context.dialect.probe()) else {
            return (Outcome::ConnectFailed, None);
        };
        let (request, _tracker) = TrackedBody::attach(head, Bytes::new(), Box::new(|| {}));
        let response = match self.context.clients.for_connection(ConnectionChoice::Any).request(request).await
        {
            Ok(response) => response,
            Err(error) if error.is_connect() => return (Outcome::ConnectFailed, None),
            Err(_) => return (Outcome::Reset, None),
        };
        let is_healthy = response.status() == StatusCode::OK || self.context.dialect == Dialect::Tools;
        let outcome = if is_healthy { Outcome::Served } else { Outcome::Error };
        let header = load_header(response.headers());
        let Ok(body) = collect(response.into_body(), MAX_REPLY_BYTES).await else {
            return (Outcome::Reset, None);
        };
        let text = std::str::from_utf8(&body).ok().filter(|text| !text.trim().is_empty());
        let text = text.or(header.as_deref()).unwrap_or("");
        (outcome, platform::report(text, &self.context.fields))
    }

    /// Asks the server to release what is held for a request, and reports whether it took the call.
    async fn release(&self, request: RequestId, id: &str, connection: ConnectionChoice) {
        let started = Instant::now();
        let _charge = self.context.hub.budget().memory.charge_unconditionally(OWN_CALL_BYTES);
        let call = self.call_lease(Method::DELETE, id, connection);
        let result = tokio::time::timeout(RELEASE_TIMEOUT, call).await;
        let (status, error) = match result {
            Ok(Ok(status)) => (Some(status), None),
            Ok(Err(error)) => (None, Some(error)),
            Err(_) => (None, Some(LeaseCallError::TimedOut)),
        };
        tracing::debug!(
            target: "birchspur::attempt",
            {
                request.id = id,
                server.address = &*self.address(),
                ?status,
                error = error.as_ref().map(tracing::field::display),
                took_us = started.elapsed().as_micros() as u64
            },
            "release"
        );
        // A server that answers with anything else has not released the state.
        let taken = status.is_some_and(|status| status.is_success());
        let (pool, server) = (self.context.pool, self.server);
        self.report(Input::Released { pool, request, server, taken }).await;
    }

    /// Calls the server's lease endpoint, and returns the status of the answer. If attempts hold all connections that may
    /// be open, the call goes on one of those that are reserved for such calls.
    async fn call_lease(
        &self,
        method: Method,
        id: &str,
        connection: ConnectionChoice,
    ) -> Result<StatusCode, LeaseCallError> {
        let clients = &self.context.clients;
        match self.call_lease_with(clients.for_connection(connection), &method, id).await {
            Err(LeaseCallError::Failed(error)) if is_out_of_connections(&error) => {
                self.call_lease_with(clients.reserved(), &method, id).await
            }
            answer => answer,
        }
    }

    async fn call_lease_with(
        &self,
        client: &PeerClient,
        method: &Method,
        id: &str,
    ) -> Result<StatusCode, LeaseCallError> {
        let head = self.with_address(Request::new(()), &format!("/kv/leases/{id}"));
        let mut head = head.ok_or(LeaseCallError::InvalidAddress)?;
        *head.method_mut() = method.clone();
        // Dropping the tracker gives the call up, which must not release later what is held again by then.
        let (request, _tracker) = TrackedBody::attach(head, Bytes::new(), Box::new(|| {}));
        let response = client.request(request).await?;
        let status = response.status();
        // Reading the body to its end returns the connection to the client's pool.
        let _ = collect(response.into_body(), MAX_REPLY_BYTES).await;
        Ok(status)
    }
}
