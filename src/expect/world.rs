//! One play of an expectation: conductors with the real core, servers that behave as they are told, a queue of
//! what happens next, and a clock that only it moves.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use super::model::*;
use crate::interface::*;
use crate::routing::{Admission, Core, Input, Output, PoolId};

/// The world begins at this time, so that what has started long ago has a time too.
const BEGIN: Micros = 3_600_000_000;
/// Tokens a second that a reader reads (the middle of the range in service).
const READ_PACE: f64 = 20_000.0;
/// Time of a message there and back.
const ROUND_TRIP: Micros = 1_000;
/// From a send to the first token without a queue, in microseconds.
const FIRST_TOKEN: Micros = 30_000;
/// From the first token to the end of a stream.
const STREAM: Micros = 1_000_000;
/// Texts that are kept were read so long ago.
const KEPT_AGO: Micros = 3_000_000;
/// Servers in doubt could not be connected to so long ago at most: well before their trial is due.
const DOUBTED_AGO: Micros = 400_000;
/// Length of a prompt that is open at a reader.
const OPEN_TOKENS: u64 = 2_000;
/// Requests that are open at a reader have come so long ago: the first of them is still being read.
const OPEN_READ_AGO: Micros = 60_000;
/// Requests that are open at a writer have come so long ago: their answers have begun.
const OPEN_WRITE_AGO: Micros = 250_000;
/// What is played on after the last step: the longest deadline, and this.
const AFTER: Micros = 2_000_000;

/// Whether a play is observed: what is decided is the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// Only at what was done.
    AtDeeds,
    /// Also at what each choice was made among.
    AtEachChoice,
}

/// One attempt as the world saw it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sent {
    /// When, from the beginning.
    pub at: Micros,
    /// Where.
    pub server: ServerId,
    /// To be read there, not written.
    pub reads: bool,
    /// How it ended, once it has.
    pub outcome: Option<Outcome>,
    /// When it ended.
    pub ended: Option<Micros>,
}

/// The answer of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Its first token came.
    Served,
    /// Refused, and when to come back.
    Refused(Option<Micros>),
    /// Failed.
    Failed {
        /// It may have run.
        may_have_run: bool,
    },
}

/// One request as the world saw it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Story {
    /// When it came, from the beginning.
    pub came: Micros,
    /// Its attempts.
    pub sent: Vec<Sent>,
    /// When servers were told to let go of what they hold for it.
    pub released: Vec<Micros>,
    /// Its answer, and when it came.
    pub answer: Option<(Micros, Answer)>,
    /// What each choice for it looked at, and when; only where the play is observed.
    pub choices: Vec<(Micros, Choice)>,
}

/// What came of a play.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Record {
    /// The requests in their order.
    pub stories: Vec<Story>,
    /// When the list said of servers that they drain.
    pub drained: Vec<(Micros, ServerId)>,
    /// When the list said of which servers that they take work again.
    pub returned: Vec<(Micros, ServerId)>,
    /// All sends, in their order.
    pub sends: Vec<(Micros, ServerId)>,
}

enum Next {
    Wake(usize),
    Came(usize, usize),
    Ended { of: usize, request: RequestId, attempt: u32, outcome: Outcome, kept: u64 },
    Written { of: usize, request: RequestId, attempt: u32 },
    Release { of: usize, request: RequestId },
    Started { of: usize, request: RequestId, attempt: u32 },
    Probed { of: usize, server: ServerId },
    Listed(usize),
}

/// A text that a reader keeps: the end of a session, or a shared opening. Nothing is pushed out here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Text {
    Session(SessionKey),
    Prefix(PrefixKey),
}

/// A world before or in its play.
struct World<'a> {
    site: &'a Site,
    given: &'a Given,
    now: Micros,
    pool: PoolId,
    conductors: Vec<Core>,
    woken: Vec<Option<Micros>>,
    behaviours: BTreeMap<ServerId, Behaviour>,
    free_at: BTreeMap<ServerId, Micros>,
    kept: BTreeMap<(ServerId, Text), u64>,
    states: BTreeMap<ServerId, ServerState>,
    weights: BTreeMap<ServerId, f64>,
    started: BTreeMap<ServerId, Micros>,
    generation: u64,
    next: BTreeMap<u64, Next>,
    queue: BinaryHeap<Reverse<(Micros, u64)>>,
    numbers: u64,
    requests: Vec<(RequestId, Request, Micros)>,
    index: BTreeMap<RequestId, usize>,
    record: Record,
    /// When the play proper began; what brings the given about comes before.
    counting: Option<Micros>,
    ids: usize,
}

