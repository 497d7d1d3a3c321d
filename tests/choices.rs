//! One small test for each failure found, and for the ordinary path.

mod common;

use common::*;
use milletseam::interface::*;

fn pair_fleet() -> Vec<ServerEntry> {
    vec![server(0, READER, 0), server(10, READER, 0), server(1, WRITER, 0), server(101, WRITER, 1)]
}

fn report(memory_share: f64, waiting_tokens: f64) -> Option<Report> {
    Some(Report {
        latency: Some(50 * MS),
        memory_share: Some(memory_share),
        waiting_tokens: Some(waiting_tokens),
        ..Report::default()
    })
}

/// Serves a request from its read to its end, each step after the given time.
fn serve(harness: &mut Harness, request: Request, step: Micros) -> Option<(ServerId, ServerId)> {
    harness.accept(request);
    let reader = harness.pending_server(request.id)?;
    harness.advance(step);
    harness.end_with(request.id, Outcome::Read, 0, report(0.1, 0.0));
    let writer = harness.pending_server(request.id)?;
    harness.advance(step);
    harness.start(request.id);
    harness.end_with(request.id, Outcome::Served, 0, report(0.1, 0.0));
    Some((reader, writer))
}

#[test]
fn a_session_returns_to_the_reader_that_keeps_it() {
    let mut harness = Harness::new(settings(), pair_fleet());
    let first = request(1, harness.now);
    let (reader, writer) = serve(&mut harness, first, 50 * MS).expect("served");
    assert_eq!(writer, ServerId(1), "the writer of the reader's cell");
    for n in 2..12 {
        let again = Request { session: first.session, prompt_tokens: 2_300, ..request(n, harness.now) };
        assert_eq!(serve(&mut harness, again, 50 * MS).map(|pair| pair.0), Some(reader));
    }
}

#[test]
fn a_loaded_reader_loses_the_prompt_it_keeps() {
    let mut harness = Harness::new(settings(), pair_fleet());
    let first = request(1, harness.now);
    let (reader, _) = serve(&mut harness, first, 50 * MS).expect("served");
    for n in 2..20 {
        harness.accept(Request { prompt_tokens: 2_500, session: first.session, ..request(n, harness.now) });
        if harness.pending_server(request(n, 0).id) != Some(reader) {
            return;
        }
        harness.accept(Request { prompt_tokens: 4_000, ..request(n + 100, harness.now) });
    }
    panic!("the load of other prompts must count");
}

#[test]
fn a_silent_reader_is_left_and_tried_again_singly() {
    let mut harness = Harness::new(settings(), pair_fleet());
    let silent = ServerId(0);
    for n in 0..75 {
        let request = request(n, harness.now);
        harness.accept(request);
        harness.advance(200 * MS);
        let ids: Vec<RequestId> = harness.requests.keys().copied().collect();
        for id in ids {
            let tracked = &harness.requests[&id];
            let Some(out) = tracked.pending_attempt() else { continue };
            let (to, cancelled) = (tracked.attempts[out].server, tracked.attempts[out].cancelled);
            match (to == silent, cancelled, to.0 % 10) {
                (true, false, _) => {}
                (true, true, _) => harness.end(id, Outcome::Cancelled),
                (false, _, 0) => harness.end(id, Outcome::Read),
                (false, ..) => {
                    harness.start(id);
                    harness.end(id, Outcome::Served);
                }
            }
        }
    }
    let first = harness.sends.iter().filter(|(.., to)| *to == silent).count();
    assert!(first > 0, "the silent reader was never tried");
    let late: Vec<_> = harness.sends.iter().filter(|(at, _, to)| *to == silent && *at > 7 * S).collect();
    assert!(late.len() <= 5, "{} sends to the silent reader in 13 s", late.len());
}

#[test]
fn doubt_of_most_tells_nothing() {
    let mut harness =
        Harness::new(settings(), vec![server(0, READER, 0), server(10, READER, 0), server(1, WRITER, 0)]);
    let first = request(1, harness.now);
    harness.accept(first);
    harness.end(first.id, Outcome::ConnectFailed);
    harness.end(first.id, Outcome::ConnectFailed);
    harness.advance(300 * MS);
    let next = request(2, harness.now);
    harness.accept(next);
    assert!(harness.pending_server(next.id).is_some(), "with all readers in doubt they are used as before");
}

