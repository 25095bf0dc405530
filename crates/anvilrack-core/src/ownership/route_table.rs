//! Finds the owner of a key from the records that this router has received.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use thiserror::Error;

use super::cell_history::CellHistory;
use crate::{
    CellRecord, CellVersion, ConfigRecord, FencingToken, NodeId, RecordDelta, Revision,
    ServiceName, ServiceRules, ShardHash, ShardId,
};

/// The newest configuration and cell records that this router has received.
///
/// The table accepts only newer records than its own, so messages may arrive late, repeatedly or
/// out of order.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    config: Arc<ConfigRecord>,
    cells: BTreeMap<ServiceName, Arc<CellHistory>>,
    /// Cells with a delta that did not apply; the next digest asks for their full records.
    incomplete_cells: BTreeSet<ServiceName>,
}

impl RouteTable {
    /// Returns the route to the owner of a key.
    ///
    /// # Errors
    ///
    /// Returns [`RouteError`] if the service is unknown or the shard has no known owner.
    pub fn resolve(&self, service: &str, key: &str) -> Result<ShardRoute, RouteError> {
        let rules = self.rules(service).ok_or(RouteError::UnknownService)?;
        let shard = ShardHash::new(rules.shards).shard_of(key);
        let cell = self.cells.get(service).ok_or(RouteError::NoOwner)?;
        let owner = cell.record().owner(shard).ok_or(RouteError::NoOwner)?;
        let address = cell.peer_address(&owner.node);
        Ok(ShardRoute {
            shard,
            node: owner.node.clone(),
            token: owner.token,
            peer_address: address.ok_or(RouteError::NoOwner)?,
        })
    }

    /// Returns the rules of a service.
    #[must_use]
    pub fn rules(&self, service: &str) -> Option<&ServiceRules> {
        self.config.document.services.get(service)
    }

    /// Returns the newest configuration.
    #[must_use]
    pub fn config(&self) -> &Arc<ConfigRecord> {
        &self.config
    }

    /// Iterates over the newest record of each cell.
    pub fn cells(&self) -> impl Iterator<Item = &Arc<CellRecord>> {
        self.cells.values().map(|cell| cell.record())
    }

    /// Returns the newest record of one cell.
    #[must_use]
    pub fn cell(&self, service: &str) -> Option<&Arc<CellRecord>> {
        self.cells.get(service).map(|cell| cell.record())
    }

    /// Returns the version of each cell's record, sorted by service name. Cells that need a full
    /// record are left out.
    #[must_use]
    pub fn digest(&self) -> Vec<(ServiceName, CellVersion)> {
        let is_complete = |service| !self.incomplete_cells.contains(service);
        let cells = self
            .cells
            .iter()
            .filter(|(service, _)| is_complete(*service));
        cells
            .map(|(service, cell)| (service.clone(), cell.record().version))
            .collect()
    }

    /// Returns the changes that a peer with the given digest lacks: deltas if the history has them,
    /// else full records.
    #[must_use]
    pub fn changes_since(&self, digest: &[(ServiceName, CellVersion)]) -> TableChanges {
        let known: BTreeMap<_, _> = digest.iter().cloned().collect();
        let mut changes = TableChanges::default();
        for (service, cell) in &self.cells {
            let version = known.get(service).copied().unwrap_or(0);
            changes.add_cell(cell, version);
        }
        changes
    }

    /// Like [`Self::changes_since`], but only for the cells in the digest.
    #[must_use]
    pub fn changes_for_cells(&self, digest: &[(ServiceName, CellVersion)]) -> TableChanges {
        let mut changes = TableChanges::default();
        for (service, version) in digest {
            if let Some(cell) = self.cells.get(service) {
                changes.add_cell(cell, *version);
            }
        }
        changes
    }

    /// Computes the records that result from `deltas`, without accepting them yet.
    ///
    /// Deltas that are not newer than the table are skipped. If a delta does not apply, the next
    /// digest asks for the full record of its cell.
    pub fn records_from_deltas(&mut self, deltas: &[Arc<RecordDelta>]) -> Vec<Arc<CellRecord>> {
        let mut records: BTreeMap<ServiceName, CellRecord> = BTreeMap::new();
        for delta in deltas {
            let Some(cell) = self.cells.get(&delta.service) else {
                continue;
            };
            let newest = records.get(&delta.service).unwrap_or(cell.record());
            if delta.stamp.version <= newest.version {
                continue;
            }
            let record = records
                .entry(delta.service.clone())
                .or_insert_with(|| CellRecord::clone(cell.record()));
            if !delta.apply_to(record) {
                self.incomplete_cells.insert(delta.service.clone());
            }
        }
        let newer = |record: &CellRecord| {
            let known = self.cells.get(&record.service);
            known.is_none_or(|known| known.record().version < record.version)
        };
        let records = records.into_values().filter(newer);
        records.map(Arc::new).collect()
    }

    /// Returns the configuration if it is newer than `revision`.
    #[must_use]
    pub fn config_newer_than(&self, revision: Revision) -> Option<Arc<ConfigRecord>> {
        (self.config.revision > revision).then(|| self.config.clone())
    }

    /// Accepts a cell's record if it is newer; returns whether it was.
    pub fn accept_cell(&mut self, cell: Arc<CellRecord>) -> bool {
        self.incomplete_cells.remove(&cell.service);
        let Some(known) = self.cells.get_mut(&cell.service) else {
            let history = CellHistory::new(cell.clone());
            self.cells.insert(cell.service.clone(), Arc::new(history));
            return true;
        };
        let newer = known.record().version < cell.version;
        if newer {
            Arc::make_mut(known).advance(cell);
        }
        newer
    }

    /// Accepts a configuration if it is newer; returns whether it was.
    pub fn accept_config(&mut self, config: Arc<ConfigRecord>) -> bool {
        let newer = config.revision > self.config.revision;
        if newer {
            self.config = config;
        }
        newer
    }
}

/// Changes that a peer lacks.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TableChanges {
    /// Full records.
    pub cells: Vec<Arc<CellRecord>>,
    /// Deltas, in the order in which they apply.
    pub deltas: Vec<Arc<RecordDelta>>,
}

impl TableChanges {
    fn add_cell(&mut self, cell: &CellHistory, version: CellVersion) {
        if version >= cell.record().version {
            return;
        }
        match cell.deltas_since(version) {
            Some(deltas) => self.deltas.extend(deltas),
            None => self.cells.push(cell.record().clone()),
        }
    }
}

/// Where requests for a shard are sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardRoute {
    /// Shard of the key.
    pub shard: ShardId,
    /// Router that owns the shard.
    pub node: NodeId,
    /// Fencing token of the owner.
    pub token: FencingToken,
    /// Address where that router accepts connections from its peers.
    pub peer_address: SocketAddr,
}

/// Why a key has no route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RouteError {
    /// The configuration has no such service.
    #[error("no such service in the configuration")]
    UnknownService,
    /// No owner of the shard is known to this router.
    #[error("the key's shard has no known owner")]
    NoOwner,
}