fn id(number: usize) -> RequestId {
    let mut id = [b'0'; 36];
    id.iter_mut().rev().zip(number.to_string().bytes().rev()).for_each(|(to, digit)| *to = digit);
    RequestId(id)
}

impl<'a> World<'a> {
    fn new(site: &'a Site, given: &'a Given, seed: u64, look: Observation) -> Result<Self, SettingsError> {
        let count = given.conductors.unwrap_or(1).max(1);
        let mut settings = site.settings.clone();
        settings.zone = given.zone.unwrap_or(settings.zone);
        settings.dispatchers = given.conductors.unwrap_or(settings.dispatchers);
        let (mut conductors, mut pool) = (Vec::new(), PoolId(0));
        for n in 0..count {
            let mut core = Core::default();
            let seed = seed.wrapping_mul(0x9E37_79B9_7F4A_7C15).wrapping_add(u64::from(n));
            pool = core.add_pool(settings.clone(), seed, BEGIN)?;
            if look == Observation::AtEachChoice {
                core.observe();
            }
            conductors.push(core);
        }
        let states = site.servers.iter().map(|(id, (_, entry))| (*id, entry.state)).collect();
        let woken = vec![None; conductors.len()];
        Ok(World {
            site,
            given,
            now: BEGIN,
            pool,
            conductors,
            woken,
            behaviours: BTreeMap::new(),
            free_at: BTreeMap::new(),
            kept: BTreeMap::new(),
            states,
            weights: BTreeMap::new(),
            started: BTreeMap::new(),
            generation: 0,
            next: BTreeMap::new(),
            queue: BinaryHeap::new(),
            numbers: 0,
            requests: Vec::new(),
            index: BTreeMap::new(),
            record: Record::default(),
            counting: None,
            ids: 0,
        })
    }

    fn soon(&mut self, at: Micros, next: Next) {
        self.numbers += 1;
        self.next.insert(self.numbers, next);
        self.queue.push(Reverse((at.max(self.now), self.numbers)));
    }

    fn list_all(&mut self) {
        self.generation += 1;
        for of in 0..self.conductors.len() {
            self.soon(self.now, Next::Listed(of));
        }
    }

    fn entries(&self) -> Vec<ServerEntry> {
        let entry = |(id, (_, entry)): (&ServerId, &(String, ServerEntry))| {
            let state = self.states.get(id).copied().unwrap_or(entry.state);
            let fresh = self.given.fresh.get(id).zip(self.counting);
            let fresh = fresh.map(|(ago, began)| began.saturating_sub(*ago));
            let started = self.started.get(id).copied().or(fresh).or(entry.started);
            let weight = self.weights.get(id).copied().unwrap_or(entry.weight);
            ServerEntry { state, started, weight, ..*entry }
        };
        self.site.servers.iter().map(entry).filter(|entry| entry.state != ServerState::Gone).collect()
    }

    /// Plays on until nothing is due before `until`.
    fn play(&mut self, until: Micros) {
        while let Some(Reverse((at, number))) = self.queue.peek().copied().filter(|next| next.0.0 <= until) {
            self.queue.pop();
            self.now = at;
            if let Some(next) = self.next.remove(&number) {
                self.happen(next);
            }
        }
        self.now = self.now.max(until);
    }

