//! The descriptor budget: fronts and peers each have a part, so that neither can starve the other.

use super::clock::Clock;
use super::front::connection::Connections;
use super::peer::idle::ConnectionBudget;
use crate::protocol::config::LEAST_SOCKETS;
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
    pub fronts: Connections,
    /// Connections to peers, over all pools.
    pub peers: ConnectionBudget,
}

impl Budget {
    /// Splits so many descriptors, or those that the system allows this process if that is less; clients come at
    /// such a socket.
    pub fn new(sockets: usize, socket: Socket, clock: Clock) -> Self {
        let allowed = system_limit().map_or(sockets, |limit| sockets.min(limit.max(LEAST_SOCKETS)));
        if allowed < sockets {
            tracing::warn!(sockets, allowed, "the system allows fewer descriptors than the configuration");
        }
        let all = allowed.saturating_sub(RESERVED);
        let fronts = (all as f64 * FRONTS) as usize;
        Budget { fronts: Connections::new(fronts, socket, clock), peers: ConnectionBudget::new(all - fronts) }
    }
}

/// The system's own limit on the descriptors of this process, where it tells one: beyond it nothing can be opened,
/// for discovery as little as for clients.
fn system_limit() -> Option<usize> {
    let limits = std::fs::read_to_string("/proc/self/limits").ok()?;
    let line = limits.lines().find_map(|line| line.strip_prefix("Max open files"))?;
    line.split_whitespace().next()?.parse().ok()
}
