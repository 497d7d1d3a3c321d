//! The file descriptor budget. Fronts and peers each have a share of their own, so that neither can starve the
//! other.

use super::clock::Clock;
use super::front::connection::Connections;
use super::peer::idle::ConnectionBudget;
use crate::protocol::config::MIN_SOCKETS;
use crate::recovery::Socket;

/// Share of the available descriptors that is for client connections. Each client connection has at most one call to
/// a peer in progress; the peers' surplus is for idle connections, probes and leases.
const FRONT_SHARE: f64 = 0.4;
/// Descriptors set aside for the runtime, standard streams, listeners, discovery and metrics export.
const RESERVED_DESCRIPTORS: usize = 32;

/// The connections that fronts and peers may open.
#[derive(Clone, Debug)]
pub struct Budget {
    /// Client connections, over all fronts.
    pub fronts: Connections,
    /// Connections to peers, over all pools.
    pub peers: ConnectionBudget,
}

impl Budget {
    /// Splits `sockets` descriptors, or as many as the system allows this process if that is less. `socket` says
    /// whether the clients' listening socket is shared with other processes.
    pub fn new(sockets: usize, socket: Socket, clock: Clock) -> Self {
        let allowed = system_limit().map_or(sockets, |limit| sockets.min(limit.max(MIN_SOCKETS)));
        if allowed < sockets {
            tracing::warn!(sockets, allowed, "the system allows fewer descriptors than the configuration");
        }
        let available = allowed.saturating_sub(RESERVED_DESCRIPTORS);
        let fronts = (available as f64 * FRONT_SHARE) as usize;
        Budget {
            fronts: Connections::new(fronts, socket, clock),
            peers: ConnectionBudget::new(available - fronts),
        }
    }
}

/// Returns the system's limit on open files of this process, if it can be read. Beyond that limit nothing can be
/// opened, neither for clients nor for discovery.
fn system_limit() -> Option<usize> {
    let limits = std::fs::read_to_string("/proc/self/limits").ok()?;
    let line = limits.lines().find_map(|line| line.strip_prefix("Max open files"))?;
    line.split_whitespace().next()?.parse().ok()
}
