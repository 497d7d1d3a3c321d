//! The messages between the hub and the actors and fronts around it, and the handle to the hub.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method};
use thiserror::Error;
use tokio::sync::{mpsc, oneshot};

use crate::interface::*;
use crate::membership::Generation;
use crate::protocol::figures::Metric;
use crate::routing::{Admission, ClassTotals, Input, PoolId, Totals};
use crate::transport::budget::Budget;
use crate::transport::delivery::{Deliveries, DeliveryTotals, PostTarget};
use crate::transport::memory::Charge;

/// The message that is sent to a server. It is the same for each attempt of a request.
#[derive(Clone, Debug)]
pub struct Payload {
    /// The request's id as it appears in messages.
    pub id: String,
    /// HTTP method.
    pub method: Method,
    /// Path and query of the URI.
    pub path: String,
    /// The headers that are passed on.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// What the request needs besides its body, until it is forgotten.
    pub memory: Option<Arc<Charge>>,
}

impl Payload {
    /// Returns the head of an HTTP request with this payload's method and headers, but without a URI.
    pub fn head(&self) -> http::Request<()> {
        let mut head = http::Request::new(());
        *head.method_mut() = self.method.clone();
        *head.headers_mut() = self.headers.clone();
        head
    }
}

/// The error of an answer's stream that ended before it was complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the stream ended before it was complete")]
pub struct IncompleteStream;

/// A part of an answer. If the channel closes before [`Part::End`], the answer is incomplete: for whatever reason a
/// call is dropped, its client can't mistake a truncated answer for a whole one.
#[derive(Debug)]
pub enum Part {
    /// Bytes of the answer.
    Data(Bytes),
    /// The answer is complete.
    End,
}

/// A server's answer, passed on while it arrives.
#[derive(Debug)]
pub struct Body {
    /// The answer's content type.
    pub content_type: Option<HeaderValue>,
    /// The parts of the answer.
    pub parts: mpsc::Receiver<Part>,
    /// The server that answers, if messages may be posted to it while it does.
    pub server: Option<Arc<dyn PostTarget>>,
}

/// The single reply to a request.
#[derive(Debug)]
pub enum Reply {
    /// A server's answer.
    Stream(Body),
    /// Another request with this id is open. If both were passed on, servers would take them for one.
    IdInUse,
    /// The request is refused. Sending it again is harmless, after this time if one is given.
    Refused(Option<Micros>),
    /// The request has failed.
    Failed {
        /// The request may have run on a server.
        may_have_run: bool,
        /// The request's deadline has passed.
        overdue: bool,
    },
}

/// A message to the hub.
pub enum Message {
    /// A front hands in a request, and expects the reply on the channel.
    Request(Box<Admission>, Arc<Payload>, oneshot::Sender<Reply>),
    /// The first event of an attempt's answer has arrived.
    AnswerStarted {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: u32,
        /// The answer.
        body: Body,
    },
    /// An input that is passed to the core as it is.
    Input(Input),
    /// The members of a pool from now on.
    List(PoolId, Arc<Generation>),
    /// Asks for the counters.
    GetCounters(oneshot::Sender<Counters>),
    /// Asks to be told once no request is open and nothing is left to release.
    NotifyWhenIdle(oneshot::Sender<()>),
}

/// What has been counted since the start, over all pools.
#[derive(Clone, Debug, Default)]
pub struct Counters {
    /// The totals over all classes.
    pub totals: Totals,
    /// How requests were handled, by the name of their class.
    pub handled: Vec<(String, ClassTotals)>,
    /// Bytes that are charged to the memory budget.
    pub charged_memory: u64,
    /// How many requests were shed while they arrived, to make room for others.
    pub shed_requests: u64,
    /// What has become of the messages that servers have been promised.
    pub deliveries: DeliveryTotals,
}

impl Counters {
    /// Returns the metrics that operators query, under the names that they use.
    pub fn service_metrics(&self) -> Vec<Metric> {
        let mut figures = Vec::new();
        for (class, ClassTotals { served, refused, failed }) in &self.handled {
            let by_end = [("passed", served), ("dropped", refused), ("bad_gateway", failed)];
            figures
                .extend(by_end.map(|(end, count)| Metric::counter(format!("handled.{class}.{end}"), *count)));
        }
        let Totals { written, unreachable, released, released_late, released_unheard, .. } = self.totals;
        let Totals { open, known, avoided, .. } = self.totals;
        let Totals { release_calls, release_calls_failed, .. } = self.totals;
        let Totals { release_calls_in_flight, releases_waiting, .. } = self.totals;
        let DeliveryTotals { delivered, rejected, expired, server_gone, tries, in_progress } =
            self.deliveries;
        let counters = [
            ("upstream_tries", written),
            ("unreachable_tries", unreachable),
            ("released_states", released),
            ("late_releases", released_late),
            ("unheard_fetches", released_unheard),
            ("shed_requests", self.shed_requests),
            ("release_calls", release_calls),
            ("failed_release_calls", release_calls_failed),
            ("delivered_posts", delivered),
            ("rejected_posts", rejected),
            ("expired_posts", expired),
            ("posts_to_gone_servers", server_gone),
            ("post_tries", tries),
        ];
        figures.extend(counters.map(|(name, count)| Metric::counter(name, count)));
        let levels = [
            ("in_progress", open),
            ("known_instances", known),
            ("skipped_instances", avoided),
            ("charged_memory", self.charged_memory),
            ("release_calls_in_progress", release_calls_in_flight),
            ("waiting_releases", releases_waiting),
            ("posts_in_progress", in_progress),
        ];
        figures.extend(levels.map(|(name, level)| Metric::gauge(name, level)));
        figures
    }

