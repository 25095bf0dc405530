//! Follows the operators' document and the other routers' entries.

use std::sync::Arc;
use std::time::Duration;

use anvilrack_router::boot_clock;
use anvilrack_wire::decode;
use rand::Rng;
use tokio::time::sleep;

use crate::directory::peer_catch_up::{catch_up, take_site};
use crate::directory::{
    DirectoryEntry, ENTRY_PREFIX, MetadataStore, StoreChange, StoreFault, StoreRevision, WatchNews,
};
use crate::{NodeShared, PlatformDialect};

/// Longest wait of one watch.
const WATCH_WAIT: Duration = Duration::from_secs(20);

/// Time between two tries while the store does not answer.
const RETRY_EVERY: Duration = Duration::from_millis(300);

/// Time before a watch goes on after news, so that changes that come together wake it once.
const GATHER: Duration = Duration::from_millis(120);

/// Follows the routers' entries until the process ends.
pub async fn watch_entries<D: PlatformDialect>(node: Arc<NodeShared<D>>) {
    loop {
        if let Err(fault) = follow_entries(&node).await {
            log::debug!("entries cannot be followed: {fault}");
        }
        pause().await;
    }
}

/// Follows the operators' document until the process ends.
pub async fn watch_site<D: PlatformDialect>(node: Arc<NodeShared<D>>) {
    let mut after = 0;
    loop {
        if let Err(fault) = follow_site(&node, &mut after).await {
            log::debug!("the document of routes cannot be followed: {fault}");
            catch_up(&node).await;
        }
        pause().await;
    }
}

async fn pause() {
    let jitter = rand::rng().random_range(0.5..1.5);
    sleep(RETRY_EVERY.mul_f64(jitter)).await;
}

/// Reads all entries, then follows their changes; ends where the history is gone.
async fn follow_entries<D: PlatformDialect>(node: &Arc<NodeShared<D>>) -> Result<(), StoreFault> {
    let list = node.store.list(ENTRY_PREFIX).await?;
    let names: Vec<_> = list
        .items
        .iter()
        .filter_map(|item| item.key.strip_prefix(ENTRY_PREFIX))
        .map(Into::into)
        .collect();
    for item in &list.items {
        take_entry(node, &item.key, &item.value);
    }
    node.directory().retain_listed(&names, boot_clock::now());
    let mut after = list.revision;
    loop {
        let news = node.store.watch(ENTRY_PREFIX, after, WATCH_WAIT).await?;
        let WatchNews::Changes(changes, revision) = news else {
            return Ok(());
        };
        after = revision.max(after);
        let any = !changes.is_empty();
        for change in changes {
            match change {
                StoreChange::Written(item) => take_entry(node, &item.key, &item.value),
                StoreChange::Removed(key) => {
                    if let Some(name) = key.strip_prefix(ENTRY_PREFIX) {
                        node.directory().lapse(name, boot_clock::now());
                    }
                }
            }
        }
        if any {
            sleep(GATHER).await;
        }
    }
}

fn take_entry<D: PlatformDialect>(node: &Arc<NodeShared<D>>, key: &str, value: &[u8]) {
    match decode::<DirectoryEntry>(value) {
        Ok(entry) if key.strip_prefix(ENTRY_PREFIX) == Some(&*entry.place.node) => {
            node.take_entry(entry);
        }
        Ok(_) => log::warn!("the entry at {key} names another router"),
        Err(error) => log::warn!("the entry at {key} cannot be read: {error}"),
    }
}

/// Reads the document, then follows its changes.
async fn follow_site<D: PlatformDialect>(
    node: &Arc<NodeShared<D>>,
    after: &mut StoreRevision,
) -> Result<(), StoreFault> {
    let key = node.dialect.site_key();
    if let Some(item) = node.store.read(key).await? {
        *after = item.revision.max(*after);
        take_site(node, &item.value);
    }
    loop {
        match node.store.watch(key, *after, WATCH_WAIT).await? {
            WatchNews::HistoryGone => return Ok(()),
            WatchNews::Changes(changes, revision) => {
                *after = revision.max(*after);
                for change in changes {
                    match change {
                        StoreChange::Written(item) if *item.key == *key => {
                            take_site(node, &item.value);
                        }
                        _ => {}
                    }
                }
            }
        }
    }
}
