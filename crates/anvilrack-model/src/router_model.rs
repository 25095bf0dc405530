//! One router of the model: the production state machines, and the state of the code that drives them.

use std::sync::Arc;

use anvilrack_core::{
    BootTime, CellMember, CellRecord, CoordinatorState, Incarnation, LeaseTerms, MemberReport,
    NodeId, OwnerState, ReleaseReport, RenewalAnswer, ReportSequence, ShardId, StandbyState,
    TargetHolds,
};

/// One incarnation of a router.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RouterModel {
    pub(crate) node: NodeId,
    pub(crate) incarnation: Incarnation,
    /// The router's process; its target, and with it the incarnation, may outlive it.
    pub(crate) run: Incarnation,
    /// Whether the router has a target that is ready.
    pub(crate) ready: bool,
    /// Whether the router is leaving the cell.
    pub(crate) leaving: bool,
    /// Ticks by which this router's clock is behind.
    pub(crate) clock_lag: u32,
    pub(crate) owner: OwnerState,
    pub(crate) standby: StandbyState,
    /// Like `standby` but without promises, for the mutant that drops
    /// [`KeepPromise`](crate::DroppedRule::KeepPromise).
    pub(crate) standby_without_promises: Option<StandbyState>,
    pub(crate) coordinator: Option<CoordinatorState>,
    /// The newest record that this router has received.
    pub(crate) known: Arc<CellRecord>,
    /// The store index on which a write of unknown outcome is based.
    pub(crate) unknown_write_base: Option<u64>,
    /// The takeover of this router whose outcome is unknown.
    pub(crate) takeover: Option<OpenTakeover>,
    /// The heartbeat of this router, or the reply to it, that has not arrived yet.
    pub(crate) late_message: Option<LateMessage>,
    /// When the request that the target is running ends.
    pub(crate) busy_until: Option<BootTime>,
    /// Shards that this router has released, as it reports them to the coordinator.
    pub(crate) released: Vec<ReleaseReport>,
    /// Shards that the coordinator has ordered this router to release.
    pub(crate) release_orders: Vec<ShardId>,
    /// What this process knows about its target's holds.
    pub(crate) holds: TargetHolds,
    pub(crate) target: TargetModel,
    /// Releases of the former process in the first report of this one, for the mutant that drops
    /// [`ReleasesEndWithRun`](crate::DroppedRule::ReleasesEndWithRun).
    pub(crate) former_releases: Vec<ReleaseReport>,
}

/// The target beside a router, which outlives the router's process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct TargetModel {
    /// Until when the target holds the shard, by the time of the model.
    pub(crate) held_until: BootTime,
    /// Until when a grant that has not taken effect yet makes the target hold the shard.
    pub(crate) late_grant: Option<BootTime>,
    /// Whether the target has started again and its router does not know yet.
    pub(crate) restarted: bool,
}

/// A takeover whose write has an unknown outcome.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct OpenTakeover {
    /// The record that the takeover writes.
    pub(crate) record: Arc<CellRecord>,
    /// The store index on which the write is based.
    pub(crate) index: u64,
    /// How long the new coordinator waits for owners that stay silent.
    pub(crate) silent_wait: BootTime,
}

/// A message that has not arrived yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum LateMessage {
    Request {
        sent_at: BootTime,
        to: usize,
        report: MemberReport,
    },
    Reply {
        sent_at: BootTime,
        answer: RenewalAnswer,
        update: Arc<CellRecord>,
    },
}

