//! A test harness for the decision module: it feeds events to one router and checks every action against the five
//! rules that a router must keep. It checks the protocol between host and router and models no servers.
#![allow(dead_code, reason = "each test file uses only some of the harness")]

use std::collections::{BTreeMap, BTreeSet};

use milletseam::choice::Router;
use milletseam::interface::*;

/// One millisecond.
pub const MS: Micros = 1_000;
/// One second.
pub const S: Micros = 1_000_000;
pub const READER: KindId = KindId(0);
pub const WRITER: KindId = KindId(1);
pub const MIXED: KindId = KindId(2);

/// Settings with one kind of server for each role, one safe class and no probes.
pub fn settings() -> Settings {
    let mut settings = Settings::plain(1);
    let kind = |role| Kind { role, memory_tokens: 150_000 };
    settings.kinds = vec![kind(Role::Reader), kind(Role::Writer), kind(Role::Mixed)];
    settings.classes = vec![Class { worth: 3.0, ..Class::plain() }];
    // Without probes, choices are made at once.
    settings.limits.probes = false;
    settings
}

/// A ready server in the cell and the zone of the same number.
pub fn server(id: u32, kind: KindId, cell: u32) -> ServerEntry {
    ServerEntry {
        id: ServerId(id),
        kind,
        cell: CellId(cell),
        zone: ZoneId(cell as u16),
        ..ServerEntry::plain()
    }
}

/// A request with a session of its own that expires in 10 s.
pub fn request(n: u64, now: Micros) -> Request {
    let mut id = [b'0'; 36];
    id[16..].copy_from_slice(format!("{n:020}").as_bytes());
    Request {
        id: RequestId(id),
        session: Some(SessionKey(n)),
        prompt_tokens: 2_000,
        max_tokens: 200,
        expires: now + 10 * S,
        ..Request::plain()
    }
}

/// An attempt that the router has sent.
pub struct TrackedAttempt {
    pub server: ServerId,
    pub sent: Micros,
    pub cancelled: bool,
    pub started: bool,
    /// Outcome of the attempt, once it has ended.
    pub ended: Option<Outcome>,
}

/// A request that was fed to the router.
pub struct TrackedRequest {
    pub request: Request,
    pub attempts: Vec<TrackedAttempt>,
    /// Whether the router has given the final answer, or was informed that the request has ended.
    pub finished: bool,
    /// Whether the ends of attempts are reported as settled.
    pub settled: bool,
    /// Since when a state is held for the request without being fetched.
    pub held_since: Option<Micros>,
}

impl TrackedRequest {
    /// Returns the number of the attempt in flight.
    pub fn pending_attempt(&self) -> Option<usize> {
        self.attempts.iter().position(|a| a.ended.is_none())
    }
}

/// A router under test, with a record of its input and its actions.
pub struct Harness {
    pub settings: Settings,
    pub router: Router,
    pub now: Micros,
    pub entries: BTreeMap<ServerId, ServerEntry>,
    /// All servers that any list has contained.
    pub ever_listed: BTreeSet<ServerId>,
    pub requests: BTreeMap<RequestId, TrackedRequest>,
    pub timers: BTreeSet<(Micros, TimerId)>,
    /// Probes that the router has sent; the tests take them out.
    pub probes: Vec<ServerId>,
    pub log: Vec<String>,
    pub sends: Vec<(Micros, RequestId, ServerId)>,
}

impl Harness {
    pub fn new(settings: Settings, entries: Vec<ServerEntry>) -> Self {
        Self::with_seed(settings, entries, 11)
    }

    pub fn with_seed(settings: Settings, entries: Vec<ServerEntry>, seed: u64) -> Self {
        let now = 5 * S;
        let mut harness = Harness {
            router: Router::new(settings.clone(), seed, now).expect("valid settings"),
            settings,
            now,
            entries: BTreeMap::new(),
            ever_listed: BTreeSet::new(),
            requests: BTreeMap::new(),
            timers: BTreeSet::new(),
            probes: Vec::new(),
            log: Vec::new(),
            sends: Vec::new(),
        };
        harness.list(ListScope::Cached, entries);
        harness
    }

    /// Feeds a list update to the router.
    pub fn list(&mut self, scope: ListScope, entries: Vec<ServerEntry>) {
        match scope {
            ListScope::Full | ListScope::Cached => self.entries.clear(),
            ListScope::Changes | ListScope::Failed => {}
        }
        for entry in &entries {
            self.ever_listed.insert(entry.id);
            self.entries.insert(entry.id, *entry);
        }
        self.feed(Event::List(ListUpdate { scope, entries }));
    }

