//! The JSON-RPC front: serves tool calls over HTTP POST, and answers with a stream of server-sent events.

use std::collections::HashMap;
use std::convert::Infallible;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};

use axum::Router;
use axum::extract::{Request, State};
use axum::response::{IntoResponse, Response};
use axum::routing::post;
use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{HeaderMap, StatusCode};
use http_body::Frame;
use serde_json::Value;
use tokio::sync::{Notify, mpsc};

use super::body::{Arrival, BodyError, read_body};
use super::connection::Connection;
use crate::interface::{Micros, SessionKey};
use crate::protocol::jsonrpc::{self, Message, Post, RpcError};
use crate::protocol::platform::TIME_LEFT;
use crate::protocol::settings::digest;
use crate::transport::memory::Charge;
use crate::transport::relay::{Call, ChargedCall, ClientMessage, ClientSender, Relay, Tool};

/// How many messages to a client may be queued.
const MESSAGE_QUEUE_CAPACITY: usize = 64;
/// The header that names a client's session, which is the scope of the ids of its calls.
const SESSION_HEADER: &str = "x-session-key";

/// The error for a response to a call that was never made.
const STRAY_RESPONSE: RpcError = RpcError::Invalid("no call with this id awaits a response");

/// A message of a POST; a faulty one with its id, or null if it has none.
type ParsedMessage = Result<Message, (Value, RpcError)>;
/// Identifies an open call: the session that the client named, and the call's id as JSON text.
type CallKey = (String, String);

/// The state that the handlers of the JSON-RPC front share.
#[derive(Clone)]
pub struct RpcFront {
    relay: Relay,
    /// The open calls of clients that name a session, each with the notification that cancels it.
    open_calls: Arc<Mutex<HashMap<CallKey, Arc<Notify>>>>,
}

impl RpcFront {
    /// Creates a front that relays calls with this relay.
    pub fn new(relay: Relay) -> Self {
        RpcFront { relay, open_calls: Arc::default() }
    }

    /// Returns the routes, which serve POST requests at this path.
    pub fn routes(self, path: &str) -> Router {
        Router::new().route(path, post(handle_post)).with_state(self)
    }
}

/// What the headers of a POST say about its sender.
#[derive(Clone)]
struct Caller {
    session: Option<String>,
    time_left: Option<Micros>,
}

/// Reads the session and the time left from the headers.
fn parse_caller(headers: &HeaderMap) -> Result<Caller, RpcError> {
    let header_text = |name| headers.get(name).map(|value: &http::HeaderValue| value.to_str()).transpose();
    let session =
        header_text(SESSION_HEADER).map_err(|_| RpcError::Invalid("the session's name can't be read"))?;
    let left = header_text(TIME_LEFT).map(|left| left.map(str::parse::<u64>).transpose());
    match left {
        Ok(Ok(left)) => Ok(Caller {
            session: session.map(str::to_string),
            time_left: left.map(|ms| ms.saturating_mul(1000)),
        }),
        _ => Err(RpcError::Invalid("the time left can't be read")),
    }
}

/// Answers a POST as a whole with an error.
fn reject(status: StatusCode, id: &Value, error: RpcError) -> Response {
    (status, error_content(id, error)).into_response()
}

/// Returns the content of an answer that consists of an error.
fn error_content(id: &Value, error: RpcError) -> impl IntoResponse {
    ([(CONTENT_TYPE, "application/json")], jsonrpc::response(id, &Err(error)).to_string())
}

