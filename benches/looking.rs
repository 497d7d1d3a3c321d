//! Measures what is lost by choosing among a sample of the readers instead of all: `cargo bench --bench looking`.
//!
//! Simulates a seeded fleet in virtual time: readers that read in order of arrival and keep what they have read for
//! 30 s, and sessions of several turns with shared prefixes. Prints the share of all prompt tokens that the chosen
//! readers had kept, the time to the end of a read, and the 99th percentile of the work per reader relative to the
//! mean. To compare with a full scan, build once with `SAMPLE.full_scan_limit` in `src/choice.rs` set to `usize::MAX`.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};

use milletseam::choice::Router;
use milletseam::interface::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Tokens per second that a reader reads (the middle of the range in production).
const READ_RATE: f64 = 20_000.0;
/// Offered load relative to the capacity of the readers if nothing is kept.
const LOAD: f64 = 0.9;
const DURATION_SECONDS: u64 = 12;
/// Results are not counted before this time, while the tables of kept prefixes fill.
const WARM_UP: Micros = 4_000_000;
const SHARED_PREFIXES: u64 = 60;
const KEPT_FOR: Micros = 30_000_000;

#[derive(Default)]
struct Reader {
    free_at: Micros,
    work: f64,
    kept: HashMap<(bool, u64), (u64, Micros)>,
}

fn request(rng: &mut Pcg64Mcg, sessions: &mut Vec<(u64, u64, u64)>, number: u64, now: Micros) -> Request {
    // Three of four requests continue a session; the others begin a new one.
    let (session, prefix_number, length) = if !sessions.is_empty() && rng.random_bool(0.75) {
        let at = rng.random_range(0..sessions.len());
        sessions[at].2 += 400;
        sessions[at]
    } else {
        let new = (number, rng.random_range(0..SHARED_PREFIXES), 3_000 + rng.random_range(0..800));
        if sessions.len() > 2_000 {
            sessions.remove(0);
        }
        sessions.push(new);
        new
    };
    let mut id = [b'0'; 36];
    id[16..].copy_from_slice(format!("{number:020}").as_bytes());
    Request {
        id: RequestId(id),
        session: Some(SessionKey(session)),
        prefix: Some(PrefixKey(prefix_number)),
        prefix_tokens: 2_500,
        prompt_tokens: length,
        max_tokens: 200,
        expires: now + 30_000_000,
        ..Request::plain()
    }
}

