//! The actor of a pool's list of servers. It owns the membership, takes in discovery's lists and the scans of the
//! watched files, saves the last good set, and publishes generations to the hub.

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
use crate::membership::guard::Files;
use crate::membership::{Input, Listed, Membership, Output, Reason, Refusal, Scan, SetFile};
use crate::protocol::platform::List;
use crate::protocol::settings::Names;
use crate::routing::PoolId;

/// Capacity of the list's inbox, in messages.
const MAILBOX_CAPACITY: usize = 16;

/// A message to a list's actor.
pub enum ListMessage {
    /// Discovery has answered with a list.
    Discovery(ListScope, List),
    /// The directory of server files has been read.
    Scan(Scan),
}

/// A handle to a list's actor, through which messages are sent to it.
#[derive(Clone)]
pub struct ListHandle(mpsc::Sender<ListMessage>);

impl ListHandle {
    /// Sends a message, and waits while the inbox is full.
    pub async fn send(&self, message: ListMessage) {
        // Sending fails only when the program ends.
        let _ = self.0.send(message).await;
    }

    /// Sends a message from a thread outside the runtime, and blocks while the inbox is full. Returns false if the
    /// actor has ended.
    pub fn send_from_thread(&self, message: ListMessage) -> bool {
        self.0.blocking_send(message).is_ok()
    }
}

/// Tries a set of files and returns the reasons to refuse it, none if it is good. This may take long. It ends early
/// once the function given as second argument returns false; the result is ignored in that case.
pub type TrialRunner = Arc<dyn Fn(&Files, &dyn Fn() -> bool) -> Vec<Refusal> + Send + Sync>;

/// A trial of a set that is running on a thread of its own.
struct RunningTrial {
    number: u64,
    stop: Arc<AtomicBool>,
    thread: JoinHandle<Vec<Refusal>>,
}

/// The actor of one pool's list.
pub struct ListActor {
    pool: PoolId,
    /// `None` only while it is at work on a thread of its own.
    membership: Option<Membership>,
    names: Names,
    clock: Clock,
    hub: Hub,
    inbox: mpsc::Receiver<ListMessage>,
    state: Option<PathBuf>,
    /// True once servers can be known: discovery has answered or, where files are set up, a set is in service.
    initialised: watch::Sender<bool>,
    by_files: bool,
    guard: Option<TrialRunner>,
    /// The trial that is running.
    trial: Option<RunningTrial>,
}

/// The parts from which a list's actor is made.
pub struct ListParts {
    /// The pool whose list it is.
    pub pool: PoolId,
    /// The state machine that decides which servers are members.
    pub membership: Membership,
    /// The names of the settings.
    pub names: Names,
    /// The clock, which also maps the start times of servers.
    pub clock: Clock,
    /// The hub, to which generations are published.
    pub hub: Hub,
    /// The state directory, in which the last good set is saved.
    pub state: Option<PathBuf>,
    /// Server files are set up. A server that only discovery lists is not a member then.
    pub by_files: bool,
    /// Tries new sets, where the membership's rules ask for trials.
    pub guard: Option<TrialRunner>,
}

impl ListActor {
    /// Creates the actor, a handle to it, and a receiver that becomes true once servers can be known: when discovery
    /// has answered or, where files are set up, when a set is in service.
    pub fn new(parts: ListParts) -> (Self, ListHandle, watch::Receiver<bool>) {
        let (sender, inbox) = mpsc::channel(MAILBOX_CAPACITY);
        let (initialised, is_initialised) = watch::channel(false);
        let ListParts { pool, membership, names, clock, hub, state, by_files, guard } = parts;
        let membership = Some(membership);
        let trial = None;
        let actor = ListActor {
            pool,
            membership,
            names,
            clock,
            hub,
            inbox,
            state,
            initialised,
            by_files,
            guard,
            trial,
        };
        (actor, ListHandle(sender), is_initialised)
    }

    /// Returns true if a set of files is in service.
    pub fn has_accepted_set(&self) -> bool {
        self.membership.as_ref().is_some_and(|membership| !membership.accepted().is_empty())
    }

    /// Returns the present refusals of the files.
    pub fn refusals(&self) -> &[Refusal] {
        self.membership.as_ref().map_or(&[], Membership::refused)
    }

    /// Feeds the list that is known at the start, which may be old.
    pub async fn feed_known_list(&mut self, list: &List) {
        let listed = self.to_listed(list);
        self.feed(Input::Discovery(ListScope::Cached, listed)).await;
    }

    /// Feeds the servers that a document lists, in the same way.
    pub async fn feed_known_servers(&mut self, listed: Vec<Listed>) {
        self.feed(Input::Discovery(ListScope::Cached, listed)).await;
    }

    /// Feeds the set that an earlier run saved, to begin from.
    pub async fn feed_saved_set(&mut self, generation: u64, files: Vec<SetFile>) {
        self.feed(Input::Saved(generation, files.into_iter().map(Arc::new).collect())).await;
    }

    /// Feeds the first scan, and waits for the trial of its set if there is one.
    pub async fn feed_first_scan(&mut self, scan: Scan) {
        self.feed(Input::Scan(scan)).await;
        while self.trial.is_some() {
            let next_due = self.next_due();
            tokio::select! {
                (number, result) = trial_end(&mut self.trial) => self.finish_trial(number, result).await,
                () = crate::transport::clock::sleep_until(next_due) => self.feed(Input::Tick).await,
            }
        }
    }

