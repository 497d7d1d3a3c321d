//! Relays JSON-RPC tool calls to tool servers through the core: it maps ids, follows the answer's stream and relays
//! the nested calls that the server makes in it. The core decides which server is called, and whether a call is sent
//! again.

mod nested;

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::header::{ACCEPT, CONTENT_TYPE};
use http::{HeaderMap, HeaderValue, Method};
use serde_json::Value;
use tokio::sync::{OwnedSemaphorePermit, mpsc, watch};
use tokio::time::Instant;
use tokio_util::task::TaskTracker;

use self::nested::{NestedCalls, PromisedResult, RaisingCall, nested_time_left};
use super::delivery::{CallState, PostTarget};
use super::hub::message::{Body, Hub, Part, Payload, Reply, RequestHandle};
use super::memory::{Charge, MemoryBudget, PartialEvents, REQUEST_BYTES};
use crate::interface::*;
use crate::limits::memory::OutOfMemory;
use crate::protocol::jsonrpc::{self, Events, Message, RpcError};
use crate::protocol::platform::{self, MAX_BODY_BYTES};
use crate::recovery::CallEffects;
use crate::routing::{Admission, PoolId};

/// The deepest nesting of calls, so that servers that call each other in a circle come to an end.
const MAX_CALL_DEPTH: u32 = 4;
/// A token is taken to be four characters long when a call's prompt tokens are estimated.
const CHARACTERS_PER_TOKEN: u64 = 4;
/// Size limit in bytes of an answer that is not a stream of events.
const MAX_ANSWER_BYTES: usize = 1024 * 1024;
/// How many messages may be queued that nobody reads.
const DISCARDED_QUEUE_CAPACITY: usize = 64;

/// How calls of one tool are treated.
#[derive(Clone, Copy, Debug)]
pub struct Tool {
    /// The class of its requests.
    pub class: ClassId,
    /// Its calls have side effects and must never run twice.
    pub has_side_effects: bool,
    /// The longest that a call may take. A client may set a shorter time.
    pub deadline: Micros,
}

/// A call to relay.
#[derive(Clone, Debug)]
pub struct Call {
    /// The client's id for it.
    pub id: Value,
    /// The call's params, which include the tool's name.
    pub params: Value,
    /// The session that the call belongs to.
    pub session: Option<SessionKey>,
    /// How long the client waits, if it says so.
    pub time_left: Option<Micros>,
}

/// Relays tool calls to their servers.
#[derive(Clone)]
pub struct Relay {
    /// The hub, to which requests are handed in.
    pub hub: Hub,
    /// The pool of the tool servers.
    pub pool: PoolId,
    /// The tools that may be called.
    pub tools: Arc<HashMap<String, Tool>>,
    /// The path at which tool servers accept calls.
    pub path: Arc<str>,
    /// The prefix of the ids under which this conductor relays calls.
    pub id_prefix: Arc<str>,
    /// The number in the next of these ids.
    pub next_number: Arc<AtomicU64>,
    /// The tasks of calls for which no client's connection may be open. The process ends once they are finished.
    pub unattended: TaskTracker,
}

/// A call whose parameters are charged to the memory budget.
pub struct ChargedCall {
    /// The call.
    pub call: Call,
    /// What the calls that came in one message occupy, until all of them are sent to their servers.
    pub memory: Option<Arc<Charge>>,
}

/// The result of a call, charged to the memory budget while it exists.
pub struct CallOutcome {
    /// The result.
    pub result: Result<Value, RpcError>,
    memory: Option<Charge>,
}

impl From<RpcError> for CallOutcome {
    fn from(error: RpcError) -> Self {
        CallOutcome { result: Err(error), memory: None }
    }
}

impl CallOutcome {
    /// Returns the message that tells the client of the result of its call.
    pub fn into_response(self, id: &Value) -> ClientMessage {
        ClientMessage { value: jsonrpc::response(id, &self.result), memory: self.memory }
    }
}

/// A JSON-RPC message to a client, charged to the memory budget while it exists.
pub struct ClientMessage {
    /// The message.
    pub value: Value,
    memory: Option<Charge>,
}

impl From<Value> for ClientMessage {
    fn from(value: Value) -> Self {
        ClientMessage { value, memory: None }
    }
}

impl ClientMessage {
    /// Returns the message as a server-sent event.
    pub fn into_event(self) -> Bytes {
        let event = jsonrpc::event(&self.value);
        match self.memory {
            Some(charge) => charge.attach(event.into_bytes()),
            None => Bytes::from(event),
        }
    }
}

/// Sends JSON-RPC messages to the client: besides final answers, what relayed calls report before them.
pub type ClientSender = mpsc::Sender<ClientMessage>;

