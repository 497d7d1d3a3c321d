//! Documents of routing expectations, read against a site: every name in them has to be one of its.

use std::sync::Arc;

use super::cases::written_out;
use super::read::{Node, Source, Value};
use crate::expect::model::*;
use crate::interface::*;
use crate::membership::check::nearest;
use crate::membership::refusal::MAX_WEIGHT;
use crate::membership::{Location, Refusal};
use crate::protocol::settings::digest;

/// An expectation as a document has it.
#[derive(Clone, Debug)]
pub struct Written {
    /// The expectation.
    pub expectation: Expectation,
    /// Where it begins.
    pub place: Location,
    /// Where each of what has to come of it stands.
    pub clauses: Arc<[Location]>,
}

/// Reads a document.
pub fn parse(source: &Source, site: &Site) -> Result<Vec<Written>, Refusal> {
    let document = written_out(source, &source.parse()?)?;
    let mut all: Vec<Written> = Vec::new();
    for mut node in Node::all(source, &document) {
        if node.name() != "expect" {
            return Err(node.unknown(&["expect", "fixture"]));
        }
        let name = node.argument()?;
        if all.iter().any(|one| name.text().is_ok_and(|text| text == one.expectation.name)) {
            return Err(name.refuse("an expectation of this name stands above", None));
        }
        let given = match node.child("given")? {
            Some(mut child) => given(&mut child, site)?,
            None => Given::default(),
        };
        let Some(mut child) = node.child("when")? else {
            return Err(
                node.refuse("'expect' lacks 'when'", Some("add: when { request class=\"...\" }".into()))
            );
        };
        let when = when(&mut child, site)?;
        let Some(mut child) = node.child("then")? else {
            return Err(node.refuse("'expect' lacks 'then'", Some("add: then { served }".into())));
        };
        let (then, clauses) = then(&mut child, site)?;
        node.end(1)?;
        let expectation = Expectation { name: name.text()?.to_string(), given, when, then };
        all.push(Written { expectation, place: node.place(), clauses: clauses.into() });
    }
    if all.is_empty() {
        return Err(source.refuse((0, 0), "the document holds no 'expect'", None));
    }
    Ok(all)
}

fn named(names: &[String], what: &str, value: &Value) -> Result<u16, Refusal> {
    let text = value.text()?;
    names.iter().position(|name| name == text).and_then(|at| u16::try_from(at).ok()).ok_or_else(|| {
        let near =
            nearest(text, names.iter().map(String::as_str)).map(|near| format!("did you mean \"{near}\"?"));
        value.refuse(format!("there is no {what} \"{text}\""), near)
    })
}

fn server(site: &Site, value: &Value) -> Result<ServerId, Refusal> {
    let text = value.text()?;
    let found = site.servers.iter().find(|(_, (name, _))| name == text).map(|(id, _)| *id);
    found.ok_or_else(|| {
        let near = nearest(text, site.servers.values().map(|(name, _)| name.as_str()));
        let help = near.map(|near| format!("did you mean \"{near}\"?"));
        value.refuse(format!("there is no server \"{text}\""), help)
    })
}

fn session(value: &Value) -> Result<SessionKey, Refusal> {
    Ok(SessionKey(digest(value.text()?)))
}

