//! Second stage on the caller side: selects the router that gets the request.

use std::net::SocketAddr;

use anvilrack_core::{
    BootTime, NodeId, RefusalReason, RequestVerdict, RouteError, ServiceRules, ShardId, ShardPermit,
};
use anvilrack_wire::ForwardRequest;

use crate::boot_clock;
use crate::router_context::RouterContext;

/// Router that a request is sent to next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NextHop {
    /// This router: its local target owns the shard or was selected.
    Local,
    /// Another router, with its node id and the address it listens on for peers.
    Peer(NodeId, SocketAddr),
}

/// Returns the next hop for a request.
///
/// # Errors
///
/// Returns `UnknownService` if the service is not configured and `NoOwner` if the shard has no
/// owner.
pub fn process(
    context: &RouterContext,
    request: &ForwardRequest,
) -> Result<NextHop, RefusalReason> {
    let routes = context.routes();
    let rules = routes.rules(&request.service);
    if rules.is_some_and(|rules| runs_on_any_target(rules, request))
        && let Some(member) = context.service_selectors.choose(&routes, &request.service)
    {
        return Ok(next_hop(context, member.node, member.peer_address));
    }
    match routes.resolve(&request.service, &request.key) {
        Ok(route) => Ok(next_hop(context, route.node, route.peer_address)),
        Err(RouteError::UnknownService) => Err(RefusalReason::UnknownService),
        Err(RouteError::NoOwner) => Err(RefusalReason::NoOwner),
    }
}

fn next_hop(context: &RouterContext, node: NodeId, peer_address: SocketAddr) -> NextHop {
    if node == *context.node() {
        NextHop::Local
    } else {
        NextHop::Peer(node, peer_address)
    }
}

/// Returns `true` if any target of the service may run the request.
///
/// A non-idempotent request goes to the owner of its key's shard even if the service is not divided
/// by key, because only the owner's at-most-once record prevents a second run.
#[must_use]
pub fn runs_on_any_target(rules: &ServiceRules, request: &ForwardRequest) -> bool {
    !rules.divided_by_key && request.is_idempotent()
}

/// Returns a substitute for the owner's grant, for a request that any target may run.
///
/// The fencing token is the newest one known for the shard. A newer token would make the target
/// refuse the shard's owner, and an older one would make it refuse this request.
///
/// # Errors
///
/// Returns `NotOwner` if this router is leaving or its target is not ready.
pub fn grant_for_any_target(
    context: &RouterContext,
    request: &ForwardRequest,
    shard: ShardId,
    deadline: BootTime,
) -> Result<ShardPermit, RefusalReason> {
    let now = boot_clock::now();
    if context.is_leaving() || !context.target().is_ready(now) {
        return Err(RefusalReason::NotOwner);
    }
    let cell = context.routes().cell(&request.service).cloned();
    let token = cell.and_then(|cell| cell.owner(shard).map(|owner| owner.token));
    Ok(ShardPermit {
        token: token.unwrap_or(0),
        lease_until: deadline,
        since: now,
        record_lost: false,
    })
}

/// Records the outcome of a request sent to a hop that [`process`] returned. Does nothing for
/// a request that only the shard's owner may run.
pub fn record_outcome(
    context: &RouterContext,
    request: &ForwardRequest,
    hop: &NextHop,
    sent_at: BootTime,
    verdict: &RequestVerdict,
) {
    let routes = context.routes();
    let rules = routes.rules(&request.service);
    if !rules.is_some_and(|rules| runs_on_any_target(rules, request)) {
        return;
    }
    let node = match hop {
        NextHop::Local => context.node(),
        NextHop::Peer(node, _) => node,
    };
    context
        .service_selectors
        .record_outcome(&request.service, node, sent_at, verdict);
}
