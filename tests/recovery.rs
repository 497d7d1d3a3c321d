//! Tests of the pacing of calls to discovery, and of the order in which servers are asked to release what is held.

use milletseam::interface::{Micros, ServerId};
use milletseam::recovery::{
    ListCall as Call, ListInput as Input, ListOutcome as Outcome, ListPhase as Phase, Pacing, Release, Times,
};
use proptest::prelude::*;

const MS: Micros = 1_000;
const TIMES: Times = Times::PLATFORM;

fn pacing(seed: u64, callers: u32) -> Pacing {
    Pacing::new(seed, callers, Some(9), TIMES, 0)
}

/// The time at which the phase is over at the latest.
fn phase_end(pacing: &Pacing) -> Micros {
    match pacing.phase() {
        Phase::Calling { until, .. } | Phase::Pausing { until } => until,
    }
}

/// How a call ends while discovery can't be reached; the number is the part of its allowed time after which it ends.
#[derive(Clone, Copy, Debug)]
enum CallEnd {
    /// No answer arrives.
    Silent,
    /// Nothing listens at the address, the connection is reset, or half an answer arrives.
    ConnectionLost(f64),
    Refused(f64),
    Invalid(f64),
    /// Discovery answers with what it has before it fails again.
    Answered(f64),
    /// A new configuration with another address arrives during the call.
    AddressChanged(f64),
}

impl CallEnd {
    fn input(self, known: u64) -> (Input, f64) {
        match self {
            CallEnd::Silent => (Input::Due, 1.0),
            CallEnd::ConnectionLost(part) => (Input::Ended(Outcome::ConnectionLost), part),
            CallEnd::Refused(part) => (Input::Ended(Outcome::Refused), part),
            CallEnd::Invalid(part) => (Input::Ended(Outcome::Invalid), part),
            CallEnd::Answered(part) => {
                (Input::Ended(Outcome::Answered { revision: known, complete: true }), part)
            }
            CallEnd::AddressChanged(part) => (Input::AddressChanged, part),
        }
    }
}

fn call_end() -> impl Strategy<Value = CallEnd> {
    // At once, right before the call is given up, or in between.
    let part = || prop_oneof![Just(0.0), Just(0.9999), 0.0..1.0_f64];
    prop_oneof![
        3 => Just(CallEnd::Silent),
        3 => part().prop_map(CallEnd::ConnectionLost),
        3 => part().prop_map(CallEnd::Refused),
        1 => part().prop_map(CallEnd::Invalid),
        1 => part().prop_map(CallEnd::Answered),
        1 => part().prop_map(CallEnd::AddressChanged),
    ]
}

/// Lets the phase pass; if it is a call, it ends like this. Returns the time at the end of the phase.
fn finish_phase(pacing: &mut Pacing, call_end: CallEnd) -> Micros {
    match pacing.phase() {
        Phase::Pausing { until } => {
            pacing.handle(until, Input::Due);
            until
        }
        Phase::Calling { since, until, .. } => {
            let (input, part) = call_end.input(9);
            let at = since + ((until - since) as f64 * part) as Micros;
            pacing.handle(at, input);
            at
        }
    }
}

