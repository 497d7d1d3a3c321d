//! The actor of one peer: it opens and closes the connections to it, carries attempts, probes and leases,
//! and reports how each ended.

pub mod connector;
pub mod idle;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::future::{Either, select};
use http::header::{CONTENT_TYPE, HOST};
use http::{HeaderMap, Method, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinSet;
use tokio::time::Instant;

use self::connector::{Clients, RequestTracker, TrackedBody, is_unreadable};
use super::hub::message::{Body, Hub, Message, Part, Payload};
use crate::interface::*;
use crate::protocol::platform::{self, Spoilt, Tail};
use crate::protocol::settings::{Links, ReportField};
use crate::routing::{CancelReason, ConnectionChoice, Evidence, Input, PoolId};

/// Messages that may wait for a peer.
const MAILBOX: usize = 1024;
/// Parts of an answer that may wait for their client.
const PARTS_AHEAD: usize = 32;
/// The most of a short answer that is read.
const MOST_REPLY: usize = 64 * 1024;
/// A stream that has begun and brings no event for so long has stopped, whatever its connection or comments say.
/// Whoever waits for it is owed the end within 5 s of the last event (the platform's figure).
const SILENT: Duration = Duration::from_millis(4_000);
/// The head of an answer comes with the first token; its first event, or its short body, follows within this.
const FIRST_EVENT: Duration = Duration::from_millis(1_000);
/// The body of an answer that is neither a read nor a stream: it follows its head, or its connection is not used again.
const REFUSAL_BODY: Duration = Duration::from_millis(100);
/// A call that lets go of a state is given up after this: others have long been asked.
const RELEASE_WITHIN: Duration = Duration::from_millis(500);

/// What a peer is asked to do.
pub enum PeerMessage {
    /// Send an attempt.
    Send(Attempt),
    /// Close the connection of an attempt.
    Cancel(RequestId, u32, CancelReason),
    /// Post a message of which only the arrival matters.
    Post(Arc<Payload>),
    /// Probe.
    Probe,
    /// Let go of what is held for the request under this id.
    Release(RequestId, String, ConnectionChoice),
    /// Hold a place under this id.
    Hold(RequestId, String),
    /// Close idle connections.
    CloseIdle,
    /// It listens at another address now.
    Moved(String),
}

/// One attempt.
pub struct Attempt {
    /// The request.
    pub request: RequestId,
    /// Its number.
    pub number: u32,
    /// What is sent.
    pub payload: Arc<Payload>,
    /// How long the wait may last.
    pub time_left: Micros,
    /// The generation of servers by which it was decided.
    pub generation: u64,
    /// The connection to send it on.
    pub connection: ConnectionChoice,
}

/// What the servers of a pool speak.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Dialect {
    /// The platform's protocol: readers and writers with leases and load reports.
    Platform,
    /// JSON-RPC tool calls. A server need not know the platform: whatever answers a probe lives.
    Tools,
}

impl Dialect {
    fn probe(self) -> &'static str {
        match self {
            Dialect::Platform => "/metrics/load",
            Dialect::Tools => "/alive",
        }
    }

    /// How an answer that is no 200 ends an attempt. A tool server has no states: its 202 or 410 must not be
    /// taken for a read, after which the request would go out again.
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
    /// Whose servers they are.
    pub pool: PoolId,
    /// Where outcomes go.
    pub hub: Hub,
    /// The clients.
    pub clients: Clients,
    /// What holds for connections.
    pub links: Links,
    /// What they speak.
    pub dialect: Dialect,
    /// The fields of load reports.
    pub fields: Arc<[ReportField]>,
}

/// Starts the actor of a peer.
pub fn start(common: PeerContext, server: ServerId, address: String) -> mpsc::Sender<PeerMessage> {
    let (sender, inbox) = mpsc::channel(MAILBOX);
    tokio::spawn(run(Peer { common, server, address }, inbox));
    sender
}

