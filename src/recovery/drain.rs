//! The phases of the program from start to shutdown, and which client connections are closed in each.

use std::collections::BTreeMap;

use thiserror::Error;

use crate::interface::Micros;

/// The phase of the program. Phases are ordered from start to end; the only transition back is from `Away` to `Serving`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// The program is not ready to serve yet.
    Starting,
    /// Clients are served.
    Serving,
    /// Operators have sent the clients away: requests that arrive are still served for a while and then refused, and the
    /// program reports itself as unavailable to new clients and closes idle connections.
    Away,
    /// The program has been told to terminate: requests that arrive are still served, but the program reports itself as
    /// unavailable and closes idle connections.
    Draining,
    /// No new connections are accepted; open requests are finished, and requests that arrive are refused.
    Closing,
    /// All requests are answered.
    Ended,
}

impl Phase {
    /// Returns true if the program serves requests normally, whether or not it invites new clients.
    pub fn serves(self) -> bool {
        matches!(self, Phase::Serving | Phase::Away)
    }

    /// Returns true if each answer is the last one on its connection.
    pub fn closes_after_answer(self) -> bool {
        self >= Phase::Away
    }

    /// Returns true if new connections are accepted from this socket. Connections that wait at a shared socket can also be
    /// accepted by another process, so this process accepts them only while it can serve, and stops as soon as it is
    /// told to terminate.
    pub fn accepts_from(self, socket: Socket) -> bool {
        match socket {
            Socket::Own => self < Phase::Closing,
            Socket::Shared => self.serves(),
        }
    }
}

/// The listening socket at which clients connect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Socket {
    /// No other process holds it.
    Own,
    /// Other processes accept connections from it as well.
    Shared,
}

/// A client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// A command of the operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// Sends the clients away.
    Away,
    /// Resumes service.
    Resume,
}

/// The error for a call that can't be followed because the process has been told to terminate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("this process has been told to end")]
pub struct AlreadyTerminating;

/// An event that [`Drain`] is given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Input {
    /// The program can serve.
    Ready,
    /// The program is told to terminate, and may be killed once this much time has passed.
    Terminate {
        /// See [`earliest_kill`].
        kill_after: Micros,
    },
    /// All accepted requests are answered.
    Finished,
    /// A connection has been accepted.
    Opened(ConnectionId),
    /// A request begins on this connection.
    RequestStarted(ConnectionId),
    /// The request of this connection is answered, and the whole answer is written.
    Answered(ConnectionId),
    /// This connection has ended.
    Ended(ConnectionId),
    /// Time has passed.
    Tick,
}

/// What the caller has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// Enter this phase.
    Enter(Phase),
    /// Close this connection, on which no request is open.
    Close(ConnectionId),
}

/// When idle connections are closed and requests are refused during a drain.
struct DrainTimes {
    /// Idle connections stay open for this long after the drain began: a client whose connection is closed sooner would
    /// connect here again, as whatever directs clients to this process has not noticed the drain yet.
    min_open: Micros,
    /// A connection stays open until it has been idle for this long: a client that has just read an answer may be about
    /// to send another request on it.
    min_idle: Micros,
    /// This long after the drain began no connection that has been used before stays idle any longer, and requests that
    /// become complete are refused.
    max_open: Micros,
}

/// New connections arrive until `/up` has answered no (it is polled every 0.1 s), and for 0.2 s more. At 4 s no
/// connection may be idle, and no request may be open that arrived in the last 2 s.
const AWAY_TIMES: DrainTimes = DrainTimes { min_open: 400_000, min_idle: 200_000, max_open: 1_800_000 };
/// Where another process accepts at the same socket, clients don't connect to this one again.
const SHARED_SOCKET_TIMES: DrainTimes =
    DrainTimes { min_open: 0, min_idle: 100_000, max_open: ACCEPT_AFTER_SIGTERM };
/// New connections arrive for up to 0.4 s after SIGTERM.
const OWN_SOCKET_TIMES: DrainTimes =
    DrainTimes { min_open: 400_000, min_idle: 100_000, max_open: ACCEPT_AFTER_SIGTERM };
