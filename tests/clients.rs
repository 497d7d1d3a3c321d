//! Stories of clients that go: whatever they leave behind, nothing is begun for them any more.

mod peers;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use milletseam::interface::*;
use milletseam::membership::{Cause, Generation, Member};
use milletseam::protocol::config::Config;
use milletseam::recovery;
use milletseam::routing::{Admission, Core};
use milletseam::transport::budget::Budget;
use milletseam::transport::clock::Clock;
use milletseam::transport::hub::{self, message::*};
use milletseam::transport::peer::{Dialect, PeerContext, connector};
use peers::scripted::{Manner, Scripted};
use peers::stopwatch::Stopwatch;
use peers::*;
use serde_json::{Value, json};
use socket2::{SockRef, Socket};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::process::{Child, Command};
use tokio::sync::{mpsc, oneshot};
use tokio::time::sleep;

/// How a client goes.
#[derive(Clone, Copy, Debug)]
enum Going {
    Closes,
    Resets,
    /// It may still read, but nobody can tell that from a close.
    ShutsItsSide,
}

const GOINGS: [Going; 3] = [Going::Closes, Going::Resets, Going::ShutsItsSide];

/// A client of the platform's front that leaves unread bytes behind.
struct Client(TcpStream);

impl Client {
    async fn send(conductor: &Conductor, text: &str) -> Self {
        let mut stream = TcpStream::connect(&conductor.front).await.expect("a connection");
        stream.write_all(text.as_bytes()).await.expect("the other side reads");
        Client(stream)
    }

    /// Goes; what is left of it has to be kept for as long as it may still read.
    async fn go(mut self, going: Going) -> Option<Self> {
        match going {
            Going::Closes => drop(self),
            Going::Resets => {
                SockRef::from(&self.0).set_linger(Some(Duration::ZERO)).expect("an option");
                drop(self);
            }
            Going::ShutsItsSide => {
                self.0.shutdown().await.expect("it is open");
                return Some(self);
            }
        }
        None
    }
}

/// Waits for what the system has of a client's connection to a port: its state, and how many bytes stand unread.
async fn until_system(
    front: &str,
    client: std::net::SocketAddr,
    holds: impl Fn(Option<(&str, usize)>) -> bool,
) {
    let port = |text: &str| u16::from_str_radix(text.rsplit(':').next()?, 16).ok();
    let front: std::net::SocketAddr = front.parse().expect("an address");
    loop {
        let table = std::fs::read_to_string("/proc/net/tcp").expect("the table of connections");
        let lines = table.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
        let mut ours =
            lines.filter(|line| port(line[1]) == Some(front.port()) && port(line[2]) == Some(client.port()));
        let unread = |text: &str| usize::from_str_radix(text.rsplit(':').next()?, 16).ok();
        let line = ours.next();
        if holds(line.as_ref().map(|line| (line[3], unread(line[4]).expect("a number")))) {
            return;
        }
        tokio::task::yield_now().await;
    }
}

/// A request, and what its client has sent behind it: nothing, a part of a further one, a whole one, or more than
/// anybody reads ahead.
fn requests(id: &str) -> [String; 4] {
    let asks = platform_request(id, "book", 15_000, "{}");
    let behind = platform_request(&format!("{id}-behind"), "book", 15_000, "{}");
    [
        asks.clone(),
        format!("{asks}POST /v1/chat/comp"),
        format!("{asks}{behind}"),
        format!("{asks}{}", behind.repeat(60)),
    ]
}

/// A conductor before these servers, with what else its configuration is to be.
async fn conductor(servers: &[Value], change: impl FnOnce(&mut Value)) -> Conductor {
    let mut config = config(&telling_once(servers).await, servers);
    config["admin"] = json!("127.0.0.1:0");
    change(&mut config);
    Conductor::start_with(config, "").await
}

