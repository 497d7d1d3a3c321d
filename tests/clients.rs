//! Tests of clients that disconnect or cancel: no further work may be started for them, whatever bytes they have sent
//! before that. Also tests that idle clients don't use up the descriptors that discovery needs.

mod peers;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use milletseam::interface::*;
use milletseam::membership::{Cause, Generation, Member};
use milletseam::protocol::config::{Config, MachineLimits};
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

/// How a client leaves.
#[derive(Clone, Copy, Debug)]
enum Departure {
    Close,
    Reset,
    /// It shuts down its write side and may still read, which the server can't tell from a close.
    HalfClose,
}

const DEPARTURES: [Departure; 3] = [Departure::Close, Departure::Reset, Departure::HalfClose];

/// A client of the platform's front that may leave unread bytes at the server.
struct Client(TcpStream);

impl Client {
    async fn send(conductor: &Conductor, text: &str) -> Self {
        let mut stream = TcpStream::connect(&conductor.front).await.expect("a connection");
        stream.write_all(text.as_bytes()).await.expect("the other side reads");
        Client(stream)
    }

    /// Leaves in this way. Returns a half-closed client, which has to be kept for as long as it is to be able to read.
    async fn leave(mut self, departure: Departure) -> Option<Self> {
        match departure {
            Departure::Close => drop(self),
            Departure::Reset => {
                SockRef::from(&self.0).set_linger(Some(Duration::ZERO)).expect("an option");
                drop(self);
            }
            Departure::HalfClose => {
                self.0.shutdown().await.expect("it is open");
                return Some(self);
            }
        }
        None
    }
}

/// Waits until the server side of a client's connection is as expected, by the system's table of connections. The
/// expectation is given its state and its number of unread bytes, or `None` if the connection is not in the table.
async fn wait_for_socket(
    front: &str,
    client: std::net::SocketAddr,
    is_expected: impl Fn(Option<(&str, usize)>) -> bool,
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
        if is_expected(line.as_ref().map(|line| (line[3], unread(line[4]).expect("a number")))) {
            return;
        }
        tokio::task::yield_now().await;
    }
}

/// Returns requests with what the client pipelines behind them: nothing, a part of a further request, a complete one, and
/// more than the server reads in advance.
fn requests(id: &str) -> [String; 4] {
    let request = platform_request(id, "book", 15_000, "{}");
    let pipelined = platform_request(&format!("{id}-behind"), "book", 15_000, "{}");
    [
        request.clone(),
        format!("{request}POST /v1/chat/comp"),
        format!("{request}{pipelined}"),
        format!("{request}{}", pipelined.repeat(60)),
    ]
}

/// Starts a conductor for these servers, with changes to its configuration.
async fn start_conductor(servers: &[Value], change: impl FnOnce(&mut Value)) -> Conductor {
    let mut config = config(&telling_once(servers).await, servers);
    config["admin"] = json!("127.0.0.1:0");
    change(&mut config);
    Conductor::start_with(config, "").await
}

/// Guards against an attempt that continues, or a further one that is started, for a client that has left. Bytes that
/// are pipelined behind the request hide the end of the connection.
#[test]
fn client_departure_cancels_the_attempt_despite_pipelined_bytes() {
    story(async {
        let (mut reader, mut other_reader) = (Peer::start().await, Peer::start().await);
        let servers =
            [member("s-r", &reader.address, "reader"), member("s-o", &other_reader.address, "reader")];
        let conductor = start_conductor(&servers, |_| {}).await;
        for (n, departure) in DEPARTURES.into_iter().enumerate() {
            for (m, request) in requests(&format!("g{n}")).into_iter().enumerate() {
                let request = request.replace(&format!("g{n}"), &format!("g{n}-{m}"));
                let client = Client::send(&conductor, &request).await;
                let mut seen = tokio::select! {
                    seen = reader.next() => seen,
                    seen = other_reader.next() => seen,
                };
                let departed = Stopwatch::start();
                let _half_closed = client.leave(departure).await;
                assert_eq!(seen.wire.rest().await, "", "the attempt is closed: {departure:?}, {m}");
                assert!(
                    departed.elapsed() < Duration::from_secs(1),
                    "{:?}: {departure:?}, {m}",
                    departed.elapsed()
                );
                let release = format!("DELETE /kv/leases/g{n}-{m} ");
                // A state that a read may have left is released twice.
                while !tokio::select! {
                    head = reader.next_release() => head,
                    head = other_reader.next_release() => head,
                }
                .starts_with(&release)
                {}
            }
        }
        // Any request started for the clients above would arrive before this one.
        let _marker = conductor.ask("marker", "ask", 4000).await;
        let seen = tokio::select! {
            seen = reader.next() => seen,
            seen = other_reader.next() => seen,
        };
        assert!(seen.head.contains("marker"), "{}", seen.head);
        assert_eq!(reader.unseen() + other_reader.unseen(), 0);
    });
}

