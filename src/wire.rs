//! The adapter to the simulator's line protocol. It parses messages, maps names and ids, runs router instances by
//! their number and writes the replies. It contains no routing logic.

use std::collections::BTreeMap;
use std::io::{BufRead, Write};

use thiserror::Error;

use crate::choice::Router;
use crate::interface::*;
use crate::protocol::settings::{
    FieldError, Info, Names, Parsed, ReportField, digest, field_error, index, micros, number,
};

/// Input that cannot be processed, or output that cannot be written.
#[derive(Debug, Error)]
pub enum WireError {
    /// A line is malformed, or not valid at its place.
    #[error("line {line}: {field}: {problem}")]
    Malformed {
        /// Number of the line, counted from 1.
        line: u64,
        /// The field at fault, or the message if no single field is.
        field: String,
        /// What is wrong with it.
        problem: String,
    },
    /// Reading the input or writing the output failed.
    #[error("reading the input or writing the output failed: {0}")]
    Io(#[from] std::io::Error),
}

/// One line, split into the name of its message and its fields.
struct Message<'a> {
    name: &'a str,
    fields: Vec<(&'a str, &'a str)>,
}

impl<'a> Message<'a> {
    /// Splits a line. The `Info` field of `UP` takes the rest of the line, as its JSON may contain spaces.
    fn parse(line: &'a str) -> Parsed<Self> {
        let (name, mut rest) = line.split_once(' ').unwrap_or((line, ""));
        let mut fields = Vec::new();
        while !rest.is_empty() {
            let Some((field, after_equals)) = rest.split_once('=') else {
                return field_error(rest, "not of the form name=value");
            };
            if field.is_empty() || field.contains(' ') {
                return field_error(name, "contains a part that is not of the form name=value");
            }
            if fields.iter().any(|(seen, _)| *seen == field) {
                return field_error(field, "given twice");
            }
            let takes_rest_of_line = name == "UP" && field == "Info";
            let (value, next) = if takes_rest_of_line {
                (after_equals, "")
            } else {
                after_equals.split_once(' ').unwrap_or((after_equals, ""))
            };
            fields.push((field, value));
            rest = next;
        }
        Ok(Message { name, fields })
    }

    /// Returns the value of an optional field.
    fn get(&self, field: &str) -> Option<&'a str> {
        self.fields.iter().find(|(name, _)| *name == field).map(|(_, value)| *value)
    }

    /// Returns the value of a required field.
    fn text(&self, field: &str) -> Parsed<&'a str> {
        self.get(field).map_or_else(|| field_error(field, "missing"), Ok)
    }

    fn integer<T: TryFrom<u64>>(&self, field: &str) -> Parsed<T> {
        let text = self.text(field)?;
        let number = text.parse::<u64>().ok().and_then(|n| T::try_from(n).ok());
        number.map_or_else(|| field_error(field, "not a whole number in range"), Ok)
    }

    /// Returns the value of an optional integer field, or 0 if it is absent.
    fn integer_or_zero(&self, field: &str) -> Parsed<u64> {
        if self.get(field).is_some() { self.integer(field) } else { Ok(0) }
    }

    /// Returns the value of an optional flag, or false if it is absent.
    fn flag(&self, field: &str) -> Parsed<bool> {
        match self.get(field) {
            Some("1") => Ok(true),
            None | Some("0") => Ok(false),
            Some(_) => field_error(field, "must be 0 or 1"),
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
            .map_or_else(|_| field_error("Call", "not an id of 36 bytes"), |bytes| Ok(RequestId(bytes)))
    }

    fn server(&self) -> Parsed<ServerId> {
        self.integer("Host").map(ServerId)
    }

    /// Returns the load report of an optional `Usage` field, whose values stand in the order of `fields`.
    fn report(&self, fields: &[ReportField]) -> Parsed<Option<Report>> {
        let Some(text) = self.get("Usage") else {
            return Ok(None);
        };
        let mut report = Report::default();
        let values: Vec<&str> = text.split(',').collect();
        if values.len() != fields.len() {
            return field_error(
                "Usage",
                format!("holds {} values, but {} are expected", values.len(), fields.len()),
            );
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
        let no_state = self.integer_or_zero("Detail")? == 1;
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
            _ => return field_error("Rc", "not a known outcome"),
        })
    }
}

