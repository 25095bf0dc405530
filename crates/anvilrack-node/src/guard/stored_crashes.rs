//! Crashes of quarantined requests in the platform's store, which outlive the loss of all routers.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use anvilrack_core::{CrashId, CrashObservation, CrashReport, RequestFingerprint, events};
use anvilrack_router::boot_clock;
use anvilrack_wire::{decode, encode};
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use crate::directory::{MetadataStore, MetadataStoreError, StoreWrite, WriteResult};
use crate::http_pool::within;
use crate::retry_backoff::RetryBackoff;
use crate::{NodeState, PlatformDialect, emit_event};

/// Key of the stored crashes.
const CRASHES_KEY: &str = "anvilrack/crashes";

/// Interval between two checks whether the store has come back from an older copy.
const ERA_CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Pause between attempts while the store does not respond, or other routers write at the same time.
const RETRY_PAUSES: RetryBackoff = RetryBackoff::new(200, 1_200);

/// The crashes of quarantined requests, as the store keeps them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredCrashes {
    crashes: Vec<StoredCrash>,
}

/// One crash of a quarantined request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct StoredCrash {
    request: RequestFingerprint,
    crash: CrashId,
    /// When the crash was detected, in milliseconds since the Unix epoch.
    detected_ms: u64,
}

impl StoredCrashes {
    /// Creates the stored form of observations made up to `now_ms`, in milliseconds since the Unix epoch.
    #[must_use]
    pub fn new(observations: &[CrashObservation], now_ms: u64) -> Self {
        let crashes = observations.iter().map(|observation| {
            let age_ms = u64::try_from(observation.age.as_millis()).unwrap_or(u64::MAX);
            StoredCrash {
                request: observation.request,
                crash: observation.crash,
                detected_ms: now_ms.saturating_sub(age_ms),
            }
        });
        Self {
            crashes: crashes.collect(),
        }
    }

    /// Returns the crashes as a report at `now_ms`, in milliseconds since the Unix epoch.
    ///
    /// A crash that is in the future by this router's clock counts as detected now.
    #[must_use]
    pub fn report(&self, now_ms: u64) -> CrashReport {
        let marks = self.crashes.iter().map(|stored| CrashObservation {
            request: stored.request,
            crash: stored.crash,
            age: Duration::from_millis(now_ms.saturating_sub(stored.detected_ms)),
            disproved: false,
        });
        CrashReport {
            digest: 0,
            marks: marks.collect(),
        }
    }
}

/// Reads the stored crashes once, then writes those that this router detects, until the process ends.
pub async fn maintain_stored_crashes<D: PlatformDialect>(node: Arc<NodeState<D>>) {
    read_at_start(&node).await;
    let mut stored = BTreeSet::new();
    let mut era = node.store.era();
    loop {
        within(ERA_CHECK_INTERVAL, node.crash_monitor.observations_added()).await;
        if std::mem::replace(&mut era, node.store.era()) != era {
            // The store has come back from an older copy.
            stored.clear();
        }
        store_detected_crashes(&node, &mut stored).await;
    }
}

/// Stores the crashes of quarantined requests that this router has detected and that are not in `stored`.
///
/// Repeats this until the store has them.
async fn store_detected_crashes<D: PlatformDialect>(
    node: &NodeState<D>,
    stored: &mut BTreeSet<(RequestFingerprint, CrashId)>,
) {
    let mut pauses = RETRY_PAUSES;
    loop {
        let detected = node.crash_monitor.detected_quarantined_crashes();
        let detected: BTreeSet<_> = detected.iter().map(|o| (o.request, o.crash)).collect();
        if detected.is_subset(stored) {
            return;
        }
        match store_crashes(node).await {
            Ok(true) => stored.extend(detected),
            Ok(false) => {}
            Err(error) => log::debug!("cannot store crashes of quarantined requests: {error}"),
        }
        sleep(pauses.next()).await;
    }
}

/// Reads the stored crashes, unless a router that knows them replies first.
async fn read_at_start<D: PlatformDialect>(node: &NodeState<D>) {
    let mut pauses = RETRY_PAUSES;
    while !node.crash_monitor.knows_earlier_crashes() {
        match node.store.read_recent(CRASHES_KEY).await {
            Ok(item) => {
                let report = item.map(|item| decode_report(&item.value));
                let report = report.unwrap_or_default();
                if !report.marks.is_empty() {
                    let crashes = report.marks.len();
                    emit_event!(Info, events::QUARANTINE_READ, crashes = crashes);
                }
                node.crash_monitor.merge_earlier_crashes(&report);
            }
            Err(error) => {
                log::debug!("cannot read crashes of quarantined requests: {error}");
                sleep(pauses.next()).await;
            }
        }
    }
}

/// Adds the known crashes of quarantined requests to the stored ones; returns false if another router
/// has written meanwhile.
async fn store_crashes<D: PlatformDialect>(
    node: &NodeState<D>,
) -> Result<bool, MetadataStoreError> {
    let item = node.store.read(CRASHES_KEY).await?;
    let base = item.as_ref().map_or(0, |item| item.revision);
    if let Some(item) = item {
        node.crash_monitor.merge(&decode_report(&item.value));
    }
    let crashes = node.crash_monitor.quarantined_crashes();
    let value = encode(&StoredCrashes::new(&crashes, boot_clock::unix_ms()))
        .map_err(|error| MetadataStoreError::Refused(error.to_string().into()))?;
    let write = StoreWrite {
        key: CRASHES_KEY.into(),
        value: Some(value.into()),
        base: Some(base),
        lease: 0,
    };
    let is_written = matches!(node.store.write(write).await?, WriteResult::Written(_));
    if is_written {
        emit_event!(Info, events::QUARANTINE_STORED, crashes = crashes.len());
    }
    Ok(is_written)
}

/// Decodes the stored crashes; a value that is not valid counts as empty and is replaced by the next
/// write.
fn decode_report(value: &[u8]) -> CrashReport {
    match decode::<StoredCrashes>(value) {
        Ok(stored) => stored.report(boot_clock::unix_ms()),
        Err(error) => {
            log::warn!("cannot decode {CRASHES_KEY}: {error}");
            CrashReport::default()
        }
    }
}
