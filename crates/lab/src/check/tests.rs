use super::*;

#[test]
fn each_rule_is_seen_to_be_broken() {
    let mut ledger = Ledger::default();
    ledger.note(1_000, 0, "came");
    let told = ledger.violation(1, |_| true, 0);
    assert_eq!(told.as_deref(), Some("request 0 has 0 final answers: 1.0 ms came"));
    ledger.answered(2_000, 0, "served");
    assert_eq!(ledger.violation(1, |_| true, 0), None);
    assert!(ledger.violation(1, |_| true, 2).is_some_and(|told| told.contains("2 states are held")));
    ledger.ran(1_500, 0, 4);
    ledger.ran(1_700, 0, 5);
    assert!(ledger.violation(1, |_| true, 0).is_some_and(|told| told.contains("may have run 2 times")));
    assert_eq!(ledger.violation(1, |_| false, 0), None);
    ledger.turned_away(0);
    assert_eq!(ledger.violation(1, |_| true, 0), None, "what was turned away never ran");
    ledger.answered(2_500, 0, "served");
    assert!(ledger.violation(1, |_| false, 0).is_some_and(|told| told.contains("2 final answers")));
}
