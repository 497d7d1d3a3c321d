//! Stories of bytes that arrive in the very moment in which a connection is closed, and of crowds that ask and go.

mod peers;

use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use futures_util::future::join_all;
use peers::auto::Auto;
use peers::scripted::Program;
use peers::*;
use serde_json::{Value, json};
use tokio::process::{Child, Command};
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// How many clients have a request under way when the process is held up.
const CLIENTS_BEFORE_HOLD_UP: usize = 10;

/// A client's name in its request.
fn id_of(head: &str) -> String {
    header(head, "x-correlation-id").expect("an id")
}

/// A reader and a writer that serve whatever comes; their list, and the names that the reader has seen.
fn servers(mut reader: Peer, mut writer: Peer) -> ([Value; 2], Arc<std::sync::Mutex<Vec<String>>>) {
    let list = [member("s-r", &reader.address, "reader"), member("s-w", &writer.address, "writer")];
    let seen = Arc::new(std::sync::Mutex::new(Vec::new()));
    let sees = seen.clone();
    tokio::spawn(async move {
        loop {
            let mut request = reader.next().await;
            let id = id_of(&request.head);
            sees.lock().expect("no panic").push(id.clone());
            if request.wire.takes(READ).await {
                request.go_on();
            } else {
                // Only requests of clients that have gone are called off, and their connections reset.
                let has_gone = GONE.iter().any(|prefix| id.starts_with(prefix));
                assert!(has_gone, "the connection of {id} was reset, whose client stays");
            }
        }
    });
    tokio::spawn(async move {
        loop {
            let mut request = writer.next().await;
            request.wire.write_all_it_takes(WHOLE).await;
            request.go_on();
        }
    });
    (list, seen)
}

/// What the ids of clients that ask and go begin with.
const GONE: [&str; 3] = ["flood-", "behind-", "late-"];

/// A reader's answer.
const READ: &str = "HTTP/1.1 202 Accepted\r\nContent-Length: 19\r\n\r\n{\"cached_tokens\":0}";

const WHOLE: &str = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n\
                     e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n";

/// A conductor before them with so many descriptors, as a process of its own at these addresses.
async fn process(servers: &[Value], sockets: usize, front: &str, admin: &str, folder: &Folder) -> Child {
    let mut config = config(&telling_once(servers).await, servers);
    (config["listen"], config["admin"]) = (json!(front), json!(admin));
    config["limits"]["sockets"] = json!(sockets);
    let child = Command::new(env!("CARGO_BIN_EXE_birchspur"))
        .env("LB_CONFIG", folder.write("config.json", &config.to_string()))
        .kill_on_drop(true)
        .spawn()
        .expect("it starts");
    loop {
        if let Ok(stream) = tokio::net::TcpStream::connect(front).await {
            let mut wire = Wire::of(stream);
            wire.write(UP).await;
            if wire.until("\r\n").await.is_some_and(|line| line.contains("200")) {
                return child;
            }
        }
        sleep(Duration::from_millis(10)).await;
    }
}

/// Failure: a request that is refused before all of it is read has its connection reset, and the answer with it.
#[test]
fn whoever_is_refused_before_all_is_read_reads_its_whole_answer() {
    story(async {
        let (list, seen) = servers(Peer::start().await, Peer::start().await);
        let conductor = Conductor::with_sockets(&list, 256).await;
        let long = platform_request("long", "ask", 4000, &"x".repeat(256 * 1024 + 1));
        let chunked = platform_request("chunked", "ask", 4000, "")
            .replace("Content-Length: 0", "Transfer-Encoding: chunked");
        let chunked = format!("{chunked}50000\r\n{}\r\n0\r\n\r\n", "x".repeat(0x50000));
        let bad = format!("no HTTP at all\r\n\r\n{}", "x".repeat(50_000));
        let call = format!("GET /stats HTTP/1.1\r\nContent-Length: 60000\r\n\r\n{}", "x".repeat(60_000));
        let (front, admin) = (&conductor.front, &conductor.admin);
        let cases =
            [(front, &long, "413"), (front, &chunked, "413"), (front, &bad, "400"), (admin, &call, "413")];
        for (address, request, status) in cases {
            // All at once, and so that the last bytes come behind the answer.
            for behind in [0, 40_000] {
                let mut wire = Wire::connect(address).await;
                let (first, last) = request.split_at(request.len() - behind);
                wire.write_all_it_takes(first).await;
                let head = wire.until("\r\n\r\n").await.unwrap_or_else(|| panic!("reset: {request:.200}"));
                assert!(head.starts_with(&format!("HTTP/1.1 {status}")), "{head} for {request:.200}");
                wire.write_all_it_takes(last).await;
                assert!(wire.whole_end().await.is_some(), "reset: {request:.200}");
                assert!(!wire.is_reset(), "{behind} bytes behind the answer to {request:.200}");
            }
        }
        assert_eq!(seen.lock().expect("no panic").len(), 0);
    });
}

