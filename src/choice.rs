//! Every decision of the router, in the order in which a request meets them. The data that goes in and
//! comes out (settings, events, actions, ids) is in `src/interface.rs`.
//!
//! The rule: a prompt goes to the ready reader with the lowest weight x missing tokens + pending load; after
//! the read, a writer with room in that reader's cell fetches the state and answers.

mod kept_prefixes;
mod ranking;

use std::collections::{BTreeMap, BTreeSet};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use self::kept_prefixes::{KeptPrefixes, Key, keys};
use self::ranking::ranked;
use crate::interface::*;
use crate::pace::{PACE_HALF_LIFE, Pace};
use crate::roster::{Look, Roster, even_lot};
use crate::slow_start::{Draw, SlowStart, warmth};

/// Weight of a missing token against a token of load: each move also pushes others' kept text out.
const OVERLAP_WEIGHT: f64 = 4.0;
/// Readers at which peers are presumed to keep a prefix: one alone would be jammed by a much used one.
const HOMES: f64 = 3.0;
/// Dispatchers are many if there are more than this many to a reader.
const MANY: f64 = 2.0;
/// A report stays the same for a while, and all who see a reader empty send there: until the next one, up
/// to this many times its even part of what all dispatchers have to send.
const HERD: f64 = 3.0;
/// A writer whose memory share is under this has room.
const ROOM: f64 = 0.9;
/// A mixed server reads while its memory share is at most this much over the writers' mean: its own share.
const MIXED_LEAD: f64 = 0.05;
/// Part of the longest answer that a stream is taken to hold on average, where there is no hint.
const ANSWER_PART: f64 = 0.25;
/// A report shows a server as it was up to this long before: sends since then may not be in it.
const REPORT_LAG: Micros = 600_000;
/// A report older than this says nothing any more.
const REPORT_OLD: Micros = 5_000_000;
/// Pace of a reader in tokens a second before any read was seen.
const FIRST_PACE: f64 = 12_000.0;
/// Tokens to read for one request before any came (a guess): a queue may be told in requests.
const FIRST_READ: f64 = 2_000.0;
/// Tokens that a read costs besides its own (steps, network), so that short reads don't look slow.
const READ_OVERHEAD: f64 = 300.0;
/// A writer's own times to the first token are mixed with so many at the mean of all.
const WAIT_PRIOR: f64 = 2.0;
/// A writer has no room if its first tokens take this multiple of the quickest writer's...
const SLOW: f64 = 2.0;
/// ... and this part of the aim: it is slow or jammed, whatever its memory says.
const SLOW_LEAST: f64 = 0.3;
/// Part of the shortest aim that the way to the first token may take: estimates err, and peers send too.
const ADMIT: f64 = 0.85;
/// The least that little worth shortens this: in quiet times everything is served.
const WORTH_LEAST: f64 = 0.3;
/// With fewer own attempts in flight than this, only a fresh report turns a request away, or, where
/// dispatchers are many, the mean of all readers: probes that wait in a jam come back too late.
const TO_SEE: u32 = 2;
/// A tenant is over its share beyond this many times the spread that chance gives: few arrivals prove little.
const OVER: f64 = 2.0;
/// A server's own pace is mixed with so many seconds at the pace of all: one odd read proves little.
const PACE_PRIOR: f64 = 0.5;
/// An attempt gets this multiple of its expected time before its server is asked after...
const PATIENCE: f64 = 4.0;
/// ... but never less than this: reports and clocks are coarse.
const PATIENCE_LEAST: Micros = 800_000;
/// An attempt is overtaken if one sent so much later was served first: slots mix the order a bit.
const OVERTAKEN: Micros = 400_000;
/// A server in doubt gets one trial after this.
const TRIAL_AFTER: Micros = 2_000_000;
/// A server that was full is this long the last resort of that tenant and class: others may find room there.
const FULL_REST: Micros = 3_000_000;
/// A server is faulty if, of late, this part of what it ended was errors, or half of it for what must not run
/// twice: what may be repeated finds out whether it has recovered...
const FAULTY: f64 = 0.2;
/// ... mixed with so many good ends, so that it gets a trial after a rest...
const FAULT_PRIOR: f64 = 2.0;
/// ... and if there were more than this: one now and then proves nothing.
const FAULTS_LEAST: f64 = 1.2;
/// Half of what is known of a server's errors is forgotten in this time.
const FAULT_HALF_LIFE: f64 = 2.5e6;
/// Part of a cold server's budget that is used; the rest is for chance, and for what was not drawn before.
const COLD_PART: f64 = 0.5;
/// Advice to a client turned away for want of capacity: the answer comes at once, its next try later.
const RETRY_AFTER: Micros = 1_000_000;
/// Pause before a request that found no server looks again, or its client if the attempts are used up: other
/// dispatchers may be let in.
const LOOK_AGAIN: Micros = 50_000;
/// Averages and old entries are seen to this often.
const HOUSEKEEPING: Micros = 200_000;
/// Before a choice, up to this many of the best candidates are asked for a report...
const ASK: f64 = 3.0;
/// ... if all that asking costs at most this part of the result at either choice...
const ASK_SPEND: f64 = 0.01;
/// ... of those whose last report is no longer fresh, that is older than this...
const FRESH: Micros = 300_000;
/// ... and the choice waits for this part of the shortest aim.
const ASK_WAIT: f64 = 0.015;

