//! Durations and safety margins of leases, coordinator authority and standby promises.

use std::time::Duration;

/// Durations of leases, coordinator authority and standby promises.
///
/// All processes of a deployment must use the same values.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseTerms {
    /// How long an owner may serve after sending a heartbeat that got a reply.
    pub lease: Duration,
    /// Safety margin for clocks that run at different speeds, subtracted from a lease by its owner.
    pub drift_margin: Duration,
    /// Interval between the heartbeats of a member.
    pub heartbeat: Duration,
    /// How long a coordinator may renew leases after sending its last successful store call.
    pub authority: Duration,
    /// How long a standby's promise not to take over is valid.
    pub promise: Duration,
    /// How long a standby waits for a reply from its coordinator before it takes over.
    pub takeover_after: Duration,
    /// How long a coordinator may keep renewing leases based on promises alone, without the store.
    pub max_outage: Duration,
    /// Time without a response after which the store is considered unavailable; no shard moves until
    /// it responds again.
    ///
    /// Must be longer than the interval at which a coordinator reads its record, even from a slow store.
    pub store_unavailable_after: Duration,
}

impl Default for LeaseTerms {
    fn default() -> Self {
        Self {
            lease: Duration::from_millis(800),
            drift_margin: Duration::from_millis(50),
            heartbeat: Duration::from_millis(200),
            authority: Duration::from_millis(700),
            promise: Duration::from_millis(700),
            takeover_after: Duration::from_millis(600),
            max_outage: Duration::from_hours(24),
            store_unavailable_after: Duration::from_millis(1_400),
        }
    }
}

impl LeaseTerms {
    /// Returns how long an owner treats its lease as valid after sending a heartbeat.
    #[must_use]
    pub fn owner_lease(&self) -> Duration {
        self.lease.saturating_sub(self.drift_margin)
    }

    /// Returns how long a coordinator relies on its own authority.
    ///
    /// This is shorter than the time for which the other routers must assume it to be valid.
    #[must_use]
    pub fn own_authority(&self) -> Duration {
        self.authority.saturating_sub(self.drift_margin)
    }

    /// Returns how long a coordinator relies on a standby's promise.
    #[must_use]
    pub fn own_promise(&self) -> Duration {
        self.promise.saturating_sub(self.drift_margin)
    }

    /// Returns how long a new coordinator must wait before it reassigns the shards of a silent owner.
    #[must_use]
    pub fn silent_wait(&self) -> Duration {
        self.authority + self.lease + self.drift_margin
    }
}
