//! Fetches the site document and directory entries from other routers if the store cannot provide them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anvilrack_core::events;
use anvilrack_router::boot_clock;
use rand::seq::IndexedRandom;
use tokio::time::sleep;

use crate::directory::DirectoryEntry;
use crate::directory::fetch_evacuations;
use crate::directory::site_fetch::ask_router;
use crate::peers::{PeerCall, PeerReply, ReaderChanges};
use crate::{NodeState, PlatformDialect, emit_event};

/// Number of routers that are asked.
const PEERS_TO_ASK: usize = 2;

/// Timeout for the reply to a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// Interval between two probes of routers whose entries expired; two probes may get no reply before
/// such a router counts as gone.
const PROBE_INTERVAL: Duration = Duration::from_millis(800);

/// Asks routers for a newer site document and the evacuated failure domains, and for all entries if this router knows none.
///
/// A router that restarted during a store outage knows only the routers that have called it.
pub async fn catch_up<D: PlatformDialect>(node: &Arc<NodeState<D>>) {
    let peers = node.known_router_addresses();
    let addresses: Vec<_> = peers
        .choose_multiple(&mut rand::rng(), PEERS_TO_ASK)
        .copied()
        .collect();
    let knows_no_router = node.peer_addresses().is_empty();
    for address in addresses {
        ask_router(node, address).await;
        if node.evacuates() {
            fetch_evacuations(node, address).await;
        }
        if knows_no_router {
            pull_entries(node, address).await;
        }
    }
}

/// Asks a router for all directory entries that it knows, and applies them.
pub async fn pull_entries<D: PlatformDialect>(node: &Arc<NodeState<D>>, address: SocketAddr) {
    let fault = match node.links.fetch(address, &PeerCall::PullEntries).await {
        Ok((PeerReply::Entries(entries), _)) => return apply_entries(node, entries),
        Ok(_) => "the reply belongs to a different call".to_owned(),
        Err(error) => error.to_string(),
    };
    emit_event!(
        Info,
        events::PEER_LOST,
        peer = address.to_string(),
        about = "directory entries",
        fault = fault
    );
}

/// Applies a full list of entries; the entries that are not in it expire.
fn apply_entries<D: PlatformDialect>(node: &Arc<NodeState<D>>, entries: Vec<DirectoryEntry>) {
    let names: Vec<_> = entries.iter().map(|e| e.place.node.clone()).collect();
    node.directory()
        .mark_unlisted_expired(&names, boot_clock::now());
    node.store_entries(entries);
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
        let replies = node.links.call_all(expired, &call, PROBE_TIMEOUT).await;
        let entries = replies.into_iter().filter_map(|reply| match reply {
            Ok(PeerReply::Entry(entry)) => Some(*entry),
            // A router that does not reply is gone, or is probed again in the next round.
            _ => None,
        });
        let updates = ReaderChanges {
            confirmed: entries.collect(),
            ..ReaderChanges::default()
        };
        node.store_confirmed_entries(updates.confirmed.iter().cloned());
        if !updates.confirmed.is_empty() {
            node.broadcast_to_domain(updates);
        }
    }
}