/// Failure: whoever sends on while its time is over is reset instead of answered or ended.
#[test]
fn whoever_trickles_until_its_time_is_over_is_ended_cleanly() {
    story(async {
        let (list, seen) = servers(Peer::start().await, Peer::start().await);
        let conductor = Conductor::with_sockets(&list, 256).await;
        let body =
            platform_request("body", "ask", 4000, &"x".repeat(60_000)).replace(&"x".repeat(60_000), "");
        let cases = [(body.as_str(), "HTTP/1.1 408"), ("POST /v1/chat HTTP/1.1\r\nX-Long: ", "HTTP/1.1 408")];
        for (start, answer) in cases {
            let mut wire = Wire::connect(&conductor.front).await;
            wire.write(start).await;
            let mut ended = None;
            while ended.is_none() {
                // All that comes before the end is written without a break.
                wire.write_all_it_takes("x").await;
                ended = timeout(Duration::from_millis(2), wire.whole_end()).await.ok();
            }
            let text = ended.flatten().unwrap_or_else(|| panic!("reset after {start}"));
            wire.write_all_it_takes("x").await;
            assert!(!wire.is_reset(), "by what still came after {start}");
            assert!(text.starts_with(answer), "{text} after {start}");
        }
        assert_eq!(seen.lock().expect("no panic").len(), 0);
    });
}

/// Guards against a request that is complete in time and closed without an answer: the process is held up as its last bytes
/// arrive, and gives up the head before it reads them.
#[test]
fn request_that_is_complete_while_the_process_is_held_up_is_answered() {
    story(async {
        let (reader, writer) = (Auto::start(true).await, Auto::start(false).await);
        let list = [member("s-r", &reader.address, "reader"), member("s-w", &writer.address, "writer")];
        let program = Program::start("held-up", config(&telling_once(&list).await, &list));
        program.ready(Duration::from_secs(10)).await.expect("the program is ready");
        let connected_at = Instant::now();
        let mut clients = Vec::new();
        for n in 0..CLIENTS_BEFORE_HOLD_UP {
            let request = platform_request(&format!("c{n}"), "ask", 4_000, "{}");
            let mut client = Wire::connect(&program.front).await;
            client.write(&request[..20]).await;
            clients.push((client, request));
        }
        sleep_until(connected_at + Duration::from_millis(2_420)).await;
        program.signal("STOP").await;
        for (client, request) in &mut clients {
            client.write(&request[20..]).await;
        }
        // 2.5 s after it has connected, a client's request has to be complete.
        sleep_until(connected_at + Duration::from_millis(2_560)).await;
        program.signal("CONT").await;
        for (client, request) in &mut clients {
            let answer = client.until("\r\n").await;
            assert_eq!(answer.as_deref(), Some("HTTP/1.1 200 OK\r\n"), "{request}");
        }
    });
}

/// What became of a request that was written on a resting connection.
async fn served(wire: &mut Wire, id: &str) -> bool {
    wire.write_all_it_takes(&platform_request(id, "ask", 4000, "{}")).await;
    match wire.until("0\r\n\r\n").await {
        Some(answer) => {
            assert!(answer.starts_with("HTTP/1.1 200"), "{id}: {answer}");
            true
        }
        None => {
            assert_eq!(wire.whole_end().await.as_deref(), Some(""), "{id} is reset or half answered");
            false
        }
    }
}

