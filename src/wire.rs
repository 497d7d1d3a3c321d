//! The adapter to the simulator's line protocol: it parses, maps names and ids, hosts instances by number
//! and writes replies. It decides nothing.

use std::collections::BTreeMap;
use std::io::{BufRead, Write};

use thiserror::Error;

use crate::choice::Router;
use crate::interface::*;
use crate::protocol::settings::{
    Fault, Info, Names, Parsed, ReportField, digest, fault, index, micros, number,
};

/// Input that can't be taken, or output that can't be written.
#[derive(Debug, Error)]
pub enum WireError {
    /// A line is malformed.
    #[error("line {line}: {field}: {problem}")]
    Malformed {
        /// Number of the line, from 1.
        line: u64,
        /// The field, or the message where no field is to blame.
        field: String,
        /// What is wrong.
        problem: String,
    },
    /// Reading or writing failed.
    #[error("input or output failed: {0}")]
    Io(#[from] std::io::Error),
}

/// One line, taken apart.
struct Message<'a> {
    name: &'a str,
    fields: Vec<(&'a str, &'a str)>,
}

impl<'a> Message<'a> {
    fn parse(line: &'a str) -> Parsed<Self> {
        let (name, mut rest) = line.split_once(' ').unwrap_or((line, ""));
        let mut fields = Vec::new();
        while !rest.is_empty() {
            let Some((field, after)) = rest.split_once('=') else {
                return fault(rest, "not of the form name=value");
            };
            if field.is_empty() || field.contains(' ') {
                return fault(name, "a part that is not of the form name=value");
            }
            if fields.iter().any(|(seen, _)| *seen == field) {
                return fault(field, "given twice");
            }
            let to_the_end = name == "UP" && field == "Info";
            let (value, next) =
                if to_the_end { (after, "") } else { after.split_once(' ').unwrap_or((after, "")) };
            fields.push((field, value));
            rest = next;
        }
        Ok(Message { name, fields })
    }

    fn get(&self, field: &str) -> Option<&'a str> {
        self.fields.iter().find(|(name, _)| *name == field).map(|(_, value)| *value)
    }

    fn text(&self, field: &str) -> Parsed<&'a str> {
        self.get(field).map_or_else(|| fault(field, "missing"), Ok)
    }

    fn whole<T: TryFrom<u64>>(&self, field: &str) -> Parsed<T> {
        let text = self.text(field)?;
        let number = text.parse::<u64>().ok().and_then(|n| T::try_from(n).ok());
        number.map_or_else(|| fault(field, "not a whole number in range"), Ok)
    }

    fn whole_or_zero(&self, field: &str) -> Parsed<u64> {
        if self.get(field).is_some() { self.whole(field) } else { Ok(0) }
    }

    fn flag(&self, field: &str) -> Parsed<bool> {
        match self.get(field) {
            Some("1") => Ok(true),
            None | Some("0") => Ok(false),
            Some(_) => fault(field, "neither 0 nor 1"),
        }
    }

    fn number(&self, field: &str) -> Parsed<f64> {
        number(field, self.text(field)?)
    }

    fn micros(&self, field: &str) -> Parsed<Micros> {
        micros(field, self.number(field)?)
    }

    fn request(&self) -> Parsed<RequestId> {
        let text = self.text("Call")?;
        text.as_bytes()
            .try_into()
            .map_or_else(|_| fault("Call", "not an id of 36 characters"), |bytes| Ok(RequestId(bytes)))
    }

    fn server(&self) -> Parsed<ServerId> {
        self.whole("Host").map(ServerId)
    }

    fn report(&self, fields: &[ReportField]) -> Parsed<Option<Report>> {
        let Some(text) = self.get("Usage") else {
            return Ok(None);
        };
        let mut report = Report::default();
        let values: Vec<&str> = text.split(',').collect();
        if values.len() != fields.len() {
            return fault("Usage", format!("holds {} values in place of {}", values.len(), fields.len()));
        }
        for (field, value) in fields.iter().zip(values) {
            let value = number("Usage", value)?;
            match field {
                ReportField::Latency => report.latency = Some(micros("Usage", value)?),
                ReportField::MemoryShare => report.memory_share = Some(value),
                ReportField::WaitingThousands => report.waiting_tokens = Some(value * 1000.0),
                ReportField::Waiting => report.waiting = Some(value),
                ReportField::Unused => {}
            }
        }
        Ok(Some(report))
    }

    fn outcome(&self) -> Parsed<Outcome> {
        let no_state = self.whole_or_zero("Detail")? == 1;
        Ok(match self.text("Rc")? {
            "10" => Outcome::Served,
            "20" => Outcome::Error,
            "30" if no_state => Outcome::NoState,
            "30" => Outcome::Full,
            "40" => Outcome::TimedOut,
            "50" => Outcome::ConnectFailed,
            "60" => Outcome::Reset,
            "70" => Outcome::Cancelled,
            "80" => Outcome::NotSent,
            "102" => Outcome::Read,
            _ => return fault("Rc", "not a known outcome"),
        })
    }
}

