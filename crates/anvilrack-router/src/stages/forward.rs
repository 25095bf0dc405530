//! Third stage on the caller side: sends the request to the owner's router and retries if that is
//! safe.

use std::thread;
use std::time::Duration;

use anvilrack_core::{
    BootTime, RefusalReason, RequestVerdict, ResendSafety, RetryStep, UncertainReason, events,
    retry_backoff, retry_step,
};
use anvilrack_peer::{LinkClass, PeerError};
use anvilrack_wire::{ForwardRequest, PeerReply, PeerRequest};
use rand::Rng;

use super::resolve::{self, NextHop};
use super::{RETRY_SOON, accept::AcceptedRequest};
use crate::guard_pool::GuardPool;
use crate::retry_limiter::RetrySlot;
use crate::router_context::RouterContext;
use crate::{boot_clock, log_event};

/// Maximum time for which a request that has not run is retried, such as while its shard is between
/// owners.
const ROUTE_WAIT_TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum number of attempts that are sent for one request.
const MAX_ATTEMPTS: u32 = 5;

/// Verdict of a request after its last attempt.
#[derive(Clone, Debug)]
pub struct ForwardOutcome {
    /// Verdict to return to the caller.
    pub verdict: RequestVerdict,
    /// Hop of the last attempt; `None` if nothing was sent.
    pub hop: Option<NextHop>,
    /// Number of attempts that were sent.
    pub attempts: u32,
}

/// Result of one attempt.
struct AttemptOutcome {
    verdict: RequestVerdict,
    link_lost: bool,
}

/// State of a request over all its attempts.
struct RequestAttempts<'a> {
    context: &'a RouterContext,
    guard: &'a GuardPool,
    accepted: &'a AcceptedRequest,
    safety: ResendSafety,
    /// Time after which a request that has not run is no longer retried.
    route_wait_until: BootTime,
    /// Number of attempts that were sent.
    sent: u32,
    /// Number of waits so far, which determines the next backoff.
    backoffs: u32,
    hop: Option<NextHop>,
    /// Hop that refused because the shard is moving away or the router is stopping; nothing more is
    /// sent there.
    moving_from: Option<NextHop>,
    /// Set once an attempt may have run; the final verdict is downgraded accordingly.
    uncertain: Option<UncertainReason>,
    retry_slot: Option<RetrySlot<'a>>,
}

/// Sends a request to its owner, retrying until there is a final verdict.
///
/// A request that has not run is sent again if the reason is transient: an outdated route table or
/// a shard that is moving to another owner. A request that may have run is sent again only if it is
/// idempotent or the owner's at-most-once record prevents a second run.
pub fn process(
    context: &RouterContext,
    guard: &GuardPool,
    accepted: &AcceptedRequest,
) -> ForwardOutcome {
    if let Err(verdict) = check_quarantine(context, &accepted.request) {
        return ForwardOutcome {
            verdict,
            hop: None,
            attempts: 0,
        };
    }
    context.retries.on_first_attempt();
    let mut attempts = RequestAttempts::new(context, guard, accepted);
    loop {
        let outcome = attempts.send_attempt();
        let step = retry_step(&outcome.verdict, attempts.safety, outcome.link_lost);
        attempts.record_verdict(&outcome.verdict);
        if !attempts.wait_for_next_attempt(step, &outcome.verdict) {
            return attempts.finish(outcome.verdict);
        }
    }
}

impl<'a> RequestAttempts<'a> {
    fn new(
        context: &'a RouterContext,
        guard: &'a GuardPool,
        accepted: &'a AcceptedRequest,
    ) -> Self {
        Self {
            context,
            guard,
            accepted,
            safety: resend_safety(&accepted.request),
            route_wait_until: boot_clock::now() + ROUTE_WAIT_TIMEOUT,
            sent: 0,
            backoffs: 0,
            hop: None,
            moving_from: None,
            uncertain: None,
            retry_slot: None,
        }
    }

    fn send_attempt(&mut self) -> AttemptOutcome {
        let refuse = |reason| AttemptOutcome {
            verdict: RequestVerdict::NotRun(reason, RETRY_SOON),
            link_lost: false,
        };
        let hop = match resolve::process(self.context, &self.accepted.request) {
            Ok(hop) => hop,
            Err(reason) => return refuse(reason),
        };
        if self.moving_from.as_ref() == Some(&hop) {
            return refuse(RefusalReason::Moving);
        }
        self.sent += 1;
        let sent_at = boot_clock::now();
        let outcome = send(self.context, self.guard, self.accepted, &hop);
        let request = &self.accepted.request;
        resolve::record_outcome(self.context, request, &hop, sent_at, &outcome.verdict);
        self.hop = Some(hop);
        outcome
    }

