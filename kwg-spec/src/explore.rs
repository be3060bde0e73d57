use std::hash::Hash;

use pathfinding::directed::bfs::{bfs, bfs_reach};

/// A state of a protocol model.
pub trait ModelState: Clone + Eq + Hash {
    /// Returns every state that one step leads to.
    fn successors(&self) -> Vec<Self>;

    /// Describes the invariant that this state violates, if any.
    fn violation(&self) -> Option<String>;

    /// Describes the step that led to this state.
    fn step_name(&self) -> String;
}

/// Result of an exploration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Exploration {
    /// Number of distinct states visited.
    pub states: usize,
    /// The shortest trace to a state that violates an invariant, if there is one.
    pub violation: Option<Vec<String>>,
}

/// Visits every reachable state, up to the first violation.
pub fn explore<S: ModelState>(start: &S) -> Exploration {
    let mut states = 0;
    for model in bfs_reach(start.clone(), ModelState::successors) {
        states += 1;
        if model.violation().is_some() {
            return Exploration { states, violation: find_violation(start) };
        }
    }
    Exploration { states, violation: None }
}

/// Returns the shortest trace to a violation, as descriptions of its steps and the violation.
pub fn find_violation<S: ModelState>(start: &S) -> Option<Vec<String>> {
    let path = bfs(start, ModelState::successors, |model| model.violation().is_some())?;
    let last = path.last().and_then(ModelState::violation);
    let steps = path.iter().skip(1).map(ModelState::step_name);
    Some(steps.chain(last.map(|violation| format!("=> {violation}"))).collect())
}
