//! When a request is sent again, and how often.

use std::time::Duration;

use crate::{RefusalReason, RequestVerdict, UncertainReason};

/// Thousandths of a retry.
type RetryMilli = u64;

/// One whole retry.
const WHOLE_RETRY: RetryMilli = 1_000;

/// What each first try adds: one retry for ten first tries.
const RETRY_SHARE: RetryMilli = 100;

/// Most that is saved up.
const SAVED_LIMIT: RetryMilli = 50 * WHOLE_RETRY;

/// Pause before the first retry, on average.
const FIRST_PAUSE: Duration = Duration::from_millis(20);

/// Longest pause between two tries, on average.
const LONGEST_PAUSE: Duration = Duration::from_millis(200);

/// How many retries a router may send: a share of its first tries, with a little saved up.
///
/// Where everything fails, retries add a tenth to the load and no more.
///
/// ```
/// let mut budget = anvilrack_core::RetryBudget::new();
/// budget.on_first_try();
/// assert!(budget.take_retry());
/// ```
#[derive(Clone, Debug)]
pub struct RetryBudget {
    saved: RetryMilli,
    limit: RetryMilli,
    share: RetryMilli,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}

impl RetryBudget {
    /// Starts with all that may be saved up.
    #[must_use]
    pub fn new() -> Self {
        Self {
            saved: SAVED_LIMIT,
            limit: SAVED_LIMIT,
            share: RETRY_SHARE,
        }
    }

    /// Saves up that many retries at most, for a limit that many routers share.
    #[must_use]
    pub fn with_saved(mut self, retries: u32) -> Self {
        self.limit = RetryMilli::from(retries) * WHOLE_RETRY;
        self.saved = self.saved.min(self.limit);
        self
    }

    /// Adds that many retries for a thousand first tries.
    #[must_use]
    pub fn with_share(mut self, per_thousand: u32) -> Self {
        self.share = RetryMilli::from(per_thousand);
        self
    }

    /// Counts a request that is sent for the first time.
    pub fn on_first_try(&mut self) {
        self.saved = self.limit.min(self.saved + self.share);
    }

    /// Takes one retry, if there is one left.
    pub fn take_retry(&mut self) -> bool {
        let Some(left) = self.saved.checked_sub(WHOLE_RETRY) else {
            return false;
        };
        self.saved = left;
        true
    }
}

/// Pause before a retry; `retry` counts from zero and `jitter` lies between 0 and 1.
///
/// Pauses double up to a limit, and each lies between a half and one and a half of its average.
#[must_use]
pub fn retry_pause(retry: u32, jitter: f64) -> Duration {
    let factor = 1_u32.checked_shl(retry).unwrap_or(u32::MAX);
    let average = FIRST_PAUSE.saturating_mul(factor).min(LONGEST_PAUSE);
    average.mul_f64(0.5 + jitter.clamp(0.0, 1.0))
}

/// Whether a request that may have run can be sent again without harm.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResendSafety {
    /// Running it twice does no harm.
    Idempotent,
    /// The at-most-once record at the owner knows it again.
    Recorded,
    /// It must not be sent again.
    Unsafe,
}

/// What comes after a try.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryStep {
    /// Tell the caller.
    Tell,
    /// Look again who owns the shard; send nothing until that has changed.
    AwaitRoute,
    /// Send it again, out of the retry budget.
    SendAgain,
}

/// What comes after a try that ended in `verdict`.
///
/// `link_lost` is true where the link to the other router failed rather than its target: then the
/// record there, if there is one, knows more than this router.
#[must_use]
pub fn retry_step(verdict: &RequestVerdict, safety: ResendSafety, link_lost: bool) -> RetryStep {
    match verdict {
        RequestVerdict::Ran(_) => RetryStep::Tell,
        RequestVerdict::NotRun(reason, _) => step_after_refusal(*reason),
        RequestVerdict::MayHaveRun(reason) => {
            let allowed = match safety {
                ResendSafety::Idempotent => true,
                ResendSafety::Recorded => link_lost,
                ResendSafety::Unsafe => false,
            };
            let may_pass = matches!(
                reason,
                UncertainReason::ConnectionLost | UncertainReason::AnswerCutShort
            );
            if allowed && may_pass {
                RetryStep::SendAgain
            } else {
                RetryStep::Tell
            }
        }
    }
}

fn step_after_refusal(reason: RefusalReason) -> RetryStep {
    match reason {
        RefusalReason::NoOwner | RefusalReason::Moving | RefusalReason::Stopping => {
            RetryStep::AwaitRoute
        }
        RefusalReason::NotOwner | RefusalReason::LeaseEnded | RefusalReason::OwnerUnreachable => {
            RetryStep::SendAgain
        }
        _ => RetryStep::Tell,
    }
}
