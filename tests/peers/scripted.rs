//! A discovery that fails in the way it is told to, and the built program before it.

use std::process::Stdio;
use std::time::Duration;

use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::process::{Child, Command};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep, timeout};

use super::{Folder, Wire, list};

/// What it does with a call. A call keeps the way in which it was met.
#[derive(Clone, Debug, PartialEq)]
pub enum Manner {
    /// Takes the call and says nothing.
    Hangs,
    Refuses,
    Resets,
    /// Sends half of the list, and nothing more.
    Half,
    /// Sends half of the list, and closes.
    HalfAndClose,
    /// Sends a list byte by byte that never ends.
    Trickles,
    /// The same for the head.
    TricklesHead,
    /// Answers as the protocol wants, with this version and these members.
    Works {
        revision: u64,
        members: Vec<Value>,
        indented: bool,
    },
}

impl Manner {
    pub fn works(revision: u64, members: &[Value]) -> Self {
        Manner::Works { revision, members: members.to_vec(), indented: false }
    }
}

/// A call that has come.
#[derive(Debug)]
pub struct Came {
    pub at: Instant,
    /// The first line of its head.
    pub line: String,
    /// On which of discovery's connections, counted from 0.
    pub connection: usize,
}

pub struct Scripted {
    pub address: String,
    pub manner: watch::Sender<Manner>,
    /// What befalls the watches that wait when it is told.
    pub befalls: watch::Sender<Manner>,
    calls: mpsc::UnboundedReceiver<Came>,
}

impl Scripted {
    pub async fn start(manner: Manner) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address").to_string();
        let (manner, manners) = watch::channel(manner);
        let (befalls, befall) = watch::channel(Manner::Hangs);
        let (came, calls) = mpsc::unbounded_channel();
        tokio::spawn(async move {
            for connection in 0.. {
                let Ok((stream, _)) = listener.accept().await else { return };
                tokio::spawn(serve(stream, connection, (manners.clone(), befall.clone()), came.clone()));
            }
        });
        Scripted { address, manner, befalls, calls }
    }

    pub async fn next(&mut self) -> Came {
        self.calls.recv().await.expect("it runs")
    }

    /// The next call with this in its first line.
    pub async fn next_with(&mut self, part: &str) -> Came {
        loop {
            let came = self.next().await;
            if came.line.contains(part) {
                return came;
            }
        }
    }
}

async fn serve(
    mut stream: TcpStream,
    connection: usize,
    (mut manners, mut befall): (watch::Receiver<Manner>, watch::Receiver<Manner>),
    calls: mpsc::UnboundedSender<Came>,
) {
    loop {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            if !matches!(stream.read_buf(&mut head).await, Ok(n) if n > 0) {
                return;
            }
        }
        let head = String::from_utf8(head).expect("text");
        let line = head.lines().next().expect("a line").to_string();
        let manner = manners.borrow_and_update().clone();
        let _ = calls.send(Came { at: Instant::now(), line: line.clone(), connection });
        befall.mark_unchanged();
        let whole = list(99, true, &[]).to_string();
        let long = |length: usize| format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
        let begun = match manner {
            Manner::Works { .. } => {
                let answer = tokio::select! {
                    biased;
                    Ok(()) = befall.changed() => None,
                    answer = answer(&line, &mut manners) => answer,
                };
                let Some(answer) = answer else {
                    if *befall.borrow() == Manner::Resets {
                        return reset(&stream);
                    }
                    // The call stays open and silent until the other side ends it.
                    let _ = stream.read(&mut [0]).await;
                    return;
                };
                if stream.write_all(answer.as_bytes()).await.is_err() {
                    return;
                }
                continue;
            }
            Manner::Refuses => {
                let refusal = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
                if stream.write_all(refusal.as_bytes()).await.is_err() {
                    return;
                }
                continue;
            }
            Manner::Resets => return reset(&stream),
            Manner::Hangs => String::new(),
            Manner::Half | Manner::HalfAndClose => long(whole.len()) + &whole[..whole.len() / 2],
            Manner::Trickles => long(1_000_000) + "{\"members\":[",
            Manner::TricklesHead => "HTTP/1.1 200 OK\r\nX-Endless: ".to_string(),
        };
        if stream.write_all(begun.as_bytes()).await.is_err() || manner == Manner::HalfAndClose {
            return;
        }
        // Up to the other side's end; what trickles goes on meanwhile.
        let mut more = [0];
        loop {
            let pause = sleep(Duration::from_millis(20));
            tokio::select! {
                _ = stream.read(&mut more) => return,
                () = pause => {}
            }
            let trickles = matches!(manner, Manner::Trickles | Manner::TricklesHead);
            if trickles && stream.write_all(b" ").await.is_err() {
                return;
            }
        }
    }
}