impl Relay {
    /// Returns the tool that a request calls.
    pub fn tool(&self, method: &str, params: &Value) -> Result<Tool, RpcError> {
        if method != jsonrpc::CALL {
            return Err(RpcError::Method);
        }
        let name = jsonrpc::tool(params)?;
        self.tools.get(&name).copied().ok_or(RpcError::Params("there is no such tool"))
    }

    /// Runs a call to its final answer. Dropping the future cancels the call.
    pub async fn run(&self, call: ChargedCall, tool: Tool, to_client: &ClientSender) -> CallOutcome {
        let nesting = Nesting { depth: 0, effects: CallEffects::of_client_call(tool.has_side_effects) };
        self.clone().relay(call, tool, to_client.clone(), nesting).await
    }

    /// Runs a call that nobody waits for, in a task of its own, which keeps the permit until the call has ended.
    pub fn run_unattended(&self, call: ChargedCall, tool: Tool, permit: Option<OwnedSemaphorePermit>) {
        let (to_client, mut discarded) = mpsc::channel::<ClientMessage>(DISCARDED_QUEUE_CAPACITY);
        tokio::spawn(async move { while discarded.recv().await.is_some() {} });
        let relay = self.clone();
        self.unattended.spawn(async move {
            relay.run(call, tool, &to_client).await;
            drop(permit);
        });
    }

    /// Relays a call at a depth of nesting. This is not an `async fn` because calls make nested calls, and a future
    /// can't contain itself.
    fn relay(
        self,
        ChargedCall { call, memory: params_memory }: ChargedCall,
        tool: Tool,
        to_client: ClientSender,
        nesting: Nesting,
    ) -> futures_util::future::BoxFuture<'static, CallOutcome> {
        Box::pin(async move {
            let time_left = call.time_left.unwrap_or(tool.deadline).min(tool.deadline);
            let expires_at = Instant::now() + Duration::from_micros(time_left);
            let id = format!("{}-{}", self.id_prefix, self.next_number.fetch_add(1, Ordering::Relaxed));
            let Call { id: client_id, params, session, .. } = call;
            let message = jsonrpc::call(&id, &params).to_string();
            drop((params, params_memory));
            if message.len() > MAX_BODY_BYTES {
                return RpcError::Invalid("too large").into();
            }
            let Ok(memory) = self.memory().charge_request(REQUEST_BYTES + message.len()) else {
                tracing::debug!(target: "birchspur::memory", { request.id = id.as_str() }, "call refused");
                self.hub.report_refused(self.pool, tool.class);
                return RpcError::Refused(None).into();
            };
            let mut payload = self.payload(&id, message.into());
            payload.memory = Some(Arc::new(memory));
            let prompt_tokens = payload.body.len() as u64 / CHARACTERS_PER_TOKEN;
            let request = Request { class: tool.class, session, prompt_tokens, ..Request::plain() };
            let admission = Admission { pool: self.pool, request, time_left };
            match self.hub.submit(admission, payload).await {
                (Reply::Refused(after), _) => RpcError::Refused(after).into(),
                (Reply::Failed { may_have_run: true, .. }, _) if tool.has_side_effects => {
                    RpcError::MayHaveRun.into()
                }
                (Reply::Failed { overdue: true, .. }, _) => RpcError::Deadline.into(),
                (Reply::Failed { .. } | Reply::IdInUse, _) => RpcError::Failed.into(),
                (Reply::Stream(body), request_handle) => {
                    let stream = AnswerStream {
                        relay: self,
                        client_id,
                        session,
                        id: id.clone(),
                        server: body.server.clone(),
                        state: watch::Sender::new(CallState::Open),
                        _request_handle: request_handle,
                        to_client,
                        nesting: nesting.clone(),
                        expires_at,
                    };
                    let answer = tokio::time::timeout_at(expires_at, stream.follow(body)).await;
                    answer
                        .unwrap_or(Err(AnswerFailure::Late))
                        .unwrap_or_else(|failure| nesting.report(&id, failure))
                }
            }
        })
    }

    /// Returns the payload that carries a call to a tool server.
    fn payload(&self, id: &str, body: Bytes) -> Payload {
        let headers = Self::headers(id);
        let (id, path) = (id.to_string(), self.path.to_string());
        Payload { id, method: Method::POST, path, headers, body, memory: None }
    }

    /// Returns the headers of a message to a tool server that belongs to the call under this id.
    fn headers(id: &str) -> HeaderMap {
        let mut headers = HeaderMap::new();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        headers.insert(ACCEPT, HeaderValue::from_static("application/json, text/event-stream"));
        if let Ok(id) = id.parse() {
            headers.insert(platform::ID, id);
        }
        headers
    }

    /// Returns the memory budget.
    pub fn memory(&self) -> &MemoryBudget {
        &self.hub.budget().memory
    }
}

