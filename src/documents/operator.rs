//! The operator's document: what is off on the platform and set up elsewhere. What it does not name stays off.

use std::collections::{BTreeMap, BTreeSet};
use std::path::PathBuf;
use std::time::Duration;

use super::read::{Node, Source, Value};
use crate::interface::*;
use crate::limits::memory::MIN_MEMORY_MB;
use crate::membership::check::nearest;
use crate::membership::lives::WeightSteps;
use crate::membership::{ListedServer, Located, Refusal, SetRules, TimeoutAction, TrialRules};
use crate::protocol::platform::server_number;
use crate::protocol::settings::{Links, Names};

/// The operator's document. What it does not set up stays off.
#[derive(Clone, Debug, Default)]
pub struct Operator {
    /// Servers and weights of the platform's pool from watched files.
    pub servers: Option<Watched>,
    /// The JSON-RPC front.
    pub rpc: Option<Rpc>,
    /// Counters for Graphite.
    pub graphite: Option<Graphite>,
    /// Counters for collectd.
    pub collectd: Option<Collectd>,
    /// The log.
    pub log: Log,
    /// A memory limit below the platform's, in megabytes.
    pub memory_mb: Option<f64>,
}

/// A directory of files of servers, and how it is watched and believed.
#[derive(Clone, Debug, PartialEq)]
pub struct Watched {
    /// The directory.
    pub directory: PathBuf,
    /// It is read at least this often, whatever the system tells of changes.
    pub poll: Duration,
    /// A larger file is refused; in bytes.
    pub most_bytes: u64,
    /// The cells that exist; none: any number will do.
    pub cells: Option<BTreeSet<u32>>,
    /// How sets are taken.
    pub rules: SetRules,
    /// Where the last good set is kept for the next start.
    pub state: Option<PathBuf>,
    /// Documents of expectations that a set has to meet before it is taken.
    pub expectations: Vec<PathBuf>,
}

/// The JSON-RPC front and the tool servers behind it.
#[derive(Clone, Debug)]
pub struct Rpc {
    /// Where clients connect; the plug-in has none.
    pub listen: Option<String>,
    /// The path at which the front, and each tool server, takes calls.
    pub path: String,
    /// The class of each tool that may be called.
    pub tools: BTreeMap<String, ClassId>,
    /// Where the list of tool servers is watched; without it the list stays as it is.
    pub discovery: Option<String>,
    /// Tool servers from watched files.
    pub servers: Option<Watched>,
    /// The tool servers that the document lists itself.
    pub known: Vec<ListedServer>,
    /// Settings of the tool servers' router.
    pub settings: Settings,
    /// The names in them.
    pub names: Names,
    /// What holds for connections.
    pub links: Links,
}

/// Graphite's plaintext protocol over TCP.
#[derive(Clone, Debug, PartialEq)]
pub struct Graphite {
    /// Where it listens.
    pub address: String,
    /// What the metrics' paths begin with.
    pub prefix: String,
    /// Time between two sendings.
    pub every: Duration,
}

/// collectd's plain text protocol over its Unix socket.
#[derive(Clone, Debug, PartialEq)]
pub struct Collectd {
    /// The socket's path.
    pub socket: String,
    /// The host's name in the values' identifiers.
    pub host: String,
    /// Time between two sendings.
    pub every: Duration,
}

/// The form of the log's lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogForm {
    /// For people.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// The log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Log {
    /// The form of its lines.
    pub form: LogForm,
    /// What is logged: a level, or levels by target.
    pub filter: String,
}

impl Default for Log {
    fn default() -> Self {
        Log { form: LogForm::Text, filter: "info".into() }
    }
}

/// The kind of tool servers where the document lists them itself.
const TOOL: &str = "tool";

impl Operator {
    /// Reads the document.
    pub fn parse(source: &Source) -> Result<Self, Refusal> {
        const KNOWN: [&str; 6] = ["servers", "rpc", "graphite", "collectd", "log", "memory"];
        let document = source.parse()?;
        let mut operator = Operator::default();
        let mut seen = BTreeSet::new();
        for mut node in Node::all(source, &document) {
            if KNOWN.contains(&node.name()) && !seen.insert(node.name().to_string()) {
                return Err(node.refuse(format!("'{}' is given twice", node.name()), None));
            }
            match node.name() {
                "servers" => operator.servers = Some(watched(&mut node)?),
                "rpc" => operator.rpc = Some(rpc(&mut node)?),
                "graphite" => {
                    operator.graphite = Some(Graphite {
                        address: node.need("address")?.text()?.to_string(),
                        prefix: node.need("prefix")?.text()?.to_string(),
                        every: node.need("every")?.some_time()?,
                    });
                }
                "collectd" => {
                    operator.collectd = Some(Collectd {
                        socket: node.need("socket")?.text()?.to_string(),
                        host: node.need("host")?.text()?.to_string(),
                        every: node.need("every")?.some_time()?,
                    });
                }
                "log" => operator.log = log(&mut node)?,
                "memory" => operator.memory_mb = Some(memory(&mut node)?),
                _ => return Err(node.unknown(&KNOWN)),
            }
            node.end(0)?;
        }
        Ok(operator)
    }
}

