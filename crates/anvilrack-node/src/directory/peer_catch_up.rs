//! Fetches the site document and directory entries from other routers if the store cannot provide them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anvilrack_core::events;
use anvilrack_router::boot_clock;
use bytes::Bytes;
use rand::seq::IndexedRandom;
use tokio::time::sleep;

use crate::peers::{DirectorySnapshot, PeerCall, PeerReply, ReaderChanges};
use crate::{NodeState, PlatformDialect, emit_event, observe};

/// Number of routers that are asked in parallel.
const PEERS_TO_ASK: usize = 2;

/// Timeout for the reply of one router.
const ASK_TIMEOUT: Duration = Duration::from_millis(400);

/// Interval between two probes of routers whose entries expired; two probes may get no reply before
/// such a router counts as gone.
const PROBE_INTERVAL: Duration = Duration::from_millis(800);

/// Asks routers for the site document, and for all entries if this router knows none.
///
/// A router that restarted during a store outage knows only the routers that have called it.
pub async fn catch_up<D: PlatformDialect>(node: &Arc<NodeState<D>>) {
    let peers = node.known_router_addresses();
    let addresses = peers.choose_multiple(&mut rand::rng(), PEERS_TO_ASK);
    let entries = node.peer_addresses().is_empty();
    pull_view(node, addresses.copied().collect(), entries).await;
}

/// Asks the given routers for a newer site document and, if `entries` is set, for the entries that they
/// know.
pub async fn pull_view<D: PlatformDialect>(
    node: &Arc<NodeState<D>>,
    addresses: Vec<SocketAddr>,
    entries: bool,
) {
    let site = node.site().map(|site| site.version);
    let call = PeerCall::PullView { site, entries };
    let began = boot_clock::now();
    let replies = node
        .links
        .call_all(addresses.clone(), &call, ASK_TIMEOUT)
        .await;
    for (address, reply) in addresses.into_iter().zip(replies) {
        match reply {
            Ok(PeerReply::View(snapshot)) => {
                apply_snapshot(node, *snapshot, entries, &address.to_string());
            }
            Ok(_) => {}
            Err(error) => emit_event!(
                Warn,
                events::SITE_FETCH_FAILED,
                source = address.to_string(),
                fault = error.to_string(),
                took_ms = observe::millis(boot_clock::now().saturating_sub(began))
            ),
        }
    }
}

/// Probes routers whose entries in the store expired, until the process ends.
///
/// A router that the store rejects, or that is cut off from it, still serves its target's requests, and
/// the target is still usable. One router of each failure domain probes for the whole domain.
pub async fn probe_expired_routers<D: PlatformDialect>(node: Arc<NodeState<D>>) {
    loop {
        sleep(PROBE_INTERVAL).await;
        let expired: Vec<_> = node.directory().expired_addresses().collect();
        if expired.is_empty() || !node.watches_store() {
            continue;
        }
        let call = PeerCall::PullEntry;
        let replies = node.links.call_all(expired, &call, ASK_TIMEOUT).await;
        let entries = replies.into_iter().filter_map(|reply| match reply {
            Ok(PeerReply::Entry(entry)) => Some(*entry),
            // A router that does not reply is gone, or is probed again in the next round.
            _ => None,
        });
        let updates = ReaderChanges {
            confirmed: entries.collect(),
            ..ReaderChanges::default()
        };
        for entry in &updates.confirmed {
            node.store_confirmed_entry(entry.clone());
        }
        if !updates.confirmed.is_empty() {
            node.broadcast_to_domain(updates);
        }
    }
}

/// Returns the site document, if it is newer than `site`, and all known entries, if `entries` is set.
#[must_use]
pub fn directory_snapshot<D: PlatformDialect>(
    node: &NodeState<D>,
    site: Option<u64>,
    entries: bool,
) -> DirectorySnapshot {
    let newer = node.site().map(|site| site.version) > site;
    let own = entries.then(|| node.own_entry());
    let others: Vec<_> = if entries {
        node.directory().entries().cloned().collect()
    } else {
        Vec::new()
    };
    DirectorySnapshot {
        document: node.site_document().filter(|_| newer).map(|d| d.to_vec()),
        entries: others.into_iter().chain(own).collect(),
    }
}

/// Applies a snapshot; if it lists all routers, the entries that are not in it expire.
fn apply_snapshot<D: PlatformDialect>(
    node: &Arc<NodeState<D>>,
    snapshot: DirectorySnapshot,
    lists_all: bool,
    source: &str,
) {
    if lists_all {
        let names: Vec<_> = snapshot
            .entries
            .iter()
            .map(|e| e.place.node.clone())
            .collect();
        node.directory()
            .mark_unlisted_expired(&names, boot_clock::now());
    }
    for entry in snapshot.entries {
        node.store_entry(entry);
    }
    if let Some(document) = snapshot.document {
        apply_site_document(node, &Bytes::from(document), source);
    }
}

/// Applies a site document; if it cannot be read, the previous one stays in force.
///
/// `source` names where the document came from.
pub fn apply_site_document<D: PlatformDialect>(
    node: &Arc<NodeState<D>>,
    document: &Bytes,
    source: &str,
) {
    match node.dialect.read_site(document) {
        Ok(site) => node.store_site_document(site, document.clone(), source),
        Err(error) => emit_event!(Warn, events::SITE_REFUSED, fault = error.to_string()),
    }
}
