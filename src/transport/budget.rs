//! The descriptor budget: fronts and peers each have a part, so that neither can starve the other.

use std::sync::Arc;

use tokio::sync::Semaphore;

use super::clock::Clock;
use super::front::line::Lines;
use crate::recovery::Socket;

/// Part of the rest that is for clients. Each has at most one call to a peer out; what peers have beyond that
/// is for idle connections, probes and leases.
const FRONTS: f64 = 0.4;
/// Descriptors for the runtime, standard streams, listeners, discovery and counters.
const RESERVED: usize = 32;

/// What fronts and peers may open.
#[derive(Clone, Debug)]
pub struct Budget {
    /// Connections of clients, over all fronts.
    pub fronts: Lines,
    /// Connections to peers, over all pools.
    pub peers: Arc<Semaphore>,
}

impl Budget {
    /// Splits so many descriptors; clients come at such a socket.
    pub fn new(sockets: usize, socket: Socket, clock: Clock) -> Self {
        let all = sockets.saturating_sub(RESERVED);
        let fronts = (all as f64 * FRONTS) as usize;
        Budget { fronts: Lines::new(fronts, socket, clock), peers: Arc::new(Semaphore::new(all - fronts)) }
    }
}
