//! The five rules, under legal but hostile events from fixed seeds, and one by one.

mod common;

use common::*;
use milletseam::interface::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Servers whose ids tell the stand their cell (hundreds) and kind (last digit).
fn fleet(rng: &mut Pcg64Mcg) -> Vec<ServerEntry> {
    let mut all = Vec::new();
    for cell in 0..3 {
        for n in 0..rng.random_range(2..6) {
            let kind = rng.random_range(0..3u16);
            all.push(server(cell * 100 + n * 10 + u32::from(kind), KindId(kind), cell));
        }
    }
    all
}

fn hostile_settings(rng: &mut Pcg64Mcg) -> Settings {
    let mut s = settings();
    let effects = [
        Effect::Safe,
        Effect::Keyed(KeyGroup::All),
        Effect::Keyed(KeyGroup::Zone),
        Effect::Keyed(KeyGroup::Cell),
        Effect::Unsafe,
    ];
    s.classes = (effects.iter())
        .map(|effect| Class { effect: *effect, key_window: rng.random_range(1..4) * S, ..Class::plain() })
        .collect();
    s.dispatchers = [1, 2, 4, 200][rng.random_range(0..4)];
    s.limits.attempts = rng.random_range(1..7);
    s.limits.cancel = rng.random();
    s.limits.probes = rng.random();
    s.limits.resume = rng.random();
    s.limits.writers_read = rng.random();
    s.rules.release_within = rng.random_range(1..11) * 100 * MS;
    s.reports =
        [ReportSource::Answers, ReportSource::Probes, ReportSource::Unavailable][rng.random_range(0..3)];
    s
}

fn hostile_report(rng: &mut Pcg64Mcg) -> Option<Report> {
    rng.random::<bool>().then(|| Report {
        latency: Some(rng.random_range(0..4 * S)),
        memory_share: Some(rng.random_range(0.0..1.2)),
        waiting_tokens: rng.random_bool(0.5).then(|| rng.random_range(0.0..50_000.0)),
        waiting: rng.random_bool(0.5).then(|| rng.random_range(0.0..50.0)),
    })
}

