//! Tracks the incarnations of the local target from the notifications that it sends.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use anvilrack_core::{
    BootTime, DepartureLog, DepartureVersion, Incarnation, ServiceName, TargetDeparture,
};

/// Time without notifications after which an incarnation may be replaced by one with an earlier
/// start.
///
/// The target's clock may have been set back in between. Targets send about one notification per
/// second.
const MAX_SILENCE: Duration = Duration::from_secs(3);

/// Maximum number of notifications that are kept until the departures of the former process are known; the oldest is
/// removed first.
const MAX_DEFERRED: usize = 8;

/// Maximum number of incarnations that later ones have replaced and that are remembered; the oldest is removed first.
const MAX_REPLACED: usize = 8;

/// A notification that a target sends about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetNotification {
    /// Id that the target chose for this incarnation.
    pub id: Arc<str>,
    /// Start of the incarnation by the target's clock, in milliseconds since the Unix epoch.
    ///
    /// `None` if the notification does not state it.
    pub started_ms: Option<u64>,
    /// The content of the notification.
    pub kind: NotificationKind,
}

/// The content of a [`TargetNotification`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NotificationKind {
    /// The target is running; sent periodically.
    Alive {
        /// Name of the service that the target runs.
        service: ServiceName,
        /// Number that rises with each notification of an incarnation.
        sequence: u64,
        /// Maximum number of requests that the target runs concurrently.
        slots: u32,
        /// True once the target has asked not to get new requests.
        draining: bool,
        /// Remaining time for which the target is cold; `None` if it does not state it.
        cold_for: Option<Duration>,
    },
    /// The target is about to stop.
    Leaving,
}

/// One incarnation of the local target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetIncarnation {
    /// Id that the target chose for the incarnation.
    pub id: Arc<str>,
    /// Start of the incarnation by the target's clock, in milliseconds since the Unix epoch; 0 if
    /// unknown.
    pub started_ms: u64,
    /// Incarnation number, greater than that of every earlier incarnation known to this router.
    pub incarnation: Incarnation,
    /// Maximum number of requests that the target runs concurrently.
    pub slots: u32,
    /// Time for which the incarnation was cold by its first notification; zero if it did not state it.
    pub cold_at_start: Duration,
    /// Sequence number of the latest notification.
    pub sequence: u64,
    /// Time at which the latest notification arrived.
    pub last_notification_at: BootTime,
    /// Whether the target accepts requests.
    pub state: IncarnationState,
}

/// The state of a target's incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IncarnationState {
    /// The target accepts requests.
    Serving,
    /// The target has been stopping since this time.
    ///
    /// Requests with a key are still sent to it for half of the drain time.
    Leaving(BootTime),
    /// The incarnation has ended.
    Gone,
}

/// The change that a notification made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotificationEffect {
    /// Only the time of the latest notification.
    TimeUpdated,
    /// A new incarnation started.
    NewIncarnation,
    /// The target has asked not to get new requests.
    StartedLeaving,
    /// The target accepts requests again, or its number of slots changed.
    Changed,
    /// A target that is not known yet has asked not to get new requests, which applies once it is known.
    LeftUnknown,
    /// None yet: it is not known what the former process of this router acknowledged.
    Deferred,
    /// None: the incarnation is leaving, and another one is current.
    Departed,
    /// None: the notification is out of order, from an earlier incarnation, or from another service.
    Stale,
}

/// The latest incarnation of the local target, and those that are leaving.
#[derive(Clone, Debug, Default)]
pub struct IncarnationTracker {
    current: Option<TargetIncarnation>,
    last_incarnation: Incarnation,
    said_leaving: Option<Incarnation>,
    departures: DepartureLog,
    /// Id and start of incarnations that later ones have replaced.
    replaced: VecDeque<(Arc<str>, u64)>,
    /// Whether the departures are known that the former process acknowledged.
    knows_former: bool,
    deferred: VecDeque<TargetNotification>,
}

impl IncarnationTracker {
    /// Creates a tracker of a router that has no former process.
    #[must_use]
    pub fn without_former() -> Self {
        Self {
            knows_former: true,
            ..Self::default()
        }
    }

