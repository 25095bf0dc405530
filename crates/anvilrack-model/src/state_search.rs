//! Breadth-first search of all states within bounds.

use std::cell::Cell;
use std::fmt;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;
use std::time::{Duration, Instant};

use pathfinding::directed::bfs::bfs;

use crate::liveness_check::recovers;
use crate::system_state::SystemSetup;
use crate::{ModelOptions, PropertyViolation, SearchBounds, SystemAction, SystemState};

/// A search of one model within bounds.
#[derive(Clone, Debug)]
pub struct StateSearch {
    options: ModelOptions,
    bounds: SearchBounds,
}

/// The result of a search.
#[derive(Clone, Debug)]
pub struct SearchReport {
    /// Number of states that were expanded.
    pub states: usize,
    /// Number of steps from the start to the last of them.
    pub depth: u32,
    /// Duration of the search.
    pub time: Duration,
    /// Whether the search stopped because it reached [`SearchBounds::max_states`].
    pub cut_short: bool,
    /// The shortest trace that violates a property, if one was found.
    pub trace: Option<FoundTrace>,
}

/// The actions that lead to a state that violates a property.
#[derive(Clone, Debug)]
pub struct FoundTrace {
    /// The violation in the last state.
    pub violation: PropertyViolation,
    /// The actions in order, each with the tick in which it happens.
    pub actions: Vec<(u32, SystemAction)>,
}

/// A state with its hash, which is computed once because the search needs it often.
#[derive(Clone)]
struct SearchNode {
    state: Rc<SystemState>,
    hash: u64,
    depth: u32,
}

impl SearchNode {
    fn new(state: SystemState, depth: u32) -> Self {
        let mut hasher = DefaultHasher::new();
        state.hash(&mut hasher);
        let hash = hasher.finish();
        let state = Rc::new(state);
        Self { state, hash, depth }
    }
}

impl PartialEq for SearchNode {
    fn eq(&self, other: &Self) -> bool {
        self.hash == other.hash && self.state == other.state
    }
}

impl Eq for SearchNode {}

impl Hash for SearchNode {
    fn hash<H: Hasher>(&self, state: &mut H) {
        state.write_u64(self.hash);
    }
}

impl StateSearch {
    /// Creates a search of the model with these options.
    #[must_use]
    pub fn new(options: ModelOptions, bounds: SearchBounds) -> Self {
        Self { options, bounds }
    }

    /// Runs the search, breadth first, so that a trace is the shortest one.
    #[must_use]
    pub fn run(&self) -> SearchReport {
        let setup = SystemSetup::new(self.options);
        let started = Instant::now();
        let states = Cell::new(0);
        let depth = Cell::new(0);
        let cut_short = Cell::new(false);
        let successors = |node: &SearchNode| {
            if states.get() >= self.bounds.max_states {
                cut_short.set(true);
                return Vec::new();
            }
            states.set(states.get() + 1);
            depth.set(node.depth);
            self.successors(&setup, node)
        };
        let violates = |node: &SearchNode| self.violation_of(&setup, &node.state).is_some();
        let (start, initial_actions) =
            SystemState::new(self.options).run_initial_steps(&setup, &self.bounds.initial_steps);
        let start = SearchNode::new(start, 0);
        let path = bfs(&start, successors, violates);
        SearchReport {
            states: states.get(),
            depth: depth.get(),
            time: started.elapsed(),
            cut_short: cut_short.get(),
            trace: path.and_then(|path| self.trace_of(&setup, initial_actions, &path)),
        }
    }

    fn successors(&self, setup: &SystemSetup, node: &SearchNode) -> Vec<SearchNode> {
        let actions = node.state.actions(&self.bounds);
        let states = actions
            .into_iter()
            .filter_map(|action| node.state.apply(setup, action));
        states
            .map(|state| SearchNode::new(state, node.depth + 1))
            .collect()
    }

    fn violation_of(&self, setup: &SystemSetup, state: &SystemState) -> Option<PropertyViolation> {
        let is_live = || !self.bounds.liveness || recovers(state, setup);
        let liveness_violation = || (!is_live()).then_some(PropertyViolation::NeverServed);
        state.violation().or_else(liveness_violation)
    }

    fn trace_of(
        &self,
        setup: &SystemSetup,
        initial_actions: Vec<(u32, SystemAction)>,
        path: &[SearchNode],
    ) -> Option<FoundTrace> {
        let violation = self.violation_of(setup, &path.last()?.state)?;
        let found = path.windows(2).filter_map(|pair| {
            let (from, to) = (&pair[0].state, &pair[1].state);
            let mut actions = from.actions(&self.bounds).into_iter();
            let action =
                actions.find(|action| from.apply(setup, *action).as_ref() == Some(&**to))?;
            Some((from.tick, action))
        });
        let actions = initial_actions.into_iter().chain(found).collect();
        Some(FoundTrace { violation, actions })
    }
}

impl fmt::Display for FoundTrace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (tick, action) in &self.actions {
            writeln!(f, "  tick {tick:>3}  {action}")?;
        }
        write!(f, "  violated: {:?}", self.violation)
    }
}
