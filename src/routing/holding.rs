//! How the core handles states and places that servers hold: when their time begins, and which servers are asked to
//! release them. [`crate::recovery::HeldState`] keeps the times, [`crate::recovery::Release`] the order of the calls.

use super::core::{Core, connect_within};
use super::message::{CancelReason, ConnectionChoice, Output, PoolId};
use super::state::{Deferred, OpenRequest, Timer};
use crate::interface::*;
use crate::recovery::{DueRelease, Release};

/// Within this time a server has certainly noticed that the connection of a call was closed, so the call leaves nothing
/// held after it.
const SERVER_SEES_CLOSE_WITHIN: Micros = 100_000;

/// Returns how long after an attempt's end what it may have left is released: once its server has noticed that the
/// connection is closed, or sooner if that would leave too little of the time that the settings allow.
fn after_close(rules: &Rules) -> Micros {
    SERVER_SEES_CLOSE_WITHIN.min(rules.max_state_wait() / 2)
}

/// How long a server gets to notice the close of a connection before the release that precedes a further read. A release
/// that arrives while a read of the same request runs also releases the state of that read, so it has to come first.
const CLOSE_WAIT_BEFORE_READ: Micros = 10_000;

impl OpenRequest {
    /// Returns the time by which a writer's connection has to be up if a state waits for it: after half of the time that is
    /// left, so that another writer can still be tried whatever the first one does.
    pub(super) fn fetch_by(&self, now: Micros, rules: &Rules) -> Option<Micros> {
        let until = (self.held.wanted_since()? + rules.max_state_wait()).max(now);
        Some(now + (until - now) / 2)
    }
}

