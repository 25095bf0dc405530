//! Watches the site document and the other routers' entries in the store.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use anvilrack_core::{DomainName, StoreReading, StoreStamp};
use anvilrack_router::boot_clock;
use anvilrack_wire::decode;
use tokio::time::sleep;

use crate::directory::READER_HEARTBEAT_INTERVAL;
use crate::directory::peer_catch_up::catch_up;
use crate::directory::{
    DirectoryEntry, ENTRY_PREFIX, MetadataStore, MetadataStoreError, StoreChange, StoreEra,
    StoreRevision, WatchUpdate,
};
use crate::peers::{PeerCall, ReaderChanges};
use crate::retry_backoff::RetryBackoff;
use crate::{NodeState, PlatformDialect};

/// Maximum wait of one watch call.
const WATCH_WAIT: Duration = Duration::from_secs(20);

/// Pause between attempts while the store does not respond: at first, and after many attempts.
///
/// Changes missed in the meantime are learned from other routers. Every attempt, even a refused one,
/// counts against the call rate limits of the whole deployment.
const RETRY_PAUSES: RetryBackoff = RetryBackoff::new(300, 1_200);

/// Mean pause between the start of the process and the first read of the entries.
const START_DELAY: Duration = Duration::from_millis(450);

/// Time between two checks whether this router has to watch the store.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Timeout of a reader heartbeat, whose reply is not used.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(400);

/// Pause before a watch continues after changes, so that changes close together wake it only once.
///
/// Routers send urgent changes to each other directly.
const COALESCE_PAUSE: Duration = Duration::from_millis(250);

/// The same pause for the site document, which has to be in force within seconds.
const SITE_COALESCE_PAUSE: Duration = Duration::from_millis(100);

/// Keeps the view of all routers current until the process ends.
pub async fn watch_entries<D: PlatformDialect>(node: Arc<NodeState<D>>) {
    // A router that restarts alone finds all the others.
    match node.store.list_recent(ENTRY_PREFIX).await {
        Ok(list) => {
            let items = list.items.iter();
            node.store_entries(items.filter_map(|item| read_entry(&item.key, &item.value)));
            node.departures.on_directory_read();
        }
        Err(error) => log::debug!("cannot read the directory entries at the start: {error}"),
    }
    // Routers often start together, so the entries of the others appear shortly after this one's start.
    sleep(START_DELAY.mul_f64(rand::random_range(0.7..1.3))).await;
    let mut listed = false;
    let mut pauses = RETRY_PAUSES;
    loop {
        if listed && !node.watches_store() {
            sleep(ROLE_CHECK_INTERVAL).await;
            continue;
        }
        match sync_entries(&node, &mut listed, &mut pauses).await {
            Ok(()) => pauses = RETRY_PAUSES,
            Err(error) => {
                log::debug!("cannot watch the directory entries: {error}");
                sleep(pauses.next()).await;
            }
        }
    }
}

/// Keeps the site document current until the process ends.
pub async fn watch_site<D: PlatformDialect>(node: Arc<NodeState<D>>) {
    let mut after = 0;
    let mut pauses = RETRY_PAUSES;
    let mut read = false;
    loop {
        if read && !node.watches_store() {
            sleep(ROLE_CHECK_INTERVAL).await;
            continue;
        }
        match sync_site(&node, &mut after, &mut pauses).await {
            Ok(()) => {
                pauses = RETRY_PAUSES;
                read = true;
            }
            Err(error) => {
                log::debug!("cannot watch the site document: {error}");
                catch_up(&node).await;
                sleep(pauses.next()).await;
            }
        }
    }
}

/// Reads all entries, then applies their changes while this router watches the store and the store's
/// history reaches back far enough.
async fn sync_entries<D: PlatformDialect>(
    node: &Arc<NodeState<D>>,
    listed: &mut bool,
    pauses: &mut RetryBackoff,
) -> Result<(), MetadataStoreError> {
    let list = node.store.list(ENTRY_PREFIX).await?;
    *pauses = RETRY_PAUSES;
    let names: Vec<_> = list
        .items
        .iter()
        .filter_map(|item| item.key.strip_prefix(ENTRY_PREFIX))
        .map(Into::into)
        .collect();
    let entries = list.items.iter();
    node.store_entries(entries.filter_map(|item| read_entry(&item.key, &item.value)));
    node.directory()
        .mark_unlisted_expired(&names, boot_clock::now());
    *listed = true;
    let mut after = list.revision;
    while node.watches_store() {
        let watched = node.store.watch(ENTRY_PREFIX, after, WATCH_WAIT).await?;
        let WatchUpdate::Changes(changes, revision) = watched else {
            sleep(COALESCE_PAUSE).await;
            return Ok(());
        };
        after = revision;
        if changes.is_empty() {
            continue;
        }
        let updates = latest_changes(changes);
        {
            let mut directory = node.directory();
            for name in &updates.lapsed {
                directory.mark_expired(name, boot_clock::now());
            }
        }
        node.check_own_entry(&updates);
        node.store_entries(updates.entries.iter().cloned());
        node.broadcast_to_domain(updates);
        sleep(COALESCE_PAUSE).await;
    }
    Ok(())
}

