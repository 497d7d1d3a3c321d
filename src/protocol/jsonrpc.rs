//! JSON-RPC 2.0: its messages, its errors, and the server-sent events that carry them.

use serde::Deserialize;
use serde_json::{Map, Value, json};
use thiserror::Error;

use crate::interface::Micros;

/// The method that calls a tool.
pub const CALL: &str = "tools/call";
/// The notification by which a client cancels one of its calls.
pub const CANCELLED: &str = "notifications/cancelled";
/// The notification that passes the result of a nested call to the client: of a tool that the server called while it
/// handled the client's call.
pub const TOOL_RESULT: &str = "notifications/tool_result";
/// The most messages in a batch.
pub const MAX_BATCH: usize = 32;
/// The largest server-sent event that is accepted from a server, in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// A JSON-RPC error. The codes from -32001 to -32005 are defined by this project.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum RpcError {
    /// -32700: the text is not valid JSON.
    #[error("parse error")]
    Parse,
    /// -32600: the JSON is not a valid request.
    #[error("invalid request: {0}")]
    Invalid(&'static str),
    /// -32601: the method does not exist.
    #[error("method not found")]
    Method,
    /// -32602: the tool does not exist, or its arguments are not an object.
    #[error("invalid params: {0}")]
    Params(&'static str),
    /// -32001: the call was refused and may safely be retried, after the time in `data`.
    #[error("refused")]
    Refused(Option<Micros>),
    /// -32002: there was no answer by the deadline; the call has not taken effect or may be repeated.
    #[error("deadline exceeded")]
    Deadline,
    /// -32003: the call failed; it has not taken effect or may be repeated.
    #[error("failed")]
    Failed,
    /// -32004: the call failed but may have taken effect, and must not be repeated blindly.
    #[error("failed, and may have run")]
    MayHaveRun,
    /// -32005: the client cancelled the call.
    #[error("cancelled")]
    Cancelled,
    /// An error of the tool server, passed on unchanged.
    #[error("the tool answered with an error")]
    Tool(Value),
}

impl RpcError {
    /// Returns the error code. For a tool server's error without one this is the code of `Failed`.
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

    /// Returns the error object of a response.
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

/// Builds the response to a call.
pub fn response(id: &Value, result: &Result<Value, RpcError>) -> Value {
    match result {
        Ok(result) => json!({"jsonrpc": "2.0", "id": id, "result": result}),
        Err(error) => json!({"jsonrpc": "2.0", "id": id, "error": error.object()}),
    }
}

/// Builds the request that calls a tool.
pub fn call(id: &str, params: &Value) -> Value {
    json!({"jsonrpc": "2.0", "id": id, "method": CALL, "params": params})
}

/// Builds a notification.
pub fn notification(method: &str, params: &Value) -> Value {
    json!({"jsonrpc": "2.0", "method": method, "params": params})
}

/// Builds the notification of a nested call's result: the server that handled the client's call `id` has itself
/// called a tool, under the id `nested_id`.
pub fn tool_result(id: &Value, nested_id: &Value, result: &Result<Value, RpcError>) -> Value {
    json!({"jsonrpc": "2.0", "method": TOOL_RESULT, "params": {"call": id, "response": response(nested_id, result)}})
}

/// A JSON-RPC message.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// A request; without an id it is a notification.
    Request {
        /// The id.
        id: Option<Value>,
        /// The method.
        method: String,
        /// The parameters; null if there are none.
        params: Value,
    },
    /// A response.
    Response {
        /// The id of the request.
        id: Value,
        /// The result, or the error.
        result: Result<Value, RpcError>,
    },
}

/// The content of a POST.
#[derive(Debug, PartialEq)]
pub enum Post {
    /// A single message. An error carries the id of the faulty message, or null if it has none.
    Single(Result<Message, (Value, RpcError)>),
    /// A batch of messages.
    Batch(Vec<Result<Message, (Value, RpcError)>>),
}

/// Returns an upper bound of the memory that JSON of this text takes: the text, its parsed values, and one copy of these.
/// Values may take a hundred times their text, so this is asked for before the text is parsed.
pub fn parsed_size_bound(text: &[u8]) -> usize {
    /// A node of a map holds up to eleven entries, and takes its full size with the first.
    const MAP_BYTES: usize = 640;
    /// An entry of a map, at the lowest use of its nodes, with its key.
    const ENTRY_BYTES: usize = 144;
    /// An array has room for four values at least.
    const ARRAY_BYTES: usize = 144;
    /// A value, in an array that has just been doubled.
    const VALUE_BYTES: usize = 64;
    /// Half of the least allocation for a string.
    const QUOTE_BYTES: usize = 16;
    let parsed: usize = text
        .iter()
        .map(|byte| match byte {
            b'{' => MAP_BYTES,
            b':' => ENTRY_BYTES,
            b'[' => ARRAY_BYTES,
            b',' => VALUE_BYTES,
            b'"' => QUOTE_BYTES,
            _ => 1,
        })
        .sum();
    text.len() + 2 * parsed
}

/// Parses the body of a POST.
pub fn parse(body: &[u8]) -> Result<Post, RpcError> {
    match serde_json::from_slice(body).map_err(|_| RpcError::Parse)? {
        Value::Array(batch) if batch.is_empty() => Err(RpcError::Invalid("an empty batch")),
        Value::Array(batch) if batch.len() > MAX_BATCH => Err(RpcError::Invalid("too long a batch")),
        Value::Array(batch) => Ok(Post::Batch(batch.into_iter().map(message).collect())),
        value => Ok(Post::Single(message(value))),
    }
}

/// Parses one message.
pub fn message(value: Value) -> Result<Message, (Value, RpcError)> {
    let Value::Object(mut fields) = value else {
        return Err((Value::Null, RpcError::Invalid("not an object")));
    };
    let id = match fields.remove("id") {
        id @ (None | Some(Value::String(_) | Value::Number(_))) => id,
        Some(_) => return Err((Value::Null, RpcError::Invalid("the id is no string and no number"))),
    };
    let error_id = id.clone().unwrap_or(Value::Null);
    if fields.get("jsonrpc").and_then(Value::as_str) != Some("2.0") {
        return Err((error_id, RpcError::Invalid("not JSON-RPC 2.0")));
    }
    match (fields.remove("method"), id) {
        (Some(Value::String(method)), id) => {
            let params = fields.remove("params").unwrap_or(Value::Null);
            Ok(Message::Request { id, method, params })
        }
        (None, Some(id)) => parse_response(fields, id),
        _ => Err((error_id, RpcError::Invalid("no method"))),
    }
}

fn parse_response(mut fields: Map<String, Value>, id: Value) -> Result<Message, (Value, RpcError)> {
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

/// Returns the name of the tool that a call's parameters give.
pub fn tool(params: &Value) -> Result<String, RpcError> {
    let call = CallParams::deserialize(params).map_err(|_| RpcError::Params("no tool is named"))?;
    match call.arguments {
        Value::Null | Value::Object(_) => Ok(call.name),
        _ => Err(RpcError::Params("the arguments are no object")),
    }
}

/// Returns the id of the call that a cancellation refers to.
pub fn cancelled(params: &Value) -> Option<&Value> {
    params.get("requestId")
}

/// Formats a message as a server-sent event.
pub fn event(message: &Value) -> String {
    format!("data: {message}\n\n")
}

/// Parses server-sent events from the bytes of a stream.
#[derive(Default)]
pub struct Events {
    /// The current line so far.
    line: Vec<u8>,
    /// The data of the current event so far.
    data: String,
}

impl Events {
    /// Returns how many bytes are buffered.
    pub fn buffered_bytes(&self) -> usize {
        self.line.capacity() + self.data.capacity()
    }

    /// Parses the next bytes and returns the data of the events that they complete. Returns `None` if the stream is
    /// not UTF-8 or an event is too large.
    pub fn feed(&mut self, bytes: &[u8]) -> Option<Vec<String>> {
        let mut events = Vec::new();
        for part in bytes.split_inclusive(|b| *b == b'\n') {
            self.line.extend_from_slice(part);
            if self.line.len() + self.data.len() > MAX_EVENT_BYTES {
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
