//! The release of what servers hold for a request. Any server that runs takes the call, and with that everything held for
//! the request is released, so one such server is enough. A silent server gives no answer, while time runs on.
//!
//! Invariants, for any number of silent servers: all servers have been asked within the given time, unless one has
//! taken the call; if the first one works, no other is asked; no server is asked twice in one round.

use crate::interface::{Micros, ServerId};

/// Servers free what they hold by themselves after this time if none has taken the call.
const SERVERS_FREE_AFTER: Micros = 5_000_000;
/// The least pause between two rounds, which holds even if the settings leave no time at all: without a pause one run of
/// the timers would ask without end. A call takes about as long.
const MIN_ROUND_PAUSE: Micros = 1_000;

/// The release calls of one request.
pub struct Release {
    order: Vec<ServerId>,
    /// How many servers were asked in this round.
    asked: usize,
    /// How many calls have not been answered.
    in_flight: usize,
    within: Micros,
    /// All servers have been asked at least once.
    repeats: bool,
    /// The pause before the next round.
    pause: Micros,
    due: Option<Micros>,
    give_up_at: Micros,
    taken: bool,
    done: bool,
}

impl Release {
    /// Creates the calls to these servers, which are given with the likeliest holders first; the last one is asked within
    /// the given time.
    pub fn new(now: Micros, order: Vec<ServerId>, within: Micros) -> Self {
        let (due, done) = ((!order.is_empty()).then_some(now), order.is_empty());
        let pause = within.max(MIN_ROUND_PAUSE);
        Release {
            order,
            asked: 0,
            in_flight: 0,
            within,
            repeats: false,
            pause,
            due,
            give_up_at: now + SERVERS_FREE_AFTER,
            taken: false,
            done,
        }
    }

    /// Returns true if a server has taken the call, or none will.
    pub fn done(&self) -> bool {
        self.done
    }

    /// Returns true if a server has taken the call.
    pub fn taken(&self) -> bool {
        self.taken
    }

    /// Returns true if servers are being asked again; each connection that was used before may have fallen silent.
    pub fn repeats(&self) -> bool {
        self.repeats
    }

    /// Returns the time at which [`Release::tick`] is due next.
    pub fn next_due(&self) -> Option<Micros> {
        self.due.filter(|_| !self.done)
    }

    /// Adds the servers that are to be asked by now to `targets`.
    pub fn tick(&mut self, now: Micros, targets: &mut Vec<ServerId>) {
        if self.next_due().is_some_and(|due| due <= now) {
            self.wave(now, targets);
        }
    }

    /// Records the end of a call. The next servers are asked at once if no other call is in flight.
    pub fn ended(&mut self, now: Micros, took: bool, targets: &mut Vec<ServerId>) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.taken |= took;
        self.done |= took;
        if !self.done && self.in_flight == 0 && self.asked < self.order.len() {
            self.wave(now, targets);
        }
    }

    /// Asks as many servers as all waves of this round before: few if the first ones work, and all within a few waves if
    /// none does.
    fn wave(&mut self, now: Micros, targets: &mut Vec<ServerId>) {
        if self.asked == self.order.len() {
            (self.asked, self.repeats) = (0, true);
            self.done |= now >= self.give_up_at;
            if self.done {
                return;
            }
        }
        let asked_after = (self.asked.max(1) + self.asked).min(self.order.len());
        self.in_flight += asked_after - self.asked;
        targets.extend(&self.order[self.asked..asked_after]);
        self.asked = asked_after;
        // The number of doublings that reach all servers, and one more.
        let waves = Micros::from(usize::BITS - self.order.len().leading_zeros()) + 1;
        let all_asked = self.asked == self.order.len();
        self.due = Some(now + if all_asked { self.pause } else { self.within / waves });
        if all_asked {
            self.pause *= 2;
        }
    }
}
