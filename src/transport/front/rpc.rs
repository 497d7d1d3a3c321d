//! The JSON-RPC front: tool calls over HTTP POST, answered as a stream of server-sent events.

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

use super::platform::read_body;
use crate::interface::{Micros, SessionKey};
use crate::protocol::jsonrpc::{self, Message, Post, RpcError};
use crate::protocol::platform::TIME_LEFT;
use crate::protocol::settings::digest;
use crate::transport::relay::{Call, ClientSender, Relay, Tool};

/// Messages to a client that may wait.
const MESSAGES_AHEAD: usize = 64;
/// Header that names the session within which a client's ids are its own.
const SESSION: &str = "x-session-key";

/// The session that a client names, and the id that it gave a call, as text.
type OpenId = (String, String);

/// What the handlers of the JSON-RPC front share.
#[derive(Clone)]
pub struct RpcFront {
    relay: Relay,
    /// The open calls of clients that name a session, and what calls each off.
    open: Arc<Mutex<HashMap<OpenId, Arc<Notify>>>>,
}

impl RpcFront {
    /// A front that relays calls so.
    pub fn new(relay: Relay) -> Self {
        RpcFront { relay, open: Arc::default() }
    }

    /// Its routes.
    pub fn routes(self, path: &str) -> Router {
        Router::new().route(path, post(take)).with_state(self)
    }
}

/// Who sends a POST, by its headers.
#[derive(Clone)]
struct Caller {
    session: Option<String>,
    time_left: Option<Micros>,
}

fn caller(headers: &HeaderMap) -> Result<Caller, RpcError> {
    let text = |name| headers.get(name).map(|value: &http::HeaderValue| value.to_str()).transpose();
    let session = text(SESSION).map_err(|_| RpcError::Invalid("the session's name can't be read"))?;
    let left = text(TIME_LEFT).map(|left| left.map(str::parse::<u64>).transpose());
    match left {
        Ok(Ok(left)) => Ok(Caller {
            session: session.map(str::to_string),
            time_left: left.map(|ms| ms.saturating_mul(1000)),
        }),
        _ => Err(RpcError::Invalid("the time left can't be read")),
    }
}

fn fault(status: StatusCode, id: &Value, error: RpcError) -> Response {
    let body = jsonrpc::response(id, &Err(error)).to_string();
    (status, [(CONTENT_TYPE, "application/json")], body).into_response()
}

async fn take(State(front): State<RpcFront>, request: Request) -> Response {
    let (head, body) = request.into_parts();
    let body = match read_body(head.extensions.get().copied(), body).await {
        Ok(body) => body,
        Err(status) => return fault(status, &Value::Null, RpcError::Invalid("the body can't be read")),
    };
    let caller = match caller(&head.headers) {
        Ok(caller) => caller,
        Err(error) => return fault(StatusCode::BAD_REQUEST, &Value::Null, error),
    };
    let messages = match jsonrpc::parse(&body) {
        Ok(Post::Single(Err((id, error)))) => return fault(StatusCode::BAD_REQUEST, &id, error),
        Ok(Post::Single(message)) => vec![message],
        Ok(Post::Batch(messages)) => messages,
        Err(error) => return fault(StatusCode::BAD_REQUEST, &Value::Null, error),
    };
    let (told, events) = mpsc::channel(MESSAGES_AHEAD);
    let mut answers = false;
    for message in messages {
        match message {
            Ok(Message::Request { id: None, method, params }) => front.note(&caller, &method, params),
            Ok(Message::Request { id: Some(id), method, params }) => {
                answers = true;
                front.call(&caller, id, &method, params, &told);
            }
            Ok(Message::Response { id, .. }) => {
                answers = true;
                front.tell(&told, id, Err(RpcError::Invalid("no call with this id awaits a response")));
            }
            Err((id, error)) => {
                answers = true;
                front.tell(&told, id, Err(error));
            }
        }
    }
    if !answers {
        return StatusCode::ACCEPTED.into_response();
    }
    ([(CONTENT_TYPE, "text/event-stream")], axum::body::Body::new(Outgoing(events))).into_response()
}

impl RpcFront {
    fn tell(&self, told: &ClientSender, id: Value, result: Result<Value, RpcError>) {
        let told = told.clone();
        tokio::spawn(async move { told.send(jsonrpc::response(&id, &result)).await });
    }

    fn opened(&self) -> std::sync::MutexGuard<'_, HashMap<OpenId, Arc<Notify>>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A notification gets no answer, but what it asks for is done.
    fn note(&self, caller: &Caller, method: &str, params: Value) {
        if method == jsonrpc::CANCELLED {
            let key = caller.session.clone().zip(jsonrpc::cancelled(&params).map(Value::to_string));
            // An id that is not open may just have been answered.
            if let Some(call) = key.and_then(|key| self.opened().get(&key).cloned()) {
                call.notify_one();
            }
        } else if let Ok(tool) = self.relay.tool(method, &params) {
            let (relay, call) = (self.relay.clone(), caller.call(Value::Null, params));
            let (told, mut events) = mpsc::channel(MESSAGES_AHEAD);
            tokio::spawn(async move { while events.recv().await.is_some() {} });
            tokio::spawn(async move { relay.run(call, tool, &told).await });
        }
    }

    /// Runs a call, and tells the client its one final answer.
    fn call(&self, caller: &Caller, id: Value, method: &str, params: Value, told: &ClientSender) {
        let tool = match self.relay.tool(method, &params) {
            Ok(tool) => tool,
            Err(error) => return self.tell(told, id, Err(error)),
        };
        let cancel = Arc::new(Notify::new());
        let key = caller.session.clone().map(|session| (session, id.to_string()));
        if let Some(key) = &key {
            let mut open = self.opened();
            if open.contains_key(key) {
                drop(open);
                return self.tell(told, id, Err(RpcError::Invalid("a call with this id is open")));
            }
            open.insert(key.clone(), cancel.clone());
        }
        let entry = Entry { front: self.clone(), key };
        let call = caller.call(id.clone(), params);
        tokio::spawn(entry.drive(call, tool, cancel, told.clone()));
    }
}

impl Caller {
    fn call(&self, id: Value, params: Value) -> Call {
        let session = self.session.as_deref().map(|key| SessionKey(digest(key)));
        Call { id, params, session, time_left: self.time_left }
    }
}

/// An open call's entry, which ends with it.
struct Entry {
    front: RpcFront,
    key: Option<OpenId>,
}

impl Entry {
    async fn drive(self, call: Call, tool: Tool, cancel: Arc<Notify>, told: ClientSender) {
        let id = call.id.clone();
        let result = tokio::select! {
            result = self.front.relay.run(call, tool, &told) => result,
            () = cancel.notified() => Err(RpcError::Cancelled),
            () = told.closed() => return,
        };
        drop(self);
        let _ = told.send(jsonrpc::response(&id, &result)).await;
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        if let Some(key) = &self.key {
            self.front.opened().remove(key);
        }
    }
}

/// Messages on their way to a client; they end with the last call that tells any.
struct Outgoing(mpsc::Receiver<Value>);

impl http_body::Body for Outgoing {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let event = |message: Value| Ok(Frame::data(Bytes::from(jsonrpc::event(&message))));
        self.0.poll_recv(cx).map(|message| message.map(event))
    }
}
