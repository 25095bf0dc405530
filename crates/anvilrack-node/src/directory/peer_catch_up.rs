//! Learning from other routers what the store does not tell just now.

use std::sync::Arc;
use std::time::Duration;

use anvilrack_core::events;
use bytes::Bytes;
use rand::seq::IndexedRandom;

use crate::peers::{KnownView, PeerCall, PeerReply};
use crate::{NodeShared, PlatformDialect, tell};

/// Routers that are asked side by side.
const ASKED: usize = 2;

/// Time for one answer.
const ASK_LIMIT: Duration = Duration::from_millis(400);

/// Asks routers for the operators' document, and for all entries where this router knows none.
///
/// A router that started anew while the store is away knows nobody but those that have called it.
pub async fn catch_up<D: PlatformDialect>(node: &Arc<NodeShared<D>>) {
    let known = node.met_peers();
    let asked: Vec<_> = known
        .choose_multiple(&mut rand::rng(), ASKED)
        .copied()
        .collect();
    let call = PeerCall::PullView {
        site: node.site().map(|site| site.version),
        entries: node.peer_addresses().is_empty(),
    };
    for answer in node.links.call_all(asked, &call, ASK_LIMIT).await {
        if let Ok(PeerReply::View(view)) = answer {
            take_view(node, *view);
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
    let others: Vec<_> = match entries {
        true => node.directory().entries().cloned().collect(),
        false => Vec::new(),
    };
    KnownView {
        document: node.site_document().filter(|_| newer).map(|d| d.to_vec()),
        entries: others.into_iter().chain(own).collect(),
    }
}

fn take_view<D: PlatformDialect>(node: &Arc<NodeShared<D>>, view: KnownView) {
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
