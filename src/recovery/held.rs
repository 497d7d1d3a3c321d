//! What readers may hold for one request, and when it has to be released. Its time runs from the end of the attempt that
//! left it until a server is heard that uses it, or takes the call that releases it. A fetch that is only written stops
//! no clock: its server may hang, and then nobody has taken the state. Releasing what a running server waits for does it
//! no harm, as only states that no attempt waits for are let go of.
//!
//! Invariants: from each moment at which something may be held there is a release due within the time given, unless a
//! server has been heard to use it; a state that was read after a release began is not released by it.

use super::release::Release;
use crate::interface::Micros;

/// A state that may wait for a server.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    since: Micros,
    /// When it has to be released.
    due: Micros,
    /// The router means to have it fetched.
    wanted: bool,
}

/// The states and places of one request.
#[derive(Default)]
pub struct HeldState {
    waiting: Option<Waiting>,
    release: Option<Release>,
    /// Since when what is being released has waited.
    released_since: Option<Micros>,
}

/// What is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DueRelease {
    /// Nothing yet.
    Nothing,
    /// A release; the router had no use for the state.
    Release,
    /// A release of a state that the router means to have fetched.
    ReleaseOfWanted,
}

impl HeldState {
    /// A read has ended well. Its state goes by the same name as any before it, and calls that are out for those must
    /// not be followed by more.
    pub fn read(&mut self, now: Micros, within: Micros, wanted: bool) {
        (self.release, self.released_since) = (None, None);
        self.waiting = Some(Waiting { since: now, due: now + within, wanted });
    }

    /// An attempt has ended that may have left a state without telling so.
    pub fn may_be_left(&mut self, now: Micros, within: Micros) {
        self.waiting = Some(Waiting { since: now, due: now + within, wanted: false });
    }

    /// A server that had taken a fetch has told that the state is left as it was. The time begins anew.
    pub fn left_by_server(&mut self, now: Micros, within: Micros) {
        let wanted = self.is_wanted();
        self.waiting = Some(Waiting { since: now, due: now + within, wanted });
    }

    /// Something may be left that the router has no use for, or nobody has taken the call that releases it yet.
    pub fn needs_release(&self) -> bool {
        self.release.is_some() || self.waiting.is_some_and(|waiting| !waiting.wanted)
    }

    /// What may be left is due by this time.
    pub fn hasten(&mut self, due: Micros) {
        if let Some(waiting) = &mut self.waiting {
            waiting.due = waiting.due.min(due);
        }
    }

    /// A server has told that there is nothing. Calls that are out go on: an earlier read may have left something.
    pub fn is_gone(&mut self) {
        self.waiting = None;
    }

    /// A server has been heard to use it: the rest is let go of with that.
    pub fn used(&mut self) {
        *self = HeldState::default();
    }

    /// The router means to have the state fetched, and nobody has been asked to let go of it.
    pub fn is_wanted(&self) -> bool {
        self.waiting.is_some_and(|waiting| waiting.wanted)
    }

    /// Since when a state has waited that the router means to have fetched.
    pub fn wanted_since(&self) -> Option<Micros> {
        self.waiting.filter(|waiting| waiting.wanted).map(|waiting| waiting.since)
    }

    /// When something is due next.
    pub fn due(&self) -> Option<Micros> {
        self.waiting.map(|waiting| waiting.due)
    }

    /// What is due by now; it is so no more.
    pub fn take_due(&mut self, now: Micros) -> DueRelease {
        let Some(waiting) = self.waiting.filter(|waiting| waiting.due <= now) else {
            return DueRelease::Nothing;
        };
        self.waiting = None;
        self.released_since =
            Some(self.released_since.map_or(waiting.since, |since| since.min(waiting.since)));
        if waiting.wanted { DueRelease::ReleaseOfWanted } else { DueRelease::Release }
    }

    /// Calls to these servers go out. What may yet be left stays due.
    pub fn begin_release(&mut self, now: Micros, release: Release) {
        let waited = self.waiting.map(|waiting| waiting.since);
        let since = self.released_since.into_iter().chain(waited).min();
        self.released_since = Some(since.unwrap_or(now));
        self.waiting = self.waiting.filter(|waiting| !waiting.wanted);
        self.release = Some(release);
    }

    /// The calls that are out.
    pub fn release(&mut self) -> Option<&mut Release> {
        self.release.as_mut()
    }

    /// Somebody has taken the call, or nobody will. Tells how long what was released had waited.
    pub fn end_release(&mut self, now: Micros) -> Option<Micros> {
        self.release = None;
        self.released_since.take().map(|since| now.saturating_sub(since))
    }

    /// Nothing is held, and nobody is asked.
    pub fn is_nothing(&self) -> bool {
        self.waiting.is_none() && self.release.is_none()
    }
}
