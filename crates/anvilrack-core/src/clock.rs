//! The one kind of time that decisions are made with.

use std::time::Duration;

/// Time since this machine started, *including* time it was suspended.
///
/// Read it from `CLOCK_BOOTTIME` where there is one. `CLOCK_MONOTONIC` stops while a VM is
/// suspended, so a lease counted on it would outlive its end.
pub type BootTime = Duration;
