//! Is a target sick? Judged by what the observer itself has seen.

use std::time::Duration;

use crate::BootTime;

/// Failures one after another that make a target suspect.
const FAILURE_RUN: u32 = 3;

/// Shortest silence, with requests under way, that makes a target suspect.
const STALL_LEAST: Duration = Duration::from_millis(500);

/// Silence is judged against this many usual latencies.
const STALL_LATENCIES: u32 = 8;

/// With a hint from a health or load endpoint, this part of the evidence is enough, as a divisor.
const HINT_FACTOR: u32 = 2;

/// Time until the first probe of a suspect.
const FIRST_PAUSE: Duration = Duration::from_secs(1);

/// Longest time between two probes.
const LONGEST_PAUSE: Duration = Duration::from_secs(30);

/// A target that was well for this long starts again at the shortest pause.
const FORGIVE_AFTER: Duration = Duration::from_mins(1);

/// What one observer knows of one target's health.
///
/// Only the observer's own requests count: answers, failures and silence. A hint makes a suspicion
/// come sooner, but neither makes one by itself nor clears one. Each relapse within a minute doubles
/// the pause, so a target that is well and sick by turns gets little work.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TargetHealth {
    in_flight: u32,
    failures: u32,
    /// Since when requests have been under way without any answer.
    silent_since: Option<BootTime>,
    hinted: bool,
    suspicion: Option<Suspicion>,
    last_pause: Duration,
    well_since: BootTime,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Suspicion {
    probe_at: BootTime,
    probing: bool,
}

/// How one request to a target ended, for its health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthOutcome {
    /// It was answered.
    Answered,
    /// It was not: a timeout, a broken or refused connection, an answer cut short.
    Failed,
    /// It did not reach the target, which tells nothing.
    NotTried,
}

impl TargetHealth {
    /// A request goes to the target.
    pub fn begin(&mut self, now: BootTime) {
        self.in_flight += 1;
        self.silent_since.get_or_insert(now);
        if let Some(suspicion) = &mut self.suspicion {
            suspicion.probing |= now >= suspicion.probe_at;
        }
    }

    /// A request is over.
    pub fn end(&mut self, outcome: HealthOutcome, now: BootTime) {
        self.in_flight = self.in_flight.saturating_sub(1);
        match outcome {
            HealthOutcome::Answered => self.on_answer(now),
            HealthOutcome::Failed => self.on_failure(now),
            HealthOutcome::NotTried => self.put_off_probe(now),
        }
        if self.in_flight == 0 {
            self.silent_since = None;
        }
    }

    /// What the target's own endpoints say; `true` where they say that it is sick.
    pub fn hint(&mut self, sick: bool) {
        self.hinted = sick;
    }

    /// Looks for silence; `latency` is the usual one.
    pub fn look(&mut self, latency: Duration, now: BootTime) {
        let usual = STALL_LEAST.max(latency * STALL_LATENCIES);
        let limit = usual / self.divisor();
        let silent = self.silent_since.is_some_and(|since| now >= since + limit);
        if silent && self.suspicion.is_none() {
            self.suspect(now);
        }
    }

    /// True while the target should get no work.
    #[must_use]
    pub fn is_suspect(&self) -> bool {
        self.suspicion.is_some()
    }

    /// True where one idempotent request may go to a suspect to see whether it is well again.
    #[must_use]
    pub fn may_probe(&self, now: BootTime) -> bool {
        let suspicion = self.suspicion.as_ref();
        suspicion.is_some_and(|suspicion| !suspicion.probing && now >= suspicion.probe_at)
    }

    fn on_answer(&mut self, now: BootTime) {
        self.failures = 0;
        self.silent_since = Some(now);
        // An answer from before the suspicion's pause is over may be the last of an old run.
        if self.suspicion.is_some_and(|suspicion| suspicion.probing) {
            self.suspicion = None;
            self.well_since = now;
        }
    }

    fn on_failure(&mut self, now: BootTime) {
        self.failures += 1;
        let probed = self.suspicion.is_some_and(|suspicion| suspicion.probing);
        let enough = self.failures >= FAILURE_RUN.div_ceil(self.divisor());
        if probed || (enough && self.suspicion.is_none()) {
            self.suspect(now);
        }
    }

    /// A probe that did not reach the target is made again after the same pause, or each request
    /// would be tried on the suspect in turn.
    fn put_off_probe(&mut self, now: BootTime) {
        if let Some(suspicion) = self.suspicion.as_mut().filter(|known| known.probing) {
            suspicion.probing = false;
            suspicion.probe_at = now + self.last_pause;
        }
    }

    fn suspect(&mut self, now: BootTime) {
        let relapsed = self.suspicion.is_some() || now < self.well_since + FORGIVE_AFTER;
        let doubled = (self.last_pause * 2).min(LONGEST_PAUSE);
        let pause = if relapsed { doubled } else { FIRST_PAUSE };
        self.last_pause = pause.max(FIRST_PAUSE);
        self.failures = 0;
        self.suspicion = Some(Suspicion {
            probe_at: now + self.last_pause,
            probing: false,
        });
    }

    fn divisor(&self) -> u32 {
        if self.hinted { HINT_FACTOR } else { 1 }
    }
}
