use std::hash::Hash;

use pathfinding::directed::bfs::{bfs, bfs_reach};

/// A state of a specification.
pub trait SpecWorld: Clone + Eq + Hash {
    /// Every state that one step leads to.
    fn successors(&self) -> Vec<Self>;

    /// What is wrong with this state, if anything.
    fn violation(&self) -> Option<String>;

    /// The step that led here, in words.
    fn step_name(&self) -> String;
}

/// What an exploration found.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Exploration {
    /// How many different states were visited.
    pub states: usize,
    /// The shortest way to a bad state, if there is one.
    pub violation: Option<Vec<String>>,
}

/// Visits every reachable state.
pub fn explore<W: SpecWorld>(start: &W) -> Exploration {
    let mut states = 0;
    for world in bfs_reach(start.clone(), SpecWorld::successors) {
        states += 1;
        if world.violation().is_some() {
            return Exploration { states, violation: find_violation(start) };
        }
    }
    Exploration { states, violation: None }
}

/// The shortest way to a bad state, as the names of its steps.
pub fn find_violation<W: SpecWorld>(start: &W) -> Option<Vec<String>> {
    let path = bfs(start, SpecWorld::successors, |world| world.violation().is_some())?;
    let last = path.last().and_then(SpecWorld::violation);
    let steps = path.iter().skip(1).map(SpecWorld::step_name);
    Some(steps.chain(last.map(|wrong| format!("=> {wrong}"))).collect())
}