/// Failure: an attempt goes on, or a further one begins, for a client that has gone while bytes behind its request
/// hide its end.
#[test]
fn whoever_goes_during_an_attempt_ends_it_whatever_stands_behind_the_request() {
    story(async {
        let (mut reader, mut other) = (Peer::start().await, Peer::start().await);
        let servers = [member("s-r", &reader.address, "reader"), member("s-o", &other.address, "reader")];
        let conductor = conductor(&servers, |_| {}).await;
        for (n, going) in GOINGS.into_iter().enumerate() {
            for (m, request) in requests(&format!("g{n}")).into_iter().enumerate() {
                let request = request.replace(&format!("g{n}"), &format!("g{n}-{m}"));
                let client = Client::send(&conductor, &request).await;
                let mut seen = tokio::select! {
                    seen = reader.next() => seen,
                    seen = other.next() => seen,
                };
                let went = Stopwatch::start();
                let _left = client.go(going).await;
                assert_eq!(seen.wire.rest().await, "", "the attempt is closed: {going:?}, {m}");
                assert!(went.elapsed() < Duration::from_secs(1), "{:?}: {going:?}, {m}", went.elapsed());
                let release = format!("DELETE /kv/leases/g{n}-{m} ");
                // What a read may have left is let go of twice.
                while !tokio::select! {
                    head = reader.next_release() => head,
                    head = other.next_release() => head,
                }
                .starts_with(&release)
                {}
            }
        }
        // Whatever had been begun for them would have come before this one.
        let _marker = conductor.ask("marker", "ask", 4000).await;
        let seen = tokio::select! {
            seen = reader.next() => seen,
            seen = other.next() => seen,
        };
        assert!(seen.head.contains("marker"), "{}", seen.head);
        assert_eq!(reader.unseen() + other.unseen(), 0);
    });
}

