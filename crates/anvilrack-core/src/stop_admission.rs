//! Which requests a stopping router still sends to targets.

use std::time::Duration;

use crate::{BootTime, KindDurations};

/// Time after the signal to stop in which requests are sent that may be cut off in the last sixth of the
/// grace period. Later ones must be answered before the stop ends.
const UNCERTAIN_TIME: Duration = Duration::from_secs(3);

/// Maximum time that the stop's own work takes at the end: the last replies, and the exit of the process on a
/// VM with a tenth of a core.
const FINAL_WORK_TIME: Duration = Duration::from_millis(450);

/// The tail of a new request is taken to be longer by its length divided by this number, since a few requests
/// take longer than the tail of those before.
const TAIL_MARGIN_DIVISOR: u32 = 4;

/// Decides which requests a stopping router still sends to targets, so that the end of the stop aborts none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopAdmission {
    certain_from: BootTime,
    end_at: BootTime,
}

/// A request that is to be sent to a target during a stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopRequest {
    /// Time left until the request times out.
    pub time_left: Duration,
    /// How long requests of its kind take; `None` if that is unknown.
    pub durations: Option<KindDurations>,
    /// Whether the request is a call of a run in progress, which fails if the call is refused.
    pub is_call: bool,
    /// Whether the request must not run twice, so that its caller cannot send it again if it is aborted.
    pub run_once: bool,
}

impl StopAdmission {
    /// Starts a stop at `began_at`; the process is killed when the grace period has passed.
    #[must_use]
    pub fn new(began_at: BootTime, grace: Duration) -> Self {
        Self {
            certain_from: began_at + UNCERTAIN_TIME.min(grace / 2),
            end_at: began_at + Self::max_time(grace),
        }
    }

    /// Returns the time after which a stop has to end, which leaves the rest of the grace period for its
    /// final work.
    #[must_use]
    pub fn max_time(grace: Duration) -> Duration {
        // Requests may be cut off in the last sixth only.
        grace.saturating_sub(FINAL_WORK_TIME.min(grace / 6))
    }

    /// Returns whether a request is sent at the time `now`; otherwise it is refused.
    #[must_use]
    pub fn admits(&self, request: &StopRequest, now: BootTime) -> bool {
        now.saturating_add(self.expected_time(request, now)) <= self.end_at
    }

    /// Returns the time within which a request that is sent now has to be expected to be answered.
    fn expected_time(&self, request: &StopRequest, now: BootTime) -> Duration {
        let expected = if now < self.certain_from {
            // A single long request must not lead to refusals of all the others of its kind.
            request
                .durations
                .map_or(Duration::ZERO, |known| known.median)
        } else if request.run_once {
            Duration::MAX
        } else {
            request.durations.map_or(Duration::MAX, |known| {
                let is_new = !request.is_call;
                let margin = known.tail / TAIL_MARGIN_DIVISOR * u32::from(is_new);
                known.tail + margin
            })
        };
        expected.min(request.time_left)
    }
}
