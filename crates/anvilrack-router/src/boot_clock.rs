//! The clock that measures leases.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use anvilrack_core::BootTime;
use rustix::time::{ClockId, clock_gettime};

/// Returns the time since the VM booted, including the time for which it was suspended.
///
/// All processes of one VM read the same clock, so the router can send the end of its lease to the
/// local target as a point in time.
#[must_use]
pub fn now() -> BootTime {
    let now = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(now.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(now.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanos)
}

/// Returns the milliseconds since the Unix epoch, which identify an incarnation of a process and
/// date idempotency keys.
#[must_use]
pub fn unix_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
