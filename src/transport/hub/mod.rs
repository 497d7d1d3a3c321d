//! The module's actor: the one place that feeds the core, reads the clock once a turn, and hands out what
//! the core wants done.

pub mod message;

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use bytes::Bytes;
use tokio::sync::{mpsc, oneshot};

use self::message::{Body, Counted, Hub, Message, Payload, Reply};
use super::budget::Budget;
use super::clock::{self, Clock};
use super::peer::{self, Attempt, Common, ToPeer};
use crate::interface::*;
use crate::membership::Generation;
use crate::routing::{ClassTotals, Core, Input, Output, PoolId};

/// Messages that may wait for the module.
const MAILBOX: usize = 4096;
/// Messages taken in one turn of the loop, at one reading of the clock.
const TURN: usize = 256;

struct Held {
    payload: Arc<Payload>,
    reply: Option<oneshot::Sender<Reply>>,
    heads: Vec<(u32, Body)>,
    /// Where its attempts went, in their order. A peer that the list has dropped is still there for them.
    sent: Vec<(u32, mpsc::Sender<ToPeer>)>,
    owner: Option<mpsc::Sender<ToPeer>>,
}

impl Held {
    fn at(&self, attempt: u32) -> Option<mpsc::Sender<ToPeer>> {
        self.sent.iter().find(|(number, _)| *number == attempt).map(|(_, peer)| peer.clone())
    }
}

struct PeerAt {
    name: Arc<str>,
    address: Arc<str>,
    /// The way to its actor, once that was needed.
    inbox: Option<mpsc::Sender<ToPeer>>,
}

struct Pool {
    common: Common,
    /// The names of its classes.
    classes: Vec<String>,
    peers: HashMap<ServerId, PeerAt>,
}

impl Pool {
    fn peer(&mut self, server: ServerId) -> Option<mpsc::Sender<ToPeer>> {
        let peer = self.peers.get_mut(&server)?;
        let start = || peer::start(self.common.clone(), server, peer.address.to_string());
        Some(peer.inbox.get_or_insert_with(start).clone())
    }
}

/// The module's actor before it runs.
pub struct Actor {
    core: Core,
    clock: Clock,
    pools: Vec<Pool>,
    held: HashMap<RequestId, Held>,
    ids: HashSet<String>,
    inbox: mpsc::Receiver<Message>,
}

/// Makes the actor and the way to it.
pub fn new(core: Core, clock: Clock, budget: Budget) -> (Actor, Hub) {
    let (sender, inbox) = mpsc::channel(MAILBOX);
    let hub = Hub::new(sender, budget);
    (Actor { core, clock, pools: Vec::new(), held: HashMap::new(), ids: HashSet::new(), inbox }, hub)
}

impl Actor {
    /// Adds what the peers of the next pool share, in the order of the core's pools.
    pub fn add_pool(&mut self, common: Common, classes: Vec<String>) {
        self.pools.push(Pool { common, classes, peers: HashMap::new() });
    }

    /// Runs for as long as the program does.
    pub async fn run(mut self) {
        let mut messages = Vec::with_capacity(TURN);
        let mut outputs = Vec::new();
        loop {
            let due = self.core.next_due().map(|at| self.clock.instant(at).into());
            tokio::select! {
                biased;
                count = self.inbox.recv_many(&mut messages, TURN) => if count == 0 { return },
                () = clock::sleep_until(due) => {}
            }
            let now = self.clock.now();
            for message in messages.drain(..) {
                self.take(now, message, &mut outputs);
            }
            self.core.tick(now, &mut outputs);
            for output in outputs.drain(..) {
                self.carry_out(output).await;
            }
        }
    }

