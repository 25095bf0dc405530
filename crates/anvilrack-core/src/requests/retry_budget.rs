//! Decides whether and when a request is sent again.

use std::time::Duration;

use crate::{RefusalReason, RequestVerdict, UncertainReason};

/// Thousandths of a retry.
type RetryMilli = u64;

/// One retry, in thousandths.
const ONE_RETRY: RetryMilli = 1_000;

/// Budget that each first attempt adds: one retry per ten first attempts.
const RETRY_SHARE: RetryMilli = 100;

/// Maximum budget that can accumulate.
const MAX_SAVED: RetryMilli = 50 * ONE_RETRY;

/// Average pause before the first retry.
const INITIAL_PAUSE: Duration = Duration::from_millis(20);

/// Maximum average pause between two attempts.
const MAX_PAUSE: Duration = Duration::from_millis(200);

/// Limits the retries of a router to a share of its first attempts, plus a small reserve.
///
/// If all requests fail, retries add at most a tenth to the load.
///
/// ```
/// let mut budget = anvilrack_core::RetryBudget::new();
/// budget.on_first_attempt();
/// assert!(budget.take_retry());
/// ```
#[derive(Clone, Debug)]
pub struct RetryBudget {
    saved: RetryMilli,
    max_saved: RetryMilli,
    share: RetryMilli,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}

impl RetryBudget {
    /// Creates a budget that starts with the maximum reserve.
    #[must_use]
    pub fn new() -> Self {
        Self {
            saved: MAX_SAVED,
            max_saved: MAX_SAVED,
            share: RETRY_SHARE,
        }
    }

    /// Sets the maximum reserve, for a limit that many routers share.
    #[must_use]
    pub fn with_max_saved(mut self, retries: u32) -> Self {
        self.max_saved = RetryMilli::from(retries) * ONE_RETRY;
        self.saved = self.saved.min(self.max_saved);
        self
    }

    /// Sets how many retries a thousand first attempts add.
    #[must_use]
    pub fn with_share(mut self, per_thousand: u32) -> Self {
        self.share = RetryMilli::from(per_thousand);
        self
    }

    /// Records the first attempt of a request.
    pub fn on_first_attempt(&mut self) {
        self.saved = self.max_saved.min(self.saved + self.share);
    }

    /// Takes one retry from the budget; returns `false` if none is left.
    pub fn take_retry(&mut self) -> bool {
        let Some(remaining) = self.saved.checked_sub(ONE_RETRY) else {
            return false;
        };
        self.saved = remaining;
        true
    }

    /// Gives back a retry that was taken and then not sent.
    pub fn give_back(&mut self) {
        self.saved = self.max_saved.min(self.saved + ONE_RETRY);
    }

    /// Returns the thousandths of retries that are left.
    #[must_use]
    pub fn saved(&self) -> u64 {
        self.saved
    }
}

/// Returns the pause before a retry; `retry` counts from zero and `jitter` lies between 0 and 1.
///
/// The average doubles with each retry up to a maximum. Each pause lies between 0.5 and 1.5 times
/// its average.
#[must_use]
pub fn retry_backoff(retry: u32, jitter: f64) -> Duration {
    let factor = 1_u32.checked_shl(retry).unwrap_or(u32::MAX);
    let average = INITIAL_PAUSE.saturating_mul(factor).min(MAX_PAUSE);
    average.mul_f64(0.5 + jitter.clamp(0.0, 1.0))
}

/// Whether a request that may have run can safely be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResendSafety {
    /// Running the request twice does no harm.
    Idempotent,
    /// The owner recognises a duplicate by its at-most-once record.
    Recorded,
    /// The request must not be sent again.
    Unsafe,
}

/// What to do after an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryStep {
    /// Return the verdict to the caller.
    ReturnVerdict,
    /// Wait until the route of the shard changes before the next attempt.
    WaitForRoute,
    /// Send the request again, if the retry budget allows it.
    SendAgain,
}

/// Returns what to do after an attempt that ended in `verdict`.
///
/// `link_lost` is `true` if the link to the other router failed, not its target. That router may
/// then have an outcome in its at-most-once record that this router does not know.
#[must_use]
pub fn retry_step(verdict: &RequestVerdict, safety: ResendSafety, link_lost: bool) -> RetryStep {
    match verdict {
        RequestVerdict::Ran(_) => RetryStep::ReturnVerdict,
        RequestVerdict::NotRun(reason, _) => step_after_refusal(*reason),
        RequestVerdict::MayHaveRun(reason) => {
            let allowed = match safety {
                ResendSafety::Idempotent => true,
                ResendSafety::Recorded => link_lost,
                ResendSafety::Unsafe => false,
            };
            let transient = matches!(
                reason,
                UncertainReason::ConnectionLost | UncertainReason::AnswerCutShort
            );
            if allowed && transient {
                RetryStep::SendAgain
            } else {
                RetryStep::ReturnVerdict
            }
        }
    }
}

fn step_after_refusal(reason: RefusalReason) -> RetryStep {
    match reason {
        RefusalReason::NoOwner | RefusalReason::Moving | RefusalReason::Stopping => {
            RetryStep::WaitForRoute
        }
        RefusalReason::NotOwner | RefusalReason::LeaseEnded | RefusalReason::OwnerUnreachable => {
            RetryStep::SendAgain
        }
        _ => RetryStep::ReturnVerdict,
    }
}
