//! How many connections a router keeps open, and which of them it closes for new ones.

use std::collections::{BTreeSet, HashMap};

use crate::BootTime;

/// Identifies a connection.
pub type ConnectionId = u64;

/// Memory that a connection may use while its request's head is received, in bytes.
const CONNECTION_BYTES: usize = 32 * 1024;

/// Part of the memory that callers' connections may use: one in this many.
const MEMORY_DIVISOR: usize = 8;

/// Minimum number of connections of callers, and of connections to a port for single clients.
const MIN_CALLERS: usize = 64;
const MIN_CLIENTS: usize = 8;

/// How many connections each port of a router accepts.
///
/// What is left of the descriptors is for the router's own connections: to its target, to other routers and to the
/// store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionShares {
    /// Connections of callers.
    pub callers: usize,
    /// Links from other routers.
    pub routers: usize,
    /// Connections to a port that only a few clients use: the target, operators, health checks.
    pub clients: usize,
}

impl ConnectionShares {
    /// Divides the descriptors of a process on a VM with `memory` bytes.
    #[must_use]
    pub fn new(descriptors: usize, memory: usize) -> Self {
        let by_memory = memory / MEMORY_DIVISOR / CONNECTION_BYTES;
        Self {
            callers: (descriptors / 2).min(by_memory.max(MIN_CALLERS)),
            routers: descriptors / 4,
            clients: (descriptors / 64).max(MIN_CLIENTS),
        }
    }
}

/// The decision on a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionStep {
    /// It is kept.
    Opened(ConnectionId),
    /// It is kept, and another one has to be closed, which has waited the longest.
    Replaced {
        /// The new connection.
        opened: ConnectionId,
        /// The connection to close.
        closed: ConnectionId,
    },
    /// It is closed, since requests are in progress on all others.
    Refused,
}

/// Bounds the number of open connections.
///
/// A new connection takes the place of the one that has waited the longest for a request, or for the rest of one. So
/// connections that only stay open cannot keep out callers that send requests.
#[derive(Clone, Debug)]
pub struct ConnectionLimit {
    max_open: usize,
    next_id: ConnectionId,
    /// Since when each connection has waited; `None` while its request is in progress.
    open: HashMap<ConnectionId, Option<BootTime>>,
    waiting: BTreeSet<(BootTime, ConnectionId)>,
}

impl ConnectionLimit {
    /// Creates the limit.
    #[must_use]
    pub fn new(max_open: usize) -> Self {
        Self {
            max_open,
            next_id: 0,
            open: HashMap::new(),
            waiting: BTreeSet::new(),
        }
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn open_count(&self) -> usize {
        self.open.len()
    }

    /// Returns the maximum number of open connections.
    #[must_use]
    pub fn max_open(&self) -> usize {
        self.max_open
    }

    /// Decides on a new connection.
    pub fn open(&mut self, now: BootTime) -> ConnectionStep {
        let closed = if self.open.len() < self.max_open {
            None
        } else {
            let Some((_, longest)) = self.waiting.first().copied() else {
                return ConnectionStep::Refused;
            };
            self.close(longest);
            Some(longest)
        };
        let opened = self.next_id;
        self.next_id += 1;
        self.open.insert(opened, Some(now));
        self.waiting.insert((now, opened));
        match closed {
            None => ConnectionStep::Opened(opened),
            Some(closed) => ConnectionStep::Replaced { opened, closed },
        }
    }

    /// Records since when a connection has waited for its caller; `None` while a request is in progress.
    pub fn set_waiting(&mut self, id: ConnectionId, since: Option<BootTime>) {
        let Some(waiting) = self.open.get_mut(&id) else {
            return;
        };
        if let Some(before) = std::mem::replace(waiting, since) {
            self.waiting.remove(&(before, id));
        }
        if let Some(since) = since {
            self.waiting.insert((since, id));
        }
    }

    /// Removes a connection that has ended.
    pub fn close(&mut self, id: ConnectionId) {
        if let Some(Some(since)) = self.open.remove(&id) {
            self.waiting.remove(&(since, id));
        }
    }
}
