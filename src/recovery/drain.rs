//! The program's phases, and what each means for the connections of its clients.

use std::collections::BTreeMap;

use thiserror::Error;

use crate::interface::Micros;

/// Where the program stands. The order is that of a life; only from `Away` there is a way back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Nothing is promised yet.
    Starting,
    /// Clients are served.
    Serving,
    /// Operators have sent the clients away: whoever comes is still served, but nobody is invited or kept.
    Away,
    /// It was told to end: whoever comes is still served, but nobody is invited or kept.
    Draining,
    /// No new connections; what is open is finished.
    Closing,
    /// All is answered, or the time is over.
    Ended,
}

impl Phase {
    /// Whether the program does its work, whoever is invited.
    pub fn serves(self) -> bool {
        matches!(self, Phase::Serving | Phase::Away)
    }

    /// Whether each answer is the last one on its connection.
    pub fn closes_after_answer(self) -> bool {
        self >= Phase::Away
    }

    /// Whether new connections are taken from such a socket. Whoever waits at a shared one is another process's
    /// too: they are taken only by one that can serve, and not for a moment after it was told to end.
    pub fn accepts_from(self, socket: Socket) -> bool {
        match socket {
            Socket::Own => self < Phase::Closing,
            Socket::Shared => self.serves(),
        }
    }
}

/// The socket at which clients arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Socket {
    /// Nobody else holds it.
    Own,
    /// Other processes take connections from it as well.
    Shared,
}

/// A client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// What operators call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// Send clients away.
    Away,
    /// Back to work.
    Resume,
}

/// A call that can't be followed any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("this process has been told to end")]
pub struct AlreadyTerminating;

/// What happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Input {
    /// The program can serve.
    Ready,
    /// It is told to end.
    Terminate,
    /// All that was taken is answered, or the time is over.
    Finished,
    /// A connection has been taken.
    Opened(ConnectionId),
    /// A request begins on it.
    RequestStarted(ConnectionId),
    /// Its request is answered, and all of the answer written.
    Answered(ConnectionId),
    /// It has ended.
    Ended(ConnectionId),
    /// Time has passed.
    Tick,
}

/// What is to be done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// The program enters a phase.
    Enter(Phase),
    /// A connection on which no request is open is to be closed.
    Close(ConnectionId),
}

/// How clients are parted with.
struct Terms {
    /// Resting connections are kept for so long: whose client is sent off sooner would come back here, as those
    /// who send clients on have not heard yet.
    keep: Micros,
    /// One that has rested for less may be about to be used again by whoever has just read an answer.
    rest: Micros,
    /// Nothing rests beyond this.
    within: Micros,
}

/// After the call new connections come until `/up` has said no (asked every 0.1 s) and 0.2 s more. At 4 s nothing
/// may rest, nor a request be open that came in the last 2 s.
const AWAY: Terms = Terms { keep: 400_000, rest: 200_000, within: 1_800_000 };
/// Where another process takes over at the same socket, nobody comes back here.
const REPLACED: Terms = Terms { keep: 0, rest: 100_000, within: ENDING };
/// At SIGTERM new connections come for up to 0.4 s.
const ENDED: Terms = Terms { keep: 400_000, rest: 100_000, within: ENDING };
/// For so long after SIGTERM requests are still taken: one that comes later than 0.7 s after it has to be answered
/// before SIGKILL, whatever its deadline is.
const ENDING: Micros = 600_000;

struct Rest {
    since: Micros,
    /// It has never asked: its first request may be on the way.
    fresh: bool,
}

/// See the module's text.
pub struct Drain {
    phase: Phase,
    socket: Socket,
    /// When the present parting began.
    since: Micros,
    /// It was sent away before it could serve.
    away_first: bool,
    resting: BTreeMap<ConnectionId, Rest>,
}

impl Drain {
    /// One that is starting.
    pub fn new(socket: Socket) -> Self {
        Drain { phase: Phase::Starting, socket, since: 0, away_first: false, resting: BTreeMap::new() }
    }

