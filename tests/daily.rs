//! Tests of everyday operation: operators' calls, metrics, listening errors and the replacement of the process.

mod peers;

use std::os::fd::OwnedFd;
use std::process::Stdio;

use peers::process::wait_until_healthy;
use peers::*;
use serde_json::{Value, json};
use tokio::process::{Child, Command};

/// Starts the program with a descriptor that it inherits as number 7.
fn start_program(config: &str, descriptor: OwnedFd, accept_fd: &str) -> Child {
    Command::new("/bin/sh")
        .args(["-c", "exec \"$0\" 7<&0 0</dev/null", env!("CARGO_BIN_EXE_birchspur")])
        .env("LB_CONFIG", config)
        .env("LB_ACCEPT_FD", accept_fd)
        // The folder of the test, which the processes of a replacement share.
        .env("TMPDIR", std::path::Path::new(config).parent().expect("a folder"))
        .stdin(descriptor)
        .stderr(Stdio::piped())
        .kill_on_drop(true)
        .spawn()
        .expect("it starts")
}

/// A listening socket that the test keeps open, as the platform does with the one for clients.
struct ListeningSocket {
    address: String,
    listener: std::net::TcpListener,
}

impl ListeningSocket {
    fn open() -> Self {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        ListeningSocket { address: listener.local_addr().expect("an address").to_string(), listener }
    }

    fn duplicate(&self) -> OwnedFd {
        self.listener.try_clone().expect("a descriptor").into()
    }
}

/// Sends a request without a body, and returns everything up to the end of the connection.
async fn call(address: &str, request_line: &str) -> String {
    let mut wire = Wire::connect(address).await;
    wire.write(&format!("{request_line} HTTP/1.1\r\nHost: x\r\n\r\n")).await;
    wire.rest().await
}

/// Returns the status line of the answer to `/up`.
async fn up(front: &str) -> String {
    let mut wire = Wire::connect(front).await;
    wire.write("GET /up HTTP/1.1\r\nHost: x\r\n\r\n").await;
    wire.until("\r\n").await.expect("an answer")
}

async fn terminate(child: &Child) {
    let id = child.id().expect("it runs").to_string();
    assert!(Command::new("kill").args(["-TERM", &id]).status().await.expect("kill runs").success());
}

/// Starts a discovery that answers calls for the list, and leaves watches for changes unanswered. Returns its address.
async fn start_discovery(servers: Vec<Value>) -> String {
    let mut discovery = Peer::start().await;
    let address = discovery.address.clone();
    tokio::spawn(async move {
        let mut silent = Vec::new();
        loop {
            let mut seen = discovery.next().await;
            if seen.head.starts_with("GET /discovery/hosts HTTP") {
                seen.answer("200 OK", "", &list(1, true, &servers).to_string()).await;
                seen.go_on();
            } else {
                silent.push(seen);
            }
        }
    });
    address
}

/// Guards against failures when a process is replaced: the second process finds the address in use or accepts clients
/// before it can serve, or the first one still accepts them after SIGTERM.
#[test]
fn process_is_replaced_on_a_shared_inherited_socket() {
    story(async {
        let (mut reader, mut writer) = (Peer::start().await, Peer::start().await);
        let servers = [member("s-r", &reader.address, "reader"), member("s-w", &writer.address, "writer")];
        let discovery = start_discovery(servers.to_vec()).await;
        let folder = Folder::new("replace");
        let socket = ListeningSocket::open();
        let (first_admin, second_admin) = (nowhere(), nowhere());
        let start = |admin: &Reserved, name: &str| {
            let mut config = config(&discovery, &servers);
            config["listen"] = json!(socket.address);
            config["admin"] = json!(admin.address);
            start_program(&folder.write(name, &config.to_string()), socket.duplicate(), "7")
        };
        let mut old_process = start(&first_admin, "old.json");
        wait_until_healthy(&first_admin.address).await;
        let mut open_client = Wire::connect(&socket.address).await;
        open_client.write(&platform_request("b1", "book", 9000, "{}")).await;
        let mut old_request = reader.next().await;

        let mut new_process = start(&second_admin, "new.json");
        wait_until_healthy(&second_admin.address).await;
        assert!(
            call(&first_admin.address, "GET /healthcheck").await.starts_with("HTTP/1.1 200"),
            "both processes serve"
        );
        terminate(&old_process).await;
        while !call(&first_admin.address, "GET /healthcheck").await.starts_with("HTTP/1.1 503") {}
        let mut late_client = Wire::connect(&socket.address).await;
        late_client.write(&platform_request("b2", "book", 9000, "{}")).await;
        let mut new_request = reader.next().await;
        for (seen, client) in [(&mut old_request, &mut open_client), (&mut new_request, &mut late_client)] {
            seen.answer("202 Accepted", "", "{}").await;
            let mut answer = writer.next().await;
            answer.begin().await;
            answer.chunk("data: [DONE]\n\n").await;
            answer.end().await;
            let answer = client.until("0\r\n\r\n").await.expect("a whole answer");
            assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        }
        assert!(old_process.wait().await.expect("it ends").success());
        assert_eq!(up(&socket.address).await, "HTTP/1.1 200 OK\r\n", "the second process serves");
        assert!(new_process.try_wait().expect("a state").is_none());
    });
}