#[test]
fn a_slow_writer_has_no_room() {
    let mut harness = Harness::new(settings(), vec![server(0, READER, 0), server(1, WRITER, 0)]);
    let (here, there) = (SessionKey(1), SessionKey(2));
    let first = Request { session: Some(here), ..request(1, harness.now) };
    serve(&mut harness, first, 20 * MS).expect("served");
    for n in 3..6 {
        harness.accept(Request { prompt_tokens: 4_000, ..request(n, harness.now) }); // draws the other session away
    }
    harness.list(
        ListScope::Changes,
        vec![server(100, READER, 1), server(101, WRITER, 1), server(111, WRITER, 1)],
    );
    let second = Request { session: Some(there), ..request(2, harness.now) };
    serve(&mut harness, second, 20 * MS).expect("served");
    for n in 3..6 {
        harness.client_gone(request(n, 0).id);
        harness.end(request(n, 0).id, Outcome::Cancelled);
    }
    let mut near = [0, 0];
    for n in 10..70 {
        let session = Some(if n % 3 == 0 { here } else { there });
        let request = Request { session, ..request(n, harness.now) };
        harness.accept(request);
        harness.advance(10 * MS);
        harness.end_with(request.id, Outcome::Read, 2_000, report(0.1, 0.0));
        let slow = harness.pending_server(request.id) == Some(ServerId(1));
        near[usize::from(n >= 40)] += u32::from(slow);
        harness.advance(if slow { 900 * MS } else { 20 * MS });
        harness.start(request.id);
        harness.end_with(request.id, Outcome::Served, 0, report(0.1, 0.0));
    }
    assert!(near[0] > 0 && near[1] < near[0], "{near:?} states of 10 each went to the slow near writer");
}

#[test]
fn a_slow_link_is_not_blamed_on_the_writer() {
    // The near writer of cell 0 is full, so states cross to cell 1 over a slow link; the readers of cell 1
    // must go on using their own writer, and requests there must not be turned away.
    let fleet =
        vec![server(0, READER, 0), server(1, WRITER, 0), server(100, READER, 1), server(101, WRITER, 1)];
    let mut harness = Harness::new(settings(), fleet);
    let (mut refused_near, mut near) = (0, 0);
    for n in 0..60 {
        let request = request(n, harness.now);
        harness.accept(request);
        let Some(reader) = harness.pending_server(request.id) else {
            refused_near += 1;
            continue;
        };
        harness.advance(10 * MS);
        harness.end_with(request.id, Outcome::Read, 0, report(0.1, 0.0));
        let writer = harness.pending_server(request.id).expect("a writer");
        let crossed = reader.0 / 100 != writer.0 / 100;
        near += u32::from(!crossed);
        harness.advance(if crossed { 900 * MS } else { 20 * MS });
        harness.start(request.id);
        let share = if writer.0 == 1 { 0.99 } else { 0.1 };
        harness.end_with(request.id, Outcome::Served, 0, report(share, 0.0));
    }
    assert_eq!(refused_near, 0);
    assert!(near >= 30, "{near} of 60 stayed in their cell");
}

/// Failure: a server answers four requests in ten with errors, at once, and looks emptier than any.
#[test]
fn a_server_that_answers_with_errors_is_left_for_a_while() {
    let mut settings = settings();
    settings.classes[0].effect = Effect::Unsafe;
    let writers = [1, 2].map(|id| server(id, WRITER, 0));
    let mut harness = Harness::new(settings, [vec![server(0, READER, 0)], writers.to_vec()].concat());
    let to_writer = |harness: &mut Harness, n: u64, faulty: Option<ServerId>| {
        let request = request(n, harness.now);
        harness.accept(request);
        harness.advance(20 * MS);
        harness.end_with(request.id, Outcome::Read, 0, report(0.1, 0.0));
        harness.advance(20 * MS);
        let writer = harness.pending_server(request.id).expect("a writer");
        if faulty == Some(writer) {
            harness.end(request.id, Outcome::Error);
        } else {
            harness.start(request.id);
            harness.end_with(request.id, Outcome::Served, 0, report(0.1, 0.0));
        }
        harness.advance(60 * MS);
        writer
    };
    let bad = Some(ServerId(1));
    let sent = (0..40).filter(|n| Some(to_writer(&mut harness, *n, bad)) == bad).count();
    assert!((1..=6).contains(&sent), "{sent} of 40 to the faulty one");
    harness.advance(12 * S);
    let sent = (40..80).filter(|n| Some(to_writer(&mut harness, *n, None)) == bad).count();
    assert!(sent >= 10, "{sent} of 40 once it has recovered");
}

