//! Relays JSON-RPC tool calls to tool servers by way of the core: it maps ids, follows the answer's stream,
//! and relays the calls that the server raises in it. Who is called, again or not, the module decides.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::header::{ACCEPT, CONTENT_TYPE};
use http::{HeaderMap, HeaderValue, Method};
use serde_json::Value;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::hub::message::{Body, Hub, Part, Payload, Reply, RequestHandle};
use crate::interface::*;
use crate::protocol::jsonrpc::{self, Events, Message, RpcError};
use crate::protocol::platform::{self, MOST_BODY};
use crate::routing::{Admission, PoolId};

/// Calls may raise calls so deep: servers that call each other in a ring must come to an end.
const DEEPEST: u32 = 4;
/// Four characters make a token.
const CHARACTERS_A_TOKEN: u64 = 4;
/// The largest answer that comes in one piece.
const MOST_ANSWER: usize = 1024 * 1024;

/// How calls of one tool are treated.
#[derive(Clone, Copy, Debug)]
pub struct Tool {
    /// The class of its requests.
    pub class: ClassId,
    /// Its calls take effect and must never run twice.
    pub has_side_effects: bool,
    /// How long a call may take where its client does not say.
    pub deadline: Micros,
}

/// A call to relay.
#[derive(Clone, Debug)]
pub struct Call {
    /// The client's id for it.
    pub id: Value,
    /// Its params, with the tool's name.
    pub params: Value,
    /// Its session.
    pub session: Option<SessionKey>,
    /// How long its client waits, if it says so.
    pub time_left: Option<Micros>,
}

/// The way of tool calls to their servers.
#[derive(Clone)]
pub struct Relay {
    /// The way to the module.
    pub hub: Hub,
    /// The tool servers' pool.
    pub pool: PoolId,
    /// The tools that may be called.
    pub tools: Arc<HashMap<String, Tool>>,
    /// The path at which tool servers take calls.
    pub path: Arc<str>,
    /// Opens the ids under which this conductor relays calls.
    pub id_prefix: Arc<str>,
    /// Numbers them.
    pub next_number: Arc<AtomicU64>,
}

/// What relayed calls tell their client before and beside their final answers.
pub type ClientSender = mpsc::Sender<Value>;

impl Relay {
    /// The tool that a request calls.
    pub fn tool(&self, method: &str, params: &Value) -> Result<Tool, RpcError> {
        if method != jsonrpc::CALL {
            return Err(RpcError::Method);
        }
        let name = jsonrpc::tool(params)?;
        self.tools.get(&name).copied().ok_or(RpcError::Params("there is no such tool"))
    }

    /// Runs a call to its final answer. Dropping this calls it off.
    pub async fn run(&self, call: Call, tool: Tool, told: &ClientSender) -> Result<Value, RpcError> {
        self.clone().relay(call, tool, told.clone(), 0).await
    }

    /// Not an `async fn`: calls raise calls, and a future can't hold itself.
    fn relay(
        self,
        call: Call,
        tool: Tool,
        told: ClientSender,
        depth: u32,
    ) -> futures_util::future::BoxFuture<'static, Result<Value, RpcError>> {
        Box::pin(async move {
            let time_left = call.time_left.unwrap_or(tool.deadline).min(tool.deadline);
            let until = Instant::now() + Duration::from_micros(time_left);
            let id = format!("{}-{}", self.id_prefix, self.next_number.fetch_add(1, Ordering::Relaxed));
            let payload = self.payload(&id, jsonrpc::call(&id, &call.params));
            if payload.body.len() > MOST_BODY {
                return Err(RpcError::Invalid("too large"));
            }
            let prompt_tokens = payload.body.len() as u64 / CHARACTERS_A_TOKEN;
            let request =
                Request { class: tool.class, session: call.session, prompt_tokens, ..Request::plain() };
            let admission = Admission { pool: self.pool, request, time_left };
            match self.hub.submit(admission, payload).await {
                (Reply::Refused(after), _) => Err(RpcError::Refused(after)),
                (Reply::Failed { may_have_run: true, .. }, _) if tool.has_side_effects => {
                    Err(RpcError::MayHaveRun)
                }
                (Reply::Failed { overdue: true, .. }, _) => Err(RpcError::Deadline),
                (Reply::Failed { .. } | Reply::IdInUse, _) => Err(RpcError::Failed),
                (Reply::Stream(body), ticket) => {
                    // Once it has begun, a call that breaks off may have taken effect, its own or that of a
                    // booking it has raised.
                    let effect = Arc::new(AtomicBool::new(tool.has_side_effects));
                    let stream =
                        Stream { relay: self, call, id, ticket, told, depth, until, effect: effect.clone() };
                    match tokio::time::timeout_at(until, stream.follow(body)).await {
                        Ok(Some(result)) => result,
                        _ if effect.load(Ordering::Relaxed) => Err(RpcError::MayHaveRun),
                        Ok(None) => Err(RpcError::Failed),
                        Err(_) => Err(RpcError::Deadline),
                    }
                }
            }
        })
    }

    fn payload(&self, id: &str, message: Value) -> Payload {
        let mut headers = HeaderMap::new();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        headers.insert(ACCEPT, HeaderValue::from_static("application/json, text/event-stream"));
        if let Ok(id) = id.parse() {
            headers.insert(platform::ID, id);
        }
        let (id, path) = (id.to_string(), self.path.to_string());
        Payload { id, method: Method::POST, path, headers, body: Bytes::from(message.to_string()) }
    }
}

