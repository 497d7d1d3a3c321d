//! Tests of a discovery that fails in various ways and returns: a change that it has by then is applied in time, and a
//! process that starts meanwhile is ready in time. The tests run the real program with its real time limits.

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

/// Two readers and a writer, which only need to be reachable.
struct Servers {
    old: Peer,
    new: Peer,
    writer: Peer,
}

impl Servers {
    async fn start() -> Self {
        Servers { old: Peer::start().await, new: Peer::start().await, writer: Peer::start().await }
    }

    /// The members before the change: the old reader serves.
    fn members_before(&self) -> Vec<Value> {
        vec![member("s-old", &self.old.address, "reader"), member("s-w", &self.writer.address, "writer")]
    }

    /// The members after the change: the old reader drains, and a new one has been added.
    fn members_after(&self) -> Vec<Value> {
        let mut members = self.members_before();
        members[0]["phase"] = json!("terminating");
        members.push(member("s-new", &self.new.address, "reader"));
        members
    }

    /// Asserts that new requests go to the readers of the list after the change.
    async fn assert_change_is_applied(&mut self, front: &str) {
        assert_eq!(self.old.unseen(), 0);
        let mut open_requests = Vec::new();
        for n in 0..5 {
            let mut client = Wire::connect(front).await;
            client.write(&platform_request(&format!("c{n}"), "ask", 4000, "{}")).await;
            open_requests.push((client, self.new.next().await));
        }
        assert_eq!(self.old.unseen(), 0, "a draining server got new work");
    }
}

/// The configuration of one process among hundreds; with that many, the backoff is at its longest.
fn replica_config(discovery: &str, known: &[Value]) -> Value {
    let mut config = config(discovery, known);
    config["settings"]["ReplicasOfMe"] = json!(300);
    config
}

/// Discovery fails in this manner for this number of calls. It returns right after the last of them has begun or has
/// been refused, when the most time is left until the next call. The change that it returns with must be applied within
/// the bound.
fn change_is_applied_after_outage(manner: Manner, calls: usize, known: u64, revision: u64) {
    story(async {
        let mut servers = Servers::start().await;
        let mut discovery = Scripted::start(manner).await;
        let mut config = replica_config(&discovery.address, &servers.members_before());
        config["known"]["revision"] = json!(known);
        let conductor = Conductor::start_with(config, "").await;
        for _ in 0..calls {
            discovery.next().await;
        }
        let returned = Instant::now();
        discovery.manner.send_replace(Manner::works(revision, &servers.members_after()));
        let applied = within(BOUND, discovery.next_with(&format!("?from={revision}&hold_ms=1"))).await;
        applied.unwrap_or_else(|| {
            panic!("the change was not applied {:?} after the return", returned.elapsed())
        });
        servers.assert_change_is_applied(&conductor.front).await;
    });
}

#[test]
fn change_is_applied_in_time_after_discovery_hung() {
    change_is_applied_after_outage(Manner::Hangs, 2, 1, 2);
}

/// The call is refused for the third time, when the backoff is at its longest.
#[test]
fn change_is_applied_in_time_after_discovery_refused_calls() {
    change_is_applied_after_outage(Manner::Refuses, 3, 1, 2);
}

/// After each of the first four breaks the call is resumed at once; the fifth is followed by a backoff.
#[test]
fn change_is_applied_in_time_after_discovery_reset_connections() {
    change_is_applied_after_outage(Manner::Resets, 5, 1, 2);
}

#[test]
fn change_is_applied_in_time_after_half_a_list() {
    change_is_applied_after_outage(Manner::Half, 2, 1, 2);
}

#[test]
fn change_is_applied_in_time_after_half_a_list_and_a_close() {
    change_is_applied_after_outage(Manner::HalfAndClose, 5, 1, 2);
}

/// Guards against a call that is kept alive by bytes that keep trickling in.
#[test]
fn change_is_applied_in_time_after_a_trickling_list() {
    change_is_applied_after_outage(Manner::Trickles, 2, 1, 2);
}

#[test]
fn change_is_applied_in_time_after_a_trickling_head() {
    change_is_applied_after_outage(Manner::TricklesHead, 2, 1, 2);
}

/// Guards against a watch that waits in vain because a restarted discovery has only revisions older than the known one.
#[test]
fn change_is_applied_in_time_after_revisions_went_back() {
    change_is_applied_after_outage(Manner::Refuses, 2, 41, 1);
}

/// Waits until a watch is open that starts from this revision, which shows that its list has been accepted.
async fn next_watch(discovery: &mut Scripted, revision: u64) -> Came {
    discovery.next_with(&format!("?from={revision}&hold_ms=1")).await
}

