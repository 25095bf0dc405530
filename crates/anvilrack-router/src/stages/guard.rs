//! Fourth stage, beside the owner: may this request go to the target now?

use anvilrack_core::{BootTime, RefusalReason, RequestVerdict, ShardHash};
use anvilrack_wire::ForwardRequest;

use super::RETRY_SOON;
use super::admit;
use super::deliver::{self, DeliveryOrder, TargetClient};
use crate::boot_clock;
use crate::router_context::RouterContext;

/// Checks a request against the grant and passes it to the target.
///
/// The use of the shard is counted first and the grant looked at after that: so a release that
/// finds no use can be sure that none will begin.
pub fn process(
    context: &RouterContext,
    client: &TargetClient,
    request: &ForwardRequest,
    deadline: BootTime,
) -> RequestVerdict {
    let refuse = |reason| RequestVerdict::NotRun(reason, RETRY_SOON);
    if context.service().as_ref() != Some(&request.service) {
        return refuse(RefusalReason::NotOwner);
    }
    let Some(rules) = context.routes().rules(&request.service).cloned() else {
        return refuse(RefusalReason::UnknownService);
    };
    let Some(address) = context.target().ready_address(boot_clock::now()) else {
        return refuse(RefusalReason::NoOwner);
    };
    let shard = ShardHash::new(rules.shards).shard_of(&request.key);
    let deadline = deadline.min(boot_clock::now() + BootTime::from_millis(rules.max_timeout_ms));
    let _permit = match admit::process(context, request, &rules, deadline) {
        Ok(permit) => permit,
        Err(reason) => return refuse(reason),
    };
    let _in_use = context.releases.enter(shard);
    let grant = context.owner().grant(shard, boot_clock::now());
    match grant {
        Ok(grant) => {
            let order = DeliveryOrder {
                address,
                shard,
                token: grant.token,
                lease_until: grant.lease_until,
                deadline,
            };
            deliver::process(client, request, &order)
        }
        Err(reason) => refuse(reason),
    }
}
