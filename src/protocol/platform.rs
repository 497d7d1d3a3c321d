//! The platform's protocol: request headers, the list of servers and load reports.

use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderMap, StatusCode};
use serde::Deserialize;
use thiserror::Error;

use super::settings::{Names, ReportField, digest, index};
use crate::interface::*;

/// The largest body of a request, in bytes.
pub const MAX_BODY_BYTES: usize = 256 * 1024;
/// Header with the id of a request.
pub const ID: &str = "x-correlation-id";
/// Header with the time for which the sender waits, in milliseconds.
pub const TIME_LEFT: &str = "x-time-left-ms";
/// Header that proves that a request was not processed.
pub const UNPROCESSED: &str = "x-unprocessed";
/// Header with a load report. A comment of the same name carries the report at the end of a stream.
pub const LOAD: &str = "x-backend-load";

/// Why a request is answered with status 400.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum BadRequest {
    /// A required header is missing or empty.
    #[error("the header {0} is missing")]
    Missing(&'static str),
    /// The value of a header is invalid.
    #[error("the header {0} can't be read")]
    Malformed(&'static str),
}

/// The content of a request's headers.
#[derive(Clone, Debug, PartialEq)]
pub struct Heading {
    /// The id, as the client wrote it.
    pub id: String,
    /// The request in the form of the decision module, without id and expiry.
    pub request: Request,
    /// How long the client waits, in microseconds.
    pub time_left: Micros,
}

fn text<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<Option<&'a str>, BadRequest> {
    headers.get(name).map(|v| v.to_str().map_err(|_| BadRequest::Malformed(name))).transpose()
}

fn parse_integer(text: &str, name: &'static str) -> Result<u64, BadRequest> {
    text.trim().parse().map_err(|_| BadRequest::Malformed(name))
}

/// Parses the headers of a request.
pub fn heading(headers: &HeaderMap, names: &Names) -> Result<Heading, BadRequest> {
    let required = |name| text(headers, name)?.filter(|t| !t.is_empty()).ok_or(BadRequest::Missing(name));
    let id = required(ID)?;
    if id.len() > 128 || !id.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(&b)) {
        return Err(BadRequest::Malformed(ID));
    }
    let class = index("class", &names.classes, required("x-service-class")?)
        .map_err(|_| BadRequest::Malformed("x-service-class"))?;
    let time_left = parse_integer(required(TIME_LEFT)?, TIME_LEFT)?;
    let mut request = Request { class: ClassId(class), ..Request::plain() };
    request.session = text(headers, "x-session-key")?.map(|key| SessionKey(digest(key)));
    if let Some(name) = text(headers, "x-account")? {
        let tenant = index("tenant", &names.tenants, name).map_err(|_| BadRequest::Malformed("x-account"))?;
        request.tenant = Some(TenantId(tenant));
    }
    request.hint =
        text(headers, "x-weight-hint")?.map(|hint| parse_integer(hint, "x-weight-hint")).transpose()?;
    // The value "again" marks a client that asks for the rest of a stream, which is not a resent request.
    request.resent = text(headers, "x-repeat")? == Some("1");
    parse_facts(required("x-facts")?, &mut request)?;
    Ok(Heading { id: id.to_string(), request, time_left: time_left.saturating_mul(1000) })
}

/// Parses the `x-facts` header, whose form is `name=value, name=value`, into the request.
fn parse_facts(text: &str, request: &mut Request) -> Result<(), BadRequest> {
    const NAME: &str = "x-facts";
    let mut prompt_tokens = None;
    for fact in text.split(',') {
        let (name, value) = fact.trim().split_once('=').ok_or(BadRequest::Malformed(NAME))?;
        match name {
            "prefix" => request.prefix = Some(PrefixKey(digest(value))),
            "prompt_len" => prompt_tokens = Some(parse_integer(value, NAME)?),
            "prefix_len" => request.prefix_tokens = parse_integer(value, NAME)?,
            "max_out" => request.max_tokens = parse_integer(value, NAME)?,
            _ => {}
        }
    }
    // No prompt is longer than this; the bound keeps sums of lengths from overflowing.
    const MAX_TOKENS: u64 = 1 << 40;
    request.prompt_tokens = prompt_tokens.ok_or(BadRequest::Malformed(NAME))?;
    if request.prompt_tokens.max(request.max_tokens).max(request.prefix_tokens) > MAX_TOKENS {
        return Err(BadRequest::Malformed(NAME));
    }
    Ok(())
}

