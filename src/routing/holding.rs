//! What the core does about states and places that servers hold: when their time begins, and who is asked to release
//! them. The clocks are in [`crate::recovery::Held`], the order of the calls in [`crate::recovery::Release`].

use std::cmp::Reverse;

use super::core::{Core, connect_within};
use super::message::{CancelReason, ConnectionChoice, Output};
use super::state::{Deferred, Due, Open};
use crate::interface::*;
use crate::recovery::{DueRelease, Release};

/// A server has surely seen by then that the connection of a call was closed, so that nothing is left of it later.
const SEES_CLOSE: Micros = 100_000;

/// When what an attempt may have left is released: once its server has seen its connection close, or sooner where that
/// would leave too little of the settings' time.
fn after_close(rules: &Rules) -> Micros {
    SEES_CLOSE.min(rules.held_for() / 2)
}

/// As long as a server may take to see the close of a connection before a further read goes out. A release that comes while
/// a read of the same request runs takes that one's state with it, so it comes before.
const SEES_CLOSE_BEFORE_READ: Micros = 10_000;

impl Open {
    /// When a writer's connection has to be up, as a state waits for it: after half of the time that is left, so that
    /// another writer gets its turn whatever the first one does.
    pub(super) fn fetch_by(&self, now: Micros, rules: &Rules) -> Option<Micros> {
        let until = (self.held.wanted_since()? + rules.held_for()).max(now);
        Some(now + (until - now) / 2)
    }
}

impl Core {
    /// Takes note of what the end of an attempt leaves held.
    pub(super) fn note_held(&mut self, now: Micros, id: RequestId, attempt: u32, outcome: Outcome) {
        let Some(open) = self.open.get_mut(&id) else { return };
        let Some(pool) = self.pools.get(usize::from(open.pool.0)) else { return };
        let Some(reads) = open.tries.all.get(attempt as usize).map(|a| a.reads) else { return };
        // Nothing is held where no prompt has been read, and nothing waits once the answer has begun.
        if !open.tries.any_reads() || open.owner.is_some() {
            return;
        }
        let (held_for, after_close) = (pool.settings.rules.held_for(), after_close(&pool.settings.rules));
        match outcome {
            Outcome::Read => open.held.read_ended(now, held_for, !open.over),
            // It never came to its server.
            Outcome::ConnectFailed | Outcome::NotSent => {}
            Outcome::Full if reads => {}
            Outcome::NoState => open.held.reported_missing(),
            Outcome::Full | Outcome::Error | Outcome::Served if !reads => {
                let within = if open.held.is_wanted() { held_for } else { after_close };
                open.held.left_after_fetch(now, within);
            }
            // Nobody is known to have taken the fetch: the time of what waits runs on.
            Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled
                if !reads && open.held.is_wanted() && !open.over => {}
            // A read may have ended well just then, or a fetch have waited for what is free again.
            _ => open.held.possibly_left(now, after_close),
        }
        if let Some(due) = open.held.next_due() {
            self.wake(due, Due::HeldExpiry(id));
        }
    }

    /// Has a further read wait until what earlier attempts may have left is released, or all servers have been asked.
    pub(super) fn defer(&mut self, now: Micros, id: RequestId, deferred: Deferred) {
        let Some(open) = self.open.get_mut(&id) else { return };
        let Some(pool) = self.pools.get(usize::from(open.pool.0)) else { return };
        let rules = &pool.settings.rules;
        let all_asked = rules.release_within - rules.held_for();
        let release_at = now + SEES_CLOSE_BEFORE_READ.min(after_close(rules));
        open.held.release_by(release_at);
        open.deferred = Some(deferred);
        self.wake(release_at, Due::HeldExpiry(id));
        self.wake(release_at + all_asked, Due::Deferred(id, deferred.attempt));
    }

    /// Sends the read that waits, or this one if it still does.
    pub(super) fn send_deferred(
        &mut self,
        now: Micros,
        id: RequestId,
        only: Option<u32>,
        out: &mut Vec<Output>,
    ) {
        let Some(open) = self.open.get_mut(&id) else { return };
        let waits = open.deferred.filter(|deferred| only.is_none_or(|attempt| attempt == deferred.attempt));
        let Some(Deferred { attempt, server, give_up, written_by }) = waits else { return };
        let pool = open.pool;
        if now >= written_by {
            if let Some(ended) = self.drop_deferred(now, id, attempt) {
                self.drive(now, pool, ended, out);
            }
            return;
        }
        open.deferred = None;
        let Some(generation) = self.pools.get(usize::from(pool.0)).map(|pool| pool.generation) else {
            return;
        };
        let (time_left, connection) = (give_up.saturating_sub(now), ConnectionChoice::New);
        out.push(Output::Send { pool, request: id, attempt, server, time_left, generation, connection });
        let rules = self.pools.get(usize::from(pool.0)).map(|pool| pool.settings.rules);
        let connect_by = now + rules.as_ref().map_or(0, connect_within);
        self.wake(connect_by.min(written_by), Due::Connect(id, attempt));
    }

