//! Who owns a key, as far as this router knows.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use thiserror::Error;

use crate::cell_history::CellHistory;
use crate::{
    CellRecord, ConfigRecord, FencingToken, NodeId, RecordDelta, Revision, ServiceName,
    ServiceRules, ShardHash, ShardId, TableVersion,
};

/// The newest records this router has seen.
///
/// It takes only what is newer than what it has, so messages may arrive late, twice or out of
/// order.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    config: Arc<ConfigRecord>,
    cells: BTreeMap<ServiceName, Arc<CellHistory>>,
    /// Cells of which a delta did not fit; the next digest asks for their records in full.
    unfitting: BTreeSet<ServiceName>,
}

impl RouteTable {
    /// Finds the owner of a key.
    ///
    /// # Errors
    ///
    /// [`RouteError`] says whether the service or the owner is missing.
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

    /// The rules of a service.
    #[must_use]
    pub fn rules(&self, service: &str) -> Option<&ServiceRules> {
        self.config.document.services.get(service)
    }

    /// The newest configuration.
    #[must_use]
    pub fn config(&self) -> &Arc<ConfigRecord> {
        &self.config
    }

    /// The newest record of each cell.
    pub fn cells(&self) -> impl Iterator<Item = &Arc<CellRecord>> {
        self.cells.values().map(|cell| cell.record())
    }

    /// The newest record of one cell.
    #[must_use]
    pub fn cell(&self, service: &str) -> Option<&Arc<CellRecord>> {
        self.cells.get(service).map(|cell| cell.record())
    }

    /// The version of each cell's record, in the order of the services' names.
    #[must_use]
    pub fn digest(&self) -> Vec<(ServiceName, TableVersion)> {
        let fitting = |service| !self.unfitting.contains(service);
        let cells = self.cells.iter().filter(|(service, _)| fitting(*service));
        cells
            .map(|(service, cell)| (service.clone(), cell.record().version))
            .collect()
    }

    /// What a peer with the given digest lacks: steps where they are kept, else records in full.
    #[must_use]
    pub fn changes_since(&self, digest: &[(ServiceName, TableVersion)]) -> TableChanges {
        let known: BTreeMap<_, _> = digest.iter().cloned().collect();
        let mut changes = TableChanges::default();
        for (service, cell) in &self.cells {
            let version = known.get(service).copied().unwrap_or(0);
            changes.add_cell(cell, version);
        }
        changes
    }

    /// As [`Self::changes_since`], for those cells alone that the digest names.
    #[must_use]
    pub fn changes_among(&self, digest: &[(ServiceName, TableVersion)]) -> TableChanges {
        let mut changes = TableChanges::default();
        for (service, version) in digest {
            if let Some(cell) = self.cells.get(service) {
                changes.add_cell(cell, *version);
            }
        }
        changes
    }

    /// Works out the records that deltas lead to, without taking them yet.
    ///
    /// A delta that is not newer than what this table has is passed over. One that does not fit
    /// makes the next digest ask for that cell's record in full.
    pub fn records_after(&mut self, deltas: &[Arc<RecordDelta>]) -> Vec<Arc<CellRecord>> {
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
                self.unfitting.insert(delta.service.clone());
            }
        }
        let newer = |record: &CellRecord| {
            let known = self.cells.get(&record.service);
            known.is_none_or(|known| known.record().version < record.version)
        };
        let records = records.into_values().filter(newer);
        records.map(Arc::new).collect()
    }

    /// The configuration, where a peer has an older one.
    #[must_use]
    pub fn config_newer_than(&self, revision: Revision) -> Option<Arc<ConfigRecord>> {
        (self.config.revision > revision).then(|| self.config.clone())
    }

    /// Takes a cell's record if it is newer; says whether it did.
    pub fn accept_cell(&mut self, cell: Arc<CellRecord>) -> bool {
        self.unfitting.remove(&cell.service);
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

    /// Takes a configuration if it is newer; says whether it did.
    pub fn accept_config(&mut self, config: Arc<ConfigRecord>) -> bool {
        let newer = config.revision > self.config.revision;
        if newer {
            self.config = config;
        }
        newer
    }
}

/// What a peer lacks.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TableChanges {
    /// Records in full.
    pub cells: Vec<Arc<CellRecord>>,
    /// Steps, in the order in which they apply.
    pub deltas: Vec<Arc<RecordDelta>>,
}

impl TableChanges {
    fn add_cell(&mut self, cell: &CellHistory, version: TableVersion) {
        if version >= cell.record().version {
            return;
        }
        match cell.deltas_since(version) {
            Some(deltas) => self.deltas.extend(deltas),
            None => self.cells.push(cell.record().clone()),
        }
    }
}

/// Where requests for a shard go.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardRoute {
    /// The key's shard.
    pub shard: ShardId,
    /// The router beside the owner.
    pub node: NodeId,
    /// The owner's fencing token.
    pub token: FencingToken,
    /// Where that router takes its peers' links.
    pub peer_address: SocketAddr,
}

/// Why a key has no route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RouteError {
    /// The configuration has no such service.
    #[error("no such service in the configuration")]
    UnknownService,
    /// The shard has no owner that this router knows of.
    #[error("the key's shard has no owner just now")]
    NoOwner,
}