/// Failure: one connection falls silent at a reader that is well; the others' reads keep it from being doubted,
/// and the request waits there until its client has left.
#[test]
fn an_attempt_that_later_ones_have_overtaken_is_given_up() {
    let mut harness = Harness::new(settings(), vec![server(0, READER, 0), server(1, WRITER, 0)]);
    let silent = request(1, harness.now);
    harness.accept(silent);
    harness.advance(20 * MS);
    assert_eq!(harness.pending_server(silent.id), Some(ServerId(0)));
    for n in 2..8 {
        harness.advance(150 * MS);
        let next = request(n, harness.now);
        serve(&mut harness, next, 30 * MS).expect("served");
    }
    harness.advance(200 * MS);
    assert!(harness.requests[&silent.id].attempts[0].cancelled);
    harness.end(silent.id, Outcome::Cancelled);
    harness.advance(60 * MS);
    assert_eq!(harness.pending_server(silent.id), Some(ServerId(0)), "the reader itself is not in doubt");
}

/// Failure: one broken connection makes the router forget all that a healthy reader keeps, and leave it.
#[test]
fn a_reset_connection_neither_empties_the_table_nor_casts_doubt() {
    let mut harness = Harness::new(settings(), pair_fleet());
    let first = request(1, harness.now);
    let (reader, _) = serve(&mut harness, first, 50 * MS).expect("served");
    let broken = Request { session: first.session, ..request(2, harness.now) };
    harness.accept(broken);
    assert_eq!(harness.pending_server(broken.id), Some(reader));
    harness.client_gone(broken.id);
    harness.end(broken.id, Outcome::Reset);
    // Only what it keeps speaks for it now.
    for server in [ServerId(0), ServerId(10)] {
        let report = report(0.1, if server == reader { 6_000.0 } else { 0.0 });
        harness.feed(Event::Probed { server, outcome: Outcome::Served, took: MS, report });
    }
    let again = Request { session: first.session, ..request(3, harness.now) };
    assert_eq!(serve(&mut harness, again, 50 * MS).map(|pair| pair.0), Some(reader));
}

/// Failure: a probe whose connection breaks makes a reader the last resort until it is probed again, which
/// the last resort is not; in the end one reader of seven was left, and turned work away.
#[test]
fn a_probe_that_broke_is_no_silence() {
    let mut settings = settings();
    settings.limits.probes = true;
    let mut harness = Harness::new(settings, pair_fleet());
    let first = request(1, harness.now);
    harness.accept(first);
    harness.advance(100 * MS);
    let reader = harness.pending_server(first.id).expect("a reader");
    harness.end_with(first.id, Outcome::Read, 0, report(0.1, 0.0));
    harness.advance(S);
    harness.probes.clear();
    let again = Request { session: first.session, ..request(2, harness.now) };
    harness.accept(again);
    assert!(harness.probes.contains(&reader), "{:?}", harness.probes);
    for server in std::mem::take(&mut harness.probes) {
        let broke = server == reader;
        let outcome = if broke { Outcome::Reset } else { Outcome::Served };
        let report = if broke { None } else { report(0.1, 0.0) };
        harness.feed(Event::Probed { server, outcome, took: MS, report });
    }
    harness.advance(100 * MS);
    assert_eq!(harness.pending_server(again.id), Some(reader));
}

#[test]
fn a_jammed_fleet_turns_work_away_early() {
    let mut harness = Harness::new(settings(), vec![server(0, READER, 0), server(1, WRITER, 0)]);
    for n in 0..40 {
        harness.accept(request(n, harness.now));
    }
    let taken = harness.requests.values().filter(|t| !t.finished).count();
    assert!((2..20).contains(&taken), "{taken} of 40 prompts taken by one reader at once");
}

#[test]
fn a_long_prompt_is_served_by_an_idle_fleet() {
    let mut settings = settings();
    settings.classes[0].aim_per_1000_tokens = 40_000;
    let mut harness = Harness::new(settings, pair_fleet());
    for n in 0..3 {
        harness.accept(Request { prompt_tokens: 300, ..request(n, harness.now) });
    }
    let long = Request { prompt_tokens: 15_000, ..request(9, harness.now) };
    harness.accept(long);
    assert!(harness.pending_server(long.id).is_some(), "its own long read is no queue");
}