fn time<'a>(
    node: &mut Node<'a>,
    name: &'static str,
    default: Duration,
    read: fn(&Value<'a>) -> Result<Duration, Refusal>,
) -> Result<Duration, Refusal> {
    node.get(name)?.map_or(Ok(default), |value| read(&value))
}

fn micros(node: &mut Node, name: &'static str, default: Micros) -> Result<Micros, Refusal> {
    node.get(name)?.map_or(Ok(default), |value| value.micros())
}

fn log(node: &mut Node) -> Result<Log, Refusal> {
    let mut log = Log::default();
    if let Some(form) = node.get("form")? {
        log.form = form.one_of(&[("text", LogForm::Text), ("json", LogForm::Json)])?;
    }
    if let Some(filter) = node.get("filter")? {
        log.filter = filter.text()?.to_string();
        if let Err(error) = tracing_subscriber::EnvFilter::try_new(&log.filter) {
            let help = "write a level such as \"info\", or \"info,birchspur::attempt=debug\"".to_string();
            return Err(filter.refuse(format!("this filter can't be used: {error}"), Some(help)));
        }
    }
    Ok(log)
}

/// Reads the memory limit, in megabytes.
fn memory(node: &mut Node) -> Result<f64, Refusal> {
    let limit = node.need("limit")?;
    let megabytes = limit.size()? as f64 / 1e6;
    if megabytes < MIN_MEMORY_MB {
        let message = format!("{megabytes} MB of memory are too few");
        return Err(limit.refuse(message, Some(format!("at least {MIN_MEMORY_MB}MB are needed"))));
    }
    Ok(megabytes)
}

fn watched(node: &mut Node) -> Result<Watched, Refusal> {
    let mut cells = None;
    if let Some(child) = node.child("cells")? {
        cells = Some(child.arguments().map(|cell| cell.whole()).collect::<Result<_, _>>()?);
    }
    let mut weight_steps = WeightSteps { factor: 1.5, interval: 2_000_000, initial_fraction: 0.25 };
    if let Some(mut step) = node.child("weight-step")? {
        if let Some(factor) = step.get("factor")? {
            weight_steps.factor = factor.number_to(100.0)?;
            if weight_steps.factor <= 1.0 {
                return Err(factor.refuse("a weight has to grow: the factor must be above 1", None));
            }
        }
        weight_steps.interval =
            time(&mut step, "every", Duration::from_micros(weight_steps.interval), Value::some_time)?
                .as_micros() as Micros;
        step.end(0)?;
    }
    let mut expectations = None;
    if let Some(mut child) = node.child("expectations")? {
        expectations = Some(guard(&mut child)?);
    }
    Ok(Watched {
        directory: node.need("directory")?.text()?.into(),
        poll: time(node, "poll", Duration::from_secs(1), Value::some_time)?,
        most_bytes: node.get("file-limit")?.map_or(Ok(16 << 20), |value| value.size())?,
        cells,
        rules: SetRules {
            quiet_period: micros(node, "rest", 2_000_000)?,
            min_change_interval: micros(node, "pace", 200_000)?,
            drain_period: micros(node, "drain", 60_000_000)?,
            max_weight_loss: node.get("leave-at-most")?.map_or(Ok(0.5), |value| value.number_to(1.0))?,
            weight_steps,
            trial: expectations.as_ref().map(|(_, rules)| *rules),
        },
        state: node.get("state")?.map(|value| value.text()).transpose()?.map(PathBuf::from),
        expectations: expectations.map(|(documents, _)| documents).unwrap_or_default(),
    })
}

