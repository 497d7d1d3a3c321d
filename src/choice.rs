//! All decisions of the router, in the order in which they apply to a request. The input and output data
//! (settings, events, actions, ids) is defined in `src/interface.rs`.
//!
//! A prompt goes to the ready reader with the lowest weight x missing tokens + pending load. After the read,
//! a writer with free capacity in that reader's cell fetches the state and answers.

mod admission;
mod eligibility;
mod health;
mod kept_prefixes;
mod load_estimate;
mod ranking;
mod reader_selection;
mod schedule;
mod server_list;
mod writer_selection;

use std::collections::{BTreeMap, BTreeSet};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use self::health::record_outcome;
use self::kept_prefixes::{KeptKey, KeptPrefixes, kept_keys};
use self::ranking::rank_candidates;
use self::schedule::{Schedule, TimerTask};
use crate::interface::*;
use crate::pace::{DEFAULT_HALF_LIFE_US, DecayedSums};
use crate::roster::{Roster, SampleSize, rendezvous_hash};
use crate::slow_start::{Draw, SlowStart, warmth};

/// A writer has capacity for another stream while its memory share is below this.
const MAX_WRITER_MEMORY_SHARE: f64 = 0.9;
/// The fraction of the longest answer that a stream is assumed to hold on average if there is no hint.
const MEAN_ANSWER_FRACTION: f64 = 0.25;
/// Fixed cost of a read (steps, network) in tokens, added so that short reads do not make a server look slow.
const READ_OVERHEAD_TOKENS: f64 = 300.0;
/// A load report older than this is ignored.
const REPORT_MAX_AGE: Micros = 5_000_000;
/// Read rate of a reader in tokens per second before any read has been observed.
const INITIAL_READ_RATE: f64 = 12_000.0;
/// An attempt is overdue, and its server is checked, after this multiple of its expected time...
const OVERDUE_MULTIPLE: f64 = 4.0;
/// ... but not before this time, because reports and clocks are coarse.
const MIN_OVERDUE_AFTER: Micros = 800_000;
/// Half-life of the observed outcomes from which a server's error rate is computed.
const ERROR_HALF_LIFE_US: f64 = 2.5e6;
/// The fraction of a cold server's budget that is used. The rest covers random variation and tokens that were
/// earned earlier and not drawn.
const COLD_BUDGET_FRACTION: f64 = 0.5;
/// Retry delay advised to a client that is refused for lack of capacity. The refusal itself is sent at once.
const CAPACITY_RETRY_AFTER: Micros = 1_000_000;
/// Pause before another choice if no server was found, and the retry delay advised to a client whose request
/// has used up its attempts: other dispatchers may be admitted.
const RESELECT_AFTER: Micros = 50_000;
/// Interval at which averages are recomputed and expired entries are dropped.
const MAINTENANCE_INTERVAL: Micros = 200_000;
/// Before a choice, up to this many of the best candidates are probed for a report...
const MAX_PROBES: f64 = 3.0;
/// ... as far as the probes of a choice cost at most this fraction of the result...
const MAX_PROBE_COST: f64 = 0.01;
/// ... if their last report is older than this...
const FRESH_REPORT_AGE: Micros = 300_000;
/// ... and the choice waits for this fraction of the shortest aim.
const REPORT_WAIT_FRACTION: f64 = 0.015;

/// In a role with up to `full_scan_limit` servers, a choice considers each of them. In a larger one it
/// considers those that keep the request's text and `drawn` others at random: the best of many is little
/// better than the best of a few (docs/design/watched-files.md).
const SAMPLE: SampleSize = SampleSize { full_scan_limit: 128, drawn: 24 };

