//! Ownership of keys: membership, coordination, takeover and the grants at the target.
//!
//! `anvilrack-core` makes the decisions; this module does the I/O for them.

pub mod cell_calls;
mod cell_refresh;
mod cell_store;
mod cell_takeover;
mod coordinator_role;
mod evacuated_member;
mod grant_maintainer;
mod member_role;
mod packed_cell;

pub use cell_refresh::{RefreshTimes, refresh_cell};
pub use cell_store::read_cell;
pub use coordinator_role::resign;
pub use evacuated_member::leave_domain;
pub use grant_maintainer::{TargetGrants, maintain_grants, release_all, release_exited};
pub use member_role::run_member;
pub use packed_cell::{PackedCell, PackedDelta};

use std::time::Duration;

use anvilrack_core::LeaseTerms;

/// Number of shards of a service; must not change.
///
/// Busy keys are adjacent, some hundred of them at a time, and shards are assigned round-robin. Narrow
/// shards therefore spread a busy key range over several targets before any shard has to move.
pub const SHARD_COUNT: u32 = 1_024;

/// Returns the time limits of leases, heartbeats, promises and takeovers.
///
/// A target measures how long it holds keys with a clock that may run 2% slow, so the drift margin is
/// at least 2% of the lease. A standby that restarted waits `takeover_after` from its start, which is
/// no shorter than a promise that it may have given before the restart.
#[must_use]
pub fn lease_terms() -> LeaseTerms {
    LeaseTerms {
        lease: Duration::from_secs(3),
        drift_margin: Duration::from_millis(150),
        heartbeat: Duration::from_millis(400),
        authority: Duration::from_millis(1_800),
        promise: Duration::from_millis(1_500),
        takeover_after: Duration::from_millis(1_600),
        max_outage: Duration::from_mins(1),
        store_unavailable_after: Duration::from_millis(900),
    }
}
