//! The process under test: its lives, its signals and its memory.

use std::path::PathBuf;
use std::process::Stdio;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::Value;
use tempfile::TempDir;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpSocket, TcpStream};
use tokio::process::{Child, Command};
use tokio::time::{Instant, sleep, timeout};

use super::verdict::{Life, Log, Settled};
use crate::http::{Reader, status};
use crate::world::NotRun;

/// The operator's document: what the log tells.
const OPERATOR: &str = "log filter=\"info,birchspur::attempt=debug,birchspur::memory=debug\"\n";
/// A process has to be there within this.
const STARTS_WITHIN: Duration = Duration::from_secs(10);
/// How often its memory is looked at.
const MEMORY_INTERVAL: Duration = Duration::from_millis(20);
/// How long memory may take to be given back after the crowd.
const SETTLE_WITHIN: Duration = Duration::from_secs(10);
/// How far above its size at rest the process may stay before that counts, in bytes.
const SETTLED_AT: u64 = 4 << 20;

/// How a process is started.
pub(super) struct ProcessSetup {
    pub(super) program: PathBuf,
    /// Its configuration, without the address to listen on.
    pub(super) config: Value,
    /// Where its log is kept, if it is.
    pub(super) log_file: Option<PathBuf>,
}

struct State {
    child: Option<Child>,
    lives: Vec<Life>,
    settled: Settled,
}

/// The process, over all its lives.
pub(super) struct Process {
    setup: ProcessSetup,
    folder: TempDir,
    /// Where clients connect.
    pub(super) address: String,
    /// The front brings connections.
    accepts: AtomicBool,
    state: Mutex<State>,
    _log: Log,
    /// Keeps the port for all lives.
    _port: TcpSocket,
}

fn system(what: &'static str) -> impl Fn(std::io::Error) -> NotRun {
    move |error| NotRun::System(what, error)
}

