//! Explains to operators which router owns a key, why, and since when.

use std::time::Duration;

use anvilrack_core::{PlacementDecision, ShardHash, ShardId, ShardRoute};
use anvilrack_peer::LinkClass;
use anvilrack_wire::{PeerReply, PeerRequest};
use serde_json::{Value, json};

use crate::boot_clock;
use crate::router_context::RouterContext;

/// Timeout for a call to the cell's coordinator.
const COORDINATOR_TIMEOUT: Duration = Duration::from_millis(800);

/// Returns a report on where requests for a key are routed, from the data of this router and of the
/// cell's coordinator.
///
/// # Errors
///
/// Returns a message for the operator if the service is not configured.
pub fn explain(context: &RouterContext, service: &str, key: &str) -> Result<Value, String> {
    let routes = context.routes();
    let configured: Vec<_> = routes.config().document.services.keys().cloned().collect();
    let Some(rules) = routes.rules(service) else {
        return Err(format!(
            "unknown service `{service}`; configured services: {configured:?}"
        ));
    };
    let shard = ShardHash::new(rules.shards).shard_of(key);
    let route = routes.resolve(service, key).ok();
    let decision = fetch_decision(context, service, shard);
    let since = decision
        .as_ref()
        .map(|decision| boot_clock::unix_ms().saturating_sub(decision.at_ms) / 1_000);
    Ok(json!({
        "service": service,
        "key": key,
        "shard": shard,
        "owner": route.as_ref().map(|route| &route.node),
        "owner_address": route.as_ref().map(|route| route.peer_address),
        "token": route.as_ref().map(|route| route.token),
        "cell_version": routes.cell(service).map(|cell| cell.version),
        "coordinator": routes.cell(service).map(|cell| &cell.coordinator),
        "why": ownership_reason(route.as_ref(), decision.as_ref()),
        "owner_for_seconds": since,
        "owner_before": decision.as_ref().and_then(|decision| decision.from.clone()),
        "shards_by_member_then": decision.as_ref().map(|decision| &decision.weighed),
    }))
}

fn ownership_reason(route: Option<&ShardRoute>, decision: Option<&PlacementDecision>) -> String {
    match (route, decision) {
        (None, _) => {
            "no owner at the moment: the last owner may still be serving it, or no member is \
                      ready; it is assigned automatically"
                .to_owned()
        }
        (Some(route), Some(last)) if route.token == last.token => last.reason.as_str().to_owned(),
        (Some(_), _) => {
            "decided before the current coordinator took over, which has no older decisions"
                .to_owned()
        }
    }
}

/// Returns the latest placement decision for a shard if this router coordinates the service's cell.
#[must_use]
pub fn own_decision(
    context: &RouterContext,
    service: &str,
    shard: ShardId,
) -> Option<PlacementDecision> {
    let is_coordinator = context
        .coordinator()
        .as_ref()
        .is_some_and(|state| &*state.record().service == service);
    let history = context.placement_history();
    history.latest(shard).filter(|_| is_coordinator).cloned()
}

fn fetch_decision(
    context: &RouterContext,
    service: &str,
    shard: ShardId,
) -> Option<PlacementDecision> {
    let routes = context.routes();
    let cell = routes.cell(service)?;
    if cell.coordinator == *context.node() {
        return own_decision(context, service, shard);
    }
    let address = cell.member(&cell.coordinator)?.peer_address;
    let request = PeerRequest::Explain(service.into(), shard);
    match context
        .links
        .call(address, LinkClass::Control, &request, COORDINATOR_TIMEOUT)
    {
        Ok(PeerReply::Explained(decision)) => decision,
        _ => None,
    }
}
