//! Bounds the connections that others open to this router.

use std::sync::Arc;

use anvilrack_limits::ConnectionGate;

/// The connections to all ports of a router.
#[derive(Debug)]
pub struct ConnectionGates {
    /// Connections of callers.
    pub callers: Arc<ConnectionGate>,
    /// Links from other routers.
    pub routers: Arc<ConnectionGate>,
    /// Connections of the target.
    pub control: Arc<ConnectionGate>,
    /// Connections of health checks.
    pub ready: Arc<ConnectionGate>,
    /// Connections of operators.
    pub metrics: Arc<ConnectionGate>,
}

impl ConnectionGates {
    /// Creates gates that admit all connections.
    #[must_use]
    pub fn unlimited() -> Self {
        let unlimited = || ConnectionGate::new(usize::MAX);
        Self {
            callers: unlimited(),
            routers: unlimited(),
            control: unlimited(),
            ready: unlimited(),
            metrics: unlimited(),
        }
    }

    /// Returns the gates with the names of their ports.
    pub fn by_port(&self) -> impl Iterator<Item = (&'static str, &ConnectionGate)> {
        [
            ("callers", &*self.callers),
            ("peers", &*self.routers),
            ("control", &*self.control),
            ("ready", &*self.ready),
            ("metrics", &*self.metrics),
        ]
        .into_iter()
    }
}