/// A request that is complete later than this after SIGTERM has to be answered to the end before SIGKILL, whatever its
/// deadline is.
const EXCUSED_AFTER_SIGTERM: Micros = 700_000;
/// The process may be held up for this long before it notices a signal.
const MAX_HOLD_UP: Micros = 150_000;
/// How long after it has noticed SIGTERM the process still accepts requests.
const ACCEPT_AFTER_SIGTERM: Micros = EXCUSED_AFTER_SIGTERM - MAX_HOLD_UP;
/// By this time after an operator's call, requests that are still arriving have been refused: at 4 s no connection may
/// hold a request of the last 2 s.
const AWAY_INCOMPLETE_UNTIL: Micros = 3_500_000;
/// The platform kills a process no sooner than this long after the longest deadline has passed since SIGTERM.
const KILL_AFTER_DEADLINE: Micros = 700_000;
/// A longer deadline counts as this long for the time of SIGKILL.
const MAX_DEADLINE_BEFORE_KILL: Micros = 3_000_000;
/// What a refusal needs to reach its client before SIGKILL, even if the process is held up meanwhile.
const REFUSAL_TIME: Micros = 300_000;

/// A client that takes nothing of its answer for this long no longer keeps a process from ending.
const STALLED_CLIENT_TIMEOUT: Micros = 30_000_000;

/// Returns how long after SIGTERM a process may be killed at the earliest, by the longest deadline of a class.
pub fn earliest_kill(longest_deadline: Micros) -> Micros {
    longest_deadline.min(MAX_DEADLINE_BEFORE_KILL) + KILL_AFTER_DEADLINE
}

struct IdleConnection {
    since: Micros,
    /// No request has arrived on it yet; the first one may be on its way.
    unused: bool,
}

/// When requests are refused during a drain.
#[derive(Clone, Copy)]
struct RefusalTimes {
    /// From this time on, a request is refused once it is complete.
    complete_from: Micros,
    /// From this time on, a request is refused even if it is still arriving.
    incomplete_from: Micros,
}

/// The state machine of the phases, of the connections that are idle, and of the requests that come too late.
pub struct Drain {
    phase: Phase,
    socket: Socket,
    /// When the current drain began.
    drain_since: Micros,
    /// Operators sent the clients away before the program could serve.
    away_on_start: bool,
    refusal: Option<RefusalTimes>,
    idle: BTreeMap<ConnectionId, IdleConnection>,
}

impl Drain {
    /// Creates the state machine of a program that is starting and accepts its clients at this kind of socket.
    pub fn new(socket: Socket) -> Self {
        Drain {
            phase: Phase::Starting,
            socket,
            drain_since: 0,
            away_on_start: false,
            refusal: None,
            idle: BTreeMap::new(),
        }
    }

    /// Returns the current phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Returns true if a request that is complete at this time is refused, as its answer might not end in time.
    pub fn refuses(&self, now: Micros) -> bool {
        self.refusal.is_some_and(|times| times.complete_from <= now)
    }

    /// Returns the time at which requests that are still arriving are refused.
    pub fn refuses_incomplete_at(&self) -> Option<Micros> {
        self.refusal.map(|times| times.incomplete_from)
    }

    /// Returns the time at which a client is given up that has taken nothing of its answer since then; `None` unless the
    /// process has been told to terminate.
    pub fn gives_up_stalled_at(&self, stalled_since: Micros) -> Option<Micros> {
        let terminating = self.phase >= Phase::Draining;
        terminating.then(|| stalled_since.max(self.drain_since) + STALLED_CLIENT_TIMEOUT)
    }

    /// Returns the time at which [`Input::Tick`] is due next.
    pub fn next_due(&self) -> Option<Micros> {
        let times = self.drain_times()?;
        let closing = (self.phase == Phase::Draining).then_some(self.drain_since + ACCEPT_AFTER_SIGTERM);
        self.idle.values().map(|connection| self.close_at(&times, connection)).chain(closing).min()
    }

    /// Follows an operator's call. A call for the state that holds already succeeds and changes nothing; in particular, the
    /// times of a drain count from its first call.
    ///
    /// # Errors
    ///
    /// Service can't be resumed once the process has been told to terminate.
    pub fn call(
        &mut self,
        now: Micros,
        call: Call,
        outputs: &mut Vec<Output>,
    ) -> Result<(), AlreadyTerminating> {
        match (call, self.phase) {
            (Call::Away, Phase::Starting) => self.away_on_start = true,
            (Call::Resume, Phase::Starting) => self.away_on_start = false,
            (Call::Away, Phase::Serving) => self.send_away(now, outputs),
            (Call::Resume, Phase::Away) => {
                self.refusal = None;
                self.enter(Phase::Serving, outputs);
            }
            (Call::Away, _) | (Call::Resume, Phase::Serving) => {}
            (Call::Resume, _) => return Err(AlreadyTerminating),
        }
        Ok(())
    }

