//! What trying expectations costs: `cargo bench --bench expectations`.
//!
//! 1,000 expectations against 100 and 1,000 servers, on all cores, and one play alone. An expectation is a
//! session that returns to the reader that keeps it, each with a session and a reader of its own.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Instant;

use milletseam::expect::model::{CachedText, ServerSelector};
use milletseam::expect::world::{Observation, simulate};
use milletseam::expect::{Expectation, Given, Site, Step, Then, Verdict, evaluate};
use milletseam::interface::*;

const EXPECTATIONS: u32 = 1_000;

/// Three data centres; cells of ten, half of them readers.
fn site(count: u32) -> Site {
    let mut settings = Settings::plain(3);
    let kind = |role| Kind { role, memory_tokens: 150_000 };
    settings.kinds = vec![kind(Role::Reader), kind(Role::Writer)];
    settings.classes = vec![Class { aim: 1_200_000, deadline: 5_000_000, ..Class::plain() }];
    let server = |n: u32| {
        let entry = ServerEntry {
            id: ServerId(n),
            kind: KindId((n % 2) as u16),
            cell: CellId(n / 10),
            zone: ZoneId((n / 10 % 3) as u16),
            ..ServerEntry::plain()
        };
        (entry.id, (format!("s{n}"), entry))
    };
    let names = |names: &[&str]| names.iter().map(|name| name.to_string()).collect();
    Site {
        settings,
        zones: names(&["a", "b", "c"]),
        kinds: names(&["reader", "writer"]),
        classes: names(&["ask"]),
        servers: (0..count).map(server).collect(),
    }
}

fn expectation(n: u32, servers: u32) -> Expectation {
    let (reader, session) = (ServerId(n * 2 % servers), SessionKey(u64::from(n)));
    let request =
        Request { session: Some(session), prompt_tokens: 3_400, max_tokens: 200, ..Request::plain() };
    let kept = CachedText { server: reader, session: Some(session), prefix: None, tokens: 3_000 };
    Expectation {
        name: n.to_string(),
        given: Given { cached: vec![kept], ..Given::default() },
        when: vec![Step::Requests { request, count: 1, interval: 0, time_left: 5_000_000 }],
        then: vec![Then::Reader(ServerSelector::Server(reader)), Then::Writer(ServerSelector::CellOfReader)],
    }
}

fn main() {
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    for servers in [100, 1_000] {
        let site = site(servers);
        let one = expectation(7, servers);
        let begin = Instant::now();
        for seed in 0..100 {
            simulate(&site, &one, seed, Observation::ActionsOnly).expect("sound settings");
        }
        let single = begin.elapsed() / 100;
        for threads in [threads.min(4), threads] {
            let (next, held) = (AtomicUsize::new(0), AtomicUsize::new(0));
            let begin = Instant::now();
            std::thread::scope(|scope| {
                for _ in 0..threads {
                    scope.spawn(|| {
                        while let Ok(n) = u32::try_from(next.fetch_add(1, Ordering::Relaxed)) {
                            if n >= EXPECTATIONS {
                                return;
                            }
                            let verdict = evaluate(&site, &expectation(n, servers)).expect("sound settings");
                            if matches!(verdict, Verdict::Holds { .. }) {
                                held.fetch_add(1, Ordering::Relaxed);
                            }
                        }
                    });
                }
            });
            let held = held.load(Ordering::Relaxed);
            println!(
                "{servers} servers: one play {single:.0?}; {EXPECTATIONS} expectations on {threads} threads \
                 {:.1?}, {held} hold",
                begin.elapsed()
            );
        }
    }
}
