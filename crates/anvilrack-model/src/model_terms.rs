//! Lease terms, kinds of fault, search bounds and options of the model.

use std::time::Duration;

use anvilrack_core::{BootTime, LeaseTerms};

use crate::{DroppedRule, RouterStep, SystemAction};

/// Number of routers in the model.
pub const ROUTER_COUNT: usize = 3;

/// Duration of one tick of the model.
const TICK: Duration = Duration::from_millis(1);

/// Returns the time after `count` ticks.
pub(crate) fn ticks(count: u32) -> BootTime {
    TICK * count
}

/// Returns the lease terms that the model uses by default; one tick is a millisecond.
#[must_use]
pub fn model_terms() -> LeaseTerms {
    LeaseTerms {
        lease: ticks(4),
        drift_margin: ticks(1),
        heartbeat: ticks(1),
        authority: ticks(4),
        promise: ticks(4),
        takeover_after: ticks(2),
        max_outage: ticks(12),
        store_unavailable_after: ticks(2),
    }
}

/// Returns terms whose promises outlast leases and authority, so that safety depends on the promises.
#[must_use]
pub fn long_promise_terms() -> LeaseTerms {
    LeaseTerms {
        authority: ticks(2),
        promise: ticks(14),
        max_outage: ticks(30),
        ..model_terms()
    }
}

/// Returns terms under which the coordinator's authority outlasts the lease.
#[must_use]
pub fn long_authority_terms() -> LeaseTerms {
    LeaseTerms {
        authority: ticks(7),
        ..model_terms()
    }
}

/// Returns terms under which a standby that has restarted waits for longer than its forgotten promise
/// lasts, as processes that restart beside their targets require. A lease lasts for many heartbeats.
#[must_use]
pub fn short_promise_terms() -> LeaseTerms {
    LeaseTerms {
        lease: ticks(8),
        authority: ticks(3),
        promise: ticks(2),
        ..model_terms()
    }
}

/// A kind of fault that the search may inject.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FaultKind {
    /// The routers and the store are split into two groups that cannot reach each other.
    Partition,
    /// A router stops running for some time, then continues.
    Pause,
    /// A router fails and restarts as a new incarnation.
    Restart,
    /// A router's process fails and restarts beside its target, whose incarnation stays.
    ProcessRestart,
    /// A target fails and starts again beside its router, which learns of this at any later time.
    TargetRestart,
    /// A grant to a target gets no response and takes effect late.
    LateGrant,
    /// A heartbeat or the reply to it arrives late.
    LateMessage,
    /// The response to a store write is lost; the write took effect, never does, or does so later.
    StoreReply,
    /// A router fails and does not restart.
    Loss,
    /// The store is restored from an earlier copy.
    Restore,
    /// A router's clock falls one tick behind the others.
    ClockSlip,
    /// The target of an owner starts a request that runs until its deadline.
    Request,
    /// A router starts to leave the cell.
    Drain,
    /// A committed record is published late.
    SlowPublish,
}

impl FaultKind {
    /// All kinds of fault.
    pub const ALL: [Self; 14] = [
        Self::Partition,
        Self::Pause,
        Self::Restart,
        Self::ProcessRestart,
        Self::TargetRestart,
        Self::Loss,
        Self::LateGrant,
        Self::LateMessage,
        Self::StoreReply,
        Self::Restore,
        Self::ClockSlip,
        Self::Request,
        Self::Drain,
        Self::SlowPublish,
    ];
}

/// One step of the fixed sequence of actions that precedes a search.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum InitialStep {
    /// Applies this action.
    Run(SystemAction),
    /// Runs the scheduled steps for this many ticks.
    Ticks(u32),
    /// Runs the scheduled steps until the next one is this step of the router with this rank.
    RunUntil(usize, RouterStep),
}

/// Bounds of a search.
#[derive(Clone, Debug)]
pub struct SearchBounds {
    /// Number of ticks to explore after the warm-up.
    pub horizon: u32,
    /// Maximum number of faults in one run, including those of `initial_steps`.
    pub faults: u8,
    /// Kinds of fault that the search may inject.
    pub kinds: Vec<FaultKind>,
    /// Fixed sequence of steps that precedes the search.
    pub initial_steps: Vec<InitialStep>,
    /// Maximum number of states to expand before the search stops.
    pub max_states: usize,
    /// Whether each state must also lead to a served shard once all faults end.
    pub liveness: bool,
}

/// Options of the model itself, in addition to the bounds of the search.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ModelOptions {
    /// Lease terms of all routers.
    pub terms: LeaseTerms,
    /// The rule that this mutant drops; `None` keeps all rules.
    pub dropped: Option<DroppedRule>,
    /// Whether targets refuse requests with an older fencing token.
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
