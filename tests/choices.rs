//! Small tests of single decisions: the normal path, and one for each failure that was found.

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

/// Serves a request from its read to the end of its answer, each step after the given time. Returns its reader and
/// writer.
fn serve(stand: &mut Stand, request: Request, step: Micros) -> Option<(ServerId, ServerId)> {
    stand.accept(request);
    let reader = stand.at(request.id)?;
    stand.pass(step);
    stand.end_with(request.id, Outcome::Read, 0, report(0.1, 0.0));
    let writer = stand.at(request.id)?;
    stand.pass(step);
    stand.start(request.id);
    stand.end_with(request.id, Outcome::Served, 0, report(0.1, 0.0));
    Some((reader, writer))
}

#[test]
fn session_returns_to_the_reader_that_keeps_its_prompt() {
    let mut stand = Stand::new(settings(), pair_fleet());
    let first = request(1, stand.now);
    let (reader, writer) = serve(&mut stand, first, 50 * MS).expect("served");
    assert_eq!(writer, ServerId(1), "the writer of the reader's cell");
    for n in 2..12 {
        let again = Request { session: first.session, prompt_tokens: 2_300, ..request(n, stand.now) };
        assert_eq!(serve(&mut stand, again, 50 * MS).map(|pair| pair.0), Some(reader));
    }
}

#[test]
fn session_leaves_an_overloaded_reader() {
    let mut stand = Stand::new(settings(), pair_fleet());
    let first = request(1, stand.now);
    let (reader, _) = serve(&mut stand, first, 50 * MS).expect("served");
    for n in 2..20 {
        stand.accept(Request { prompt_tokens: 2_500, session: first.session, ..request(n, stand.now) });
        if stand.at(request(n, 0).id) != Some(reader) {
            return;
        }
        stand.accept(Request { prompt_tokens: 4_000, ..request(n + 100, stand.now) });
    }
    panic!("the load of other prompts must count");
}

#[test]
fn silent_reader_is_ejected_and_gets_single_trials() {
    let mut stand = Stand::new(settings(), pair_fleet());
    let silent = ServerId(0);
    for n in 0..75 {
        let request = request(n, stand.now);
        stand.accept(request);
        stand.pass(200 * MS);
        let ids: Vec<RequestId> = stand.requests.keys().copied().collect();
        for id in ids {
            let tracked = &stand.requests[&id];
            let Some(out) = tracked.pending() else { continue };
            let (to, cancelled) = (tracked.attempts[out].server, tracked.attempts[out].cancelled);
            match (to == silent, cancelled, to.0 % 10) {
                (true, false, _) => {}
                (true, true, _) => stand.end(id, Outcome::Cancelled),
                (false, _, 0) => stand.end(id, Outcome::Read),
                (false, ..) => {
                    stand.start(id);
                    stand.end(id, Outcome::Served);
                }
            }
        }
    }
    let first = stand.sends.iter().filter(|(.., to)| *to == silent).count();
    assert!(first > 0, "the silent reader was never tried");
    let late: Vec<_> = stand.sends.iter().filter(|(at, _, to)| *to == silent && *at > 7 * S).collect();
    assert!(late.len() <= 5, "{} sends to the silent reader in 13 s", late.len());
}

#[test]
fn ejected_readers_are_used_if_all_are_ejected() {
    let mut stand =
        Stand::new(settings(), vec![server(0, READER, 0), server(10, READER, 0), server(1, WRITER, 0)]);
    let first = request(1, stand.now);
    stand.accept(first);
    stand.end(first.id, Outcome::ConnectFailed);
    stand.end(first.id, Outcome::ConnectFailed);
    stand.pass(300 * MS);
    let next = request(2, stand.now);
    stand.accept(next);
    assert!(stand.at(next.id).is_some(), "ejected readers are used if there is no other");
}

