use super::*;

#[test]
fn interval_contains_the_share_and_narrows_with_more_requests() {
    let (few, many) = (wilson_interval(0.75, 40.0), wilson_interval(0.75, 4_000.0));
    assert!(few.0 < 0.75 && 0.75 < few.1 && many.0 < 0.75 && 0.75 < many.1);
    assert!(many.1 - many.0 < (few.1 - few.0) / 8.0);
    assert!(wilson_interval(0.0, 50.0).0 >= 0.0 && wilson_interval(1.0, 50.0).1 <= 1.0 + 1e-12);
}

/// Guards against counting requests of one simulation as independent when all follow the first one: the interval
/// would be too narrow.
#[test]
fn requests_of_a_seed_that_all_agree_count_as_one() {
    let correlated = ShareCounts((0..20).map(|seed| (if seed % 2 == 0 { 60 } else { 0 }, 60)).collect());
    assert!((correlated.effective_requests() - 20.0).abs() < 1.5, "{}", correlated.effective_requests());
    let mixed = ShareCounts((0..20).map(|seed| (if seed % 2 == 0 { 34 } else { 26 }, 60)).collect());
    assert!(mixed.effective_requests() > 900.0, "{}", mixed.effective_requests());
    let unanimous = ShareCounts(vec![(60, 60); 20]);
    assert_eq!(unanimous.effective_requests(), 20.0);
    assert_eq!(ShareCounts(vec![(1, 1), (0, 1), (1, 1)]).effective_requests(), 3.0);
}

/// A site of one cell: two readers, two writers.
fn site() -> Site {
    let kinds = [Role::Reader, Role::Writer].map(|role| Kind { role, memory_tokens: 150_000 });
    let mut settings = Settings::plain(1);
    settings.kinds = kinds.to_vec();
    settings.classes = vec![Class::plain(), Class { effect: Effect::Unsafe, ..Class::plain() }];
    let server = |n: u32| {
        let entry = ServerEntry { id: ServerId(n), kind: KindId((n / 2) as u16), ..ServerEntry::plain() };
        (entry.id, (format!("s{n}"), entry))
    };
    let names = |names: &[&str]| names.iter().map(|name| name.to_string()).collect();
    Site {
        settings,
        zones: names(&["a"]),
        kinds: names(&["reader", "writer"]),
        classes: names(&["ask", "book"]),
        servers: (0..4).map(server).collect(),
    }
}

fn request_step(class: u16) -> Step {
    let request =
        Request { class: ClassId(class), prompt_tokens: 2_000, max_tokens: 100, ..Request::plain() };
    Step::Requests { request, count: 1, interval: 0, time_left: 10_000_000 }
}

fn evaluate_clause(given: Given, when: Vec<Step>, then: Then) -> Verdict {
    let expectation = Expectation { name: "x".into(), given, when, then: vec![then] };
    evaluate(&site(), &expectation).expect("valid settings")
}

/// An initial state in which the next `count` attempts at each writer fail.
fn failing_writers(mode: FailureMode, count: u32) -> Given {
    let behaviour = Behaviour { failures: Some((mode, count)), ..Behaviour::default() };
    let behaviours = [ServerId(2), ServerId(3)].map(|id| (id, behaviour)).into();
    Given { behaviours, ..Given::default() }
}

#[test]
fn booking_is_retried_only_if_it_failed_before_the_last_byte() {
    let holds = |verdict| matches!(verdict, Verdict::Holds { .. });
    let booking = || vec![request_step(1)];
    assert!(holds(evaluate_clause(
        failing_writers(FailureMode::BeforeLastByte, 1),
        booking(),
        Then::Served(true)
    )));
    let failed = Then::Failed { may_have_run: true };
    for mode in [FailureMode::AfterLastByte, FailureMode::Error] {
        assert!(holds(evaluate_clause(failing_writers(mode, 1), booking(), failed)), "{mode:?}");
        assert!(
            holds(evaluate_clause(failing_writers(mode, 1), booking(), Then::AttemptsAtMost(2))),
            "{mode:?}"
        );
        assert!(
            holds(evaluate_clause(failing_writers(mode, 1), vec![request_step(0)], Then::Served(true))),
            "{mode:?}"
        );
    }
    assert!(!holds(evaluate_clause(
        failing_writers(FailureMode::AfterLastByte, 1),
        booking(),
        Then::Served(true)
    )));
}

#[test]
fn request_is_served_despite_a_silent_writer_and_takes_its_read_time() {
    let mut silent = failing_writers(FailureMode::Silence, u32::MAX);
    silent.behaviours.remove(&ServerId(3));
    let served = evaluate_clause(silent.clone(), vec![request_step(0)], Then::Served(true));
    assert!(matches!(served, Verdict::Holds { .. }), "{served:?}");
    // Reading 2,000 tokens alone takes 100 ms.
    let too_soon = evaluate_clause(silent, vec![request_step(0)], Then::AnsweredWithin(100_000));
    assert!(matches!(too_soon, Verdict::Fails { .. }), "{too_soon:?}");
}

/// Guards against a drain between two bursts being ignored, and against a `quiet-after-drain` clause that can't fail.
#[test]
fn draining_server_receives_nothing_and_a_late_send_violates_the_clause() {
    let burst = |count| match request_step(0) {
        Step::Requests { request, time_left, .. } => {
            Step::Requests { request, count, interval: 20_000, time_left }
        }
        step => step,
    };
    let when = vec![burst(10), Step::Drain(ServerId(2)), burst(40)];
    let quiet = evaluate_clause(Given::default(), when.clone(), Then::QuietAfterDrain(500_000));
    assert!(matches!(quiet, Verdict::Holds { .. }), "{quiet:?}");
    let expectation = Expectation { name: "x".into(), given: Given::default(), when, then: Vec::new() };
    let mut record = simulate(&site(), &expectation, 0, Observation::ActionsOnly).expect("valid settings");
    let (drained_at, server) = record.drained[0];
    record.sends.push((drained_at + 600_000, server));
    let late = violation(&site(), &Then::QuietAfterDrain(500_000), &record);
    assert!(late.is_some_and(|late| late.why.contains("600.0 ms after it was marked as draining")));
}

#[test]
fn equal_readers_each_receive_half_of_the_requests() {
    let share = |fraction| Then::Share {
        role: Role::Reader,
        selector: ServerSelector::Server(ServerId(0)),
        fraction,
        tolerance: 0.1,
    };
    let when = || vec![request_step(0), Step::Pass(2_000_000), request_step(0)];
    let half = evaluate_clause(Given::default(), when(), share(0.5));
    assert!(matches!(half, Verdict::Holds { .. }), "{half:?}");
    let contradicted = evaluate_clause(Given::default(), when(), share(0.8));
    assert!(matches!(contradicted, Verdict::Fails { .. }), "{contradicted:?}");
    let undecided = evaluate_clause(Given::default(), when(), share(0.6));
    assert!(matches!(undecided, Verdict::Undecided { .. }), "{undecided:?}");
}
