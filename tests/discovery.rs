//! Stories of a discovery that fails in every way and returns: what it has to tell is taken in time, and a process
//! that starts is ready in time. The program is whole and keeps its real times.

mod peers;

use std::time::Duration;

use futures_util::future::join_all;
use milletseam::recovery::Times;
use peers::scripted::*;
use peers::stopwatch::{Stopwatch, within};
use peers::*;
use serde_json::{Value, json};
use tokio::time::Instant;

const BOUND: Duration = Duration::from_micros(Times::PLATFORM.bound());

/// Two readers and a writer of which nothing is asked but to be reached.
struct Servers {
    old: Peer,
    new: Peer,
    writer: Peer,
}

impl Servers {
    async fn start() -> Self {
        Servers { old: Peer::start().await, new: Peer::start().await, writer: Peer::start().await }
    }

    /// The old reader serves.
    fn before(&self) -> Vec<Value> {
        vec![member("s-old", &self.old.address, "reader"), member("s-w", &self.writer.address, "writer")]
    }

    /// It drains, and another has come.
    fn after(&self) -> Vec<Value> {
        let mut members = self.before();
        members[0]["phase"] = json!("terminating");
        members.push(member("s-new", &self.new.address, "reader"));
        members
    }

    /// New work goes where the list says after the change.
    async fn change_is_taken(&mut self, front: &str) {
        assert_eq!(self.old.unseen(), 0);
        let mut open = Vec::new();
        for n in 0..5 {
            let mut client = Wire::connect(front).await;
            client.write(&platform_request(&format!("c{n}"), "ask", 4000, "{}")).await;
            open.push((client, self.new.next().await));
        }
        assert_eq!(self.old.unseen(), 0, "new work for a server that drains");
    }
}

/// The configuration of one process among hundreds, which back off the longest.
fn among_many(discovery: &str, known: &[Value]) -> Value {
    let mut config = config(discovery, known);
    config["settings"]["ReplicasOfMe"] = json!(300);
    config
}

/// Discovery fails in this manner for so many calls. It returns right after the last of them has begun, or was
/// refused: the longest time is left then. The change that it returns with is taken within the bound.
fn fails_and_returns(manner: Manner, calls: usize, known: u64, revision: u64) {
    story(async {
        let mut servers = Servers::start().await;
        let mut discovery = Scripted::start(manner).await;
        let mut config = among_many(&discovery.address, &servers.before());
        config["known"]["revision"] = json!(known);
        let conductor = Conductor::start_with(config, "").await;
        for _ in 0..calls {
            discovery.next().await;
        }
        let returned = Instant::now();
        discovery.manner.send_replace(Manner::works(revision, &servers.after()));
        let taken = within(BOUND, discovery.next_with(&format!("?from={revision}&hold_ms=1"))).await;
        taken.unwrap_or_else(|| panic!("not taken {:?} after the return", returned.elapsed()));
        servers.change_is_taken(&conductor.front).await;
    });
}

#[test]
fn after_a_discovery_that_hung_the_change_is_taken_within_the_bound() {
    fails_and_returns(Manner::Hangs, 2, 1, 2);
}

/// It is refused for the third time: the backoff is at its longest.
#[test]
fn after_a_discovery_that_refused_the_change_is_taken_within_the_bound() {
    fails_and_returns(Manner::Refuses, 3, 1, 2);
}

/// Four breaks are resumed at once, and the fifth is backed off from.
#[test]
fn after_a_discovery_that_reset_the_change_is_taken_within_the_bound() {
    fails_and_returns(Manner::Resets, 5, 1, 2);
}

#[test]
fn after_half_a_list_the_change_is_taken_within_the_bound() {
    fails_and_returns(Manner::Half, 2, 1, 2);
}

#[test]
fn after_half_a_list_and_a_close_the_change_is_taken_within_the_bound() {
    fails_and_returns(Manner::HalfAndClose, 5, 1, 2);
}

/// Failure: bytes that come ever again keep a call alive.
#[test]
fn after_a_list_that_trickles_the_change_is_taken_within_the_bound() {
    fails_and_returns(Manner::Trickles, 2, 1, 2);
}

#[test]
fn after_a_head_that_trickles_the_change_is_taken_within_the_bound() {
    fails_and_returns(Manner::TricklesHead, 2, 1, 2);
}

/// Failure: a discovery that was started anew has nothing newer than what is known, and lets the watch wait.
#[test]
fn a_discovery_that_returns_with_versions_gone_back_is_heard_within_the_bound() {
    fails_and_returns(Manner::Refuses, 2, 41, 1);
}

