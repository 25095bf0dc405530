//! The state of the whole model, and the transitions that may follow it.

use std::sync::Arc;

use anvilrack_core::{BootTime, CellRecord, LeaseTerms, RequestClass, ServiceRules};

use crate::model_terms::ticks;
use crate::property_check::{PropertyViolation, check_holders, check_owners, check_store};
use crate::router_model::RouterModel;
use crate::system_steps::StepContext;
use crate::{
    DroppedRule, FaultKind, InitialStep, LostResponseOutcome, ModelOptions, ROUTER_COUNT,
    RouterStep, SearchBounds, StoreModel, SystemAction,
};

/// Bit of the store in a [`SystemAction::Partition`].
pub(crate) const STORE_BIT: usize = ROUTER_COUNT;

/// Bit of a [`SystemAction::Partition`] that splits the routers only; all still reach the store.
const STORE_SHARED: u8 = 1 << (STORE_BIT + 1);

/// Number of steps in one tick, of all routers together.
const STEPS_PER_TICK: usize = RouterStep::ALL.len() * ROUTER_COUNT;

/// Number of ticks without faults before the search begins.
const WARM_UP_TICKS: u32 = 8;

/// Number of ticks at the start of the warm-up in which the first standby has no ready target, so that
/// the other standby becomes the owner.
const UNREADY_TICKS: u32 = 4;

/// Tick at which the model and all clocks in it start.
const FIRST_TICK: u32 = 10;

/// Maximum duration of a request, in milliseconds; one tick is a millisecond.
const REQUEST_MS: u64 = 5;

/// The configuration of the model, which does not change during a run.
#[derive(Clone, Debug)]
pub(crate) struct SystemSetup {
    pub(crate) options: ModelOptions,
    pub(crate) terms: LeaseTerms,
    pub(crate) rules: ServiceRules,
}

/// The routers, the store, the messages between them and the faults in effect.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct SystemState {
    pub(crate) tick: u32,
    /// Position in the schedule of this tick up to which the steps are done; see [`step_at`].
    pub(crate) cursor: usize,
    pub(crate) routers: [Arc<RouterModel>; ROUTER_COUNT],
    pub(crate) store: Arc<StoreModel>,
    /// The groups of the current [`SystemAction::Partition`]; zero if there is none.
    pub(crate) partition: u8,
    /// Bits of the routers that do not run.
    pub(crate) paused: u8,
    /// Bits of the paused routers that do not run again.
    pub(crate) lost: u8,
    /// Number of faults so far.
    pub(crate) faults: u8,
    /// Whether the store has been restored from an earlier copy.
    pub(crate) restored: bool,
    /// The newest record that any router has received or published.
    pub(crate) newest_published: Arc<CellRecord>,
    /// The first violation on the way to this state.
    pub(crate) violation: Option<PropertyViolation>,
}

impl SystemSetup {
    pub(crate) fn new(options: ModelOptions) -> Self {
        let mut terms = options.terms;
        if options.dropped == Some(DroppedRule::DriftMargin) {
            terms.drift_margin = BootTime::ZERO;
        }
        let rules = ServiceRules {
            divided_by_key: true,
            shards: 1,
            slots: 1,
            connections: 1,
            checks_fence: options.checks_fence,
            max_timeout_ms: REQUEST_MS,
            class: RequestClass::default(),
            regions: Vec::new(),
            pinned_keys: std::collections::BTreeMap::new(),
        };
        Self {
            options,
            terms,
            rules,
        }
    }

    /// Returns whether this mutant drops the rule.
    pub(crate) fn drops(&self, rule: DroppedRule) -> bool {
        let dropped = self.options.dropped;
        dropped == Some(rule) || dropped.and_then(DroppedRule::backup_rule) == Some(rule)
    }
}

impl SystemState {
    /// Creates the state after the warm-up: the router with rank 0 is the coordinator, and the one with
    /// rank 2 owns the shard.
    #[must_use]
    pub fn new(options: ModelOptions) -> Self {
        let setup = SystemSetup::new(options);
        let mut state = Self::empty(&setup);
        state.create_cell(&setup);
        Arc::make_mut(&mut state.routers[1]).ready = false;
        state = state.run_ticks(&setup, UNREADY_TICKS);
        Arc::make_mut(&mut state.routers[1]).ready = true;
        state.run_ticks(&setup, WARM_UP_TICKS - UNREADY_TICKS)
    }