#[test]
fn over_its_share_goes_first() {
    let mut settings = settings();
    settings.over_share_worth = 0.1;
    settings.tenants =
        vec![Tenant { share: 0.5, quota_per_s: 1_000.0 }, Tenant { share: 0.5, quota_per_s: 0.1 }];
    let mut harness = Harness::new(settings, vec![server(0, READER, 0), server(1, WRITER, 0)]);
    let mut taken = [0, 0];
    for n in 0..40 {
        let tenant = (n % 2) as u16;
        let request =
            Request { tenant: Some(TenantId(tenant)), prompt_tokens: 500, ..request(n, harness.now) };
        harness.accept(request);
        taken[usize::from(tenant)] += usize::from(harness.pending_server(request.id).is_some());
    }
    assert!(taken[0] >= taken[1] + 2, "{taken:?}");
}

#[test]
fn settings_that_contradict_themselves_are_refused() {
    use milletseam::choice::Router;
    assert!(matches!(Router::new(Settings::plain(1), 1, 0), Err(SettingsError::Empty("kinds"))));
    let mut negative = settings();
    negative.rules.cold_from = f64::NAN;
    assert!(matches!(Router::new(negative, 1, 0), Err(SettingsError::OutOfRange("cold_from"))));
}

/// Many readers behind many dispatchers, of which the stand is one.
fn thin_stand(seed: u64, dispatchers: u32) -> Harness {
    let mut settings = settings();
    settings.dispatchers = dispatchers;
    settings.limits.probes = false;
    let mut fleet: Vec<_> = (0..20).map(|n| server(10 * n, READER, n % 4)).collect();
    fleet.extend((0..20).map(|n| server(10 * n + 1, WRITER, n % 4)));
    let mut harness = Harness::with_seed(settings, fleet, seed);
    harness.advance(300 * MS);
    harness
}

#[test]
fn dispatchers_that_share_nothing_agree_on_a_sessions_reader() {
    let mut readers = std::collections::BTreeSet::new();
    for seed in 0..40 {
        let mut harness = thin_stand(seed, 200);
        let same = Request { session: Some(SessionKey(77)), ..request(seed, harness.now) };
        harness.accept(same);
        readers.insert(harness.pending_server(same.id));
    }
    assert_eq!(readers.len(), 1, "a session has one home");
    let mut homes = std::collections::BTreeSet::new();
    for session in 0..60 {
        let mut harness = thin_stand(1, 200);
        let one = Request { session: Some(SessionKey(session)), ..request(session, harness.now) };
        harness.accept(one);
        homes.insert(harness.pending_server(one.id));
    }
    assert_eq!(homes.len(), 5, "sessions spread over all readers of the zone to which they come");
}

#[test]
fn many_dispatchers_together_spare_a_cold_server() {
    let mut sends = 0;
    for seed in 0..200 {
        let mut harness = thin_stand(seed, 200);
        let cold = ServerEntry { started: Some(harness.now), ..server(1_000, READER, 0) };
        harness.list(ListScope::Changes, vec![cold]);
        // The cold one is empty, and all the others have just been full.
        for n in 0..3 {
            let one = request(n, harness.now);
            harness.accept(one);
            if harness.pending_server(one.id) != Some(cold.id) {
                harness.end(one.id, Outcome::Full);
            }
            harness.advance(100 * MS);
        }
        sends += harness.sends.iter().filter(|(.., to)| *to == cold.id).count();
    }
    assert!(sends <= 10, "{sends} sends to a cold server within 0.3 s, from 200 dispatchers");
}

