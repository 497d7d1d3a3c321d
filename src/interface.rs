//! The input and output of the routing decisions as plain data: settings, events, actions and ids.
//!
//! The host must give the router a clock that never runs backwards, one event at a time in the order of arrival,
//! and exactly one [`Event::Ended`] for every [`Action::Send`]. It must carry out actions in the order given.
//! This module contains no routing logic. The `plain` constructors supply defaults for examples and tests.

use thiserror::Error;

/// A point in time or a duration on the event clock, in whole microseconds.
pub type Micros = u64;

/// The id of a request: 36 bytes, which actions return unchanged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub [u8; 36]);

macro_rules! id {
    ($(#[$doc:meta] $name:ident($inner:ty);)*) => {$(
        #[$doc]
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);
    )*};
}

id! {
    /// The id of a model server. It survives a restart of the server's process.
    ServerId(u32);
    /// The id of a timer that the router has set.
    TimerId(u64);
    /// An index into [`Settings::classes`].
    ClassId(u16);
    /// An index into [`Settings::tenants`].
    TenantId(u16);
    /// An index into [`Settings::kinds`].
    KindId(u16);
    /// The index of a zone among those that the host knows.
    ZoneId(u16);
    /// The id of a cell: a small set of servers with fast links between them.
    CellId(u32);
    /// The digest of a session's key.
    SessionKey(u64);
    /// The digest of the key of a prefix that several sessions share.
    PrefixKey(u64);
}

/// The work that a kind of server can do.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Role {
    /// Reads prompts (prefill).
    #[default]
    Reader,
    /// Writes answers (decode).
    Writer,
    /// Does both.
    Mixed,
}

/// Whether a request may be sent again after an earlier attempt may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// A repeat is harmless.
    Safe,
    /// The servers of one group discard repeats for [`Class::key_window`].
    Keyed(KeyGroup),
    /// A repeat does harm, so the request must not run twice.
    Unsafe,
}

/// The servers that discard repeats of a keyed request, relative to the server that may have run it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyGroup {
    /// All servers.
    All,
    /// Servers in the same zone.
    Zone,
    /// Servers in the same cell.
    Cell,
}

/// A kind of server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Kind {
    /// The work that its servers do.
    pub role: Role,
    /// Memory of one server, in tokens.
    pub memory_tokens: u64,
}

/// A request class: its latency targets, its worth and how its requests may be repeated.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Latency target: a first token within this time earns the full worth.
    pub aim: Micros,
    /// Time added to the aim for every 1,000 prompt tokens.
    pub aim_per_1000_tokens: Micros,
    /// How long the client waits in all.
    pub deadline: Micros,
    /// Target for the time between tokens.
    pub token_aim: Micros,
    /// Worth of a request that is answered within the aim.
    pub worth: f64,
    /// Share of the worth that an answer after the aim still earns.
    pub late_worth: f64,
    /// Whether requests may be repeated.
    pub effect: Effect,
    /// How long a [`KeyGroup`] remembers a request and discards its repeats.
    pub key_window: Micros,
}

/// A tenant and its share of the service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tenant {
    /// Share of the service that the tenant is entitled to.
    pub share: f64,
    /// Request rate, in requests per second over all dispatchers, up to which the tenant is within its share.
    pub quota_per_s: f64,
}

/// What the host and its servers allow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of attempts for one request.
    pub attempts: u32,
    /// Whether attempts may be cancelled.
    pub cancel: bool,
    /// Whether servers may be probed.
    pub probes: bool,
    /// Whether two attempts of one request may be in flight at once.
    pub second_copies: bool,
    /// Whether the retry delay of a refusal reaches the client.
    pub retry_after: bool,
    /// The longest retry delay that a client honours.
    pub max_retry_after: Micros,
    /// Whether places at writers may be reserved in advance.
    pub hold_places: bool,
    /// Whether a broken stream can resume at another server, and running streams may be moved.
    pub resume: bool,
    /// Whether a writer reads a prompt itself if there is no state to fetch.
    pub writers_read: bool,
}

/// Parameters of the rules that the router must keep.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rules {
    /// A final answer may be given up to this long after the client's deadline.
    pub answer_slack: Micros,
    /// The time left that an attempt states to its server may exceed the actual time left by up to this much.
    pub time_left_slack: Micros,
    /// No request may be sent to a server any more once the server has been draining for this long.
    pub drain_grace: Micros,
    /// Smallest share of its capacity that a server has when its process starts.
    pub cold_from: f64,
    /// Time from the start of a server's process until the server is warm.
    pub warm_up: Micros,
    /// A cold server fails if its load exceeds this multiple of its present capacity for
    /// [`fall_after`](Self::fall_after).
    pub fall_multiple: f64,
    /// How long a cold server withstands a load above [`fall_multiple`](Self::fall_multiple).
    pub fall_after: Micros,
    /// A dispatcher without a subscription must ask for the list of servers at least this often.
    pub ask_within: Micros,
    /// States and places held for a request must be released within this time once it has no attempt in flight.
    pub release_within: Micros,
}

