//! What is known about the load that one target can take.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{BootTime, TargetReport, USUAL_PACE_PERCENT};

/// A load report of another router is ignored after this time.
const LOAD_TTL: Duration = Duration::from_millis(600);

/// Time after which a reported pace is not used, because it changes in steps of this length.
const PACE_TTL: Duration = Duration::from_millis(400);

/// Greatest pace that is believed, in percent.
const MAX_PACE_PERCENT: u32 = 10_000;

/// Factor of the cost of a target that refuses a share of new requests, so that farther targets are
/// chosen while they can take all.
const OVERLOAD_FACTOR: u128 = 4;

/// Factor of the cost of a target that gets more requests than it takes, so that all others are chosen
/// before.
const RATE_LIMIT_FACTOR: u128 = 32;

/// A target that reported that it is cold is believed for this time at most; it may have become warm earlier, and
/// only a reply tells.
const MAX_COLD_TIME: Duration = Duration::from_secs(3);

/// The load of a target as its router reports it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetLoad {
    /// Requests that are running or waiting.
    pub busy: u32,
    /// Requests that the target can run concurrently.
    pub slots: u32,
    /// Whether the target refuses a share of new requests.
    pub overloaded: bool,
    /// Whether more requests arrive than the rate that the target takes.
    pub rate_limited: bool,
    /// Remaining time for which the target is cold, in milliseconds; zero if it is warm or not limited.
    pub cold_ms: u32,
    /// The latest pace that the target reported; `None` if there is none that can be used.
    pub pace: Option<TargetPace>,
}

/// A reported pace and its age.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetPace {
    /// Time that work takes on the target's VM, in percent of the usual time.
    pub percent: u16,
    /// Time since the target reported it, in milliseconds.
    pub age_ms: u16,
}

/// What one router knows about the load that a target can take: the load that the target's router
/// reports, and the pace of work on the target's VM.
///
/// The router beside the target records the target's own reports; the others record the load in its
/// replies. What is old or absurd counts as unknown.
///
/// ```
/// use std::time::Duration;
/// use anvilrack_core::{TargetCapacity, TargetReport};
///
/// let mut capacity = TargetCapacity::default();
/// let report = TargetReport { running: 1, waiting: 0, slots: 12, pace_percent: 300 };
/// capacity.apply_report(&report, Duration::from_secs(1));
/// assert_eq!(capacity.pace_percent(Duration::from_millis(1_200)), 300);
/// assert_eq!(capacity.pace_percent(Duration::from_millis(1_400)), 100);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TargetCapacity {
    load: Option<(TargetLoad, BootTime)>,
    /// Time until which the target counts as cold, which many routers would otherwise learn by a request each.
    cold_until: BootTime,
    /// The latest pace and when the target reported it.
    pace: Option<(u32, BootTime)>,
}

impl TargetCapacity {
    /// Records a report of the target itself.
    pub fn apply_report(&mut self, report: &TargetReport, now: BootTime) {
        if report.slots > 0 {
            self.add_pace(report.pace_percent, now);
        }
    }

    /// Records the load that the target's router reported.
    pub fn set_load(&mut self, load: TargetLoad, now: BootTime) {
        self.load = Some((load, now));
        self.set_cold(Duration::from_millis(load.cold_ms.into()), now);
        self.set_pace(load.pace, now);
    }

    /// Records that a target which has not reported its load yet was cold for this time when it started.
    pub fn expect_cold(&mut self, cold_for: Duration, now: BootTime) {
        if self.load.is_none() {
            self.set_cold(cold_for, now);
        }
    }

    fn set_cold(&mut self, cold_for: Duration, now: BootTime) {
        self.cold_until = now + cold_for.min(MAX_COLD_TIME);
    }

    /// Records a pace that the target's router reported.
    pub fn set_pace(&mut self, pace: Option<TargetPace>, now: BootTime) {
        if let Some(pace) = pace {
            let age = Duration::from_millis(pace.age_ms.into());
            self.add_pace(pace.percent.into(), now.saturating_sub(age));
        }
    }

    /// Returns the load that the target's router reported recently.
    #[must_use]
    pub fn load(&self, now: BootTime) -> Option<TargetLoad> {
        let fresh = self.load.filter(|(_, at)| now < *at + LOAD_TTL);
        fresh.map(|(load, _)| load)
    }

    /// Returns the recently reported pace as it is sent to other routers.
    #[must_use]
    pub fn pace(&self, now: BootTime) -> Option<TargetPace> {
        let (percent, at) = self.recent_pace(now)?;
        let age = now.saturating_sub(at).as_millis();
        Some(TargetPace {
            percent: u16::try_from(percent).ok()?,
            age_ms: u16::try_from(age).ok()?,
        })
    }

    /// Returns the time that work takes on the target's VM now, in percent of the usual time.
    #[must_use]
    pub fn pace_percent(&self, now: BootTime) -> u32 {
        let recent = self.recent_pace(now);
        recent.map_or(USUAL_PACE_PERCENT, |(percent, _)| percent)
    }

    /// Returns what a request costs at the target now, in percent of the usual cost.
    ///
    /// The target can take the inverse of it: at 300 percent, a third of the usual load.
    #[must_use]
    pub fn cost_percent(&self, now: BootTime) -> u128 {
        let factor = match self.load(now) {
            _ if now < self.cold_until => RATE_LIMIT_FACTOR,
            Some(load) if load.slots == 0 => 1,
            Some(load) if load.rate_limited => RATE_LIMIT_FACTOR,
            Some(load) if load.overloaded => OVERLOAD_FACTOR,
            _ => 1,
        };
        factor * u128::from(self.pace_percent(now))
    }

    /// Returns a time that was measured at the target as it would have been at the usual pace.
    #[must_use]
    pub fn at_usual_pace(&self, took: Duration, now: BootTime) -> Duration {
        match self.recent_pace(now) {
            Some((percent, _)) => took * USUAL_PACE_PERCENT / percent,
            None => took,
        }
    }

    fn recent_pace(&self, now: BootTime) -> Option<(u32, BootTime)> {
        self.pace.filter(|(_, at)| now < *at + PACE_TTL)
    }

    /// Records a pace unless it is absurd, or older than the known one.
    fn add_pace(&mut self, percent: u32, at: BootTime) {
        let newer = self.pace.is_none_or(|(_, known_at)| at >= known_at);
        if newer && (1..=MAX_PACE_PERCENT).contains(&percent) {
            self.pace = Some((percent, at));
        }
    }
}
