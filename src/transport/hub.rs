//! The module's actor: the one place that feeds the core, reads the clock once a turn, and hands out what
//! the core wants done.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method};
use thiserror::Error;
use tokio::sync::{mpsc, oneshot};

use super::budget::Budget;
use super::clock::Clock;
use super::peer::{self, Attempt, Common, ToPeer};
use crate::interface::*;
use crate::routing::{Admission, Core, Input, Output, PoolId, Totals};

/// Messages that may wait for the module.
const MAILBOX: usize = 4096;
/// Messages taken in one turn of the loop, at one reading of the clock.
const TURN: usize = 256;
/// Servers asked, one after the other, to let go of what a request holds.
const LET_GO_TRIES: usize = 3;

/// What is sent to a server, the same at each attempt.
#[derive(Clone, Debug)]
pub struct Payload {
    /// The request's id on its wire.
    pub id: String,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers that pass on.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl Payload {
    /// The head of a message with this payload, without its address.
    pub fn head(&self) -> http::Request<()> {
        let mut head = http::Request::new(());
        *head.method_mut() = self.method.clone();
        *head.headers_mut() = self.headers.clone();
        head
    }
}

/// A stream ended before it was whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the stream broke")]
pub struct Broken;

/// A part of an answer. A channel that closes before [`Part::End`] is an answer that broke off: whatever
/// drops a call, its client can't take the rest for whole.
#[derive(Debug)]
pub enum Part {
    /// Bytes of it.
    Data(Bytes),
    /// It is whole.
    End,
}

/// A server's answer as it comes.
#[derive(Debug)]
pub struct Body {
    /// Its content type.
    pub kind: Option<HeaderValue>,
    /// Its parts.
    pub parts: mpsc::Receiver<Part>,
}

/// The one answer to a request.
#[derive(Debug)]
pub enum Reply {
    /// A server's answer.
    Stream(Body),
    /// Another request with this id is open: passed on, the two would be taken for one.
    IdIsOpen,
    /// Refused; trying again is harmless, after this long.
    Refused(Option<Micros>),
    /// Failed.
    Failed {
        /// It may have run somewhere.
        may_have_run: bool,
        /// Its time was over.
        overdue: bool,
    },
}

/// What the module's actor is told.
pub enum Message {
    /// A request has come in.
    Request(Box<Admission>, Arc<Payload>, oneshot::Sender<Reply>),
    /// The first event of an answer is there.
    Head {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: u32,
        /// The answer.
        body: Body,
    },
    /// Something for the core alone.
    Input(Input),
    /// A pool's list, and where the servers listen.
    List(PoolId, ListUpdate, Vec<(ServerId, String)>),
    /// A message for the server whose answer a request has, beside that answer.
    HandBack(RequestId, Arc<Payload>),
    /// Asks for the counters.
    Totals(oneshot::Sender<Totals>),
}

/// The way to the module's actor.
#[derive(Clone)]
pub struct Hub {
    inbox: mpsc::Sender<Message>,
    ids: Arc<AtomicU64>,
    budget: Budget,
}

/// A request that is open; dropping it tells that its client has left.
pub struct Ticket {
    id: RequestId,
    hub: Hub,
}

impl Drop for Ticket {
    fn drop(&mut self) {
        // After the last part of an answer this tells nothing new, and is passed over.
        if let Err(mpsc::error::TrySendError::Full(message)) =
            self.hub.inbox.try_send(Message::Input(Input::Gone(self.id)))
        {
            let hub = self.hub.clone();
            tokio::spawn(async move { hub.send(message).await });
        }
    }
}

impl Hub {
    /// Tells the module's actor something.
    pub async fn send(&self, message: Message) {
        // It is gone only when the program ends.
        let _ = self.inbox.send(message).await;
    }

    /// The descriptor budget.
    pub fn budget(&self) -> &Budget {
        &self.budget
    }

    /// Hands a request in and waits for its answer; the ticket is kept until the answer has been passed on.
    pub async fn submit(&self, mut admission: Admission, payload: Payload) -> (Reply, Ticket) {
        let number = self.ids.fetch_add(1, Ordering::Relaxed);
        let mut id = [b'0'; 36];
        id.iter_mut().rev().zip(format!("{number}").bytes().rev()).for_each(|(to, digit)| *to = digit);
        admission.request.id = RequestId(id);
        let ticket = Ticket { id: admission.request.id, hub: self.clone() };
        let (reply, answer) = oneshot::channel();
        self.send(Message::Request(Box::new(admission), Arc::new(payload), reply)).await;
        let lost = Reply::Failed { may_have_run: true, overdue: false };
        (answer.await.unwrap_or(lost), ticket)
    }

    /// Sends a message to the server whose answer is being passed on; nothing if that has ended.
    pub async fn hand_back(&self, ticket: &Ticket, payload: Payload) {
        self.send(Message::HandBack(ticket.id, Arc::new(payload))).await;
    }

    /// The counters.
    pub async fn totals(&self) -> Totals {
        let (sender, totals) = oneshot::channel();
        self.send(Message::Totals(sender)).await;
        totals.await.unwrap_or_default()
    }
}

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

struct Pool {
    common: Common,
    peers: HashMap<ServerId, mpsc::Sender<ToPeer>>,
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
    let hub = Hub { inbox: sender, ids: Arc::default(), budget };
    (Actor { core, clock, pools: Vec::new(), held: HashMap::new(), ids: HashSet::new(), inbox }, hub)
}

impl Actor {
    /// Adds what the peers of the next pool share, in the order of the core's pools.
    pub fn add_pool(&mut self, common: Common) {
        self.pools.push(Pool { common, peers: HashMap::new() });
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
                () = sleep_until(due) => {}
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
            Message::List(pool, update, addresses) => {
                self.settle(pool, &update, addresses);
                self.core.handle(now, Input::List(pool, update), out);
            }
            Message::HandBack(request, payload) => {
                if let Some(owner) = self.held.get(&request).and_then(|held| held.owner.as_ref()) {
                    // With a full mailbox the server would not get it in time either.
                    let _ = owner.try_send(ToPeer::Post(payload));
                }
            }
            Message::Totals(sender) => {
                let _ = sender.send(self.core.totals());
            }
        }
    }