impl Rules {
    /// How long a state may wait to be fetched: three quarters of [`release_within`](Self::release_within). The
    /// rest of that time is kept for finding a server that releases the state.
    pub fn max_state_wait(&self) -> Micros {
        self.release_within / 4 * 3
    }
}

/// Costs that count against the result, as shares of the total result.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Prices {
    /// Cost of one probe for each first attempt.
    pub probe: f64,
    /// Cost of one attempt in another zone for each first attempt.
    pub cross_zone: f64,
    /// Cost of moving all prompt tokens out of their cell.
    pub cross_cell: f64,
    /// Cost of wasting as much work as is offered.
    pub waste: f64,
    /// Cost of leaving all worth unserved after its aim has passed.
    pub late_fail: f64,
}

/// How load reports reach the router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportSource {
    /// With the outcomes of attempts and with probe results.
    Answers,
    /// With probe results only.
    Probes,
    /// The router gets no reports.
    Unavailable,
}

/// How the list of servers reaches the router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// The host delivers changes unasked.
    Pushed,
    /// The host delivers only what was asked for.
    OnRequest,
}

/// Everything that a router is given at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Zone in which this dispatcher runs.
    pub zone: ZoneId,
    /// Number of dispatchers that share the fleet, including this one.
    pub dispatchers: u32,
    /// Shortest time between two rounds of events.
    pub step: Micros,
    /// Kinds of server.
    pub kinds: Vec<Kind>,
    /// Request classes.
    pub classes: Vec<Class>,
    /// Tenants. May be empty.
    pub tenants: Vec<Tenant>,
    /// Worth of a request beyond its tenant's share, as a fraction of the worth of its class.
    pub over_share_worth: f64,
    /// What the host allows.
    pub limits: Limits,
    /// Parameters of the rules.
    pub rules: Rules,
    /// Costs that count against the result.
    pub prices: Prices,
    /// How load reports reach the router.
    pub reports: ReportSource,
    /// How the list of servers reaches the router.
    pub discovery: Discovery,
}

/// Why settings are rejected.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum SettingsError {
    /// A list is empty, or a count is 0.
    #[error("{0} must not be empty or 0")]
    Empty(&'static str),
    /// A number is negative, not finite or outside its range.
    #[error("{0} is out of range")]
    OutOfRange(&'static str),
}

impl Settings {
    /// Checks that required lists are not empty, that required counts are not 0, and that worths, shares, prices,
    /// memory sizes and slow start parameters are in range.
    pub fn check(&self) -> Result<(), SettingsError> {
        let required = [
            ("dispatchers", self.dispatchers == 0),
            ("kinds", self.kinds.is_empty()),
            ("classes", self.classes.is_empty()),
            ("attempts", self.limits.attempts == 0),
        ];
        if let Some((what, _)) = required.iter().find(|(_, empty)| *empty) {
            return Err(SettingsError::Empty(what));
        }
        let non_negative = |x: f64| x.is_finite() && x >= 0.0;
        let classes = |f: fn(&Class) -> f64| self.classes.iter().all(|c| non_negative(f(c)));
        let ranges = [
            ("worth", classes(|c| c.worth) && classes(|c| c.late_worth)),
            ("tenants", self.tenants.iter().all(|t| non_negative(t.share) && non_negative(t.quota_per_s))),
            ("over_share_worth", non_negative(self.over_share_worth)),
            ("cold_from", non_negative(self.rules.cold_from) && self.rules.cold_from <= 1.0),
            ("fall_multiple", non_negative(self.rules.fall_multiple)),
            ("memory_tokens", self.kinds.iter().all(|k| k.memory_tokens > 0)),
            ("prices", {
                let p = &self.prices;
                [p.probe, p.cross_zone, p.cross_cell, p.waste, p.late_fail].into_iter().all(non_negative)
            }),
        ];
        match ranges.iter().find(|(_, ok)| !ok) {
            Some((what, _)) => Err(SettingsError::OutOfRange(what)),
            None => Ok(()),
        }
    }

    /// Default settings without any kinds or classes. [`check`](Self::check) rejects them until those are added.
    pub fn plain(dispatchers: u32) -> Self {
        Settings {
            zone: ZoneId(0),
            dispatchers,
            step: 2_000,
            kinds: Vec::new(),
            classes: Vec::new(),
            tenants: Vec::new(),
            over_share_worth: 1.0,
            limits: Limits {
                attempts: 5,
                cancel: true,
                probes: true,
                second_copies: false,
                retry_after: true,
                max_retry_after: 1_000_000,
                hold_places: true,
                resume: false,
                writers_read: false,
            },
            rules: Rules {
                answer_slack: 8_000,
                time_left_slack: 150_000,
                drain_grace: 1_000_000,
                cold_from: 0.3,
                warm_up: 10_000_000,
                fall_multiple: 3.0,
                fall_after: 2_000_000,
                ask_within: 10_000_000,
                release_within: 500_000,
            },
            prices: Prices { probe: 0.0, cross_zone: 0.0, cross_cell: 0.0, waste: 0.0, late_fail: 0.0 },
            reports: ReportSource::Answers,
            discovery: Discovery::Pushed,
        }
    }
}

impl Class {
    /// Returns the time until which a request may be sent again, given that an attempt sent at `sent` may have
    /// run.
    pub fn repeats_until(&self, sent: Micros) -> Micros {
        match self.effect {
            Effect::Safe => Micros::MAX,
            Effect::Keyed(_) => sent.saturating_add(self.key_window),
            Effect::Unsafe => 0,
        }
    }

    /// A safe class with an aim of 1 s, a deadline of 10 s and a worth of 1.
    pub fn plain() -> Self {
        Class {
            aim: 1_000_000,
            aim_per_1000_tokens: 0,
            deadline: 10_000_000,
            token_aim: 60_000,
            worth: 1.0,
            late_worth: 0.0,
            effect: Effect::Safe,
            key_window: 0,
        }
    }
}

/// The state of a server according to the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    /// The server accepts new work.
    Ready,
    /// The server finishes the work that it has. No new work may be sent to it.
    Draining,
    /// The server has been removed.
    Gone,
}