#[test]
fn slow_writer_is_avoided() {
    let mut stand = Stand::new(settings(), vec![server(0, READER, 0), server(1, WRITER, 0)]);
    let (here, there) = (SessionKey(1), SessionKey(2));
    let first = Request { session: Some(here), ..request(1, stand.now) };
    serve(&mut stand, first, 20 * MS).expect("served");
    // Loads reader 0, so that the other session goes to the reader of cell 1.
    for n in 3..6 {
        stand.accept(Request { prompt_tokens: 4_000, ..request(n, stand.now) });
    }
    stand.list(
        ListScope::Changes,
        vec![server(100, READER, 1), server(101, WRITER, 1), server(111, WRITER, 1)],
    );
    let second = Request { session: Some(there), ..request(2, stand.now) };
    serve(&mut stand, second, 20 * MS).expect("served");
    for n in 3..6 {
        stand.gone(request(n, 0).id);
        stand.end(request(n, 0).id, Outcome::Cancelled);
    }
    let mut near = [0, 0];
    for n in 10..70 {
        let session = Some(if n % 3 == 0 { here } else { there });
        let request = Request { session, ..request(n, stand.now) };
        stand.accept(request);
        stand.pass(10 * MS);
        stand.end_with(request.id, Outcome::Read, 2_000, report(0.1, 0.0));
        let slow = stand.at(request.id) == Some(ServerId(1));
        near[usize::from(n >= 40)] += u32::from(slow);
        stand.pass(if slow { 900 * MS } else { 20 * MS });
        stand.start(request.id);
        stand.end_with(request.id, Outcome::Served, 0, report(0.1, 0.0));
    }
    assert!(
        near[0] > 0 && near[1] < near[0],
        "{near:?} states of 10 each went to the slow writer in the reader's cell"
    );
}

#[test]
fn slow_link_does_not_count_against_the_writer() {
    // The writer of cell 0 is full, so states cross to cell 1 over a slow link. The reader of cell 1 must continue to
    // use its own writer, and requests there must not be refused.
    let fleet =
        vec![server(0, READER, 0), server(1, WRITER, 0), server(100, READER, 1), server(101, WRITER, 1)];
    let mut stand = Stand::new(settings(), fleet);
    let (mut refused_near, mut near) = (0, 0);
    for n in 0..60 {
        let request = request(n, stand.now);
        stand.accept(request);
        let Some(reader) = stand.at(request.id) else {
            refused_near += 1;
            continue;
        };
        stand.pass(10 * MS);
        stand.end_with(request.id, Outcome::Read, 0, report(0.1, 0.0));
        let writer = stand.at(request.id).expect("a writer");
        let crossed = reader.0 / 100 != writer.0 / 100;
        near += u32::from(!crossed);
        stand.pass(if crossed { 900 * MS } else { 20 * MS });
        stand.start(request.id);
        let share = if writer.0 == 1 { 0.99 } else { 0.1 };
        stand.end_with(request.id, Outcome::Served, 0, report(share, 0.0));
    }
    assert_eq!(refused_near, 0);
    assert!(near >= 30, "{near} of 60 stayed in their cell");
}

/// Failure: a server that answers four of ten requests with errors does so at once, looks idler than any other and
/// attracts more requests.
#[test]
fn server_that_answers_with_errors_is_avoided_until_it_recovers() {
    let mut settings = settings();
    settings.classes[0].effect = Effect::Unsafe;
    let writers = [1, 2].map(|id| server(id, WRITER, 0));
    let mut stand = Stand::new(settings, [vec![server(0, READER, 0)], writers.to_vec()].concat());
    let serve_with = |stand: &mut Stand, n: u64, faulty: Option<ServerId>| {
        let request = request(n, stand.now);
        stand.accept(request);
        stand.pass(20 * MS);
        stand.end_with(request.id, Outcome::Read, 0, report(0.1, 0.0));
        stand.pass(20 * MS);
        let writer = stand.at(request.id).expect("a writer");
        if faulty == Some(writer) {
            stand.end(request.id, Outcome::Error);
        } else {
            stand.start(request.id);
            stand.end_with(request.id, Outcome::Served, 0, report(0.1, 0.0));
        }
        stand.pass(60 * MS);
        writer
    };
    let bad = Some(ServerId(1));
    let sent = (0..40).filter(|n| Some(serve_with(&mut stand, *n, bad)) == bad).count();
    assert!((1..=6).contains(&sent), "{sent} of 40 requests went to the faulty server");
    stand.pass(12 * S);
    let sent = (40..80).filter(|n| Some(serve_with(&mut stand, *n, None)) == bad).count();
    assert!(sent >= 10, "{sent} of 40 requests went to the server once it had recovered");
}

