//! Benchmarks of list updates and decisions by fleet size: `cargo bench --bench decisions`.
//!
//! `list` applies a full list that changes nothing. `request` handles one request from its arrival to the end of its
//! answer (the choices of a reader and of a writer, with the events between), in a fleet that has served others.

use divan::{Bencher, black_box};
use milletseam::choice::Router;
use milletseam::interface::*;

fn main() {
    divan::main();
}

const FLEET_SIZES: [usize; 4] = [10, 100, 1_000, 10_000];

fn settings() -> Settings {
    let mut settings = Settings::plain(3);
    let kind = |role| Kind { role, memory_tokens: 150_000 };
    settings.kinds = vec![kind(Role::Reader), kind(Role::Writer)];
    settings.classes = vec![Class { aim: 1_200_000, deadline: 5_000_000, ..Class::plain() }];
    settings.limits.probes = false;
    settings
}

/// Returns as many readers as writers, in cells of ten.
fn entries(count: usize) -> Vec<ServerEntry> {
    let entry = |n: usize| ServerEntry {
        id: ServerId(n as u32),
        kind: KindId((n % 2) as u16),
        cell: CellId(n as u32 / 10),
        zone: ZoneId((n / 10 % 3) as u16),
        ..ServerEntry::plain()
    };
    (0..count).map(entry).collect()
}

/// A router with its fleet and the actions of the last event.
struct Fleet {
    router: Router,
    now: Micros,
    request_count: u64,
    actions: Vec<Action>,
}

impl Fleet {
    fn new(count: usize) -> Self {
        let router = Router::new(settings(), 7, 0).expect("sound settings");
        let mut fleet = Fleet { router, now: 1_000_000, request_count: 0, actions: Vec::new() };
        fleet.list(count);
        for _ in 0..500 {
            fleet.request();
        }
        fleet
    }

    fn list(&mut self, count: usize) {
        let update = ListUpdate { scope: ListScope::Full, entries: entries(count) };
        self.handle(Event::List(update));
    }

    fn handle(&mut self, event: Event) {
        self.actions.clear();
        self.now += 500;
        self.router.handle(self.now, event, &mut self.actions);
    }

    /// Returns the server to which the last event has sent an attempt.
    fn last_sent_server(&self) -> ServerId {
        let sent = self.actions.iter().find_map(|action| match action {
            Action::Send { server, .. } => Some(*server),
            _ => None,
        });
        sent.expect("a send")
    }

    fn end_attempt(&mut self, request: RequestId, attempt: u32, server: ServerId, outcome: Outcome) {
        let settled = outcome == Outcome::Served;
        let (kept_tokens, took, report) = (0, 50_000, None);
        let ended = Ended { request, attempt, server, outcome, kept_tokens, settled, took, report };
        self.handle(Event::Ended(ended));
    }

    fn request(&mut self) {
        self.request_count += 1;
        let mut id = [b'0'; 36];
        id[16..].copy_from_slice(format!("{:020}", self.request_count).as_bytes());
        let request = Request {
            id: RequestId(id),
            session: Some(SessionKey(self.request_count % 300)),
            prefix: Some(PrefixKey(self.request_count % 40)),
            prefix_tokens: 1_500,
            prompt_tokens: 2_500,
            max_tokens: 200,
            expires: self.now + 5_000_000,
            ..Request::plain()
        };
        self.handle(Event::Request(request));
        let reader = self.last_sent_server();
        self.end_attempt(request.id, 0, reader, Outcome::Read);
        let writer = self.last_sent_server();
        self.handle(Event::Started { request: request.id, attempt: 1, server: writer, took: 40_000 });
        self.end_attempt(request.id, 1, writer, Outcome::Served);
    }
}

#[divan::bench(args = FLEET_SIZES)]
fn list(bencher: Bencher, servers: usize) {
    let mut fleet = Fleet::new(servers);
    bencher.bench_local(|| fleet.list(black_box(servers)));
}

#[divan::bench(args = FLEET_SIZES)]
fn request(bencher: Bencher, servers: usize) {
    let mut fleet = Fleet::new(servers);
    bencher.bench_local(|| fleet.request());
}