/// Up to so many servers of a role a choice looks at all, beyond that at those that keep the text and at some
/// by lot: the best of many is little better than the best of some (measured: docs/design/watched-files.md).
const LOOK_AT: Look = Look { all: 128, some: 24 };

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
    begins: Pace, // answers begun, and the seconds to their first tokens
    faults: Pace, // errors, and all that it ended, as seconds
    doubt: bool,  // no sign of life since a failure
    broke: bool,  // nor since a connection broke
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
    lot: u64,           // settles of which cold servers' share it is,
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
    Housekeeping,
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
        let avoids = |s: &&Server| !s.entry.takes_work() || self.unwilling(now, s, &plain).is_some();
        (self.servers.len(), self.servers.values().filter(avoids).count())
    }

    /// Takes one event and appends what is to be done.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Actions) {
        if self.timers == 0 {
            self.wake(now + HOUSEKEEPING, Wake::Housekeeping, out);
            if self.settings.discovery == Discovery::OnRequest {
                out.push(Action::Watch(true));
            }
        }
        match event {
            Event::List(update) => self.on_list(now, update, out),
            Event::Request(request) => self.on_request(now, request, out),
            Event::Started { request, attempt, server, .. } => self.on_started(now, request, attempt, server),
            Event::Ended(ended) => self.on_ended(now, ended, out),
            Event::Gone(id) => self.close(id, None, out),
            Event::StateReleased(id) => self.on_state_released(now, id, out),
            Event::Timer(_) => self.on_timer(now, out),
            Event::Probed { server, outcome, report, .. } => self.on_probed(now, server, outcome, report),
            Event::Place { .. } | Event::Peer { .. } => {}
        }
    }

    // ---- a request comes in

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
        self.requests.insert(id, Open { request, came: now, lot: self.rng.random(), ..Open::default() });
        self.advance(now, id, out);
    }

    /// Takes a request with no attempt out to its next step: a reader, a writer, a pause or its end.
    fn advance(&mut self, now: Micros, id: RequestId, out: &mut Actions) {
        let held_for = self.settings.rules.held_for();
        let Some(open) = self.requests.get_mut(&id) else { return };
        if open.over || open.started || open.out().is_some() {
            return;
        } else if open.state.is_some_and(|(_, since)| now + LOOK_AGAIN > since + held_for) {
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
            return self.give_up(id, LOOK_AGAIN, out);
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
        if self.ask(now, id, &ranked, out) {
            return;
        }
        match ranked.first().copied() {
            Some(reader) if new && self.hopeless(now, id, reader) => {
                return self.give_up(id, RETRY_AFTER, out);
            }
            Some(server) => return self.send(now, id, server, out),
            None if new && (left < 2 || self.too_late(now, id)) => {
                return self.give_up(id, RETRY_AFTER, out);
            }
            None => {}
        }
        let Some(open) = self.requests.get_mut(&id) else { return };
        (open.lot, open.draw) = (self.rng.random(), None); // only cold servers may be left
        self.wake(now + LOOK_AGAIN, Wake::Again(id), out);
    }

    fn on_state_released(&mut self, now: Micros, id: RequestId, out: &mut Actions) {
        if let Some(open) = self.requests.get_mut(&id) {
            open.state = None;
            self.advance(now, id, out);
        }
    }

    /// No server was found within the aim: the client hears it now, not at its deadline.
    fn too_late(&self, now: Micros, id: RequestId) -> bool {
        self.requests.get(&id).is_some_and(|open| now > open.came + self.class(&open.request).aim)
    }

    /// Asks the best candidates for reports before the choice among them, once for each choice. One of
    /// hundreds of dispatchers hears of a server too seldom by its own sends to know its load.
    fn ask(&mut self, now: Micros, id: RequestId, ranked: &[ServerId], out: &mut Actions) -> bool {
        let most = (ASK_SPEND / self.settings.prices.probe.max(1e-6)).min(ASK) as usize;
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
            self.wake(now + self.ask_wait(), Wake::Again(id), out);
        }
        any
    }

    fn shortest_aim(&self) -> f64 {
        self.settings.classes.iter().map(|c| c.aim).min().unwrap_or(0) as f64
    }

    fn ask_wait(&self) -> Micros {
        ((ASK_WAIT * self.shortest_aim()) as Micros).min(self.settings.rules.release_within / 4)
    }

    /// Why a candidate is of last resort: the request failed there, or its like was turned away as full, or
    /// it is in doubt and not due for a trial, answers with errors, or left a probe unanswered for too long.
    fn unwilling(&self, now: Micros, server: &Server, open: &Open) -> Option<LastResort> {
        let silent = server.probed > server.reported.unwrap_or(0) && now >= server.probed + self.ask_wait();
        let doubted = server.doubt && (now < server.trial_at || server.out > 0);
        let full =
            server.full.get(&(open.request.tenant, open.request.class)).is_some_and(|until| now < *until);
        let mut faults = server.faults;
        faults.forget(now, FAULT_HALF_LIFE);
        let strict = match (server.role, self.class(&open.request).effect) {
            (Role::Reader, _) => 2.0, // a read is soon repeated, and few readers make long queues
            (_, Effect::Unsafe) => 0.5,
            _ => 1.0,
        };
        let bound = strict * FAULTY * (faults.seconds + FAULT_PRIOR);
        let faulty = faults.work > bound.max(FAULTS_LEAST);
        let avoided = open.avoid == Some(server.entry.id);
        let reasons = [silent, doubted, full, faulty, avoided];
        reasons.into_iter().zip(LastResort::ALL).find_map(|(is, why)| is.then_some(why))
    }

    /// Whether the answer can't begin within the aim even at the cheapest reader: sent on, it would only
    /// lengthen a queue of late work. Guards against bursts, lost servers, fleets gone slow, and herds: of
    /// all who see the same report, each takes a drawn place in the queue. May hurt where few peers send.
    fn hopeless(&mut self, now: Micros, id: RequestId, reader: ServerId) -> bool {
        let writer = self.rank_writers(now, id, reader).first().copied();
        self.looked.as_mut().map(Vec::clear); // nothing is chosen here
        let chance = if self.thin() { self.rng.random::<f64>() } else { 0.0 };
        let (Some(open), Some(server)) = (self.requests.get(&id), self.servers.get(&reader)) else {
            return false;
        };
        let fresh = server.reported.is_some_and(|at| now - at < FRESH);
        if !fresh && self.out < TO_SEE {
            return self.thin()
                && self.load(now, server, 0.0) / self.pace(now, server) > self.bound(&open.request);
        }
        let cell = server.entry.cell;
        let wait = writer
            .and_then(|id| self.servers.get(&id))
            .map_or(0.0, |w| self.wait(now, Some(cell).filter(|c| *c != w.entry.cell), w));
        let class = self.class(&open.request);
        let longer = class.aim_per_1000_tokens.saturating_mul(open.request.prompt_tokens) / 1000;
        let aim = class.aim.saturating_add(longer).min(open.request.expires.saturating_sub(now));
        let queue = self.load(now, server, 0.0) / self.pace(now, server) + wait;
        let kept = self.presumed(now, server, &open.request, self.strange(&open.request));
        let (missing, pace) = ((open.request.prompt_tokens - kept) as f64, self.pace(now, server));
        let crowded = self.load(now, server, chance * HERD * self.peers_rate()) / pace + wait;
        let hopeless = crowded > self.bound(&open.request) || queue + missing / pace > aim as f64 / 1e6;
        self.offered.add(now, missing, 1_000_000);
        hopeless
    }

    /// Tokens a second that all others have for one reader, if they get what comes in here.
    fn peers_rate(&self) -> f64 {
        let own = self.offered.work * std::f64::consts::LN_2 / PACE_HALF_LIFE * 1e6;
        own * f64::from(self.settings.dispatchers.saturating_sub(1)) / self.readers.count.max(1.0)
    }

    /// Seconds of waiting, beside its own read, for which a request is still taken. All share a queue, so
    /// the shortest aim bounds it; what is worth less goes first, and before that what is over its share.
    fn bound(&self, request: &Request) -> f64 {
        let classes = &self.settings.classes;
        let most = classes.iter().map(|c| c.worth).fold(f64::MIN_POSITIVE, f64::max);
        let class = &classes[usize::from(request.class.0)];
        let over = request.tenant.map(|t| usize::from(t.0)).is_some_and(|t| {
            let quota = self.settings.tenants.get(t).map_or(0.0, |t| t.quota_per_s);
            let fair =
                quota / f64::from(self.settings.dispatchers) / std::f64::consts::LN_2 * PACE_HALF_LIFE / 1e6;
            self.tenants.get(t).is_some_and(|seen| seen.work > fair + OVER * fair.sqrt())
        });
        let worth = class.worth / most * if over { self.settings.over_share_worth } else { 1.0 };
        ADMIT * self.shortest_aim() / 1e6 * worth.max(WORTH_LEAST)
    }

    // ---- the reader

    /// The usable readers by cost, with mixed servers within their share; writers only if none is listed.
    /// Where dispatchers are many, those that are no place of this session or prefix come last: all would
    /// send to the one that looks empty, and sessions move with every wave. May hurt in uneven fleets.
    fn rank_readers(&mut self, now: Micros, id: RequestId, two_left: bool) -> Vec<ServerId> {
        let Some(open) = self.requests.get(&id) else { return Vec::new() };
        let (strange, thin) = (self.strange(&open.request), self.thin());
        let writers_read = self.settings.limits.writers_read && self.readers.count <= 0.0;
        let (mut found, mut home, share) = (Vec::new(), None, ROOM.min(self.writers.memory + MIXED_LEAD));
        for sid in self.roster.readers(&mut self.rng, keys(&open.request).map(|(key, _)| key), LOOK_AT) {
            let Some(server) = self.servers.get(&sid) else { continue };
            let unfit = match server.role {
                Role::Reader => (!two_left).then_some(Barred::LastAttempt),
                Role::Writer if !writers_read => Some(Barred::Role),
                _ => (self.memory_share(now, server) >= share).then_some(Barred::Memory),
            };
            let barred = unfit.or_else(|| self.barred(now, server, open, false));
            let far = f64::from(server.entry.zone != self.settings.zone);
            let price = far * self.settings.prices.cross_zone * self.class(&open.request).aim as f64 / 1e6;
            // Seconds until the prompt is read: weight x missing tokens + load, at the server's pace.
            let missing = open.request.prompt_tokens - self.presumed(now, server, &open.request, strange);
            let (load, pace) = (self.load(now, server, 0.0), self.pace(now, server));
            let cost = (OVERLAP_WEIGHT * missing as f64 + load) / pace + price;
            let unwilling = self.unwilling(now, server, open);
            let kept =
                server.kept.tokens_of(now, &open.request) > 0 || self.homely(&open.request, server) >= 1.0;
            let cold = self.warmth(now, server) < 1.0; // and this request is of its share
            let class = u8::from(thin && !kept && !cold);
            if let Some(looked) = &mut self.looked {
                let cost = Cost::Read { missing, load, pace, price, cost };
                looked.push(Candidate { server: sid, barred, last_resort: unwilling, class, cost });
            }
            if barred.is_some() {
                continue;
            }
            let unwilling = unwilling.is_some();
            let place =
                far - open.request.session.map_or_else(|| self.rng.random(), |key| lot(key.0, server));
            if home.is_none_or(|(u, p, _)| (unwilling, place) < (u, p)) {
                home = Some((unwilling, place, found.len()));
            }
            let chance = (self.rng.random(), server.weight);
            found.push((unwilling, class, cost, chance, sid));
        }
        if let Some((_, _, at)) = home {
            found[at].1 = 0;
        }
        ranked(found)
    }

    /// Prompt tokens that the server may keep for the request: by the table, or by what peers may have sent.
    /// All presume the same homes of a prefix, drawn by lot, and, by falling chance, the same places of a
    /// session in its client's zone: each of hundreds of dispatchers sees too little to meet either twice.
    fn presumed(&self, now: Micros, server: &Server, request: &Request, strange: bool) -> u64 {
        let near = server.entry.zone == self.settings.zone && server.role == Role::Reader;
        let own = match request.session.filter(|_| strange && near) {
            Some(key) => request.prompt_tokens as f64 * is_home(key.0, server, 1.0, self.near_readers),
            None => 0.0,
        };
        let shared = request.prefix_tokens as f64 * self.homely(request, server);
        server.kept.tokens_of(now, request).max(own.max(shared) as u64).min(request.prompt_tokens)
    }

    /// The chance that the reader is a home of the request's prefix.
    fn homely(&self, request: &Request, server: &Server) -> f64 {
        request.prefix.map_or(0.0, |key| is_home(key.0, server, HOMES, self.readers.count))
    }

    /// Dispatchers are many: each sees too little to know a reader or a session by its own sends.
    fn thin(&self) -> bool {
        f64::from(self.settings.dispatchers) > MANY * self.readers.count
    }

    /// Other dispatchers may have met the session; this one has not.
    fn strange(&self, request: &Request) -> bool {
        let Some(key) = request.session.map(Key::Session).filter(|_| self.thin()) else { return self.thin() };
        let keeps = |id: &ServerId| self.servers.get(id).is_some_and(|s| s.kept.has(&key));
        !self.roster.keepers(&key).iter().any(keeps)
    }

    /// Prompt tokens that wait there: own unread ones, and what a report showed beyond them, less what can
    /// have been read since, and with what a crowd sent at so many tokens a second in the life of a report.
    fn load(&self, now: Micros, server: &Server, crowd: f64) -> f64 {
        let others = match server.reported {
            Some(at) if now - at < REPORT_OLD => {
                let since = now - at + REPORT_LAG / 2;
                let sent = crowd * since.min(REPORT_LAG) as f64;
                server.others + (sent - self.pace(now, server) * since as f64) / 1e6
            }
            _ if self.warmth(now, server) < 1.0 => 0.0, // its share keeps it from being full
            _ => self.readers.load * server.weight,
        };
        server.unread + others.max(0.0)
    }

    /// Tokens a second, as seen there of late, leaning on what all show.
    fn pace(&self, now: Micros, server: &Server) -> f64 {
        let prior = self.readers.pace * self.warmth(now, server) * server.weight;
        let mut own = server.pace;
        own.decay(now);
        (own.work + PACE_PRIOR * prior) / (own.seconds + PACE_PRIOR)
    }

    // ---- the writer

    /// The emptiest writer with room in the reader's cell, else elsewhere, else the near one with fewest own.
    fn rank_writers(&mut self, now: Micros, id: RequestId, reader: ServerId) -> Vec<ServerId> {
        let Some(open) = self.requests.get(&id) else { return Vec::new() };
        let read_at = open.attempts.iter().rev().find(|a| a.entry.id == reader).map(|a| a.entry);
        let entry = read_at.or(self.servers.get(&reader).map(|s| s.entry));
        let slow = SLOW_LEAST * self.class(&open.request).aim as f64 / 1e6;
        let mut found = Vec::new();
        for sid in self.roster.writers(&mut self.rng, entry.map(|e| e.cell), LOOK_AT) {
            let Some(server) = self.servers.get(&sid) else { continue };
            let near = entry.is_some_and(|e| e.cell == server.entry.cell);
            let share = self.memory_share(now, server);
            let wait = self.wait(now, entry.map(|e| e.cell).filter(|_| !near), server);
            let room = share < ROOM && wait < SLOW * self.writers.least + slow;
            let (class, measure) = match (room, near, server.role) {
                (true, true, Role::Writer) => (0, share),
                (true, true, _) => (1, share),
                (true, false, _) => (2, share),
                (false, near, _) => (4 - u8::from(near), f64::from(server.streams) / server.weight),
            };
            let barred = self.barred(now, server, open, near);
            let last_resort = self.unwilling(now, server, open);
            if let Some(looked) = &mut self.looked {
                let cost = Cost::Write { near, memory: share, wait, room, streams: server.streams };
                looked.push(Candidate { server: sid, barred, last_resort, class, cost });
            }
            if barred.is_none() {
                let chance = (self.rng.random(), server.weight);
                found.push((last_resort.is_some(), class, measure, chance, sid));
            }
        }
        ranked(found)
    }

    /// Share of its memory that is held: the last report and own streams since.
    fn memory_share(&self, now: Micros, server: &Server) -> f64 {
        let since: f64 = server.since.iter().map(|(_, tokens)| tokens).sum();
        let base = match (server.reported, server.report.memory_share) {
            (Some(at), Some(share)) if now - at < REPORT_OLD => share,
            _ => self.writers.memory,
        };
        base + since / (server.memory * server.weight)
    }

    /// Seconds from a send to the first token, as seen at the writer of late, leaning on all. A state that
    /// has to cross the link of its reader's cell waits for that too, and it may be slow by itself.
    fn wait(&self, now: Micros, crossing: Option<CellId>, server: &Server) -> f64 {
        let mean = |mut seen: Pace| {
            seen.decay(now);
            (seen.seconds + WAIT_PRIOR * self.writers.wait) / (seen.work + WAIT_PRIOR)
        };
        let link = crossing.and_then(|cell| self.links.get(&cell));
        mean(server.begins).max(link.map_or(0.0, |link| mean(*link)))
    }

    // ---- what may be sent where

    /// Whether the request must not go there; near is a writer in the cell of the read.
    fn barred(&self, now: Micros, server: &Server, open: &Open, near: bool) -> Option<Barred> {
        if server.entry.state != ServerState::Ready {
            Some(Barred::Draining)
        } else if server.weight <= 0.0 {
            Some(Barred::NoWeight)
        } else if !self.effect_allows(now, &server.entry, open) {
            Some(Barred::MayHaveRun)
        } else {
            let cold = self.warmth(now, server) < 1.0 && !self.is_share(now, server, open, near);
            cold.then_some(Barred::ColdShare)
        }
    }

    /// No effect twice: after an attempt that may have run, only where repeats are harmless or discarded.
    fn effect_allows(&self, now: Micros, entry: &ServerEntry, open: &Open) -> bool {
        let class = self.class(&open.request);
        open.attempts.iter().filter(|a| a.may_have_run).all(|a| {
            let discards = match class.effect {
                Effect::Keyed(KeyGroup::Zone) => a.entry.zone == entry.zone,
                Effect::Keyed(KeyGroup::Cell) => a.entry.cell == entry.cell,
                Effect::Safe | Effect::Unsafe | Effect::Keyed(KeyGroup::All) => true,
            };
            discards && now < class.repeats_until(a.sent)
        })
    }

    /// Whether a request is of the part that a cold server may be sent: its multiple of what a warm one has
    /// borne of late. That sums up right over any number of dispatchers, known or not, busy or idle.
    fn is_share(&self, now: Micros, server: &Server, open: &Open, near: bool) -> bool {
        let draw = open.draw.map_or(0.0, |draw| if near { draw.near } else { draw.far });
        let looks = if server.role == Role::Mixed && self.readers.count > 0.0 { 2.0 } else { 1.0 };
        let share = self.slow_starts[usize::from(server.role != Role::Reader)].share(draw) / looks;
        even_lot(open.lot, server.entry.id) < share * self.warmth(now, server) * server.weight
    }

    /// Share of its capacity that a server surely has, by the time since its start.
    fn warmth(&self, now: Micros, server: &Server) -> f64 {
        warmth(now, &self.settings.rules, &server.entry)
    }

    fn class(&self, request: &Request) -> &Class {
        &self.settings.classes[usize::from(request.class.0)]
    }

    // ---- sending

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

    /// An attempt is out for long. A server not heard since the send is asked; if it stays silent, or answers
    /// only probes for the whole aim, it is in doubt and the attempt is given up. Others are only slow, as a
    /// reader with a queue longer than the time waited, or, where dispatchers are many and know no link, a
    /// writer that fetches over one: reads may not stop, a move begins anew. May hurt: a hung server that
    /// answers probes.
    fn on_patience(&mut self, now: Micros, id: RequestId, attempt: usize, out: &mut Actions) {
        let Some(open) = self.requests.get(&id).filter(|o| !o.over && !o.started) else { return };
        let Some(a) = open.out().filter(|_| open.attempts.len() == attempt + 1) else { return };
        let (to, sent, reads, aim) = (a.entry.id, a.sent, a.reads, self.class(&open.request).aim);
        let crosses = self.thin() && a.crossing.is_some();
        let repeats = reads || self.class(&open.request).effect == Effect::Safe;
        let Some(server) = self.servers.get(&to) else { return };
        let queue = if reads { self.load(now, server, 0.0) / self.pace(now, server) * 1e6 } else { 0.0 };
        let jammed = server.reported >= Some(sent) && (crosses || now < sent + aim.max(queue as Micros));
        // It serves in order, and has long served what was sent later: only this connection is silent.
        if repeats && server.served_to > sent + OVERTAKEN {
            return out.push(Action::Cancel { request: id, attempt: attempt as u32 });
        }
        let answers = server.heard >= sent || jammed;
        let Some(server) = self.servers.get_mut(&to) else { return };
        if !answers && (server.probed >= sent || !self.settings.limits.probes) {
            self.doubt(now, to, out);
            return out.push(Action::Cancel { request: id, attempt: attempt as u32 });
        } else if !answers {
            server.probed = now;
            out.push(Action::Probe(to));
        }
        self.wake(now + PATIENCE_LEAST / 2, Wake::Patience(id, attempt), out);
    }

    fn doubt(&mut self, now: Micros, to: ServerId, out: &mut Actions) {
        let Some(server) = self.servers.get_mut(&to) else { return };
        if !std::mem::replace(&mut server.doubt, true) {
            out.push(Action::Ejected(to));
        }
        server.trial_at = now + TRIAL_AFTER;
    }

    fn hear(&mut self, now: Micros, from: ServerId, alive: bool, report: Option<Report>) {
        let read = (self.offered.work + FIRST_READ) / (self.offered.seconds + 1.0);
        let Some(server) = self.servers.get_mut(&from) else { return };
        if let Some(report) = report {
            let waiting = report.waiting_tokens.or(report.waiting.map(|count| count * read)).unwrap_or(0.0);
            server.others = (waiting - server.unread).max(0.0);
            server.report = report;
            server.reported = Some(now);
            server.since.retain(|(at, _)| at + REPORT_LAG >= now);
        }
        if alive {
            (server.heard, server.doubt, server.broke) = (now, false, false);
        }
    }

    // ---- answers

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
        (a.ended, open.asked, open.lot, open.draw) = (true, false, open.lot.wrapping_add(1), None);
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
            self.doubt(now, from, out);
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

    // ---- the end of a request

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

    // ---- the list of servers

    fn on_list(&mut self, now: Micros, update: ListUpdate, out: &mut Actions) {
        match update.scope {
            ListScope::Failed => {
                if self.settings.discovery == Discovery::OnRequest {
                    out.push(Action::Watch(true));
                }
                return;
            }
            ListScope::Full | ListScope::Cached => {
                let named: BTreeSet<ServerId> = update.entries.iter().map(|entry| entry.id).collect();
                self.servers.retain(|id, _| named.contains(id));
            }
            ListScope::Changes => {}
        }
        for entry in update.entries {
            let restarted = |s: &Server| s.entry.started != entry.started; // nothing known of it holds
            let gone = entry.state == ServerState::Gone;
            if gone || self.servers.get(&entry.id).is_some_and(restarted) {
                self.servers.remove(&entry.id);
            }
            let kind = self.settings.kinds.get(usize::from(entry.kind.0));
            let Some(kind) = kind.filter(|_| !gone) else { continue };
            let (role, memory, weight) = (kind.role, kind.memory_tokens as f64, entry.weight);
            let fresh = || Server { entry, role, memory, weight, heard: now, ..Server::default() };
            self.servers.entry(entry.id).or_insert_with(fresh).entry = entry;
        }
        self.out = self.servers.values().map(|server| server.out).sum();
        let each = |(id, s): (&ServerId, &Server)| (*id, s.role, s.entry.cell, s.entry.takes_work());
        self.roster.list(LOOK_AT, self.servers.iter().map(each));
        self.weigh();
        self.average(now);
    }

    /// Weights count against the mean of those of a role that take work.
    fn weigh(&mut self) {
        let mut sums = [(0.0, 0.0); 3];
        for server in self.servers.values().filter(|s| s.entry.weight > 0.0) {
            let (sum, count) = &mut sums[server.role as usize];
            (*sum, *count) = (*sum + server.entry.weight, *count + 1.0);
        }
        for server in self.servers.values_mut() {
            let (sum, count) = sums[server.role as usize];
            server.weight = if sum > 0.0 { server.entry.weight * count / sum } else { 0.0 };
        }
    }

    // ---- time

    fn wake(&mut self, at: Micros, wake: Wake, out: &mut Actions) {
        self.timers += 1;
        self.due.insert((at, self.timers), wake);
        out.push(Action::SetTimer { at, timer: TimerId(self.timers) });
    }

    fn on_timer(&mut self, now: Micros, out: &mut Actions) {
        while let Some(first) = self.due.first_entry().filter(|e| e.key().0 <= now) {
            match first.remove() {
                Wake::Housekeeping => self.keep_house(now, out),
                Wake::Patience(id, attempt) => self.on_patience(now, id, attempt, out),
                Wake::Again(id) => self.advance(now, id, out),
                Wake::Deadline(id) => self.give_up(id, self.settings.step, out),
            }
        }
    }

    fn keep_house(&mut self, now: Micros, out: &mut Actions) {
        self.wake(now + HOUSEKEEPING, Wake::Housekeeping, out);
        for server in self.servers.values_mut() {
            server.kept.expire(now);
            server.since.retain(|(at, _)| at + REPORT_OLD > now);
        }
        let keeps = |key: &Key, id| self.servers.get(&id).is_some_and(|s| s.kept.has(key));
        self.roster.forget(keeps);
        self.average(now);
    }

    fn average(&mut self, now: Micros) {
        self.first_tokens.decay(now);
        self.writers.wait = (self.first_tokens.seconds + 0.1) / (self.first_tokens.work + 1.0);
        let (mut near, mut least, mut work, mut seconds) = (0.0, f64::INFINITY, FIRST_PACE, 1.0);
        let mut sums = [(0.0, Fleet::default()); 2]; // heard, and the rest, of readers and others
        for (of, slow_start) in self.slow_starts.iter_mut().enumerate() {
            let servers = self.servers.values().filter(|s| usize::from(s.role != Role::Reader) == of);
            slow_start.count(now, servers.map(|s| (s.entry, s.weight)));
        }
        for server in self.servers.values() {
            let reading = server.role == Role::Reader;
            let (heard, fleet) = &mut sums[usize::from(!reading)];
            if server.reported.is_some_and(|at| now - at < REPORT_OLD) {
                fleet.load += self.load(now, server, 0.0) - server.unread;
                fleet.memory += server.report.memory_share.unwrap_or(0.0);
                *heard += 1.0;
            }
            fleet.count += 1.0;
            if reading {
                near += f64::from(server.entry.zone == self.settings.zone);
                let mut own = server.pace;
                own.decay(now);
                work += own.work;
                seconds += own.seconds;
            } else {
                least = least.min(self.wait(now, None, server));
            }
        }
        self.near_readers = near;
        self.writers.least = if least.is_finite() { least } else { self.writers.wait };
        for (reading, (heard, sum)) in [true, false].into_iter().zip(sums) {
            let fleet = if reading { &mut self.readers } else { &mut self.writers };
            let count = f64::max(heard, 1.0);
            (fleet.count, fleet.load, fleet.memory) = (sum.count, sum.load / count, sum.memory / count);
            fleet.pace = work / seconds;
        }
    }

    fn on_probed(&mut self, now: Micros, from: ServerId, outcome: Outcome, report: Option<Report>) {
        let told = outcome == Outcome::Served && report.is_none() || outcome == Outcome::Reset;
        self.hear(now, from, false, report);
        if let Some(server) = self.servers.get_mut(&from).filter(|_| told) {
            server.probed = 0; // it has nothing to report yet, or hung up on the probe: that is no silence
        }
    }
}

