//! Feeds events to the routers and carries out their actions. It makes no routing decisions: which server is sent what,
//! when to give up and what to refuse is decided by [`crate::choice`].

use std::collections::{BTreeMap, HashMap, VecDeque};

use super::evidence::Evidence;
use super::message::{Admission, CancelReason, ConnectionChoice, Input, Output, PoolId};
use super::release_ranking::ReleaseRanking;
use super::state::{Deferred, OpenRequest, Pool, Timer, TimerKey};
use super::totals::{ClassTotals, RequestEnd, Totals};
use super::tries::{Attempt, Attempts};
use crate::choice::Router;
use crate::interface::*;
use crate::limits::calls::CallLimiter;
use crate::recovery::HeldState;

/// Returns how long a connection may take to come up. An attempt tells its server the time left at its send, which is too
/// long by the time that its connection takes. This leaves a third of the slack for timers that fire late.
pub(super) fn connect_within(rules: &Rules) -> Micros {
    rules.time_left_slack / 3 * 2
}

fn cancel_output(request: RequestId, attempt: u32, reason: CancelReason) -> Output {
    Output::Cancel { request, attempt, reason }
}

/// The state machine of all pools: their open requests and the timers for these.
#[derive(Default)]
pub struct Core {
    pub(super) pools: Vec<Pool>,
    pub(super) requests: HashMap<RequestId, OpenRequest>,
    timers: BTreeMap<TimerKey, Timer>,
    timer_count: u64,
    pub(super) totals: Totals,
    /// The release calls of all requests.
    pub(super) release_calls: CallLimiter<RequestId>,
}

impl Core {
    /// Sets how many release calls may be in flight, over all requests and pools.
    pub fn set_max_release_calls(&mut self, max_calls: usize) {
        self.release_calls.set_max_calls(max_calls);
    }

    /// Adds a pool with its own router, and returns the id that names the pool of a request or server.
    pub fn add_pool(&mut self, settings: Settings, seed: u64, now: Micros) -> Result<PoolId, SettingsError> {
        let router = Router::new(settings.clone(), seed, now)?;
        let class_totals = vec![ClassTotals::default(); settings.classes.len()];
        let (kinds, release_ranking) = (BTreeMap::new(), ReleaseRanking::default());
        self.pools.push(Pool {
            router,
            router_timer: None,
            settings,
            kinds,
            release_ranking,
            generation: 0,
            class_totals,
        });
        Ok(PoolId(self.pools.len() as u8 - 1))
    }

    /// Makes all routers report each of their choices as [`Output::Explain`] from now on. The choices stay the same.
    pub fn observe(&mut self) {
        self.pools.iter_mut().for_each(|pool| pool.router.observe());
    }

    /// Returns the time at which [`Core::tick`] is due next.
    pub fn next_due(&self) -> Option<Micros> {
        let timer = self.timers.keys().next().map(|(at, _)| *at);
        timer.into_iter().chain(self.release_calls.next_due()).min()
    }

    /// Returns the counters over all pools.
    pub fn totals(&self, now: Micros) -> Totals {
        let fleets = self.pools.iter().map(|pool| pool.router.server_counts(now));
        let (known, avoided) = fleets.fold((0, 0), |(a, b), (known, avoided)| (a + known, b + avoided));
        let open = self.requests.values().filter(|open| !open.settled).count();
        let [open, known, avoided] = [open, known, avoided].map(|count| count as u64);
        let release_calls_in_flight = self.release_calls.in_flight() as u64;
        let releases_waiting = self.release_calls.waiting() as u64;
        Totals { open, known, avoided, release_calls_in_flight, releases_waiting, ..self.totals }
    }

    /// Returns how a pool's requests have ended, by class.
    pub fn class_totals(&self, pool: PoolId) -> &[ClassTotals] {
        self.pools.get(usize::from(pool.0)).map_or(&[], |pool| &pool.class_totals)
    }

    /// Returns the settings of a class.
    pub fn class(&self, pool: PoolId, class: ClassId) -> Option<&Class> {
        self.pools.get(usize::from(pool.0))?.settings.classes.get(usize::from(class.0))
    }

    fn count_end(&mut self, pool: PoolId, class: ClassId, end: RequestEnd) {
        let class_totals = self.pools.get_mut(usize::from(pool.0));
        // A request of a class that does not exist fails, and is counted for no class.
        if let Some(class_totals) =
            class_totals.and_then(|pool| pool.class_totals.get_mut(usize::from(class.0)))
        {
            class_totals.count(end);
        }
        self.totals.count(end);
    }

