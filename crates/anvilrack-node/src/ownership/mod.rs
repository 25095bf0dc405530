//! Who owns which keys: membership, coordination, takeover and the grants at the target.
//!
//! The decisions are those of `anvilrack-core`; this is their I/O.

pub mod cell_calls;
mod cell_refresh;
mod cell_store;
mod cell_takeover;
mod coordinator_role;
mod grant_keeper;
mod member_role;
mod packed_cell;

pub use cell_refresh::{RefreshTimes, refresh_cell};
pub use cell_store::read_cell;
pub use coordinator_role::resign;
pub use grant_keeper::{GrantKeeper, keep_grants, release_all};
pub use member_role::run_member;
pub use packed_cell::{PackedCell, PackedStep};

use std::time::Duration;

use anvilrack_core::LeaseTerms;

/// Shards of a service; the number never changes.
///
/// Busy keys are neighbours, some hundred of them at a time, and shards are given out round-robin. So
/// narrow shards spread a busy stretch over several targets before anybody has to move.
pub const SHARD_COUNT: u32 = 1_024;

/// The times that ownership hangs on.
///
/// A target measures its hold with a clock that may run 2% slow, so the drift margin is at least that
/// share of the lease. A standby that restarted waits `takeover_after` from its start, which is no
/// less than a promise that it may have given before.
#[must_use]
pub fn lease_terms() -> LeaseTerms {
    LeaseTerms {
        lease: Duration::from_secs(3),
        drift_margin: Duration::from_millis(150),
        heartbeat: Duration::from_millis(400),
        authority: Duration::from_millis(1_800),
        promise: Duration::from_millis(1_500),
        takeover_after: Duration::from_millis(1_600),
        outage_limit: Duration::from_mins(1),
        store_away: Duration::from_millis(900),
    }
}
