//! Passes the evacuated failure domains on to other routers, and fetches them from one.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anvilrack_core::{DomainName, events};
use rand::seq::IteratorRandom;

use crate::directory::send_reader_heartbeat;
use crate::peers::{PeerCall, PeerReply};
use crate::{NodeState, PlatformDialect, emit_event};

/// Timeout of a call that passes the set on, or asks for it.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);

/// Number of routers of each other failure domain to which a change is sent, since one may be gone.
const ROUTERS_PER_DOMAIN: usize = 2;

/// Passes a change on that this router has read from the store, or learned from another failure domain.
///
/// Readers repeat it in their heartbeats. A failure domain without a reader that reaches the store learns
/// of it from the others, and its routers ask for it as well.
pub async fn spread_evacuations<D: PlatformDialect>(node: Arc<NodeState<D>>, is_from_store: bool) {
    let Some(set) = node.evacuation_set() else {
        return;
    };
    send_reader_heartbeat(&node).await;
    let call = PeerCall::Evacuations(node.settings.failure_domain.clone(), set);
    let routers = if is_from_store {
        routers_of_other_domains(&node)
    } else {
        node.domain_peers()
    };
    node.links.call_all(routers, &call, CALL_TIMEOUT).await;
}

/// Returns the addresses of some routers of each other failure domain.
fn routers_of_other_domains<D: PlatformDialect>(node: &NodeState<D>) -> Vec<SocketAddr> {
    let mut by_domain: HashMap<DomainName, Vec<SocketAddr>> = HashMap::new();
    for entry in node.directory().entries() {
        let place = &entry.place;
        if place.failure_domain != node.settings.failure_domain {
            let domain = place.failure_domain.clone();
            by_domain.entry(domain).or_default().push(place.address);
        }
    }
    let domains = by_domain.into_values();
    let chosen = domains.map(|routers| {
        routers
            .into_iter()
            .choose_multiple(&mut rand::rng(), ROUTERS_PER_DOMAIN)
    });
    chosen.flatten().collect()
}

/// Asks a router for the evacuated failure domains that it knows, and applies them.
pub async fn fetch_evacuations<D: PlatformDialect>(node: &Arc<NodeState<D>>, router: SocketAddr) {
    let call = PeerCall::PullEvacuations;
    let fault = match node.links.call(router, &call, CALL_TIMEOUT).await {
        Ok((PeerReply::Evacuations(set), _)) => {
            if let Some(set) = set {
                node.apply_fetched_evacuations(&set);
            }
            return;
        }
        Ok(_) => "the reply belongs to a different call".to_owned(),
        Err(error) => error.to_string(),
    };
    emit_event!(
        Info,
        events::EVACUATION_FETCH_FAILED,
        peer = router.to_string(),
        fault = fault
    );
}