fn ms(us: Micros) -> String {
    format!("{}.{:03}", us / 1000, us % 1000)
}

struct Instance {
    router: Router,
    names: Names,
}

impl Instance {
    fn start(message: &Message, now: Micros) -> Parsed<Self> {
        let seed = message.whole("InitSeed")?;
        let info: Info = match serde_json::from_str(message.text("Info")?) {
            Ok(info) => info,
            Err(error) => return fault("Info", error.to_string()),
        };
        let settings = info.settings()?;
        match Router::new(settings, seed, now) {
            Ok(router) => Ok(Instance { router, names: info.names() }),
            Err(error) => fault("Info", error.to_string()),
        }
    }

    fn entry(&self, message: &Message) -> Parsed<ServerEntry> {
        let started = match message.get("OnlineSinceMs") {
            Some(_) => Some(message.micros("OnlineSinceMs")?).filter(|at| *at > 0),
            None => None,
        };
        Ok(ServerEntry {
            id: message.server()?,
            zone: ZoneId(index("Campus", &self.names.zones, message.text("Campus")?)?),
            kind: KindId(index("Hw", &self.names.kinds, message.text("Hw")?)?),
            cell: CellId(message.whole("Cluster")?),
            state: match message.text("Health")? {
                "0" => ServerState::Ready,
                "2" => ServerState::Draining,
                "3" => ServerState::Gone,
                _ => return fault("Health", "none of 0, 2 and 3"),
            },
            weight: message.number("Share")?,
            started,
        })
    }

    fn request(&self, message: &Message) -> Parsed<Request> {
        let tenant = match message.get("Account") {
            None | Some("0") => None,
            Some(name) => Some(TenantId(index("Account", &self.names.tenants, name)?)),
        };
        let key = |field| message.get(field).filter(|text| *text != "0").map(digest);
        Ok(Request {
            id: message.request()?,
            class: ClassId(index("Service", &self.names.classes, message.text("Service")?)?),
            tenant,
            session: key("SessionId").map(SessionKey),
            prefix: key("SharedPrefix").map(PrefixKey),
            prefix_tokens: message.whole_or_zero("PrefixTokens")?,
            prompt_tokens: message.whole("NPrompt")?,
            max_tokens: message.whole_or_zero("MaxTokens")?,
            hint: message.get("HintMs").map(|_| message.micros("HintMs")).transpose()?,
            expires: message.micros("ExpiresMs")?,
            resent: message.flag("Resent")?,
        })
    }

    /// Maps an event that stands on one line.
    fn event(&self, message: &Message) -> Parsed<Event> {
        Ok(match message.name {
            "ACCEPT" => Event::Request(self.request(message)?),
            "ACK_FIRST" => Event::Started {
                request: message.request()?,
                attempt: message.whole("Leg")?,
                server: message.server()?,
                took: message.micros("CostTimeMs")?,
            },
            "FINISHED" => Event::Ended(Ended {
                request: message.request()?,
                attempt: message.whole("Leg")?,
                server: message.server()?,
                outcome: message.outcome()?,
                kept_tokens: message.whole_or_zero("Detail")?,
                settled: message.flag("Settled")?,
                took: message.micros("CostTimeMs")?,
                report: message.report(&self.names.report)?,
            }),
            "PLACE_NOTE" => Event::Place {
                request: message.request()?,
                server: message.server()?,
                held: match message.text("Kind")? {
                    "1" => true,
                    "2" => false,
                    _ => return fault("Kind", "neither 1 nor 2"),
                },
            },
            "ABORTED" => Event::ClientGone(message.request()?),
            "FIRED" => Event::Timer(TimerId(message.whole("Ref")?)),
            "PONG" => Event::Probed {
                server: message.server()?,
                outcome: message.outcome()?,
                took: message.micros("CostTimeMs")?,
                report: message.report(&self.names.report)?,
            },
            "WHISPER" => Event::DispatcherMessage {
                from: message.whole("Src")?,
                payload: decode(message.text("Payload")?)?,
            },
            name => return fault(name, "not a known message"),
        })
    }
}

