//! Bounds what is buffered of an answer until its client takes it. When the window is full, no more is read from the server,
//! so that the server's own connection holds the answer back.

use std::sync::Arc;

use bytes::Bytes;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::transport::memory::{Charge, MemoryBudget};

/// The most bytes of an answer that are buffered.
const WINDOW_BYTES: usize = 32 * 1024;
/// The largest part in which an answer is passed on, in bytes.
pub const MAX_PART_BYTES: usize = 8 * 1024;

/// The window of one answer.
pub struct AnswerWindow {
    free: Arc<Semaphore>,
    memory: MemoryBudget,
}

/// A part of an answer, which takes space in the window until it is written to the client.
struct BufferedPart {
    data: Box<[u8]>,
    _charge: Charge,
    _space: Option<OwnedSemaphorePermit>,
}

impl AsRef<[u8]> for BufferedPart {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}

impl AnswerWindow {
    /// Creates an empty window.
    pub fn new(memory: MemoryBudget) -> Self {
        AnswerWindow { free: Arc::new(Semaphore::new(WINDOW_BYTES)), memory }
    }

    /// Waits until a part of at most [`MAX_PART_BYTES`] may be buffered, and returns it.
    pub async fn admit(&self, data: &[u8]) -> Bytes {
        let space = self.free.clone().acquire_many_owned(data.len() as u32).await.ok();
        let _charge = self.charge(data.len()).await;
        Bytes::from_owner(BufferedPart { data: data.into(), _charge, _space: space })
    }

    /// Waits until there is memory for this many bytes. If nothing else is buffered, the part needs no free memory, so that
    /// every answer goes on.
    async fn charge(&self, bytes: usize) -> Charge {
        loop {
            let released = self.memory.answers_may_grow();
            if let Ok(charge) = self.memory.charge_answer(bytes) {
                return charge;
            }
            let all_else_taken = self.free.acquire_many((WINDOW_BYTES - bytes) as u32);
            tokio::select! {
                _ = all_else_taken => return self.memory.charge_unconditionally(bytes),
                () = released => {}
            }
        }
    }
}