/// One entry of the list of servers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerEntry {
    /// Id of the server.
    pub id: ServerId,
    /// Zone that the server is in.
    pub zone: ZoneId,
    /// Kind of the server.
    pub kind: KindId,
    /// Cell that the server is in.
    pub cell: CellId,
    /// State of the server.
    pub state: ServerState,
    /// Capacity relative to other servers of the same role. A server with a weight of 0 gets no new work.
    pub weight: f64,
    /// When the server's process last started, if that was recent.
    pub started: Option<Micros>,
}

impl Default for ServerEntry {
    fn default() -> Self {
        Self::plain()
    }
}

impl ServerEntry {
    /// Returns true if the server may be sent new work: it is ready and its weight is above 0.
    pub fn takes_work(&self) -> bool {
        self.state == ServerState::Ready && self.weight > 0.0
    }

    /// A ready server of the first kind in the first zone and cell.
    pub fn plain() -> Self {
        ServerEntry {
            id: ServerId(0),
            zone: ZoneId(0),
            kind: KindId(0),
            cell: CellId(0),
            state: ServerState::Ready,
            weight: 1.0,
            started: None,
        }
    }
}

/// What a list update covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    /// Only the entries that changed.
    Changes,
    /// The whole list. Servers that are not in it have been removed.
    Full,
    /// The whole list as this instance last stored it. It may be out of date.
    Cached,
    /// The request for the list failed. The list stays as it was.
    Failed,
}

/// An update of the list of servers.
#[derive(Clone, Debug, PartialEq)]
pub struct ListUpdate {
    /// What the update covers.
    pub scope: ListScope,
    /// Entries of the update.
    pub entries: Vec<ServerEntry>,
}

/// An incoming request. From its arrival on, the router must bring about one final answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Request {
    /// Id of the request.
    pub id: RequestId,
    /// Class of the request.
    pub class: ClassId,
    /// Tenant of the request, where the settings have tenants.
    pub tenant: Option<TenantId>,
    /// Session that the request belongs to.
    pub session: Option<SessionKey>,
    /// Prefix that the prompt shares with other sessions.
    pub prefix: Option<PrefixKey>,
    /// Length of the shared prefix, in tokens.
    pub prefix_tokens: u64,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u64,
    /// Maximum length of the answer, in tokens.
    pub max_tokens: u64,
    /// Estimated length of the answer, as the time that it takes at the class's [`token_aim`](Class::token_aim).
    pub hint: Option<Micros>,
    /// When the client gives up on this request.
    pub expires: Micros,
    /// Whether the client states that this request repeats an earlier one.
    pub resent: bool,
}