/// Failure: each of many dispatchers waits for a turn at a cold server and then has no request to use it for, so that
/// the cold one idles while all others are jammed.
#[test]
fn many_dispatchers_together_use_a_cold_server_while_others_are_jammed() {
    let (mut sends, mut requests) = (0, 0);
    for seed in 0..200 {
        let mut harness = thin_stand(seed, 200);
        // Jammed servers serve as much as they can: what they bear says what a cold one may be sent.
        for n in 100..105 {
            let one = request(n, harness.now);
            harness.accept(one);
            harness.advance(200 * MS);
            harness.end(one.id, Outcome::Read);
            harness.start(one.id);
            harness.end(one.id, Outcome::Served);
        }
        let cold = ServerEntry { started: Some(harness.now), ..server(1_000, READER, 0) };
        harness.list(ListScope::Changes, vec![cold]);
        for n in 0..5 {
            for jammed in 0..20 {
                let (server, report) = (ServerId(10 * jammed), report(0.1, 30_000.0));
                harness.feed(Event::Probed { server, outcome: Outcome::Served, took: MS, report });
            }
            harness.accept(request(n, harness.now));
            requests += 1;
            harness.advance(200 * MS);
        }
        sends += harness.sends.iter().filter(|(.., to)| *to == cold.id).count();
    }
    let rules = settings().rules;
    let even = f64::from(requests) / 21.0;
    let budget = rules.fall_multiple * rules.cold_from * even;
    let sends = sends as f64;
    assert!(
        sends > 0.3 * budget && sends < 0.8 * budget,
        "{sends} sends to a cold server, its budget is {budget:.0}"
    );
}

#[test]
fn the_best_candidates_are_asked_before_the_choice() {
    let mut settings = settings();
    settings.limits.probes = true;
    let mut harness = Harness::new(settings, pair_fleet());
    let first = request(1, harness.now);
    harness.accept(first);
    assert_eq!(harness.pending_server(first.id), None, "the choice waits for reports");
    assert_eq!(harness.probes.len(), 2, "both readers are asked");
    let probed = |server, waiting| Event::Probed {
        server: ServerId(server),
        outcome: Outcome::Served,
        took: MS,
        report: report(0.1, waiting),
    };
    harness.feed(probed(0, 30_000.0));
    harness.feed(probed(10, 0.0));
    harness.advance(100 * MS);
    assert_eq!(harness.pending_server(first.id), Some(ServerId(10)), "the emptier one is taken");
}

/// Failure: reports tell a queue in requests only, and every reader is taken for empty.
#[test]
fn a_queue_that_is_told_in_requests_counts_as_one_of_tokens() {
    for (at_0, at_10, taken) in [(20.0, 0.0, 10), (0.0, 20.0, 0)] {
        let mut settings = settings();
        settings.limits.probes = true;
        let mut harness = Harness::new(settings, pair_fleet());
        let first = request(1, harness.now);
        harness.accept(first);
        for (server, waiting) in [(0, at_0), (10, at_10)] {
            harness.feed(Event::Probed {
                server: ServerId(server),
                outcome: Outcome::Served,
                took: MS,
                report: Some(Report { waiting: Some(waiting), ..Report::default() }),
            });
        }
        harness.advance(100 * MS);
        assert_eq!(harness.pending_server(first.id), Some(ServerId(taken)));
    }
}

#[test]
fn a_reader_that_answers_no_probe_is_passed_over() {
    let mut settings = settings();
    settings.limits.probes = true;
    let mut harness = Harness::new(settings, pair_fleet());
    harness.accept(request(1, harness.now));
    let answer = Event::Probed {
        server: ServerId(10),
        outcome: Outcome::Served,
        took: MS,
        report: report(0.5, 3_000.0),
    };
    harness.feed(answer);
    harness.advance(100 * MS);
    assert_eq!(
        harness.pending_server(request(1, 0).id),
        Some(ServerId(10)),
        "a load that is known beats silence"
    );
}

#[test]
fn an_attempt_is_given_up_only_after_a_probe_went_unanswered() {
    let mut settings = settings();
    settings.limits.probes = true;
    settings.classes[0].aim = 3 * S;
    for answers in [true, false] {
        let fleet = vec![server(0, READER, 0), server(1, WRITER, 0)];
        let mut harness = Harness::new(settings.clone(), fleet);
        harness.advance(10 * MS);
        let one = request(1, harness.now);
        harness.accept(one);
        assert_eq!(harness.pending_server(one.id), Some(ServerId(0)));
        let aim = settings.classes[0].aim;
        for _ in 0..aim / (100 * MS) - 1 {
            harness.advance(100 * MS);
            for server in std::mem::take(&mut harness.probes).into_iter().filter(|_| answers) {
                harness.feed(Event::Probed {
                    server,
                    outcome: Outcome::Served,
                    took: MS,
                    report: report(0.1, 0.0),
                });
            }
        }
        assert_eq!(harness.requests[&one.id].attempts[0].cancelled, !answers);
    }
}

