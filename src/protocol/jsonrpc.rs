//! JSON-RPC 2.0: its messages, its errors, and the server-sent events that carry them.

use serde::Deserialize;
use serde_json::{Map, Value, json};
use thiserror::Error;

use crate::interface::Micros;

/// The method that calls a tool.
pub const CALL: &str = "tools/call";
/// The notification by which a client calls off one of its calls.
pub const CANCELLED: &str = "notifications/cancelled";
/// The notification that tells a client what a tool answered that its server has called.
pub const TOOL_RESULT: &str = "notifications/tool_result";
/// The most messages in a batch.
pub const MAX_BATCH: usize = 32;
/// The largest event that is read from a server.
const MOST_EVENT: usize = 1024 * 1024;

/// An error as JSON-RPC knows it. Codes from -32001 on are this front's own.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum RpcError {
    /// -32700: the text is no JSON.
    #[error("parse error")]
    Parse,
    /// -32600: the JSON is no request.
    #[error("invalid request: {0}")]
    Invalid(&'static str),
    /// -32601: there is no such method.
    #[error("method not found")]
    Method,
    /// -32602: there is no such tool, or its arguments are no object.
    #[error("invalid params: {0}")]
    Params(&'static str),
    /// -32001: refused; trying again is harmless, after the time in `data`.
    #[error("refused")]
    Refused(Option<Micros>),
    /// -32002: there was no answer in time, and the call has not taken effect or may be repeated.
    #[error("deadline exceeded")]
    Deadline,
    /// -32003: failed, and the call has not taken effect or may be repeated.
    #[error("failed")]
    Failed,
    /// -32004: the call may have taken effect and must not be repeated blindly.
    #[error("failed, and may have run")]
    MayHaveRun,
    /// -32005: called off by its client.
    #[error("cancelled")]
    Cancelled,
    /// A tool server's own error, passed on as it is.
    #[error("the tool answered with an error")]
    Tool(Value),
}

impl RpcError {
    /// The code.
    pub fn code(&self) -> i64 {
        match self {
            RpcError::Parse => -32700,
            RpcError::Invalid(_) => -32600,
            RpcError::Method => -32601,
            RpcError::Params(_) => -32602,
            RpcError::Refused(_) => -32001,
            RpcError::Deadline => -32002,
            RpcError::Failed => -32003,
            RpcError::MayHaveRun => -32004,
            RpcError::Cancelled => -32005,
            RpcError::Tool(error) => error.get("code").and_then(Value::as_i64).unwrap_or(-32003),
        }
    }

    fn object(&self) -> Value {
        if let RpcError::Tool(error) = self {
            return error.clone();
        }
        let mut object = json!({"code": self.code(), "message": self.to_string()});
        if let RpcError::Refused(Some(after)) = self {
            object["data"] = json!({"retry_after_ms": after.div_ceil(1000)});
        }
        object
    }
}

/// The response to a call.
pub fn response(id: &Value, result: &Result<Value, RpcError>) -> Value {
    match result {
        Ok(result) => json!({"jsonrpc": "2.0", "id": id, "result": result}),
        Err(error) => json!({"jsonrpc": "2.0", "id": id, "error": error.object()}),
    }
}

/// A call of a tool.
pub fn call(id: &str, params: &Value) -> Value {
    json!({"jsonrpc": "2.0", "id": id, "method": CALL, "params": params})
}

/// A notification, passed on.
pub fn notification(method: &str, params: &Value) -> Value {
    json!({"jsonrpc": "2.0", "method": method, "params": params})
}

/// Tells a client what a tool answered that the server of its call `id` has called as `raised`.
pub fn tool_result(id: &Value, raised: &Value, result: &Result<Value, RpcError>) -> Value {
    json!({"jsonrpc": "2.0", "method": TOOL_RESULT, "params": {"call": id, "response": response(raised, result)}})
}

/// One message.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// A request, or without an id a notification.
    Request {
        /// Its id.
        id: Option<Value>,
        /// Its method.
        method: String,
        /// Its params, null if there are none.
        params: Value,
    },
    /// A response.
    Response {
        /// The id of its request.
        id: Value,
        /// What it brings.
        result: Result<Value, RpcError>,
    },
}