/// Failure: one connection to a healthy reader falls silent. The reads of other requests keep the reader from being
/// ejected, and the request waits there until its client disconnects.
#[test]
fn attempt_overtaken_by_later_ones_is_cancelled() {
    let mut stand = Stand::new(settings(), vec![server(0, READER, 0), server(1, WRITER, 0)]);
    let silent = request(1, stand.now);
    stand.accept(silent);
    stand.pass(20 * MS);
    assert_eq!(stand.at(silent.id), Some(ServerId(0)));
    for n in 2..8 {
        stand.pass(150 * MS);
        let next = request(n, stand.now);
        serve(&mut stand, next, 30 * MS).expect("served");
    }
    stand.pass(200 * MS);
    assert!(stand.requests[&silent.id].attempts[0].cancelled);
    stand.end(silent.id, Outcome::Cancelled);
    stand.pass(60 * MS);
    assert_eq!(stand.at(silent.id), Some(ServerId(0)), "the reader itself is not ejected");
}

/// Failure: a single broken connection makes the router drop all kept prefixes of a healthy reader and avoid it.
#[test]
fn reset_connection_neither_clears_kept_prefixes_nor_ejects_the_reader() {
    let mut stand = Stand::new(settings(), pair_fleet());
    let first = request(1, stand.now);
    let (reader, _) = serve(&mut stand, first, 50 * MS).expect("served");
    let broken = Request { session: first.session, ..request(2, stand.now) };
    stand.accept(broken);
    assert_eq!(stand.at(broken.id), Some(reader));
    stand.gone(broken.id);
    stand.end(broken.id, Outcome::Reset);
    // The reader is preferred only for the prompt it keeps.
    for server in [ServerId(0), ServerId(10)] {
        let report = report(0.1, if server == reader { 6_000.0 } else { 0.0 });
        stand.feed(Event::Probed { server, outcome: Outcome::Served, took: MS, report });
    }
    let again = Request { session: first.session, ..request(3, stand.now) };
    assert_eq!(serve(&mut stand, again, 50 * MS).map(|pair| pair.0), Some(reader));
}

/// Failure: a probe whose connection is reset makes a reader avoided until it is probed again, but avoided readers are
/// not probed. In the end one reader of seven was in use and refused requests.
#[test]
fn reset_probe_does_not_count_as_unanswered() {
    let mut settings = settings();
    settings.limits.probes = true;
    let mut stand = Stand::new(settings, pair_fleet());
    let first = request(1, stand.now);
    stand.accept(first);
    stand.pass(100 * MS);
    let reader = stand.at(first.id).expect("a reader");
    stand.end_with(first.id, Outcome::Read, 0, report(0.1, 0.0));
    stand.pass(S);
    stand.probes.clear();
    let again = Request { session: first.session, ..request(2, stand.now) };
    stand.accept(again);
    assert!(stand.probes.contains(&reader), "{:?}", stand.probes);
    for server in std::mem::take(&mut stand.probes) {
        let broke = server == reader;
        let outcome = if broke { Outcome::Reset } else { Outcome::Served };
        let report = if broke { None } else { report(0.1, 0.0) };
        stand.feed(Event::Probed { server, outcome, took: MS, report });
    }
    stand.pass(100 * MS);
    assert_eq!(stand.at(again.id), Some(reader));
}

#[test]
fn overloaded_fleet_refuses_requests_early() {
    let mut stand = Stand::new(settings(), vec![server(0, READER, 0), server(1, WRITER, 0)]);
    for n in 0..40 {
        stand.accept(request(n, stand.now));
    }
    let taken = stand.requests.values().filter(|t| !t.over).count();
    assert!((2..20).contains(&taken), "one reader admitted {taken} of 40 simultaneous prompts");
}

#[test]
fn long_prompt_is_admitted_by_an_idle_fleet() {
    let mut settings = settings();
    settings.classes[0].aim_per_1000_tokens = 40_000;
    let mut stand = Stand::new(settings, pair_fleet());
    for n in 0..3 {
        stand.accept(Request { prompt_tokens: 300, ..request(n, stand.now) });
    }
    let long = Request { prompt_tokens: 15_000, ..request(9, stand.now) };
    stand.accept(long);
    assert!(stand.at(long.id).is_some(), "its own long read must not count as queueing");
}

