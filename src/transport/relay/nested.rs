//! The calls that a tool server makes while it answers one. Each of them is promised one result, which is delivered to the
//! server whatever becomes of the client, of the answer, and of the connections.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use serde_json::Value;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::{CallOutcome, Relay};
use crate::interface::Micros;
use crate::protocol::jsonrpc::{self, RpcError};
use crate::transport::delivery::{CallState, Delivery, Post, PostTarget};
use crate::transport::memory::{Charge, MemoryBudget};

/// The most nested calls of one answer that run, or whose results are being delivered. The server has to wait with others.
const MAX_OPEN_NESTED: usize = 32;
/// What the entry of an id occupies besides its text, in bytes.
const SEEN_ID_BYTES: usize = 64;
/// What a nested call occupies until its result is delivered, besides its request, its result and its id, in bytes: its promise,
/// and the task and the message of the delivery.
const DELIVERY_BYTES: usize = 4 * 1024;
/// How often the text of an id is kept until its result is delivered, at most.
const ID_COPIES: usize = 4;
/// The part of a call's time that is kept for delivering the results of its nested calls: one in so many,
const DELIVERY_TIME_PART: u32 = 10;
/// and at most this long.
const MAX_DELIVERY_TIME: Duration = Duration::from_millis(500);

/// The nested calls that a server has made in its answer.
pub(super) struct NestedCalls {
    /// Those that run, with the server's ids.
    pub(super) open: JoinSet<(Value, CallOutcome)>,
    /// The ids of all nested calls so far, as text. A call whose id is repeated in the answer must not run again.
    seen_ids: HashSet<String>,
    /// What these ids occupy.
    seen_memory: Option<Charge>,
    places: Arc<Semaphore>,
}

impl Default for NestedCalls {
    fn default() -> Self {
        NestedCalls {
            open: JoinSet::new(),
            seen_ids: HashSet::new(),
            seen_memory: None,
            places: Arc::new(Semaphore::new(MAX_OPEN_NESTED)),
        }
    }
}

impl NestedCalls {
    /// Registers a nested call and waits until it may run; returns `None` if its id has been seen before. What is kept of the
    /// id is taken from the charge of its message.
    pub(super) async fn register(
        &mut self,
        id: &Value,
        memory: &mut Charge,
        budget: &MemoryBudget,
    ) -> Option<NestedPlace> {
        let id = id.to_string();
        let id_bytes = id.len();
        if !self.seen_ids.insert(id) {
            return None;
        }
        let seen = memory.split(id_bytes + SEEN_ID_BYTES);
        match &mut self.seen_memory {
            Some(seen_memory) => seen_memory.absorb(seen),
            None => self.seen_memory = Some(seen),
        }
        let id_memory = memory.split(ID_COPIES * id_bytes);
        let permit = self.places.clone().acquire_owned().await.ok()?;
        let delivery_memory = budget.charge_unconditionally(DELIVERY_BYTES);
        Some(NestedPlace { _permit: permit, _id_memory: id_memory, _delivery_memory: delivery_memory })
    }
}

/// The place of a nested call among those of its answer, until its result is delivered.
pub(super) struct NestedPlace {
    _permit: OwnedSemaphorePermit,
    _id_memory: Charge,
    _delivery_memory: Charge,
}

/// Returns how long a nested call may take if the call above it has this much time left: its result has to reach the server
/// before that time is over.
pub(super) fn nested_time_left(remaining: Duration) -> Micros {
    let delivery_time = (remaining / DELIVERY_TIME_PART).min(MAX_DELIVERY_TIME);
    (remaining - delivery_time).as_micros() as Micros
}

/// The call for which a server has been promised results, as far as their delivery needs it.
#[derive(Clone)]
pub(super) struct RaisingCall {
    pub(super) relay: Relay,
    /// The server that answers the call.
    pub(super) server: Arc<dyn PostTarget>,
    /// The id under which the call was sent to the server.
    pub(super) request_id: String,
    /// When the call's time is over.
    pub(super) expires_at: Instant,
    /// Whether the server still answers the call.
    pub(super) state: watch::Receiver<CallState>,
}

/// The promise of one result to a server. If it is dropped without a result, the server is told that the call was
/// cancelled.
pub(super) struct PromisedResult {
    promise: Option<Promise>,
}

struct Promise {
    call: RaisingCall,
    /// The server's id for its nested call.
    nested_id: Value,
    place: NestedPlace,
}

impl PromisedResult {
    /// Promises the result of a nested call. The place of the call is kept until its result is delivered.
    pub(super) fn new(call: RaisingCall, nested_id: Value, place: NestedPlace) -> Self {
        PromisedResult { promise: Some(Promise { call, nested_id, place }) }
    }

    /// Begins to deliver the result. What its text occupies is taken from the charge of the outcome.
    pub(super) fn deliver(mut self, outcome: &mut CallOutcome) {
        if let Some(promise) = self.promise.take() {
            promise.deliver(outcome);
        }
    }
}

impl Drop for PromisedResult {
    fn drop(&mut self) {
        // Once the runtime has been shut down, nothing can be delivered any more.
        if let Some(promise) = self.promise.take().filter(|_| tokio::runtime::Handle::try_current().is_ok()) {
            promise.deliver(&mut RpcError::Cancelled.into());
        }
    }
}

impl Promise {
    fn deliver(self, outcome: &mut CallOutcome) {
        let Promise { call, nested_id, place } = self;
        let RaisingCall { relay, server, request_id, expires_at, state } = call;
        let message = jsonrpc::response(&nested_id, &outcome.result).to_string().into_bytes();
        let charge = match &mut outcome.memory {
            Some(charge) => charge.split(message.len()),
            None => relay.memory().charge_unconditionally(message.len()),
        };
        let (path, headers) = (relay.path.clone(), Relay::headers(&request_id));
        let post = Post { id: request_id, path, headers, body: charge.attach(message) };
        let delivery = Delivery { target: server, post, expires_at, call: state };
        let deliveries = relay.hub.deliveries().clone();
        relay.unattended.spawn(async move {
            deliveries.deliver(delivery).await;
            drop(place);
        });
    }
}