#[derive(Clone)]
struct Peer {
    common: PeerContext,
    server: ServerId,
    address: String,
}

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
        let one = peer.clone();
        match message {
            Some(PeerMessage::Send(attempt)) => {
                let key = (attempt.request, attempt.number);
                let (cancel, cancelled) = oneshot::channel();
                cancels.insert(key, cancel);
                calls.spawn(async move {
                    one.attempt(attempt, cancelled).await;
                    Some(key)
                });
            }
            Some(PeerMessage::Cancel(request, number, reason)) => {
                // The call's end then reports; without an entry it has reported already.
                if let Some(cancel) = cancels.remove(&(request, number)) {
                    let _ = cancel.send(reason);
                }
            }
            Some(PeerMessage::Post(payload)) => {
                calls.spawn(async move {
                    one.post(&payload).await;
                    None
                });
            }
            Some(PeerMessage::Probe) => {
                calls.spawn(async move {
                    one.probe().await;
                    None
                });
            }
            Some(PeerMessage::Release(request, id, connection)) => {
                calls.spawn(async move {
                    let (began, call) = (Instant::now(), one.lease(Method::DELETE, &id, connection));
                    let status = tokio::time::timeout(RELEASE_WITHIN, call).await.ok().flatten();
                    tracing::debug!(
                        target: "birchspur::attempt",
                        {
                            request.id = id.as_str(),
                            server.address = one.address.as_str(),
                            ?status,
                            took_us = began.elapsed().as_micros() as u64
                        },
                        "release"
                    );
                    // Whoever answers anything else has not let go of it.
                    let taken = status.is_some_and(|status| status.is_success());
                    one.report(Input::Released(request, taken)).await;
                    None
                });
            }
            Some(PeerMessage::Hold(request, id)) => {
                calls.spawn(async move {
                    if let Some(held) =
                        one.lease(Method::POST, &id, ConnectionChoice::Any).await.and_then(place)
                    {
                        one.report(Input::Place(request, one.server, held)).await;
                    }
                    None
                });
            }
            Some(PeerMessage::CloseIdle) => {
                let PeerContext { links, ref hub, .. } = peer.common;
                peer.common.clients = Clients::new(links, &hub.budget().peers);
            }
            Some(PeerMessage::Moved(address)) => peer.address = address,
            // The list has dropped the peer: what is out ends first.
            None => break,
        }
    }
    while calls.join_next().await.is_some() {}
}

/// Whether a place is held, where the answer tells.
fn place(status: StatusCode) -> Option<bool> {
    match status.as_u16() {
        200 => Some(true),
        409 => Some(false),
        _ => None,
    }
}

/// How an attempt ended.
struct End {
    outcome: Outcome,
    kept_tokens: u64,
    load: Option<String>,
}

impl End {
    fn of(outcome: Outcome) -> Self {
        End { outcome, kept_tokens: 0, load: None }
    }
}

fn load(headers: &HeaderMap) -> Option<String> {
    headers.get(platform::LOAD).and_then(|value| value.to_str().ok()).map(str::to_string)
}

impl Peer {
    async fn report(&self, input: Input) {
        self.common.hub.send(Message::Input(input)).await;
    }

    async fn attempt(&self, attempt: Attempt, cancelled: oneshot::Receiver<CancelReason>) {
        let (request, number, id) = (attempt.request, attempt.number, attempt.payload.id.clone());
        let connection = attempt.connection;
        tracing::debug!(
            target: "birchspur::attempt",
            {
                request.id = id.as_str(),
                attempt = number,
                server.address = self.address.as_str(),
                generation = attempt.generation,
                time_left_us = attempt.time_left,
                ?connection
            },
            "send"
        );
        let began = Instant::now();
        let (mut reason, mut evidence) = (None, Evidence::Decided);
        let end = match self.message(attempt) {
            // Leaving the call drops its connection, so that the server sees the end.
            Some((message, fate)) => {
                let ended =
                    select(cancelled, Box::pin(self.call(message, &fate, (request, number, connection))))
                        .await;
                // Before the call is left: whatever is told of it from here on, it gets no further.
                if let Either::Left((called_off, _)) = &ended {
                    fate.give_up();
                    reason = called_off.as_ref().ok().copied();
                }
                evidence = fate.evidence();
                match ended {
                    Either::Left(_) if evidence < Evidence::Connected => End::of(Outcome::ConnectFailed),
                    Either::Left(_) => End::of(Outcome::Cancelled),
                    Either::Right((end, _)) => end,
                }
            }
            None => End::of(Outcome::ConnectFailed),
        };
        let report = end.load.and_then(|text| platform::report(&text, &self.common.fields));
        let End { outcome, kept_tokens, .. } = end;
        tracing::debug!(
            target: "birchspur::attempt",
            {
                request.id = id.as_str(),
                attempt = number,
                server.address = self.address.as_str(),
                ?outcome,
                ?evidence,
                called_off = ?reason,
                took_us = began.elapsed().as_micros() as u64
            },
            "ended"
        );
        self.report(Input::Ended { request, attempt: number, outcome, kept_tokens, report }).await;
    }