fn hostile_step(harness: &mut Harness, rng: &mut Pcg64Mcg, n: u64) {
    for k in 0..rng.random_range(0..3) {
        let mut request = request(n * 10 + k, harness.now);
        request.class = ClassId(rng.random_range(0..5));
        request.session = rng.random::<bool>().then(|| SessionKey(rng.random_range(0..20)));
        request.prefix = rng.random::<bool>().then(|| PrefixKey(rng.random_range(0..4)));
        (request.prompt_tokens, request.prefix_tokens) =
            (rng.random_range(0..9_000), rng.random_range(0..5_000));
        request.expires = harness.now + rng.random_range(0..4 * S);
        harness.accept(request);
    }
    let ids: Vec<RequestId> = harness.requests.keys().copied().collect();
    for id in ids {
        let tracked = &harness.requests[&id];
        let Some(out) = tracked.pending_attempt() else { continue };
        let a = &tracked.attempts[out];
        if !rng.random_bool(if a.cancelled { 0.7 } else { 0.1 }) {
            continue;
        }
        let reads = a.server.0.is_multiple_of(10);
        let outcomes: &[Outcome] = match (reads, a.started) {
            (true, _) => &[
                Outcome::Read,
                Outcome::Read,
                Outcome::Read,
                Outcome::Error,
                Outcome::Full,
                Outcome::Reset,
                Outcome::ConnectFailed,
                Outcome::TimedOut,
            ],
            (false, true) => &[Outcome::Served, Outcome::Served, Outcome::Reset],
            (false, false) => &[
                Outcome::Error,
                Outcome::Full,
                Outcome::NoState,
                Outcome::TimedOut,
                Outcome::Reset,
                Outcome::ConnectFailed,
            ],
        };
        if !reads && !a.started && rng.random_bool(0.4) && !tracked.finished {
            harness.start(id);
            continue;
        }
        let cancelled = a.cancelled && !a.started && rng.random_bool(0.8);
        let outcome =
            if cancelled { Outcome::Cancelled } else { outcomes[rng.random_range(0..outcomes.len())] };
        let kept = rng.random_range(0..6_000);
        let report = hostile_report(rng);
        harness.end_with(id, outcome, kept, report);
    }
    if rng.random_bool(0.02) {
        let ids: Vec<RequestId> = harness.requests.keys().copied().collect();
        if let Some(id) = ids.get(rng.random_range(0..ids.len().max(1))).copied() {
            harness.client_gone(id);
        }
    }
    if rng.random_bool(0.05) {
        let ids: Vec<ServerId> = harness.entries.keys().copied().collect();
        let mut entry = harness.entries[&ids[rng.random_range(0..ids.len())]];
        match rng.random_range(0..4) {
            0 => entry.state = ServerState::Draining,
            1 => entry.state = ServerState::Gone,
            2 => {
                (entry.state, entry.started) =
                    (ServerState::Ready, Some(harness.now - rng.random_range(0..S)))
            }
            _ => entry.state = ServerState::Ready,
        }
        harness.list(ListScope::Changes, vec![entry]);
        harness.list(ListScope::Failed, Vec::new());
    }
    if rng.random_bool(0.01) {
        let all: Vec<ServerEntry> =
            harness.entries.values().copied().filter(|_| rng.random_bool(0.8)).collect();
        if !all.is_empty() {
            harness.list(ListScope::Full, all);
        }
    }
    for server in std::mem::take(&mut harness.probes) {
        let outcome = if rng.random() { Outcome::Served } else { Outcome::TimedOut };
        let report = hostile_report(rng);
        harness.feed(Event::Probed { server, outcome, took: MS, report });
    }
    // Odd but legal: timers never set, clients gone twice, outcomes of requests long ended.
    harness.feed(Event::Timer(TimerId(rng.random())));
    harness.feed(Event::ClientGone(RequestId([b'x'; 36])));
}

#[test]
fn hostile_events_break_no_rule() {
    let (mut sends, mut answers) = (0, 0);
    for seed in 0..60 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let settings = hostile_settings(&mut rng);
        let fleet = fleet(&mut rng);
        let mut harness = Harness::new(settings, fleet);
        for n in 0..300 {
            hostile_step(&mut harness, &mut rng, n);
            harness.advance(rng.random_range(1..30) * MS);
        }
        harness.advance(6 * S);
        let unanswered = |t: &&Tracked| !t.finished && !t.attempts.iter().any(|a| a.started);
        assert_eq!(harness.requests.values().filter(unanswered).count(), 0, "seed {seed}");
        sends += harness.sends.len();
        answers += harness.requests.values().filter(|t| t.attempts.iter().any(|a| a.started)).count();
    }
    assert!(
        sends > 10_000 && answers > 1_000,
        "the test must reach the module: {sends} sends, {answers} begun"
    );
}

#[test]
fn the_same_events_give_the_same_actions() {
    let run = || {
        let mut rng = Pcg64Mcg::seed_from_u64(5);
        let settings = hostile_settings(&mut rng);
        let fleet = fleet(&mut rng);
        let mut harness = Harness::new(settings, fleet);
        for n in 0..200 {
            hostile_step(&mut harness, &mut rng, n);
            harness.advance(20 * MS);
        }
        (harness.sends, harness.log)
    };
    let first = run();
    assert!(!first.0.is_empty());
    assert_eq!(first, run());
}

#[test]
fn a_request_with_no_server_is_answered_before_its_client_leaves() {
    for entries in [vec![], vec![server(1, WRITER, 0)], vec![server(0, READER, 0)]] {
        let mut harness = Harness::new(settings(), entries);
        let request = Request { expires: harness.now + S, ..request(1, harness.now) };
        harness.accept(request);
        if harness.pending_server(request.id).is_some() {
            harness.end(request.id, Outcome::Read);
        }
        harness.advance(S - MS);
        assert!(harness.requests[&request.id].finished);
        harness.advance(2 * S);
    }
}

