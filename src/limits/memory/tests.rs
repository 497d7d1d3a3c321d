use super::*;

const CAPACITY: usize = 1_000_000;

fn ledger_with(arrivals: &[(u64, usize, Micros)]) -> MemoryLedger {
    let mut ledger = MemoryLedger::new(CAPACITY);
    for (id, bytes, at) in arrivals {
        ledger.resize_arrival(*at, ArrivalId(*id), *bytes, &mut Vec::new()).expect("room");
    }
    ledger
}

/// Failure: a usual request is refused because stalled ones fill the budget.
#[test]
fn stalled_requests_make_room_before_all_others_and_the_oldest_first() {
    let mut ledger =
        ledger_with(&[(1, 300_000, 900_000), (2, 250_000, 0), (3, 250_000, 100_000), (4, 40_000, 900_000)]);
    let mut shed = Vec::new();
    ledger.resize_arrival(1_000_000, ArrivalId(5), 30_000, &mut shed).expect("room");
    assert_eq!(shed, [], "there is room for a small request");
    ledger.resize_arrival(1_000_000, ArrivalId(6), 200_000, &mut shed).expect("room");
    assert_eq!(shed, [ArrivalId(2)]);
}

/// Failure: a request that arrives at a good pace is dropped in favour of a larger one.
#[test]
fn requests_that_make_progress_only_make_room_for_smaller_ones() {
    let mut ledger = ledger_with(&[(1, 450_000, 0), (2, 400_000, 0)]);
    let mut shed = Vec::new();
    assert_eq!(ledger.resize_arrival(1, ArrivalId(3), 500_000, &mut shed), Err(OutOfMemory));
    assert_eq!((ledger.used(), shed.len()), (850_000, 0));
    assert_eq!(ledger.resize_arrival(1, ArrivalId(3), 300_000, &mut shed), Err(OutOfMemory), "among equals");
    ledger.resize_arrival(1, ArrivalId(3), 100_000, &mut shed).expect("room");
    assert_eq!((ledger.used(), &shed[..]), (500_000, &[ArrivalId(1)][..]));
}

/// Failure: buffered answers push requests out, or fill the whole budget.
#[test]
fn answers_use_a_share_of_the_budget_and_shed_nobody() {
    let mut ledger = ledger_with(&[(1, 100_000, 0)]);
    let mut shed = Vec::new();
    let mut charge = |ledger: &mut MemoryLedger, bytes| {
        ledger.charge(9_000_000, Purpose::Answer, Holding::of_bytes(bytes), &mut shed).map_err(|_| shed.len())
    };
    assert_eq!(charge(&mut ledger, 650_000), Ok(()));
    assert_eq!(charge(&mut ledger, 1), Err(0));
    ledger.release(Holding::of_bytes(650_000));
    assert_eq!(ledger.used(), 100_000);
}

/// Failure: what can't be refused, such as connections, takes the process over its limit while there is something to shed.
#[test]
fn unconditional_charges_shed_arriving_requests() {
    let mut ledger = ledger_with(&[(1, 500_000, 0)]);
    let mut shed = Vec::new();
    ledger.charge_unconditionally(1, Holding::of_bytes(600_000), &mut shed);
    assert_eq!((ledger.used(), &shed[..]), (600_000, &[ArrivalId(1)][..]));
    assert_eq!(ledger.charge(1, Purpose::Request, Holding::of_bytes(500_000), &mut shed), Err(OutOfMemory));
}