    fn take(&mut self, now: Micros, message: Message, out: &mut Vec<Output>) {
        match message {
            Message::Request(_, payload, reply) if self.ids.contains(&payload.id) => {
                let _ = reply.send(Reply::IdIsOpen);
            }
            // Its client has gone while it stood in the mailbox: it is as if it had never come.
            Message::Request(_, _, reply) if reply.is_closed() => {}
            Message::Request(admission, payload, reply) => {
                self.ids.insert(payload.id.clone());
                let held =
                    Held { payload, reply: Some(reply), heads: Vec::new(), sent: Vec::new(), owner: None };
                self.held.insert(admission.request.id, held);
                self.core.handle(now, Input::Request(*admission), out);
            }
            Message::Head { request, attempt, body } => {
                if let Some(held) = self.held.get_mut(&request) {
                    held.heads.push((attempt, body));
                }
                self.core.handle(now, Input::Started(request, attempt), out);
            }
            Message::Input(input) => self.core.handle(now, input, out),
            Message::List(pool, generation) => {
                self.settle(pool, &generation);
                let entries = generation.members.iter().map(|member| member.entry).collect();
                let update = ListUpdate { scope: ListScope::Full, entries };
                self.core.handle(now, Input::List(pool, generation.number, update), out);
            }
            Message::HandBack(request, payload) => {
                if let Some(owner) = self.held.get(&request).and_then(|held| held.owner.as_ref()) {
                    // With a full mailbox the server would not get it in time either.
                    let _ = owner.try_send(ToPeer::Post(payload));
                }
            }
            Message::Count(sender) => {
                let _ = sender.send(self.counted(now));
            }
        }
    }

    fn counted(&self, now: Micros) -> Counted {
        let mut handled: Vec<(String, ClassTotals)> = Vec::new();
        for pool in &self.pools {
            // Two pools may know a class by the same name.
            for (name, ends) in pool.classes.iter().zip(self.core.class_totals(pool.common.pool)) {
                match handled.iter_mut().find(|(known, _)| known == name) {
                    Some((_, sum)) => *sum += *ends,
                    None => handled.push((name.clone(), *ends)),
                }
            }
        }
        Counted { totals: self.core.totals(now), handled }
    }

    /// Leaves the actors of peers that are gone to end by themselves, and tells those that have moved.
    fn settle(&mut self, pool: PoolId, generation: &Generation) {
        let Some(pool) = self.pools.get_mut(usize::from(pool.0)) else { return };
        let mut before = std::mem::take(&mut pool.peers);
        pool.peers.reserve(generation.members.len());
        for member in &generation.members {
            let id = member.entry.id;
            let mut peer = before.remove(&id).unwrap_or_else(|| PeerAt {
                name: member.name.clone(),
                address: member.address.clone(),
                inbox: None,
            });
            if peer.address != member.address {
                peer.address = member.address.clone();
                if let Some(inbox) = &peer.inbox {
                    let _ = inbox.try_send(ToPeer::Moved(member.address.to_string()));
                }
            }
            pool.peers.insert(id, peer);
        }
    }

    /// The way to a peer's actor, which starts when it is first needed: of a large fleet most are not for long.
    fn peer(&mut self, pool: PoolId, server: ServerId) -> Option<mpsc::Sender<ToPeer>> {
        self.pools.get_mut(usize::from(pool.0))?.peer(server)
    }