#[test]
fn a_server_full_for_one_tenant_still_serves_another() {
    let mut settings = settings();
    settings.tenants = vec![Tenant { share: 0.5, quota_per_s: 1e6 }; 2];
    let fleet = vec![server(0, READER, 0), server(10, READER, 0), server(1, WRITER, 0)];
    let mut harness = Harness::new(settings, fleet);
    let of = |n, tenant, now| Request {
        tenant: Some(TenantId(tenant)),
        session: None,
        prompt_tokens: 500,
        ..request(n, now)
    };
    let first = of(1, 0, harness.now);
    harness.accept(first);
    let full = harness.pending_server(first.id).expect("a reader");
    harness.end(first.id, Outcome::Full);
    harness.end(first.id, Outcome::Read);
    harness.advance(S);
    let mut seen = std::collections::BTreeSet::new();
    for n in 0..12 {
        let (same, other) = (of(10 + n, 0, harness.now), of(50 + n, 1, harness.now));
        harness.accept(same);
        assert_ne!(harness.pending_server(same.id), Some(full), "that tenant rests there");
        harness.accept(other);
        seen.insert(harness.pending_server(other.id));
        for id in [same.id, other.id] {
            if harness.pending_server(id).is_some() {
                harness.end(id, Outcome::Read);
            }
        }
    }
    assert!(seen.contains(&Some(full)), "the other tenant is served there");
}

#[test]
fn a_writer_reads_when_the_readers_are_lost() {
    for (writers_read, sent) in [(true, Some(ServerId(1))), (false, None)] {
        let mut settings = settings();
        settings.limits.writers_read = writers_read;
        let mut harness = Harness::new(settings, vec![server(1, WRITER, 0)]);
        let request = request(1, harness.now);
        harness.accept(request);
        assert_eq!(harness.pending_server(request.id), sent);
    }
}

/// A dispatcher to which 20 long prompts came in the last seconds.
fn busy_stand(seed: u64, dispatchers: u32) -> Harness {
    let mut harness = thin_stand(seed, dispatchers);
    for n in 1_000..1_020 {
        let one = Request { prompt_tokens: 6_000, session: None, ..request(n, harness.now) };
        harness.accept(one);
        harness.advance(100 * MS);
        if harness.pending_server(one.id).is_none() {
            continue;
        }
        harness.end_with(one.id, Outcome::Read, 0, report(0.1, 0.0));
        harness.start(one.id);
        harness.end_with(one.id, Outcome::Served, 0, report(0.1, 0.0));
    }
    harness
}

#[test]
fn a_report_of_an_empty_reader_is_not_room_for_every_dispatcher() {
    let mut refused = [0, 0];
    for (dispatchers, refused) in [1, 200].into_iter().zip(&mut refused) {
        for seed in 0..40 {
            let mut harness = busy_stand(seed, dispatchers);
            for reader in (0..20).map(|n| ServerId(10 * n)) {
                let empty = report(0.0, 0.0);
                let (outcome, took) = (Outcome::Served, MS);
                harness.feed(Event::Probed { server: reader, outcome, took, report: empty });
            }
            let one = Request { prompt_tokens: 6_000, ..request(1, harness.now) };
            harness.accept(one);
            *refused += usize::from(harness.requests[&one.id].finished);
        }
    }
    assert_eq!(refused[0], 0, "a dispatcher that is alone believes the report");
    assert!((5..40).contains(&refused[1]), "{} of 40 turned away, at one dispatcher of 200", refused[1]);
}

#[test]
fn a_reader_that_looks_empty_draws_no_session_from_a_loaded_home() {
    let mut moved = 0;
    for n in 0..40 {
        let mut harness = thin_stand(1, 200);
        let one = Request { expires: harness.now + 60 * S, ..request(n, harness.now) };
        harness.accept(one);
        let home = harness.pending_server(one.id).expect("a reader");
        // A report shows more waiting there than anywhere; another dispatcher would send there all the same.
        harness.end_with(one.id, Outcome::Read, 0, report(0.1, 40_000.0));
        let other = (0..20).map(|n| ServerId(10 * n)).find(|id| *id != home).expect("others");
        harness.feed(Event::Probed {
            server: other,
            outcome: Outcome::Served,
            took: MS,
            report: report(0.0, 0.0),
        });
        let later =
            Request { session: one.session, expires: harness.now + 60 * S, ..request(n + 100, harness.now) };
        harness.accept(later);
        moved += usize::from(harness.pending_server(later.id).is_some_and(|id| id != home));
    }
    assert_eq!(moved, 0, "of 40 sessions");
}

