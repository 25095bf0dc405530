//! What the operators say about places and services.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{DomainName, NodeId, RegionName, Revision, ServiceName};

/// One applied configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigRecord {
    /// Goes up by one with each apply.
    pub revision: Revision,
    /// Names the apply, so that a lost reply can be recognised.
    pub apply_id: Arc<str>,
    /// What was applied.
    pub document: ConfigDocument,
}

/// The operators' file.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigDocument {
    /// The places.
    pub site: SitePlan,
    /// The services by name.
    pub services: BTreeMap<ServiceName, ServiceRules>,
    /// How placement weighs its three aims.
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
    /// True where each key is served by its owner alone; else reads may go to any target.
    pub divided_by_key: bool,
    /// Number of shards; it cannot be changed while the service runs.
    pub shards: u32,
    /// Requests that a target runs side by side.
    pub slots: u32,
    /// Open connections that a target allows.
    pub connections: u32,
    /// True where targets refuse a fencing token older than one they have seen.
    #[serde(default)]
    pub checks_fence: bool,
    /// Longest time a request may take, in milliseconds.
    #[serde(default = "default_timeout_ms")]
    pub max_timeout_ms: u64,
    /// Which requests go first when a target is short of room.
    #[serde(default)]
    pub class: RequestClass,
    /// Regions where the service may run; empty means all.
    #[serde(default)]
    pub regions: Vec<RegionName>,
    /// Keys tied to one router by name.
    #[serde(default)]
    pub pinned_keys: BTreeMap<Arc<str>, NodeId>,
}

impl ServiceRules {
    /// True where the service may run in that region.
    #[must_use]
    pub fn allows(&self, region: &str) -> bool {
        self.regions.is_empty() || self.regions.iter().any(|allowed| **allowed == *region)
    }
}

fn default_timeout_ms() -> u64 {
    10_000
}

/// Which requests go first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum RequestClass {
    /// Claims, confirmations and questions between internal services.
    Claim,
    /// Reads by people.
    #[default]
    Read,
    /// Look-ups that can wait.
    Archive,
}

impl RequestClass {
    /// The word for logs.
    #[must_use]
    pub fn word(self) -> &'static str {
        match self {
            Self::Claim => "claim",
            Self::Read => "read",
            Self::Archive => "archive",
        }
    }
}

/// How placement weighs its three aims; greater means more important.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlacementWeights {
    /// Weight of even load.
    pub imbalance: u32,
    /// Weight of few changes of ownership.
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
