//! Plays one cell: the world, clients before and through the fault, and the verdict of the record.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::Duration;

use nix::sys::signal::Signal;
use tokio::sync::broadcast;
use tokio::task::JoinSet;
use tokio::time::{Instant, interval, sleep, timeout};

use crate::cell::{Acts, Cell, Class, Fault, Step, Target};
use crate::client::{Client, Request, Went};
use crate::gate::{Network, Play};
use crate::oracle::{Bounds, Break, Rule, judge};
use crate::record::{Line, Step as Seen, now};
use crate::world::{LONGEST_DEADLINE, NotRun, OF_EACH_ROLE, Programs, World};

/// Requests before the fault: the program has met each role, and keeps connections.
const WARM_UP: usize = 6;
/// Between two requests.
const EVERY: Duration = Duration::from_millis(20);
/// Requests go on for this long, or until the fault has been over for a while.
const TRAFFIC: Duration = Duration::from_millis(1_000);
/// So long after a fault is over.
const AFTERWARDS: Duration = Duration::from_millis(400);
/// Calls and connections are met with a fault of theirs for so long.
const FAULT_LASTS: Duration = Duration::from_millis(300);
/// A process that was killed is back after this.
const BACK_AFTER: Duration = Duration::from_millis(100);
/// The program may be held up for so long.
const HELD_UP: Duration = Duration::from_millis(150);
/// A client that is to leave does so by now at the latest.
const LEAVES_WITHIN: Duration = Duration::from_millis(1_000);
/// After the last answer: whatever is held has to be let go of by then.
const SETTLES: Duration = Duration::from_millis(900);

/// How a cell went.
#[derive(Debug)]
pub struct Played {
    /// Breaks of rules.
    pub breaks: Vec<Break>,
    /// Requests sent.
    pub sent: usize,
    /// Requests answered by a server.
    pub served: usize,
    /// The record.
    pub lines: Vec<Line>,
    /// The program's log.
    pub log: String,
}

/// A cell in play.
struct Faults {
    cell: Cell,
    world: OnceLock<Arc<World>>,
    armed: AtomicBool,
    began: Mutex<Option<Instant>>,
    taken: broadcast::Sender<(String, String)>,
    me: OnceLock<Arc<dyn Play>>,
}

impl Fault {
    /// How long it lasts; none if it stays, or has no length.
    fn lasts(self) -> Option<Duration> {
        match self {
            Fault::HangShort => Some(Duration::from_millis(200)),
            Fault::HangLong => Some(Duration::from_secs(1)),
            Fault::HangLongest => Some(Duration::from_secs(5)),
            Fault::StopProgram => Some(HELD_UP),
            _ => None,
        }
    }
}

impl Play for Faults {
    fn at(&self, server: &str, step: Step, _id: &str) -> Option<Fault> {
        if step != self.cell.step || !self.armed.load(Ordering::Relaxed) {
            return None;
        }
        let began = self.begin(server);
        let of_calls = matches!(self.cell.fault.acts(), Acts::OnConnection | Acts::OnAnswer);
        (of_calls && began.elapsed() < FAULT_LASTS).then_some(self.cell.fault)
    }

    fn taken(&self, server: &str, id: &str) {
        // Nobody may wait for it.
        let _ = self.taken.send((server.to_string(), id.to_string()));
        if let Some(world) = self.world.get() {
            world.taken(server, id);
        }
    }
}