fn given(node: &mut Node, site: &Site) -> Result<Given, Refusal> {
    let mut given = Given::default();
    if let Some(zone) = node.get("zone")? {
        given.zone = Some(ZoneId(named(&site.zones, "zone", &zone)?));
    }
    if let Some(count) = node.get("conductors")? {
        given.conductors = match count.whole()? {
            0 => return Err(count.refuse("somebody has to ask", None)),
            count => Some(count),
        };
    }
    for mut child in node.children(&["server"]) {
        let id = server(site, &child.argument()?)?;
        if let Some(state) = child.get("state")? {
            let states = [("draining", 0), ("gone", 1), ("in-doubt", 2)];
            match state.one_of(&states)? {
                0 => given.draining.push(id),
                1 => given.gone.push(id),
                _ => given.ejected.push(id),
            }
        }
        if let Some(ago) = child.get("started")? {
            given.started_ago.insert(id, ago.micros()?);
        }
        let mut behaviour = Behaviour::default();
        if let Some(slow) = child.get("slow")? {
            behaviour.latency_factor = slow.number_to(1e4)?;
        }
        if let Some(full) = child.get("full")? {
            behaviour.full = full.flag()?;
        }
        if let Some(how) = child.get("breaks")? {
            let how = how.one_of(&[
                ("before-last-byte", FailureMode::BeforeLastByte),
                ("after-last-byte", FailureMode::AfterLastByte),
                ("error", FailureMode::Error),
                ("silence", FailureMode::Silence),
            ])?;
            let times = child.get("times")?.map_or(Ok(u32::MAX), |times| times.whole())?;
            behaviour.failures = Some((how, times));
        }
        let memory = child.get("memory")?.map(|share| share.number_to(1.0)).transpose()?;
        let waiting = child.get("waiting-tokens")?.map(|tokens| tokens.number_to(1e12)).transpose()?;
        if memory.is_some() || waiting.is_some() {
            let report = Report { memory_share: memory, waiting_tokens: waiting, ..Report::default() };
            behaviour.report = Some(report);
        }
        child.end(1)?;
        if given.behaviours.insert(id, behaviour).is_some() {
            return Err(child.refuse(format!("'{}' is given twice", site.name(id)), None));
        }
    }
    for mut child in node.children(&["kept"]) {
        let at = child.need("at")?;
        let id = server(site, &at)?;
        if site.role(id) == Some(Role::Writer) {
            return Err(at.refuse(format!("'{}' is a writer and keeps no text", site.name(id)), None));
        }
        let session = child.get("session")?.map(|value| session(&value)).transpose()?;
        let prefix = child.get("prefix")?.map(|value| value.text()).transpose()?;
        let prefix = prefix.map(|text| PrefixKey(digest(text)));
        if session.is_none() && prefix.is_none() {
            return Err(child.refuse("'kept' names neither a session nor a prefix", None));
        }
        let tokens = child.need("tokens")?.whole()?;
        child.end(0)?;
        given.cached.push(CachedText { server: id, session, prefix, tokens });
    }
    for mut child in node.children(&["open"]) {
        let count = child.argument()?.whole()?;
        let id = server(site, &child.need("at")?)?;
        child.end(1)?;
        given.open_requests.push((id, count));
    }
    if let Some(since) = node.get("since")? {
        given.elapsed = since.micros()?;
    }
    node.end(0)?;
    let cannot_be = |message: String| Err(node.refuse(message, Some("take one of the two out".into())));
    if let Some(kept) = given.cached.iter().find(|kept| given.gone.contains(&kept.server)) {
        return cannot_be(format!("'{}' is gone and can't keep a text", site.name(kept.server)));
    }
    if let Some(id) = given.started_ago.keys().find(|id| given.gone.contains(id)) {
        return cannot_be(format!("'{}' is gone and can't have started just now", site.name(*id)));
    }
    if let Some(kept) = given.cached.iter().find(|kept| given.started_ago.contains_key(&kept.server)) {
        return cannot_be(format!("'{}' has started anew and keeps nothing yet", site.name(kept.server)));
    }
    Ok(given)
}

