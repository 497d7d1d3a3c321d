//! The state that the core keeps of each request, timer and pool.

use std::collections::BTreeMap;

use super::message::PoolId;
use super::release_ranking::ReleaseRanking;
use super::totals::ClassTotals;
use super::tries::Attempts;
use crate::choice::Router;
use crate::interface::*;
use crate::recovery::HeldState;

/// A request that has not been forgotten.
pub(super) struct OpenRequest {
    pub(super) pool: PoolId,
    pub(super) class: ClassId,
    pub(super) expires: Micros,
    pub(super) attempts: Attempts,
    /// The attempt whose answer is relayed to the client.
    pub(super) answering: Option<u32>,
    /// The final answer is given, or no longer owed.
    pub(super) settled: bool,
    /// What readers may hold for it.
    pub(super) held: HeldState,
    /// A further read that waits until what earlier attempts may have left has been released.
    pub(super) deferred: Option<Deferred>,
    /// Its timers that have been set.
    pub(super) timers: Vec<TimerKey>,
}

/// When a timer is due, and its number.
pub(super) type TimerKey = (Micros, u64);

/// An attempt that has been decided on and not been sent yet.
#[derive(Clone, Copy)]
pub(super) struct Deferred {
    pub(super) attempt: u32,
    pub(super) server: ServerId,
    pub(super) give_up_at: Micros,
    /// When it has to be written at the latest, as its client's time or the window for repeats ends then.
    pub(super) written_by: Micros,
}

impl OpenRequest {
    /// Returns true if no attempt is in flight and nothing is left to release.
    pub(super) fn nothing_pending(&self) -> bool {
        !self.attempts.any_in_flight() && self.held.is_empty()
    }
}

/// What a timer is for.
pub(super) enum Timer {
    /// The router asked for it.
    Router(PoolId, TimerId),
    /// The attempt is given up if its answer has not started.
    GiveUp(RequestId, u32),
    /// The attempt is cancelled if it has not been written.
    Connect(RequestId, u32),
    /// What is held for the request may be due for release.
    HeldExpiry(RequestId),
    /// The deferred read is sent, even if no server has taken the release before it.
    Deferred(RequestId, u32),
    /// The next release calls are due.
    Release(RequestId),
}

impl Timer {
    /// Returns the request that the timer is for.
    pub(super) fn request(&self) -> Option<RequestId> {
        match self {
            Timer::Router(..) => None,
            Timer::GiveUp(id, _) | Timer::Connect(id, _) | Timer::Deferred(id, _) => Some(*id),
            Timer::HeldExpiry(id) | Timer::Release(id) => Some(*id),
        }
    }
}

/// One router with what the core knows of its servers.
pub(super) struct Pool {
    pub(super) router: Router,
    /// The timer for the task that the router has due next.
    pub(super) router_timer: Option<TimerKey>,
    pub(super) settings: Settings,
    pub(super) kinds: BTreeMap<ServerId, KindId>,
    /// Which servers are asked first to release what is held.
    pub(super) release_ranking: ReleaseRanking,
    pub(super) generation: u64,
    /// The totals of each class, in the order of the settings.
    pub(super) class_totals: Vec<ClassTotals>,
}
