//! The target beside this router, as it announced itself.

use std::net::SocketAddr;
use std::time::Duration;

use anvilrack_core::{BootTime, ServiceName};
use serde::Deserialize;

/// A target that has not announced itself for this long takes no new work.
const ANNOUNCE_LIMIT: Duration = Duration::from_millis(1_200);

/// What a target says of itself, again and again.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq)]
pub struct TargetAnnouncement {
    /// The service it belongs to.
    pub service: ServiceName,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// True where it takes work.
    pub ready: bool,
}

/// The latest announcement and when it came.
#[derive(Clone, Debug, Default)]
pub struct TargetView {
    latest: Option<(TargetAnnouncement, BootTime)>,
}

impl TargetView {
    /// Takes an announcement; says whether anything changed.
    pub fn announce(&mut self, announcement: TargetAnnouncement, now: BootTime) -> bool {
        let changed = self
            .latest
            .as_ref()
            .is_none_or(|(known, _)| *known != announcement);
        self.latest = Some((announcement, now));
        changed
    }

    /// The service of the target.
    #[must_use]
    pub fn service(&self) -> Option<ServiceName> {
        self.latest.as_ref().map(|(known, _)| known.service.clone())
    }

    /// Where the target takes requests, while it says that it is ready.
    #[must_use]
    pub fn ready_address(&self, now: BootTime) -> Option<SocketAddr> {
        let latest = self.latest.as_ref().filter(|_| self.is_ready(now));
        latest.map(|(known, _)| known.address)
    }

    /// True where the target said lately that it takes work.
    #[must_use]
    pub fn is_ready(&self, now: BootTime) -> bool {
        let latest = self.latest.as_ref();
        latest.is_some_and(|(known, at)| known.ready && now < *at + ANNOUNCE_LIMIT)
    }
}
