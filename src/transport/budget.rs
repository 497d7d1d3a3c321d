//! The descriptor budget: fronts and peers each have a part, so that neither can starve the other.

use std::sync::Arc;

use tokio::sync::Semaphore;

/// Descriptors for the runtime, standard streams, listeners, discovery and counters.
const RESERVED: usize = 32;

/// What fronts and peers may open.
#[derive(Clone, Debug)]
pub struct Budget {
    /// Connections of clients, over all fronts.
    pub fronts: Arc<Semaphore>,
    /// Connections to peers, over all pools.
    pub peers: Arc<Semaphore>,
}

impl Budget {
    /// Splits so many descriptors.
    pub fn new(sockets: usize) -> Self {
        let half = sockets.saturating_sub(RESERVED) / 2;
        Budget { fronts: Arc::new(Semaphore::new(half)), peers: Arc::new(Semaphore::new(half)) }
    }
}
