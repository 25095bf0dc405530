//! Third stage: to the router beside the owner, and again where that is harmless.

use std::thread;
use std::time::Duration;

use anvilrack_core::{
    BootTime, RefusalReason, RequestVerdict, ResendSafety, RetryStep, UncertainReason, events,
    retry_pause, retry_step,
};
use anvilrack_peer::{LinkClass, PeerError};
use anvilrack_wire::{ForwardRequest, PeerReply, PeerRequest};
use rand::Rng;

use super::resolve::{self, NextHop};
use super::{RETRY_SOON, accept::AcceptedRequest};
use crate::guard_pool::GuardPool;
use crate::retry_keeper::WaitPlace;
use crate::router_context::RouterContext;
use crate::{boot_clock, log_event};

/// How long a request waits at its router for a shard that is between owners.
const ROUTE_PATIENCE: Duration = Duration::from_millis(400);

/// Most tries of one request that go out.
const SEND_LIMIT: u32 = 5;

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

/// How one try ended.
struct TryOutcome {
    verdict: RequestVerdict,
    link_lost: bool,
}

/// A request under way, over all its tries.
struct RequestTries<'a> {
    context: &'a RouterContext,
    guard: &'a GuardPool,
    accepted: &'a AcceptedRequest,
    safety: ResendSafety,
    route_until: BootTime,
    sends: u32,
    pauses: u32,
    hop: Option<NextHop>,
    /// The owner that is giving the shard away: nothing is sent there any more.
    moving_from: Option<NextHop>,
    /// Set once a try may have run; from then on nothing stronger is told.
    uncertain: Option<UncertainReason>,
    place: Option<WaitPlace<'a>>,
}

/// Sends a request to its owner until there is a verdict to tell.
///
/// A request that surely has not run is sent again where the reason may pass within a moment: a
/// table that is behind, a shard on its way to another owner. One that may have run is sent again
/// only where running it twice does no harm or the owner's record prevents it.
pub fn process(
    context: &RouterContext,
    guard: &GuardPool,
    accepted: &AcceptedRequest,
) -> ForwardOutcome {
    if let Err(verdict) = check_quarantine(context, &accepted.request) {
        return ForwardOutcome {
            verdict,
            hop: None,
            tries: 0,
        };
    }
    context.retries.on_first_try();
    let mut tries = RequestTries::new(context, guard, accepted);
    loop {
        let outcome = tries.try_once();
        let step = retry_step(&outcome.verdict, tries.safety, outcome.link_lost);
        tries.note(&outcome.verdict);
        if !tries.go_on(step, &outcome.verdict) {
            return tries.finish(outcome.verdict);
        }
    }
}

impl<'a> RequestTries<'a> {
    fn new(
        context: &'a RouterContext,
        guard: &'a GuardPool,
        accepted: &'a AcceptedRequest,
    ) -> Self {
        Self {
            context,
            guard,
            accepted,
            safety: safety_of(&accepted.request),
            route_until: boot_clock::now() + ROUTE_PATIENCE,
            sends: 0,
            pauses: 0,
            hop: None,
            moving_from: None,
            uncertain: None,
            place: None,
        }
    }

    fn try_once(&mut self) -> TryOutcome {
        let refuse = |reason| TryOutcome {
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
        self.sends += 1;
        let sent_at = boot_clock::now();
        let outcome = send(self.context, self.guard, self.accepted, &hop);
        let request = &self.accepted.request;
        resolve::record(self.context, request, &hop, sent_at, &outcome.verdict);
        self.hop = Some(hop);
        outcome
    }

    fn note(&mut self, verdict: &RequestVerdict) {
        match verdict {
            RequestVerdict::MayHaveRun(reason) => self.uncertain = Some(*reason),
            RequestVerdict::NotRun(RefusalReason::Moving | RefusalReason::Stopping, _) => {
                self.moving_from.clone_from(&self.hop);
            }
            _ => {}
        }
    }

    /// Waits for the next try; `false` where the request is given up, at once.
    fn go_on(&mut self, step: RetryStep, verdict: &RequestVerdict) -> bool {
        let until = match verdict {
            RequestVerdict::MayHaveRun(_) => self.accepted.deadline,
            _ => self.accepted.deadline.min(self.route_until),
        };
        let pause = retry_pause(self.pauses, rand::rng().random());
        if step == RetryStep::Tell || boot_clock::now() + pause >= until {
            return false;
        }
        let allowed = match step {
            RetryStep::SendAgain => self.sends < SEND_LIMIT && self.context.retries.take_retry(),
            _ => true,
        };
        if !allowed || !self.find_place() {
            return false;
        }
        self.pauses += 1;
        thread::sleep(pause);
        true
    }

    fn find_place(&mut self) -> bool {
        if self.place.is_none() {
            self.place = self.context.retries.enter();
        }
        self.place.is_some()
    }

    fn finish(self, verdict: RequestVerdict) -> ForwardOutcome {
        ForwardOutcome {
            verdict: verdict.weakened_by(self.uncertain),
            hop: self.hop,
            tries: self.sends,
        }
    }
}

/// Refuses a request that crashes targets; one with an entry in the record is left to its owner,
/// which alone can tell whether it may have run.
fn check_quarantine(
    context: &RouterContext,
    request: &ForwardRequest,
) -> Result<(), RequestVerdict> {
    match request.recorded_key() {
        Some(_) => Ok(()),
        None => context.crashes.check(request),
    }
}

fn safety_of(request: &ForwardRequest) -> ResendSafety {
    if request.is_idempotent() {
        return ResendSafety::Idempotent;
    }
    match request.recorded_key() {
        Some(_) => ResendSafety::Recorded,
        None => ResendSafety::Unsafe,
    }
}

fn send(
    context: &RouterContext,
    guard: &GuardPool,
    accepted: &AcceptedRequest,
    hop: &NextHop,
) -> TryOutcome {
    let left = accepted.deadline.saturating_sub(boot_clock::now());
    if left.is_zero() {
        return TryOutcome {
            verdict: RequestVerdict::NotRun(RefusalReason::DeadlineTooShort, RETRY_SOON),
            link_lost: false,
        };
    }
    let mut request = accepted.request.clone();
    request.timeout = left;
    match hop {
        NextHop::Here => TryOutcome {
            verdict: guard.run_here(context, &request, accepted.deadline),
            link_lost: false,
        },
        NextHop::Peer(_, address) => {
            let call = PeerRequest::Forward(request);
            let answer = context
                .links
                .call(*address, LinkClass::Request, &call, left);
            if let Err(error) = &answer {
                log_event!(Info, events::PEER_LOST, "peer" = address, "error" = error);
            }
            outcome_of(answer)
        }
    }
}

/// Each way a peer call can end, mapped once.
fn outcome_of(answer: Result<PeerReply, PeerError>) -> TryOutcome {
    let lost = |reason| (RequestVerdict::MayHaveRun(reason), true);
    let (verdict, link_lost) = match answer {
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
    TryOutcome { verdict, link_lost }
}
