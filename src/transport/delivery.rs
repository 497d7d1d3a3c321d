//! Delivers messages that servers have been promised, such as the result of a tool call that a server has made. A delivery is
//! a task of its own: it neither waits for the client nor ends with it, and each one ends with an outcome that is counted and
//! logged. How many messages are on their way at once is bounded, over all servers and for each of them.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::BoxFuture;
use http::HeaderMap;
use tokio::sync::{Mutex, MutexGuard, Semaphore, SemaphorePermit, watch};
use tokio::time::{Instant, sleep_until};

use crate::interface::Micros;
use crate::recovery::{DeliveryOutcome, DeliverySchedule, DeliveryStep, TryOutcome};

/// One in so many of all tries may be on its way to one server.
const SERVER_PART: usize = 4;

/// A message to a server, whose answer says nothing but whether the server has taken it.
#[derive(Clone, Debug)]
pub struct Post {
    /// The id of the request to which it belongs.
    pub id: String,
    /// The path of the URI.
    pub path: Arc<str>,
    /// The headers.
    pub headers: HeaderMap,
    /// The body, with its charge to the memory budget.
    pub body: Bytes,
}

/// A server to which messages are posted.
pub trait PostTarget: fmt::Debug + Send + Sync {
    /// Sends a message once. The try ends within this time.
    fn try_post<'a>(&'a self, post: &'a Post, within: Duration) -> BoxFuture<'a, TryOutcome>;

    /// Returns the server's present address.
    fn address(&self) -> Arc<str>;

    /// Returns a future that waits until the server is no longer on the list.
    fn unlisted(&self) -> BoxFuture<'static, ()>;

    /// Returns the gate through which all tries to this server go.
    fn gate(&self) -> &PostGate;
}

/// What the call to which a message belongs means for the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallState {
    /// The server is answering it.
    Open,
    /// It has been answered, or this program has ended it. The server may still wait for the message.
    Ended,
    /// The server's answer broke off: the server is gone, or has given the call up.
    BrokenOff,
}

/// Bounds the tries on their way to one server. While the server leaves tries without an answer, there is one at a time, so
/// that a silent server takes no places from others.
#[derive(Debug)]
pub struct PostGate {
    places: Semaphore,
    /// Held by the one try to a server that does not answer.
    single: Mutex<()>,
    is_answering: AtomicBool,
}

impl PostGate {
    /// Creates the gate of a server, given how many tries may be on their way to all servers.
    pub fn new(max_tries: usize) -> Self {
        PostGate {
            places: Semaphore::new((max_tries / SERVER_PART).max(1)),
            single: Mutex::const_new(()),
            is_answering: AtomicBool::new(true),
        }
    }

    fn record(&self, outcome: TryOutcome) {
        let is_answering = match outcome {
            TryOutcome::Accepted | TryOutcome::Rejected | TryOutcome::Busy => true,
            TryOutcome::Failed | TryOutcome::TimedOut => false,
        };
        self.is_answering.store(is_answering, Ordering::Relaxed);
    }
}

/// The right to send one try.
struct TryPlace<'a> {
    _server: SemaphorePermit<'a>,
    _single: Option<MutexGuard<'a, ()>>,
    _all: SemaphorePermit<'a>,
}

/// What has become of the deliveries since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DeliveryTotals {
    /// Messages that their server has taken.
    pub delivered: u64,
    /// Messages that their server did not want.
    pub rejected: u64,
    /// Messages that could not be delivered in time.
    pub expired: u64,
    /// Messages whose server was gone.
    pub server_gone: u64,
    /// How often messages were sent.
    pub tries: u64,
    /// Messages that are being delivered now.
    pub in_progress: u64,
}

#[derive(Debug, Default)]
struct Counters {
    delivered: AtomicU64,
    rejected: AtomicU64,
    expired: AtomicU64,
    server_gone: AtomicU64,
    tries: AtomicU64,
    in_progress: AtomicU64,
}

/// One message to deliver.
pub struct Delivery {
    /// The server.
    pub target: Arc<dyn PostTarget>,
    /// The message.
    pub post: Post,
    /// When the server stops waiting for it.
    pub expires_at: Instant,
    /// The call to which it belongs.
    pub call: watch::Receiver<CallState>,
}

/// What all deliveries share.
#[derive(Debug)]
pub struct Deliveries {
    places: Semaphore,
    counters: Counters,
}

impl Deliveries {
    /// Allows this many tries on their way at once.
    pub fn new(max_tries: usize) -> Self {
        Deliveries { places: Semaphore::new(max_tries), counters: Counters::default() }
    }

