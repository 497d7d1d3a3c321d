//! Tests connections that fall silent without an error, with real processes of the program. A call counts as delivered
//! when its last byte has reached a running server. What is written to a silent connection is not delivered, so the time
//! limit for the held read state keeps running.

mod peers;

use std::time::Duration;

use peers::auto::{Auto, Noted, Record, Step};
use peers::proxy::{Network, Proxy};
use peers::scripted::Program;
use peers::*;
use tokio::task::JoinSet;
use tokio::time::{interval, sleep};

/// How long a state may be held: 300 ms by the settings, and 300 ms more by the platform's protocol.
const MAX_HELD_TIME: Duration = Duration::from_millis(600);
/// The time between two requests to one process.
const REQUEST_INTERVAL: Duration = Duration::from_millis(25);
/// Requests to each process before connections fall silent.
const REQUESTS_BEFORE_FAULT: usize = 40;
/// Requests to each process after connections have fallen silent.
const REQUESTS_AFTER_FAULT: usize = 40;
const PROCESSES: usize = 3;
const WRITERS: usize = 4;
/// How long to wait until the last client has been answered and the last state has been released.
const SETTLE_TIME: Duration = Duration::from_millis(2_500);

/// Returns the states that were neither fetched nor released in time, each with the time that it was held.
fn overdue_states(record: &[Noted], end: Duration) -> Vec<String> {
    let held_lines = record.iter().enumerate().filter(|(_, line)| line.step == Step::Held);
    let waits = held_lines.map(|(index, held_line)| {
        let ended = record[index..].iter().find(|later| later.id == held_line.id && later.step != Step::Held);
        (held_line, ended.map_or(end, |ended| ended.at) - held_line.at)
    });
    waits
        .filter(|(_, wait)| *wait > MAX_HELD_TIME)
        .map(|(held_line, wait)| format!("{} {wait:?}", held_line.id))
        .collect()
}

/// Sends requests at the request interval without waiting for answers, and reads the head of each answer.
async fn send_requests(front: String, class: &'static str, name: String, count: usize) {
    let (mut ticks, mut clients) = (interval(REQUEST_INTERVAL), JoinSet::new());
    for n in 0..count {
        ticks.tick().await;
        let (front, request) = (front.clone(), platform_request(&format!("{name}{n}"), class, 2_000, "{}"));
        clients.spawn(async move {
            let mut wire = Wire::connect(&front).await;
            wire.write(&request).await;
            wire.until("\r\n\r\n").await.expect("each request is answered")
        });
    }
    while let Some(answer) = clients.join_next().await {
        answer.expect("an answer");
    }
}

/// The network fault of a test.
struct Fault {
    /// The network of the reader.
    reader: Network,
    /// The network of the last `count` of the four writers.
    writers: Network,
    /// How many writers the fault affects.
    count: usize,
}

/// Sends requests of a class, half of them before the fault, and returns the states that were held for too long.
async fn run_and_find_overdue_states(name: &str, class: &'static str, fault: &Fault) -> Vec<String> {
    let record = Record::new();
    let reader = Auto::with_record(true, record.clone()).await;
    let reader_proxy = Proxy::start(&reader.address).await;
    let (mut servers, mut proxies) = (vec![member("s-r", &reader_proxy.address, "reader")], Vec::new());
    for n in 0..WRITERS {
        let writer = Auto::with_record(false, record.clone()).await;
        let proxy = Proxy::start(&writer.address).await;
        servers.push(member(&format!("s-w{n}"), &proxy.address, "writer"));
        proxies.push(proxy);
    }
    let mut programs = Vec::new();
    for n in 0..PROCESSES {
        let config = config(&telling_once(&servers).await, &servers);
        let program = Program::start(&format!("{name}-{class}-{n}"), config);
        program.ready(Duration::from_secs(10)).await.expect("the program is ready");
        programs.push(program);
    }
    for (stage, count) in [("before", REQUESTS_BEFORE_FAULT), ("after", REQUESTS_AFTER_FAULT)] {
        if stage == "after" {
            reader_proxy.set(fault.reader);
            proxies.iter().rev().take(fault.count).for_each(|proxy| proxy.set(fault.writers));
        }
        let mut clients = JoinSet::new();
        for (n, program) in programs.iter().enumerate() {
            clients.spawn(send_requests(program.front.clone(), class, format!("{stage}{n}-"), count));
        }
        while let Some(result) = clients.join_next().await {
            result.expect("all requests are answered");
        }
    }
    sleep(SETTLE_TIME).await;
    let lines = record.lines();
    let held_states = lines.iter().filter(|line| line.step == Step::Held).count();
    assert!(
        held_states >= PROCESSES * (REQUESTS_BEFORE_FAULT + REQUESTS_AFTER_FAULT / 4),
        "{held_states} states were held"
    );
    overdue_states(&lines, record.now())
}

/// Runs the requests of each class, and checks that no state was held for too long.
fn assert_no_overdue_states(name: &str, fault: &Fault) {
    story(async {
        for class in ["ask", "book"] {
            let overdue = run_and_find_overdue_states(name, class, fault).await;
            assert!(overdue.is_empty(), "{class}: {} states: {overdue:?}", overdue.len());
        }
    });
}

/// Guards against a state that stays held while its fetch is written to a machine that has fallen silent.
#[test]
fn state_is_fetched_or_released_in_time_behind_a_silent_machine() {
    assert_no_overdue_states(
        "machine",
        &Fault { reader: Network::Passes, writers: Network::MachineSilent, count: 3 },
    );
}

/// Guards against a state that stays held while its fetch is written to an open connection that has fallen silent.
#[test]
fn state_is_fetched_or_released_in_time_behind_silent_connections() {
    assert_no_overdue_states(
        "connection",
        &Fault { reader: Network::Passes, writers: Network::OpenConnectionsSilent, count: 4 },
    );
}

/// Guards against a state that stays held because no writer can be reached and the connections to its reader are silent.
#[test]
fn state_is_released_in_time_without_writers_over_silent_reader_connections() {
    let reader = Network::OpenConnectionsSilent;
    assert_no_overdue_states("release", &Fault { reader, writers: Network::MachineSilent, count: 4 });
}