#[test]
fn an_unsafe_request_that_may_have_run_is_failed_and_never_sent_again() {
    for outcome in [Outcome::Error, Outcome::Reset, Outcome::TimedOut] {
        let mut settings = settings();
        settings.classes[0].effect = Effect::Unsafe;
        let mut harness =
            Harness::new(settings, vec![server(0, READER, 0), server(1, WRITER, 0), server(11, WRITER, 0)]);
        let request = request(1, harness.now);
        harness.accept(request);
        harness.end(request.id, Outcome::Read);
        harness.end(request.id, outcome);
        // The client need not wait for what can't come any more.
        assert!(harness.requests[&request.id].finished, "{outcome:?}");
        let sent = harness.sends.len();
        harness.advance(11 * S);
        assert_eq!((sent, harness.sends.len()), (2, 2));
    }
}

#[test]
fn a_request_whose_window_for_repeats_has_passed_is_answered_at_once() {
    let mut settings = settings();
    settings.classes[0].effect = Effect::Keyed(KeyGroup::All);
    settings.classes[0].key_window = 300 * MS;
    let mut harness =
        Harness::new(settings, vec![server(0, READER, 0), server(1, WRITER, 0), server(11, WRITER, 0)]);
    let request = request(1, harness.now);
    harness.accept(request);
    harness.end(request.id, Outcome::Read);
    harness.advance(299 * MS);
    harness.end(request.id, Outcome::Reset);
    // A millisecond is left: it goes out once more, and then never again.
    assert_eq!(harness.sends.len(), 3);
    harness.advance(MS);
    harness.end(request.id, Outcome::Reset);
    assert!(harness.requests[&request.id].finished, "nothing can come any more");
    harness.advance(11 * S);
    assert_eq!(harness.sends.len(), 3);
}

#[test]
fn a_state_at_a_draining_reader_is_still_fetched() {
    let mut harness = Harness::new(settings(), vec![server(0, READER, 0), server(101, WRITER, 1)]);
    let request = request(1, harness.now);
    harness.accept(request);
    harness
        .list(ListScope::Changes, vec![ServerEntry { state: ServerState::Draining, ..server(0, READER, 0) }]);
    harness.end(request.id, Outcome::Read);
    assert_eq!(harness.pending_server(request.id), Some(ServerId(101)));
}

#[test]
fn a_read_that_ends_after_its_request_is_let_go() {
    let mut settings = settings();
    settings.limits.cancel = false;
    let mut harness = Harness::new(settings, vec![server(0, READER, 0), server(1, WRITER, 0)]);
    let request = request(1, harness.now);
    harness.accept(request);
    harness.client_gone(request.id);
    harness.end(request.id, Outcome::Read);
    harness.advance(2 * S);
    assert_eq!(harness.sends.len(), 1);
}

#[test]
fn a_cold_server_gets_only_its_part() {
    for learnt_at_start in [true, false] {
        let settings = settings();
        let warm = [server(0, READER, 0), server(10, READER, 0), server(1, WRITER, 0), server(11, WRITER, 0)];
        let cold = |now| ServerEntry { started: Some(now), ..server(20, READER, 0) };
        let mut entries = warm.to_vec();
        if learnt_at_start {
            entries.push(cold(5 * S));
        }
        let mut harness = Harness::new(settings, entries);
        if !learnt_at_start {
            harness.list(ListScope::Changes, vec![cold(5 * S)]);
        }
        let rules = harness.settings.rules;
        let mut reads = std::collections::VecDeque::new();
        for n in 0..400 {
            let request = request(n, harness.now);
            harness.accept(request);
            reads.push_back(request.id);
            harness.advance(10 * MS);
            if reads.len() > 9 {
                let id = reads.pop_front().expect("not empty");
                if harness.pending_server(id).is_some() {
                    harness.end(id, Outcome::Read);
                    harness.start(id);
                    harness.end(id, Outcome::Served);
                }
            }
            let recent = |id| {
                harness
                    .sends
                    .iter()
                    .filter(|(at, _, s)| s.0 == id && at + rules.fall_after > harness.now)
                    .count()
            };
            let borne = (recent(0) + recent(10)) as f64 / 2.0;
            let most = (rules.fall_multiple * rules.cold_from * borne).max(1.0);
            assert!(recent(20) as f64 <= most, "{} sent to the cold server, {most} allowed", recent(20));
        }
        assert!(harness.sends.iter().any(|(_, _, s)| s.0 == 20), "the cold server must get its part");
    }
}

