//! The data model of expectations. Names are resolved to numbers when a document is read.

use std::collections::BTreeMap;

use crate::interface::*;

/// A configuration to check expectations against: the settings, and the servers of a list.
#[derive(Clone, Debug)]
pub struct Site {
    /// The settings of one conductor. Their zone is that of the conductor that routes the requests, unless
    /// [`Given::zone`] overrides it.
    pub settings: Settings,
    /// The names of the data centres, indexed by [`ZoneId`].
    pub zones: Vec<String>,
    /// The names of the server kinds, indexed by [`KindId`].
    pub kinds: Vec<String>,
    /// The names of the request classes, indexed by [`ClassId`].
    pub classes: Vec<String>,
    /// The name and the entry of each server.
    pub servers: BTreeMap<ServerId, (String, ServerEntry)>,
}

impl Site {
    /// Returns the name of a server, or `?` if the site has no such server.
    pub fn name(&self, id: ServerId) -> &str {
        self.servers.get(&id).map_or("?", |(name, _)| name)
    }

    /// Returns the role of a server, or `None` if the server or its kind is unknown.
    pub fn role(&self, id: ServerId) -> Option<Role> {
        let (_, entry) = self.servers.get(&id)?;
        self.settings.kinds.get(usize::from(entry.kind.0)).map(|kind| kind.role)
    }
}

/// How an attempt at a server fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureMode {
    /// The connection fails before the last byte of the request was sent, so the attempt never ran.
    BeforeLastByte,
    /// The connection fails after the last byte of the request was sent, so the attempt may have run.
    AfterLastByte,
    /// The server answers with an error.
    Error,
    /// The server sends nothing, so the attempt lasts until the conductor gives it up.
    Silence,
}

/// How a simulated server behaves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Behaviour {
    /// Factor by which the server's processing times exceed the normal ones.
    pub latency_factor: f64,
    /// If true, the server rejects every request as full.
    pub full: bool,
    /// How the next attempts at the server fail, and how many of them.
    pub failures: Option<(FailureMode, u32)>,
    /// The load report with which the server answers probes.
    pub report: Option<Report>,
}

impl Default for Behaviour {
    fn default() -> Self {
        Behaviour { latency_factor: 1.0, full: false, failures: None, report: None }
    }
}

/// A text that a reader has in its cache when the simulation starts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CachedText {
    /// The reader.
    pub server: ServerId,
    /// The session whose text this is, if any.
    pub session: Option<SessionKey>,
    /// The shared prefix that the text is, if any.
    pub prefix: Option<PrefixKey>,
    /// The length of the text in tokens.
    pub tokens: u64,
}

/// The initial state of a simulation.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Given {
    /// The data centre of the conductors, if it differs from that of the settings.
    pub zone: Option<ZoneId>,
    /// Number of conductors, among which requests are distributed in turn. If `None`, a single one is simulated and
    /// the settings keep their number of conductors.
    pub conductors: Option<u32>,
    /// Servers that are draining.
    pub draining: Vec<ServerId>,
    /// Servers that have left the list.
    pub gone: Vec<ServerId>,
    /// Servers that the conductors have ejected because connecting to them has just failed.
    pub ejected: Vec<ServerId>,
    /// Servers whose process has started recently, and how long ago.
    pub started_ago: BTreeMap<ServerId, Micros>,
    /// The servers that differ from [`Behaviour::default`].
    pub behaviours: BTreeMap<ServerId, Behaviour>,
    /// The texts that readers have in their caches.
    pub cached: Vec<CachedText>,
    /// Servers at which requests are open, and how many from each conductor. A reader still has to read them; a
    /// writer is already writing their answers.
    pub open_requests: Vec<(ServerId, u32)>,
    /// Time that has passed since the caches, ejections and open requests above came about.
    pub elapsed: Micros,
}

/// The changes that a new generation makes to one server. `None` leaves a value as it is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerChange {
    /// The server.
    pub server: ServerId,
    /// The new weight.
    pub weight: Option<f64>,
    /// The new state.
    pub state: Option<ServerState>,
    /// How long before the new generation the server's process started.
    pub started_ago: Option<Micros>,
}

/// One step of an expectation. Steps are executed in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// A burst of equal requests arrives at a constant interval.
    Requests {
        /// The request. Unless it names a session, each request of the burst gets a session of its own.
        request: Request,
        /// Number of requests.
        count: u32,
        /// Time between two requests.
        interval: Micros,
        /// How long the client of each request waits for an answer.
        time_left: Micros,
    },
    /// Time passes.
    Pass(Micros),
    /// The list marks a server as draining.
    Drain(ServerId),
    /// The list marks a server as ready again.
    Return(ServerId),
    /// A new generation of the server list takes effect, with these changes.
    Generation(Vec<ServerChange>),
}

/// Selects servers of a site.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ServerSelector {
    /// This server.
    Server(ServerId),
    /// The servers of a data centre.
    Zone(ZoneId),
    /// The servers of a cell.
    Cell(CellId),
    /// The servers of a kind.
    Kind(KindId),
    /// The servers in the same cell as the reader of the request.
    CellOfReader,
}

/// A clause: what has to be true of a simulation. A clause applies to each request by itself unless it says
/// otherwise.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Then {
    /// Each read of the request goes to one of these servers.
    Reader(ServerSelector),
    /// Each write of the request goes to one of these servers.
    Writer(ServerSelector),
    /// No attempt goes to any of these servers.
    Never(ServerSelector),
    /// Of all requests with an attempt at this role, a given fraction has its first one at these servers.
    Share {
        /// The role whose attempts are counted.
        role: Role,
        /// The servers whose fraction is checked.
        selector: ServerSelector,
        /// The expected fraction, from 0 to 1.
        fraction: f64,
        /// The permitted deviation from the fraction.
        tolerance: f64,
    },
    /// The request is served, or is not served.
    Served(bool),
    /// The request is refused.
    Refused {
        /// The longest retry delay that the refusal may name. If `None`, any delay is accepted, also none.
        retry_within: Option<Micros>,
    },
    /// The request fails.
    Failed {
        /// Whether the failure has to state that the request may have run.
        may_have_run: bool,
    },
    /// The request is answered within this time; a streamed answer counts as given at its first token.
    AnsweredWithin(Micros),
    /// The request is sent at most this many times.
    AttemptsAtMost(u32),
    /// The request is sent more than once to servers of one role, or is not.
    SentAgain(bool),
    /// Once no attempt waits for the read state of the request, it is released within this time.
    ReleasedWithin(Micros),
    /// A clause over all requests: once the list has marked a server as draining, nothing is sent to it after this
    /// time, until it is ready again.
    QuietAfterDrain(Micros),
    /// A clause over all requests: within any window of the given length, all conductors together send a server at
    /// most this many attempts.
    SendsAtMost {
        /// The server.
        server: ServerId,
        /// The highest permitted number of attempts.
        max_sends: u32,
        /// The length of the window.
        window: Micros,
    },
}

/// An expectation: from an initial state, certain steps lead to a certain outcome.
#[derive(Clone, Debug, PartialEq)]
pub struct Expectation {
    /// The name of the expectation.
    pub name: String,
    /// The initial state.
    pub given: Given,
    /// The steps, in order.
    pub when: Vec<Step>,
    /// The clauses, all of which have to hold.
    pub then: Vec<Then>,
}