/// Failure: a request is begun whose client had gone before its connection was taken, or amid its body.
#[test]
fn whoever_has_gone_before_its_connection_is_taken_or_amid_its_body_has_asked_nothing() {
    story(async {
        let (mut reader, mut writer) = (Peer::start().await, Peer::start().await);
        let servers = [member("s-r", &reader.address, "reader"), member("s-w", &writer.address, "writer")];
        let conductor = conductor(&servers, |config| config["limits"]["sockets"] = json!(64)).await;
        for (round, going) in GOINGS.into_iter().enumerate() {
            // All places for clients are taken by answers that go on: a request without one would be sent anew on a
            // slow machine.
            let mut open = Vec::new();
            for n in 0..12 {
                let mut client = conductor.ask(&format!("open-{round}-{n}"), "book", 15_000).await;
                let mut seen = reader.next().await;
                seen.answer("202 Accepted", "", r#"{"cached_tokens":0}"#).await;
                seen.go_on();
                let mut seen = writer.next().await;
                seen.begin().await;
                seen.chunk("data: 1\n\n").await;
                client.until("data: 1\n\n").await.expect("an event");
                open.push((client, seen));
            }
            let mut left = Vec::new();
            for (n, request) in requests("early").into_iter().enumerate() {
                let request = request.replace("early", &format!("early-{round}-{n}"));
                let client = Client::send(&conductor, &request).await;
                let address = client.0.local_addr().expect("an address");
                let whole = Some(("01", request.len()));
                until_system(&conductor.front, address, |found| found == whole).await;
                left.push(client.go(going).await);
                until_system(&conductor.front, address, |found| found.is_none_or(|(state, _)| state != "01"))
                    .await;
            }
            let half = platform_request(&format!("half-{round}"), "book", 15_000, "half a body")
                .replace("a body", "");
            left.push(Client::send(&conductor, &half).await.go(going).await);
            for (client, mut seen) in open {
                drop(client);
                assert_eq!(seen.wire.rest().await, "", "it is closed");
            }
            let marker = conductor.ask(&format!("marker-{round}"), "book", 15_000).await;
            let mut seen = reader.next().await;
            assert!(seen.head.contains("marker"), "{going:?}: {}", seen.head);
            drop((marker, left));
            assert_eq!(seen.wire.rest().await, "", "it is closed");
            while figure(&conductor.admin, "in_progress").await > 0 {}
            assert_eq!(reader.unseen() + writer.unseen(), 0, "{going:?}");
        }
    });
}

/// Failure: a request whose client has gone waits on for a connection to its server, and is sent once that comes up.
#[test]
fn whoever_goes_while_the_servers_connection_does_not_come_up_is_not_sent_on() {
    story(async {
        // A queue of one connection, which is full: the system answers no other.
        let socket = Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
        let any: std::net::SocketAddr = "127.0.0.1:0".parse().expect("an address");
        socket.bind(&any.into()).expect("a port");
        socket.listen(0).expect("it listens");
        let address = socket.local_addr().expect("an address").as_socket().expect("an address").to_string();
        let _full = TcpStream::connect(&address).await.expect("a connection");
        let servers = [member("s-r", &address, "reader")];
        let conductor = conductor(&servers, |config| {
            config["settings"]["Limits"]["ConnectTimeoutMs"] = json!(15_000.0);
            config["settings"]["Limits"]["Probes"] = json!(false);
            config["settings"]["Report"]["Source"] = json!("none");
        })
        .await;
        for (round, going) in GOINGS.into_iter().enumerate() {
            for (n, request) in requests("hangs").into_iter().enumerate() {
                let request = request.replace("hangs", &format!("hangs-{round}-{n}"));
                let client = Client::send(&conductor, &request).await;
                while figure(&conductor.admin, "in_progress").await == 0 {}
                let went = Stopwatch::start();
                let _left = client.go(going).await;
                while figure(&conductor.admin, "in_progress").await > 0 {}
                assert!(went.elapsed() < Duration::from_secs(1), "{:?}: {going:?}", went.elapsed());
            }
        }
        socket.set_nonblocking(true).expect("an option");
        let listener = tokio::net::TcpListener::from_std(socket.into()).expect("a listener");
        let _marker = conductor.ask("marker", "book", 15_000).await;
        loop {
            let (stream, _) = listener.accept().await.expect("a connection");
            let mut wire = Wire::of(stream);
            let heard = tokio::time::timeout(Duration::from_millis(300), wire.until("\r\n\r\n")).await;
            if let Ok(Some(head)) = heard {
                if head.contains("marker") {
                    break;
                }
                assert!(!head.contains("hangs") || head.starts_with("DELETE"), "{head}");
            }
        }
    });
}

/// Failure: a request is begun, or sent to a second server, for a client of which the module has not been told yet
/// that it has gone, as that message stands behind many others.
#[test]
fn for_whoever_has_gone_nothing_is_begun_before_the_message_that_says_so() {
    story(async {
        let (mut reader, mut other) = (Peer::start().await, Peer::start().await);
        let config = Config::parse(&config("", &[]).to_string()).expect("a configuration");
        let (settings, links) = (config.settings.settings().expect("settings"), config.settings.links());
        let (links, clock) = (links.expect("settings"), Clock::start());
        let mut core = Core::default();
        let pool = core.add_pool(settings, 7, clock.now()).expect("settings");
        let budget = Budget::new(256, recovery::Socket::Own, clock);
        let clients = connector::Clients::new(links, &budget.peers);
        let (mut actor, hub) = hub::new(core, clock, budget);
        let names = config.settings.clone().names();
        let fields = names.report.clone().into();
        let common =
            PeerContext { pool, hub: hub.clone(), clients, links, dialect: Dialect::Platform, fields };
        actor.add_pool(common, names.classes);
        tokio::spawn(actor.run());
        let member = |id: u32, address: &str| Member {
            entry: ServerEntry { id: ServerId(id), ..ServerEntry::plain() },
            name: id.to_string().into(),
            address: address.into(),
        };
        let members = vec![member(1, &reader.address), member(2, &other.address)];
        let list = Generation { number: 1, cause: Cause::Discovery, members, files: Default::default() };
        hub.send(Message::List(pool, Arc::new(list))).await;
        // As a handler hands requests in, but the message that their clients have gone never comes.
        let request = |number: u8, id: &str| {
            let (reply, answer) = oneshot::channel();
            let head = platform_request(id, "ask", 4000, "{}");
            let headers = [("x-correlation-id", id)].map(|(name, value)| {
                (http::HeaderName::from_static(name), http::HeaderValue::from_str(value).expect("a header"))
            });
            let payload = Payload {
                id: id.to_string(),
                method: http::Method::POST,
                path: head.split(' ').nth(1).expect("a path").to_string(),
                headers: headers.into_iter().collect(),
                body: "{}".into(),
            };
            let request = Request { id: RequestId([number; 36]), prompt_tokens: 800, ..Request::plain() };
            let admission = Admission { pool, request, time_left: 4_000_000 };
            (Message::Request(Box::new(admission), Arc::new(payload), reply), answer)
        };
        let (message, answer) = request(1, "never");
        drop(answer);
        hub.send(message).await;
        let (message, answer) = request(2, "between");
        hub.send(message).await;
        let mut seen = tokio::select! {
            seen = reader.next() => seen,
            seen = other.next() => seen,
        };
        assert!(seen.head.contains("between"), "{}", seen.head);
        drop(answer);
        seen.answer("503 Service Unavailable", "X-Unprocessed: 1\r\n", "").await;
        while hub.counters().await.totals.open > 0 {}
        let (message, _answer) = request(3, "marker");
        hub.send(message).await;
        let seen = tokio::select! {
            seen = reader.next() => seen,
            seen = other.next() => seen,
        };
        assert!(seen.head.contains("marker"), "{}", seen.head);
        assert_eq!(reader.unseen() + other.unseen(), 0);
        let totals = hub.counters().await.totals;
        assert_eq!((totals.taken, totals.gone, totals.open), (2, 1, 1), "{totals:?}");
    });
}

/// Follows how many descriptors a process holds, for as long as the process runs.
fn most_descriptors(child: &Child) -> Arc<AtomicUsize> {
    let folder = format!("/proc/{}/fd", child.id().expect("it runs"));
    let most = Arc::new(AtomicUsize::new(0));
    let seen = most.clone();
    // A thread of its own, so that it sees the process amid its turns.
    std::thread::spawn(move || {
        while let Ok(open) = std::fs::read_dir(&folder) {
            seen.fetch_max(open.filter(Result::is_ok).count(), Ordering::Relaxed);
            std::thread::sleep(Duration::from_micros(100));
        }
    });
    most
}

/// Failure: clients that connect and rest, and callers of the operators' address, take the descriptors that discovery
/// needs; its return is heard late or never, or newcomers are not served.
#[test]
fn with_all_places_taken_by_resting_clients_the_return_of_discovery_is_heard() {
    story(discovery_returns_to_a_full_house(64, "exec \"$0\""));
}

/// Failure: the configuration allows more descriptors than the system, and clients take all that there are.
#[test]
fn where_the_system_allows_fewer_descriptors_that_is_what_is_split() {
    story(discovery_returns_to_a_full_house(1024, "ulimit -n 64 && exec \"$0\""));
}

/// Clients and callers fill a program with 64 descriptors while discovery is silent; then that returns.
async fn discovery_returns_to_a_full_house(sockets: usize, start: &str) {
    let (mut old, mut new, mut writer) = (Peer::start().await, Peer::start().await, Peer::start().await);
    let mut discovery = Peer::start().await;
    let (front, admin, folder) = (nowhere(), nowhere(), Folder::new(&format!("idle-{sockets}")));
    let servers = [member("s-old", &old.address, "reader"), member("s-w", &writer.address, "writer")];
    let mut config = config(&discovery.address, &servers);
    (config["listen"], config["admin"]) = (json!(front.address), json!(admin.address));
    config["limits"]["sockets"] = json!(sockets);
    let child = Command::new("/bin/sh")
        .args(["-c", start, env!("CARGO_BIN_EXE_birchspur")])
        .env("LB_CONFIG", folder.write("config.json", &config.to_string()))
        .kill_on_drop(true)
        .spawn()
        .expect("it starts");
    let most = most_descriptors(&child);
    // It is silent to whoever calls.
    let mut silent = vec![discovery.next().await];
    let up = "GET /up HTTP/1.1\r\nHost: x\r\n\r\n";
    loop {
        let mut wire = Wire::connect(&front.address).await;
        wire.write(up).await;
        if wire.until("\r\n").await.expect("an answer").contains("200") {
            break;
        }
    }
    let (mut resting, mut callers) = (Vec::new(), Vec::new());
    for n in 0..80 {
        let mut wire = Wire::connect(&front.address).await;
        if n % 2 == 0 {
            wire.write(up).await;
            wire.until("\r\n\r\n").await.expect("an answer");
        }
        resting.push(wire);
        callers.push(Wire::connect(&admin.address).await);
    }
    // More at once than are ever taken.
    let all = (0..200).map(|_| TcpStream::connect(&admin.address));
    callers.extend(futures_util::future::join_all(all).await.into_iter().map(|s| Wire::of(s.expect("room"))));
    let mut asks = Wire::connect(&front.address).await;
    asks.write(&platform_request("c1", "ask", 4000, "{}")).await;
    old.next().await.answer("202 Accepted", "", "{}").await;
    let mut seen = writer.next().await;
    seen.begin().await;
    seen.chunk("data: [DONE]\n\n").await;
    seen.end().await;
    seen.go_on();
    assert!(asks.rest_of_answer().await.starts_with("HTTP/1.1 200"));
    // Discovery returns, with another server in the place of the first one.
    let returned = Stopwatch::start();
    let mut gone = member("s-old", &old.address, "reader");
    gone["phase"] = json!("terminating");
    let servers = [gone, member("s-new", &new.address, "reader"), servers[1].clone()];
    let whole = list(9, true, &servers).to_string();
    let mut call = discovery.next().await;
    call.answer("200 OK", "", &whole).await;
    let (head, _) = call.wire.message().await.expect("the watch goes on");
    assert!(head.contains("from=9"), "{head}");
    assert!(returned.elapsed() < Duration::from_secs(6), "{:?}", returned.elapsed());
    let mut asks = Wire::connect(&front.address).await;
    asks.write(&platform_request("c2", "ask", 4000, "{}")).await;
    assert!(new.next().await.head.contains("c2"));
    assert_eq!(old.unseen(), 0, "it drains");
    let mut wire = Wire::connect(&admin.address).await;
    wire.write("GET /healthcheck HTTP/1.1\r\nHost: x\r\n\r\n").await;
    assert!(wire.rest().await.starts_with("HTTP/1.1 200"));
    let most = most.load(Ordering::Relaxed);
    println!("{most} descriptors at most");
    assert!(most <= 64, "{most} descriptors");
    drop((resting, callers, silent.pop()));
}

/// What a request is owed once its client has gone: no attempt begins later than this (the operators' term).
const GONE_WITHIN: Duration = Duration::from_millis(100);

/// A server that leaves probes unanswered; tells of each, and of each request by its head.
async fn without_reports() -> (String, mpsc::UnboundedReceiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    let (tell, told) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let tell = tell.clone();
            tokio::spawn(async move {
                let mut wire = Wire::of(stream);
                if let Some((head, _)) = wire.message().await {
                    let _ = tell.send(head);
                }
                let _ = wire.rest().await;
            });
        }
    });
    (address, told)
}

