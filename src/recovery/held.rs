//! What readers may hold for one request, and when it has to be released. Its time runs from the end of the attempt that
//! left it until a server is known to use it, or has taken the call that releases it. A fetch that is merely written does
//! not stop the time: its server may hang, and then no server has taken the state. A release does no harm to a server that
//! runs and waits for the state, as servers release only states that no attempt waits for.
//!
//! Invariants: from each moment at which something may be held, a release is due within the given time, unless a
//! server is known to use it; a state that was read after a release began is not released by it.

use super::release::Release;
use crate::interface::Micros;

/// A state that may wait for a server.
#[derive(Clone, Copy, Debug)]
struct WaitingState {
    since: Micros,
    /// When it has to be released.
    due: Micros,
    /// The router intends to have it fetched.
    wanted: bool,
}

/// The states and places that servers may hold for one request.
#[derive(Default)]
pub struct HeldState {
    waiting: Option<WaitingState>,
    release: Option<Release>,
    /// Since when what is being released has waited.
    released_since: Option<Micros>,
}

/// The release that is due, if any.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DueRelease {
    /// No release is due yet.
    Nothing,
    /// The release of a state that the router has no use for.
    Unwanted,
    /// The release of a state that the router intended to have fetched.
    Wanted,
}

impl HeldState {
    /// Records that a read has ended well. Its state has the same name as any state read for the request before, so the
    /// release calls for those must not be followed by more.
    pub fn read_ended(&mut self, now: Micros, within: Micros, wanted: bool) {
        (self.release, self.released_since) = (None, None);
        self.waiting = Some(WaitingState { since: now, due: now + within, wanted });
    }

    /// Records the end of an attempt that may have left a state without reporting it.
    pub fn possibly_left(&mut self, now: Micros, within: Micros) {
        self.waiting = Some(WaitingState { since: now, due: now + within, wanted: false });
    }

    /// Records that a server that had taken a fetch has reported that the state is still held. The time starts anew.
    pub fn left_after_fetch(&mut self, now: Micros, within: Micros) {
        let wanted = self.is_wanted();
        self.waiting = Some(WaitingState { since: now, due: now + within, wanted });
    }

    /// Returns true if something may be left that the router has no use for, or if no server has taken the call that
    /// releases it yet.
    pub fn needs_release(&self) -> bool {
        self.release.is_some() || self.waiting.is_some_and(|waiting| !waiting.wanted)
    }

    /// Brings the release of what may be left forward to this time, unless it is due sooner.
    pub fn release_by(&mut self, due: Micros) {
        if let Some(waiting) = &mut self.waiting {
            waiting.due = waiting.due.min(due);
        }
    }

    /// Records that a server has reported that there is no state. Release calls in progress go on: an earlier read may have
    /// left something.
    pub fn reported_missing(&mut self) {
        self.waiting = None;
    }

    /// Records that a server is known to use the state, which also releases the rest.
    pub fn mark_used(&mut self) {
        *self = HeldState::default();
    }

    /// Returns true if the router intends to have the state fetched, and no server has been asked to release it.
    pub fn is_wanted(&self) -> bool {
        self.waiting.is_some_and(|waiting| waiting.wanted)
    }

    /// Returns the time since which a state has waited that the router intends to have fetched.
    pub fn wanted_since(&self) -> Option<Micros> {
        self.waiting.filter(|waiting| waiting.wanted).map(|waiting| waiting.since)
    }

    /// Returns the time at which a release is due next.
    pub fn next_due(&self) -> Option<Micros> {
        self.waiting.map(|waiting| waiting.due)
    }

    /// Returns the release that is due by now, which is not due any more afterwards.
    pub fn take_due(&mut self, now: Micros) -> DueRelease {
        let Some(waiting) = self.waiting.filter(|waiting| waiting.due <= now) else {
            return DueRelease::Nothing;
        };
        self.waiting = None;
        self.released_since =
            Some(self.released_since.map_or(waiting.since, |since| since.min(waiting.since)));
        if waiting.wanted { DueRelease::Wanted } else { DueRelease::Unwanted }
    }

    /// Begins these release calls. What may be left and is not wanted stays due.
    pub fn begin_release(&mut self, now: Micros, release: Release) {
        let waiting_since = self.waiting.map(|waiting| waiting.since);
        let since = self.released_since.into_iter().chain(waiting_since).min();
        self.released_since = Some(since.unwrap_or(now));
        self.waiting = self.waiting.filter(|waiting| !waiting.wanted);
        self.release = Some(release);
    }

    /// Returns the release calls in progress.
    pub fn release(&mut self) -> Option<&mut Release> {
        self.release.as_mut()
    }

    /// Ends the release calls, as a server has taken one or none will. Returns how long what was released had waited.
    pub fn end_release(&mut self, now: Micros) -> Option<Micros> {
        self.release = None;
        self.released_since.take().map(|since| now.saturating_sub(since))
    }

    /// Returns true if nothing is held and no release calls are in progress.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_none() && self.release.is_none()
    }
}
