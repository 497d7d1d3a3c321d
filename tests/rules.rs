//! Tests of the five rules that a router must keep: with random events that the protocol allows, from fixed seeds, and
//! one by one.

mod common;

use common::*;
use milletseam::interface::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// A random fleet. As the harness expects, the hundreds of an id are the server's cell and the last digit its kind.
fn fleet(rng: &mut Pcg64Mcg) -> Vec<ServerEntry> {
    let mut entries = Vec::new();
    for cell in 0..3 {
        for position in 0..rng.random_range(2..6) {
            let kind = rng.random_range(0..3u16);
            entries.push(server(cell * 100 + position * 10 + u32::from(kind), KindId(kind), cell));
        }
    }
    entries
}

/// Random settings, with a class for each way in which requests may be repeated.
fn hostile_settings(rng: &mut Pcg64Mcg) -> Settings {
    let mut settings = settings();
    let effects = [
        Effect::Safe,
        Effect::Keyed(KeyGroup::All),
        Effect::Keyed(KeyGroup::Zone),
        Effect::Keyed(KeyGroup::Cell),
        Effect::Unsafe,
    ];
    settings.classes = (effects.iter())
        .map(|effect| Class { effect: *effect, key_window: rng.random_range(1..4) * S, ..Class::plain() })
        .collect();
    settings.dispatchers = [1, 2, 4, 200][rng.random_range(0..4)];
    settings.limits.attempts = rng.random_range(1..7);
    settings.limits.cancel = rng.random();
    settings.limits.probes = rng.random();
    settings.limits.resume = rng.random();
    settings.limits.writers_read = rng.random();
    settings.rules.release_within = rng.random_range(1..11) * 100 * MS;
    settings.reports =
        [ReportSource::Answers, ReportSource::Probes, ReportSource::Unavailable][rng.random_range(0..3)];
    settings
}

/// A random load report, or none.
fn hostile_report(rng: &mut Pcg64Mcg) -> Option<Report> {
    rng.random::<bool>().then(|| Report {
        latency: Some(rng.random_range(0..4 * S)),
        memory_share: Some(rng.random_range(0.0..1.2)),
        waiting_tokens: rng.random_bool(0.5).then(|| rng.random_range(0.0..50_000.0)),
        waiting: rng.random_bool(0.5).then(|| rng.random_range(0.0..50.0)),
    })
}

/// Feeds new requests, ends of attempts, departing clients, list updates and probe results at random. Attempts of
/// requests that have already ended are ended as well.
fn hostile_step(harness: &mut Harness, rng: &mut Pcg64Mcg, step: u64) {
    for index in 0..rng.random_range(0..3) {
        let mut request = request(step * 10 + index, harness.now);
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
        let Some(pending) = tracked.pending_attempt() else { continue };
        let a = &tracked.attempts[pending];
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
    // Allowed by the protocol, though they refer to nothing: a timer never set, and the
    // client of an unknown request, which leaves in every step.
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
        for step in 0..300 {
            hostile_step(&mut harness, &mut rng, step);
            harness.advance(rng.random_range(1..30) * MS);
        }
        harness.advance(6 * S);
        let unanswered = |t: &&TrackedRequest| !t.finished && !t.attempts.iter().any(|a| a.started);
        assert_eq!(harness.requests.values().filter(unanswered).count(), 0, "seed {seed}");
        sends += harness.sends.len();
        answers += harness.requests.values().filter(|t| t.attempts.iter().any(|a| a.started)).count();
    }
    assert!(
        sends > 10_000 && answers > 1_000,
        "too few requests get through for a meaningful test: {sends} sends, {answers} answers begun"
    );
}

