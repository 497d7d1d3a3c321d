//! Decides who may use how much of the process's memory. Everything that clients and servers can make the process hold is
//! charged to one budget. When it runs short, what may still grow is cut down in this order: buffered answers (their
//! servers wait), large requests, all requests that are not accepted yet. Requests that are still arriving make room for
//! others: first those that have made no progress for a while, then those that are much larger.

use std::collections::BTreeMap;

use thiserror::Error;

use crate::interface::Micros;

/// The least that the program is taken to occupy without any load, in bytes: code, runtime, core, lists of servers, log.
const MIN_PROGRAM_BYTES: u64 = 10_000_000;
/// What it occupies besides its code, in bytes.
const BESIDES_CODE_BYTES: u64 = 2_500_000;
/// The allocator takes up to a quarter more than what is charged: rounding, and gaps between buffers.
const CHARGED_SHARE: f64 = 0.8;
/// The least limit with which clients can be served, in megabytes.
pub const MIN_MEMORY_MB: f64 = 24.0;
/// Bytes in a megabyte of the configuration.
const BYTES_PER_MB: f64 = 1e6;
/// Buffered answers may grow while at most this share of the budget is in use.
const ANSWER_SHARE: f64 = 0.75;
/// Requests above [`SMALL_REQUEST_BYTES`] may grow while at most this share of the budget is in use, so that usual requests
/// still find room.
const LARGE_REQUEST_SHARE: f64 = 0.85;
/// Small requests are accepted, and may grow, while at most this share of the budget is in use. Only answers to accepted
/// requests may use the rest.
const REQUEST_SHARE: f64 = 0.95;
/// A request up to this size counts as small, in bytes.
const SMALL_REQUEST_BYTES: usize = 32 * 1024;
/// A request of which nothing has arrived for this long makes room before any other.
const STALLED_AFTER: Micros = 250_000;
/// A request that makes progress makes room for one that is smaller by more than this factor.
const LARGER_BY: usize = 2;
/// What a connection to a server occupies, in bytes.
pub const PEER_CONNECTION_BYTES: usize = 16 * 1024;

/// Returns how many bytes may be charged in all if the process may use this many megabytes, and its code and constants take
/// this many bytes. All of them may become resident under load.
pub fn capacity(memory_mb: f64, code_bytes: u64) -> usize {
    let available = (memory_mb * BYTES_PER_MB) as u64;
    let program_bytes = MIN_PROGRAM_BYTES.max(code_bytes + BESIDES_CODE_BYTES);
    (available.saturating_sub(program_bytes) as f64 * CHARGED_SHARE) as usize
}

/// The budget has no room.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the process has no memory left for this")]
pub struct OutOfMemory;

/// Identifies a request that is arriving.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ArrivalId(pub u64);

/// A request that is arriving.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    /// What it occupies.
    bytes: usize,
    /// When bytes of it arrived last.
    progressed_at: Micros,
}

/// What a part of the process's memory is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// A request that is accepted, and what it needs until it is answered.
    Request,
    /// A part of an answer that waits for its client.
    Answer,
    /// A part of an answer without which the answer can't go on.
    AnswerInProgress,
}

/// What a holder takes of the budget.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Holding {
    /// Bytes.
    pub bytes: usize,
    /// Connections to servers that it will need, whether they are open or not.
    pub reserved_connections: usize,
    /// Connections to servers that are open.
    pub open_connections: usize,
}

impl Holding {
    /// Returns a holding of bytes alone.
    pub fn of_bytes(bytes: usize) -> Self {
        Holding { bytes, ..Holding::default() }
    }
}

/// Who uses the budget.
#[derive(Debug)]
pub struct MemoryLedger {
    capacity: usize,
    /// What is in use without connections to servers.
    bytes: usize,
    /// How many connections to servers the accepted requests need.
    reserved_connections: usize,
    /// How many connections to servers are open.
    open_connections: usize,
    /// The most that was in use since [`MemoryLedger::take_peak`] was last called.
    peak: usize,
    arrivals: BTreeMap<ArrivalId, Arrival>,
}

impl MemoryLedger {
    /// Creates an unused budget of this many bytes.
    pub fn new(capacity: usize) -> Self {
        MemoryLedger {
            capacity,
            bytes: 0,
            reserved_connections: 0,
            open_connections: 0,
            peak: 0,
            arrivals: BTreeMap::new(),
        }
    }

    /// Returns how many bytes are charged. A connection to a server that an accepted request needs is charged before it is
    /// open, so that requests which are accepted later leave room for it.
    pub fn used(&self) -> usize {
        self.bytes + self.reserved_connections.max(self.open_connections) * PEER_CONNECTION_BYTES
    }

    /// Returns the most that was in use since the last call.
    pub fn take_peak(&mut self) -> usize {
        let used = self.used();
        std::mem::replace(&mut self.peak, used)
    }

    /// Returns how many bytes may be charged.
    pub fn capacity(&self) -> usize {
        self.capacity
    }

    /// Returns true if buffered answers may not grow any more.
    pub fn is_short(&self) -> bool {
        self.used() > self.share(ANSWER_SHARE)
    }