/// Returns the outcome of an attempt whose answer is not a stream.
pub fn outcome(status: StatusCode, headers: &HeaderMap) -> Outcome {
    let mut marks = headers.get_all(UNPROCESSED).iter().peekable();
    let unprocessed = marks.peek().is_some() && marks.all(|mark| mark == "1");
    match (status.as_u16(), unprocessed) {
        (202, _) => Outcome::Read,
        (410, true) => Outcome::NoState,
        (503 | 504, true) => Outcome::Full,
        _ => Outcome::Error,
    }
}

/// Returns true if the headers delimit an answer's body. A body that ends only with its connection looks complete
/// even if it was cut off.
pub fn is_self_delimiting(headers: &HeaderMap) -> bool {
    headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}

/// What a reader reports of a prompt, in the body of its answer or with the usage at the end of a stream.
#[derive(Deserialize)]
pub(super) struct ReadReply {
    /// Prompt tokens that were found in the cache.
    #[serde(default)]
    pub(super) cached_tokens: u64,
}

/// Returns how many prompt tokens a reader found in its cache, according to the body of its answer.
pub fn kept_tokens(body: &[u8]) -> u64 {
    serde_json::from_slice::<ReadReply>(body).map_or(0, |reply| reply.cached_tokens)
}

/// The largest plausible value of a load report, in thousands of tokens or in requests: a queue that long takes
/// hours.
const MAX_REPORTED: f64 = 1e5;

/// Parses a load report such as `TEXT inflight=7, queue=2, util=0.61`. Unknown fields and implausible values are
/// ignored. Returns `None` if there is no plausible value at all.
pub fn report(text: &str, fields: &[ReportField]) -> Option<Report> {
    let text = text.trim();
    let text = text.strip_prefix("TEXT").unwrap_or(text);
    let mut report = Report::default();
    let mut has_values = false;
    for part in text.split(',') {
        let Some((name, value)) = part.trim().split_once('=') else { continue };
        let Some(value) = value.trim().parse::<f64>().ok().filter(|v| (0.0..=MAX_REPORTED).contains(v))
        else {
            continue;
        };
        has_values = true;
        let is_listed = |field| fields.contains(&field);
        match name.trim() {
            "latency_ms" | "mean_ms" if is_listed(ReportField::Latency) => {
                report.latency = Some((value * 1000.0) as Micros);
            }
            "x0" if is_listed(ReportField::MemoryShare) => report.memory_share = Some(value),
            "x1" if is_listed(ReportField::WaitingThousands) => report.waiting_tokens = Some(value * 1000.0),
            "queue" | "depth" if is_listed(ReportField::Waiting) => report.waiting = Some(value),
            _ => {}
        }
    }
    has_values.then_some(report)
}

/// A response of discovery.
#[derive(Clone, Debug, Deserialize)]
pub struct List {
    /// The revision of the list.
    pub revision: u64,
    /// True if this is the complete list, false if it holds only the changes.
    pub complete: bool,
    /// The servers on the list.
    pub members: Vec<Member>,
}

/// Returns the number of the server with this id. It is the same at every conductor, as the decision module derives
/// each prefix's preferred servers from it.
pub fn server_number(id: &str) -> ServerId {
    let digest = digest(id);
    ServerId((digest ^ (digest >> 32)) as u32)
}

/// One server on the list.
#[derive(Clone, Debug, Deserialize)]
pub struct Member {
    /// The server's name, the same at every conductor.
    pub id: String,
    /// The address that the server listens on.
    pub host_port: String,
    locality: String,
    flavor: String,
    cell: u32,
    phase: Phase,
    size: f64,
    up_since_ms: f64,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Phase {
    InService,
    Terminating,
    Terminated,
}

impl Member {
    /// Returns the server's number.
    pub fn server(&self) -> ServerId {
        server_number(&self.id)
    }

    /// Returns the entry in the form of the decision module, or `None` if it has a zone or kind that the settings
    /// don't list. `started` maps Unix time in milliseconds to the event clock.
    pub fn entry(&self, names: &Names, started: impl Fn(f64) -> Option<Micros>) -> Option<ServerEntry> {
        Some(ServerEntry {
            id: self.server(),
            zone: ZoneId(index("locality", &names.zones, &self.locality).ok()?),
            kind: KindId(index("flavor", &names.kinds, &self.flavor).ok()?),
            cell: CellId(self.cell),
            state: match self.phase {
                Phase::InService => ServerState::Ready,
                Phase::Terminating => ServerState::Draining,
                Phase::Terminated => ServerState::Gone,
            },
            weight: self.size,
            started: started(self.up_since_ms),
        })
    }
}

#[cfg(test)]
mod tests;
