//! Second stage: who owns the key?

use std::net::SocketAddr;

use anvilrack_core::{NodeId, RefusalReason, RouteError};
use anvilrack_wire::ForwardRequest;

use crate::router_context::RouterContext;

/// Where a request goes next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NextHop {
    /// The owner is the target beside this router.
    Here,
    /// The owner is beside another router.
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
    let route = context.routes().resolve(&request.service, &request.key);
    match route {
        Ok(route) if route.node == *context.node() => Ok(NextHop::Here),
        Ok(route) => Ok(NextHop::Peer(route.node, route.peer_address)),
        Err(RouteError::UnknownService) => Err(RefusalReason::UnknownService),
        Err(RouteError::NoOwner) => Err(RefusalReason::NoOwner),
    }
}
