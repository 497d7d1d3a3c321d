//! A bench-free stand for the module: it feeds events to one router and holds every action against the five
//! rules. It checks the contract; it models no servers.
#![allow(dead_code, reason = "each test file uses its own part of the stand")]

use std::collections::{BTreeMap, BTreeSet};

use milletseam::choice::Router;
use milletseam::interface::*;

pub const MS: Micros = 1_000;
pub const S: Micros = 1_000_000;
pub const READER: KindId = KindId(0);
pub const WRITER: KindId = KindId(1);
pub const MIXED: KindId = KindId(2);

pub fn settings() -> Settings {
    let mut settings = Settings::plain(1);
    let kind = |role| Kind { role, memory_tokens: 150_000 };
    settings.kinds = vec![kind(Role::Reader), kind(Role::Writer), kind(Role::Mixed)];
    settings.classes = vec![Class { worth: 3.0, ..Class::plain() }];
    settings.limits.probes = false; // choices are then made at once
    settings
}

pub fn server(id: u32, kind: KindId, cell: u32) -> ServerEntry {
    ServerEntry {
        id: ServerId(id),
        kind,
        cell: CellId(cell),
        zone: ZoneId(cell as u16),
        ..ServerEntry::plain()
    }
}

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

pub struct TrackedAttempt {
    pub server: ServerId,
    pub sent: Micros,
    pub cancelled: bool,
    pub started: bool,
    /// The outcome, once it has one.
    pub ended: Option<Outcome>,
}

pub struct Tracked {
    pub request: Request,
    pub attempts: Vec<TrackedAttempt>,
    /// Ended by the router, or reported ended.
    pub finished: bool,
    pub settled: bool,
    pub held_since: Option<Micros>,
}

impl Tracked {
    pub fn pending_attempt(&self) -> Option<usize> {
        self.attempts.iter().position(|a| a.ended.is_none())
    }
}

/// One router under watch.
pub struct Harness {
    pub settings: Settings,
    pub router: Router,
    pub now: Micros,
    pub entries: BTreeMap<ServerId, ServerEntry>,
    pub ever_listed: BTreeSet<ServerId>,
    pub requests: BTreeMap<RequestId, Tracked>,
    pub timers: BTreeSet<(Micros, TimerId)>,
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
            router: Router::new(settings.clone(), seed, now).expect("sound settings"),
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

    pub fn accept(&mut self, request: Request) {
        let tracked =
            Tracked { request, attempts: Vec::new(), finished: false, settled: false, held_since: None };
        self.requests.insert(request.id, tracked);
        self.feed(Event::Request(request));
    }

    /// The server of the attempt that is out for the request.
    pub fn pending_server(&self, id: RequestId) -> Option<ServerId> {
        let tracked = &self.requests[&id];
        tracked.pending_attempt().map(|n| tracked.attempts[n].server)
    }

    pub fn start(&mut self, id: RequestId) {
        let tracked = self.requests.get_mut(&id).expect("a known request");
        let n = tracked.pending_attempt().expect("an attempt that is out");
        tracked.attempts[n].started = true;
        tracked.held_since = None;
        let (server, took) = (tracked.attempts[n].server, self.now - tracked.attempts[n].sent);
        self.feed(Event::Started { request: id, attempt: n as u32, server, took });
    }

    pub fn end(&mut self, id: RequestId, outcome: Outcome) {
        self.end_with(id, outcome, 0, None);
    }

    pub fn end_with(&mut self, id: RequestId, outcome: Outcome, kept_tokens: u64, report: Option<Report>) {
        let now = self.now;
        let tracked = self.requests.get_mut(&id).expect("a known request");
        let n = tracked.pending_attempt().expect("an attempt that is out");
        tracked.attempts[n].ended = Some(outcome);
        tracked.settled |= tracked.finished || outcome == Outcome::Served || tracked.attempts[n].started;
        match outcome {
            Outcome::Read => tracked.held_since = Some(now),
            _ => tracked.held_since = tracked.held_since.map(|_| now),
        }
        if tracked.settled && outcome == Outcome::Served {
            tracked.held_since = None;
        }
        tracked.finished |= tracked.settled;
        let (server, took) = (tracked.attempts[n].server, now - tracked.attempts[n].sent);
        let (attempt, settled) = (n as u32, tracked.settled);
        let ended = Ended { request: id, attempt, server, outcome, kept_tokens, settled, took, report };
        self.feed(Event::Ended(ended));
    }