    /// Ends an attempt that waits and has not been sent.
    pub(super) fn drop_deferred(&mut self, now: Micros, id: RequestId, attempt: u32) -> Option<Event> {
        let open = self.open.get_mut(&id)?;
        let Deferred { server, .. } = open.deferred.take_if(|deferred| deferred.attempt == attempt)?;
        let a = open.tries.out(attempt)?;
        a.ended = Some(Outcome::NotSent);
        let (took, settled) = (now.saturating_sub(a.sent), open.over);
        let (outcome, kept_tokens, report) = (Outcome::NotSent, 0, None);
        Some(Event::Ended(Ended {
            request: id,
            attempt,
            server,
            outcome,
            kept_tokens,
            settled,
            took,
            report,
        }))
    }

    /// Has an attempt that is out called off.
    pub(super) fn call_off(
        &mut self,
        now: Micros,
        id: RequestId,
        attempt: u32,
        reason: CancelReason,
        out: &mut Vec<Output>,
    ) {
        let Some(pool) = self.open.get(&id).map(|open| open.pool) else { return };
        match self.drop_deferred(now, id, attempt) {
            Some(ended) => self.drive(now, pool, ended, out),
            None => out.push(Output::Cancel { request: id, attempt, reason }),
        }
    }

    /// The time of what is held may be over.
    pub(super) fn on_held_due(&mut self, now: Micros, id: RequestId, out: &mut Vec<Output>) {
        let Some(open) = self.open.get_mut(&id) else { return };
        let (pool, due) = (open.pool, open.held.take_due(now));
        if due == DueRelease::Nothing {
            return;
        }
        self.start_release(now, id, out);
        if due == DueRelease::Wanted {
            self.totals.released_unheard += 1;
            self.drive(now, pool, Event::StateReleased(id), out);
        }
        self.forget(id, out);
    }

    /// Has servers asked to let go of what is held: first those that may hold it, then whoever was heard last, as the
    /// likeliest to run and to have a connection.
    pub(super) fn start_release(&mut self, now: Micros, id: RequestId, out: &mut Vec<Output>) {
        let Some(open) = self.open.get_mut(&id) else { return };
        let Some(pool) = self.pools.get(usize::from(open.pool.0)) else { return };
        let mut order = open.tries.holders();
        if order.is_empty() {
            return;
        }
        order.retain(|server| pool.kinds.contains_key(server));
        let mut others: Vec<_> =
            pool.kinds.keys().filter(|server| !order.contains(server)).copied().collect();
        others.sort_by_key(|server| Reverse(pool.heard.get(server)));
        order.extend(others);
        let rules = pool.settings.rules;
        open.held.begin_release(now, Release::new(now, order, rules.release_within - rules.held_for()));
        self.ask_to_release(now, id, |release, ask| release.tick(now, ask), out);
    }

    /// Takes a step of the calls that are out for a request, and asks whoever is next.
    pub(super) fn ask_to_release(
        &mut self,
        now: Micros,
        id: RequestId,
        step: impl FnOnce(&mut Release, &mut Vec<ServerId>),
        out: &mut Vec<Output>,
    ) {
        let Some(open) = self.open.get_mut(&id) else { return };
        let (pool, mut ask) = (open.pool, Vec::new());
        let Some(release) = open.held.release() else { return };
        step(release, &mut ask);
        let (taken, done) = (release.taken(), release.done());
        let due = release.next_due().filter(|_| !ask.is_empty());
        let connection = if release.repeats() { ConnectionChoice::New } else { ConnectionChoice::Any };
        out.extend(ask.into_iter().map(|server| Output::Release { pool, request: id, server, connection }));
        if done {
            let waited = open.held.end_release(now).unwrap_or_default();
            self.count_release(id, taken, waited, out);
            if self.open.get(&id).is_some_and(|open| !open.held.needs_release()) {
                self.send_deferred(now, id, None, out);
            }
            self.forget(id, out);
        } else if let Some(due) = due {
            self.wake(due, Due::Release(id));
        }
    }

    fn count_release(&mut self, id: RequestId, taken: bool, waited: Micros, out: &mut Vec<Output>) {
        let pool = self.open.get(&id).and_then(|open| self.pools.get(usize::from(open.pool.0)));
        let late = pool.is_some_and(|pool| waited > pool.settings.rules.release_within);
        self.totals.released += u64::from(taken);
        self.totals.released_late += u64::from(late);
        if late {
            out.push(Output::HeldTooLong { request: id, waited, taken });
        }
    }
}