/// Returns the latest change of each directory entry, as a reader passes it on.
#[must_use]
pub fn latest_changes(changes: Vec<StoreChange>) -> ReaderChanges {
    let mut latest = BTreeMap::new();
    for change in changes {
        match change {
            StoreChange::Written(item) => {
                latest.insert(item.key, Some(item.value));
            }
            StoreChange::Removed(key) => {
                latest.insert(key, None);
            }
        }
    }
    let mut updates = ReaderChanges::default();
    for (key, value) in latest {
        if let Some(value) = value {
            updates.entries.extend(read_entry(&key, &value));
        } else if let Some(name) = key.strip_prefix(ENTRY_PREFIX) {
            updates.lapsed.push(name.into());
        }
    }
    updates
}

/// Reads an entry from the store; returns `None` if it is not a valid entry for its key.
fn read_entry(key: &str, value: &[u8]) -> Option<DirectoryEntry> {
    match decode::<DirectoryEntry>(value) {
        Ok(entry) if key.strip_prefix(ENTRY_PREFIX) == Some(&*entry.place.node) => Some(entry),
        Ok(_) => {
            log::warn!("entry {key} names another router");
            None
        }
        Err(error) => {
            log::warn!("cannot decode entry {key}: {error}");
            None
        }
    }
}

/// Reads the site document and the evacuated failure domains, then applies their changes while this router
/// watches the store.
///
/// If the deployment evacuates domains, all keys of the operators are read together, so that this needs no
/// further calls.
async fn sync_site<D: PlatformDialect>(
    node: &Arc<NodeState<D>>,
    after: &mut StoreRevision,
    pauses: &mut RetryBackoff,
) -> Result<(), MetadataStoreError> {
    let key = node.dialect.site_key();
    let evacuates = node.evacuates();
    let prefix = if evacuates {
        node.dialect.operator_prefix()
    } else {
        key
    };
    let era_before = node.store.era();
    // The document may be older than the store's watch history, so the watch starts at the revision of
    // the list.
    let list = node.store.list(prefix).await?;
    if let Some(item) = list.items.iter().find(|item| *item.key == *key) {
        node.apply_stored_document(&item.value);
    }
    let era = node.store.era();
    if evacuates && era_before != 0 && era != era_before {
        // It is not known which era the list belongs to.
        return Ok(());
    }
    let domain_of = |key: &str| node.dialect.evacuated_domain(key);
    let mut domains: BTreeSet<DomainName> = list
        .items
        .iter()
        .filter_map(|item| domain_of(&item.key))
        .collect();
    let stamp = |revision| StoreStamp { era, revision };
    node.apply_stored_evacuations(stamp(list.revision), &domains, StoreReading::List);
    *after = list.revision;
    *pauses = RETRY_PAUSES;
    if node.site().is_none() {
        // Until the directory is known, every router takes itself for the reader.
        sleep(START_DELAY * 2).await;
    }
    while node.watches_store() {
        let watch = node.store.watch(prefix, *after, WATCH_WAIT);
        let watched = tokio::select! {
            watched = watch => watched?,
            () = era_ended(node, era), if evacuates => WatchUpdate::HistoryGone,
        };
        match watched {
            WatchUpdate::HistoryGone => {
                sleep(SITE_COALESCE_PAUSE).await;
                return Ok(());
            }
            WatchUpdate::Changes(changes, revision) => {
                *after = revision;
                let pause = if changes.is_empty() {
                    Duration::ZERO
                } else {
                    SITE_COALESCE_PAUSE
                };
                for change in changes {
                    match change {
                        StoreChange::Written(item) if *item.key == *key => {
                            node.apply_stored_document(&item.value);
                        }
                        StoreChange::Written(item) => domains.extend(domain_of(&item.key)),
                        StoreChange::Removed(key) => {
                            if let Some(domain) = domain_of(&key) {
                                domains.remove(&domain);
                            }
                        }
                    }
                }
                node.apply_stored_evacuations(stamp(revision), &domains, StoreReading::Watch);
                sleep(pause).await;
            }
        }
    }
    Ok(())
}

/// Completes once another call has shown that the store was restored.
///
/// The evacuations of the earlier state are over then, but a watch may not respond for a long time.
async fn era_ended<D: PlatformDialect>(node: &NodeState<D>, era: StoreEra) {
    while node.store.era() == era {
        sleep(ROLE_CHECK_INTERVAL).await;
    }
}

/// Sends reader heartbeats to the routers of the failure domain while this router watches the store for
/// them.
pub async fn send_reader_heartbeats<D: PlatformDialect>(node: Arc<NodeState<D>>) {
    loop {
        sleep(READER_HEARTBEAT_INTERVAL).await;
        send_reader_heartbeat(&node).await;
    }
}

/// Sends one heartbeat to the failure domain if this router watches the store for it.
pub async fn send_reader_heartbeat<D: PlatformDialect>(node: &NodeState<D>) {
    // A router that cannot reach the store sends none, so that another router takes over the watch.
    if node.watches_store() && node.is_store_reachable() {
        let call = PeerCall::ReaderBeat(node.reader_heartbeat());
        let links = &node.links;
        links
            .call_all(node.domain_peers(), &call, HEARTBEAT_TIMEOUT)
            .await;
    }
}
