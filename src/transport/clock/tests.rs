use super::*;

#[test]
fn a_start_is_mapped_once_and_long_ago_is_none() {
    let clock = Clock { start: Instant::now(), unix_at_start: 5e15 };
    assert_eq!(clock.at_unix_ms(5e12), Some(AT_START));
    assert_eq!(clock.at_unix_ms(5e12 - 2_000.0), Some(AT_START - 2_000_000));
    assert_eq!(clock.at_unix_ms(0.0), None);
    assert_eq!(clock.at_unix_ms(5e12 - 3_600_001.0), None);
}