impl Faults {
    fn begun(&self) -> Option<Instant> {
        *self.began.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Has the fault begin, unless it has; tells when it began.
    fn begin(&self, victim: &str) -> Instant {
        let mut began = self.began.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(began) = *began {
            return began;
        }
        let now = Instant::now();
        *began = Some(now);
        drop(began);
        self.strike(victim);
        now
    }

    /// The servers that it befalls: among them the one whose call has come to the step, where that is of the role.
    fn struck(&self, world: &World, victim: &str) -> Vec<String> {
        let some = |reads: bool, count: usize| {
            let mut servers = world.servers(reads);
            servers.sort_by_key(|name| name != victim);
            servers.truncate(count);
            servers
        };
        let most = OF_EACH_ROLE * 4 / 5;
        match self.cell.target {
            Target::Reader => some(true, 1),
            Target::Writer => some(false, 1),
            Target::Both => [some(true, 1), some(false, 1)].concat(),
            Target::AllReaders => some(true, OF_EACH_ROLE),
            Target::AllWriters => some(false, OF_EACH_ROLE),
            Target::MostReaders => some(true, most),
            Target::MostWriters => some(false, most),
            Target::Discovery | Target::Program => Vec::new(),
        }
    }

    fn strike(&self, victim: &str) {
        let Some(world) = self.world.get() else { return };
        world.record.note(victim, "", Seen::Fault);
        let servers = self.struck(world, victim);
        let fault = self.cell.fault;
        let signal = match fault {
            Fault::Hang | Fault::HangShort | Fault::HangLong | Fault::HangLongest => Some(Signal::SIGSTOP),
            Fault::Kill | Fault::Restart | Fault::Replace => Some(Signal::SIGKILL),
            _ => None,
        };
        let network = match fault {
            Fault::Vanish => Some(Network::MachineSilent),
            Fault::OpenSilent => Some(Network::OpenConnectionsSilent),
            _ => None,
        };
        for name in &servers {
            signal.iter().for_each(|signal| world.signal(name, *signal));
            network.iter().for_each(|network| world.set_network(name, *network));
        }
        if self.cell.target == Target::Discovery {
            signal.iter().for_each(|signal| world.signal_discovery(*signal));
        }
        match fault {
            Fault::StopProgram => world.signal_program(Signal::SIGSTOP),
            Fault::KillProgram => world.kill_program(),
            _ => {}
        }
        let (world, play) = (world.clone(), self.me.get().cloned());
        tokio::spawn(async move { heal(fault, servers, &world, play).await });
    }
}

/// What follows on the beginning of a fault: its end, or a new start.
async fn heal(fault: Fault, servers: Vec<String>, world: &Arc<World>, play: Option<Arc<dyn Play>>) {
    match fault {
        Fault::HangShort | Fault::HangLong | Fault::HangLongest => {
            sleep(fault.lasts().unwrap_or_default()).await;
            servers.iter().for_each(|name| world.signal(name, Signal::SIGCONT));
            world.signal_discovery(Signal::SIGCONT);
        }
        Fault::Restart | Fault::Replace => {
            sleep(BACK_AFTER).await;
            let Some(play) = play else { return };
            for name in &servers {
                if let Err(error) = world.start_again(name, &play, fault == Fault::Replace).await {
                    tracing::warn!(%error, name, "a server did not come back");
                }
            }
        }
        Fault::StopProgram => {
            sleep(HELD_UP).await;
            world.signal_program(Signal::SIGCONT);
        }
        Fault::KillProgram => {
            sleep(BACK_AFTER).await;
            if let Err(error) = world.start_program() {
                tracing::warn!(%error, "the program did not come back");
            }
        }
        Fault::EndProgram => world.end_program().await,
        _ => return,
    }
    world.record.note("", "", Seen::Healed);
}

/// The clients of a play.
struct Crowd {
    world: Arc<World>,
    class: &'static str,
    idle: Arc<Mutex<Vec<Client>>>,
    asked: usize,
    tasks: JoinSet<()>,
}

impl Crowd {
    fn new(world: &Arc<World>, class: Class) -> Self {
        let (idle, tasks) = (Arc::default(), JoinSet::new());
        Crowd { world: world.clone(), class: class.name(), idle, asked: 0, tasks }
    }

    fn next(&mut self) -> (Client, Request) {
        self.asked += 1;
        let kept = self.idle.lock().unwrap_or_else(PoisonError::into_inner).pop();
        let client = kept.unwrap_or_else(|| Client::new(&self.world.front, &self.world.record));
        (client, Request { id: format!("q{}", self.asked), class: self.class, wait: LONGEST_DEADLINE })
    }

    /// Sends the next request by a client that is free, or by a new one.
    fn ask(&mut self) {
        let (mut client, request) = self.next();
        let idle = self.idle.clone();
        self.tasks.spawn(async move {
            if client.ask(&request).await == Went::Answered {
                idle.lock().unwrap_or_else(PoisonError::into_inner).push(client);
            }
        });
    }

