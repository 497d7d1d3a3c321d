//! The release of what servers hold for a request. Any server that runs takes the call, and with that everything held for
//! the request is released, so one such server is enough. A silent server gives no answer, while time runs on.
//!
//! Invariants, for any number of silent servers: all servers have been asked within the given time, unless one has
//! taken the call or all calls that the program may have in flight are; if the first one works, no other is asked; no
//! server is asked twice in one round.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::interface::{Micros, ServerId};

/// Servers free what they hold by themselves after this time if none has taken the call.
const SERVERS_FREE_AFTER: Micros = 5_000_000;
/// The least pause between two rounds, which holds even if the settings leave no time at all: without a pause one run of
/// the timers would ask without end. A call takes about as long.
const MIN_ROUND_PAUSE: Micros = 1_000;

/// The order in which servers are asked. Releases that begin at about the same time share one ranking, and begin at
/// different servers of those that are equally likely to answer.
#[derive(Clone, Debug)]
pub struct ReleaseOrder {
    ranking: Arc<[ServerId]>,
    /// How many servers at the beginning of the ranking are equally likely to answer.
    equals: usize,
    /// Which of them comes first.
    first: usize,
}

impl ReleaseOrder {
    /// Creates an order that begins with the `first`-th of the first `equals` servers.
    pub fn rotated(ranking: Arc<[ServerId]>, equals: usize, first: usize) -> Self {
        let equals = equals.clamp(1, ranking.len().max(1));
        ReleaseOrder { ranking, equals, first: first % equals }
    }

    fn len(&self) -> usize {
        self.ranking.len()
    }

    fn get(&self, position: usize) -> Option<ServerId> {
        let rotated = if position < self.equals { (position + self.first) % self.equals } else { position };
        self.ranking.get(rotated).copied()
    }
}

impl From<Vec<ServerId>> for ReleaseOrder {
    fn from(servers: Vec<ServerId>) -> Self {
        ReleaseOrder::rotated(servers.into(), 1, 0)
    }
}

/// The release calls of one request.
pub struct Release {
    order: ReleaseOrder,
    /// How many servers of the order have been looked at in this round.
    position: usize,
    /// The servers that were asked in this round.
    asked: BTreeSet<ServerId>,
    /// The most calls that may be begun now.
    allowance: usize,
    /// How many calls have not been answered.
    in_flight: usize,
    within: Micros,
    /// All servers have been asked at least once.
    repeats: bool,
    /// Calls have been due before.
    has_begun: bool,
    /// The pause before the next round.
    pause: Micros,
    due: Option<Micros>,
    give_up_at: Micros,
    taken: bool,
    done: bool,
}

impl Release {
    /// Creates the calls to these servers, which are given with the likeliest to answer first; the last one is asked
    /// within the given time.
    pub fn new(now: Micros, order: impl Into<ReleaseOrder>, within: Micros) -> Self {
        let order = order.into();
        let done = order.len() == 0;
        Release {
            order,
            position: 0,
            asked: BTreeSet::new(),
            allowance: usize::MAX,
            in_flight: 0,
            within,
            repeats: false,
            has_begun: false,
            pause: within.max(MIN_ROUND_PAUSE),
            due: (!done).then_some(now),
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

    /// Returns true if servers are to be asked by now.
    pub fn is_due(&self, now: Micros) -> bool {
        self.next_due().is_some_and(|due| due <= now)
    }

    /// Returns true if calls have been due before, so that more may be known of the servers by now.
    pub fn has_begun(&self) -> bool {
        self.has_begun
    }

    /// Sets the order of the servers that have not been asked in this round.
    pub fn reorder(&mut self, order: ReleaseOrder) {
        (self.order, self.position) = (order, 0);
    }

    /// Sets how many calls may be begun from now on. While none may, what is due stays due.
    pub fn allow(&mut self, calls: usize) {
        self.allowance = calls;
    }

    /// Adds the servers that are to be asked by now to `targets`.
    pub fn tick(&mut self, now: Micros, targets: &mut Vec<ServerId>) {
        if self.is_due(now) {
            self.wave(now, targets);
        }
    }

    /// Records the end of a call. The next servers are asked at once if no other call is in flight.
    pub fn ended(&mut self, now: Micros, took: bool, targets: &mut Vec<ServerId>) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.taken |= took;
        self.done |= took;
        if !self.done && self.in_flight == 0 && self.next_unasked().is_some() {
            self.wave(now, targets);
        }
    }

    /// Returns the next server that has not been asked in this round.
    fn next_unasked(&mut self) -> Option<ServerId> {
        loop {
            let server = self.order.get(self.position)?;
            if !self.asked.contains(&server) {
                return Some(server);
            }
            self.position += 1;
        }
    }

    /// Asks as many servers as all waves of this round before: few if the first ones work, and all within a few waves if
    /// none does.
    fn wave(&mut self, now: Micros, targets: &mut Vec<ServerId>) {
        self.has_begun = true;
        if self.next_unasked().is_none() {
            self.repeats = true;
            self.asked.clear();
            self.position = 0;
        }
        self.done |= self.asked.is_empty() && now >= self.give_up_at;
        if self.done {
            return;
        }
        if self.allowance == 0 {
            self.due = Some(now);
            return;
        }
        let wave = self.asked.len().max(1).min(self.allowance);
        for _ in 0..wave {
            let Some(server) = self.next_unasked() else { break };
            self.asked.insert(server);
            self.in_flight += 1;
            targets.push(server);
        }
        let waits_for_round = self.next_unasked().is_none();
        self.due = Some(now + if waits_for_round { self.pause } else { self.wave_interval() });
        if waits_for_round {
            self.pause *= 2;
        }
    }

    /// Returns the time between two waves.
    fn wave_interval(&self) -> Micros {
        // The number of doublings that reach all servers, and one more.
        let waves = Micros::from(usize::BITS - self.order.len().leading_zeros()) + 1;
        self.within / waves
    }
}
