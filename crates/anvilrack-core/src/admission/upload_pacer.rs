//! Limits the data that a router sends in addition to requests to the capacity of its network link.

use std::time::Duration;

use crate::BootTime;

/// Maximum time for which the admitted data may occupy the link; requests and heartbeats wait that long
/// behind it.
const MAX_LINK_TIME: Duration = Duration::from_millis(100);

/// Admits transfers as long as the link can send them soon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UploadPacer {
    bytes_per_second: u64,
    /// When the link will have sent the admitted data.
    busy_until: BootTime,
}

impl UploadPacer {
    /// Creates the limit for a link of `link_mbps` megabits per second.
    #[must_use]
    pub fn new(link_mbps: u32) -> Self {
        Self {
            bytes_per_second: u64::from(link_mbps.max(1)) * 1_000_000 / 8,
            busy_until: BootTime::ZERO,
        }
    }

    /// Admits a transfer of `bytes` bytes.
    ///
    /// A transfer that is longer than the limit is admitted if no other one is in progress.
    ///
    /// # Errors
    ///
    /// Returns the time after which to retry if the link is occupied.
    pub fn admit(&mut self, bytes: usize, now: BootTime) -> Result<(), Duration> {
        let link_time = self.link_time(bytes);
        let waiting = self.busy_until.saturating_sub(now);
        if !waiting.is_zero() && waiting + link_time > MAX_LINK_TIME {
            return Err((waiting + link_time)
                .saturating_sub(MAX_LINK_TIME)
                .min(waiting));
        }
        self.busy_until = self.busy_until.max(now) + link_time;
        Ok(())
    }

    fn link_time(&self, bytes: usize) -> Duration {
        let micros = (bytes as u64).saturating_mul(1_000_000) / self.bytes_per_second;
        Duration::from_micros(micros)
    }
}
