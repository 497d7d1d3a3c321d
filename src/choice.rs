//! Every decision of the router, in the order in which a request meets them. The data that goes in and
//! comes out (settings, events, actions, ids) is in `src/interface.rs`.
//!
//! The rule: a prompt goes to the ready reader with the lowest weight x missing tokens + pending load; after
//! the read, a writer with room in that reader's cell fetches the state and answers.

mod admission;
mod eligibility;
mod health;
mod kept_prefixes;
mod load_estimate;
mod ranking;
mod reader_selection;
mod server_list;
mod writer_selection;

use std::collections::{BTreeMap, BTreeSet};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use self::health::learn;
use self::kept_prefixes::{KeptPrefixes, Key, keys};
use self::ranking::ranked;
use crate::interface::*;
use crate::pace::{PACE_HALF_LIFE, Pace};
use crate::roster::{Roster, SampleSize, rendezvous_hash};
use crate::slow_start::{Draw, SlowStart, warmth};

/// A writer whose memory share is under this has room.
const ROOM: f64 = 0.9;
/// Part of the longest answer that a stream is taken to hold on average, where there is no hint.
const ANSWER_PART: f64 = 0.25;
/// Tokens that a read costs besides its own (steps, network), so that short reads don't look slow.
const READ_OVERHEAD: f64 = 300.0;
/// A report older than this says nothing any more.
const REPORT_OLD: Micros = 5_000_000;
/// Pace of a reader in tokens a second before any read was seen.
const FIRST_PACE: f64 = 12_000.0;
/// An attempt gets this multiple of its expected time before its server is asked after...
const PATIENCE: f64 = 4.0;
/// ... but never less than this: reports and clocks are coarse.
const PATIENCE_LEAST: Micros = 800_000;
/// Half of what is known of a server's errors is forgotten in this time.
const FAULT_HALF_LIFE: f64 = 2.5e6;
/// Part of a cold server's budget that is used; the rest is for chance, and for what was not drawn before.
const COLD_PART: f64 = 0.5;
/// Advice to a client turned away for want of capacity: the answer comes at once, its next try later.
const RETRY_AFTER: Micros = 1_000_000;
/// Pause before a request that found no server looks again, or its client if the attempts are used up: other
/// dispatchers may be let in.
const CHOOSE_AGAIN_AFTER: Micros = 50_000;
/// Averages and old entries are seen to this often.
const MAINTENANCE_EVERY: Micros = 200_000;
/// Before a choice, up to this many of the best candidates are asked for a report...
const REPORTS_ASKED: f64 = 3.0;
/// ... if all that asking costs at most this part of the result at either choice...
const REPORT_SPEND: f64 = 0.01;
/// ... of those whose last report is no longer fresh, that is older than this...
const FRESH: Micros = 300_000;
/// ... and the choice waits for this part of the shortest aim.
const REPORT_WAIT: f64 = 0.015;

/// Up to so many servers of a role a choice looks at all, beyond that at those that keep the text and at some
/// drawn at random: the best of many is little better than the best of some (docs/design/watched-files.md).
const SAMPLE: SampleSize = SampleSize { all: 128, some: 24 };

#[derive(Default)]
struct Server {
    entry: ServerEntry,
    role: Role,
    memory: f64,
    weight: f64, // its capacity against the mean of its role; 0 takes nothing new
    kept: KeptPrefixes,
    unread: f64,               // own prompt tokens sent and not yet read
    others: f64,               // tokens beyond them that wait there by the last report
    since: Vec<(Micros, f64)>, // own streams that the last report can't hold yet: when, and the tokens
    report: Report,
    reported: Option<Micros>,
    heard: Micros,
    served_to: Micros, // when the latest of the own attempts was sent that it has read or begun to answer
    out: u32,          // own attempts out that have not begun to answer
    streams: u32,      // own answers in the making, or waiting to be
    pace: Pace,
    begins: Pace,  // answers begun, and the seconds to their first tokens
    faults: Pace,  // errors, and all that it ended, as seconds
    ejected: bool, // no sign of life since a failure
    broke: bool,   // nor since a connection broke
    trial_at: Micros,
    full: BTreeMap<(Option<TenantId>, ClassId), Micros>, // who was turned away as full: until when to rest
    probed: Micros,
}

