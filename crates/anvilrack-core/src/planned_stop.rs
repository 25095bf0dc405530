//! Planned stop of a router beside a target that goes on running.

use std::time::Duration;

use crate::BootTime;

/// Time in which callers are told that the router is not ready and go to others.
///
/// It covers two checks of the readiness at an interval of a second, and the requests that were sent
/// before the second one took effect.
const CALLERS_LEAVE_TIME: Duration = Duration::from_millis(2_800);

/// Time for which a connection that is being closed may still carry a request.
///
/// It covers the time for which idle connections stay open.
const SETTLE_TIME: Duration = Duration::from_millis(450);

/// Time at the end of a stop for refusing the requests that have not started.
///
/// It covers a cancellation at another router and the response to the caller.
const LAST_REFUSALS_TIME: Duration = Duration::from_millis(500);

/// Phases of a planned stop, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopPhase {
    /// Callers leave; the target is served as before.
    Leaving,
    /// Callers' connections are closed once they are idle; the target is still served.
    Disconnecting,
    /// The target gets no new requests and finishes those that it runs.
    Withdrawn,
    /// The listener for callers is closed. The target needs it for its calls until it is idle.
    Closing,
    /// Requests that have not started are refused.
    Ending,
    /// The process may end.
    Finished,
}

/// What a router still has to finish before it ends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StopBacklog {
    /// Number of callers' requests without a response.
    pub open_requests: usize,
    /// Number of callers' connections.
    pub open_connections: usize,
    /// Number of requests that the target runs.
    pub running: usize,
    /// Whether keys of a target that has ended still have no next owner.
    pub handing_over: bool,
}

/// Decides when a stopping router withdraws its target, closes its listener for callers and ends.
///
/// The target is healthy and will be served by the next process, so it is withdrawn as late as possible. It
/// then goes without requests during the restart only, and not during the stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedStop {
    began_at: BootTime,
    max_time: Duration,
    closing_at: Option<BootTime>,
}

impl PlannedStop {
    /// Starts a stop that has to end within `max_time`.
    #[must_use]
    pub fn new(began_at: BootTime, max_time: Duration) -> Self {
        Self {
            began_at,
            max_time,
            closing_at: None,
        }
    }

    /// Returns the phase at the time `now`.
    pub fn phase(&mut self, backlog: StopBacklog, now: BootTime) -> StopPhase {
        let elapsed = now.saturating_sub(self.began_at);
        let disconnect_after = CALLERS_LEAVE_TIME.min(self.max_time * 3 / 5);
        if elapsed < disconnect_after {
            return StopPhase::Leaving;
        }
        let withdraw_after = (disconnect_after + SETTLE_TIME).min(self.max_time * 2 / 3);
        if elapsed < withdraw_after {
            return StopPhase::Disconnecting;
        }
        let ending_after = self.max_time.saturating_sub(LAST_REFUSALS_TIME);
        // Until then, the calls of runs in progress need the listener.
        let must_close = elapsed >= ending_after;
        if self.closing_at.is_none() && (backlog.running == 0 || must_close) {
            self.closing_at = Some(now);
        }
        // Connections that were pending when the listener closed are counted from the next look on.
        let is_settled = self.closing_at.is_some_and(|at| {
            now > at && (backlog.open_connections == 0 || now >= at + SETTLE_TIME)
        });
        if elapsed >= self.max_time || (is_settled && backlog.is_empty()) {
            StopPhase::Finished
        } else if elapsed >= ending_after {
            StopPhase::Ending
        } else if self.closing_at.is_some() {
            StopPhase::Closing
        } else {
            StopPhase::Withdrawn
        }
    }
}

impl StopBacklog {
    /// Returns true if nothing is in progress; connections may be idle.
    fn is_empty(&self) -> bool {
        self.open_requests == 0 && self.running == 0 && !self.handing_over
    }
}