/// Returns the kept share, the mean and 99th percentile of the time to the end of a read in ms, and the 99th percentile
/// of the work per reader relative to the mean.
fn simulate(readers: u32, seed: u64) -> (f64, f64, f64, f64) {
    let mut settings = Settings::plain(1);
    let kind = |role| Kind { role, memory_tokens: 150_000 };
    settings.kinds = vec![kind(Role::Reader), kind(Role::Writer)];
    settings.classes = vec![Class { aim: 20_000_000, deadline: 30_000_000, ..Class::plain() }];
    settings.limits.probes = false;
    let entry = |id: u32, kind: u16, cell: u32| ServerEntry {
        id: ServerId(id),
        kind: KindId(kind),
        cell: CellId(cell),
        ..ServerEntry::plain()
    };
    let mut entries: Vec<ServerEntry> = (0..readers).map(|n| entry(n, 0, n / 10)).collect();
    entries.extend((0..readers).map(|n| entry(readers + n, 1, n / 10)));
    let mut router = Router::new(settings, seed, 0).expect("sound settings");
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0xabc);
    let (mut actions, mut timers, mut read_ends) = (Vec::new(), BinaryHeap::new(), BTreeMap::new());
    let mut fleet: Vec<Reader> = (0..readers).map(|_| Reader::default()).collect();
    let (mut sessions, mut open) = (Vec::new(), HashMap::new());
    let (mut prompt_tokens_total, mut kept_tokens_total, mut waits) = (0.0, 0.0, Vec::new());
    let mean_gap = 3_600.0 / (READ_RATE * LOAD * f64::from(readers)) * 1e6;
    let (mut now, mut number, mut next_arrival): (Micros, u64, f64) = (1_000, 0, 1_000.0);
    router.handle(now, Event::List(ListUpdate { scope: ListScope::Full, entries }), &mut actions);
    while now < DURATION_SECONDS * 1_000_000 {
        let timer = timers.peek().map_or(Micros::MAX, |Reverse((at, _))| *at);
        let end = read_ends.keys().next().map_or(Micros::MAX, |(at, _): &(Micros, RequestId)| *at);
        now = timer.min(end).min(next_arrival as Micros).max(now);
        let event = if timer <= now {
            let Some(Reverse((_, id))) = timers.pop() else { break };
            Event::Timer(TimerId(id))
        } else if end <= now {
            let Some(((_, id), (server, found_tokens))) = read_ends.pop_first() else { break };
            let took = now - open[&id];
            let outcome = Outcome::Read;
            Event::Ended(Ended {
                request: id,
                attempt: 0,
                server,
                outcome,
                kept_tokens: found_tokens,
                settled: false,
                took,
                report: None,
            })
        } else {
            next_arrival += -mean_gap * (1.0 - rng.random::<f64>()).ln();
            number += 1;
            Event::Request(request(&mut rng, &mut sessions, number, now))
        };
        let arrived = match &event {
            Event::Request(request) => Some(*request),
            _ => None,
        };
        let read = match &event {
            Event::Ended(ended) => Some(ended.request),
            _ => None,
        };
        actions.clear();
        router.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            match action {
                Action::SetTimer { at, timer } => timers.push(Reverse((at, timer.0))),
                Action::Send { server, .. } => {
                    let Some(request) = arrived else { continue };
                    let reader = &mut fleet[server.0 as usize];
                    let keys = [
                        ((true, request.session.map_or(0, |s| s.0)), request.prompt_tokens),
                        ((false, request.prefix.map_or(0, |p| p.0)), request.prefix_tokens),
                    ];
                    let found_tokens = keys.iter().filter_map(|(key, key_tokens)| {
                        let (tokens, used) = reader.kept.get(key)?;
                        (used + KEPT_FOR > now).then_some((*tokens).min(*key_tokens))
                    });
                    let found_tokens = found_tokens.max().unwrap_or(0);
                    let missing = (request.prompt_tokens - found_tokens) as f64;
                    reader.free_at = reader.free_at.max(now) + (missing / READ_RATE * 1e6) as Micros;
                    for (key, tokens) in keys {
                        reader.kept.insert(key, (tokens, now));
                    }
                    read_ends.insert((reader.free_at, request.id), (server, found_tokens));
                    open.insert(request.id, now);
                    if now > WARM_UP {
                        reader.work += missing;
                        prompt_tokens_total += request.prompt_tokens as f64;
                        kept_tokens_total += found_tokens as f64;
                        waits.push((reader.free_at - now) as f64 / 1e3);
                    }
                }
                _ => {}
            }
        }
        // The answer is not simulated: the client disconnects when its prompt is read.
        if let Some(id) = read {
            router.handle(now, Event::ClientGone(id), &mut actions);
            let attempt = 1;
            let ended = Ended {
                request: id,
                attempt,
                server: ServerId(readers),
                outcome: Outcome::Cancelled,
                kept_tokens: 0,
                settled: true,
                took: 0,
                report: None,
            };
            router.handle(now, Event::Ended(ended), &mut actions);
            for action in actions.drain(..) {
                if let Action::SetTimer { at, timer } = action {
                    timers.push(Reverse((at, timer.0)));
                }
            }
        }
    }
    waits.sort_by(f64::total_cmp);
    let mean = waits.iter().sum::<f64>() / waits.len() as f64;
    let mut work: Vec<f64> = fleet.iter().map(|reader| reader.work).collect();
    work.sort_by(f64::total_cmp);
    let average = work.iter().sum::<f64>() / work.len() as f64;
    let spread = work[work.len() * 99 / 100] / average;
    (kept_tokens_total / prompt_tokens_total, mean, waits[waits.len() * 99 / 100], spread)
}

fn main() {
    println!("readers  seed  kept share  read mean ms  read p99 ms  work p99/mean");
    for readers in [100, 300, 1_000] {
        for seed in [1, 2, 3] {
            let (kept, mean, p99, spread) = simulate(readers, seed);
            println!("{readers:>7}  {seed:>4}  {kept:>10.3}  {mean:>12.1}  {p99:>11.1}  {spread:>13.2}");
        }
    }
}
