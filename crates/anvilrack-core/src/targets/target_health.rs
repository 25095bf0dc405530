//! Detects unhealthy targets from the requests of one observer.

use std::time::Duration;

use crate::BootTime;

/// Number of consecutive failures that makes a target suspect.
const FAILURE_THRESHOLD: u32 = 3;

/// Minimum time without a response, with requests in progress, that makes a target suspect.
const MIN_STALL_TIMEOUT: Duration = Duration::from_millis(500);

/// A target is stalled if it does not respond for this many times its usual latency.
const STALL_LATENCY_FACTOR: u32 = 8;

/// Divisor for the evidence needed if a health or load endpoint hints at a problem.
const HINT_DIVISOR: u32 = 2;

/// Delay before the first probe of a suspect.
const INITIAL_PROBE_DELAY: Duration = Duration::from_secs(1);

/// Maximum delay between two probes.
const MAX_PROBE_DELAY: Duration = Duration::from_secs(30);

/// A target that was healthy for this long starts again with the shortest probe delay.
const RELAPSE_WINDOW: Duration = Duration::from_mins(1);

/// The health of one target as one observer sees it.
///
/// Only the observer's own requests count: responses, failures and stalls. A hint lowers the
/// threshold for suspicion, but neither causes nor clears one on its own. Each relapse within a
/// minute doubles the probe delay, so that a target that keeps alternating between healthy and
/// unhealthy gets few requests.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TargetHealth {
    in_flight: u32,
    failures: u32,
    /// Since when requests have been in progress without any response.
    unanswered_since: Option<BootTime>,
    hinted: bool,
    suspicion: Option<Suspicion>,
    probe_delay: Duration,
    healthy_since: BootTime,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Suspicion {
    probe_at: BootTime,
    probing: bool,
}

/// How a request to a target ended, for the target's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthOutcome {
    /// The target responded.
    Answered,
    /// The target did not respond: a timeout, a broken or refused connection, or an incomplete
    /// response.
    Failed,
    /// The request did not reach the target, so it says nothing about its health.
    NotReached,
}

impl TargetHealth {
    /// Records that a request is sent to the target.
    pub fn begin(&mut self, now: BootTime) {
        self.in_flight += 1;
        self.unanswered_since.get_or_insert(now);
        if let Some(suspicion) = &mut self.suspicion {
            suspicion.probing |= now >= suspicion.probe_at;
        }
    }

    /// Records the end of a request.
    pub fn end(&mut self, outcome: HealthOutcome, now: BootTime) {
        self.in_flight = self.in_flight.saturating_sub(1);
        match outcome {
            HealthOutcome::Answered => self.on_answer(now),
            HealthOutcome::Failed => self.on_failure(now),
            HealthOutcome::NotReached => self.postpone_probe(now),
        }
        if self.in_flight == 0 {
            self.unanswered_since = None;
        }
    }

    /// Sets the hint from the target's own endpoints; `true` if they report a problem.
    pub fn set_unhealthy_hint(&mut self, unhealthy: bool) {
        self.hinted = unhealthy;
    }

    /// Checks whether the target has stalled; `latency` is its usual latency.
    pub fn check_stall(&mut self, latency: Duration, now: BootTime) {
        let full_timeout = MIN_STALL_TIMEOUT.max(latency * STALL_LATENCY_FACTOR);
        let timeout = full_timeout / self.evidence_divisor();
        let stalled = self
            .unanswered_since
            .is_some_and(|since| now >= since + timeout);
        if stalled && self.suspicion.is_none() {
            self.mark_suspect(now);
        }
    }

    /// Returns whether the target should get no requests except probes.
    #[must_use]
    pub fn is_suspect(&self) -> bool {
        self.suspicion.is_some()
    }

    /// Returns whether one idempotent request may go to a suspect target as a probe.
    #[must_use]
    pub fn may_probe(&self, now: BootTime) -> bool {
        let suspicion = self.suspicion.as_ref();
        suspicion.is_some_and(|suspicion| !suspicion.probing && now >= suspicion.probe_at)
    }

    fn on_answer(&mut self, now: BootTime) {
        self.failures = 0;
        self.unanswered_since = Some(now);
        // Before a probe, a response may belong to a request that was sent before the suspicion.
        if self.suspicion.is_some_and(|suspicion| suspicion.probing) {
            self.suspicion = None;
            self.healthy_since = now;
        }
    }

    fn on_failure(&mut self, now: BootTime) {
        self.failures += 1;
        let probed = self.suspicion.is_some_and(|suspicion| suspicion.probing);
        let threshold_reached =
            self.failures >= FAILURE_THRESHOLD.div_ceil(self.evidence_divisor());
        if probed || (threshold_reached && self.suspicion.is_none()) {
            self.mark_suspect(now);
        }
    }

    /// Delays the next probe after one that did not reach the target. Otherwise each request would
    /// be tried on the suspect first.
    fn postpone_probe(&mut self, now: BootTime) {
        if let Some(suspicion) = self.suspicion.as_mut().filter(|known| known.probing) {
            suspicion.probing = false;
            suspicion.probe_at = now + self.probe_delay;
        }
    }

    fn mark_suspect(&mut self, now: BootTime) {
        let relapsed = self.suspicion.is_some() || now < self.healthy_since + RELAPSE_WINDOW;
        let doubled = (self.probe_delay * 2).min(MAX_PROBE_DELAY);
        let delay = if relapsed {
            doubled
        } else {
            INITIAL_PROBE_DELAY
        };
        self.probe_delay = delay.max(INITIAL_PROBE_DELAY);
        self.failures = 0;
        self.suspicion = Some(Suspicion {
            probe_at: now + self.probe_delay,
            probing: false,
        });
    }

    fn evidence_divisor(&self) -> u32 {
        if self.hinted { HINT_DIVISOR } else { 1 }
    }
}