/// Guards against starting a request whose client left before its connection was accepted, or while it was sending the
/// body.
#[test]
fn request_is_not_started_if_its_client_left_before_accept_or_during_the_body() {
    story(async {
        let (mut reader, mut writer) = (Peer::start().await, Peer::start().await);
        let servers = [member("s-r", &reader.address, "reader"), member("s-w", &writer.address, "writer")];
        let conductor = start_conductor(&servers, |config| config["limits"]["sockets"] = json!(64)).await;
        for (round, departure) in DEPARTURES.into_iter().enumerate() {
            // Answers that are being streamed take all of the clients' connections. A request without an answer yet would
            // be sent again on a slow machine.
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
            let mut half_closed = Vec::new();
            for (n, request) in requests("early").into_iter().enumerate() {
                let request = request.replace("early", &format!("early-{round}-{n}"));
                let client = Client::send(&conductor, &request).await;
                let address = client.0.local_addr().expect("an address");
                let whole = Some(("01", request.len()));
                wait_for_socket(&conductor.front, address, |socket| socket == whole).await;
                half_closed.push(client.leave(departure).await);
                wait_for_socket(&conductor.front, address, |socket| {
                    socket.is_none_or(|(state, _)| state != "01")
                })
                .await;
            }
            let half = platform_request(&format!("half-{round}"), "book", 15_000, "half a body")
                .replace("a body", "");
            half_closed.push(Client::send(&conductor, &half).await.leave(departure).await);
            for (client, mut seen) in open {
                drop(client);
                assert_eq!(seen.wire.rest().await, "", "it is closed");
            }
            let marker = conductor.ask(&format!("marker-{round}"), "book", 15_000).await;
            let mut seen = reader.next().await;
            assert!(seen.head.contains("marker"), "{departure:?}: {}", seen.head);
            drop((marker, half_closed));
            assert_eq!(seen.wire.rest().await, "", "it is closed");
            while figure(&conductor.admin, "in_progress").await > 0 {}
            assert_eq!(reader.unseen() + writer.unseen(), 0, "{departure:?}");
        }
    });
}

/// Guards against a request that still waits for the connection to its server after its client has left, and is sent
/// once that connection is established.
#[test]
fn request_is_not_sent_if_its_client_left_during_the_connect_to_its_server() {
    story(async {
        // The accept queue holds one connection and is full, so the system doesn't answer further connects.
        let socket = Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
        let any_port: std::net::SocketAddr = "127.0.0.1:0".parse().expect("an address");
        socket.bind(&any_port.into()).expect("a port");
        socket.listen(0).expect("it listens");
        let address = socket.local_addr().expect("an address").as_socket().expect("an address").to_string();
        let _queued = TcpStream::connect(&address).await.expect("a connection");
        let servers = [member("s-r", &address, "reader")];
        let conductor = start_conductor(&servers, |config| {
            config["settings"]["Limits"]["ConnectTimeoutMs"] = json!(15_000.0);
            config["settings"]["Limits"]["Probes"] = json!(false);
            config["settings"]["Report"]["Source"] = json!("none");
        })
        .await;
        for (round, departure) in DEPARTURES.into_iter().enumerate() {
            for (n, request) in requests("hangs").into_iter().enumerate() {
                let request = request.replace("hangs", &format!("hangs-{round}-{n}"));
                let client = Client::send(&conductor, &request).await;
                while figure(&conductor.admin, "in_progress").await == 0 {}
                let departed = Stopwatch::start();
                let _half_closed = client.leave(departure).await;
                while figure(&conductor.admin, "in_progress").await > 0 {}
                assert!(
                    departed.elapsed() < Duration::from_secs(1),
                    "{:?}: {departure:?}",
                    departed.elapsed()
                );
            }
        }
        socket.set_nonblocking(true).expect("an option");
        let listener = tokio::net::TcpListener::from_std(socket.into()).expect("a listener");
        let _marker = conductor.ask("marker", "book", 15_000).await;
        loop {
            let (stream, _) = listener.accept().await.expect("a connection");
            let mut wire = Wire::of(stream);
            let received = tokio::time::timeout(Duration::from_millis(300), wire.until("\r\n\r\n")).await;
            if let Ok(Some(head)) = received {
                if head.contains("marker") {
                    break;
                }
                assert!(!head.contains("hangs") || head.starts_with("DELETE"), "{head}");
            }
        }
    });
}

