//! Decides whether a request may be sent again, and bounds the number of targets that may have run it.

use std::time::Duration;

use crate::BootTime;

/// How one attempt of a request ended, as far as the next one depends on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// Nothing was handed to a link: the router could not be reached, or had no capacity for the body.
    Unsent,
    /// The router beside the target replied that it has not sent the request to its target.
    RefusedByRouter,
    /// The target replied that it has not run the request.
    RefusedByTarget,
    /// The request was handed to a link, and no reply to it says that it has not run. This router concludes
    /// so, because the link ended before it was sent or because it was cancelled over another link.
    AssumedNotRun,
    /// It is unknown whether the target has run the request.
    Uncertain,
    /// The time of the attempt is over; it is unknown whether the target has run the request.
    TimedOut,
}

/// Why a further attempt is allowed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatReason {
    /// The attempt before was not sent.
    Unsent,
    /// The router beside the target refused the attempt before.
    RefusedByRouter,
    /// The target refused the attempt before.
    RefusedByTarget,
    /// The attempt before was cancelled, or its link ended before it was sent.
    AssumedNotRun,
    /// The attempt before may have run, which does no harm as the request is idempotent.
    Idempotent,
}

impl RepeatReason {
    /// Returns the reason code for logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Unsent => "unsent",
            Self::RefusedByRouter => "refused-by-router",
            Self::RefusedByTarget => "refused-by-target",
            Self::AssumedNotRun => "assumed-not-run",
            Self::Idempotent => "idempotent",
        }
    }
}

/// Why no further attempt is allowed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatDenial {
    /// As many targets as the route allows may have run the request.
    AttemptsUsed,
    /// The request was sent to the maximum number of routers.
    RoutersUsed,
    /// The attempt before may have run, and the request must not run twice.
    NotIdempotent,
    /// The time of the request is over.
    TimedOut,
    /// The retry budget of the service is used up.
    BudgetUsed,
}

impl RepeatDenial {
    /// Returns the reason code for logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::AttemptsUsed => "attempts-used",
            Self::RoutersUsed => "routers-used",
            Self::NotIdempotent => "not-idempotent",
            Self::TimedOut => "timed-out",
            Self::BudgetUsed => "budget-used",
        }
    }
}

/// Returns whether a reply that a request was cancelled before its start can be relied on.
///
/// The router beside the target checks that its process has run since the request was sent, from the age that
/// the call to cancel names, and allows for a transit of `max_transit`. A sender that was paused between
/// naming the age and sending the call names one that is too low, so that a restarted process, which does
/// not know what its former one has started, takes itself for the one that got the request.
#[must_use]
pub fn is_cancellation_reliable(
    asked_at: BootTime,
    replied_at: BootTime,
    max_transit: Duration,
) -> bool {
    replied_at.saturating_sub(asked_at) <= max_transit
}

/// The attempts of one request, and how many more are allowed.
///
/// An attempt counts as one that may have run, unless a reply to that attempt says otherwise: the only path
/// to a target is the router beside it, which knows what it has sent. Attempts that this router takes as not
/// run for another reason count too. Such a conclusion makes it safe to send a request that must not
/// run twice, as far as this router can tell; if it is wrong, the number of targets is still bounded.
///
/// ```
/// use anvilrack_core::{AttemptLimit, AttemptOutcome, RepeatDenial, RepeatReason};
///
/// let mut limit = AttemptLimit::new(2, true);
/// limit.begin();
/// assert_eq!(limit.end(AttemptOutcome::RefusedByRouter), Ok(RepeatReason::RefusedByRouter));
/// limit.begin();
/// assert_eq!(limit.end(AttemptOutcome::AssumedNotRun), Ok(RepeatReason::AssumedNotRun));
/// limit.begin();
/// assert_eq!(limit.end(AttemptOutcome::Uncertain), Err(RepeatDenial::AttemptsUsed));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct AttemptLimit {
    max_runs: u32,
    max_routers: u32,
    idempotent: bool,
    attempts: u32,
    possible_runs: u32,
    uncertain: u32,
    has_arrived: bool,
    paid: bool,
}

