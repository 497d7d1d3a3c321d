//! What goes into the decisions and what comes out: settings, events, actions and ids, as plain data.
//!
//! The host owes the router a clock that never runs backwards, one event at a time in the order of arrival,
//! and exactly one [`Event::Ended`] for every [`Action::Send`]. Actions are carried out in the order given.
//! Nothing in this file decides anything; the `plain` constructors fill in "nothing special" for examples
//! and tests.

use thiserror::Error;

/// A time or a span of the event clock, in whole microseconds.
pub type Micros = u64;

/// A request, named by the 36 bytes of its id, which come back unchanged.
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
    /// A model server; the same after a restart of its process.
    ServerId(u32);
    /// A timer that the router has set.
    TimerId(u64);
    /// An index into [`Settings::classes`].
    ClassId(u16);
    /// An index into [`Settings::tenants`].
    TenantId(u16);
    /// An index into [`Settings::kinds`].
    KindId(u16);
    /// A zone, by its place among the zones that the host knows.
    ZoneId(u16);
    /// A cell: a small set of servers with fast links between them.
    CellId(u32);
    /// A session, as a digest of its key.
    SessionKey(u64);
    /// A prefix that several sessions share, as a digest of its key.
    PrefixKey(u64);
}

/// What a kind of server can do.
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

/// What a repeat of a request does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Repeats are harmless.
    Safe,
    /// Servers of one group discard repeats for a while.
    Keyed(KeyGroup),
    /// A repeat does harm.
    Unsafe,
}

/// The servers that discard repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyGroup {
    /// All servers.
    All,
    /// Those in one zone.
    Zone,
    /// Those in one cell.
    Cell,
}

/// A kind of server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Kind {
    /// What it does.
    pub role: Role,
    /// Its memory, in tokens.
    pub memory_tokens: u64,
}

/// A request class.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// A first token within this time earns the full worth.
    pub aim: Micros,
    /// Added to the aim for each 1,000 tokens of the prompt.
    pub aim_per_1000_tokens: Micros,
    /// The client's whole wait.
    pub deadline: Micros,
    /// Aim for the time between tokens.
    pub token_aim: Micros,
    /// Worth of a request.
    pub worth: f64,
    /// Share of the worth that a late answer earns.
    pub late_worth: f64,
    /// What a repeat does.
    pub effect: Effect,
    /// How long a keyed group remembers.
    pub key_window: Micros,
}

/// A tenant and its share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tenant {
    /// Share of the service.
    pub share: f64,
    /// Requests a second within the share, over all dispatchers.
    pub quota_per_s: f64,
}

/// What the host allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Attempts for one request at most.
    pub attempts: u32,
    /// Attempts may be cancelled.
    pub cancel: bool,
    /// Servers may be probed.
    pub probes: bool,
    /// Two attempts of one request may be out at once.
    pub second_copies: bool,
    /// Advice to stay away reaches the client.
    pub retry_after: bool,
    /// The longest such advice that a client honours.
    pub max_retry_after: Micros,
    /// Places may be held ahead.
    pub hold_places: bool,
    /// A broken stream can go on elsewhere, and running streams may be moved.
    pub resume: bool,
    /// A writer reads a prompt itself if there is no state to fetch.
    pub writers_read: bool,
}

/// Figures of the five rules.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rules {
    /// A final answer may come this long after the client's deadline.
    pub answer_slack: Micros,
    /// The time left that an attempt tells its server may be too long by this.
    pub time_left_slack: Micros,
    /// Sends to a draining server must have ceased after this.
    pub drain_grace: Micros,
    /// A server starts with at least this share of its capacity.
    pub cold_from: f64,
    /// A started server is warm after this.
    pub warm_up: Micros,
    /// A cold server falls over above this multiple of its present capacity...
    pub fall_multiple: f64,
    /// ...for this long.
    pub fall_after: Micros,
    /// A dispatcher without a subscription has to ask for the list this often.
    pub ask_within: Micros,
    /// What is held for a request with no attempt out must end within this.
    pub release_within: Micros,
}

impl Rules {
    /// For so long a state may wait to be fetched; the rest of its time is for finding a server that lets go of it.
    pub fn max_state_wait(&self) -> Micros {
        self.release_within / 4 * 3
    }
}

