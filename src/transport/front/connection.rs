//! Client connections and their share of the descriptor budget: which have an open request, which are idle, and which
//! are closed when the program drains or other clients need the descriptors.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore, watch};
use tokio::time::Instant;

use crate::interface::Micros;
use crate::recovery::{AlreadyTerminating, Call, ConnectionId, Drain, Input, Output, Phase, Socket};
use crate::transport::clock::{self, Clock};
use crate::transport::memory::{ArrivingRequest, CONNECTION_BYTES, Charge, MemoryBudget};

/// How long a connection may stay open without ever sending a request. Clients that connect and send nothing have to
/// be disconnected.
const UNUSED_TIMEOUT: Duration = Duration::from_millis(2_200);
/// How long a connection may stay idle after an answer, unless it is evicted sooner.
const IDLE_TIMEOUT: Duration = Duration::from_secs(8);
/// How long a request may take to arrive completely, from its first byte or, for a connection's first request, from
/// the time the connection was accepted. Endless heads and bodies have to be ended by a close or an error.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2_500);
/// A body whose head was read only at its deadline is read for this long: it may have arrived with the head.
const ARRIVED_BODY_TIME: Duration = Duration::from_millis(50);
/// A connection that has been idle for less than this is not evicted: its request may be on its way.
const MIN_IDLE: Duration = Duration::from_millis(50);
/// How long to wait for a permit before another connection is evicted.
const EVICTION_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// How many calls of one connection may run without its client waiting for them. Further ones wait, and with them the
/// connection: a client that waits for nothing would otherwise have as many calls open as it can send.
const MAX_UNATTENDED_CALLS: usize = 32;

/// What a connection is doing.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// No part of a request has arrived.
    Idle,
    /// A part of a head has arrived.
    Head,
    /// A request is being read or answered.
    Open,
    /// The answer is complete or given up, but not all of it is written.
    Answered,
    /// The last answer is written: the connection ends.
    Ended,
}

/// The state of a connection, behind its mutex.
struct State {
    stage: Stage,
    /// When the connection became idle, its latest head began, or its last answer was written.
    since: Instant,
    /// When the request that is arriving has to be complete. For the first request this is set when the connection is
    /// accepted.
    due: Instant,
    /// No request has been opened on the connection yet.
    unused: bool,
    /// The connection is to be closed if no request begins on it.
    evicted: bool,
    /// The head that is arriving is given up unless it is complete with what has arrived by now.
    last_read: bool,
    /// How many heads have begun to arrive whose requests are not open yet. While a request is open, these are behind it.
    unopened_heads: u32,
    /// The answer announces that it is the last one on the connection.
    last_answer: bool,
    /// Since when the client has taken nothing of what there is to write, by the event clock.
    stalled_since: Option<Micros>,
}

impl State {
    /// Records that a head has begun to arrive and no other request is open.
    fn await_rest_of_head(&mut self) {
        (self.stage, self.since, self.evicted) = (Stage::Head, Instant::now(), false);
        if !self.unused {
            self.due = self.since + REQUEST_TIMEOUT;
        }
    }
}

/// What becomes of a connection whose time is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expiry {
    /// It is idle, and closed if no request has just arrived.
    Evicted,
    /// The head of a request is incomplete.
    IncompleteHead,
    /// The client takes nothing of its answer, and the process is to end.
    Stalled,
}

/// A client's connection.
pub struct Connection {
    id: ConnectionId,
    drain: Arc<DrainDriver>,
    state: Mutex<State>,
    /// The calls of this client that run without it waiting for them.
    unattended: Arc<Semaphore>,
    /// The request that is arriving.
    pub arrival: ArrivingRequest,
    /// Notified when an answer has been written, and when the connection is evicted.
    pub changed: Notify,
}

