//! The process's memory budget: charges that are given back when they are dropped, and bytes that carry their charge.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::Notify;
use tokio::sync::futures::Notified;
use tokio::time::Instant;

use super::clock::Clock;
use crate::limits::memory::{ArrivalId, Holding, MemoryLedger, OutOfMemory, Purpose};

/// What a client's connection occupies, without the request on it, in bytes: its task, its buffers for reading and writing,
/// and its entries in tables.
pub const CONNECTION_BYTES: usize = 16 * 1024;
/// What a request occupies from its head to its end, without its body, in bytes: its state in the core, its tasks and
/// messages, and the part of an answer that is always buffered.
pub const REQUEST_BYTES: usize = 20 * 1024 + PARTIAL_EVENT_BYTES;
/// How much of an event that is not complete every accepted request may have buffered, in bytes.
const PARTIAL_EVENT_BYTES: usize = 4 * 1024;
/// How long an answer in progress waits for memory. Its client may take a longer silence for the end.
const MEMORY_WAIT: Duration = Duration::from_secs(4);
/// How often it looks whether there is memory.
const MEMORY_RETRY: Duration = Duration::from_millis(20);

/// Allocations of this size or more are mapped on their own: the system provides their pages as they are written to, and
/// gets them back as soon as they are freed.
pub const MAPPED_FROM_BYTES: usize = 64 * 1024;
/// The first buffer of a body whose length is not declared, in bytes.
const UNDECLARED_BODY_BYTES: usize = 16 * 1024;

/// The budget. Its clones share it.
#[derive(Clone)]
pub struct MemoryBudget {
    shared: Arc<Shared>,
}

struct Shared {
    clock: Clock,
    ledger: Mutex<MemoryLedger>,
    /// The connections on which requests may be arriving.
    arrivals: Mutex<HashMap<ArrivalId, Arc<Arrival>>>,
    next_arrival: AtomicU64,
    shed_count: AtomicU64,
    /// Notified when something is given back and buffered answers may grow.
    answers_may_grow: Notify,
}

/// What an arriving request shares with the budget, which may shed it.
#[derive(Default)]
struct Arrival {
    body: Mutex<BodyBuffer>,
    is_shed: AtomicBool,
    changed: Notify,
}

/// What has arrived of a body. It is never copied as it grows: a buffer that is freed in favour of a larger one would leave
/// a gap in the heap.
#[derive(Default)]
struct BodyBuffer {
    data: Vec<u8>,
}

impl BodyBuffer {
    /// Returns the capacity that is needed once this many bytes are added, if `expected` bytes are expected in all.
    fn capacity_with(&self, added: usize, expected: Option<usize>) -> usize {
        let length = self.data.len() + added;
        match self.data.capacity() {
            capacity if length <= capacity => capacity,
            0 => expected.unwrap_or(UNDECLARED_BODY_BYTES).max(length),
            capacity => (2 * capacity).max(length),
        }
    }

    /// Returns what the buffer occupies with this capacity once this many bytes are added. Of a large buffer the system
    /// provides only what has been written to.
    fn occupied_with(&self, added: usize, capacity: usize) -> usize {
        if capacity < MAPPED_FROM_BYTES {
            return capacity;
        }
        (self.data.len() + added).next_multiple_of(page_size::get())
    }

