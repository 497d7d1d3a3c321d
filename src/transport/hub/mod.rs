//! The hub: the actor that owns the core. It alone feeds the core, reads the clock once for each batch of messages, and
//! carries out the core's outputs.

mod ids;
pub mod message;

use std::collections::HashMap;
use std::sync::Arc;

use bytes::Bytes;
use tokio::sync::{mpsc, oneshot, watch};

use self::ids::{IdInUse, Repeats, RequestIds};
use self::message::{Body, Counters, Hub, Message, Payload, Reply};
use super::budget::Budget;
use super::claims::ClaimFolder;
use super::clock::{self, Clock};
use super::peer::{self, Attempt, Dialect, PeerContext, PeerMessage};
use crate::interface::*;
use crate::membership::Generation;
use crate::routing::{Admission, ClassTotals, Core, Input, Output, PoolId};

/// Capacity of the hub's inbox, in messages.
const MAILBOX_CAPACITY: usize = 4096;
/// Most messages that are handled in one turn of the loop, at one reading of the clock.
const MAX_BATCH: usize = 256;

/// What the hub keeps for a request until the core forgets it.
struct OpenRequest {
    payload: Arc<Payload>,
    /// The channel to the waiting client, until the reply is sent.
    reply: Option<oneshot::Sender<Reply>>,
    /// The answers that have started and are neither passed on nor cancelled, by attempt.
    answers: Vec<(u32, Body)>,
    /// The peer of each attempt, in the order of the attempts. It can still be reached here after the list of servers
    /// has dropped it.
    attempt_peers: Vec<(u32, mpsc::Sender<PeerMessage>)>,
}

impl OpenRequest {
    fn peer_of(&self, attempt: u32) -> Option<mpsc::Sender<PeerMessage>> {
        self.attempt_peers.iter().find(|(number, _)| *number == attempt).map(|(_, peer)| peer.clone())
    }
}

/// A member of a pool, and its actor if that has been started.
struct PeerEntry {
    name: Arc<str>,
    /// The address, for the peer's actor and for those who post messages to it. They are told of its end.
    address: watch::Sender<Arc<str>>,
    /// The inbox of the peer's actor, once that has been needed.
    inbox: Option<mpsc::Sender<PeerMessage>>,
}

/// The peers of a pool.
struct Pool {
    context: PeerContext,
    /// The names of the pool's classes.
    classes: Vec<String>,
    peers: HashMap<ServerId, PeerEntry>,
}

impl Pool {
    fn peer(&mut self, server: ServerId) -> Option<mpsc::Sender<PeerMessage>> {
        let peer = self.peers.get_mut(&server)?;
        let start = || peer::start(self.context.clone(), server, peer.address.subscribe());
        Some(peer.inbox.get_or_insert_with(start).clone())
    }
}

/// The hub's actor. It does nothing until [`Actor::run`] is called.
pub struct Actor {
    core: Core,
    clock: Clock,
    pools: Vec<Pool>,
    requests: HashMap<RequestId, OpenRequest>,
    ids: RequestIds,
    /// Those who wait until no request is open.
    idle_waiters: Vec<oneshot::Sender<()>>,
    inbox: mpsc::Receiver<Message>,
}

/// Creates the actor and a handle to it.
pub fn new(mut core: Core, clock: Clock, budget: Budget) -> (Actor, Hub) {
    core.set_max_release_calls(budget.max_release_calls);
    let (sender, inbox) = mpsc::channel(MAILBOX_CAPACITY);
    let ids = RequestIds::new(&budget.memory);
    let hub = Hub::new(sender, budget);
    let actor = Actor {
        core,
        clock,
        pools: Vec::new(),
        requests: HashMap::new(),
        ids,
        idle_waiters: Vec::new(),
        inbox,
    };
    (actor, hub)
}