/// Failure: a request that crosses the close of its resting connection is sent on and its answer lost, or the
/// connection reset.
#[test]
fn a_request_that_crosses_an_eviction_is_served_or_was_never_read() {
    story(async {
        let (list, seen) = servers(Peer::start().await, Peer::start().await);
        let conductor = Conductor::with_sockets(&list, 64).await;
        let (mut taken, mut lost) = (Vec::new(), 0);
        for round in 0..8_u64 {
            let mut resting = Vec::new();
            for _ in 0..12 {
                let mut wire = Wire::connect(&conductor.front).await;
                wire.write(UP).await;
                wire.until("\r\n\r\n").await.expect("an answer");
                resting.push(wire);
            }
            // Those who have rested for 50 ms give way to newcomers.
            sleep(Duration::from_millis(40 + 3 * round)).await;
            let newcomers = join_all((0..12).map(|_| Wire::connect(&conductor.front))).await;
            let asked = resting.into_iter().enumerate().map(async |(n, mut wire)| {
                sleep(Duration::from_millis(n as u64 * 4)).await;
                let id = format!("r{round}-{n}");
                let served = served(&mut wire, &id).await;
                assert!(served || !wire.is_reset(), "{id} is reset by its request");
                served.then_some(id)
            });
            for id in join_all(asked).await {
                match id {
                    Some(id) => taken.push(id),
                    None => lost += 1,
                }
            }
            drop(newcomers);
        }
        println!("{} served, {lost} ended", taken.len());
        assert!(lost > 0, "some were evicted");
        let mut seen = seen.lock().expect("no panic").clone();
        seen.sort();
        taken.sort();
        assert_eq!(seen, taken, "servers have got what was answered, once");
    });
}

/// Failure: at the end of the process a resting client's request is sent on and its answer lost, its connection is
/// reset, or clients that only rest keep the process.
#[test]
fn at_the_end_of_the_process_resting_clients_are_served_or_ended_cleanly() {
    story(async {
        let (list, seen) = servers(Peer::start().await, Peer::start().await);
        let (front, admin, folder) = (nowhere(), nowhere(), Folder::new("races-end"));
        let mut child = process(&list, 256, &front.address, &admin.address, &folder).await;
        let mut resting = Vec::new();
        for _ in 0..40 {
            let mut wire = Wire::connect(&front.address).await;
            wire.write(UP).await;
            wire.until("\r\n\r\n").await.expect("an answer");
            resting.push(wire);
        }
        // These say nothing until the process ends, and these don't even close when it ends them.
        let silent = resting.split_off(36);
        let mute = resting.split_off(32);
        let id = child.id().expect("it runs").to_string();
        assert!(Command::new("kill").args(["-TERM", &id]).status().await.expect("kill runs").success());
        let asked = resting.into_iter().enumerate().map(async |(n, mut wire)| {
            sleep(Duration::from_millis(n as u64 * 25)).await;
            let id = format!("end-{n}");
            served(&mut wire, &id).await.then_some(id)
        });
        let silent = join_all(silent.into_iter().map(async |mut wire| wire.whole_end().await));
        let (taken, silent, ended) = tokio::join!(join_all(asked), silent, child.wait());
        assert!(ended.expect("it ends").success());
        assert!(silent.iter().all(|end| end.as_deref() == Some("")), "{silent:?}");
        let mut taken: Vec<String> = taken.into_iter().flatten().collect();
        println!("{} served", taken.len());
        assert!((1..32).contains(&taken.len()), "the early ones are served, the late ones are not");
        let mut seen = seen.lock().expect("no panic").clone();
        seen.sort();
        taken.sort();
        assert_eq!(seen, taken, "servers have got what was answered, once");
        for mut wire in mute {
            assert_eq!(wire.rest().await, "");
        }
    });
}

/// Connects and sends a whole request, without giving anybody else on this thread a turn.
fn asks(front: &str, id: &str) -> TcpStream {
    let mut stream = TcpStream::connect(front).expect("a connection");
    stream.write_all(platform_request(id, "book", 15_000, "{}").as_bytes()).expect("the system takes it");
    stream
}

/// Closes connections once the other side's system has their ends: on a busy machine these may come some time after the
/// bytes before them, and whoever reads those meanwhile has not been left yet.
fn all_gone(streams: Vec<TcpStream>) {
    streams.iter().for_each(|stream| drop(stream.shutdown(Shutdown::Write)));
    for stream in streams {
        while state(&stream) == FIN_WAIT1 {}
    }
}

/// The state in which the other side has not acknowledged the end (Linux's `TCP_FIN_WAIT1`).
const FIN_WAIT1: libc::c_int = 4;

/// Where the system stands with a connection.
#[allow(unsafe_code, reason = "only the system knows what the other side has acknowledged")]
fn state(stream: &TcpStream) -> libc::c_int {
    let (mut state, mut size) = ([0_u8; 1], 1);
    // SAFETY: the system writes at most so many bytes of its record, of which the first is the state.
    let told = unsafe {
        let to = (state.as_mut_ptr().cast(), &raw mut size);
        libc::getsockopt(stream.as_raw_fd(), libc::IPPROTO_TCP, libc::TCP_INFO, to.0, to.1)
    };
    assert_eq!(told, 0);
    state[0].into()
}

