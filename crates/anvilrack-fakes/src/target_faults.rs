//! Faults of a stand-in target.

use serde::{Deserialize, Serialize};

/// Faults that can be switched on at any time.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each fault is a switch of its own"
)]
pub struct TargetFaults {
    /// Requests begin only when this is false again.
    pub frozen: bool,
    /// Each request takes this much longer, in milliseconds.
    pub slow_ms: u64,
    /// The process aborts when a body contains this text.
    pub crash_on: Option<String>,
    /// The health endpoint says that all is well, whatever is the matter.
    pub lie_about_health: bool,
    /// The load endpoint says zero.
    pub lie_about_load: bool,
    /// The health and load endpoints tell what was true so many milliseconds ago.
    pub lag_ms: u64,
    /// New requests are refused with 503 while this is true.
    pub draining: bool,
    /// Answers announce more bytes than they bring.
    pub cut_short: bool,
}