#[derive(Clone, Copy)]
struct Attempt {
    entry: ServerEntry,
    sent: Micros,
    reads: bool, // the prompt is read there
    tokens: f64, // tokens to be read there, and those before them
    ahead: f64,
    crossing: Option<CellId>, // the cell whose link its state has to cross
    ended: bool,
    may_have_run: bool,
}

#[derive(Default)]
struct Open {
    request: Request,
    came: Micros,
    attempts: Vec<Attempt>,
    state: Option<(ServerId, Micros)>, // the reader at which the state waits, and since when no writer has it
    started: bool,
    over: bool, // the final answer is given or no longer owed
    avoid: Option<ServerId>,
    asked: bool,        // candidates were asked for reports before the next choice
    draw_key: u64,      // settles of which cold servers' share it is,
    draw: Option<Draw>, // and how large that is, once drawn for the next choice
}

impl Open {
    fn out(&self) -> Option<&Attempt> {
        self.attempts.last().filter(|a| !a.ended)
    }

    /// A state may be held somewhere.
    fn holds(&self) -> bool {
        !self.started && self.attempts.iter().any(|a| a.reads)
    }
}

enum Wake {
    Maintenance,
    Deadline(RequestId),
    Patience(RequestId, usize),
    Again(RequestId),
}

/// What all servers of a role show together.
#[derive(Clone, Copy, Default)]
struct Fleet {
    count: f64,
    load: f64,
    memory: f64,
    pace: f64,
    wait: f64,  // seconds from a send to the first token
    least: f64, // the same at the quickest writer
}

/// One dispatcher's decisions.
pub struct Router {
    settings: Settings,
    rng: Pcg64Mcg,
    servers: BTreeMap<ServerId, Server>,
    roster: Roster<Key>,
    out: u32, // own attempts out at all servers that have not begun to answer
    requests: BTreeMap<RequestId, Open>,
    due: BTreeMap<(Micros, u64), Wake>,
    timers: u64,
    readers: Fleet,
    writers: Fleet,
    slow_starts: [SlowStart; 2], // of readers, and of others
    near_readers: f64,           // those of the own zone
    offered: Pace, // tokens to be read for the requests that came, taken or not, and their count as seconds
    first_tokens: Pace,
    tenants: Vec<Pace>,
    links: BTreeMap<CellId, Pace>,  // first tokens of states that left the cell
    looked: Option<Vec<Candidate>>, // those of the present choice, if somebody observes
}

type Actions = Vec<Action>;