    fn happen(&mut self, next: Next) {
        let mut out = Vec::new();
        let now = self.now;
        let of = match next {
            Next::Wake(of) => {
                self.woken[of] = None;
                self.conductors[of].tick(now, &mut out);
                of
            }
            Next::Came(of, number) => {
                let (_, request, time_left) = self.requests[number];
                let admission = Admission { pool: self.pool, request, time_left };
                self.conductors[of].handle(now, Input::Request(admission), &mut out);
                of
            }
            Next::Ended { of, request, attempt, outcome, kept } => {
                if let Some(sent) = self.story(request).and_then(|s| s.sent.get_mut(attempt as usize)) {
                    if sent.outcome.is_some() {
                        return;
                    }
                    (sent.outcome, sent.ended) = (Some(outcome), Some(now - BEGIN));
                }
                let input = Input::Ended { request, attempt, outcome, kept_tokens: kept, report: None };
                self.conductors[of].handle(now, input, &mut out);
                of
            }
            Next::Written { of, request, attempt } => {
                self.conductors[of].handle(now, Input::Written(request, attempt), &mut out);
                of
            }
            Next::Release { of, request } => {
                self.conductors[of].handle(now, Input::Released(request, true), &mut out);
                of
            }
            Next::Started { of, request, attempt } => {
                let over = |sent: &Sent| sent.outcome.is_some();
                if self.story(request).and_then(|s| s.sent.get(attempt as usize)).is_some_and(over) {
                    return;
                }
                self.conductors[of].handle(now, Input::Started(request, attempt), &mut out);
                of
            }
            Next::Probed { of, server } => {
                let Behaviour { report, breaks, .. } = self.behaviour(server);
                // Who is silent is so to probes too.
                let silent = breaks.is_some_and(|(how, left)| how == Break::Silence && left > 0);
                let (pool, took, report) = (self.pool, ROUND_TRIP, report.filter(|_| !silent));
                let outcome = if silent { Outcome::TimedOut } else { Outcome::Served };
                let input = Input::Probed { pool, server, outcome, took, report };
                self.conductors[of].handle(now, input, &mut out);
                of
            }
            Next::Listed(of) => {
                let update = ListUpdate { scope: ListScope::Full, entries: self.entries() };
                self.conductors[of].handle(now, Input::List(self.pool, self.generation, update), &mut out);
                of
            }
        };
        for output in out {
            self.carry_out(of, output);
        }
        if let Some(due) = self.conductors[of].next_due()
            && self.woken[of].is_none_or(|at| due < at)
        {
            self.woken[of] = Some(due);
            self.soon(due, Next::Wake(of));
        }
    }

    fn behaviour(&self, server: ServerId) -> Behaviour {
        self.behaviours.get(&server).copied().unwrap_or_default()
    }

    fn story(&mut self, request: RequestId) -> Option<&mut Story> {
        self.record.stories.get_mut(*self.index.get(&request)?)
    }

    fn carry_out(&mut self, of: usize, output: Output) {
        let at = self.now - BEGIN;
        match output {
            Output::Send { request, attempt, server, .. } => self.send(of, request, attempt, server),
            Output::Cancel { request, attempt, .. } => {
                let outcome = Outcome::Cancelled;
                self.soon(self.now, Next::Ended { of, request, attempt, outcome, kept: 0 });
            }
            Output::Relay(request, _) => self.answer(request, at, Answer::Served),
            Output::Refuse(request, after) => self.answer(request, at, Answer::Refused(after)),
            Output::Fail { request, may_have_run, .. } => {
                self.answer(request, at, Answer::Failed { may_have_run });
            }
            Output::Probe(_, server) => self.soon(self.now + ROUND_TRIP, Next::Probed { of, server }),
            Output::Release { request, .. } => {
                self.soon(self.now + ROUND_TRIP, Next::Release { of, request });
                if let Some(story) = self.story(request) {
                    story.released.push(at);
                }
            }
            Output::HoldPlace(..) | Output::CloseIdle(..) => {}
            Output::Log(_) | Output::Ejected(..) | Output::HeldTooLong { .. } | Output::Forget(_) => {}
            Output::Explain(choice) => {
                if let Some(story) = self.story(choice.request) {
                    story.choices.push((at, *choice));
                }
            }
        }
    }

    fn answer(&mut self, request: RequestId, at: Micros, answer: Answer) {
        if let Some(story) = self.story(request) {
            story.answer.get_or_insert((at, answer));
        }
    }