    /// Runs the timers that are due.
    pub fn tick(&mut self, now: Micros, outputs: &mut Vec<Output>) {
        while let Some(first) = self.timers.first_entry().filter(|e| e.key().0 <= now) {
            match first.remove() {
                Timer::Router(pool, timer) => self.run_router_tasks(now, pool, timer, outputs),
                Timer::GiveUp(id, attempt) => {
                    let Some(open) = self.requests.get_mut(&id) else { continue };
                    let is_answering = open.answering == Some(attempt);
                    let Some(a) = open.attempts.in_flight(attempt) else { continue };
                    if !is_answering && !a.cancelled {
                        (a.timed_out, a.cancelled) = (true, true);
                        self.cancel_attempt(now, id, attempt, CancelReason::TimeLimit, outputs);
                    }
                }
                Timer::Connect(id, attempt) => {
                    let in_flight =
                        self.requests.get_mut(&id).and_then(|open| open.attempts.in_flight(attempt));
                    let Some(a) = in_flight.filter(|a| a.unwritten() && !a.cancelled) else { continue };
                    (a.connect_timed_out, a.cancelled) = (true, true);
                    self.totals.unreachable += 1;
                    outputs.push(cancel_output(id, attempt, CancelReason::NotWrittenInTime));
                }
                Timer::HeldExpiry(id) => self.on_held_due(now, id, outputs),
                Timer::Deferred(id, attempt) => self.send_deferred(now, id, Some(attempt), outputs),
                Timer::Release(id) => {
                    self.advance_release(now, id, |release, targets| release.tick(now, targets), outputs)
                }
            }
        }
        self.continue_waiting_releases(now, outputs);
    }

    /// Applies one event.
    pub fn handle(&mut self, now: Micros, input: Input, outputs: &mut Vec<Output>) {
        match input {
            Input::Request(admission) => self.on_request(now, admission, outputs),
            Input::List(pool, generation, update) => {
                let Some(pool_state) = self.pools.get_mut(usize::from(pool.0)) else { return };
                pool_state.generation = generation;
                if matches!(update.scope, ListScope::Full | ListScope::Cached) {
                    pool_state.kinds.clear();
                }
                pool_state.kinds.extend(update.entries.iter().map(|e| (e.id, e.kind)));
                pool_state.release_ranking.set_servers(pool_state.kinds.keys().copied());
                self.drive(now, pool, Event::List(update), outputs);
            }
            Input::Started(id, attempt) => self.on_started(now, id, attempt, outputs),
            Input::Written(id, attempt) => {
                let open = self.requests.get_mut(&id);
                let attempt = open.and_then(|open| open.attempts.all.get_mut(attempt as usize));
                let written = attempt.is_some_and(|a| a.record_evidence(Evidence::Written));
                self.totals.written += u64::from(written);
            }
            Input::Ended { request, attempt, outcome, kept_tokens, report } => {
                self.on_ended(now, request, attempt, (outcome, kept_tokens, report), outputs);
            }
            Input::Probed { pool, server, outcome, took, report } => {
                if matches!(outcome, Outcome::Served | Outcome::Error) {
                    self.record_answer(now, pool, server);
                }
                self.drive(now, pool, Event::Probed { server, outcome, took, report }, outputs);
            }
            Input::Released { pool, request, server, taken } => {
                self.on_released(now, pool, server, taken);
                self.advance_release(
                    now,
                    request,
                    |release, targets| release.ended(now, taken, targets),
                    outputs,
                );
                self.continue_waiting_releases(now, outputs);
            }
            Input::Place(request, server, held) => {
                if let Some(pool) = self.requests.get(&request).map(|open| open.pool) {
                    self.drive(now, pool, Event::Place { request, server, held }, outputs);
                }
            }
            Input::RefusedByFront(pool, class) => {
                self.totals.taken += 1;
                self.count_end(pool, class, RequestEnd::Refused);
            }
            Input::ClientGone(id) => {
                let Some(open) = self.requests.get_mut(&id).filter(|open| !open.settled) else { return };
                let pool = open.pool;
                open.settled = true;
                self.totals.gone += 1;
                self.drive(now, pool, Event::ClientGone(id), outputs);
            }
        }
    }