/// Guards against starting a request, or sending it to a second server, for a client that has left while the message that
/// reports this to the hub is still queued behind many others.
#[test]
fn nothing_is_sent_for_a_departed_client_before_the_hub_is_notified() {
    story(async {
        let (mut reader, mut other_reader) = (Peer::start().await, Peer::start().await);
        let config = Config::parse(&config("", &[]).to_string()).expect("a configuration");
        let (settings, links) = (config.settings.settings().expect("settings"), config.settings.links());
        let (links, clock) = (links.expect("settings"), Clock::start());
        let mut core = Core::default();
        let pool = core.add_pool(settings, 7, clock.now()).expect("settings");
        let limits = MachineLimits { sockets: 256, memory_mb: 192.0 };
        let budget = Budget::new(limits, recovery::Socket::Own, clock);
        let clients = connector::Clients::new(links, &budget.peers);
        let (mut actor, hub) = hub::new(core, clock, budget);
        let names = config.settings.clone().names();
        let fields = names.report.clone().into();
        let context =
            PeerContext { pool, hub: hub.clone(), clients, links, dialect: Dialect::Platform, fields };
        actor.add_pool(context, names.classes);
        tokio::spawn(actor.run());
        let member = |id: u32, address: &str| Member {
            entry: ServerEntry { id: ServerId(id), ..ServerEntry::plain() },
            name: id.to_string().into(),
            address: address.into(),
        };
        let members = vec![member(1, &reader.address), member(2, &other_reader.address)];
        let list = Generation { number: 1, cause: Cause::Discovery, members, files: Default::default() };
        hub.send(Message::List(pool, Arc::new(list))).await;
        // Submits requests as a handler does, but the message that their clients have left is never sent.
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
                memory: None,
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
            seen = other_reader.next() => seen,
        };
        assert!(seen.head.contains("between"), "{}", seen.head);
        drop(answer);
        seen.answer("503 Service Unavailable", "X-Unprocessed: 1\r\n", "").await;
        while hub.counters().await.totals.open > 0 {}
        let (message, _answer) = request(3, "marker");
        hub.send(message).await;
        let seen = tokio::select! {
            seen = reader.next() => seen,
            seen = other_reader.next() => seen,
        };
        assert!(seen.head.contains("marker"), "{}", seen.head);
        assert_eq!(reader.unseen() + other_reader.unseen(), 0);
        let totals = hub.counters().await.totals;
        assert_eq!((totals.taken, totals.gone, totals.open), (2, 1, 1), "{totals:?}");
    });
}

/// Tracks the largest number of descriptors that a process holds, for as long as the process runs.
fn track_max_descriptors(child: &Child) -> Arc<AtomicUsize> {
    let directory = format!("/proc/{}/fd", child.id().expect("it runs"));
    let max_descriptors = Arc::new(AtomicUsize::new(0));
    let tracked = max_descriptors.clone();
    // A thread of its own, so that it samples the process at any time, also while that handles events.
    std::thread::spawn(move || {
        while let Ok(open) = std::fs::read_dir(&directory) {
            tracked.fetch_max(open.filter(Result::is_ok).count(), Ordering::Relaxed);
            std::thread::sleep(Duration::from_micros(100));
        }
    });
    max_descriptors
}

/// Guards against idle clients and callers of the operators' address that take the descriptors that discovery needs: its
/// return would be noticed late or never, or new clients would not be served.
#[test]
fn discovery_is_heard_again_while_idle_clients_hold_all_client_connections() {
    story(discovery_returns_while_connections_are_exhausted(64, "exec \"$0\""));
}

