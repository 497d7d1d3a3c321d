//! The budgets of file descriptors and memory. Fronts and peers each have a share of the descriptors of their own, so that
//! neither can starve the other; memory is one budget for all.

use super::clock::Clock;
use super::front::connection::Connections;
use super::memory::{CONNECTION_BYTES, MemoryBudget};
use super::peer::connector::PeerBudgets;
use super::peer::idle::ConnectionBudget;
use crate::limits::calls::DEFAULT_MAX_CALLS;
use crate::limits::memory::{self, PEER_CONNECTION_BYTES};
use crate::protocol::config::{MIN_SOCKETS, MachineLimits};
use crate::recovery::Socket;

/// Share of the available descriptors that is for client connections. Each client connection has at most one call to
/// a peer in progress; the peers' surplus is for idle connections, probes and leases.
const FRONT_SHARE: f64 = 0.4;
/// Descriptors set aside for the runtime, standard streams, listeners, discovery and metrics export.
const RESERVED_DESCRIPTORS: usize = 32;

/// The share of the memory that client connections alone may take, without the requests on them.
const FRONT_MEMORY_SHARE: f64 = 0.4;
/// The share of the memory that connections to peers may take, without those of release calls.
const PEER_MEMORY_SHARE: f64 = 0.4;

/// One in so many connections to peers is reserved for release calls.
const RELEASE_CONNECTIONS_PART: usize = 8;
/// One in so many connections to peers is reserved for messages that servers have been promised.
const DELIVERY_CONNECTIONS_PART: usize = 8;
/// The most of these connections.
const MAX_DELIVERY_CONNECTIONS: usize = 64;

/// The connections that fronts and peers may open, and the memory that all of the program may use.
#[derive(Clone, Debug)]
pub struct Budget {
    /// Client connections, over all fronts.
    pub fronts: Connections,
    /// Connections to peers, over all pools.
    pub peers: PeerBudgets,
    /// How many release calls may be in flight. So many connections are reserved for them.
    pub max_release_calls: usize,
    /// How many messages that servers have been promised may be on their way. So many connections are reserved for them.
    pub max_delivery_tries: usize,
    /// Memory.
    pub memory: MemoryBudget,
}

impl Budget {
    /// Splits the descriptors of these limits, or as many as the system allows this process if that is less. `socket` says
    /// whether the clients' listening socket is shared with other processes.
    pub fn new(limits: MachineLimits, socket: Socket, clock: Clock) -> Self {
        Self::split(limits, socket, clock, |_| 0)
    }

    /// Does the same for a program that relays tool calls, and so posts messages to servers.
    pub fn with_tool_calls(limits: MachineLimits, socket: Socket, clock: Clock) -> Self {
        let deliveries =
            |max_peers: usize| (max_peers / DELIVERY_CONNECTIONS_PART).clamp(1, MAX_DELIVERY_CONNECTIONS);
        Self::split(limits, socket, clock, deliveries)
    }

    /// Splits the limits. `deliveries` says how many of all connections to peers are for messages that are posted.
    fn split(
        limits: MachineLimits,
        socket: Socket,
        clock: Clock,
        deliveries: impl FnOnce(usize) -> usize,
    ) -> Self {
        let sockets = limits.sockets;
        let allowed = system_limit().map_or(sockets, |limit| sockets.min(limit.max(MIN_SOCKETS)));
        if allowed < sockets {
            tracing::warn!(sockets, allowed, "the system allows fewer descriptors than the configuration");
        }
        let available = allowed.saturating_sub(RESERVED_DESCRIPTORS);
        let fronts = (available as f64 * FRONT_SHARE) as usize;
        let memory = MemoryBudget::new(memory::capacity(limits.memory_mb, code_bytes()), clock);
        let affordable =
            |share: f64, bytes: usize| ((memory.capacity() as f64 * share) as usize / bytes).max(1);
        let max_fronts = fronts.min(affordable(FRONT_MEMORY_SHARE, CONNECTION_BYTES));
        let max_peers = available - fronts;
        let max_release_calls = (max_peers / RELEASE_CONNECTIONS_PART).clamp(1, DEFAULT_MAX_CALLS);
        let max_delivery_tries = deliveries(max_peers);
        let max_attempts = max_peers.saturating_sub(max_release_calls + max_delivery_tries).max(1);
        let max_attempts = max_attempts.min(affordable(PEER_MEMORY_SHARE, PEER_CONNECTION_BYTES));
        let peers = PeerBudgets {
            attempts: ConnectionBudget::new(max_attempts).charged_to(memory.clone()),
            reserved: ConnectionBudget::new(max_release_calls).charged_to(memory.clone()).waiting(),
            deliveries: ConnectionBudget::new(max_delivery_tries).charged_to(memory.clone()).waiting(),
        };
        let fronts = Connections::new(max_fronts, socket, clock, memory.clone());
        Budget { fronts, peers, max_release_calls, max_delivery_tries, memory }
    }
}

/// Returns how many bytes of this process are mapped from its own executable; 0 if that can't be read.
fn code_bytes() -> u64 {
    let Ok(executable) = std::env::current_exe() else { return 0 };
    let maps = std::fs::read_to_string("/proc/self/maps").unwrap_or_default();
    let of_executable = maps.lines().filter(|line| line.ends_with(&*executable.to_string_lossy()));
    of_executable.filter_map(mapping_bytes).sum()
}

/// Returns the size of a mapping in bytes, given its line, which begins with its bounds in hexadecimal digits.
fn mapping_bytes(line: &str) -> Option<u64> {
    let (bounds, _) = line.split_once(' ')?;
    let (start, end) = bounds.split_once('-')?;
    u64::from_str_radix(end, 16).ok()?.checked_sub(u64::from_str_radix(start, 16).ok()?)
}

/// Returns the system's limit on open files of this process, if it can be read. Beyond that limit nothing can be
/// opened, neither for clients nor for discovery.
fn system_limit() -> Option<usize> {
    let limits = std::fs::read_to_string("/proc/self/limits").ok()?;
    let line = limits.lines().find_map(|line| line.strip_prefix("Max open files"))?;
    line.split_whitespace().next()?.parse().ok()
}

#[cfg(test)]
mod tests;