impl Process {
    /// Starts the first life and waits until it can serve.
    pub(super) async fn start(setup: ProcessSetup, log: Log) -> Result<Self, NotRun> {
        let folder = TempDir::with_prefix("birchspur-crowd-").map_err(system("no folder"))?;
        let port = TcpSocket::new_v4().map_err(system("no socket"))?;
        port.set_reuseaddr(true).map_err(system("no socket"))?;
        port.bind(([127, 0, 0, 1], 0).into()).map_err(system("no port"))?;
        let address = port.local_addr().map_err(system("no port"))?.to_string();
        let mut config = setup.config.clone();
        config["listen"] = Value::from(address.as_str());
        std::fs::write(folder.path().join("config.json"), config.to_string()).map_err(system("no folder"))?;
        let state = State { child: None, lives: Vec::new(), settled: Settled::default() };
        let process = Process {
            setup,
            folder,
            address,
            accepts: AtomicBool::default(),
            state: Mutex::new(state),
            _log: log,
            _port: port,
        };
        process.restart().await?;
        sleep(Duration::from_millis(300)).await;
        let at_rest = process.memory().map_or(0, |(resident, _)| resident);
        process.state().settled.at_rest = at_rest;
        Ok(process)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Begins the next life.
    pub(super) async fn restart(&self) -> Result<(), NotRun> {
        let operator = self.folder.path().join("operator.kdl");
        std::fs::write(&operator, OPERATOR).map_err(system("no folder"))?;
        let child = Command::new(&self.setup.program)
            .args(["serve", "--operator"])
            .arg(operator)
            .env("LB_CONFIG", self.folder.path().join("config.json"))
            .env("TMPDIR", self.folder.path())
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(self.log()?)
            .kill_on_drop(true)
            .spawn()
            .map_err(system("the program can't be started"))?;
        let life =
            Life { began: Instant::now(), terminated: None, killed: None, ended_by_itself: false, peak: 0 };
        {
            let mut state = self.state();
            state.child = Some(child);
            state.lives.push(life);
        }
        timeout(STARTS_WITHIN, self.until_up())
            .await
            .map_err(|_| NotRun::NotReady("the program".to_string()))?;
        if let Some(life) = self.state().lives.last_mut() {
            life.began = Instant::now();
        }
        self.accepts.store(true, Ordering::Relaxed);
        Ok(())
    }

    /// Returns where the process writes its log.
    fn log(&self) -> Result<Stdio, NotRun> {
        let Some(path) = &self.setup.log_file else { return Ok(Stdio::null()) };
        let file = std::fs::OpenOptions::new().create(true).append(true).open(path);
        Ok(file.map_err(system("no log"))?.into())
    }

    async fn until_up(&self) {
        while !self.is_up().await {
            sleep(Duration::from_millis(5)).await;
        }
    }

    async fn is_up(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(&self.address).await else { return false };
        if stream.write_all(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n").await.is_err() {
            return false;
        }
        let head = Reader::new(stream).head().await;
        head.ok().flatten().is_some_and(|(head, _)| status(&head) == Some(200))
    }

    /// Connects a client; `None` while the front brings no connections.
    pub(super) async fn connect(&self) -> Option<TcpStream> {
        if !self.accepts.load(Ordering::Relaxed) {
            return None;
        }
        let stream = TcpStream::connect(&self.address).await.ok()?;
        stream.set_nodelay(true).ok()?;
        Some(stream)
    }

    /// From now on the front brings no connections.
    pub(super) fn refuse_connections(&self) {
        self.accepts.store(false, Ordering::Relaxed);
    }

    /// Sends SIGTERM.
    pub(super) fn terminate(&self) {
        self.signal(Signal::SIGTERM);
        if let Some(life) = self.state().lives.last_mut() {
            life.terminated = Some(Instant::now());
        }
    }

    /// Ends the life with SIGKILL.
    pub(super) async fn kill(&self) {
        self.refuse_connections();
        self.note_memory();
        let child = self.state().child.take();
        let Some(mut child) = child else { return };
        let ended_before = matches!(child.try_wait(), Ok(Some(_)));
        if let Some(life) = self.state().lives.last_mut() {
            life.killed = Some(Instant::now());
            life.ended_by_itself = ended_before && life.terminated.is_none();
        }
        let _ = child.kill().await;
    }

    fn signal(&self, signal: Signal) {
        if let Some(id) = self.state().child.as_ref().and_then(Child::id) {
            // It may have ended.
            let _ = kill(Pid::from_raw(id as i32), signal);
        }
    }

    /// Returns the resident set and its peak, in bytes.
    fn memory(&self) -> Option<(u64, u64)> {
        let id = self.state().child.as_ref().and_then(Child::id)?;
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let bytes = |name: &str| {
            let line = status.lines().find_map(|line| line.strip_prefix(name))?;
            line.split_whitespace().next()?.parse::<u64>().ok().map(|kib| kib * 1024)
        };
        Some((bytes("VmRSS:")?, bytes("VmHWM:")?))
    }

    fn note_memory(&self) {
        let Some((_, peak)) = self.memory() else { return };
        if let Some(life) = self.state().lives.last_mut() {
            life.peak = life.peak.max(peak);
        }
    }

    /// Notes the memory of all lives, until the task is ended.
    pub(super) async fn watch_memory(self: std::sync::Arc<Self>) {
        loop {
            self.note_memory();
            sleep(MEMORY_INTERVAL).await;
        }
    }

    /// Waits until memory is given back after the crowd, and asks whether usual requests are served.
    pub(super) async fn settle(&self) -> Result<(), NotRun> {
        let at_rest = self.state().settled.at_rest;
        let resident = || self.memory().map_or(u64::MAX, |(resident, _)| resident);
        let given_back = async {
            while resident() > at_rest + SETTLED_AT {
                sleep(Duration::from_millis(100)).await;
            }
        };
        // What is still in use then is judged.
        let _ = timeout(SETTLE_WITHIN, given_back).await;
        let mut is_served = false;
        for attempt in 0..10 {
            is_served = is_served || self.serves(&format!("ask-settled-{attempt}")).await;
        }
        self.note_memory();
        let after = resident();
        let mut state = self.state();
        (state.settled.after, state.settled.is_served) = (after, is_served);
        let ended = state.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))));
        if let Some(life) = state.lives.last_mut() {
            life.ended_by_itself |= ended;
        }
        Ok(())
    }

    async fn serves(&self, id: &str) -> bool {
        let Some(mut stream) = self.connect().await else { return false };
        let request = super::clients::request_text(id, 2000, "{}");
        if stream.write_all(request.as_bytes()).await.is_err() {
            return false;
        }
        let head = timeout(Duration::from_secs(3), Reader::new(stream).head()).await;
        matches!(head, Ok(Ok(Some((head, _)))) if status(&head) == Some(200))
    }

    /// Returns the largest resident set of all lives, in bytes.
    pub(super) fn peak(&self) -> u64 {
        self.state().lives.iter().map(|life| life.peak).max().unwrap_or(0)
    }

    /// Returns how often the process was started.
    pub(super) fn starts(&self) -> usize {
        self.state().lives.len()
    }

    /// Returns all lives.
    pub(super) fn lives(&self) -> Vec<Life> {
        self.state().lives.clone()
    }

    /// Returns what has happened after the crowd.
    pub(super) fn settled(&self) -> Settled {
        self.state().settled.clone()
    }
}