/// The guard: documents of expectations that a set has to meet before it is taken.
fn guard(node: &mut Node) -> Result<(Vec<PathBuf>, TrialRules), Refusal> {
    let documents = node.arguments().map(|path| path.text().map(PathBuf::from));
    let documents: Vec<PathBuf> = documents.collect::<Result<_, _>>()?;
    if documents.is_empty() {
        let help = "write: expectations \"FILE\"".to_string();
        return Err(node.refuse("'expectations' names no document", Some(help)));
    }
    let time_limit = time(node, "within", Duration::from_secs(5), Value::some_time)?.as_micros() as Micros;
    let on_timeout = match node.get("late")? {
        Some(late) => late.one_of(&[("take", TimeoutAction::Accept), ("refuse", TimeoutAction::Refuse)])?,
        None => TimeoutAction::Refuse,
    };
    node.end(documents.len())?;
    Ok((documents, TrialRules { time_limit, on_timeout }))
}

/// The place of a name among those that the document has given.
fn known(names: &[String], what: &str, name: &Value) -> Result<u16, Refusal> {
    let text = name.text()?;
    let at = names.iter().position(|known| known == text).and_then(|at| u16::try_from(at).ok());
    at.ok_or_else(|| {
        let near = nearest(text, names.iter().map(String::as_str));
        let help = near.map(|near| format!("did you mean \"{near}\"?"));
        name.refuse(format!("there is no {what} \"{text}\""), help)
    })
}

fn rpc(node: &mut Node) -> Result<Rpc, Refusal> {
    let listen = node.get("listen")?.map(|value| value.text()).transpose()?.map(str::to_string);
    let path_value = node.need("path")?;
    let path = path_value.text()?.to_string();
    if !path.starts_with('/') || path.contains(['{', '}', '?']) {
        return Err(path_value.refuse(format!("\"{path}\" is no path for a front"), None));
    }
    let Some(zones_node) = node.child("zones")? else {
        return Err(node.refuse("'rpc' lacks 'zones'", Some("add: zones \"...\"".into())));
    };
    let zones: Vec<String> =
        zones_node.arguments().map(|zone| Ok(zone.text()?.to_string())).collect::<Result<_, Refusal>>()?;
    if zones.is_empty() {
        return Err(zones_node.refuse("'zones' names no zone", None));
    }
    let zone = match node.get("zone")? {
        Some(zone) => known(&zones, "zone", &zone)?,
        None => 0,
    };
    let dispatchers = match node.get("conductors")? {
        Some(count) => match count.whole()? {
            0 => return Err(count.refuse("there is at least one conductor", None)),
            count => count,
        },
        None => 1,
    };
    let mut settings = Settings::plain(dispatchers);
    settings.zone = ZoneId(zone);
    settings.kinds = vec![Kind { role: Role::Mixed, memory_tokens: 1_000_000 }];
    settings.reports = ReportSource::Unavailable;
    settings.prices = Prices { probe: 0.1, cross_zone: 0.01, ..settings.prices };
    let mut names = Names { zones, kinds: vec![TOOL.into()], ..Names::default() };
    for mut class in node.children(&["class"]) {
        let name = class.argument()?;
        if names.classes.iter().any(|known| name.text().is_ok_and(|text| text == known)) {
            return Err(name.refuse("this class stands twice", None));
        }
        names.classes.push(name.text()?.to_string());
        settings.classes.push(self::class(&mut class)?);
    }
    if names.classes.is_empty() {
        let help = "add: class \"look-up\" repeat=\"safe\" aim=\"4s\" deadline=\"10s\"".to_string();
        return Err(node.refuse("'rpc' has no class", Some(help)));
    }
    let mut tools = BTreeMap::new();
    for mut tool in node.children(&["tool"]) {
        let name = tool.argument()?;
        let class = ClassId(known(&names.classes, "class", &tool.need("class")?)?);
        tool.end(1)?;
        if tools.insert(name.text()?.to_string(), class).is_some() {
            return Err(name.refuse("this tool stands twice", None));
        }
    }
    let links = limits(node, &mut settings)?;
    rules(node, &mut settings.rules)?;
    let mut listed: Vec<Located<ListedServer>> = Vec::new();
    for mut server in node.children(&["server"]) {
        let one = tool_server(&mut server, &names)?;
        if let Some(first) = listed.iter().find(|first| first.value.entry.id == one.entry.id) {
            let message = format!("'{}' has the id or number of '{}'", one.name, first.value.name);
            return Err(server.refuse(message, None));
        }
        listed.push(Located { value: one, location: server.place() });
    }
    let servers = node.child("servers")?.map(|mut child| {
        let watched = watched(&mut child)?;
        child.end(0)?;
        Ok(watched)
    });
    Ok(Rpc {
        listen,
        path,
        tools,
        discovery: node.get("discovery")?.map(|value| value.text()).transpose()?.map(str::to_string),
        servers: servers.transpose()?,
        known: listed.into_iter().map(|one| one.value).collect(),
        settings,
        names,
        links,
    })
}

