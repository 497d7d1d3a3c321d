use super::*;

#[test]
fn unix_time_maps_to_event_time_and_too_early_gives_none() {
    let clock = Clock { start: Instant::now(), unix_at_start: 5e15 };
    assert_eq!(clock.at_unix_ms(5e12), Some(START_TIME));
    assert_eq!(clock.at_unix_ms(5e12 - 2_000.0), Some(START_TIME - 2_000_000));
    assert_eq!(clock.at_unix_ms(0.0), None);
    assert_eq!(clock.at_unix_ms(5e12 - 3_600_001.0), None);
}

#[test]
fn invalid_unix_time_gives_none() {
    let clock = Clock::start();
    for ms in [f64::NAN, f64::INFINITY, f64::NEG_INFINITY, 1e300, 1e17, -1.0, 0.0] {
        assert_eq!(clock.at_unix_ms(ms), None, "{ms}");
    }
    let far_future = clock.at_unix_ms(1e15).expect("a valid time far in the future");
    assert!(
        far_future.checked_add(9_000_000_000_000_000_000).is_some(),
        "a span can be added to {far_future}"
    );
}