/// Handles the messages of a POST. If any of them needs a response, the answer is a stream of events; otherwise it is
/// 202 without a body.
async fn handle_post(State(front): State<RpcFront>, request: Request) -> Response {
    let (head, body) = request.into_parts();
    let (body, refused) = match read_body(&head.extensions, body).await {
        Ok(body) => (body, false),
        Err(BodyError::Refused(body)) => (body, true),
        Err(error) => {
            tracing::debug!(target: "birchspur::drain", %error, "not accepted");
            let told = match error.is_refusal() {
                true => RpcError::Refused(None),
                false => RpcError::Invalid("the body can't be read"),
            };
            return error.response(error_content(&Value::Null, told));
        }
    };
    let caller = match parse_caller(&head.headers) {
        Ok(caller) => caller,
        Err(error) => return reject(StatusCode::BAD_REQUEST, &Value::Null, error),
    };
    let Ok(memory) = front.relay.memory().charge_content(jsonrpc::parsed_size_bound(&body)) else {
        tracing::debug!(target: "birchspur::memory", bytes = body.len(), "a POST is refused: its values take too much");
        return reject(StatusCode::SERVICE_UNAVAILABLE, &Value::Null, RpcError::Refused(None));
    };
    let (messages, is_batch) = match jsonrpc::parse(&body) {
        Ok(Post::Single(Err((id, error)))) => return reject(StatusCode::BAD_REQUEST, &id, error),
        Ok(Post::Single(message)) => (vec![message], false),
        Ok(Post::Batch(messages)) => (messages, true),
        Err(error) => return reject(StatusCode::BAD_REQUEST, &Value::Null, error),
    };
    drop(body);
    if refused {
        front.refuse(&caller, messages, is_batch)
    } else {
        let connection = head.extensions.get::<Arrival>().map(|arrival| arrival.connection.clone());
        front.accept(&caller, messages, &Arc::new(memory), connection.as_deref()).await
    }
}

impl RpcFront {
    /// Carries out the messages of a POST, for which `memory` is charged.
    async fn accept(
        &self,
        caller: &Caller,
        messages: Vec<ParsedMessage>,
        memory: &Arc<Charge>,
        connection: Option<&Connection>,
    ) -> Response {
        let (to_client, receiver) = mpsc::channel(MESSAGE_QUEUE_CAPACITY);
        let mut has_responses = false;
        for message in messages {
            match message {
                Ok(Message::Request { id: None, method, params }) => {
                    self.handle_notification(caller, &method, (params, memory), connection).await;
                    continue;
                }
                Ok(Message::Request { id: Some(id), method, params }) => {
                    match self.relay.tool(&method, &params) {
                        Ok(tool) => {
                            let call = caller.call(id, params);
                            let call = ChargedCall { call, memory: Some(memory.clone()) };
                            self.start_call(caller, call, tool, &to_client);
                        }
                        Err(error) => self.send_response(&to_client, id, Err(error)),
                    }
                }
                Ok(Message::Response { id, .. }) => self.send_response(&to_client, id, Err(STRAY_RESPONSE)),
                Err((id, error)) => self.send_response(&to_client, id, Err(error)),
            }
            has_responses = true;
        }
        if !has_responses {
            return StatusCode::ACCEPTED.into_response();
        }
        ([(CONTENT_TYPE, "text/event-stream")], axum::body::Body::new(MessageStream(receiver)))
            .into_response()
    }

    /// Answers a POST that became complete when the program no longer accepted requests. Its calls are refused, each
    /// under its own id. Its cancellations are carried out, as they bring no new work.
    fn refuse(&self, caller: &Caller, messages: Vec<ParsedMessage>, is_batch: bool) -> Response {
        let mut responses = Vec::new();
        for message in messages {
            let (id, error) = match message {
                Ok(Message::Request { id: None, method, params }) if method == jsonrpc::CANCELLED => {
                    self.cancel_call(caller, &params);
                    continue;
                }
                Ok(Message::Request { id, method, params }) => {
                    (id.unwrap_or(Value::Null), self.refuse_call(&method, &params))
                }
                Ok(Message::Response { id, .. }) => (id, STRAY_RESPONSE),
                Err(error) => error,
            };
            tracing::debug!(target: "birchspur::drain", { call.id = %id, %error }, "not accepted");
            responses.push(jsonrpc::response(&id, &Err(error)));
        }
        let content = match (responses.is_empty(), is_batch) {
            (true, _) => return StatusCode::ACCEPTED.into_response(),
            (false, true) => Value::Array(responses),
            (false, false) => responses.remove(0),
        };
        (StatusCode::SERVICE_UNAVAILABLE, [(CONTENT_TYPE, "application/json")], content.to_string())
            .into_response()
    }