    /// Returns all metrics: the program's own, followed by the service metrics.
    pub fn all_metrics(&self) -> Vec<Metric> {
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
        let counters = counters.map(|(name, count)| Metric::counter(name, count));
        counters.into_iter().chain([Metric::gauge("open", open)]).chain(self.service_metrics()).collect()
    }
}

/// A handle to the hub, through which messages are sent to it.
#[derive(Clone)]
pub struct Hub {
    inbox: mpsc::Sender<Message>,
    next_id: Arc<AtomicU64>,
    budget: Budget,
    deliveries: Arc<Deliveries>,
}

/// Stands for an open request; dropping it reports that the request's client has left.
pub struct RequestHandle {
    id: RequestId,
    hub: Hub,
}

impl Drop for RequestHandle {
    fn drop(&mut self) {
        // After the last part of an answer this has no effect.
        self.hub.send_detached(Message::Input(Input::ClientGone(self.id)));
    }
}

impl Hub {
    /// Creates a handle that sends to this inbox.
    pub(super) fn new(inbox: mpsc::Sender<Message>, budget: Budget) -> Self {
        let deliveries = Arc::new(Deliveries::new(budget.max_delivery_tries));
        Hub { inbox, next_id: Arc::default(), budget, deliveries }
    }

    /// Sends a message to the hub, and waits while its inbox is full.
    pub async fn send(&self, message: Message) {
        // Sending fails only when the program ends.
        let _ = self.inbox.send(message).await;
    }

    /// Returns the file descriptor budget.
    pub fn budget(&self) -> &Budget {
        &self.budget
    }

    /// Hands in a request and waits for its reply. The caller keeps the handle until it has passed the answer on.
    pub async fn submit(&self, mut admission: Admission, payload: Payload) -> (Reply, RequestHandle) {
        let number = self.next_id.fetch_add(1, Ordering::Relaxed);
        let mut id = [b'0'; 36];
        id.iter_mut().rev().zip(format!("{number}").bytes().rev()).for_each(|(to, digit)| *to = digit);
        admission.request.id = RequestId(id);
        let handle = RequestHandle { id: admission.request.id, hub: self.clone() };
        let (reply, answer) = oneshot::channel();
        self.send(Message::Request(Box::new(admission), Arc::new(payload), reply)).await;
        let closed = Reply::Failed { may_have_run: true, overdue: false };
        (answer.await.unwrap_or(closed), handle)
    }

    /// Reports a request that its front refused, so that it is counted.
    pub fn report_refused(&self, pool: PoolId, class: ClassId) {
        self.send_detached(Message::Input(Input::RefusedByFront(pool, class)));
    }

    /// Returns what all deliveries share.
    pub fn deliveries(&self) -> &Arc<Deliveries> {
        &self.deliveries
    }

    /// Returns the counters.
    pub async fn counters(&self) -> Counters {
        let (sender, receiver) = oneshot::channel();
        self.send(Message::GetCounters(sender)).await;
        let counters = receiver.await.unwrap_or_default();
        let memory = &self.budget.memory;
        let (charged_memory, shed_requests) = (memory.used() as u64, memory.shed_count());
        Counters { charged_memory, shed_requests, deliveries: self.deliveries.totals(), ..counters }
    }

    /// Waits until no request is open and nothing is left to release, whether or not a client waits for it.
    pub async fn idle(&self) {
        let (sender, receiver) = oneshot::channel();
        self.send(Message::NotifyWhenIdle(sender)).await;
        let _ = receiver.await;
    }

    /// Sends a message to the hub without waiting: if its inbox is full, a task of its own waits and sends it.
    pub fn send_detached(&self, message: Message) {
        if let Err(mpsc::error::TrySendError::Full(message)) = self.inbox.try_send(message) {
            let hub = self.clone();
            tokio::spawn(async move { hub.send(message).await });
        }
    }
}