    fn append(&mut self, piece: &[u8], capacity: usize) {
        self.data.reserve_exact(capacity - self.data.len());
        self.data.extend_from_slice(piece);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl MemoryBudget {
    /// Creates a budget of this many bytes.
    pub fn new(capacity: usize, clock: Clock) -> Self {
        let shared = Shared {
            clock,
            ledger: Mutex::new(MemoryLedger::new(capacity)),
            arrivals: Mutex::default(),
            next_arrival: AtomicU64::default(),
            shed_count: AtomicU64::default(),
            answers_may_grow: Notify::new(),
        };
        MemoryBudget { shared: Arc::new(shared) }
    }

    /// Returns how many bytes may be charged in all.
    pub fn capacity(&self) -> usize {
        lock(&self.shared.ledger).capacity()
    }

    /// Returns how many bytes are charged.
    pub fn used(&self) -> usize {
        lock(&self.shared.ledger).used()
    }

    /// Returns the most that was charged at once since the last call.
    pub fn take_peak(&self) -> usize {
        lock(&self.shared.ledger).take_peak()
    }

    /// Returns true if what connections and requests may still take is nearly used up.
    pub fn is_short(&self) -> bool {
        lock(&self.shared.ledger).is_short()
    }

    /// Returns how many arriving requests have been shed.
    pub fn shed_count(&self) -> u64 {
        self.shared.shed_count.load(Ordering::Relaxed)
    }

    /// Changes the ledger, then tells the arriving requests that it has shed.
    fn with<T>(
        &self,
        change: impl FnOnce(&mut MemoryLedger, crate::interface::Micros, &mut Vec<ArrivalId>) -> T,
    ) -> T {
        let mut shed = Vec::new();
        let mut ledger = lock(&self.shared.ledger);
        let result = change(&mut ledger, self.shared.clock.now(), &mut shed);
        let used = ledger.used();
        drop(ledger);
        for id in shed {
            tracing::debug!(target: "birchspur::memory", used, "a request that is arriving makes room for others");
            self.shared.shed_count.fetch_add(1, Ordering::Relaxed);
            if let Some(arrival) = lock(&self.shared.arrivals).get(&id) {
                arrival.shed();
            }
        }
        result
    }

    /// Charges bytes that are bounded elsewhere.
    pub fn charge_unconditionally(&self, bytes: usize) -> Charge {
        self.hold(Holding::of_bytes(bytes))
    }

    /// Charges a connection to a server that is open.
    pub fn charge_connection(&self) -> Charge {
        self.hold(Holding { open_connections: 1, ..Holding::default() })
    }

    fn hold(&self, holding: Holding) -> Charge {
        self.with(|ledger, now, shed| ledger.charge_unconditionally(now, holding, shed));
        Charge { budget: self.clone(), holding }
    }

    /// Charges what an accepted request needs until it ends, with the connection to a server on which it will be sent.
    pub fn charge_request(&self, bytes: usize) -> Result<Charge, OutOfMemory> {
        self.charge(Purpose::Request, Holding { bytes, reserved_connections: 1, open_connections: 0 })
    }

    /// Charges what is kept of a request beside that.
    pub fn charge_content(&self, bytes: usize) -> Result<Charge, OutOfMemory> {
        self.charge(Purpose::Request, Holding::of_bytes(bytes))
    }

    /// Charges a part of an answer that can't go on without it. While there is no memory, waits for it for a while.
    pub async fn charge_answer_in_progress(&self, bytes: usize) -> Result<Charge, OutOfMemory> {
        let give_up_at = Instant::now() + MEMORY_WAIT;
        loop {
            match self.charge(Purpose::AnswerInProgress, Holding::of_bytes(bytes)) {
                Err(OutOfMemory) if Instant::now() < give_up_at => tokio::time::sleep(MEMORY_RETRY).await,
                result => return result,
            }
        }
    }

    /// Charges a part of an answer.
    pub fn charge_answer(&self, bytes: usize) -> Result<Charge, OutOfMemory> {
        self.charge(Purpose::Answer, Holding::of_bytes(bytes))
    }

    fn charge(&self, purpose: Purpose, holding: Holding) -> Result<Charge, OutOfMemory> {
        self.with(|ledger, now, shed| ledger.charge(now, purpose, holding, shed))?;
        Ok(Charge { budget: self.clone(), holding })
    }

    /// Returns a future that waits until buffered answers may grow again, from this call on.
    pub fn answers_may_grow(&self) -> Notified<'_> {
        self.shared.answers_may_grow.notified()
    }

    /// Registers a connection on which requests may arrive.
    pub fn register_arrival(&self) -> ArrivingRequest {
        let id = ArrivalId(self.shared.next_arrival.fetch_add(1, Ordering::Relaxed));
        let arrival = Arc::<Arrival>::default();
        lock(&self.shared.arrivals).insert(id, arrival.clone());
        ArrivingRequest { budget: self.clone(), id, arrival }
    }

    fn release(&self, holding: Holding) {
        if holding != Holding::default() {
            let mut ledger = lock(&self.shared.ledger);
            ledger.release(holding);
            let is_short = ledger.is_short();
            drop(ledger);
            if !is_short {
                self.shared.answers_may_grow.notify_waiters();
            }
        }
    }
}

impl std::fmt::Debug for MemoryBudget {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} of {} bytes", self.used(), self.capacity())
    }
}

/// What is charged to the budget until this is dropped.
#[derive(Debug)]
pub struct Charge {
    budget: MemoryBudget,
    holding: Holding,
}

/// What is buffered of an answer's events that are not complete. A small part is in what the request was charged when it
/// was accepted, so that requests which arrive later can't take its memory.
pub struct PartialEvents {
    charge: Charge,
}

impl PartialEvents {
    /// Creates an empty buffer.
    pub fn new(budget: &MemoryBudget) -> Self {
        PartialEvents { charge: budget.charge_unconditionally(0) }
    }

    /// Sets how many bytes are buffered. While there is no memory for them, waits for it for a while.
    pub async fn resize(&mut self, bytes: usize) -> Result<(), OutOfMemory> {
        let charged = bytes.saturating_sub(PARTIAL_EVENT_BYTES);
        let before = self.charge.holding.bytes;
        if charged > before {
            let budget = self.charge.budget.clone();
            let more = budget.charge_answer_in_progress(charged - before).await?;
            self.charge.absorb(more);
        } else {
            self.charge.shrink_to(charged);
        }
        Ok(())
    }
}