/// What things cost, as shares of the whole result.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Prices {
    /// One probe for every first try.
    pub probe: f64,
    /// One attempt across zones for every first try.
    pub cross_zone: f64,
    /// All prompt tokens moved out of their cell.
    pub cross_cell: f64,
    /// As much wasted work as work offered.
    pub waste: f64,
    /// All worth ending unserved after its aim.
    pub late_fail: f64,
}

/// How load reports reach the router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportSource {
    /// With outcomes and probe results.
    Answers,
    /// With probe results only.
    Probes,
    /// Not at all.
    Unavailable,
}

/// How the list of servers reaches the router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// Changes come by themselves.
    Pushed,
    /// Only what was asked for comes.
    OnRequest,
}

/// Everything an instance is told at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Zone of this dispatcher.
    pub zone: ZoneId,
    /// How many dispatchers share the fleet.
    pub dispatchers: u32,
    /// Least time between two rounds of events.
    pub step: Micros,
    /// Kinds of server.
    pub kinds: Vec<Kind>,
    /// Request classes.
    pub classes: Vec<Class>,
    /// Tenants; may be none.
    pub tenants: Vec<Tenant>,
    /// Worth of a request beyond its tenant's share, as a part of its class's.
    pub over_share_worth: f64,
    /// What the host allows.
    pub limits: Limits,
    /// Figures of the rules.
    pub rules: Rules,
    /// What things cost.
    pub prices: Prices,
    /// Where load reports come from.
    pub reports: ReportSource,
    /// How the list comes.
    pub discovery: Discovery,
}

/// Why settings are refused.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum SettingsError {
    /// There are no dispatchers, kinds or classes.
    #[error("{0} must not be empty")]
    Empty(&'static str),
    /// A figure is negative, not a number or out of its range.
    #[error("{0} is out of range")]
    OutOfRange(&'static str),
}

impl Settings {
    /// Checks that the settings agree with themselves.
    pub fn check(&self) -> Result<(), SettingsError> {
        let full = [
            ("dispatchers", self.dispatchers == 0),
            ("kinds", self.kinds.is_empty()),
            ("classes", self.classes.is_empty()),
            ("attempts", self.limits.attempts == 0),
        ];
        if let Some((what, _)) = full.iter().find(|(_, empty)| *empty) {
            return Err(SettingsError::Empty(what));
        }
        let positive = |x: f64| x.is_finite() && x >= 0.0;
        let classes = |f: fn(&Class) -> f64| self.classes.iter().all(|c| positive(f(c)));
        let ranges = [
            ("worth", classes(|c| c.worth) && classes(|c| c.late_worth)),
            ("tenants", self.tenants.iter().all(|t| positive(t.share) && positive(t.quota_per_s))),
            ("over_share_worth", positive(self.over_share_worth)),
            ("cold_from", positive(self.rules.cold_from) && self.rules.cold_from <= 1.0),
            ("fall_multiple", positive(self.rules.fall_multiple)),
            ("memory_tokens", self.kinds.iter().all(|k| k.memory_tokens > 0)),
            ("prices", {
                let p = &self.prices;
                [p.probe, p.cross_zone, p.cross_cell, p.waste, p.late_fail].into_iter().all(positive)
            }),
        ];
        match ranges.iter().find(|(_, ok)| !ok) {
            Some((what, _)) => Err(SettingsError::OutOfRange(what)),
            None => Ok(()),
        }
    }

    /// Settings with nothing special in them and no kinds or classes yet.
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
    /// Until when a request of which an attempt was sent then, and may have run, may be sent again.
    pub fn repeats_until(&self, sent: Micros) -> Micros {
        match self.effect {
            Effect::Safe => Micros::MAX,
            Effect::Keyed(_) => sent.saturating_add(self.key_window),
            Effect::Unsafe => 0,
        }
    }

    /// A safe class with an aim of a second, a deadline of ten and a worth of one.
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

/// What the list says of a server's readiness.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    /// Takes work.
    Ready,
    /// Finishes what it has; nothing new may go there.
    Draining,
    /// Removed.
    Gone,
}

/// One entry of the list of servers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerEntry {
    /// The server.
    pub id: ServerId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its kind.
    pub kind: KindId,
    /// Its cell.
    pub cell: CellId,
    /// Its state.
    pub state: ServerState,
    /// Its size against others of its role.
    pub weight: f64,
    /// When its process last started, if that is not long ago.
    pub started: Option<Micros>,
}