fn request(node: &mut Node, site: &Site) -> Result<Step, Refusal> {
    let class = match node.get("class")? {
        Some(class) => ClassId(named(&site.classes, "class", &class)?),
        None => ClassId(0),
    };
    let mut request = Request { class, prompt_tokens: 1_000, max_tokens: 200, ..Request::plain() };
    request.session = node.get("session")?.map(|value| session(&value)).transpose()?;
    if let Some(prefix) = node.get("prefix")? {
        request.prefix = Some(PrefixKey(digest(prefix.text()?)));
    }
    for (name, tokens) in [
        ("prompt-tokens", &mut request.prompt_tokens),
        ("prefix-tokens", &mut request.prefix_tokens),
        ("max-tokens", &mut request.max_tokens),
    ] {
        if let Some(value) = node.get(name)? {
            *tokens = value.whole::<u32>()?.into();
        }
    }
    let deadline = site.settings.classes.get(usize::from(class.0)).map_or(0, |class| class.deadline);
    let count = node.get("count")?.map_or(Ok(1), |value| value.whole())?;
    let interval = node.get("every")?.map_or(Ok(0), |value| value.micros())?;
    let time_left = node.get("time-left")?.map_or(Ok(deadline), |value| value.micros())?;
    node.end(0)?;
    Ok(Step::Requests { request, count, interval, time_left })
}

/// A new generation in the middle: what it changes.
fn generation(node: &mut Node, site: &Site) -> Result<Step, Refusal> {
    let mut changes = Vec::new();
    for mut child in node.children(&["server"]) {
        let id = server(site, &child.argument()?)?;
        let weight = child.get("weight")?.map(|weight| weight.number_to(MAX_WEIGHT)).transpose()?;
        let states = [
            ("in-service", ServerState::Ready),
            ("draining", ServerState::Draining),
            ("gone", ServerState::Gone),
        ];
        let state = child.get("state")?.map(|state| state.one_of(&states)).transpose()?;
        let started_ago = child.get("started")?.map(|ago| ago.micros()).transpose()?;
        child.end(1)?;
        if weight.is_none() && state.is_none() && started_ago.is_none() {
            return Err(child.refuse(format!("nothing changes for '{}'", site.name(id)), None));
        }
        changes.push(ServerChange { server: id, weight, state, started_ago });
    }
    node.end(0)?;
    match changes.is_empty() {
        true => {
            Err(node.refuse("the generation changes nothing", Some("add: server \"ID\" weight=2".into())))
        }
        false => Ok(Step::Generation(changes)),
    }
}

fn when(node: &mut Node, site: &Site) -> Result<Vec<Step>, Refusal> {
    let mut steps = Vec::new();
    for mut child in node.children(&["request", "pass", "drain", "return", "generation"]) {
        steps.push(match child.name() {
            "request" => request(&mut child, site)?,
            "pass" => Step::Pass(child.argument()?.micros()?),
            "generation" => generation(&mut child, site)?,
            name => {
                let id = server(site, &child.argument()?)?;
                if name == "drain" { Step::Drain(id) } else { Step::Return(id) }
            }
        });
    }
    node.end(0)?;
    if !steps.iter().any(|step| matches!(step, Step::Requests { .. })) {
        return Err(node.refuse("nothing is asked: 'when' has no 'request'", None));
    }
    Ok(steps)
}

fn which(node: &mut Node, site: &Site) -> Result<ServerSelector, Refusal> {
    let mut found = Vec::new();
    if let Some(value) = node.arguments().next() {
        found.push(ServerSelector::Server(server(site, &value)?));
    }
    if let Some(zone) = node.get("zone")? {
        found.push(ServerSelector::Zone(ZoneId(named(&site.zones, "zone", &zone)?)));
    }
    if let Some(cell) = node.get("cell")? {
        found.push(ServerSelector::Cell(CellId(cell.whole()?)));
    }
    if let Some(kind) = node.get("kind")? {
        found.push(ServerSelector::Kind(KindId(named(&site.kinds, "kind", &kind)?)));
    }
    if let Some(same) = node.get("same-cell-as")? {
        found.push(same.one_of(&[("reader", ServerSelector::CellOfReader)])?);
    }
    match found[..] {
        [one] => Ok(one),
        _ => {
            let help = "a server's id, or one of zone=, cell=, kind=, same-cell-as=\"reader\"".to_string();
            Err(node.refuse(format!("'{}' names {} groups of servers", node.name(), found.len()), Some(help)))
        }
    }
}