impl Connection {
    fn new(id: ConnectionId, drain: Arc<DrainDriver>, arrival: ArrivingRequest) -> Self {
        let since = Instant::now();
        let due = since + REQUEST_TIMEOUT;
        let state = State {
            stage: Stage::Idle,
            since,
            due,
            unused: true,
            evicted: false,
            last_read: false,
            unopened_heads: 0,
            last_answer: false,
            stalled_since: None,
        };
        let unattended = Arc::new(Semaphore::new(MAX_UNATTENDED_CALLS));
        Connection { id, drain, state: Mutex::new(state), unattended, arrival, changed: Notify::new() }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that the first bytes of a head have arrived. What arrives while an answer is being made belongs to a later
    /// request, whose time begins after the answer.
    pub fn head_started(&self) {
        let mut state = self.state();
        state.unopened_heads += 1;
        if state.stage == Stage::Idle {
            state.await_rest_of_head();
            drop(state);
            self.drain.feed(Input::RequestStarted(self.id));
        }
    }

    /// Decides whether the answer being made is the last one on this connection, and records that. It is the last one
    /// if clients are sent away and this client has not sent a further request yet.
    pub fn decide_last_answer(&self) -> bool {
        let mut state = self.state();
        state.last_answer = self.drain.phase.borrow().closes_after_answer() && state.unopened_heads == 0;
        state.last_answer
    }

    /// Marks the connection as to be closed, which happens unless a request has begun on it.
    pub fn evict(&self) {
        self.state().evicted = true;
        self.changed.notify_one();
    }

    /// Returns true if the connection is to be closed and is still idle.
    pub fn is_evicted(&self) -> bool {
        let state = self.state();
        state.evicted && state.stage == Stage::Idle
    }

    /// Decides what becomes of the connection when its time is over. If it is idle, it is evicted. If a head is
    /// incomplete, what has arrived of it is still to be read.
    pub fn expire(&self) -> Expiry {
        let mut state = self.state();
        state.evicted |= state.stage == Stage::Idle;
        state.last_read = state.stage == Stage::Head;
        match state.stage {
            Stage::Idle => Expiry::Evicted,
            Stage::Head => Expiry::IncompleteHead,
            Stage::Open | Stage::Answered | Stage::Ended => Expiry::Stalled,
        }
    }

    /// Returns true if the head that is arriving is given up after what has arrived of it by now.
    pub fn is_last_read(&self) -> bool {
        self.state().last_read
    }

    /// Ends the last read of a head. Returns true if the head is still incomplete.
    pub fn is_incomplete_after_last_read(&self) -> bool {
        std::mem::take(&mut self.state().last_read)
    }

    /// Records whether the client takes what is written.
    pub fn set_stalled(&self, stalled: bool) {
        let mut state = self.state();
        if state.stalled_since.is_some() != stalled {
            state.stalled_since = stalled.then(|| self.drain.clock.now());
            drop(state);
            // The time at which the connection has to be closed may have changed.
            self.changed.notify_one();
        }
    }

    /// Waits until the client may have another call run without waiting for it, and returns the permit for that.
    pub async fn acquire_unattended_call(&self) -> Option<OwnedSemaphorePermit> {
        // The semaphore is never closed.
        self.unattended.clone().acquire_owned().await.ok()
    }

    /// Returns true if the head that is arriving has been shed, as memory is needed for others.
    pub fn is_head_shed(&self) -> bool {
        self.arrival.is_shed() && self.state().stage == Stage::Head
    }

    /// Returns true if a request is open, or an answer is not fully written yet.
    pub fn is_busy(&self) -> bool {
        matches!(self.state().stage, Stage::Open | Stage::Answered)
    }

    /// Records that a head is complete, and returns the time by which its body has to be complete.
    pub fn open_request(&self) -> Instant {
        let mut state = self.state();
        if state.stage != Stage::Head {
            // The head arrived behind the previous request, so its time begins now.
            state.due = Instant::now() + REQUEST_TIMEOUT;
        } else if state.last_read {
            state.due = Instant::now() + ARRIVED_BODY_TIME;
        }
        (state.stage, state.unused, state.last_read) = (Stage::Open, false, false);
        state.unopened_heads = state.unopened_heads.saturating_sub(1);
        let due = state.due;
        drop(state);
        self.drain.feed(Input::RequestStarted(self.id));
        due
    }

    /// Records that the answer is complete or given up.
    pub fn answered(&self) {
        self.state().stage = Stage::Answered;
    }

    /// Records that everything produced so far has been written.
    pub fn flushed(&self) {
        let mut state = self.state();
        if state.stage != Stage::Answered {
            return;
        }
        if !state.last_answer && state.unopened_heads > 0 {
            // The connection is not idle: closing it would drop a request that has been read, without an answer.
            state.await_rest_of_head();
            drop(state);
        } else {
            let (stage, input) = match state.last_answer {
                true => (Stage::Ended, Input::Ended(self.id)),
                false => (Stage::Idle, Input::Answered(self.id)),
            };
            (state.stage, state.since) = (stage, Instant::now());
            drop(state);
            self.drain.feed(input);
        }
        self.changed.notify_one();
    }

    /// Returns true if requests that are complete by now are refused, as the program drains.
    pub fn refuses_requests(&self) -> bool {
        self.drain.with(|drain, now, _| drain.refuses(now))
    }

    /// Returns the time at which requests that are still arriving are refused, if the program drains.
    fn refuses_incomplete_at(&self) -> Option<Instant> {
        let at = self.drain.with(|drain, _, _| drain.refuses_incomplete_at());
        at.map(|at| self.drain.clock.instant(at).into())
    }

    /// Waits until requests that are still arriving are refused.
    pub async fn incomplete_refused(&self) {
        let mut phases = self.phases();
        loop {
            tokio::select! {
                () = clock::sleep_until(self.refuses_incomplete_at()) => return,
                Ok(()) = phases.changed() => {}
            }
        }
    }

    /// Subscribes to the program's phase.
    pub fn phases(&self) -> watch::Receiver<Phase> {
        self.drain.phase.subscribe()
    }

    /// Returns the time at which a client is given up that takes nothing of its answer, if the program ends.
    fn gives_up_stalled_at(&self) -> Option<Instant> {
        let stalled_since = self.state().stalled_since?;
        let at = self.drain.with(|drain, _, _| drain.gives_up_stalled_at(stalled_since))?;
        Some(self.drain.clock.instant(at).into())
    }

    /// Returns the time at which the connection has to be closed if nothing changes; `None` after the last answer, and
    /// while a request is open, unless its client takes nothing and the program ends.
    pub fn close_at(&self) -> Option<Instant> {
        let (refused_at, stalled_at) = (self.refuses_incomplete_at(), self.gives_up_stalled_at());
        let state = self.state();
        match state.stage {
            Stage::Idle if state.evicted => Some(state.since),
            Stage::Idle => Some(state.since + if state.unused { UNUSED_TIMEOUT } else { IDLE_TIMEOUT }),
            Stage::Head => Some(refused_at.map_or(state.due, |at| at.min(state.due))),
            Stage::Open | Stage::Answered => stalled_at,
            Stage::Ended => None,
        }
    }
}

/// Drives the drain state machine: feeds it with events, and carries out its outputs on the connections.
struct DrainDriver {
    clock: Clock,
    drain: Mutex<Drain>,
    phase: watch::Sender<Phase>,
    /// Notified when the time at which the drain has to act next may have changed.
    changed: Notify,
    /// The open connections.
    connections: Mutex<HashMap<ConnectionId, Arc<Connection>>>,
}

impl DrainDriver {
    fn connections(&self) -> MutexGuard<'_, HashMap<ConnectionId, Arc<Connection>>> {
        self.connections.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Calls a method of the state machine at the current time, then carries out its outputs.
    fn with<T>(&self, action: impl FnOnce(&mut Drain, Micros, &mut Vec<Output>) -> T) -> T {
        let mut outputs = Vec::new();
        let mut drain = self.drain.lock().unwrap_or_else(PoisonError::into_inner);
        let result = action(&mut drain, self.clock.now(), &mut outputs);
        drop(drain);
        for output in outputs {
            match output {
                Output::Enter(phase) => drop(self.phase.send_replace(phase)),
                Output::Close(id) => {
                    if let Some(connection) = self.connections().get(&id) {
                        connection.evict();
                    }
                }
            }
        }
        result
    }