#[test]
fn tenant_over_its_share_is_refused_first() {
    let mut settings = settings();
    settings.over_share_worth = 0.1;
    settings.tenants =
        vec![Tenant { share: 0.5, quota_per_s: 1_000.0 }, Tenant { share: 0.5, quota_per_s: 0.1 }];
    let mut stand = Stand::new(settings, vec![server(0, READER, 0), server(1, WRITER, 0)]);
    let mut taken = [0, 0];
    for n in 0..40 {
        let tenant = (n % 2) as u16;
        let request = Request { tenant: Some(TenantId(tenant)), prompt_tokens: 500, ..request(n, stand.now) };
        stand.accept(request);
        taken[usize::from(tenant)] += usize::from(stand.at(request.id).is_some());
    }
    assert!(taken[0] >= taken[1] + 2, "{taken:?}");
}

#[test]
fn invalid_settings_are_refused() {
    use milletseam::choice::Router;
    assert!(matches!(Router::new(Settings::plain(1), 1, 0), Err(SettingsError::Empty("kinds"))));
    let mut negative = settings();
    negative.rules.cold_from = f64::NAN;
    assert!(matches!(Router::new(negative, 1, 0), Err(SettingsError::OutOfRange("cold_from"))));
}

/// A fleet of 20 readers and 20 writers behind many dispatchers, of which the stand is one.
fn sparse_stand(seed: u64, dispatchers: u32) -> Stand {
    let mut settings = settings();
    settings.dispatchers = dispatchers;
    settings.limits.probes = false;
    let mut fleet: Vec<_> = (0..20).map(|n| server(10 * n, READER, n % 4)).collect();
    fleet.extend((0..20).map(|n| server(10 * n + 1, WRITER, n % 4)));
    let mut stand = Stand::with_seed(settings, fleet, seed);
    stand.pass(300 * MS);
    stand
}

#[test]
fn independent_dispatchers_agree_on_the_reader_of_a_session() {
    let mut readers = std::collections::BTreeSet::new();
    for seed in 0..40 {
        let mut stand = sparse_stand(seed, 200);
        let same = Request { session: Some(SessionKey(77)), ..request(seed, stand.now) };
        stand.accept(same);
        readers.insert(stand.at(same.id));
    }
    assert_eq!(readers.len(), 1, "a session has one reader");
    let mut session_readers = std::collections::BTreeSet::new();
    for session in 0..60 {
        let mut stand = sparse_stand(1, 200);
        let new_request = Request { session: Some(SessionKey(session)), ..request(session, stand.now) };
        stand.accept(new_request);
        session_readers.insert(stand.at(new_request.id));
    }
    assert_eq!(session_readers.len(), 5, "sessions spread over all readers of the dispatcher's zone");
}

#[test]
fn many_dispatchers_do_not_overload_a_cold_server() {
    let mut sends = 0;
    for seed in 0..200 {
        let mut stand = sparse_stand(seed, 200);
        let cold = ServerEntry { started: Some(stand.now), ..server(1_000, READER, 0) };
        stand.list(ListScope::Changes, vec![cold]);
        // The cold server is idle, and all others have just refused a request as full.
        for n in 0..3 {
            let new_request = request(n, stand.now);
            stand.accept(new_request);
            if stand.at(new_request.id) != Some(cold.id) {
                stand.end(new_request.id, Outcome::Full);
            }
            stand.pass(100 * MS);
        }
        sends += stand.sends.iter().filter(|(.., to)| *to == cold.id).count();
    }
    assert!(sends <= 10, "{sends} sends to a cold server within 0.3 s, from 200 dispatchers");
}

