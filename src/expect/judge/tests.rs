use super::*;

#[test]
fn an_interval_narrows_and_holds_its_share() {
    let (few, many) = (interval(0.75, 40.0), interval(0.75, 4_000.0));
    assert!(few.0 < 0.75 && 0.75 < few.1 && many.0 < 0.75 && 0.75 < many.1);
    assert!(many.1 - many.0 < (few.1 - few.0) / 8.0);
    assert!(interval(0.0, 50.0).0 >= 0.0 && interval(1.0, 50.0).1 <= 1.0 + 1e-12);
}

/// Failure: sixty requests that all follow the first one count as sixty witnesses.
#[test]
fn requests_of_a_play_that_go_one_way_tell_as_much_as_one() {
    let alike = Counted((0..20).map(|seed| (if seed % 2 == 0 { 60 } else { 0 }, 60)).collect());
    assert!((alike.independent() - 20.0).abs() < 1.5, "{}", alike.independent());
    let mixed = Counted((0..20).map(|seed| (if seed % 2 == 0 { 34 } else { 26 }, 60)).collect());
    assert!(mixed.independent() > 900.0, "{}", mixed.independent());
    let sure = Counted(vec![(60, 60); 20]);
    assert_eq!(sure.independent(), 20.0);
    assert_eq!(Counted(vec![(1, 1), (0, 1), (1, 1)]).independent(), 3.0);
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

fn one(class: u16) -> Step {
    let request =
        Request { class: ClassId(class), prompt_tokens: 2_000, max_tokens: 100, ..Request::plain() };
    Step::Requests { request, count: 1, every: 0, time_left: 10_000_000 }
}

fn verdict(given: Given, when: Vec<Step>, then: Then) -> Verdict {
    let expectation = Expectation { name: "x".into(), given, when, then: vec![then] };
    judge(&site(), &expectation).expect("sound settings")
}

fn breaking(how: Break, times: u32) -> Given {
    let behaviour = Behaviour { breaks: Some((how, times)), ..Behaviour::default() };
    let behaviours = [ServerId(2), ServerId(3)].map(|id| (id, behaviour)).into();
    Given { behaviours, ..Given::default() }
}

#[test]
fn before_the_last_byte_a_booking_goes_again_and_after_it_never() {
    let holds = |verdict| matches!(verdict, Verdict::Holds { .. });
    let book = || vec![one(1)];
    assert!(holds(verdict(breaking(Break::BeforeLastByte, 1), book(), Then::Served(true))));
    let failed = Then::Failed { may_have_run: true };
    for how in [Break::AfterLastByte, Break::Error] {
        assert!(holds(verdict(breaking(how, 1), book(), failed)), "{how:?}");
        assert!(holds(verdict(breaking(how, 1), book(), Then::AttemptsAtMost(2))), "{how:?}");
        assert!(holds(verdict(breaking(how, 1), vec![one(0)], Then::Served(true))), "{how:?}");
    }
    assert!(!holds(verdict(breaking(Break::AfterLastByte, 1), book(), Then::Served(true))));
}

#[test]
fn a_silent_writer_costs_no_answer_and_an_answer_takes_its_time() {
    let mut silent = breaking(Break::Silence, u32::MAX);
    silent.behaviours.remove(&ServerId(3));
    let served = verdict(silent.clone(), vec![one(0)], Then::Served(true));
    assert!(matches!(served, Verdict::Holds { .. }), "{served:?}");
    // 2,000 tokens are read in 100 ms.
    let soon = verdict(silent, vec![one(0)], Then::AnsweredWithin(100_000));
    assert!(matches!(soon, Verdict::Fails { .. }), "{soon:?}");
}

/// Failure: a drain in the middle is passed over, or the check of it can't fail.
#[test]
fn after_a_drain_nothing_new_goes_there_and_the_check_would_see_it() {
    let burst = |count| match one(0) {
        Step::Requests { request, time_left, .. } => {
            Step::Requests { request, count, every: 20_000, time_left }
        }
        step => step,
    };
    let when = vec![burst(10), Step::Drain(ServerId(2)), burst(40)];
    let quiet = verdict(Given::default(), when.clone(), Then::QuietAfterDrain(500_000));
    assert!(matches!(quiet, Verdict::Holds { .. }), "{quiet:?}");
    let expectation = Expectation { name: "x".into(), given: Given::default(), when, then: Vec::new() };
    let mut record = play(&site(), &expectation, 0, Observation::AtDeeds).expect("sound settings");
    let (told, server) = record.drained[0];
    record.sends.push((told + 600_000, server));
    let late = objection_to_all(&site(), &Then::QuietAfterDrain(500_000), &record);
    assert!(late.is_some_and(|late| late.why.contains("600.0 ms after it was told to drain")));
}

#[test]
fn a_share_between_equals_is_a_half_and_no_other() {
    let share =
        |part| Then::Share { role: Role::Reader, which: Which::Server(ServerId(0)), part, tolerance: 0.1 };
    let when = || vec![one(0), Step::Pass(2_000_000), one(0)];
    let half = verdict(Given::default(), when(), share(0.5));
    assert!(matches!(half, Verdict::Holds { .. }), "{half:?}");
    let other = verdict(Given::default(), when(), share(0.8));
    assert!(matches!(other, Verdict::Fails { .. }), "{other:?}");
    let edge = verdict(Given::default(), when(), share(0.6));
    assert!(matches!(edge, Verdict::Undecided { .. }), "{edge:?}");
}
