//! Where a prompt is read, as many dispatchers that share nothing choose it: on how many readers a prefix lives,
//! and what moves when a reader drains, restarts or comes back.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::*;
use milletseam::interface::*;

/// Unlike fleets: readers, zones, dispatchers and the readers' memory.
const FLEETS: [(u32, u32, u32, u64); 3] =
    [(6, 1, 30, 40_000), (24, 2, 200, 300_000), (60, 4, 500, 5_000_000)];

fn fleet(readers: u32, zones: u32) -> Vec<ServerEntry> {
    let readers_and = (0..readers).map(|n| server(10 * n, READER, n % zones));
    readers_and.chain((0..readers).map(|n| server(10 * n + 1, WRITER, n % zones))).collect()
}

/// One of many dispatchers, in one of the zones.
fn dispatcher((readers, zones, dispatchers, memory): (u32, u32, u32, u64), seed: u64) -> Stand {
    let mut settings = settings();
    (settings.dispatchers, settings.zone) = (dispatchers, ZoneId((seed % u64::from(zones)) as u16));
    settings.kinds.iter_mut().for_each(|kind| kind.memory_tokens = memory);
    Stand::with_seed(settings, fleet(readers, zones), seed)
}

/// The first turn of a session that opens with the prefix.
fn opening(n: u64, prefix: u64, now: Micros) -> Request {
    Request { prefix: Some(PrefixKey(prefix)), prefix_tokens: 1_500, ..request(n, now) }
}

/// Where the dispatcher sends it; it is read and answered at once.
fn reader_of(stand: &mut Stand, request: Request) -> ServerId {
    stand.accept(request);
    let reader = stand.at(request.id).expect("a reader");
    stand.end_with(request.id, Outcome::Read, 1_500, None);
    stand.start(request.id);
    stand.end(request.id, Outcome::Served);
    reader
}

#[test]
fn a_prefix_in_little_demand_has_one_place_for_all_dispatchers() {
    for of in FLEETS {
        let mut all = BTreeSet::new();
        for prefix in 0..40 {
            let place = |seed: u64| {
                let mut stand = dispatcher(of, seed);
                let one = opening(seed, prefix, stand.now);
                reader_of(&mut stand, one)
            };
            let places: BTreeSet<ServerId> = (0..20).map(place).collect();
            assert_eq!(places.len(), 1, "prefix {prefix} of fleet {of:?}: {places:?}");
            all.extend(places);
        }
        assert!(all.len() as u32 > of.0 / 3, "{} of {} readers hold prefixes", all.len(), of.0);
    }
}

/// The readers to which a dispatcher sends a prefix that has one part in so many of its requests.
fn places_at(of: (u32, u32, u32, u64), one_in: u64) -> usize {
    let mut stand = dispatcher(of, 3);
    let mut places = BTreeSet::new();
    for n in 0..400 {
        let prefix = if n % one_in == 0 { 7 } else { 1_000 + n };
        let one = opening(n, prefix, stand.now);
        let reader = reader_of(&mut stand, one);
        if prefix == 7 {
            places.insert(reader);
        }
        stand.pass(50 * MS);
    }
    places.len()
}

#[test]
fn a_prefix_has_as_many_places_as_its_demand_fills() {
    for of in FLEETS {
        let near = (of.0 / of.1) as usize;
        let places: Vec<usize> = [100, 40, 8, 2].into_iter().map(|one_in| places_at(of, one_in)).collect();
        assert_eq!(places[0], 1, "four in 20 s, fleet {of:?}");
        assert!(places.is_sorted(), "places by demand {places:?}, fleet {of:?}");
        // Half of all requests have it: each of its places takes a quarter of a reader at most, so that it has all
        // of its zone, and at least one elsewhere may keep it.
        assert!((near / 2..=near + 2).contains(&places[3]), "{places:?} of {near}, fleet {of:?}");
    }
}

fn placed(stand: &mut Stand, round: u64) -> BTreeMap<u64, ServerId> {
    let mut place = |prefix: u64| {
        stand.pass(50 * MS);
        let one = opening(round * 1_000 + prefix, prefix, stand.now);
        (prefix, reader_of(stand, one))
    };
    (0..120).map(&mut place).collect()
}

#[test]
fn a_drain_moves_only_what_was_there_and_its_end_brings_it_back() {
    for of in FLEETS {
        // Each round is another dispatcher's: none knows what the others have sent.
        let before = placed(&mut dispatcher(of, 1), 0);
        let leaves = before[&0];
        let mut during = dispatcher(of, 1 + u64::from(of.1));
        let entry = during.entries[&leaves];
        during.list(ListScope::Changes, vec![ServerEntry { state: ServerState::Draining, ..entry }]);
        let moved = placed(&mut during, 1);
        for (prefix, reader) in &before {
            let same = moved[prefix] == *reader;
            assert_eq!(same, *reader != leaves, "prefix {prefix} of fleet {of:?}");
        }
        assert_eq!(placed(&mut dispatcher(of, 1 + 2 * u64::from(of.1)), 2), before, "fleet {of:?}");
    }
}

#[test]
fn a_restarted_reader_is_empty_and_keeps_its_prefixes_places() {
    for of in FLEETS {
        let mut stand = dispatcher(of, 1);
        let before = placed(&mut stand, 0);
        let restarted = before[&0];
        let entry = ServerEntry { started: Some(1), ..stand.entries[&restarted] };
        stand.list(ListScope::Changes, vec![entry]);
        stand.pass(20 * S); // it is warm again
        assert_eq!(placed(&mut stand, 1), before, "fleet {of:?}");
    }
}