/// The stream of one call's answer.
struct Stream {
    relay: Relay,
    call: Call,
    id: String,
    ticket: RequestHandle,
    told: ClientSender,
    depth: u32,
    until: Instant,
    effect: Arc<AtomicBool>,
}

/// The calls that a stream has raised.
#[derive(Default)]
struct Raised {
    open: JoinSet<(Value, Result<Value, RpcError>)>,
    /// All their ids, as text: one that comes again in the stream must not run again.
    seen: HashSet<String>,
}

impl Stream {
    /// Follows the answer to the call's response; none if it ends or goes astray before that. What the call
    /// has raised comes to its own end in any case.
    async fn follow(self, body: Body) -> Option<Result<Value, RpcError>> {
        let mut raised = Raised::default();
        let result = self.read(body, &mut raised).await;
        if !raised.open.is_empty() {
            tokio::spawn(self.finish(raised));
        }
        result
    }

    async fn read(&self, mut body: Body, raised: &mut Raised) -> Option<Result<Value, RpcError>> {
        let events =
            body.content_type.as_ref().is_some_and(|kind| kind.as_bytes().starts_with(b"text/event-stream"));
        let (mut reader, mut whole) = (Events::default(), Vec::new());
        loop {
            let part = tokio::select! {
                part = body.parts.recv() => part?,
                Some(Ok((id, result))) = raised.open.join_next() => {
                    self.hand_back(id, result).await;
                    continue;
                }
            };
            match part {
                Part::Data(bytes) if events => {
                    for text in reader.feed(&bytes)? {
                        if let Some(result) = self.take(raised, &text).await {
                            return Some(result);
                        }
                    }
                }
                Part::Data(bytes) if whole.len() + bytes.len() > MOST_ANSWER => return None,
                Part::Data(bytes) => whole.extend_from_slice(&bytes),
                Part::End if events => return None,
                Part::End => return self.take(raised, std::str::from_utf8(&whole).ok()?).await,
            }
        }
    }

    /// Takes one message of the server; gives the call's result if it is that.
    async fn take(&self, raised: &mut Raised, text: &str) -> Option<Result<Value, RpcError>> {
        match jsonrpc::message(serde_json::from_str(text).ok()?).ok()? {
            Message::Response { id, result } if id == self.id.as_str() => return Some(result),
            // An answer to no call of ours helps nobody.
            Message::Response { .. } => {}
            Message::Request { id: Some(id), method, params } => {
                self.raise(raised, id, &method, params).await;
            }
            Message::Request { id: None, method, params } => {
                let _ = self.told.send(jsonrpc::notification(&method, &params)).await;
            }
        }
        None
    }

    /// Relays a call that the server has raised, as a request of its own.
    async fn raise(&self, raised: &mut Raised, id: Value, method: &str, params: Value) {
        if !raised.seen.insert(id.to_string()) {
            return;
        }
        let tool = match self.relay.tool(method, &params) {
            Ok(_) if self.depth + 1 >= DEEPEST => Err(RpcError::Invalid("calls are nested too deep")),
            tool => tool,
        };
        match tool {
            Ok(tool) => {
                let left = self.until.saturating_duration_since(Instant::now()).as_micros() as Micros;
                self.effect.fetch_or(tool.has_side_effects, Ordering::Relaxed);
                let call = Call { id: id.clone(), params, session: self.call.session, time_left: Some(left) };
                let relayed = self.relay.clone().relay(call, tool, self.told.clone(), self.depth + 1);
                raised.open.spawn(async move { (id, relayed.await) });
            }
            Err(error) => self.hand_back(id, Err(error)).await,
        }
    }

    /// Gives a raised call's result to the server under its own id, and tells the client's stream of it.
    async fn hand_back(&self, raised: Value, result: Result<Value, RpcError>) {
        let message = jsonrpc::response(&raised, &result);
        self.relay.hub.post_to_owner(&self.ticket, self.relay.payload(&self.id, message)).await;
        let _ = self.told.send(jsonrpc::tool_result(&self.call.id, &raised, &result)).await;
    }

    /// The call is answered: what it has raised still comes to its own end, unless the client leaves.
    async fn finish(self, mut raised: Raised) {
        loop {
            tokio::select! {
                () = self.told.closed() => return,
                ended = raised.open.join_next() => match ended {
                    Some(Ok((id, result))) => self.hand_back(id, result).await,
                    Some(Err(_)) => {}
                    None => return,
                },
            }
        }
    }
}