/// Failure: requests are accepted without regard to the connections on which they will be sent, and these take the process
/// over its limit.
#[test]
fn accepted_requests_leave_room_for_their_connections() {
    let mut ledger = MemoryLedger::new(CAPACITY);
    let request = Holding { bytes: 10_000, reserved_connections: 1, open_connections: 0 };
    let connection = Holding { open_connections: 1, ..Holding::default() };
    let mut accepted = 0;
    while ledger.charge(0, Purpose::Request, request, &mut Vec::new()).is_ok() {
        accepted += 1;
    }
    let limit = (CAPACITY as f64 * REQUEST_SHARE) as usize;
    assert_eq!(accepted, limit / (10_000 + PEER_CONNECTION_BYTES));
    for _ in 0..accepted {
        ledger.charge_unconditionally(0, connection, &mut Vec::new());
    }
    assert!(ledger.used() <= CAPACITY, "{} of {CAPACITY}", ledger.used());
    for _ in 0..accepted {
        ledger.release(request);
    }
    assert_eq!(ledger.used(), accepted * PEER_CONNECTION_BYTES, "idle connections");
}

/// Failure: requests that arrive take the memory without which answers can't go on.
#[test]
fn requests_leave_room_for_answers_in_progress() {
    let mut ledger = MemoryLedger::new(CAPACITY);
    let mut shed = Vec::new();
    while ledger.charge(0, Purpose::Request, Holding::of_bytes(10_000), &mut shed).is_ok() {}
    assert_eq!(ledger.resize_arrival(0, ArrivalId(1), 10_000, &mut shed), Err(OutOfMemory));
    assert_eq!(ledger.charge(0, Purpose::AnswerInProgress, Holding::of_bytes(50_000), &mut shed), Ok(()));
    let more = ledger.charge(0, Purpose::AnswerInProgress, Holding::of_bytes(10_000), &mut shed);
    assert_eq!((more, ledger.used()), (Err(OutOfMemory), CAPACITY));
}

/// Failure: an arrival that has ended is charged for ever, or given back twice.
#[test]
fn an_ended_arrival_stays_charged_until_it_is_released() {
    let mut ledger = ledger_with(&[(1, 5_000, 0)]);
    assert_eq!(ledger.end_arrival(ArrivalId(1)), 5_000);
    assert_eq!((ledger.end_arrival(ArrivalId(1)), ledger.used()), (0, 5_000));
    ledger.release(Holding::of_bytes(5_000));
    assert_eq!(ledger.used(), 0);
}

proptest::proptest! {
    /// Failure: the sum of what is charged and the budget drift apart, or conditional charges exceed the budget.
    #[test]
    fn the_sum_is_what_its_holders_use_and_stays_within_the_budget(
        steps in proptest::collection::vec((0..4_u8, 0..20_u64, 0..300_000_usize, 0..400_000_u64), 1..200)
    ) {
        let mut ledger = MemoryLedger::new(CAPACITY);
        let (mut now, mut shed) = (0, Vec::new());
        let mut arriving = std::collections::BTreeMap::new();
        let mut charged = Vec::new();
        for (step, id, bytes, pause) in steps {
            now += pause;
            let id = ArrivalId(id);
            match step {
                0 | 1 => {
                    if ledger.resize_arrival(now, id, bytes, &mut shed).is_ok() {
                        arriving.insert(id, bytes);
                    }
                }
                2 => {
                    if ledger.charge(now, Purpose::Request, Holding::of_bytes(bytes), &mut shed).is_ok() {
                        charged.push(bytes);
                    }
                }
                _ => {
                    if let Some(bytes) = charged.pop() {
                        ledger.release(Holding::of_bytes(bytes));
                    }
                }
            }
            for id in shed.drain(..) {
                arriving.remove(&id);
            }
            let expected = arriving.values().sum::<usize>() + charged.iter().sum::<usize>();
            proptest::prop_assert_eq!(ledger.used(), expected);
            proptest::prop_assert!(ledger.used() <= CAPACITY);
        }
    }
}

/// Guards against a budget that leaves too little for the program where its code is larger than on other machines.
#[test]
fn larger_code_takes_its_bytes_from_the_budget() {
    let usual = capacity(32.0, 7_000_000);
    assert_eq!(usual, 17_600_000);
    assert_eq!(capacity(32.0, 0), usual);
    assert_eq!(capacity(32.0, 9_500_000), usual - 1_600_000);
    assert_eq!(capacity(32.0, 40_000_000), 0);
}