/// Formats microseconds as milliseconds with three decimals.
fn format_ms(us: Micros) -> String {
    format!("{}.{:03}", us / 1000, us % 1000)
}

/// One router, with the names by which its messages refer to its settings.
struct Instance {
    router: Router,
    names: Names,
}

impl Instance {
    /// Starts an instance from its `UP` message.
    fn start(message: &Message, now: Micros) -> Parsed<Self> {
        let seed = message.integer("InitSeed")?;
        let info: Info = match serde_json::from_str(message.text("Info")?) {
            Ok(info) => info,
            Err(error) => return field_error("Info", error.to_string()),
        };
        let settings = info.settings()?;
        match Router::new(settings, seed, now) {
            Ok(router) => Ok(Instance { router, names: info.names() }),
            Err(error) => field_error("Info", error.to_string()),
        }
    }

    /// Converts an `ITEM` message into an entry of the list of servers.
    fn entry(&self, message: &Message) -> Parsed<ServerEntry> {
        let started = match message.get("OnlineSinceMs") {
            Some(_) => Some(message.micros("OnlineSinceMs")?).filter(|since| *since > 0),
            None => None,
        };
        Ok(ServerEntry {
            id: message.server()?,
            zone: ZoneId(index("Campus", &self.names.zones, message.text("Campus")?)?),
            kind: KindId(index("Hw", &self.names.kinds, message.text("Hw")?)?),
            cell: CellId(message.integer("Cluster")?),
            state: match message.text("Health")? {
                "0" => ServerState::Ready,
                "2" => ServerState::Draining,
                "3" => ServerState::Gone,
                _ => return field_error("Health", "must be 0, 2 or 3"),
            },
            weight: message.number("Share")?,
            started,
        })
    }

    /// Converts an `ACCEPT` message into a request.
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
            prefix_tokens: message.integer_or_zero("PrefixTokens")?,
            prompt_tokens: message.integer("NPrompt")?,
            max_tokens: message.integer_or_zero("MaxTokens")?,
            hint: message.get("HintMs").map(|_| message.micros("HintMs")).transpose()?,
            expires: message.micros("ExpiresMs")?,
            resent: message.flag("Resent")?,
        })
    }

    /// Converts a message into an event. `TOPOLOGY` is not handled here, because its entries follow on further lines.
    fn event(&self, message: &Message) -> Parsed<Event> {
        Ok(match message.name {
            "ACCEPT" => Event::Request(self.request(message)?),
            "ACK_FIRST" => Event::Started {
                request: message.request()?,
                attempt: message.integer("Leg")?,
                server: message.server()?,
                took: message.micros("CostTimeMs")?,
            },
            "FINISHED" => Event::Ended(Ended {
                request: message.request()?,
                attempt: message.integer("Leg")?,
                server: message.server()?,
                outcome: message.outcome()?,
                kept_tokens: message.integer_or_zero("Detail")?,
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
                    _ => return field_error("Kind", "must be 1 or 2"),
                },
            },
            "ABORTED" => Event::ClientGone(message.request()?),
            "FIRED" => Event::Timer(TimerId(message.integer("Ref")?)),
            "PONG" => Event::Probed {
                server: message.server()?,
                outcome: message.outcome()?,
                took: message.micros("CostTimeMs")?,
                report: message.report(&self.names.report)?,
            },
            "WHISPER" => Event::DispatcherMessage {
                from: message.integer("Src")?,
                payload: decode_base64(message.text("Payload")?)?,
            },
            name => return field_error(name, "not a known message"),
        })
    }
}

const BASE64: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Decodes base64 with padding. An empty payload is written as `-`.
fn decode_base64(text: &str) -> Parsed<Vec<u8>> {
    let invalid = || field_error("Payload", "not base64");
    if text == "-" {
        return Ok(Vec::new());
    }
    let digits = text.trim_end_matches('=');
    if !text.len().is_multiple_of(4) || text.len() - digits.len() > 2 || digits.is_empty() {
        return invalid();
    }
    let (mut bits, mut bit_count, mut bytes) = (0u32, 0, Vec::new());
    for c in digits.bytes() {
        let Some(value) = BASE64.iter().position(|b| *b == c) else {
            return invalid();
        };
        bits = (bits << 6 | value as u32) & 0xffff;
        bit_count += 6;
        if bit_count >= 8 {
            bit_count -= 8;
            bytes.push((bits >> bit_count) as u8);
        }
    }
    Ok(bytes)
}

