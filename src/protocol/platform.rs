//! The platform's protocol: headers of a request, the list of servers, load reports and the events that
//! an answer ends with.

use bytes::{Bytes, BytesMut};
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderMap, StatusCode};
use serde::Deserialize;
use thiserror::Error;

use super::settings::{Names, ReportField, digest, index};
use crate::interface::*;

/// The most that a body may hold.
pub const MAX_BODY_BYTES: usize = 256 * 1024;
/// Header that names a request.
pub const ID: &str = "x-correlation-id";
/// Header that tells how long the sender will wait.
pub const TIME_LEFT: &str = "x-time-left-ms";
/// Header that proves that a request did not run.
pub const UNPROCESSED: &str = "x-unprocessed";
/// Header with a load report, and the name of the comment with it at a stream's end.
pub const LOAD: &str = "x-backend-load";

/// Why a request is answered 400.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum BadRequest {
    /// A header that has to be there is not.
    #[error("the header {0} is missing")]
    Missing(&'static str),
    /// A header does not hold what it should.
    #[error("the header {0} can't be read")]
    Malformed(&'static str),
}

/// What the headers of a request say.
#[derive(Clone, Debug, PartialEq)]
pub struct Heading {
    /// The id, as the client wrote it.
    pub id: String,
    /// The request as the decisions take it, without id and expiry.
    pub request: Request,
    /// How long the client waits.
    pub time_left: Micros,
}

fn text<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<Option<&'a str>, BadRequest> {
    headers.get(name).map(|v| v.to_str().map_err(|_| BadRequest::Malformed(name))).transpose()
}

fn whole(text: &str, name: &'static str) -> Result<u64, BadRequest> {
    text.trim().parse().map_err(|_| BadRequest::Malformed(name))
}

/// Reads a request's headers.
pub fn heading(headers: &HeaderMap, names: &Names) -> Result<Heading, BadRequest> {
    let need = |name| text(headers, name)?.filter(|t| !t.is_empty()).ok_or(BadRequest::Missing(name));
    let id = need(ID)?;
    if id.len() > 128 || !id.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(&b)) {
        return Err(BadRequest::Malformed(ID));
    }
    let class = index("class", &names.classes, need("x-service-class")?)
        .map_err(|_| BadRequest::Malformed("x-service-class"))?;
    let time_left = whole(need(TIME_LEFT)?, TIME_LEFT)?;
    let mut request = Request { class: ClassId(class), ..Request::plain() };
    request.session = text(headers, "x-session-key")?.map(|key| SessionKey(digest(key)));
    if let Some(name) = text(headers, "x-account")? {
        let tenant = index("tenant", &names.tenants, name).map_err(|_| BadRequest::Malformed("x-account"))?;
        request.tenant = Some(TenantId(tenant));
    }
    request.hint = text(headers, "x-weight-hint")?.map(|hint| whole(hint, "x-weight-hint")).transpose()?;
    // "again" is a client that comes for the rest of a stream: no repeat of a try.
    request.resent = text(headers, "x-repeat")? == Some("1");
    facts(need("x-facts")?, &mut request)?;
    Ok(Heading { id: id.to_string(), request, time_left: time_left.saturating_mul(1000) })
}

fn facts(text: &str, request: &mut Request) -> Result<(), BadRequest> {
    const NAME: &str = "x-facts";
    let mut prompt = None;
    for fact in text.split(',') {
        let (name, value) = fact.trim().split_once('=').ok_or(BadRequest::Malformed(NAME))?;
        match name {
            "prefix" => request.prefix = Some(PrefixKey(digest(value))),
            "prompt_len" => prompt = Some(whole(value, NAME)?),
            "prefix_len" => request.prefix_tokens = whole(value, NAME)?,
            "max_out" => request.max_tokens = whole(value, NAME)?,
            _ => {}
        }
    }
    // Lengths beyond this are no prompts; the bound keeps sums of them in range.
    const MOST_TOKENS: u64 = 1 << 40;
    request.prompt_tokens = prompt.ok_or(BadRequest::Malformed(NAME))?;
    if request.prompt_tokens.max(request.max_tokens).max(request.prefix_tokens) > MOST_TOKENS {
        return Err(BadRequest::Malformed(NAME));
    }
    Ok(())
}

/// How an answer that is no stream ends an attempt.
pub fn outcome(status: StatusCode, headers: &HeaderMap) -> Outcome {
    let mut proofs = headers.get_all(UNPROCESSED).iter().peekable();
    let unprocessed = proofs.peek().is_some() && proofs.all(|proof| proof == "1");
    match (status.as_u16(), unprocessed) {
        (202, _) => Outcome::Read,
        (410, true) => Outcome::NoState,
        (503 | 504, true) => Outcome::Full,
        _ => Outcome::Error,
    }
}

/// Whether an answer's body tells its own end: where only its connection's end does, a part looks like the whole.
pub fn is_self_delimiting(headers: &HeaderMap) -> bool {
    headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}

#[derive(Deserialize)]
struct ReadReply {
    #[serde(default)]
    cached_tokens: u64,
}

/// The tokens that a reader found kept, by its answer's body.
pub fn kept_tokens(body: &[u8]) -> u64 {
    serde_json::from_slice::<ReadReply>(body).map_or(0, |reply| reply.cached_tokens)
}

/// The largest value of a report, in thousands of tokens or in requests: that many would wait for hours.
const MOST_REPORTED: f64 = 1e5;

