//! A single simulation of an expectation: conductors with the real core, servers with a configured behaviour, an
//! event queue, and a virtual clock that only the queue advances.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use super::model::*;
use crate::interface::*;
use crate::routing::{Admission, Core, Input, Output, PoolId};

/// Virtual time at which a simulation starts. It is not 0, so that processes that started before it have a valid
/// start time.
const START_TIME: Micros = 3_600_000_000;
/// Prompt tokens that a reader processes per second, the middle of the range seen in service.
const READ_TOKENS_PER_S: f64 = 20_000.0;
/// Round trip of a message between a conductor and a server.
const ROUND_TRIP: Micros = 1_000;
/// Time from the send to a writer until its first token.
const FIRST_TOKEN_DELAY: Micros = 30_000;
/// Time from the first token to the end of a stream.
const STREAM_DURATION: Micros = 1_000_000;
/// Setup time for each cached text: the delay between the request that fills the cache and the next setup step.
const CACHE_SETUP_TIME: Micros = 3_000_000;
/// Setup time for each ejected server, in which connecting to it fails. It is well below the delay after which the
/// core tries an ejected server again.
const EJECTION_SETUP_TIME: Micros = 400_000;
/// Prompt length of the requests that are open at a reader.
const OPEN_PROMPT_TOKENS: u64 = 2_000;
/// Setup time for the open requests of each reader. When it ends, the first of them is still being read.
const OPEN_READ_SETUP_TIME: Micros = 60_000;
/// Setup time for the open requests of each writer. When it ends, their answers have started.
const OPEN_WRITE_SETUP_TIME: Micros = 250_000;
/// Time simulated after the last step, in addition to the longest time that a client waits.
const SETTLE_MARGIN: Micros = 2_000_000;

/// What a simulation records. Decisions are the same either way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// Record what the conductors do.
    ActionsOnly,
    /// Record also the candidates of each choice.
    WithChoices,
}

/// An attempt as the simulation recorded it. Times count from the start of the simulation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Attempt {
    /// When it was sent.
    pub sent_at: Micros,
    /// The server to which it was sent.
    pub server: ServerId,
    /// Whether the server is a reader.
    pub reads: bool,
    /// How it ended; `None` while it is in progress.
    pub outcome: Option<Outcome>,
    /// When it ended; `None` while it is in progress.
    pub ended_at: Option<Micros>,
}

/// The final answer to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The first token of the answer was relayed.
    Served,
    /// The request was refused, with the delay after which to retry, if one was named.
    Refused(Option<Micros>),
    /// The request failed.
    Failed {
        /// Whether the request may have run.
        may_have_run: bool,
    },
}

/// A request as the simulation recorded it. Times count from the start of the simulation.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestTrace {
    /// When it arrived.
    pub arrived_at: Micros,
    /// Its attempts, in the order in which they were sent.
    pub attempts: Vec<Attempt>,
    /// When releases of its read state were sent.
    pub released_at: Vec<Micros>,
    /// When it was answered, and how; `None` if it was not.
    pub answer: Option<(Micros, Answer)>,
    /// The choices made for it, and when; recorded only with [`Observation::WithChoices`].
    pub choices: Vec<(Micros, Choice)>,
}

/// The record of a simulation, without its setup. Times count from the start of the simulation.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Record {
    /// The requests, in the order of their arrival.
    pub requests: Vec<RequestTrace>,
    /// When the list marked servers as draining.
    pub drained: Vec<(Micros, ServerId)>,
    /// When a [`Step::Return`] marked servers as ready again.
    pub returned: Vec<(Micros, ServerId)>,
    /// When attempts were sent, and to which server, in order.
    pub sends: Vec<(Micros, ServerId)>,
}

/// An event of the queue, with the index of the conductor that handles it.
enum Event {
    /// A timer of the core is due.
    Wake(usize),
    /// A request arrives; the second number is its index in [`Simulation::requests`].
    Arrived(usize, usize),
    /// An attempt has ended.
    Ended { conductor: usize, request: RequestId, attempt: u32, outcome: Outcome, cached_tokens: u64 },
    /// The last byte of an attempt was written.
    Written { conductor: usize, request: RequestId, attempt: u32 },
    /// A server has confirmed the release of a read state.
    Released { conductor: usize, pool: PoolId, request: RequestId, server: ServerId },
    /// The first token of an attempt has arrived.
    Started { conductor: usize, request: RequestId, attempt: u32 },
    /// A probe has ended.
    Probed { conductor: usize, server: ServerId },
    /// A new generation of the server list takes effect.
    ListPublished(usize),
}

