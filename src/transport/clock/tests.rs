use super::*;

#[test]
fn a_start_is_mapped_once_and_long_ago_is_none() {
    let clock = Clock { start: Instant::now(), unix_at_start: 5e15 };
    assert_eq!(clock.at_unix_ms(5e12), Some(AT_START));
    assert_eq!(clock.at_unix_ms(5e12 - 2_000.0), Some(AT_START - 2_000_000));
    assert_eq!(clock.at_unix_ms(0.0), None);
    assert_eq!(clock.at_unix_ms(5e12 - 3_600_001.0), None);
}

#[test]
fn a_start_of_nonsense_is_no_time() {
    let clock = Clock::start();
    for ms in [f64::NAN, f64::INFINITY, f64::NEG_INFINITY, 1e300, 1e17, -1.0, 0.0] {
        assert_eq!(clock.at_unix_ms(ms), None, "{ms}");
    }
    let ahead = clock.at_unix_ms(1e15).expect("a time far ahead");
    assert!(ahead.checked_add(9_000_000_000_000_000_000).is_some(), "a span can be added to {ahead}");
}