    async fn carry_out(&mut self, output: Output) {
        match output {
            Output::Send { pool, request, attempt, server, time_left, generation, connection } => {
                let peer = self.peer(pool, server);
                let Some(held) = self.held.get_mut(&request) else { return };
                // Its client has gone, and the message that says so still stands in the mailbox.
                if held.reply.as_ref().is_some_and(oneshot::Sender::is_closed) {
                    let (outcome, kept_tokens, report) = (Outcome::NotSent, 0, None);
                    let ended = Input::Ended { request, attempt, outcome, kept_tokens, report };
                    return self.again([Input::ClientGone(request), ended]);
                }
                let payload = held.payload.clone();
                let send = Attempt { request, number: attempt, payload, time_left, generation, connection };
                match peer {
                    Some(peer) => {
                        held.sent.push((attempt, peer.clone()));
                        tell(&peer, ToPeer::Send(send)).await;
                    }
                    None => {
                        let (outcome, kept_tokens, report) = (Outcome::ConnectFailed, 0, None);
                        self.again([Input::Ended { request, attempt, outcome, kept_tokens, report }]);
                    }
                }
            }
            Output::Cancel { request, attempt, reason } => {
                let Some(held) = self.held.get_mut(&request) else { return };
                held.heads.retain(|(number, _)| *number != attempt);
                if let Some(peer) = held.at(attempt) {
                    tell(&peer, ToPeer::Cancel(request, attempt, reason)).await;
                }
            }
            Output::Relay(request, attempt) => {
                let Some(held) = self.held.get_mut(&request) else { return };
                held.owner = held.at(attempt);
                let Some(at) = held.heads.iter().position(|(number, _)| *number == attempt) else { return };
                let (_, body) = held.heads.swap_remove(at);
                // Nothing more is sent for the request: its text need not wait for the end of the answer.
                held.payload = Arc::new(Payload { body: Bytes::new(), ..(*held.payload).clone() });
                self.answer(request, Reply::Stream(body));
            }
            Output::Refuse(request, retry_after) => self.answer(request, Reply::Refused(retry_after)),
            Output::Fail { request, may_have_run, overdue } => {
                self.answer(request, Reply::Failed { may_have_run, overdue });
            }
            Output::Release { pool, request, server, connection } => {
                let Some(held) = self.held.get(&request) else { return };
                let id = held.payload.id.clone();
                match self.peer(pool, server) {
                    Some(peer) => tell(&peer, ToPeer::Release(request, id, connection)).await,
                    None => self.again([Input::Released(request, false)]),
                }
            }
            Output::HoldPlace(pool, request, server) => {
                let Some(held) = self.held.get(&request) else { return };
                let id = held.payload.id.clone();
                if let Some(peer) = self.peer(pool, server) {
                    tell(&peer, ToPeer::Hold(request, id)).await;
                }
            }
            Output::Probe(pool, server) => {
                if let Some(peer) = self.peer(pool, server) {
                    tell(&peer, ToPeer::Probe).await;
                } else {
                    let (outcome, took, report) = (Outcome::ConnectFailed, 0, None);
                    self.again([Input::Probed { pool, server, outcome, took, report }]);
                }
            }
            Output::CloseIdle(pool, server) => {
                if let Some(peer) = self.peer(pool, server) {
                    tell(&peer, ToPeer::CloseIdle).await;
                }
            }
            // Only expectations observe.
            Output::Explain(_) => {}
            Output::Log(text) => tracing::info!(target: "birchspur::module", "{text}"),
            Output::Ejected(pool, server) => self.log_ejected(pool, server),
            Output::HeldTooLong { request, waited, taken } => {
                let id = self.held.get(&request).map(|held| held.payload.id.as_str());
                tracing::warn!(
                    target: "birchspur::held",
                    { request.id = id, waited_us = waited, taken },
                    "a read state was held for too long; a server that hangs or can't be reached had its fetch or its release"
                );
            }
            Output::Forget(request) => {
                if let Some(held) = self.held.remove(&request) {
                    self.ids.remove(&held.payload.id);
                }
            }
        }
    }

    fn log_ejected(&self, pool: PoolId, server: ServerId) {
        let peer = self.pools.get(usize::from(pool.0)).and_then(|pool| pool.peers.get(&server));
        let (name, address) = peer.map_or(("", ""), |peer| (&*peer.name, &*peer.address));
        tracing::info!(
            target: "birchspur::module",
            { server.name = name, server.address = address },
            "server in doubt: it gave no sign of life, and is tried again in a while"
        );
    }

    fn answer(&mut self, request: RequestId, reply: Reply) {
        if let Some(held) = self.held.get(&request) {
            let id = held.payload.id.as_str();
            let stream = matches!(reply, Reply::Stream(_));
            tracing::debug!(target: "birchspur::attempt", { request.id = id, stream }, "answer");
        }
        if let Some(reply_to) = self.held.get_mut(&request).and_then(|held| held.reply.take()) {
            // Where nobody waits any more, the ticket tells so.
            let _ = reply_to.send(reply);
        }
    }

    /// Feeds something back by way of the mailbox, so that it meets the core in a turn of its own.
    fn again<const N: usize>(&self, inputs: [Input; N]) {
        if let Some(pool) = self.pools.first() {
            let hub = pool.common.hub.clone();
            tokio::spawn(async move {
                for input in inputs {
                    hub.send(Message::Input(input)).await;
                }
            });
        }
    }
}

/// A peer's actor never waits for the module's, so waiting for room in its mailbox can't lock up; and it runs
/// for as long as there is a way to it.
async fn tell(peer: &mpsc::Sender<ToPeer>, message: ToPeer) {
    let _ = peer.send(message).await;
}
