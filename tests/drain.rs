//! The state machine by which clients are sent away, taken back and parted with at the end.

use std::collections::BTreeMap;

use milletseam::interface::Micros;
use milletseam::recovery::{Call, ConnectionId, Drain, Input, Output, Phase, Socket};
use proptest::prelude::*;

const MS: Micros = 1_000;

/// A machine, the time, and what each connection does as its owner sees it.
struct Stand {
    drain: Drain,
    now: Micros,
    connections: BTreeMap<ConnectionId, Connection>,
    entered: Vec<Phase>,
    away_since: Option<Micros>,
    ending_since: Option<Micros>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Connection {
    Fresh(Micros),
    Rests,
    Busy,
}

impl Stand {
    fn new(socket: Socket) -> Self {
        let (drain, connections) = (Drain::new(socket), BTreeMap::new());
        Stand {
            drain,
            now: 1_000_000,
            connections,
            entered: Vec::new(),
            away_since: None,
            ending_since: None,
        }
    }

    fn serving(socket: Socket) -> Self {
        let mut stand = Stand::new(socket);
        stand.feed(Input::Ready);
        stand
    }

    fn carry_out(&mut self, out: Vec<Output>) -> Vec<ConnectionId> {
        let mut closed = Vec::new();
        for output in out {
            match output {
                Output::Enter(phase) => {
                    let before = self.entered.last().copied().unwrap_or(Phase::Starting);
                    assert!(
                        phase > before || (before, phase) == (Phase::Away, Phase::Serving),
                        "invariant: only away leads back, from {before:?} to {phase:?}"
                    );
                    self.entered.push(phase);
                    self.away_since = (phase == Phase::Away).then_some(self.now);
                    if phase == Phase::Draining {
                        self.ending_since = Some(self.now);
                    }
                }
                Output::Close(id) => {
                    assert!(
                        self.drain.phase().closes_after_answer(),
                        "invariant: nobody is parted with in service"
                    );
                    let connection = self.connections.remove(&id);
                    assert!(
                        matches!(connection, Some(Connection::Fresh(_) | Connection::Rests)),
                        "invariant: a connection is closed once, and never under a request: {connection:?}"
                    );
                    if let Some(Connection::Fresh(since)) = connection {
                        assert!(self.now >= since + 100 * MS, "invariant: a newcomer gets its moment");
                    }
                    closed.push(id);
                }
            }
        }
        closed
    }

    fn feed(&mut self, input: Input) -> Vec<ConnectionId> {
        let mut out = Vec::new();
        self.drain.handle(self.now, input, &mut out);
        self.carry_out(out)
    }

    fn call(&mut self, call: Call) -> bool {
        let mut out = Vec::new();
        let followed = self.drain.call(self.now, call, &mut out).is_ok();
        self.carry_out(out);
        followed
    }

    fn open(&mut self, id: u64) {
        self.connections.insert(ConnectionId(id), Connection::Fresh(self.now));
        self.feed(Input::Opened(ConnectionId(id)));
    }

    fn ask(&mut self, id: u64) {
        if let Some(connection) = self.connections.get_mut(&ConnectionId(id)) {
            *connection = Connection::Busy;
            self.feed(Input::RequestStarted(ConnectionId(id)));
        }
    }

    /// The answer is written; where it was the last one its owner ends the connection.
    fn answer(&mut self, id: u64, last: bool) {
        if self.connections.get(&ConnectionId(id)) != Some(&Connection::Busy) {
            return;
        }
        if last && self.drain.phase().closes_after_answer() {
            self.connections.remove(&ConnectionId(id));
            self.feed(Input::Ended(ConnectionId(id)));
        } else {
            self.connections.insert(ConnectionId(id), Connection::Rests);
            self.feed(Input::Answered(ConnectionId(id)));
        }
    }

    /// Lets time pass, at each time that is due.
    fn pass(&mut self, span: Micros) -> Vec<(Micros, ConnectionId)> {
        let (until, mut closed) = (self.now + span, Vec::new());
        loop {
            let due = self.drain.next_due().filter(|due| *due <= until);
            self.now = due.map_or(until, |due| due.max(self.now));
            let now = self.now;
            closed.extend(self.feed(Input::Tick).into_iter().map(|id| (now, id)));
            assert!(self.drain.next_due().is_none_or(|due| due > now), "invariant: what is due is done");
            self.audit();
            if due.is_none() {
                return closed;
            }
        }
    }

