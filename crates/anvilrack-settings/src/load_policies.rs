//! Policies by which a router admits requests, selects targets and places shards.

use serde::Deserialize;

/// One policy for each kind of load decision.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LoadPolicies {
    /// How many requests may run at the target at once.
    pub admission: AdmissionMode,
    /// How to select a target for a request that any target can serve.
    pub choice: TargetSelectionMode,
    /// What the coordinator balances when it places shards.
    pub placement: PlacementMode,
}

/// How a router limits the requests that run at its target at once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AdmissionMode {
    /// Up to the target's slots, and fewer while its latency grows.
    #[default]
    Adaptive,
    /// Always up to the target's slots.
    Slots,
    /// Up to the target's connections, in order of arrival. A baseline for comparisons.
    None,
}

/// How a router selects one of several targets that can all serve a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TargetSelectionMode {
    /// Picks two targets at random and uses the less loaded one.
    #[default]
    TwoChoices,
    /// Picks a target at random. A baseline for comparisons.
    Random,
    /// Uses the targets in turn. A baseline for comparisons.
    RoundRobin,
    /// Always uses the owner of the key's shard. A baseline for comparisons.
    Owner,
}

/// What the coordinator balances when it places shards.
///
/// If the weight `imbalance` in the configuration is zero, shards move only off members that are
/// leaving or unhealthy. This is the static baseline for comparisons.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlacementMode {
    /// The request load of each shard.
    #[default]
    Load,
    /// The number of shards. A baseline for comparisons.
    Count,
}