/// Failure: a request that waits for the report of a probe is sent although its client has gone meanwhile.
#[test]
fn whoever_goes_while_a_probe_is_out_is_not_sent_on() {
    story(async {
        let ((first, mut at_first), (second, mut at_second)) =
            (without_reports().await, without_reports().await);
        let servers = [member("s-1", &first, "reader"), member("s-2", &second, "reader")];
        let conductor = conductor(&servers, |_| {}).await;
        for (n, going) in GOINGS.into_iter().enumerate() {
            let asks = platform_request(&format!("c{n}"), "ask", 4000, "{}");
            let client = Client::send(&conductor, &asks).await;
            let probe = tokio::select! {
                head = at_first.recv() => head,
                head = at_second.recv() => head,
            };
            assert!(probe.expect("it runs").starts_with("GET "), "a probe comes first");
            let _left = client.go(going).await;
            // The report is waited for up to 75 ms.
            sleep(GONE_WITHIN).await;
            let came = std::iter::from_fn(|| at_first.try_recv().or_else(|_| at_second.try_recv()).ok());
            let posts: Vec<String> = came.filter(|head| head.starts_with("POST ")).collect();
            assert_eq!(posts, Vec::<String>::new(), "{going:?}");
            assert_eq!(figure(&conductor.admin, "in_progress").await, 0, "{going:?}");
        }
        // Whoever stays is sent on.
        let _stays = conductor.ask("stays", "ask", 4000).await;
        loop {
            let head = tokio::select! {
                head = at_first.recv() => head,
                head = at_second.recv() => head,
            };
            if head.expect("it runs").starts_with("POST ") {
                break;
            }
        }
    });
}