    fn record_verdict(&mut self, verdict: &RequestVerdict) {
        match verdict {
            RequestVerdict::MayHaveRun(reason) => self.uncertain = Some(*reason),
            RequestVerdict::NotRun(RefusalReason::Moving | RefusalReason::Stopping, _) => {
                self.moving_from.clone_from(&self.hop);
            }
            _ => {}
        }
    }

    /// Waits until the next attempt is due. Returns `false` at once if there is to be none.
    fn wait_for_next_attempt(&mut self, step: RetryStep, verdict: &RequestVerdict) -> bool {
        let until = match verdict {
            RequestVerdict::MayHaveRun(_) => self.accepted.deadline,
            _ => self.accepted.deadline.min(self.route_wait_until),
        };
        let backoff = retry_backoff(self.backoffs, rand::rng().random());
        if step == RetryStep::ReturnVerdict || boot_clock::now() + backoff >= until {
            return false;
        }
        let allowed = match step {
            RetryStep::SendAgain => self.sent < MAX_ATTEMPTS && self.context.retries.take_retry(),
            _ => true,
        };
        if !allowed || !self.acquire_retry_slot() {
            return false;
        }
        self.backoffs += 1;
        thread::sleep(backoff);
        true
    }

    fn acquire_retry_slot(&mut self) -> bool {
        if self.retry_slot.is_none() {
            self.retry_slot = self.context.retries.acquire_slot();
        }
        self.retry_slot.is_some()
    }

    fn finish(self, verdict: RequestVerdict) -> ForwardOutcome {
        ForwardOutcome {
            verdict: verdict.downgraded_by(self.uncertain),
            hop: self.hop,
            attempts: self.sent,
        }
    }
}

/// Refuses a quarantined request. A request that the at-most-once record covers is not checked here
/// but by its owner, because only the owner knows whether an earlier attempt may have run.
fn check_quarantine(
    context: &RouterContext,
    request: &ForwardRequest,
) -> Result<(), RequestVerdict> {
    match request.effective_idempotency_key() {
        Some(_) => Ok(()),
        None => context.crash_quarantine.check(request),
    }
}

fn resend_safety(request: &ForwardRequest) -> ResendSafety {
    if request.is_idempotent() {
        return ResendSafety::Idempotent;
    }
    match request.effective_idempotency_key() {
        Some(_) => ResendSafety::Recorded,
        None => ResendSafety::Unsafe,
    }
}

fn send(
    context: &RouterContext,
    guard: &GuardPool,
    accepted: &AcceptedRequest,
    hop: &NextHop,
) -> AttemptOutcome {
    let remaining = accepted.deadline.saturating_sub(boot_clock::now());
    if remaining.is_zero() {
        return AttemptOutcome {
            verdict: RequestVerdict::NotRun(RefusalReason::DeadlineTooShort, RETRY_SOON),
            link_lost: false,
        };
    }
    let mut request = accepted.request.clone();
    request.timeout = remaining;
    match hop {
        NextHop::Local => AttemptOutcome {
            verdict: guard.run_on_current_thread(context, &request, accepted.deadline),
            link_lost: false,
        },
        NextHop::Peer(_, address) => {
            let call = PeerRequest::Forward(request);
            let result = context
                .links
                .call(*address, LinkClass::Request, &call, remaining);
            if let Err(error) = &result {
                log_event!(Info, events::PEER_LOST, "peer" = address, "error" = error);
            }
            attempt_outcome(result)
        }
    }
}

/// Maps the result of a peer call to a verdict, and to whether the link to the peer was lost.
fn attempt_outcome(result: Result<PeerReply, PeerError>) -> AttemptOutcome {
    let lost = |reason| (RequestVerdict::MayHaveRun(reason), true);
    let (verdict, link_lost) = match result {
        Ok(PeerReply::Forwarded(reply)) => (reply.into(), false),
        Ok(_) | Err(PeerError::Unanswered(_) | PeerError::SilentLink) => {
            lost(UncertainReason::ConnectionLost)
        }
        Err(PeerError::TimedOut) => lost(UncertainReason::TimedOut),
        Err(PeerError::NotSent(_)) => {
            let reason = RefusalReason::OwnerUnreachable;
            (RequestVerdict::NotRun(reason, RETRY_SOON), false)
        }
    };
    AttemptOutcome { verdict, link_lost }
}
