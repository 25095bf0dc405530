//! Faults that a fake target can simulate.

use serde::{Deserialize, Serialize};

/// Active faults of a fake target; they can be changed at any time.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each fault is an independent switch"
)]
pub struct TargetFaults {
    /// No request starts while this is `true`.
    pub frozen: bool,
    /// Delay added to each request, in milliseconds.
    pub slow_ms: u64,
    /// The process aborts when a request's body contains this text.
    pub crash_on: Option<String>,
    /// The health endpoint always reports that the target is healthy.
    pub lie_about_health: bool,
    /// The load endpoint always reports zero.
    pub lie_about_load: bool,
    /// The load endpoint reports the load of this many milliseconds ago.
    pub lag_ms: u64,
    /// New requests are refused with 503 while this is `true`.
    pub draining: bool,
    /// Responses announce a longer body than they contain.
    pub cut_short: bool,
}