/// Failure: a request that waits for a server to be there is begun although its client has gone meanwhile.
#[test]
fn whoever_goes_while_no_server_is_there_is_not_begun_once_one_comes() {
    story(async {
        let (mut reader, writer) = (Peer::start().await, Peer::start().await);
        let writer = member("s-w", &writer.address, "writer");
        let with_reader = [member("s-r", &reader.address, "reader"), writer.clone()];
        let mut discovery = Scripted::start(Manner::works(1, std::slice::from_ref(&writer))).await;
        let mut config = config(&discovery.address, std::slice::from_ref(&writer));
        config["admin"] = json!("127.0.0.1:0");
        let conductor = Conductor::start_with(config, "").await;
        let mut left = Vec::new();
        for (n, going) in GOINGS.into_iter().enumerate() {
            let asks = platform_request(&format!("c{n}"), "ask", 4000, "{}");
            let client = Client::send(&conductor, &asks).await;
            while figure(&conductor.admin, "in_progress").await == 0 {}
            left.push(client.go(going).await);
        }
        sleep(GONE_WITHIN).await;
        assert_eq!(figure(&conductor.admin, "in_progress").await, 0);
        let _stays = conductor.ask("stays", "ask", 4000).await;
        while figure(&conductor.admin, "in_progress").await == 0 {}
        discovery.manner.send_replace(Manner::works(2, &with_reader));
        discovery.next_with("?from=2&").await;
        let seen = reader.next().await;
        assert!(seen.head.contains("stays"), "{}", seen.head);
        sleep(GONE_WITHIN).await;
        assert_eq!(reader.unseen(), 0);
    });
}

