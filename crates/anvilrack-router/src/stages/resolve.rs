//! Second stage: which router takes the request?

use std::net::SocketAddr;

use anvilrack_core::{
    BootTime, GrantAnswer, NodeId, RefusalReason, RequestVerdict, RouteError, ServiceRules, ShardId,
};
use anvilrack_wire::ForwardRequest;

use crate::boot_clock;
use crate::router_context::RouterContext;

/// Where a request goes next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NextHop {
    /// The owner, or the chosen target, is the one beside this router.
    Here,
    /// It is beside another router.
    Peer(NodeId, SocketAddr),
}

/// Finds the next hop for a request.
///
/// # Errors
///
/// The reason to refuse: no such service, or no owner just now.
pub fn process(
    context: &RouterContext,
    request: &ForwardRequest,
) -> Result<NextHop, RefusalReason> {
    let routes = context.routes();
    let rules = routes.rules(&request.service);
    if rules.is_some_and(|rules| may_spread(rules, request))
        && let Some(member) = context.choices.choose(&routes, &request.service)
    {
        return Ok(hop_to(context, member.node, member.peer_address));
    }
    match routes.resolve(&request.service, &request.key) {
        Ok(route) => Ok(hop_to(context, route.node, route.peer_address)),
        Err(RouteError::UnknownService) => Err(RefusalReason::UnknownService),
        Err(RouteError::NoOwner) => Err(RefusalReason::NoOwner),
    }
}

fn hop_to(context: &RouterContext, node: NodeId, peer_address: SocketAddr) -> NextHop {
    if node == *context.node() {
        NextHop::Here
    } else {
        NextHop::Peer(node, peer_address)
    }
}

/// True where any target of the service may run the request.
///
/// A non-idempotent request goes to the owner of its key's shard even where the service is not
/// divided by key, since only the owner's record keeps it from running twice.
#[must_use]
pub fn may_spread(rules: &ServiceRules, request: &ForwardRequest) -> bool {
    !rules.divided_by_key && request.is_idempotent()
}

/// What a request that any target may run carries in place of its owner's grant.
///
/// The token is the newest one known for the shard, so that it does not make the target refuse the
/// shard's owner, and the owner's does not make it refuse this request.
///
/// # Errors
///
/// Where this router's target takes no work.
pub fn spread_grant(
    context: &RouterContext,
    request: &ForwardRequest,
    shard: ShardId,
    deadline: BootTime,
) -> Result<GrantAnswer, RefusalReason> {
    let now = boot_clock::now();
    if context.is_leaving() || !context.target().is_ready(now) {
        return Err(RefusalReason::NotOwner);
    }
    let cell = context.routes().cell(&request.service).cloned();
    let token = cell.and_then(|cell| cell.owner(shard).map(|owner| owner.token));
    Ok(GrantAnswer {
        token: token.unwrap_or(0),
        lease_until: deadline,
        since: now,
        record_lost: false,
    })
}

/// Takes the outcome of a request sent over a hop that [`process`] chose.
pub fn record(
    context: &RouterContext,
    request: &ForwardRequest,
    hop: &NextHop,
    sent_at: BootTime,
    verdict: &RequestVerdict,
) {
    let routes = context.routes();
    let rules = routes.rules(&request.service);
    if !rules.is_some_and(|rules| may_spread(rules, request)) {
        return;
    }
    let node = match hop {
        NextHop::Here => context.node(),
        NextHop::Peer(node, _) => node,
    };
    context
        .choices
        .record(&request.service, node, sent_at, verdict);
}
