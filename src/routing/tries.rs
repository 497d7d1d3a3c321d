//! The attempts of one request, and what they may have left held at readers.

use super::evidence::Evidence;
use crate::interface::{Class, Micros, Outcome, ServerId};

/// One attempt.
pub(super) struct Attempt {
    pub server: ServerId,
    pub sent: Micros,
    pub reads: bool,
    pub ended: Option<Outcome>,
    pub timed_out: bool,
    pub cancelled: bool,
    /// Called off because its connection had not come up by the time at which what is held is due.
    pub cut: bool,
    /// How far it is known to have got.
    pub evidence: Evidence,
}

impl Attempt {
    pub fn new(server: ServerId, sent: Micros, reads: bool) -> Self {
        let (ended, timed_out, cancelled, cut) = (None, false, false, false);
        Attempt { server, sent, reads, ended, timed_out, cancelled, cut, evidence: Evidence::Decided }
    }

    /// It is on its way, and has not been written whole.
    pub fn unwritten(&self) -> bool {
        self.ended.is_none() && !self.evidence.may_have_arrived()
    }

    /// Takes note of what is known now; tells whether it was not known before that it may have arrived.
    pub fn learn(&mut self, evidence: Evidence) -> bool {
        let before = self.evidence;
        self.evidence = before.max(evidence);
        self.evidence.may_have_arrived() && !before.may_have_arrived()
    }
}

/// The attempts of a request in their order.
#[derive(Default)]
pub(super) struct Tries {
    pub all: Vec<Attempt>,
}

impl Tries {
    /// The attempt of this number, if it has not ended.
    pub fn out(&mut self, attempt: u32) -> Option<&mut Attempt> {
        self.all.get_mut(attempt as usize).filter(|a| a.ended.is_none())
    }

    /// Some attempt has not ended.
    pub fn any_out(&self) -> bool {
        self.all.iter().any(|a| a.ended.is_none())
    }

    /// A reader may hold something, as it was sent the prompt.
    pub fn any_reads(&self) -> bool {
        self.all.iter().any(|a| a.reads)
    }

    /// Until when another attempt may come to its server, as one before it may have run. A decision within that time
    /// is not enough: its connection may come up after it.
    pub fn repeats_until(&self, class: &Class) -> Option<Micros> {
        let ran = |a: &&Attempt| !a.reads && !a.ended.is_some_and(Outcome::never_ran);
        let until = self.all.iter().filter(ran).map(|a| class.repeats_until(a.sent)).min();
        until.filter(|until| *until < Micros::MAX)
    }

    /// The readers at which something may be held: clean reads first, then the rest, the last ones first.
    pub fn holders(&self) -> Vec<ServerId> {
        let readers = || self.all.iter().rev().filter(|a| a.reads);
        let clean = |a: &&Attempt| a.ended == Some(Outcome::Read);
        let mut holders: Vec<ServerId> = readers().filter(clean).map(|a| a.server).collect();
        holders.extend(readers().filter(|a| !clean(a)).map(|a| a.server));
        holders
    }
}