impl Actor {
    /// Adds the next pool, given what its peers share and the names of its classes. Pools are added in the order of
    /// the core's pools.
    pub fn add_pool(&mut self, context: PeerContext, classes: Vec<String>) {
        self.pools.push(Pool { context, classes, peers: HashMap::new() });
    }

    /// Runs for as long as the program does.
    pub async fn run(mut self) {
        let mut messages = Vec::with_capacity(MAX_BATCH);
        let mut outputs = Vec::new();
        loop {
            let due = self.core.next_due().map(|at| self.clock.instant(at).into());
            tokio::select! {
                biased;
                count = self.inbox.recv_many(&mut messages, MAX_BATCH) => if count == 0 { return },
                () = clock::sleep_until(due) => {}
            }
            let now = self.clock.now();
            for message in messages.drain(..) {
                self.handle_message(now, message, &mut outputs);
            }
            self.core.tick(now, &mut outputs);
            for output in outputs.drain(..) {
                self.carry_out(output).await;
            }
            if self.requests.is_empty() {
                for waiter in self.idle_waiters.drain(..) {
                    let _ = waiter.send(());
                }
            }
        }
    }

    /// Shares the ids that must not run twice with the other processes at the same listening socket.
    pub fn share_ids(&mut self, claims: ClaimFolder) {
        self.ids.share(claims);
    }

    /// Returns whether a request may run again under its id. The ids of tool calls are this process's own.
    fn repeats(&self, admission: &Admission) -> Repeats {
        let pool = self.pools.get(usize::from(admission.pool.0));
        let has_clients_id = pool.is_some_and(|pool| pool.context.dialect == Dialect::Platform);
        let class = self.core.class(admission.pool, admission.request.class);
        match class.is_some_and(|class| class.effect == Effect::Unsafe) {
            _ if !has_clients_id => Repeats::OwnId,
            true => Repeats::Forbidden,
            false => Repeats::Allowed,
        }
    }

    /// Handles a message, and collects what the core wants done upon it.
    fn handle_message(&mut self, now: Micros, message: Message, outputs: &mut Vec<Output>) {
        match message {
            // The client left while the request waited in the inbox, so the core never sees the request.
            Message::Request(_, _, reply) if reply.is_closed() => {}
            Message::Request(admission, payload, reply) => {
                let repeats = self.repeats(&admission);
                if let Err(IdInUse) = self.ids.open(now, &payload.id, repeats) {
                    tracing::debug!(target: "birchspur::attempt", { request.id = payload.id.as_str() }, "id in use");
                    let _ = reply.send(Reply::IdInUse);
                    return;
                }
                let open = OpenRequest {
                    payload,
                    reply: Some(reply),
                    answers: Vec::new(),
                    attempt_peers: Vec::new(),
                };
                self.requests.insert(admission.request.id, open);
                self.core.handle(now, Input::Request(*admission), outputs);
            }
            Message::AnswerStarted { request, attempt, body } => {
                if let Some(open) = self.requests.get_mut(&request) {
                    open.answers.push((attempt, body));
                }
                self.core.handle(now, Input::Started(request, attempt), outputs);
            }
            Message::Input(input) => self.core.handle(now, input, outputs),
            Message::List(pool, generation) => {
                self.update_peers(pool, &generation);
                let entries = generation.members.iter().map(|member| member.entry).collect();
                let update = ListUpdate { scope: ListScope::Full, entries };
                self.core.handle(now, Input::List(pool, generation.number, update), outputs);
            }
            Message::NotifyWhenIdle(waiter) => self.idle_waiters.push(waiter),
            Message::GetCounters(sender) => {
                let _ = sender.send(self.counters(now));
            }
        }
    }

    /// Returns the counters, added up over all pools.
    fn counters(&self, now: Micros) -> Counters {
        let mut handled: Vec<(String, ClassTotals)> = Vec::new();
        for pool in &self.pools {
            // Two pools may have classes of the same name.
            for (name, counts) in pool.classes.iter().zip(self.core.class_totals(pool.context.pool)) {
                match handled.iter_mut().find(|(known, _)| known == name) {
                    Some((_, sum)) => *sum += *counts,
                    None => handled.push((name.clone(), *counts)),
                }
            }
        }
        Counters { totals: self.core.totals(now), handled, ..Counters::default() }
    }