/// The key of a text in a reader's cache: the last prompt of a session, or a shared prefix. The simulated cache
/// evicts nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Text {
    Session(SessionKey),
    Prefix(PrefixKey),
}

/// The state of a simulation during its setup and its steps.
struct Simulation<'a> {
    site: &'a Site,
    given: &'a Given,
    now: Micros,
    pool: PoolId,
    conductors: Vec<Core>,
    /// For each conductor, the time of its next scheduled [`Event::Wake`].
    wakeups: Vec<Option<Micros>>,
    behaviours: BTreeMap<ServerId, Behaviour>,
    /// When each reader has read all prompts that it was sent.
    readers_free_at: BTreeMap<ServerId, Micros>,
    /// The cached tokens of each text at each reader.
    cached: BTreeMap<(ServerId, Text), u64>,
    /// The present state of each server.
    states: BTreeMap<ServerId, ServerState>,
    /// The weights that a [`Step::Generation`] has set.
    weights: BTreeMap<ServerId, f64>,
    /// The process start times that a [`Step::Generation`] has set.
    started: BTreeMap<ServerId, Micros>,
    generation: u64,
    /// The pending events by their numbers.
    events: BTreeMap<u64, Event>,
    /// The due times and numbers of the pending events. Equal times are handled in the order of scheduling.
    queue: BinaryHeap<Reverse<(Micros, u64)>>,
    last_event_number: u64,
    /// Id, content and time left of each request.
    requests: Vec<(RequestId, Request, Micros)>,
    /// The index of each request in `requests` and in the record.
    request_indices: BTreeMap<RequestId, usize>,
    record: Record,
    /// When the steps began; `None` during the setup.
    steps_started: Option<Micros>,
    last_request_id: usize,
}

/// Formats a number as a request id.
fn request_id(number: usize) -> RequestId {
    let mut id = [b'0'; 36];
    id.iter_mut().rev().zip(number.to_string().bytes().rev()).for_each(|(to, digit)| *to = digit);
    RequestId(id)
}

impl<'a> Simulation<'a> {
    fn new(
        site: &'a Site,
        given: &'a Given,
        seed: u64,
        observation: Observation,
    ) -> Result<Self, SettingsError> {
        let conductor_count = given.conductors.unwrap_or(1).max(1);
        let mut settings = site.settings.clone();
        settings.zone = given.zone.unwrap_or(settings.zone);
        settings.dispatchers = given.conductors.unwrap_or(settings.dispatchers);
        let (mut conductors, mut pool) = (Vec::new(), PoolId(0));
        for n in 0..conductor_count {
            let mut core = Core::default();
            let seed = seed.wrapping_mul(0x9E37_79B9_7F4A_7C15).wrapping_add(u64::from(n));
            pool = core.add_pool(settings.clone(), seed, START_TIME)?;
            if observation == Observation::WithChoices {
                core.observe();
            }
            conductors.push(core);
        }
        let states = site.servers.iter().map(|(id, (_, entry))| (*id, entry.state)).collect();
        let wakeups = vec![None; conductors.len()];
        Ok(Simulation {
            site,
            given,
            now: START_TIME,
            pool,
            conductors,
            wakeups,
            behaviours: BTreeMap::new(),
            readers_free_at: BTreeMap::new(),
            cached: BTreeMap::new(),
            states,
            weights: BTreeMap::new(),
            started: BTreeMap::new(),
            generation: 0,
            events: BTreeMap::new(),
            queue: BinaryHeap::new(),
            last_event_number: 0,
            requests: Vec::new(),
            request_indices: BTreeMap::new(),
            record: Record::default(),
            steps_started: None,
            last_request_id: 0,
        })
    }