    /// Feeds a new request to the router.
    pub fn accept(&mut self, request: Request) {
        let tracked = TrackedRequest {
            request,
            attempts: Vec::new(),
            finished: false,
            settled: false,
            held_since: None,
        };
        self.requests.insert(request.id, tracked);
        self.feed(Event::Request(request));
    }

    /// Returns the server of the request's attempt in flight.
    pub fn pending_server(&self, id: RequestId) -> Option<ServerId> {
        let tracked = &self.requests[&id];
        tracked.pending_attempt().map(|n| tracked.attempts[n].server)
    }

    /// Has the attempt in flight begin its answer.
    pub fn start(&mut self, id: RequestId) {
        let tracked = self.requests.get_mut(&id).expect("a known request");
        let number = tracked.pending_attempt().expect("an attempt in flight");
        tracked.attempts[number].started = true;
        tracked.held_since = None;
        let (server, took) = (tracked.attempts[number].server, self.now - tracked.attempts[number].sent);
        self.feed(Event::Started { request: id, attempt: number as u32, server, took });
    }

    /// Ends the attempt in flight.
    pub fn end(&mut self, id: RequestId, outcome: Outcome) {
        self.end_with(id, outcome, 0, None);
    }

    /// Ends the attempt in flight, with the cached tokens and the load report of its server.
    pub fn end_with(&mut self, id: RequestId, outcome: Outcome, kept_tokens: u64, report: Option<Report>) {
        let now = self.now;
        let tracked = self.requests.get_mut(&id).expect("a known request");
        let number = tracked.pending_attempt().expect("an attempt in flight");
        tracked.attempts[number].ended = Some(outcome);
        tracked.settled |= tracked.finished || outcome == Outcome::Served || tracked.attempts[number].started;
        match outcome {
            Outcome::Read => tracked.held_since = Some(now),
            _ => tracked.held_since = tracked.held_since.map(|_| now),
        }
        if tracked.settled && outcome == Outcome::Served {
            tracked.held_since = None;
        }
        tracked.finished |= tracked.settled;
        let (server, took) = (tracked.attempts[number].server, now - tracked.attempts[number].sent);
        let (attempt, settled) = (number as u32, tracked.settled);
        let ended = Ended { request: id, attempt, server, outcome, kept_tokens, settled, took, report };
        self.feed(Event::Ended(ended));
    }

    /// Has the client of a request leave.
    pub fn client_gone(&mut self, id: RequestId) {
        if let Some(tracked) = self.requests.get_mut(&id) {
            tracked.finished = true;
            tracked.held_since = tracked.held_since.map(|_| self.now);
        }
        self.feed(Event::ClientGone(id));
    }

    /// Advances the clock step by step: fires due timers, ends expired attempts and checks the limits on time.
    pub fn advance(&mut self, span: Micros) {
        let until = self.now + span;
        while self.now < until {
            self.now = (self.now + self.settings.step).min(until);
            while let Some((at, timer)) = self.timers.first().copied().filter(|(at, _)| *at <= self.now) {
                self.timers.remove(&(at, timer));
                self.feed(Event::Timer(timer));
            }
            let expired: Vec<RequestId> = (self.requests.iter())
                .filter(|(_, t)| {
                    let started = t.attempts.iter().any(|a| a.started);
                    t.pending_attempt().is_some() && !started && self.now >= t.request.expires
                })
                .map(|(id, _)| *id)
                .collect();
            for id in expired {
                self.end(id, Outcome::TimedOut);
            }
            self.check_time_limits();
        }
    }

    /// Checks that no final answer is overdue (rule 1) and that no state is held for too long (rule 5).
    fn check_time_limits(&self) {
        let rules = &self.settings.rules;
        for tracked in self.requests.values() {
            let started = tracked.attempts.iter().any(|a| a.started);
            let late = self.now > tracked.request.expires + rules.answer_slack;
            assert!(tracked.finished || started || !late, "rule 1: no final answer in time");
            if let (Some(since), None) = (tracked.held_since, tracked.pending_attempt()) {
                assert!(self.now <= since + rules.release_within, "rule 5: a state is not released in time");
            }
        }
    }

    /// Feeds an event to the router and checks the actions that follow.
    pub fn feed(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.router.handle(self.now, event, &mut actions);
        for action in actions {
            self.check_action(action);
        }
    }

