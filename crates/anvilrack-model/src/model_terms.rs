//! Times and bounds of the model.

use std::time::Duration;

use anvilrack_core::{BootTime, LeaseTerms};

use crate::{DroppedRule, RouterStep, SystemAction};

/// Routers in the model.
pub const NODE_COUNT: usize = 3;

/// How long one tick of the model lasts.
const TICK: Duration = Duration::from_millis(1);

/// The time after a number of ticks.
pub(crate) fn ticks(count: u32) -> BootTime {
    TICK * count
}

/// The times that the routers of the model agree on, in ticks of a millisecond.
#[must_use]
pub fn model_terms() -> LeaseTerms {
    LeaseTerms {
        lease: ticks(4),
        drift_margin: ticks(1),
        heartbeat: ticks(1),
        authority: ticks(4),
        promise: ticks(4),
        takeover_after: ticks(2),
        outage_limit: ticks(12),
        store_away: ticks(2),
    }
}

/// Times under which promises outlast all else, so that safety hangs on them.
#[must_use]
pub fn long_promise_terms() -> LeaseTerms {
    LeaseTerms {
        authority: ticks(2),
        promise: ticks(14),
        outage_limit: ticks(30),
        ..model_terms()
    }
}

/// Times under which authority outlasts the lease.
#[must_use]
pub fn long_authority_terms() -> LeaseTerms {
    LeaseTerms {
        authority: ticks(7),
        ..model_terms()
    }
}

/// A kind of fault that the search may inject.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FaultKind {
    /// The routers and the store fall into two groups that do not reach each other.
    Partition,
    /// A router stands still for some time.
    Pause,
    /// A router is lost and starts again as a new run.
    Restart,
    /// A heartbeat or its answer arrives late.
    LateMessage,
    /// The reply to a write is lost; the write took effect, did not, or does so later.
    StoreReply,
    /// A router is lost and does not come back.
    Loss,
    /// The store is put back to an earlier copy.
    Restore,
    /// A clock loses one tick against the others.
    ClockSlip,
    /// An owner begins a request that runs to its deadline.
    Request,
    /// A router begins to leave.
    Drain,
    /// A committed record is made known late.
    SlowPublish,
}

impl FaultKind {
    /// All kinds.
    pub const ALL: [Self; 11] = [
        Self::Partition,
        Self::Pause,
        Self::Restart,
        Self::Loss,
        Self::LateMessage,
        Self::StoreReply,
        Self::Restore,
        Self::ClockSlip,
        Self::Request,
        Self::Drain,
        Self::SlowPublish,
    ];
}

/// A part of a fixed beginning.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum OpeningStep {
    /// This action.
    Act(SystemAction),
    /// Scheduled steps for this many ticks.
    Ticks(u32),
    /// Scheduled steps until it is this step's turn.
    Before(usize, RouterStep),
}

/// How far a search goes.
#[derive(Clone, Debug)]
pub struct SearchBounds {
    /// Ticks after the start.
    pub horizon: u32,
    /// Most faults in one run, those of the opening included.
    pub faults: u8,
    /// Kinds of fault in use.
    pub kinds: Vec<FaultKind>,
    /// What happens before the search begins.
    pub opening: Vec<OpeningStep>,
    /// Stops an endless search.
    pub max_states: usize,
    /// True where each state must also lead to a served shard.
    pub liveness: bool,
}

/// What varies between searches besides their bounds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ModelOptions {
    /// The times that the routers agree on.
    pub terms: LeaseTerms,
    /// The rule that is dropped.
    pub dropped: Option<DroppedRule>,
    /// True where targets refuse an older fencing token.
    pub checks_fence: bool,
}

impl Default for ModelOptions {
    fn default() -> Self {
        Self {
            terms: model_terms(),
            dropped: None,
            checks_fence: true,
        }
    }
}