    fn schedule(&mut self, at: Micros, event: Event) {
        self.last_event_number += 1;
        self.events.insert(self.last_event_number, event);
        self.queue.push(Reverse((at.max(self.now), self.last_event_number)));
    }

    /// Starts a new generation of the server list, which takes effect at all conductors at the present time.
    fn publish_list(&mut self) {
        self.generation += 1;
        for conductor in 0..self.conductors.len() {
            self.schedule(self.now, Event::ListPublished(conductor));
        }
    }

    /// Returns the entries of the present generation of the server list.
    fn list_entries(&self) -> Vec<ServerEntry> {
        let entry = |(id, (_, entry)): (&ServerId, &(String, ServerEntry))| {
            let state = self.states.get(id).copied().unwrap_or(entry.state);
            let given_start = self.given.started_ago.get(id).zip(self.steps_started);
            let given_start = given_start.map(|(ago, began)| began.saturating_sub(*ago));
            let started = self.started.get(id).copied().or(given_start).or(entry.started);
            let weight = self.weights.get(id).copied().unwrap_or(entry.weight);
            ServerEntry { state, started, weight, ..*entry }
        };
        self.site.servers.iter().map(entry).filter(|entry| entry.state != ServerState::Gone).collect()
    }

    /// Handles all events that are due up to `until`, and moves the clock there.
    fn run_until(&mut self, until: Micros) {
        while let Some(Reverse((at, number))) = self.queue.peek().copied().filter(|next| next.0.0 <= until) {
            self.queue.pop();
            self.now = at;
            if let Some(event) = self.events.remove(&number) {
                self.handle_event(event);
            }
        }
        self.now = self.now.max(until);
    }

    /// Passes an event to its conductor and executes the outputs.
    fn handle_event(&mut self, event: Event) {
        let mut outputs = Vec::new();
        let now = self.now;
        let conductor = match event {
            Event::Wake(conductor) => {
                self.wakeups[conductor] = None;
                self.conductors[conductor].tick(now, &mut outputs);
                conductor
            }
            Event::Arrived(conductor, number) => {
                let (_, request, time_left) = self.requests[number];
                let admission = Admission { pool: self.pool, request, time_left };
                self.conductors[conductor].handle(now, Input::Request(admission), &mut outputs);
                conductor
            }
            Event::Ended { conductor, request, attempt, outcome, cached_tokens } => {
                if let Some(ongoing) =
                    self.trace(request).and_then(|trace| trace.attempts.get_mut(attempt as usize))
                {
                    if ongoing.outcome.is_some() {
                        return;
                    }
                    (ongoing.outcome, ongoing.ended_at) = (Some(outcome), Some(now - START_TIME));
                }
                let input =
                    Input::Ended { request, attempt, outcome, kept_tokens: cached_tokens, report: None };
                self.conductors[conductor].handle(now, input, &mut outputs);
                conductor
            }
            Event::Written { conductor, request, attempt } => {
                self.conductors[conductor].handle(now, Input::Written(request, attempt), &mut outputs);
                conductor
            }
            Event::Released { conductor, pool, request, server } => {
                let released = Input::Released { pool, request, server, taken: true };
                self.conductors[conductor].handle(now, released, &mut outputs);
                conductor
            }
            Event::Started { conductor, request, attempt } => {
                let has_ended = |attempt: &Attempt| attempt.outcome.is_some();
                if self
                    .trace(request)
                    .and_then(|trace| trace.attempts.get(attempt as usize))
                    .is_some_and(has_ended)
                {
                    return;
                }
                self.conductors[conductor].handle(now, Input::Started(request, attempt), &mut outputs);
                conductor
            }
            Event::Probed { conductor, server } => {
                let Behaviour { report, failures, .. } = self.behaviour(server);
                // A silent server doesn't answer probes either.
                let silent =
                    failures.is_some_and(|(mode, remaining)| mode == FailureMode::Silence && remaining > 0);
                let (pool, took, report) = (self.pool, ROUND_TRIP, report.filter(|_| !silent));
                let outcome = if silent { Outcome::TimedOut } else { Outcome::Served };
                let input = Input::Probed { pool, server, outcome, took, report };
                self.conductors[conductor].handle(now, input, &mut outputs);
                conductor
            }
            Event::ListPublished(conductor) => {
                let update = ListUpdate { scope: ListScope::Full, entries: self.list_entries() };
                self.conductors[conductor].handle(
                    now,
                    Input::List(self.pool, self.generation, update),
                    &mut outputs,
                );
                conductor
            }
        };
        for output in outputs {
            self.execute(conductor, output);
        }
        if let Some(due) = self.conductors[conductor].next_due()
            && self.wakeups[conductor].is_none_or(|at| due < at)
        {
            self.wakeups[conductor] = Some(due);
            self.schedule(due, Event::Wake(conductor));
        }
    }

