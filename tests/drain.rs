//! Tests of the state machine that sends clients away, resumes service and closes their connections at shutdown.

use std::collections::BTreeMap;

use milletseam::interface::Micros;
use milletseam::recovery::{Call, ConnectionId, Drain, Input, Output, Phase, Socket, earliest_kill};
use proptest::prelude::*;

const MS: Micros = 1_000;
/// SIGTERM where SIGKILL may come 3.7 s later.
const TERMINATE: Input = Input::Terminate { kill_after: 3_700 * MS };

/// The state machine, the time, and what each connection does as the front that owns it sees it.
struct Harness {
    drain: Drain,
    now: Micros,
    connections: BTreeMap<ConnectionId, Connection>,
    entered: Vec<Phase>,
    away_since: Option<Micros>,
    draining_since: Option<Micros>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Connection {
    Unused(Micros),
    Idle,
    Busy,
}

impl Harness {
    fn new(socket: Socket) -> Self {
        let (drain, connections) = (Drain::new(socket), BTreeMap::new());
        Harness {
            drain,
            now: 1_000_000,
            connections,
            entered: Vec::new(),
            away_since: None,
            draining_since: None,
        }
    }

    fn serving(socket: Socket) -> Self {
        let mut harness = Harness::new(socket);
        harness.feed(Input::Ready);
        harness
    }

    fn carry_out(&mut self, outputs: Vec<Output>) -> Vec<ConnectionId> {
        let mut closed = Vec::new();
        for output in outputs {
            match output {
                Output::Enter(phase) => {
                    let before = self.entered.last().copied().unwrap_or(Phase::Starting);
                    assert!(
                        phase > before || (before, phase) == (Phase::Away, Phase::Serving),
                        "invariant: only Away leads back, from {before:?} to {phase:?}"
                    );
                    self.entered.push(phase);
                    self.away_since = (phase == Phase::Away).then_some(self.now);
                    if phase == Phase::Draining {
                        self.draining_since = Some(self.now);
                    }
                }
                Output::Close(id) => {
                    assert!(
                        self.drain.phase().closes_after_answer(),
                        "invariant: no connection is closed in service"
                    );
                    let connection = self.connections.remove(&id);
                    assert!(
                        matches!(connection, Some(Connection::Unused(_) | Connection::Idle)),
                        "invariant: a connection is closed once, and never under a request: {connection:?}"
                    );
                    if let Some(Connection::Unused(since)) = connection {
                        assert!(
                            self.now >= since + 100 * MS,
                            "invariant: an unused connection stays open for its minimum time"
                        );
                    }
                    closed.push(id);
                }
            }
        }
        closed
    }

    fn feed(&mut self, input: Input) -> Vec<ConnectionId> {
        let mut outputs = Vec::new();
        self.drain.handle(self.now, input, &mut outputs);
        self.carry_out(outputs)
    }

    fn call(&mut self, call: Call) -> bool {
        let mut outputs = Vec::new();
        let accepted = self.drain.call(self.now, call, &mut outputs).is_ok();
        self.carry_out(outputs);
        accepted
    }

    fn open(&mut self, id: u64) {
        self.connections.insert(ConnectionId(id), Connection::Unused(self.now));
        self.feed(Input::Opened(ConnectionId(id)));
    }

    fn ask(&mut self, id: u64) {
        if let Some(connection) = self.connections.get_mut(&ConnectionId(id)) {
            *connection = Connection::Busy;
            self.feed(Input::RequestStarted(ConnectionId(id)));
        }
    }

    /// Reports that the answer is written. If it was the last one, the owner ends the connection.
    fn answer(&mut self, id: u64, last: bool) {
        if self.connections.get(&ConnectionId(id)) != Some(&Connection::Busy) {
            return;
        }
        if last && self.drain.phase().closes_after_answer() {
            self.connections.remove(&ConnectionId(id));
            self.feed(Input::Ended(ConnectionId(id)));
        } else {
            self.connections.insert(ConnectionId(id), Connection::Idle);
            self.feed(Input::Answered(ConnectionId(id)));
        }
    }