/// The connection is reset as it is dropped.
fn reset(stream: &TcpStream) {
    socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO)).expect("an option");
}

/// The protocol's answer; none if discovery falls silent while the call waits.
async fn answer(line: &str, manners: &mut watch::Receiver<Manner>) -> Option<String> {
    let number = |name: &str| {
        let (_, rest) = line.split_once(name)?;
        rest.split(['&', ' ']).next()?.parse::<u64>().ok()
    };
    let (from, hold) = (number("from="), number("hold_ms=").unwrap_or(0));
    let until = Instant::now() + Duration::from_millis(hold);
    loop {
        let now = manners.borrow_and_update().clone();
        let Manner::Works { revision, members, indented } = now else { return None };
        let body = match from {
            None => Some(list(revision, true, &members)),
            Some(from) if from < revision => Some(list(revision, false, &members)),
            Some(_) if Instant::now() >= until => Some(list(revision, false, &[])),
            Some(_) => None,
        };
        if let Some(body) = body {
            let pretty = || serde_json::to_string_pretty(&body).expect("JSON").replace('\n', "\r\n\t ");
            let body = if indented { pretty() } else { body.to_string() };
            return Some(format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()));
        }
        tokio::select! {
            changed = manners.changed() => changed.ok()?,
            () = tokio::time::sleep_until(until) => {}
        }
    }
}

/// The built program with a configuration of its own, which ends with it.
pub struct Program {
    pub front: String,
    pub began: Instant,
    child: Child,
    folder: Folder,
    config: Value,
    _reserved: super::Reserved,
}

impl Program {
    pub fn start(name: &str, mut config: Value) -> Self {
        let (folder, reserved) = (Folder::new(name), super::nowhere());
        let front = reserved.address.clone();
        config["listen"] = json!(front);
        let path = folder.write("config.json", &config.to_string());
        let began = Instant::now();
        let child = Command::new(env!("CARGO_BIN_EXE_birchspur"))
            .env("LB_CONFIG", path)
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .kill_on_drop(true)
            .spawn()
            .expect("it starts");
        Program { front, began, child, folder, config, _reserved: reserved }
    }

    /// Moves discovery in the configuration, and says so.
    pub async fn move_discovery(&self, address: &str) {
        let mut config = self.config.clone();
        config["discovery"] = json!(address);
        self.folder.write("config.json", &config.to_string());
        self.signal("HUP").await;
    }

    /// Sends a signal to the process.
    pub async fn signal(&self, name: &str) {
        let id = self.child.id().expect("it runs").to_string();
        let sent = Command::new("kill").args([&format!("-{name}"), &id]).status().await.expect("kill runs");
        assert!(sent.success());
    }

    /// How long after its start it has said that clients may come; none if that takes longer than this.
    pub async fn ready(&self, within: Duration) -> Option<Duration> {
        let up = async {
            loop {
                if let Ok(stream) = TcpStream::connect(&self.front).await {
                    let mut wire = Wire::of(stream);
                    wire.write_all_it_takes("GET /up HTTP/1.1\r\nHost: x\r\n\r\n").await;
                    if wire.until("\r\n").await.is_some_and(|line| line.contains(" 200 ")) {
                        return self.began.elapsed();
                    }
                }
                sleep(Duration::from_millis(10)).await;
            }
        };
        timeout(within.saturating_sub(self.began.elapsed()), up).await.ok()
    }
}
