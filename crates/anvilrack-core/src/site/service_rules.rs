//! The operators' configuration of regions and services.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{DomainName, NodeId, RegionName, Revision, ServiceName};

/// One applied configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigRecord {
    /// Revision number, which rises by one with each apply.
    pub revision: Revision,
    /// Identifies the apply command, so that it can be recognised after a lost response.
    pub apply_id: Arc<str>,
    /// The configuration document.
    pub document: ConfigDocument,
}

/// The configuration document as operators write it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigDocument {
    /// Regions and failure domains.
    pub site: SitePlan,
    /// The services by name.
    pub services: BTreeMap<ServiceName, ServiceRules>,
    /// Weights of the placement goals.
    #[serde(default)]
    pub weights: PlacementWeights,
}

/// Regions and their failure domains.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SitePlan {
    /// Failure domains by region.
    pub regions: BTreeMap<RegionName, Vec<DomainName>>,
}

/// The rules of one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceRules {
    /// Whether only the owner of a key serves it; if not, any target may serve reads.
    pub divided_by_key: bool,
    /// Number of shards; it cannot be changed while the service runs.
    pub shards: u32,
    /// Requests that a target runs concurrently.
    pub slots: u32,
    /// Maximum number of open connections to a target.
    pub connections: u32,
    /// Whether targets reject a fencing token older than one they have seen.
    #[serde(default)]
    pub checks_fence: bool,
    /// Maximum duration of a request, in milliseconds.
    #[serde(default = "default_timeout_ms")]
    pub max_timeout_ms: u64,
    /// Class of the service's requests, which decides their order when a target lacks capacity.
    #[serde(default)]
    pub class: RequestClass,
    /// Regions where the service may run; empty means all.
    #[serde(default)]
    pub regions: Vec<RegionName>,
    /// Keys pinned to a router, by router name.
    #[serde(default)]
    pub pinned_keys: BTreeMap<Arc<str>, NodeId>,
}

impl ServiceRules {
    /// Returns whether the service may run in a region.
    #[must_use]
    pub fn allows(&self, region: &str) -> bool {
        self.regions.is_empty() || self.regions.iter().any(|allowed| **allowed == *region)
    }
}

fn default_timeout_ms() -> u64 {
    10_000
}

/// Class of requests, from the most to the least urgent.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum RequestClass {
    /// Calls that a target makes for a request that it already runs elsewhere.
    Call,
    /// Claims, confirmations and queries between internal services.
    Claim,
    /// Reads for interactive users.
    #[default]
    Read,
    /// Look-ups that can wait.
    Archive,
}

impl RequestClass {
    /// Returns the name for logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Call => "call",
            Self::Claim => "claim",
            Self::Read => "read",
            Self::Archive => "archive",
        }
    }
}

/// Weights of the three placement goals; a higher weight makes a goal more important.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlacementWeights {
    /// Weight of balanced load.
    pub imbalance: u32,
    /// Weight of few ownership changes.
    pub churn: u32,
    /// Weight of short times without an owner.
    pub unavailable: u32,
}

impl Default for PlacementWeights {
    fn default() -> Self {
        Self {
            imbalance: 1,
            churn: 1,
            unavailable: 1,
        }
    }
}