    /// Returns the counters.
    pub fn totals(&self) -> DeliveryTotals {
        let Counters { delivered, rejected, expired, server_gone, tries, in_progress } = &self.counters;
        let value = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        DeliveryTotals {
            delivered: value(delivered),
            rejected: value(rejected),
            expired: value(expired),
            server_gone: value(server_gone),
            tries: value(tries),
            in_progress: value(in_progress),
        }
    }

    /// Delivers a message, and returns how that ended.
    pub async fn deliver(&self, delivery: Delivery) -> DeliveryOutcome {
        self.counters.in_progress.fetch_add(1, Ordering::Relaxed);
        let started = Instant::now();
        let tries_before = AtomicU64::new(0);
        let outcome = self.run(&delivery, started, &tries_before).await;
        self.counters.in_progress.fetch_sub(1, Ordering::Relaxed);
        let counter = match outcome {
            DeliveryOutcome::Delivered => &self.counters.delivered,
            DeliveryOutcome::Rejected => &self.counters.rejected,
            DeliveryOutcome::Expired => &self.counters.expired,
            DeliveryOutcome::ServerGone => &self.counters.server_gone,
        };
        counter.fetch_add(1, Ordering::Relaxed);
        log_end(&delivery, outcome, tries_before.into_inner(), started.elapsed());
        outcome
    }

    async fn run(&self, delivery: &Delivery, started: Instant, tries: &AtomicU64) -> DeliveryOutcome {
        let elapsed = || started.elapsed().as_micros() as Micros;
        let time_left = delivery.expires_at.saturating_duration_since(started).as_micros() as Micros;
        let mut schedule = DeliverySchedule::new(0, time_left);
        let mut gone = std::pin::pin!(server_gone(delivery.call.clone(), &*delivery.target));
        let mut place = None;
        loop {
            match (schedule.step(elapsed()), place.take()) {
                (DeliveryStep::End(outcome), _) => return outcome,
                (DeliveryStep::Wait { until }, _) => tokio::select! {
                    biased;
                    () = &mut gone => schedule.server_gone(),
                    () = sleep_until(started + Duration::from_micros(until)) => {}
                },
                (DeliveryStep::Try { .. }, None) => tokio::select! {
                    biased;
                    () = &mut gone => schedule.server_gone(),
                    granted = self.place(delivery.target.gate()) => place = granted,
                    () = sleep_until(delivery.expires_at) => {}
                },
                (DeliveryStep::Try { answer_within }, Some(_place)) => {
                    tries.fetch_add(1, Ordering::Relaxed);
                    self.counters.tries.fetch_add(1, Ordering::Relaxed);
                    tokio::select! {
                        biased;
                        () = &mut gone => schedule.server_gone(),
                        outcome = delivery.target.try_post(&delivery.post, Duration::from_micros(answer_within)) => {
                            delivery.target.gate().record(outcome);
                            schedule.record(elapsed(), outcome);
                        }
                    }
                }
            }
        }
    }

    /// Waits for the right to send one try to a server. `None` is never returned, as the semaphores are never closed.
    async fn place<'a>(&'a self, gate: &'a PostGate) -> Option<TryPlace<'a>> {
        let server = gate.places.acquire().await.ok()?;
        let mut single = None;
        if !gate.is_answering.load(Ordering::Relaxed) {
            let guard = gate.single.lock().await;
            single = (!gate.is_answering.load(Ordering::Relaxed)).then_some(guard);
        }
        let all = self.places.acquire().await.ok()?;
        Some(TryPlace { _server: server, _single: single, _all: all })
    }
}

/// Waits until the server can't be waiting for the message any more.
async fn server_gone(mut call: watch::Receiver<CallState>, target: &dyn PostTarget) {
    loop {
        let state = *call.borrow_and_update();
        match state {
            CallState::BrokenOff => return,
            CallState::Ended => return target.unlisted().await,
            // The task that followed the call has ended without a word on the server.
            CallState::Open => {
                if call.changed().await.is_err() {
                    return target.unlisted().await;
                }
            }
        }
    }
}

fn log_end(delivery: &Delivery, outcome: DeliveryOutcome, tries: u64, took: Duration) {
    let (id, address, took_us) =
        (delivery.post.id.as_str(), delivery.target.address(), took.as_micros() as u64);
    match outcome {
        DeliveryOutcome::Expired => tracing::warn!(
            target: "birchspur::delivery",
            { request.id = id, server.address = &*address, tries, took_us },
            "a message could not be delivered to the server in time"
        ),
        outcome => tracing::debug!(
            target: "birchspur::delivery",
            { request.id = id, server.address = &*address, ?outcome, tries, took_us },
            "the delivery of a message has ended"
        ),
    }
}

#[cfg(test)]
mod tests;