proptest! {
    /// The operators' limit: however earlier calls ended, a complete answer is taken within the bound, counted from the
    /// moment at which discovery can be reached. A call that is in flight at that moment still ends as drawn.
    #[test]
    fn complete_answer_is_taken_within_the_bound_after_any_sequence_of_failures(
        seed in any::<u64>(),
        callers in prop_oneof![1_u32..10, 10_u32..1_000, Just(u32::MAX)],
        known in proptest::option::of(Just(9_u64)),
        call_ends in proptest::collection::vec(call_end(), 1..60),
        at in 0.0..1.0_f64,
        restarted in any::<bool>(),
        latency in 0..=TIMES.answer_within,
    ) {
        let mut pacing = Pacing::new(seed, callers, known, TIMES, 0);
        let mut call_ends = call_ends.into_iter();
        let mut last_end = call_ends.next_back().expect("there is at least one");
        // All phases but the last call, during which or after which discovery returns.
        let mut started_at = 0;
        loop {
            let next = match pacing.phase() {
                Phase::Pausing { .. } => CallEnd::Silent,
                Phase::Calling { .. } => match call_ends.next() {
                    Some(call_end) => call_end,
                    None => break,
                },
            };
            started_at = finish_phase(&mut pacing, next);
        }
        let (mut now, mut returned) = (started_at, None);
        // Discovery returns during the last call, or during the pause after it.
        let mut answers = 0;
        loop {
            match pacing.phase() {
                Phase::Calling { call, since, until } if returned.is_none() => {
                    let return_at = since + ((until - since) as f64 * at) as Micros;
                    let end = finish_phase(&mut pacing, last_end);
                    if return_at < end {
                        returned = Some(return_at);
                    }
                    // An answer after the return is what the property requires.
                    let whole = matches!(last_end, CallEnd::Answered(_)) && returned.is_some();
                    prop_assert!(!whole || end - return_at <= TIMES.bound(), "{call:?}");
                    if whole {
                        return Ok(());
                    }
                    now = end;
                    last_end = CallEnd::Silent;
                }
                Phase::Pausing { until } => {
                    if returned.is_none() {
                        returned = Some(now + ((until - now) as f64 * at) as Micros);
                    }
                    now = until;
                    pacing.handle(now, Input::Due);
                }
                Phase::Calling { call, since, until } => {
                    // A restarted discovery has revisions below the known one. If no call has failed, a watch goes
                    // on there, and waits first.
                    let (revision, waits) = match call {
                        Call::Watch { hold, .. } if restarted => (3, hold),
                        _ => (if restarted { 3 } else { 12 }, 0),
                    };
                    prop_assert!(since + waits + latency < until, "the call is given up before it can be answered");
                    now = since + waits + latency;
                    let outcome = Outcome::Answered { revision, complete: call == Call::Full };
                    answers += 1;
                    if pacing.handle(now, Input::Ended(outcome)) {
                        break;
                    }
                    prop_assert!(restarted && answers == 1, "an answer is ignored");
                }
            }
        }
        let took = now - returned.expect("discovery has returned");
        prop_assert!(took <= TIMES.bound(), "{took}");
        prop_assert!(
            matches!(pacing.phase(), Phase::Calling { call: Call::Watch { .. }, .. }),
            "a watch follows the answer"
        );
    }

    /// Invariants: two calls begin no further apart than the gap, and never without a pause after a failure; discovery at
    /// a new address is asked for its full list at once.
    #[test]
    fn calls_begin_within_the_gap_and_a_new_address_is_called_at_once(
        seed in any::<u64>(),
        callers in 1_u32..10_000,
        call_ends in proptest::collection::vec(call_end(), 1..60),
    ) {
        let (mut pacing, mut started_at) = (pacing(seed, callers), 0);
        for call_end in call_ends {
            let at = finish_phase(&mut pacing, call_end);
            let next = match pacing.phase() {
                Phase::Calling { call, .. } => {
                    prop_assert!(
                        matches!(call_end, CallEnd::Answered(_) | CallEnd::AddressChanged(_)),
                        "no pause after {call_end:?}"
                    );
                    prop_assert!(!matches!(call_end, CallEnd::AddressChanged(_)) || call == Call::Full);
                    at
                }
                Phase::Pausing { until } => {
                    prop_assert!(until >= at + TIMES.resume_within / 10, "no pause after {call_end:?}");
                    finish_phase(&mut pacing, CallEnd::Silent)
                }
            };
            prop_assert!(next - started_at <= TIMES.gap(), "{call_end:?}");
            started_at = next;
        }
    }

    /// A new address ends a pause, however long that is.
    #[test]
    fn new_address_ends_a_pause(seed in any::<u64>(), call_end in call_end(), part in 0.0..1.0_f64) {
        let mut pacing = pacing(seed, 300);
        let at = finish_phase(&mut pacing, call_end);
        let now = at + ((phase_end(&pacing) - at) as f64 * part) as Micros;
        pacing.handle(now, Input::AddressChanged);
        let asked = matches!(pacing.phase(), Phase::Calling { call: Call::Full, since, .. } if since == now);
        prop_assert!(asked);
    }
}

#[test]
fn bound_leaves_half_a_second_of_the_operators_limit() {
    assert!(TIMES.apply_within == 6_000 * MS && TIMES.bound() <= 5_500 * MS);
    let sum = TIMES.gap() + TIMES.answer_within + TIMES.resume_within + TIMES.answer_within;
    assert_eq!(sum, TIMES.bound(), "the gap, and the two answers of a restarted discovery");
}

