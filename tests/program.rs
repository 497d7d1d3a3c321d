//! Tests of the built program: start, shutdown, reload, errors and metrics.

mod peers;

use std::process::Stdio;

use peers::*;
use serde_json::json;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, UnixListener};
use tokio::process::{Child, Command};

fn program(config: &str, operator: Option<&str>) -> Child {
    Command::new(env!("CARGO_BIN_EXE_birchspur"))
        .args(operator.into_iter().flat_map(|path| ["serve", "--operator", path]))
        .env("LB_CONFIG", config)
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .kill_on_drop(true)
        .spawn()
        .expect("it starts")
}

async fn signal(child: &Child, name: &str) {
    let id = child.id().expect("it runs").to_string();
    let sent = Command::new("kill").args([format!("-{name}"), id]).status().await.expect("kill runs");
    assert!(sent.success());
}

async fn up(address: &str) -> String {
    let mut wire = Wire::connect(address).await;
    wire.write("GET /up HTTP/1.1\r\nHost: x\r\n\r\n").await;
    wire.until("\r\n").await.expect("an answer")
}

/// Guards against a planned restart that loses accepted requests, or reports itself as ready while it shuts down.
#[test]
fn open_and_late_requests_are_answered_after_sigterm() {
    story(async {
        let (mut reader, mut writer) = (Peer::start().await, Peer::start().await);
        let mut discovery = Peer::start().await;
        let folder = Folder::new("term");
        let reserved = nowhere();
        let front = &reserved.address;
        let servers = [member("s-r", &reader.address, "reader"), member("s-w", &writer.address, "writer")];
        let mut config = config(&discovery.address, &[]);
        config["listen"] = json!(front);
        let mut child = program(&folder.write("config.json", &config.to_string()), None);
        let mut watch = discovery.next().await;
        assert!(up(front).await.contains("503"), "discovery has not answered yet");
        watch.answer("200 OK", "", &list(1, true, &servers).to_string()).await;
        watch.wire.message().await.expect("the list is taken");
        while !up(front).await.contains("200") {}
        let mut open = Wire::connect(front).await;
        open.write(&platform_request("c1", "ask", 4000, "{}")).await;
        let mut first = reader.next().await;
        signal(&child, "TERM").await;
        while !up(front).await.contains("503") {}
        // The platform's front may still send new connections for this time.
        tokio::time::sleep(std::time::Duration::from_millis(400)).await;
        let mut late = Wire::connect(front).await;
        late.write(&platform_request("c2", "ask", 4000, "{}")).await;
        let mut second = reader.next().await;
        for seen in [&mut first, &mut second] {
            seen.answer("202 Accepted", "", "{}").await;
            let mut answer = writer.next().await;
            answer.begin().await;
            answer.chunk("data: [DONE]\n\n").await;
            answer.end().await;
        }
        for client in [&mut open, &mut late] {
            let answer = client.until("0\r\n\r\n").await.expect("a whole answer");
            assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        }
        assert!(child.wait().await.expect("it ends").success());
        let mut printed = String::new();
        child.stdout.take().expect("a pipe").read_to_string(&mut printed).await.expect("text");
        assert!(printed.contains("taken 2, sent 4, served 2, refused 0"), "{printed}");
    });
}

/// Guards against SIGHUP ending the program, and against a program that goes on watching the old discovery after the
/// new configuration has named another.
#[test]
fn sighup_switches_to_the_discovery_of_the_new_configuration() {
    story(async {
        let (mut old, mut new, writer) = (Peer::start().await, Peer::start().await, Peer::start().await);
        let (mut before, mut after) = (Peer::start().await, Peer::start().await);
        let folder = Folder::new("hup");
        let reserved = nowhere();
        let front = &reserved.address;
        let servers = [member("s-old", &old.address, "reader"), member("s-w", &writer.address, "writer")];
        let mut config = config(&before.address, &servers);
        config["listen"] = json!(front);
        let child = program(&folder.write("config.json", &config.to_string()), None);
        let mut watch = before.next().await;
        watch.answer("200 OK", "", &list(8, true, &servers).to_string()).await;
        watch.wire.message().await.expect("the list is taken");
        while !up(front).await.contains("200") {}
        // Half a file is not a valid configuration. The complete one that follows is loaded without another signal.
        folder.write("config.json", "{\"name\":");
        signal(&child, "HUP").await;
        let mut told = BufReader::new(child.stderr.expect("a pipe")).lines();
        loop {
            let line = told.next_line().await.expect("text").expect("a line");
            if line.contains("the new configuration can't be read reading=1") {
                break;
            }
        }
        config["discovery"] = json!(after.address);
        folder.write("config.json", &config.to_string());
        let mut seen = after.next().await;
        assert!(seen.head.starts_with("GET /discovery/hosts HTTP"), "{}", seen.head);
        let servers = [member("s-new", &new.address, "reader"), member("s-w", &writer.address, "writer")];
        seen.answer("200 OK", "", &list(3, true, &servers).to_string()).await;
        let (head, _) = seen.wire.message().await.expect("the watch");
        assert!(head.starts_with("GET /discovery/hosts?from=3&"), "{head}");
        let mut client = Wire::connect(front).await;
        client.write(&platform_request("c1", "ask", 4000, "{}")).await;
        new.next().await;
        assert_eq!(old.unseen(), 0);
    });
}

