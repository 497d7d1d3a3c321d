//! Stories of a day in service: operators call, and the process is replaced.

mod peers;

use std::os::fd::OwnedFd;
use std::process::Stdio;

use peers::*;
use serde_json::{Value, json};
use tokio::process::{Child, Command};

/// A program that inherits a descriptor as its number 7.
fn program(config: &str, inherited: OwnedFd, accept: &str) -> Child {
    Command::new("/bin/sh")
        .args(["-c", "exec \"$0\" 7<&0 0</dev/null", env!("CARGO_BIN_EXE_birchspur")])
        .env("LB_CONFIG", config)
        .env("LB_ACCEPT_FD", accept)
        .stdin(inherited)
        .stderr(Stdio::piped())
        .kill_on_drop(true)
        .spawn()
        .expect("it starts")
}

/// The clients' listening socket, as the platform holds it.
struct Held {
    address: String,
    listener: std::net::TcpListener,
}

impl Held {
    fn open() -> Self {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        Held { address: listener.local_addr().expect("an address").to_string(), listener }
    }

    fn copy(&self) -> OwnedFd {
        self.listener.try_clone().expect("a descriptor").into()
    }
}

async fn call(address: &str, call: &str) -> String {
    let mut wire = Wire::connect(address).await;
    wire.write(&format!("{call} HTTP/1.1\r\nHost: x\r\n\r\n")).await;
    wire.rest().await
}

async fn up(front: &str) -> String {
    let mut wire = Wire::connect(front).await;
    wire.write("GET /up HTTP/1.1\r\nHost: x\r\n\r\n").await;
    wire.until("\r\n").await.expect("an answer")
}

async fn healthy(admin: &str) {
    loop {
        if let Ok(stream) = tokio::net::TcpStream::connect(admin).await {
            let mut wire = Wire::of(stream);
            wire.write_all_it_takes("GET /healthcheck HTTP/1.1\r\nHost: x\r\n\r\n").await;
            if wire.rest().await.starts_with("HTTP/1.1 200") {
                return;
            }
        }
        tokio::time::sleep(std::time::Duration::from_millis(5)).await;
    }
}

async fn terminate(child: &Child) {
    let id = child.id().expect("it runs").to_string();
    assert!(Command::new("kill").args(["-TERM", &id]).status().await.expect("kill runs").success());
}