    /// Returns the latest incarnation, whatever its state; `None` before the first notification.
    #[must_use]
    pub fn current(&self) -> Option<&TargetIncarnation> {
        self.current.as_ref()
    }

    /// Returns the departures of this router's targets.
    #[must_use]
    pub fn departures(&self) -> &DepartureLog {
        &self.departures
    }

    /// Returns the id of the latest target that has reported itself before it may be used; `None` if none has.
    #[must_use]
    pub fn deferred_target(&self) -> Option<Arc<str>> {
        self.deferred.back().map(|deferred| deferred.id.clone())
    }

    /// Applies a notification that arrived at `now`, which is `wall_ms` milliseconds since the Unix epoch.
    ///
    /// Ignores one that is out of order, from an earlier incarnation or from another service. Until
    /// [`Self::end_reading`] was called, a target that reports itself is not used.
    pub fn apply(
        &mut self,
        notification: &TargetNotification,
        service: &str,
        now: BootTime,
        wall_ms: u64,
    ) -> NotificationEffect {
        match &notification.kind {
            NotificationKind::Leaving => self.apply_leaving(notification, now, wall_ms),
            NotificationKind::Alive {
                service: target_service,
                ..
            } if **target_service != *service => NotificationEffect::Stale,
            // Another writer sent it: the targets here state their start.
            NotificationKind::Alive { .. }
                if notification.started_ms.is_none() && self.states_start() =>
            {
                NotificationEffect::Stale
            }
            NotificationKind::Alive { draining, .. } if !self.knows_former => {
                if *draining {
                    let started_ms = notification.started_ms.unwrap_or(0);
                    self.depart(&notification.id, Some(started_ms), now, wall_ms);
                }
                if self.deferred.len() >= MAX_DEFERRED {
                    self.deferred.pop_front();
                }
                self.deferred.push_back(notification.clone());
                NotificationEffect::Deferred
            }
            NotificationKind::Alive {
                sequence,
                slots,
                draining,
                ..
            } => {
                let current = self.current.as_ref();
                let is_current = current.is_some_and(|current| current.is_source_of(notification));
                let effect = if is_current {
                    self.update(*sequence, *slots, *draining, now)
                } else {
                    self.start(notification, *sequence, *slots, *draining, now)
                };
                let is_applied = !matches!(
                    effect,
                    NotificationEffect::Stale | NotificationEffect::Departed
                );
                if *draining
                    && is_applied
                    && let Some(current) = self.current.as_ref()
                {
                    let (id, started_ms) = (current.id.clone(), current.started_ms);
                    self.depart(&id, Some(started_ms), now, wall_ms);
                }
                effect
            }
        }
    }

    /// Returns the version of the departures that contains what a notification says, once it was applied; `None` if it
    /// does not say that its target is leaving, or was ignored.
    #[must_use]
    pub fn departure_version(
        &self,
        notification: &TargetNotification,
        now: BootTime,
    ) -> Option<DepartureVersion> {
        let says_leaving = match notification.kind {
            NotificationKind::Alive { draining, .. } => draining,
            NotificationKind::Leaving => true,
        };
        if !says_leaving {
            return None;
        }
        let current = self.current.as_ref();
        let current = current.filter(|current| current.is_source_of(notification));
        let started_ms = match current {
            Some(current) => current.started_ms,
            None => notification.started_ms.unwrap_or(0),
        };
        self.departures
            .version_of(&notification.id, started_ms, now)
    }

    /// Adds departures that the store has kept for a former process; returns how many were not known, and whether the
    /// current incarnation is one of them.
    pub fn merge_stored(&mut self, departures: &[TargetDeparture], now: BootTime) -> (usize, bool) {
        let added = self.departures.merge_stored(departures, now);
        (added, self.leave_if_departed(now))
    }

    /// Adds departures that other routers have kept for a former process, as [`Self::merge_stored`] does.
    pub fn merge_kept(&mut self, departures: &[TargetDeparture], now: BootTime) -> (usize, bool) {
        let added = self.departures.merge_kept(departures, now);
        (added, self.leave_if_departed(now))
    }