/// Failure: a crowd that had gone before it was heard is worked for.
#[test]
fn a_crowd_that_has_gone_has_asked_nothing() {
    story(async {
        let (list, seen) = servers(Peer::start().await, Peer::start().await);
        let conductor = Conductor::with_sockets(&list, 256).await;
        // As many as the system's queue surely has room for.
        for round in 0..4 {
            // A request behind another hides their client's end from hyper.
            let asks = |n| {
                let mut stream = asks(&conductor.front, &format!("flood-{round}-{n}"));
                if n % 2 == 0 {
                    let behind = platform_request(&format!("behind-{round}-{n}"), "book", 15_000, "{}");
                    stream.write_all(behind.as_bytes()).expect("the system takes it");
                }
                stream
            };
            all_gone((0..100).map(asks).collect());
            let id = format!("after-{round}");
            let mut client = conductor.ask(&id, "ask", 4000).await;
            assert!(client.rest_of_answer().await.starts_with("HTTP/1.1 200"));
            assert_eq!(std::mem::take(&mut *seen.lock().expect("no panic")), [id]);
        }
        while figure(&conductor.admin, "in_progress").await > 0 {}
    });
}

/// Failure: the close of a connection whose time is over reads a request for the last time, and does not see that its
/// client has gone.
#[test]
fn whoever_asks_and_goes_as_its_time_is_over_has_asked_nothing() {
    story(async {
        let (list, seen) = servers(Peer::start().await, Peer::start().await);
        let conductor = Conductor::with_sockets(&list, 256).await;
        let began = Instant::now();
        let mut mute: Vec<_> =
            (0..40).map(|_| TcpStream::connect(&conductor.front).expect("a connection")).collect();
        // Those who say nothing are closed after 2.2 s. Nobody else on this thread gets a turn around then.
        sleep(Duration::from_millis(2_080)).await;
        for (n, stream) in mute.iter_mut().enumerate() {
            let ask = |id: String| platform_request(&id, "book", 15_000, "{}");
            let asks = ask(format!("late-{n}")) + &ask(format!("behind-{n}"));
            let _ = stream.write_all(asks.as_bytes());
        }
        all_gone(mute);
        std::thread::sleep(Duration::from_millis(2_250).saturating_sub(began.elapsed()));
        let mut client = conductor.ask("after", "ask", 4000).await;
        assert!(client.rest_of_answer().await.starts_with("HTTP/1.1 200"));
        assert_eq!(*seen.lock().expect("no panic"), ["after"]);
    });
}

/// Failure: crowds that ask and go take the descriptors, leave requests open, or have a request sent twice.
#[test]
fn crowds_that_ask_and_go_leave_nothing_behind() {
    story(async {
        let (list, seen) = servers(Peer::start().await, Peer::start().await);
        let (front, admin, folder) = (nowhere(), nowhere(), Folder::new("races-flood"));
        let child = process(&list, 64, &front.address, &admin.address, &folder).await;
        let descriptors = format!("/proc/{}/fd", child.id().expect("it runs"));
        let most = Arc::new(AtomicUsize::new(0));
        let counts = most.clone();
        std::thread::spawn(move || {
            while let Ok(open) = std::fs::read_dir(&descriptors) {
                counts.fetch_max(open.filter(Result::is_ok).count(), Ordering::Relaxed);
                std::thread::sleep(Duration::from_micros(100));
            }
        });
        for n in 0..400 {
            drop(asks(&front.address, &format!("flood-{n}")));
            if n % 20 == 0 {
                // The servers of this thread get a turn.
                tokio::task::yield_now().await;
            }
        }
        let mut client = Wire::connect(&front.address).await;
        client.write(&platform_request("after", "ask", 4000, "{}")).await;
        assert!(client.rest_of_answer().await.starts_with("HTTP/1.1 200"));
        while figure(&admin.address, "in_progress").await > 0 {}
        let mut seen = seen.lock().expect("no panic").clone();
        let all = seen.len();
        seen.sort();
        seen.dedup();
        assert_eq!(seen.len(), all, "each is sent once at most");
        let most = most.load(Ordering::Relaxed);
        println!("{all} were sent on, {most} descriptors at most");
        assert!(most > 0 && most <= 64, "{most} descriptors");
    });
}
