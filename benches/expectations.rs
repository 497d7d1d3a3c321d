//! Measures how long expectations take to evaluate: `cargo bench --bench expectations`.
//!
//! It evaluates 1,000 expectations against 100 and against 1,000 servers, on four threads and on all cores, and runs
//! a single simulation on one thread. In each expectation a session returns to the reader that has it cached; each
//! has a session of its own, and the readers take turns.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Instant;

use milletseam::expect::model::{CachedText, ServerSelector};
use milletseam::expect::world::{Observation, simulate};
use milletseam::expect::{Expectation, Given, Site, Step, Then, Verdict, evaluate};
use milletseam::interface::*;

const EXPECTATIONS: u32 = 1_000;

/// A site of three data centres and cells of ten servers, half of which are readers.
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
    let cached_text = CachedText { server: reader, session: Some(session), prefix: None, tokens: 3_000 };
    Expectation {
        name: n.to_string(),
        given: Given { cached: vec![cached_text], ..Given::default() },
        when: vec![Step::Requests { request, count: 1, interval: 0, time_left: 5_000_000 }],
        then: vec![Then::Reader(ServerSelector::Server(reader)), Then::Writer(ServerSelector::CellOfReader)],
    }
}

fn main() {
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    for servers in [100, 1_000] {
        let site = site(servers);
        let example = expectation(7, servers);
        let start = Instant::now();
        for seed in 0..100 {
            simulate(&site, &example, seed, Observation::ActionsOnly).expect("valid settings");
        }
        let per_simulation = start.elapsed() / 100;
        for threads in [threads.min(4), threads] {
            let (next, holding) = (AtomicUsize::new(0), AtomicUsize::new(0));
            let start = Instant::now();
            std::thread::scope(|scope| {
                for _ in 0..threads {
                    scope.spawn(|| {
                        while let Ok(n) = u32::try_from(next.fetch_add(1, Ordering::Relaxed)) {
                            if n >= EXPECTATIONS {
                                return;
                            }
                            let verdict = evaluate(&site, &expectation(n, servers)).expect("valid settings");
                            if matches!(verdict, Verdict::Holds { .. }) {
                                holding.fetch_add(1, Ordering::Relaxed);
                            }
                        }
                    });
                }
            });
            let holding = holding.load(Ordering::Relaxed);
            println!(
                "{servers} servers: one simulation {per_simulation:.0?}; {EXPECTATIONS} expectations on {threads} threads \
                 {:.1?}, {holding} hold",
                start.elapsed()
            );
        }
    }
}
