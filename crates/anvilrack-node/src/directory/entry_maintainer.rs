//! Maintains this router's own directory entry in the store.

use std::sync::Arc;
use std::time::Duration;

use anvilrack_core::{BootTime, events};
use anvilrack_router::boot_clock;
use anvilrack_wire::encode;
use tokio::time::sleep;

use crate::directory::{
    DirectoryEntry, ENTRY_PREFIX, LeaseId, MetadataStore, MetadataStoreError, StoreEra, StoreWrite,
    WriteResult,
};
use crate::http_pool::within;
use crate::retry_backoff::RetryBackoff;
use crate::{NodeState, PlatformDialect, emit_event, observe};

/// Time to live of the entry's lease, unless the store's minimum is longer.
const TIME_TO_LIVE: Duration = Duration::from_millis(4_500);

/// Interval between lease renewals; three renewals may be lost before the lease ends.
const RENEW_INTERVAL: Duration = Duration::from_millis(1_100);

/// Pause between attempts while the store does not respond: at first, and after many attempts.
///
/// An entry that expired has to be back within two seconds after the store is available again.
const RETRY_PAUSES: RetryBackoff = RetryBackoff::new(400, 1_000);

/// Time over which routers spread their writes after a restore of the store.
const REWRITE_SPREAD: Duration = Duration::from_millis(800);

/// Pause before a write, so that changes close together are written together.
const COALESCE_PAUSE: Duration = Duration::from_millis(30);

/// The entry that is in the store, and its lease.
#[derive(Debug, Default)]
struct DirectoryRegistration {
    lease: Option<LeaseId>,
    /// The era of the store in which the lease was opened.
    era: StoreEra,
    /// The entry as last written under the lease.
    written: Option<DirectoryEntry>,
    next_renewal: BootTime,
    /// When the store stopped responding; `None` while it responds.
    lost_at: Option<BootTime>,
}

/// Writes the entry when it changes, and renews its lease, until the process ends.
pub async fn maintain_entry<D: PlatformDialect>(node: Arc<NodeState<D>>) {
    let mut registration = DirectoryRegistration::default();
    let mut pauses = RETRY_PAUSES;
    loop {
        match registration.step(&node).await {
            Ok(()) => {
                registration.log_store_back();
                pauses = RETRY_PAUSES;
            }
            Err(error) => {
                registration.log_store_lost(&error);
                sleep(pauses.next()).await;
                continue;
            }
        }
        let until_renewal = registration.next_renewal.saturating_sub(boot_clock::now());
        if within(until_renewal, node.entry_updates.notified())
            .await
            .is_some()
        {
            sleep(COALESCE_PAUSE).await;
        }
    }
}

impl DirectoryRegistration {
    /// Renews the lease if that is due and writes the entry if it has changed.
    async fn step<D: PlatformDialect>(
        &mut self,
        node: &NodeState<D>,
    ) -> Result<(), MetadataStoreError> {
        self.check_era(node).await;
        self.check_replaced(node).await;
        let now = boot_clock::now();
        if let Some(lease) = self.lease
            && now >= self.next_renewal
        {
            let renewed = node.store.renew_lease(lease).await?;
            node.record_store_response();
            self.check_era(node).await;
            if renewed && self.lease.is_some() {
                self.next_renewal = now + RENEW_INTERVAL;
            } else {
                self.lease = None;
            }
        }
        let lease = if let Some(lease) = self.lease {
            lease
        } else {
            let time_to_live = TIME_TO_LIVE.max(node.settings.terms.shortest_lease);
            let era = node.store.era();
            let (lease, _) = node.store.open_lease(time_to_live).await?;
            self.lease = Some(lease);
            // If the store comes back from a copy during the call, the lease is given up again.
            self.era = if era == 0 { node.store.era() } else { era };
            self.written = None;
            self.next_renewal = now + RENEW_INTERVAL;
            lease
        };
        let entry = node.own_entry();
        if self.written.as_ref() == Some(&entry) {
            return Ok(());
        }
        let value = encode(&entry)
            .map_err(|error| MetadataStoreError::Refused(error.to_string().into()))?;
        let write = StoreWrite {
            key: format!("{ENTRY_PREFIX}{}", entry.place.node).into(),
            value: Some(value.into()),
            base: None,
            lease,
        };
        if node.store.write(write).await? == WriteResult::LeaseEnded {
            self.lease = None;
            return Err(MetadataStoreError::Refused("the lease has ended".into()));
        }
        node.record_store_response();
        emit_event!(
            Info,
            events::ENTRY_WRITTEN,
            version = entry.version,
            ready = entry.is_ready(),
            stopping = entry.stopping
        );
        self.written = Some(entry);
        Ok(())
    }

    /// Gives the lease and the written entry up if the store has come back from an older copy.
    ///
    /// The lease may be another router's now. Routers write again at different times, so that the store is
    /// not called by all of them at once.
    async fn check_era<D: PlatformDialect>(&mut self, node: &NodeState<D>) {
        let era = node.store.era();
        if self.lease.is_none() || era == self.era {
            return;
        }
        emit_event!(Warn, events::STORE_RESTORED, era = era);
        self.lease = None;
        self.written = None;
        sleep(REWRITE_SPREAD.mul_f64(rand::random())).await;
    }

    /// Has the entry written again if the store has lost it or has that of a former process.
    ///
    /// The lease may have ended too, and those of many routers together, so they write again at different times.
    async fn check_replaced<D: PlatformDialect>(&mut self, node: &NodeState<D>) {
        if !node.take_entry_replaced() || self.written.is_none() {
            return;
        }
        emit_event!(Info, events::ENTRY_REPLACED, run = node.run);
        self.written = None;
        sleep(REWRITE_SPREAD.mul_f64(rand::random())).await;
        self.next_renewal = boot_clock::now();
    }

    fn log_store_lost(&mut self, error: &MetadataStoreError) {
        if self.lost_at.is_none() {
            self.lost_at = Some(boot_clock::now());
            emit_event!(Warn, events::STORE_LOST, fault = error.to_string());
        }
    }

    fn log_store_back(&mut self) {
        if let Some(lost_at) = self.lost_at.take() {
            let after = boot_clock::now().saturating_sub(lost_at);
            emit_event!(Info, events::STORE_BACK, after_ms = observe::millis(after));
        }
    }
}
