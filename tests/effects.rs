//! Tests of what may be said of the effects of nested tool calls.

use milletseam::recovery::CallEffects;
use proptest::prelude::*;

/// A call of the tree, as the test keeps it.
struct Tracked {
    effects: CallEffects,
    parent: Option<usize>,
    told_no_effect: bool,
    may_have_effect: bool,
}

/// Returns the indices of a call and of all calls above it.
fn with_ancestors(calls: &[Tracked], index: usize) -> Vec<usize> {
    std::iter::successors(Some(index), |index| calls[*index].parent).collect()
}

#[derive(Clone, Copy, Debug)]
enum Step {
    /// The call of this number, modulo their count, makes a nested call.
    Nest(usize, bool),
    /// The answer of the call of this number breaks off.
    Break(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (any::<usize>(), any::<bool>()).prop_map(|(number, effects)| Step::Nest(number, effects)),
        1 => any::<usize>().prop_map(Step::Break),
    ]
}

proptest! {
    /// Guards against a caller that is told that nothing took effect while a call below it has run or still runs.
    #[test]
    fn told_of_no_effect_exactly_if_none_was_begun_and_none_begins_later(
        steps in proptest::collection::vec(step(), 1..60),
    ) {
        let root = CallEffects::of_client_call(false);
        let mut calls = vec![Tracked { effects: root, parent: None, told_no_effect: false, may_have_effect: false }];
        for step in steps {
            match step {
                Step::Nest(number, has_side_effects) => {
                    let parent = number % calls.len();
                    let above = with_ancestors(&calls, parent);
                    let ruled_out = above.iter().any(|index| calls[*index].told_no_effect);
                    let nested = calls[parent].effects.nest(has_side_effects);
                    prop_assert_eq!(nested.is_err(), has_side_effects && ruled_out);
                    let Ok(effects) = nested else { continue };
                    for index in above {
                        calls[index].may_have_effect |= has_side_effects;
                    }
                    let (parent, told_no_effect) = (Some(parent), false);
                    calls.push(Tracked { effects, parent, told_no_effect, may_have_effect: has_side_effects });
                }
                Step::Break(number) => {
                    let index = number % calls.len();
                    let call = &mut calls[index];
                    call.told_no_effect = call.effects.rule_out();
                    prop_assert_eq!(call.told_no_effect, !call.may_have_effect);
                }
            }
            for call in &calls {
                prop_assert!(!(call.told_no_effect && call.may_have_effect));
            }
        }
    }
}