/// What is known of one listed server.
#[derive(Default)]
struct Server {
    entry: ServerEntry,
    role: Role,
    memory_tokens: f64,
    /// Capacity relative to the mean of its role; a server of weight 0 takes nothing new.
    weight: f64,
    kept: KeptPrefixes,
    /// Prompt tokens that this dispatcher has sent and the server has not yet read.
    unread_tokens: f64,
    /// Tokens beyond those that wait at the server according to its last report.
    other_waiting_tokens: f64,
    /// Own streams that the last report cannot include yet: when each was sent, and its tokens.
    unreported_streams: Vec<(Micros, f64)>,
    report: Report,
    reported_at: Option<Micros>,
    last_alive_at: Micros,
    /// Send time of the latest own attempt that the server has read or begun to answer.
    latest_served_sent_at: Micros,
    /// Own pending attempts that have not begun to answer.
    pending_attempts: u32,
    /// Own answers that are being written or are waiting to be.
    streams: u32,
    read_rate: DecayedSums,
    /// Answers begun without a link between cells, and the seconds to their first tokens.
    first_token_times: DecayedSums,
    /// Recent errors as `work`, and recent errors, reads and answers as `seconds`.
    errors: DecayedSums,
    /// Avoided because attempts failed, apart from trial attempts, until it handles an attempt again.
    ejected: bool,
    /// A connection to it was reset; cleared like `ejected`.
    was_reset: bool,
    trial_at: Micros,
    /// Tenants and classes that were refused as full, and until when each avoids the server.
    full_until: BTreeMap<(Option<TenantId>, ClassId), Micros>,
    probed_at: Micros,
}

/// One attempt of a request.
#[derive(Clone, Copy)]
struct Attempt {
    entry: ServerEntry,
    sent_at: Micros,
    /// The server reads the prompt.
    reads: bool,
    /// Prompt tokens that the server has to read for this attempt.
    missing_tokens: f64,
    /// Tokens that waited at the server when the attempt was sent.
    queued: f64,
    /// The reader's cell, if the read state has to cross that cell's link.
    link_cell: Option<CellId>,
    ended: bool,
    may_have_run: bool,
}

/// A request that has not been removed yet.
#[derive(Default)]
struct OpenRequest {
    request: Request,
    arrived_at: Micros,
    attempts: Vec<Attempt>,
    /// The reader at which the read state waits, and since when no writer has it.
    state: Option<(ServerId, Micros)>,
    started: bool,
    /// The final answer has been given or is no longer owed.
    finished: bool,
    avoided_server: Option<ServerId>,
    /// Candidates have been probed for reports before the choice that is due.
    probed: bool,
    /// Determines, together with the draw, which cold servers may be sent the request.
    draw_key: u64,
    /// The share of cold servers in the choice that is due, once it has been drawn.
    draw: Option<Draw>,
}

impl OpenRequest {
    /// Returns the attempt that has not ended, if there is one.
    fn pending_attempt(&self) -> Option<&Attempt> {
        self.attempts.last().filter(|a| !a.ended)
    }

    /// Returns true if a server may still hold a read state for the request.
    fn may_hold_state(&self) -> bool {
        !self.started && self.attempts.iter().any(|a| a.reads)
    }
}

/// Averages over all servers of a role.
#[derive(Clone, Copy, Default)]
struct FleetAverages {
    count: f64,
    load: f64,
    memory_share: f64,
    read_rate: f64,
    /// Seconds from a send to the first token (TTFT).
    ttft_secs: f64,
    /// The same at the quickest writer.
    min_ttft_secs: f64,
}

/// Makes the decisions of one dispatcher.
pub struct Router {
    settings: Settings,
    rng: Pcg64Mcg,
    servers: BTreeMap<ServerId, Server>,
    roster: Roster<KeptKey>,
    /// Own pending attempts at all servers that have not begun to answer.
    total_pending: u32,
    requests: BTreeMap<RequestId, OpenRequest>,
    schedule: Schedule,
    readers: FleetAverages,
    writers: FleetAverages,
    /// Slow start of readers, and of all other servers.
    slow_starts: [SlowStart; 2],
    readers_in_zone: f64,
    /// Tokens to be read for the requests that arrived, admitted or not, and their count as seconds.
    offered: DecayedSums,
    /// Answers whose state did not cross a link between cells, and the seconds to their first tokens.
    local_first_token_times: DecayedSums,
    tenant_arrivals: Vec<DecayedSums>,
    /// The same of states that left a cell, by the reader's cell.
    crossing_first_token_times: BTreeMap<CellId, DecayedSums>,
    /// The candidates of the present choice, if choices are observed.
    observed: Option<Vec<Candidate>>,
}

/// The actions that one event leads to, in the order in which they are carried out.
type Actions = Vec<Action>;