/// Guards against a mistake in how the program is started that ends in a panic, or in listening at another address.
#[test]
fn unusable_listening_socket_is_reported_in_one_line() {
    story(async {
        let folder = Folder::new("listen");
        let file = || std::fs::File::open("/dev/null").expect("a file").into();
        let datagrams = || std::net::UdpSocket::bind("127.0.0.1:0").expect("a port").into();
        let connected = || {
            let socket = ListeningSocket::open();
            std::net::TcpStream::connect(&socket.address).expect("a connection").into()
        };
        let in_use = ListeningSocket::open();
        let cases: [(OwnedFd, &str, &str, &str); 7] = [
            (file(), "seven", "", "LB_ACCEPT_FD: 'seven' is not a descriptor number"),
            (file(), "1", "", "LB_ACCEPT_FD: '1' is not a descriptor number (3 or higher)"),
            (file(), "93", "", "LB_ACCEPT_FD: descriptor 93 is not open"),
            (file(), "7", "", "LB_ACCEPT_FD: descriptor 7 is not a listening stream socket"),
            (datagrams(), "7", "", "LB_ACCEPT_FD: descriptor 7 is not a listening stream socket"),
            (connected(), "7", "", "LB_ACCEPT_FD: descriptor 7 is not a listening stream socket"),
            (
                ListeningSocket::open().duplicate(),
                "7",
                &in_use.address,
                "'admin' in the configuration (or LB_ADMIN)",
            ),
        ];
        for (descriptor, accept_fd, admin, expected) in cases {
            let mut config = config("127.0.0.1:1", &[]);
            config["admin"] = json!(admin);
            let config = folder.write("config.json", &config.to_string());
            let ended =
                start_program(&config, descriptor, accept_fd).wait_with_output().await.expect("it ends");
            let stderr = String::from_utf8(ended.stderr).expect("text");
            assert_eq!(ended.status.code(), Some(1), "{stderr}");
            assert!(
                stderr.starts_with("birchspur: ") && stderr.contains(expected),
                "'{stderr}' contains {expected}"
            );
            assert_eq!(stderr.trim_end().lines().count(), 1, "{stderr}");
        }
    });
}