    /// Allows targets to be used from now on; returns the notifications that have to be applied again.
    pub fn end_reading(&mut self) -> Vec<TargetNotification> {
        self.knows_former = true;
        self.deferred.drain(..).collect()
    }

    /// Returns whether targets may be used.
    #[must_use]
    pub fn knows_former(&self) -> bool {
        self.knows_former
    }

    /// Marks an incarnation as ended because its address refuses connections.
    ///
    /// Returns false if it had already ended or is not the latest one.
    pub fn end(&mut self, incarnation: Incarnation) -> bool {
        let current = self.current.as_mut();
        let Some(current) = current.filter(|current| current.incarnation == incarnation) else {
            return false;
        };
        std::mem::replace(&mut current.state, IncarnationState::Gone) != IncarnationState::Gone
    }

    /// Applies a response that says that an incarnation is leaving.
    ///
    /// Returns false if this is known, or if the incarnation is not the latest one.
    pub fn say_leaving(&mut self, incarnation: Incarnation, now: BootTime, wall_ms: u64) -> bool {
        let current = self.current.as_mut();
        let Some(current) = current.filter(|current| current.incarnation == incarnation) else {
            return false;
        };
        self.said_leaving = Some(incarnation);
        let was_serving = current.state == IncarnationState::Serving;
        if was_serving {
            current.state = IncarnationState::Leaving(now);
        }
        let (id, started_ms) = (current.id.clone(), current.started_ms);
        self.depart(&id, Some(started_ms), now, wall_ms);
        was_serving
    }

    /// Returns the latest incarnation if it says in its responses that it is leaving.
    #[must_use]
    pub fn said_leaving(&self) -> Option<Incarnation> {
        let current = self.current.as_ref()?.incarnation;
        self.said_leaving.filter(|said| *said == current)
    }

    fn apply_leaving(
        &mut self,
        notification: &TargetNotification,
        now: BootTime,
        wall_ms: u64,
    ) -> NotificationEffect {
        let is_known = self.current.is_some();
        let Some(current) = self
            .current
            .as_mut()
            .filter(|current| current.is_source_of(notification))
        else {
            let (id, started_ms) = (&notification.id, notification.started_ms);
            self.depart(id, started_ms, now, wall_ms);
            return if is_known {
                NotificationEffect::Stale
            } else {
                NotificationEffect::LeftUnknown
            };
        };
        current.last_notification_at = now;
        let was_serving = current.state == IncarnationState::Serving;
        if was_serving {
            current.state = IncarnationState::Leaving(now);
        }
        let (id, started_ms) = (current.id.clone(), current.started_ms);
        self.depart(&id, Some(started_ms), now, wall_ms);
        if was_serving {
            NotificationEffect::StartedLeaving
        } else {
            NotificationEffect::TimeUpdated
        }
    }

    /// Records that an incarnation is leaving.
    fn depart(&mut self, id: &Arc<str>, started_ms: Option<u64>, now: BootTime, wall_ms: u64) {
        let departure = TargetDeparture {
            id: id.clone(),
            started_ms,
            noted_ms: wall_ms,
        };
        self.departures.insert(departure, now);
        self.mark_current(now);
    }

    /// Records for the departures that the current incarnation is the current one.
    fn mark_current(&mut self, now: BootTime) {
        if let Some(current) = &self.current {
            self.departures
                .on_current(&current.id, current.started_ms, now);
        }
    }

    /// Stops new requests to the current incarnation if it is leaving; returns whether it accepted requests before.
    fn leave_if_departed(&mut self, now: BootTime) -> bool {
        let Some(current) = self.current.as_mut() else {
            return false;
        };
        let since = self
            .departures
            .leaving_since(&current.id, current.started_ms, now);
        let Some(since) = since.filter(|_| current.state == IncarnationState::Serving) else {
            return false;
        };
        current.state = IncarnationState::Leaving(since);
        true
    }