    /// Runs the fixed steps before a search and returns the new state and the actions applied, each with
    /// its tick.
    pub(crate) fn run_initial_steps(
        mut self,
        setup: &SystemSetup,
        initial_steps: &[InitialStep],
    ) -> (Self, Vec<(u32, SystemAction)>) {
        let mut actions = Vec::new();
        for step in initial_steps {
            match step {
                InitialStep::Run(action) => {
                    actions.push((self.tick, *action));
                    self = self.apply(setup, *action).unwrap_or(self);
                }
                InitialStep::Ticks(count) => self = self.run_ticks(setup, *count),
                InitialStep::RunUntil(rank, step) => {
                    let stop_before = SystemAction::Step(*rank, *step);
                    while self.next_scheduled() != stop_before {
                        self = self.apply(setup, self.next_scheduled()).unwrap_or(self);
                    }
                }
            }
        }
        (self, actions)
    }

    fn run_ticks(mut self, setup: &SystemSetup, count: u32) -> Self {
        let until = self.tick + count;
        while self.tick < until {
            self = self.apply(setup, self.next_scheduled()).unwrap_or(self);
        }
        self
    }

    fn empty(setup: &SystemSetup) -> Self {
        let now = ticks(FIRST_TICK);
        let router = |rank| {
            let mut router = RouterModel::new(rank, 1, setup.terms, now);
            if setup.drops(DroppedRule::KeepPromise) {
                router.standby_without_promises = Some(router.standby.clone());
            }
            Arc::new(router)
        };
        Self {
            tick: FIRST_TICK,
            cursor: 0,
            routers: std::array::from_fn(router),
            store: Arc::new(StoreModel::new(Arc::default())),
            partition: 0,
            paused: 0,
            lost: 0,
            faults: 0,
            restored: false,
            newest_published: Arc::default(),
            violation: None,
        }
    }

    // --- possible actions -----------------------------------------------------------------------

    /// Returns all actions that may happen next within the bounds.
    pub(crate) fn actions(&self, bounds: &SearchBounds) -> Vec<SystemAction> {
        let ticks_passed = self.tick - FIRST_TICK - WARM_UP_TICKS;
        if self.violation.is_some() || ticks_passed >= bounds.horizon {
            return Vec::new();
        }
        // Without faults, each tick is like the one before, so it is enough to inject the first fault
        // in the first tick.
        if self.faults == 0 && ticks_passed > 0 {
            return Vec::new();
        }
        let mut actions = vec![self.next_scheduled()];
        if self.is_between_steps() {
            self.add_fault_ends(&mut actions);
        }
        if self.faults < bounds.faults {
            for kind in &bounds.kinds {
                self.add_faults(*kind, &mut actions);
            }
        }
        actions
    }

    /// Returns the next scheduled step that may change anything, or a tick if none is left.
    pub(crate) fn next_scheduled(&self) -> SystemAction {
        let remaining = self.cursor..STEPS_PER_TICK;
        let next = remaining.map(step_at).find(|(rank, step)| {
            let paused = self.is_paused(*rank);
            !paused && self.routers[*rank].has_work(*step, self.clock(*rank))
        });
        next.map_or(SystemAction::Tick, |(rank, step)| {
            SystemAction::Step(rank, step)
        })
    }

    /// Adds the actions that end faults; they do not count as faults.
    fn add_fault_ends(&self, actions: &mut Vec<SystemAction>) {
        if self.partition != 0 {
            actions.push(SystemAction::Heal);
        }
        if self.store.delayed.is_some() {
            actions.push(SystemAction::ApplyDelayedWrite);
        }
        for rank in 0..ROUTER_COUNT {
            if self.routers[rank].target.late_grant.is_some() {
                actions.push(SystemAction::ApplyLateGrant(rank));
            }
            if self.lost >> rank & 1 == 1 {
                continue;
            }
            if self.is_paused(rank) {
                actions.push(SystemAction::Resume(rank));
                continue;
            }
            if self.routers[rank].late_message.is_some() {
                actions.push(SystemAction::DeliverLate(rank));
            }
            if self.routers[rank].target.restarted {
                actions.push(SystemAction::NoticeTarget(rank));
            }
        }
    }

    /// Returns whether a tick is next in the schedule, or a step that no router has taken in this tick.
    ///
    /// The environment changes only at these points.
    fn is_between_steps(&self) -> bool {
        match self.next_scheduled() {
            SystemAction::Step(rank, step) => {
                let step_index = position_of(rank, step) / ROUTER_COUNT;
                self.cursor == 0 || (self.cursor - 1) / ROUTER_COUNT < step_index
            }
            _ => true,
        }
    }

