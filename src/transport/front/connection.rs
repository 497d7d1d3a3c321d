//! Clients' connections as the descriptor budget sees them: which has a request open, which says nothing,
//! and which has to make room for others.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore, watch};
use tokio::time::Instant;

use crate::recovery::{AlreadyTerminating, Call, ConnectionId, Drain, Input, Output, Phase, Socket};
use crate::transport::clock::{self, Clock};

/// A connection that has never asked is closed after this: those who connect and say nothing are owed a close.
const MUTE: Duration = Duration::from_millis(2_200);
/// One that has been answered may rest for this long while there is room.
const RESTING: Duration = Duration::from_secs(8);
/// A request is whole this long after its first byte, or, if it is a connection's first, after the connect:
/// heads and bodies without end are owed a close or an error.
const WHOLE_WITHIN: Duration = Duration::from_millis(2_500);
/// One that has been silent for less is not closed for want of room: its request may be on the way.
const LEAST_REST: Duration = Duration::from_millis(50);
/// When no connection can make room, this is waited for one to end.
const LOOK_AGAIN: Duration = Duration::from_millis(20);

#[derive(Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// Nothing of a request has come.
    Quiet,
    /// A part of a head has come.
    Head,
    /// A request is being read or answered.
    Open,
    /// Its answer is made, but not all of it is written.
    Answered,
    /// The last answer is written: the connection ends.
    Over,
}

struct State {
    stage: Stage,
    since: Instant,
    /// When the request that is coming has to be whole; of the first one from the start.
    due: Instant,
    fresh: bool,
    evicted: bool,
    /// Bytes of a further request have come already.
    ahead: bool,
    /// The answer says that it is the last one.
    last: bool,
}

/// One connection.
pub struct Connection {
    id: ConnectionId,
    drain: Arc<Parting>,
    state: Mutex<State>,
    /// It has become quiet, or has to go.
    pub stirred: Notify,
}

impl Connection {
    fn new(id: ConnectionId, drain: Arc<Parting>) -> Self {
        let since = Instant::now();
        let due = since + WHOLE_WITHIN;
        let (stage, fresh, evicted, ahead, last) = (Stage::Quiet, true, false, false, false);
        let state = State { stage, since, due, fresh, evicted, ahead, last };
        Connection { id, drain, state: Mutex::new(state), stirred: Notify::new() }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Bytes of a head have come. What comes while an answer is in the making changes nothing yet.
    pub fn arriving(&self) {
        let mut state = self.state();
        if state.stage == Stage::Quiet {
            (state.stage, state.since, state.evicted) = (Stage::Head, Instant::now(), false);
            if !state.fresh {
                state.due = state.since + WHOLE_WITHIN;
            }
            drop(state);
            self.drain.feed(Input::RequestStarted(self.id));
        }
    }

    /// Whether bytes of a further request have come behind the one that is open.
    pub fn ahead(&self, ahead: bool) {
        self.state().ahead = ahead;
    }

    /// Whether the answer in the making is to be the last one here: clients are sent off, and this one has not
    /// asked again yet.
    pub fn is_last(&self) -> bool {
        let mut state = self.state();
        state.last = self.drain.phase.borrow().closes_after_answer() && !state.ahead;
        state.last
    }

    /// It is to be closed, unless a request has begun on it.
    pub fn evict(&self) {
        self.state().evicted = true;
        self.stirred.notify_one();
    }

    /// Whether it is to be closed and still rests.
    pub fn evicted(&self) -> bool {
        let state = self.state();
        state.evicted && state.stage == Stage::Quiet
    }

    /// Its time is over: a resting one is to be closed from now on. False if it does not rest.
    pub fn overdue(&self) -> bool {
        let mut state = self.state();
        state.evicted |= state.stage == Stage::Quiet;
        state.stage == Stage::Quiet
    }

    /// Whether it has a request open, or an answer that is not yet written out.
    pub fn is_busy(&self) -> bool {
        matches!(self.state().stage, Stage::Open | Stage::Answered)
    }

    /// A head is complete; gives the time by which its body has to be.
    pub fn open(&self) -> Instant {
        let mut state = self.state();
        if state.stage != Stage::Head {
            // It stood behind the one before: its time begins now.
            state.due = Instant::now() + WHOLE_WITHIN;
        }
        (state.stage, state.fresh) = (Stage::Open, false);
        let due = state.due;
        drop(state);
        self.drain.feed(Input::RequestStarted(self.id));
        due
    }

    /// The answer is made.
    pub fn answered(&self) {
        self.state().stage = Stage::Answered;
    }

    /// All that was made has been written.
    pub fn flushed(&self) {
        let mut state = self.state();
        if state.stage == Stage::Answered {
            let (stage, told) = match state.last {
                true => (Stage::Over, Input::Ended(self.id)),
                false => (Stage::Quiet, Input::Answered(self.id)),
            };
            (state.stage, state.since) = (stage, Instant::now());
            drop(state);
            self.drain.feed(told);
            self.stirred.notify_one();
        }
    }

    /// When it has to be closed if nothing changes; none while it has a request open.
    pub fn ends(&self) -> Option<Instant> {
        let state = self.state();
        match state.stage {
            Stage::Quiet if state.evicted => Some(state.since),
            Stage::Quiet => Some(state.since + if state.fresh { MUTE } else { RESTING }),
            Stage::Head => Some(state.due),
            Stage::Open | Stage::Answered | Stage::Over => None,
        }
    }
}

/// The phases, and what they mean for each connection, as they are carried out.
struct Parting {
    clock: Clock,
    drain: Mutex<Drain>,
    phase: watch::Sender<Phase>,
    /// The time of the next thing due may have changed.
    stirred: Notify,
    open: Mutex<HashMap<ConnectionId, Arc<Connection>>>,
}

impl Parting {
    fn open(&self) -> MutexGuard<'_, HashMap<ConnectionId, Arc<Connection>>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn with<T>(&self, act: impl FnOnce(&mut Drain, crate::interface::Micros, &mut Vec<Output>) -> T) -> T {
        let mut out = Vec::new();
        let mut drain = self.drain.lock().unwrap_or_else(PoisonError::into_inner);
        let done = act(&mut drain, self.clock.now(), &mut out);
        drop(drain);
        for output in out {
            match output {
                Output::Enter(phase) => drop(self.phase.send_replace(phase)),
                Output::Close(id) => {
                    if let Some(connection) = self.open().get(&id) {
                        connection.evict();
                    }
                }
            }
        }
        done
    }