    fn on_request(&mut self, now: Micros, admission: Admission, outputs: &mut Vec<Output>) {
        let Admission { pool, mut request, time_left } = admission;
        request.expires = now.saturating_add(time_left);
        let (id, class, expires) = (request.id, request.class, request.expires);
        let (attempts, held, answering, settled) = (Attempts::default(), HeldState::default(), None, false);
        let (deferred, timers) = (None, Vec::new());
        let open = OpenRequest { pool, class, expires, attempts, answering, settled, held, deferred, timers };
        self.requests.insert(id, open);
        self.totals.taken += 1;
        self.drive(now, pool, Event::Request(request), outputs);
    }

    fn on_started(&mut self, now: Micros, id: RequestId, attempt: u32, outputs: &mut Vec<Output>) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        let (pool, already_answered) = (open.pool, open.settled || open.answering.is_some());
        let Some(a) = open.attempts.in_flight(attempt) else { return };
        let server = a.server;
        a.record_evidence(Evidence::Heard);
        if already_answered || a.cancelled {
            // The client has its answer already, or the attempt is cancelled: no second answer must reach the client.
            if !std::mem::replace(&mut a.cancelled, true) {
                outputs.push(cancel_output(id, attempt, CancelReason::AnsweredByAnother));
            }
            return;
        }
        let took = now.saturating_sub(a.sent);
        open.answering = Some(attempt);
        open.held.mark_used();
        outputs.push(Output::Relay(id, attempt));
        self.record_answer(now, pool, server);
        self.drive(now, pool, Event::Started { request: id, attempt, server, took }, outputs);
    }

    fn on_ended(
        &mut self,
        now: Micros,
        id: RequestId,
        attempt: u32,
        (mut outcome, kept_tokens, report): (Outcome, u64, Option<Report>),
        outputs: &mut Vec<Output>,
    ) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        let is_answering = open.answering == Some(attempt);
        let Some(a) = open.attempts.in_flight(attempt) else { return };
        outcome = match outcome {
            // Only readers read: from any other server this answer doesn't prove what it has done.
            Outcome::Read if !a.reads => Outcome::Error,
            // It was cancelled for a reason that says nothing about its server.
            Outcome::ConnectFailed if a.cancelled && !a.connect_timed_out && !a.timed_out => {
                Outcome::Cancelled
            }
            Outcome::Cancelled if a.timed_out => Outcome::TimedOut,
            outcome => outcome,
        };
        a.outcome = Some(outcome);
        let (pool, class) = (open.pool, open.class);
        let (server, took) = (a.server, now.saturating_sub(a.sent));
        let ends_request = is_answering && !open.settled;
        open.settled |= is_answering;
        let settled = open.settled;
        // Only attempts that were sent completely end like this, and the report of the write may not have arrived yet.
        let evidence = match outcome {
            Outcome::Reset => Evidence::Written,
            outcome if outcome.is_server_reported() => Evidence::Answered,
            _ => a.evidence,
        };
        let written = a.record_evidence(evidence);
        self.totals.written += u64::from(written);
        self.record_held(now, id, attempt, outcome);
        if outcome.is_server_reported() {
            self.record_answer(now, pool, server);
        }
        match outcome {
            _ if !ends_request => {}
            Outcome::Served => self.count_end(pool, class, RequestEnd::Served),
            _ => self.count_end(pool, class, RequestEnd::Broken),
        }
        let ended = Ended { request: id, attempt, server, outcome, kept_tokens, settled, took, report };
        self.drive(now, pool, Event::Ended(ended), outputs);
    }

    /// Forgets a request once its answer is given and its last attempt has ended.
    pub(super) fn forget(&mut self, id: RequestId, outputs: &mut Vec<Output>) {
        if self.requests.get(&id).is_some_and(|open| open.settled && open.nothing_pending()) {
            let Some(open) = self.requests.remove(&id) else { return };
            for key in &open.timers {
                self.timers.remove(key);
            }
            let class = self.class(open.pool, open.class);
            let blocked_from = class.and_then(|class| open.attempts.repeats_until(class));
            outputs.extend(blocked_from.map(|from| Output::BlockId(id, from)));
            outputs.push(Output::Forget(id));
        }
    }

    /// Feeds an event to a pool's router, carries out its actions, and feeds it the events that result from these.
    pub(super) fn drive(&mut self, now: Micros, pool: PoolId, event: Event, outputs: &mut Vec<Output>) {
        let (mut events, mut actions) = (VecDeque::from([event]), Vec::new());
        let mut forget_candidates = Vec::new();
        while let Some(event) = events.pop_front() {
            let Some(pool_state) = self.pools.get_mut(usize::from(pool.0)) else { return };
            forget_candidates.extend(match &event {
                Event::Ended(ended) => Some(ended.request),
                Event::ClientGone(id) => Some(*id),
                _ => None,
            });
            pool_state.router.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                if let Action::Refuse { request: id, .. } | Action::Fail(id) = action {
                    forget_candidates.push(id);
                }
                events.extend(self.carry_out(now, pool, action, outputs));
            }
        }
        // Requests are forgotten only after all actions: a release may follow the answer, and needs the request.
        for id in forget_candidates {
            self.forget(id, outputs);
        }
    }

    fn carry_out(
        &mut self,
        now: Micros,
        pool: PoolId,
        action: Action,
        outputs: &mut Vec<Output>,
    ) -> Option<Event> {
        match action {
            Action::Send { request, server, timeout } => {
                return self.send(now, pool, (request, server, timeout), outputs);
            }
            Action::Cancel { request, attempt } => {
                let open = self.requests.get_mut(&request)?;
                let is_answering = open.answering == Some(attempt);
                let a = open.attempts.in_flight(attempt).filter(|_| !is_answering)?;
                if !std::mem::replace(&mut a.cancelled, true) {
                    if let Some(ended) = self.drop_deferred(now, request, attempt) {
                        return Some(ended);
                    }
                    outputs.push(cancel_output(request, attempt, CancelReason::GivenUp));
                }
            }
            Action::Refuse { request, retry_after } => {
                let class = self.settle(request)?.class;
                self.count_end(pool, class, RequestEnd::Refused);
                outputs.push(Output::Refuse(request, retry_after));
            }
            Action::Fail(request) => {
                let open = self.settle(request)?;
                let ran = |a: &Attempt| !a.reads && !a.outcome.is_some_and(Outcome::never_ran);
                let (class, may_have_run) = (open.class, open.attempts.all.iter().any(ran));
                let step = self.pools.get(usize::from(pool.0)).map_or(0, |p| p.settings.step);
                let overdue = now + step >= self.requests.get(&request)?.expires;
                self.count_end(pool, class, RequestEnd::Failed);
                outputs.push(Output::Fail { request, may_have_run, overdue });
            }
            Action::Move(request) => {
                let open = self
                    .requests
                    .get_mut(&request)
                    .filter(|open| open.answering.is_some() && !open.settled)?;
                open.settled = true;
                let class = open.class;
                // Closing the attempt's connection breaks off the client's stream.
                let attempt = open.answering?;
                let a = open.attempts.all.get_mut(attempt as usize)?;
                a.cancelled = true;
                self.count_end(pool, class, RequestEnd::Broken);
                outputs.push(cancel_output(request, attempt, CancelReason::Moved));
            }
            Action::Release(request) => self.start_release(now, request, outputs),
            Action::HoldPlace { request, server } => outputs.push(Output::HoldPlace(pool, request, server)),
            Action::SetTimer { at, timer } => self.set_router_timer(pool, at, timer),
            Action::Probe(server) => {
                self.totals.probes += 1;
                outputs.push(Output::Probe(pool, server));
            }
            Action::CloseIdle(server) => outputs.push(Output::CloseIdle(pool, server)),
            // The list is watched all the time, and fetched in full whenever changes were missed.
            Action::Watch(_) | Action::FetchList => {}
            // The conductors of this platform exchange no messages.
            Action::SendToDispatchers { .. } => {}
            Action::Log(text) => outputs.push(Output::Log(text)),
            Action::Ejected(server) => outputs.push(Output::Ejected(pool, server)),
            Action::Explain(choice) => outputs.push(Output::Explain(choice)),
        }
        None
    }

    /// Sets a timer. That of a request is removed with it.
    pub(super) fn set_timer(&mut self, at: Micros, timer: Timer) {
        let request = timer.request();
        let key = self.insert_timer(at, timer);
        if let Some(open) = request.and_then(|id| self.requests.get_mut(&id)) {
            open.timers.push(key);
        }
    }

    fn insert_timer(&mut self, at: Micros, timer: Timer) -> TimerKey {
        self.timer_count += 1;
        self.timers.insert((at, self.timer_count), timer);
        (at, self.timer_count)
    }

    /// Sets the timer of a pool's router, unless it is due earlier already: upon it the router does all that is due.
    fn set_router_timer(&mut self, pool: PoolId, at: Micros, timer: TimerId) {
        let Some(set) = self.pools.get(usize::from(pool.0)).map(|pool| pool.router_timer) else { return };
        if set.is_some_and(|(due, _)| due <= at) {
            return;
        }
        if let Some(later) = set {
            self.timers.remove(&later);
        }
        let key = self.insert_timer(at, Timer::Router(pool, timer));
        if let Some(pool) = self.pools.get_mut(usize::from(pool.0)) {
            pool.router_timer = Some(key);
        }
    }

    /// Has a router do what is due, and sets the timer for what is due next.
    fn run_router_tasks(&mut self, now: Micros, pool: PoolId, timer: TimerId, outputs: &mut Vec<Output>) {
        if let Some(pool) = self.pools.get_mut(usize::from(pool.0)) {
            pool.router_timer = None;
        }
        self.drive(now, pool, Event::Timer(timer), outputs);
        let due = self.pools.get(usize::from(pool.0)).and_then(|pool| pool.router.next_due());
        if let Some(due) = due {
            self.set_router_timer(pool, due, timer);
        }
    }

    /// Marks a request as answered. Returns None if it was answered before, so that no second answer is sent.
    fn settle(&mut self, id: RequestId) -> Option<&OpenRequest> {
        let open = self.requests.get_mut(&id).filter(|open| !open.settled && open.answering.is_none())?;
        open.settled = true;
        Some(open)
    }

    fn send(
        &mut self,
        now: Micros,
        pool: PoolId,
        (request, server, timeout): (RequestId, ServerId, Option<Micros>),
        outputs: &mut Vec<Output>,
    ) -> Option<Event> {
        let pool_state = self.pools.get(usize::from(pool.0))?;
        let kind =
            pool_state.kinds.get(&server).and_then(|k| pool_state.settings.kinds.get(usize::from(k.0)));
        let reads = kind.is_some_and(|kind| kind.role == Role::Reader);
        let max_attempts = pool_state.settings.limits.attempts as usize;
        let open = self.requests.get_mut(&request)?;
        let attempt = open.attempts.all.len() as u32;
        let give_up_at = timeout.map_or(open.expires, |t| open.expires.min(now.saturating_add(t)));
        // Enforces the rules against a send that must not go out: one too many, too late, or after the answer.
        let not_allowed = open.settled
            || open.answering.is_some()
            || open.attempts.all.len() >= max_attempts
            || give_up_at <= now;
        let outcome = not_allowed.then_some(Outcome::NotSent);
        let class = pool_state.settings.classes.get(usize::from(open.class.0));
        let repeats_until = class.and_then(|class| open.attempts.repeats_until(class));
        // The network delay to the server counts as well.
        let repeat_by = repeats_until.map(|until| until.saturating_sub(pool_state.settings.step));
        let fetch_by = open.fetch_by(now, &pool_state.settings.rules).filter(|_| !reads);
        // On a connection that has fallen silent, what an earlier read left would go on waiting.
        let connection =
            if open.attempts.any_reads() { ConnectionChoice::New } else { ConnectionChoice::Any };
        let connect_by = fetch_by
            .into_iter()
            .chain(repeat_by)
            .fold(now + connect_within(&pool_state.settings.rules), Micros::min);
        let needs_release = open.held.needs_release();
        open.attempts.all.push(Attempt { outcome, ..Attempt::new(server, now, reads) });
        if not_allowed {
            return Some(Event::Ended(Ended {
                request,
                attempt,
                server,
                outcome: Outcome::NotSent,
                kept_tokens: 0,
                settled: open.settled,
                took: 0,
                report: None,
            }));
        }
        let (time_left, generation) = (give_up_at - now, pool_state.generation);
        self.totals.sent += 1;
        self.set_timer(give_up_at, Timer::GiveUp(request, attempt));
        if reads && needs_release {
            let written_by = repeat_by.unwrap_or(Micros::MAX).min(give_up_at);
            self.defer(now, request, Deferred { attempt, server, give_up_at, written_by });
            return None;
        }
        outputs.push(Output::Send { pool, request, attempt, server, time_left, generation, connection });
        self.set_timer(connect_by, Timer::Connect(request, attempt));
        None
    }

    fn record_answer(&mut self, now: Micros, pool: PoolId, server: ServerId) {
        if let Some(pool) = self.pools.get_mut(usize::from(pool.0)) {
            pool.release_ranking.answered(now, server);
        }
    }
}