    /// Returns when the membership next has something to do, if at all.
    fn next_due(&self) -> Option<tokio::time::Instant> {
        let next_due = self.membership.as_ref().and_then(Membership::next_due);
        next_due.map(|at| self.clock.instant(at).into())
    }

    /// Feeds the result of a trial to the membership.
    async fn finish_trial(&mut self, number: u64, result: Result<Vec<Refusal>, JoinError>) {
        match result {
            Ok(refusals) => self.feed(Input::Tried(number, refusals)).await,
            // The membership treats it as a trial that does not end in time.
            Err(error) => tracing::error!(%error, "the trial of a set of servers failed to run to its end"),
        }
    }

    /// Runs for as long as the program does.
    pub async fn run(mut self) {
        loop {
            let next_due = self.next_due();
            let message = tokio::select! {
                (number, result) = trial_end(&mut self.trial) => {
                    self.finish_trial(number, result).await;
                    continue;
                }
                message = self.inbox.recv() => match message {
                    Some(message) => Some(message),
                    // Without discovery and files, only the passing of time is left to handle.
                    None if next_due.is_some() => None,
                    None => return,
                },
                () = crate::transport::clock::sleep_until(next_due) => None,
            };
            match message {
                Some(ListMessage::Discovery(scope, list)) => {
                    if list.complete || !list.members.is_empty() {
                        let listed = self.to_listed(&list);
                        self.feed(Input::Discovery(scope, listed)).await;
                    }
                    if !self.by_files {
                        self.initialised.send_replace(true);
                    }
                }
                Some(ListMessage::Scan(scan)) => self.feed(Input::Scan(scan)).await,
                None => {}
            }
            self.feed(Input::Tick).await;
        }
    }

    /// Converts discovery's members. Members that name something that the settings don't have are left out.
    fn to_listed(&self, list: &List) -> Vec<Listed> {
        let started = |ms| self.clock.at_unix_ms(ms);
        let listed = |member: &crate::protocol::platform::Member| {
            let entry = member.entry(&self.names, started)?;
            Some(Listed { entry, name: member.id.as_str().into(), address: member.host_port.as_str().into() })
        };
        list.members.iter().filter_map(listed).collect()
    }

    /// Feeds an input to the membership, and carries out what it wants done.
    async fn feed(&mut self, input: Input) {
        let Some(mut membership) = self.membership.take() else { return };
        let now = self.clock.now();
        let work = move || {
            let mut outputs = Vec::new();
            membership.handle(now, input, &mut outputs);
            (membership, outputs)
        };
        // Thousands of servers take a while to check, and routing must not wait for that.
        let finished = if self.by_files { tokio::task::spawn_blocking(work).await } else { Ok(work()) };
        let (membership, outputs) = match finished {
            Ok(finished) => finished,
            Err(error) => return tracing::error!(%error, "membership failed; the list no longer changes"),
        };
        self.membership = Some(membership);
        for output in outputs {
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
                        "servers ready for work"
                    );
                    self.hub.send(Message::List(self.pool, generation)).await;
                    if self.by_files && self.has_accepted_set() {
                        self.initialised.send_replace(true);
                    }
                }
                Output::Save(generation) => {
                    if let Some(state) = self.state.clone() {
                        let kept = keep::snapshot(&generation);
                        // On a thread of its own, as the disk may be slow and routing must not wait for it.
                        let saved = tokio::task::spawn_blocking(move || keep::save(&state, &kept)).await;
                        match saved {
                            Ok(Ok(())) => {}
                            Ok(Err(error)) => tracing::warn!(%error, "failed to save the set of servers"),
                            Err(error) => tracing::warn!(%error, "failed to save the set of servers"),
                        }
                    }
                }
                // Nothing is wrong with the file: it has to stand unchanged for a while first.
                Output::Refuse(refusal) if *refusal.reason == Reason::Resting => {
                    tracing::info!(target: "birchspur::membership", pool = self.pool.0, "not yet in service: {refusal}");
                }
                Output::Refuse(refusal) => {
                    let place = &refusal.place;
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
                Output::Try(number, files) => {
                    if let Some(guard) = self.guard.clone() {
                        let stop = Arc::new(AtomicBool::new(false));
                        let stopped = stop.clone();
                        let work = move || guard(&files, &|| !stopped.load(Ordering::Relaxed));
                        let thread = tokio::task::spawn_blocking(work);
                        self.trial = Some(RunningTrial { number, stop, thread });
                    }
                }
                Output::StopTrial(number) => {
                    if let Some(trial) = self.trial.take_if(|trial| trial.number == number) {
                        trial.stop.store(true, Ordering::Relaxed);
                    }
                }
                Output::Settled => {
                    tracing::info!(target: "birchspur::membership", pool = self.pool.0, "no server file is refused any more");
                }
            }
        }
    }
}

/// Waits for the end of the running trial; never returns if there is none.
async fn trial_end(trial: &mut Option<RunningTrial>) -> (u64, Result<Vec<Refusal>, JoinError>) {
    let Some(RunningTrial { number, thread, .. }) = trial else { return std::future::pending().await };
    let (number, result) = (*number, thread.await);
    *trial = None;
    (number, result)
}

/// Returns the age of a set that was saved at this Unix time, as text for operators.
pub fn age(unix_s: u64) -> String {
    seconds(keep::unix_s().saturating_sub(unix_s).saturating_mul(1_000_000))
}