/// Guards against callers that lock out the operators by sending nothing, incomplete calls or invalid ones.
#[test]
fn operators_are_answered_while_other_callers_stall() {
    story(async {
        let mut discovery = Peer::start().await;
        let mut config = config(&discovery.address, &[]);
        config["admin"] = json!("127.0.0.1:0");
        let starting = Conductor::start_with(config, "");
        let (conductor, ()) = tokio::join!(starting, async {
            discovery.next().await.answer("200 OK", "", &list(1, true, &[]).to_string()).await;
        });
        let admin = &conductor.admin;
        let mut stalled_callers = Vec::new();
        for n in 0..100 {
            let mut wire = Wire::connect(admin).await;
            wire.write(
                ["", "GET /healthcheck HTT", "POST /healthcheck HTTP/1.1\r\nContent-Length: 9\r\n\r\nx"]
                    [n % 3],
            )
            .await;
            stalled_callers.push(wire);
        }
        let started_at = std::time::Instant::now();
        assert!(call(admin, "GET /healthcheck").await.starts_with("HTTP/1.1 200"));
        assert!(started_at.elapsed().as_millis() < 500, "{:?}", started_at.elapsed());
        assert_eq!(stalled_callers[0].rest().await, "", "the oldest callers were disconnected");

        assert!(call(admin, "GET /nowhere").await.starts_with("HTTP/1.1 404"));
        assert!(call(admin, "DELETE /healthcheck").await.starts_with("HTTP/1.1 405"));
        let mut wire = Wire::connect(admin).await;
        wire.write("no HTTP at all\r\n\r\n").await;
        assert!(wire.rest().await.starts_with("HTTP/1.1 400"));
        for bad in [format!("GET /healthcheck HTTP/1.1\r\nX: {}", "x".repeat(100_000)), long_body()] {
            let mut wire = Wire::connect(admin).await;
            wire.write_all_it_takes(&bad).await;
            let answer = wire.rest().await;
            assert!(answer.is_empty() || answer.starts_with("HTTP/1.1 4"), "{answer}");
        }
        let mut wire = Wire::connect(admin).await;
        wire.write("GET /healthcheck HTTP/1.1\r\n\r\nGET /healthcheck HTTP/1.1\r\n\r\n").await;
        assert_eq!(
            wire.rest().await.matches("HTTP/1.1 200").count(),
            1,
            "only one call is answered per connection"
        );
    });
}

/// Returns the metrics as operators read them at `/stats`, by name.
async fn read_metrics(admin: &str) -> std::collections::BTreeMap<String, u64> {
    let answer = call(admin, "GET /stats").await;
    let (head, body) = answer.split_once("\r\n\r\n").expect("a whole answer");
    assert!(head.starts_with("HTTP/1.1 200"), "{head}");
    let parse_line = |line: &str| {
        let (name, value) = line.strip_prefix("app.").expect(line).split_once(':').expect(line);
        let value = value.strip_suffix("|c").or(value.strip_suffix("|g")).expect(line);
        (name.to_string(), value.parse().expect(line))
    };
    body.lines().map(parse_line).collect()
}

/// Guards against metrics that count what was decided instead of what happened: attempts that reached no server, answers
/// that broke off, clients that left.
#[test]
fn metrics_match_what_clients_and_servers_observe() {
    story(async {
        let (mut reader, mut writer, dead) = (Peer::start().await, Peer::start().await, nowhere());
        let mut leaving = member("s-old", &dead.address, "reader");
        leaving["phase"] = json!("terminating");
        let servers = [
            member("s-r", &reader.address, "reader"),
            member("s-w", &writer.address, "writer"),
            leaving,
            member("s-dead", &dead.address, "writer"),
        ];
        let mut config = config(&start_discovery(servers.to_vec()).await, &servers);
        config["admin"] = json!("127.0.0.1:0");
        let conductor = Conductor::start_with(config, "").await;
        let initial = read_metrics(&conductor.admin).await;
        for name in [
            "ask.passed",
            "ask.dropped",
            "ask.bad_gateway",
            "book.passed",
            "book.dropped",
            "book.bad_gateway",
        ] {
            assert_eq!(initial[&format!("handled.{name}")], 0, "every class is reported from the start");
        }
        assert_eq!((initial["known_instances"], initial["skipped_instances"]), (4, 1), "one is terminating");
        let mut complete_requests = 0;
        for n in 0..6 {
            let mut client = conductor.ask(&format!("c{n}"), "ask", 4000).await;
            reader.reads().await;
            let mut seen = writer.next().await;
            complete_requests += 2;
            seen.begin().await;
            seen.chunk("data: {}\n\n").await;
            if n < 4 {
                seen.chunk("data: [DONE]\n\n").await;
                seen.end().await;
                client.until("0\r\n\r\n").await.expect("a whole answer");
            } else {
                client.until("data: {}\n\n").await.expect("the first event");
                drop(seen);
                assert_eq!(client.rest().await, "\r\n", "the answer breaks off");
            }
        }
        // It is not known whether this request has run.
        let mut client = conductor.ask("b1", "book", 9000).await;
        reader.reads().await;
        drop(writer.next().await);
        complete_requests += 2;
        assert!(client.until("\r\n").await.expect("a head").contains("500"));
        let mut client = conductor.ask("b2", "book", 9000).await;
        let rejecting = tokio::spawn(async move {
            let mut count = 0;
            loop {
                tokio::select! {
                    mut seen = reader.next() => {
                        seen.answer("503 Service Unavailable", "X-Unprocessed: 1\r\n", "").await;
                        seen.go_on();
                        count += 1;
                    }
                    answer = client.until("\r\n") => {
                        assert!(answer.expect("a head").contains("503"));
                        return (count, reader);
                    }
                }
            }
        });
        let (count, mut reader) = rejecting.await.expect("it is answered");
        complete_requests += count;
        let _waiting = conductor.ask("c9", "ask", 4000).await;
        let cancelled = conductor.ask("c10", "ask", 4000).await;
        let _open_requests = [reader.next().await, reader.next().await];
        complete_requests += 2;
        drop(cancelled);
        let metrics = loop {
            let metrics = read_metrics(&conductor.admin).await;
            if metrics["in_progress"] == 1 {
                break metrics;
            }
        };
        assert_eq!(metrics["upstream_tries"], complete_requests, "{metrics:?}");
        assert_eq!(
            (metrics["handled.ask.passed"], metrics["handled.ask.bad_gateway"]),
            (4, 2),
            "{metrics:?}"
        );
        assert_eq!(
            (metrics["handled.book.dropped"], metrics["handled.book.bad_gateway"]),
            (1, 1),
            "{metrics:?}"
        );
        assert_eq!((metrics["handled.ask.dropped"], metrics["handled.book.passed"]), (0, 0), "{metrics:?}");
        assert!(metrics["skipped_instances"] >= 1, "the dead writer is avoided, if it was met: {metrics:?}");
    });
}

