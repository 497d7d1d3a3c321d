//! The attempts of one request, and what they may have left held at readers.

use crate::interface::{Class, Micros, Outcome, Rules, ServerId};

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
    /// Its last byte is with its server: until then it is not out for the rule on what is held.
    pub written: bool,
}

impl Attempt {
    pub fn new(server: ServerId, sent: Micros, reads: bool) -> Self {
        let (ended, timed_out, cancelled, cut, written) = (None, false, false, false, false);
        Attempt { server, sent, reads, ended, timed_out, cancelled, cut, written }
    }

    /// It is on its way, and no connection has taken it yet.
    pub fn unsent(&self) -> bool {
        self.ended.is_none() && !self.written
    }

    /// A server had it and left all as it was.
    fn turned_away(&self) -> bool {
        matches!(self.ended, Some(Outcome::Full | Outcome::NoState))
    }

    /// It never came to a server, or may still not.
    fn unheard(&self) -> bool {
        self.unsent() || matches!(self.ended, Some(Outcome::ConnectFailed | Outcome::NotSent))
    }
}

/// The attempts of a request in their order.
#[derive(Default)]
pub(super) struct Tries {
    pub all: Vec<Attempt>,
    /// The last end of an attempt that its server had heard of: from then on what is held waits.
    since: Micros,
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

    /// Notes the end of an attempt. One that never came to its server stops no clock.
    pub fn ended(&mut self, now: Micros, outcome: Outcome) {
        if !matches!(outcome, Outcome::ConnectFailed | Outcome::NotSent) {
            self.since = now;
        }
    }

    /// Since when a state that was read has waited, if one was.
    pub fn held_since(&self) -> Option<Micros> {
        self.all.iter().any(|a| a.ended == Some(Outcome::Read)).then_some(self.since)
    }

    /// No server has an attempt.
    pub fn at_no_server(&self) -> bool {
        self.all.iter().all(|a| a.ended.is_some() || a.unsent())
    }

    /// A read that did not end cleanly may have left a state that nobody knows of. Attempts after it that were turned
    /// away have changed nothing of that.
    pub fn lies_bare(&self) -> bool {
        let last = self.all.iter().rev().find(|a| !a.unheard() && !a.turned_away());
        let read = last.filter(|a| a.reads && self.at_no_server());
        read.is_some_and(|a| a.ended.is_some_and(|outcome| !outcome.never_ran()))
    }

    /// When a writer's connection has to be up, as a state waits for it: after half of the time that is left, so that
    /// another writer gets its turn whatever the first one does.
    pub fn connect_by(&self, now: Micros, rules: &Rules) -> Option<Micros> {
        let read = self.all.iter().rev().any(|a| a.ended == Some(Outcome::Read));
        let until = (self.since + rules.held_for()).max(now);
        read.then_some(now + (until - now) / 2)
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

    /// A read may have ended well just as its connection was closed.
    pub fn any_unclean(&self) -> bool {
        self.all.iter().any(|a| a.reads && a.ended != Some(Outcome::Read))
    }
}