    /// Feeds the state machine with an event.
    fn feed(&self, input: Input) {
        self.with(|drain, now, outputs| drain.handle(now, input, outputs));
        self.changed.notify_one();
    }
}

/// All client connections, over all fronts.
#[derive(Clone)]
pub struct Connections {
    permits: Arc<Semaphore>,
    drain: Arc<DrainDriver>,
    ids: Arc<std::sync::atomic::AtomicU64>,
    memory: MemoryBudget,
}

/// Keeps a connection registered, and holds its permit of the budget. Dropping it removes the connection.
pub struct ConnectionGuard {
    /// The connection.
    pub connection: Arc<Connection>,
    _permit: OwnedSemaphorePermit,
    _charge: Charge,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.connection.drain.connections().remove(&self.connection.id);
        self.connection.drain.feed(Input::Ended(self.connection.id));
    }
}

impl Connections {
    /// Creates an empty set of at most `max_connections` connections. `socket` says whether the listening socket is
    /// shared with other processes; the connections are charged to `memory`.
    pub fn new(max_connections: usize, socket: Socket, clock: Clock, memory: MemoryBudget) -> Self {
        let drain = DrainDriver {
            clock,
            drain: Mutex::new(Drain::new(socket)),
            phase: watch::Sender::new(Phase::Starting),
            changed: Notify::new(),
            connections: Mutex::default(),
        };
        Connections {
            permits: Arc::new(Semaphore::new(max_connections)),
            drain: Arc::new(drain),
            ids: Arc::default(),
            memory,
        }
    }

