//! Which life of its target a router knows, and what the target says of itself.

use std::sync::Arc;
use std::time::Duration;

use anvilrack_core::{BootTime, Incarnation, ServiceName};

/// A life without notices for this long may be followed by one that seems to be older.
///
/// The time of day may have been put back in between; targets speak about once a second.
const SILENT_LIFE: Duration = Duration::from_secs(3);

/// What a target says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetNotice {
    /// The target's own name for this life.
    pub id: Arc<str>,
    /// Start of this life by the target's clock, in milliseconds since the Unix epoch.
    pub born_ms: Option<u64>,
    /// What it says.
    pub kind: NoticeKind,
}

/// What a notice says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NoticeKind {
    /// It lives.
    Alive {
        /// Its service.
        service: ServiceName,
        /// Goes up with each notice of one life.
        sequence: u64,
        /// Requests that it runs side by side.
        slots: u32,
        /// True once it wants no new work.
        draining: bool,
        /// How much longer it is slow after its start.
        cold: Duration,
    },
    /// It is about to end.
    Leaving,
}

/// One life of the target beside this router.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetLife {
    /// The target's own name for it.
    pub id: Arc<str>,
    /// Start by the target's clock, in milliseconds since the Unix epoch.
    pub born_ms: u64,
    /// Greater than that of any earlier life that this router knew.
    pub incarnation: Incarnation,
    /// Requests that it runs side by side.
    pub slots: u32,
    /// Number of its newest notice.
    pub sequence: u64,
    /// When that notice came.
    pub heard_at: BootTime,
    /// Where it stands.
    pub state: LifeState,
}

/// Where a target's life stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifeState {
    /// It takes work.
    Serving,
    /// It wants no new work since then.
    Leaving(BootTime),
    /// It has ended.
    Gone,
}

/// What a notice changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoticeEffect {
    /// Nothing but the time.
    Heard,
    /// A new life began.
    NewLife,
    /// The target wants no new work.
    Leaves,
    /// It takes work again, or has other slots.
    Changed,
    /// The notice is late, of an earlier life, or of another service.
    Stale,
}

/// The lives of one target, newest first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TargetLives {
    life: Option<TargetLife>,
    last_incarnation: Incarnation,
}

impl TargetLives {
    /// The newest life, whatever its state.
    #[must_use]
    pub fn current(&self) -> Option<&TargetLife> {
        self.life.as_ref()
    }

    /// Takes a notice; one that is late, of another life or of another service changes nothing.
    pub fn take(&mut self, notice: &TargetNotice, service: &str, now: BootTime) -> NoticeEffect {
        match &notice.kind {
            NoticeKind::Leaving => self.take_leaving(notice, now),
            NoticeKind::Alive { service: own, .. } if **own != *service => NoticeEffect::Stale,
            NoticeKind::Alive {
                sequence,
                slots,
                draining,
                ..
            } => match self.life.as_mut().filter(|life| life.is_of(notice)) {
                Some(life) => life.hear(*sequence, *slots, *draining, now),
                None => self.begin(notice, *sequence, *slots, *draining, now),
            },
        }
    }

    /// The target cannot be there any more: its address refuses connections.
    ///
    /// Returns false where that was known.
    pub fn end(&mut self, incarnation: Incarnation) -> bool {
        let life = self.life.as_mut();
        let Some(life) = life.filter(|life| life.incarnation == incarnation) else {
            return false;
        };
        std::mem::replace(&mut life.state, LifeState::Gone) != LifeState::Gone
    }

    fn take_leaving(&mut self, notice: &TargetNotice, now: BootTime) -> NoticeEffect {
        let Some(life) = self.life.as_mut().filter(|life| life.is_of(notice)) else {
            return NoticeEffect::Stale;
        };
        life.heard_at = now;
        if life.state != LifeState::Serving {
            return NoticeEffect::Heard;
        }
        life.state = LifeState::Leaving(now);
        NoticeEffect::Leaves
    }

    fn begin(
        &mut self,
        notice: &TargetNotice,
        sequence: u64,
        slots: u32,
        draining: bool,
        now: BootTime,
    ) -> NoticeEffect {
        let born_ms = notice.born_ms.unwrap_or(0);
        if self
            .life
            .as_ref()
            .is_some_and(|life| life.outlives(born_ms, now))
        {
            return NoticeEffect::Stale;
        }
        self.last_incarnation = born_ms.max(self.last_incarnation + 1);
        let state = if draining {
            LifeState::Leaving(now)
        } else {
            LifeState::Serving
        };
        self.life = Some(TargetLife {
            id: notice.id.clone(),
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
    fn is_of(&self, notice: &TargetNotice) -> bool {
        self.id == notice.id && notice.born_ms.is_none_or(|born| born == self.born_ms)
    }

    /// True where a life that began at `born_ms` cannot be the later one.
    fn outlives(&self, born_ms: u64, now: BootTime) -> bool {
        let heard_lately = now < self.heard_at + SILENT_LIFE && self.state != LifeState::Gone;
        born_ms < self.born_ms && heard_lately
    }

    fn hear(&mut self, sequence: u64, slots: u32, draining: bool, now: BootTime) -> NoticeEffect {
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
            // A refused connection was no proof after all: the target speaks.
            (LifeState::Gone, false) => {
                self.state = LifeState::Serving;
                NoticeEffect::Changed
            }
            _ if resized => NoticeEffect::Changed,
            _ => NoticeEffect::Heard,
        }
    }
}