    /// Starts the actors of new peers, and leaves those that are gone to end by themselves.
    fn settle(&mut self, pool: PoolId, update: &ListUpdate, addresses: Vec<(ServerId, String)>) {
        let Some(pool) = self.pools.get_mut(usize::from(pool.0)) else { return };
        let whole = matches!(update.scope, ListScope::Full | ListScope::Cached);
        let listed = |id: &ServerId| update.entries.iter().find(|entry| entry.id == *id);
        pool.peers.retain(|id, _| match listed(id) {
            Some(entry) => entry.state != ServerState::Gone,
            None => !whole,
        });
        for (id, address) in addresses {
            if listed(&id).is_none_or(|entry| entry.state == ServerState::Gone) {
                continue;
            }
            match pool.peers.get(&id) {
                Some(peer) => {
                    let _ = peer.try_send(ToPeer::Moved(address));
                }
                None => {
                    pool.peers.insert(id, peer::start(pool.common.clone(), id, address));
                }
            }
        }
    }

    fn peer(&self, pool: PoolId, server: ServerId) -> Option<&mpsc::Sender<ToPeer>> {
        self.pools.get(usize::from(pool.0))?.peers.get(&server)
    }

    async fn carry_out(&mut self, output: Output) {
        match output {
            Output::Send { pool, request, attempt, server, time_left } => {
                let peer = self.peer(pool, server).cloned();
                let Some(held) = self.held.get_mut(&request) else { return };
                let send = Attempt { request, number: attempt, payload: held.payload.clone(), time_left };
                match peer {
                    Some(peer) => {
                        held.sent.push((attempt, peer.clone()));
                        tell(&peer, ToPeer::Send(send)).await;
                    }
                    None => {
                        let (outcome, kept_tokens, report) = (Outcome::ConnectFailed, 0, None);
                        self.again(Input::Ended { request, attempt, outcome, kept_tokens, report });
                    }
                }
            }
            Output::Cancel(request, attempt) => {
                let Some(held) = self.held.get_mut(&request) else { return };
                held.heads.retain(|(number, _)| *number != attempt);
                if let Some(peer) = held.at(attempt) {
                    tell(&peer, ToPeer::Cancel(request, attempt)).await;
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
            Output::Release(pool, request, holders) => self.let_go(pool, request, holders),
            Output::Hold(pool, request, server) => {
                let Some(held) = self.held.get(&request) else { return };
                let id = held.payload.id.clone();
                if let Some(peer) = self.peer(pool, server) {
                    tell(peer, ToPeer::Hold(request, id)).await;
                }
            }
            Output::Probe(pool, server) => {
                if let Some(peer) = self.peer(pool, server) {
                    tell(peer, ToPeer::Probe).await;
                } else {
                    let (outcome, took, report) = (Outcome::ConnectFailed, 0, None);
                    self.again(Input::Probed { pool, server, outcome, took, report });
                }
            }
            Output::CloseIdle(pool, server) => {
                if let Some(peer) = self.peer(pool, server) {
                    tell(peer, ToPeer::CloseIdle).await;
                }
            }
            Output::Log(text) => println!("{text}"),
            Output::Forget(request) => {
                if let Some(held) = self.held.remove(&request) {
                    self.ids.remove(&held.payload.id);
                }
            }
        }
    }

    fn answer(&mut self, request: RequestId, reply: Reply) {
        if let Some(reply_to) = self.held.get_mut(&request).and_then(|held| held.reply.take()) {
            // Where nobody waits any more, the ticket tells so.
            let _ = reply_to.send(reply);
        }
    }

    /// Feeds something back by way of the mailbox, so that it meets the core in a turn of its own.
    fn again(&self, input: Input) {
        if let Some(pool) = self.pools.first() {
            let hub = pool.common.hub.clone();
            tokio::spawn(async move { hub.send(Message::Input(input)).await });
        }
    }

    /// Any server lets go of everything for a request: the likely holders are asked first, then others,
    /// until one has taken the call.
    fn let_go(&self, pool: PoolId, request: RequestId, holders: Vec<ServerId>) {
        let Some(pool) = self.pools.get(usize::from(pool.0)) else { return };
        let Some(held) = self.held.get(&request) else { return };
        let id = held.payload.id.clone();
        let others = pool.peers.keys().filter(|server| !holders.contains(server));
        let order = holders.iter().chain(others).filter_map(|server| pool.peers.get(server));
        let peers: Vec<_> = order.take(LET_GO_TRIES).cloned().collect();
        tokio::spawn(async move {
            for peer in peers {
                let (done, went) = oneshot::channel();
                let sent = peer.send(ToPeer::LetGo(id.clone(), done)).await;
                if sent.is_ok() && went.await.is_ok_and(|went| went) {
                    return;
                }
            }
        });
    }
}

/// A peer's actor never waits for the module's, so waiting for room in its mailbox can't lock up; and it runs
/// for as long as there is a way to it.
async fn tell(peer: &mpsc::Sender<ToPeer>, message: ToPeer) {
    let _ = peer.send(message).await;
}

/// Sleeps until then; without a time, for good.
pub(super) async fn sleep_until(at: Option<tokio::time::Instant>) {
    match at {
        Some(at) => tokio::time::sleep_until(at).await,
        None => std::future::pending().await,
    }
}