impl Charge {
    /// Adds the bytes of another charge.
    pub fn absorb(&mut self, mut other: Charge) {
        let more = std::mem::take(&mut other.holding);
        self.holding.bytes += more.bytes;
    }

    /// Takes so many bytes out of this charge into one of their own. What it lacks is charged beside it.
    pub fn split(&mut self, bytes: usize) -> Charge {
        let taken = bytes.min(self.holding.bytes);
        self.holding.bytes -= taken;
        let mut part = Charge { budget: self.budget.clone(), holding: Holding::of_bytes(taken) };
        part.absorb(self.budget.charge_unconditionally(bytes - taken));
        part
    }

    /// Gives back all bytes beyond these.
    fn shrink_to(&mut self, bytes: usize) {
        let excess = self.holding.bytes.saturating_sub(bytes);
        self.budget.release(Holding::of_bytes(excess));
        self.holding.bytes -= excess;
    }

    /// Returns bytes that keep this charge for as long as they exist.
    pub fn attach(self, data: Vec<u8>) -> Bytes {
        Bytes::from_owner(ChargedBytes { data, _charge: self })
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.budget.release(self.holding);
    }
}

/// Bytes with their charge.
struct ChargedBytes {
    data: Vec<u8>,
    _charge: Charge,
}

impl AsRef<[u8]> for ChargedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}

impl Arrival {
    /// Drops what has arrived, and tells those who wait for it.
    fn shed(&self) {
        *lock(&self.body) = BodyBuffer::default();
        self.is_shed.store(true, Ordering::Relaxed);
        self.changed.notify_waiters();
    }
}

/// The request that is arriving on a connection. It may be shed in favour of others.
pub struct ArrivingRequest {
    budget: MemoryBudget,
    id: ArrivalId,
    arrival: Arc<Arrival>,
}

impl ArrivingRequest {
    /// Sets how large the head is that has arrived. If there is no room, the request is shed. A head behind a body that is
    /// still to be taken is not charged.
    pub fn resize_head(&self, bytes: usize) -> Result<(), OutOfMemory> {
        if self.received_bytes() > 0 { Ok(()) } else { self.resize(bytes) }
    }

    /// Gives back what the head was charged, as it is complete.
    pub fn clear_head(&self) {
        if self.received_bytes() == 0 {
            drop(self.end());
        }
    }

    /// Appends a piece of a body of which `expected` bytes are declared, if its length is. If there is no room, the request
    /// is shed.
    pub fn append(&self, piece: &[u8], expected: Option<usize>) -> Result<(), OutOfMemory> {
        let body = lock(&self.arrival.body);
        let capacity = body.capacity_with(piece.len(), expected);
        let occupied = body.occupied_with(piece.len(), capacity);
        drop(body);
        self.resize(occupied)?;
        lock(&self.arrival.body).append(piece, capacity);
        Ok(())
    }

    /// Returns how much of the body has arrived.
    pub fn received_bytes(&self) -> usize {
        lock(&self.arrival.body).data.len()
    }

    fn resize(&self, bytes: usize) -> Result<(), OutOfMemory> {
        if self.is_shed() {
            return Err(OutOfMemory);
        }
        let resized = self.budget.with(|ledger, now, shed| ledger.resize_arrival(now, self.id, bytes, shed));
        if resized.is_err() {
            self.clear();
            self.arrival.shed();
        }
        resized
    }

    /// Returns true if the request has been shed.
    pub fn is_shed(&self) -> bool {
        self.arrival.is_shed.load(Ordering::Relaxed)
    }

    /// Waits until the request is shed.
    pub async fn shed(&self) {
        let changed = self.arrival.changed.notified();
        if !self.is_shed() {
            changed.await;
        }
    }

    /// Gives back what has arrived: the request is given up, or nothing of it is needed any more.
    pub fn clear(&self) {
        drop(std::mem::take(&mut *lock(&self.arrival.body)));
        drop(self.end());
    }

    /// Ends the arrival and returns the body, which is charged for as long as it exists.
    pub fn take(&self) -> Bytes {
        let body = std::mem::take(&mut *lock(&self.arrival.body));
        self.end().attach(body.data)
    }

    /// Ends the arrival: from now on the request is not shed.
    fn end(&self) -> Charge {
        let bytes = lock(&self.budget.shared.ledger).end_arrival(self.id);
        Charge { budget: self.budget.clone(), holding: Holding::of_bytes(bytes) }
    }
}

impl Drop for ArrivingRequest {
    fn drop(&mut self) {
        self.clear();
        lock(&self.budget.shared.arrivals).remove(&self.id);
    }
}
