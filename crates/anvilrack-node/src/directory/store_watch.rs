//! Follows the operators' document and the other routers' entries.

use std::sync::Arc;
use std::time::Duration;

use anvilrack_router::boot_clock;
use anvilrack_wire::decode;
use tokio::time::sleep;

use crate::directory::READER_BEAT;
use crate::directory::peer_catch_up::{catch_up, take_site};
use crate::directory::{
    DirectoryEntry, ENTRY_PREFIX, MetadataStore, StoreChange, StoreFault, StoreRevision, WatchNews,
};
use crate::pause_range::PauseRange;
use crate::peers::{PeerCall, ReaderNews};
use crate::{NodeShared, PlatformDialect};

/// Longest wait of one watch.
const WATCH_WAIT: Duration = Duration::from_secs(20);

/// Time between two tries while the store does not answer, at first and after many.
///
/// What is missed meanwhile is learned from other routers. A try is a call that counts against the rates
/// of the whole deployment, also where it is refused.
const RETRY_PAUSES: PauseRange = PauseRange::new(300, 1_200);

/// Time after the start of the process before the entries are read.
const START_PAUSE: Duration = Duration::from_millis(450);

/// Time between two looks whether this router has to watch the store.
const ROLE_STEP: Duration = Duration::from_millis(100);

/// Time for a word to another router that nobody waits for.
const TELL_LIMIT: Duration = Duration::from_millis(400);

/// Time before a watch goes on after news, so that changes that come together wake it once.
///
/// Routers tell each other of what must not wait.
const GATHER: Duration = Duration::from_millis(250);

/// The same for the document, which has to be in force within seconds.
const GATHER_SITE: Duration = Duration::from_millis(100);

/// Keeps the view of the routers until the process ends.
pub async fn watch_entries<D: PlatformDialect>(node: Arc<NodeShared<D>>) {
    // Routers start together, so their entries are there a moment later.
    sleep(START_PAUSE.mul_f64(rand::random_range(0.7..1.3))).await;
    let mut listed = false;
    let mut pauses = RETRY_PAUSES;
    loop {
        if listed && !node.watches_store() {
            sleep(ROLE_STEP).await;
            continue;
        }
        match follow_entries(&node, &mut listed, &mut pauses).await {
            Ok(()) => pauses = RETRY_PAUSES,
            Err(fault) => {
                log::debug!("entries cannot be followed: {fault}");
                sleep(pauses.next()).await;
            }
        }
    }
}

/// Keeps the operators' document until the process ends.
pub async fn watch_site<D: PlatformDialect>(node: Arc<NodeShared<D>>) {
    let mut after = 0;
    let mut pauses = RETRY_PAUSES;
    loop {
        if node.site().is_some() && !node.watches_store() {
            sleep(ROLE_STEP).await;
            continue;
        }
        match follow_site(&node, &mut after, &mut pauses).await {
            Ok(()) => pauses = RETRY_PAUSES,
            Err(fault) => {
                log::debug!("the document of routes cannot be followed: {fault}");
                catch_up(&node).await;
                sleep(pauses.next()).await;
            }
        }
    }
}

/// Reads all entries, then follows their changes for as long as this router watches the store, and the
/// history goes back far enough.
async fn follow_entries<D: PlatformDialect>(
    node: &Arc<NodeShared<D>>,
    listed: &mut bool,
    pauses: &mut PauseRange,
) -> Result<(), StoreFault> {
    let list = node.store.list(ENTRY_PREFIX).await?;
    *pauses = RETRY_PAUSES;
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
    *listed = true;
    let mut after = list.revision;
    while node.watches_store() {
        let news = node.store.watch(ENTRY_PREFIX, after, WATCH_WAIT).await?;
        let WatchNews::Changes(changes, revision) = news else {
            sleep(GATHER).await;
            return Ok(());
        };
        after = revision.max(after);
        if changes.is_empty() {
            continue;
        }
        let mut news = ReaderNews::default();
        for change in changes {
            match change {
                StoreChange::Written(item) => {
                    news.entries
                        .extend(take_entry(node, &item.key, &item.value));
                }
                StoreChange::Removed(key) => {
                    if let Some(name) = key.strip_prefix(ENTRY_PREFIX) {
                        node.directory().lapse(name, boot_clock::now());
                        news.lapsed.push(name.into());
                    }
                }
            }
        }
        node.tell_domain(news);
        sleep(GATHER).await;
    }
    Ok(())
}

/// Takes an entry as it stands in the store; one that cannot be read names no router.
fn take_entry<D: PlatformDialect>(
    node: &Arc<NodeShared<D>>,
    key: &str,
    value: &[u8],
) -> Option<DirectoryEntry> {
    match decode::<DirectoryEntry>(value) {
        Ok(entry) if key.strip_prefix(ENTRY_PREFIX) == Some(&*entry.place.node) => {
            node.take_entry(entry.clone());
            Some(entry)
        }
        Ok(_) => {
            log::warn!("the entry at {key} names another router");
            None
        }
        Err(error) => {
            log::warn!("the entry at {key} cannot be read: {error}");
            None
        }
    }
}

/// Reads the document, then follows its changes for as long as this router watches the store.
async fn follow_site<D: PlatformDialect>(
    node: &Arc<NodeShared<D>>,
    after: &mut StoreRevision,
    pauses: &mut PauseRange,
) -> Result<(), StoreFault> {
    let key = node.dialect.site_key();
    // The document itself may be older than the history that a watch can go back to, so the watch begins
    // at the revision of the list.
    let list = node.store.list(key).await?;
    if let Some(item) = list.items.iter().find(|item| *item.key == *key) {
        take_site(node, &item.value);
    }
    *after = list.revision.max(*after);
    *pauses = RETRY_PAUSES;
    while node.site().is_none() || node.watches_store() {
        match node.store.watch(key, *after, WATCH_WAIT).await? {
            WatchNews::HistoryGone => {
                sleep(GATHER_SITE).await;
                return Ok(());
            }
            WatchNews::Changes(changes, revision) => {
                *after = revision.max(*after);
                let gather = if changes.is_empty() {
                    Duration::ZERO
                } else {
                    GATHER_SITE
                };
                for change in changes {
                    match change {
                        StoreChange::Written(item) if *item.key == *key => {
                            take_site(node, &item.value);
                            node.tell_domain(ReaderNews {
                                document: Some(item.value.to_vec()),
                                ..ReaderNews::default()
                            });
                        }
                        _ => {}
                    }
                }
                sleep(gather).await;
            }
        }
    }
    Ok(())
}

/// Tells the routers of the failure domain what this router's view is, while it reads for them.
pub async fn send_reader_beats<D: PlatformDialect>(node: Arc<NodeShared<D>>) {
    loop {
        sleep(READER_BEAT).await;
        // A reader that the store does not answer is none: the others look for themselves.
        if node.watches_store() && node.reaches_store() {
            let call = PeerCall::ReaderBeat(node.reader_beat());
            let links = &node.links;
            links.call_all(node.domain_peers(), &call, TELL_LIMIT).await;
        }
    }
}