/// The open watch ends in this way, without a word of the change; later calls are answered. The change must be applied
/// within the limit.
fn drain_is_noticed_after_watch_ends(watch_fault: Manner, limit: u64) {
    story(async {
        let mut servers = Servers::start().await;
        let mut discovery = Scripted::start(Manner::works(1, &servers.members_before())).await;
        let conductor =
            Conductor::start_with(replica_config(&discovery.address, &servers.members_before()), "").await;
        next_watch(&mut discovery, 1).await;
        discovery.befalls.send_replace(watch_fault);
        let broken = Instant::now();
        discovery.manner.send_replace(Manner::works(2, &servers.members_after()));
        let applied = within(Duration::from_micros(limit), next_watch(&mut discovery, 2)).await;
        applied.unwrap_or_else(|| panic!("the change was not applied {:?} later", broken.elapsed()));
        servers.assert_change_is_applied(&conductor.front).await;
    });
}

/// Guards against a silent watch that hides that servers are draining.
#[test]
fn drain_right_after_watches_fell_silent_is_noticed_in_time() {
    let Times { longest_hold, answer_grace, resume_within, answer_within, .. } = Times::PLATFORM;
    drain_is_noticed_after_watch_ends(
        Manner::Hangs,
        longest_hold + answer_grace + resume_within + answer_within,
    );
}

/// Guards against the same when all watches are reset.
#[test]
fn drain_right_after_watches_were_reset_is_noticed_in_time() {
    drain_is_noticed_after_watch_ends(
        Manner::Resets,
        Times::PLATFORM.resume_within + Times::PLATFORM.answer_within,
    );
}

/// Guards against a watch that is not open again when servers drain within seconds of discovery's return.
#[test]
fn drain_shortly_after_discovery_returns_is_noticed_at_once() {
    story(async {
        let mut servers = Servers::start().await;
        let mut discovery = Scripted::start(Manner::Resets).await;
        let conductor =
            Conductor::start_with(replica_config(&discovery.address, &servers.members_before()), "").await;
        for _ in 0..5 {
            discovery.next().await;
        }
        // The members have not changed yet.
        discovery.manner.send_replace(Manner::works(1, &servers.members_before()));
        within(BOUND, next_watch(&mut discovery, 1)).await.expect("a watch within the bound");
        discovery.manner.send_replace(Manner::works(2, &servers.members_after()));
        within(Duration::from_millis(500), next_watch(&mut discovery, 2))
            .await
            .expect("the change is noticed at once");
        servers.assert_change_is_applied(&conductor.front).await;
    });
}

/// Guards against a list with line breaks and indentation that can't be read, be it whole or a list of changes. The
/// program needs no special care for that, as it reads a list as JSON.
#[test]
fn indented_lists_are_accepted() {
    story(async {
        let mut servers = Servers::start().await;
        let works = |revision, members| Manner::Works { revision, members, indented: true };
        let mut discovery = Scripted::start(works(1, servers.members_before())).await;
        let conductor = Conductor::start_with(config(&discovery.address, &[]), "").await;
        assert!(discovery.next().await.line.starts_with("GET /discovery/hosts HTTP"));
        next_watch(&mut discovery, 1).await;
        let mut client = Wire::connect(&conductor.front).await;
        client.write(&platform_request("c-old", "ask", 4000, "{}")).await;
        let _open = servers.old.next().await;
        discovery.manner.send_replace(works(2, servers.members_after()));
        next_watch(&mut discovery, 2).await;
        servers.assert_change_is_applied(&conductor.front).await;
    });
}

/// A new configuration names another discovery while the old one fails in this manner; the new one must be called at
/// once.
fn move_is_noticed_during(name: &str, manner: Manner, calls: usize) {
    story(async {
        let mut servers = Servers::start().await;
        let mut old = Scripted::start(manner).await;
        let mut new = Scripted::start(Manner::works(1, &servers.members_after())).await;
        let program = Program::start(name, replica_config(&old.address, &servers.members_before()));
        for _ in 0..calls {
            old.next().await;
        }
        program.ready(Duration::from_secs(5)).await.expect("it becomes ready with the known list");
        program.move_discovery(&new.address).await;
        let first_call = within(Duration::from_millis(500), new.next())
            .await
            .expect("the new discovery is called at once");
        assert!(first_call.line.starts_with("GET /discovery/hosts HTTP"), "{}", first_call.line);
        within(Duration::from_millis(500), next_watch(&mut new, 1)).await.expect("its list is accepted");
        servers.assert_change_is_applied(&program.front).await;
    });
}

#[test]
fn moved_discovery_is_called_at_once_during_a_pause() {
    // After the third refusal the pause is longer than 3 s.
    move_is_noticed_during("moves-pause", Manner::Refuses, 3);
}

#[test]
fn moved_discovery_is_called_at_once_during_a_hung_call() {
    move_is_noticed_during("moves-hung", Manner::Hangs, 1);
}