/// Waits until a watch is open, on a list that was taken.
async fn watched(discovery: &mut Scripted, revision: u64) -> Came {
    discovery.next_with(&format!("?from={revision}&hold_ms=1")).await
}

/// The watch that is open ends in this way and does not hear of the change; calls that come later are answered.
fn drains_after(befalls: Manner, most: u64) {
    story(async {
        let mut servers = Servers::start().await;
        let mut discovery = Scripted::start(Manner::works(1, &servers.before())).await;
        let conductor = Conductor::start_with(among_many(&discovery.address, &servers.before()), "").await;
        watched(&mut discovery, 1).await;
        discovery.befalls.send_replace(befalls);
        let broken = Instant::now();
        discovery.manner.send_replace(Manner::works(2, &servers.after()));
        let taken = within(Duration::from_micros(most), watched(&mut discovery, 2)).await;
        taken.unwrap_or_else(|| panic!("not taken {:?} later", broken.elapsed()));
        servers.change_is_taken(&conductor.front).await;
    });
}

/// Failure: a watch that has fallen silent hides that servers drain.
#[test]
fn servers_that_drain_right_after_all_watches_fell_silent_get_nothing_new_in_time() {
    let Times { longest_hold, answer_grace, resume_within, answer_within, .. } = Times::PLATFORM;
    drains_after(Manner::Hangs, longest_hold + answer_grace + resume_within + answer_within);
}

/// Failure: the same where all watches are reset.
#[test]
fn servers_that_drain_right_after_all_watches_were_reset_get_nothing_new_in_time() {
    drains_after(Manner::Resets, Times::PLATFORM.resume_within + Times::PLATFORM.answer_within);
}

/// Failure: servers drain within seconds of discovery's return, and the watch is not open again.
#[test]
fn servers_that_drain_within_seconds_of_the_return_are_heard_of_at_once() {
    story(async {
        let mut servers = Servers::start().await;
        let mut discovery = Scripted::start(Manner::Resets).await;
        let conductor = Conductor::start_with(among_many(&discovery.address, &servers.before()), "").await;
        for _ in 0..5 {
            discovery.next().await;
        }
        // Nothing has changed yet.
        discovery.manner.send_replace(Manner::works(1, &servers.before()));
        within(BOUND, watched(&mut discovery, 1)).await.expect("a watch within the bound");
        discovery.manner.send_replace(Manner::works(2, &servers.after()));
        within(Duration::from_millis(500), watched(&mut discovery, 2)).await.expect("it is told at once");
        servers.change_is_taken(&conductor.front).await;
    });
}

/// Failure: a list with line ends and indents is not read, whole or as changes. The program does right without a guard
/// of its own: a list is read as JSON.
#[test]
fn lists_that_come_indented_are_taken() {
    story(async {
        let mut servers = Servers::start().await;
        let works = |revision, members| Manner::Works { revision, members, indented: true };
        let mut discovery = Scripted::start(works(1, servers.before())).await;
        let conductor = Conductor::start_with(config(&discovery.address, &[]), "").await;
        assert!(discovery.next().await.line.starts_with("GET /discovery/hosts HTTP"));
        watched(&mut discovery, 1).await;
        let mut client = Wire::connect(&conductor.front).await;
        client.write(&platform_request("c-old", "ask", 4000, "{}")).await;
        let _open = servers.old.next().await;
        discovery.manner.send_replace(works(2, servers.after()));
        watched(&mut discovery, 2).await;
        servers.change_is_taken(&conductor.front).await;
    });
}

/// A new configuration names another discovery while the old one fails so: the new one is asked at once.
fn moves_amid(name: &str, manner: Manner, calls: usize) {
    story(async {
        let mut servers = Servers::start().await;
        let mut old = Scripted::start(manner).await;
        let mut new = Scripted::start(Manner::works(1, &servers.after())).await;
        let program = Program::start(name, among_many(&old.address, &servers.before()));
        for _ in 0..calls {
            old.next().await;
        }
        program.ready(Duration::from_secs(5)).await.expect("it is ready by the known list");
        program.move_discovery(&new.address).await;
        let asked = within(Duration::from_millis(500), new.next()).await.expect("it is asked at once");
        assert!(asked.line.starts_with("GET /discovery/hosts HTTP"), "{}", asked.line);
        within(Duration::from_millis(500), watched(&mut new, 1)).await.expect("its list is taken");
        servers.change_is_taken(&program.front).await;
    });
}