/// The time of each caller's next call, if the calls of all callers have ended alike at the same moments.
fn next_call_times(callers: u32, seed: u64, call_ends: &[CallEnd]) -> Vec<Micros> {
    let next_call_time = |n: u32| {
        let mut pacing = pacing(seed.wrapping_add(u64::from(n)), callers);
        let (mut at, mut call_ends) = (0, call_ends.iter());
        loop {
            let call_end = match pacing.phase() {
                Phase::Pausing { .. } => CallEnd::Silent,
                Phase::Calling { .. } => match call_ends.next() {
                    Some(call_end) => *call_end,
                    None => return at,
                },
            };
            at = finish_phase(&mut pacing, call_end);
        }
    };
    (0..callers).map(next_call_time).collect()
}

/// The largest share of these times that lies within 100 ms.
fn peak_share(mut next_call_times: Vec<Micros>) -> f64 {
    next_call_times.sort_unstable();
    let within = |n: usize| next_call_times[n..].partition_point(|at| *at < next_call_times[n] + 100 * MS);
    (0..next_call_times.len()).map(within).max().unwrap_or(0) as f64 / next_call_times.len() as f64
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(32))]
    /// Failure: callers that lost discovery together call again together. Of a thousand callers, no more than the stated
    /// share begins within 100 ms: what an even spread gives, and eight standard deviations. (One of 3,359 draws exceeded
    /// six: each draw checks a thousand windows, and the tail of such counts is long.)
    #[test]
    fn callers_that_failed_together_are_spread_out(seed in any::<u64>()) {
        const CALLERS: u32 = 1_000;
        let limit = |part: f64| part + 8.0 * (part / f64::from(CALLERS)).sqrt();
        let refused = CallEnd::Refused(0.0);
        // After refusals the calls are spread evenly over the gap, less the least backoff.
        let windows = (TIMES.gap() - 300 * MS) as f64 / (100 * MS) as f64;
        for times in 1..4 {
            let part = peak_share(next_call_times(CALLERS, seed, &vec![refused; times]));
            prop_assert!(part <= limit(1.0 / windows), "{part} after {times} refusals");
        }
        // If nothing listens any more, the first retries are soon, and then the losses count as refusals.
        let down = next_call_times(CALLERS, seed, &[CallEnd::ConnectionLost(0.0); 5]);
        prop_assert!(peak_share(down) <= limit(1.0 / windows));
        prop_assert!(
            next_call_times(CALLERS, seed, &[CallEnd::ConnectionLost(0.0); 4])
                .iter()
                .all(|at| *at <= 4 * TIMES.resume_within)
        );
        // All watches begin after the same change and fall silent: their waits differ by up to half of the hold.
        let silent = peak_share(next_call_times(CALLERS, seed, &[CallEnd::Answered(0.0), CallEnd::Silent]));
        let windows = (TIMES.longest_hold / 2) as f64 / (100 * MS) as f64;
        prop_assert!(silent <= limit(1.0 / windows), "{silent} after silence");
        let silent = peak_share(next_call_times(
            CALLERS,
            seed,
            &[CallEnd::Answered(0.0), CallEnd::Silent, CallEnd::Silent],
        ));
        let windows = TIMES.longest_hold as f64 / (100 * MS) as f64;
        prop_assert!(silent <= limit(1.0 / windows), "{silent} after silence twice");
    }
}

/// Failure: all conductors ask an overloaded discovery again at once, so that it never answers any of them. The bound
/// requires at least one call in a gap from each; no more than a fifth above that are made.
#[test]
fn refused_callers_call_hardly_more_often_than_the_bound_requires() {
    let callers = 48;
    let rate = |from: Micros| {
        let mut calls = 0;
        for seed in 0..u64::from(callers) {
            let mut pacing = pacing(seed, callers);
            while phase_end(&pacing) < from + 20_000 * MS {
                calls += u32::from(matches!(pacing.phase(), Phase::Calling { since, .. } if since >= from));
                finish_phase(&mut pacing, CallEnd::Refused(0.0));
            }
        }
        f64::from(calls) / 20.0
    };
    let least = f64::from(callers) / (TIMES.gap() as f64 / 1e6);
    let (first, later) = (rate(500 * MS), rate(20_000 * MS));
    assert!(first < 1.2 * least && later < 1.2 * least, "{first}, {later} calls a second for {least}");
}