    /// The message of an attempt, and what will tell its fate; none if the server's address is no address.
    fn message(&self, attempt: Attempt) -> Option<(Request<TrackedBody>, RequestTracker)> {
        let Attempt { request, number, payload, time_left, .. } = attempt;
        let mut head = payload.head();
        head.headers_mut().insert(platform::TIME_LEFT, (time_left / 1000).into());
        let head = self.addressed(head, &payload.path)?;
        let hub = self.common.hub.clone();
        let written = Box::new(move || hub.send_detached(Message::Input(Input::Written(request, number))));
        Some(TrackedBody::attach(head, payload.body.clone(), written))
    }

    async fn call(
        &self,
        message: Request<TrackedBody>,
        fate: &RequestTracker,
        (request, number, connection): (RequestId, u32, ConnectionChoice),
    ) -> End {
        let answered = select(
            self.common.clients.for_connection(connection).request(message),
            Box::pin(fate.stalled_head()),
        )
        .await;
        let response = match answered {
            Either::Right(_) => return End::of(Outcome::Error),
            Either::Left((answer, _)) => answer,
        };
        let response = match response {
            Ok(response) => response,
            // It has run, and its server is as well as any.
            Err(error) if is_unreadable(&error) => return End::of(Outcome::Error),
            // Before its last byte is written a request can't have run; after that it may have.
            Err(error) if fate.may_have_run(&error) => return End::of(Outcome::Reset),
            Err(_) => return End::of(Outcome::ConnectFailed),
        };
        if response.status() == StatusCode::OK {
            return self.stream(request, number, response).await;
        }
        let (head, body) = response.into_parts();
        let outcome = self.common.dialect.outcome(head.status, &head.headers);
        let body = http_body_util::Limited::new(body, MOST_REPLY).collect();
        // The head of anything but a read says it all, and what is held for the request waits for the word.
        let within = if outcome == Outcome::Read { FIRST_EVENT } else { REFUSAL_BODY };
        let kept_tokens = match tokio::time::timeout(within, body).await {
            Ok(Ok(body)) => platform::kept_tokens(&body.to_bytes()),
            Ok(Err(_)) if outcome == Outcome::Read => return End::of(Outcome::Reset),
            Err(_) if outcome == Outcome::Read => return End::of(Outcome::Error),
            Ok(Err(_)) | Err(_) => 0,
        };
        End { outcome, kept_tokens, load: load(&head.headers) }
    }