/// Reads a load report such as `TEXT inflight=7, queue=2, util=0.61`; unknown fields, and values that no server can
/// mean, are passed over.
pub fn report(text: &str, fields: &[ReportField]) -> Option<Report> {
    let text = text.trim();
    let text = text.strip_prefix("TEXT").unwrap_or(text);
    let mut report = Report::default();
    let mut any = false;
    for part in text.split(',') {
        let Some((name, value)) = part.trim().split_once('=') else { continue };
        let Some(value) = value.trim().parse::<f64>().ok().filter(|v| (0.0..=MOST_REPORTED).contains(v))
        else {
            continue;
        };
        any = true;
        let named = |field| fields.contains(&field);
        match name.trim() {
            "latency_ms" | "mean_ms" if named(ReportField::Latency) => {
                report.latency = Some((value * 1000.0) as Micros);
            }
            "x0" if named(ReportField::MemoryShare) => report.memory_share = Some(value),
            "x1" if named(ReportField::WaitingThousands) => report.waiting_tokens = Some(value * 1000.0),
            "queue" | "depth" if named(ReportField::Waiting) => report.waiting = Some(value),
            _ => {}
        }
    }
    any.then_some(report)
}

/// Bytes that are no stream of events, though they came as one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the stream is spoilt")]
pub struct MalformedStream;

/// Watches a stream of events go by for what its end tells, and for what does not belong into it: a chunk
/// whose size is wrong brings another's frame in its midst, or goes on for ever.
#[derive(Default)]
pub struct StreamInspector {
    /// The event that has not ended yet.
    held: BytesMut,
    /// Data lines so far: comments are no events.
    pub events: u64,
    /// Prompt tokens found kept.
    pub kept_tokens: u64,
    /// The load report's text.
    pub load: Option<String>,
}

#[derive(Deserialize)]
struct Chunk {
    usage: Option<Usage>,
}

#[derive(Deserialize)]
struct Usage {
    prompt_tokens_details: Option<ReadReply>,
}

impl StreamInspector {
    /// The longest event: what goes on beyond it is none.
    const MOST_EVENT: usize = 256 * 1024;

    /// Takes the next bytes; gives all events that are whole now, unchanged.
    pub fn feed(&mut self, bytes: Bytes) -> Result<Bytes, MalformedStream> {
        // Events have none: it is the frame of a chunk that another has swallowed, perhaps the last one.
        if bytes.contains(&b'\r') {
            return Err(MalformedStream);
        }
        let all = if self.held.is_empty() {
            bytes
        } else {
            self.held.extend_from_slice(&bytes);
            self.held.split().freeze()
        };
        let whole = all.windows(2).rposition(|pair| pair == b"\n\n").map_or(0, |at| at + 2);
        self.held.extend_from_slice(&all[whole..]);
        if self.held.len() > Self::MOST_EVENT {
            return Err(MalformedStream);
        }
        let whole = all.slice(..whole);
        whole.split(|byte| *byte == b'\n').try_for_each(|line| self.line(line))?;
        Ok(whole)
    }

    /// What is left when the stream has ended whole.
    pub fn finish(&mut self) -> Result<Bytes, MalformedStream> {
        let rest = self.held.split().freeze();
        rest.split(|byte| *byte == b'\n').try_for_each(|line| self.line(line))?;
        Ok(rest)
    }

    fn line(&mut self, line: &[u8]) -> Result<(), MalformedStream> {
        const FIELDS: [&str; 4] = ["data", "event", "id", "retry"];
        let line = std::str::from_utf8(line).map_err(|_| MalformedStream)?;
        let Some((name, value)) = line.split_once(':') else {
            self.events += u64::from(line == "data");
            return if line.is_empty() || FIELDS.contains(&line) { Ok(()) } else { Err(MalformedStream) };
        };
        self.events += u64::from(name == "data");
        if name.is_empty() {
            self.load = value
                .split_once(':')
                .filter(|(name, _)| name.trim().eq_ignore_ascii_case(LOAD))
                .map(|(_, text)| text.trim().to_string())
                .or(self.load.take());
        } else if name == "data" && value.contains("\"usage\"") {
            let usage = serde_json::from_str::<Chunk>(value.trim()).ok().and_then(|chunk| chunk.usage);
            if let Some(details) = usage.and_then(|usage| usage.prompt_tokens_details) {
                self.kept_tokens = details.cached_tokens;
            }
        }
        if name.is_empty() || FIELDS.contains(&name) { Ok(()) } else { Err(MalformedStream) }
    }
}

/// An answer of discovery.
#[derive(Clone, Debug, Deserialize)]
pub struct List {
    /// The list's version.
    pub revision: u64,
    /// The whole list, or only what changed.
    pub complete: bool,
    /// The entries.
    pub members: Vec<Member>,
}

/// The number of the server with this id. Every conductor finds the same, as the decisions lay homes out by it.
pub fn server_number(id: &str) -> ServerId {
    let digest = digest(id);
    ServerId((digest ^ (digest >> 32)) as u32)
}

/// One server on the list.
#[derive(Clone, Debug, Deserialize)]
pub struct Member {
    /// Its name, the same at every conductor.
    pub id: String,
    /// Where it listens.
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
    /// The server's number.
    pub fn server(&self) -> ServerId {
        server_number(&self.id)
    }

    /// The entry as the decisions take it; none if it names what the settings don't know. `started` maps
    /// Unix time in milliseconds to the event clock.
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
