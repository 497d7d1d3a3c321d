//! Remembers the ids of requests that may have run and must not run again. Their clients may have left without an answer,
//! and send the same id again.

use std::collections::{HashMap, VecDeque};

use crate::interface::Micros;

/// How long an id is remembered: longer than a client waits for an answer, and than a process takes to be replaced.
pub const REMEMBERED_FOR: Micros = 300_000_000;
/// The most ids that are remembered. Beyond that the oldest is forgotten.
pub const MAX_IDS: usize = 16_384;
/// What a remembered id occupies, in bytes.
pub const ID_BYTES: usize = 64;

/// A digest of an id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct IdDigest(pub u64);

/// The ids.
#[derive(Debug, Default)]
pub struct UsedIds {
    /// From when on each id must not run again.
    blocked_from: HashMap<IdDigest, Micros>,
    /// The ids with the time at which they are forgotten, the oldest first.
    forgotten_at: VecDeque<(Micros, IdDigest)>,
}

impl UsedIds {
    /// Remembers that a request with this id must not run again from `blocked_from` on. Returns an id that had to be
    /// forgotten early, as too many are remembered.
    pub fn remember(&mut self, now: Micros, id: IdDigest, blocked_from: Micros) -> Option<IdDigest> {
        let earlier = self.blocked_from.get(&id).copied();
        self.blocked_from.insert(id, earlier.unwrap_or(Micros::MAX).min(blocked_from));
        if earlier.is_some() {
            return None;
        }
        self.forgotten_at.push_back((now.saturating_add(REMEMBERED_FOR), id));
        if self.forgotten_at.len() > MAX_IDS { self.forget_oldest() } else { None }
    }

    /// Returns true if a request with this id must not run now.
    pub fn is_blocked(&self, now: Micros, id: IdDigest) -> bool {
        self.blocked_from.get(&id).is_some_and(|from| *from <= now)
    }

    /// Forgets the oldest id, if there is one.
    pub fn forget_oldest(&mut self) -> Option<IdDigest> {
        let (_, id) = self.forgotten_at.pop_front()?;
        self.blocked_from.remove(&id);
        Some(id)
    }

    /// Forgets the ids whose time is over, and returns them.
    pub fn expire(&mut self, now: Micros) -> Vec<IdDigest> {
        let mut expired = Vec::new();
        while self.forgotten_at.front().is_some_and(|(at, _)| *at <= now) {
            expired.extend(self.forget_oldest());
        }
        expired
    }

    /// Returns how many ids are remembered.
    pub fn len(&self) -> usize {
        self.forgotten_at.len()
    }

    /// Returns true if no id is remembered.
    pub fn is_empty(&self) -> bool {
        self.forgotten_at.is_empty()
    }
}

#[cfg(test)]
mod tests;