    pub fn client_gone(&mut self, id: RequestId) {
        if let Some(tracked) = self.requests.get_mut(&id) {
            tracked.finished = true;
            tracked.held_since = tracked.held_since.map(|_| self.now);
        }
        self.feed(Event::ClientGone(id));
    }

    /// Lets time pass, with the timers that fall due, and looks at what time alone can break.
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
            self.audit();
        }
    }

    fn audit(&self) {
        let rules = &self.settings.rules;
        for tracked in self.requests.values() {
            let started = tracked.attempts.iter().any(|a| a.started);
            let late = self.now > tracked.request.expires + rules.answer_slack;
            assert!(tracked.finished || started || !late, "rule 1: no final answer in time");
            if let (Some(since), None) = (tracked.held_since, tracked.pending_attempt()) {
                assert!(self.now <= since + rules.release_within, "rule 5: a state is left pinned");
            }
        }
    }

    pub fn feed(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.router.handle(self.now, event, &mut actions);
        for action in actions {
            self.act(action);
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Send { request, server, .. } => self.on_send(request, server),
            Action::Cancel { request, attempt } => {
                assert!(self.settings.limits.cancel, "a cancel where none is allowed");
                let tracked = self.requests.get_mut(&request).expect("a cancel for a known request");
                let out = tracked.attempts.get_mut(attempt as usize).expect("a cancel of a sent attempt");
                out.cancelled = true;
            }
            Action::Refuse { request, retry_after } => {
                assert!(retry_after.is_some(), "a refusal that does not say when to come back");
                let tracked = &self.requests[&request];
                let ran = tracked.attempts.iter().any(|a| self.may_have_run(a));
                match self.settings.classes[usize::from(tracked.request.class.0)].effect {
                    Effect::Safe | Effect::Keyed(KeyGroup::All) => {}
                    Effect::Keyed(_) | Effect::Unsafe => {
                        assert!(!ran, "rule 2: refused after it may have run")
                    }
                }
                self.finish(request);
            }
            Action::Fail(request) => self.finish(request),
            Action::Move(_) => assert!(self.settings.limits.resume, "a move where none is allowed"),
            Action::HoldPlace { .. } => panic!("places are not held ahead"),
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
                assert!(self.settings.limits.probes && self.ever_listed.contains(&server), "a stray probe");
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

    fn kind(&self, id: ServerId) -> Option<Role> {
        // Ids of the stand end in the number of their kind.
        self.settings.kinds.get(id.0 as usize % 10).map(|k| k.role)
    }

    fn finish(&mut self, id: RequestId) {
        let tracked = self.requests.get_mut(&id).expect("an answer for a known request");
        assert!(!tracked.finished, "rule 1: a second final answer");
        tracked.finished = true;
    }

    fn on_send(&mut self, id: RequestId, to: ServerId) {
        let entry = *self.entries.get(&to).expect("rule 3: a send to a server that is not listed");
        assert!(entry.state == ServerState::Ready, "rule 3: a send to a server that drains or is gone");
        let tracked = &self.requests[&id];
        assert!(!tracked.finished, "rule 1: a send for a request that has ended");
        assert!(tracked.pending_attempt().is_none(), "rule 2: two attempts at once");
        assert!(
            tracked.attempts.len() < self.settings.limits.attempts as usize,
            "more attempts than allowed"
        );
        let class = &self.settings.classes[usize::from(tracked.request.class.0)];
        for a in tracked.attempts.iter().filter(|a| self.may_have_run(a)) {
            let cell = a.server.0 / 100;
            match class.effect {
                Effect::Safe => {}
                Effect::Unsafe => panic!("rule 2: sent again after it may have run"),
                Effect::Keyed(group) => {
                    let inside = group == KeyGroup::All || cell == to.0 / 100;
                    assert!(inside, "rule 2: sent outside the group that discards repeats");
                    assert!(self.now < a.sent + class.key_window, "rule 2: sent after the window");
                }
            }
        }
        let out =
            TrackedAttempt { server: to, sent: self.now, cancelled: false, started: false, ended: None };
        self.requests.get_mut(&id).expect("checked above").attempts.push(out);
        self.sends.push((self.now, id, to));
    }
}
