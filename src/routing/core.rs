//! Carries the router's actions from one event to the next. It decides nothing: who is sent what, when to
//! give up and what to refuse comes out of [`crate::choice`].

use std::collections::{BTreeMap, HashMap, VecDeque};

use super::evidence::Evidence;
use super::message::{Admission, CancelReason, ConnectionChoice, Input, Output, PoolId};
use super::state::{Deferred, Due, Open, Pool};
use super::totals::{End, Handled, Totals};
use super::tries::{Attempt, Tries};
use crate::choice::Router;
use crate::interface::*;
use crate::recovery::Held;

/// The time for a connection to come up: an attempt tells its server the time left at its send. A third of the slack is
/// for timers that are late.
pub(super) fn connect_within(rules: &Rules) -> Micros {
    rules.time_left_slack / 3 * 2
}

fn cancel(request: RequestId, attempt: u32, reason: CancelReason) -> Output {
    Output::Cancel { request, attempt, reason }
}

/// The open requests of all pools, and the timers that drive them.
#[derive(Default)]
pub struct Core {
    pub(super) pools: Vec<Pool>,
    pub(super) open: HashMap<RequestId, Open>,
    due: BTreeMap<(Micros, u64), Due>,
    timers: u64,
    pub(super) totals: Totals,
}

impl Core {
    /// Adds a router; its requests and servers are named by the id that is returned.
    pub fn add_pool(&mut self, settings: Settings, seed: u64, now: Micros) -> Result<PoolId, SettingsError> {
        let router = Router::new(settings.clone(), seed, now)?;
        let handled = vec![Handled::default(); settings.classes.len()];
        let (kinds, heard) = (BTreeMap::new(), BTreeMap::new());
        self.pools.push(Pool { router, settings, kinds, heard, generation: 0, handled });
        Ok(PoolId(self.pools.len() as u8 - 1))
    }

    /// From now on each choice of all routers is told; what is chosen does not change by it.
    pub fn observe(&mut self) {
        self.pools.iter_mut().for_each(|pool| pool.router.observe());
    }

    /// When [`Core::tick`] is next due.
    pub fn next_due(&self) -> Option<Micros> {
        self.due.keys().next().map(|(at, _)| *at)
    }

    /// The counters.
    pub fn totals(&self, now: Micros) -> Totals {
        let fleets = self.pools.iter().map(|pool| pool.router.server_counts(now));
        let (known, avoided) = fleets.fold((0, 0), |(a, b), (known, avoided)| (a + known, b + avoided));
        let open = self.open.values().filter(|open| !open.over).count();
        let [open, known, avoided] = [open, known, avoided].map(|count| count as u64);
        Totals { open, known, avoided, ..self.totals }
    }

    /// How a pool's requests have ended, by class.
    pub fn handled(&self, pool: PoolId) -> &[Handled] {
        self.pools.get(usize::from(pool.0)).map_or(&[], |pool| &pool.handled)
    }

    fn count(&mut self, pool: PoolId, class: ClassId, end: End) {
        let handled = self.pools.get_mut(usize::from(pool.0));
        // A request of a class that does not exist fails, and counts under none.
        if let Some(handled) = handled.and_then(|pool| pool.handled.get_mut(usize::from(class.0))) {
            handled.count(end);
        }
        self.totals.count(end);
    }