    fn feed(&self, input: Input) {
        self.with(|drain, now, out| drain.handle(now, input, out));
        self.stirred.notify_one();
    }
}

/// All connections of clients, over all fronts.
#[derive(Clone)]
pub struct Connections {
    permits: Arc<Semaphore>,
    drain: Arc<Parting>,
    ids: Arc<std::sync::atomic::AtomicU64>,
}

/// A connection's entry and its part of the budget.
pub struct Place {
    /// The connection.
    pub connection: Arc<Connection>,
    _permit: OwnedSemaphorePermit,
}

impl Drop for Place {
    fn drop(&mut self) {
        self.connection.drain.open().remove(&self.connection.id);
        self.connection.drain.feed(Input::Ended(self.connection.id));
    }
}

impl Connections {
    /// At most so many connections, taken from such a socket.
    pub fn new(most: usize, socket: Socket, clock: Clock) -> Self {
        let drain = Parting {
            clock,
            drain: Mutex::new(Drain::new(socket)),
            phase: watch::Sender::new(Phase::Starting),
            stirred: Notify::new(),
            open: Mutex::default(),
        };
        Connections { permits: Arc::new(Semaphore::new(most)), drain: Arc::new(drain), ids: Arc::default() }
    }

    /// The program's phases as they come.
    pub fn phases(&self) -> watch::Receiver<Phase> {
        self.drain.phase.subscribe()
    }

    /// Tells what happens to the program.
    pub fn feed(&self, input: Input) {
        self.drain.feed(input);
    }

    /// Follows an operator's call.
    pub fn call(&self, call: Call) -> Result<(), AlreadyTerminating> {
        let followed = self.drain.with(|drain, now, out| drain.call(now, call, out));
        self.drain.stirred.notify_one();
        followed
    }

    /// Does what time asks for, for as long as the program runs.
    pub async fn keep_time(self) {
        loop {
            let due = self.drain.with(|drain, now, out| {
                drain.handle(now, Input::Tick, out);
                drain.next_due()
            });
            tokio::select! {
                () = clock::sleep_until(due.map(|at| self.drain.clock.instant(at).into())) => {}
                () = self.drain.stirred.notified() => {}
            }
        }
    }

    /// Waits for room. Where there is none, the connection that has rested longest makes it: otherwise
    /// clients that keep theirs for good, or never ask, would shut all others out.
    pub async fn room(&self) -> OwnedSemaphorePermit {
        loop {
            if let Ok(permit) = self.permits.clone().try_acquire_owned() {
                return permit;
            }
            self.make_room();
            let waited = tokio::time::timeout(LOOK_AGAIN, self.permits.clone().acquire_owned()).await;
            if let Ok(Ok(permit)) = waited {
                return permit;
            }
        }
    }

    fn make_room(&self) {
        let now = Instant::now();
        let rested = |connection: &&Arc<Connection>| {
            let state = connection.state();
            let rests = state.stage == Stage::Quiet && !state.evicted && state.since + LEAST_REST <= now;
            rests.then_some(state.since)
        };
        let open = self.drain.open();
        let longest = open
            .values()
            .filter_map(|connection| Some((rested(&connection)?, connection)))
            .min_by_key(|(at, _)| *at);
        if let Some((_, connection)) = longest {
            connection.evict();
        }
    }

    /// Enters a connection.
    pub fn enter(&self, permit: OwnedSemaphorePermit) -> Place {
        let id = ConnectionId(self.ids.fetch_add(1, std::sync::atomic::Ordering::Relaxed));
        let connection = Arc::new(Connection::new(id, self.drain.clone()));
        self.drain.open().insert(id, connection.clone());
        self.drain.feed(Input::Opened(id));
        Place { connection, _permit: permit }
    }
}

impl std::fmt::Debug for Connections {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} connections", self.drain.open().len())
    }
}