    /// Subscribes to the program's phase.
    pub fn phases(&self) -> watch::Receiver<Phase> {
        self.drain.phase.subscribe()
    }

    /// Reports an event of the program to the drain.
    pub fn feed(&self, input: Input) {
        self.drain.feed(input);
    }

    /// Carries out an operator's call.
    pub fn call(&self, call: Call) -> Result<(), AlreadyTerminating> {
        let result = self.drain.with(|drain, now, outputs| drain.call(now, call, outputs));
        self.drain.changed.notify_one();
        result
    }

    /// Feeds the drain with a tick whenever it has something due. Never returns.
    pub async fn run_timers(self) {
        loop {
            let due = self.drain.with(|drain, now, outputs| {
                drain.handle(now, Input::Tick, outputs);
                drain.next_due()
            });
            tokio::select! {
                () = clock::sleep_until(due.map(|at| self.drain.clock.instant(at).into())) => {}
                () = self.drain.changed.notified() => {}
            }
        }
    }

    /// Waits for a permit to accept a connection. While there is none, the connection that has been idle longest is
    /// evicted: otherwise clients that keep their connections forever, or never send a request, would lock out all
    /// others.
    pub async fn acquire_permit(&self) -> OwnedSemaphorePermit {
        loop {
            if let Ok(permit) = self.permits.clone().try_acquire_owned() {
                return permit;
            }
            self.evict_longest_idle();
            let acquired =
                tokio::time::timeout(EVICTION_RETRY_INTERVAL, self.permits.clone().acquire_owned()).await;
            if let Ok(Ok(permit)) = acquired {
                return permit;
            }
        }
    }

    /// Evicts the connection that has been idle longest, if any has been idle for [`MIN_IDLE`].
    fn evict_longest_idle(&self) {
        let now = Instant::now();
        let idle_since = |connection: &&Arc<Connection>| {
            let state = connection.state();
            let is_idle = state.stage == Stage::Idle && !state.evicted && state.since + MIN_IDLE <= now;
            is_idle.then_some(state.since)
        };
        let connections = self.drain.connections();
        let longest_idle = connections
            .values()
            .filter_map(|connection| Some((idle_since(&connection)?, connection)))
            .min_by_key(|(since, _)| *since);
        if let Some((_, connection)) = longest_idle {
            connection.evict();
        }
    }

    /// Registers a connection that has been accepted.
    pub fn register(&self, permit: OwnedSemaphorePermit) -> ConnectionGuard {
        let id = ConnectionId(self.ids.fetch_add(1, std::sync::atomic::Ordering::Relaxed));
        let charge = self.memory.charge_unconditionally(CONNECTION_BYTES);
        if self.memory.is_short() {
            self.evict_longest_idle();
        }
        let connection = Arc::new(Connection::new(id, self.drain.clone(), self.memory.register_arrival()));
        self.drain.connections().insert(id, connection.clone());
        self.drain.feed(Input::Opened(id));
        ConnectionGuard { connection, _permit: permit, _charge: charge }
    }
}

impl std::fmt::Debug for Connections {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} connections", self.drain.connections().len())
    }
}