    fn add_faults(&self, kind: FaultKind, actions: &mut Vec<SystemAction>) {
        match kind {
            FaultKind::LateMessage => self.add_late_messages(actions),
            FaultKind::LateGrant => self.add_late_grants(actions),
            FaultKind::SlowPublish => self.add_skipped_publish(actions),
            FaultKind::StoreReply => self.add_lost_responses(actions),
            _ if self.is_between_steps() => self.add_environment_faults(kind, actions),
            _ => {}
        }
    }

    fn add_environment_faults(&self, kind: FaultKind, actions: &mut Vec<SystemAction>) {
        let ranks = 0..ROUTER_COUNT;
        let running = ranks.clone().filter(|rank| !self.is_paused(*rank));
        match kind {
            FaultKind::Partition => {
                // A group and its complement are the same partition, so only the groups without the
                // store are listed.
                let groups = 1_u8..1 << STORE_BIT;
                let single_routers = ranks.map(|rank| 1_u8 << rank | STORE_SHARED);
                let all = groups
                    .chain(single_routers)
                    .filter(|groups| *groups != self.partition);
                actions.extend(all.map(SystemAction::Partition));
            }
            FaultKind::Pause => actions.extend(running.map(SystemAction::Pause)),
            FaultKind::Restart => {
                let not_lost = ranks.filter(|rank| self.lost >> rank & 1 == 0);
                actions.extend(not_lost.map(SystemAction::Restart));
            }
            FaultKind::ProcessRestart => {
                let targets = ranks.filter(|rank| self.lost >> rank & 1 == 0 && *rank != 0);
                actions.extend(targets.map(SystemAction::RestartProcess));
            }
            FaultKind::TargetRestart => {
                let targets = ranks.filter(|rank| self.lost >> rank & 1 == 0 && *rank != 0);
                actions.extend(targets.map(SystemAction::RestartTarget));
            }
            FaultKind::Loss => actions.extend(running.map(SystemAction::Lose)),
            FaultKind::Restore => actions.push(SystemAction::Restore),
            FaultKind::ClockSlip if self.routers.iter().all(|router| router.clock_lag == 0) => {
                actions.extend(ranks.map(SystemAction::ClockSlip));
            }
            FaultKind::Request => actions.extend(running.map(SystemAction::BeginRequest)),
            FaultKind::Drain if !self.routers[2].leaving => actions.push(SystemAction::Drain(2)),
            _ => {}
        }
    }

    fn add_late_messages(&self, actions: &mut Vec<SystemAction>) {
        if let SystemAction::Step(rank, RouterStep::SendHeartbeat) = self.next_scheduled()
            && self.routers[rank].late_message.is_none()
        {
            actions.push(SystemAction::DelayHeartbeat(rank));
            actions.push(SystemAction::DelayReply(rank));
        }
    }

    fn add_late_grants(&self, actions: &mut Vec<SystemAction>) {
        if let SystemAction::Step(rank, RouterStep::SendHeartbeat) = self.next_scheduled() {
            let router = &self.routers[rank];
            let holds_shard = router.owner.held().next().is_some();
            if holds_shard && router.target.late_grant.is_none() {
                actions.push(SystemAction::DelayGrant(rank));
            }
        }
    }

    fn add_skipped_publish(&self, actions: &mut Vec<SystemAction>) {
        if let SystemAction::Step(rank, RouterStep::Publish) = self.next_scheduled() {
            actions.push(SystemAction::DelayPublish(rank));
        }
    }

    fn add_lost_responses(&self, actions: &mut Vec<SystemAction>) {
        if let SystemAction::Step(
            rank,
            step @ (RouterStep::CommitRecord | RouterStep::CheckCoordinator),
        ) = self.next_scheduled()
        {
            let outcomes = [
                LostResponseOutcome::Applied,
                LostResponseOutcome::Dropped,
                LostResponseOutcome::Delayed,
            ];
            actions.extend(
                outcomes.map(|outcome| SystemAction::StepWithLostResponse(rank, step, outcome)),
            );
        }
    }

    // --- transitions ----------------------------------------------------------------------------

