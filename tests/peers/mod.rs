//! The one helper of the stories: peers whose every byte a story writes itself, clients as plain, and the
//! configuration that puts a conductor between them. All of it is on loopback, at ports that the system picks.
#![allow(dead_code, reason = "each story file uses its own part of the helper")]

pub mod auto;
pub mod process;
pub mod proxy;
pub mod scripted;
pub mod stopwatch;

use std::future::Future;
use std::time::Duration;

use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::task::{JoinHandle, JoinSet};

use milletseam::documents::{Operator, Source};
use milletseam::program::{Phase, Program, Setup};
use milletseam::protocol::config::Config;

/// Runs a story; one that hangs has failed.
pub fn story(story: impl Future<Output = ()>) {
    story_within(Duration::from_secs(20), story);
}

/// Runs a story that needs another time limit than most.
pub fn story_within(limit: Duration, story: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async { tokio::time::timeout(limit, story).await }).expect("the story ends");
}

/// One side of a connection, with what has been read beyond the last message.
pub struct Wire {
    stream: TcpStream,
    ahead: Vec<u8>,
}

impl Wire {
    pub fn of(stream: TcpStream) -> Self {
        Wire { stream, ahead: Vec::new() }
    }

    pub async fn connect(address: &str) -> Self {
        let stream = TcpStream::connect(address).await.expect("a connection");
        Wire { stream, ahead: Vec::new() }
    }

    pub async fn write(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).await.expect("the other side reads");
    }

    /// Writes as much as the other side takes before it hangs up.
    pub async fn write_all_it_takes(&mut self, text: &str) {
        let _ = self.stream.write_all(text.as_bytes()).await;
    }

    /// Writes a text; false once the other side has hung up.
    pub async fn takes(&mut self, text: &str) -> bool {
        self.stream.write_all(text.as_bytes()).await.is_ok()
    }

    /// Ends the connection with a reset.
    pub fn reset(self) {
        let now = Some(std::time::Duration::ZERO);
        socket2::SockRef::from(&self.stream).set_linger(now).expect("an option");
    }

    /// Whether the other side has reset the connection since its end, which no read tells any more.
    pub fn is_reset(&self) -> bool {
        socket2::SockRef::from(&self.stream).take_error().expect("an option").is_some()
    }

    /// The rest of a chunked answer, to its last chunk.
    pub async fn rest_of_answer(&mut self) -> String {
        self.until("0\r\n\r\n").await.expect("the last chunk")
    }

    /// Reads more; false at the end or a reset.
    async fn more(&mut self) -> bool {
        matches!(self.stream.read_buf(&mut self.ahead).await, Ok(n) if n > 0)
    }

    /// Reads to the first occurrence of an end, which is part of it; none if the connection ends before it.
    pub async fn until(&mut self, end: &str) -> Option<String> {
        loop {
            if let Some(at) = self.ahead.windows(end.len()).position(|w| w == end.as_bytes()) {
                let rest = self.ahead.split_off(at + end.len());
                return String::from_utf8(std::mem::replace(&mut self.ahead, rest)).ok();
            }
            if !self.more().await {
                return None;
            }
        }
    }

    /// Everything up to the end of the connection.
    pub async fn rest(&mut self) -> String {
        while self.more().await {}
        String::from_utf8(std::mem::take(&mut self.ahead)).expect("text")
    }

    /// Everything up to an orderly end of the connection; none if it is reset.
    pub async fn whole_end(&mut self) -> Option<String> {
        while self.stream.read_buf(&mut self.ahead).await.ok()? > 0 {}
        String::from_utf8(std::mem::take(&mut self.ahead)).ok()
    }

    /// The head and body of a message with a Content-Length.
    pub async fn message(&mut self) -> Option<(String, String)> {
        let head = self.until("\r\n\r\n").await?;
        let length = header(&head, "content-length").map_or(0, |n| n.parse().expect("a length"));
        while self.ahead.len() < length {
            if !self.more().await {
                return None;
            }
        }
        let rest = self.ahead.split_off(length);
        let body = String::from_utf8(std::mem::replace(&mut self.ahead, rest)).expect("text");
        Some((head, body))
    }

    /// The data of the next server-sent event in a chunked answer; none if it ended, and how is in `rest`.
    pub async fn event(&mut self) -> Option<Value> {
        let text = self.until("\n\n").await?;
        let at = text.find("data: ")?;
        serde_json::from_str(&text[at + 6..]).ok()
    }
}

pub fn header(head: &str, name: &str) -> Option<String> {
    let line = head.lines().find(|line| line.to_lowercase().starts_with(&format!("{name}:")))?;
    Some(line[name.len() + 1..].trim().to_string())
}

