//! The times that ownership hangs on.

use std::time::Duration;

/// How long grants, authority and promises last.
///
/// All processes of a deployment must agree on these.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseTerms {
    /// How long an owner may serve after it sent the heartbeat that was answered.
    pub lease: Duration,
    /// What an owner takes off its lease for clocks that run at different speeds.
    pub drift_margin: Duration,
    /// Time between two heartbeats of a member.
    pub heartbeat: Duration,
    /// How long a coordinator goes on renewing after it sent its last store call that succeeded.
    pub authority: Duration,
    /// How long a standby's promise not to take over lasts.
    pub promise: Duration,
    /// How long a standby waits for an answer from its coordinator before it takes over.
    pub takeover_after: Duration,
    /// How long a coordinator may live on promises alone.
    pub outage_limit: Duration,
    /// A store that has not answered for so long counts as away, and nothing moves until it is back.
    ///
    /// A coordinator reads its record more often than that, from a store that is merely slow too.
    pub store_away: Duration,
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
            outage_limit: Duration::from_hours(24),
            store_away: Duration::from_millis(1_400),
        }
    }
}

impl LeaseTerms {
    /// How long an owner counts its lease from the sending of a heartbeat.
    #[must_use]
    pub fn owner_lease(&self) -> Duration {
        self.lease.saturating_sub(self.drift_margin)
    }

    /// How long a coordinator counts on its authority: shorter than others must reckon with.
    #[must_use]
    pub fn own_authority(&self) -> Duration {
        self.authority.saturating_sub(self.drift_margin)
    }

    /// How long a coordinator counts on a standby's promise.
    #[must_use]
    pub fn own_promise(&self) -> Duration {
        self.promise.saturating_sub(self.drift_margin)
    }

    /// How long a new coordinator waits for an owner that stays silent.
    #[must_use]
    pub fn silent_wait(&self) -> Duration {
        self.authority + self.lease + self.drift_margin
    }
}
