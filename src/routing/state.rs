//! What the core keeps of each request, each timer and each pool.

use std::collections::BTreeMap;

use super::message::PoolId;
use super::totals::ClassTotals;
use super::tries::Tries;
use crate::choice::Router;
use crate::interface::*;
use crate::recovery::HeldState;

/// A request that has not been forgotten.
pub(super) struct Open {
    pub(super) pool: PoolId,
    pub(super) class: ClassId,
    pub(super) expires: Micros,
    pub(super) tries: Tries,
    /// The attempt whose answer is the client's.
    pub(super) owner: Option<u32>,
    /// The final answer is given, or no longer owed.
    pub(super) over: bool,
    /// What readers may hold for it.
    pub(super) held: HeldState,
    /// A further read that waits until what earlier attempts may have left has been released.
    pub(super) deferred: Option<Deferred>,
}

/// An attempt that is decided and not yet sent.
#[derive(Clone, Copy)]
pub(super) struct Deferred {
    pub(super) attempt: u32,
    pub(super) server: ServerId,
    pub(super) give_up: Micros,
    /// It has to be written by then, as its client's time or the window for repeats ends.
    pub(super) written_by: Micros,
}

impl Open {
    /// No attempt is out, and what was held is let go of.
    pub(super) fn idle(&self) -> bool {
        !self.tries.any_out() && self.held.is_empty()
    }
}

/// What a timer is for.
pub(super) enum Due {
    Router(PoolId, TimerId),
    GiveUp(RequestId, u32),
    Connect(RequestId, u32),
    HeldExpiry(RequestId),
    Deferred(RequestId, u32),
    Release(RequestId),
}

/// One router with what the core knows of its servers.
pub(super) struct Pool {
    pub(super) router: Router,
    pub(super) settings: Settings,
    pub(super) kinds: BTreeMap<ServerId, KindId>,
    /// When each server last answered anything.
    pub(super) heard: BTreeMap<ServerId, Micros>,
    pub(super) generation: u64,
    /// By class.
    pub(super) handled: Vec<ClassTotals>,
}
