//! Knows whether a router's site document is the newest, and whom to ask for a newer one.

use std::net::SocketAddr;
use std::time::Duration;

use crate::{BootTime, SiteVersion};

/// A router that is behind for this long reads the document from the store itself.
///
/// Until then, one router of each failure domain reads it for all.
const STORE_READ_AFTER: Duration = Duration::from_millis(800);

/// Minimum pause after a failure.
const MIN_RETRY_PAUSE: Duration = Duration::from_millis(40);

/// Maximum pause after a failure, which bounds the calls of a router that stays behind.
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(1);

/// The pause after a failure is the time for which the router has been behind, divided by this.
const RETRY_PAUSE_DIVISOR: u32 = 8;

/// The version of a router's site document, and the newest version that another router has named.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SiteProgress {
    version: Option<SiteVersion>,
    applied_at: BootTime,
    newest: Option<SiteVersion>,
    /// The failure domain's reader, if it has the newest version.
    reader: Option<SocketAddr>,
    /// When this router learned that it is behind; `None` while it is not.
    behind_since: Option<BootTime>,
    /// Number of attempts at routers that failed since then.
    router_failures: u32,
    /// Whether the latest attempt that failed was at the store.
    has_store_failed: bool,
}

/// Where to fetch a newer site document from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SiteSource {
    /// The reader of the failure domain.
    Reader(SocketAddr),
    /// Any other router of the failure domain.
    SameDomain,
    /// Any router of another failure domain.
    OtherDomain,
    /// The store.
    Store,
}

impl SiteProgress {
    /// Records that another router has the document of a version; `reader` is its address if it is the
    /// failure domain's reader.
    ///
    /// Returns whether this router has just learned that it is behind that version.
    pub fn on_named(
        &mut self,
        version: SiteVersion,
        reader: Option<SocketAddr>,
        now: BootTime,
    ) -> bool {
        if Some(version) <= self.version || Some(version) < self.newest {
            return false;
        }
        let is_new = Some(version) > self.newest;
        if is_new {
            self.newest = Some(version);
            self.reader = None;
        }
        self.reader = self.reader.or(reader);
        self.behind_since.get_or_insert(now);
        is_new
    }

    /// Records that this router applied the document of a version.
    pub fn on_applied(&mut self, version: SiteVersion, now: BootTime) {
        if Some(version) <= self.version {
            return;
        }
        self.version = Some(version);
        self.applied_at = now;
        self.router_failures = 0;
        self.has_store_failed = false;
        if self.newest <= self.version {
            self.newest = self.version;
            self.reader = None;
            self.behind_since = None;
        }
    }

    /// Returns the version of this router's document; `None` if it has none.
    #[must_use]
    pub fn version(&self) -> Option<SiteVersion> {
        self.version
    }

    /// Returns the newest version known to this router.
    #[must_use]
    pub fn newest(&self) -> Option<SiteVersion> {
        self.newest.max(self.version)
    }

    /// Returns how long this router has known of a newer document; `None` if it knows of none.
    #[must_use]
    pub fn behind_for(&self, now: BootTime) -> Option<Duration> {
        Some(now.saturating_sub(self.behind_since?))
    }

    /// Returns for how long this router's document has been in force; `None` if it has none.
    #[must_use]
    pub fn in_force_for(&self, now: BootTime) -> Option<Duration> {
        self.version?;
        Some(now.saturating_sub(self.applied_at))
    }

    /// Returns where to fetch the newest document from; `None` if this router is not behind.
    ///
    /// After a failure the next source is another one, so that none of them is indispensable.
    #[must_use]
    pub fn next_source(&self, now: BootTime) -> Option<SiteSource> {
        let behind_for = self.behind_for(now)?;
        if behind_for >= STORE_READ_AFTER && !self.has_store_failed {
            return Some(SiteSource::Store);
        }
        Some(match (self.router_failures % 4, self.reader) {
            (0 | 2, Some(reader)) => SiteSource::Reader(reader),
            (0 | 1, _) => SiteSource::SameDomain,
            _ => SiteSource::OtherDomain,
        })
    }

    /// Records that a source did not provide a newer document.
    pub fn on_failure(&mut self, source: SiteSource) {
        self.has_store_failed = source == SiteSource::Store;
        if !self.has_store_failed {
            self.router_failures += 1;
        }
    }

    /// Returns the pause after a failure; it grows with the time for which this router has been behind.
    #[must_use]
    pub fn retry_pause(&self, now: BootTime) -> Duration {
        let behind_for = self.behind_for(now).unwrap_or_default();
        (behind_for / RETRY_PAUSE_DIVISOR).clamp(MIN_RETRY_PAUSE, MAX_RETRY_PAUSE)
    }
}
