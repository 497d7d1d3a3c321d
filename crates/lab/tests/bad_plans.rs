//! Plans that no run could play are refused by the figure that is to blame: nothing panics or goes on without end.

use birchspur_lab::engine::{Fault, Shape};
use birchspur_lab::policy::Policy;
use birchspur_lab::run::{Plan, run};
use milletseam::interface::SettingsError;

/// A change of a sound plan, and the figure that is to be blamed.
type Case = (&'static str, fn(&mut Plan));

const CASES: [Case; 24] = [
    ("cells", |plan| plan.cells = 0),
    ("readers", |plan| plan.readers = 0),
    ("writers", |plan| plan.writers = 0),
    ("conductors", |plan| plan.conductors = 0),
    ("slots", |plan| plan.reader.slots = 0),
    ("slots", |plan| plan.writer.slots = 0),
    ("chunk", |plan| plan.reader.chunk = 0),
    ("chunk", |plan| plan.writer.chunk = 0),
    ("block", |plan| plan.reader.block = 0),
    ("block", |plan| plan.writer.block = 0),
    ("blocks", |plan| plan.reader.blocks = 0),
    ("blocks", |plan| plan.writer.blocks = 0),
    ("step", |plan| plan.reader.step = 0),
    ("step", |plan| plan.writer.step = 0),
    ("rate", |plan| plan.workload.rate = 0.0),
    ("rate", |plan| plan.workload.rate = f64::NAN),
    ("rate", |plan| plan.workload.rate = 1e300),
    ("turn", |plan| plan.workload.turn = -1.0),
    ("answer", |plan| plan.workload.answer = f64::INFINITY),
    ("families", |plan| plan.workload.families = 0),
    ("again", |plan| plan.workload.again = 1.5),
    ("again", |plan| plan.workload.again = f64::NAN),
    ("bookings", |plan| plan.workload.bookings = -0.1),
    ("faults", |plan| plan.faults = vec![(0, 10, Fault::Die)]),
];

#[test]
fn a_plan_that_no_run_could_play_is_refused_by_its_figure() {
    for policy in Policy::ALL {
        for (figure, change) in CASES {
            let mut plan = Plan::small(policy, 1);
            plan.workload.span = 1_000_000;
            change(&mut plan);
            let refused = run(&plan).map(|report| report.came);
            assert_eq!(refused, Err(SettingsError::OutOfRange(figure)), "{}", policy.name());
        }
    }
}

/// Figures that are small, but can be played: every request has its answer.
#[test]
fn the_least_of_everything_can_be_played() {
    for policy in Policy::ALL {
        let mut plan = Plan { cells: 1, readers: 1, writers: 1, conductors: 1, ..Plan::small(policy, 1) };
        plan.reader = Shape { slots: 1, queue: 0, chunk: 1, block: 1, blocks: 1, step: 1, ..Shape::reader() };
        plan.writer = Shape { slots: 1, queue: 0, chunk: 1, block: 1, blocks: 1, step: 1, ..Shape::writer() };
        (plan.workload.rate, plan.workload.span, plan.workload.opening) = (2.0, 5_000_000, 0);
        let report = run(&plan).expect("it can be played");
        assert!(report.came > 0, "{}", policy.name());
        assert_eq!(report.served + report.refused + report.failed, report.came, "{}", policy.name());
        assert_eq!(report.violation, None, "{}", policy.name());
    }
}
