//! Quarantine for requests that crash the targets that run them.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::RangeInclusive;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::bounded_duration;
use crate::{BootTime, fingerprint_of};

/// Fingerprint of a request, equal for all resends of it.
pub type RequestFingerprint = u64;

/// Identifies one crash of one target; equal for all requests that the crash interrupted.
pub type CrashId = u64;

/// Number of crashes after which a request is quarantined.
const QUARANTINE_THRESHOLD: usize = 2;

/// Duration of the quarantine after the crash that reached the threshold.
const INITIAL_QUARANTINE: Duration = Duration::from_mins(2);

/// Factor by which the quarantine grows with each further crash.
const QUARANTINE_GROWTH_FACTOR: u32 = 8;

/// Maximum duration of a quarantine.
const MAX_QUARANTINE: Duration = Duration::from_hours(24);

/// How long the crashes of a request are kept after the latest one.
const OBSERVATION_RETENTION: Duration = Duration::from_hours(48);

/// Maximum number of crash observations kept; disproved ones are removed first, then the oldest.
const MAX_OBSERVATIONS: usize = 1_024;

/// Maximum number of crash observations in one message, or in the store.
const MAX_REPORTED_OBSERVATIONS: usize = 128;

/// Observation that a request was running at a target when that target crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashObservation {
    /// The request.
    pub request: RequestFingerprint,
    /// The crash.
    pub crash: CrashId,
    /// Time since the crash was detected.
    #[serde(deserialize_with = "bounded_duration")]
    pub age: Duration,
    /// Whether a completed run of the request has shown that it did not cause the crash.
    pub disproved: bool,
}

/// Crash observations that routers exchange in their heartbeats.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Digest of all observations that the sender has.
    pub digest: u64,
    /// The newest observations; empty if the receiver is known to have the same set.
    pub marks: Vec<CrashObservation>,
}

/// Tracks requests that were running when targets crashed, and quarantines those seen at several crashes.
///
/// Every request that a crash interrupted is a suspect, because the one that caused it cannot be identified.
/// A request that did not cause the crash is rarely running at a second one; if it is, its quarantine is
/// short. A request that does cause crashes is quarantined after the second one, and for longer after each
/// further one. Each completed run of a suspect disproves its latest crash.
#[derive(Clone, Debug)]
pub struct CrashQuarantine {
    name: Vec<u8>,
    crashes: u64,
    last_crash: Option<(BootTime, CrashId)>,
    observations: BTreeMap<(RequestFingerprint, CrashId), ObservedCrash>,
}

#[derive(Clone, Copy, Debug)]
struct ObservedCrash {
    at: BootTime,
    disproved: bool,
    /// Whether this router has detected the crash itself.
    detected_here: bool,
}

impl CrashQuarantine {
    /// Creates an empty quarantine; `name` must be unique among all runs of all routers.
    #[must_use]
    pub fn new(name: &str) -> Self {
        Self {
            name: name.as_bytes().to_vec(),
            crashes: 0,
            last_crash: None,
            observations: BTreeMap::new(),
        }
    }

    /// Records that a request sent to the target at `started_at` was interrupted by a crash of the target
    /// that was detected at `now`.
    ///
    /// Returns the number of crashes at which the request was running.
    pub fn on_crash(
        &mut self,
        request: RequestFingerprint,
        started_at: BootTime,
        now: BootTime,
    ) -> usize {
        let crash = match self.last_crash {
            // The request was already running when the last crash was detected, so it is the same crash.
            Some((detected_at, crash)) if started_at <= detected_at => crash,
            _ => self.next_crash(now),
        };
        self.remove_expired(now);
        let observed = ObservedCrash {
            at: now,
            disproved: false,
            detected_here: true,
        };
        self.observations.insert((request, crash), observed);
        self.remove_excess();
        self.crash_times(request).count()
    }

    /// Records that a target ran the request to its end, which disproves the latest crash at which it was
    /// running.
    ///
    /// Returns false if there is none.
    pub fn on_completed(&mut self, request: RequestFingerprint) -> bool {
        let crashes = self.observations.range_mut(all_crashes(request));
        let suspected = crashes.filter(|(_, crash)| !crash.disproved);
        let latest = suspected.max_by_key(|(_, crash)| crash.at);
        latest.is_some_and(|(_, crash)| {
            crash.disproved = true;
            true
        })
    }

    /// Returns true if the request was running at a crash that no completed run has disproved.
    #[must_use]
    pub fn is_suspect(&self, request: RequestFingerprint) -> bool {
        self.crash_times(request).next().is_some()
    }

    /// Returns the remaining quarantine of the request, or `None` if it may run.
    #[must_use]
    pub fn remaining_quarantine(
        &self,
        request: RequestFingerprint,
        now: BootTime,
    ) -> Option<Duration> {
        let count = self.crash_times(request).count();
        let extra_crashes = count.checked_sub(QUARANTINE_THRESHOLD)?;
        let last = self.crash_times(request).max()?;
        let until = last + quarantine_duration(extra_crashes);
        until.checked_sub(now).filter(|left| !left.is_zero())
    }