#[test]
fn the_same_events_give_the_same_actions() {
    let run = || {
        let mut rng = Pcg64Mcg::seed_from_u64(5);
        let settings = hostile_settings(&mut rng);
        let fleet = fleet(&mut rng);
        let mut harness = Harness::new(settings, fleet);
        for step in 0..200 {
            hostile_step(&mut harness, &mut rng, step);
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
        // No answer is possible any more, so the client must not be kept waiting.
        assert!(harness.requests[&request.id].finished, "{outcome:?}");
        let sent = harness.sends.len();
        harness.advance(11 * S);
        assert_eq!((sent, harness.sends.len()), (2, 2));
    }
}

#[test]
fn a_keyed_request_is_answered_at_once_after_its_deduplication_window() {
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
    // One millisecond of the window is left: the request is sent once more, and then never again.
    assert_eq!(harness.sends.len(), 3);
    harness.advance(MS);
    harness.end(request.id, Outcome::Reset);
    assert!(harness.requests[&request.id].finished, "no answer is possible any more");
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
fn a_read_that_ends_after_its_request_is_released() {
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
fn a_cold_server_gets_only_its_share() {
    for listed_at_start in [true, false] {
        let settings = settings();
        let warm = [server(0, READER, 0), server(10, READER, 0), server(1, WRITER, 0), server(11, WRITER, 0)];
        let cold = |now| ServerEntry { started: Some(now), ..server(20, READER, 0) };
        let mut entries = warm.to_vec();
        if listed_at_start {
            entries.push(cold(5 * S));
        }
        let mut harness = Harness::new(settings, entries);
        if !listed_at_start {
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
            let mean_of_warm = (recent(0) + recent(10)) as f64 / 2.0;
            let limit = (rules.fall_multiple * rules.cold_from * mean_of_warm).max(1.0);
            assert!(recent(20) as f64 <= limit, "{} sent to the cold server, {limit} allowed", recent(20));
        }
        assert!(harness.sends.iter().any(|(_, _, s)| s.0 == 20), "the cold server must get its share");
    }
}

#[test]
fn a_state_is_not_held_too_long_while_writers_are_probed() {
    let mut settings = settings();
    settings.limits.probes = true;
    settings.classes[0].aim = 300 * S;
    settings.rules.release_within = 400 * MS;
    let fleet = vec![server(0, READER, 0), server(1, WRITER, 0), server(101, WRITER, 0)];
    let mut harness = Harness::new(settings, fleet);
    let request = request(1, harness.now);
    harness.accept(request);
    harness.advance(100 * MS);
    harness.end(request.id, Outcome::Read);
    // The harness checks that the state is fetched or released in time.
    harness.advance(S);
    assert!(
        harness.pending_server(request.id).is_some(),
        "a writer is chosen though none has answered a probe"
    );
}

/// One dispatcher of 200 gets 2 requests a second. After 5 s a third of the servers refuses every connection, while the
/// list stays unchanged. Probes of the other servers take 0.2 s; those of the lost ones time out.
#[test]
fn requests_are_answered_after_a_third_of_many_servers_is_lost_at_low_traffic() {
    let (mut answered, mut total) = (0, 0);
    for seed in 0..20 {
        let mut settings = settings();
        (settings.dispatchers, settings.limits.probes) = (200, true);
        let fleet: Vec<_> = (0..60).map(|n| server(n, [READER, WRITER][n as usize % 2], n / 6)).collect();
        let zone = |entry: &ServerEntry| ServerEntry { zone: ZoneId(0), ..*entry };
        let mut harness = Harness::with_seed(settings, fleet.iter().map(zone).collect(), seed);
        let mut probes: Vec<(Micros, ServerId)> = Vec::new();
        let mut requests = Vec::new();
        for step in 0..400_u64 {
            if step % 10 == 0 {
                requests.push(request(step, harness.now));
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
            for id in requests.iter().map(|r| r.id) {
                match harness.pending_server(id) {
                    Some(server) if lost(server) => harness.end(id, Outcome::ConnectFailed),
                    Some(server) if server.0 % 2 == 0 => harness.end(id, Outcome::Read),
                    Some(_) => {
                        harness.start(id);
                        harness.end(id, Outcome::Served);
                    }
                    None => {}
                }
            }
        }
        harness.advance(2 * S);
        total += requests.len();
        answered +=
            requests.iter().filter(|r| harness.requests[&r.id].attempts.iter().any(|a| a.started)).count();
    }
    assert!(
        answered * 10 >= total * 9,
        "{answered} of {total} requests were answered, with two thirds of the servers left"
    );
}
