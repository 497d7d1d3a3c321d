//! The ids of requests: which are open, and which must not run again.

use std::collections::HashSet;

use crate::interface::Micros;
use crate::protocol::settings::digest;
use crate::recovery::{ID_BYTES, IdDigest, UsedIds};
use crate::transport::claims::{Claim, ClaimFolder};
use crate::transport::memory::{Charge, MemoryBudget};

/// Whether a request may run again under its id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Repeats {
    /// It may.
    Allowed,
    /// The id is the program's own, and no other process knows it.
    OwnId,
    /// It must not, at this process or at another that shares the listening socket.
    Forbidden,
}

/// Another request has this id, or may have run under it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct IdInUse;

/// The ids that the hub knows.
pub(super) struct RequestIds {
    open: HashSet<String>,
    used: UsedIds,
    memory: MemoryBudget,
    /// What the used ids occupy. Their number is bounded, and they are needed most when memory is short.
    charge: Charge,
    /// Shared with the other process of a replacement.
    claims: Option<ClaimFolder>,
    /// The folder of the claims could not be used, and this has been logged.
    is_unavailable: bool,
}

impl RequestIds {
    pub(super) fn new(memory: &MemoryBudget) -> Self {
        RequestIds {
            open: HashSet::new(),
            used: UsedIds::default(),
            memory: memory.clone(),
            charge: memory.charge_unconditionally(0),
            claims: None,
            is_unavailable: false,
        }
    }

    /// Claims ids in this folder from now on.
    pub(super) fn share(&mut self, claims: ClaimFolder) {
        self.claims = Some(claims);
    }

    /// Opens a request under its id.
    pub(super) fn open(&mut self, now: Micros, id: &str, repeats: Repeats) -> Result<(), IdInUse> {
        self.expire(now);
        let id_digest = IdDigest(digest(id));
        if self.open.contains(id) || self.used.is_blocked(now, id_digest) {
            return Err(IdInUse);
        }
        self.claim(now, id_digest, repeats)?;
        self.open.insert(id.to_string());
        Ok(())
    }

    /// Checks that no other process has claimed the id, whatever this request's own class allows, and claims it if the
    /// request must not be repeated.
    fn claim(&mut self, now: Micros, id: IdDigest, repeats: Repeats) -> Result<(), IdInUse> {
        let Some(claims) = self.claims.as_mut().filter(|_| repeats != Repeats::OwnId) else { return Ok(()) };
        claims.sweep(now);
        let claim = match repeats {
            Repeats::Forbidden => claims.claim(id),
            Repeats::Allowed | Repeats::OwnId => claims.check(id),
        };
        match claim {
            Claim::Granted => Ok(()),
            Claim::Taken => Err(IdInUse),
            // The id is still known to this process; a folder that fails must not keep clients from being served.
            Claim::Unavailable(error) => {
                if !std::mem::replace(&mut self.is_unavailable, true) {
                    tracing::warn!(%error, "ids are not shared with the other process of a replacement");
                }
                Ok(())
            }
        }
    }

    /// Remembers that the open request with this id may have run, and must not run again from `blocked_from` on.
    pub(super) fn remember(&mut self, now: Micros, id: &str, blocked_from: Micros) {
        let forgotten = self.used.remember(now, IdDigest(digest(id)), blocked_from);
        if forgotten.is_some() {
            tracing::warn!(target: "birchspur::memory", "an id that must not run again is forgotten early");
        }
        self.release_claims(forgotten);
        self.charge = self.memory.charge_unconditionally(self.used.len() * ID_BYTES);
    }

    /// Closes the request with this id. Unless it is remembered, the id may be used again.
    pub(super) fn close(&mut self, id: &str) {
        self.open.remove(id);
        let id_digest = IdDigest(digest(id));
        if !self.used.is_blocked(Micros::MAX, id_digest) {
            self.release_claims([id_digest]);
        }
    }

    fn expire(&mut self, now: Micros) {
        let expired = self.used.expire(now);
        self.release_claims(expired);
    }

    fn release_claims(&mut self, ids: impl IntoIterator<Item = IdDigest>) {
        if let Some(claims) = &mut self.claims {
            ids.into_iter().for_each(|id| claims.release(id));
        }
    }
}

#[cfg(test)]
mod tests;
