//! The actor of a pool's list: it owns the membership, hears discovery and the watched files, keeps the last
//! good set, and hands generations to the module's actor.

pub mod discovery;
pub mod files;
pub mod keep;

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use tokio::sync::{mpsc, watch};
use tokio::task::{JoinError, JoinHandle};

use super::clock::Clock;
use super::hub::message::{Hub, Message};
use crate::documents::servers::seconds;
use crate::interface::*;
use crate::membership::guard::FilesByZone;
use crate::membership::{Input, ListedServer, Membership, Output, Reason, Refusal, Scan, SetFile};
use crate::protocol::platform::List;
use crate::protocol::settings::Names;
use crate::routing::PoolId;

/// News that may wait for a list.
const MAILBOX: usize = 16;

/// What a list is told.
pub enum News {
    /// Discovery has answered.
    Discovery(ListScope, List),
    /// The directory of files was read.
    Scan(Scan),
}

/// The way to a list's actor.
#[derive(Clone)]
pub struct ListHandle(mpsc::Sender<News>);

impl ListHandle {
    /// Tells the list something.
    pub async fn send(&self, news: News) {
        // It is gone only when the program ends.
        let _ = self.0.send(news).await;
    }

    /// The same from a thread of its own; false when nobody listens any more.
    pub fn send_from_thread(&self, news: News) -> bool {
        self.0.blocking_send(news).is_ok()
    }
}

/// Tries a set of files: what speaks against it, or nothing. It takes its time, and ends early once the second
/// argument says no; what it says then does not count.
pub type Try = Arc<dyn Fn(&FilesByZone, &dyn Fn() -> bool) -> Vec<Refusal> + Send + Sync>;

/// A trial that runs on a thread of its own.
struct Running {
    number: u64,
    stop: Arc<AtomicBool>,
    thread: JoinHandle<Vec<Refusal>>,
}

/// The actor of one pool's list.
pub struct ListActor {
    pool: PoolId,
    /// None only while it works beside the routing thread.
    membership: Option<Membership>,
    names: Names,
    clock: Clock,
    hub: Hub,
    inbox: mpsc::Receiver<News>,
    state: Option<PathBuf>,
    /// News that can make somebody a member has come.
    heard: watch::Sender<bool>,
    by_files: bool,
    guard: Option<Try>,
    running: Option<Running>,
}

/// What a list's actor stands on.
pub struct ListParts {
    /// Whose list.
    pub pool: PoolId,
    /// Who is a member.
    pub membership: Membership,
    /// The names of the settings.
    pub names: Names,
    /// The clock, also for when servers started.
    pub clock: Clock,
    /// Where generations go.
    pub hub: Hub,
    /// Where the last good set is kept.
    pub state: Option<PathBuf>,
    /// Files are set up, so that discovery's word alone makes nobody a member.
    pub by_files: bool,
    /// How sets are tried, where the membership's rules want that.
    pub guard: Option<Try>,
}

impl ListActor {
    /// The actor before it runs, the way to it, and whether it has heard of servers.
    pub fn new(parts: ListParts) -> (Self, ListHandle, watch::Receiver<bool>) {
        let (sender, inbox) = mpsc::channel(MAILBOX);
        let (heard, is_heard) = watch::channel(false);
        let ListParts { pool, membership, names, clock, hub, state, by_files, guard } = parts;
        let membership = Some(membership);
        let running = None;
        let actor =
            ListActor { pool, membership, names, clock, hub, inbox, state, heard, by_files, guard, running };
        (actor, ListHandle(sender), is_heard)
    }

    /// Whether a set of files is in service.
    pub fn has_set(&self) -> bool {
        self.membership.as_ref().is_some_and(|membership| !membership.accepted().is_empty())
    }

    /// What of the files is refused at present.
    pub fn refused(&self) -> &[Refusal] {
        self.membership.as_ref().map_or(&[], Membership::refused)
    }

    /// Hands on the list as it was known at the start, perhaps old.
    pub async fn known(&mut self, list: &List) {
        let listed = self.listed(list);
        self.feed(Input::Discovery(ListScope::Cached, listed)).await;
    }

    /// The same for servers that a document lists.
    pub async fn known_servers(&mut self, listed: Vec<ListedServer>) {
        self.feed(Input::Discovery(ListScope::Cached, listed)).await;
    }

    /// Begins from the set that was kept.
    pub async fn saved(&mut self, generation: u64, files: Vec<SetFile>) {
        self.feed(Input::Saved(generation, files.into_iter().map(Arc::new).collect())).await;
    }

    /// Takes a first scan, and waits for the trial of its set where there is one.
    pub async fn scanned(&mut self, scan: Scan) {
        self.feed(Input::Scan(scan)).await;
        while self.running.is_some() {
            let due = self.due();
            tokio::select! {
                (number, found) = ended(&mut self.running) => self.tried(number, found).await,
                () = crate::transport::clock::sleep_until(due) => self.feed(Input::Tick).await,
            }
        }
    }

    fn due(&self) -> Option<tokio::time::Instant> {
        let due = self.membership.as_ref().and_then(Membership::next_due);
        due.map(|at| self.clock.instant(at).into())
    }

    async fn tried(&mut self, number: u64, found: Result<Vec<Refusal>, JoinError>) {
        match found {
            Ok(refusals) => self.feed(Input::TrialEnded(number, refusals)).await,
            // It counts as one that does not end: the membership knows what follows.
            Err(error) => tracing::error!(%error, "a trial of servers has broken off"),
        }
    }