impl Default for ServerEntry {
    fn default() -> Self {
        Self::plain()
    }
}

impl ServerEntry {
    /// Whether it wants new work at all.
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

/// How a list is to be taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    /// Only what changed.
    Changes,
    /// The whole list; what is missing is gone.
    Full,
    /// The whole list as this instance last held it, perhaps old.
    Cached,
    /// Asking failed; the list stands as it was.
    Failed,
}

/// News of the list of servers.
#[derive(Clone, Debug, PartialEq)]
pub struct ListUpdate {
    /// How to take it.
    pub scope: ListScope,
    /// The entries.
    pub entries: Vec<ServerEntry>,
}

/// A request that has come in; a final answer is owed from now on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant, where there are any.
    pub tenant: Option<TenantId>,
    /// Its session.
    pub session: Option<SessionKey>,
    /// The prefix that it shares with other sessions.
    pub prefix: Option<PrefixKey>,
    /// Length of that prefix, in tokens.
    pub prefix_tokens: u64,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u64,
    /// The longest answer, in tokens.
    pub max_tokens: u64,
    /// Rough length of the answer, as time at the class's aim between tokens.
    pub hint: Option<Micros>,
    /// When the client gives this try up.
    pub expires: Micros,
    /// The client says that this repeats an earlier try.
    pub resent: bool,
}

impl Default for Request {
    fn default() -> Self {
        Self::plain()
    }
}

impl Request {
    /// A request of the first class with nothing said of it.
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

/// A server's report of its load; a figure that is not reported is absent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// Recent time to the end of a read or to the first token.
    pub latency: Option<Micros>,
    /// Share of its memory that is held.
    pub memory_share: Option<f64>,
    /// Prompt tokens that wait to be read or fetched.
    pub waiting_tokens: Option<f64>,
    /// Requests that wait in its queue.
    pub waiting: Option<f64>,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Answered.
    Served,
    /// The server returned an error; it may have run.
    Error,
    /// Turned away: no slot or queue free, or draining. It never ran.
    Full,
    /// Turned away: there was no state to fetch. It never ran.
    NoState,
    /// No answer in time; it may have run or may still.
    TimedOut,
    /// No connection. It never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Cancelled; it may have run.
    Cancelled,
    /// Not sent at all. It never ran.
    NotSent,
    /// The prompt is read and its state waits at the reader; nothing is answered.
    Read,
}

impl Outcome {
    /// Whether the server itself told it, so that it was alive then.
    pub fn is_server_reported(self) -> bool {
        matches!(self, Outcome::Served | Outcome::Read | Outcome::Error | Outcome::Full | Outcome::NoState)
    }

    /// Whether the outcome proves that the request never ran at that server; a fact of the contract.
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
    /// The request.
    pub request: RequestId,
    /// Which of its attempts, from 0.
    pub attempt: u32,
    /// The server.
    pub server: ServerId,
    /// How it ended.
    pub outcome: Outcome,
    /// Prompt tokens found kept, for a prompt that was read.
    pub kept_tokens: u64,
    /// The request has ended, by this or earlier.
    pub settled: bool,
    /// Time since the send.
    pub took: Micros,
    /// The server's report, if one came along.
    pub report: Option<Report>,
}

