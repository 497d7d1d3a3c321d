//! The descriptors that connections to peers may use, and the idle connections that give theirs up for a new one.

use std::collections::BTreeMap;
use std::io;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::Context;

use futures_util::task::AtomicWaker;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// What connections to peers may use, over all pools.
#[derive(Clone, Debug)]
pub struct ConnectionBudget {
    permits: Arc<Semaphore>,
    idle: Arc<IdleConnections>,
}

impl ConnectionBudget {
    /// A budget of so many connections.
    pub fn new(connections: usize) -> Self {
        Self::with_permits(Arc::new(Semaphore::new(connections)))
    }

    /// A budget that shares its permits with others.
    pub fn with_permits(permits: Arc<Semaphore>) -> Self {
        ConnectionBudget { permits, idle: Arc::default() }
    }

    /// A permit for a connection. If none is left, the connection that has been idle for longest is closed for it.
    pub async fn acquire(&self) -> io::Result<OwnedSemaphorePermit> {
        let permits = self.permits.clone();
        match permits.clone().try_acquire_owned() {
            Ok(permit) => Ok(permit),
            Err(error) if !self.idle.close_longest() => Err(io::Error::other(error)),
            Err(_) => permits.acquire_owned().await.map_err(io::Error::other),
        }
    }

    /// How a new connection tells that it is idle.
    pub fn idle_tracker(&self) -> IdleTracker {
        IdleTracker { connections: self.idle.clone(), since: AtomicU64::new(BUSY), close: Arc::default() }
    }
}

/// The connections that are idle, the one that has been so for longest first.
#[derive(Debug, Default)]
struct IdleConnections {
    idle: Mutex<BTreeMap<u64, Arc<CloseSignal>>>,
    last: AtomicU64,
}

impl IdleConnections {
    fn idle(&self) -> MutexGuard<'_, BTreeMap<u64, Arc<CloseSignal>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Tells one to close; false if none is idle.
    fn close_longest(&self) -> bool {
        let longest = self.idle().pop_first();
        longest.is_some_and(|(_, signal)| {
            signal.closes.store(true, Ordering::Relaxed);
            signal.waker.wake();
            true
        })
    }
}

#[derive(Debug, Default)]
struct CloseSignal {
    closes: AtomicBool,
    waker: AtomicWaker,
}

/// No place among the idle connections.
const BUSY: u64 = 0;

/// Whether one connection is idle.
#[derive(Debug)]
pub struct IdleTracker {
    connections: Arc<IdleConnections>,
    /// Its place among those that are idle.
    since: AtomicU64,
    close: Arc<CloseSignal>,
}

impl IdleTracker {
    /// Nothing is out on the connection from now on.
    pub fn mark_idle(&self) {
        let place = self.connections.last.fetch_add(1, Ordering::Relaxed) + 1;
        let mut idle = self.connections.idle();
        idle.remove(&self.since.swap(place, Ordering::Relaxed));
        idle.insert(place, self.close.clone());
    }

    /// The connection is in use from now on, or gone.
    pub fn mark_busy(&self) {
        let place = self.since.swap(BUSY, Ordering::Relaxed);
        if place != BUSY {
            self.connections.idle().remove(&place);
        }
    }

    /// Whether the connection has to close, as another needs its descriptor; if not, the task is woken once it has to.
    pub fn must_close(&self, context: &Context<'_>) -> bool {
        self.close.waker.register(context.waker());
        self.close.closes.load(Ordering::Relaxed)
    }
}

impl Drop for IdleTracker {
    fn drop(&mut self) {
        self.mark_busy();
    }
}
