//! The time type that all decisions use.

use std::time::Duration;

/// Time since this machine started, *including* time it was suspended.
///
/// Read it from `CLOCK_BOOTTIME` if the platform has that clock. `CLOCK_MONOTONIC` stops while a VM is
/// suspended, so a lease measured with it could be treated as valid after it has expired.
pub type BootTime = Duration;
