//! Third stage: to the router beside the owner, and again where that is harmless.

use std::thread;
use std::time::Duration;

use anvilrack_core::{RefusalReason, RequestVerdict, UncertainReason};
use anvilrack_peer::{LinkClass, PeerError};
use anvilrack_wire::{PeerReply, PeerRequest};
use rand::Rng;

use super::resolve::{self, NextHop};
use super::{RETRY_SOON, accept::AcceptedRequest};
use crate::boot_clock;
use crate::guard_pool::GuardPool;
use crate::router_context::RouterContext;

/// How long a request waits at its router for a shard that is between owners.
const ROUTE_PATIENCE: Duration = Duration::from_millis(400);

/// Time between two looks at the table, on average.
const ROUTE_STEP: Duration = Duration::from_millis(25);

/// The verdict of a request, and where it came from.
#[derive(Clone, Debug)]
pub struct ForwardOutcome {
    /// What to tell the caller.
    pub verdict: RequestVerdict,
    /// The last hop tried.
    pub hop: Option<NextHop>,
    /// Number of tries.
    pub tries: u32,
}

/// Sends a request to its owner until there is a verdict to tell.
///
/// Only a request that surely has not run is sent again here, and only where the reason may pass
/// within a moment: a table that is behind, a shard on its way to another owner.
pub fn process(
    context: &RouterContext,
    guard: &GuardPool,
    accepted: &AcceptedRequest,
) -> ForwardOutcome {
    let give_up = accepted.deadline.min(boot_clock::now() + ROUTE_PATIENCE);
    let mut tries = 0;
    loop {
        tries += 1;
        let hop = resolve::process(context, &accepted.request);
        let (verdict, hop) = match hop {
            Ok(hop) => {
                let sent_at = boot_clock::now();
                let verdict = send(context, guard, accepted, &hop);
                resolve::record(context, &accepted.request, &hop, sent_at, &verdict);
                (verdict, Some(hop))
            }
            Err(reason) => (RequestVerdict::NotRun(reason, RETRY_SOON), None),
        };
        let pause = ROUTE_STEP.mul_f64(rand::rng().random_range(0.5..1.5));
        let again = may_pass(&verdict) && boot_clock::now() + pause < give_up;
        if !again {
            return ForwardOutcome {
                verdict,
                hop,
                tries,
            };
        }
        thread::sleep(pause);
    }
}

/// True where the refusal may be gone in a moment.
fn may_pass(verdict: &RequestVerdict) -> bool {
    let RequestVerdict::NotRun(reason, _) = verdict else {
        return false;
    };
    matches!(
        reason,
        RefusalReason::NoOwner
            | RefusalReason::NotOwner
            | RefusalReason::LeaseEnded
            | RefusalReason::Moving
            | RefusalReason::OwnerUnreachable
    )
}

fn send(
    context: &RouterContext,
    guard: &GuardPool,
    accepted: &AcceptedRequest,
    hop: &NextHop,
) -> RequestVerdict {
    let left = accepted.deadline.saturating_sub(boot_clock::now());
    if left.is_zero() {
        return RequestVerdict::NotRun(RefusalReason::DeadlineTooShort, RETRY_SOON);
    }
    let mut request = accepted.request.clone();
    request.timeout = left;
    match hop {
        NextHop::Here => guard.run_here(context, &request, accepted.deadline),
        NextHop::Peer(_, address) => {
            let call = PeerRequest::Forward(request);
            let answer = context
                .links
                .call(*address, LinkClass::Request, &call, left);
            verdict_of(answer)
        }
    }
}

/// Each way a peer call can end, mapped once.
fn verdict_of(answer: Result<PeerReply, PeerError>) -> RequestVerdict {
    match answer {
        Ok(PeerReply::Forwarded(reply)) => reply.into(),
        Ok(_) | Err(PeerError::Unanswered(_)) => {
            RequestVerdict::MayHaveRun(UncertainReason::ConnectionLost)
        }
        Err(PeerError::TimedOut) => RequestVerdict::MayHaveRun(UncertainReason::TimedOut),
        Err(PeerError::NotSent(_)) => {
            RequestVerdict::NotRun(RefusalReason::OwnerUnreachable, RETRY_SOON)
        }
    }
}
