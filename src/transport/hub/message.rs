//! What is told between the module's actor and those around it, and the way to that actor.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method};
use thiserror::Error;
use tokio::sync::{mpsc, oneshot};

use crate::interface::*;
use crate::membership::Generation;
use crate::protocol::figures::Figure;
use crate::routing::{Admission, ClassTotals, Input, PoolId, Totals};
use crate::transport::budget::Budget;

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
    /// Who is a member of a pool from now on.
    List(PoolId, Arc<Generation>),
    /// A message for the server whose answer a request has, beside that answer.
    HandBack(RequestId, Arc<Payload>),
    /// Asks for the counters.
    Count(oneshot::Sender<Counted>),
}

/// What has been counted since the start, over all pools.
#[derive(Clone, Debug, Default)]
pub struct Counted {
    /// All together.
    pub totals: Totals,
    /// By the class's name.
    pub handled: Vec<(String, ClassTotals)>,
}

impl Counted {
    /// The figures that operators ask for, under the names that they use.
    pub fn service(&self) -> Vec<Figure> {
        let mut figures = Vec::new();
        for (class, ClassTotals { served, refused, failed }) in &self.handled {
            let ends = [("passed", served), ("dropped", refused), ("bad_gateway", failed)];
            figures
                .extend(ends.map(|(end, count)| Figure::counter(format!("handled.{class}.{end}"), *count)));
        }
        let Totals { written, unreachable, released, released_late, released_unheard, .. } = self.totals;
        let Totals { open, known, avoided, .. } = self.totals;
        let counters = [
            ("upstream_tries", written),
            ("unreachable_tries", unreachable),
            ("released_states", released),
            ("late_releases", released_late),
            ("unheard_fetches", released_unheard),
        ];
        figures.extend(counters.map(|(name, count)| Figure::counter(name, count)));
        let levels = [("in_progress", open), ("known_instances", known), ("skipped_instances", avoided)];
        figures.extend(levels.map(|(name, level)| Figure::gauge(name, level)));
        figures
    }

    /// All figures: the program's own, then those.
    pub fn figures(&self) -> Vec<Figure> {
        let Totals { taken, sent, served, refused, failed, broken, gone, probes, open, .. } = self.totals;
        let counters = [
            ("taken", taken),
            ("sent", sent),
            ("served", served),
            ("refused", refused),
            ("failed", failed),
            ("broken", broken),
            ("gone", gone),
            ("probes", probes),
        ];
        let counters = counters.map(|(name, count)| Figure::counter(name, count));
        counters.into_iter().chain([Figure::gauge("open", open)]).chain(self.service()).collect()
    }
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
        self.hub.tell(Message::Input(Input::ClientGone(self.id)));
    }
}

impl Hub {
    /// A way to whoever reads the other end.
    pub(super) fn new(inbox: mpsc::Sender<Message>, budget: Budget) -> Self {
        Hub { inbox, ids: Arc::default(), budget }
    }

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

    /// What has been counted.
    pub async fn counted(&self) -> Counted {
        let (sender, counted) = oneshot::channel();
        self.send(Message::Count(sender)).await;
        counted.await.unwrap_or_default()
    }

    /// Tells the module's actor something from where nothing can be waited for.
    pub fn tell(&self, message: Message) {
        if let Err(mpsc::error::TrySendError::Full(message)) = self.inbox.try_send(message) {
            let hub = self.clone();
            tokio::spawn(async move { hub.send(message).await });
        }
    }
}