    /// Where the program stands.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// When [`Input::Tick`] is next due.
    pub fn next_due(&self) -> Option<Micros> {
        let terms = self.terms()?;
        let closing = (self.phase == Phase::Draining).then_some(self.since + ENDING);
        self.resting.values().map(|rest| self.due(&terms, rest)).chain(closing).min()
    }

    /// Follows an operator's call. Calls that ask for what is so already are followed, and change nothing: above
    /// all, the time of a parting runs from its first call.
    ///
    /// # Errors
    ///
    /// There is no way back from the end.
    pub fn call(&mut self, now: Micros, call: Call, out: &mut Vec<Output>) -> Result<(), AlreadyTerminating> {
        match (call, self.phase) {
            (Call::Away, Phase::Starting) => self.away_first = true,
            (Call::Resume, Phase::Starting) => self.away_first = false,
            (Call::Away, Phase::Serving) => self.part(now, Phase::Away, out),
            (Call::Resume, Phase::Away) => self.enter(Phase::Serving, out),
            (Call::Away, _) | (Call::Resume, Phase::Serving) => {}
            (Call::Resume, _) => return Err(AlreadyTerminating),
        }
        Ok(())
    }

    /// Takes one event.
    pub fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Ready if self.phase == Phase::Starting && self.away_first => {
                self.part(now, Phase::Away, out)
            }
            Input::Ready if self.phase == Phase::Starting => self.enter(Phase::Serving, out),
            Input::Terminate if self.phase < Phase::Draining => self.part(now, Phase::Draining, out),
            Input::Finished if self.phase >= Phase::Draining => self.enter(Phase::Ended, out),
            Input::Ready | Input::Terminate | Input::Finished | Input::Tick => {}
            Input::Opened(id) => drop(self.resting.insert(id, Rest { since: now, fresh: true })),
            Input::Answered(id) => drop(self.resting.insert(id, Rest { since: now, fresh: false })),
            Input::RequestStarted(id) | Input::Ended(id) => drop(self.resting.remove(&id)),
        }
        self.close(now, out);
    }

    fn enter(&mut self, phase: Phase, out: &mut Vec<Output>) {
        if std::mem::replace(&mut self.phase, phase) != phase {
            out.push(Output::Enter(phase));
        }
    }

    fn part(&mut self, now: Micros, phase: Phase, out: &mut Vec<Output>) {
        self.since = now;
        self.enter(phase, out);
    }

    fn terms(&self) -> Option<Terms> {
        match (self.phase, self.socket) {
            (Phase::Starting | Phase::Serving | Phase::Ended, _) => None,
            (Phase::Away, _) => Some(AWAY),
            (Phase::Draining | Phase::Closing, Socket::Shared) => Some(REPLACED),
            (Phase::Draining | Phase::Closing, Socket::Own) => Some(ENDED),
        }
    }

    /// When a resting connection is closed. After the term a first request still gets its moment, as a connection
    /// that is taken and closed unheard has lost it; nobody else does.
    fn due(&self, terms: &Terms, rest: &Rest) -> Micros {
        let rested = (self.since + terms.keep).max(rest.since + terms.rest);
        if rest.fresh { rested } else { rested.min((self.since + terms.within).max(rest.since)) }
    }

    fn close(&mut self, now: Micros, out: &mut Vec<Output>) {
        if self.phase == Phase::Draining && now >= self.since + ENDING {
            self.enter(Phase::Closing, out);
        }
        let Some(terms) = self.terms() else { return };
        let due = |(id, rest): (&ConnectionId, &Rest)| (self.due(&terms, rest) <= now).then_some(*id);
        let due: Vec<ConnectionId> = self.resting.iter().filter_map(due).collect();
        for id in due {
            self.resting.remove(&id);
            out.push(Output::Close(id));
        }
    }
}
