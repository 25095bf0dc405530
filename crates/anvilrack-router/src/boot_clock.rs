//! The clock that leases are counted on.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use anvilrack_core::BootTime;
use rustix::time::{ClockId, clock_gettime};

/// Time since this machine started, including time it was suspended.
///
/// All processes of one VM read the same clock, so a lease end can be told to the target beside the
/// router as a point in time.
#[must_use]
pub fn now() -> BootTime {
    let now = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(now.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(now.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanos)
}

/// Milliseconds since the Unix epoch; names a run of a process and dates idempotency keys.
#[must_use]
pub fn unix_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