#[test]
fn an_attempt_in_a_long_queue_is_not_given_up_and_sent_again() {
    let mut settings = settings();
    settings.limits.probes = true;
    for (waiting, kept) in [(60_000.0, true), (0.0, false)] {
        let mut harness = Harness::new(settings.clone(), vec![server(0, READER, 0), server(1, WRITER, 0)]);
        harness.advance(10 * MS);
        let one = request(1, harness.now);
        harness.accept(one);
        let span = settings.classes[0].aim + S;
        for _ in 0..span / (100 * MS) {
            harness.advance(100 * MS);
            for server in std::mem::take(&mut harness.probes) {
                harness.feed(Event::Probed {
                    server,
                    outcome: Outcome::Served,
                    took: MS,
                    report: report(0.1, waiting),
                });
            }
        }
        let cancelled = harness.requests[&one.id].attempts[0].cancelled;
        assert_eq!(cancelled, !kept, "after the aim at a reader with {waiting} tokens waiting");
    }
}

/// Each way to give up: under load, with the attempts used up, with no server, at the deadline.
#[test]
fn a_request_given_up_on_is_answered_at_once() {
    let mut harness = Harness::new(settings(), vec![server(0, READER, 0), server(1, WRITER, 0)]);
    for n in 0..40 {
        let one = request(n, harness.now);
        harness.accept(one);
        assert!(
            harness.requests[&one.id].finished || harness.pending_server(one.id).is_some(),
            "neither sent nor answered"
        );
    }
    let mut harness = Harness::new(settings(), pair_fleet());
    let one = request(1, harness.now);
    harness.accept(one);
    while harness.pending_server(one.id).is_some() {
        harness.end(one.id, Outcome::ConnectFailed);
    }
    assert!(harness.requests[&one.id].finished, "answered when the last attempt has failed");
    let mut harness = Harness::new(settings(), Vec::new());
    let one = Request { expires: harness.now + 60 * S, ..request(1, harness.now) };
    harness.accept(one);
    harness.advance(harness.settings.classes[0].aim + 100 * MS);
    assert!(
        harness.requests[&one.id].finished,
        "with no server it is answered at the aim, not at the deadline"
    );
}

#[test]
fn a_fleet_known_to_be_jammed_needs_no_fresh_report() {
    for (waiting, taken) in [(2_000.0, true), (90_000.0, false)] {
        let mut harness = thin_stand(1, 200);
        for reader in (0..20).map(|n| ServerId(10 * n)) {
            let (outcome, took) = (Outcome::Served, MS);
            harness.feed(Event::Probed { server: reader, outcome, took, report: report(0.1, waiting) });
        }
        harness.advance(700 * MS);
        let one = request(1, harness.now);
        harness.accept(one);
        assert_eq!(
            harness.pending_server(one.id).is_some(),
            taken,
            "{waiting} tokens wait everywhere by old reports"
        );
    }
}

#[test]
fn a_state_on_its_way_over_a_link_is_not_sent_for_again_elsewhere() {
    let mut settings = settings();
    settings.limits.probes = true;
    settings.dispatchers = 200;
    for (cell, kept) in [(1, true), (0, false)] {
        let fleet = vec![server(0, READER, 0), server(1, WRITER, cell)];
        let mut harness = Harness::new(settings.clone(), fleet);
        let one = request(1, harness.now);
        harness.accept(one);
        harness.advance(10 * MS);
        harness.end_with(one.id, Outcome::Read, 0, report(0.1, 0.0));
        assert_eq!(harness.pending_server(one.id), Some(ServerId(1)));
        let span = settings.classes[0].aim + S;
        for _ in 0..span / (100 * MS) {
            harness.advance(100 * MS);
            for server in std::mem::take(&mut harness.probes) {
                let (outcome, took) = (Outcome::Served, MS);
                harness.feed(Event::Probed { server, outcome, took, report: report(0.1, 0.0) });
            }
        }
        assert_eq!(harness.requests[&one.id].attempts[1].cancelled, !kept, "at a writer of cell {cell}");
    }
}
