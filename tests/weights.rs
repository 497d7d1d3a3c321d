//! Weights: the capacity of a server relative to others of its role.

mod common;

use std::collections::BTreeMap;

use common::*;
use milletseam::interface::*;

fn weighted_server(id: u32, kind: KindId, cell: u32, weight: f64) -> ServerEntry {
    ServerEntry { weight, ..server(id, kind, cell) }
}

/// A request that expires after 1,000 s.
fn request_with_long_deadline(n: u64, now: Micros) -> Request {
    Request { expires: now + 1_000 * S, ..request(n, now) }
}

/// Sends requests of which none ends, and counts the first attempts per server.
fn first_sends(harness: &mut Harness, requests: u64) -> BTreeMap<ServerId, u32> {
    let mut sends = BTreeMap::new();
    for n in 0..requests {
        let new_request = request_with_long_deadline(1_000 + n, harness.now);
        harness.accept(new_request);
        if let Some(server) = harness.pending_server(new_request.id) {
            *sends.entry(server).or_default() += 1;
        }
    }
    sends
}

fn long_aims() -> Settings {
    let mut settings = settings();
    settings.classes[0].aim = 1_000 * S;
    settings
}

#[test]
fn readers_that_are_otherwise_equal_are_chosen_by_weight() {
    let fleet =
        vec![weighted_server(0, READER, 0, 1.0), weighted_server(10, READER, 0, 3.0), server(1, WRITER, 0)];
    let mut harness = Harness::new(long_aims(), fleet);
    let sends = first_sends(&mut harness, 200);
    let share = f64::from(sends[&ServerId(10)]) / 200.0;
    assert!((0.70..=0.80).contains(&share), "{share}");
}

#[test]
fn only_the_ratio_of_weights_matters() {
    let sends_at_scale = |scale: f64| {
        let fleet = vec![
            weighted_server(0, READER, 0, scale),
            weighted_server(10, READER, 0, 2.0 * scale),
            server(1, WRITER, 0),
        ];
        first_sends(&mut Harness::new(long_aims(), fleet), 90)
    };
    assert_eq!(sends_at_scale(1.0), sends_at_scale(40.0));
}

/// Failure: the weights of a file have no effect, or a server of weight 0 still takes work.
#[test]
fn server_of_weight_zero_takes_nothing_new() {
    let fleet = vec![
        weighted_server(0, READER, 0, 0.0),
        weighted_server(10, READER, 0, 0.5),
        weighted_server(1, WRITER, 0, 0.0),
        weighted_server(11, WRITER, 0, 0.1),
    ];
    let mut harness = Harness::new(long_aims(), fleet);
    for n in 0..30 {
        let new_request = request(n, harness.now);
        harness.accept(new_request);
        assert_eq!(harness.pending_server(new_request.id), Some(ServerId(10)));
        harness.end(new_request.id, Outcome::Read);
        assert_eq!(harness.pending_server(new_request.id), Some(ServerId(11)));
        harness.start(new_request.id);
        harness.end(new_request.id, Outcome::Served);
    }
}

#[test]
fn writers_take_streams_in_proportion_to_weight() {
    let fleet =
        vec![server(0, READER, 0), weighted_server(1, WRITER, 0, 1.0), weighted_server(11, WRITER, 0, 2.0)];
    let mut harness = Harness::new(long_aims(), fleet);
    let mut sends = BTreeMap::new();
    for n in 0..60 {
        let new_request = request(n, harness.now);
        harness.accept(new_request);
        harness.end(new_request.id, Outcome::Read);
        *sends.entry(harness.pending_server(new_request.id).expect("a writer")).or_insert(0) += 1;
        harness.start(new_request.id);
    }
    assert_eq!((sends[&ServerId(1)], sends[&ServerId(11)]), (20, 40));
}

/// Failure: a small server that has just started gets as much as a large one, and falls over.
#[test]
fn cold_server_budget_is_proportional_to_weight() {
    let sent = |weight: f64| {
        let mut sent = 0;
        for seed in 0..40 {
            let warm =
                [server(0, READER, 0), server(10, READER, 0), server(1, WRITER, 0), server(11, WRITER, 0)];
            let mut harness = Harness::with_seed(long_aims(), warm.to_vec(), seed);
            for n in 0..60 {
                let new_request = request(n, harness.now);
                harness.accept(new_request);
                harness.advance(20 * MS);
                harness.end(new_request.id, Outcome::Read);
                harness.start(new_request.id);
                harness.end(new_request.id, Outcome::Served);
            }
            let cold = ServerEntry { started: Some(harness.now), ..weighted_server(20, READER, 0, weight) };
            // The weight of this server keeps the mean at 1, so that the cold server's weight applies as given.
            let other = weighted_server(30, READER, 0, 2.0 - weight);
            harness.list(ListScope::Full, [&warm[..], &[cold, other]].concat());
            let before = harness.sends.len();
            for n in 100..250 {
                harness.accept(request_with_long_deadline(n, harness.now));
                harness.advance(20 * MS);
            }
            sent += harness.sends[before..].iter().filter(|(_, _, to)| *to == ServerId(20)).count();
        }
        sent as f64
    };
    let ratio = sent(0.4) / sent(1.6);
    assert!(ratio < 0.6, "a quarter of the weight got {ratio:.2} of the sends");
}

/// Failure: among thousands of readers, the one that keeps a session is not among the candidates.
#[test]
fn session_returns_to_its_reader_in_a_large_fleet() {
    let ids = (0..1_000).map(|n| n * 10);
    let fleet = ids.flat_map(|id| [server(id, READER, id / 100), server(id + 1, WRITER, id / 100)]).collect();
    let mut harness = Harness::new(long_aims(), fleet);
    for n in 0..40 {
        let new_request = Request { session: Some(SessionKey(n % 8)), ..request(n, harness.now) };
        harness.accept(new_request);
        let reader = harness.pending_server(new_request.id).expect("a reader");
        harness.end(new_request.id, Outcome::Read);
        let writer = harness.pending_server(new_request.id).expect("a writer");
        assert_eq!(writer.0 / 100, reader.0 / 100, "the writer must be in the reader's cell");
        harness.start(new_request.id);
        harness.end(new_request.id, Outcome::Served);
        let first = harness
            .sends
            .iter()
            .find(|(_, id, _)| harness.requests[id].request.session == new_request.session);
        assert_eq!(first.map(|(_, _, to)| *to), Some(reader), "session {}", n % 8);
    }
}

/// Failure: among hundreds of draining servers, the one that takes work is not among the candidates.
#[test]
fn few_servers_that_take_work_are_found_in_a_large_fleet() {
    let fleet = (0..600).flat_map(|n| {
        let reader = server(n * 10, READER, n / 10);
        let state = if n == 377 { ServerState::Ready } else { ServerState::Draining };
        [
            ServerEntry { state, ..reader },
            weighted_server(n * 10 + 1, WRITER, n / 10, f64::from(u32::from(n == 12))),
        ]
    });
    let mut harness = Harness::new(long_aims(), fleet.collect());
    for n in 0..20 {
        let new_request = request(n, harness.now);
        harness.accept(new_request);
        assert_eq!(harness.pending_server(new_request.id), Some(ServerId(3770)), "request {n}");
        harness.end(new_request.id, Outcome::Read);
        assert_eq!(harness.pending_server(new_request.id), Some(ServerId(121)), "request {n}");
        harness.start(new_request.id);
        harness.end(new_request.id, Outcome::Served);
    }
}
