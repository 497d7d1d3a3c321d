//! Seeded plays with a crowd: slow, half and flooding clients, clients that leave and come back with their id, servers whose
//! streams are spoilt or slow, and the process killed or told to end in series, all at once. What clients and servers saw,
//! and the system's figures of the process's memory, are judged afterwards.

mod clients;
mod process;
mod servers;
mod verdict;

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use fastrand::Rng;
use serde_json::{Value, json};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};

use self::clients::{Client, Kind};
use self::process::{Process, ProcessSetup};
use self::servers::{Discovery, Server};
pub use self::verdict::{Break, Rule};
use self::verdict::{Log, judge};
use crate::world::{LONGEST_DEADLINE, NotRun};

/// The clients of a crowd; they hold at most a third of the descriptors.
const CROWDS: [usize; 3] = [30, 120, 330];
/// The memory limits of the plays, in megabytes.
const MEMORY_LIMITS_MB: [u64; 2] = [32, 192];
/// Servers of each role.
const SERVERS: usize = 4;
/// How long clients send.
const PLAY_TIME: Duration = Duration::from_secs(8);
/// The front brings new connections for this long after SIGTERM.
const FRONT_NOTICES: Duration = Duration::from_millis(300);
/// SIGKILL comes this much after the longest deadline, counted from SIGTERM.
const KILL_AFTER: Duration = Duration::from_millis(700);
/// Usual clients of each play.
const USUAL_CLIENTS: usize = 6;

/// One play.
#[derive(Clone, Debug)]
pub struct Play {
    /// What it is drawn from.
    pub seed: u64,
    /// The memory limit of the process, in megabytes.
    pub memory_mb: u64,
    /// How many clients there are.
    pub clients: usize,
}

/// What became of a play.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The play.
    pub play: Play,
    /// The rules that were broken.
    pub breaks: Vec<Break>,
    /// How many requests were sent, and how many of them were served.
    pub sent: usize,
    /// See `sent`.
    pub served: usize,
    /// The largest resident set, in bytes.
    pub peak: u64,
    /// How often the process was started.
    pub starts: usize,
}

impl Play {
    /// Draws a play from its seed.
    pub fn of_seed(seed: u64) -> Self {
        let mut rng = Rng::with_seed(seed);
        let memory_mb = MEMORY_LIMITS_MB[rng.usize(..MEMORY_LIMITS_MB.len())];
        Play { seed, memory_mb, clients: CROWDS[rng.usize(..CROWDS.len())] }
    }
}

/// The settings of the plays: classes with deadlines of 2 s at most, so that SIGKILL may come early.
fn settings() -> Value {
    let class = |name: &str, repeat: &str| {
        json!({"AimMs": 800.0, "DeadlineMs": LONGEST_DEADLINE.as_millis() as f64, "DedupWindowMs": 1000.0,
            "KeyScope": "all", "LateValue": 0.1, "Name": name, "Points": 1.0, "Repeat": repeat, "Stream": true})
    };
    json!({"Az": "a", "Zones": ["a"], "Discovery": "pushed", "Models": ["reader", "writer"], "Tenants": [],
        "Classes": [class("ask", "retryable"), class("book", "fragile")],
        "Extra": {"AimUsPer1000PromptTokens": [40000.0, 40000.0], "CrossCellPrice": 0.02, "EarlyPairing": true,
            "KindRole": ["read", "write"], "KvTokens": [1e9, 1e9], "ReleaseWithinMs": 300.0, "Resume": true,
            "SelfPrefill": false, "TokenAimMs": [60.0, 80.0]},
        "Limits": {"ConnIdleMs": 15000.0, "ConnectTimeoutMs": 250.0, "MaxRetryAfterMs": 500.0, "MayCancel": true,
            "Probes": true, "RetryAfter": true, "SecondCopies": false, "SendCap": 4},
        "OverShareWorth": 0.1, "Prices": {"CrossZone": 0.01, "LateFail": 0.036, "Probe": 0.003, "Waste": 0.05},
        "ReplicasOfMe": 1, "Report": {"Fields": ["load_share", "depth", "x0"], "Source": "probe"},
        "Rules": {"AnswerSlackMs": 8.0, "AskWithinMs": 10000.0, "ColdFrom": 0.34, "DrainGraceMs": 500.0,
            "FallMultiple": 2.5, "TipAfterMs": 2000.0, "WarmUpMs": 13000.0},
        "StepMs": 2.0})
}

