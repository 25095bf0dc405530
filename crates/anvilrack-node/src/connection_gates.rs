//! Bounds the connections that others open to this router.

use std::sync::Arc;

use anvilrack_core::ConnectionShares;
use anvilrack_limits::{ConnectionGate, descriptor_limit};

use crate::NodeSettings;

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
    /// Divides the descriptors of the process by the settings.
    #[must_use]
    pub fn new(settings: &NodeSettings) -> Self {
        let descriptors = settings.max_descriptors.unwrap_or_else(descriptor_limit);
        let shares = ConnectionShares::new(descriptors as usize, settings.memory_bytes());
        Self {
            callers: ConnectionGate::new(shares.callers),
            routers: ConnectionGate::new(shares.routers),
            control: ConnectionGate::new(shares.clients),
            ready: ConnectionGate::new(shares.clients),
            metrics: ConnectionGate::new(shares.clients),
        }
    }

    /// Returns the gates with the names of their ports.
    pub fn by_port(&self) -> impl Iterator<Item = (&'static str, &Arc<ConnectionGate>)> {
        [
            ("callers", &self.callers),
            ("peers", &self.routers),
            ("control", &self.control),
            ("ready", &self.ready),
            ("metrics", &self.metrics),
        ]
        .into_iter()
    }
}
