//! First stage on the target side: checks ownership and the at-most-once record.

use std::time::Duration;

use anvilrack_core::{
    AtMostOnceKey, AtMostOnceRequest, BootTime, RefusalReason, RequestVerdict, ServiceRules,
    ShardHash, ShardId, ShardPermit, UncertainReason, fingerprint_of, first_sent_at,
};
use anvilrack_wire::ForwardRequest;

use super::RETRY_SOON;
use super::admit;
use super::deliver::{self, DeliveryParameters, TargetClient};
use super::resolve;
use crate::boot_clock;
use crate::router_context::RouterContext;
use crate::shared_at_most_once_record::AtMostOnceTicket;

/// Checks a request against the grant and the at-most-once record, and sends it to the target.
///
/// The request is counted as using the shard before the grant is checked. A release that finds no
/// request using the shard can therefore rely on none starting later, and on the shard's
/// at-most-once record being complete.
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
    // Keeps this version of the route table for the whole request. Cloning the rules instead would
    // copy every pinned key.
    let routes = context.routes();
    let Some(rules) = routes.rules(&request.service) else {
        return refuse(RefusalReason::UnknownService);
    };
    let shard = ShardHash::new(rules.shards).shard_of(&request.key);
    let deadline = deadline.min(boot_clock::now() + BootTime::from_millis(rules.max_timeout_ms));
    let _request_guard = context.releases.count_request(shard);
    let grant = match grant_for(context, rules, request, shard, deadline) {
        Ok(grant) => grant,
        Err(reason) => {
            let known = look_up_outcome(context, request, deadline);
            return known.unwrap_or_else(|| refuse(reason));
        }
    };
    let ticket = match begin_at_most_once(context, request, shard, grant, deadline) {
        Ok(ticket) => ticket,
        Err(verdict) => return verdict,
    };
    let verdict = admit_and_deliver(context, client, request, rules, shard, deadline);
    if let Some(ticket) = ticket {
        ticket.settle(&verdict);
    }
    verdict
}

/// Returns the recorded outcome of a request that this router may no longer run; `None` if the
/// request has no entry.
fn look_up_outcome(
    context: &RouterContext,
    request: &ForwardRequest,
    deadline: BootTime,
) -> Option<RequestVerdict> {
    let key = at_most_once_key(request)?;
    context
        .at_most_once_record
        .look_up(&key, at_most_once_fingerprint(request), deadline)
}

/// Adds a request to the at-most-once record. Requests that the record does not cover, such as
/// those without an idempotency key, get no ticket.
fn begin_at_most_once<'a>(
    context: &'a RouterContext,
    request: &ForwardRequest,
    shard: ShardId,
    grant: ShardPermit,
    deadline: BootTime,
) -> Result<Option<AtMostOnceTicket<'a>>, RequestVerdict> {
    let Some(key) = at_most_once_key(request) else {
        return Ok(None);
    };
    let unix_now = Duration::from_millis(boot_clock::unix_ms());
    let margin = context.at_most_once_record.clock_margin();
    let first_sent = first_sent_at(&key.idempotency_key, unix_now, boot_clock::now(), margin);
    let entry = AtMostOnceRequest {
        key,
        shard,
        fingerprint: at_most_once_fingerprint(request),
        first_sent,
        record_lost_at: grant.record_lost.then_some(grant.since),
    };
    context
        .at_most_once_record
        .begin(&entry, deadline)
        .map(Some)
}

fn at_most_once_key(request: &ForwardRequest) -> Option<AtMostOnceKey> {
    request
        .effective_idempotency_key()
        .map(|idempotency_key| AtMostOnceKey {
            service: request.service.clone(),
            key: request.key.clone(),
            idempotency_key: idempotency_key.clone(),
        })
}

/// Returns a fingerprint that distinguishes a resend from another request with the same idempotency
/// key.
fn at_most_once_fingerprint(request: &ForwardRequest) -> u64 {
    fingerprint_of(&[
        request.method.as_bytes(),
        request.path.as_bytes(),
        &request.body.0,
    ])
}

/// Waits for capacity and sends the request to the target. The grant is checked after the wait,
/// during which it may have ended.
fn admit_and_deliver(
    context: &RouterContext,
    client: &TargetClient,
    request: &ForwardRequest,
    rules: &ServiceRules,
    shard: ShardId,
    deadline: BootTime,
) -> RequestVerdict {
    let refuse = |reason| RequestVerdict::NotRun(reason, RETRY_SOON);
    if let Err(verdict) = context.crash_quarantine.check(request) {
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
            let parameters = DeliveryParameters {
                address,
                shard,
                token: grant.token,
                lease_until: grant.lease_until,
                deadline,
            };
            let sent_at = boot_clock::now();
            let verdict = deliver::process(client, request, &parameters);
            permit.finish(&verdict);
            record_run_end(context, request, &parameters, &verdict, sent_at);
            context.meter.count(shard, &request.key, boot_clock::now());
            verdict
        }
        Err(reason) => refuse(reason),
    }
}

/// Returns the grant under which this router may send the request to its target: the one of the
/// shard's owner, or a substitute for a request that any target of the service may run.
fn grant_for(
    context: &RouterContext,
    rules: &ServiceRules,
    request: &ForwardRequest,
    shard: ShardId,
    deadline: BootTime,
) -> Result<ShardPermit, RefusalReason> {
    if resolve::runs_on_any_target(rules, request) {
        return resolve::grant_for_any_target(context, request, shard, deadline);
    }
    context.owner().grant(shard, boot_clock::now())
}

/// Records a request during which the target broke off the connection and exited, or that the target
/// completed. This happens before the verdict is returned.
fn record_run_end(
    context: &RouterContext,
    request: &ForwardRequest,
    parameters: &DeliveryParameters,
    verdict: &RequestVerdict,
    sent_at: BootTime,
) {
    if let RequestVerdict::Ran(_) = verdict {
        context.crash_quarantine.on_completed(request);
    }
    let broke_off = matches!(
        verdict,
        RequestVerdict::MayHaveRun(
            UncertainReason::ConnectionLost | UncertainReason::AnswerCutShort
        )
    );
    if broke_off && deliver::has_exited(parameters.address) {
        context.crash_quarantine.on_crash(request, sent_at);
        context.trigger_heartbeat();
    }
}
