//! Tests of one client that sends at full speed on one connection, on a real process: other clients are served in time, and
//! memory does not grow with what the client sends or with the names that it uses.

mod peers;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use peers::auto::{Auto, tool_server};
use peers::process::Process;
use peers::*;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

/// The memory limit in megabytes, the least that the platform gives.
const MEMORY_MB: u64 = 32;
/// How long the flood lasts.
const FLOOD_TIME: Duration = Duration::from_secs(2);
/// The aim of the class that usual clients use.
const AIM: Duration = Duration::from_millis(1_200);
/// How many requests are written at once.
const REQUESTS_AT_ONCE: usize = 200;

/// What the client sends; the number makes names new.
type MakeRequest = fn(u64) -> String;

fn post(body: &Value, session: u64) -> String {
    let body = body.to_string();
    let length = body.len();
    format!(
        "POST /rpc HTTP/1.1\r\nHost: x\r\nX-Session-Key: s{session}\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}

fn small(number: u64) -> String {
    platform_request(&format!("small-{number}"), "ask", 5000, "{}")
}

/// A request under names that were never used before.
fn new_names(number: u64) -> String {
    small(number)
        .replace("X-Session-Key: s\r\n", &format!("X-Session-Key: session-{number}\r\n"))
        .replace("prefix=5c0f", &format!("prefix=p{number}"))
}

fn chunked(number: u64) -> String {
    new_names(number).replace(
        "Content-Length: 2\r\n\r\n{}",
        "Transfer-Encoding: chunked\r\n\r\n1\r\n{\r\n1\r\n}\r\n0\r\n\r\n",
    )
}

fn expired(number: u64) -> String {
    new_names(number).replace("X-Time-Left-Ms: 5000", "X-Time-Left-Ms: 0")
}

fn without_id(_: u64) -> String {
    "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}".to_string()
}

fn unknown_path(number: u64) -> String {
    format!("GET /path-{number} HTTP/1.1\r\nHost: x\r\n\r\n")
}

fn batch(number: u64) -> String {
    let call = |id: u64| tool_call(json!(id), "wagon.position");
    post(&(0..32).map(call).collect(), number)
}

fn unknown_tools(number: u64) -> String {
    let call = |id: u64| tool_call(json!(id), &format!("tool-{number}-{id}"));
    post(&(0..32).map(call).collect(), number)
}

fn notifications(number: u64) -> String {
    let mut call = tool_call(json!(1), "wagon.position");
    call.as_object_mut().expect("an object").remove("id");
    post(&Value::Array(vec![call; 32]), number)
}

fn cancellations(number: u64) -> String {
    let cancel =
        json!({"jsonrpc": "2.0", "method": "notifications/cancelled", "params": {"requestId": number}});
    post(&Value::Array(vec![cancel; 32]), number)
}

/// How much of a core the process has.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Core {
    Whole,
    Tenth,
}

/// How the client treats the answers.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Answers {
    Read,
    Left,
}

/// Sends requests as fast as they are taken, on one connection as long as that lasts. Returns how many were written.
async fn flood(address: String, make: MakeRequest, answers: Answers) -> u64 {
    let until = Instant::now() + FLOOD_TIME;
    let mut number = 0;
    while Instant::now() < until {
        let Ok(stream) = TcpStream::connect(&address).await else { continue };
        let (mut reader, mut writer) = stream.into_split();
        let write = async {
            loop {
                let text: String = (number..number + REQUESTS_AT_ONCE as u64).map(make).collect();
                if writer.write_all(text.as_bytes()).await.is_err() {
                    return;
                }
                number += REQUESTS_AT_ONCE as u64;
            }
        };
        let read = async {
            let mut buffer = vec![0; 64 * 1024];
            while answers == Answers::Read && matches!(reader.read(&mut buffer).await, Ok(1..)) {}
            if answers == Answers::Left {
                std::future::pending::<()>().await;
            }
        };
        tokio::select! {
            () = write => {}
            () = read => {}
            () = tokio::time::sleep_until(until) => {}
        }
    }
    number
}