impl Core {
    /// Records what the end of an attempt may leave held, and sets the timer for its release.
    pub(super) fn record_held(&mut self, now: Micros, id: RequestId, attempt: u32, outcome: Outcome) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        let Some(pool) = self.pools.get(usize::from(open.pool.0)) else { return };
        let Some(reads) = open.attempts.all.get(attempt as usize).map(|a| a.reads) else { return };
        // Nothing is held if no prompt was sent to a reader, and nothing waits any more once the answer has begun.
        if !open.attempts.any_reads() || open.answering.is_some() {
            return;
        }
        let (held_for, after_close) =
            (pool.settings.rules.max_state_wait(), after_close(&pool.settings.rules));
        match outcome {
            Outcome::Read => open.held.read_ended(now, held_for, !open.settled),
            // It never reached its server.
            Outcome::ConnectFailed | Outcome::NotSent => {}
            Outcome::Full if reads => {}
            Outcome::NoState => open.held.reported_missing(),
            Outcome::Full | Outcome::Error | Outcome::Served if !reads => {
                let within = if open.held.is_wanted() { held_for } else { after_close };
                open.held.left_after_fetch(now, within);
            }
            // No server is known to have taken the fetch: the time of the waiting state runs on.
            Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled
                if !reads && open.held.is_wanted() && !open.settled => {}
            // A read may have ended well just then, or a fetch may have kept the state in use until now.
            _ => open.held.possibly_left(now, after_close),
        }
        if let Some(due) = open.held.next_due() {
            self.set_timer(due, Timer::HeldExpiry(id));
        }
    }

    /// Defers a further read until what earlier attempts may have left is released, or all servers have been asked.
    pub(super) fn defer(&mut self, now: Micros, id: RequestId, deferred: Deferred) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        let Some(pool) = self.pools.get(usize::from(open.pool.0)) else { return };
        let rules = &pool.settings.rules;
        let all_asked = rules.release_within - rules.max_state_wait();
        let release_at = now + CLOSE_WAIT_BEFORE_READ.min(after_close(rules));
        open.held.release_by(release_at);
        open.deferred = Some(deferred);
        self.set_timer(release_at, Timer::HeldExpiry(id));
        self.set_timer(release_at + all_asked, Timer::Deferred(id, deferred.attempt));
    }

    /// Sends the deferred read; if an attempt is given, only if that is the deferred one.
    pub(super) fn send_deferred(
        &mut self,
        now: Micros,
        id: RequestId,
        only_attempt: Option<u32>,
        outputs: &mut Vec<Output>,
    ) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        let waiting =
            open.deferred.filter(|deferred| only_attempt.is_none_or(|attempt| attempt == deferred.attempt));
        let Some(Deferred { attempt, server, give_up_at, written_by }) = waiting else { return };
        let pool = open.pool;
        if now >= written_by {
            if let Some(ended) = self.drop_deferred(now, id, attempt) {
                self.drive(now, pool, ended, outputs);
            }
            return;
        }
        open.deferred = None;
        let Some(generation) = self.pools.get(usize::from(pool.0)).map(|pool| pool.generation) else {
            return;
        };
        let (time_left, connection) = (give_up_at.saturating_sub(now), ConnectionChoice::New);
        outputs.push(Output::Send { pool, request: id, attempt, server, time_left, generation, connection });
        let rules = self.pools.get(usize::from(pool.0)).map(|pool| pool.settings.rules);
        let connect_by = now + rules.as_ref().map_or(0, connect_within);
        self.set_timer(connect_by.min(written_by), Timer::Connect(id, attempt));
    }

    /// Ends an attempt that is deferred and has not been sent.
    pub(super) fn drop_deferred(&mut self, now: Micros, id: RequestId, attempt: u32) -> Option<Event> {
        let open = self.requests.get_mut(&id)?;
        let Deferred { server, .. } = open.deferred.take_if(|deferred| deferred.attempt == attempt)?;
        let a = open.attempts.in_flight(attempt)?;
        a.outcome = Some(Outcome::NotSent);
        let (took, settled) = (now.saturating_sub(a.sent), open.settled);
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

    /// Cancels an attempt that has not ended, whether it is deferred or sent.
    pub(super) fn cancel_attempt(
        &mut self,
        now: Micros,
        id: RequestId,
        attempt: u32,
        reason: CancelReason,
        outputs: &mut Vec<Output>,
    ) {
        let Some(pool) = self.requests.get(&id).map(|open| open.pool) else { return };
        match self.drop_deferred(now, id, attempt) {
            Some(ended) => self.drive(now, pool, ended, outputs),
            None => outputs.push(Output::Cancel { request: id, attempt, reason }),
        }
    }

    /// Starts the release of what is held for a request, if it is due.
    pub(super) fn on_held_due(&mut self, now: Micros, id: RequestId, outputs: &mut Vec<Output>) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        let (pool, due) = (open.pool, open.held.take_due(now));
        if due == DueRelease::Nothing {
            return;
        }
        self.start_release(now, id, outputs);
        if due == DueRelease::Wanted {
            self.totals.released_unheard += 1;
            self.drive(now, pool, Event::StateReleased(id), outputs);
        }
        self.forget(id, outputs);
    }

    /// Starts asking servers to release what is held, beginning with those that are the likeliest to answer: any server
    /// that runs releases it, and the one that holds it may hang.
    pub(super) fn start_release(&mut self, now: Micros, id: RequestId, outputs: &mut Vec<Output>) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        let Some(pool) = self.pools.get_mut(usize::from(open.pool.0)) else { return };
        if !open.attempts.any_reads() {
            return;
        }
        let order = pool.release_ranking.order(now, &open.attempts.readers());
        let rules = pool.settings.rules;
        open.held.begin_release(now, Release::new(now, order, rules.release_within - rules.max_state_wait()));
        self.advance_release(now, id, |release, targets| release.tick(now, targets), outputs);
    }

    /// Advances the release calls of a request by one step, and asks the servers that are next.
    pub(super) fn advance_release(
        &mut self,
        now: Micros,
        id: RequestId,
        step: impl FnOnce(&mut Release, &mut Vec<ServerId>),
        outputs: &mut Vec<Output>,
    ) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        let (pool, mut targets) = (open.pool, Vec::new());
        let Some(release) = open.held.release() else { return };
        let Some(pool_state) = self.pools.get_mut(usize::from(pool.0)) else { return };
        if release.has_begun() {
            release.reorder(pool_state.release_ranking.order(now, &open.attempts.readers()));
        }
        release.allow(self.release_calls.available(now));
        step(release, &mut targets);
        let (taken, done) = (release.taken(), release.done());
        let due = release.next_due().filter(|_| !targets.is_empty());
        if release.is_due(now) && targets.is_empty() {
            self.release_calls.wait(id);
        }
        let connection = if release.repeats() { ConnectionChoice::New } else { ConnectionChoice::Any };
        self.release_calls.begin(targets.len());
        self.totals.release_calls += targets.len() as u64;
        for server in targets {
            pool_state.release_ranking.call_began(server);
            outputs.push(Output::Release { pool, request: id, server, connection });
        }
        if done {
            let waited = open.held.end_release(now).unwrap_or_default();
            self.record_release(id, taken, waited, outputs);
            if self.requests.get(&id).is_some_and(|open| !open.held.needs_release()) {
                self.send_deferred(now, id, None, outputs);
            }
            self.forget(id, outputs);
        } else if let Some(due) = due {
            self.set_timer(due, Timer::Release(id));
        }
    }

    /// Records the end of a release call. Its request may have been forgotten, as another server has taken its call.
    pub(super) fn on_released(&mut self, now: Micros, pool: PoolId, server: ServerId, taken: bool) {
        self.release_calls.end(now, taken);
        self.totals.release_calls_failed += u64::from(!taken);
        if let Some(pool) = self.pools.get_mut(usize::from(pool.0)).filter(|_| taken) {
            pool.release_ranking.answered(now, server);
        }
    }

    /// Begins the calls of those requests that have waited for longest, as far as more calls may be in flight.
    pub(super) fn continue_waiting_releases(&mut self, now: Micros, outputs: &mut Vec<Output>) {
        while let Some(id) = self.release_calls.next(now) {
            self.advance_release(now, id, |release, targets| release.tick(now, targets), outputs);
        }
    }

    fn record_release(&mut self, id: RequestId, taken: bool, waited: Micros, outputs: &mut Vec<Output>) {
        let pool = self.requests.get(&id).and_then(|open| self.pools.get(usize::from(open.pool.0)));
        let late = pool.is_some_and(|pool| waited > pool.settings.rules.release_within);
        self.totals.released += u64::from(taken);
        self.totals.released_late += u64::from(late);
        if late {
            outputs.push(Output::HeldTooLong { request: id, waited, taken });
        }
    }
}