    /// Applies one event.
    pub fn handle(&mut self, now: Micros, input: Input, outputs: &mut Vec<Output>) {
        match input {
            Input::Ready if self.phase == Phase::Starting && self.away_on_start => {
                self.send_away(now, outputs)
            }
            Input::Ready if self.phase == Phase::Starting => self.enter(Phase::Serving, outputs),
            Input::Terminate { kill_after } if self.phase < Phase::Draining => {
                self.begin_drain(now, Phase::Draining, kill_after.saturating_sub(REFUSAL_TIME), outputs)
            }
            Input::Finished if self.phase >= Phase::Draining => self.enter(Phase::Ended, outputs),
            Input::Ready | Input::Terminate { .. } | Input::Finished | Input::Tick => {}
            Input::Opened(id) => drop(self.idle.insert(id, IdleConnection { since: now, unused: true })),
            Input::Answered(id) => drop(self.idle.insert(id, IdleConnection { since: now, unused: false })),
            Input::RequestStarted(id) | Input::Ended(id) => drop(self.idle.remove(&id)),
        }
        self.close_due(now, outputs);
    }

    fn enter(&mut self, phase: Phase, outputs: &mut Vec<Output>) {
        if std::mem::replace(&mut self.phase, phase) != phase {
            outputs.push(Output::Enter(phase));
        }
    }

    fn send_away(&mut self, now: Micros, outputs: &mut Vec<Output>) {
        self.begin_drain(now, Phase::Away, AWAY_INCOMPLETE_UNTIL, outputs);
    }

    /// Begins a drain in which requests may go on arriving for `incomplete_for` at most.
    fn begin_drain(&mut self, now: Micros, phase: Phase, incomplete_for: Micros, outputs: &mut Vec<Output>) {
        self.drain_since = now;
        self.enter(phase, outputs);
        let Some(times) = self.drain_times() else { return };
        let complete_from = now + times.max_open;
        let times = RefusalTimes { complete_from, incomplete_from: complete_from.max(now + incomplete_for) };
        // A process whose clients were sent away before SIGTERM does not take requests again.
        self.refusal = Some(match self.refusal {
            Some(earlier) => RefusalTimes {
                complete_from: earlier.complete_from.min(times.complete_from),
                incomplete_from: earlier.incomplete_from.min(times.incomplete_from),
            },
            None => times,
        });
    }

    fn drain_times(&self) -> Option<DrainTimes> {
        match (self.phase, self.socket) {
            (Phase::Starting | Phase::Serving | Phase::Ended, _) => None,
            (Phase::Away, _) => Some(AWAY_TIMES),
            (Phase::Draining | Phase::Closing, Socket::Shared) => Some(SHARED_SOCKET_TIMES),
            (Phase::Draining | Phase::Closing, Socket::Own) => Some(OWN_SOCKET_TIMES),
        }
    }

    /// Returns the time at which an idle connection is closed. An unused connection gets its minimum idle time even beyond
    /// the maximum, as closing it sooner could lose a first request that is on its way.
    fn close_at(&self, times: &DrainTimes, connection: &IdleConnection) -> Micros {
        let earliest = (self.drain_since + times.min_open).max(connection.since + times.min_idle);
        if connection.unused {
            earliest
        } else {
            earliest.min((self.drain_since + times.max_open).max(connection.since))
        }
    }

    fn close_due(&mut self, now: Micros, outputs: &mut Vec<Output>) {
        if self.phase == Phase::Draining && now >= self.drain_since + ACCEPT_AFTER_SIGTERM {
            self.enter(Phase::Closing, outputs);
        }
        let Some(times) = self.drain_times() else { return };
        let due = |(id, connection): (&ConnectionId, &IdleConnection)| {
            (self.close_at(&times, connection) <= now).then_some(*id)
        };
        let due: Vec<ConnectionId> = self.idle.iter().filter_map(due).collect();
        for id in due {
            self.idle.remove(&id);
            outputs.push(Output::Close(id));
        }
    }
}
