//! All of the model at one instant, and what may happen next.

use std::sync::Arc;

use anvilrack_core::{BootTime, CellRecord, LeaseTerms, RequestClass, ServiceRules};

use crate::model_terms::ticks;
use crate::property_check::{BrokenProperty, check_owners, check_store};
use crate::router_model::RouterModel;
use crate::system_steps::StepContext;
use crate::{
    DroppedRule, FaultKind, ModelOptions, NODE_COUNT, OpeningStep, RouterStep, SearchBounds,
    StoreModel, SystemAction, WriteFate,
};

/// The store's bit in a [`SystemAction::Partition`].
pub(crate) const STORE_BIT: usize = NODE_COUNT;

/// Set in a partition that splits the routers but lets each reach the store.
const STORE_SHARED: u8 = 1 << (STORE_BIT + 1);

/// Steps of one tick.
const STEPS_PER_TICK: usize = RouterStep::ALL.len() * NODE_COUNT;

/// Ticks of undisturbed work before the search begins.
const WARM_UP_TICKS: u32 = 8;

/// How long the first standby has no target in the warm-up, so that the other one is the owner.
const UNREADY_TICKS: u32 = 4;

/// When the clocks of the model begin.
const FIRST_TICK: u32 = 10;

/// Longest request, in milliseconds, which are the ticks of the model.
const REQUEST_MS: u64 = 5;

/// What stays the same during a run.
#[derive(Clone, Debug)]
pub(crate) struct SystemSetup {
    pub(crate) options: ModelOptions,
    pub(crate) terms: LeaseTerms,
    pub(crate) rules: ServiceRules,
}

/// The routers, the store and what is under way between them.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct SystemState {
    pub(crate) tick: u32,
    pub(crate) cursor: usize,
    pub(crate) routers: [Arc<RouterModel>; NODE_COUNT],
    pub(crate) store: Arc<StoreModel>,
    pub(crate) partition: u8,
    pub(crate) paused: u8,
    /// Those of the paused that do not come back.
    pub(crate) lost: u8,
    pub(crate) faults: u8,
    pub(crate) restored: bool,
    /// The newest record that anyone was told.
    pub(crate) told: Arc<CellRecord>,
    pub(crate) broken: Option<BrokenProperty>,
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

    pub(crate) fn drops(&self, rule: DroppedRule) -> bool {
        let dropped = self.options.dropped;
        dropped == Some(rule) || dropped.and_then(DroppedRule::backing) == Some(rule)
    }
}

impl SystemState {
    /// A cell at work: the first router coordinates, one of the others owns the shard.
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