impl Router {
    /// A router that knows no servers yet; settings that contradict themselves are refused.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Result<Self, SettingsError> {
        settings.check()?;
        let none = Pace { at: now, ..Pace::default() };
        Ok(Router {
            slow_starts: [(); 2].map(|()| SlowStart::new(&settings.rules, COLD_PART)),
            links: BTreeMap::new(),
            tenants: vec![none; settings.tenants.len()],
            settings,
            rng: Pcg64Mcg::seed_from_u64(seed),
            servers: BTreeMap::new(),
            roster: Roster::default(),
            out: 0,
            requests: BTreeMap::new(),
            due: BTreeMap::new(),
            timers: 0,
            readers: Fleet { pace: FIRST_PACE, ..Fleet::default() },
            writers: Fleet { pace: FIRST_PACE, ..Fleet::default() },
            near_readers: 0.0,
            offered: none,
            first_tokens: Pace::default(),
            looked: None,
        })
    }

    /// From now on each choice is told, as [`Action::Explain`]. What is chosen does not change by it.
    pub fn observe(&mut self) {
        self.looked = Some(Vec::new());
    }

    /// How many servers are listed, and to how many of them nothing is sent now if it can be helped.
    pub fn fleet(&self, now: Micros) -> (usize, usize) {
        let plain = Open::default();
        let avoids = |s: &&Server| !s.entry.takes_work() || self.avoidance(now, s, &plain).is_some();
        (self.servers.len(), self.servers.values().filter(avoids).count())
    }

    /// Takes one event and appends what is to be done.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Actions) {
        if self.timers == 0 {
            self.wake(now + MAINTENANCE_EVERY, Wake::Maintenance, out);
            if self.settings.discovery == Discovery::OnRequest {
                out.push(Action::Watch(true));
            }
        }
        match event {
            Event::List(update) => self.on_list(now, update, out),
            Event::Request(request) => self.on_request(now, request, out),
            Event::Started { request, attempt, server, .. } => self.on_started(now, request, attempt, server),
            Event::Ended(ended) => self.on_ended(now, ended, out),
            Event::ClientGone(id) => self.close(id, None, out),
            Event::StateReleased(id) => self.on_state_released(now, id, out),
            Event::Timer(_) => self.on_timer(now, out),
            Event::Probed { server, outcome, report, .. } => self.on_probed(now, server, outcome, report),
            Event::Place { .. } | Event::DispatcherMessage { .. } => {}
        }
    }

    fn on_request(&mut self, now: Micros, request: Request, out: &mut Actions) {
        if self.requests.contains_key(&request.id) {
            return;
        } else if usize::from(request.class.0) >= self.settings.classes.len() {
            return out.push(Action::Fail(request.id));
        }
        if let Some(tenant) = request.tenant.and_then(|t| self.tenants.get_mut(usize::from(t.0))) {
            tenant.add(now, 1.0, 0);
        }
        let id = request.id;
        let last = request.expires.saturating_sub(self.settings.step);
        self.wake(last.max(now), Wake::Deadline(id), out);
        self.slow_starts.iter_mut().filter(|_| !request.resent).for_each(SlowStart::come);
        self.requests.insert(id, Open { request, came: now, draw_key: self.rng.random(), ..Open::default() });
        self.advance(now, id, out);
    }

    /// Takes a request with no attempt out to its next step: a reader, a writer, a pause or its end.
    fn advance(&mut self, now: Micros, id: RequestId, out: &mut Actions) {
        let held_for = self.settings.rules.max_state_wait();
        let Some(open) = self.requests.get_mut(&id) else { return };
        if open.over || open.started || open.out().is_some() {
            return;
        } else if open.state.is_some_and(|(_, since)| now + CHOOSE_AGAIN_AFTER > since + held_for) {
            // Nobody fetches the state in time: let it go, so that nothing stays pinned.
            open.state = None;
            out.push(Action::Release(id));
        }
        let Some(open) = self.requests.get(&id) else { return };
        let left = self.settings.limits.attempts.saturating_sub(open.attempts.len() as u32);
        // It may have run and must not run again: its client hears so now, not when its aim has passed.
        let class = self.class(&open.request);
        let spent = open.attempts.iter().any(|a| a.may_have_run && now >= class.repeats_until(a.sent));
        if left == 0 || spent || now + self.settings.step >= open.request.expires {
            return self.give_up(id, CHOOSE_AGAIN_AFTER, out);
        }
        let Some(open) = self.requests.get_mut(&id) else { return };
        let read = open.state.and_then(|(id, _)| open.attempts.iter().rev().find(|a| a.entry.id == id));
        let read = read.map(|a| (a.entry.cell, self.roster.readers_of(a.entry.cell)));
        let slow_start = &mut self.slow_starts[usize::from(read.is_some() || self.readers.count <= 0.0)];
        open.draw.get_or_insert_with(|| slow_start.draw(now, read));
        let (ranked, new) = match open.state {
            Some((reader, _)) => (self.rank_writers(now, id, reader), false),
            None => (self.rank_readers(now, id, left > 1), true),
        };
        if let Some(looked) = &mut self.looked {
            let (candidates, ranked) = (std::mem::take(looked), ranked.clone());
            out.push(Action::Explain(Box::new(Choice { request: id, reads: new, candidates, ranked })));
        }
        if self.request_reports(now, id, &ranked, out) {
            return;
        }
        match ranked.first().copied() {
            Some(reader) if new && self.should_shed(now, id, reader) => {
                return self.give_up(id, RETRY_AFTER, out);
            }
            Some(server) => return self.send(now, id, server, out),
            None if new && (left < 2 || self.aim_has_passed(now, id)) => {
                return self.give_up(id, RETRY_AFTER, out);
            }
            None => {}
        }
        let Some(open) = self.requests.get_mut(&id) else { return };
        (open.draw_key, open.draw) = (self.rng.random(), None); // only cold servers may be left
        self.wake(now + CHOOSE_AGAIN_AFTER, Wake::Again(id), out);
    }

    fn on_state_released(&mut self, now: Micros, id: RequestId, out: &mut Actions) {
        if let Some(open) = self.requests.get_mut(&id) {
            open.state = None;
            self.advance(now, id, out);
        }
    }

    /// Asks the best candidates for reports before the choice among them, once for each choice. One of
    /// hundreds of dispatchers hears of a server too seldom by its own sends to know its load.
    fn request_reports(
        &mut self,
        now: Micros,
        id: RequestId,
        ranked: &[ServerId],
        out: &mut Actions,
    ) -> bool {
        let most = (REPORT_SPEND / self.settings.prices.probe.max(1e-6)).min(REPORTS_ASKED) as usize;
        let Some(open) = self.requests.get_mut(&id).filter(|open| !open.asked) else { return false };
        if !self.settings.limits.probes || ranked.len() < 2 {
            return false;
        }
        open.asked = true;
        let mut any = false;
        for to in ranked.iter().take(most) {
            let Some(server) = self.servers.get_mut(to) else { continue };
            if server.reported.is_none_or(|at| at + FRESH < now) {
                (any, server.probed) = (true, now);
                out.push(Action::Probe(*to));
            }
        }
        if any {
            self.wake(now + self.report_wait(), Wake::Again(id), out);
        }
        any
    }

    fn shortest_aim(&self) -> f64 {
        self.settings.classes.iter().map(|c| c.aim).min().unwrap_or(0) as f64
    }

    fn report_wait(&self) -> Micros {
        ((REPORT_WAIT * self.shortest_aim()) as Micros).min(self.settings.rules.release_within / 4)
    }

    fn class(&self, request: &Request) -> &Class {
        &self.settings.classes[usize::from(request.class.0)]
    }

    fn send(&mut self, now: Micros, id: RequestId, to: ServerId, out: &mut Actions) {
        let (Some(open), Some(server)) = (self.requests.get(&id), self.servers.get(&to)) else { return };
        let request = open.request;
        let reads = open.state.is_none();
        let missing = (request.prompt_tokens - server.kept.tokens_of(now, &request)) as f64;
        let ahead = self.load(now, server, 0.0);
        let expected = if reads { (ahead + missing) / self.pace(now, server) } else { self.writers.wait };
        let expected = if server.role == Role::Mixed { expected + self.writers.wait } else { expected };
        let patience = ((expected * PATIENCE * 1e6) as Micros).max(PATIENCE_LEAST);
        let hinted = request.hint.map(|hint| (hint / self.class(&request).token_aim.max(1)) as f64 / 2.0);
        let answer = hinted.unwrap_or(request.max_tokens as f64 * ANSWER_PART);
        let held = request.prompt_tokens as f64 + answer;

        let Some(server) = self.servers.get_mut(&to) else { return };
        (server.out, self.out) = (server.out + 1, self.out + 1);
        if reads {
            server.unread += missing;
            server.kept.record(now, &request);
            keys(&request).for_each(|(key, _)| self.roster.keep(key, to));
        }
        if server.role != Role::Reader {
            server.since.push((now, held));
            server.streams += 1;
        }
        let (entry, role) = (server.entry, server.role);
        let Some(open) = self.requests.get_mut(&id) else { return };
        let from = open.attempts.iter().rev().find(|a| open.state.is_some_and(|(r, _)| r == a.entry.id));
        let crossing = from.map(|a| a.entry.cell).filter(|cell| *cell != entry.cell);
        open.attempts.push(Attempt {
            entry,
            sent: now,
            reads,
            tokens: if reads { missing } else { 0.0 },
            ahead,
            crossing,
            ended: false,
            may_have_run: role != Role::Reader, // reading has no effect
        });
        let attempt = open.attempts.len() - 1;
        let timeout = (!self.settings.limits.cancel).then_some(patience);
        out.push(Action::Send { request: id, server: to, timeout });
        if timeout.is_none() {
            self.wake(now + patience, Wake::Patience(id, attempt), out);
        }
    }

    fn on_started(&mut self, now: Micros, id: RequestId, attempt: u32, from: ServerId) {
        self.hear(now, from, true, None);
        let Some(open) = self.requests.get_mut(&id).filter(|open| !open.started) else { return };
        let Some(&a) = open.attempts.get(attempt as usize).filter(|a| !a.ended) else { return };
        open.started = true;
        open.state = None;
        let took = now - a.sent;
        match a.crossing {
            _ if a.reads => {}
            Some(cell) => self.links.entry(cell).or_default().add(now, 1.0, took),
            None => self.first_tokens.add(now, 1.0, took),
        }
        self.slow_starts[1].bear(now, 1.0);
        if let Some(server) = self.servers.get_mut(&from) {
            server.served_to = server.served_to.max(a.sent);
            self.out -= u32::from(server.out > 0);
            server.out = server.out.saturating_sub(1);
            server.unread = (server.unread - a.tokens).max(0.0);
            if a.reads {
                server.pace.add(now, a.tokens + a.ahead + READ_OVERHEAD, took);
                server.kept.record(now, &open.request);
            } else if a.crossing.is_none() {
                server.begins.add(now, 1.0, took);
            }
        }
    }

    fn on_ended(&mut self, now: Micros, ended: Ended, out: &mut Actions) {
        let (id, from) = (ended.request, ended.server);
        let alive =
            matches!(ended.outcome, Outcome::Served | Outcome::Read | Outcome::Full | Outcome::NoState);
        self.hear(now, from, alive, ended.report);
        let Some(open) = self.requests.get_mut(&id) else { return };
        let Some(a) = open.attempts.get_mut(ended.attempt as usize).filter(|a| !a.ended) else { return };
        (a.ended, open.asked, open.draw_key, open.draw) = (true, false, open.draw_key.wrapping_add(1), None);
        a.may_have_run &= !ended.outcome.never_ran();
        self.slow_starts[0].bear(now, f64::from(ended.outcome == Outcome::Read));
        let begun = open.started;
        if let Some(server) = self.servers.get_mut(&from) {
            if !begun {
                self.out -= u32::from(server.out > 0);
                server.out = server.out.saturating_sub(1);
                server.unread = (server.unread - a.tokens).max(0.0);
            }
            server.streams -= u32::from(server.role != Role::Reader && server.streams > 0);
            if matches!(ended.outcome, Outcome::Error | Outcome::Served | Outcome::Read) {
                server.faults.forget(now, FAULT_HALF_LIFE);
                server.faults.work += f64::from(ended.outcome == Outcome::Error);
                server.faults.seconds += 1.0;
            }
            learn(now, server, &open.request, a, &ended);
        }
        match ended.outcome {
            Outcome::Read => open.state = Some((from, now)),
            Outcome::NoState => {
                open.state = None;
                out.push(Action::Release(id));
            }
            _ => open.avoid = Some(from),
        }
        // While connections fail to come up, the time of what is held runs on.
        if let Some((_, since)) = open.state.as_mut().filter(|_| ended.outcome != Outcome::ConnectFailed) {
            *since = now;
        }
        // One connection may break at a server that is well; where the process has died, the next one tells.
        let server = self.servers.get_mut(&from).filter(|_| !begun);
        let broken =
            server.is_some_and(|s| ended.outcome == Outcome::Reset && std::mem::replace(&mut s.broke, true));
        if broken || ended.outcome == Outcome::ConnectFailed && !begun {
            self.eject(now, from, out);
        }
        let Some(open) = self.requests.get_mut(&id) else { return };
        if ended.settled || open.over {
            open.over = true;
            if open.holds() {
                out.push(Action::Release(id));
            }
            if open.out().is_none() {
                self.requests.remove(&id);
            }
            return;
        }
        self.advance(now, id, out);
    }

    /// The client hears at once, and when to come back: later for want of capacity, soon if only this way was
    /// blocked, at once if its time ran out.
    fn give_up(&mut self, id: RequestId, later: Micros, out: &mut Actions) {
        let Some(open) = self.requests.get(&id).filter(|open| !open.started) else { return };
        let ran = open.attempts.iter().any(|a| a.may_have_run || !a.ended);
        let refuse = match self.class(&open.request).effect {
            Effect::Safe | Effect::Keyed(KeyGroup::All) => true,
            Effect::Keyed(KeyGroup::Zone | KeyGroup::Cell) | Effect::Unsafe => !ran,
        };
        let retry_after = Some(later);
        let answer = if refuse { Action::Refuse { request: id, retry_after } } else { Action::Fail(id) };
        self.close(id, Some(answer), out);
    }

    /// Nothing more is owed after this: the attempt that is out is cancelled, what is held is let go.
    fn close(&mut self, id: RequestId, answer: Option<Action>, out: &mut Actions) {
        let Some(open) = self.requests.get_mut(&id).filter(|open| !open.over) else { return };
        open.over = true;
        out.extend(answer);
        if open.out().is_some() && !open.started && self.settings.limits.cancel {
            let attempt = open.attempts.len() as u32 - 1;
            out.push(Action::Cancel { request: id, attempt });
        }
        if open.holds() {
            out.push(Action::Release(id));
        }
        if open.out().is_none() {
            self.requests.remove(&id);
        }
    }

    fn wake(&mut self, at: Micros, wake: Wake, out: &mut Actions) {
        self.timers += 1;
        self.due.insert((at, self.timers), wake);
        out.push(Action::SetTimer { at, timer: TimerId(self.timers) });
    }

    fn on_timer(&mut self, now: Micros, out: &mut Actions) {
        while let Some(first) = self.due.first_entry().filter(|e| e.key().0 <= now) {
            match first.remove() {
                Wake::Maintenance => self.maintain(now, out),
                Wake::Patience(id, attempt) => self.on_patience(now, id, attempt, out),
                Wake::Again(id) => self.advance(now, id, out),
                Wake::Deadline(id) => self.give_up(id, self.settings.step, out),
            }
        }
    }

    fn maintain(&mut self, now: Micros, out: &mut Actions) {
        self.wake(now + MAINTENANCE_EVERY, Wake::Maintenance, out);
        for server in self.servers.values_mut() {
            server.kept.expire(now);
            server.since.retain(|(at, _)| at + REPORT_OLD > now);
        }
        let keeps = |key: &Key, id| self.servers.get(&id).is_some_and(|s| s.kept.has(key));
        self.roster.forget(keeps);
        self.average(now);
    }
}
