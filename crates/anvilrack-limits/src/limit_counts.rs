//! How often clients have reached the limits of a process.

use std::sync::Arc;

use crate::{ConnectionGate, MemoryPool};

/// How many bodies and connections gave way to others or were refused since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LimitCounts {
    /// Bodies that were refused for lack of memory.
    pub bodies_refused: u64,
    /// Bodies that gave way to others.
    pub bodies_evicted: u64,
    /// Connections that were closed for new ones.
    pub connections_closed: u64,
    /// Connections that were refused.
    pub connections_refused: u64,
}

impl LimitCounts {
    /// Returns the counts of a process with this memory and these gates.
    #[must_use]
    pub fn of<'a>(
        memory: &MemoryPool,
        gates: impl IntoIterator<Item = &'a Arc<ConnectionGate>>,
    ) -> Self {
        let (bodies_refused, bodies_evicted) = memory.refusals();
        let mut counts = Self {
            bodies_refused,
            bodies_evicted,
            ..Self::default()
        };
        for gate in gates {
            let (closed, refused) = gate.refusals();
            counts.connections_closed += closed;
            counts.connections_refused += refused;
        }
        counts
    }

    /// Returns what was added since `before`; `None` if nothing was.
    #[must_use]
    pub fn since(self, before: Self) -> Option<Self> {
        (self != before).then(|| Self {
            bodies_refused: self.bodies_refused - before.bodies_refused,
            bodies_evicted: self.bodies_evicted - before.bodies_evicted,
            connections_closed: self.connections_closed - before.connections_closed,
            connections_refused: self.connections_refused - before.connections_refused,
        })
    }
}