/// Floods a process of its own, and returns the times that usual requests took meanwhile, with their status lines.
async fn usual_beside(
    name: &str,
    on_rpc: bool,
    make: MakeRequest,
    answers: Answers,
    core: Core,
) -> Vec<(Duration, String)> {
    let mut servers = Vec::new();
    for number in 0..4 {
        servers.push(member(&format!("s-r{number}"), &Auto::start(true).await.address, "reader"));
        servers.push(member(&format!("s-w{number}"), &Auto::start(false).await.address, "writer"));
    }
    let mut config = config(&telling_once(&servers).await, &servers);
    config["limits"] = json!({"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 1024});
    let tools = [member("t-a", &tool_server().await, "tool")];
    let process = Process::start(&format!("flood-{name}-{answers:?}-{core:?}"), config, &tools).await;
    let address = if on_rpc { process.rpc.clone() } else { process.front.clone() };
    let _throttle = (core == Core::Tenth).then(|| Throttle::start(process.id()));
    // In a thread of its own, so that it keeps nothing of the test waiting but the process.
    let flooding = std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        runtime.block_on(flood(address, make, answers))
    });
    let (mut took, until) = (Vec::new(), Instant::now() + FLOOD_TIME);
    while Instant::now() < until {
        let began = Instant::now();
        let mut wire = Wire::connect(&process.front).await;
        wire.write(&platform_request(&format!("usual-{}", took.len()), "ask", 5000, "{}")).await;
        let line = timeout(Duration::from_secs(8), wire.until("\r\n")).await.ok().flatten();
        took.push((began.elapsed(), line.unwrap_or_default()));
        sleep(Duration::from_millis(40)).await;
    }
    let written = flooding.join().expect("it ends");
    let memory = process.memory().expect("the process runs");
    println!(
        "{name} {answers:?} {core:?}: {written} requests, {} usual, slowest {:?}, peak {} KiB",
        took.len(),
        took.iter().map(|(t, _)| *t).max(),
        memory.peak >> 10
    );
    assert!(memory.peak <= MEMORY_MB * 1_000_000, "{name}: {} MiB in use", memory.peak >> 20);
    took
}

/// Gives a process a tenth of a core until this is dropped: it runs for a tenth of each span.
struct Throttle {
    process: libc::pid_t,
    stop: Arc<AtomicBool>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl Throttle {
    const RUNS_FOR: Duration = Duration::from_millis(2);
    const STOPPED_FOR: Duration = Duration::from_millis(18);

    fn start(process: u32) -> Self {
        let process = process as libc::pid_t;
        let stop = Arc::<AtomicBool>::default();
        let is_over = stop.clone();
        let thread = std::thread::spawn(move || {
            while !is_over.load(Ordering::Relaxed) {
                signal(process, libc::SIGSTOP);
                std::thread::sleep(Self::STOPPED_FOR);
                signal(process, libc::SIGCONT);
                std::thread::sleep(Self::RUNS_FOR);
            }
        });
        Throttle { process, stop, thread: Some(thread) }
    }
}

impl Drop for Throttle {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
        signal(self.process, libc::SIGCONT);
    }
}

#[allow(unsafe_code, reason = "a signal to a child process, far more often than a command could send it")]
fn signal(process: libc::pid_t, signal: libc::c_int) {
    // SAFETY: the call takes plain numbers; the process is a child that has not been waited for.
    unsafe { libc::kill(process, signal) };
}

/// What kinds of requests are sent, and how much of a core the process has.
fn check(kinds: &[(&str, bool, MakeRequest)], core: Core) {
    for (name, on_rpc, make) in kinds {
        for answers in [Answers::Read, Answers::Left] {
            story_within(Duration::from_secs(30), async {
                let took = usual_beside(name, *on_rpc, *make, answers, core).await;
                let late = |(took, line): &&(Duration, String)| *took > AIM || !line.contains(" 200 ");
                let late = took.iter().filter(late).collect::<Vec<_>>();
                assert!(late.is_empty(), "{name} {answers:?}: of {} usual requests {late:?}", took.len());
            });
        }
    }
}

/// Failure: a client that sends sound requests at full speed keeps others waiting, or fills the memory with its names.
#[test]
fn usual_clients_are_served_beside_a_flood_of_small_requests() {
    check(
        &[("small", false, small), ("new names", false, new_names), ("chunked", false, chunked)],
        Core::Whole,
    );
}

/// Failure: a client that sends unsound requests at full speed keeps others waiting.
#[test]
fn usual_clients_are_served_beside_a_flood_of_unsound_requests() {
    check(
        &[
            ("expired", false, expired),
            ("without id", false, without_id),
            ("unknown path", false, unknown_path),
        ],
        Core::Whole,
    );
}

/// Failure: a client that sends batches of tool calls at full speed keeps others waiting, or fills the memory.
#[test]
fn usual_clients_are_served_beside_a_flood_of_tool_calls() {
    check(
        &[
            ("batch", true, batch),
            ("unknown tools", true, unknown_tools),
            ("notifications", true, notifications),
            ("cancellations", true, cancellations),
        ],
        Core::Whole,
    );
}

/// Failure: the same with the part of a core that the platform gives.
#[test]
fn usual_clients_are_served_beside_a_flood_on_a_tenth_of_a_core() {
    check(
        &[
            ("chunked", false, chunked),
            ("without id", false, without_id),
            ("unknown path", false, unknown_path),
            ("batch", true, batch),
            ("unknown tools", true, unknown_tools),
            ("notifications", true, notifications),
        ],
        Core::Tenth,
    );
}