#[test]
fn moved_discovery_is_called_at_once_during_half_an_answer() {
    move_is_noticed_during("moves-half", Manner::Half, 1);
}

/// The limit for a process that knows servers from its configuration, which does not wait for discovery.
const READY_TIMEOUT_KNOWN: Duration = Duration::from_secs(2);
/// The limit for a process that knows no servers, which waits for discovery for 3 s. The rest allows for a slow
/// machine; the operators allow 10 s.
const READY_TIMEOUT_UNKNOWN: Duration = Duration::from_secs(6);

/// A process becomes ready in time although discovery always fails in this manner.
fn process_becomes_ready_despite(name: &str, manner: Manner) {
    story(async {
        let servers = Servers::start().await;
        let discovery = Scripted::start(manner).await;
        let unknown = Program::start(&format!("{name}-unknown"), replica_config(&discovery.address, &[]));
        let known = Program::start(
            &format!("{name}-known"),
            replica_config(&discovery.address, &servers.members_before()),
        );
        let (known, unknown) =
            tokio::join!(known.ready(READY_TIMEOUT_KNOWN), unknown.ready(READY_TIMEOUT_UNKNOWN));
        assert!(known.is_some(), "a process that knows servers was not ready in time");
        assert!(unknown.is_some(), "a process that knows no servers was not ready in time");
    });
}

#[test]
fn process_becomes_ready_while_discovery_is_silent() {
    process_becomes_ready_despite("ready-hangs", Manner::Hangs);
}

#[test]
fn process_becomes_ready_while_discovery_refuses_calls() {
    process_becomes_ready_despite("ready-refuses", Manner::Refuses);
}

#[test]
fn process_becomes_ready_while_discovery_resets_connections() {
    process_becomes_ready_despite("ready-resets", Manner::Resets);
}

#[test]
fn process_becomes_ready_while_discovery_trickles() {
    process_becomes_ready_despite("ready-trickles", Manner::Trickles);
}

#[test]
fn process_becomes_ready_while_discovery_is_down() {
    story(async {
        let servers = Servers::start().await;
        let discovery = nowhere();
        let unknown = Program::start("ready-down-unknown", replica_config(&discovery.address, &[]));
        let known =
            Program::start("ready-down-known", replica_config(&discovery.address, &servers.members_before()));
        let (known, unknown) =
            tokio::join!(known.ready(READY_TIMEOUT_KNOWN), unknown.ready(READY_TIMEOUT_UNKNOWN));
        assert!(known.is_some() && unknown.is_some(), "{known:?} {unknown:?}");
    });
}

/// Guards against processes that restart at the same time, overload discovery, and are not ready until it has answered.
#[test]
fn processes_restarted_together_become_ready_while_discovery_is_overloaded() {
    story(async {
        let servers = Servers::start().await;
        let mut discovery = Scripted::start(Manner::Refuses).await;
        // Of the calls in each second, discovery accepts the first and refuses the others, so that most processes get
        // no answer in time.
        let works = Manner::works(2, &servers.members_before());
        let (address, manner) = (discovery.address.clone(), discovery.manner.clone());
        let overload_task = tokio::spawn(async move {
            loop {
                manner.send_replace(works.clone());
                discovery.next().await;
                manner.send_replace(Manner::Refuses);
                tokio::time::sleep(Duration::from_secs(1)).await;
            }
        });
        let programs: Vec<Program> = (0..10)
            .map(|n| {
                let known = if n % 2 == 0 { servers.members_before() } else { Vec::new() };
                Program::start(&format!("ready-all-{n}"), replica_config(&address, &known))
            })
            .collect();
        let ready = join_all(programs.iter().map(|program| program.ready(Duration::from_secs(10)))).await;
        let not_ready = ready.iter().filter(|ready| ready.is_none()).count();
        assert_eq!(not_ready, 0, "{ready:?}");
        overload_task.abort();
    });
}

/// Guards against a new configuration that ends the process, or is ignored, if it arrives before the process is ready.
#[test]
fn discovery_moved_during_startup_makes_the_process_ready_at_once() {
    story(async {
        let servers = Servers::start().await;
        let mut old = Scripted::start(Manner::Hangs).await;
        let mut new = Scripted::start(Manner::works(1, &servers.members_before())).await;
        let program = Program::start("ready-moves", replica_config(&old.address, &[]));
        old.next().await;
        program.move_discovery(&new.address).await;
        within(Duration::from_millis(500), new.next()).await.expect("the new discovery is called at once");
        let moved = Stopwatch::start();
        program.ready(Duration::from_secs(6)).await.expect("it becomes ready");
        assert!(moved.elapsed() < Duration::from_secs(1), "{:?}", moved.elapsed());
    });
}
