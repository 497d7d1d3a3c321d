use super::*;

/// Failure: an id is free again too early, or blocked before its window for repeats is over.
#[test]
fn id_is_blocked_from_the_end_of_its_window_until_it_is_forgotten() {
    let mut ids = UsedIds::default();
    assert_eq!(ids.remember(10, IdDigest(1), 50), None);
    assert!(!ids.is_blocked(49, IdDigest(1)) && ids.is_blocked(50, IdDigest(1)));
    assert!(!ids.is_blocked(50, IdDigest(2)));
    ids.remember(20, IdDigest(1), 30);
    assert!(ids.is_blocked(30, IdDigest(1)), "the earlier end counts");
    assert_eq!(ids.expire(10 + REMEMBERED_FOR - 1), []);
    assert_eq!(ids.expire(10 + REMEMBERED_FOR), [IdDigest(1)]);
    assert!(!ids.is_blocked(Micros::MAX, IdDigest(1)) && ids.is_empty());
}

/// Failure: ids fill the memory.
#[test]
fn oldest_id_is_forgotten_when_there_are_too_many() {
    let mut ids = UsedIds::default();
    for number in 0..MAX_IDS as u64 {
        assert_eq!(ids.remember(number, IdDigest(number), 0), None);
    }
    assert_eq!(ids.remember(1 << 20, IdDigest(u64::MAX), 0), Some(IdDigest(0)));
    assert_eq!(ids.len(), MAX_IDS);
    assert!(!ids.is_blocked(1, IdDigest(0)) && ids.is_blocked(1, IdDigest(1)));
}