/// Where a call stands among the calls that are nested in each other.
#[derive(Clone)]
struct Nesting {
    /// 0 for a client's call.
    depth: u32,
    /// What the call and those below it may have done.
    effects: CallEffects,
}

/// Why an answer that had begun has brought no response.
#[derive(Clone, Copy, Debug)]
enum AnswerFailure {
    /// It ended or can't be read.
    Broken,
    /// There was no memory to read it.
    OutOfMemory,
    /// The deadline passed.
    Late,
}

impl From<OutOfMemory> for AnswerFailure {
    fn from(_: OutOfMemory) -> Self {
        AnswerFailure::OutOfMemory
    }
}

impl Nesting {
    /// Returns what the caller is told of a failed answer. Calls below this one may still run, so the promise that nothing
    /// took effect is made only if it can be kept.
    fn report(&self, id: &str, failure: AnswerFailure) -> CallOutcome {
        let had_no_effect = self.effects.rule_out();
        tracing::debug!(
            target: "birchspur::relay",
            { request.id = id, depth = self.depth, ?failure, had_no_effect },
            "the answer brought no response"
        );
        let error = match failure {
            _ if !had_no_effect => RpcError::MayHaveRun,
            AnswerFailure::Broken | AnswerFailure::OutOfMemory => RpcError::Failed,
            AnswerFailure::Late => RpcError::Deadline,
        };
        error.into()
    }
}

/// The answer of one call, while it is read.
struct AnswerStream {
    relay: Relay,
    /// The client's id for the call.
    client_id: Value,
    session: Option<SessionKey>,
    id: String,
    /// The server that answers.
    server: Option<Arc<dyn PostTarget>>,
    /// Whether it still answers.
    state: watch::Sender<CallState>,
    _request_handle: RequestHandle,
    to_client: ClientSender,
    nesting: Nesting,
    expires_at: Instant,
}

impl AnswerStream {
    /// Follows the answer up to the call's response. Nested calls run to their own end in any case.
    async fn follow(self, body: Body) -> Result<CallOutcome, AnswerFailure> {
        let mut nested = NestedCalls::default();
        let result = self.read(body, &mut nested).await;
        self.state.send_replace(match result {
            Err(AnswerFailure::Broken) => CallState::BrokenOff,
            _ => CallState::Ended,
        });
        if !nested.open.is_empty() {
            self.relay.unattended.clone().spawn(self.finish_nested(nested));
        }
        result
    }

    /// Reads the answer up to the call's response, and starts the nested calls in it. Fails if the answer ends or can't be
    /// read before the response.
    async fn read(&self, mut body: Body, nested: &mut NestedCalls) -> Result<CallOutcome, AnswerFailure> {
        let is_event_stream = body
            .content_type
            .as_ref()
            .is_some_and(|value| value.as_bytes().starts_with(b"text/event-stream"));
        let (mut event_reader, mut buffer) = (Events::default(), Vec::new());
        let mut buffered = PartialEvents::new(self.relay.memory());
        loop {
            buffered.resize(event_reader.buffered_bytes() + buffer.capacity()).await?;
            let part = tokio::select! {
                part = body.parts.recv() => part.ok_or(AnswerFailure::Broken)?,
                Some(Ok((id, outcome))) = nested.open.join_next() => {
                    self.report_result(&id, outcome).await;
                    continue;
                }
            };
            match part {
                Part::Data(bytes) if is_event_stream => {
                    for text in event_reader.feed(&bytes).ok_or(AnswerFailure::Broken)? {
                        if let Some(result) = self.handle_message(nested, &text).await? {
                            return Ok(result);
                        }
                    }
                }
                Part::Data(bytes) if buffer.len() + bytes.len() > MAX_ANSWER_BYTES => {
                    return Err(AnswerFailure::Broken);
                }
                Part::Data(bytes) => buffer.extend_from_slice(&bytes),
                Part::End if is_event_stream => return Err(AnswerFailure::Broken),
                Part::End => {
                    let text = std::str::from_utf8(&buffer).map_err(|_| AnswerFailure::Broken)?;
                    return self.handle_message(nested, text).await?.ok_or(AnswerFailure::Broken);
                }
            }
        }
    }

