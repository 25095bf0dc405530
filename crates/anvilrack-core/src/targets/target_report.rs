//! What a target says about its load.

/// Work takes this long on a VM that is not shared with others, in percent.
pub const USUAL_PACE_PERCENT: u32 = 100;

/// The load that a target states in a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TargetReport {
    /// Number of requests that are running.
    pub running: u32,
    /// Number of requests that are waiting for a slot.
    pub waiting: u32,
    /// Number of requests that the target runs concurrently.
    pub slots: u32,
    /// Time that work takes on the target's VM now, in percent of the usual time.
    pub pace_percent: u32,
}

impl TargetReport {
    /// Returns whether work takes longer on the target's VM than usual.
    #[must_use]
    pub fn is_slow(&self) -> bool {
        self.pace_percent > USUAL_PACE_PERCENT
    }
}