/// Encodes base64 with padding. An empty payload is written as `-`.
fn encode_base64(bytes: &[u8]) -> String {
    if bytes.is_empty() {
        return "-".to_string();
    }
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |position: usize| u32::from(chunk.get(position).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for position in 0..4 {
            let is_digit = position <= chunk.len();
            text.push(if is_digit {
                BASE64[(bits >> (18 - 6 * position) & 63) as usize] as char
            } else {
                '='
            });
        }
    }
    text
}

/// Writes the line of an action.
fn write_action(output: &mut impl Write, action: &Action) -> std::io::Result<()> {
    let call_id = |id: &RequestId| String::from_utf8_lossy(&id.0).into_owned();
    match action {
        Action::Send { request, server, timeout } => {
            write!(output, "ATTEMPT Call={} Host={}", call_id(request), server.0)?;
            match timeout {
                Some(us) => writeln!(output, " GiveUpAfterMs={}", format_ms(*us)),
                None => writeln!(output),
            }
        }
        Action::Cancel { request, attempt } => {
            writeln!(output, "UNDO_SEND Call={} Leg={attempt}", call_id(request))
        }
        Action::Refuse { request, retry_after } => {
            write!(output, "SHED Call={}", call_id(request))?;
            match retry_after {
                Some(us) => writeln!(output, " CoolDownMs={}", format_ms(*us)),
                None => writeln!(output),
            }
        }
        Action::Fail(request) => writeln!(output, "DROP_REQUEST Call={}", call_id(request)),
        Action::Move(request) => writeln!(output, "MOVE Call={}", call_id(request)),
        Action::HoldPlace { request, server } => {
            writeln!(output, "HOLD_PLACE Call={} Host={}", call_id(request), server.0)
        }
        Action::Release(request) => writeln!(output, "DROP_STATE Call={}", call_id(request)),
        Action::SetTimer { at, timer } => {
            writeln!(output, "SET_TIMER AlarmTimeMs={} Ref={}", format_ms(*at), timer.0)
        }
        Action::Probe(server) => writeln!(output, "HEALTH_CHECK Host={}", server.0),
        Action::CloseIdle(server) => writeln!(output, "FREE_LINKS Host={}", server.0),
        Action::Watch(on) => writeln!(output, "KEEP_INFORMED On={}", u8::from(*on)),
        Action::FetchList => writeln!(output, "QUERY_ALL"),
        Action::SendToDispatchers { to, payload } => {
            let to = to.map_or(-1, i64::from);
            writeln!(output, "BROADCAST_TO Peer={to} Payload={}", encode_base64(payload))
        }
        // Instances of this adapter are not observed, so they emit no explanations.
        Action::Explain(_) => Ok(()),
        Action::Ejected(server) => writeln!(output, "PRINT Msg=server {} in doubt", server.0),
        Action::Log(text) => writeln!(output, "PRINT Msg={}", text.replace(['\r', '\n'], " ")),
    }
}

/// Reads lines and counts them for error messages.
struct LineReader<R> {
    input: R,
    number: u64,
    line: Vec<u8>,
}

impl<R: BufRead> LineReader<R> {
    /// Returns the next line without its line feed, or `None` at the end of the input.
    fn next_line(&mut self) -> Result<Option<&str>, WireError> {
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
            Err(_) => Err(error_at_line(
                self.number,
                FieldError { field: "line".into(), problem: "not UTF-8".into() },
            )),
        }
    }

    /// Returns the next line, or an error that names `what` is missing if the input has ended.
    fn expect_line(&mut self, what: &str) -> Result<&str, WireError> {
        let number = self.number + 1;
        self.next_line()?.ok_or_else(|| {
            error_at_line(
                number,
                FieldError { field: what.to_string(), problem: "missing, the input has ended".into() },
            )
        })
    }
}

fn error_at_line(line: u64, fault: FieldError) -> WireError {
    WireError::Malformed { line, field: fault.field, problem: fault.problem }
}

/// All router instances of the process.
#[derive(Default)]
struct Host {
    instances: BTreeMap<u64, Instance>,
    /// Instance that the latest `ABOUT` of the batch selected.
    selected: Option<u64>,
    /// Instance that the latest `BY` of the reply announced.
    announced: Option<u64>,
    actions: Vec<Action>,
}