/// Failure: work goes on at tool servers, or a further attempt begins, for a caller that has closed or cancelled.
#[test]
fn a_caller_that_closes_or_cancels_has_gone_for_the_tool_servers_too() {
    story(async {
        let (mut a, mut b) = (Peer::start().await, Peer::start().await);
        let servers = [member("t-a", &a.address, "tool"), member("t-b", &b.address, "tool")];
        let conductor = Conductor::start(&[], &operator(None, &servers)).await;
        for tool in ["wagon.position", "path.hold"] {
            for cancels in [false, true] {
                let mut client = conductor.call(json!("mine"), tool).await;
                let mut seen = tokio::select! {
                    seen = a.next() => seen,
                    seen = b.next() => seen,
                };
                let went = Stopwatch::start();
                if cancels {
                    let cancel = json!({"jsonrpc": "2.0", "method": "notifications/cancelled", "params": {"requestId": "mine"}});
                    let mut wire = conductor.post("X-Session-Key: s1\r\n", &cancel.to_string()).await;
                    assert!(wire.until("\r\n\r\n").await.is_some_and(|head| head.contains(" 202 ")));
                    let answer = client.event().await.expect("its one answer");
                    assert!(answer["error"].is_object(), "{answer}");
                } else {
                    drop(client);
                }
                assert_eq!(seen.wire.rest().await, "", "the attempt is closed");
                assert!(went.elapsed() < GONE_WITHIN, "{:?}: {tool}, cancels: {cancels}", went.elapsed());
                sleep(GONE_WITHIN).await;
                assert_eq!(a.unseen() + b.unseen(), 0, "{tool}, cancels: {cancels}");
            }
        }
    });
}
