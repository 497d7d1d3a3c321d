use super::*;
use crate::transport::clock::Clock;

/// Failure: an id that must not run again is forgotten because memory is short, and runs twice.
#[test]
fn ids_are_remembered_while_memory_is_short() {
    let mut ids = RequestIds::new(&MemoryBudget::new(0, Clock::start()));
    assert_eq!(ids.open(0, "b1", Repeats::Forbidden), Ok(()));
    ids.remember(1, "b1", 0);
    ids.close("b1");
    assert_eq!(ids.open(2, "b1", Repeats::Forbidden), Err(IdInUse));
}