    /// Returns the error of a call that is not accepted, and counts a refusal.
    fn refuse_call(&self, method: &str, params: &Value) -> RpcError {
        match self.relay.tool(method, params) {
            Ok(tool) => {
                self.relay.hub.report_refused(self.relay.pool, tool.class);
                RpcError::Refused(None)
            }
            Err(error) => error,
        }
    }

    /// Sends a response to the client without waiting for space in its queue.
    fn send_response(&self, to_client: &ClientSender, id: Value, result: Result<Value, RpcError>) {
        let to_client = to_client.clone();
        tokio::spawn(async move { to_client.send(jsonrpc::response(&id, &result).into()).await });
    }

    fn open_calls(&self) -> std::sync::MutexGuard<'_, HashMap<CallKey, Arc<Notify>>> {
        self.open_calls.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Carries out a notification, which is never answered: cancels a call or runs a tool.
    async fn handle_notification(
        &self,
        caller: &Caller,
        method: &str,
        (params, memory): (Value, &Arc<Charge>),
        connection: Option<&Connection>,
    ) {
        if method == jsonrpc::CANCELLED {
            self.cancel_call(caller, &params);
        } else if let Ok(tool) = self.relay.tool(method, &params) {
            let call = caller.call(Value::Null, params);
            let permit = match connection {
                Some(connection) => connection.acquire_unattended_call().await,
                None => None,
            };
            self.relay.run_unattended(ChargedCall { call, memory: Some(memory.clone()) }, tool, permit);
        }
    }

    /// Cancels the call that a cancellation with these parameters refers to.
    fn cancel_call(&self, caller: &Caller, params: &Value) {
        let key = caller.session.clone().zip(jsonrpc::cancelled(params).map(Value::to_string));
        // If no call with this id is open, it may just have been answered.
        if let Some(call) = key.and_then(|key| self.open_calls().get(&key).cloned()) {
            call.notify_one();
        }
    }

    /// Starts a call, whose one final answer is sent to the client.
    fn start_call(&self, caller: &Caller, call: ChargedCall, tool: Tool, to_client: &ClientSender) {
        let id = call.call.id.clone();
        let cancel = Arc::new(Notify::new());
        let key = caller.session.clone().map(|session| (session, id.to_string()));
        if let Some(key) = &key {
            let mut open_calls = self.open_calls();
            if open_calls.contains_key(key) {
                drop(open_calls);
                return self.send_response(
                    to_client,
                    id,
                    Err(RpcError::Invalid("a call with this id is open")),
                );
            }
            open_calls.insert(key.clone(), cancel.clone());
        }
        let open_call = OpenCall { front: self.clone(), key };
        tokio::spawn(open_call.execute(call, tool, cancel, to_client.clone()));
    }
}

impl Caller {
    /// Returns a call by this caller.
    fn call(&self, id: Value, params: Value) -> Call {
        let session = self.session.as_deref().map(|key| SessionKey(digest(key)));
        Call { id, params, session, time_left: self.time_left }
    }
}

/// Keeps a call registered while it is open. Dropping it removes the call.
struct OpenCall {
    front: RpcFront,
    key: Option<CallKey>,
}

impl OpenCall {
    /// Runs the call until it is answered or cancelled, and sends the response; stops if the client has left.
    async fn execute(self, call: ChargedCall, tool: Tool, cancel: Arc<Notify>, to_client: ClientSender) {
        let id = call.call.id.clone();
        let outcome = tokio::select! {
            outcome = self.front.relay.run(call, tool, &to_client) => outcome,
            () = cancel.notified() => RpcError::Cancelled.into(),
            () = to_client.closed() => return,
        };
        drop(self);
        let _ = to_client.send(outcome.into_response(&id)).await;
    }
}

impl Drop for OpenCall {
    fn drop(&mut self) {
        if let Some(key) = &self.key {
            self.front.open_calls().remove(key);
        }
    }
}

/// The body of an answer: the messages to a client, as server-sent events. It ends when the last call that can send any
/// has ended.
struct MessageStream(mpsc::Receiver<ClientMessage>);

impl http_body::Body for MessageStream {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        self.0.poll_recv(cx).map(|message| message.map(|message| Ok(Frame::data(message.into_event()))))
    }
}