/// Plays one play. With a folder to keep it in, the log of the process is written there.
pub async fn run(program: &Path, play: Play, keep: Option<&Path>) -> Result<Outcome, NotRun> {
    let mut rng = Rng::with_seed(play.seed ^ 0x5eed);
    let log = Log::default();
    let mut members = Vec::new();
    let mut servers = JoinSet::new();
    for number in 0..2 * SERVERS {
        let reads = number < SERVERS;
        let server = Server::bind(reads, rng.fork(), log.clone()).await?;
        members.push(json!({"id": format!("s-{number}"), "host_port": server.address, "locality": "a",
            "flavor": if reads { "reader" } else { "writer" }, "cell": 0, "phase": "in_service", "size": 1.0,
            "up_since_ms": 0}));
        servers.spawn(server.serve());
    }
    let discovery = Discovery::bind(&members).await?;
    let setup = ProcessSetup {
        program: program.to_path_buf(),
        config: json!({"name": "n1", "discovery": discovery.address, "seed": format!("{:x}", play.seed),
            "limits": {"cores": 1.0, "memory_mb": play.memory_mb, "sockets": 1024},
            "known": {"revision": 1, "complete": true, "members": members}, "settings": settings()}),
        log_file: keep.map(|folder| folder.join(format!("seed-{}.log", play.seed))),
    };
    servers.spawn(discovery.serve());
    let process = Arc::new(Process::start(setup, log.clone()).await?);
    let watcher = tokio::spawn(process.clone().watch_memory());
    let until = Instant::now() + PLAY_TIME;
    let mut clients = JoinSet::new();
    for number in 0..play.clients {
        let kind = if number < USUAL_CLIENTS { Kind::Usual } else { Kind::drawn(&mut rng) };
        let client = Client::new(kind, number, process.clone(), log.clone(), rng.fork());
        clients.spawn(client.run(until));
    }
    disturb(&process, &mut rng, until).await?;
    while clients.join_next().await.is_some() {}
    process.settle().await?;
    watcher.abort();
    let peak = process.peak();
    let starts = process.starts();
    let memory_limit = play.memory_mb * 1_000_000;
    let (breaks, sent, served) = judge(&log, &process.lives(), memory_limit, process.settled());
    Ok(Outcome { play, breaks, sent, served, peak, starts })
}

/// Kills the process, or tells it to end, in series with calm between them.
async fn disturb(process: &Process, rng: &mut Rng, until: Instant) -> Result<(), NotRun> {
    let calm = |rng: &mut Rng| Duration::from_millis(rng.u64(800..3_000));
    sleep(calm(rng)).await;
    // After this no series begins, so that the last life lasts to the end of its requests.
    while Instant::now() + Duration::from_secs(3) < until {
        for _ in 0..rng.usize(1..4) {
            if rng.bool() {
                process.kill().await;
            } else {
                process.terminate();
                sleep(FRONT_NOTICES).await;
                process.refuse_connections();
                sleep(LONGEST_DEADLINE + KILL_AFTER - FRONT_NOTICES).await;
                process.kill().await;
            }
            sleep(Duration::from_millis(rng.u64(0..400))).await;
            process.restart().await?;
            sleep(Duration::from_millis(rng.u64(50..500))).await;
        }
        sleep(calm(rng)).await;
    }
    sleep_until(until).await;
    Ok(())
}