    /// Returns true if no crash observation is stored.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.observations.is_empty()
    }

    // --- exchange between routers ---------------------------------------------------------------

    /// Returns the report for a router whose last report had the digest `known`.
    #[must_use]
    pub fn report(&self, known: u64, now: BootTime) -> CrashReport {
        let digest = self.digest();
        if known == digest {
            return CrashReport {
                digest,
                marks: Vec::new(),
            };
        }
        let marks = newest(self.all_observations(now));
        CrashReport { digest, marks }
    }

    /// Returns the newest crashes of the requests that have reached the threshold of the quarantine.
    #[must_use]
    pub fn quarantined_crashes(&self, now: BootTime) -> Vec<CrashObservation> {
        newest(self.quarantined_observations(now))
    }

    /// Returns the crashes of [`Self::quarantined_crashes`] that this router has detected itself.
    #[must_use]
    pub fn detected_quarantined_crashes(&self, now: BootTime) -> Vec<CrashObservation> {
        let detected = self.quarantined_observations(now).filter(|observation| {
            let observed = self
                .observations
                .get(&(observation.request, observation.crash));
            observed.is_some_and(|observed| observed.detected_here)
        });
        newest(detected)
    }

    /// Returns the report of crashes that are at most `max_age` old.
    #[must_use]
    pub fn recent_report(&self, max_age: Duration, now: BootTime) -> CrashReport {
        let mut report = self.report(0, now);
        report
            .marks
            .retain(|observation| observation.age <= max_age);
        report
    }

    /// Merges the observations of another router.
    pub fn merge(&mut self, report: &CrashReport, now: BootTime) {
        for observation in report.marks.iter().take(MAX_REPORTED_OBSERVATIONS) {
            let at = now.saturating_sub(observation.age);
            let known = self
                .observations
                .entry((observation.request, observation.crash))
                .or_insert(ObservedCrash {
                    at,
                    disproved: false,
                    detected_here: false,
                });
            known.disproved |= observation.disproved;
        }
        self.remove_expired(now);
        self.remove_excess();
    }

    /// Returns an order-independent digest of all observations; zero if there are none.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let hashes = self
            .observations
            .iter()
            .map(|((request, crash), observed)| {
                fingerprint_of(&[
                    &request.to_le_bytes(),
                    &crash.to_le_bytes(),
                    &[u8::from(observed.disproved)],
                ])
            });
        hashes.fold(0, |digest, hash| digest ^ hash)
    }

    fn all_observations(&self, now: BootTime) -> impl Iterator<Item = CrashObservation> + '_ {
        self.observations
            .iter()
            .map(move |((request, crash), observed)| CrashObservation {
                request: *request,
                crash: *crash,
                age: now.saturating_sub(observed.at),
                disproved: observed.disproved,
            })
    }

    fn quarantined_observations(
        &self,
        now: BootTime,
    ) -> impl Iterator<Item = CrashObservation> + '_ {
        self.all_observations(now).filter(|observation| {
            let count = self.crash_times(observation.request).count();
            !observation.disproved && count >= QUARANTINE_THRESHOLD
        })
    }

    /// Returns the times of the crashes at which the request was running, without the disproved ones.
    fn crash_times(&self, request: RequestFingerprint) -> impl Iterator<Item = BootTime> + '_ {
        let crashes = self.observations.range(all_crashes(request));
        let suspected = crashes.filter(|(_, crash)| !crash.disproved);
        suspected.map(|(_, crash)| crash.at)
    }

    fn next_crash(&mut self, now: BootTime) -> CrashId {
        self.crashes += 1;
        let crash = fingerprint_of(&[&self.name, &self.crashes.to_le_bytes()]);
        self.last_crash = Some((now, crash));
        crash
    }

    /// Removes all observations of requests whose latest crash is older than the retention time.
    fn remove_expired(&mut self, now: BootTime) {
        let is_expired =
            |crash: &ObservedCrash| now.saturating_sub(crash.at) >= OBSERVATION_RETENTION;
        if !self.observations.values().any(is_expired) {
            return;
        }
        let retained = self
            .observations
            .iter()
            .filter(|(_, crash)| !is_expired(crash));
        let retained: BTreeSet<_> = retained.map(|((request, _), _)| *request).collect();
        self.observations
            .retain(|(request, _), _| retained.contains(request));
    }

    fn remove_excess(&mut self) {
        let Some(excess) = self.observations.len().checked_sub(MAX_OBSERVATIONS + 1) else {
            return;
        };
        let mut by_age: Vec<_> = self
            .observations
            .iter()
            .map(|(observation, crash)| (!crash.disproved, crash.at, *observation))
            .collect();
        by_age.sort_unstable();
        let removed: BTreeSet<_> = by_age[..=excess]
            .iter()
            .map(|(_, _, observation)| *observation)
            .collect();
        self.observations
            .retain(|observation, _| !removed.contains(observation));
    }
}

/// Returns the newest observations, as many as one message holds.
fn newest(observations: impl Iterator<Item = CrashObservation>) -> Vec<CrashObservation> {
    let mut observations: Vec<_> = observations.collect();
    observations.sort_by_key(|observation| observation.age);
    observations.truncate(MAX_REPORTED_OBSERVATIONS);
    observations
}

/// Returns the keys of all observations of a request.
fn all_crashes(request: RequestFingerprint) -> RangeInclusive<(RequestFingerprint, CrashId)> {
    (request, CrashId::MIN)..=(request, CrashId::MAX)
}

/// Returns the quarantine of a request that was at `extra_crashes` crashes beyond the threshold.
fn quarantine_duration(extra_crashes: usize) -> Duration {
    let exponent = u32::try_from(extra_crashes).unwrap_or(u32::MAX);
    let factor = QUARANTINE_GROWTH_FACTOR.saturating_pow(exponent);
    INITIAL_QUARANTINE
        .saturating_mul(factor)
        .min(MAX_QUARANTINE)
}