    fn behaviour(&self, server: ServerId) -> Behaviour {
        self.behaviours.get(&server).copied().unwrap_or_default()
    }

    /// Returns the trace of a request; `None` for a request of the setup once the steps have started.
    fn trace(&mut self, request: RequestId) -> Option<&mut RequestTrace> {
        self.record.requests.get_mut(*self.request_indices.get(&request)?)
    }

    /// Executes an output of a conductor's core.
    fn execute(&mut self, conductor: usize, output: Output) {
        let since_start = self.now - START_TIME;
        match output {
            Output::Send { request, attempt, server, .. } => self.send(conductor, request, attempt, server),
            Output::Cancel { request, attempt, .. } => {
                let outcome = Outcome::Cancelled;
                self.schedule(
                    self.now,
                    Event::Ended { conductor, request, attempt, outcome, cached_tokens: 0 },
                );
            }
            Output::Relay(request, _) => self.answer(request, since_start, Answer::Served),
            Output::Refuse(request, after) => self.answer(request, since_start, Answer::Refused(after)),
            Output::Fail { request, may_have_run, .. } => {
                self.answer(request, since_start, Answer::Failed { may_have_run });
            }
            Output::Probe(_, server) => {
                self.schedule(self.now + ROUND_TRIP, Event::Probed { conductor, server })
            }
            Output::Release { pool, request, server, .. } => {
                self.schedule(self.now + ROUND_TRIP, Event::Released { conductor, pool, request, server });
                if let Some(trace) = self.trace(request) {
                    trace.released_at.push(since_start);
                }
            }
            Output::HoldPlace(..) | Output::CloseIdle(..) => {}
            Output::Log(_)
            | Output::Ejected(..)
            | Output::HeldTooLong { .. }
            | Output::BlockId(..)
            | Output::Forget(_) => {}
            Output::Explain(choice) => {
                if let Some(trace) = self.trace(choice.request) {
                    trace.choices.push((since_start, *choice));
                }
            }
        }
    }

    fn answer(&mut self, request: RequestId, at: Micros, answer: Answer) {
        if let Some(trace) = self.trace(request) {
            trace.answer.get_or_insert((at, answer));
        }
    }

    /// Sends an attempt to a server and schedules what becomes of it.
    fn send(&mut self, conductor: usize, request: RequestId, attempt: u32, server: ServerId) {
        let reads = self.site.role(server) == Some(Role::Reader);
        let sent_at = self.now - START_TIME;
        if self.steps_started.is_some() {
            self.record.sends.push((sent_at, server));
        }
        if let Some(trace) = self.trace(request) {
            trace.attempts.push(Attempt { sent_at, server, reads, outcome: None, ended_at: None });
        }
        let mut behaviour = self.behaviour(server);
        let ended =
            |outcome, cached_tokens| Event::Ended { conductor, request, attempt, outcome, cached_tokens };
        if !matches!(behaviour.failures, Some((FailureMode::BeforeLastByte, 1..))) {
            self.schedule(self.now, Event::Written { conductor, request, attempt });
        }
        if let Some((mode, remaining)) = behaviour.failures.filter(|(_, remaining)| *remaining > 0) {
            behaviour.failures = Some((mode, remaining - 1));
            self.behaviours.insert(server, behaviour);
            let outcome = match mode {
                FailureMode::BeforeLastByte => Outcome::ConnectFailed,
                FailureMode::AfterLastByte => Outcome::Reset,
                FailureMode::Error => Outcome::Error,
                FailureMode::Silence => return,
            };
            return self.schedule(self.now + ROUND_TRIP, ended(outcome, 0));
        }
        if behaviour.full {
            return self.schedule(self.now + ROUND_TRIP, ended(Outcome::Full, 0));
        }
        if reads {
            let (missing, cached) = self.read_prompt(request, server);
            let took = (missing as f64 / READ_TOKENS_PER_S * 1e6 * behaviour.latency_factor) as Micros;
            let done = self.readers_free_at.get(&server).copied().unwrap_or(0).max(self.now) + took;
            self.readers_free_at.insert(server, done);
            self.schedule(done + ROUND_TRIP, ended(Outcome::Read, cached));
        } else {
            let first_token = self.now + (FIRST_TOKEN_DELAY as f64 * behaviour.latency_factor) as Micros;
            self.schedule(first_token, Event::Started { conductor, request, attempt });
            self.schedule(first_token + STREAM_DURATION, ended(Outcome::Served, 0));
        }
    }