    fn send(&mut self, of: usize, request: RequestId, attempt: u32, server: ServerId) {
        let reads = self.site.role(server) == Some(Role::Reader);
        let at = self.now - BEGIN;
        if self.counting.is_some() {
            self.record.sends.push((at, server));
        }
        if let Some(story) = self.story(request) {
            story.sent.push(Sent { at, server, reads, outcome: None, ended: None });
        }
        let mut behaviour = self.behaviour(server);
        let ended = |outcome, kept| Next::Ended { of, request, attempt, outcome, kept };
        if !matches!(behaviour.breaks, Some((Break::BeforeLastByte, 1..))) {
            self.soon(self.now, Next::Written { of, request, attempt });
        }
        if let Some((how, left)) = behaviour.breaks.filter(|(_, left)| *left > 0) {
            behaviour.breaks = Some((how, left - 1));
            self.behaviours.insert(server, behaviour);
            let outcome = match how {
                Break::BeforeLastByte => Outcome::ConnectFailed,
                Break::AfterLastByte => Outcome::Reset,
                Break::Error => Outcome::Error,
                Break::Silence => return,
            };
            return self.soon(self.now + ROUND_TRIP, ended(outcome, 0));
        }
        if behaviour.full {
            return self.soon(self.now + ROUND_TRIP, ended(Outcome::Full, 0));
        }
        if reads {
            let (missing, kept) = self.read(request, server);
            let took = (missing as f64 / READ_PACE * 1e6 * behaviour.slow) as Micros;
            let done = self.free_at.get(&server).copied().unwrap_or(0).max(self.now) + took;
            self.free_at.insert(server, done);
            self.soon(done + ROUND_TRIP, ended(Outcome::Read, kept));
        } else {
            let first = self.now + (FIRST_TOKEN as f64 * behaviour.slow) as Micros;
            self.soon(first, Next::Started { of, request, attempt });
            self.soon(first + STREAM, ended(Outcome::Served, 0));
        }
    }

    /// The tokens of a prompt that a reader has to read, and those that it has kept; it keeps them all then.
    fn read(&mut self, request: RequestId, server: ServerId) -> (u64, u64) {
        let Some((_, request, _)) = self.index.get(&request).and_then(|n| self.requests.get(*n)) else {
            return (0, 0);
        };
        let session = request.session.map(|key| (Text::Session(key), request.prompt_tokens));
        let prefix = request.prefix.map(|key| (Text::Prefix(key), request.prefix_tokens));
        let texts = || session.into_iter().chain(prefix);
        let kept = texts().filter_map(|(text, most)| Some(*self.kept.get(&(server, text))?.min(&most)));
        let kept = kept.max().unwrap_or(0).min(request.prompt_tokens);
        let missing = request.prompt_tokens - kept;
        for (text, tokens) in texts() {
            let known = self.kept.entry((server, text)).or_default();
            *known = tokens.max(*known);
        }
        (missing, kept)
    }

    fn come(&mut self, of: usize, at: Micros, request: Request, time_left: Micros) {
        let number = self.requests.len();
        self.ids += 1;
        let request = Request { id: id(self.ids), ..request };
        self.requests.push((request.id, request, time_left));
        self.index.insert(request.id, number);
        self.record.stories.push(Story { came: at - BEGIN, ..Story::default() });
        self.soon(at, Next::Came(of, number));
    }

    /// Sends requests of each conductor into a world in which of each role only some servers take work, and
    /// plays on for a while.
    fn alone(&mut self, takes: impl Fn(ServerId) -> bool, request: Request, count: u32, span: Micros) {
        let states = self.states.clone();
        let others: Vec<ServerId> = states.keys().copied().filter(|id| !takes(*id)).collect();
        self.states.extend(others.into_iter().map(|id| (id, ServerState::Draining)));
        self.list_all();
        for of in 0..self.conductors.len() {
            for n in 0..count {
                let session = request.session.or(Some(SessionKey(u64::MAX - u64::from(n))));
                self.come(of, self.now, Request { session, ..request }, 60_000_000);
            }
        }
        let at = self.now + span;
        self.play(at);
        self.states = states;
    }