fn class(node: &mut Node) -> Result<Class, Refusal> {
    #[derive(Clone, Copy)]
    enum Repeat {
        Safe,
        Unsafe,
        Keyed,
    }
    let words = [("safe", Repeat::Safe), ("unsafe", Repeat::Unsafe), ("keyed", Repeat::Keyed)];
    let scopes = [("all", KeyGroup::All), ("zone", KeyGroup::Zone), ("cell", KeyGroup::Cell)];
    let repeat = node.need("repeat")?.one_of(&words)?;
    let scope = node.get("key-scope")?.map_or(Ok(KeyGroup::All), |value| value.one_of(&scopes))?;
    let class = Class {
        aim: node.need("aim")?.micros()?,
        deadline: node.need("deadline")?.micros()?,
        worth: node.get("worth")?.map_or(Ok(1.0), |value| value.number_to(1e9))?,
        late_worth: node.get("late-worth")?.map_or(Ok(0.1), |value| value.number_to(1.0))?,
        key_window: micros(node, "key-window", 5_000_000)?,
        effect: match repeat {
            Repeat::Safe => Effect::Safe,
            Repeat::Unsafe => Effect::Unsafe,
            Repeat::Keyed => Effect::Keyed(scope),
        },
        ..Class::plain()
    };
    node.end(1)?;
    Ok(class)
}

fn limits(node: &mut Node, settings: &mut Settings) -> Result<Links, Refusal> {
    let mut links = Links { idle: 15_000_000, connect: 250_000 };
    let limits = &mut settings.limits;
    (limits.attempts, limits.max_retry_after) = (4, 500_000);
    if let Some(mut child) = node.child("limits")? {
        if let Some(attempts) = child.get("attempts")? {
            limits.attempts = attempts.whole()?;
            if limits.attempts == 0 {
                return Err(attempts.refuse("a call needs at least one attempt", None));
            }
        }
        limits.max_retry_after = micros(&mut child, "retry-after", limits.max_retry_after)?;
        links.idle = micros(&mut child, "idle", links.idle)?;
        links.connect = micros(&mut child, "connect", links.connect)?;
        child.end(0)?;
    }
    (limits.hold_places, limits.second_copies) = (false, false);
    Ok(links)
}

/// Tool servers have no rule on the time left, in microseconds: their connections have all the time of `connect`.
const NO_TIME_LEFT_RULE: Micros = 3_600_000_000;

fn rules(node: &mut Node, rules: &mut crate::interface::Rules) -> Result<(), Refusal> {
    *rules = crate::interface::Rules {
        time_left_slack: NO_TIME_LEFT_RULE,
        drain_grace: 500_000,
        cold_from: 0.34,
        warm_up: 13_000_000,
        fall_multiple: 2.5,
        release_within: 300_000,
        ..*rules
    };
    if let Some(mut child) = node.child("rules")? {
        rules.drain_grace = micros(&mut child, "drain-grace", rules.drain_grace)?;
        rules.warm_up = micros(&mut child, "warm-up", rules.warm_up)?;
        rules.fall_after = micros(&mut child, "fall-after", rules.fall_after)?;
        rules.cold_from = child.get("cold-from")?.map_or(Ok(rules.cold_from), |v| v.number_to(1.0))?;
        rules.fall_multiple =
            child.get("fall-multiple")?.map_or(Ok(rules.fall_multiple), |v| v.number_to(1000.0))?;
        child.end(0)?;
    }
    Ok(())
}

fn tool_server(node: &mut Node, names: &Names) -> Result<ListedServer, Refusal> {
    let name = node.argument()?.text()?;
    let (address, zone) = (node.need("address")?.text()?, node.get("zone")?);
    let zone = zone.map_or(Ok(0), |zone| known(&names.zones, "zone", &zone))?;
    let cell = node.get("cell")?.map_or(Ok(0), |cell| cell.whole())?;
    let weight = node.get("weight")?.map_or(Ok(1.0), |weight| weight.number_to(1000.0))?;
    node.end(1)?;
    let entry = ServerEntry {
        id: server_number(name),
        zone: ZoneId(zone),
        cell: CellId(cell),
        weight,
        ..ServerEntry::plain()
    };
    Ok(ListedServer { entry, name: name.into(), address: address.into() })
}
