//! Who owns a key, as far as this router knows.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use thiserror::Error;

use crate::{
    CellRecord, ConfigRecord, FencingToken, NodeId, Revision, ServiceName, ServiceRules, ShardHash,
    ShardId, TableVersion,
};

/// The newest records this router has seen.
///
/// It takes only what is newer than what it has, so messages may arrive late, twice or out of
/// order.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    config: Arc<ConfigRecord>,
    cells: BTreeMap<ServiceName, Arc<CellRecord>>,
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
        let owner = cell.owner(shard).ok_or(RouteError::NoOwner)?;
        let member = cell.member(&owner.node).ok_or(RouteError::NoOwner)?;
        Ok(ShardRoute {
            shard,
            node: owner.node.clone(),
            token: owner.token,
            peer_address: member.peer_address,
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
        self.cells.values()
    }

    /// The newest record of one cell.
    #[must_use]
    pub fn cell(&self, service: &str) -> Option<&Arc<CellRecord>> {
        self.cells.get(service)
    }

    /// The version of each cell's record, in the order of the services' names.
    #[must_use]
    pub fn digest(&self) -> Vec<(ServiceName, TableVersion)> {
        self.cells
            .iter()
            .map(|(service, cell)| (service.clone(), cell.version))
            .collect()
    }

    /// The records that a peer with the given digest lacks.
    #[must_use]
    pub fn newer_than(&self, digest: &[(ServiceName, TableVersion)]) -> Vec<Arc<CellRecord>> {
        let known: BTreeMap<_, _> = digest.iter().cloned().collect();
        self.cells
            .values()
            .filter(|cell| {
                known
                    .get(&cell.service)
                    .is_none_or(|version| *version < cell.version)
            })
            .cloned()
            .collect()
    }

    /// The configuration, where a peer has an older one.
    #[must_use]
    pub fn config_newer_than(&self, revision: Revision) -> Option<Arc<ConfigRecord>> {
        (self.config.revision > revision).then(|| self.config.clone())
    }

    /// Takes a cell's record if it is newer; says whether it did.
    pub fn accept_cell(&mut self, cell: Arc<CellRecord>) -> bool {
        let newer = self
            .cells
            .get(&cell.service)
            .is_none_or(|known| known.version < cell.version);
        if newer {
            self.cells.insert(cell.service.clone(), cell);
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