/// Guards against a drain that resets connections, answers requests twice or not at all, keeps clients connected, or
/// can't be cancelled.
#[test]
fn clients_are_sent_away_and_accepted_again_without_a_reset() {
    story(async {
        let (mut reader, mut writer) = (Peer::start().await, Peer::start().await);
        let servers = [member("s-r", &reader.address, "reader"), member("s-w", &writer.address, "writer")];
        let mut config = config(&start_discovery(servers.to_vec()).await, &servers);
        config["admin"] = json!("127.0.0.1:0");
        let conductor = Conductor::start_with(config, "").await;
        let (front, admin) = (&conductor.front, &conductor.admin);
        let mut idle = conductor.ask("c1", "ask", 4000).await;
        serve(&mut reader, &mut writer).await;
        idle.rest_of_answer().await;
        // An answer that begins before the operators' call, and continues after the drain has closed all idle connections.
        let mut long_answer = conductor.ask("c2", "ask", 4000).await;
        reader.reads().await;
        let mut long_stream = writer.next().await;
        long_stream.begin().await;
        long_stream.chunk("data: {}\n\n").await;
        long_answer.until("data: {}\n\n").await.expect("the first event");
        let mut unused = Wire::connect(front).await;
        // Two requests at once: the second one is queued behind the first.
        let mut pipelined = Wire::connect(front).await;
        let requests = [platform_request("c3", "ask", 4000, "{}"), platform_request("c4", "ask", 4000, "{}")];
        pipelined.write(&requests.concat()).await;
        let mut first = reader.next().await;

        let drain_began = std::time::Instant::now();
        assert!(call(admin, "POST /healthcheck/fail").await.starts_with("HTTP/1.1 200"));
        assert!(
            call(admin, "POST /healthcheck/fail").await.starts_with("HTTP/1.1 200"),
            "the call may be repeated"
        );
        assert!(call(admin, "GET /healthcheck/fail").await.starts_with("HTTP/1.1 405"));
        assert_eq!(up(front).await, "HTTP/1.1 503 Service Unavailable\r\n");
        assert!(
            call(admin, "GET /healthcheck").await.starts_with("HTTP/1.1 200"),
            "the program can still serve"
        );
        first.answer("202 Accepted", "", "{}").await;
        first.go_on();
        writer.writes().await;
        let answer = pipelined.until("0\r\n\r\n").await.expect("the first answer");
        assert!(!answer.to_lowercase().contains("connection: close"), "another request is queued: {answer}");
        serve(&mut reader, &mut writer).await;
        let answer = pipelined.until("0\r\n\r\n").await.expect("the second answer");
        assert!(answer.to_lowercase().contains("connection: close"), "{answer}");
        assert_eq!(pipelined.rest().await, "");
        // A client that still connects is served, and its answer announces that the connection closes.
        let mut late = conductor.ask("c5", "ask", 4000).await;
        serve(&mut reader, &mut writer).await;
        let answer = late.until("0\r\n\r\n").await.expect("a whole answer");
        assert!(answer.to_lowercase().contains("connection: close"), "{answer}");
        assert_eq!(late.rest().await, "");
        // Idle connections end cleanly, and not before new clients are directed elsewhere.
        for wire in [&mut unused, &mut idle] {
            assert_eq!(wire.whole_end().await, Some(String::new()), "an orderly end, not a reset");
            assert!(drain_began.elapsed().as_millis() >= 400, "{:?}", drain_began.elapsed());
        }
        assert!(drain_began.elapsed().as_millis() < 4000, "{:?}", drain_began.elapsed());
        long_stream.chunk("data: [DONE]\n\n").await;
        long_stream.end().await;
        long_answer.until("0\r\n\r\n").await.expect("the whole long answer");
        assert_eq!(
            long_answer.whole_end().await,
            Some(String::new()),
            "its connection is closed after the answer"
        );

        assert!(call(admin, "POST /healthcheck/ok").await.starts_with("HTTP/1.1 200"));
        assert_eq!(up(front).await, "HTTP/1.1 200 OK\r\n", "service is resumed at once");
        let mut resumed = conductor.ask("c6", "ask", 4000).await;
        serve(&mut reader, &mut writer).await;
        assert!(!resumed.rest_of_answer().await.to_lowercase().contains("connection: close"));
        assert_eq!(reader.unseen() + writer.unseen(), 0, "nothing was sent twice");
    });
}