/// A number in [0, 1) that every dispatcher finds for this key at this server, the nearer to 1 the heavier.
fn lot(key: u64, server: &Server) -> f64 {
    let even = even_lot(key, server.entry.id);
    if server.weight == 1.0 { even } else { even.powf(1.0 / server.weight) }
}

/// The chance that a server is one of a key's homes among so many, by its place in the key's order.
fn is_home(key: u64, server: &Server, homes: f64, count: f64) -> f64 {
    (homes / ((1.0 - lot(key, server)) * count)).min(1.0)
}

/// What the end of an attempt tells of its server.
fn learn(now: Micros, server: &mut Server, request: &Request, a: &Attempt, ended: &Ended) {
    match ended.outcome {
        Outcome::Read => {
            let missing = request.prompt_tokens.saturating_sub(ended.kept_tokens) as f64;
            server.pace.add(now, missing + a.ahead + READ_OVERHEAD, ended.took);
            server.full.remove(&(request.tenant, request.class));
            server.served_to = server.served_to.max(a.sent);
            server.kept.record(now, request);
        }
        Outcome::Full => {
            server.full.insert((request.tenant, request.class), now + FULL_REST);
        }
        // Its process is down, and with it what it kept; a connection alone breaks at servers that are well.
        Outcome::ConnectFailed => server.kept.clear(),
        _ => {}
    }
}
