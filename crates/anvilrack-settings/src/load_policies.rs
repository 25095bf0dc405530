//! Which rules for load a router uses.

use serde::Deserialize;

/// One choice for each kind of decision about load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LoadPolicies {
    /// Room at the target.
    pub admission: AdmissionMode,
    /// The target of a request that any target may take.
    pub choice: ChoiceMode,
    /// What shards are placed by.
    pub placement: PlacementMode,
}

/// How a router finds room at its target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AdmissionMode {
    /// Up to the slots, and fewer while latency grows.
    #[default]
    Adaptive,
    /// Up to the slots.
    Slots,
    /// Up to the target's connections, in the order of arrival: a baseline.
    None,
}

/// How a router chooses among targets that may all take a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChoiceMode {
    /// Two at random, of which the less burdened is taken.
    #[default]
    TwoChoices,
    /// One at random: a baseline.
    Random,
    /// One after another: a baseline.
    RoundRobin,
    /// Always the owner of the key's shard: a baseline.
    Owner,
}

/// What shards are placed by.
///
/// With the weight `imbalance` at zero in the configuration shards only leave members that leave or
/// are sick: the static baseline.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlacementMode {
    /// The requests that each shard brings.
    #[default]
    Load,
    /// Their number: a baseline.
    Count,
}