    /// Returns the state after an action, or `None` if the action changes nothing.
    pub(crate) fn apply(&self, setup: &SystemSetup, action: SystemAction) -> Option<Self> {
        let mut next = self.clone();
        let mut context = StepContext::new(setup, &mut next);
        match action {
            SystemAction::Step(rank, step) => context.run_step(rank, step),
            SystemAction::StepWithLostResponse(rank, step, outcome) => {
                if !context.run_with_lost_response(rank, step, outcome) {
                    return None;
                }
            }
            SystemAction::DelayHeartbeat(rank) => context.delay_heartbeat(rank),
            SystemAction::DelayReply(rank) => context.delay_reply(rank),
            SystemAction::DelayGrant(rank) => context.send_heartbeat_with_late_grant(rank),
            SystemAction::ApplyLateGrant(rank) => context.apply_late_grant(rank),
            SystemAction::DeliverLate(rank) => context.deliver_late(rank),
            SystemAction::BeginRequest(rank) => context.begin_request(rank),
            SystemAction::Restart(rank) => context.restart(rank),
            SystemAction::RestartProcess(rank) => context.restart_process(rank),
            SystemAction::RestartTarget(rank) => context.restart_target(rank),
            SystemAction::NoticeTarget(rank) => context.notice_target(rank),
            _ => next.change_environment(action),
        }
        match action {
            SystemAction::Step(rank, step) | SystemAction::StepWithLostResponse(rank, step, _) => {
                next.cursor = position_of(rank, step) + 1;
            }
            SystemAction::DelayPublish(rank) => {
                next.cursor = position_of(rank, RouterStep::Publish) + 1;
            }
            SystemAction::DelayHeartbeat(rank)
            | SystemAction::DelayReply(rank)
            | SystemAction::DelayGrant(rank) => {
                next.cursor = position_of(rank, RouterStep::SendHeartbeat) + 1;
            }
            _ if next == *self => return None,
            _ => {}
        }
        next.faults += u8::from(is_fault(action));
        next.check_properties(setup);
        Some(next)
    }

    fn change_environment(&mut self, action: SystemAction) {
        match action {
            SystemAction::Tick => {
                self.tick += 1;
                self.cursor = 0;
            }
            SystemAction::Partition(groups) => self.partition = groups,
            SystemAction::Heal => self.partition = 0,
            SystemAction::Pause(rank) => self.paused |= 1 << rank,
            SystemAction::Resume(rank) => self.paused &= !(1 << rank),
            SystemAction::Lose(rank) => {
                self.paused |= 1 << rank;
                self.lost |= 1 << rank;
            }
            SystemAction::ApplyDelayedWrite => Arc::make_mut(&mut self.store).apply_delayed_write(),
            SystemAction::Restore => {
                Arc::make_mut(&mut self.store).restore();
                self.restored = true;
            }
            SystemAction::ClockSlip(rank) => Arc::make_mut(&mut self.routers[rank]).clock_lag += 1,
            SystemAction::Drain(rank) => Arc::make_mut(&mut self.routers[rank]).leaving = true,
            _ => {}
        }
    }

    fn check_properties(&mut self, setup: &SystemSetup) {
        let new_violation = check_owners(self, setup.options.checks_fence)
            .or_else(|| check_holders(self))
            .or_else(|| check_store(self));
        self.violation = self.violation.or(new_violation);
    }

    // --- accessors ------------------------------------------------------------------------------

    /// Returns the violation in this state or on the way to it, if there is one.
    #[must_use]
    pub fn violation(&self) -> Option<PropertyViolation> {
        self.violation
    }

    /// Returns the current time on the clock of a router.
    pub(crate) fn clock(&self, rank: usize) -> BootTime {
        ticks(self.tick - self.routers[rank].clock_lag)
    }

    pub(crate) fn is_paused(&self, rank: usize) -> bool {
        self.paused >> rank & 1 == 1
    }

    /// Returns whether a message gets from one rank to the other; either may be [`STORE_BIT`].
    pub(crate) fn reaches(&self, from: usize, to: usize) -> bool {
        let shared = self.partition & STORE_SHARED != 0 && from.max(to) == STORE_BIT;
        shared || self.partition >> from & 1 == self.partition >> to & 1
    }
}

/// Returns the step at a position of the schedule, and the rank of the router that takes it.
fn step_at(position: usize) -> (usize, RouterStep) {
    (
        position % ROUTER_COUNT,
        RouterStep::ALL[position / ROUTER_COUNT],
    )
}

/// Returns the position of a router's step in the schedule; the inverse of [`step_at`].
fn position_of(rank: usize, step: RouterStep) -> usize {
    let step_index = RouterStep::ALL.iter().position(|other| *other == step);
    step_index.unwrap_or(0) * ROUTER_COUNT + rank
}

/// Returns whether an action counts towards [`SearchBounds::faults`].
fn is_fault(action: SystemAction) -> bool {
    !matches!(
        action,
        SystemAction::Step(..)
            | SystemAction::Tick
            | SystemAction::Heal
            | SystemAction::Resume(_)
            | SystemAction::DeliverLate(_)
            | SystemAction::ApplyLateGrant(_)
            | SystemAction::NoticeTarget(_)
            | SystemAction::ApplyDelayedWrite
    )
}