impl Default for Request {
    fn default() -> Self {
        Self::plain()
    }
}

impl Request {
    /// A request of the first class with no optional fields set.
    pub fn plain() -> Self {
        Request {
            id: RequestId([b'0'; 36]),
            class: ClassId(0),
            tenant: None,
            session: None,
            prefix: None,
            prefix_tokens: 0,
            prompt_tokens: 0,
            max_tokens: 0,
            hint: None,
            expires: 0,
            resent: false,
        }
    }
}

/// A server's report of its load. A value that the server does not report is `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// Recent time until the end of a read or until the first token.
    pub latency: Option<Micros>,
    /// Share of the server's memory that is in use.
    pub memory_share: Option<f64>,
    /// Prompt tokens waiting to be read or fetched.
    pub waiting_tokens: Option<f64>,
    /// Requests waiting in the server's queue.
    pub waiting: Option<f64>,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The request was answered.
    Served,
    /// The server returned an error. The request may have run.
    Error,
    /// The server refused the request: it had no slot or queue place free, or was draining. The request never ran.
    Full,
    /// The server refused the request: there was no state to fetch. The request never ran.
    NoState,
    /// No answer arrived in time. The request may have run, or may still run.
    TimedOut,
    /// No connection was established. The request never ran.
    ConnectFailed,
    /// The connection broke. The request may have run.
    Reset,
    /// The attempt was cancelled. The request may have run.
    Cancelled,
    /// The attempt was not sent. The request never ran.
    NotSent,
    /// The prompt has been read and its state waits at the reader. The request is not answered yet.
    Read,
}

impl Outcome {
    /// Returns true if the server itself reported this outcome, which shows that it was alive at that time.
    pub fn is_server_reported(self) -> bool {
        matches!(self, Outcome::Served | Outcome::Read | Outcome::Error | Outcome::Full | Outcome::NoState)
    }

    /// Returns true if the outcome proves that the request never ran at that server. The protocol guarantees this.
    pub fn never_ran(self) -> bool {
        match self {
            Outcome::Full | Outcome::NoState | Outcome::ConnectFailed | Outcome::NotSent | Outcome::Read => {
                true
            }
            Outcome::Served | Outcome::Error | Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled => {
                false
            }
        }
    }
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ended {
    /// Request that the attempt belongs to.
    pub request: RequestId,
    /// Number of the attempt among those of its request, from 0.
    pub attempt: u32,
    /// Server that the attempt was sent to.
    pub server: ServerId,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Prompt tokens that the server had cached, for a prompt that was read.
    pub kept_tokens: u64,
    /// Whether the request has ended, with this attempt or earlier.
    pub settled: bool,
    /// Time since the attempt was sent.
    pub took: Micros,
    /// The server's report, if the answer carried one.
    pub report: Option<Report>,
}

/// Something that has happened and that the router must take into account.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The list of servers was updated.
    List(ListUpdate),
    /// A request arrived.
    Request(Request),
    /// The answer has begun and is streamed to the client, so this attempt answers the request.
    Started {
        /// Request that is being answered.
        request: RequestId,
        /// Number of the attempt.
        attempt: u32,
        /// Server that answers.
        server: ServerId,
        /// Time since the attempt was sent.
        took: Micros,
    },
    /// An attempt has ended.
    Ended(Ended),
    /// A writer replied to a request to reserve a place in advance.
    Place {
        /// Request that the place is for.
        request: RequestId,
        /// Writer that was asked.
        server: ServerId,
        /// Whether the place is held.
        held: bool,
    },
    /// The state that was read for a request is being released, because no server is known to have fetched it in time.
    /// Further attempts have to read the prompt again. An attempt in flight may still be answered.
    StateReleased(RequestId),
    /// The client of a request has left, or its answer was overdue.
    ClientGone(RequestId),
    /// A timer is due.
    Timer(TimerId),
    /// A probe has ended.
    Probed {
        /// Server that was probed.
        server: ServerId,
        /// How the probe ended.
        outcome: Outcome,
        /// Time since the probe was sent.
        took: Micros,
        /// The server's report, if the answer carried one.
        report: Option<Report>,
    },
    /// Another dispatcher sent a message.
    DispatcherMessage {
        /// Number of the sending dispatcher.
        from: u32,
        /// Content of the message.
        payload: Vec<u8>,
    },
}