const BASE64: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Base64 with padding; `-` for nothing.
fn decode(text: &str) -> Parsed<Vec<u8>> {
    let wrong = || fault("Payload", "not base64");
    if text == "-" {
        return Ok(Vec::new());
    }
    let body = text.trim_end_matches('=');
    if !text.len().is_multiple_of(4) || text.len() - body.len() > 2 || body.is_empty() {
        return wrong();
    }
    let (mut bits, mut held, mut bytes) = (0u32, 0, Vec::new());
    for c in body.bytes() {
        let Some(value) = BASE64.iter().position(|b| *b == c) else {
            return wrong();
        };
        bits = (bits << 6 | value as u32) & 0xffff;
        held += 6;
        if held >= 8 {
            held -= 8;
            bytes.push((bits >> held) as u8);
        }
    }
    Ok(bytes)
}

fn encode(bytes: &[u8]) -> String {
    if bytes.is_empty() {
        return "-".to_string();
    }
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |at: usize| u32::from(chunk.get(at).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for at in 0..4 {
            let used = at <= chunk.len();
            text.push(if used { BASE64[(bits >> (18 - 6 * at) & 63) as usize] as char } else { '=' });
        }
    }
    text
}

fn write_action(out: &mut impl Write, action: &Action) -> std::io::Result<()> {
    let call = |id: &RequestId| String::from_utf8_lossy(&id.0).into_owned();
    match action {
        Action::Send { request, server, timeout } => {
            write!(out, "ATTEMPT Call={} Host={}", call(request), server.0)?;
            match timeout {
                Some(us) => writeln!(out, " GiveUpAfterMs={}", ms(*us)),
                None => writeln!(out),
            }
        }
        Action::Cancel { request, attempt } => {
            writeln!(out, "UNDO_SEND Call={} Leg={attempt}", call(request))
        }
        Action::Refuse { request, retry_after } => {
            write!(out, "SHED Call={}", call(request))?;
            match retry_after {
                Some(us) => writeln!(out, " CoolDownMs={}", ms(*us)),
                None => writeln!(out),
            }
        }
        Action::Fail(request) => writeln!(out, "DROP_REQUEST Call={}", call(request)),
        Action::Move(request) => writeln!(out, "MOVE Call={}", call(request)),
        Action::HoldPlace { request, server } => {
            writeln!(out, "HOLD_PLACE Call={} Host={}", call(request), server.0)
        }
        Action::Release(request) => writeln!(out, "DROP_STATE Call={}", call(request)),
        Action::SetTimer { at, timer } => writeln!(out, "SET_TIMER AlarmTimeMs={} Ref={}", ms(*at), timer.0),
        Action::Probe(server) => writeln!(out, "HEALTH_CHECK Host={}", server.0),
        Action::CloseIdle(server) => writeln!(out, "FREE_LINKS Host={}", server.0),
        Action::Watch(on) => writeln!(out, "KEEP_INFORMED On={}", u8::from(*on)),
        Action::FetchList => writeln!(out, "QUERY_ALL"),
        Action::SendToDispatchers { to, payload } => {
            let to = to.map_or(-1, i64::from);
            writeln!(out, "BROADCAST_TO Peer={to} Payload={}", encode(payload))
        }
        Action::Explain(_) => Ok(()), // nobody observes there
        Action::Ejected(server) => writeln!(out, "PRINT Msg=server {} in doubt", server.0),
        Action::Log(text) => writeln!(out, "PRINT Msg={}", text.replace(['\r', '\n'], " ")),
    }
}

/// Reads lines and counts them.
struct Lines<R> {
    input: R,
    number: u64,
    line: Vec<u8>,
}

impl<R: BufRead> Lines<R> {
    fn next(&mut self) -> Result<Option<&str>, WireError> {
        self.line.clear();
        self.number += 1;
        if self.input.read_until(b'\n', &mut self.line)? == 0 {
            return Ok(None);
        }
        if self.line.last() == Some(&b'\n') {
            self.line.pop();
        }
        match std::str::from_utf8(&self.line) {
            Ok(text) => Ok(Some(text)),
            Err(_) => Err(at_line(self.number, Fault { field: "line".into(), problem: "not UTF-8".into() })),
        }
    }

    fn expect(&mut self, what: &str) -> Result<&str, WireError> {
        let number = self.number + 1;
        self.next()?.ok_or_else(|| {
            at_line(number, Fault { field: what.to_string(), problem: "the input ends before it".into() })
        })
    }
}