/// What a POST holds.
#[derive(Debug, PartialEq)]
pub enum Post {
    /// A message by itself; a fault comes with the id that it belongs to, where there is one.
    Single(Result<Message, (Value, RpcError)>),
    /// A batch.
    Batch(Vec<Result<Message, (Value, RpcError)>>),
}

/// Reads the body of a POST.
pub fn parse(body: &[u8]) -> Result<Post, RpcError> {
    match serde_json::from_slice(body).map_err(|_| RpcError::Parse)? {
        Value::Array(batch) if batch.is_empty() => Err(RpcError::Invalid("an empty batch")),
        Value::Array(batch) if batch.len() > MAX_BATCH => Err(RpcError::Invalid("too long a batch")),
        Value::Array(batch) => Ok(Post::Batch(batch.into_iter().map(message).collect())),
        value => Ok(Post::Single(message(value))),
    }
}

/// Reads one message.
pub fn message(value: Value) -> Result<Message, (Value, RpcError)> {
    let Value::Object(mut fields) = value else {
        return Err((Value::Null, RpcError::Invalid("not an object")));
    };
    let id = match fields.remove("id") {
        id @ (None | Some(Value::String(_) | Value::Number(_))) => id,
        Some(_) => return Err((Value::Null, RpcError::Invalid("the id is no string and no number"))),
    };
    let known = id.clone().unwrap_or(Value::Null);
    if fields.get("jsonrpc").and_then(Value::as_str) != Some("2.0") {
        return Err((known, RpcError::Invalid("not JSON-RPC 2.0")));
    }
    match (fields.remove("method"), id) {
        (Some(Value::String(method)), id) => {
            let params = fields.remove("params").unwrap_or(Value::Null);
            Ok(Message::Request { id, method, params })
        }
        (None, Some(id)) => answer(fields, id),
        _ => Err((known, RpcError::Invalid("no method"))),
    }
}

fn answer(mut fields: Map<String, Value>, id: Value) -> Result<Message, (Value, RpcError)> {
    match (fields.remove("result"), fields.remove("error")) {
        (Some(result), None) => Ok(Message::Response { id, result: Ok(result) }),
        (None, Some(error)) if error.is_object() => {
            Ok(Message::Response { id, result: Err(RpcError::Tool(error)) })
        }
        _ => Err((id, RpcError::Invalid("neither a request nor a response"))),
    }
}

#[derive(Deserialize)]
struct CallParams {
    name: String,
    #[serde(default)]
    arguments: Value,
}

/// The tool that a call names.
pub fn tool(params: &Value) -> Result<String, RpcError> {
    let call = CallParams::deserialize(params).map_err(|_| RpcError::Params("no tool is named"))?;
    match call.arguments {
        Value::Null | Value::Object(_) => Ok(call.name),
        _ => Err(RpcError::Params("the arguments are no object")),
    }
}

/// The id of the call that a notification calls off.
pub fn cancelled(params: &Value) -> Option<&Value> {
    params.get("requestId")
}

/// A message as a server-sent event.
pub fn event(message: &Value) -> String {
    format!("data: {message}\n\n")
}

/// Reads server-sent events from the bytes of a stream.
#[derive(Default)]
pub struct Events {
    line: Vec<u8>,
    data: String,
}

impl Events {
    /// Takes the next bytes and gives the data of the events that they complete; none if the stream is none
    /// of events, or holds one that is too large.
    pub fn feed(&mut self, bytes: &[u8]) -> Option<Vec<String>> {
        let mut events = Vec::new();
        for part in bytes.split_inclusive(|b| *b == b'\n') {
            self.line.extend_from_slice(part);
            if self.line.len() + self.data.len() > MOST_EVENT {
                return None;
            }
            if part.ends_with(b"\n") {
                let line = String::from_utf8(std::mem::take(&mut self.line)).ok()?;
                let line = line.trim_end_matches(['\r', '\n']);
                if let Some(data) = line.strip_prefix("data:") {
                    if !self.data.is_empty() {
                        self.data.push('\n');
                    }
                    self.data.push_str(data.strip_prefix(' ').unwrap_or(data));
                } else if line.is_empty() && !self.data.is_empty() {
                    events.push(std::mem::take(&mut self.data));
                }
            }
        }
        Some(events)
    }
}

#[cfg(test)]
mod tests;
