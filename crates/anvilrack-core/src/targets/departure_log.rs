//! Which incarnations of a router's target get no new requests any more.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::BootTime;

/// Number that rises with each departure that a router learns of; zero before the first one.
pub type DepartureVersion = u64;

/// Time for which a departure is remembered.
///
/// A target exits, and its late notifications arrive, within much less.
pub const DEPARTURE_RETENTION: Duration = Duration::from_mins(5);

/// Maximum number of departures of the targets of one router; the oldest is removed first.
pub const MAX_DEPARTURES: usize = 16;

/// Time for which the departure of a target that did not state its start refers to any earlier start under its id.
const UNSTATED_START_TIME: Duration = Duration::from_secs(30);

/// An incarnation of a target that has said that it is leaving.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetDeparture {
    /// Id that the target chose for this incarnation.
    pub id: Arc<str>,
    /// Start of the incarnation by the target's clock, in milliseconds since the Unix epoch; `None` if it did not
    /// state it.
    pub started_ms: Option<u64>,
    /// When its router learned of this, by the router's clock, in milliseconds since the Unix epoch.
    pub noted_ms: u64,
}

/// The departures of the targets of one router, including those that its former processes acknowledged.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DepartureLog {
    entries: VecDeque<LogEntry>,
    version: DepartureVersion,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct LogEntry {
    departure: TargetDeparture,
    /// Version of the log from which on it contains this departure.
    version: DepartureVersion,
    /// When this process learned of it.
    noted_at: BootTime,
    /// Since when the target is leaving; zero if a former process was told.
    leaving_since: BootTime,
    /// Whether the incarnation has been the current one, in this or a former process.
    was_current: bool,
}

impl DepartureLog {
    /// Adds what a target has just said; returns the version that contains it.
    pub fn insert(&mut self, departure: TargetDeparture, now: BootTime) -> DepartureVersion {
        let started_ms = departure.started_ms;
        let known = self.entries.iter().find(|entry| {
            let known = &entry.departure;
            known.id == departure.id && known.started_ms == started_ms
        });
        if let Some(known) = known {
            return known.version;
        }
        self.version += 1;
        self.push(departure, now, now);
        self.version
    }

    /// Adds departures that the store has kept for a former process; returns how many were not known.
    pub fn merge_stored(&mut self, departures: &[TargetDeparture], now: BootTime) -> usize {
        self.merge(departures, now, false)
    }

    /// Adds departures that other routers have kept for a former process, which the store may not have; returns how
    /// many were not known.
    pub fn merge_kept(&mut self, departures: &[TargetDeparture], now: BootTime) -> usize {
        self.merge(departures, now, true)
    }

    /// Adds departures of a former process; `needs_storing` states whether the store may lack them.
    fn merge(
        &mut self,
        departures: &[TargetDeparture],
        now: BootTime,
        needs_storing: bool,
    ) -> usize {
        let mut added = 0;
        for departure in departures.iter().take(MAX_DEPARTURES) {
            let is_known = self.entries.iter().any(|entry| {
                let known = &entry.departure;
                known.id == departure.id && known.started_ms == departure.started_ms
            });
            if is_known {
                continue;
            }
            self.version += u64::from(needs_storing);
            added += 1;
            self.push(departure.clone(), now, BootTime::ZERO);
            if let Some(entry) = self.entries.back_mut() {
                entry.was_current = true;
                if !needs_storing {
                    entry.version = 0;
                }
            }
        }
        added
    }

    fn push(&mut self, departure: TargetDeparture, now: BootTime, leaving_since: BootTime) {
        self.forget_old(now);
        if self.entries.len() >= MAX_DEPARTURES {
            self.entries.pop_front();
        }
        self.entries.push_back(LogEntry {
            departure,
            version: self.version,
            noted_at: now,
            leaving_since,
            was_current: false,
        });
    }

    /// Removes the departures that were learned of too long ago.
    pub fn forget_old(&mut self, now: BootTime) {
        self.entries
            .retain(|entry| now < entry.noted_at + DEPARTURE_RETENTION);
    }

    /// Returns since when an incarnation is leaving, which is zero if a former process was told; `None` if it is not.
    #[must_use]
    pub fn leaving_since(&self, id: &str, started_ms: u64, now: BootTime) -> Option<BootTime> {
        let entry = self.entry(id, started_ms, now)?;
        Some(entry.leaving_since)
    }

    /// Returns the version that contains the departure of an incarnation; `None` if it is not leaving.
    #[must_use]
    pub fn version_of(&self, id: &str, started_ms: u64, now: BootTime) -> Option<DepartureVersion> {
        self.entry(id, started_ms, now).map(|entry| entry.version)
    }

    /// Returns whether an incarnation is leaving that has been the current one.
    #[must_use]
    pub fn was_current(&self, id: &str, started_ms: u64, now: BootTime) -> bool {
        self.entry(id, started_ms, now)
            .is_some_and(|entry| entry.was_current)
    }

    /// Records that an incarnation is the current one.
    pub fn on_current(&mut self, id: &str, started_ms: u64, now: BootTime) {
        let mut entries = self.entries.iter_mut();
        let entry = entries.find(|entry| entry.refers_to(id, started_ms, now));
        if let Some(entry) = entry {
            entry.was_current = true;
        }
    }

    /// Returns the latest start of a departed incarnation; zero if there is none.
    #[must_use]
    pub fn latest_start(&self) -> u64 {
        let starts = self
            .entries
            .iter()
            .filter_map(|entry| entry.departure.started_ms);
        starts.max().unwrap_or(0)
    }

    /// Returns all departures, the oldest first.
    #[must_use]
    pub fn departures(&self) -> Vec<TargetDeparture> {
        let departures = self.entries.iter().map(|entry| entry.departure.clone());
        departures.collect()
    }

    /// Returns the version of the log.
    #[must_use]
    pub fn version(&self) -> DepartureVersion {
        self.version
    }

    fn entry(&self, id: &str, started_ms: u64, now: BootTime) -> Option<&LogEntry> {
        let mut entries = self.entries.iter();
        entries.find(|entry| entry.refers_to(id, started_ms, now))
    }
}

impl LogEntry {
    /// Returns whether this is the departure of an incarnation, and not of an earlier or later one.
    fn refers_to(&self, id: &str, started_ms: u64, now: BootTime) -> bool {
        let is_same_start = match self.departure.started_ms {
            Some(own) => own == started_ms,
            None => {
                started_ms <= self.departure.noted_ms && now < self.noted_at + UNSTATED_START_TIME
            }
        };
        *self.departure.id == *id && is_same_start
    }
}
