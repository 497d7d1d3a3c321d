//! Whether many conductors that tell each other nothing keep sessions where their text is.

use birchspur_lab::policy::{Pick, Policy};
use birchspur_lab::run::{Plan, run};

/// Failure: conductors that are strangers to a session presume it at different readers, so that its text is read anew
/// and pushes out that of others.
#[test]
fn many_conductors_find_as_much_kept_as_one_that_knows_every_session() {
    let kept = |policy, seed| {
        let mut plan = Plan { cells: 6, conductors: 60, ..Plan::small(policy, seed) };
        plan.workload.rate = 90.0;
        plan.workload.span = 20_000_000;
        let report = run(&plan).expect("a sound plan");
        assert_eq!(report.violation, None);
        report.kept as f64 / (report.kept + report.read) as f64
    };
    for seed in 1..=3 {
        let (module, known) = (kept(Policy::Module, seed), kept(Policy::Plain(Pick::StickySession), seed));
        assert!(module > known - 0.01, "{module:.3} of all tokens were kept, where {known:.3} could be");
    }
}