/// A request that a peer has read, and the connection on which the story answers it.
pub struct Seen {
    pub head: String,
    pub body: String,
    pub wire: Wire,
    back: oneshot::Sender<Wire>,
}

impl Seen {
    /// The peer reads the connection's next request itself.
    pub fn go_on(self) {
        let _ = self.back.send(self.wire);
    }

    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).expect("JSON")
    }

    pub async fn answer(&mut self, status: &str, headers: &str, body: &str) {
        let length = body.len();
        self.wire
            .write(&format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n{body}"))
            .await;
    }

    /// Begins an answer of events.
    pub async fn begin(&mut self) {
        self.wire.write(HEAD).await;
    }

    pub async fn chunk(&mut self, text: &str) {
        self.wire.write(&format!("{:x}\r\n{text}\r\n", text.len())).await;
    }

    pub async fn event(&mut self, message: Value) {
        self.chunk(&format!("data: {message}\n\n")).await;
    }

    pub async fn end(&mut self) {
        self.wire.write("0\r\n\r\n").await;
    }
}

/// A peer that reads requests and leaves their answers to the story. Calls to let go of a state are answered
/// at once, and told apart; so are probes.
pub struct Peer {
    pub address: String,
    seen: mpsc::UnboundedReceiver<Seen>,
    released: mpsc::UnboundedReceiver<String>,
    senders: (mpsc::UnboundedSender<Seen>, mpsc::UnboundedSender<String>),
    listening: JoinHandle<()>,
    stopped: Option<Reserved>,
}

/// Serves a peer's connections. They end with the listener: one that was kept after a probe would outlive its process.
async fn accept(
    listener: TcpListener,
    seen: mpsc::UnboundedSender<Seen>,
    released: mpsc::UnboundedSender<String>,
) {
    let mut connections = JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        let (seen, released) = (seen.clone(), released.clone());
        connections.spawn(async move {
            let mut wire = Wire { stream, ahead: Vec::new() };
            loop {
                let Some((head, body)) = wire.message().await else { return };
                if head.starts_with("DELETE /kv/leases/") {
                    wire.write("HTTP/1.1 204 No Content\r\n\r\n").await;
                    let _ = released.send(head);
                } else if head.starts_with("GET /alive") || head.starts_with("GET /metrics/load") {
                    let report = "TEXT util=0.1, queue=0, x0=0.2";
                    let length = report.len();
                    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
                    wire.write(&(head + report)).await;
                } else {
                    let (back, again) = oneshot::channel();
                    let _ = seen.send(Seen { head, body, wire, back });
                    let Ok(same) = again.await else { return };
                    wire = same;
                }
            }
        });
    }
}

impl Peer {
    /// Takes no more connections and drops those on which it waits for a request, as a process that has died;
    /// those of requests that the story has seen are the story's to drop.
    pub async fn stop(&mut self) {
        self.listening.abort();
        let ended = (&mut self.listening).await;
        assert!(ended.is_err_and(|error| error.is_cancelled()));
        self.stopped = Some(Reserved::at(&self.address));
    }

    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address").to_string();
        let (seen, sees) = mpsc::unbounded_channel();
        let (released, releases) = mpsc::unbounded_channel();
        let listening = tokio::spawn(accept(listener, seen.clone(), released.clone()));
        let senders = (seen, released);
        Peer { address, seen: sees, released: releases, senders, listening, stopped: None }
    }

    /// Takes connections again after it was stopped, at the same address.
    pub async fn resume(&mut self) {
        self.stopped = None;
        let listener = TcpListener::bind(&self.address).await.expect("its own port");
        let (seen, released) = self.senders.clone();
        self.listening = tokio::spawn(accept(listener, seen, released));
    }

    pub async fn next(&mut self) -> Seen {
        self.seen.recv().await.expect("the peer runs")
    }

    /// The head of the next call to let go of a state.
    pub async fn next_release(&mut self) -> String {
        self.released.recv().await.expect("the peer runs")
    }

    /// Requests that have come and were not looked at.
    pub fn unseen(&mut self) -> usize {
        std::iter::from_fn(|| self.seen.try_recv().ok()).count()
    }
}

