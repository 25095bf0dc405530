//! Learning from other routers what the store does not tell just now.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anvilrack_core::events;
use anvilrack_router::boot_clock;
use bytes::Bytes;
use rand::seq::IndexedRandom;
use tokio::time::sleep;

use crate::peers::{KnownView, PeerCall, PeerReply, ReaderNews};
use crate::{NodeShared, PlatformDialect, tell};

/// Routers that are asked side by side.
const ASKED: usize = 2;

/// Time for one answer.
const ASK_LIMIT: Duration = Duration::from_millis(400);

/// Time between two questions to routers whose entries lapsed: two may stay unanswered before such a
/// router counts as gone.
const CONFIRM_EVERY: Duration = Duration::from_millis(800);

/// Asks routers for the operators' document, and for all entries where this router knows none.
///
/// A router that started anew while the store is away knows nobody but those that have called it.
pub async fn catch_up<D: PlatformDialect>(node: &Arc<NodeShared<D>>) {
    let known = node.met_peers();
    let asked = known.choose_multiple(&mut rand::rng(), ASKED);
    let entries = node.peer_addresses().is_empty();
    pull_view(node, asked.copied().collect(), entries).await;
}

/// Asks these routers for a newer document, and for their entries where `entries` says so.
pub async fn pull_view<D: PlatformDialect>(
    node: &Arc<NodeShared<D>>,
    asked: Vec<SocketAddr>,
    entries: bool,
) {
    let site = node.site().map(|site| site.version);
    let call = PeerCall::PullView { site, entries };
    for answer in node.links.call_all(asked, &call, ASK_LIMIT).await {
        if let Ok(PeerReply::View(view)) = answer {
            take_view(node, *view, entries);
        }
    }
}

/// Asks routers whose entries in the store lapsed whether they live, until the process ends.
///
/// A router that the store turns away, or that is cut off from it, still serves its target's requests, and
/// so does the target. One router of each failure domain asks for all of it.
pub async fn confirm_lapsed<D: PlatformDialect>(node: Arc<NodeShared<D>>) {
    loop {
        sleep(CONFIRM_EVERY).await;
        let lapsed: Vec<_> = node.directory().lapsed().collect();
        if lapsed.is_empty() || !node.watches_store() {
            continue;
        }
        let call = PeerCall::PullEntry;
        let answers = node.links.call_all(lapsed, &call, ASK_LIMIT).await;
        let entries = answers.into_iter().filter_map(|answer| match answer {
            Ok(PeerReply::Entry(entry)) => Some(*entry),
            // One that does not answer is gone, or is asked once more.
            _ => None,
        });
        let news = ReaderNews {
            confirmed: entries.collect(),
            ..ReaderNews::default()
        };
        for entry in &news.confirmed {
            node.confirm_entry(entry.clone());
        }
        if !news.confirmed.is_empty() {
            node.tell_domain(news);
        }
    }
}

/// What this router can tell another one.
#[must_use]
pub fn known_view<D: PlatformDialect>(
    node: &NodeShared<D>,
    site: Option<u64>,
    entries: bool,
) -> KnownView {
    let newer = node.site().map(|site| site.version) > site;
    let own = entries.then(|| node.own_entry());
    let others: Vec<_> = if entries {
        node.directory().entries().cloned().collect()
    } else {
        Vec::new()
    };
    KnownView {
        document: node.site_document().filter(|_| newer).map(|d| d.to_vec()),
        entries: others.into_iter().chain(own).collect(),
    }
}

/// Takes a view; where it lists all routers, those that are not in it have lapsed.
fn take_view<D: PlatformDialect>(node: &Arc<NodeShared<D>>, view: KnownView, lists_all: bool) {
    if lists_all {
        let names: Vec<_> = view.entries.iter().map(|e| e.place.node.clone()).collect();
        node.directory().retain_listed(&names, boot_clock::now());
    }
    for entry in view.entries {
        node.take_entry(entry);
    }
    if let Some(document) = view.document {
        take_site(node, &Bytes::from(document));
    }
}

/// Takes the operators' document; one that cannot be read leaves the one before in force.
pub fn take_site<D: PlatformDialect>(node: &Arc<NodeShared<D>>, document: &Bytes) {
    match node.dialect.read_site(document) {
        Ok(site) => node.take_site(site, document.clone()),
        Err(fault) => tell!(Warn, events::SITE_REFUSED, fault = fault.to_string()),
    }
}