    fn audit(&self) {
        let resting =
            self.connections.values().filter(|connection| **connection == Connection::Rests).count();
        if self.away_since.is_some_and(|since| self.now >= since + 1_800 * MS) {
            assert_eq!(resting, 0, "invariant: nobody rests 1.8 s after the call");
        }
        if self.ending_since.is_some_and(|since| self.now >= since + 600 * MS) {
            assert_eq!(resting, 0, "invariant: nobody rests 0.6 s after the end was told");
            assert!(self.drain.phase() >= Phase::Closing, "invariant: newcomers are taken for 0.6 s");
        }
    }
}

/// Failure: clients are sent off before others know, or rest beyond the term; a busy one is cut off.
#[test]
fn clients_are_parted_with_between_0_4_and_1_8_seconds_after_the_call() {
    let mut stand = Stand::serving(Socket::Own);
    for id in 0..4 {
        stand.open(id);
    }
    for id in 1..4 {
        stand.ask(id);
    }
    stand.answer(1, true);
    stand.pass(3_000 * MS);
    assert_eq!(stand.connections.len(), 4, "nobody is closed in service");
    let called = stand.now;
    assert!(stand.call(Call::Away));
    assert_eq!(stand.pass(399 * MS), []);
    let closed = stand.pass(MS);
    assert_eq!(
        closed,
        [(called + 400 * MS, ConnectionId(0)), (called + 400 * MS, ConnectionId(1))],
        "who rested for long"
    );
    stand.pass(1_000 * MS);
    // It had begun before the call, so that nothing in it says that it is the last one.
    stand.answer(2, false);
    assert_eq!(stand.pass(199 * MS), []);
    assert_eq!(stand.pass(MS).len(), 1, "a client that has just been answered may be about to ask again");
    stand.pass(1_000 * MS);
    assert_eq!(stand.connections[&ConnectionId(3)], Connection::Busy, "a long answer goes on");
    stand.answer(3, false);
    assert_eq!(stand.pass(0).len() + stand.connections.len(), 0, "beyond the term nobody rests at all");
}

/// Failure: a drain that is called off goes on closing connections, or a second call gives it more time.
#[test]
fn calls_repeated_and_crossed_have_one_meaning() {
    let mut stand = Stand::new(Socket::Own);
    assert!(stand.call(Call::Away) && stand.call(Call::Resume) && stand.call(Call::Away));
    stand.feed(Input::Ready);
    assert_eq!(stand.drain.phase(), Phase::Away, "sent away before it could serve");
    assert!(stand.drain.phase().serves(), "whoever comes is served");
    assert!(stand.call(Call::Resume) && stand.call(Call::Resume));
    assert_eq!(stand.drain.phase(), Phase::Serving);
    stand.open(1);
    stand.ask(1);
    stand.answer(1, true);
    assert!(stand.call(Call::Away));
    stand.pass(300 * MS);
    assert!(stand.call(Call::Away), "as it is already");
    assert_eq!(stand.pass(100 * MS).len(), 1, "the time runs from the first call");
    stand.open(2);
    assert!(stand.call(Call::Resume));
    stand.pass(5_000 * MS);
    assert_eq!(stand.connections.len(), 1, "it was called off");
    stand.feed(Input::Terminate);
    assert!(stand.call(Call::Away), "they are sent away all the same");
    assert!(!stand.call(Call::Resume), "there is no way back");
    stand.pass(600 * MS);
    assert_eq!(stand.entered.last(), Some(&Phase::Closing));
    stand.feed(Input::Finished);
    assert!(!stand.call(Call::Resume));
}

/// Failure: the older process takes connections that the newer one should have, or keeps clients from it.
#[test]
fn at_a_shared_socket_the_end_is_at_once() {
    let mut stand = Stand::new(Socket::Shared);
    assert!(!stand.drain.phase().accepts_from(Socket::Shared), "it can't serve yet");
    stand.feed(Input::Ready);
    assert!(stand.drain.phase().accepts_from(Socket::Shared));
    stand.open(1);
    stand.pass(1_000 * MS);
    stand.open(2);
    stand.feed(Input::Terminate);
    assert!(!stand.drain.phase().accepts_from(Socket::Shared));
    assert!(!stand.connections.contains_key(&ConnectionId(1)), "it had rested");
    assert_eq!(stand.pass(100 * MS).len(), 1, "its first request may have been on the way");
    assert!(Phase::Draining.accepts_from(Socket::Own), "behind an own one nobody else stands");
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0u64..6).prop_map(Step::Open),
        4 => (0u64..6).prop_map(Step::Ask),
        4 => ((0u64..6), any::<bool>()).prop_map(|(id, last)| Step::Answer(id, last)),
        1 => (0u64..6).prop_map(Step::Hangup),
        4 => (1u64..900).prop_map(|ms| Step::Pass(ms * MS)),
        1 => Just(Step::Call(Call::Away)),
        1 => Just(Step::Call(Call::Resume)),
        1 => Just(Step::Ready),
        1 => Just(Step::Terminate),
    ]
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Open(u64),
    Ask(u64),
    Answer(u64, bool),
    Hangup(u64),
    Pass(Micros),
    Call(Call),
    Ready,
    Terminate,
}

proptest! {
    /// The invariants are named where the stand asserts them; whatever happens, they hold.
    #[test]
    fn whatever_happens_the_invariants_hold(
        shared in any::<bool>(),
        steps in proptest::collection::vec(step(), 1..80),
    ) {
        let mut stand = Stand::new(if shared { Socket::Shared } else { Socket::Own });
        for step in steps {
            match step {
                Step::Open(id) if !stand.connections.contains_key(&ConnectionId(id)) => stand.open(id),
                Step::Open(_) => {}
                Step::Ask(id) => stand.ask(id),
                Step::Answer(id, last) => stand.answer(id, last),
                Step::Hangup(id) => {
                    if stand.connections.remove(&ConnectionId(id)).is_some() {
                        stand.feed(Input::Ended(ConnectionId(id)));
                    }
                }
                Step::Pass(span) => drop(stand.pass(span)),
                Step::Call(call) => {
                    let ending = stand.drain.phase() >= Phase::Draining;
                    prop_assert_eq!(stand.call(call), call == Call::Away || !ending, "only the end says no");
                }
                Step::Ready => drop(stand.feed(Input::Ready)),
                Step::Terminate => drop(stand.feed(Input::Terminate)),
            }
            stand.audit();
        }
        // With nothing new all resting ones go, and the term ends.
        stand.feed(Input::Terminate);
        stand.pass(3_000 * MS);
        prop_assert!(stand.connections.values().all(|connection| *connection == Connection::Busy));
        prop_assert_eq!(stand.drain.phase(), Phase::Closing);
        prop_assert_eq!(stand.drain.next_due(), None);
    }
}