impl Router {
    /// Creates a router that knows no servers yet. Settings that contradict themselves are refused.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Result<Self, SettingsError> {
        settings.check()?;
        let empty_rate = DecayedSums { updated_at: now, ..DecayedSums::default() };
        Ok(Router {
            slow_starts: [(); 2].map(|()| SlowStart::new(&settings.rules, COLD_BUDGET_FRACTION)),
            crossing_first_token_times: BTreeMap::new(),
            tenant_arrivals: vec![empty_rate; settings.tenants.len()],
            settings,
            rng: Pcg64Mcg::seed_from_u64(seed),
            servers: BTreeMap::new(),
            roster: Roster::default(),
            total_pending: 0,
            requests: BTreeMap::new(),
            schedule: Schedule::default(),
            readers: FleetAverages { read_rate: INITIAL_READ_RATE, ..FleetAverages::default() },
            writers: FleetAverages { read_rate: INITIAL_READ_RATE, ..FleetAverages::default() },
            readers_in_zone: 0.0,
            offered: empty_rate,
            local_first_token_times: DecayedSums::default(),
            observed: None,
        })
    }

    /// From now on reports each choice as an [`Action::Explain`]. This does not change what is chosen.
    pub fn observe(&mut self) {
        self.observed = Some(Vec::new());
    }

    /// Returns the number of listed servers, and how many of them take no work or are avoided at present.
    pub fn server_counts(&self, now: Micros) -> (usize, usize) {
        let empty_request = OpenRequest::default();
        let avoided = |s: &&Server| !s.entry.takes_work() || self.avoidance(now, s, &empty_request).is_some();
        (self.servers.len(), self.servers.values().filter(avoided).count())
    }

    /// Returns when a timer event is needed next.
    pub fn next_due(&self) -> Option<Micros> {
        self.schedule.next_due()
    }

    /// Handles one event and appends the resulting actions.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Actions) {
        if self.schedule.is_unused() {
            self.set_timer(now + MAINTENANCE_INTERVAL, TimerTask::Maintenance, actions);
            if self.settings.discovery == Discovery::OnRequest {
                actions.push(Action::Watch(true));
            }
        }
        match event {
            Event::List(update) => self.on_list(now, update, actions),
            Event::Request(request) => self.on_request(now, request, actions),
            Event::Started { request, attempt, server, .. } => self.on_started(now, request, attempt, server),
            Event::Ended(ended) => self.on_ended(now, ended, actions),
            Event::ClientGone(id) => self.close(id, None, actions),
            Event::StateReleased(id) => self.on_state_released(now, id, actions),
            Event::Timer(_) => self.on_timer(now, actions),
            Event::Probed { server, outcome, report, .. } => self.on_probed(now, server, outcome, report),
            Event::Place { .. } | Event::DispatcherMessage { .. } => {}
        }
    }

    fn on_request(&mut self, now: Micros, request: Request, actions: &mut Actions) {
        if self.requests.contains_key(&request.id) {
            return;
        } else if usize::from(request.class.0) >= self.settings.classes.len() {
            return actions.push(Action::Fail(request.id));
        }
        if let Some(tenant) = request.tenant.and_then(|t| self.tenant_arrivals.get_mut(usize::from(t.0))) {
            tenant.add(now, 1.0, 0);
        }
        let id = request.id;
        let deadline = request.expires.saturating_sub(self.settings.step);
        self.set_timer(deadline.max(now), TimerTask::Deadline(id), actions);
        self.slow_starts.iter_mut().filter(|_| !request.resent).for_each(SlowStart::record_arrival);
        self.requests.insert(
            id,
            OpenRequest { request, arrived_at: now, draw_key: self.rng.random(), ..OpenRequest::default() },
        );
        self.advance(now, id, actions);
    }

    /// Takes a request without a pending attempt to its next step: a reader, a writer, a pause or its end.
    fn advance(&mut self, now: Micros, id: RequestId, actions: &mut Actions) {
        let held_for = self.settings.rules.max_state_wait();
        let Some(open) = self.requests.get_mut(&id) else { return };
        if open.finished || open.started || open.pending_attempt().is_some() {
            return;
        } else if open.state.is_some_and(|(_, since)| now + RESELECT_AFTER > since + held_for) {
            // No writer fetches the state in time: release it, so that no memory stays pinned.
            open.state = None;
            actions.push(Action::Release(id));
        }
        let Some(open) = self.requests.get(&id) else { return };
        let attempts_left = self.settings.limits.attempts.saturating_sub(open.attempts.len() as u32);
        // If the request may have run and must not run again, its client is answered now, not after the aim.
        let class = self.class(&open.request);
        let no_repeat = open.attempts.iter().any(|a| a.may_have_run && now >= class.repeats_until(a.sent_at));
        if attempts_left == 0 || no_repeat || now + self.settings.step >= open.request.expires {
            return self.give_up(id, RESELECT_AFTER, actions);
        }
        let Some(open) = self.requests.get_mut(&id) else { return };
        let read = open.state.and_then(|(id, _)| open.attempts.iter().rev().find(|a| a.entry.id == id));
        let read_cell = read.map(|a| (a.entry.cell, self.roster.reader_share(a.entry.cell)));
        let slow_start = &mut self.slow_starts[usize::from(read_cell.is_some() || self.readers.count <= 0.0)];
        open.draw.get_or_insert_with(|| slow_start.draw(now, read_cell));
        let (ranked, is_read) = match open.state {
            Some((reader, _)) => (self.rank_writers(now, id, reader), false),
            None => (self.rank_readers(now, id, attempts_left > 1), true),
        };
        if let Some(observed) = &mut self.observed {
            let (candidates, ranked) = (std::mem::take(observed), ranked.clone());
            actions.push(Action::Explain(Box::new(Choice {
                request: id,
                reads: is_read,
                candidates,
                ranked,
            })));
        }
        if self.request_reports(now, id, &ranked, actions) {
            return;
        }
        match ranked.first().copied() {
            Some(reader) if is_read && self.should_shed(now, id, reader) => {
                return self.give_up(id, CAPACITY_RETRY_AFTER, actions);
            }
            Some(server) => return self.send(now, id, server, actions),
            None if is_read && (attempts_left < 2 || self.aim_has_passed(now, id)) => {
                return self.give_up(id, CAPACITY_RETRY_AFTER, actions);
            }
            None => {}
        }
        let Some(open) = self.requests.get_mut(&id) else { return };
        (open.draw_key, open.draw) = (self.rng.random(), None); // only cold servers may be left
        self.set_timer(now + RESELECT_AFTER, TimerTask::Reselect(id), actions);
    }

    fn on_state_released(&mut self, now: Micros, id: RequestId, actions: &mut Actions) {
        if let Some(open) = self.requests.get_mut(&id) {
            open.state = None;
            self.advance(now, id, actions);
        }
    }

    /// Probes the best candidates for reports, once per choice, and returns true if the choice must wait. One
    /// of hundreds of dispatchers sends too seldom to a server to know its load by its own requests.
    fn request_reports(
        &mut self,
        now: Micros,
        id: RequestId,
        ranked: &[ServerId],
        actions: &mut Actions,
    ) -> bool {
        let limit = (MAX_PROBE_COST / self.settings.prices.probe.max(1e-6)).min(MAX_PROBES) as usize;
        let Some(open) = self.requests.get_mut(&id).filter(|open| !open.probed) else { return false };
        if !self.settings.limits.probes || ranked.len() < 2 {
            return false;
        }
        open.probed = true;
        let mut probed_any = false;
        for to in ranked.iter().take(limit) {
            let Some(server) = self.servers.get_mut(to) else { continue };
            if server.reported_at.is_none_or(|at| at + FRESH_REPORT_AGE < now) {
                (probed_any, server.probed_at) = (true, now);
                actions.push(Action::Probe(*to));
            }
        }
        if probed_any {
            self.set_timer(now + self.report_wait(), TimerTask::Reselect(id), actions);
        }
        probed_any
    }

    fn shortest_aim(&self) -> f64 {
        self.settings.classes.iter().map(|c| c.aim).min().unwrap_or(0) as f64
    }

    fn report_wait(&self) -> Micros {
        ((REPORT_WAIT_FRACTION * self.shortest_aim()) as Micros).min(self.settings.rules.release_within / 4)
    }

    fn class(&self, request: &Request) -> &Class {
        &self.settings.classes[usize::from(request.class.0)]
    }

    fn send(&mut self, now: Micros, id: RequestId, to: ServerId, actions: &mut Actions) {
        let (Some(open), Some(server)) = (self.requests.get(&id), self.servers.get(&to)) else { return };
        let request = open.request;
        let reads = open.state.is_none();
        let missing = (request.prompt_tokens - server.kept.tokens_of(now, &request)) as f64;
        let queued = self.load(now, server, 0.0);
        let expected =
            if reads { (queued + missing) / self.read_rate(now, server) } else { self.writers.ttft_secs };
        let expected = if server.role == Role::Mixed { expected + self.writers.ttft_secs } else { expected };
        let overdue_after = ((expected * OVERDUE_MULTIPLE * 1e6) as Micros).max(MIN_OVERDUE_AFTER);
        let hinted = request.hint.map(|hint| (hint / self.class(&request).token_aim.max(1)) as f64 / 2.0);
        let answer = hinted.unwrap_or(request.max_tokens as f64 * MEAN_ANSWER_FRACTION);
        let held_tokens = request.prompt_tokens as f64 + answer;

        let Some(server) = self.servers.get_mut(&to) else { return };
        (server.pending_attempts, self.total_pending) = (server.pending_attempts + 1, self.total_pending + 1);
        if reads {
            server.unread_tokens += missing;
            server.kept.record(now, &request);
            let recorded = kept_keys(&request).filter(|(key, _)| server.kept.has(key));
            recorded.for_each(|(key, _)| self.roster.add_holder(key, to));
        }
        if server.role != Role::Reader {
            server.unreported_streams.push((now, held_tokens));
            server.streams += 1;
        }
        let (entry, role) = (server.entry, server.role);
        let Some(open) = self.requests.get_mut(&id) else { return };
        let read = open.attempts.iter().rev().find(|a| open.state.is_some_and(|(r, _)| r == a.entry.id));
        let link_cell = read.map(|a| a.entry.cell).filter(|cell| *cell != entry.cell);
        open.attempts.push(Attempt {
            entry,
            sent_at: now,
            reads,
            missing_tokens: if reads { missing } else { 0.0 },
            queued,
            link_cell,
            ended: false,
            may_have_run: role != Role::Reader, // a read has no effect
        });
        let attempt = open.attempts.len() - 1;
        let timeout = (!self.settings.limits.cancel).then_some(overdue_after);
        actions.push(Action::Send { request: id, server: to, timeout });
        if timeout.is_none() {
            self.set_timer(now + overdue_after, TimerTask::AttemptOverdue(id, attempt), actions);
        }
    }

    fn on_started(&mut self, now: Micros, id: RequestId, attempt: u32, from: ServerId) {
        self.record_contact(now, from, true, None);
        let Some(open) = self.requests.get_mut(&id).filter(|open| !open.started) else { return };
        let Some(&a) = open.attempts.get(attempt as usize).filter(|a| !a.ended) else { return };
        open.started = true;
        open.state = None;
        let took = now - a.sent_at;
        match a.link_cell {
            _ if a.reads => {}
            Some(cell) => self.crossing_first_token_times.entry(cell).or_default().add(now, 1.0, took),
            None => self.local_first_token_times.add(now, 1.0, took),
        }
        self.slow_starts[1].record_served(now, 1.0);
        if let Some(server) = self.servers.get_mut(&from) {
            server.latest_served_sent_at = server.latest_served_sent_at.max(a.sent_at);
            self.total_pending -= u32::from(server.pending_attempts > 0);
            server.pending_attempts = server.pending_attempts.saturating_sub(1);
            server.unread_tokens = (server.unread_tokens - a.missing_tokens).max(0.0);
            if a.reads {
                server.read_rate.add(now, a.missing_tokens + a.queued + READ_OVERHEAD_TOKENS, took);
                server.kept.record(now, &open.request);
            } else if a.link_cell.is_none() {
                server.first_token_times.add(now, 1.0, took);
            }
        }
    }

    fn on_ended(&mut self, now: Micros, ended: Ended, actions: &mut Actions) {
        let (id, from) = (ended.request, ended.server);
        let alive =
            matches!(ended.outcome, Outcome::Served | Outcome::Read | Outcome::Full | Outcome::NoState);
        self.record_contact(now, from, alive, ended.report);
        let Some(open) = self.requests.get_mut(&id) else { return };
        let Some(a) = open.attempts.get_mut(ended.attempt as usize).filter(|a| !a.ended) else { return };
        (a.ended, open.probed, open.draw_key, open.draw) = (true, false, open.draw_key.wrapping_add(1), None);
        a.may_have_run &= !ended.outcome.never_ran();
        self.slow_starts[0].record_served(now, f64::from(ended.outcome == Outcome::Read));
        let had_started = open.started;
        if let Some(server) = self.servers.get_mut(&from) {
            if !had_started {
                self.total_pending -= u32::from(server.pending_attempts > 0);
                server.pending_attempts = server.pending_attempts.saturating_sub(1);
                server.unread_tokens = (server.unread_tokens - a.missing_tokens).max(0.0);
            }
            server.streams -= u32::from(server.role != Role::Reader && server.streams > 0);
            if matches!(ended.outcome, Outcome::Error | Outcome::Served | Outcome::Read) {
                server.errors.decay_with(now, ERROR_HALF_LIFE_US);
                server.errors.work += f64::from(ended.outcome == Outcome::Error);
                server.errors.seconds += 1.0;
            }
            record_outcome(now, server, &open.request, a, &ended);
        }
        match ended.outcome {
            Outcome::Read => open.state = Some((from, now)),
            Outcome::NoState => {
                open.state = None;
                actions.push(Action::Release(id));
            }
            _ => open.avoided_server = Some(from),
        }
        // A failed connection attempt does not restart the time for which the state may be held.
        if let Some((_, since)) = open.state.as_mut().filter(|_| ended.outcome != Outcome::ConnectFailed) {
            *since = now;
        }
        // A connection may be reset at a healthy server. If the process has died, the next one fails too.
        let server = self.servers.get_mut(&from).filter(|_| !had_started);
        let broken = server
            .is_some_and(|s| ended.outcome == Outcome::Reset && std::mem::replace(&mut s.was_reset, true));
        if broken || ended.outcome == Outcome::ConnectFailed && !had_started {
            self.eject(now, from, actions);
        }
        let Some(open) = self.requests.get_mut(&id) else { return };
        if ended.settled || open.finished {
            open.finished = true;
            if open.may_hold_state() {
                actions.push(Action::Release(id));
            }
            if open.pending_attempt().is_none() {
                self.forget(id);
            }
            return;
        }
        self.advance(now, id, actions);
    }

    /// Answers the client at once and advises when to retry: later if capacity is lacking, soon if the
    /// attempts are used up, at once if its time has run out.
    fn give_up(&mut self, id: RequestId, delay: Micros, actions: &mut Actions) {
        let Some(open) = self.requests.get(&id).filter(|open| !open.started) else { return };
        let maybe_ran = open.attempts.iter().any(|a| a.may_have_run || !a.ended);
        let refuse = match self.class(&open.request).effect {
            Effect::Safe | Effect::Keyed(KeyGroup::All) => true,
            Effect::Keyed(KeyGroup::Zone | KeyGroup::Cell) | Effect::Unsafe => !maybe_ran,
        };
        let retry_after = Some(delay);
        let answer = if refuse { Action::Refuse { request: id, retry_after } } else { Action::Fail(id) };
        self.close(id, Some(answer), actions);
    }

    /// Finishes a request: cancels the pending attempt and releases any state that is held for it.
    fn close(&mut self, id: RequestId, answer: Option<Action>, actions: &mut Actions) {
        let Some(open) = self.requests.get_mut(&id).filter(|open| !open.finished) else { return };
        open.finished = true;
        actions.extend(answer);
        if open.pending_attempt().is_some() && !open.started && self.settings.limits.cancel {
            let attempt = open.attempts.len() as u32 - 1;
            actions.push(Action::Cancel { request: id, attempt });
        }
        if open.may_hold_state() {
            actions.push(Action::Release(id));
        }
        if open.pending_attempt().is_none() {
            self.forget(id);
        }
    }

    /// Drops a request with its tasks.
    fn forget(&mut self, id: RequestId) {
        self.requests.remove(&id);
        self.schedule.remove_request(&id);
    }

    fn set_timer(&mut self, at: Micros, task: TimerTask, actions: &mut Actions) {
        let timer = TimerId(self.schedule.add(at, task));
        actions.push(Action::SetTimer { at, timer });
    }

    fn on_timer(&mut self, now: Micros, actions: &mut Actions) {
        while let Some(task) = self.schedule.take_due(now) {
            match task {
                TimerTask::Maintenance => self.maintain(now, actions),
                TimerTask::AttemptOverdue(id, attempt) => self.on_attempt_overdue(now, id, attempt, actions),
                TimerTask::Reselect(id) => self.advance(now, id, actions),
                TimerTask::Deadline(id) => self.give_up(id, self.settings.step, actions),
            }
        }
    }

    fn maintain(&mut self, now: Micros, actions: &mut Actions) {
        self.set_timer(now + MAINTENANCE_INTERVAL, TimerTask::Maintenance, actions);
        for server in self.servers.values_mut() {
            server.kept.expire(now);
            server.unreported_streams.retain(|(at, _)| at + REPORT_MAX_AGE > now);
        }
        let keeps = |key: &KeptKey, id| self.servers.get(&id).is_some_and(|s| s.kept.has(key));
        self.roster.retain_holders(keeps);
        self.update_averages(now);
    }
}