    /// Returns how many prompt tokens a reader has to process and how many it has cached, and adds the prompt to its
    /// cache.
    fn read_prompt(&mut self, request: RequestId, server: ServerId) -> (u64, u64) {
        let Some((_, request, _)) = self.request_indices.get(&request).and_then(|n| self.requests.get(*n))
        else {
            return (0, 0);
        };
        let session = request.session.map(|key| (Text::Session(key), request.prompt_tokens));
        let prefix = request.prefix.map(|key| (Text::Prefix(key), request.prefix_tokens));
        let texts = || session.into_iter().chain(prefix);
        let cached =
            texts().filter_map(|(text, length)| Some(*self.cached.get(&(server, text))?.min(&length)));
        let cached = cached.max().unwrap_or(0).min(request.prompt_tokens);
        let missing = request.prompt_tokens - cached;
        for (text, tokens) in texts() {
            let cached_tokens = self.cached.entry((server, text)).or_default();
            *cached_tokens = tokens.max(*cached_tokens);
        }
        (missing, cached)
    }

    /// Schedules the arrival of a request at a conductor.
    fn add_request(&mut self, conductor: usize, at: Micros, request: Request, time_left: Micros) {
        let number = self.requests.len();
        self.last_request_id += 1;
        let request = Request { id: request_id(self.last_request_id), ..request };
        self.requests.push((request.id, request, time_left));
        self.request_indices.insert(request.id, number);
        self.record.requests.push(RequestTrace { arrived_at: at - START_TIME, ..RequestTrace::default() });
        self.schedule(at, Event::Arrived(conductor, number));
    }

    /// Sends `count` requests from each conductor while only the servers that `accepts` selects are ready, and
    /// advances the clock by `span`.
    fn send_to_selected(
        &mut self,
        accepts: impl Fn(ServerId) -> bool,
        request: Request,
        count: u32,
        span: Micros,
    ) {
        let states = self.states.clone();
        let excluded: Vec<ServerId> = states.keys().copied().filter(|id| !accepts(*id)).collect();
        self.states.extend(excluded.into_iter().map(|id| (id, ServerState::Draining)));
        self.publish_list();
        for conductor in 0..self.conductors.len() {
            for n in 0..count {
                let session = request.session.or(Some(SessionKey(u64::MAX - u64::from(n))));
                self.add_request(conductor, self.now, Request { session, ..request }, 60_000_000);
            }
        }
        let end = self.now + span;
        self.run_until(end);
        self.states = states;
    }

    /// Fills the caches: has each cached text read by its reader while the other readers are draining.
    fn fill_caches(&mut self) {
        let (site, given) = (self.site, self.given);
        for cached in &given.cached {
            let request = Request {
                session: cached.session,
                prefix: cached.prefix,
                prefix_tokens: cached.tokens,
                prompt_tokens: cached.tokens,
                max_tokens: 1,
                ..Request::plain()
            };
            let accepts = |id| id == cached.server || site.role(id) == Some(Role::Writer);
            self.send_to_selected(accepts, request, 1, CACHE_SETUP_TIME);
        }
    }

