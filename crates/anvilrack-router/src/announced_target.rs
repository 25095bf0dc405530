//! Latest announcement of the local target.

use std::net::SocketAddr;
use std::time::Duration;

use anvilrack_core::{BootTime, ServiceName};
use serde::Deserialize;

/// Time after its last announcement at which a target counts as not ready.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Announcement that a target sends to its router periodically.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq)]
pub struct TargetAnnouncement {
    /// Service that the target belongs to.
    pub service: ServiceName,
    /// Address on which the target accepts requests.
    pub address: SocketAddr,
    /// Whether the target accepts requests.
    pub ready: bool,
}

/// The latest announcement and the time it was received.
#[derive(Clone, Debug, Default)]
pub struct AnnouncedTarget {
    latest: Option<(TargetAnnouncement, BootTime)>,
}

impl AnnouncedTarget {
    /// Stores an announcement; returns whether it differs from the previous one.
    pub fn announce(&mut self, announcement: TargetAnnouncement, now: BootTime) -> bool {
        let changed = self
            .latest
            .as_ref()
            .is_none_or(|(previous, _)| *previous != announcement);
        self.latest = Some((announcement, now));
        changed
    }

    /// Returns the service of the target; `None` before the first announcement.
    #[must_use]
    pub fn service(&self) -> Option<ServiceName> {
        self.latest
            .as_ref()
            .map(|(announcement, _)| announcement.service.clone())
    }

    /// Returns the address on which the target accepts requests; `None` if it is not ready.
    #[must_use]
    pub fn ready_address(&self, now: BootTime) -> Option<SocketAddr> {
        let latest = self.latest.as_ref().filter(|_| self.is_ready(now));
        latest.map(|(announcement, _)| announcement.address)
    }

    /// Returns `true` if the last announcement says ready and has not expired.
    #[must_use]
    pub fn is_ready(&self, now: BootTime) -> bool {
        let latest = self.latest.as_ref();
        latest.is_some_and(|(announcement, at)| announcement.ready && now < *at + ANNOUNCE_TIMEOUT)
    }
}