/// Failure: a watch whose connection broke is resumed too late, and has to start anew.
#[test]
fn lost_watch_is_resumed_in_time_and_a_service_that_is_down_is_called_less() {
    let pause_after_loss = |pacing: &mut Pacing| {
        let at = finish_phase(pacing, CallEnd::ConnectionLost(0.0));
        let pause = phase_end(pacing) - at;
        finish_phase(pacing, CallEnd::Silent);
        pause
    };
    let mut caller = pacing(7, 3);
    for _ in 0..4 {
        assert!(pause_after_loss(&mut caller) < 200 * MS);
    }
    assert!(pause_after_loss(&mut caller) >= 150 * MS, "discovery counts as down");
    finish_phase(&mut caller, CallEnd::Answered(0.0));
    assert!(pause_after_loss(&mut caller) < 200 * MS, "discovery is back");
    let silent = finish_phase(&mut caller, CallEnd::Silent);
    assert!(phase_end(&caller) - silent < 200 * MS, "the wait for the answer was a pause already");
}

/// Failure: a discovery that answers watches without waiting is called in a tight loop.
#[test]
fn watch_that_is_answered_early_with_nothing_new_goes_on_after_a_pause() {
    let mut caller = pacing(7, 3);
    finish_phase(&mut caller, CallEnd::Answered(0.0));
    let at = finish_phase(&mut caller, CallEnd::Answered(0.0));
    assert!(
        matches!(caller.phase(), Phase::Pausing { until } if (at + 10 * MS..at + 200 * MS).contains(&until))
    );
    finish_phase(&mut caller, CallEnd::Silent);
    assert!(matches!(caller.phase(), Phase::Calling { call: Call::Watch { from: 9, .. }, .. }));
}

/// Returns how long it takes until a server is asked that takes the call, and how many are asked by then. The given number
/// of servers at the beginning of the order are silent, or refuse the call.
fn until_taken(servers: u32, not_taking: u32, refuse: bool, within: Micros) -> (Micros, u32) {
    let order: Vec<ServerId> = (0..servers).map(ServerId).collect();
    let (mut release, mut now, mut targets, mut asked) = (Release::new(0, order, within), 0, Vec::new(), 0);
    loop {
        release.tick(now, &mut targets);
        while let Some(server) = (!targets.is_empty()).then(|| targets.remove(0)) {
            asked += 1;
            if server.0 >= not_taking {
                return (now, asked);
            } else if refuse {
                release.ended(now, false, &mut targets);
            }
        }
        now = release.next_due().expect("some server is left to ask");
    }
}

proptest! {
    /// Failure: only three servers are asked, one after the other; if a part of the fleet is silent, all three may be.
    #[test]
    fn server_that_takes_the_call_is_asked_in_time(
        servers in 1_u32..2_000,
        part in 0.0..1.0_f64,
        within in 10 * MS..300 * MS,
    ) {
        let not_taking = (f64::from(servers) * part) as u32;
        let (took, asked) = until_taken(servers, not_taking, false, within);
        prop_assert!(took <= within, "{took}");
        prop_assert!(asked <= 2 * not_taking + 1, "{asked} of {servers} were asked, {not_taking} silent");
        let (took, asked) = until_taken(servers, not_taking, true, within);
        prop_assert_eq!((took, asked.min(not_taking + 1)), (0, not_taking + 1), "refusals cause no wait");
    }
}

#[test]
fn release_that_no_server_takes_is_repeated_less_and_less_and_ends() {
    let order: Vec<ServerId> = (0..10).map(ServerId).collect();
    let (mut release, mut now, mut targets) = (Release::new(0, order, 75 * MS), 0, Vec::new());
    release.tick(now, &mut targets);
    while let Some(due) = release.next_due() {
        now = due;
        release.tick(now, &mut targets);
    }
    assert!(release.done() && now >= 5_000 * MS, "{now}");
    assert!((30..100).contains(&targets.len()), "{} calls", targets.len());
}