    /// Has the conductors eject servers: a connection to each of them fails while the other servers of its role are
    /// draining.
    fn eject_servers(&mut self) {
        let (site, given) = (self.site, self.given);
        for server in &given.ejected {
            let unreachable =
                Behaviour { failures: Some((FailureMode::BeforeLastByte, u32::MAX)), ..Behaviour::default() };
            self.behaviours.insert(*server, unreachable);
            let accepts = |id| id == *server || site.role(id) != site.role(*server);
            let request = Request { prompt_tokens: 100, max_tokens: 1, ..Request::plain() };
            self.send_to_selected(accepts, request, 1, EJECTION_SETUP_TIME);
            self.behaviours.remove(server);
        }
    }

    /// Opens requests at servers while the other servers of their role are draining.
    fn open_requests(&mut self) {
        let (site, given) = (self.site, self.given);
        for (server, count) in &given.open_requests {
            let reads = site.role(*server) == Some(Role::Reader);
            let (prompt_tokens, span) =
                if reads { (OPEN_PROMPT_TOKENS, OPEN_READ_SETUP_TIME) } else { (100, OPEN_WRITE_SETUP_TIME) };
            let accepts = |id| id == *server || site.role(id) != site.role(*server);
            let request = Request { prompt_tokens, max_tokens: 200, ..Request::plain() };
            self.send_to_selected(accepts, request, *count, span);
        }
    }
}

/// Simulates an expectation once, with this seed.
pub fn simulate(
    site: &Site,
    expectation: &Expectation,
    seed: u64,
    observation: Observation,
) -> Result<Record, SettingsError> {
    let given = &expectation.given;
    let mut simulation = Simulation::new(site, given, seed, observation)?;
    simulation.publish_list();
    simulation.run_until(START_TIME);
    simulation.fill_caches();
    simulation.eject_servers();
    simulation.open_requests();
    simulation.run_until(simulation.now + given.elapsed);
    // The record leaves the setup out.
    (simulation.record, simulation.steps_started) = (Record::default(), Some(simulation.now));
    (simulation.requests, simulation.request_indices) = (Vec::new(), BTreeMap::new());
    let steps_start = simulation.now;
    simulation.behaviours = given.behaviours.clone();
    simulation.states.extend(given.draining.iter().map(|id| (*id, ServerState::Draining)));
    simulation.states.extend(given.gone.iter().map(|id| (*id, ServerState::Gone)));
    simulation.publish_list();
    simulation.run_until(steps_start);
    let (mut step_time, mut request_count, mut longest_wait) = (simulation.now, 0, 0);
    for step in &expectation.when {
        match step {
            Step::Requests { request, count, interval, time_left } => {
                for n in 0..*count {
                    let conductor = request_count % simulation.conductors.len();
                    request_count += 1;
                    let session =
                        request.session.or(Some(SessionKey(request_count as u64 ^ seed.rotate_left(17))));
                    let arrival = step_time + u64::from(n) * interval;
                    simulation.add_request(conductor, arrival, Request { session, ..*request }, *time_left);
                }
                step_time += u64::from(count.saturating_sub(1)) * interval;
                longest_wait = longest_wait.max(*time_left);
            }
            Step::Pass(span) => step_time += span,
            Step::Generation(changes) => {
                simulation.run_until(step_time);
                for ServerChange { server, weight, state, started_ago } in changes.iter().copied() {
                    simulation.weights.extend(weight.map(|weight| (server, weight)));
                    simulation.states.extend(state.map(|state| (server, state)));
                    simulation.started.extend(started_ago.map(|ago| (server, step_time.saturating_sub(ago))));
                    if state == Some(ServerState::Draining) {
                        simulation.record.drained.push((step_time - START_TIME, server));
                    }
                }
                simulation.publish_list();
            }
            Step::Drain(server) | Step::Return(server) => {
                simulation.run_until(step_time);
                let drains = matches!(step, Step::Drain(_));
                let state = if drains { ServerState::Draining } else { ServerState::Ready };
                simulation.states.insert(*server, state);
                let changes =
                    if drains { &mut simulation.record.drained } else { &mut simulation.record.returned };
                changes.push((step_time - START_TIME, *server));
                simulation.publish_list();
            }
        }
        simulation.run_until(step_time);
    }
    simulation.run_until(step_time + longest_wait + SETTLE_MARGIN);
    Ok(simulation.record)
}