/// What has happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// News of the list.
    List(ListUpdate),
    /// A request has come in.
    Request(Request),
    /// The answer has begun; the attempt now belongs to the client.
    Started {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: u32,
        /// The server.
        server: ServerId,
        /// Time since the send.
        took: Micros,
    },
    /// An attempt has ended.
    Ended(Ended),
    /// A place asked for ahead is held, or not.
    Place {
        /// The request.
        request: RequestId,
        /// The server asked.
        server: ServerId,
        /// Whether it is held.
        held: bool,
    },
    /// What was read for a request is being released, as no server was heard to take it in time; further attempts have
    /// to read anew. An attempt that is out may be answered yet.
    StateReleased(RequestId),
    /// The client has left, or its answer was overdue.
    ClientGone(RequestId),
    /// A timer is due.
    Timer(TimerId),
    /// A probe has ended.
    Probed {
        /// The server.
        server: ServerId,
        /// How it ended.
        outcome: Outcome,
        /// Time since the probe.
        took: Micros,
        /// The report, if one came along.
        report: Option<Report>,
    },
    /// A message of another dispatcher.
    DispatcherMessage {
        /// Its number.
        from: u32,
        /// What it says.
        payload: Vec<u8>,
    },
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to a server, as its next attempt.
    Send {
        /// The request.
        request: RequestId,
        /// The server.
        server: ServerId,
        /// Time-out; none: until the client gives up.
        timeout: Option<Micros>,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: u32,
    },
    /// Final answer: refused; a retry is harmless.
    Refuse {
        /// The request.
        request: RequestId,
        /// How long the client should stay away.
        retry_after: Option<Micros>,
    },
    /// Final answer: failed.
    Fail(RequestId),
    /// End a running stream so that its client comes again.
    Move(RequestId),
    /// Hold a place at a writer.
    HoldPlace {
        /// The request.
        request: RequestId,
        /// The server.
        server: ServerId,
    },
    /// Let go of every state and place that no attempt waits for.
    Release(RequestId),
    /// Ask for a timer event.
    SetTimer {
        /// When.
        at: Micros,
        /// Its id.
        timer: TimerId,
    },
    /// Probe a server.
    Probe(ServerId),
    /// Close idle connections to a server.
    CloseIdle(ServerId),
    /// Subscribe to changes of the list, or stop.
    Watch(bool),
    /// Ask once for the whole list.
    FetchList,
    /// Send a message to one other dispatcher, or to all.
    SendToDispatchers {
        /// The dispatcher; none: all.
        to: Option<u32>,
        /// The message.
        payload: Vec<u8>,
    },
    /// A line for the operators.
    Log(String),
    /// This server gave no sign of life and is avoided for a while; for the operators.
    Ejected(ServerId),
    /// What a choice looked at; told only to those who observe.
    Explain(Box<Choice>),
}

/// Why nothing may be sent to a server at the moment of a choice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ineligible {
    /// It drains.
    Draining,
    /// Its weight is 0.
    NoWeight,
    /// The request may have run elsewhere, and must not run a second time.
    MayHaveRun,
    /// It is cold, and the request is not one of the part that is for it.
    ColdShare,
    /// It can't do this.
    Role,
    /// A mixed server that holds more memory than its share.
    Memory,
    /// One attempt is left, and a read would need a second one for the answer.
    LastAttempt,
}

/// Why a server is taken only if there is no other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Avoided {
    /// It left a probe unanswered.
    Silent,
    /// It is ejected after failures, and not due for its trial.
    Ejected,
    /// It turned the like of this request away as full.
    Full,
    /// It answers with too many errors.
    Faulty,
    /// An attempt of this request has failed there.
    FailedBefore,
}

impl Avoided {
    /// All of them, the gravest first.
    pub const ALL: [Avoided; 5] =
        [Avoided::Silent, Avoided::Ejected, Avoided::Full, Avoided::Faulty, Avoided::FailedBefore];
}

/// What a candidate would cost, in parts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Cost {
    /// Of a reader: cost = (weight of a missing token x missing + load) / pace + price.
    Read {
        /// Prompt tokens not kept there.
        missing: u64,
        /// Tokens that wait there.
        load: f64,
        /// Tokens a second.
        pace: f64,
        /// Seconds that stand for the way to another zone.
        price: f64,
        /// The cost, in seconds.
        cost: f64,
    },
    /// Of a writer.
    Write {
        /// It is in the reader's cell.
        in_readers_cell: bool,
        /// Share of its memory that is held.
        memory: f64,
        /// Seconds to the first token.
        wait: f64,
        /// It has room.
        has_capacity: bool,
        /// Own answers in the making there.
        own_streams: u32,
    },
}

/// A server that a choice looked at.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// The server.
    pub server: ServerId,
    /// Why nothing may be sent there, if so.
    pub ineligible: Option<Ineligible>,
    /// Why it is avoided where there is another, if so.
    pub avoided: Option<Avoided>,
    /// Its class: the lower one comes first, whatever the cost.
    pub tier: u8,
    /// Its cost.
    pub cost: Cost,
}

/// One choice among servers.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// The request.
    pub request: RequestId,
    /// A reader is chosen, not a writer.
    pub reads: bool,
    /// All that it looked at.
    pub candidates: Vec<Candidate>,
    /// Those that were usable, the best first.
    pub ranked: Vec<ServerId>,
}