    /// Lets time pass, with a tick at each time that is due. Returns which connections were closed, and when.
    fn pass(&mut self, duration: Micros) -> Vec<(Micros, ConnectionId)> {
        let (until, mut closed) = (self.now + duration, Vec::new());
        loop {
            let due = self.drain.next_due().filter(|due| *due <= until);
            self.now = due.map_or(until, |due| due.max(self.now));
            let now = self.now;
            closed.extend(self.feed(Input::Tick).into_iter().map(|id| (now, id)));
            assert!(
                self.drain.next_due().is_none_or(|due| due > now),
                "invariant: nothing that is due is left undone"
            );
            self.check_invariants();
            if due.is_none() {
                return closed;
            }
        }
    }

    fn check_invariants(&self) {
        let idle = self.connections.values().filter(|connection| **connection == Connection::Idle).count();
        if self.away_since.is_some_and(|since| self.now >= since + 1_800 * MS) {
            assert_eq!(idle, 0, "invariant: no used connection is idle 1.8 s after the call");
        }
        if self.draining_since.is_some_and(|since| self.now >= since + 550 * MS) {
            assert_eq!(idle, 0, "invariant: no used connection is idle 0.55 s after SIGTERM");
            assert!(
                self.drain.phase() >= Phase::Closing,
                "invariant: new connections are accepted for no longer than 0.55 s"
            );
        }
        let refusing_since = self.away_since.map(|since| since + 1_800 * MS);
        let refusing_since =
            refusing_since.into_iter().chain(self.draining_since.map(|since| since + 550 * MS)).min();
        assert!(
            refusing_since.is_none_or(|since| self.now < since || self.drain.refuses(self.now)),
            "invariant: no request that may be cut is accepted"
        );
        let serving = self.away_since.is_none() && self.draining_since.is_none();
        assert!(!serving || !self.drain.refuses(self.now), "invariant: nothing is refused in service");
    }
}

/// Failure: connections are closed before the drain is known elsewhere, or stay idle beyond the limit, or are closed while
/// a request is open on them.
#[test]
fn idle_connections_are_closed_between_0_4_and_1_8_seconds_after_the_call() {
    let mut harness = Harness::serving(Socket::Own);
    for id in 0..4 {
        harness.open(id);
    }
    for id in 1..4 {
        harness.ask(id);
    }
    harness.answer(1, true);
    harness.pass(3_000 * MS);
    assert_eq!(harness.connections.len(), 4, "no connection is closed in service");
    let called_at = harness.now;
    assert!(harness.call(Call::Away));
    assert_eq!(harness.pass(399 * MS), []);
    let closed = harness.pass(MS);
    assert_eq!(
        closed,
        [(called_at + 400 * MS, ConnectionId(0)), (called_at + 400 * MS, ConnectionId(1))],
        "those that were idle for long"
    );
    harness.pass(1_000 * MS);
    // This answer had begun before the call, so it does not say that it is the last one.
    harness.answer(2, false);
    assert_eq!(harness.pass(199 * MS), []);
    assert_eq!(
        harness.pass(MS).len(),
        1,
        "a client that has just been answered may be about to send another request"
    );
    harness.pass(1_000 * MS);
    assert_eq!(harness.connections[&ConnectionId(3)], Connection::Busy, "a long answer goes on");
    harness.answer(3, false);
    assert_eq!(
        harness.pass(0).len() + harness.connections.len(),
        0,
        "beyond the limit no connection is idle at all"
    );
}

/// Failure: a drain that was cancelled goes on closing connections, or a second call gives it more time.
#[test]
fn repeated_and_alternating_calls_are_idempotent() {
    let mut harness = Harness::new(Socket::Own);
    assert!(harness.call(Call::Away) && harness.call(Call::Resume) && harness.call(Call::Away));
    harness.feed(Input::Ready);
    assert_eq!(harness.drain.phase(), Phase::Away, "sent away before it could serve");
    assert!(harness.drain.phase().serves(), "requests that arrive are served");
    assert!(harness.call(Call::Resume) && harness.call(Call::Resume));
    assert_eq!(harness.drain.phase(), Phase::Serving);
    harness.open(1);
    harness.ask(1);
    harness.answer(1, true);
    assert!(harness.call(Call::Away));
    harness.pass(300 * MS);
    assert!(harness.call(Call::Away), "a call for the state that holds succeeds");
    assert_eq!(harness.pass(100 * MS).len(), 1, "the time runs from the first call");
    harness.open(2);
    assert!(harness.call(Call::Resume));
    harness.pass(5_000 * MS);
    assert_eq!(harness.connections.len(), 1, "the drain was cancelled");
    harness.feed(TERMINATE);
    assert!(harness.call(Call::Away), "a call for Away succeeds while draining");
    assert!(!harness.call(Call::Resume), "service can't be resumed");
    harness.pass(550 * MS);
    assert_eq!(harness.entered.last(), Some(&Phase::Closing));
    harness.feed(Input::Finished);
    assert!(!harness.call(Call::Resume));
}

/// Failure: the older process accepts connections that the newer one should have, or keeps clients from it.
#[test]
fn shared_socket_stops_accepting_at_once_on_terminate() {
    let mut harness = Harness::new(Socket::Shared);
    assert!(!harness.drain.phase().accepts_from(Socket::Shared), "it can't serve yet");
    harness.feed(Input::Ready);
    assert!(harness.drain.phase().accepts_from(Socket::Shared));
    harness.open(1);
    harness.pass(1_000 * MS);
    harness.open(2);
    harness.feed(TERMINATE);
    assert!(!harness.drain.phase().accepts_from(Socket::Shared));
    assert!(!harness.connections.contains_key(&ConnectionId(1)), "it had been idle for long enough");
    assert_eq!(harness.pass(100 * MS).len(), 1, "its first request may have been on its way");
    assert!(Phase::Draining.accepts_from(Socket::Own), "no other process accepts at an own socket");
}

/// Failure: a request that is complete over 0.7 s after SIGTERM is served and cut by SIGKILL, or one that stays
/// incomplete is not answered before it, however short the deadlines are.
#[test]
fn late_and_incomplete_requests_are_refused_before_the_earliest_kill() {
    for (socket, longest_deadline, killed_after) in [
        (Socket::Own, 7_500 * MS, 3_700 * MS),
        (Socket::Shared, 7_500 * MS, 3_700 * MS),
        (Socket::Own, 1_000 * MS, 1_700 * MS),
        (Socket::Shared, 400 * MS, 1_100 * MS),
    ] {
        let mut harness = Harness::serving(socket);
        assert!(!harness.drain.refuses(harness.now) && harness.drain.refuses_incomplete_at().is_none());
        let told_at = harness.now;
        assert_eq!(earliest_kill(longest_deadline), killed_after);
        harness.feed(Input::Terminate { kill_after: earliest_kill(longest_deadline) });
        assert!(!harness.drain.refuses(told_at + 549 * MS), "clients that have not noticed yet are served");
        assert!(harness.drain.refuses(told_at + 550 * MS));
        let incomplete_at = harness.drain.refuses_incomplete_at().expect("a time");
        assert!(harness.drain.refuses(incomplete_at));
        assert!(incomplete_at + 300 * MS <= told_at + killed_after, "the refusal reaches its client");
    }
}

/// Failure: a process that is held up and notices SIGTERM late also accepts requests for too long, and SIGKILL cuts them.
#[test]
fn late_requests_are_refused_by_a_process_that_notices_sigterm_late() {
    for socket in [Socket::Own, Socket::Shared] {
        let mut harness = Harness::serving(socket);
        let signalled_at = harness.now;
        harness.pass(150 * MS);
        harness.feed(TERMINATE);
        assert!(harness.drain.refuses(signalled_at + 700 * MS), "{socket:?}");
    }
}

/// Failure: a process that was sent away holds a request of the last 2 s when it has to be rid of its clients, or takes
/// requests again once it is told to terminate.
#[test]
fn late_requests_are_refused_while_clients_are_sent_away() {
    let mut harness = Harness::serving(Socket::Own);
    let called_at = harness.now;
    harness.call(Call::Away);
    assert!(!harness.drain.refuses(called_at + 1_799 * MS));
    assert!(harness.drain.refuses(called_at + 1_800 * MS));
    let incomplete_at = harness.drain.refuses_incomplete_at().expect("a time");
    assert!(incomplete_at < called_at + 4_000 * MS);
    harness.call(Call::Resume);
    assert!(
        !harness.drain.refuses(called_at + 9_000 * MS) && harness.drain.refuses_incomplete_at().is_none()
    );
    harness.call(Call::Away);
    harness.pass(5_000 * MS);
    harness.feed(TERMINATE);
    assert!(harness.drain.refuses(harness.now), "it goes on refusing");
}

/// Failure: a client that takes nothing of its answer keeps a process that was told to terminate for ever, or is cut off
/// in service.
#[test]
fn stalled_client_is_given_up_30_s_after_sigterm_at_the_earliest() {
    let mut harness = Harness::serving(Socket::Own);
    let stalled_since = harness.now;
    harness.pass(60_000 * MS);
    assert_eq!(harness.drain.gives_up_stalled_at(stalled_since), None, "in service");
    harness.call(Call::Away);
    assert_eq!(harness.drain.gives_up_stalled_at(stalled_since), None, "the process stays");
    harness.feed(TERMINATE);
    let told_at = harness.now;
    assert_eq!(harness.drain.gives_up_stalled_at(stalled_since), Some(told_at + 30_000 * MS));
    harness.pass(10_000 * MS);
    assert_eq!(harness.drain.gives_up_stalled_at(harness.now), Some(told_at + 40_000 * MS));
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0u64..6).prop_map(Step::Open),
        4 => (0u64..6).prop_map(Step::Ask),
        4 => ((0u64..6), any::<bool>()).prop_map(|(id, last)| Step::Answer(id, last)),
        1 => (0u64..6).prop_map(Step::Disconnect),
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
    Disconnect(u64),
    Pass(Micros),
    Call(Call),
    Ready,
    Terminate,
}