    /// Handles one message of the server; returns the call's result if the message is its response. What is no JSON is
    /// ignored.
    async fn handle_message(
        &self,
        nested: &mut NestedCalls,
        text: &str,
    ) -> Result<Option<CallOutcome>, AnswerFailure> {
        let parsed_bytes = jsonrpc::parsed_size_bound(text.as_bytes());
        let mut memory = self.relay.memory().charge_answer_in_progress(parsed_bytes).await?;
        let Ok(value) = serde_json::from_str(text) else { return Ok(None) };
        match jsonrpc::message(value) {
            Ok(Message::Response { id, result }) if id == self.id.as_str() => {
                return Ok(Some(CallOutcome { result, memory: Some(memory) }));
            }
            // A response to any other id is ignored.
            Ok(Message::Response { .. }) => {}
            Ok(Message::Request { id: Some(id), method, params }) => {
                self.relay_nested(nested, id, &method, (params, memory)).await;
            }
            Ok(Message::Request { id: None, method, params }) => {
                let value = jsonrpc::notification(&method, &params);
                let _ = self.to_client.send(ClientMessage { value, memory: Some(memory) }).await;
            }
            // Only what has an id can be answered.
            Err((Value::Null, _)) => {}
            Err((id, error)) => {
                if let Some(promise) = self.promise_result(nested, &id, &mut memory).await {
                    self.refuse_nested(promise, id, error).await;
                }
            }
        }
        Ok(None)
    }

    /// Promises the server the result of a nested call; returns `None` if its id has been seen before.
    async fn promise_result(
        &self,
        nested: &mut NestedCalls,
        id: &Value,
        memory: &mut Charge,
    ) -> Option<PromisedResult> {
        let place = nested.register(id, memory, self.relay.memory()).await?;
        let call = RaisingCall {
            relay: self.relay.clone(),
            server: self.server.clone()?,
            request_id: self.id.clone(),
            expires_at: self.expires_at,
            state: self.state.subscribe(),
        };
        Some(PromisedResult::new(call, id.clone(), place))
    }

    /// Relays a nested call of the server as a request of its own.
    async fn relay_nested(
        &self,
        nested: &mut NestedCalls,
        id: Value,
        method: &str,
        (params, mut memory): (Value, Charge),
    ) {
        let Some(promise) = self.promise_result(nested, &id, &mut memory).await else { return };
        let (tool, nesting) = match self.admit_nested(method, &params) {
            Ok(admitted) => admitted,
            Err(error) => return self.refuse_nested(promise, id, error).await,
        };
        let time_left = nested_time_left(self.expires_at.saturating_duration_since(Instant::now()));
        let call = Call { id: id.clone(), params, session: self.session, time_left: Some(time_left) };
        let call = ChargedCall { call, memory: Some(Arc::new(memory)) };
        let relayed = self.relay.clone().relay(call, tool, self.to_client.clone(), nesting);
        nested.open.spawn(async move {
            let mut outcome = relayed.await;
            promise.deliver(&mut outcome);
            (id, outcome)
        });
    }

    /// Refuses a nested call: tells the server and, on its stream, the client.
    async fn refuse_nested(&self, promise: PromisedResult, id: Value, error: RpcError) {
        let mut outcome = error.into();
        promise.deliver(&mut outcome);
        self.report_result(&id, outcome).await;
    }

    /// Decides whether a nested call may run, and returns its tool and its place among the nested calls.
    fn admit_nested(&self, method: &str, params: &Value) -> Result<(Tool, Nesting), RpcError> {
        let tool = self.relay.tool(method, params)?;
        let depth = self.nesting.depth + 1;
        if depth >= MAX_CALL_DEPTH {
            return Err(RpcError::Invalid("calls are nested too deep"));
        }
        let effects = self.nesting.effects.nest(tool.has_side_effects);
        tracing::debug!(
            target: "birchspur::relay",
            {
                request.id = self.id.as_str(),
                depth,
                has_side_effects = tool.has_side_effects,
                admitted = effects.is_ok()
            },
            "nested call"
        );
        // A call above may be repeated by now, so this one must not run as well.
        let effects = effects.map_err(|_| RpcError::Failed)?;
        Ok((tool, Nesting { depth, effects }))
    }

    /// Reports a nested call's result on the client's stream.
    async fn report_result(&self, nested_id: &Value, outcome: CallOutcome) {
        let value = jsonrpc::tool_result(&self.client_id, nested_id, &outcome.result);
        let _ = self.to_client.send(ClientMessage { value, memory: outcome.memory }).await;
    }

    /// Runs the nested calls to their end after the call itself is answered, unless the client leaves.
    async fn finish_nested(self, mut nested: NestedCalls) {
        loop {
            tokio::select! {
                () = self.to_client.closed() => return,
                joined = nested.open.join_next() => match joined {
                    Some(Ok((id, outcome))) => self.report_result(&id, outcome).await,
                    Some(Err(_)) => {}
                    None => return,
                },
            }
        }
    }
}