fn at_line(line: u64, fault: Fault) -> WireError {
    WireError::Malformed { line, field: fault.field, problem: fault.problem }
}

/// All instances of one process.
#[derive(Default)]
struct Host {
    instances: BTreeMap<u64, Instance>,
    about: Option<u64>,
    by: Option<u64>,
    actions: Vec<Action>,
}

impl Host {
    fn instance(&mut self, name: &str) -> Parsed<(u64, &mut Instance)> {
        let Some(number) = self.about else {
            return fault(name, "no ABOUT before it in this batch");
        };
        match self.instances.get_mut(&number) {
            Some(instance) => Ok((number, instance)),
            None => fault(name, format!("instance {number} has not started")),
        }
    }

    /// Takes one line of a batch; gives the size of the list whose entries follow it, if it is one.
    fn line(
        &mut self,
        message: &Message,
        now: Micros,
        out: &mut impl Write,
    ) -> Parsed<Option<(ListScope, u64)>> {
        match message.name {
            "ABOUT" => self.about = Some(message.whole("Dispatcher")?),
            "UP" => {
                let Some(number) = self.about else {
                    return fault("UP", "no ABOUT before it in this batch");
                };
                self.instances.insert(number, Instance::start(message, now)?);
            }
            "EXIT" => {
                let (number, _) = self.instance("EXIT")?;
                self.instances.remove(&number);
            }
            "TOPOLOGY" => {
                self.instance("TOPOLOGY")?;
                let scope = match message.text("Scope")? {
                    "0" => ListScope::Changes,
                    "1" => ListScope::Full,
                    "2" => ListScope::Cached,
                    "3" => ListScope::Failed,
                    _ => return fault("Scope", "none of 0, 1, 2 and 3"),
                };
                return Ok(Some((scope, message.whole_or_zero("NodesList")?)));
            }
            name => {
                let (_, instance) = self.instance(name)?;
                let event = instance.event(message)?;
                self.handle(event, now, out)?;
            }
        }
        Ok(None)
    }

    fn handle(&mut self, event: Event, now: Micros, out: &mut impl Write) -> Parsed<()> {
        let mut actions = std::mem::take(&mut self.actions);
        let (number, instance) = self.instance("event")?;
        instance.router.handle(now, event, &mut actions);
        let written = (|| {
            if !actions.is_empty() && self.by != Some(number) {
                self.by = Some(number);
                writeln!(out, "BY Dispatcher={number}")?;
            }
            actions.drain(..).try_for_each(|action| write_action(out, &action))
        })();
        self.actions = actions;
        written.or_else(|error| fault("reply", error.to_string()))
    }

    fn batch<R: BufRead>(
        &mut self,
        lines: &mut Lines<R>,
        now: Micros,
        out: &mut impl Write,
    ) -> Result<(), WireError> {
        (self.about, self.by) = (None, None);
        loop {
            let line = lines.expect("FLUSH")?;
            if line == "FLUSH" {
                break;
            }
            let list = Message::parse(line).and_then(|message| self.line(&message, now, out));
            if let Some((scope, count)) = list.map_err(|fault| at_line(lines.number, fault))? {
                let mut entries = Vec::new();
                for _ in 0..count {
                    let entry = Message::parse(lines.expect("ITEM")?).and_then(|message| {
                        if message.name != "ITEM" {
                            return fault(message.name, "stands where an ITEM is due");
                        }
                        self.instance("ITEM")?.1.entry(&message)
                    });
                    entries.push(entry.map_err(|fault| at_line(lines.number, fault))?);
                }
                let event = Event::List(ListUpdate { scope, entries });
                self.handle(event, now, out).map_err(|fault| at_line(lines.number, fault))?;
            }
        }
        out.write_all(b"READY\n")?;
        out.flush()?;
        Ok(())
    }
}

/// Answers batch after batch until the input ends.
pub fn serve(input: impl BufRead, mut output: impl Write) -> Result<(), WireError> {
    let mut lines = Lines { input, number: 0, line: Vec::new() };
    let mut host = Host::default();
    let mut last = 0;
    while let Some(line) = lines.next()? {
        let opened = Message::parse(line).and_then(|message| match message.name {
            "ROUND" => message.micros("WallMs"),
            name => fault(name, "stands where a ROUND is due"),
        });
        let now = opened.map_err(|fault| at_line(lines.number, fault))?;
        if now < last {
            let back = Fault { field: "WallMs".into(), problem: "runs backwards".into() };
            return Err(at_line(lines.number, back));
        }
        last = now;
        host.batch(&mut lines, now, &mut output)?;
    }
    Ok(())
}