impl Peer {
    /// As a reader: reads the next prompt, and keeps the connection.
    pub async fn reads(&mut self) {
        let mut seen = self.next().await;
        seen.answer("202 Accepted", "", r#"{"cached_tokens":0}"#).await;
        seen.go_on();
    }

    /// As a writer: serves the next request with one event, and keeps the connection.
    pub async fn writes(&mut self) {
        let mut seen = self.next().await;
        seen.begin().await;
        seen.chunk("data: [DONE]\n\n").await;
        seen.end().await;
        seen.go_on();
    }
}

/// The next request that comes to either of two peers.
pub async fn either(a: &mut Peer, b: &mut Peer) -> Seen {
    tokio::select! {
        seen = a.next() => seen,
        seen = b.next() => seen,
    }
}

/// The JSON-RPC response with this result.
pub fn result(id: &Value, result: Value) -> Value {
    json!({"jsonrpc": "2.0", "id": id, "result": result})
}

/// Serves the next request with one event.
pub async fn serve(reader: &mut Peer, writer: &mut Peer) {
    reader.reads().await;
    writer.writes().await;
}

/// A reader, a writer, and a conductor before them.
pub async fn pair() -> (Peer, Peer, Conductor) {
    let (reader, writer) = (Peer::start().await, Peer::start().await);
    let servers = [member("s-r", &reader.address, "reader"), member("s-w", &writer.address, "writer")];
    let conductor = Conductor::start(&servers, "").await;
    (reader, writer, conductor)
}

/// A discovery that tells this list once, and is silent from then on.
pub async fn telling_once(servers: &[Value]) -> String {
    let mut discovery = Peer::start().await;
    let (address, whole) = (discovery.address.clone(), list(1, true, servers).to_string());
    tokio::spawn(async move {
        discovery.next().await.answer("200 OK", "", &whole).await;
        let _silent = discovery.next().await;
        std::future::pending::<()>().await;
    });
    address
}

/// The head of an answer of events.
pub const HEAD: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Asks whether clients may come.
pub const UP: &str = "GET /up HTTP/1.1\r\nHost: x\r\n\r\n";

/// A figure that operators read.
pub async fn figure(admin: &str, name: &str) -> u64 {
    let mut wire = Wire::connect(admin).await;
    wire.write("GET /stats HTTP/1.1\r\nHost: x\r\n\r\n").await;
    let text = wire.rest().await;
    let (_, figure) = text.split_once(&format!("app.{name}:")).unwrap_or_else(|| panic!("{name} in {text}"));
    figure.split('|').next().expect("a figure").parse().expect("a number")
}

/// An address that is kept, so that no other story's server gets it, and at which nothing listens; a program
/// that is told to may listen there.
pub struct Reserved {
    pub address: String,
    _socket: TcpSocket,
}

impl Reserved {
    fn at(address: &str) -> Self {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.set_reuseaddr(true).expect("an option");
        socket.bind(address.parse().expect("an address")).expect("a port");
        Reserved { address: socket.local_addr().expect("an address").to_string(), _socket: socket }
    }
}

/// An address where nothing listens.
pub fn nowhere() -> Reserved {
    Reserved::at("127.0.0.1:0")
}

pub fn member(id: &str, address: &str, kind: &str) -> Value {
    json!({"id": id, "host_port": address, "locality": "a", "flavor": kind, "cell": 0,
        "phase": "in_service", "size": 1.0, "up_since_ms": 0})
}

pub fn list(revision: u64, complete: bool, members: &[Value]) -> Value {
    json!({"revision": revision, "complete": complete, "members": members})
}

/// Settings of a site with these kinds and roles.
pub fn settings(kinds: &[&str], roles: &[&str]) -> Value {
    let class = |name: &str, repeat: &str, deadline: f64| {
        json!({"AimMs": 1200.0, "DeadlineMs": deadline, "DedupWindowMs": 5000.0, "KeyScope": "all",
            "LateValue": 0.1, "Name": name, "Points": 1.0, "Repeat": repeat, "Stream": true})
    };
    json!({"Az": "a", "Zones": ["a"], "Discovery": "pushed", "Models": kinds, "Tenants": [],
        "Classes": [class("ask", "retryable", 5000.0), class("book", "fragile", 15000.0)],
        "Extra": {"AimUsPer1000PromptTokens": [40000.0, 40000.0], "CrossCellPrice": 0.02,
            "EarlyPairing": true, "KindRole": roles, "KvTokens": vec![1e9; kinds.len()],
            "ReleaseWithinMs": 300.0, "Resume": true, "SelfPrefill": false, "TokenAimMs": [60.0, 80.0]},
        "Limits": {"ConnIdleMs": 15000.0, "ConnectTimeoutMs": 250.0, "MaxRetryAfterMs": 500.0,
            "MayCancel": true, "Probes": true, "RetryAfter": true, "SecondCopies": true, "SendCap": 4},
        "OverShareWorth": 0.1, "Prices": {"CrossZone": 0.01, "LateFail": 0.036, "Probe": 0.003, "Waste": 0.05},
        "ReplicasOfMe": 1, "Report": {"Fields": ["load_share", "depth", "x0"], "Source": "probe"},
        "Rules": {"AnswerSlackMs": 8.0, "AskWithinMs": 10000.0, "ColdFrom": 0.34, "DrainGraceMs": 500.0,
            "FallMultiple": 2.5, "TipAfterMs": 2000.0, "WarmUpMs": 13000.0},
        "StepMs": 2.0})
}

pub fn config(discovery: &str, known: &[Value]) -> Value {
    json!({"name": "n1", "listen": "127.0.0.1:0", "discovery": discovery, "seed": "2a",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256}, "known": list(1, true, known),
        "settings": settings(&["reader", "writer"], &["read", "write"])})
}

