//! What may be said of the effects of a tool call whose answer broke off. A call may have an effect of its own, or
//! through the calls that are nested in it, at any depth.
//!
//! Invariant: once a caller may have been told that a call had no effect, no call below it begins to have one.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use thiserror::Error;

/// The error for a nested call that may not run: the caller of a call above it may have been told that nothing took
/// effect, and may repeat that call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("a call above this one has ended without an effect")]
pub struct EffectsRuledOut;

/// What is known of the effects of a call and all calls below it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Effects {
    /// None of them has side effects so far.
    None,
    /// One of them has side effects, and may have run.
    Possible,
    /// There are none, and there will be none.
    RuledOut,
}

struct Node {
    effects: Effects,
    parent: Option<usize>,
}

/// One call in the tree of a client's call and the calls nested in it. Clones stand for the same call.
#[derive(Clone)]
pub struct CallEffects {
    tree: Arc<Mutex<Vec<Node>>>,
    index: usize,
}

impl CallEffects {
    /// Creates the tree of a client's call.
    pub fn of_client_call(has_side_effects: bool) -> Self {
        let root = Node { effects: initial(has_side_effects), parent: None };
        CallEffects { tree: Arc::new(Mutex::new(vec![root])), index: 0 }
    }

    /// Adds a call that the server of this one makes. If it has side effects, all calls above it may have an effect from
    /// now on.
    ///
    /// # Errors
    ///
    /// A call with side effects must not run if effects are ruled out for any call above it.
    pub fn nest(&self, has_side_effects: bool) -> Result<Self, EffectsRuledOut> {
        let mut nodes = self.nodes();
        if has_side_effects {
            let above = path_to_root(&nodes, self.index);
            if above.iter().any(|index| nodes[*index].effects == Effects::RuledOut) {
                return Err(EffectsRuledOut);
            }
            for index in above {
                nodes[index].effects = Effects::Possible;
            }
        }
        nodes.push(Node { effects: initial(has_side_effects), parent: Some(self.index) });
        Ok(CallEffects { tree: self.tree.clone(), index: nodes.len() - 1 })
    }

    /// Rules effects out if there has been none: returns true if the call may be said to have had no effect, and ensures
    /// that this stays true.
    pub fn rule_out(&self) -> bool {
        let effects = &mut self.nodes()[self.index].effects;
        if *effects == Effects::None {
            *effects = Effects::RuledOut;
        }
        *effects == Effects::RuledOut
    }

    fn nodes(&self) -> MutexGuard<'_, Vec<Node>> {
        self.tree.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn initial(has_side_effects: bool) -> Effects {
    if has_side_effects { Effects::Possible } else { Effects::None }
}

/// Returns the indices of a call and of all calls above it.
fn path_to_root(nodes: &[Node], index: usize) -> Vec<usize> {
    std::iter::successors(Some(index), |index| nodes[*index].parent).collect()
}
