use super::*;

#[test]
fn upwards_is_fine_and_downwards_fails_at_once() {
    let (low, high) = (Ranked::<{ rank::SHARES }, _>::new(1), Ranked::<{ rank::STORE }, _>::new(2));
    let sum = *low.lock() + *high.lock();
    let (a, b) = (low.lock(), high.lock());
    assert_eq!(*a + *b, sum);
    drop((b, a));
    let down = std::panic::catch_unwind(|| {
        let _high = high.lock();
        let _low = low.lock();
    });
    assert!(down.is_err(), "a lower rank was taken under a higher one");
    let twice = std::panic::catch_unwind(|| {
        let other = Ranked::<{ rank::SHARES }, _>::new(3);
        let _first = low.lock();
        let _second = other.lock();
    });
    assert!(twice.is_err(), "two of one rank were taken");
    assert_eq!(*low.lock(), 1, "and the ranks are as before");
}