    /// Runs for as long as the program does.
    pub async fn run(mut self) {
        loop {
            let due = self.due();
            let news = tokio::select! {
                (number, found) = ended(&mut self.running) => {
                    self.tried(number, found).await;
                    continue;
                }
                news = self.inbox.recv() => match news {
                    Some(news) => Some(news),
                    // Without discovery and files time alone goes on.
                    None if due.is_some() => None,
                    None => return,
                },
                () = crate::transport::clock::sleep_until(due) => None,
            };
            match news {
                Some(News::Discovery(scope, list)) => {
                    if list.complete || !list.members.is_empty() {
                        let listed = self.listed(&list);
                        self.feed(Input::Discovery(scope, listed)).await;
                    }
                    if !self.by_files {
                        self.heard.send_replace(true);
                    }
                }
                Some(News::Scan(scan)) => self.feed(Input::Scan(scan)).await,
                None => {}
            }
            self.feed(Input::Tick).await;
        }
    }

    /// Discovery's members; those that name what the settings don't know are passed over.
    fn listed(&self, list: &List) -> Vec<ListedServer> {
        let started = |ms| self.clock.at_unix_ms(ms);
        let listed = |member: &crate::protocol::platform::Member| {
            let entry = member.entry(&self.names, started)?;
            Some(ListedServer {
                entry,
                name: member.id.as_str().into(),
                address: member.host_port.as_str().into(),
            })
        };
        list.members.iter().filter_map(listed).collect()
    }

    async fn feed(&mut self, input: Input) {
        let Some(mut membership) = self.membership.take() else { return };
        let now = self.clock.now();
        let work = move || {
            let mut out = Vec::new();
            membership.handle(now, input, &mut out);
            (membership, out)
        };
        // Thousands of servers take a while to check: routing does not wait for that.
        let done = if self.by_files { tokio::task::spawn_blocking(work).await } else { Ok(work()) };
        let (membership, out) = match done {
            Ok(done) => done,
            Err(error) => return tracing::error!(%error, "the list of servers stays as it is from now on"),
        };
        self.membership = Some(membership);
        for output in out {
            match output {
                Output::Publish(generation) => {
                    tracing::info!(
                        target: "birchspur::membership",
                        pool = self.pool.0,
                        generation = generation.number,
                        cause = ?generation.cause,
                        members = generation.members.len(),
                        "servers changed"
                    );
                    let ready = || {
                        let ready = generation.members.iter().filter(|m| m.entry.state == ServerState::Ready);
                        ready.map(|member| &*member.address).collect::<Vec<_>>().join(" ")
                    };
                    tracing::debug!(
                        target: "birchspur::membership",
                        generation = generation.number,
                        ready = ready().as_str(),
                        "these take work"
                    );
                    self.hub.send(Message::List(self.pool, generation)).await;
                    if self.by_files && self.has_set() {
                        self.heard.send_replace(true);
                    }
                }
                Output::Save(generation) => {
                    if let Some(state) = self.state.clone() {
                        let kept = keep::kept(&generation);
                        // Beside the runtime's thread: the disk may be slow, and routing does not wait for it.
                        let saved = tokio::task::spawn_blocking(move || keep::save(&state, &kept)).await;
                        match saved {
                            Ok(Ok(())) => {}
                            Ok(Err(error)) => tracing::warn!(%error, "the set of servers was not kept"),
                            Err(error) => tracing::warn!(%error, "the set of servers was not kept"),
                        }
                    }
                }
                // Nothing is wrong with it: it has to stand for a while.
                Output::Refuse(refusal) if *refusal.reason == Reason::AwaitingQuietPeriod => {
                    tracing::info!(target: "birchspur::membership", pool = self.pool.0, "waits: {refusal}");
                }
                Output::Refuse(refusal) => {
                    let place = &refusal.location;
                    tracing::warn!(
                        target: "birchspur::membership",
                        pool = self.pool.0,
                        file.name = %place.file,
                        file.line = place.line,
                        file.column = place.column,
                        "not taken: {refusal}"
                    );
                }
                Output::Warn(refusal) => {
                    tracing::warn!(target: "birchspur::membership", pool = self.pool.0, "{refusal}");
                }
                Output::StartTrial(number, files) => {
                    if let Some(guard) = self.guard.clone() {
                        let stop = Arc::new(AtomicBool::new(false));
                        let stopped = stop.clone();
                        let work = move || guard(&files, &|| !stopped.load(Ordering::Relaxed));
                        let thread = tokio::task::spawn_blocking(work);
                        self.running = Some(Running { number, stop, thread });
                    }
                }
                Output::StopTrial(number) => {
                    if let Some(running) = self.running.take_if(|running| running.number == number) {
                        running.stop.store(true, Ordering::Relaxed);
                    }
                }
                Output::RefusalsCleared => {
                    tracing::info!(target: "birchspur::membership", pool = self.pool.0, "files are well again");
                }
            }
        }
    }
}

/// The end of the trial that runs; it never comes where none does.
async fn ended(running: &mut Option<Running>) -> (u64, Result<Vec<Refusal>, JoinError>) {
    let Some(Running { number, thread, .. }) = running else { return std::future::pending().await };
    let (number, found) = (*number, thread.await);
    *running = None;
    (number, found)
}

/// How old a set is that was kept, as operators read it.
pub fn age(unix_s: u64) -> String {
    seconds(keep::unix_s().saturating_sub(unix_s).saturating_mul(1_000_000))
}
