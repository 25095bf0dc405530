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
pub struct TargetNotice {
    /// Id that the target chose for this incarnation.
    pub id: Arc<str>,
    /// Start of the incarnation by the target's clock, in milliseconds since the Unix epoch.
    ///
    /// `None` if the notification does not state it.
    pub born_ms: Option<u64>,
    /// The content of the notification.
    pub kind: NoticeKind,
}

/// The content of a [`TargetNotice`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NoticeKind {
    /// The target is running; sent periodically.
    Alive {
        /// Name of the service that the target runs.
        service: ServiceName,
        /// Number that rises with each notification of an incarnation.
        sequence: u64,
        /// Maximum number of requests that the target runs concurrently.
        slots: u32,
        /// True once the target accepts no new requests.
        draining: bool,
        /// Remaining time for which the target is slow after its start.
        cold: Duration,
    },
    /// The target is about to stop.
    Leaving,
}

/// One incarnation of the local target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetLife {
    /// Id that the target chose for the incarnation.
    pub id: Arc<str>,
    /// Start of the incarnation by the target's clock, in milliseconds since the Unix epoch; 0 if
    /// unknown.
    pub born_ms: u64,
    /// Incarnation number, greater than that of every earlier incarnation known to this router.
    pub incarnation: Incarnation,
    /// Maximum number of requests that the target runs concurrently.
    pub slots: u32,
    /// Sequence number of the latest notification.
    pub sequence: u64,
    /// Time at which the latest notification arrived.
    pub heard_at: BootTime,
    /// Whether the target accepts requests.
    pub state: LifeState,
}

/// The state of a target's incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifeState {
    /// The target accepts requests.
    Serving,
    /// The target has accepted no new requests since this time.
    Leaving(BootTime),
    /// The incarnation has ended.
    Gone,
}

/// The change that a notification made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoticeEffect {
    /// Only the time of the latest notification.
    Heard,
    /// A new incarnation started.
    NewLife,
    /// The target accepts no new requests.
    Leaves,
    /// The target accepts requests again, or its number of slots changed.
    Changed,
    /// None: the notification is out of order, from an earlier incarnation, or from another service.
    Stale,
}

/// The latest incarnation of the local target.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TargetLives {
    current: Option<TargetLife>,
    last_incarnation: Incarnation,
}

impl TargetLives {
    /// Returns the latest incarnation, whatever its state; `None` before the first notification.
    #[must_use]
    pub fn current(&self) -> Option<&TargetLife> {
        self.current.as_ref()
    }

    /// Applies a notification.
    ///
    /// Ignores one that is out of order, from an earlier incarnation or from another service.
    pub fn take(
        &mut self,
        notification: &TargetNotice,
        service: &str,
        now: BootTime,
    ) -> NoticeEffect {
        match &notification.kind {
            NoticeKind::Leaving => self.apply_leaving(notification, now),
            NoticeKind::Alive {
                service: target_service,
                ..
            } if **target_service != *service => NoticeEffect::Stale,
            NoticeKind::Alive {
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
        std::mem::replace(&mut current.state, LifeState::Gone) != LifeState::Gone
    }

    fn apply_leaving(&mut self, notification: &TargetNotice, now: BootTime) -> NoticeEffect {
        let Some(current) = self
            .current
            .as_mut()
            .filter(|current| current.is_source_of(notification))
        else {
            return NoticeEffect::Stale;
        };
        current.heard_at = now;
        if current.state != LifeState::Serving {
            return NoticeEffect::Heard;
        }
        current.state = LifeState::Leaving(now);
        NoticeEffect::Leaves
    }

    fn start(
        &mut self,
        notification: &TargetNotice,
        sequence: u64,
        slots: u32,
        draining: bool,
        now: BootTime,
    ) -> NoticeEffect {
        let born_ms = notification.born_ms.unwrap_or(0);
        if self
            .current
            .as_ref()
            .is_some_and(|current| current.supersedes(born_ms, now))
        {
            return NoticeEffect::Stale;
        }
        self.last_incarnation = born_ms.max(self.last_incarnation + 1);
        let state = if draining {
            LifeState::Leaving(now)
        } else {
            LifeState::Serving
        };
        self.current = Some(TargetLife {
            id: notification.id.clone(),
            born_ms,
            incarnation: self.last_incarnation,
            slots: slots.max(1),
            sequence,
            heard_at: now,
            state,
        });
        NoticeEffect::NewLife
    }
}

impl TargetLife {
    fn is_source_of(&self, notification: &TargetNotice) -> bool {
        self.id == notification.id && notification.born_ms.is_none_or(|born| born == self.born_ms)
    }

    /// Returns true if an incarnation that started at `born_ms` cannot replace this one.
    fn supersedes(&self, born_ms: u64, now: BootTime) -> bool {
        let heard_recently = now < self.heard_at + MAX_SILENCE && self.state != LifeState::Gone;
        born_ms < self.born_ms && heard_recently
    }

    fn update(&mut self, sequence: u64, slots: u32, draining: bool, now: BootTime) -> NoticeEffect {
        if sequence <= self.sequence {
            return NoticeEffect::Stale;
        }
        self.sequence = sequence;
        self.heard_at = now;
        let slots = slots.max(1);
        let resized = std::mem::replace(&mut self.slots, slots) != slots;
        match (self.state, draining) {
            (LifeState::Serving, true) => {
                self.state = LifeState::Leaving(now);
                NoticeEffect::Leaves
            }
            // The target is still running although it refused a connection earlier.
            (LifeState::Gone, false) => {
                self.state = LifeState::Serving;
                NoticeEffect::Changed
            }
            _ if resized => NoticeEffect::Changed,
            _ => NoticeEffect::Heard,
        }
    }
}
