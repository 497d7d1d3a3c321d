//! What the core keeps of each request, each timer and each pool.

use std::collections::BTreeMap;

use super::message::PoolId;
use super::totals::Handled;
use super::tries::Tries;
use crate::choice::Router;
use crate::interface::*;
use crate::recovery::Release;

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
    /// When what a read may have left is let go of once more.
    pub(super) again: Option<Micros>,
    pub(super) releasing: Option<Release>,
    /// Nobody had taken a call to let go yet as a server got the next attempt.
    pub(super) broken_off: bool,
}

impl Open {
    /// Something may be held that no attempt waits for and nobody is asked to let go of.
    pub(super) fn lies_bare(&self) -> bool {
        self.tries.lies_bare() || self.broken_off && self.tries.at_no_server()
    }

    /// No attempt is out, and what was held is let go of.
    pub(super) fn idle(&self) -> bool {
        !self.tries.any_out() && self.again.is_none() && self.releasing.is_none()
    }
}

/// What a timer is for.
pub(super) enum Due {
    Router(PoolId, TimerId),
    GiveUp(RequestId, u32),
    Connect(RequestId, u32),
    Again(RequestId),
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
    pub(super) handled: Vec<Handled>,
}