    /// Sends the next request by a client that leaves as a writer takes it.
    fn ask_and_leave(&mut self, faults: &Arc<Faults>) {
        let (mut client, request) = self.next();
        let (mut taken, faults) = (faults.taken.subscribe(), faults.clone());
        self.tasks.spawn(async move {
            let id = request.id.clone();
            let leave = async {
                let by_a_writer = async {
                    while let Ok((server, taken)) = taken.recv().await {
                        if taken == id && server.starts_with('w') {
                            return;
                        }
                    }
                };
                // Where no writer ever takes it, the client leaves all the same.
                let _ = timeout(LEAVES_WITHIN, by_a_writer).await;
            };
            client.ask_and_leave(&request, leave).await;
            if faults.cell.step == Step::ClientGone && faults.armed.load(Ordering::Relaxed) {
                faults.begin("");
            }
        });
    }

    async fn answered(&mut self) {
        while self.tasks.join_next().await.is_some() {}
    }
}

/// Plays a cell.
pub async fn play(programs: &Programs, cell: Cell, rule: Option<Rule>) -> Result<Played, NotRun> {
    let (taken, _) = broadcast::channel(256);
    let faults = Arc::new(Faults {
        cell,
        world: OnceLock::new(),
        armed: AtomicBool::new(false),
        began: Mutex::new(None),
        taken,
        me: OnceLock::new(),
    });
    let play: Arc<dyn Play> = faults.clone();
    let world = World::start(programs, &play).await?;
    let _ = faults.me.set(play);
    let _ = faults.world.set(world.clone());
    let mut crowd = Crowd::new(&world, cell.class);
    // The first connections are those of the first requests.
    let at_first = matches!(cell.step, Step::ReadHandshake | Step::FetchHandshake);
    faults.armed.store(at_first, Ordering::Relaxed);
    for _ in 0..WARM_UP {
        crowd.ask();
        crowd.answered().await;
    }
    faults.armed.store(true, Ordering::Relaxed);
    match cell.step {
        Step::Before => {
            faults.begin("");
        }
        Step::ListTold => {
            world.drain(&[world.servers(true)[..2].to_vec(), world.servers(false)[..2].to_vec()].concat());
            faults.begin("");
        }
        Step::Sigterm => {
            let ending = world.clone();
            tokio::spawn(async move { ending.end_program().await });
            faults.begin("");
        }
        _ => {}
    }
    traffic(&faults, &mut crowd).await;
    crowd.answered().await;
    sleep(SETTLES).await;
    let end = now();
    if faults.begun().is_none() {
        return Err(NotRun::NotReached);
    }
    let lines = world.record.lines();
    let mut breaks = judge(&lines, end, &bounds(cell.fault, &lines));
    breaks.retain(|found| rule.is_none_or(|rule| found.rule == rule));
    let count = |wanted: fn(&Seen) -> bool| lines.iter().filter(|line| wanted(&line.step)).count();
    let sent = count(|step| matches!(step, Seen::Sent { .. }));
    let served = count(|step| matches!(step, Seen::Answered { status: 200 }));
    let log = world.log();
    // The stand-ins and this play know each other: without this nothing would end.
    faults.armed.store(false, Ordering::Relaxed);
    world.end();
    Ok(Played { breaks, sent, served, lines, log })
}

/// The rules' bounds. Deadlines and windows allow for the time for which the program itself was held up.
fn bounds(fault: Fault, lines: &[Line]) -> Bounds {
    let mut bounds = Bounds::default();
    let at = |step: Seen| lines.iter().find(|line| line.step == step).map(|line| line.at);
    if let (Fault::StopProgram, Some(began), Some(ended)) = (fault, at(Seen::Fault), at(Seen::Healed)) {
        bounds.told += ended - began;
        bounds.window += ended - began;
    }
    bounds
}

/// Sends requests until the fault has come and gone.
async fn traffic(faults: &Arc<Faults>, crowd: &mut Crowd) {
    let mut ticks = interval(EVERY);
    let began = Instant::now();
    let leave = matches!(faults.cell.step, Step::ReleaseWritten | Step::ClientGone);
    loop {
        let lasts = faults.cell.fault.lasts().unwrap_or_default();
        let over = faults.begun().map_or(began, |begun| begun + lasts) + AFTERWARDS;
        if Instant::now() > over && began.elapsed() > TRAFFIC {
            return;
        }
        ticks.tick().await;
        if leave && crowd.asked.is_multiple_of(3) {
            crowd.ask_and_leave(faults);
        } else {
            crowd.ask();
        }
        // Through a long fault fewer will do.
        if began.elapsed() > TRAFFIC {
            sleep(EVERY * 4).await;
        }
    }
}