#[test]
fn a_discovery_that_moves_amid_a_pause_is_asked_at_once() {
    // After the third refusal the pause is over 3 s.
    moves_amid("moves-pause", Manner::Refuses, 3);
}

#[test]
fn a_discovery_that_moves_amid_a_hung_call_is_asked_at_once() {
    moves_amid("moves-hung", Manner::Hangs, 1);
}

#[test]
fn a_discovery_that_moves_amid_half_an_answer_is_asked_at_once() {
    moves_amid("moves-half", Manner::Half, 1);
}

/// A process that knows servers from its configuration does not wait for discovery...
const READY_KNOWN: Duration = Duration::from_secs(2);
/// ... and one that knows none waits for 3 s. The rest is for a slow machine; the operators allow 10 s.
const READY_UNKNOWN: Duration = Duration::from_secs(6);

/// It is ready in time though discovery only ever fails so.
fn ready_though(name: &str, manner: Manner) {
    story(async {
        let servers = Servers::start().await;
        let discovery = Scripted::start(manner).await;
        let unknown = Program::start(&format!("{name}-unknown"), among_many(&discovery.address, &[]));
        let known =
            Program::start(&format!("{name}-known"), among_many(&discovery.address, &servers.before()));
        let (known, unknown) = tokio::join!(known.ready(READY_KNOWN), unknown.ready(READY_UNKNOWN));
        assert!(known.is_some(), "with servers that are known");
        assert!(unknown.is_some(), "with none");
    });
}

#[test]
fn a_process_is_ready_though_discovery_says_nothing() {
    ready_though("ready-hangs", Manner::Hangs);
}

#[test]
fn a_process_is_ready_though_discovery_refuses() {
    ready_though("ready-refuses", Manner::Refuses);
}

#[test]
fn a_process_is_ready_though_discovery_resets() {
    ready_though("ready-resets", Manner::Resets);
}

#[test]
fn a_process_is_ready_though_discovery_trickles() {
    ready_though("ready-trickles", Manner::Trickles);
}

#[test]
fn a_process_is_ready_though_nothing_listens_at_discovery() {
    story(async {
        let servers = Servers::start().await;
        let discovery = nowhere();
        let unknown = Program::start("ready-down-unknown", among_many(&discovery.address, &[]));
        let known = Program::start("ready-down-known", among_many(&discovery.address, &servers.before()));
        let (known, unknown) = tokio::join!(known.ready(READY_KNOWN), unknown.ready(READY_UNKNOWN));
        assert!(known.is_some() && unknown.is_some(), "{known:?} {unknown:?}");
    });
}

/// Failure: all processes that restart at once overbook discovery, and none is ready before it has answered.
#[test]
fn processes_that_restart_together_before_an_overbooked_discovery_are_ready() {
    story(async {
        let servers = Servers::start().await;
        let mut discovery = Scripted::start(Manner::Refuses).await;
        // Of the calls in each second it takes the first, so that most are not heard in time, and refuses the others.
        let works = Manner::works(2, &servers.before());
        let (address, manner) = (discovery.address.clone(), discovery.manner.clone());
        let booking = tokio::spawn(async move {
            loop {
                manner.send_replace(works.clone());
                discovery.next().await;
                manner.send_replace(Manner::Refuses);
                tokio::time::sleep(Duration::from_secs(1)).await;
            }
        });
        let programs: Vec<Program> = (0..10)
            .map(|n| {
                let known = if n % 2 == 0 { servers.before() } else { Vec::new() };
                Program::start(&format!("ready-all-{n}"), among_many(&address, &known))
            })
            .collect();
        let ready = join_all(programs.iter().map(|program| program.ready(Duration::from_secs(10)))).await;
        let late = ready.iter().filter(|ready| ready.is_none()).count();
        assert_eq!(late, 0, "{ready:?}");
        booking.abort();
    });
}

/// Failure: a new configuration that comes before the process is ready ends it, or is not heard.
#[test]
fn a_discovery_that_moves_before_the_process_is_ready_makes_it_ready_at_once() {
    story(async {
        let servers = Servers::start().await;
        let mut old = Scripted::start(Manner::Hangs).await;
        let mut new = Scripted::start(Manner::works(1, &servers.before())).await;
        let program = Program::start("ready-moves", among_many(&old.address, &[]));
        old.next().await;
        program.move_discovery(&new.address).await;
        within(Duration::from_millis(500), new.next()).await.expect("it is asked at once");
        let moved = Stopwatch::start();
        program.ready(Duration::from_secs(6)).await.expect("it is ready");
        assert!(moved.elapsed() < Duration::from_secs(1), "{:?}", moved.elapsed());
    });
}
