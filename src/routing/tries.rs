//! The attempts of one request, and the readers at which they may have left something held.

use super::evidence::Evidence;
use crate::interface::{Class, Micros, Outcome, ServerId};

/// One attempt.
pub(super) struct Attempt {
    /// The server it is sent to.
    pub server: ServerId,
    /// When the router sent it; a deferred one goes out later.
    pub sent: Micros,
    /// It reads the prompt at a reader.
    pub reads: bool,
    /// How it ended, if it has.
    pub outcome: Option<Outcome>,
    pub timed_out: bool,
    pub cancelled: bool,
    /// Cancelled because it was not written in time, see [`super::CancelReason::NotWrittenInTime`].
    pub connect_timed_out: bool,
    /// How far it is known to have got.
    pub evidence: Evidence,
}

impl Attempt {
    pub fn new(server: ServerId, sent: Micros, reads: bool) -> Self {
        let (outcome, timed_out, cancelled, connect_timed_out) = (None, false, false, false);
        Attempt {
            server,
            sent,
            reads,
            outcome,
            timed_out,
            cancelled,
            connect_timed_out,
            evidence: Evidence::Decided,
        }
    }

    /// Returns true if it has not ended and has not been written completely.
    pub fn unwritten(&self) -> bool {
        self.outcome.is_none() && !self.evidence.may_have_arrived()
    }

    /// Raises the evidence to this level. Returns true if this is the first sign that it may have reached its server.
    pub fn record_evidence(&mut self, evidence: Evidence) -> bool {
        let before = self.evidence;
        self.evidence = before.max(evidence);
        self.evidence.may_have_arrived() && !before.may_have_arrived()
    }
}

/// The attempts of a request in the order of their numbers.
#[derive(Default)]
pub(super) struct Attempts {
    pub all: Vec<Attempt>,
}

impl Attempts {
    /// Returns the attempt of this number, if it has not ended.
    pub fn in_flight(&mut self, attempt: u32) -> Option<&mut Attempt> {
        self.all.get_mut(attempt as usize).filter(|a| a.outcome.is_none())
    }

    /// Returns true if some attempt has not ended.
    pub fn any_in_flight(&self) -> bool {
        self.all.iter().any(|a| a.outcome.is_none())
    }

    /// Returns true if some attempt was a read, so that its reader may hold something.
    pub fn any_reads(&self) -> bool {
        self.all.iter().any(|a| a.reads)
    }

    /// Returns the time until which another attempt may reach its server, if an earlier one may have run and the class
    /// limits repeats. It isn't enough that the attempt is decided on by then, as its connection may come up later.
    pub fn repeats_until(&self, class: &Class) -> Option<Micros> {
        let ran = |a: &&Attempt| !a.reads && !a.outcome.is_some_and(Outcome::never_ran);
        let until = self.all.iter().filter(ran).map(|a| class.repeats_until(a.sent)).min();
        until.filter(|until| *until < Micros::MAX)
    }

    /// Returns the readers that may hold something, the latest first.
    pub fn readers(&self) -> Vec<ServerId> {
        self.all.iter().rev().filter(|a| a.reads).map(|a| a.server).collect()
    }
}
