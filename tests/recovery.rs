//! When a service that many share is asked again.

use milletseam::interface::Micros;
use milletseam::recovery::{Failed, Pacing};
use proptest::prelude::*;

const MS: Micros = 1_000;

/// Failure: all conductors ask a discovery that is overbooked again at once, so that it never answers anybody.
#[test]
fn together_the_refused_ask_no_more_than_an_overbooked_discovery_bears() {
    // Calls a second by 48 conductors that are refused over and over, in the 5 s from the given one on.
    let rate = |from: Micros| {
        let callers = 48;
        let mut calls = 0;
        for seed in 0..u64::from(callers) {
            let (mut pacing, mut at) = (Pacing::new(seed, callers), 0);
            while at < from + 5_000 * MS {
                calls += u32::from(at >= from);
                at += pacing.pause(Failed::Refused);
            }
        }
        f64::from(calls) / 5.0
    };
    let (first, later) = (rate(500 * MS), rate(20_000 * MS));
    assert!(first < 12.0, "{first} calls a second");
    assert!(later < 5.0, "{later} calls a second");
}

/// Failure: a watch whose connection broke is begun anew, as it was resumed too late.
#[test]
fn a_watch_that_broke_is_resumed_in_time_and_a_dead_service_is_spared() {
    let mut pacing = Pacing::new(7, 3);
    for _ in 0..4 {
        assert!(pacing.pause(Failed::Broke) < 200 * MS);
    }
    assert!(pacing.pause(Failed::Broke) >= 150 * MS, "it is down");
    pacing.answered();
    assert!(pacing.pause(Failed::Broke) < 200 * MS, "and back");
    assert!(pacing.pause(Failed::Silent) < 200 * MS, "the wait was a pause already");
}

proptest! {
    /// Invariants: no pause is without bound or none at all, an answer takes all back, and two callers that were
    /// refused together do not keep step.
    #[test]
    fn pauses_are_bounded_and_drawn_apart(
        seed in any::<u64>(),
        callers in 1u32..10_000,
        failures in proptest::collection::vec(0usize..3, 1..60),
    ) {
        let (mut one, mut other) = (Pacing::new(seed, callers), Pacing::new(seed ^ 1, callers));
        let (mut a, mut b, mut refused) = (0, 0, 0);
        for failure in failures {
            let failed = [Failed::Refused, Failed::Broke, Failed::Silent][failure];
            refused += u32::from(failed == Failed::Refused);
            let (p, q) = (one.pause(failed), other.pause(failed));
            prop_assert!((50 * MS..=30_000 * MS).contains(&p), "{} for {:?}", p, failed);
            (a, b) = (a + p, b + q);
        }
        prop_assert!(refused < 3 || a != b);
        one.answered();
        prop_assert!(one.pause(Failed::Refused) <= 7_500 * MS);
    }
}