#[test]
fn a_state_is_not_pinned_while_writers_are_asked() {
    let mut settings = settings();
    settings.limits.probes = true;
    settings.classes[0].aim = 300 * S;
    settings.rules.release_within = 400 * MS;
    let fleet = vec![server(0, READER, 0), server(1, WRITER, 0), server(101, WRITER, 0)];
    let mut harness = Harness::new(settings, fleet);
    let one = request(1, harness.now);
    harness.accept(one);
    harness.advance(100 * MS);
    harness.end(one.id, Outcome::Read);
    harness.advance(S); // the stand watches that the state is taken or let go in time
    assert!(harness.pending_server(one.id).is_some(), "a writer is taken though none has answered");
}

/// One dispatcher of 200 at 2 requests a second. At 5 s a third of the servers refuses every connection and the
/// list says nothing; probes of the others take 0.2 s, those of the lost ones time out.
#[test]
fn a_third_of_a_large_list_is_lost_at_once_behind_thin_traffic() {
    let (mut served, mut asked) = (0, 0);
    for seed in 0..20 {
        let mut settings = settings();
        (settings.dispatchers, settings.limits.probes) = (200, true);
        let fleet: Vec<_> = (0..60).map(|n| server(n, [READER, WRITER][n as usize % 2], n / 6)).collect();
        let zone = |entry: &ServerEntry| ServerEntry { zone: ZoneId(0), ..*entry };
        let mut harness = Harness::with_seed(settings, fleet.iter().map(zone).collect(), seed);
        let mut probes: Vec<(Micros, ServerId)> = Vec::new();
        let mut fetched = Vec::new();
        for step in 0..400_u64 {
            if step % 10 == 0 {
                fetched.push(request(step, harness.now));
                harness.accept(request(step, harness.now));
            }
            harness.advance(50 * MS);
            let lost = |id: ServerId| step >= 100 && id.0 < 20;
            let now = harness.now;
            probes.extend(std::mem::take(&mut harness.probes).into_iter().map(|id| (now + 200 * MS, id)));
            for (_, server) in probes.extract_if(.., |(due, _)| *due <= now).collect::<Vec<_>>() {
                let outcome = if lost(server) { Outcome::TimedOut } else { Outcome::Served };
                let report = (!lost(server)).then(Report::default);
                harness.feed(Event::Probed { server, outcome, took: 200 * MS, report });
            }
            for id in fetched.iter().map(|r| r.id) {
                match harness.pending_server(id) {
                    Some(to) if lost(to) => harness.end(id, Outcome::ConnectFailed),
                    Some(to) if to.0 % 2 == 0 => harness.end(id, Outcome::Read),
                    Some(_) => {
                        harness.start(id);
                        harness.end(id, Outcome::Served);
                    }
                    None => {}
                }
            }
        }
        harness.advance(2 * S);
        asked += fetched.len();
        served +=
            fetched.iter().filter(|r| harness.requests[&r.id].attempts.iter().any(|a| a.started)).count();
    }
    assert!(served * 10 >= asked * 9, "{served} of {asked} were begun, with two thirds of the servers left");
}