/// Failure: each of many dispatchers waits for its turn at a cold server and then has no request for it, so that the
/// cold server idles while all others are overloaded.
#[test]
fn many_dispatchers_use_a_cold_server_while_others_are_overloaded() {
    let (mut sends, mut requests) = (0, 0);
    for seed in 0..200 {
        let mut stand = sparse_stand(seed, 200);
        // Overloaded servers serve as much as they can, which determines what a cold server may be sent.
        for n in 100..105 {
            let new_request = request(n, stand.now);
            stand.accept(new_request);
            stand.pass(200 * MS);
            stand.end(new_request.id, Outcome::Read);
            stand.start(new_request.id);
            stand.end(new_request.id, Outcome::Served);
        }
        let cold = ServerEntry { started: Some(stand.now), ..server(1_000, READER, 0) };
        stand.list(ListScope::Changes, vec![cold]);
        for n in 0..5 {
            for reader in 0..20 {
                let (server, report) = (ServerId(10 * reader), report(0.1, 30_000.0));
                stand.feed(Event::Probed { server, outcome: Outcome::Served, took: MS, report });
            }
            stand.accept(request(n, stand.now));
            requests += 1;
            stand.pass(200 * MS);
        }
        sends += stand.sends.iter().filter(|(.., to)| *to == cold.id).count();
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
fn best_candidates_are_probed_before_the_choice() {
    let mut settings = settings();
    settings.limits.probes = true;
    let mut stand = Stand::new(settings, pair_fleet());
    let first = request(1, stand.now);
    stand.accept(first);
    assert_eq!(stand.at(first.id), None, "the choice must wait for reports");
    assert_eq!(stand.probes.len(), 2, "both readers are probed");
    let probed = |server, waiting| Event::Probed {
        server: ServerId(server),
        outcome: Outcome::Served,
        took: MS,
        report: report(0.1, waiting),
    };
    stand.feed(probed(0, 30_000.0));
    stand.feed(probed(10, 0.0));
    stand.pass(100 * MS);
    assert_eq!(stand.at(first.id), Some(ServerId(10)), "the idle reader is chosen");
}

/// Failure: reports state queues in requests only, and every reader is taken to be idle.
#[test]
fn queue_reported_in_requests_is_converted_to_tokens() {
    for (waiting_at_0, waiting_at_10, expected) in [(20.0, 0.0, 10), (0.0, 20.0, 0)] {
        let mut settings = settings();
        settings.limits.probes = true;
        let mut stand = Stand::new(settings, pair_fleet());
        let first = request(1, stand.now);
        stand.accept(first);
        for (server, waiting) in [(0, waiting_at_0), (10, waiting_at_10)] {
            stand.feed(Event::Probed {
                server: ServerId(server),
                outcome: Outcome::Served,
                took: MS,
                report: Some(Report { waiting: Some(waiting), ..Report::default() }),
            });
        }
        stand.pass(100 * MS);
        assert_eq!(stand.at(first.id), Some(ServerId(expected)));
    }
}

#[test]
fn reader_with_unanswered_probe_is_avoided() {
    let mut settings = settings();
    settings.limits.probes = true;
    let mut stand = Stand::new(settings, pair_fleet());
    stand.accept(request(1, stand.now));
    let answer = Event::Probed {
        server: ServerId(10),
        outcome: Outcome::Served,
        took: MS,
        report: report(0.5, 3_000.0),
    };
    stand.feed(answer);
    stand.pass(100 * MS);
    assert_eq!(
        stand.at(request(1, 0).id),
        Some(ServerId(10)),
        "a reader with a known load is preferred to one that left a probe unanswered"
    );
}

#[test]
fn attempt_is_cancelled_only_after_an_unanswered_probe() {
    let mut settings = settings();
    settings.limits.probes = true;
    settings.classes[0].aim = 3 * S;
    for answers in [true, false] {
        let fleet = vec![server(0, READER, 0), server(1, WRITER, 0)];
        let mut stand = Stand::new(settings.clone(), fleet);
        stand.pass(10 * MS);
        let new_request = request(1, stand.now);
        stand.accept(new_request);
        assert_eq!(stand.at(new_request.id), Some(ServerId(0)));
        let aim = settings.classes[0].aim;
        for _ in 0..aim / (100 * MS) - 1 {
            stand.pass(100 * MS);
            for server in std::mem::take(&mut stand.probes).into_iter().filter(|_| answers) {
                stand.feed(Event::Probed {
                    server,
                    outcome: Outcome::Served,
                    took: MS,
                    report: report(0.1, 0.0),
                });
            }
        }
        assert_eq!(stand.requests[&new_request.id].attempts[0].cancelled, !answers);
    }
}

#[test]
fn server_full_for_one_tenant_serves_another() {
    let mut settings = settings();
    settings.tenants = vec![Tenant { share: 0.5, quota_per_s: 1e6 }; 2];
    let fleet = vec![server(0, READER, 0), server(10, READER, 0), server(1, WRITER, 0)];
    let mut stand = Stand::new(settings, fleet);
    let of = |n, tenant, now| Request {
        tenant: Some(TenantId(tenant)),
        session: None,
        prompt_tokens: 500,
        ..request(n, now)
    };
    let first = of(1, 0, stand.now);
    stand.accept(first);
    let full = stand.at(first.id).expect("a reader");
    stand.end(first.id, Outcome::Full);
    stand.end(first.id, Outcome::Read);
    stand.pass(S);
    let mut readers_used = std::collections::BTreeSet::new();
    for n in 0..12 {
        let (same, other) = (of(10 + n, 0, stand.now), of(50 + n, 1, stand.now));
        stand.accept(same);
        assert_ne!(stand.at(same.id), Some(full), "the tenant avoids the server that refused it as full");
        stand.accept(other);
        readers_used.insert(stand.at(other.id));
        for id in [same.id, other.id] {
            if stand.at(id).is_some() {
                stand.end(id, Outcome::Read);
            }
        }
    }
    assert!(readers_used.contains(&Some(full)), "the other tenant is served by that server");
}

#[test]
fn writer_reads_only_if_allowed_and_no_reader_is_listed() {
    for (writers_read, sent) in [(true, Some(ServerId(1))), (false, None)] {
        let mut settings = settings();
        settings.limits.writers_read = writers_read;
        let mut stand = Stand::new(settings, vec![server(1, WRITER, 0)]);
        let request = request(1, stand.now);
        stand.accept(request);
        assert_eq!(stand.at(request.id), sent);
    }
}

/// A dispatcher that has received 20 long prompts in the last seconds.
fn busy_stand(seed: u64, dispatchers: u32) -> Stand {
    let mut stand = sparse_stand(seed, dispatchers);
    for n in 1_000..1_020 {
        let new_request = Request { prompt_tokens: 6_000, session: None, ..request(n, stand.now) };
        stand.accept(new_request);
        stand.pass(100 * MS);
        if stand.at(new_request.id).is_none() {
            continue;
        }
        stand.end_with(new_request.id, Outcome::Read, 0, report(0.1, 0.0));
        stand.start(new_request.id);
        stand.end_with(new_request.id, Outcome::Served, 0, report(0.1, 0.0));
    }
    stand
}

#[test]
fn report_of_an_empty_reader_does_not_admit_every_dispatcher() {
    let mut refused = [0, 0];
    for (dispatchers, refused) in [1, 200].into_iter().zip(&mut refused) {
        for seed in 0..40 {
            let mut stand = busy_stand(seed, dispatchers);
            for reader in (0..20).map(|n| ServerId(10 * n)) {
                let empty = report(0.0, 0.0);
                let (outcome, took) = (Outcome::Served, MS);
                stand.feed(Event::Probed { server: reader, outcome, took, report: empty });
            }
            let new_request = Request { prompt_tokens: 6_000, ..request(1, stand.now) };
            stand.accept(new_request);
            *refused += usize::from(stand.requests[&new_request.id].over);
        }
    }
    assert_eq!(refused[0], 0, "a single dispatcher trusts the report");
    assert!((5..40).contains(&refused[1]), "{} of 40 refused by one dispatcher of 200", refused[1]);
}

#[test]
fn idle_reader_does_not_attract_a_session_from_its_loaded_reader() {
    let mut moved = 0;
    for n in 0..40 {
        let mut stand = sparse_stand(1, 200);
        let new_request = Request { expires: stand.now + 60 * S, ..request(n, stand.now) };
        stand.accept(new_request);
        let session_reader = stand.at(new_request.id).expect("a reader");
        // A report shows a longer queue there than elsewhere, but other dispatchers would still send the session there.
        stand.end_with(new_request.id, Outcome::Read, 0, report(0.1, 40_000.0));
        let other = (0..20).map(|n| ServerId(10 * n)).find(|id| *id != session_reader).expect("others");
        stand.feed(Event::Probed {
            server: other,
            outcome: Outcome::Served,
            took: MS,
            report: report(0.0, 0.0),
        });
        let later = Request {
            session: new_request.session,
            expires: stand.now + 60 * S,
            ..request(n + 100, stand.now)
        };
        stand.accept(later);
        moved += usize::from(stand.at(later.id).is_some_and(|id| id != session_reader));
    }
    assert_eq!(moved, 0, "number of 40 sessions that moved");
}

#[test]
fn attempt_in_a_long_queue_is_not_cancelled() {
    let mut settings = settings();
    settings.limits.probes = true;
    for (waiting, kept) in [(60_000.0, true), (0.0, false)] {
        let mut stand = Stand::new(settings.clone(), vec![server(0, READER, 0), server(1, WRITER, 0)]);
        stand.pass(10 * MS);
        let new_request = request(1, stand.now);
        stand.accept(new_request);
        let span = settings.classes[0].aim + S;
        for _ in 0..span / (100 * MS) {
            stand.pass(100 * MS);
            for server in std::mem::take(&mut stand.probes) {
                stand.feed(Event::Probed {
                    server,
                    outcome: Outcome::Served,
                    took: MS,
                    report: report(0.1, waiting),
                });
            }
        }
        let cancelled = stand.requests[&new_request.id].attempts[0].cancelled;
        assert_eq!(cancelled, !kept, "cancelled after the aim, at a reader with {waiting} tokens waiting");
    }
}

/// Covers each reason to give up before the deadline: overload, used-up attempts, and no server until the aim.
#[test]
fn abandoned_request_is_answered_at_once() {
    let mut stand = Stand::new(settings(), vec![server(0, READER, 0), server(1, WRITER, 0)]);
    for n in 0..40 {
        let new_request = request(n, stand.now);
        stand.accept(new_request);
        assert!(
            stand.requests[&new_request.id].over || stand.at(new_request.id).is_some(),
            "the request was neither sent nor answered"
        );
    }
    let mut stand = Stand::new(settings(), pair_fleet());
    let new_request = request(1, stand.now);
    stand.accept(new_request);
    while stand.at(new_request.id).is_some() {
        stand.end(new_request.id, Outcome::ConnectFailed);
    }
    assert!(
        stand.requests[&new_request.id].over,
        "the request must be answered when the last attempt has failed"
    );
    let mut stand = Stand::new(settings(), Vec::new());
    let new_request = Request { expires: stand.now + 60 * S, ..request(1, stand.now) };
    stand.accept(new_request);
    stand.pass(stand.settings.classes[0].aim + 100 * MS);
    assert!(
        stand.requests[&new_request.id].over,
        "without servers the request must be answered at its aim, not at its deadline"
    );
}

#[test]
fn overloaded_fleet_refuses_without_a_fresh_report() {
    for (waiting, taken) in [(2_000.0, true), (90_000.0, false)] {
        let mut stand = sparse_stand(1, 200);
        for reader in (0..20).map(|n| ServerId(10 * n)) {
            let (outcome, took) = (Outcome::Served, MS);
            stand.feed(Event::Probed { server: reader, outcome, took, report: report(0.1, waiting) });
        }
        stand.pass(700 * MS);
        let new_request = request(1, stand.now);
        stand.accept(new_request);
        assert_eq!(
            stand.at(new_request.id).is_some(),
            taken,
            "old reports show {waiting} tokens waiting at every reader"
        );
    }
}

#[test]
fn transfer_over_a_link_is_not_cancelled_as_overdue() {
    let mut settings = settings();
    settings.limits.probes = true;
    settings.dispatchers = 200;
    for (cell, kept) in [(1, true), (0, false)] {
        let fleet = vec![server(0, READER, 0), server(1, WRITER, cell)];
        let mut stand = Stand::new(settings.clone(), fleet);
        let new_request = request(1, stand.now);
        stand.accept(new_request);
        stand.pass(10 * MS);
        stand.end_with(new_request.id, Outcome::Read, 0, report(0.1, 0.0));
        assert_eq!(stand.at(new_request.id), Some(ServerId(1)));
        let span = settings.classes[0].aim + S;
        for _ in 0..span / (100 * MS) {
            stand.pass(100 * MS);
            for server in std::mem::take(&mut stand.probes) {
                let (outcome, took) = (Outcome::Served, MS);
                stand.feed(Event::Probed { server, outcome, took, report: report(0.1, 0.0) });
            }
        }
        assert_eq!(
            stand.requests[&new_request.id].attempts[1].cancelled, !kept,
            "cancelled at a writer of cell {cell}"
        );
    }
}