/// Guards against a process that was sent away and still holds a request of the last 2 s when it has to be rid of its
/// clients: a request that is complete late is refused, until service is resumed.
#[test]
fn request_that_is_complete_late_after_clients_were_sent_away_is_refused() {
    story(async {
        let (mut reader, mut writer) = (Peer::start().await, Peer::start().await);
        let servers = [member("s-r", &reader.address, "reader"), member("s-w", &writer.address, "writer")];
        let mut config = config(&start_discovery(servers.to_vec()).await, &servers);
        config["admin"] = json!("127.0.0.1:0");
        let conductor = Conductor::start_with(config, "").await;
        let (front, admin) = (&conductor.front, &conductor.admin);
        assert!(call(admin, "POST /healthcheck/fail").await.starts_with("HTTP/1.1 200"));
        let sent_away_at = tokio::time::Instant::now();
        let request = platform_request("c1", "ask", 4000, "{}");
        let (beginning, rest) = request.split_at(request.len() - 1);
        let mut client = Wire::connect(front).await;
        client.write(beginning).await;
        tokio::time::sleep_until(sent_away_at + std::time::Duration::from_secs(2)).await;
        client.write(rest).await;
        let answer = client.whole_end().await.expect("an orderly end");
        assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
        assert_eq!(reader.unseen(), 0);
        assert_eq!(read_metrics(admin).await["handled.ask.dropped"], 1, "operators see the refusal");
        assert!(call(admin, "POST /healthcheck/ok").await.starts_with("HTTP/1.1 200"));
        let mut resumed = conductor.ask("c2", "ask", 4000).await;
        serve(&mut reader, &mut writer).await;
        assert!(resumed.rest_of_answer().await.starts_with("HTTP/1.1 200"));
    });
}

/// Returns a call that declares a body of 60 MB, of which 1 MB follows.
fn long_body() -> String {
    format!(
        "GET /healthcheck HTTP/1.1\r\nHost: x\r\nContent-Length: 60000000\r\n\r\n{}",
        "x".repeat(1_000_000)
    )
}
