//! Many conductors that share nothing, over readers with batches, bounded memory and reports that come late: where
//! prompts with long shared openings are read, on three unlike kinds of machine.

use birchspur_lab::engine::{Fault, Shape};
use birchspur_lab::policy::Policy;
use birchspur_lab::run::{Plan, Report, Told, run};

/// A kind of reader: requests at once, tokens a second, and memory in tokens.
const MACHINES: [(usize, u64, u64); 3] =
    [(4, 15_000, 150_000), (24, 35_000, 700_000), (100, 90_000, 3_000_000)];

/// A fleet of 20 such readers with 60 conductors, at so much of what the readers could read if all openings were kept.
fn plan((slots, pace, memory): (usize, u64, u64), load: f64) -> Plan {
    let mut plan =
        Plan { cells: 5, readers: 4, writers: 4, conductors: 60, ..Plan::small(Policy::Module, 4) };
    let blocks = (memory / plan.reader.block) as usize;
    plan.reader = Shape { slots, read_ns: 1_000_000_000 / pace, chunk: 4_096, blocks, ..plan.reader };
    plan.writer = Shape { slots: 128, step: 5_000, context_ns: 5_000, blocks: 20_000, ..plan.writer };
    plan.told = Told::Queue(400_000);
    plan.workload.span = 12_000_000;
    (plan.workload.opening, plan.workload.turn, plan.workload.again) = (2_500, 600.0, 0.3);
    (plan.workload.families, plan.workload.skew) = (150, 0.8);
    plan.workload.rate = load * 20.0 * pace as f64 / 600.0 / 1.3;
    plan
}

fn play(plan: &Plan) -> Report {
    let report = run(plan).expect("sound settings");
    assert_eq!(report.violation, None);
    report
}

fn in_time(report: &Report) -> f64 {
    report.in_time as f64 / report.came as f64
}

#[test]
fn what_is_seldom_asked_lives_on_few_readers_and_what_is_much_asked_on_many() {
    for machine in MACHINES {
        let report = play(&plan(machine, 0.4));
        let mut places: Vec<(u64, usize)> =
            report.places.values().map(|at| (at.values().sum(), at.len())).collect();
        places.sort_unstable();
        let (seldom, much) = (&places[..places.len() / 2], places[places.len() - 1]);
        let mean = seldom.iter().map(|(_, at)| *at as f64).sum::<f64>() / seldom.len() as f64;
        assert!(mean < 3.0, "{mean:.1} readers for a seldom one, machine {machine:?}");
        assert!(much.1 >= 5, "{much:?} for the most used, machine {machine:?}");
        let most = report.places.values().flat_map(|at| at.values()).max().copied().unwrap_or(0);
        assert!(most * 8 < report.came as u64, "{most} reads of one at one reader, machine {machine:?}");
    }
}

#[test]
fn openings_forgotten_by_all_readers_are_soon_kept_again() {
    for machine in MACHINES {
        let mut plan = plan(machine, 0.4);
        plan.faults = (0..plan.servers()).map(|server| (6_000_000, server, Fault::Forget)).collect();
        let report = play(&plan);
        assert!(in_time(&report) > 0.85, "{:.3} in time, machine {machine:?}", in_time(&report));
    }
}

#[test]
fn no_length_of_prompt_starves() {
    for machine in MACHINES {
        let mut report = play(&plan(machine, 0.6));
        report.by_length.sort_unstable();
        let part =
            |of: &[(u64, bool)]| of.iter().filter(|(_, served)| *served).count() as f64 / of.len() as f64;
        let (all, count) = (part(&report.by_length), report.by_length.len());
        let longest = part(&report.by_length[count - count / 10..]);
        assert!(
            longest > all * 2.0 / 3.0,
            "{longest:.2} of the longest, {all:.2} of all, machine {machine:?}"
        );
    }
}