    /// Updates the peers of a pool to a new generation. The actors of peers that are gone end by themselves, as their
    /// inbox closes; those of peers that have moved see the new address.
    fn update_peers(&mut self, pool: PoolId, generation: &Generation) {
        let Some(pool) = self.pools.get_mut(usize::from(pool.0)) else { return };
        let mut previous = std::mem::take(&mut pool.peers);
        pool.peers.reserve(generation.members.len());
        for member in &generation.members {
            let id = member.entry.id;
            let peer = previous.remove(&id).unwrap_or_else(|| PeerEntry {
                name: member.name.clone(),
                address: watch::Sender::new(member.address.clone()),
                inbox: None,
            });
            peer.address.send_if_modified(|address| {
                let has_moved = *address != member.address;
                address.clone_from(&member.address);
                has_moved
            });
            pool.peers.insert(id, peer);
        }
    }

    /// Returns the inbox of a peer's actor. The actor is started when it is first needed, as most servers of a large
    /// fleet are not needed for a long time.
    fn peer(&mut self, pool: PoolId, server: ServerId) -> Option<mpsc::Sender<PeerMessage>> {
        self.pools.get_mut(usize::from(pool.0))?.peer(server)
    }

    /// Carries out an output of the core.
    async fn carry_out(&mut self, output: Output) {
        match output {
            Output::Send { pool, request, attempt, server, time_left, generation, connection } => {
                let peer = self.peer(pool, server);
                let Some(open) = self.requests.get_mut(&request) else { return };
                // The client has left, and the message that says so still waits in the inbox.
                if open.reply.as_ref().is_some_and(oneshot::Sender::is_closed) {
                    let (outcome, kept_tokens, report) = (Outcome::NotSent, 0, None);
                    let ended = Input::Ended { request, attempt, outcome, kept_tokens, report };
                    return self.send_to_self([Input::ClientGone(request), ended]);
                }
                let payload = open.payload.clone();
                let send = Attempt { request, number: attempt, payload, time_left, generation, connection };
                match peer {
                    Some(peer) => {
                        open.attempt_peers.push((attempt, peer.clone()));
                        send_to_peer(&peer, PeerMessage::Send(send)).await;
                    }
                    None => {
                        let (outcome, kept_tokens, report) = (Outcome::ConnectFailed, 0, None);
                        self.send_to_self([Input::Ended { request, attempt, outcome, kept_tokens, report }]);
                    }
                }
            }
            Output::Cancel { request, attempt, reason } => {
                let Some(open) = self.requests.get_mut(&request) else { return };
                open.answers.retain(|(number, _)| *number != attempt);
                if let Some(peer) = open.peer_of(attempt) {
                    send_to_peer(&peer, PeerMessage::Cancel(request, attempt, reason)).await;
                }
            }
            Output::Relay(request, attempt) => {
                let Some(open) = self.requests.get_mut(&request) else { return };
                let Some(i) = open.answers.iter().position(|(number, _)| *number == attempt) else { return };
                let (_, body) = open.answers.swap_remove(i);
                // The request is not sent again, so its body need not be kept until the answer ends.
                open.payload = Arc::new(Payload { body: Bytes::new(), ..(*open.payload).clone() });
                self.answer(request, Reply::Stream(body));
            }
            Output::Refuse(request, retry_after) => self.answer(request, Reply::Refused(retry_after)),
            Output::Fail { request, may_have_run, overdue } => {
                self.answer(request, Reply::Failed { may_have_run, overdue });
            }
            Output::Release { pool, request, server, connection } => {
                let id = self.requests.get(&request).map(|open| open.payload.id.clone());
                match id.zip(self.peer(pool, server)) {
                    Some((id, peer)) => {
                        send_to_peer(&peer, PeerMessage::Release(request, id, connection)).await
                    }
                    None => {
                        let taken = false;
                        self.send_to_self([Input::Released { pool, request, server, taken }]);
                    }
                }
            }
            Output::HoldPlace(pool, request, server) => {
                let Some(open) = self.requests.get(&request) else { return };
                let id = open.payload.id.clone();
                if let Some(peer) = self.peer(pool, server) {
                    send_to_peer(&peer, PeerMessage::Hold(request, id)).await;
                }
            }
            Output::Probe(pool, server) => {
                if let Some(peer) = self.peer(pool, server) {
                    send_to_peer(&peer, PeerMessage::Probe).await;
                } else {
                    let (outcome, took, report) = (Outcome::ConnectFailed, 0, None);
                    self.send_to_self([Input::Probed { pool, server, outcome, took, report }]);
                }
            }
            Output::CloseIdle(pool, server) => {
                if let Some(peer) = self.peer(pool, server) {
                    send_to_peer(&peer, PeerMessage::CloseIdle).await;
                }
            }
            // Only pools that are observed explain their choices, and only expectations observe a pool.
            Output::Explain(_) => {}
            Output::Log(text) => tracing::info!(target: "birchspur::module", "{text}"),
            Output::Ejected(pool, server) => self.log_ejected(pool, server),
            Output::HeldTooLong { request, waited, taken } => {
                let id = self.requests.get(&request).map(|open| open.payload.id.as_str());
                tracing::warn!(
                    target: "birchspur::held",
                    { request.id = id, waited_us = waited, taken },
                    "a read state was held for too long; the server that was to fetch or release it hangs or can't be reached"
                );
            }
            Output::BlockId(request, from) => {
                if let Some(open) = self.requests.get(&request) {
                    self.ids.remember(self.clock.now(), &open.payload.id, from);
                }
            }
            Output::Forget(request) => {
                if let Some(open) = self.requests.remove(&request) {
                    self.ids.close(&open.payload.id);
                }
            }
        }
    }

