//! The versions of the site document that this router and others have named.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard};

use anvilrack_core::{SiteProgress, SiteVersion, events};
use anvilrack_router::boot_clock;
use tokio::sync::Notify;

use crate::emit_event;
use crate::mutex_lock::lock;

/// Shared [`SiteProgress`] of a router process.
///
/// Every message between routers names the version that its sender has.
#[derive(Debug, Default)]
pub struct SiteTracker {
    progress: Mutex<SiteProgress>,
    behind: Notify,
}

impl SiteTracker {
    /// Locks the progress.
    pub fn progress(&self) -> MutexGuard<'_, SiteProgress> {
        lock(&self.progress)
    }

    /// Returns the version of this router's document; `None` if it has none.
    #[must_use]
    pub fn version(&self) -> Option<SiteVersion> {
        self.progress().version()
    }

    /// Returns whether another router has named a newer version.
    #[must_use]
    pub fn is_behind(&self) -> bool {
        self.progress().behind_for(boot_clock::now()).is_some()
    }

    /// Records the version that another router has; `reader` is its address if it is the failure domain's
    /// reader.
    pub fn on_named(&self, version: Option<SiteVersion>, reader: Option<SocketAddr>) {
        let Some(version) = version else {
            return;
        };
        let mut progress = self.progress();
        if !progress.on_named(version, reader, boot_clock::now()) {
            return;
        }
        let own_version = progress.version();
        drop(progress);
        emit_event!(
            Info,
            events::SITE_BEHIND,
            version = own_version,
            newest = version,
            reader = reader.map(|reader| reader.to_string())
        );
        self.behind.notify_one();
    }

    /// Records that this router applied the document of a version.
    pub fn on_applied(&self, version: SiteVersion) {
        self.progress().on_applied(version, boot_clock::now());
    }

    /// Completes once this router is behind.
    pub async fn behind(&self) {
        while !self.is_behind() {
            self.behind.notified().await;
        }
    }
}