proptest! {
    /// The invariants that the harness asserts hold after any sequence of events.
    #[test]
    fn invariants_hold_for_any_sequence_of_events(
        shared in any::<bool>(),
        steps in proptest::collection::vec(step(), 1..80),
    ) {
        let mut harness = Harness::new(if shared { Socket::Shared } else { Socket::Own });
        for step in steps {
            match step {
                Step::Open(id) if !harness.connections.contains_key(&ConnectionId(id)) => harness.open(id),
                Step::Open(_) => {}
                Step::Ask(id) => harness.ask(id),
                Step::Answer(id, last) => harness.answer(id, last),
                Step::Disconnect(id) => {
                    if harness.connections.remove(&ConnectionId(id)).is_some() {
                        harness.feed(Input::Ended(ConnectionId(id)));
                    }
                }
                Step::Pass(duration) => drop(harness.pass(duration)),
                Step::Call(call) => {
                    let ending = harness.drain.phase() >= Phase::Draining;
                    prop_assert_eq!(
                        harness.call(call),
                        call == Call::Away || !ending,
                        "only Resume after SIGTERM is refused"
                    );
                }
                Step::Ready => drop(harness.feed(Input::Ready)),
                Step::Terminate => drop(harness.feed(TERMINATE)),
            }
            harness.check_invariants();
        }
        // Without new events all idle connections are closed, and no further ones are accepted.
        harness.feed(TERMINATE);
        harness.pass(3_000 * MS);
        prop_assert!(harness.connections.values().all(|connection| *connection == Connection::Busy));
        prop_assert_eq!(harness.drain.phase(), Phase::Closing);
        prop_assert_eq!(harness.drain.next_due(), None);
    }
}