    fn log_ejected(&self, pool: PoolId, server: ServerId) {
        let peer = self.pools.get(usize::from(pool.0)).and_then(|pool| pool.peers.get(&server));
        let address = peer.map(|peer| peer.address.borrow().clone());
        let (name, address) = (peer.map_or("", |peer| &*peer.name), address.as_deref().unwrap_or(""));
        tracing::info!(
            target: "birchspur::module",
            { server.name = name, server.address = address },
            "server in doubt: it has not responded since a failure, and is tried again after a while"
        );
    }

    /// Sends the reply to the waiting client, if there is one.
    fn answer(&mut self, request: RequestId, reply: Reply) {
        if let Some(open) = self.requests.get(&request) {
            let id = open.payload.id.as_str();
            let stream = matches!(reply, Reply::Stream(_));
            tracing::debug!(target: "birchspur::attempt", { request.id = id, stream }, "answer");
        }
        if let Some(reply_to) = self.requests.get_mut(&request).and_then(|open| open.reply.take()) {
            // If nobody waits for the reply any more, the drop of the request's handle reports that.
            let _ = reply_to.send(reply);
        }
    }

    /// Sends inputs to the hub's own inbox, so that the core handles them in a later turn.
    fn send_to_self<const N: usize>(&self, inputs: [Input; N]) {
        if let Some(pool) = self.pools.first() {
            let hub = pool.context.hub.clone();
            tokio::spawn(async move {
                for input in inputs {
                    hub.send(Message::Input(input)).await;
                }
            });
        }
    }
}

/// Sends a message to a peer's actor, and waits while its inbox is full. That can't deadlock, as the peer's actor
/// itself never waits for the hub; and it runs for as long as a sender to its inbox exists.
async fn send_to_peer(peer: &mpsc::Sender<PeerMessage>, message: PeerMessage) {
    let _ = peer.send(message).await;
}