    /// Runs the timers that are due.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<Output>) {
        while let Some(first) = self.due.first_entry().filter(|e| e.key().0 <= now) {
            match first.remove() {
                Due::Router(pool, timer) => self.drive(now, pool, Event::Timer(timer), out),
                Due::GiveUp(id, attempt) => {
                    let Some(open) = self.open.get_mut(&id) else { continue };
                    let started = open.owner == Some(attempt);
                    let Some(a) = open.tries.out(attempt) else { continue };
                    if !started && !a.cancelled {
                        (a.timed_out, a.cancelled) = (true, true);
                        self.call_off(now, id, attempt, CancelReason::TimeLimit, out);
                    }
                }
                Due::Connect(id, attempt) => {
                    let attempt_out = self.open.get_mut(&id).and_then(|open| open.tries.out(attempt));
                    let Some(a) = attempt_out.filter(|a| a.unwritten() && !a.cancelled) else { continue };
                    (a.cut, a.cancelled) = (true, true);
                    self.totals.unreachable += 1;
                    out.push(cancel(id, attempt, CancelReason::NotWrittenInTime));
                }
                Due::Held(id) => self.on_held_due(now, id, out),
                Due::Deferred(id, attempt) => self.send_deferred(now, id, Some(attempt), out),
                Due::Release(id) => self.ask_to_release(now, id, |release, ask| release.tick(now, ask), out),
            }
        }
    }

    /// Takes one event.
    pub fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Request(admission) => self.on_request(now, admission, out),
            Input::List(pool, generation, update) => {
                let Some(known) = self.pools.get_mut(usize::from(pool.0)) else { return };
                known.generation = generation;
                if matches!(update.scope, ListScope::Full | ListScope::Cached) {
                    known.kinds.clear();
                }
                known.kinds.extend(update.entries.iter().map(|e| (e.id, e.kind)));
                known.heard.retain(|server, _| known.kinds.contains_key(server));
                self.drive(now, pool, Event::List(update), out);
            }
            Input::Started(id, attempt) => self.on_started(now, id, attempt, out),
            Input::Written(id, attempt) => {
                let open = self.open.get_mut(&id);
                let attempt = open.and_then(|open| open.tries.all.get_mut(attempt as usize));
                let written = attempt.is_some_and(|a| a.learn(Evidence::Written));
                self.totals.written += u64::from(written);
            }
            Input::Ended { request, attempt, outcome, kept_tokens, report } => {
                self.on_ended(now, request, attempt, (outcome, kept_tokens, report), out);
            }
            Input::Probed { pool, server, outcome, took, report } => {
                if matches!(outcome, Outcome::Served | Outcome::Error) {
                    self.hear(now, pool, server);
                }
                self.drive(now, pool, Event::Probed { server, outcome, took, report }, out);
            }
            Input::Released(id, took) => {
                self.ask_to_release(now, id, |release, ask| release.ended(now, took, ask), out);
            }
            Input::Place(request, server, held) => {
                if let Some(pool) = self.open.get(&request).map(|open| open.pool) {
                    self.drive(now, pool, Event::Place { request, server, held }, out);
                }
            }
            Input::Gone(id) => {
                let Some(open) = self.open.get_mut(&id).filter(|open| !open.over) else { return };
                let pool = open.pool;
                open.over = true;
                self.totals.gone += 1;
                self.drive(now, pool, Event::Gone(id), out);
            }
        }
    }

    fn on_request(&mut self, now: Micros, admission: Admission, out: &mut Vec<Output>) {
        let Admission { pool, mut request, time_left } = admission;
        request.expires = now.saturating_add(time_left);
        let (id, class, expires) = (request.id, request.class, request.expires);
        let (tries, held, owner, over) = (Tries::default(), Held::default(), None, false);
        let open = Open { pool, class, expires, tries, owner, over, held, deferred: None };
        self.open.insert(id, open);
        self.totals.taken += 1;
        self.drive(now, pool, Event::Request(request), out);
    }

    fn on_started(&mut self, now: Micros, id: RequestId, attempt: u32, out: &mut Vec<Output>) {
        let Some(open) = self.open.get_mut(&id) else { return };
        let (pool, owned) = (open.pool, open.over || open.owner.is_some());
        let Some(a) = open.tries.out(attempt) else { return };
        let server = a.server;
        a.learn(Evidence::Heard);
        if owned || a.cancelled {
            // The client has its answer already: a second one must not reach it.
            if !std::mem::replace(&mut a.cancelled, true) {
                out.push(cancel(id, attempt, CancelReason::AnsweredByAnother));
            }
            return;
        }
        let took = now.saturating_sub(a.sent);
        open.owner = Some(attempt);
        open.held.used();
        out.push(Output::Relay(id, attempt));
        self.hear(now, pool, server);
        self.drive(now, pool, Event::Started { request: id, attempt, server, took }, out);
    }

    fn on_ended(
        &mut self,
        now: Micros,
        id: RequestId,
        attempt: u32,
        (mut outcome, kept_tokens, report): (Outcome, u64, Option<Report>),
        out: &mut Vec<Output>,
    ) {
        let Some(open) = self.open.get_mut(&id) else { return };
        let owned = open.owner == Some(attempt);
        let Some(a) = open.tries.out(attempt) else { return };
        outcome = match outcome {
            // Only readers read; whatever this is, it proves nothing of what its server has done.
            Outcome::Read if !a.reads => Outcome::Error,
            // It was called off for a reason that says nothing of its server.
            Outcome::ConnectFailed if a.cancelled && !a.cut && !a.timed_out => Outcome::Cancelled,
            Outcome::Cancelled if a.timed_out => Outcome::TimedOut,
            outcome => outcome,
        };
        a.ended = Some(outcome);
        let (pool, class) = (open.pool, open.class);
        let (server, took) = (a.server, now.saturating_sub(a.sent));
        let ends = owned && !open.over;
        open.over |= owned;
        let settled = open.over;
        // Only what was sent whole ends so, and that it was written need not have been told yet.
        let known = match outcome {
            Outcome::Reset => Evidence::Written,
            outcome if outcome.is_told() => Evidence::Answered,
            _ => a.evidence,
        };
        let written = a.learn(known);
        self.totals.written += u64::from(written);
        self.note_held(now, id, attempt, outcome);
        if outcome.is_told() {
            self.hear(now, pool, server);
        }
        match outcome {
            _ if !ends => {}
            Outcome::Served => self.count(pool, class, End::Served),
            _ => self.count(pool, class, End::Broken),
        }
        let ended = Ended { request: id, attempt, server, outcome, kept_tokens, settled, took, report };
        self.drive(now, pool, Event::Ended(ended), out);
    }

    /// Forgets a request once its answer is given and its last attempt has ended.
    pub(super) fn forget(&mut self, id: RequestId, out: &mut Vec<Output>) {
        if self.open.get(&id).is_some_and(|open| open.over && open.idle()) {
            self.open.remove(&id);
            out.push(Output::Forget(id));
        }
    }

    /// Feeds an event to a pool's router and carries out its actions, and what follows from them.
    pub(super) fn drive(&mut self, now: Micros, pool: PoolId, event: Event, out: &mut Vec<Output>) {
        let (mut events, mut actions) = (VecDeque::from([event]), Vec::new());
        let mut touched = Vec::new();
        while let Some(event) = events.pop_front() {
            let Some(known) = self.pools.get_mut(usize::from(pool.0)) else { return };
            touched.extend(match &event {
                Event::Ended(ended) => Some(ended.request),
                Event::Gone(id) => Some(*id),
                _ => None,
            });
            known.router.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                if let Action::Refuse { request: id, .. } | Action::Fail(id) = action {
                    touched.push(id);
                }
                events.extend(self.carry_out(now, pool, action, out));
            }
        }
        // Only now: a release may follow the answer, and needs the request still to be known.
        for id in touched {
            self.forget(id, out);
        }
    }

    fn carry_out(
        &mut self,
        now: Micros,
        pool: PoolId,
        action: Action,
        out: &mut Vec<Output>,
    ) -> Option<Event> {
        match action {
            Action::Send { request, server, timeout } => {
                return self.send(now, pool, (request, server, timeout), out);
            }
            Action::Cancel { request, attempt } => {
                let open = self.open.get_mut(&request)?;
                let started = open.owner == Some(attempt);
                let a = open.tries.out(attempt).filter(|_| !started)?;
                if !std::mem::replace(&mut a.cancelled, true) {
                    if let Some(ended) = self.drop_deferred(now, request, attempt) {
                        return Some(ended);
                    }
                    out.push(cancel(request, attempt, CancelReason::GivenUp));
                }
            }
            Action::Refuse { request, retry_after } => {
                let class = self.close(request)?.class;
                self.count(pool, class, End::Refused);
                out.push(Output::Refuse(request, retry_after));
            }
            Action::Fail(request) => {
                let open = self.close(request)?;
                let ran = |a: &Attempt| !a.reads && !a.ended.is_some_and(Outcome::never_ran);
                let (class, may_have_run) = (open.class, open.tries.all.iter().any(ran));
                let step = self.pools.get(usize::from(pool.0)).map_or(0, |p| p.settings.step);
                let overdue = now + step >= self.open.get(&request)?.expires;
                self.count(pool, class, End::Failed);
                out.push(Output::Fail { request, may_have_run, overdue });
            }
            Action::Move(request) => {
                let open = self.open.get_mut(&request).filter(|open| open.owner.is_some() && !open.over)?;
                open.over = true;
                let class = open.class;
                // Closing the attempt breaks the client's stream off.
                let attempt = open.owner?;
                let a = open.tries.all.get_mut(attempt as usize)?;
                a.cancelled = true;
                self.count(pool, class, End::Broken);
                out.push(cancel(request, attempt, CancelReason::Moved));
            }
            Action::Release(request) => self.start_release(now, request, out),
            Action::HoldPlace { request, server } => out.push(Output::Hold(pool, request, server)),
            Action::SetTimer { at, timer } => self.wake(at, Due::Router(pool, timer)),
            Action::Probe(server) => {
                self.totals.probes += 1;
                out.push(Output::Probe(pool, server));
            }
            Action::CloseIdle(server) => out.push(Output::CloseIdle(pool, server)),
            // The list is watched without a pause, and asked for whole whenever changes were missed.
            Action::Watch(_) | Action::FetchList => {}
            // Conductors of this platform share nothing.
            Action::Tell { .. } => {}
            Action::Log(text) => out.push(Output::Log(text)),
            Action::Ejected(server) => out.push(Output::Ejected(pool, server)),
            Action::Explain(choice) => out.push(Output::Explain(choice)),
        }
        None
    }

    pub(super) fn wake(&mut self, at: Micros, due: Due) {
        self.timers += 1;
        self.due.insert((at, self.timers), due);
    }

    /// Marks a request as answered; nothing comes back if it was so before, so that no answer goes out twice.
    fn close(&mut self, id: RequestId) -> Option<&Open> {
        let open = self.open.get_mut(&id).filter(|open| !open.over && open.owner.is_none())?;
        open.over = true;
        Some(open)
    }

    fn send(
        &mut self,
        now: Micros,
        pool: PoolId,
        (request, server, timeout): (RequestId, ServerId, Option<Micros>),
        out: &mut Vec<Output>,
    ) -> Option<Event> {
        let known = self.pools.get(usize::from(pool.0))?;
        let kind = known.kinds.get(&server).and_then(|k| known.settings.kinds.get(usize::from(k.0)));
        let reads = kind.is_some_and(|kind| kind.role == Role::Reader);
        let most = known.settings.limits.attempts as usize;
        let open = self.open.get_mut(&request)?;
        let attempt = open.tries.all.len() as u32;
        let give_up = timeout.map_or(open.expires, |t| open.expires.min(now.saturating_add(t)));
        // Guards the rules against a send that must not go out: too many, too late, or after the answer.
        let moot = open.over || open.owner.is_some() || open.tries.all.len() >= most || give_up <= now;
        let ended = moot.then_some(Outcome::NotSent);
        let class = known.settings.classes.get(usize::from(open.class.0));
        let repeats_until = class.and_then(|class| open.tries.repeats_until(class));
        // The way to the server takes time, too.
        let repeat_by = repeats_until.map(|until| until.saturating_sub(known.settings.step));
        let fetch_by = open.fetch_by(now, &known.settings.rules).filter(|_| !reads);
        // A connection that has fallen silent would keep what an earlier read left waiting.
        let connection = if open.tries.any_reads() { ConnectionChoice::New } else { ConnectionChoice::Any };
        let connect_by = fetch_by
            .into_iter()
            .chain(repeat_by)
            .fold(now + connect_within(&known.settings.rules), Micros::min);
        let open_needs_release = open.held.needs_release();
        open.tries.all.push(Attempt { ended, ..Attempt::new(server, now, reads) });
        if moot {
            return Some(Event::Ended(Ended {
                request,
                attempt,
                server,
                outcome: Outcome::NotSent,
                kept_tokens: 0,
                settled: open.over,
                took: 0,
                report: None,
            }));
        }
        let (time_left, generation) = (give_up - now, known.generation);
        self.totals.sent += 1;
        self.wake(give_up, Due::GiveUp(request, attempt));
        if reads && open_needs_release {
            let written_by = repeat_by.unwrap_or(Micros::MAX).min(give_up);
            self.defer(now, request, Deferred { attempt, server, give_up, written_by });
            return None;
        }
        out.push(Output::Send { pool, request, attempt, server, time_left, generation, connection });
        self.wake(connect_by, Due::Connect(request, attempt));
        None
    }

    fn hear(&mut self, now: Micros, pool: PoolId, server: ServerId) {
        if let Some(pool) = self.pools.get_mut(usize::from(pool.0)) {
            pool.heard.insert(server, now);
        }
    }
}