/// Guards against clients that take all descriptors where the configuration allows more of them than the system does.
#[test]
fn descriptor_budget_is_split_from_the_system_limit_if_that_is_lower() {
    story(discovery_returns_while_connections_are_exhausted(1024, "ulimit -n 64 && exec \"$0\""));
}

/// Clients and operators' callers use up the connections of a program with 64 descriptors while discovery is silent. Then
/// discovery returns.
async fn discovery_returns_while_connections_are_exhausted(sockets: usize, start: &str) {
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
    // Discovery doesn't answer its calls.
    let mut silent = vec![discovery.next().await];
    // Until the system has started the program, the process shows the descriptors of the test.
    let max_descriptors = track_max_descriptors(&child);
    let up = "GET /up HTTP/1.1\r\nHost: x\r\n\r\n";
    loop {
        let mut wire = Wire::connect(&front.address).await;
        wire.write(up).await;
        if wire.until("\r\n").await.expect("an answer").contains("200") {
            break;
        }
    }
    let (mut idle_clients, mut callers) = (Vec::new(), Vec::new());
    for n in 0..80 {
        let mut wire = Wire::connect(&front.address).await;
        if n % 2 == 0 {
            wire.write(up).await;
            wire.until("\r\n\r\n").await.expect("an answer");
        }
        idle_clients.push(wire);
        callers.push(Wire::connect(&admin.address).await);
    }
    // More at once than are ever accepted.
    let connects = (0..200).map(|_| TcpStream::connect(&admin.address));
    callers.extend(
        futures_util::future::join_all(connects)
            .await
            .into_iter()
            .map(|s| Wire::of(s.expect("a connection"))),
    );
    let mut client = Wire::connect(&front.address).await;
    client.write(&platform_request("c1", "ask", 4000, "{}")).await;
    old.next().await.answer("202 Accepted", "", "{}").await;
    let mut seen = writer.next().await;
    seen.begin().await;
    seen.chunk("data: [DONE]\n\n").await;
    seen.end().await;
    seen.go_on();
    assert!(client.rest_of_answer().await.starts_with("HTTP/1.1 200"));
    // Discovery returns, and lists another server instead of the first one.
    let since_return = Stopwatch::start();
    let mut draining = member("s-old", &old.address, "reader");
    draining["phase"] = json!("terminating");
    let servers = [draining, member("s-new", &new.address, "reader"), servers[1].clone()];
    let full_list = list(9, true, &servers).to_string();
    let mut watch = discovery.next().await;
    watch.answer("200 OK", "", &full_list).await;
    let (head, _) = watch.wire.message().await.expect("the watch continues");
    assert!(head.contains("from=9"), "{head}");
    assert!(since_return.elapsed() < Duration::from_secs(6), "{:?}", since_return.elapsed());
    let mut client = Wire::connect(&front.address).await;
    client.write(&platform_request("c2", "ask", 4000, "{}")).await;
    assert!(new.next().await.head.contains("c2"));
    assert_eq!(old.unseen(), 0, "the server is draining");
    let mut wire = Wire::connect(&admin.address).await;
    wire.write("GET /healthcheck HTTP/1.1\r\nHost: x\r\n\r\n").await;
    assert!(wire.rest().await.starts_with("HTTP/1.1 200"));
    let max_descriptors = max_descriptors.load(Ordering::Relaxed);
    println!("{max_descriptors} descriptors at most");
    assert!(max_descriptors <= 64, "{max_descriptors} descriptors");
    drop((idle_clients, callers, silent.pop()));
}

/// No attempt may be started later than this after the client has left (the operators' requirement).
const CANCEL_WITHIN: Duration = Duration::from_millis(100);

/// Starts a server that answers nothing, not even probes. Returns its address and a channel of the heads that arrive.
async fn server_without_reports() -> (String, mpsc::UnboundedReceiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    let (sender, heads) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let sender = sender.clone();
            tokio::spawn(async move {
                let mut wire = Wire::of(stream);
                if let Some((head, _)) = wire.message().await {
                    let _ = sender.send(head);
                }
                let _ = wire.rest().await;
            });
        }
    });
    (address, heads)
}