    /// Checks an action and records its effect.
    fn check_action(&mut self, action: Action) {
        match action {
            Action::Send { request, server, .. } => self.check_send(request, server),
            Action::Cancel { request, attempt } => {
                assert!(self.settings.limits.cancel, "attempts may not be cancelled");
                let tracked = self.requests.get_mut(&request).expect("a cancel for a known request");
                let cancelled_attempt =
                    tracked.attempts.get_mut(attempt as usize).expect("a cancel of a sent attempt");
                cancelled_attempt.cancelled = true;
            }
            Action::Refuse { request, retry_after } => {
                assert!(retry_after.is_some(), "a refusal without a retry delay");
                let tracked = &self.requests[&request];
                let ran = tracked.attempts.iter().any(|a| self.may_have_run(a));
                match self.settings.classes[usize::from(tracked.request.class.0)].effect {
                    Effect::Safe | Effect::Keyed(KeyGroup::All) => {}
                    Effect::Keyed(_) | Effect::Unsafe => {
                        assert!(!ran, "rule 2: refused although it may have run")
                    }
                }
                self.finish(request);
            }
            Action::Fail(request) => self.finish(request),
            Action::Move(_) => assert!(self.settings.limits.resume, "streams may not be moved"),
            Action::HoldPlace { .. } => panic!("the router never reserves places in advance"),
            Action::Release(request) => {
                let tracked = self.requests.get_mut(&request).expect("a release for a known request");
                if tracked.pending_attempt().is_none() {
                    tracked.held_since = None;
                }
            }
            Action::SetTimer { at, timer } => {
                self.timers.insert((at.max(self.now + 1), timer));
            }
            Action::Probe(server) => {
                assert!(
                    self.settings.limits.probes && self.ever_listed.contains(&server),
                    "probes are not allowed, or this server was never listed"
                );
                self.probes.push(server);
            }
            Action::Explain(_) => {}
            Action::Log(text) => self.log.push(text),
            Action::Ejected(server) => self.log.push(format!("server {} in doubt", server.0)),
            Action::CloseIdle(_)
            | Action::Watch(_)
            | Action::FetchList
            | Action::SendToDispatchers { .. } => {}
        }
    }

    /// Returns true if the request may have run in this attempt. Any attempt in flight counts; one that has ended does
    /// not count if it was a read, because reads have no effect.
    fn may_have_run(&self, a: &TrackedAttempt) -> bool {
        let reads = self.kind(a.server) == Some(Role::Reader);
        match a.ended {
            None => true,
            Some(
                Outcome::Error | Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled | Outcome::Served,
            ) => !reads,
            Some(_) => false,
        }
    }

    /// Returns the role of a server. Expects ids whose last digit is the index of the server's kind.
    fn kind(&self, id: ServerId) -> Option<Role> {
        self.settings.kinds.get(id.0 as usize % 10).map(|k| k.role)
    }

    /// Records a final answer.
    fn finish(&mut self, id: RequestId) {
        let tracked = self.requests.get_mut(&id).expect("an answer for a known request");
        assert!(!tracked.finished, "rule 1: a second final answer");
        tracked.finished = true;
    }

    /// Checks that a request may be sent to a server, and records the attempt.
    fn check_send(&mut self, id: RequestId, to: ServerId) {
        let entry = *self.entries.get(&to).expect("rule 3: sent to a server that is not listed");
        assert!(entry.state == ServerState::Ready, "rule 3: sent to a draining or removed server");
        let tracked = &self.requests[&id];
        assert!(!tracked.finished, "rule 1: sent for a request that has ended");
        assert!(tracked.pending_attempt().is_none(), "rule 2: two attempts in flight at once");
        assert!(
            tracked.attempts.len() < self.settings.limits.attempts as usize,
            "more attempts than allowed"
        );
        let class = &self.settings.classes[usize::from(tracked.request.class.0)];
        for a in tracked.attempts.iter().filter(|a| self.may_have_run(a)) {
            let cell = a.server.0 / 100;
            match class.effect {
                Effect::Safe => {}
                Effect::Unsafe => panic!("rule 2: sent again although it may have run"),
                Effect::Keyed(group) => {
                    let inside = group == KeyGroup::All || cell == to.0 / 100;
                    assert!(inside, "rule 2: sent outside the group that discards repeats");
                    assert!(
                        self.now < a.sent + class.key_window,
                        "rule 2: sent after the deduplication window"
                    );
                }
            }
        }
        let new_attempt =
            TrackedAttempt { server: to, sent: self.now, cancelled: false, started: false, ended: None };
        self.requests.get_mut(&id).expect("checked above").attempts.push(new_attempt);
        self.sends.push((self.now, id, to));
    }
}