    fn start(
        &mut self,
        notification: &TargetNotification,
        sequence: u64,
        slots: u32,
        draining: bool,
        now: BootTime,
    ) -> NotificationEffect {
        let (id, started_ms) = (&notification.id, notification.started_ms.unwrap_or(0));
        let leaving_since = self.departures.leaving_since(id, started_ms, now);
        if let Some(current) = &self.current {
            if self.departures.was_current(id, started_ms, now) {
                return NotificationEffect::Departed;
            }
            let is_over = self.is_departed(current, now) && !self.was_replaced(id, started_ms);
            if !is_over && current.supersedes(started_ms, now) {
                return NotificationEffect::Stale;
            }
            if started_ms > current.started_ms {
                let replaced = (current.id.clone(), current.started_ms);
                if self.replaced.len() >= MAX_REPLACED {
                    self.replaced.pop_front();
                }
                self.replaced.push_back(replaced);
            }
        }
        let cold_at_start = match notification.kind {
            NotificationKind::Alive { cold_for, .. } => cold_for.unwrap_or_default(),
            NotificationKind::Leaving => Duration::ZERO,
        };
        // The number also exceeds those that a former process gave to incarnations that are leaving.
        let former = if leaving_since.is_none() {
            self.departures.latest_start()
        } else {
            0
        };
        self.last_incarnation = started_ms.max(self.last_incarnation.max(former) + 1);
        let state = match leaving_since {
            Some(since) => IncarnationState::Leaving(since),
            None if draining => IncarnationState::Leaving(now),
            None => IncarnationState::Serving,
        };
        self.current = Some(TargetIncarnation {
            id: id.clone(),
            started_ms,
            incarnation: self.last_incarnation,
            slots: slots.max(1),
            cold_at_start,
            sequence,
            last_notification_at: now,
            state,
        });
        self.mark_current(now);
        NotificationEffect::NewIncarnation
    }

    fn update(
        &mut self,
        sequence: u64,
        slots: u32,
        draining: bool,
        now: BootTime,
    ) -> NotificationEffect {
        let Some(current) = self.current.as_mut() else {
            return NotificationEffect::Stale;
        };
        if sequence <= current.sequence {
            return NotificationEffect::Stale;
        }
        current.sequence = sequence;
        current.last_notification_at = now;
        let slots = slots.max(1);
        let resized = std::mem::replace(&mut current.slots, slots) != slots;
        let departed = self
            .departures
            .leaving_since(&current.id, current.started_ms, now);
        match (current.state, draining) {
            (IncarnationState::Serving, true) => {
                current.state = IncarnationState::Leaving(now);
                NotificationEffect::StartedLeaving
            }
            // The target is still running although it refused a connection earlier.
            (IncarnationState::Gone, false) if departed.is_none() => {
                current.state = IncarnationState::Serving;
                NotificationEffect::Changed
            }
            _ if resized => NotificationEffect::Changed,
            _ => NotificationEffect::TimeUpdated,
        }
    }

    fn is_departed(&self, target: &TargetIncarnation, now: BootTime) -> bool {
        let since = self
            .departures
            .leaving_since(&target.id, target.started_ms, now);
        since.is_some()
    }

    /// Returns whether the latest target that reported itself stated its start.
    fn states_start(&self) -> bool {
        let deferred = self.deferred.back();
        let deferred = deferred.is_some_and(|deferred| deferred.started_ms.is_some());
        let current = self.current.as_ref();
        deferred || current.is_some_and(|current| current.started_ms != 0)
    }

    /// Returns whether a later incarnation has replaced this one.
    fn was_replaced(&self, id: &str, started_ms: u64) -> bool {
        let mut replaced = self.replaced.iter();
        replaced.any(|(other, start)| **other == *id && *start == started_ms)
    }
}

impl TargetIncarnation {
    fn is_source_of(&self, notification: &TargetNotification) -> bool {
        self.id == notification.id
            && notification
                .started_ms
                .is_none_or(|started_ms| started_ms == self.started_ms)
    }

    /// Returns true if an incarnation that started at `started_ms` cannot replace this one.
    fn supersedes(&self, started_ms: u64, now: BootTime) -> bool {
        let heard_recently =
            now < self.last_notification_at + MAX_SILENCE && self.state != IncarnationState::Gone;
        started_ms < self.started_ms && heard_recently
    }
}