/// Guards against sending a request that waited for a probe's report after its client has left.
#[test]
fn request_is_not_sent_if_its_client_left_while_a_probe_is_pending() {
    story(async {
        let ((first, mut first_heads), (second, mut second_heads)) =
            (server_without_reports().await, server_without_reports().await);
        let servers = [member("s-1", &first, "reader"), member("s-2", &second, "reader")];
        let conductor = start_conductor(&servers, |_| {}).await;
        for (n, departure) in DEPARTURES.into_iter().enumerate() {
            let request = platform_request(&format!("c{n}"), "ask", 4000, "{}");
            let client = Client::send(&conductor, &request).await;
            let probe = tokio::select! {
                head = first_heads.recv() => head,
                head = second_heads.recv() => head,
            };
            assert!(probe.expect("it runs").starts_with("GET "), "a probe is sent first");
            let _half_closed = client.leave(departure).await;
            // A request waits up to 75 ms for the report.
            sleep(CANCEL_WITHIN).await;
            let arrived =
                std::iter::from_fn(|| first_heads.try_recv().or_else(|_| second_heads.try_recv()).ok());
            let posts: Vec<String> = arrived.filter(|head| head.starts_with("POST ")).collect();
            assert_eq!(posts, Vec::<String>::new(), "{departure:?}");
            assert_eq!(figure(&conductor.admin, "in_progress").await, 0, "{departure:?}");
        }
        // A request whose client stays is sent.
        let _stays = conductor.ask("stays", "ask", 4000).await;
        loop {
            let head = tokio::select! {
                head = first_heads.recv() => head,
                head = second_heads.recv() => head,
            };
            if head.expect("it runs").starts_with("POST ") {
                break;
            }
        }
    });
}

/// Guards against starting a request that waited for a server to be listed after its client has left.
#[test]
fn request_is_not_started_by_a_new_server_if_its_client_left_before() {
    story(async {
        let (mut reader, writer) = (Peer::start().await, Peer::start().await);
        let writer = member("s-w", &writer.address, "writer");
        let with_reader = [member("s-r", &reader.address, "reader"), writer.clone()];
        let mut discovery = Scripted::start(Manner::works(1, std::slice::from_ref(&writer))).await;
        let mut config = config(&discovery.address, std::slice::from_ref(&writer));
        config["admin"] = json!("127.0.0.1:0");
        let conductor = Conductor::start_with(config, "").await;
        let mut half_closed = Vec::new();
        for (n, departure) in DEPARTURES.into_iter().enumerate() {
            let request = platform_request(&format!("c{n}"), "ask", 4000, "{}");
            let client = Client::send(&conductor, &request).await;
            while figure(&conductor.admin, "in_progress").await == 0 {}
            half_closed.push(client.leave(departure).await);
        }
        sleep(CANCEL_WITHIN).await;
        assert_eq!(figure(&conductor.admin, "in_progress").await, 0);
        let _stays = conductor.ask("stays", "ask", 4000).await;
        while figure(&conductor.admin, "in_progress").await == 0 {}
        discovery.manner.send_replace(Manner::works(2, &with_reader));
        discovery.next_with("?from=2&").await;
        let seen = reader.next().await;
        assert!(seen.head.contains("stays"), "{}", seen.head);
        sleep(CANCEL_WITHIN).await;
        assert_eq!(reader.unseen(), 0);
    });
}

/// Guards against work that continues at tool servers, or a further attempt that is started, for a caller that has closed
/// its connection or cancelled the call.
#[test]
fn closing_or_cancelling_a_call_stops_the_work_at_tool_servers() {
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
                let departed = Stopwatch::start();
                if cancels {
                    let cancel = json!({"jsonrpc": "2.0", "method": "notifications/cancelled", "params": {"requestId": "mine"}});
                    let mut wire = conductor.post("X-Session-Key: s1\r\n", &cancel.to_string()).await;
                    assert!(wire.until("\r\n\r\n").await.is_some_and(|head| head.contains(" 202 ")));
                    let answer = client.event().await.expect("the call's only answer");
                    assert!(answer["error"].is_object(), "{answer}");
                } else {
                    drop(client);
                }
                assert_eq!(seen.wire.rest().await, "", "the attempt is closed");
                assert!(
                    departed.elapsed() < CANCEL_WITHIN,
                    "{:?}: {tool}, cancels: {cancels}",
                    departed.elapsed()
                );
                sleep(CANCEL_WITHIN).await;
                assert_eq!(a.unseen() + b.unseen(), 0, "{tool}, cancels: {cancels}");
            }
        }
    });
}
