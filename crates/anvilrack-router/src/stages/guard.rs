//! Fourth stage, beside the owner: may this request go to the target now?

use std::time::Duration;

use anvilrack_core::{
    BootTime, GrantAnswer, RecordKey, RecordRequest, RefusalReason, RequestVerdict, ServiceRules,
    ShardHash, ShardId, UncertainReason, fingerprint_of, first_sent_at,
};
use anvilrack_wire::ForwardRequest;

use super::RETRY_SOON;
use super::admit;
use super::deliver::{self, DeliveryOrder, TargetClient};
use super::resolve;
use crate::boot_clock;
use crate::router_context::RouterContext;
use crate::run_keeper::RunTicket;

/// Checks a request against the grant and the at-most-once record, and passes it to the target.
///
/// The use of the shard is counted first and the grant looked at after that: so a release that
/// finds no use can be sure that none will begin, and that the record of the shard is complete.
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
    // The table stays as it was for this request; a copy of the rules would hold every pinned key.
    let routes = context.routes();
    let Some(rules) = routes.rules(&request.service) else {
        return refuse(RefusalReason::UnknownService);
    };
    let shard = ShardHash::new(rules.shards).shard_of(&request.key);
    let deadline = deadline.min(boot_clock::now() + BootTime::from_millis(rules.max_timeout_ms));
    let _in_use = context.releases.enter(shard);
    let grant = match grant_for(context, rules, request, shard, deadline) {
        Ok(grant) => grant,
        Err(reason) => {
            let known = look_up(context, request, deadline);
            return known.unwrap_or_else(|| refuse(reason));
        }
    };
    let ticket = match begin_run(context, request, shard, grant, deadline) {
        Ok(ticket) => ticket,
        Err(verdict) => return verdict,
    };
    let verdict = run(context, client, request, rules, shard, deadline);
    if let Some(ticket) = ticket {
        ticket.settle(&verdict);
    }
    verdict
}

/// What the record of this router knows of a request that may not run here any more.
fn look_up(
    context: &RouterContext,
    request: &ForwardRequest,
    deadline: BootTime,
) -> Option<RequestVerdict> {
    let key = record_key(request)?;
    context.runs.look_up(&key, record_print(request), deadline)
}

/// Enters a non-idempotent request into the record; one without an idempotency key has no entry.
fn begin_run<'a>(
    context: &'a RouterContext,
    request: &ForwardRequest,
    shard: ShardId,
    grant: GrantAnswer,
    deadline: BootTime,
) -> Result<Option<RunTicket<'a>>, RequestVerdict> {
    let Some(key) = record_key(request) else {
        return Ok(None);
    };
    let unix_now = Duration::from_millis(boot_clock::unix_ms());
    let margin = context.runs.clock_margin();
    let first_sent = first_sent_at(&key.idempotency_key, unix_now, boot_clock::now(), margin);
    let entry = RecordRequest {
        key,
        shard,
        fingerprint: record_print(request),
        first_sent,
        record_lost_at: grant.record_lost.then_some(grant.since),
    };
    context.runs.begin(&entry, deadline).map(Some)
}

fn record_key(request: &ForwardRequest) -> Option<RecordKey> {
    request.recorded_key().map(|idempotency_key| RecordKey {
        service: request.service.clone(),
        key: request.key.clone(),
        idempotency_key: idempotency_key.clone(),
    })
}

/// Tells a resend from another request under the same idempotency key.
fn record_print(request: &ForwardRequest) -> u64 {
    fingerprint_of(&[
        request.method.as_bytes(),
        request.path.as_bytes(),
        &request.body.0,
    ])
}

/// Finds room and puts the request to the target; waiting may take time, so the grant is looked at
/// after that.
fn run(
    context: &RouterContext,
    client: &TargetClient,
    request: &ForwardRequest,
    rules: &ServiceRules,
    shard: ShardId,
    deadline: BootTime,
) -> RequestVerdict {
    let refuse = |reason| RequestVerdict::NotRun(reason, RETRY_SOON);
    if let Err(verdict) = context.crashes.check(request) {
        return verdict;
    }
    let Some(address) = context.target().ready_address(boot_clock::now()) else {
        return refuse(RefusalReason::NoOwner);
    };
    let permit = match admit::process(context, request, rules, deadline) {
        Ok(permit) => permit,
        Err(verdict) => return verdict,
    };
    let grant = grant_for(context, rules, request, shard, deadline);
    match grant {
        Ok(grant) => {
            let order = DeliveryOrder {
                address,
                shard,
                token: grant.token,
                lease_until: grant.lease_until,
                deadline,
            };
            let began = boot_clock::now();
            let verdict = deliver::process(client, request, &order);
            permit.close(&verdict);
            watch_crash(context, request, &order, &verdict, began);
            context.meter.count(shard, &request.key, boot_clock::now());
            verdict
        }
        Err(reason) => refuse(reason),
    }
}

/// Leave to put this request to the target: as the shard's owner, or for a request that any target of
/// the service may run.
fn grant_for(
    context: &RouterContext,
    rules: &ServiceRules,
    request: &ForwardRequest,
    shard: ShardId,
    deadline: BootTime,
) -> Result<GrantAnswer, RefusalReason> {
    if resolve::may_spread(rules, request) {
        return resolve::spread_grant(context, request, shard, deadline);
    }
    context.owner().grant(shard, boot_clock::now())
}

/// Remembers a request whose target broke off and is gone, before its verdict goes out.
fn watch_crash(
    context: &RouterContext,
    request: &ForwardRequest,
    order: &DeliveryOrder,
    verdict: &RequestVerdict,
    began: BootTime,
) {
    let broke_off = matches!(
        verdict,
        RequestVerdict::MayHaveRun(
            UncertainReason::ConnectionLost | UncertainReason::AnswerCutShort
        )
    );
    if broke_off && deliver::is_gone(order.address) {
        context.crashes.on_crash(request, began);
        context.nudge();
    }
}