/// Maximum number of routers that one request is sent to, including those that refuse it.
const MAX_ROUTERS: u32 = 4;

impl AttemptLimit {
    /// Creates the limit of a request that at most `max_runs` targets may run.
    #[must_use]
    pub fn new(max_runs: u32, idempotent: bool) -> Self {
        Self {
            max_runs,
            max_routers: MAX_ROUTERS,
            idempotent,
            attempts: 0,
            possible_runs: 0,
            uncertain: 0,
            has_arrived: false,
            paid: false,
        }
    }

    /// Lets attempts that routers refuse go on until the request's own time limit, as for a key whose owner
    /// changes.
    #[must_use]
    pub fn without_router_limit(self) -> Self {
        Self {
            max_routers: u32::MAX,
            ..self
        }
    }

    /// Records that an attempt begins.
    pub fn begin(&mut self) {
        self.attempts += 1;
    }

    /// Records how the latest attempt ended, and returns why another one is allowed.
    ///
    /// # Errors
    ///
    /// Returns why there must be no further attempt.
    pub fn end(&mut self, outcome: AttemptOutcome) -> Result<RepeatReason, RepeatDenial> {
        match outcome {
            AttemptOutcome::Unsent | AttemptOutcome::RefusedByRouter => {}
            AttemptOutcome::RefusedByTarget => self.on_arrival(),
            AttemptOutcome::AssumedNotRun => self.possible_runs += 1,
            AttemptOutcome::Uncertain | AttemptOutcome::TimedOut => {
                self.possible_runs += 1;
                self.uncertain += 1;
                self.on_arrival();
            }
        }
        self.next(outcome)
    }

    fn next(&self, outcome: AttemptOutcome) -> Result<RepeatReason, RepeatDenial> {
        let max_routers = match outcome {
            AttemptOutcome::Uncertain => MAX_ROUTERS,
            _ => self.max_routers,
        };
        if outcome == AttemptOutcome::TimedOut {
            return Err(RepeatDenial::TimedOut);
        }
        if outcome == AttemptOutcome::Uncertain && !self.idempotent {
            return Err(RepeatDenial::NotIdempotent);
        }
        if self.possible_runs >= self.max_runs {
            return Err(RepeatDenial::AttemptsUsed);
        }
        if self.attempts >= max_routers {
            return Err(RepeatDenial::RoutersUsed);
        }
        Ok(match outcome {
            AttemptOutcome::Unsent => RepeatReason::Unsent,
            AttemptOutcome::RefusedByRouter => RepeatReason::RefusedByRouter,
            AttemptOutcome::RefusedByTarget => RepeatReason::RefusedByTarget,
            AttemptOutcome::AssumedNotRun => RepeatReason::AssumedNotRun,
            AttemptOutcome::Uncertain | AttemptOutcome::TimedOut => RepeatReason::Idempotent,
        })
    }

    /// Returns whether the next attempt would be a repeat: an attempt before may have arrived at a target.
    #[must_use]
    pub fn is_repeat(&self) -> bool {
        self.has_arrived
    }

    /// Returns whether the next attempt has to be paid from the retry budget: it is a repeat, and none was
    /// paid that did not arrive.
    #[must_use]
    pub fn needs_payment(&self) -> bool {
        self.has_arrived && !self.paid
    }

    /// Records that the next repeat was paid.
    pub fn on_paid(&mut self) {
        self.paid = true;
    }

    /// Returns whether a repeat was paid that has not arrived at any target.
    #[must_use]
    pub fn has_unused_payment(&self) -> bool {
        self.paid
    }

    /// Returns the number of attempts.
    #[must_use]
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Returns the number of attempts that may have run.
    #[must_use]
    pub fn possible_runs(&self) -> u32 {
        self.possible_runs
    }

    /// Returns whether it is unknown of an attempt whether it ran.
    #[must_use]
    pub fn is_uncertain(&self) -> bool {
        self.uncertain > 0
    }

    fn on_arrival(&mut self) {
        self.has_arrived = true;
        self.paid = false;
    }
}