impl Host {
    /// Returns the selected instance and its number. Errors name the message `name`.
    fn instance(&mut self, name: &str) -> Parsed<(u64, &mut Instance)> {
        let Some(number) = self.selected else {
            return field_error(name, "no ABOUT precedes it in this batch");
        };
        match self.instances.get_mut(&number) {
            Some(instance) => Ok((number, instance)),
            None => field_error(name, format!("instance {number} has not been started")),
        }
    }

    /// Handles one line of a batch. If it begins a list, returns the scope of the list and the number of entries that
    /// follow.
    fn handle_line(
        &mut self,
        message: &Message,
        now: Micros,
        output: &mut impl Write,
    ) -> Parsed<Option<(ListScope, u64)>> {
        match message.name {
            "ABOUT" => self.selected = Some(message.integer("Dispatcher")?),
            "UP" => {
                let Some(number) = self.selected else {
                    return field_error("UP", "no ABOUT precedes it in this batch");
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
                    _ => return field_error("Scope", "must be 0, 1, 2 or 3"),
                };
                return Ok(Some((scope, message.integer_or_zero("NodesList")?)));
            }
            name => {
                let (_, instance) = self.instance(name)?;
                let event = instance.event(message)?;
                self.handle_event(event, now, output)?;
            }
        }
        Ok(None)
    }

    /// Passes an event to the selected instance and writes the actions that follow from it.
    fn handle_event(&mut self, event: Event, now: Micros, output: &mut impl Write) -> Parsed<()> {
        let mut actions = std::mem::take(&mut self.actions);
        let (number, instance) = self.instance("event")?;
        instance.router.handle(now, event, &mut actions);
        let written = (|| {
            if !actions.is_empty() && self.announced != Some(number) {
                self.announced = Some(number);
                writeln!(output, "BY Dispatcher={number}")?;
            }
            actions.drain(..).try_for_each(|action| write_action(output, &action))
        })();
        self.actions = actions;
        written.or_else(|error| field_error("reply", error.to_string()))
    }

    /// Handles the lines of a batch up to its `FLUSH`, and ends the reply with `READY`.
    fn handle_batch<R: BufRead>(
        &mut self,
        lines: &mut LineReader<R>,
        now: Micros,
        output: &mut impl Write,
    ) -> Result<(), WireError> {
        (self.selected, self.announced) = (None, None);
        loop {
            let line = lines.expect_line("FLUSH")?;
            if line == "FLUSH" {
                break;
            }
            let list = Message::parse(line).and_then(|message| self.handle_line(&message, now, output));
            if let Some((scope, count)) = list.map_err(|fault| error_at_line(lines.number, fault))? {
                let mut entries = Vec::new();
                for _ in 0..count {
                    let entry = Message::parse(lines.expect_line("ITEM")?).and_then(|message| {
                        if message.name != "ITEM" {
                            return field_error(message.name, "ITEM expected");
                        }
                        self.instance("ITEM")?.1.entry(&message)
                    });
                    entries.push(entry.map_err(|fault| error_at_line(lines.number, fault))?);
                }
                let event = Event::List(ListUpdate { scope, entries });
                self.handle_event(event, now, output).map_err(|fault| error_at_line(lines.number, fault))?;
            }
        }
        output.write_all(b"READY\n")?;
        output.flush()?;
        Ok(())
    }
}

/// Reads batches from `input` and writes a reply to each, until the input ends.
pub fn serve(input: impl BufRead, mut output: impl Write) -> Result<(), WireError> {
    let mut lines = LineReader { input, number: 0, line: Vec::new() };
    let mut host = Host::default();
    let mut last_round = 0;
    while let Some(line) = lines.next_line()? {
        let round_time = Message::parse(line).and_then(|message| match message.name {
            "ROUND" => message.micros("WallMs"),
            name => field_error(name, "ROUND expected"),
        });
        let now = round_time.map_err(|fault| error_at_line(lines.number, fault))?;
        if now < last_round {
            let backwards = FieldError {
                field: "WallMs".into(),
                problem: "earlier than that of the previous ROUND".into(),
            };
            return Err(error_at_line(lines.number, backwards));
        }
        last_round = now;
        host.handle_batch(&mut lines, now, &mut output)?;
    }
    Ok(())
}
