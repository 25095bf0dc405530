//! Tracks the incarnations of the local target from the notifications that it sends.

use std::sync::Arc;
use std::time::Duration;

use anvilrack_core::{BootTime, Incarnation, ServiceName};

/// Time without notifications after which an incarnation may be replaced by one with an earlier
/// start.
///
/// The target's clock may have been set back in between. Targets send about one notification per
/// second.
const MAX_SILENCE: Duration = Duration::from_secs(3);

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
    /// None: the notification is out of order, from an earlier incarnation, or from another service.
    Stale,
}

/// The latest incarnation of the local target.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct IncarnationTracker {
    current: Option<TargetIncarnation>,
    last_incarnation: Incarnation,
    said_leaving: Option<Incarnation>,
    /// The latest target that said that it was leaving while it was not the current incarnation.
    leaver: Option<UnknownLeaver>,
}

/// A target that has said that it is leaving before it was known.
///
/// A router that has restarted knows its target only after a heartbeat, which may arrive late.
#[derive(Clone, Debug, PartialEq, Eq)]
struct UnknownLeaver {
    id: Arc<str>,
    started_ms: Option<u64>,
    /// When it said so.
    at: BootTime,
    /// The same time on the wall clock, in milliseconds since the Unix epoch.
    wall_ms: u64,
}

impl IncarnationTracker {
    /// Returns the latest incarnation, whatever its state; `None` before the first notification.
    #[must_use]
    pub fn current(&self) -> Option<&TargetIncarnation> {
        self.current.as_ref()
    }

    /// Applies a notification that arrived at `now`, which is `wall_ms` milliseconds since the Unix epoch.
    ///
    /// Ignores one that is out of order, from an earlier incarnation or from another service.
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
            NotificationKind::Alive {
                sequence,
                slots,
                draining,
                ..
            } => match self
                .current
                .as_mut()
                .filter(|current| current.is_source_of(notification))
            {
                Some(current) => current.update(*sequence, *slots, *draining, now),
                None => self.start(notification, *sequence, *slots, *draining, now),
            },
        }
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
    pub fn say_leaving(&mut self, incarnation: Incarnation, now: BootTime) -> bool {
        let current = self.current.as_mut();
        let Some(current) = current.filter(|current| current.incarnation == incarnation) else {
            return false;
        };
        self.said_leaving = Some(incarnation);
        let was_serving = current.state == IncarnationState::Serving;
        if was_serving {
            current.state = IncarnationState::Leaving(now);
        }
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
            self.leaver = Some(UnknownLeaver {
                id: notification.id.clone(),
                started_ms: notification.started_ms,
                at: now,
                wall_ms,
            });
            return if is_known {
                NotificationEffect::Stale
            } else {
                NotificationEffect::LeftUnknown
            };
        };
        current.last_notification_at = now;
        if current.state != IncarnationState::Serving {
            return NotificationEffect::TimeUpdated;
        }
        current.state = IncarnationState::Leaving(now);
        NotificationEffect::StartedLeaving
    }

    fn start(
        &mut self,
        notification: &TargetNotification,
        sequence: u64,
        slots: u32,
        draining: bool,
        now: BootTime,
    ) -> NotificationEffect {
        let started_ms = notification.started_ms.unwrap_or(0);
        if self
            .current
            .as_ref()
            .is_some_and(|current| current.supersedes(started_ms, now))
        {
            return NotificationEffect::Stale;
        }
        let cold_at_start = match notification.kind {
            NotificationKind::Alive { cold_for, .. } => cold_for.unwrap_or_default(),
            NotificationKind::Leaving => Duration::ZERO,
        };
        self.last_incarnation = started_ms.max(self.last_incarnation + 1);
        let leaver = self.leaver.as_ref();
        let left_at = leaver
            .filter(|leaver| leaver.is_source_of(&notification.id, started_ms))
            .map(|leaver| leaver.at);
        let state = match left_at {
            Some(left_at) => IncarnationState::Leaving(left_at),
            None if draining => IncarnationState::Leaving(now),
            None => IncarnationState::Serving,
        };
        self.current = Some(TargetIncarnation {
            id: notification.id.clone(),
            started_ms,
            incarnation: self.last_incarnation,
            slots: slots.max(1),
            cold_at_start,
            sequence,
            last_notification_at: now,
            state,
        });
        NotificationEffect::NewIncarnation
    }
}

impl UnknownLeaver {
    /// Returns whether this is the target with the given id that started at `started_ms`, and not a later one.
    fn is_source_of(&self, id: &str, started_ms: u64) -> bool {
        let is_same_start = match self.started_ms {
            Some(own) => own == started_ms,
            None => started_ms <= self.wall_ms,
        };
        *self.id == *id && is_same_start
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

    fn update(
        &mut self,
        sequence: u64,
        slots: u32,
        draining: bool,
        now: BootTime,
    ) -> NotificationEffect {
        if sequence <= self.sequence {
            return NotificationEffect::Stale;
        }
        self.sequence = sequence;
        self.last_notification_at = now;
        let slots = slots.max(1);
        let resized = std::mem::replace(&mut self.slots, slots) != slots;
        match (self.state, draining) {
            (IncarnationState::Serving, true) => {
                self.state = IncarnationState::Leaving(now);
                NotificationEffect::StartedLeaving
            }
            // The target is still running although it refused a connection earlier.
            (IncarnationState::Gone, false) => {
                self.state = IncarnationState::Serving;
                NotificationEffect::Changed
            }
            _ if resized => NotificationEffect::Changed,
            _ => NotificationEffect::TimeUpdated,
        }
    }
}