#[test]
fn bad_configuration_is_reported_in_one_plain_line() {
    story(async {
        let folder = Folder::new("bad");
        let good = config("127.0.0.1:1", &[]);
        let with = |path: &str, value: serde_json::Value| {
            let mut config = good.clone();
            *config.pointer_mut(path).expect("a setting") = value;
            config.to_string()
        };
        let cases = [
            ("{".to_string(), None, "configuration"),
            (with("/seed", json!("xyz")), None, "seed"),
            (with("/limits/sockets", json!(3)), None, "sockets"),
            (with("/settings/Rules/ColdFrom", json!(7)), None, "cold_from"),
            (with("/settings/Az", json!("elsewhere")), None, "Az"),
            (with("/listen", json!("nonsense")), None, "listen"),
            (good.to_string(), Some("rpcs path=\"/rpc\"".to_string()), "did you mean 'rpc'"),
            (
                good.to_string(),
                Some(operator(None, &[]).replace("\"/rpc\"", "\"rpc\"")),
                "operator.kdl:3:6: \"rpc\" is no path",
            ),
            (
                good.to_string(),
                Some(operator(None, &[]).replace("class=\"book\"", "class=\"boook\"")),
                "did you mean \"book\"?",
            ),
        ];
        for (config, operator, word) in cases {
            let config = folder.write("config.json", &config);
            let operator = operator.map(|text| folder.write("operator.kdl", &text));
            let ended = program(&config, operator.as_deref()).wait_with_output().await.expect("it ends");
            let told = String::from_utf8(ended.stderr).expect("text");
            assert_eq!(ended.status.code(), Some(1), "{told}");
            assert!(told.starts_with("birchspur: ") && told.contains(word), "'{told}' names {word}");
            assert!(!told.contains("panicked"), "{told}");
        }
    });
}

#[test]
fn example_operator_document_is_valid() {
    let operator = parsed(include_str!("../deploy/operator.kdl"));
    let rpc = operator.rpc.expect("tool servers");
    assert!(rpc.settings.check().is_ok());
    assert_eq!((rpc.tools.len(), rpc.known.len(), rpc.settings.dispatchers), (3, 2, 3));
    assert_eq!(rpc.known[1].entry.weight, 1.5);
}

#[test]
fn counters_are_exported_to_graphite_collectd_and_standard_output() {
    story(async {
        let folder = Folder::new("counters");
        let graphite = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let socket = folder.0.join("collectd.sock");
        let collectd = UnixListener::bind(&socket).expect("a socket");
        let operator = format!(
            "graphite address=\"{}\" prefix=\"reli.n1\" every=\"1min\"\n\
             collectd socket=\"{}\" host=\"n1\" every=\"1min\"\n",
            graphite.local_addr().expect("an address"),
            socket.display()
        );
        let discovery = Peer::start().await;
        let config = folder.write("config.json", &config(&discovery.address, &[]).to_string());
        let operator = folder.write("operator.kdl", &operator);
        let mut child = program(&config, Some(&operator));
        let (mut stream, _) = graphite.accept().await.expect("a connection");
        let mut lines = String::new();
        stream.read_to_string(&mut lines).await.expect("text");
        assert_eq!(lines.lines().count(), 35, "nine of its own, six by class, twenty more: {lines}");
        let parts: Vec<&str> = lines.lines().next().expect("a line").split(' ').collect();
        assert_eq!(parts[..2], ["reli.n1.taken", "0"]);
        assert!(parts[2].parse::<u64>().is_ok_and(|at| at > 1_700_000_000), "{lines}");

        let (stream, _) = collectd.accept().await.expect("a connection");
        let (reader, mut writer) = stream.into_split();
        let mut commands = BufReader::new(reader).lines();
        let mut seen = Vec::new();
        while let Some(command) = commands.next_line().await.expect("text") {
            writer.write_all(b"0 Success: 1 value has been dispatched.\n").await.expect("it reads");
            seen.push(command);
        }
        assert_eq!(seen.len(), 35);
        assert!(seen[0].starts_with("PUTVAL \"n1/birchspur/derive-taken\" interval=60 "), "{}", seen[0]);
        assert!(seen[0].ends_with(":0") && seen[8].contains("/gauge-open\""), "{seen:?}");

        signal(&child, "USR1").await;
        let mut printed = BufReader::new(child.stdout.take().expect("a pipe")).lines();
        let counters = printed.next_line().await.expect("text").expect("a line");
        assert!(counters.starts_with("taken 0, sent 0, served 0"), "{counters}");
    });
}