    /// Charges bytes that are in use already and bounded elsewhere, such as those of a connection. If that goes beyond the
    /// budget, arriving requests are shed: their ids are added to `shed`, and they no longer count.
    pub fn charge_unconditionally(&mut self, now: Micros, holding: Holding, shed: &mut Vec<ArrivalId>) {
        self.add(holding);
        let excess = self.used().saturating_sub(self.capacity);
        let victims = self.victims(now, None, excess).unwrap_or_default();
        self.shed(victims, shed);
    }

    /// Charges bytes for this purpose. Arriving requests are shed for a request that is accepted and for an answer that can't
    /// go on, never for a part that waits for its client.
    pub fn charge(
        &mut self,
        now: Micros,
        purpose: Purpose,
        holding: Holding,
        shed: &mut Vec<ArrivalId>,
    ) -> Result<(), OutOfMemory> {
        let limit = match purpose {
            Purpose::Answer => self.share(ANSWER_SHARE),
            Purpose::AnswerInProgress => self.capacity,
            Purpose::Request => self.request_limit(holding.bytes),
        };
        let needed = holding.bytes + holding.reserved_connections * PEER_CONNECTION_BYTES;
        let excess = (self.used() + needed).saturating_sub(limit);
        if excess > 0 {
            if purpose == Purpose::Answer {
                return Err(OutOfMemory);
            }
            let victims = self.victims(now, None, excess).ok_or(OutOfMemory)?;
            self.shed(victims, shed);
        }
        self.add(holding);
        Ok(())
    }

    fn add(&mut self, holding: Holding) {
        self.bytes += holding.bytes;
        self.reserved_connections += holding.reserved_connections;
        self.open_connections += holding.open_connections;
        self.peak = self.peak.max(self.used());
    }

    /// Gives back what was charged.
    pub fn release(&mut self, holding: Holding) {
        self.bytes = self.bytes.saturating_sub(holding.bytes);
        self.reserved_connections = self.reserved_connections.saturating_sub(holding.reserved_connections);
        self.open_connections = self.open_connections.saturating_sub(holding.open_connections);
    }

    /// Sets what an arriving request occupies, as more of it has arrived. If there is no room and no other request makes
    /// room for it, nothing changes.
    pub fn resize_arrival(
        &mut self,
        now: Micros,
        id: ArrivalId,
        bytes: usize,
        shed: &mut Vec<ArrivalId>,
    ) -> Result<(), OutOfMemory> {
        let previous = self.arrivals.get(&id).map_or(0, |arrival| arrival.bytes);
        let used = self.used() - previous + bytes;
        let excess = used.saturating_sub(self.request_limit(bytes));
        if excess > 0 && bytes > previous {
            let victims = self.victims(now, Some((id, bytes)), excess).ok_or(OutOfMemory)?;
            self.shed(victims, shed);
        }
        self.bytes = self.bytes - previous + bytes;
        self.peak = self.peak.max(self.used());
        self.arrivals.insert(id, Arrival { bytes, progressed_at: now });
        Ok(())
    }

    /// Ends the arrival of a request and returns what it occupies. That stays charged, and is given back with
    /// [`MemoryLedger::release`].
    pub fn end_arrival(&mut self, id: ArrivalId) -> usize {
        self.arrivals.remove(&id).map_or(0, |arrival| arrival.bytes)
    }

    fn share(&self, share: f64) -> usize {
        (self.capacity as f64 * share) as usize
    }

    /// Returns how much may be in use after a request has grown to this size.
    fn request_limit(&self, request_bytes: usize) -> usize {
        let is_small = request_bytes <= SMALL_REQUEST_BYTES;
        self.share(if is_small { REQUEST_SHARE } else { LARGE_REQUEST_SHARE })
    }

    /// Returns the arriving requests that have to make room for `excess` bytes, or `None` if they would not suffice. For an
    /// arriving request of which the size is given, only stalled and much larger ones make room: among equals, those that
    /// are nearest to their end go on.
    fn victims(
        &self,
        now: Micros,
        for_arrival: Option<(ArrivalId, usize)>,
        excess: usize,
    ) -> Option<Vec<ArrivalId>> {
        let is_stalled = |arrival: &Arrival| now.saturating_sub(arrival.progressed_at) >= STALLED_AFTER;
        let mut candidates: Vec<(ArrivalId, Arrival)> = self
            .arrivals
            .iter()
            .map(|(id, arrival)| (*id, *arrival))
            .filter(|(_, arrival)| arrival.bytes > 0)
            .filter(|(id, arrival)| {
                for_arrival.is_none_or(|(own, bytes)| {
                    *id != own && (is_stalled(arrival) || arrival.bytes / LARGER_BY > bytes)
                })
            })
            .collect();
        candidates.sort_by_key(|(_, arrival)| match is_stalled(arrival) {
            true => (0, arrival.progressed_at),
            false => (1, (usize::MAX - arrival.bytes) as Micros),
        });
        let mut room = 0;
        let mut victims = Vec::new();
        for (id, arrival) in candidates {
            if room >= excess {
                break;
            }
            room += arrival.bytes;
            victims.push(id);
        }
        (room >= excess).then_some(victims)
    }

    /// Stops charging for these arriving requests.
    fn shed(&mut self, victims: Vec<ArrivalId>, shed: &mut Vec<ArrivalId>) {
        for id in &victims {
            let bytes = self.end_arrival(*id);
            self.release(Holding::of_bytes(bytes));
        }
        shed.extend(victims);
    }
}

#[cfg(test)]
mod tests;
