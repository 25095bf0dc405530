//! Keeps this router's own entry in the store.

use std::sync::Arc;
use std::time::Duration;

use anvilrack_core::{BootTime, events};
use anvilrack_router::boot_clock;
use anvilrack_wire::encode;
use tokio::time::sleep;

use crate::directory::{
    DirectoryEntry, ENTRY_PREFIX, LeaseId, MetadataStore, StoreFault, StoreWrite, WriteResult,
};
use crate::http_pool::within;
use crate::pause_range::PauseRange;
use crate::{NodeShared, PlatformDialect, observe, tell};

/// Time to live of the entry's lease.
const TIME_TO_LIVE: Duration = Duration::from_millis(4_500);

/// Time between two renewals; three may be lost.
const KEEP_EVERY: Duration = Duration::from_millis(1_100);

/// Time between two tries while the store does not answer, at first and after many.
///
/// An entry that lapsed has to be back within two seconds of the store's return.
const RETRY_PAUSES: PauseRange = PauseRange::new(400, 1_000);

/// Changes that come close together are written as one.
const GATHER: Duration = Duration::from_millis(30);

/// The entry as it stands in the store.
#[derive(Debug, Default)]
struct KeptEntry {
    lease: Option<LeaseId>,
    written: Option<DirectoryEntry>,
    next_keep: BootTime,
    lost_at: Option<BootTime>,
}

/// Writes the entry when it changes, and renews its lease, until the process ends.
pub async fn keep_entry<D: PlatformDialect>(node: Arc<NodeShared<D>>) {
    let mut kept = KeptEntry::default();
    let mut pauses = RETRY_PAUSES;
    loop {
        match kept.step(&node).await {
            Ok(()) => {
                kept.tell_back();
                pauses = RETRY_PAUSES;
            }
            Err(fault) => {
                kept.tell_lost(&fault);
                sleep(pauses.next()).await;
                continue;
            }
        }
        let until_keep = kept.next_keep.saturating_sub(boot_clock::now());
        if within(until_keep, node.entry_news.notified())
            .await
            .is_some()
        {
            sleep(GATHER).await;
        }
    }
}

impl KeptEntry {
    async fn step<D: PlatformDialect>(&mut self, node: &NodeShared<D>) -> Result<(), StoreFault> {
        let now = boot_clock::now();
        if let Some(lease) = self.lease
            && now >= self.next_keep
        {
            let kept = node.store.keep_lease(lease).await?;
            node.see_store();
            if kept {
                self.next_keep = now + KEEP_EVERY;
            } else {
                self.lease = None;
            }
        }
        let lease = if let Some(lease) = self.lease {
            lease
        } else {
            let time_to_live = TIME_TO_LIVE.max(node.settings.terms.shortest_lease);
            let (lease, _) = node.store.open_lease(time_to_live).await?;
            self.lease = Some(lease);
            self.written = None;
            self.next_keep = now + KEEP_EVERY;
            lease
        };
        let entry = node.own_entry();
        if self.written.as_ref() == Some(&entry) {
            return Ok(());
        }
        let value =
            encode(&entry).map_err(|error| StoreFault::Refused(error.to_string().into()))?;
        let write = StoreWrite {
            key: format!("{ENTRY_PREFIX}{}", entry.place.node).into(),
            value: Some(value.into()),
            base: None,
            lease,
        };
        if node.store.write(write).await? == WriteResult::LeaseEnded {
            self.lease = None;
            return Err(StoreFault::Refused("the lease has ended".into()));
        }
        node.see_store();
        tell!(
            Info,
            events::ENTRY_WRITTEN,
            version = entry.version,
            ready = entry.is_ready(),
            stopping = entry.stopping
        );
        self.written = Some(entry);
        Ok(())
    }

    fn tell_lost(&mut self, fault: &StoreFault) {
        if self.lost_at.is_none() {
            self.lost_at = Some(boot_clock::now());
            tell!(Warn, events::STORE_LOST, fault = fault.to_string());
        }
    }

    fn tell_back(&mut self) {
        if let Some(lost_at) = self.lost_at.take() {
            let after = boot_clock::now().saturating_sub(lost_at);
            tell!(Info, events::STORE_BACK, after_ms = observe::millis(after));
        }
    }
}