/// Something that the host must carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to a server as its next attempt.
    Send {
        /// Request to send.
        request: RequestId,
        /// Server to send it to.
        server: ServerId,
        /// Time-out of the attempt. `None`: until the client gives up.
        timeout: Option<Micros>,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// Request that the attempt belongs to.
        request: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Give the final answer that the request is refused. The client may safely retry.
    Refuse {
        /// Request to refuse.
        request: RequestId,
        /// How long the client should wait before it retries.
        retry_after: Option<Micros>,
    },
    /// Give the final answer that the request has failed.
    Fail(RequestId),
    /// End a running stream so that its client sends the request again.
    Move(RequestId),
    /// Reserve a place at a writer.
    HoldPlace {
        /// Request that the place is for.
        request: RequestId,
        /// Writer to reserve it at.
        server: ServerId,
    },
    /// Release every state and place of a request that none of its attempts waits for.
    Release(RequestId),
    /// Deliver [`Event::Timer`] at a given time.
    SetTimer {
        /// When the timer is due.
        at: Micros,
        /// Id of the timer.
        timer: TimerId,
    },
    /// Probe a server.
    Probe(ServerId),
    /// Close idle connections to a server.
    CloseIdle(ServerId),
    /// Subscribe to changes of the list of servers (`true`), or cancel the subscription (`false`).
    Watch(bool),
    /// Request the whole list of servers once.
    FetchList,
    /// Send a message to one other dispatcher, or to all.
    SendToDispatchers {
        /// Number of the receiving dispatcher. `None`: all others.
        to: Option<u32>,
        /// Content of the message.
        payload: Vec<u8>,
    },
    /// Write a line to the operators' log.
    Log(String),
    /// Inform the operators that a server was ejected: it did not respond, and is avoided for a while.
    Ejected(ServerId),
    /// Explain a choice among servers. Emitted only if the router is observed.
    Explain(Box<Choice>),
}

/// Why a request may not be sent to a server at the time of a choice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ineligible {
    /// The server is draining.
    Draining,
    /// The weight of the server is 0.
    NoWeight,
    /// The request may have run at another server and must not run a second time.
    MayHaveRun,
    /// The server is cold, and the request is not in the share that it may receive.
    ColdShare,
    /// The server does not do this work.
    Role,
    /// A mixed server has more of its memory in use than it may when it is to read.
    Memory,
    /// Only one attempt is left, and after a read the answer would need another.
    LastAttempt,
}

/// Why a server is chosen only if no other is available.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Avoided {
    /// The server left a probe unanswered.
    Silent,
    /// The server is ejected after failures and not yet due for a trial.
    Ejected,
    /// The server recently refused a request of the same tenant and class because it was full.
    Full,
    /// The server answers with too many errors.
    Faulty,
    /// An attempt of this request failed at the server.
    FailedBefore,
}

impl Avoided {
    /// All reasons, the most severe first.
    pub const ALL: [Avoided; 5] =
        [Avoided::Silent, Avoided::Ejected, Avoided::Full, Avoided::Faulty, Avoided::FailedBefore];
}

/// The cost of a candidate, in parts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Cost {
    /// Cost of a reader: (weight of a missing token x `missing` + `load`) / `pace` + `price`.
    Read {
        /// Prompt tokens that the server has not cached.
        missing: u64,
        /// Prompt tokens waiting at the server.
        load: f64,
        /// Reading speed in tokens per second.
        pace: f64,
        /// Seconds charged for a server in another zone.
        price: f64,
        /// The total cost, in seconds.
        cost: f64,
    },
    /// Cost of a writer.
    Write {
        /// Whether the writer is in the reader's cell.
        in_readers_cell: bool,
        /// Share of the memory that is in use.
        memory: f64,
        /// Expected time to the first token, in seconds.
        wait: f64,
        /// Whether the writer has capacity: enough free memory, and a first token that is not too late.
        has_capacity: bool,
        /// Answers that this dispatcher has in progress or waiting at the writer.
        own_streams: u32,
    },
}

/// A server that a choice considered.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Id of the server.
    pub server: ServerId,
    /// Why the request may not be sent to the server, if it may not.
    pub ineligible: Option<Ineligible>,
    /// Why the server is chosen only if no other is available, if that applies.
    pub avoided: Option<Avoided>,
    /// Tier of the candidate. A lower tier ranks first, whatever the cost.
    pub tier: u8,
    /// Cost of the candidate.
    pub cost: Cost,
}

/// One choice among servers.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Request that the choice is for.
    pub request: RequestId,
    /// True for the choice of a reader, false for that of a writer.
    pub reads: bool,
    /// All servers that the choice considered.
    pub candidates: Vec<Candidate>,
    /// The eligible servers, the best first.
    pub ranked: Vec<ServerId>,
}
