//! The release of what servers hold for a request. Any server that runs takes the call and lets go of everything for
//! it, so that one is enough; a silent one tells nothing, and time runs on.
//!
//! Invariants, for any number of silent servers: all servers have been asked within the time given, unless one has
//! taken the call; one that is well and comes first is the only one asked; nobody is asked twice within a round.

use crate::interface::{Micros, ServerId};

/// Where nobody has taken the call, servers free what is held by themselves after this, in microseconds.
const FREED: Micros = 5_000_000;
/// Between two rounds there is a pause, also where the settings leave no time at all: else one turn would ask without
/// end. In microseconds; a call takes about as long.
const LEAST_PAUSE: Micros = 1_000;

/// One request's calls.
pub struct Release {
    order: Vec<ServerId>,
    /// How many of them were asked in this round.
    asked: usize,
    /// How many of those have not answered.
    out: usize,
    within: Micros,
    /// All have been asked at least once.
    repeats: bool,
    /// The pause before the next round.
    pause: Micros,
    due: Option<Micros>,
    until: Micros,
    taken: bool,
    done: bool,
}

impl Release {
    /// Calls to these servers, the likeliest holders first; the last is asked within the given time.
    pub fn new(now: Micros, order: Vec<ServerId>, within: Micros) -> Self {
        let (due, done) = ((!order.is_empty()).then_some(now), order.is_empty());
        let pause = within.max(LEAST_PAUSE);
        Release {
            order,
            asked: 0,
            out: 0,
            within,
            repeats: false,
            pause,
            due,
            until: now + FREED,
            taken: false,
            done,
        }
    }

    /// Somebody has taken the call, or nobody will.
    pub fn done(&self) -> bool {
        self.done
    }

    /// Somebody has taken the call.
    pub fn taken(&self) -> bool {
        self.taken
    }

    /// Servers are asked again: each connection that was used before may have fallen silent.
    pub fn repeats(&self) -> bool {
        self.repeats
    }

    /// When [`Release::tick`] is next due.
    pub fn next_due(&self) -> Option<Micros> {
        self.due.filter(|_| !self.done)
    }

    /// Asks whoever is to be asked by now.
    pub fn tick(&mut self, now: Micros, ask: &mut Vec<ServerId>) {
        if self.next_due().is_some_and(|due| due <= now) {
            self.wave(now, ask);
        }
    }

    /// A call has ended; where none is out the next ones need not wait.
    pub fn ended(&mut self, now: Micros, took: bool, ask: &mut Vec<ServerId>) {
        self.out = self.out.saturating_sub(1);
        self.taken |= took;
        self.done |= took;
        if !self.done && self.out == 0 && self.asked < self.order.len() {
            self.wave(now, ask);
        }
    }

    /// Each wave asks as many as all before it: few where the first ones are well, all in few steps where none is.
    fn wave(&mut self, now: Micros, ask: &mut Vec<ServerId>) {
        if self.asked == self.order.len() {
            (self.asked, self.repeats) = (0, true);
            self.done |= now >= self.until;
            if self.done {
                return;
            }
        }
        let to = (self.asked.max(1) + self.asked).min(self.order.len());
        self.out += to - self.asked;
        ask.extend(&self.order[self.asked..to]);
        self.asked = to;
        // As many waves as the servers can be doubled into, and one.
        let waves = Micros::from(usize::BITS - self.order.len().leading_zeros()) + 1;
        let all = self.asked == self.order.len();
        self.due = Some(now + if all { self.pause } else { self.within / waves });
        if all {
            self.pause *= 2;
        }
    }
}
