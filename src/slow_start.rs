//! What a warm server of a role has borne of late, and from it a token bucket for each cold one: a data structure
//! below the module. What is done with a draw stands there; why the sum over all processes holds, without knowing
//! how many there are: docs/design/slow-start.md.

use std::collections::BTreeMap;

use rand::Rng;

use crate::interface::{Micros, Rules, ServerEntry, ServerId};
use crate::pace::Pace;
use crate::roster::even_lot;

/// Part of an even share of one choice that a process may draw before it has seen any call borne: of hundreds that start at once
/// each knows nothing, and what comes then may be twice what the fleet does.
const FIRST: f64 = 0.375;
/// Part of the same that each new request adds, so that a fleet of which nothing has served yet is tried at all.
/// Tries again add nothing: what is refused comes several times.
const TRICKLE: f64 = 1.0 / 16.0;
/// Half-life of what was borne, as a part of the window: its mean life is half the window.
const KEPT: f64 = 0.5 * std::f64::consts::LN_2;

/// Share of its capacity that a server surely has, by the time since its start.
pub fn warmth(now: Micros, rules: &Rules, entry: &ServerEntry) -> f64 {
    match entry.started {
        Some(at) if now < at + rules.warm_up => {
            let part = now.saturating_sub(at) as f64 / rules.warm_up as f64;
            rules.cold_from + (1.0 - rules.cold_from) * part
        }
        _ => 1.0,
    }
}

/// What a cold server may still be sent, in tokens: a token is a call of one warm server.
#[derive(Clone, Copy)]
struct Bucket {
    tokens: f64,
    /// How much had been earned when the tokens were last seen to.
    seen: f64,
    /// Calls that it may be sent for a token.
    calls: f64,
    /// The part of all choices that may come to it: one after a read in another cell seldom does.
    of: f64,
}

/// The servers of one role, and what cold ones among them may be sent.
pub struct SlowStart {
    rules: Rules,
    /// A cold server gets so many times what it bears.
    most: f64,
    /// Weights of all that are listed.
    listed: f64,
    /// Weights times warmth of those that take work: a call that is borne came to one of these.
    whole: f64,
    /// Tokens since the start, and those of calls borne of late.
    earned: f64,
    borne: Pace,
    /// The cold ones that take work.
    cold: BTreeMap<ServerId, Bucket>,
}

impl SlowStart {
    /// A cold server may be sent this part of what makes it fall.
    pub fn new(rules: &Rules, part: f64) -> Self {
        SlowStart {
            rules: *rules,
            most: part * rules.fall_multiple,
            listed: 0.0,
            whole: 0.0,
            earned: 0.0,
            borne: Pace::default(),
            cold: BTreeMap::new(),
        }
    }

    /// Counts all servers anew, each with its weight against the mean and the part of choices that may come to it.
    pub fn count(&mut self, now: Micros, servers: impl Iterator<Item = (ServerEntry, f64, f64)>) {
        (self.listed, self.whole) = (0.0, 0.0);
        self.borne.forget(now, self.rules.fall_after as f64 * KEPT);
        let known = std::mem::take(&mut self.cold);
        for (entry, weight, of) in servers {
            let warmth = warmth(now, &self.rules, &entry);
            let able = if entry.takes_work() { warmth * weight } else { 0.0 };
            (self.listed, self.whole) = (self.listed + weight, self.whole + able);
            if warmth < 1.0 && able > 0.0 {
                let fresh = Bucket { tokens: f64::NAN, seen: self.earned, calls: 0.0, of };
                let bucket = known.get(&entry.id).copied().unwrap_or(fresh);
                self.cold.insert(entry.id, Bucket { calls: self.most * able, of, ..bucket });
            }
        }
        let first = FIRST / self.listed.max(1.0);
        for bucket in self.cold.values_mut().filter(|bucket| bucket.tokens.is_nan()) {
            bucket.tokens = self.borne.work.max(first / bucket.of);
        }
    }

    /// A server that takes work has borne a call (it has read a prompt, or begun an answer), or else has not.
    pub fn bear(&mut self, now: Micros, borne: bool) {
        let tokens = if borne && self.whole > 0.0 { 1.0 / self.whole } else { 0.0 };
        self.borne.forget(now, self.rules.fall_after as f64 * KEPT);
        self.borne.work += tokens;
        self.earned += tokens;
    }

    /// A request has come that is no client's second try.
    pub fn come(&mut self) {
        self.earned += TRICKLE / self.listed.max(1.0);
    }

    /// Whether it is cold and takes work.
    pub fn is_cold(&self, server: ServerId) -> bool {
        self.cold.contains_key(&server)
    }

    /// The chance with which a choice that would go to a cold server may: all that the server may still be sent goes
    /// into it, and is spent, won or lost. None where the server is warm.
    fn draw(&mut self, now: Micros, server: ServerId) -> Option<f64> {
        let bucket = self.cold.get_mut(&server)?;
        self.borne.forget(now, self.rules.fall_after as f64 * KEPT);
        // What one call earned is kept for the next choice that may come to it, however late that is.
        let most = self.borne.work.max(1.0 / (self.whole * bucket.of));
        let tokens = (bucket.tokens + self.earned - bucket.seen).min(most);
        let chance = (bucket.calls * tokens).min(1.0);
        (bucket.tokens, bucket.seen) = (tokens - chance / bucket.calls, self.earned);
        Some(chance)
    }
}

/// Which cold server the next choice of a request may go to.
#[derive(Clone, Copy, Default)]
pub struct Draw {
    /// Settles of which budgets the choice is.
    lot: u64,
    /// Who won, once it is drawn.
    won: Option<Option<ServerId>>,
}

impl Draw {
    /// Nobody has drawn yet.
    pub fn new(rng: &mut impl Rng) -> Self {
        Draw { lot: rng.random(), won: None }
    }

    /// For the choice after this one, with another lot.
    pub fn next(self) -> Self {
        Draw { lot: self.lot.wrapping_add(1), won: None }
    }

    /// Whether a cold server has not won it. Before the draw none has lost: who would be sent to has to be known.
    pub fn lost(self, server: ServerId) -> bool {
        self.won.is_some_and(|won| won != Some(server))
    }

    /// Lets cold servers draw, in the order in which the choice would go to them, until one wins or a warm one is
    /// due: who would not be sent to is not charged. None if it is drawn already, or no cold one is there.
    pub fn draw(
        &mut self,
        roles: &mut [SlowStart; 2],
        now: Micros,
        ranked: &[ServerId],
    ) -> Option<Option<ServerId>> {
        let is_cold = |id: &ServerId| roles.iter().any(|role| role.is_cold(*id));
        if self.won.is_some() || !ranked.iter().any(is_cold) {
            return None;
        }
        let mut won = None;
        for id in ranked {
            let Some(chance) = roles.iter_mut().find_map(|role| role.draw(now, *id)) else { break };
            if even_lot(self.lot, *id) < chance {
                won = Some(*id);
                break;
            }
        }
        self.won = Some(won);
        self.won
    }
}