    /// Lets each text be read where it is to be kept: for that moment no other reader takes work.
    fn keep(&mut self) {
        let (site, given) = (self.site, self.given);
        for kept in &given.kept {
            let request = Request {
                session: kept.session,
                prefix: kept.prefix,
                prefix_tokens: kept.tokens,
                prompt_tokens: kept.tokens,
                max_tokens: 1,
                ..Request::plain()
            };
            let takes = |id| id == kept.server || site.role(id) == Some(Role::Writer);
            self.alone(takes, request, 1, KEPT_AGO);
        }
    }

    /// Lets the conductors fail to connect to each server that they are to doubt: for that moment no other of its
    /// role takes work.
    fn doubt(&mut self) {
        let (site, given) = (self.site, self.given);
        for server in &given.doubted {
            let dead = Behaviour { breaks: Some((Break::BeforeLastByte, u32::MAX)), ..Behaviour::default() };
            self.behaviours.insert(*server, dead);
            let takes = |id| id == *server || site.role(id) != site.role(*server);
            let request = Request { prompt_tokens: 100, max_tokens: 1, ..Request::plain() };
            self.alone(takes, request, 1, DOUBTED_AGO);
            self.behaviours.remove(server);
        }
    }

    /// Opens requests at servers: for that moment no other of their role takes work.
    fn open(&mut self) {
        let (site, given) = (self.site, self.given);
        for (server, count) in &given.open {
            let reads = site.role(*server) == Some(Role::Reader);
            let (prompt_tokens, span) =
                if reads { (OPEN_TOKENS, OPEN_READ_AGO) } else { (100, OPEN_WRITE_AGO) };
            let takes = |id| id == *server || site.role(id) != site.role(*server);
            let request = Request { prompt_tokens, max_tokens: 200, ..Request::plain() };
            self.alone(takes, request, *count, span);
        }
    }
}

/// Plays an expectation once.
pub fn play(
    site: &Site,
    expectation: &Expectation,
    seed: u64,
    look: Observation,
) -> Result<Record, SettingsError> {
    let given = &expectation.given;
    let mut world = World::new(site, given, seed, look)?;
    world.list_all();
    world.play(BEGIN);
    world.keep();
    world.doubt();
    world.open();
    world.play(world.now + given.since);
    // What was done to bring it about is no part of the record.
    (world.record, world.counting) = (Record::default(), Some(world.now));
    (world.requests, world.index) = (Vec::new(), BTreeMap::new());
    let begin = world.now;
    world.behaviours = given.behaviours.clone();
    world.states.extend(given.draining.iter().map(|id| (*id, ServerState::Draining)));
    world.states.extend(given.gone.iter().map(|id| (*id, ServerState::Gone)));
    world.list_all();
    world.play(begin);
    let (mut at, mut turn, mut last) = (world.now, 0, 0);
    for step in &expectation.when {
        match step {
            Step::Requests { request, count, every, time_left } => {
                for n in 0..*count {
                    let of = turn % world.conductors.len();
                    turn += 1;
                    let session = request.session.or(Some(SessionKey(turn as u64 ^ seed.rotate_left(17))));
                    let due = at + u64::from(n) * every;
                    world.come(of, due, Request { session, ..*request }, *time_left);
                }
                at += u64::from(count.saturating_sub(1)) * every;
                last = last.max(*time_left);
            }
            Step::Pass(span) => at += span,
            Step::Generation(changes) => {
                world.play(at);
                for Change { server, weight, state, started } in changes.iter().copied() {
                    world.weights.extend(weight.map(|weight| (server, weight)));
                    world.states.extend(state.map(|state| (server, state)));
                    world.started.extend(started.map(|ago| (server, at.saturating_sub(ago))));
                    if state == Some(ServerState::Draining) {
                        world.record.drained.push((at - BEGIN, server));
                    }
                }
                world.list_all();
            }
            Step::Drain(server) | Step::Return(server) => {
                world.play(at);
                let drains = matches!(step, Step::Drain(_));
                let state = if drains { ServerState::Draining } else { ServerState::Ready };
                world.states.insert(*server, state);
                let told = if drains { &mut world.record.drained } else { &mut world.record.returned };
                told.push((at - BEGIN, *server));
                world.list_all();
            }
        }
        world.play(at);
    }
    world.play(at + last + AFTER);
    Ok(world.record)
}