    /// Runs a fixed beginning; says what happened on the way.
    pub(crate) fn open(
        mut self,
        setup: &SystemSetup,
        opening: &[OpeningStep],
    ) -> (Self, Vec<(u32, SystemAction)>) {
        let mut actions = Vec::new();
        for step in opening {
            match step {
                OpeningStep::Act(action) => {
                    actions.push((self.tick, *action));
                    self = self.apply(setup, *action).unwrap_or(self);
                }
                OpeningStep::Ticks(count) => self = self.run_ticks(setup, *count),
                OpeningStep::Before(rank, step) => {
                    let wanted = SystemAction::Step(*rank, *step);
                    while self.next_scheduled() != wanted {
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
                router.unbound = Some(router.standby.clone());
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
            told: Arc::default(),
            broken: None,
        }
    }

    // --- what may happen ------------------------------------------------------------------------

    /// Everything that may happen next within the bounds.
    pub(crate) fn actions(&self, bounds: &SearchBounds) -> Vec<SystemAction> {
        let passed = self.tick - FIRST_TICK - WARM_UP_TICKS;
        if self.broken.is_some() || passed >= bounds.horizon {
            return Vec::new();
        }
        // Undisturbed, each tick is like the one before: the first fault may as well fall into the
        // first one.
        if self.faults == 0 && passed > 0 {
            return Vec::new();
        }
        let mut actions = vec![self.next_scheduled()];
        if self.is_between_rows() {
            self.add_free(&mut actions);
        }
        if self.faults < bounds.faults {
            for kind in &bounds.kinds {
                self.add_faults(*kind, &mut actions);
            }
        }
        actions
    }

    /// The next step that does something, or a tick.
    pub(crate) fn next_scheduled(&self) -> SystemAction {
        let rest = self.cursor..STEPS_PER_TICK;
        let place = rest.map(step_at).find(|(rank, step)| {
            let paused = self.is_paused(*rank);
            !paused && self.routers[*rank].has_work(*step, self.clock(*rank))
        });
        place.map_or(SystemAction::Tick, |(rank, step)| {
            SystemAction::Step(rank, step)
        })
    }

    /// The ends of faults cost nothing.
    fn add_free(&self, actions: &mut Vec<SystemAction>) {
        if self.partition != 0 {
            actions.push(SystemAction::Heal);
        }
        if self.store.delayed.is_some() {
            actions.push(SystemAction::LandDelayed);
        }
        for rank in 0..NODE_COUNT {
            if self.lost >> rank & 1 == 1 {
                continue;
            }
            if self.is_paused(rank) {
                actions.push(SystemAction::Resume(rank));
            } else if self.routers[rank].late.is_some() {
                actions.push(SystemAction::Deliver(rank));
            }
        }
    }

    /// True between the same step of all routers and the next one: where surroundings may change.
    fn is_between_rows(&self) -> bool {
        match self.next_scheduled() {
            SystemAction::Step(rank, step) => {
                let row = place_of(rank, step) / NODE_COUNT;
                self.cursor == 0 || (self.cursor - 1) / NODE_COUNT < row
            }
            _ => true,
        }
    }

    fn add_faults(&self, kind: FaultKind, actions: &mut Vec<SystemAction>) {
        match kind {
            FaultKind::LateMessage => self.add_late(actions),
            FaultKind::SlowPublish => self.add_slow_publish(actions),
            FaultKind::StoreReply => self.add_unanswered(actions),
            _ if self.is_between_rows() => self.add_outer_faults(kind, actions),
            _ => {}
        }
    }

    fn add_outer_faults(&self, kind: FaultKind, actions: &mut Vec<SystemAction>) {
        let ranks = 0..NODE_COUNT;
        let running = ranks.clone().filter(|rank| !self.is_paused(*rank));
        match kind {
            FaultKind::Partition => {
                // The groups have no order, so the one without the last bit stands for both.
                let groups = 1_u8..1 << STORE_BIT;
                let alone = ranks.map(|rank| 1_u8 << rank | STORE_SHARED);
                let all = groups.chain(alone).filter(|to| *to != self.partition);
                actions.extend(all.map(SystemAction::Partition));
            }
            FaultKind::Pause => actions.extend(running.map(SystemAction::Pause)),
            FaultKind::Restart => {
                let left = ranks.filter(|rank| self.lost >> rank & 1 == 0);
                actions.extend(left.map(SystemAction::Restart));
            }
            FaultKind::Loss => actions.extend(running.map(SystemAction::Lose)),
            FaultKind::Restore => actions.push(SystemAction::Restore),
            FaultKind::ClockSlip if self.routers.iter().all(|router| router.slipped == 0) => {
                actions.extend(ranks.map(SystemAction::ClockSlip));
            }
            FaultKind::Request => actions.extend(running.map(SystemAction::BeginRequest)),
            FaultKind::Drain if !self.routers[2].leaving => actions.push(SystemAction::Drain(2)),
            _ => {}
        }
    }

    fn add_late(&self, actions: &mut Vec<SystemAction>) {
        if let SystemAction::Step(rank, RouterStep::Beat) = self.next_scheduled()
            && self.routers[rank].late.is_none()
        {
            actions.push(SystemAction::RequestLate(rank));
            actions.push(SystemAction::AnswerLate(rank));
        }
    }

    fn add_slow_publish(&self, actions: &mut Vec<SystemAction>) {
        if let SystemAction::Step(rank, RouterStep::Publish) = self.next_scheduled() {
            actions.push(SystemAction::SkipPublish(rank));
        }
    }

    fn add_unanswered(&self, actions: &mut Vec<SystemAction>) {
        if let SystemAction::Step(rank, step @ (RouterStep::Office | RouterStep::Watch)) =
            self.next_scheduled()
        {
            let fates = [WriteFate::Applied, WriteFate::Dropped, WriteFate::Delayed];
            actions.extend(fates.map(|fate| SystemAction::StepUnanswered(rank, step, fate)));
        }
    }

    // --- transitions ----------------------------------------------------------------------------

    /// The state after an action; `None` where the action makes no difference.
    pub(crate) fn apply(&self, setup: &SystemSetup, action: SystemAction) -> Option<Self> {
        let mut next = self.clone();
        let mut context = StepContext::new(setup, &mut next);
        match action {
            SystemAction::Step(rank, step) => context.run_step(rank, step),
            SystemAction::StepUnanswered(rank, step, fate) => {
                if !context.run_unanswered(rank, step, fate) {
                    return None;
                }
            }
            SystemAction::RequestLate(rank) => context.send_late(rank),
            SystemAction::AnswerLate(rank) => context.answer_late(rank),
            SystemAction::Deliver(rank) => context.deliver(rank),
            SystemAction::BeginRequest(rank) => context.begin_request(rank),
            SystemAction::Restart(rank) => context.restart(rank),
            _ => next.change_surroundings(action),
        }
        match action {
            SystemAction::Step(rank, step) | SystemAction::StepUnanswered(rank, step, _) => {
                next.cursor = place_of(rank, step) + 1;
            }
            SystemAction::SkipPublish(rank) => {
                next.cursor = place_of(rank, RouterStep::Publish) + 1;
            }
            SystemAction::RequestLate(rank) | SystemAction::AnswerLate(rank) => {
                next.cursor = place_of(rank, RouterStep::Beat) + 1;
            }
            _ if next == *self => return None,
            _ => {}
        }
        next.faults += u8::from(is_fault(action));
        next.check(setup);
        Some(next)
    }

    fn change_surroundings(&mut self, action: SystemAction) {
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
            SystemAction::LandDelayed => Arc::make_mut(&mut self.store).land_delayed(),
            SystemAction::Restore => {
                Arc::make_mut(&mut self.store).restore();
                self.restored = true;
            }
            SystemAction::ClockSlip(rank) => Arc::make_mut(&mut self.routers[rank]).slipped += 1,
            SystemAction::Drain(rank) => Arc::make_mut(&mut self.routers[rank]).leaving = true,
            _ => {}
        }
    }

    fn check(&mut self, setup: &SystemSetup) {
        let found = check_owners(self, setup.options.checks_fence).or_else(|| check_store(self));
        self.broken = self.broken.or(found);
    }

    // --- reading --------------------------------------------------------------------------------

    /// The property that this state breaks, if it does.
    #[must_use]
    pub fn broken(&self) -> Option<BrokenProperty> {
        self.broken
    }

    /// The present time on a router's clock.
    pub(crate) fn clock(&self, rank: usize) -> BootTime {
        ticks(self.tick - self.routers[rank].slipped)
    }

    pub(crate) fn is_paused(&self, rank: usize) -> bool {
        self.paused >> rank & 1 == 1
    }

    /// True where a message gets from one to the other; both may be the store's bit.
    pub(crate) fn reaches(&self, from: usize, to: usize) -> bool {
        let shared = self.partition & STORE_SHARED != 0 && from.max(to) == STORE_BIT;
        shared || self.partition >> from & 1 == self.partition >> to & 1
    }
}

fn step_at(place: usize) -> (usize, RouterStep) {
    (place % NODE_COUNT, RouterStep::ALL[place / NODE_COUNT])
}

fn place_of(rank: usize, step: RouterStep) -> usize {
    let row = RouterStep::ALL.iter().position(|other| *other == step);
    row.unwrap_or(0) * NODE_COUNT + rank
}

fn is_fault(action: SystemAction) -> bool {
    !matches!(
        action,
        SystemAction::Step(..)
            | SystemAction::Tick
            | SystemAction::Heal
            | SystemAction::Resume(_)
            | SystemAction::Deliver(_)
            | SystemAction::LandDelayed
    )
}