fn then(node: &mut Node, site: &Site) -> Result<(Vec<Then>, Vec<Location>), Refusal> {
    const KNOWN: [&str; 13] = [
        "reader",
        "writer",
        "never",
        "share",
        "served",
        "refused",
        "failed",
        "answered",
        "attempts",
        "quiet-after-drain",
        "at-most",
        "released",
        "sent-again",
    ];
    let (mut all, mut places): (Vec<Then>, Vec<Location>) = Default::default();
    for mut child in node.children(&KNOWN) {
        let mut arguments = 0;
        let clause = match child.name() {
            name @ ("reader" | "writer" | "never") => {
                arguments = 1;
                let which = which(&mut child, site)?;
                match name {
                    "reader" => Then::Reader(which),
                    "writer" => Then::Writer(which),
                    _ => Then::Never(which),
                }
            }
            "share" => {
                arguments = 1;
                let role =
                    child.need("of")?.one_of(&[("readers", Role::Reader), ("writers", Role::Writer)])?;
                let fraction = child.need("part")?.number_to(1.0)?;
                let tolerance = child.get("tolerance")?.map_or(Ok(0.05), |value| value.number_to(1.0))?;
                Then::Share { role, selector: which(&mut child, site)?, fraction, tolerance }
            }
            "served" => {
                arguments = 1;
                Then::Served(child.arguments().next().map_or(Ok(true), |value| value.flag())?)
            }
            "refused" => {
                Then::Refused { retry_within: child.get("retry-within")?.map(|v| v.micros()).transpose()? }
            }
            "failed" => Then::Failed { may_have_run: child.need("may-have-run")?.flag()? },
            "answered" => Then::AnsweredWithin(child.need("within")?.micros()?),
            "released" => Then::ReleasedWithin(child.need("within")?.micros()?),
            "sent-again" => {
                arguments = 1;
                Then::SentAgain(child.arguments().next().map_or(Ok(true), |value| value.flag())?)
            }
            "attempts" => Then::AttemptsAtMost(child.need("at-most")?.whole()?),
            "quiet-after-drain" => {
                Then::QuietAfterDrain(child.get("within")?.map_or(Ok(500_000), |value| value.micros())?)
            }
            _ => {
                arguments = 1;
                let server = server(site, &child.argument()?)?;
                Then::SendsAtMost {
                    server,
                    max_sends: child.need("sends")?.whole()?,
                    window: child.need("in")?.micros()?,
                }
            }
        };
        child.end(arguments)?;
        contradiction(&child, &all, clause)?;
        all.push(clause);
        places.push(child.place());
    }
    node.end(0)?;
    if all.is_empty() {
        return Err(node.refuse("nothing has to come of it: 'then' is empty", None));
    }
    Ok((all, places))
}

/// Two clauses that can't both hold are a mistake of the document, not a finding.
fn contradiction(node: &Node, all: &[Then], new: Then) -> Result<(), Refusal> {
    let clash = |old: &Then| match (*old, new) {
        (Then::Reader(a) | Then::Writer(a), Then::Never(b))
        | (Then::Never(a), Then::Reader(b) | Then::Writer(b)) => a == b,
        (Then::Reader(ServerSelector::Server(a)), Then::Reader(ServerSelector::Server(b))) => a != b,
        (Then::Writer(ServerSelector::Server(a)), Then::Writer(ServerSelector::Server(b))) => a != b,
        (Then::Served(a), Then::Served(b)) | (Then::SentAgain(a), Then::SentAgain(b)) => a != b,
        (Then::Served(true), Then::Refused { .. } | Then::Failed { .. }) => true,
        (Then::Refused { .. } | Then::Failed { .. }, Then::Served(true)) => true,
        (Then::Refused { .. }, Then::Failed { .. }) | (Then::Failed { .. }, Then::Refused { .. }) => true,
        _ => false,
    };
    match all.iter().any(clash) {
        true => Err(node.refuse("this contradicts what stands above it", None)),
        false => Ok(()),
    }
}
