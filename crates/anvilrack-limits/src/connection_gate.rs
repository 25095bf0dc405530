//! Bounds the connections that others open to a port.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use anvilrack_core::{BootTime, ConnectionId, ConnectionLimit, ConnectionStep};
use rustix::process::{Resource, getrlimit};
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::lock;

/// Maximum number of descriptors that a router plans with, whatever the kernel allows.
const MAX_DESCRIPTORS: u32 = 65_536;

/// The connections to one port of the router.
#[derive(Debug)]
pub struct ConnectionGate {
    /// Start of the clock of `limit`.
    started_at: Instant,
    limit: Mutex<ConnectionLimit>,
    /// Notified when a connection has to close.
    closing: Mutex<HashMap<ConnectionId, Arc<Notify>>>,
    replaced: AtomicU64,
    refused: AtomicU64,
}

/// An open connection; dropping it makes room for another.
#[derive(Debug)]
pub struct GatedConnection {
    gate: Arc<ConnectionGate>,
    id: ConnectionId,
    closing: Arc<Notify>,
}

impl ConnectionGate {
    /// Creates a gate for at most `max_open` connections.
    #[must_use]
    pub fn new(max_open: usize) -> Arc<Self> {
        Arc::new(Self {
            started_at: Instant::now(),
            limit: Mutex::new(ConnectionLimit::new(max_open)),
            closing: Mutex::default(),
            replaced: AtomicU64::new(0),
            refused: AtomicU64::new(0),
        })
    }

    /// Admits a new connection; `None` if it has to be closed.
    ///
    /// It may take the place of another one, whose [`GatedConnection::closing`] then completes.
    #[must_use]
    pub fn open(self: &Arc<Self>) -> Option<GatedConnection> {
        let step = lock(&self.limit).open(self.now());
        let id = match step {
            ConnectionStep::Opened(id) => id,
            ConnectionStep::Replaced { opened, closed } => {
                self.replaced.fetch_add(1, Ordering::Relaxed);
                if let Some(closing) = lock(&self.closing).remove(&closed) {
                    closing.notify_one();
                }
                opened
            }
            ConnectionStep::Refused => {
                self.refused.fetch_add(1, Ordering::Relaxed);
                return None;
            }
        };
        let closing = Arc::new(Notify::new());
        lock(&self.closing).insert(id, closing.clone());
        Some(GatedConnection {
            gate: self.clone(),
            id,
            closing,
        })
    }

    fn now(&self) -> BootTime {
        self.started_at.elapsed()
    }

    /// Returns the number of open connections and the maximum.
    #[must_use]
    pub fn usage(&self) -> (usize, usize) {
        let limit = lock(&self.limit);
        (limit.open_count(), limit.max_open())
    }

    /// Returns how many connections were closed for new ones, and how many were refused.
    #[must_use]
    pub fn refusals(&self) -> (u64, u64) {
        let count = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        (count(&self.replaced), count(&self.refused))
    }
}

impl GatedConnection {
    /// Records that the connection waits for its client from now on, so that others may take its place.
    pub fn set_waiting(&self) {
        lock(&self.gate.limit).set_waiting(self.id, Some(self.gate.now()));
    }

    /// Records that a request of the connection is in progress, so that it keeps its place.
    pub fn set_busy(&self) {
        lock(&self.gate.limit).set_waiting(self.id, None);
    }

    /// Waits until the connection has to close.
    pub async fn closing(&self) {
        self.closing.notified().await;
    }

    /// Returns what completes [`Self::closing`] when it is notified.
    #[must_use]
    pub fn closer(&self) -> Arc<Notify> {
        self.closing.clone()
    }
}

impl Drop for GatedConnection {
    fn drop(&mut self) {
        lock(&self.gate.closing).remove(&self.id);
        lock(&self.gate.limit).close(self.id);
    }
}

/// Returns the number of descriptors that the kernel allows the process.
#[must_use]
pub fn descriptor_limit() -> u32 {
    let limit = getrlimit(Resource::Nofile).current;
    let limit = limit.and_then(|limit| u32::try_from(limit).ok());
    limit.unwrap_or(MAX_DESCRIPTORS).min(MAX_DESCRIPTORS)
}