impl RouterModel {
    /// Creates the router with this rank at the time `now`; all but rank 0 have a target.
    #[must_use]
    pub fn new(rank: usize, incarnation: Incarnation, terms: LeaseTerms, now: BootTime) -> Self {
        let node: NodeId = format!("router-{rank}").into();
        Self {
            incarnation,
            run: incarnation,
            ready: rank != 0,
            leaving: false,
            clock_lag: 0,
            owner: OwnerState::new(node.clone(), incarnation, terms),
            standby: StandbyState::new(node.clone(), incarnation, terms, now),
            standby_without_promises: None,
            coordinator: None,
            known: Arc::default(),
            unknown_write_base: None,
            takeover: None,
            late_message: None,
            busy_until: None,
            released: Vec::new(),
            release_orders: Vec::new(),
            holds: TargetHolds::default(),
            target: TargetModel::default(),
            former_releases: Vec::new(),
            node,
        }
    }

    /// Stops serving a shard and has the target release it.
    pub(crate) fn release(&mut self, shard: ShardId) {
        if self.owner.release(shard).is_some() {
            self.target.held_until = BootTime::ZERO;
        }
    }

    /// Returns whether the target may hold a shard of a former incarnation.
    pub(crate) fn holds_former(&self, now: BootTime) -> bool {
        let mut former = self.owner.former();
        former.any(|(shard, _)| now < self.holds.may_hold_until(shard))
    }

    /// Has the target release the shards of its former incarnations.
    pub(crate) fn release_former(&mut self) {
        let former: Vec<_> = self.owner.former().collect();
        for (shard, _) in former {
            self.target.held_until = BootTime::ZERO;
            self.holds.on_released(shard);
        }
    }

    /// Returns this router's entry for the member list of a record.
    #[must_use]
    pub fn member(&self) -> CellMember {
        CellMember {
            node: self.node.clone(),
            incarnation: self.incarnation,
            peer_address: ([127, 0, 0, 1], 1).into(),
            failure_domain: "domain".into(),
            region: "region".into(),
            leaving: self.leaving,
        }
    }

    /// Returns the report that this router sends in a heartbeat at the time `now`.
    #[must_use]
    pub fn report(&self, now: BootTime) -> MemberReport {
        MemberReport {
            member: self.member(),
            mark: ReportSequence {
                run: self.run,
                number: u64::try_from(now.as_millis()).unwrap_or(u64::MAX),
            },
            epoch: self.owner.epoch(),
            sick: false,
            loads: Vec::new(),
            pace_us: 0,
            cold_rate: None,
            ready: self.ready,
            released: self.released.clone(),
        }
    }

    pub(crate) fn accept(&mut self, record: &Arc<CellRecord>, now: BootTime) {
        self.owner.on_record(record, now);
        if record.version > self.known.version {
            self.known = record.clone();
        }
    }

    /// Resumes serving a shard that this router had released.
    pub(crate) fn take_back(&mut self, shard: ShardId) {
        let position = self
            .released
            .iter()
            .position(|report| report.shard == shard);
        if let Some(position) = position {
            let report = self.released.remove(position);
            self.owner.resume_shard(report.shard, report.token);
        }
    }

    pub(crate) fn on_answer(&mut self, now: BootTime) {
        self.standby.on_answer(now);
        if let Some(standby) = &mut self.standby_without_promises {
            standby.on_answer(now);
        }
    }

    pub(crate) fn finish_takeover(&mut self, now: BootTime) {
        self.takeover = None;
        self.standby.finish_takeover(now);
        if let Some(standby) = &mut self.standby_without_promises {
            standby.finish_takeover(now);
        }
    }

    /// Returns whether the router's former process was the coordinator, which this process does not know.
    pub(crate) fn was_coordinator(&self) -> bool {
        let restarted = self.run != self.incarnation;
        restarted && self.known.coordinator == self.node && self.coordinator.is_none()
    }

    /// Returns whether this router serves the shard, or its target still runs a request for it.
    ///
    /// With `checks_fence`, such a request does not count, since its older fencing token is refused.
    #[must_use]
    pub fn serves(&self, now: BootTime, checks_fence: bool) -> bool {
        let has_grant = self.owner.grant(0, now).is_ok();
        let runs_request = self.busy_until.is_some_and(|until| now < until);
        has_grant || (runs_request && !checks_fence)
    }
}
