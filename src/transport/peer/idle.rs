//! The descriptor budget of connections to peers. When it is used up, the connection that has been idle for longest is
//! closed to make room for a new one.

use std::collections::BTreeMap;
use std::io;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::Context;

use futures_util::task::AtomicWaker;
use thiserror::Error;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::limits::memory::PEER_CONNECTION_BYTES;
use crate::transport::memory::{Charge, MemoryBudget};

/// The share of the memory budget that idle connections may take.
const IDLE_MEMORY_SHARE: f64 = 0.05;

/// The descriptors that connections to peers may use, over all pools.
#[derive(Clone, Debug)]
pub struct ConnectionBudget {
    permits: Arc<Semaphore>,
    idle: Arc<IdleConnections>,
    /// The budget to which the connections are charged, if there is one.
    memory: Option<MemoryBudget>,
    /// Who needs a connection waits for its permit, even if no idle connection can be closed for it.
    waits: bool,
}

/// No further connection may be open, and none is idle. This says nothing about the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("all connections to servers that may be open are in use")]
pub struct OutOfConnections;

/// Returns true if a call failed because no connection could be opened for it.
pub fn is_out_of_connections(error: &(dyn std::error::Error + 'static)) -> bool {
    std::iter::successors(Some(error), |error| error.source()).any(|error| {
        let inner = error.downcast_ref::<io::Error>().and_then(io::Error::get_ref);
        inner.is_some_and(|inner| inner.is::<OutOfConnections>())
    })
}

/// Allows one connection, for as long as this exists.
#[derive(Debug)]
pub struct ConnectionPermit {
    _permit: OwnedSemaphorePermit,
    _charge: Option<Charge>,
}

impl ConnectionBudget {
    /// Creates a budget of this number of connections.
    pub fn new(connections: usize) -> Self {
        Self::with_permits(Arc::new(Semaphore::new(connections)))
    }

    /// Creates a budget that draws on permits which others may use as well.
    pub fn with_permits(permits: Arc<Semaphore>) -> Self {
        ConnectionBudget { permits, idle: Arc::default(), memory: None, waits: false }
    }

    /// Returns the budget so that who needs a connection waits until one may be opened.
    pub fn waiting(self) -> Self {
        ConnectionBudget { waits: true, ..self }
    }

    /// Returns the budget with its connections charged to this memory budget, of which the idle ones may take a small share.
    pub fn charged_to(self, memory: MemoryBudget) -> Self {
        let max_idle = (memory.capacity() as f64 * IDLE_MEMORY_SHARE) as usize / PEER_CONNECTION_BYTES;
        let idle = Arc::new(IdleConnections { max_idle: Some(max_idle), ..IdleConnections::default() });
        ConnectionBudget { memory: Some(memory), idle, ..self }
    }

    /// Acquires the permit for a connection. If none is left, closes the connection that has been idle for longest and
    /// waits for its permit; fails if no connection is idle. If memory runs short, it closes that connection as well.
    pub async fn acquire(&self) -> io::Result<ConnectionPermit> {
        let permits = self.permits.clone();
        let permit = match permits.clone().try_acquire_owned() {
            Ok(permit) => permit,
            Err(_) if !self.idle.close_longest_idle() && !self.waits => {
                return Err(io::Error::other(OutOfConnections));
            }
            Err(_) => permits.acquire_owned().await.map_err(io::Error::other)?,
        };
        if self.memory.as_ref().is_some_and(MemoryBudget::is_short) {
            self.idle.close_longest_idle();
        }
        let charge = self.memory.as_ref().map(MemoryBudget::charge_connection);
        Ok(ConnectionPermit { _permit: permit, _charge: charge })
    }

    /// Returns the tracker by which a new connection reports when it is idle.
    pub fn idle_tracker(&self) -> IdleTracker {
        IdleTracker { connections: self.idle.clone(), position: AtomicU64::new(BUSY), close: Arc::default() }
    }
}

/// The idle connections.
#[derive(Debug, Default)]
struct IdleConnections {
    /// By position, so that the connection that has been idle for longest is first.
    idle: Mutex<BTreeMap<u64, Arc<CloseSignal>>>,
    /// The position that was given out last.
    last_position: AtomicU64,
    /// The most connections that may be idle at once, if there is a limit.
    max_idle: Option<usize>,
}

impl IdleConnections {
    fn idle(&self) -> MutexGuard<'_, BTreeMap<u64, Arc<CloseSignal>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Asks the connection that has been idle for longest to close; returns false if none is idle.
    fn close_longest_idle(&self) -> bool {
        let longest = self.idle().pop_first();
        longest.is_some_and(|(_, signal)| {
            signal.requested.store(true, Ordering::Relaxed);
            signal.waker.wake();
            true
        })
    }
}

/// Asks one connection to close.
#[derive(Debug, Default)]
struct CloseSignal {
    requested: AtomicBool,
    waker: AtomicWaker,
}

/// The position of a connection that is not idle.
const BUSY: u64 = 0;

/// Reports whether one connection is idle.
#[derive(Debug)]
pub struct IdleTracker {
    connections: Arc<IdleConnections>,
    /// The connection's position among the idle ones.
    position: AtomicU64,
    close: Arc<CloseSignal>,
}

impl IdleTracker {
    /// Records that no request is in progress on the connection any more.
    pub fn mark_idle(&self) {
        let position = self.connections.last_position.fetch_add(1, Ordering::Relaxed) + 1;
        let mut idle = self.connections.idle();
        idle.remove(&self.position.swap(position, Ordering::Relaxed));
        idle.insert(position, self.close.clone());
        let is_over_limit = self.connections.max_idle.is_some_and(|max_idle| idle.len() > max_idle);
        drop(idle);
        if is_over_limit {
            self.connections.close_longest_idle();
        }
    }

    /// Records that the connection is in use, or closed.
    pub fn mark_busy(&self) {
        let position = self.position.swap(BUSY, Ordering::Relaxed);
        if position != BUSY {
            self.connections.idle().remove(&position);
        }
    }

    /// Returns true if the connection has to close because another needs its descriptor. If it need not yet, the task
    /// is woken once it does.
    pub fn must_close(&self, context: &Context<'_>) -> bool {
        self.close.waker.register(context.waker());
        self.close.requested.load(Ordering::Relaxed)
    }
}

impl Drop for IdleTracker {
    fn drop(&mut self) {
        self.mark_busy();
    }
}