/// An operator's document that sets up the JSON-RPC front with these tool servers.
pub fn operator(discovery: Option<&str>, servers: &[Value]) -> String {
    let server = |one: &Value| format!("server {} address={}\n", one["id"], one["host_port"]);
    let servers: String = servers.iter().map(server).collect();
    let discovery = discovery.map_or(String::new(), |address| format!("discovery \"{address}\"\n"));
    format!(
        "rpc {{\nlisten \"127.0.0.1:0\"\npath \"/rpc\"\nzones \"a\"\n{discovery}\
         class \"ask\" repeat=\"safe\" aim=\"1200ms\" deadline=\"5s\"\n\
         class \"book\" repeat=\"unsafe\" aim=\"1200ms\" deadline=\"15s\"\n\
         tool \"wagon.position\" class=\"ask\"\ntool \"path.hold\" class=\"book\"\n{servers}}}\n"
    )
}

/// An operator's document by its text.
pub fn parsed(text: &str) -> Operator {
    Operator::parse(&Source::new("operator.kdl", text)).expect("an operator's document")
}

/// A folder of this test's own, gone with it.
pub struct Folder(pub std::path::PathBuf);

impl Folder {
    pub fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("birchspur-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a folder");
        Folder(path)
    }

    pub fn write(&self, name: &str, text: &str) -> String {
        let path = self.0.join(name);
        std::fs::write(&path, text).expect("a file");
        path.display().to_string()
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A conductor that serves; its fronts' addresses.
pub struct Conductor {
    pub front: String,
    pub rpc: String,
    pub admin: String,
}

impl Conductor {
    /// Starts one whose discovery only ever tells the list that it knows already.
    pub async fn start(servers: &[Value], operator: &str) -> Self {
        Self::start_with(config(&telling_once(servers).await, servers), operator).await
    }

    /// The same with so many descriptors, and a front for operators.
    pub async fn with_sockets(servers: &[Value], sockets: usize) -> Self {
        let mut config = config(&telling_once(servers).await, servers);
        config["admin"] = json!("127.0.0.1:0");
        config["limits"]["sockets"] = json!(sockets);
        Self::start_with(config, "").await
    }

    pub async fn start_with(config: Value, operator: &str) -> Self {
        let config = Config::parse(&config.to_string()).expect("a configuration");
        let setup = Setup { config, operator: parsed(operator), file: None, accept: None };
        let program = Program::start(setup).await.expect("it starts");
        let (front, rpc) = program.addresses().expect("addresses");
        let admin = program.admin_address().expect("an address").map_or(String::new(), |at| at.to_string());
        let mut phases = program.phases();
        tokio::spawn(program.run());
        phases.wait_for(|phase| *phase == Phase::Serving).await.expect("it serves");
        let rpc = rpc.map_or(String::new(), |rpc| rpc.to_string());
        Conductor { front: front.to_string(), rpc, admin }
    }

    /// Sends a request of a class to the platform's front.
    pub async fn ask(&self, id: &str, class: &str, time_left: u32) -> Wire {
        let mut wire = Wire::connect(&self.front).await;
        wire.write(&platform_request(id, class, time_left, "{}")).await;
        wire
    }

    /// Posts to the JSON-RPC front, with further headers.
    pub async fn post(&self, headers: &str, body: &str) -> Wire {
        let mut wire = Wire::connect(&self.rpc).await;
        let length = body.len();
        wire.write(&format!(
            "POST /rpc HTTP/1.1\r\nHost: x\r\n{headers}Content-Length: {length}\r\n\r\n{body}"
        ))
        .await;
        wire
    }

    /// Posts a call of a tool.
    pub async fn call(&self, id: Value, tool: &str) -> Wire {
        self.post("X-Session-Key: s1\r\n", &tool_call(id, tool).to_string()).await
    }
}

pub fn platform_request(id: &str, class: &str, time_left: u32, body: &str) -> String {
    format!(
        "POST /v1/chat/completions?x=1 HTTP/1.1\r\nHost: service.internal\r\nX-Correlation-Id: {id}\r\n\
         X-Service-Class: {class}\r\nX-Session-Key: s\r\nX-Time-Left-Ms: {time_left}\r\n\
         X-Facts: prefix=5c0f,prompt_len=800,prefix_len=200,max_out=80\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

pub fn tool_call(id: Value, tool: &str) -> Value {
    json!({"jsonrpc": "2.0", "id": id, "method": "tools/call", "params": {"name": tool, "arguments": {}}})
}
