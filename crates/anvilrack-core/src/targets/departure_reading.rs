//! When a router that has started may use the target that reports itself.

use std::sync::Arc;
use std::time::Duration;

use crate::BootTime;

/// Time within which the store and the other routers normally respond.
const USUAL_TIME: Duration = Duration::from_millis(700);

/// Number of consecutive reports, and the time between the first and the last of them, that show that a target still
/// reports itself.
///
/// Single reports may be held up on their way for seconds.
const STEADY_REPORTS: u32 = 3;
const STEADY_TIME: Duration = Duration::from_secs(1);

/// What a router that has started has learned of the departures that its former processes acknowledged.
///
/// A notification that was held up on its way names a target that may have left since. So no target is used until the
/// store and the routers that keep departures were read, or the target itself says that it is not leaving.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DepartureReading {
    started_at: BootTime,
    has_store: bool,
    /// Number of routers that replied; `None` until the routers were asked.
    replies: Option<usize>,
    is_sound: bool,
    reports: Option<ReportSeries>,
}

/// Reports of one incarnation whose sequence numbers rise.
#[derive(Clone, Debug, PartialEq, Eq)]
struct ReportSeries {
    id: Arc<str>,
    started_ms: u64,
    sequence: u64,
    count: u32,
    first_at: BootTime,
    last_at: BootTime,
}

/// What allows a target to be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadingSource {
    /// The store, and the other routers that could be asked.
    Store,
    /// Other routers, without the store.
    Routers,
    /// The target's health check, without the store.
    HealthCheck,
    /// The target's steady reports: neither the store nor other routers responded, and there is no health check.
    Reports,
}

/// The next step of a reading.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadingStep {
    /// The target may be used unless its departure is known.
    Complete(ReadingSource),
    /// Call the health check of a target that has reported itself.
    CheckTarget,
    /// Wait for the store or other routers.
    Wait,
}

impl ReadingSource {
    /// Returns the name for logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Routers => "routers",
            Self::HealthCheck => "health-check",
            Self::Reports => "reports",
        }
    }
}

impl DepartureReading {
    /// Creates the reading of a process that started at `started_at`.
    #[must_use]
    pub fn new(started_at: BootTime) -> Self {
        Self {
            started_at,
            has_store: false,
            replies: None,
            is_sound: false,
            reports: None,
        }
    }

    /// Records that the store has responded.
    pub fn on_store(&mut self) {
        self.has_store = true;
    }

    /// Records that the routers which could be asked were asked, and how many replied.
    pub fn on_routers(&mut self, replies: usize) {
        let before = self.replies.unwrap_or(0);
        self.replies = Some(before.max(replies));
    }

    /// Records that the target's health check says that it is healthy and not leaving.
    pub fn on_sound_target(&mut self) {
        self.is_sound = true;
    }

    /// Records a report of a target that says that it is ready.
    pub fn on_report(&mut self, id: &Arc<str>, started_ms: u64, sequence: u64, now: BootTime) {
        let is_same =
            |series: &&mut ReportSeries| series.id == *id && series.started_ms == started_ms;
        if let Some(series) = self.reports.as_mut().filter(is_same) {
            if sequence > series.sequence {
                series.sequence = sequence;
                series.count += 1;
                series.last_at = now;
            }
            return;
        }
        self.reports = Some(ReportSeries {
            id: id.clone(),
            started_ms,
            sequence,
            count: 1,
            first_at: now,
            last_at: now,
        });
    }

    /// Returns whether the store has responded.
    #[must_use]
    pub fn has_store(&self) -> bool {
        self.has_store
    }

    fn has_steady_reports(&self) -> bool {
        self.reports.as_ref().is_some_and(|series| {
            series.count >= STEADY_REPORTS && series.last_at >= series.first_at + STEADY_TIME
        })
    }

    /// Decides whether a target that reports itself may be used; `has_check` states whether it has a health check.
    ///
    /// The store alone may lack departures that were acknowledged while it was down, and other routers may have
    /// restarted too, so without the store the target is asked.
    #[must_use]
    pub fn step(&self, has_check: bool, now: BootTime) -> ReadingStep {
        let is_late = now >= self.started_at + USUAL_TIME;
        if self.has_store && (self.replies.is_some() || is_late) {
            return ReadingStep::Complete(ReadingSource::Store);
        }
        if self.is_sound {
            return ReadingStep::Complete(ReadingSource::HealthCheck);
        }
        if !is_late {
            return ReadingStep::Wait;
        }
        match (has_check, self.replies) {
            (true, _) => ReadingStep::CheckTarget,
            (false, Some(1..)) => ReadingStep::Complete(ReadingSource::Routers),
            (false, _) if self.has_steady_reports() => {
                ReadingStep::Complete(ReadingSource::Reports)
            }
            (false, _) => ReadingStep::Wait,
        }
    }
}
