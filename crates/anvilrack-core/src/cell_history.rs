//! The newest record of a cell and the steps that led to it.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use crate::{CellRecord, NodeId, RecordDelta, TableVersion};

/// Steps kept of each cell.
const DELTA_LIMIT: usize = 64;

/// One cell as a router knows it.
#[derive(Clone, Debug)]
pub(crate) struct CellHistory {
    record: Arc<CellRecord>,
    addresses: HashMap<NodeId, SocketAddr>,
    deltas: VecDeque<Arc<RecordDelta>>,
}

impl CellHistory {
    /// You give the first record seen.
    pub(crate) fn new(record: Arc<CellRecord>) -> Self {
        Self {
            addresses: addresses_of(&record),
            record,
            deltas: VecDeque::new(),
        }
    }

    /// The newest record.
    pub(crate) fn record(&self) -> &Arc<CellRecord> {
        &self.record
    }

    /// Where a member takes its peers' links.
    pub(crate) fn peer_address(&self, node: &NodeId) -> Option<SocketAddr> {
        self.addresses.get(node).copied()
    }

    /// Takes a newer record.
    pub(crate) fn advance(&mut self, record: Arc<CellRecord>) {
        let delta = RecordDelta::new(&self.record, &record);
        if self.deltas.len() >= DELTA_LIMIT {
            self.deltas.pop_front();
        }
        if !delta.members.is_empty() || !delta.gone.is_empty() {
            self.addresses = addresses_of(&record);
        }
        self.deltas.push_back(Arc::new(delta));
        self.record = record;
    }

    /// The steps from a version on; none where they are not kept or are not worth it.
    pub(crate) fn deltas_since(&self, version: TableVersion) -> Option<Vec<Arc<RecordDelta>>> {
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
