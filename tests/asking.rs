//! Readers are asked for reports before a choice: a report waits in the queue that it tells of, so whoever answers
//! first has the shortest, and one that is silent is no place to send to unseen.

mod common;

use std::collections::BTreeSet;

use common::*;
use milletseam::interface::*;

fn report(waiting_tokens: f64) -> Option<Report> {
    Some(Report { memory_share: Some(0.1), waiting_tokens: Some(waiting_tokens), ..Report::default() })
}

/// One of many dispatchers before 20 readers and writers of one zone, or alone before them.
fn stand(dispatchers: u32) -> Stand {
    let mut settings = settings();
    (settings.dispatchers, settings.limits.probes) = (dispatchers, true);
    let mut fleet: Vec<_> = (0..20).map(|n| server(10 * n, READER, 0)).collect();
    fleet.extend((0..20).map(|n| server(10 * n + 1, WRITER, 0)));
    let mut stand = Stand::with_seed(settings, fleet, 5);
    stand.pass(300 * MS);
    stand
}

fn answer(stand: &mut Stand, server: ServerId, waiting_tokens: f64) {
    let report = report(waiting_tokens);
    stand.feed(Event::Probed { server, outcome: Outcome::Served, took: MS, report });
}

/// The readers that were asked since the last look.
fn asked(stand: &mut Stand) -> Vec<ServerId> {
    std::mem::take(&mut stand.probes).into_iter().filter(|id| id.0 % 10 == 0).collect()
}

/// Failure: the best three are jammed, their reports wait there, and the prompt goes to a reader of which nothing
/// is known.
#[test]
fn others_are_asked_while_the_best_stay_silent_and_one_that_answers_is_taken() {
    let mut stand = stand(200);
    let one = request(1, stand.now);
    stand.accept(one);
    let first = asked(&mut stand);
    assert!(!first.is_empty(), "nobody was asked");
    stand.pass(150 * MS);
    let second = asked(&mut stand);
    assert!(!second.is_empty(), "nobody else was asked");
    let both: BTreeSet<_> = first.iter().chain(&second).collect();
    assert_eq!(both.len(), first.len() + second.len(), "a silent one was asked again: {first:?}, {second:?}");
    assert_eq!(stand.at(one.id), None, "sent to a reader of which nothing is known");
    second.iter().for_each(|id| answer(&mut stand, *id, 0.0));
    let taken = stand.at(one.id);
    assert!(taken.is_some_and(|id| second.contains(&id)), "{taken:?} of {second:?}");
}

/// Failure: a choice waits out its time though the best has answered.
#[test]
fn the_best_is_taken_as_soon_as_it_answers() {
    let mut stand = stand(200);
    let one = request(1, stand.now);
    stand.accept(one);
    let best = asked(&mut stand)[0];
    let now = stand.now;
    answer(&mut stand, best, 0.0);
    assert_eq!((stand.at(one.id), stand.now), (Some(best), now));
}

/// Failure: a report that comes after some steps of its reader counts as silence, and a session moves to a reader that
/// answered at once and keeps nothing.
#[test]
fn a_reader_that_keeps_the_text_is_waited_for() {
    let mut stand = stand(200);
    let one = request(1, stand.now);
    stand.accept(one);
    let keeps = asked(&mut stand)[0];
    answer(&mut stand, keeps, 0.0);
    stand.end_with(one.id, Outcome::Read, 0, None);
    stand.pass(2 * S);
    asked(&mut stand);
    let again = Request { session: one.session, ..request(2, stand.now) };
    stand.accept(again);
    let others: Vec<_> = asked(&mut stand).into_iter().filter(|id| *id != keeps).collect();
    assert!(!others.is_empty());
    others.iter().for_each(|id| answer(&mut stand, *id, 0.0));
    assert_eq!(stand.at(again.id), None, "another one was taken at once");
    stand.pass(60 * MS);
    answer(&mut stand, keeps, 0.0);
    assert_eq!(stand.at(again.id), Some(keeps));
}

/// Failure: where no probe is ever answered, requests wait for one, or are not sent at all.
#[test]
fn silence_everywhere_ends_the_asking() {
    for dispatchers in [1, 200] {
        let mut stand = stand(dispatchers);
        let one = request(1, stand.now);
        let aim = stand.settings.classes[0].aim;
        stand.accept(one);
        stand.pass(aim * 4 / 10);
        assert!(stand.at(one.id).is_some(), "{dispatchers} dispatchers: {:?}", stand.log);
        // Three rounds of three at most.
        assert!(asked(&mut stand).len() <= 9);
    }
}