/// A discovery that tells the list to whoever asks first, and is then silent to them.
async fn telling(servers: Vec<Value>) -> String {
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

/// Failure: a second process finds the address in use; or it takes clients before it can serve, or the first
/// one takes them after it was told to end.
#[test]
fn a_process_is_replaced_on_the_socket_that_both_inherit() {
    story(async {
        let (mut reader, mut writer) = (Peer::start().await, Peer::start().await);
        let servers = [member("s-r", &reader.address, "reader"), member("s-w", &writer.address, "writer")];
        let discovery = telling(servers.to_vec()).await;
        let folder = Folder::new("replace");
        let held = Held::open();
        let (first, second) = (nowhere(), nowhere());
        let start = |admin: &Reserved, name: &str| {
            let mut config = config(&discovery, &servers);
            config["listen"] = json!(held.address);
            config["admin"] = json!(admin.address);
            program(&folder.write(name, &config.to_string()), held.copy(), "7")
        };
        let mut old = start(&first, "old.json");
        healthy(&first.address).await;
        let mut open = Wire::connect(&held.address).await;
        open.write(&platform_request("b1", "book", 9000, "{}")).await;
        let mut at_old = reader.next().await;

        let mut new = start(&second, "new.json");
        healthy(&second.address).await;
        assert!(call(&first.address, "GET /healthcheck").await.starts_with("HTTP/1.1 200"), "both serve");
        terminate(&old).await;
        while !call(&first.address, "GET /healthcheck").await.starts_with("HTTP/1.1 503") {}
        let mut late = Wire::connect(&held.address).await;
        late.write(&platform_request("b2", "book", 9000, "{}")).await;
        let mut at_new = reader.next().await;
        for (seen, client) in [(&mut at_old, &mut open), (&mut at_new, &mut late)] {
            seen.answer("202 Accepted", "", "{}").await;
            let mut answer = writer.next().await;
            answer.begin().await;
            answer.chunk("data: [DONE]\n\n").await;
            answer.end().await;
            let answer = client.until("0\r\n\r\n").await.expect("a whole answer");
            assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        }
        assert!(old.wait().await.expect("it ends").success());
        assert_eq!(up(&held.address).await, "HTTP/1.1 200 OK\r\n", "the other one serves");
        assert!(new.try_wait().expect("a state").is_none());
    });
}

/// Failure: a mistake of whoever starts the program ends in a panic, or in listening somewhere else.
#[test]
fn what_can_not_be_listened_on_is_told_plainly() {
    story(async {
        let folder = Folder::new("listen");
        let file = || std::fs::File::open("/dev/null").expect("a file").into();
        let datagrams = || std::net::UdpSocket::bind("127.0.0.1:0").expect("a port").into();
        let connected = || {
            let held = Held::open();
            std::net::TcpStream::connect(&held.address).expect("a connection").into()
        };
        let in_use = Held::open();
        let cases: [(OwnedFd, &str, &str, &str); 7] = [
            (file(), "seven", "", "LB_ACCEPT_FD: 'seven' is not a descriptor number"),
            (file(), "1", "", "LB_ACCEPT_FD: '1' is not a descriptor number (3 or higher)"),
            (file(), "93", "", "LB_ACCEPT_FD: descriptor 93 is not open"),
            (file(), "7", "", "LB_ACCEPT_FD: descriptor 7 is not a listening stream socket"),
            (datagrams(), "7", "", "LB_ACCEPT_FD: descriptor 7 is not a listening stream socket"),
            (connected(), "7", "", "LB_ACCEPT_FD: descriptor 7 is not a listening stream socket"),
            (Held::open().copy(), "7", &in_use.address, "'admin' in the configuration (or LB_ADMIN)"),
        ];
        for (inherited, accept, admin, told) in cases {
            let mut config = config("127.0.0.1:1", &[]);
            config["admin"] = json!(admin);
            let config = folder.write("config.json", &config.to_string());
            let ended = program(&config, inherited, accept).wait_with_output().await.expect("it ends");
            let text = String::from_utf8(ended.stderr).expect("text");
            assert_eq!(ended.status.code(), Some(1), "{text}");
            assert!(text.starts_with("birchspur: ") && text.contains(told), "'{text}' says {told}");
            assert_eq!(text.trim_end().lines().count(), 1, "{text}");
        }
    });
}

/// Failure: callers that say nothing, or say it badly, shut the operators out.
#[test]
fn operators_are_answered_beside_callers_that_stall() {
    story(async {
        let mut discovery = Peer::start().await;
        let mut config = config(&discovery.address, &[]);
        config["admin"] = json!("127.0.0.1:0");
        let starting = Conductor::start_with(config, "");
        let (conductor, ()) = tokio::join!(starting, async {
            discovery.next().await.answer("200 OK", "", &list(1, true, &[]).to_string()).await;
        });
        let admin = &conductor.admin;
        let mut stalled = Vec::new();
        for n in 0..100 {
            let mut wire = Wire::connect(admin).await;
            wire.write(
                ["", "GET /healthcheck HTT", "POST /healthcheck HTTP/1.1\r\nContent-Length: 9\r\n\r\nx"]
                    [n % 3],
            )
            .await;
            stalled.push(wire);
        }
        let began = std::time::Instant::now();
        assert!(call(admin, "GET /healthcheck").await.starts_with("HTTP/1.1 200"));
        assert!(began.elapsed().as_millis() < 500, "{:?}", began.elapsed());
        assert_eq!(stalled[0].rest().await, "", "the first ones have made room");

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
        assert_eq!(wire.rest().await.matches("HTTP/1.1 200").count(), 1, "one call a connection");
    });
}

/// The figures as operators read them.
async fn figures(admin: &str) -> std::collections::BTreeMap<String, u64> {
    let answer = call(admin, "GET /stats").await;
    let (head, body) = answer.split_once("\r\n\r\n").expect("a whole answer");
    assert!(head.starts_with("HTTP/1.1 200"), "{head}");
    let figure = |line: &str| {
        let (name, value) = line.strip_prefix("app.").expect(line).split_once(':').expect(line);
        let value = value.strip_suffix("|c").or(value.strip_suffix("|g")).expect(line);
        (name.to_string(), value.parse().expect(line))
    };
    body.lines().map(figure).collect()
}

/// Failure: figures that tell what was decided, not what happened: attempts that reached nobody, answers that
/// broke, clients that left.
#[test]
fn the_figures_are_what_clients_and_servers_count() {
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
        let mut config = config(&telling(servers.to_vec()).await, &servers);
        config["admin"] = json!("127.0.0.1:0");
        let conductor = Conductor::start_with(config, "").await;
        let none = figures(&conductor.admin).await;
        for name in [
            "ask.passed",
            "ask.dropped",
            "ask.bad_gateway",
            "book.passed",
            "book.dropped",
            "book.bad_gateway",
        ] {
            assert_eq!(none[&format!("handled.{name}")], 0, "each class is there from the start");
        }
        assert_eq!((none["known_instances"], none["skipped_instances"]), (4, 1), "one is leaving");
        let mut seen_whole = 0;
        for n in 0..6 {
            let mut client = conductor.ask(&format!("c{n}"), "ask", 4000).await;
            reader.reads().await;
            let mut seen = writer.next().await;
            seen_whole += 2;
            seen.begin().await;
            seen.chunk("data: {}\n\n").await;
            if n < 4 {
                seen.chunk("data: [DONE]\n\n").await;
                seen.end().await;
                client.until("0\r\n\r\n").await.expect("a whole answer");
            } else {
                client.until("data: {}\n\n").await.expect("the first event");
                drop(seen);
                assert_eq!(client.rest().await, "\r\n", "it breaks off");
            }
        }
        // Nobody knows whether this one has run.
        let mut client = conductor.ask("b1", "book", 9000).await;
        reader.reads().await;
        drop(writer.next().await);
        seen_whole += 2;
        assert!(client.until("\r\n").await.expect("a head").contains("500"));
        let mut client = conductor.ask("b2", "book", 9000).await;
        let turned_away = tokio::spawn(async move {
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
        let (count, mut reader) = turned_away.await.expect("it is answered");
        seen_whole += count;
        let _waits = conductor.ask("c9", "ask", 4000).await;
        let leaves = conductor.ask("c10", "ask", 4000).await;
        let _held = [reader.next().await, reader.next().await];
        seen_whole += 2;
        drop(leaves);
        let told = loop {
            let told = figures(&conductor.admin).await;
            if told["in_progress"] == 1 {
                break told;
            }
        };
        assert_eq!(told["upstream_tries"], seen_whole, "{told:?}");
        assert_eq!((told["handled.ask.passed"], told["handled.ask.bad_gateway"]), (4, 2), "{told:?}");
        assert_eq!((told["handled.book.dropped"], told["handled.book.bad_gateway"]), (1, 1), "{told:?}");
        assert_eq!((told["handled.ask.dropped"], told["handled.book.passed"]), (0, 0), "{told:?}");
        assert!(told["skipped_instances"] >= 1, "the dead writer is avoided, if it was met: {told:?}");
    });
}

/// Failure: a drain resets somebody, answers twice or not at all, keeps clients, or can't be called off.
#[test]
fn clients_are_sent_away_and_taken_back_without_a_reset() {
    story(async {
        let (mut reader, mut writer) = (Peer::start().await, Peer::start().await);
        let servers = [member("s-r", &reader.address, "reader"), member("s-w", &writer.address, "writer")];
        let mut config = config(&telling(servers.to_vec()).await, &servers);
        config["admin"] = json!("127.0.0.1:0");
        let conductor = Conductor::start_with(config, "").await;
        let (front, admin) = (&conductor.front, &conductor.admin);
        let mut resting = conductor.ask("c1", "ask", 4000).await;
        serve(&mut reader, &mut writer).await;
        resting.rest_of_answer().await;
        // An answer that begins before the call, and goes on beyond the term.
        let mut long = conductor.ask("c2", "ask", 4000).await;
        reader.reads().await;
        let mut stream = writer.next().await;
        stream.begin().await;
        stream.chunk("data: {}\n\n").await;
        long.until("data: {}\n\n").await.expect("the first event");
        let mut fresh = Wire::connect(front).await;
        // Two requests at once: the second one waits behind the first.
        let mut pipelined = Wire::connect(front).await;
        let two = [platform_request("c3", "ask", 4000, "{}"), platform_request("c4", "ask", 4000, "{}")];
        pipelined.write(&two.concat()).await;
        let mut first = reader.next().await;

        let called = std::time::Instant::now();
        assert!(call(admin, "POST /healthcheck/fail").await.starts_with("HTTP/1.1 200"));
        assert!(
            call(admin, "POST /healthcheck/fail").await.starts_with("HTTP/1.1 200"),
            "it may be repeated"
        );
        assert!(call(admin, "GET /healthcheck/fail").await.starts_with("HTTP/1.1 405"));
        assert_eq!(up(front).await, "HTTP/1.1 503 Service Unavailable\r\n");
        assert!(call(admin, "GET /healthcheck").await.starts_with("HTTP/1.1 200"), "it can serve");
        first.answer("202 Accepted", "", "{}").await;
        first.go_on();
        writer.writes().await;
        let answer = pipelined.until("0\r\n\r\n").await.expect("the first answer");
        assert!(!answer.to_lowercase().contains("connection: close"), "another request waits: {answer}");
        serve(&mut reader, &mut writer).await;
        let answer = pipelined.until("0\r\n\r\n").await.expect("the second answer");
        assert!(answer.to_lowercase().contains("connection: close"), "{answer}");
        assert_eq!(pipelined.rest().await, "");
        // Whoever still comes is served, and told that this is the end.
        let mut late = conductor.ask("c5", "ask", 4000).await;
        serve(&mut reader, &mut writer).await;
        let answer = late.until("0\r\n\r\n").await.expect("a whole answer");
        assert!(answer.to_lowercase().contains("connection: close"), "{answer}");
        assert_eq!(late.rest().await, "");
        // They end cleanly, and not before others are invited elsewhere.
        for wire in [&mut fresh, &mut resting] {
            assert_eq!(wire.whole_end().await, Some(String::new()), "an end, no reset");
            assert!(called.elapsed().as_millis() >= 400, "{:?}", called.elapsed());
        }
        assert!(called.elapsed().as_millis() < 4000, "{:?}", called.elapsed());
        stream.chunk("data: [DONE]\n\n").await;
        stream.end().await;
        long.until("0\r\n\r\n").await.expect("the whole long answer");
        assert_eq!(long.whole_end().await, Some(String::new()), "its connection is not kept");

        assert!(call(admin, "POST /healthcheck/ok").await.starts_with("HTTP/1.1 200"));
        assert_eq!(up(front).await, "HTTP/1.1 200 OK\r\n", "at once");
        let mut back = conductor.ask("c6", "ask", 4000).await;
        serve(&mut reader, &mut writer).await;
        assert!(!back.rest_of_answer().await.to_lowercase().contains("connection: close"));
        assert_eq!(reader.unseen() + writer.unseen(), 0, "nothing was sent twice");
    });
}

fn long_body() -> String {
    format!(
        "GET /healthcheck HTTP/1.1\r\nHost: x\r\nContent-Length: 60000000\r\n\r\n{}",
        "x".repeat(1_000_000)
    )
}