    /// Passes on the events of an answer as they come, once the hub has made it the client's.
    async fn stream(&self, request: RequestId, number: u32, response: Response<Incoming>) -> End {
        let mut load = load(response.headers());
        let kind = response.headers().get(CONTENT_TYPE).cloned();
        let bounded = platform::tells_its_end(response.headers());
        let mut body = response.into_body();
        let (parts, receiver) = mpsc::channel(PARTS_AHEAD);
        let mut receiver = Some(receiver);
        let mut tail = Tail::default();
        // Comments ahead of the first event: they do not begin the stream.
        let mut ahead = BytesMut::new();
        // A tool server is silent for as long as what it has raised takes.
        let watched = self.common.dialect == Dialect::Platform;
        let mut due = Instant::now() + FIRST_EVENT;
        loop {
            // A client that has left closes the channel, and this call its connection.
            let frame = tokio::select! {
                biased;
                () = parts.closed() => return End::of(Outcome::Cancelled),
                frame = body.frame() => frame,
                () = tokio::time::sleep_until(due), if watched => return End::of(Outcome::Error),
            };
            let part = match frame {
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(part) if !part.is_empty() => part,
                    _ => continue,
                },
                Some(Err(error)) if is_unreadable(&error) => return End::of(Outcome::Error),
                Some(Err(_)) => return End::of(Outcome::Reset),
                None => break,
            };
            // Only whole events pass: a stream that is spoilt in its first one has not begun.
            let known = tail.events;
            let mut part = match self.whole(&mut tail, part) {
                Ok(part) => part,
                Err(Spoilt) => return End::of(Outcome::Error),
            };
            let brings_event = !watched || tail.events > known;
            // What comes all the time leaves the clock no turn.
            if !brings_event && Instant::now() >= due {
                return End::of(Outcome::Error);
            }
            if receiver.is_some() && watched {
                ahead.extend_from_slice(&part);
                if ahead.len() > MOST_REPLY && !brings_event {
                    return End::of(Outcome::Error);
                } else if !brings_event {
                    continue;
                }
                part = ahead.split().freeze();
            }
            if part.is_empty() {
                continue;
            }
            if parts.send(Part::Data(part)).await.is_err() {
                return End::of(Outcome::Cancelled);
            }
            if brings_event {
                due = Instant::now() + SILENT;
            }
            if let Some(parts) = receiver.take() {
                let body = Body { content_type: kind.clone(), parts };
                self.common.hub.send(Message::AnswerStarted { request, attempt: number, body }).await;
            }
        }
        let Ok(rest) = tail.rest() else { return End::of(Outcome::Error) };
        if receiver.is_some() {
            return End::of(Outcome::Error);
        } else if watched && !bounded {
            // Only its connection has ended: the rest may be missing.
            return End::of(Outcome::Reset);
        }
        if !rest.is_empty() && parts.send(Part::Data(rest)).await.is_err()
            || parts.send(Part::End).await.is_err()
        {
            return End::of(Outcome::Cancelled);
        }
        load = tail.load.or(load);
        End { outcome: Outcome::Served, kept_tokens: tail.kept_tokens, load }
    }

    /// The whole events so far. A tool server may answer with something else than events.
    fn whole(&self, tail: &mut Tail, part: Bytes) -> Result<Bytes, Spoilt> {
        match self.common.dialect {
            Dialect::Platform => tail.feed(part),
            Dialect::Tools => Ok(part),
        }
    }

    fn addressed<B>(&self, mut request: Request<B>, path: &str) -> Option<Request<B>> {
        *request.uri_mut() = format!("http://{}{path}", self.address).parse().ok()?;
        request.headers_mut().insert(HOST, self.address.parse().ok()?);
        Some(request)
    }

    async fn probe(&self) {
        let began = Instant::now();
        let within = Duration::from_micros(self.common.links.connect);
        let (outcome, report) = match tokio::time::timeout(within, self.ask()).await {
            Ok(answer) => answer,
            Err(_) => (Outcome::TimedOut, None),
        };
        let (pool, server) = (self.common.pool, self.server);
        let took = began.elapsed().as_micros() as Micros;
        self.report(Input::Probed { pool, server, outcome, took, report }).await;
    }

    async fn ask(&self) -> (Outcome, Option<Report>) {
        let Some(head) = self.addressed(Request::new(()), self.common.dialect.probe()) else {
            return (Outcome::ConnectFailed, None);
        };
        let (request, _fate) = TrackedBody::attach(head, Bytes::new(), Box::new(|| {}));
        let response = match self.common.clients.for_connection(ConnectionChoice::Any).request(request).await
        {
            Ok(response) => response,
            Err(error) if error.is_connect() => return (Outcome::ConnectFailed, None),
            Err(_) => return (Outcome::Reset, None),
        };
        let fine = response.status() == StatusCode::OK || self.common.dialect == Dialect::Tools;
        let outcome = if fine { Outcome::Served } else { Outcome::Error };
        let header = load(response.headers());
        let Ok(body) = http_body_util::Limited::new(response.into_body(), MOST_REPLY).collect().await else {
            return (Outcome::Reset, None);
        };
        let body = body.to_bytes();
        let text = std::str::from_utf8(&body).ok().filter(|text| !text.trim().is_empty());
        let text = text.or(header.as_deref()).unwrap_or("");
        (outcome, platform::report(text, &self.common.fields))
    }

    async fn post(&self, payload: &Payload) {
        let Some(head) = self.addressed(payload.head(), &payload.path) else { return };
        let (message, _fate) = TrackedBody::attach(head, payload.body.clone(), Box::new(|| {}));
        let within = Duration::from_micros(self.common.links.idle);
        let call = async {
            let response =
                self.common.clients.for_connection(ConnectionChoice::Any).request(message).await.ok()?;
            http_body_util::Limited::new(response.into_body(), MOST_REPLY).collect().await.ok()
        };
        if !matches!(tokio::time::timeout(within, call).await, Ok(Some(_))) {
            tracing::warn!(
                server.address = self.address.as_str(),
                request.id = payload.id.as_str(),
                "a message did not get there"
            );
        }
    }

    async fn lease(&self, method: Method, id: &str, connection: ConnectionChoice) -> Option<StatusCode> {
        let mut head = self.addressed(Request::new(()), &format!("/kv/leases/{id}"))?;
        *head.method_mut() = method;
        // One that is given up must not let go later of what is held anew.
        let (request, _fate) = TrackedBody::attach(head, Bytes::new(), Box::new(|| {}));
        let response = self.common.clients.for_connection(connection).request(request).await.ok()?;
        let status = response.status();
        // Reading the body to its end gives the connection back.
        let _ = http_body_util::Limited::new(response.into_body(), MOST_REPLY).collect().await;
        Some(status)
    }
}
