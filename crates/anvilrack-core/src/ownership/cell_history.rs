//! The newest record of a cell and the deltas that led to it.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use crate::{CellRecord, CellVersion, NodeId, RecordDelta};

/// Maximum number of deltas kept per cell.
const MAX_DELTAS: usize = 64;

/// The newest record of one cell that a router knows, with its recent deltas.
#[derive(Clone, Debug)]
pub(crate) struct CellHistory {
    record: Arc<CellRecord>,
    addresses: HashMap<NodeId, SocketAddr>,
    deltas: VecDeque<Arc<RecordDelta>>,
}

impl CellHistory {
    /// Creates a history that starts with `record`.
    pub(crate) fn new(record: Arc<CellRecord>) -> Self {
        Self {
            addresses: addresses_of(&record),
            record,
            deltas: VecDeque::new(),
        }
    }

    /// Returns the newest record.
    pub(crate) fn record(&self) -> &Arc<CellRecord> {
        &self.record
    }

    /// Returns the address at which a member accepts connections from its peers.
    pub(crate) fn peer_address(&self, node: &NodeId) -> Option<SocketAddr> {
        self.addresses.get(node).copied()
    }

    /// Replaces the record by a newer one and stores the delta between them.
    pub(crate) fn advance(&mut self, record: Arc<CellRecord>) {
        let delta = RecordDelta::new(&self.record, &record);
        if self.deltas.len() >= MAX_DELTAS {
            self.deltas.pop_front();
        }
        if !delta.members.is_empty() || !delta.gone.is_empty() {
            self.addresses = addresses_of(&record);
        }
        self.deltas.push_back(Arc::new(delta));
        self.record = record;
    }

    /// Returns the deltas that lead from `version` to the newest record.
    ///
    /// Returns `None` if they are no longer kept, or if together they change more shards than the record has.
    pub(crate) fn deltas_since(&self, version: CellVersion) -> Option<Vec<Arc<RecordDelta>>> {
        let is_first = |delta: &Arc<RecordDelta>| delta.base.version == version;
        let first = self.deltas.iter().position(is_first)?;
        let deltas: Vec<_> = self.deltas.iter().skip(first).cloned().collect();
        let changed: usize = deltas.iter().map(|delta| delta.shards.len()).sum();
        (changed <= self.record.shards.len()).then_some(deltas)
    }
}

fn addresses_of(record: &CellRecord) -> HashMap<NodeId, SocketAddr> {
    let members = record.members.iter();
    members
        .map(|member| (member.node.clone(), member.peer_address))
        .collect()
}
